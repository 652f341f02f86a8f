/* held: a runner that this node looks after, and the calls to it. */

#include "crew/state.h"

#include <stdlib.h>

void
kq_start_free (gpointer p)
{
  KqStart *st = p;
  if (st == NULL)
    return;
  free (st->task);
  free (st->text);
  free (st->checkpoint);
  free (st->ticket);
  free (st);
}

void
kq_held_free (gpointer p)
{
  KqHeld *h = p;
  ev_timer_stop (kq_loop_ev (h->agent->config.loop), &h->next);
  g_queue_clear_full (&h->starts, kq_start_free);
  kq_told_free (h->told);
  free (h->id);
  free (h->address);
  free (h);
}

KqHeldCall *
kq_held_call (KqHeld *h, KqOrderKind kind, KqStr task, uint32_t run)
{
  KqHeldCall *c = kq_alloc (sizeof *c);
  c->agent = h->agent;
  c->serial = h->serial;
  c->order = h->results;
  c->in_use = kq_gate_called (&h->gate);
  c->kind = kind;
  c->runner = kq_str_dup (kq_str (h->id));
  c->task = kq_str_dup (task);
  c->run = run;
  return c;
}

void
kq_held_call_free (KqHeldCall *c)
{
  free (c->runner);
  free (c->task);
  kq_start_free (c->start);
  free (c);
}

KqHeld *
kq_held_of (const KqHeldCall *c)
{
  KqHeld *h = g_hash_table_lookup (c->agent->held, c->runner);
  return h != NULL && h->serial == c->serial ? h : NULL;
}

KqHeld *
kq_held_call_ended (const KqHeldCall *c, const KqRunnerReply *r)
{
  KqHeld *h = kq_held_of (c);
  if (h == NULL)
    return NULL;
  kq_gate_ended (&h->gate, r->unsent                       ? KQ_GATE_UNSENT
                           : r->result == KQ_ORDER_UNKNOWN ? KQ_GATE_LOST
                                                           : KQ_GATE_KEPT);
  return h;
}

void
kq_held_tell (KqHeld *h, KqCrewItem *i)
{
  i->runner = kq_str (h->id);
  h->agent->config.notice (h->agent->config.arg, h->epoch, i);
}

void
kq_held_note_clock (KqHeld *h, const KqRunnerReply *r, KqTime now)
{
  KqLeaseNews n = { r->clock_ms, r->born_ms, r->sent_at };
  /* An acknowledgement of the earlier life's ends would make the new one forget ends that
   * nobody has seen. */
  if (!kq_lease_note (&h->lease, &n, h->agent->config.lease_ms, now))
    return;
  h->ends_seen = h->ends_passed = 0;
  kq_gate_new_life (&h->gate);
}

KqRunnerAim
kq_held_aim (const KqHeld *h, int timeout_ms)
{
  return (KqRunnerAim){ .address = kq_str (h->address),
                        .id = kq_str (h->id),
                        .epoch = h->epoch,
                        .timeout_ms = timeout_ms };
}

/* Beyond this the leader may have given the lease up, however late its words come. */
static bool
counts_on_us (const KqCrewAgent *a, KqTime now)
{
  return now - a->counted_at <= a->config.blind_ms * KQ_MS;
}

/* What is granted now; a later grant never ends sooner. Nothing more is granted to a
 * runner that doesn't answer: it may hear us all the same, and its lease must end some
 * time, or its tasks could never be started elsewhere. Nor before the leader has heard of
 * a runner that has just been taken or was silent: it may count the lease as over. */
int64_t
kq_held_grant (KqHeld *h, KqTime now)
{
  if (h->lease.clock_ms < 0 || h->failures > 0 || h->halt != 0
      || !counts_on_us (h->agent, now))
    return -1;
  return kq_lease_grant (&h->lease, h->agent->config.lease_ms, now);
}

void
kq_held_tell_outcome (KqHeld *h, const KqOrderOutcome *o, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_OUTCOME };
  i.u.outcome = *o;
  i.u.outcome.order = ++h->results;
  i.u.outcome.taking = h->taking;
  i.u.outcome.lease_left_ms = kq_lease_left_ms (&h->lease, now);
  kq_held_tell (h, &i);
}
