#include "job/job.h"
#include "wire/pack.h"

/* The functions below define the order of the packed fields. A newer program may add
 * fields at the end of a record's outer array; if the meaning of a field changes,
 * KQ_JOB_RECORD_VERSION must be raised. */

static void
pack_size (KqPacker *p, const KqSize *s)
{
  kq_pack_i64 (p, s->cpu_milli);
  kq_pack_i64 (p, s->memory_mb);
  kq_pack_i64 (p, s->accelerators);
}

static KqSize
read_size (KqReader *r)
{
  KqSize s;
  s.cpu_milli = kq_read_i64 (r);
  s.memory_mb = kq_read_i64 (r);
  s.accelerators = kq_read_i64 (r);
  return s;
}

#define N_SPEC_FIELDS 9

static void
pack_spec (KqPacker *p, const KqJobSpec *s)
{
  kq_pack_name (p, &s->team);
  kq_pack_name (p, &s->class_name);
  kq_pack_name (p, &s->key);
  kq_pack_u64 (p, s->priority);
  kq_pack_bool (p, s->latency_critical);
  pack_size (p, &s->size);
  kq_pack_i64 (p, s->run_ms);
}

static KqJobSpec
read_spec (KqReader *r)
{
  KqJobSpec s;
  s.team = kq_read_name (r);
  s.class_name = kq_read_name (r);
  s.key = kq_read_name (r);
  s.priority = (KqPriority)kq_read_u64 (r);
  s.latency_critical = kq_read_bool (r);
  s.size = read_size (r);
  s.run_ms = kq_read_i64 (r);
  return s;
}

static void
pack_full_state (KqPacker *p, const KqJob *j)
{
  kq_pack_array (p, 18 + N_SPEC_FIELDS);
  kq_pack_u64 (p, j->id);
  kq_pack_u64 (p, j->number);
  kq_pack_u64 (p, j->state);
  kq_pack_u64 (p, j->attempt);
  kq_pack_u64 (p, j->failures);
  kq_pack_u64 (p, j->evictions);
  kq_pack_u64 (p, j->losses);
  kq_pack_u64 (p, j->excused);
  kq_pack_bool (p, j->cancel_wanted);
  kq_pack_u64 (p, j->worker);
  pack_size (p, &j->size);
  kq_pack_name (p, &j->checkpoint);
  kq_pack_i64 (p, j->why);
  kq_pack_i64 (p, j->run_us);
  kq_pack_u64 (p, j->moves);
  kq_pack_u64 (p, j->to_shard);
  pack_spec (p, &j->spec);
}

static void
read_full_state (KqReader *r, KqJobEvent *e)
{
  KqJob *j = &e->full_state;
  j->id = e->job;
  j->number = kq_read_u64 (r);
  j->state = (KqJobState)kq_read_u64 (r);
  j->attempt = (uint32_t)kq_read_u64 (r);
  j->failures = (uint32_t)kq_read_u64 (r);
  j->evictions = (uint32_t)kq_read_u64 (r);
  j->losses = (uint32_t)kq_read_u64 (r);
  j->excused = (uint32_t)kq_read_u64 (r);
  j->cancel_wanted = kq_read_bool (r);
  j->worker = kq_read_u64 (r);
  j->size = read_size (r);
  j->checkpoint = kq_read_name (r);
  j->why = (KqResult)kq_read_i64 (r);
  j->run_us = kq_read_i64 (r);
  j->moves = (uint32_t)kq_read_u64 (r);
  j->to_shard = (uint32_t)kq_read_u64 (r);
  j->spec = read_spec (r);
}

