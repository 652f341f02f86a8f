#include "agent/frame_rows.h"

#include <stdlib.h>

/* Maximum number of rows of one list; more means a damaged message. */
#define ROWS_MAX 100000

void
kq_agent_item_pack_list_head (KqPacker *p, const KqRunnerList *l)
{
  kq_pack_i64 (p, l->started_ms);
  kq_pack_i64 (p, l->lease_left_ms);
  kq_pack_u64 (p, l->order);
  kq_pack_u64 (p, l->assignment);
  kq_pack_u64 (p, l->halt);
  kq_pack_bool (p, l->more_ended);
}

void
kq_agent_item_read_list_head (KqReader *r, KqRunnerList *l)
{
  l->started_ms = kq_read_i64 (r);
  l->lease_left_ms = kq_read_i64 (r);
  l->order = kq_read_u64 (r);
  l->assignment = kq_read_u64 (r);
  l->halt = kq_read_u64 (r);
  l->more_ended = kq_read_bool (r);
}

void
kq_agent_item_pack_running (KqPacker *p, const KqRunnerList *l)
{
  kq_pack_array (p, l->n_running);
  for (size_t i = 0; i < l->n_running; i++)
    {
      const KqRunRow *row = &l->running[i];
      kq_pack_array (p, 5);
      kq_pack_str (p, row->task);
      kq_pack_u64 (p, row->run);
      kq_pack_str (p, row->checkpoint);
      kq_pack_i64 (p, row->percent);
      kq_pack_i64 (p, row->load);
    }
}

void
kq_agent_item_pack_ended (KqPacker *p, const KqRunnerList *l)
{
  kq_pack_array (p, l->n_ended);
  for (size_t i = 0; i < l->n_ended; i++)
    {
      const KqEndRow *row = &l->ended[i];
      kq_pack_array (p, 5);
      kq_pack_u64 (p, row->number);
      kq_pack_str (p, row->task);
      kq_pack_u64 (p, row->run);
      kq_pack_i64 (p, row->reason);
      kq_pack_str (p, row->checkpoint);
    }
}

size_t
kq_agent_item_open_rows (KqReader *r, KqReader *rows)
{
  kq_read_array (r, rows);
  if (rows->bad || rows->left > ROWS_MAX)
    {
      r->bad = true;
      rows->bad = true;
      rows->left = 0;
    }
  return rows->left;
}

void
kq_agent_item_read_running (KqReader *r, KqRunnerList *l)
{
  KqReader rows;
  size_t n = kq_agent_item_open_rows (r, &rows);
  KqRunRow *list = kq_alloc ((n + 1) * sizeof *list);
  l->running = list;
  l->n_running = n;
  for (size_t i = 0; i < n; i++)
    {
      KqReader row;
      kq_read_array (&rows, &row);
      list[i].task = kq_read_str (&row);
      list[i].run = (uint32_t)kq_read_u64 (&row);
      list[i].checkpoint = kq_read_str (&row);
      list[i].percent = (int)kq_read_i64 (&row);
      list[i].load = (int)kq_read_i64 (&row);
      kq_read_array_end (&rows, &row);
    }
  kq_read_array_end (r, &rows);
}

void
kq_agent_item_read_ended (KqReader *r, KqRunnerList *l)
{
  KqReader rows;
  size_t n = kq_agent_item_open_rows (r, &rows);
  KqEndRow *list = kq_alloc ((n + 1) * sizeof *list);
  l->ended = list;
  l->n_ended = n;
  for (size_t i = 0; i < n; i++)
    {
      KqReader row;
      int64_t reason;
      kq_read_array (&rows, &row);
      list[i].number = kq_read_u64 (&row);
      list[i].task = kq_read_str (&row);
      list[i].run = (uint32_t)kq_read_u64 (&row);
      reason = kq_read_i64 (&row);
      if (reason < KQ_END_DONE || reason > KQ_END_GANG_INCOMPLETE)
        row.bad = true;
      list[i].reason = (KqEndReason)reason;
      list[i].checkpoint = kq_read_str (&row);
      kq_read_array_end (&rows, &row);
    }
  kq_read_array_end (r, &rows);
}

