/* renew: polls runners. A poll renews the runner's lease and fetches its list of runs and
 * ends. */

#include "agent/state.h"
#include "base/log.h"

/* A poll waits at the runner this long for a run to end, but at most this part of a
 * lease, so that the lease outlives two failed polls. Shorter waits only add calls. */
#define POLL_WAIT_MS 1500
#define POLLS_PER_LEASE 3
/* On runners with filling tasks beside serving ones the leader sets the filling tasks'
 * pace by the lists. */
#define WATCHED_POLL_WAIT_MS 500
/* A runner answers a poll at once while it has ends that aren't acknowledged. So the next
 * poll waits for the leader's acknowledgement, and no longer than this if it doesn't come
 * (the store may be unavailable). Without the wait there were three polls for each end
 * (37,000 for 11,000 tasks). */
#define ACK_TIMEOUT (200 * KQ_MS)
/* Delays the next poll, so that ends close together are fetched with one call. */
#define END_BATCH_DELAY (20 * KQ_MS)
#define RETRY_DELAY (150 * KQ_MS)
/* Failed polls in a row after which a runner is reported as unreachable. */
#define SILENT_AFTER_FAILURES 2
#define SILENCE_REPORT_INTERVAL KQ_SEC

static void
report_unreached (KqAgentRunner *h, bool gone, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_UNREACHED };
  if (now - h->silence_reported_at < SILENCE_REPORT_INTERVAL)
    return;
  h->silence_reported_at = now;
  h->halt = ++h->agent->serial;
  i.u.unreached.lease_left_ms = kq_lease_left_ms (&h->lease, now);
  i.u.unreached.other_runner = gone;
  i.u.unreached.assignment = h->assignment;
  kq_agent_runner_notify (h, &i);
}

/* Sends the runs that have changed and the ends that are new since the last list. */
static void
report_changes (KqAgentRunner *h, const KqRunnerList *l)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_CHANGES };
  KqRunnerList *rest = &i.u.changes.list;
  *rest = *l;
  rest->running = NULL;
  rest->n_running = 0;
  while (rest->n_ended > 0 && rest->ended[0].number <= h->ends_reported)
    {
      rest->ended++;
      rest->n_ended--;
    }
  if (rest->n_ended > 0)
    h->ends_reported = rest->ended[rest->n_ended - 1].number;
  kq_run_delta_encode (h->run_delta, l->running, l->n_running, &i.u.changes.running);
  kq_agent_runner_notify (h, &i);
}

static void
report_list (KqAgentRunner *h, const KqRunnerReply *r, const KqAgentCall *c, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_LIST };
  i.u.list = (KqRunnerList){ .started_ms = r->started_ms,
                             .lease_left_ms = kq_lease_left_ms (&h->lease, now),
                             .order = c->outcomes_sent,
                             .halt = h->halt,
                             .assignment = h->assignment,
                             .running = r->running,
                             .n_running = r->n_running,
                             .ended = r->ended,
                             .n_ended = r->n_ended,
                             .more_ended = r->more_ended };
  if (h->agent->sends_changes)
    report_changes (h, &i.u.list);
  else
    kq_agent_runner_notify (h, &i);
}

/* The delay from a list to the next poll. at_once: the last poll didn't wait for ends. */
static KqTime
poll_delay (const KqAgentRunner *h, bool at_once)
{
  if (h->halt != 0)
    return RETRY_DELAY;
  if (h->ends_listed > h->ends_acked)
    return ACK_TIMEOUT;
  return at_once ? END_BATCH_DELAY : 0;
}

