/* starts: sends the starts that a leader has ordered, and reports how orders end. conns.c
 * decides when a start may be sent. */

#include "agent/state.h"
#include "base/log.h"

#include <stdlib.h>

/* A start that couldn't be sent within this time is refused; the leader picks another
 * runner. */
#define START_TIMEOUT (KQ_AGENT_CALL_MS * KQ_MS)

/* Queues the call's start again if it wasn't sent and START_TIMEOUT isn't over. False:
 * nothing was queued. */
static bool
requeue_start (KqAgentRunner *runner, KqAgentCall *c, const KqRunnerReply *r, KqTime now)
{
  if (c->start == NULL || !r->unsent || now - c->start->ordered_at > START_TIMEOUT)
    return false;
  g_queue_push_head (&runner->starts, c->start);
  c->start = NULL;
  return true;
}

/* The cordon of the runner's failure domain; NULL: it isn't cordoned. */
static const KqCordon *
find_cordon (const KqAgentRunner *runner)
{
  const KqCordons *c = runner->agent->config.cordons;
  return c != NULL ? kq_cordons_find (c, kq_str (runner->domain)) : NULL;
}

/* Measures how long starts that were under way go on in a cordoned domain. */
static void
measure_start (KqAgentRunner *runner, const KqAgentCall *c, const KqRunnerReply *r,
               KqTime now)
{
  const KqCordon *cordon = find_cordon (runner);
  if (cordon != NULL && c->kind == KQ_ORDER_START && r->result == KQ_ORDER_OK)
    kq_histogram_add (&runner->agent->cordoned_answer, now - cordon->since);
}

void
kq_agent_runner_on_outcome (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqAgentCall *c = arg;
  KqAgentRunner *runner = kq_agent_call_ended (c, r);
  KqOrderOutcome o;
  if (runner == NULL)
    goto out;
  kq_agent_runner_update_lease (runner, r, now);
  measure_start (runner, c, r, now);
  if (!requeue_start (runner, c, r, now))
    {
      if (r->result == KQ_ORDER_UNHEALTHY)
        kq_log (KQ_LOG_INFO, PART,
                "Order came to nothing. task=%s run=%u runner=%s order=%s unsent=%d "
                "took_ms=%lld",
                c->task, c->run, runner->id, kq_order_kind_name (c->kind), r->unsent,
                (long long)((now - r->called_at) / KQ_MS));
      o = (KqOrderOutcome){ .kind = c->kind,
                            .task = kq_str (c->task),
                            .run = c->run,
                            .result = r->result,
                            .unsent = r->unsent };
      kq_agent_runner_report_outcome (runner, &o, now);
    }
  runner = kq_agent_call_runner (c);
  if (runner != NULL)
    kq_starts_send (runner, now);
out:
  kq_agent_call_free (c);
}

/* A start carries a lease's end also when none may be granted, and may arrive as late as
 * its call ends. A runner that has restarted takes that end for one of full length. */
static void
record_lease_of_start (const KqAgentRunner *runner, KqTime now)
{
  int64_t left_ms = kq_lease_left_ms (&runner->lease, now);
  int64_t longest_ms = runner->agent->config.lease_ms * 102 / 100; /* its clock is slow */
  if (left_ms < longest_ms)
    left_ms = longest_ms;
  kq_grants_record (runner->agent->grants, runner->id,
                    now + (KQ_AGENT_CALL_MS + left_ms) * KQ_MS);
}

static void
send_start (KqAgentRunner *runner, KqStart *st, KqTime now)
{
  KqRunnerDest to = kq_agent_runner_dest (runner, KQ_AGENT_CALL_MS);
  KqAgentCall *c = kq_agent_call_new (runner, KQ_ORDER_START, kq_str (st->task), st->run);
  int64_t end = kq_agent_runner_grant_lease (runner, now);
  record_lease_of_start (runner, now);
  c->start = st;
  to.opened_before = runner->conns.verified_at;
  kq_runner_start (runner->agent->config.calls, &to, kq_str (st->task), st->run, st->text,
                   st->checkpoint, st->ticket, end >= 0 ? end : runner->lease.end_ms,
                   (KqRunnerCallback){ kq_agent_runner_on_outcome, c });
}

