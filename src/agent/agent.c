#include "agent/agent.h"

#include "agent/state.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

static void
assign_runner (KqAgent *a, uint64_t epoch, const KqOrder *o)
{
  KqAgentRunner *h = kq_alloc (sizeof *h);
  KqAgentRunner *previous;
  h->agent = a;
  h->id = kq_str_dup (o->runner);
  h->address = kq_str_dup (o->u.take.address);
  h->epoch = epoch;
  h->serial = h->halt = ++a->serial;
  h->assignment = o->u.take.assignment;
  kq_lease_init (&h->lease);
  h->run_delta = kq_run_delta_state_new ();
  ev_timer_init (&h->poll_timer, kq_agent_runner_on_poll_timer, 0, 0);
  h->poll_timer.data = h;
  previous = g_hash_table_lookup (a->runners, h->id);
  if (previous != NULL && strcmp (previous->address, h->address) == 0)
    h->lease = previous->lease;
  g_hash_table_replace (a->runners, h->id, h);
  kq_agent_runner_poll_in (h, 0);
}

void
kq_agent_order (KqAgent *a, uint64_t epoch, const KqOrder *o, KqTime now)
{
  char id[KQ_NAME_MAX + 1];
  KqRunnerDest to;
  KqAgentRunner *h;
  if (epoch < a->epoch || !kq_str_copy (o->runner, id, sizeof id))
    return;
  kq_agent_leader_heard (a, epoch, now);
  if (o->kind == KQ_ORDER_ADVISE)
    {
      kq_agent_ask_advice (a, epoch, o);
      return;
    }
  h = g_hash_table_lookup (a->runners, id);
  if (o->kind == KQ_ORDER_TAKE)
    {
      assign_runner (a, epoch, o);
      return;
    }
  if (h == NULL || h->epoch != epoch)
    return; /* the leader notices by its next TAKE, or as no list of the runner arrives */
  to = kq_agent_runner_aim (h, KQ_AGENT_CALL_MS);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
    case KQ_ORDER_ADVISE:
      break;
    case KQ_ORDER_DROP:
      g_hash_table_remove (a->runners, id);
      break;
    case KQ_ORDER_START:
      kq_starts_add (h, o, now);
      break;
    case KQ_ORDER_STOP:
      kq_runner_stop (a->config.calls, &to, o->u.stop.task, o->u.stop.run,
                      (KqRunnerCallback){ kq_agent_runner_on_outcome,
                                          kq_agent_call_new (h, o->kind, o->u.stop.task,
                                                             o->u.stop.run) });
      break;
    case KQ_ORDER_PACE:
      kq_runner_pace (a->config.calls, &to, o->u.pace.task, o->u.pace.run,
                      o->u.pace.percent,
                      (KqRunnerCallback){ kq_agent_runner_on_outcome,
                                          kq_agent_call_new (h, o->kind, o->u.pace.task,
                                                             o->u.pace.run) });
      break;
    case KQ_ORDER_SEEN:
      if (o->u.seen.ends > h->ends_acked && o->u.seen.started_ms == h->lease.started_ms)
        h->ends_acked = o->u.seen.ends;
      h->watched = o->u.seen.watched;
      if (!h->polling && h->ends_listed <= h->ends_acked)
        kq_agent_runner_poll_in (h, 0);
      break;
    case KQ_ORDER_RENEW:
      if (o->u.renew.halt != h->halt)
        break; /* the runner was reported unreachable again since */
      h->halt = 0;
      kq_agent_runner_poll (h, now);
      /* The poll occupies one connection; starts need another one. */
      h = g_hash_table_lookup (a->runners, id);
      if (h != NULL && !h->verifying)
        kq_starts_verify_connection (h);
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

/* Without this the agent kept renewing the lease of a runner that the leader had assigned
 * to another agent and whose lease it took for expired: nine tasks ran twice (a node's
 * connections were reset, and 13 s later the runner's next agent couldn't reach it). */
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
kq_agent_use_changes (KqAgent *a, bool known)
{
  a->sends_changes = known;
}

KqAgent *
kq_agent_new (const KqAgentConfig *c)
{
  KqAgent *a = kq_alloc (sizeof *a);
  a->config = *c;
  a->leader_confirmed_at = kq_time_now (); /* no runner is assigned yet */
  a->runners
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kq_agent_runner_free);
  a->renewals = kq_counter (c->counters, "kq_runner_renewals_total", "",
                            "Renewals of runners' leases asked for.");
  a->renewals_failed = kq_counter (c->counters, "kq_runner_renewals_failed_total", "",
                                   "Renewals without a good answer.");
  a->verifications = kq_counter (c->counters, "kq_runner_proofs_total", "",
                                 "Questions that only prove a connection for starts.");
  return a;
}

void
kq_agent_free (KqAgent *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->runners);
  free (a);
}

size_t
kq_agent_n_runners (const KqAgent *a)
{
  return g_hash_table_size (a->runners);
}
