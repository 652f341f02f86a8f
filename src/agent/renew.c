/* renew: polls runners. A poll renews the runner's lease and fetches its list of runs and
 * ends. */

#include "agent/state.h"
#include "base/log.h"

/* A poll waits at the runner for a run to end: this long, but at most one
 * POLLS_PER_LEASE-th of a lease, so that the lease outlasts two failed polls. Shorter
 * waits only add calls. */
#define POLL_WAIT_MS 1500
#define POLLS_PER_LEASE 3
/* The wait on runners with filling tasks beside serving ones: there the leader adjusts
 * the pace of the filling tasks by each list, and needs lists more often. */
#define WATCHED_POLL_WAIT_MS 500
/* A runner answers a poll at once while it has ends that aren't acknowledged. So the next
 * poll waits for the leader's acknowledgement, and no longer than this if it doesn't come
 * (the store may be unavailable). Without the wait there are three polls for each end
 * (37,000 for 11,000 tasks). */
#define ACK_TIMEOUT (200 * KQ_MS)
/* Delay of the next poll, so that ends close together are fetched with one call. */
#define END_BATCH_DELAY (20 * KQ_MS)
#define RETRY_DELAY (150 * KQ_MS)
/* Failed polls in a row after which a runner is reported as unreachable. */
#define SILENT_AFTER_FAILURES 2
#define SILENCE_REPORT_INTERVAL KQ_SEC

static void
report_unreached (KqAgentRunner *runner, bool other_runner, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_UNREACHED };
  if (now - runner->silence_reported_at < SILENCE_REPORT_INTERVAL)
    return;
  runner->silence_reported_at = now;
  runner->halt = ++runner->agent->serial;
  i.u.unreached.lease_left_ms = kq_lease_left_ms (&runner->lease, now);
  i.u.unreached.other_runner = other_runner;
  i.u.unreached.assignment = runner->assignment;
  kq_agent_runner_notify (runner, &i);
}

/* Sends the runs that have changed and the ends that are new since the last list. */
static void
report_changes (KqAgentRunner *runner, const KqRunnerList *l)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_CHANGES };
  KqRunnerList *rest = &i.u.changes.list;
  *rest = *l;
  rest->running = NULL;
  rest->n_running = 0;
  while (rest->n_ended > 0 && rest->ended[0].number <= runner->ends_reported)
    {
      rest->ended++;
      rest->n_ended--;
    }
  if (rest->n_ended > 0)
    runner->ends_reported = rest->ended[rest->n_ended - 1].number;
  kq_run_delta_encode (runner->run_delta, l->running, l->n_running, &i.u.changes.running);
  kq_agent_runner_notify (runner, &i);
}

static void
report_list (KqAgentRunner *runner, const KqRunnerReply *r, const KqAgentCall *c,
             KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_LIST };
  i.u.list = (KqRunnerList){ .started_ms = r->started_ms,
                             .lease_left_ms = kq_lease_left_ms (&runner->lease, now),
                             .order = c->outcomes_sent,
                             .halt = runner->halt,
                             .assignment = runner->assignment,
                             .running = r->running,
                             .n_running = r->n_running,
                             .ended = r->ended,
                             .n_ended = r->n_ended,
                             .more_ended = r->more_ended };
  if (runner->agent->sends_changes)
    report_changes (runner, &i.u.list);
  else
    kq_agent_runner_notify (runner, &i);
}

/* The delay from a list to the next poll. at_once: the runner answered the last poll at
 * once, because the poll had a wait of 0. */
static KqTime
poll_delay (const KqAgentRunner *runner, bool at_once)
{
  if (runner->halt != 0)
    return RETRY_DELAY;
  if (runner->ends_listed > runner->ends_acked)
    return ACK_TIMEOUT;
  return at_once ? END_BATCH_DELAY : 0;
}

