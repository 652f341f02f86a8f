#include "agent/load_item.h"

/* Amounts of work, cpu or time are limited to this, so that sums of some of them can't
 * overflow. */
#define AMOUNT_MAX (INT64_MAX / 1024)

/* Reads an amount; one out of range is moved to the nearest limit. */
static int64_t
read_amount (KqReader *r)
{
  int64_t v = kq_read_i64 (r);
  return v < 0 ? 0 : v > AMOUNT_MAX ? AMOUNT_MAX : v;
}

static int32_t
read_number (KqReader *r)
{
  int64_t v = read_amount (r);
  return v > INT32_MAX ? INT32_MAX : (int32_t)v;
}

static void
pack_row (KqPacker *p, const KqLoadRow *row)
{
  kq_pack_array (p, 12);
  kq_pack_str (p, row->service);
  kq_pack_i64 (p, row->kind);
  kq_pack_i64 (p, row->rate);
  kq_pack_i64 (p, row->in_time_work);
  kq_pack_i64 (p, row->late_work);
  kq_pack_i64 (p, row->running_work);
  kq_pack_i64 (p, row->cut_work);
  kq_pack_i64 (p, row->free_milli);
  kq_pack_i64 (p, row->largest_milli);
  kq_pack_i64 (p, row->waiting_jobs);
  kq_pack_i64 (p, row->late_jobs);
  kq_pack_i64 (p, row->waiting_milli);
}

/* False: the row is of a kind that this version doesn't know. */
static bool
read_row (KqReader *r, KqLoadRow *row)
{
  int64_t kind;
  row->service = kq_read_str (r);
  kind = kq_read_i64 (r);
  if (kind < 0 || kind >= KQ_LOAD_KINDS)
    return false;
  row->kind = (KqLoadKind)kind;
  row->rate = read_amount (r);
  row->in_time_work = read_amount (r);
  row->late_work = read_amount (r);
  row->running_work = read_amount (r);
  row->cut_work = read_amount (r);
  row->free_milli = read_amount (r);
  row->largest_milli = read_amount (r);
  row->waiting_jobs = read_number (r);
  row->late_jobs = read_number (r);
  row->waiting_milli = read_amount (r);
  return true;
}

void
kq_agent_item_pack_load (KqPacker *p, const KqAgentItem *i)
{
  const KqLoadDigest *d = i->u.load.digest;
  kq_pack_u64 (p, d->number);
  kq_pack_bool (p, d->known);
  kq_pack_u64 (p, i->u.load.nodes);
  kq_pack_u64 (p, i->u.load.jobs_added);
  kq_pack_array (p, d->n_rows);
  for (size_t n = 0; n < d->n_rows; n++)
    pack_row (p, &d->rows[n]);
}

void
kq_agent_item_read_load (KqReader *r, KqAgentItem *i)
{
  KqLoadDigest *d = kq_alloc (sizeof *d);
  KqReader rows;
  i->u.load.digest = d;
  d->number = kq_read_u64 (r);
  d->known = kq_read_bool (r);
  i->u.load.nodes = (uint32_t)kq_read_u64 (r);
  i->u.load.jobs_added = kq_read_u64 (r);
  kq_read_array (r, &rows);
  while (!rows.bad && rows.left > 0 && d->n_rows < KQ_LOAD_ROWS_MAX)
    {
      KqReader row;
      kq_read_array (&rows, &row);
      d->n_rows += read_row (&row, &d->rows[d->n_rows]);
      kq_read_array_end (&rows, &row);
    }
  kq_read_array_end (r, &rows);
}

void
kq_admit_query_pack (const KqAdmitQuery *q, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 8);
  kq_pack_str (&p, q->id);
  kq_pack_str (&p, q->load.service);
  kq_pack_i64 (&p, q->load.kind);
  kq_pack_i64 (&p, q->load.work);
  kq_pack_i64 (&p, q->load.chain_ms);
  kq_pack_i64 (&p, q->load.objective_ms);
  kq_pack_i64 (&p, q->load.largest_milli);
  kq_pack_i64 (&p, q->load.start_milli);
}

bool
kq_admit_query_unpack (KqStr about, KqAdmitQuery *out)
{
  KqUnpacked u;
  KqReader r;
  int64_t kind;
  *out = (KqAdmitQuery){ 0 };
  if (!kq_unpacked_open (&u, about, &r))
    return false;
  out->id = kq_read_str (&r);
  out->load.service = kq_read_str (&r);
  kind = kq_read_i64 (&r);
  out->load.kind = (KqLoadKind)kind;
  out->load.work = read_amount (&r);
  out->load.chain_ms = read_amount (&r);
  out->load.objective_ms = read_amount (&r);
  out->load.largest_milli = read_amount (&r);
  out->load.start_milli = read_amount (&r);
  if (kind < 0 || kind >= KQ_LOAD_KINDS || out->id.len == 0
      || out->id.len > KQ_SPEC_ID_MAX)
    r.bad = true;
  kq_unpacked_close (&u);
  return !r.bad;
}
