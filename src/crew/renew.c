/* renew: questions to runners, which renew their leases and fetch their lists. */

#include "base/log.h"
#include "crew/state.h"

/* A question for the list waits this long for an end, and this part of a lease at most:
 * two that fail must not end it. An answer sooner than needed costs a call. */
#define WAIT_MS 1500
#define WAITS_PER_LEASE 3
/* Where filling tasks run beside serving ones, reports drive the pace. */
#define WATCHED_WAIT_MS 500
/* Ends that were listed are listed again, at once, until they are acknowledged; so the
 * next question waits for that, and this long if it doesn't come (the store may be away).
 * Without the wait there were three questions for each end (37,000 for 11,000 tasks). */
#define ACKNOWLEDGED_WITHIN (200 * KQ_MS)
/* Ends that come close together are fetched with one call. */
#define GATHER (20 * KQ_MS)
#define RETRY (150 * KQ_MS)
/* So many questions without an answer make a runner silent. */
#define SILENT_AFTER 2
#define TELL_AGAIN KQ_SEC

static void
tell_unreached (KqHeld *h, bool gone, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_UNREACHED };
  if (now - h->told_at < TELL_AGAIN)
    return;
  h->told_at = now;
  h->halt = ++h->agent->serial;
  i.u.unreached.lease_left_ms = kq_lease_left_ms (&h->lease, now);
  i.u.unreached.gone = gone;
  i.u.unreached.taking = h->taking;
  kq_held_tell (h, &i);
}

/* Of the runs and the ends what the leader hasn't been told. */
static void
tell_changes (KqHeld *h, const KqRunnerList *l)
{
  KqCrewItem i = { .kind = KQ_CREW_CHANGES };
  KqRunnerList *rest = &i.u.changes.list;
  *rest = *l;
  rest->running = NULL;
  rest->n_running = 0;
  while (rest->n_ended > 0 && rest->ended[0].number <= h->ends_passed)
    {
      rest->ended++;
      rest->n_ended--;
    }
  if (rest->n_ended > 0)
    h->ends_passed = rest->ended[rest->n_ended - 1].number;
  kq_told_note (h->told, l->running, l->n_running, &i.u.changes.running);
  kq_held_tell (h, &i);
}

static void
tell_list (KqHeld *h, const KqRunnerReply *r, const KqHeldCall *c, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_LIST };
  i.u.list = (KqRunnerList){ .born_ms = r->born_ms,
                             .lease_left_ms = kq_lease_left_ms (&h->lease, now),
                             .order = c->order,
                             .halt = h->halt,
                             .taking = h->taking,
                             .running = r->running,
                             .n_running = r->n_running,
                             .ended = r->ended,
                             .n_ended = r->n_ended,
                             .ended_cut = r->ended_cut };
  if (h->agent->tells_changes)
    tell_changes (h, &i.u.list);
  else
    kq_held_tell (h, &i);
}

/* From a list to the next question; at_once: the last one didn't wait for an end. */
static KqTime
pause_after (const KqHeld *h, bool at_once)
{
  if (h->halt != 0)
    return RETRY;
  if (h->ends_told > h->ends_seen)
    return ACKNOWLEDGED_WITHIN;
  return at_once ? GATHER : 0;
}

static void
on_list (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqHeldCall *c = arg;
  KqHeld *h = kq_held_call_ended (c, r);
  KqCrewItem fenced = { .kind = KQ_CREW_FENCED };
  if (h == NULL)
    goto out;
  h->asking = false;
  switch (r->result)
    {
    case KQ_ORDER_OK:
      kq_held_note_clock (h, r, now);
      kq_gate_proven (&h->gate, c->in_use, r->left_at);
      if (h->failures >= SILENT_AFTER)
        kq_log (
            KQ_LOG_INFO, PART,
            "Runner answers again. runner=%s failures=%d running=%zu lease_left_ms=%lld",
            h->id, h->failures, r->n_running,
            (long long)kq_lease_left_ms (&h->lease, now));
      h->failures = 0;
      h->told_at = 0;
      h->ends_told = r->n_ended > 0 ? r->ended[r->n_ended - 1].number : 0;
      tell_list (h, r, c, now);
      h = kq_held_of (c);
      if (h == NULL)
        break;
      kq_held_ask_in (h, pause_after (h, c->run == 0));
      kq_starts_pump (h, now);
      break;
    case KQ_ORDER_FENCED:
      kq_log (KQ_LOG_WARN, PART, "Runner has seen a higher epoch. runner=%s epoch=%llu",
              h->id, (unsigned long long)h->epoch);
      kq_held_tell (h, &fenced);
      g_hash_table_remove (c->agent->held, c->runner);
      break;
    default:
      ++*c->agent->renewals_failed;
      h->failures++;
      if (h->failures == SILENT_AFTER)
        kq_log (KQ_LOG_WARN, PART,
                "Runner doesn't answer. runner=%s result=%s unsent=%d lease_left_ms=%lld",
                h->id, kq_order_result_name (r->result), r->unsent,
                (long long)kq_lease_left_ms (&h->lease, now));
      if (h->failures >= SILENT_AFTER || r->result == KQ_ORDER_OTHER_LIFE)
        tell_unreached (h, r->result == KQ_ORDER_OTHER_LIFE, now);
      h = kq_held_of (c);
      if (h != NULL)
        kq_held_ask_in (h, RETRY);
    }
out:
  kq_held_call_free (c);
}

static int
wait_ms (const KqHeld *h)
{
  int64_t most = h->agent->config.lease_ms / WAITS_PER_LEASE;
  int wait = h->watched ? WATCHED_WAIT_MS : WAIT_MS;
  return most < wait ? (int)most : wait;
}

void
kq_held_ask (KqHeld *h, KqTime now)
{
  KqCrewAgent *a = h->agent;
  KqRunnerAim to;
  KqHeldCall *c;
  uint64_t seen;
  int wait = wait_ms (h);
  if (h->asking)
    return;
  if (now - a->heard_at > a->config.blind_ms * KQ_MS)
    {
      kq_log (KQ_LOG_WARN, PART, "No leader for too long; not renewing. runner=%s",
              h->id);
      g_hash_table_remove (a->held, h->id);
      return;
    }
  /* The first question, and one after a silence, is answered at once. */
  if (h->lease.clock_ms < 0 || h->failures > 0 || h->halt != 0)
    wait = 0;
  h->asking = true;
  ++*a->renewals;
  to = kq_held_aim (h, wait + KQ_CREW_CALL_MS);
  c = kq_held_call (h, KQ_ORDER_TAKE, KQ_STR (""), (uint32_t)wait);
  /* A runner that has started anew counts its ends anew: it would forget, by an
   * acknowledgement meant for its earlier life, ends that nobody has seen, and their
   * tasks would run again. */
  seen = h->failures > 0 || h->gate.proven_at == 0 ? 0 : h->ends_seen;
  if (seen > 0)
    to.opened_before = h->gate.proven_at;
  kq_runner_renew (a->config.calls, &to, kq_held_grant (h, now), seen, wait,
                   (KqRunnerCallback){ on_list, c });
}

void
kq_held_on_next (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  kq_held_ask (w->data, kq_time_now ());
}

void
kq_held_ask_in (KqHeld *h, KqTime wait)
{
  struct ev_loop *ev = kq_loop_ev (h->agent->config.loop);
  ev_timer_stop (ev, &h->next);
  ev_timer_set (&h->next, (double)wait / KQ_SEC, 0);
  ev_timer_start (ev, &h->next);
}