static void
on_poll_reply (void *arg, const KqRunnerReply *r, KqTime now)
{
  KqAgentCall *c = arg;
  KqAgentRunner *runner = kq_agent_call_ended (c, r);
  KqAgentItem fenced = { .kind = KQ_AGENT_ITEM_FENCED };
  if (runner == NULL)
    goto out;
  runner->polling = false;
  switch (r->result)
    {
    case KQ_ORDER_OK:
      kq_agent_runner_update_lease (runner, r, now);
      kq_conns_verified (&runner->conns, c->in_use, r->send_started_at);
      if (runner->failures >= SILENT_AFTER_FAILURES)
        kq_log (
            KQ_LOG_INFO, PART,
            "Runner answers again. runner=%s failures=%d running=%zu lease_left_ms=%lld",
            runner->id, runner->failures, r->n_running,
            (long long)kq_lease_left_ms (&runner->lease, now));
      runner->failures = 0;
      runner->silence_reported_at = 0;
      runner->ends_listed = r->n_ended > 0 ? r->ended[r->n_ended - 1].number : 0;
      report_list (runner, r, c, now);
      runner = kq_agent_call_runner (c);
      if (runner == NULL)
        break;
      kq_agent_runner_poll_in (runner, poll_delay (runner, c->run == 0));
      kq_starts_send (runner, now);
      break;
    case KQ_ORDER_FENCED:
      kq_log (KQ_LOG_WARN, PART, "Runner has seen a higher epoch. runner=%s epoch=%llu",
              runner->id, (unsigned long long)runner->epoch);
      kq_agent_runner_notify (runner, &fenced);
      g_hash_table_remove (c->agent->runners, c->runner);
      break;
    default:
      ++*c->agent->renewals_failed;
      runner->failures++;
      if (runner->failures == SILENT_AFTER_FAILURES)
        kq_log (KQ_LOG_WARN, PART,
                "Runner doesn't answer. runner=%s result=%s unsent=%d lease_left_ms=%lld",
                runner->id, kq_order_result_name (r->result), r->unsent,
                (long long)kq_lease_left_ms (&runner->lease, now));
      if (runner->failures >= SILENT_AFTER_FAILURES || r->result == KQ_ORDER_OTHER_RUNNER)
        report_unreached (runner, r->result == KQ_ORDER_OTHER_RUNNER, now);
      runner = kq_agent_call_runner (c);
      if (runner != NULL)
        kq_agent_runner_poll_in (runner, RETRY_DELAY);
    }
out:
  kq_agent_call_free (c);
}

static int
poll_wait_ms (const KqAgentRunner *runner)
{
  int64_t longest = runner->agent->config.lease_ms / POLLS_PER_LEASE;
  int wait = runner->watched ? WATCHED_POLL_WAIT_MS : POLL_WAIT_MS;
  return longest < wait ? (int)longest : wait;
}

void
kq_agent_runner_poll (KqAgentRunner *runner, KqTime now)
{
  KqAgent *a = runner->agent;
  KqRunnerDest to;
  KqAgentCall *c;
  uint64_t acked;
  int wait = poll_wait_ms (runner);
  if (runner->polling)
    return;
  if (now - a->heard_at > a->config.renew_without_leader_ms * KQ_MS)
    {
      kq_log (
          KQ_LOG_WARN, PART,
          "No message from a leader for too long; no longer renewing leases. runner=%s",
          runner->id);
      g_hash_table_remove (a->runners, runner->id);
      return;
    }
  /* The first poll, and one after a failure, is answered at once. */
  if (runner->lease.clock_ms < 0 || runner->failures > 0 || runner->halt != 0)
    wait = 0;
  runner->polling = true;
  ++*a->renewals;
  to = kq_agent_runner_dest (runner, wait + KQ_AGENT_CALL_MS);
  c = kq_agent_call_new (runner, KQ_ORDER_TAKE, KQ_STR (""), (uint32_t)wait);
  /* A runner that has restarted numbers its ends from 1 again. An acknowledgement meant
   * for its earlier process would make it drop ends that nobody has read, and their tasks
   * would run again. */
  acked = runner->failures > 0 || runner->conns.verified_at == 0 ? 0 : runner->ends_acked;
  if (acked > 0)
    to.opened_before = runner->conns.verified_at;
  kq_runner_renew (a->config.calls, &to, kq_agent_runner_grant_lease (runner, now), acked,
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
kq_agent_runner_poll_in (KqAgentRunner *runner, KqTime wait)
{
  struct ev_loop *ev = kq_loop_ev (runner->agent->config.loop);
  ev_timer_stop (ev, &runner->poll_timer);
  ev_timer_set (&runner->poll_timer, (double)wait / KQ_SEC, 0);
  ev_timer_start (ev, &runner->poll_timer);
}
