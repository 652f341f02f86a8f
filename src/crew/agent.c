#include "crew/agent.h"

#include "base/log.h"
#include "crew/state.h"

#include <stdlib.h>
#include <string.h>

static void
take (KqCrewAgent *a, uint64_t epoch, const KqOrder *o)
{
  KqHeld *h = kq_alloc (sizeof *h);
  KqHeld *old;
  h->agent = a;
  h->id = kq_str_dup (o->runner);
  h->address = kq_str_dup (o->u.take.address);
  h->epoch = epoch;
  h->serial = h->halt = ++a->serial;
  h->taking = o->u.take.taking;
  kq_lease_init (&h->lease);
  h->told = kq_told_new ();
  ev_timer_init (&h->next, kq_held_on_next, 0, 0);
  h->next.data = h;
  old = g_hash_table_lookup (a->held, h->id);
  if (old != NULL && strcmp (old->address, h->address) == 0)
    h->lease = old->lease;
  g_hash_table_replace (a->held, h->id, h);
  kq_held_ask_in (h, 0);
}

void
kq_crew_agent_order (KqCrewAgent *a, uint64_t epoch, const KqOrder *o, KqTime now)
{
  char id[KQ_NAME_MAX + 1];
  KqRunnerAim to;
  KqHeld *h;
  if (epoch < a->epoch || !kq_str_copy (o->runner, id, sizeof id))
    return;
  kq_crew_agent_heard (a, epoch, now);
  if (o->kind == KQ_ORDER_ADVISE)
    {
      kq_crew_agent_advise (a, epoch, o);
      return;
    }
  h = g_hash_table_lookup (a->held, id);
  if (o->kind == KQ_ORDER_TAKE)
    {
      take (a, epoch, o);
      return;
    }
  if (h == NULL || h->epoch != epoch)
    return; /* the leader hears of it by the next TAKE, or by our silence */
  to = kq_held_aim (h, KQ_CREW_CALL_MS);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
    case KQ_ORDER_ADVISE:
      break;
    case KQ_ORDER_DROP:
      g_hash_table_remove (a->held, id);
      break;
    case KQ_ORDER_START:
      kq_starts_add (h, o, now);
      break;
    case KQ_ORDER_STOP:
      kq_runner_stop (
          a->config.calls, &to, o->u.stop.task, o->u.stop.run,
          (KqRunnerCallback){ kq_held_on_outcome,
                              kq_held_call (h, o->kind, o->u.stop.task, o->u.stop.run) });
      break;
    case KQ_ORDER_PACE:
      kq_runner_pace (
          a->config.calls, &to, o->u.pace.task, o->u.pace.run, o->u.pace.percent,
          (KqRunnerCallback){ kq_held_on_outcome,
                              kq_held_call (h, o->kind, o->u.pace.task, o->u.pace.run) });
      break;
    case KQ_ORDER_SEEN:
      if (o->u.seen.ends > h->ends_seen && o->u.seen.born_ms == h->lease.born_ms)
        h->ends_seen = o->u.seen.ends;
      h->watched = o->u.seen.watched;
      if (!h->asking && h->ends_told <= h->ends_seen)
        kq_held_ask_in (h, 0);
      break;
    case KQ_ORDER_RENEW:
      if (o->u.renew.halt != h->halt)
        break; /* silence has been reported again since */
      h->halt = 0;
      kq_held_ask (h, now);
      /* The question keeps one connection busy: starts need another one. */
      h = g_hash_table_lookup (a->held, id);
      if (h != NULL && !h->proving)
        kq_starts_prove (h);
      break;
    }
}

void
kq_crew_agent_heard (KqCrewAgent *a, uint64_t epoch, KqTime now)
{
  if (epoch < a->epoch)
    return;
  a->epoch = epoch;
  a->heard_at = now;
}

void
kq_crew_agent_counted (KqCrewAgent *a, uint64_t epoch, KqTime at)
{
  if (epoch < a->epoch || at <= a->counted_at)
    return;
  a->counted_at = at;
  if (at > a->heard_at)
    kq_crew_agent_heard (a, epoch, at);
}

/* Renewing on, unknown to the leader, kept a runner alive whose lease the leader counted
 * as over: nine tasks ran twice (a node whose connections were reset, and 13 s later a
 * runner that its next agent didn't reach). */
void
kq_crew_agent_released (KqCrewAgent *a)
{
  guint n = g_hash_table_size (a->held);
  if (n > 0)
    kq_log (KQ_LOG_INFO, PART, "Released from all runners. runners=%u epoch=%llu", n,
            (unsigned long long)a->epoch);
  g_hash_table_remove_all (a->held);
  a->tells_changes = false;
}

void
kq_crew_agent_tell_changes (KqCrewAgent *a, bool known)
{
  a->tells_changes = known;
}

KqCrewAgent *
kq_crew_agent_new (const KqCrewAgentConfig *c)
{
  KqCrewAgent *a = kq_alloc (sizeof *a);
  a->config = *c;
  a->counted_at = kq_time_now (); /* nothing is held yet */
  a->held = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kq_held_free);
  a->renewals = kq_counter (c->counters, "kq_runner_renewals_total", "",
                            "Renewals of runners' leases asked for.");
  a->renewals_failed = kq_counter (c->counters, "kq_runner_renewals_failed_total", "",
                                   "Renewals without a good answer.");
  a->proofs = kq_counter (c->counters, "kq_runner_proofs_total", "",
                          "Questions that only prove a connection for starts.");
  return a;
}

void
kq_crew_agent_free (KqCrewAgent *a)
{
  if (a == NULL)
    return;
  g_hash_table_destroy (a->held);
  free (a);
}

size_t
kq_crew_agent_runners (const KqCrewAgent *a)
{
  return g_hash_table_size (a->held);
}
