/* sched_rig_agent: what an agent of the rig does, as agent/agent.c does it. */

#include "sched_rig_impl.h"

#include <stdlib.h>
#include <string.h>

#define WAIT_MS 1500
#define WAITS_PER_LEASE 3
#define WATCHED_WAIT_MS 500
#define ACKNOWLEDGED_WITHIN (200 * KQ_MS)
#define GATHER (20 * KQ_MS)
#define RETRY (150 * KQ_MS)
#define CALL_TIMEOUT (900 * KQ_MS)
#define SILENT_AFTER 2
#define TELL_AGAIN KQ_SEC

static KqSchedRigHeld *
held_of (KqSchedRig *r, int agent, int runner)
{
  return &r->agents[agent].held[runner];
}

static void
note_clock (KqSchedRigHeld *h, int64_t clock_ms, int64_t started_ms, KqTime sent_at,
            KqTime now)
{
  KqLeaseReply n = { clock_ms, started_ms, sent_at };
  if (kq_lease_update (&h->lease, &n, KQ_SCHED_RIG_LEASE_MS, now))
    h->ends_seen = 0;
}

/* What is granted now; -1: nothing. */
static int64_t
grant (KqSchedRig *r, int agent, KqSchedRigHeld *h)
{
  KqTime counted = r->now - r->agents[agent].counted_at;
  if (h->lease.clock_ms < 0 || h->failures > 0 || h->halt != 0
      || counted > KQ_SCHED_RIG_BLIND_MS * KQ_MS)
    return -1;
  return kq_lease_grant (&h->lease, KQ_SCHED_RIG_LEASE_MS, r->now);
}

static void
send_call (KqSchedRig *r, KqSchedRigCall c)
{
  const KqSchedRigHeld *h = held_of (r, c.agent, c.runner);
  KqSchedRigEvent *e;
  KqTime due;
  c.way = KQ_SCHED_RIG_WAY + r->agents[c.agent].call_slow;
  due = r->now + c.way;
  c.serial = h->serial;
  c.epoch = h->epoch;
  c.order = h->results;
  c.ends_at = r->now + c.wait + CALL_TIMEOUT;
  c.sent_at = r->now;
  c.answered = true;
  if (c.kind != KQ_ORDER_TAKE && kq_sched_rig_chance (r, r->unsent))
    {
      kq_sched_rig_not_sent (r, &c);
      free (c.task);
      return;
    }
  if (kq_sched_rig_chance (r, r->lost))
    {
      c.answered = false;
      if (kq_sched_rig_chance (r, 50))
        due = KQ_TIME_NEVER;
    }
  else if (kq_sched_rig_chance (r, r->late))
    {
      c.answered = false;
      c.late = true;
      due += (KqTime)(1 + kq_rand_below (&r->rand, 6)) * KQ_SEC;
    }
  e = kq_sched_rig_push (r, KQ_SCHED_RIG_CALL, due);
  e->call = c;
  if (!c.answered)
    kq_sched_rig_no_answer (r, &c);
}

static KqTime
wait_of (const KqSchedRigHeld *h)
{
  int64_t most = KQ_SCHED_RIG_LEASE_MS / WAITS_PER_LEASE;
  int64_t wait = h->watched ? WATCHED_WAIT_MS : WAIT_MS;
  return (most < wait ? most : wait) * KQ_MS;
}

/* The question: renews the lease, fetches the list. */
static void
ask (KqSchedRig *r, int agent, int runner)
{
  KqSchedRigHeld *h = held_of (r, agent, runner);
  KqSchedRigCall c = { .agent = agent, .runner = runner, .kind = KQ_ORDER_TAKE };
  if (h->asking)
    return;
  if (r->now - r->agents[agent].heard_at > KQ_SCHED_RIG_BLIND_MS * KQ_MS)
    {
      kq_sched_rig_trace_runner (r, runner, agent, "no leader for too long", 0);
      h->held = false;
      return;
    }
  c.wait = h->lease.clock_ms < 0 || h->failures > 0 || h->halt != 0 ? 0 : wait_of (h);
  c.seen = h->failures > 0 || h->listed_at == 0 ? 0 : h->ends_seen;
  if (c.seen > 0)
    c.started_ms = h->lease.started_ms;
  c.lease_end_ms = grant (r, agent, h);
  h->asking = true;
  kq_sched_rig_trace_runner (r, runner, agent, "asks, lease until", c.lease_end_ms);
  send_call (r, c);
}

static void
ask_in (KqSchedRig *r, KqSchedRigHeld *h, KqTime wait)
{
  h->ask_at = r->now + wait;
}

