/* watch: periodic checks of all runs: orders without an answer, stalled tasks, tasks on
 * runners that are about to leave. */

#include "sched/state.h"

/* A stop order is repeated after this time if the run's end hasn't been listed. */
#define STOP_REPEAT_DELAY (800 * KQ_MS)
/* A task counts as stalled when its progress hasn't changed for this share of its
 * estimated length, and for at least the minimum: reports come up to two seconds apart,
 * and progress is in whole percents. */
#define STALL_PERCENT 60
#define STALL_MIN (3 * KQ_SEC)
/* A lasting task that isn't ready after this time counts as stalled. */
#define LASTING_START_MAX (4 * KQ_SEC)
/* A task isn't moved if by its progress it ends at least this long before its runner
 * leaves. */
#define LEAVE_MARGIN_MS 400
/* A filling task that has been at THROTTLED_PACE_PERCENT or below for THROTTLED_MAX is
 * moved to another runner. */
#define THROTTLED_MAX (3 * KQ_SEC)
#define THROTTLED_PACE_PERCENT 10

static bool
is_stalled (const KqRun *run)
{
  const KqStep *p = kq_run_step (run);
  /* The time without progress counts up to the last report rather than to now: a late
   * report says nothing of the task. */
  KqTime heard_at = run->runner->heard_at;
  KqTime bound = (KqTime)p->estimate_ms * KQ_MS * STALL_PERCENT / 100;
  if (run->phase != KQ_RUN_RUNNING || run->runner->silent || p->gang)
    return false;
  if (p->lasting)
    return run->percent < 100 && heard_at - run->running_at > LASTING_START_MAX
           && heard_at - run->last_change_at > LASTING_START_MAX;
  if (run->pace < 100 || p->filling)
    bound *= 3;
  return heard_at - run->last_change_at > (bound > STALL_MIN ? bound : STALL_MIN);
}

/* Whether the run must be stopped because its runner leaves. */
static bool
must_move (const KqRun *run, KqTime now)
{
  const KqStep *p = kq_run_step (run);
  const KqRunnerState *r = run->runner;
  int64_t left = (r->drain_ends - now) / KQ_MS;
  int64_t needs;
  if (!r->draining || run->phase != KQ_RUN_RUNNING)
    return false;
  if (p->lasting)
    return true;
  if (!p->checkpoints)
    return false; /* a stop would lose as much progress as the end of its runner */
  needs = (int64_t)p->estimate_ms * (100 - run->percent) / 100;
  return needs + LEAVE_MARGIN_MS > left;
}

/* Lets a task wait for a second run, a copy, if its step permits copies and the runner of
 * the first run is silent, rather than wait for the end of that runner's lease. Whichever
 * run ends first counts. Returns whether it did. */
static bool
request_copy (KqSched *s, KqRun *run)
{
  KqTaskState *t = kq_book_task_state (run);
  if (!kq_run_step (run)->speculative || !run->runner->silent || t == NULL
      || t->run != run)
    return false;
  t->avoid = run->runner;
  t->run = NULL;
  t->phase = KQ_TASK_WAITING;
  run->occurrence->steps[run->step].active--;
  run->occurrence = NULL;
  s->pass_needed = true;
  return true;
}

/* Repeats a start order without an answer; or stops the run if nothing may start on its
 * runner any more. A repeat would begin the task seconds later, only for it to
 * end with the runner, as seen with a start 3 s after the announcement. */
static void
repeat_start (KqSched *s, KqRun *run, KqTime now)
{
  /* The run may be at work: on a host that leaves, a further start shows whether it is,
   * and the drain stops it when its step allows. */
  if (run->runner->draining || (run->runner->host_leaving && kq_run_may_interrupt (run)))
    kq_run_stop (s, run, "its runner leaves", now);
  else if (run->runner->cordoned)
    kq_run_stop (s, run, "its failure domain is cordoned", now);
  else
    {
      run->resent = true;
      kq_run_send_start (s, run, now);
    }
}

static void
check_run (KqSched *s, KqRun *run, KqTime now)
{
  KqRunnerState *r = run->runner;
  if (r->agent < 0 || request_copy (s, run))
    return;
  if (run->occurrence == NULL && !r->silent && r->listed)
    kq_run_stop (s, run, "no longer wanted", now); /* nothing if it is stopping already */
  if (run->phase == KQ_RUN_SENDING && !run->order_pending && now >= run->retry_at
      && run->confirmed == 0 && !r->silent && r->listed)
    repeat_start (s, run, now);
  /* A stop isn't repeated once the runner has answered one: the answer to a repeat would
   * count as newer than each list on its way, and no list could end the run. */
  else if (run->phase == KQ_RUN_STOPPING && !run->order_pending && !run->stopped
           && !r->silent && r->listed
           && now >= run->retry_at + (run->outcome_unknown ? 0 : STOP_REPEAT_DELAY))
    kq_run_send_stop (s, run, now);
  else if (is_stalled (run))
    {
      KqTaskState *t = kq_book_task_state (run);
      if (t != NULL)
        t->avoid = r;
      ++*s->stops_stalled;
      if (run->pace == 100
          && (run->occurrence == NULL
              || kq_book_failure_blames_runner (&run->occurrence->steps[run->step], r,
                                                0)))
        kq_runners_count_end (r, false, now);
      kq_run_stop (s, run, "stands still", now);
    }
  else if (must_move (run, now))
    {
      ++*s->stops_drain;
      kq_run_stop (s, run, "runner leaves", now);
    }
  else if (kq_run_step (run)->filling && run->pace <= THROTTLED_PACE_PERCENT
           && now - run->last_change_at > THROTTLED_MAX && kq_run_step (run)->checkpoints
           && kq_run_may_interrupt (run))
    {
      KqTaskState *t = kq_book_task_state (run);
      if (t != NULL)
        t->avoid = r;
      kq_run_stop (s, run, "held back for serving tasks", now);
    }
}

/* Has the runner's agent report often while serving and other tasks share the runner. */
static void
update_report_rate (KqSched *s, KqRunnerState *r)
{
  bool watched = r->n_serving > 0 && r->n_runs > r->n_serving;
  if (watched == r->watched || r->agent < 0)
    return;
  r->watched = watched;
  kq_runners_acknowledge (s, r);
}

void
kq_watch_progress (KqSched *s, KqTime now)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      for (KqRun *run = r->runs; run != NULL; run = run->next)
        check_run (s, run, now);
      update_report_rate (s, r);
    }
}