/* Number of fields of a packed KqRunDeltaRow, by which the reader knows what it holds:
 * slot, percent and load; then the checkpoint too; then task and run too. */
enum
{
  ROW_FIELDS_LOAD = 3,
  ROW_FIELDS_CHECKPOINT = 4,
  ROW_FIELDS_NEW_RUN = 6
};

void
kq_agent_item_pack_changes (KqPacker *p, const KqRunDelta *c)
{
  kq_pack_u64 (p, c->serial);
  kq_pack_array (p, c->n_rows);
  for (size_t i = 0; i < c->n_rows; i++)
    {
      const KqRunDeltaRow *r = &c->rows[i];
      kq_pack_array (p, r->is_new           ? ROW_FIELDS_NEW_RUN
                        : r->has_checkpoint ? ROW_FIELDS_CHECKPOINT
                                            : ROW_FIELDS_LOAD);
      kq_pack_u64 (p, r->slot);
      kq_pack_i64 (p, r->row.percent);
      kq_pack_i64 (p, r->row.load);
      if (r->is_new || r->has_checkpoint)
        kq_pack_str (p, r->row.checkpoint);
      if (!r->is_new)
        continue;
      kq_pack_str (p, r->row.task);
      kq_pack_u64 (p, r->row.run);
    }
  kq_pack_array (p, c->n_gone);
  for (size_t i = 0; i < c->n_gone; i++)
    kq_pack_u64 (p, c->gone[i]);
}

static void
read_changed_row (KqReader *rows, KqRunDeltaRow *out)
{
  KqReader r;
  kq_read_array (rows, &r);
  out->is_new = r.left >= ROW_FIELDS_NEW_RUN;
  out->has_checkpoint = !out->is_new && r.left >= ROW_FIELDS_CHECKPOINT;
  out->slot = (uint32_t)kq_read_u64 (&r);
  out->row.percent = (int)kq_read_i64 (&r);
  out->row.load = (int)kq_read_i64 (&r);
  if (out->is_new || out->has_checkpoint)
    out->row.checkpoint = kq_read_str (&r);
  if (out->is_new)
    {
      out->row.task = kq_read_str (&r);
      out->row.run = (uint32_t)kq_read_u64 (&r);
    }
  kq_read_array_end (rows, &r);
}

void
kq_agent_item_read_changes (KqReader *r, KqRunDelta *c)
{
  KqReader rows;
  KqReader slots;
  KqRunDeltaRow *list;
  uint32_t *gone;
  c->serial = kq_read_u64 (r);
  c->n_rows = kq_agent_item_open_rows (r, &rows);
  c->rows = list = kq_alloc ((c->n_rows + 1) * sizeof *list);
  for (size_t i = 0; i < c->n_rows; i++)
    read_changed_row (&rows, &list[i]);
  kq_read_array_end (r, &rows);
  c->n_gone = kq_agent_item_open_rows (r, &slots);
  c->gone = gone = kq_alloc ((c->n_gone + 1) * sizeof *gone);
  for (size_t i = 0; i < c->n_gone; i++)
    gone[i] = (uint32_t)kq_read_u64 (&slots);
  kq_read_array_end (r, &slots);
}

void
kq_agent_item_pack_advice (KqPacker *p, const KqStepAdvice *a)
{
  kq_pack_str (p, a->step);
  kq_pack_i64 (p, a->reply.result);
  kq_pack_i64 (p, a->reply.valid_ms);
  kq_pack_array (p, a->reply.n_rows);
  for (size_t i = 0; i < a->reply.n_rows; i++)
    {
      kq_pack_array (p, 2);
      kq_pack_str (p, a->reply.rows[i].runner);
      kq_pack_str (p, a->reply.rows[i].ticket);
    }
  kq_pack_i64 (p, a->service_ms);
  kq_pack_i64 (p, a->elapsed_ms);
  kq_pack_u64 (p, a->request);
}