static void
tell_unreached (KqSchedRig *r, int agent, int runner)
{
  KqSchedRigHeld *h = held_of (r, agent, runner);
  KqAgentItem i
      = { .kind = KQ_AGENT_ITEM_UNREACHED, .runner = kq_str (r->runners[runner].id) };
  if (r->now - h->told_at < TELL_AGAIN)
    return;
  h->told_at = r->now;
  h->halt = ++r->agents[agent].serial;
  i.u.unreached.assignment = h->assignment;
  i.u.unreached.lease_left_ms = kq_lease_left_ms (&h->lease, r->now);
  kq_sched_rig_trace_runner (r, runner, agent, "tells silence, lease left",
                             i.u.unreached.lease_left_ms);
  kq_sched_rig_tell_leader (r, agent, h->epoch, &i);
}

static void
list_comes (KqSchedRig *r, const KqSchedRigEvent *e)
{
  const KqSchedRigCall *c = &e->call;
  KqSchedRigHeld *h = held_of (r, c->agent, c->runner);
  KqStr rest = kq_str_n ((const char *)e->bytes->data, e->bytes->len);
  KqAgentItem i;
  if (!kq_agent_item_unpack (&rest, &i))
    return;
  h->failures = 0;
  h->told_at = 0;
  note_clock (h, e->clock_ms, i.u.list.started_ms, c->sent_at, r->now);
  h->listed_at = r->now;
  h->ends_told = i.u.list.n_ended > 0 ? i.u.list.ended[i.u.list.n_ended - 1].number : 0;
  i.u.list.lease_left_ms = kq_lease_left_ms (&h->lease, r->now);
  i.u.list.order = c->order;
  i.u.list.assignment = h->assignment;
  i.u.list.halt = h->halt;
  kq_sched_rig_trace_runner (r, c->runner, c->agent, "tells list, lease left",
                             i.u.list.lease_left_ms);
  kq_sched_rig_tell_leader (r, c->agent, h->epoch, &i);
  kq_agent_item_clear (&i);
  ask_in (r, h,
          h->halt != 0                  ? RETRY
          : h->ends_told > h->ends_seen ? ACKNOWLEDGED_WITHIN
          : c->wait == 0                ? GATHER
                                        : 0);
}

static void
question_ends (KqSchedRig *r, const KqSchedRigEvent *e)
{
  const KqSchedRigCall *c = &e->call;
  KqSchedRigHeld *h = held_of (r, c->agent, c->runner);
  h->asking = false;
  if (e->result == KQ_ORDER_OK)
    {
      list_comes (r, e);
      return;
    }
  if (e->result == KQ_ORDER_FENCED)
    {
      h->held = false;
      return;
    }
  if (++h->failures >= SILENT_AFTER)
    tell_unreached (r, c->agent, c->runner);
  ask_in (r, h, RETRY);
}

static void
outcome_comes (KqSchedRig *r, const KqSchedRigEvent *e)
{
  const KqSchedRigCall *c = &e->call;
  KqSchedRigHeld *h = held_of (r, c->agent, c->runner);
  KqAgentItem i
      = { .kind = KQ_AGENT_ITEM_OUTCOME, .runner = kq_str (r->runners[c->runner].id) };
  note_clock (h, e->clock_ms, 0, c->sent_at, r->now);
  i.u.outcome = (KqOrderOutcome){ .kind = c->kind,
                                  .task = kq_str (c->task),
                                  .run = c->run,
                                  .result = e->result,
                                  .order = ++h->results,
                                  .assignment = h->assignment,
                                  .lease_left_ms = kq_lease_left_ms (&h->lease, r->now) };
  kq_sched_rig_trace (r, c->task, "outcome", r->runners[c->runner].id, c->run, e->result);
  kq_sched_rig_tell_leader (r, c->agent, h->epoch, &i);
}

void
kq_sched_rig_agent_answer (KqSchedRig *r, const KqSchedRigEvent *e)
{
  const KqSchedRigHeld *h = held_of (r, e->call.agent, e->call.runner);
  if (!h->held || h->serial != e->call.serial)
    return; /* of an earlier taking */
  if (e->call.kind == KQ_ORDER_TAKE)
    question_ends (r, e);
  else
    outcome_comes (r, e);
}

static void
take (KqSchedRig *r, int agent, int runner, uint64_t epoch, uint64_t assignment)
{
  KqSchedRigHeld *h = held_of (r, agent, runner);
  KqSchedRigHeld old = *h;
  *h = (KqSchedRigHeld){ .held = true,
                         .epoch = epoch,
                         .serial = ++r->agents[agent].serial,
                         .assignment = assignment,
                         .ask_at = r->now };
  h->halt = h->serial;
  kq_lease_init (&h->lease);
  if (old.held)
    h->lease = old.lease;
  kq_sched_rig_trace_runner (r, runner, agent, "takes", (int64_t)epoch);
}

