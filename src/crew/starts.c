/* starts: the starts that a leader has ordered, and how orders end. When a start may
 * leave is decided in gate.c. */

#include "base/log.h"
#include "crew/state.h"

#include <stdlib.h>

/* A start that can't leave for so long is refused: its leader finds another runner. */
#define START_WAITS (KQ_CREW_CALL_MS * KQ_MS)

/* A start that found no proven connection waits for another one. */
static bool
start_again (KqHeld *h, KqHeldCall *c, const KqRunnerReply *r, KqTime now)
{
  if (c->start == NULL || !r->unsent || now - c->start->ordered_at > START_WAITS)
    return false;
  g_queue_push_head (&h->starts, c->start);
  c->start = NULL;
  return true;
}

void
kq_held_on_outcome (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqHeldCall *c = arg;
  KqHeld *h = kq_held_call_ended (c, r);
  KqOrderOutcome o;
  if (h == NULL)
    goto out;
  kq_held_note_clock (h, r, now);
  if (!start_again (h, c, r, now))
    {
      if (r->result == KQ_ORDER_UNHEALTHY)
        kq_log (KQ_LOG_INFO, PART,
                "Order came to nothing. task=%s run=%u runner=%s order=%s unsent=%d "
                "took_ms=%lld",
                c->task, c->run, h->id, kq_order_kind_name (c->kind), r->unsent,
                (long long)((now - r->sent_at) / KQ_MS));
      o = (KqOrderOutcome){
        .kind = c->kind, .task = kq_str (c->task), .run = c->run, .result = r->result
      };
      kq_held_tell_outcome (h, &o, now);
    }
  h = kq_held_of (c);
  if (h != NULL)
    kq_starts_pump (h, now);
out:
  kq_held_call_free (c);
}

static void
send_start (KqHeld *h, KqStart *st, KqTime now)
{
  KqRunnerAim to = kq_held_aim (h, KQ_CREW_CALL_MS);
  KqHeldCall *c = kq_held_call (h, KQ_ORDER_START, kq_str (st->task), st->run);
  int64_t end = kq_held_grant (h, now);
  c->start = st;
  to.opened_before = h->gate.proven_at;
  kq_runner_start (h->agent->config.calls, &to, kq_str (st->task), st->run,
                   kq_str (st->text), kq_str (st->checkpoint), kq_str (st->ticket),
                   end >= 0 ? end : h->lease.end_ms,
                   (KqRunnerCallback){ kq_held_on_outcome, c });
}

/* None of them has left. The leader may take the runner away meanwhile. */
static void
refuse_starts (KqHeldCall *c, KqTime now)
{
  KqHeld *h = kq_held_of (c);
  while (h != NULL && !g_queue_is_empty (&h->starts))
    {
      KqStart *st = g_queue_pop_head (&h->starts);
      KqOrderOutcome o = { .kind = KQ_ORDER_START,
                           .task = kq_str (st->task),
                           .run = st->run,
                           .result = KQ_ORDER_UNHEALTHY };
      kq_log (KQ_LOG_INFO, PART, "Start has not left. task=%s run=%u runner=%s", st->task,
              st->run, h->id);
      kq_held_tell_outcome (h, &o, now);
      kq_start_free (st);
      h = kq_held_of (c);
    }
}

/* The list isn't passed on: that of a question under way may be older and come later. */
static void
on_proof (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqHeldCall *c = arg;
  KqHeld *h = kq_held_call_ended (c, r);
  if (h == NULL)
    goto out;
  h->proving = false;
  if (r->result == KQ_ORDER_OK)
    {
      kq_held_note_clock (h, r, now);
      kq_gate_proven (&h->gate, c->in_use, r->left_at);
      kq_starts_pump (h, now);
    }
  else
    refuse_starts (c, now);
out:
  kq_held_call_free (c);
}

void
kq_starts_prove (KqHeld *h)
{
  KqRunnerAim to = kq_held_aim (h, KQ_CREW_CALL_MS);
  KqHeldCall *c = kq_held_call (h, KQ_ORDER_RENEW, KQ_STR (""), 0);
  h->proving = true;
  ++*h->agent->proofs;
  kq_runner_renew (h->agent->config.calls, &to, -1, 0, 0,
                   (KqRunnerCallback){ on_proof, c });
}

void
kq_starts_pump (KqHeld *h, KqTime now)
{
  while (!g_queue_is_empty (&h->starts) && kq_gate_open (&h->gate))
    send_start (h, g_queue_pop_head (&h->starts), now);
  if (!g_queue_is_empty (&h->starts) && !h->proving)
    kq_starts_prove (h);
}

void
kq_starts_add (KqHeld *h, const KqOrder *o, KqTime now)
{
  KqStart *st = kq_alloc (sizeof *st);
  st->task = kq_str_dup (o->u.start.task);
  st->run = o->u.start.run;
  st->text = kq_str_dup (o->u.start.text);
  st->checkpoint = kq_str_dup (o->u.start.checkpoint);
  st->ticket = kq_str_dup (o->u.start.ticket);
  st->ordered_at = now;
  g_queue_push_tail (&h->starts, st);
  kq_starts_pump (h, now);
}
