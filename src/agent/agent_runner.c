/* agent_runner: a runner that is assigned to this agent, and the calls to it. */

#include "agent/state.h"

#include <stdlib.h>

void
kq_start_free (gpointer p)
{
  KqStart *st = p;
  if (st == NULL)
    return;
  free (st->task);
  kq_str_drop (&st->text);
  kq_str_drop (&st->checkpoint);
  kq_str_drop (&st->ticket);
  free (st);
}

void
kq_agent_runner_free (gpointer p)
{
  KqAgentRunner *runner = p;
  ev_timer_stop (kq_loop_ev (runner->agent->config.loop), &runner->poll_timer);
  g_queue_clear_full (&runner->starts, kq_start_free);
  kq_run_delta_state_free (runner->run_delta);
  free (runner->id);
  free (runner->address);
  free (runner->domain);
  free (runner);
}

KqAgentCall *
kq_agent_call_new (KqAgentRunner *runner, KqOrderKind kind, KqStr task, uint32_t run)
{
  KqAgentCall *c = kq_alloc (sizeof *c);
  c->agent = runner->agent;
  c->serial = runner->serial;
  c->outcomes_sent = runner->outcomes_sent;
  c->in_use = kq_conns_call_began (&runner->conns);
  c->kind = kind;
  c->runner = kq_str_dup (kq_str (runner->id));
  c->task = kq_str_dup (task);
  c->run = run;
  return c;
}

void
kq_agent_call_free (KqAgentCall *c)
{
  free (c->runner);
  free (c->task);
  kq_start_free (c->start);
  free (c);
}

KqAgentRunner *
kq_agent_find_runner (const KqAgent *a, const char *id, uint64_t serial)
{
  KqAgentRunner *runner = g_hash_table_lookup (a->runners, id);
  return runner != NULL && runner->serial == serial ? runner : NULL;
}

KqAgentRunner *
kq_agent_call_runner (const KqAgentCall *c)
{
  return kq_agent_find_runner (c->agent, c->runner, c->serial);
}

KqAgentRunner *
kq_agent_call_ended (const KqAgentCall *c, const KqRunnerReply *r)
{
  KqAgentRunner *runner = kq_agent_call_runner (c);
  if (runner == NULL)
    return NULL;
  kq_conns_call_ended (&runner->conns, r->unsent                       ? KQ_CONN_UNSENT
                                       : r->result == KQ_ORDER_UNKNOWN ? KQ_CONN_CLOSED
                                                                       : KQ_CONN_KEPT);
  return runner;
}

void
kq_agent_runner_notify (KqAgentRunner *runner, KqAgentItem *i)
{
  i->runner = kq_str (runner->id);
  runner->agent->config.notice (runner->agent->config.arg, runner->epoch, i);
}

void
kq_agent_runner_update_lease (KqAgentRunner *runner, const KqRunnerReply *r, KqTime now)
{
  KqLeaseReply n = { r->clock_ms, r->started_ms, r->called_at };
  /* A runner that restarts numbers the ends of its runs from 1 again. It must not get an
   * acknowledgement of the earlier numbers: it would drop ends that weren't read yet. */
  if (!kq_lease_update (&runner->lease, &n, runner->agent->config.lease_ms, now))
    return;
  runner->ends_acked = runner->ends_reported = 0;
  kq_conns_runner_restarted (&runner->conns);
}

KqRunnerDest
kq_agent_runner_dest (const KqAgentRunner *runner, int timeout_ms)
{
  return (KqRunnerDest){ .address = kq_str (runner->address),
                         .id = kq_str (runner->id),
                         .epoch = runner->epoch,
                         .timeout_ms = timeout_ms };
}

/* Whether the leader still waits for leases that are granted now before it starts the
 * tasks elsewhere. Messages of the leader may have been delayed, so their arrival proves
 * nothing. */
static bool
leader_honours_leases (const KqAgent *a, KqTime now)
{
  return now - a->leader_confirmed_at <= a->config.renew_without_leader_ms * KQ_MS;
}

/* No lease is granted to a runner that doesn't answer: it may still receive the calls,
 * and its lease has to expire at some time, or its tasks could never be started
 * elsewhere. Nor is a lease granted to a runner that was just assigned or unreachable
 * before the leader has sent RENEW for it: the leader may take the runner's lease for
 * expired. */
int64_t
kq_agent_runner_grant_lease (KqAgentRunner *runner, KqTime now)
{
  if (runner->lease.clock_ms < 0 || runner->failures > 0 || runner->halt != 0
      || !leader_honours_leases (runner->agent, now))
    return -1;
  kq_lease_grant (&runner->lease, runner->agent->config.lease_ms, now);
  kq_grants_record (runner->agent->grants, runner->id,
                    now + kq_lease_left_ms (&runner->lease, now) * KQ_MS);
  return runner->lease.end_ms;
}

void
kq_agent_runner_report_outcome (KqAgentRunner *runner, const KqOrderOutcome *o,
                                KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_OUTCOME };
  i.u.outcome = *o;
  i.u.outcome.order = ++runner->outcomes_sent;
  i.u.outcome.assignment = runner->assignment;
  i.u.outcome.lease_left_ms = kq_lease_left_ms (&runner->lease, now);
  kq_agent_runner_notify (runner, &i);
}