static void
carry_out (KqSchedRig *r, int agent, int runner, const KqOrder *o)
{
  KqSchedRigHeld *h = held_of (r, agent, runner);
  bool start = o->kind == KQ_ORDER_START;
  KqSchedRigCall c = { .agent = agent,
                       .runner = runner,
                       .kind = o->kind,
                       .run = start ? o->u.start.run : o->u.stop.run,
                       .lease_end_ms = -1 };
  if (start)
    {
      int64_t end = grant (r, agent, h);
      c.lease_end_ms = end >= 0 ? end : h->lease.end_ms;
      c.started_ms = h->lease.started_ms;
    }
  c.task = kq_str_dup (start ? o->u.start.task : o->u.stop.task);
  send_call (r, c);
}

static int
runner_of (const KqSchedRig *r, KqStr id)
{
  for (int i = 0; i < r->n_runners; i++)
    if (kq_str_eq (id, kq_str (r->runners[i].id)))
      return i;
  return -1;
}

void
kq_sched_rig_agent_order (KqSchedRig *r, int agent, uint64_t epoch, const KqOrder *o)
{
  int runner = runner_of (r, o->runner);
  KqSchedRigHeld *h;
  if (epoch < r->agents[agent].epoch || runner < 0)
    return;
  kq_sched_rig_agent_heard (r, agent, epoch);
  if (o->kind == KQ_ORDER_TAKE)
    {
      take (r, agent, runner, epoch, o->u.take.assignment);
      return;
    }
  h = held_of (r, agent, runner);
  if (!h->held || h->epoch != epoch)
    return;
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
    case KQ_ORDER_ADVISE:
    case KQ_ORDER_PACE:
      break;
    case KQ_ORDER_DROP:
      kq_sched_rig_trace_runner (r, runner, agent, "drops", 0);
      h->held = false;
      break;
    case KQ_ORDER_START:
    case KQ_ORDER_STOP:
      carry_out (r, agent, runner, o);
      break;
    case KQ_ORDER_SEEN:
      if (o->u.seen.ends > h->ends_seen && o->u.seen.started_ms == h->lease.started_ms)
        h->ends_seen = o->u.seen.ends;
      h->watched = o->u.seen.watched;
      if (!h->asking && h->ends_told <= h->ends_seen)
        ask_in (r, h, 0);
      break;
    case KQ_ORDER_RENEW:
      if (o->u.renew.halt != h->halt)
        break;
      h->halt = 0;
      if (!h->asking)
        ask_in (r, h, 0);
      break;
    }
}

void
kq_sched_rig_agent_heard (KqSchedRig *r, int agent, uint64_t epoch)
{
  KqSchedRigAgent *a = &r->agents[agent];
  if (epoch < a->epoch)
    return;
  a->epoch = epoch;
  a->heard_at = r->now;
}

void
kq_sched_rig_agent_counted (KqSchedRig *r, int agent, uint64_t epoch, KqTime at)
{
  KqSchedRigAgent *a = &r->agents[agent];
  if (epoch < a->epoch || at <= a->counted_at)
    return;
  a->counted_at = at;
  if (at > a->heard_at)
    {
      a->epoch = epoch;
      a->heard_at = at;
    }
}

void
kq_sched_rig_agent_released (KqSchedRig *r, int agent)
{
  for (int i = 0; i < r->n_runners; i++)
    {
      if (r->agents[agent].held[i].held)
        kq_sched_rig_trace_runner (r, i, agent, "lets go", 0);
      r->agents[agent].held[i].held = false;
    }
}

void
kq_sched_rig_agent_tick (KqSchedRig *r, int agent)
{
  const KqSchedRigAgent *a = &r->agents[agent];
  if (r->now < a->frozen_until)
    return;
  for (int i = 0; i < r->n_runners; i++)
    if (a->held[i].held && !a->held[i].asking && r->now >= a->held[i].ask_at)
      ask (r, agent, i);
}

void
kq_sched_rig_stop_agent (KqSchedRig *r, int agent, KqTime span, bool heard)
{
  KqSchedRigAgent *a = &r->agents[agent];
  kq_sched_rig_break_link (r, agent, heard);
  kq_sched_rig_agent_released (r, agent);
  a->epoch = 0;
  a->learns_at = r->now + span;
}