KqRecord
kq_job_event_pack (const KqJobEvent *e, KqBuf *b)
{
  KqPacker p;
  kq_buf_clear (b);
  kq_packer_init (&p, b);
  switch (e->kind)
    {
    case KQ_JOB_EVENT_ACCEPTED:
      kq_pack_array (&p, 2 + N_SPEC_FIELDS);
      kq_pack_u64 (&p, e->job);
      kq_pack_u64 (&p, e->number);
      pack_spec (&p, &e->spec);
      break;
    case KQ_JOB_EVENT_ASSIGNED:
      kq_pack_array (&p, 6);
      kq_pack_u64 (&p, e->job);
      kq_pack_u64 (&p, e->attempt);
      kq_pack_u64 (&p, e->worker);
      pack_size (&p, &e->size);
      break;
    case KQ_JOB_EVENT_REQUEUED:
      kq_pack_array (&p, 5);
      kq_pack_u64 (&p, e->job);
      kq_pack_u64 (&p, e->attempt);
      kq_pack_i64 (&p, e->why);
      kq_pack_bool (&p, e->blame);
      kq_pack_name (&p, &e->checkpoint);
      break;
    case KQ_JOB_EVENT_ENDED:
      kq_pack_array (&p, 5);
      kq_pack_u64 (&p, e->job);
      kq_pack_u64 (&p, e->attempt);
      kq_pack_u64 (&p, e->state);
      kq_pack_i64 (&p, e->why);
      kq_pack_i64 (&p, e->run_us);
      break;
    case KQ_JOB_EVENT_CANCEL:
    case KQ_JOB_EVENT_MOVED:
      kq_pack_array (&p, 1);
      kq_pack_u64 (&p, e->job);
      break;
    case KQ_JOB_EVENT_MOVING:
      kq_pack_array (&p, 2);
      kq_pack_u64 (&p, e->job);
      kq_pack_u64 (&p, e->shard);
      break;
    case KQ_JOB_EVENT_ARRIVED: /* its number is in full_state */
    case KQ_JOB_EVENT_FULL_STATE:
      pack_full_state (&p, &e->full_state);
      break;
    }
  return (KqRecord){ (uint16_t)e->kind, KQ_JOB_RECORD_VERSION, kq_buf_str (b) };
}

static void
read_fields (KqReader *r, KqJobEvent *e)
{
  switch (e->kind)
    {
    case KQ_JOB_EVENT_ACCEPTED:
      e->number = kq_read_u64 (r);
      e->spec = read_spec (r);
      break;
    case KQ_JOB_EVENT_ASSIGNED:
      e->attempt = (uint32_t)kq_read_u64 (r);
      e->worker = kq_read_u64 (r);
      e->size = read_size (r);
      break;
    case KQ_JOB_EVENT_REQUEUED:
      e->attempt = (uint32_t)kq_read_u64 (r);
      e->why = (KqResult)kq_read_i64 (r);
      e->blame = kq_read_bool (r);
      e->checkpoint = kq_read_name (r);
      break;
    case KQ_JOB_EVENT_ENDED:
      e->attempt = (uint32_t)kq_read_u64 (r);
      e->state = (KqJobState)kq_read_u64 (r);
      e->why = (KqResult)kq_read_i64 (r);
      e->run_us = kq_read_i64 (r);
      break;
    case KQ_JOB_EVENT_CANCEL:
    case KQ_JOB_EVENT_MOVED:
      break;
    case KQ_JOB_EVENT_MOVING:
      e->shard = (uint32_t)kq_read_u64 (r);
      break;
    case KQ_JOB_EVENT_ARRIVED:
    case KQ_JOB_EVENT_FULL_STATE:
      read_full_state (r, e);
      e->number = e->full_state.number;
      break;
    }
}

KqResult
kq_job_event_unpack (const KqRecord *rec, KqJobEvent *e)
{
  KqUnpacked u;
  KqReader r;
  bool bad;
  *e = (KqJobEvent){ .kind = (KqJobEventKind)rec->type };
  if (rec->type < KQ_JOB_EVENT_ACCEPTED || rec->type > KQ_JOB_EVENT_LAST
      || rec->version != KQ_JOB_RECORD_VERSION)
    return KQ_ERR_JOURNAL_VERSION;
  if (!kq_unpacked_open (&u, rec->body, &r))
    return KQ_ERR_JOURNAL_DAMAGED;
  e->job = kq_read_u64 (&r);
  read_fields (&r, e);
  bad = r.bad;
  kq_unpacked_close (&u);
  return bad ? KQ_ERR_JOURNAL_DAMAGED : KQ_OK;
}