/* Reads a time in ms that a node has measured or received; limits it, so that it can be
 * calculated with. */
static int64_t
read_advice_ms (KqReader *r)
{
  int64_t ms = kq_read_i64 (r);
  return ms < 0 ? 0 : ms < KQ_ADVICE_TIME_MAX_MS ? ms : KQ_ADVICE_TIME_MAX_MS;
}

void
kq_agent_item_read_advice (KqReader *r, KqStepAdvice *a)
{
  KqReader rows;
  KqAdviceRow *list;
  int64_t result;
  a->step = kq_read_str (r);
  result = kq_read_i64 (r);
  if (result < KQ_ADVICE_OK || result > KQ_ADVICE_UNKNOWN)
    r->bad = true;
  a->reply.result = (KqAdviceResult)result;
  a->reply.valid_ms = read_advice_ms (r);
  a->reply.n_rows = kq_agent_item_open_rows (r, &rows);
  list = kq_alloc ((a->reply.n_rows + 1) * sizeof *list);
  a->reply.rows = list;
  for (size_t i = 0; i < a->reply.n_rows; i++)
    {
      KqReader row;
      kq_read_array (&rows, &row);
      list[i].runner = kq_read_str (&row);
      list[i].ticket = kq_read_str (&row);
      kq_read_array_end (&rows, &row);
    }
  kq_read_array_end (r, &rows);
  if (r->left >= 3) /* not in frames of earlier versions */
    {
      a->service_ms = read_advice_ms (r);
      a->elapsed_ms = read_advice_ms (r);
      a->request = kq_read_u64 (r);
    }
}

void
kq_agent_item_pack_grants (KqPacker *p, const KqGrantList *l)
{
  kq_pack_i64 (p, l->process_age_ms);
  kq_pack_array (p, l->n_rows);
  for (size_t i = 0; i < l->n_rows; i++)
    {
      kq_pack_array (p, 2);
      kq_pack_str (p, l->rows[i].runner);
      kq_pack_i64 (p, l->rows[i].left_ms);
    }
}

void
kq_agent_item_read_grants (KqReader *r, KqGrantList *l)
{
  KqReader list;
  KqGrantRow *rows;
  size_t n;
  l->process_age_ms = kq_read_i64 (r);
  n = kq_agent_item_open_rows (r, &list);
  l->rows = rows = kq_alloc ((n + 1) * sizeof *rows);
  while (!list.bad && list.left > 0)
    {
      KqReader one;
      kq_read_array (&list, &one);
      rows[l->n_rows].runner = kq_read_str (&one);
      rows[l->n_rows++].left_ms = kq_read_i64 (&one);
      kq_read_array_end (&list, &one);
    }
  kq_read_array_end (r, &list);
}

void
kq_agent_item_pack_key_change (KqPacker *p, const KqKeyChange *c)
{
  kq_pack_str (p, c->key);
  kq_pack_u64 (p, c->revision);
  kq_pack_bool (p, c->deleted);
  kq_pack_u64 (p, c->base);
  kq_pack_str (p, c->data);
}

void
kq_agent_item_read_key_change (KqReader *r, KqKeyChange *c)
{
  c->key = kq_read_str (r);
  c->revision = kq_read_u64 (r);
  c->deleted = kq_read_bool (r);
  c->base = kq_read_u64 (r);
  c->data = kq_read_str (r);
}

void
kq_agent_item_pack_leader (KqPacker *p, const KqAgentItem *i)
{
  kq_pack_name (p, &i->u.leader.node);
  kq_pack_name (p, &i->u.leader.address);
  kq_pack_u64 (p, i->u.leader.epoch);
}

void
kq_agent_item_read_leader (KqReader *r, KqAgentItem *i)
{
  i->u.leader.node = kq_read_name (r);
  i->u.leader.address = kq_read_name (r);
  i->u.leader.epoch = kq_read_u64 (r);
}