/* Reports all queued starts as refused; none of them was sent. The leader may take the
 * runner away from this agent while it handles such a report. Returns the runner; NULL:
 * it was taken away. */
static KqAgentRunner *
refuse_starts (KqAgentRunner *runner, bool cordoned, KqTime now)
{
  KqAgent *a = runner->agent;
  uint64_t serial = runner->serial;
  char *id = kq_str_dup (kq_str (runner->id));
  while (runner != NULL && !g_queue_is_empty (&runner->starts))
    {
      KqStart *st = g_queue_pop_head (&runner->starts);
      KqOrderOutcome o = { .kind = KQ_ORDER_START,
                           .task = kq_str (st->task),
                           .run = st->run,
                           .result = KQ_ORDER_UNHEALTHY,
                           .unsent = true,
                           .cordoned = cordoned };
      kq_log (KQ_LOG_INFO, PART,
              "Start has not left. task=%s run=%u runner=%s cordoned=%d", st->task,
              st->run, runner->id, cordoned);
      kq_agent_runner_report_outcome (runner, &o, now);
      kq_start_free (st);
      runner = kq_agent_find_runner (a, id, serial);
    }
  free (id);
  return runner;
}

/* The runner's list isn't reported to the leader: the reply to a poll in flight may be
 * older, and would replace this list. */
static void
on_verification (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqAgentCall *c = arg;
  KqAgentRunner *runner = kq_agent_call_ended (c, r);
  if (runner == NULL)
    goto out;
  runner->verifying = false;
  if (r->result == KQ_ORDER_OK)
    {
      kq_agent_runner_update_lease (runner, r, now);
      kq_conns_verified (&runner->conns, c->in_use, r->send_started_at);
      kq_starts_send (runner, now);
    }
  else
    refuse_starts (runner, false, now);
out:
  kq_agent_call_free (c);
}

void
kq_starts_verify_connection (KqAgentRunner *runner)
{
  KqRunnerDest to = kq_agent_runner_dest (runner, KQ_AGENT_CALL_MS);
  KqAgentCall *c = kq_agent_call_new (runner, KQ_ORDER_RENEW, KQ_STR (""), 0);
  runner->verifying = true;
  ++*runner->agent->verifications;
  kq_runner_renew (runner->agent->config.calls, &to, -1, 0, 0,
                   (KqRunnerCallback){ on_verification, c });
}

void
kq_starts_send (KqAgentRunner *runner, KqTime now)
{
  if (find_cordon (runner) != NULL && !g_queue_is_empty (&runner->starts))
    {
      *runner->agent->starts_cordoned += g_queue_get_length (&runner->starts);
      runner = refuse_starts (runner, true, now);
      if (runner == NULL)
        return;
    }
  while (!g_queue_is_empty (&runner->starts) && kq_conns_start_allowed (&runner->conns))
    send_start (runner, g_queue_pop_head (&runner->starts), now);
  if (!g_queue_is_empty (&runner->starts) && !runner->verifying)
    kq_starts_verify_connection (runner);
}

void
kq_starts_add (KqAgentRunner *runner, const KqOrder *o, KqTime now)
{
  KqStart *st = kq_alloc (sizeof *st);
  st->task = kq_str_dup (o->u.start.task);
  st->run = o->u.start.run;
  st->text = kq_str_own (o->u.start.text);
  st->checkpoint = kq_str_own (o->u.start.checkpoint);
  st->ticket = kq_str_own (o->u.start.ticket);
  st->ordered_at = now;
  g_queue_push_tail (&runner->starts, st);
  kq_starts_send (runner, now);
}