static void
on_poll_reply (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqAgentCall *c = arg;
  KqAgentRunner *h = kq_agent_call_ended (c, r);
  KqAgentItem fenced = { .kind = KQ_AGENT_ITEM_FENCED };
  if (h == NULL)
    goto out;
  h->polling = false;
  switch (r->result)
    {
    case KQ_ORDER_OK:
      kq_agent_runner_update_lease (h, r, now);
      kq_conns_verified (&h->conns, c->in_use, r->send_started_at);
      if (h->failures >= SILENT_AFTER_FAILURES)
        kq_log (
            KQ_LOG_INFO, PART,
            "Runner answers again. runner=%s failures=%d running=%zu lease_left_ms=%lld",
            h->id, h->failures, r->n_running,
            (long long)kq_lease_left_ms (&h->lease, now));
      h->failures = 0;
      h->silence_reported_at = 0;
      h->ends_listed = r->n_ended > 0 ? r->ended[r->n_ended - 1].number : 0;
      report_list (h, r, c, now);
      h = kq_agent_call_runner (c);
      if (h == NULL)
        break;
      kq_agent_runner_poll_in (h, poll_delay (h, c->run == 0));
      kq_starts_send (h, now);
      break;
    case KQ_ORDER_FENCED:
      kq_log (KQ_LOG_WARN, PART, "Runner has seen a higher epoch. runner=%s epoch=%llu",
              h->id, (unsigned long long)h->epoch);
      kq_agent_runner_notify (h, &fenced);
      g_hash_table_remove (c->agent->runners, c->runner);
      break;
    default:
      ++*c->agent->renewals_failed;
      h->failures++;
      if (h->failures == SILENT_AFTER_FAILURES)
        kq_log (KQ_LOG_WARN, PART,
                "Runner doesn't answer. runner=%s result=%s unsent=%d lease_left_ms=%lld",
                h->id, kq_order_result_name (r->result), r->unsent,
                (long long)kq_lease_left_ms (&h->lease, now));
      if (h->failures >= SILENT_AFTER_FAILURES || r->result == KQ_ORDER_OTHER_RUNNER)
        report_unreached (h, r->result == KQ_ORDER_OTHER_RUNNER, now);
      h = kq_agent_call_runner (c);
      if (h != NULL)
        kq_agent_runner_poll_in (h, RETRY_DELAY);
    }
out:
  kq_agent_call_free (c);
}

static int
poll_wait_ms (const KqAgentRunner *h)
{
  int64_t longest = h->agent->config.lease_ms / POLLS_PER_LEASE;
  int wait = h->watched ? WATCHED_POLL_WAIT_MS : POLL_WAIT_MS;
  return longest < wait ? (int)longest : wait;
}

void
kq_agent_runner_poll (KqAgentRunner *h, KqTime now)
{
  KqAgent *a = h->agent;
  KqRunnerDest to;
  KqAgentCall *c;
  uint64_t acked;
  int wait = poll_wait_ms (h);
  if (h->polling)
    return;
  if (now - a->heard_at > a->config.renew_without_leader_ms * KQ_MS)
    {
      kq_log (
          KQ_LOG_WARN, PART,
          "No message from a leader for too long; no longer renewing leases. runner=%s",
          h->id);
      g_hash_table_remove (a->runners, h->id);
      return;
    }
  /* The first poll, and one after a failure, is answered at once. */
  if (h->lease.clock_ms < 0 || h->failures > 0 || h->halt != 0)
    wait = 0;
  h->polling = true;
  ++*a->renewals;
  to = kq_agent_runner_aim (h, wait + KQ_AGENT_CALL_MS);
  c = kq_agent_call_new (h, KQ_ORDER_TAKE, KQ_STR (""), (uint32_t)wait);
  /* A runner that has restarted numbers its ends from 1 again. An acknowledgement meant
   * for its earlier process would make it drop ends that nobody has read, and their tasks
   * would run again. */
  acked = h->failures > 0 || h->conns.verified_at == 0 ? 0 : h->ends_acked;
  if (acked > 0)
    to.opened_before = h->conns.verified_at;
  kq_runner_renew (a->config.calls, &to, kq_agent_runner_grant_lease (h, now), acked,
                   wait, (KqRunnerCallback){ on_poll_reply, c });
}

void
kq_agent_runner_on_poll_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  kq_agent_runner_poll (w->data, kq_time_now ());
}

void
kq_agent_runner_poll_in (KqAgentRunner *h, KqTime wait)
{
  struct ev_loop *ev = kq_loop_ev (h->agent->config.loop);
  ev_timer_stop (ev, &h->poll_timer);
  ev_timer_set (&h->poll_timer, (double)wait / KQ_SEC, 0);
  ev_timer_start (ev, &h->poll_timer);
}
