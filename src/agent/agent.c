#include "agent/agent.h"

#include "agent/state.h"
#include "base/log.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static void
assign_runner (KqAgent *a, uint64_t epoch, const KqOrder *o)
{
  KqAgentRunner *runner = kq_alloc (sizeof *runner);
  KqAgentRunner *previous;
  runner->agent = a;
  runner->id = kq_str_dup (o->runner);
  runner->address = kq_str_dup (o->u.take.address);
  runner->domain = kq_str_dup (o->u.take.failure_domain);
  runner->epoch = epoch;
  runner->serial = runner->halt = ++a->serial;
  runner->assignment = o->u.take.assignment;
  kq_lease_init (&runner->lease);
  runner->run_delta = kq_run_delta_state_new ();
  ev_timer_init (&runner->poll_timer, kq_agent_runner_on_poll_timer, 0, 0);
  runner->poll_timer.data = runner;
  previous = g_hash_table_lookup (a->runners, runner->id);
  if (previous != NULL && strcmp (previous->address, runner->address) == 0)
    runner->lease = previous->lease;
  g_hash_table_replace (a->runners, runner->id, runner);
  kq_agent_runner_poll_in (runner, 0);
}

void
kq_agent_order (KqAgent *a, uint64_t epoch, const KqOrder *o, KqTime now)
{
  char id[KQ_NAME_MAX + 1];
  KqRunnerDest to;
  KqAgentRunner *runner;
  if (epoch < a->epoch || !kq_str_copy (o->runner, id, sizeof id))
    return;
  kq_agent_leader_heard (a, epoch, now);
  if (o->kind == KQ_ORDER_ADVISE)
    {
      kq_agent_ask_advice (a, epoch, o, now);
      return;
    }
  runner = g_hash_table_lookup (a->runners, id);
  if (o->kind == KQ_ORDER_TAKE)
    {
      assign_runner (a, epoch, o);
      return;
    }
  if (runner == NULL || runner->epoch != epoch)
    return; /* the leader notices by its next TAKE, or as no list of the runner arrives */
  to = kq_agent_runner_dest (runner, KQ_AGENT_CALL_MS);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
    case KQ_ORDER_ADVISE:
      break;
    case KQ_ORDER_DROP:
      g_hash_table_remove (a->runners, id);
      break;
    case KQ_ORDER_START:
      kq_starts_add (runner, o, now);
      break;
    case KQ_ORDER_STOP:
      kq_runner_stop (
          a->config.calls, &to, o->u.stop.task, o->u.stop.run,
          (KqRunnerCallback){
              kq_agent_runner_on_outcome,
              kq_agent_call_new (runner, o->kind, o->u.stop.task, o->u.stop.run) });
      break;
    case KQ_ORDER_PACE:
      kq_runner_pace (
          a->config.calls, &to, o->u.pace.task, o->u.pace.run, o->u.pace.percent,
          (KqRunnerCallback){
              kq_agent_runner_on_outcome,
              kq_agent_call_new (runner, o->kind, o->u.pace.task, o->u.pace.run) });
      break;
    case KQ_ORDER_SEEN:
      if (o->u.seen.ends > runner->ends_acked
          && o->u.seen.started_ms == runner->lease.started_ms)
        runner->ends_acked = o->u.seen.ends;
      runner->watched = o->u.seen.watched;
      if (!runner->polling && runner->ends_listed <= runner->ends_acked)
        kq_agent_runner_poll_in (runner, 0);
      break;
    case KQ_ORDER_RENEW:
      if (o->u.renew.halt != runner->halt)
        break; /* the runner was reported unreachable again since */
      runner->halt = 0;
      kq_agent_runner_poll (runner, now);
      /* The poll occupies one connection; starts need another one. */
      runner = g_hash_table_lookup (a->runners, id);
      if (runner != NULL && !runner->verifying)
        kq_starts_verify_connection (runner);
      break;
    }
}

void
kq_agent_leader_heard (KqAgent *a, uint64_t epoch, KqTime now)
{
  if (epoch < a->epoch)
    return;
  a->epoch = epoch;
  a->heard_at = now;
}

void
kq_agent_leader_confirmed (KqAgent *a, uint64_t epoch, KqTime at)
{
  if (epoch < a->epoch || at <= a->leader_confirmed_at)
    return;
  a->leader_confirmed_at = at;
  if (at > a->heard_at)
    kq_agent_leader_heard (a, epoch, at);
}

/* An agent that kept its runners would also renew the lease of a runner that the leader
 * has since assigned to another agent, and whose lease the leader takes for expired. Nine
 * tasks ran twice that way: a node's connections were reset, and 13 s later the runner's
 * next agent couldn't reach the runner. */
void
kq_agent_release_all (KqAgent *a)
{
  guint n = g_hash_table_size (a->runners);
  if (n > 0)
    kq_log (KQ_LOG_INFO, PART,
            "All runners released after a change of connection or leader. runners=%u "
            "epoch=%llu",
            n, (unsigned long long)a->epoch);
  g_hash_table_remove_all (a->runners);
  a->sends_changes = false;
}

void
kq_agent_report_grants (KqAgent *a, uint64_t epoch, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_GRANTS };
  KqGrantRow *rows;
  assert (g_hash_table_size (a->runners) == 0);
  rows = kq_grants_list (a->grants, now, &i.u.grants.n_rows);
  i.u.grants.process_age_ms = (now - a->created_at) / KQ_MS;
  i.u.grants.rows = rows;
  kq_log (KQ_LOG_INFO, PART, "Reporting leases granted before. epoch=%llu leases=%zu",
          (unsigned long long)epoch, i.u.grants.n_rows);
  a->config.notice (a->config.arg, epoch, &i);
  free (rows);
}

void
kq_agent_use_changes (KqAgent *a, bool known)
{
  a->sends_changes = known;
}

KqAgent *
kq_agent_new (const KqAgentConfig *c)
{
  KqAgent *a = kq_alloc (sizeof *a);
  a->config = *c;
  a->created_at = kq_time_now ();
  a->leader_confirmed_at = a->created_at; /* no runner is assigned yet */
  a->grants = kq_grants_new ();
  a->runners
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kq_agent_runner_free);
  a->renewals = kq_counter (c->counters, "kq_runner_renewals_total", "",
                            "Renewals of runners' leases asked for.");
  a->renewals_failed = kq_counter (c->counters, "kq_runner_renewals_failed_total", "",
                                   "Renewals without a good answer.");
  a->verifications = kq_counter (c->counters, "kq_runner_proofs_total", "",
                                 "Questions that only prove a connection for starts.");
  a->starts_cordoned
      = kq_counter (c->counters, "kq_starts_cordoned_total", "",
                    "Starts that weren't sent, as the failure domain is cordoned.");
  a->cordoned_answer
      = kq_histogram (c->counters, "kq_start_cordoned_answer_ms", "",
                      "From a cordon to answers of starts that were under way.");
  return a;
}

void
kq_agent_free (KqAgent *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->runners);
  kq_grants_free (a->grants);
  kq_agent_free_advice_requests (a);
  free (a);
}

size_t
kq_agent_n_runners (const KqAgent *a)
{
  return g_hash_table_size (a->runners);
}
