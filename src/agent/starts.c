/* starts: sends the starts that a leader has ordered, and reports how orders end. gate.c
 * decides when a start may be sent. */

#include "agent/state.h"
#include "base/log.h"

#include <stdlib.h>

/* A start that couldn't be sent within this time is refused; the leader picks another
 * runner. */
#define START_TIMEOUT (KQ_AGENT_CALL_MS * KQ_MS)

/* Queues a start again that found no verified connection. */
static bool
requeue_start (KqAgentRunner *h, KqAgentCall *c, const KqRunnerReply *r, KqTime now)
{
  if (c->start == NULL || !r->unsent || now - c->start->ordered_at > START_TIMEOUT)
    return false;
  g_queue_push_head (&h->starts, c->start);
  c->start = NULL;
  return true;
}

void
kq_agent_runner_on_outcome (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqAgentCall *c = arg;
  KqAgentRunner *h = kq_agent_call_ended (c, r);
  KqOrderOutcome o;
  if (h == NULL)
    goto out;
  kq_agent_runner_update_lease (h, r, now);
  if (!requeue_start (h, c, r, now))
    {
      if (r->result == KQ_ORDER_UNHEALTHY)
        kq_log (KQ_LOG_INFO, PART,
                "Order came to nothing. task=%s run=%u runner=%s order=%s unsent=%d "
                "took_ms=%lld",
                c->task, c->run, h->id, kq_order_kind_name (c->kind), r->unsent,
                (long long)((now - r->called_at) / KQ_MS));
      o = (KqOrderOutcome){
        .kind = c->kind, .task = kq_str (c->task), .run = c->run, .result = r->result
      };
      kq_agent_runner_report_outcome (h, &o, now);
    }
  h = kq_agent_call_runner (c);
  if (h != NULL)
    kq_starts_send (h, now);
out:
  kq_agent_call_free (c);
}

static void
send_start (KqAgentRunner *h, KqStart *st, KqTime now)
{
  KqRunnerDest to = kq_agent_runner_aim (h, KQ_AGENT_CALL_MS);
  KqAgentCall *c = kq_agent_call_new (h, KQ_ORDER_START, kq_str (st->task), st->run);
  int64_t end = kq_agent_runner_grant_lease (h, now);
  c->start = st;
  to.opened_before = h->conns.verified_at;
  kq_runner_start (h->agent->config.calls, &to, kq_str (st->task), st->run,
                   kq_str (st->text), kq_str (st->checkpoint), kq_str (st->ticket),
                   end >= 0 ? end : h->lease.end_ms,
                   (KqRunnerCallback){ kq_agent_runner_on_outcome, c });
}

/* Refuses all queued starts; none of them was sent. The leader may take the runner away
 * from this agent as it handles a report. */
static void
refuse_starts (KqAgentCall *c, KqTime now)
{
  KqAgentRunner *h = kq_agent_call_runner (c);
  while (h != NULL && !g_queue_is_empty (&h->starts))
    {
      KqStart *st = g_queue_pop_head (&h->starts);
      KqOrderOutcome o = { .kind = KQ_ORDER_START,
                           .task = kq_str (st->task),
                           .run = st->run,
                           .result = KQ_ORDER_UNHEALTHY };
      kq_log (KQ_LOG_INFO, PART, "Start has not left. task=%s run=%u runner=%s", st->task,
              st->run, h->id);
      kq_agent_runner_report_outcome (h, &o, now);
      kq_start_free (st);
      h = kq_agent_call_runner (c);
    }
}

/* The list isn't reported: the reply to a poll in flight may be older and would replace
 * it. */
static void
on_verification (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqAgentCall *c = arg;
  KqAgentRunner *h = kq_agent_call_ended (c, r);
  if (h == NULL)
    goto out;
  h->verifying = false;
  if (r->result == KQ_ORDER_OK)
    {
      kq_agent_runner_update_lease (h, r, now);
      kq_conns_verified (&h->conns, c->in_use, r->send_started_at);
      kq_starts_send (h, now);
    }
  else
    refuse_starts (c, now);
out:
  kq_agent_call_free (c);
}

void
kq_starts_verify_connection (KqAgentRunner *h)
{
  KqRunnerDest to = kq_agent_runner_aim (h, KQ_AGENT_CALL_MS);
  KqAgentCall *c = kq_agent_call_new (h, KQ_ORDER_RENEW, KQ_STR (""), 0);
  h->verifying = true;
  ++*h->agent->verifications;
  kq_runner_renew (h->agent->config.calls, &to, -1, 0, 0,
                   (KqRunnerCallback){ on_verification, c });
}

void
kq_starts_send (KqAgentRunner *h, KqTime now)
{
  while (!g_queue_is_empty (&h->starts) && kq_conns_start_allowed (&h->conns))
    send_start (h, g_queue_pop_head (&h->starts), now);
  if (!g_queue_is_empty (&h->starts) && !h->verifying)
    kq_starts_verify_connection (h);
}

void
kq_starts_add (KqAgentRunner *h, const KqOrder *o, KqTime now)
{
  KqStart *st = kq_alloc (sizeof *st);
  st->task = kq_str_dup (o->u.start.task);
  st->run = o->u.start.run;
  st->text = kq_str_dup (o->u.start.text);
  st->checkpoint = kq_str_dup (o->u.start.checkpoint);
  st->ticket = kq_str_dup (o->u.start.ticket);
  st->ordered_at = now;
  g_queue_push_tail (&h->starts, st);
  kq_starts_send (h, now);
}
