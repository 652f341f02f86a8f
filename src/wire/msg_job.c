#include "wire/msg_fields.h"

static void
put_submit (KqPacker *p, const KqMsgJobSubmit *s)
{
  kq_pack_array (p, 13);
  kq_pack_u64 (p, s->call);
  kq_pack_u64 (p, s->reply_to);
  kq_pack_u64 (p, s->shard);
  kq_pack_u64 (p, s->job);
  kq_pack_name (p, &s->spec.team);
  kq_pack_name (p, &s->spec.class_name);
  kq_pack_name (p, &s->spec.key);
  kq_pack_u64 (p, s->spec.priority);
  kq_pack_bool (p, s->spec.latency_critical);
  kq_put_size (p, &s->spec.size);
  kq_pack_i64 (p, s->spec.run_ms);
}

static void
get_submit (KqReader *r, KqMsgJobSubmit *s)
{
  uint64_t priority;
  s->call = kq_read_u64 (r);
  s->reply_to = kq_read_u64 (r);
  s->shard = (uint32_t)kq_read_u64 (r);
  s->job = kq_read_u64 (r);
  s->spec.team = kq_read_name (r);
  s->spec.class_name = kq_read_name (r);
  s->spec.key = kq_read_name (r);
  priority = kq_read_u64 (r);
  s->spec.latency_critical = kq_read_bool (r);
  s->spec.size = kq_get_size (r);
  s->spec.run_ms = kq_read_i64 (r);
  if (priority < KQ_PRIORITY_LOW || priority > KQ_PRIORITY_URGENT)
    r->bad = true;
  else
    s->spec.priority = (KqPriority)priority;
}

static void
put_call (KqPacker *p, const KqMsgJobCall *c)
{
  kq_pack_array (p, 6);
  kq_pack_u64 (p, c->call);
  kq_pack_u64 (p, c->reply_to);
  kq_pack_u64 (p, c->shard);
  kq_pack_u64 (p, c->kind);
  kq_pack_u64 (p, c->job);
  kq_pack_u64 (p, c->limit);
}

static void
get_call (KqReader *r, KqMsgJobCall *c)
{
  uint64_t kind;
  c->call = kq_read_u64 (r);
  c->reply_to = kq_read_u64 (r);
  c->shard = (uint32_t)kq_read_u64 (r);
  kind = kq_read_u64 (r);
  c->job = kq_read_u64 (r);
  c->limit = (uint32_t)kq_read_u64 (r);
  if (kind < KQ_JOB_GET || kind > KQ_JOB_EXPLAIN)
    r->bad = true;
  else
    c->kind = (KqJobCallKind)kind;
}

static void
put_move (KqPacker *p, const KqMsg *m)
{
  kq_pack_array (p, 4);
  kq_pack_u64 (p, m->u.job_move.shard);
  kq_pack_u64 (p, m->u.job_move.from);
  kq_pack_u64 (p, m->u.job_move.job);
  if (m->kind == KQ_MSG_JOB_MOVE)
    kq_pack_str (p, m->u.job_move.record);
  else
    kq_pack_u64 (p, m->u.job_moved.moves);
}

/* JOB_MOVE and JOB_MOVED begin with the same fields. */
static void
get_move (KqReader *r, KqMsg *m)
{
  m->u.job_move.shard = (uint32_t)kq_read_u64 (r);
  m->u.job_move.from = (uint32_t)kq_read_u64 (r);
  m->u.job_move.job = kq_read_u64 (r);
  if (m->kind == KQ_MSG_JOB_MOVE)
    m->u.job_move.record = kq_read_str (r);
  else
    m->u.job_moved.moves = (uint32_t)kq_read_u64 (r);
}

void
kq_msg_put_job (KqPacker *p, const KqMsg *m)
{
  if (m->kind == KQ_MSG_JOB_SUBMIT)
    put_submit (p, &m->u.job_submit);
  else if (m->kind == KQ_MSG_JOB_CALL)
    put_call (p, &m->u.job_call);
  else if (m->kind == KQ_MSG_JOB_MOVE || m->kind == KQ_MSG_JOB_MOVED)
    put_move (p, m);
  else if (m->kind == KQ_MSG_QUERY)
    {
      kq_pack_array (p, 3);
      kq_pack_u64 (p, m->u.query.call);
      kq_pack_str (p, m->u.query.what);
      kq_pack_str (p, m->u.query.argument);
    }
  else if (m->kind == KQ_MSG_AGENT)
    {
      kq_pack_array (p, 2);
      kq_pack_u64 (p, m->u.agent.epoch);
      kq_pack_str (p, m->u.agent.items);
    }
  else
    {
      /* JOB_REPLY and ANSWER have the same fields. */
      kq_pack_array (p, 3);
      kq_pack_u64 (p, m->u.answer.call);
      kq_pack_u64 (p, m->u.answer.code);
      kq_pack_str (p, m->u.answer.json);
    }
}

void
kq_msg_get_job (KqReader *r, KqMsg *m)
{
  if (m->kind == KQ_MSG_JOB_SUBMIT)
    get_submit (r, &m->u.job_submit);
  else if (m->kind == KQ_MSG_JOB_CALL)
    get_call (r, &m->u.job_call);
  else if (m->kind == KQ_MSG_JOB_MOVE || m->kind == KQ_MSG_JOB_MOVED)
    get_move (r, m);
  else if (m->kind == KQ_MSG_QUERY)
    {
      m->u.query.call = kq_read_u64 (r);
      m->u.query.what = kq_read_str (r);
      m->u.query.argument = kq_read_str (r);
    }
  else if (m->kind == KQ_MSG_AGENT)
    {
      m->u.agent.epoch = kq_read_u64 (r);
      m->u.agent.items = kq_read_str (r);
    }
  else
    {
      m->u.answer.call = kq_read_u64 (r);
      m->u.answer.code = (KqResult)kq_read_u64 (r);
      m->u.answer.json = kq_read_str (r);
    }
}
