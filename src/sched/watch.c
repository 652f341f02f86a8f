/* watch: looks over all runs now and then: orders without an answer, tasks that stand
 * still, tasks on runners that leave. */

#include "sched/state.h"

/* A stop whose end isn't listed is repeated after so long. */
#define STOP_AGAIN (800 * KQ_MS)
/* A task stands still when its percent hasn't moved for this part of its estimate, and
 * for the floor at least: reports come up to two seconds apart and percents are whole. */
#define STILL_PERCENT 60
#define STILL_FLOOR (3 * KQ_SEC)
/* A lasting task serves after a short start; past this it is taken for stuck. */
#define LASTING_START (4 * KQ_SEC)
/* A task that ends within its runner's stay, by its percent, is left to end. */
#define LEAVE_MARGIN_MS 400
/* A filling task that is held back for so long goes on elsewhere. */
#define CROWDED_OUT (3 * KQ_SEC)
#define CROWDED_PACE 10

static bool
stands_still (const KqRun *run, KqTime now)
{
  const KqStep *p = kq_run_step (run);
  KqTime bound = (KqTime)p->estimate_ms * KQ_MS * STILL_PERCENT / 100;
  if (run->phase != KQ_RUN_RUNNING || run->runner->silent || p->gang)
    return false;
  if (p->lasting)
    return run->percent < 100 && now - run->running_at > LASTING_START
           && now - run->moved_at > LASTING_START;
  if (run->pace < 100 || p->filling)
    bound *= 3;
  /* By the last report, not by the clock: a late report says nothing of the task. */
  return run->runner->heard_at - run->moved_at
         > (bound > STILL_FLOOR ? bound : STILL_FLOOR);
}

/* Whether the run should leave its runner, which is about to go. */
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
    return false; /* it loses as much by a stop as by the end of its runner */
  needs = (int64_t)p->estimate_ms * (100 - run->percent) / 100;
  return needs + LEAVE_MARGIN_MS > left;
}

/* A second run is allowed and the first one's runner is silent: rather than wait for the
 * end of its lease the task starts elsewhere, and whichever ends first counts. */
static bool
start_copy (KqSched *s, KqRun *run)
{
  KqTaskState *t = kq_book_state (run);
  if (!kq_run_step (run)->copies || !run->runner->silent || t == NULL || t->run != run)
    return false;
  t->avoid = run->runner;
  t->run = NULL;
  t->phase = KQ_TASK_WAITING;
  run->occurrence->steps[run->step].active--;
  run->occurrence = NULL;
  s->work = true;
  return true;
}

/* A start without an answer. Where the runner has said meanwhile that it leaves, a repeat
 * would begin the task there seconds later, to die with the runner (a start 3 s after the
 * runner's word: 1 of 172 days of mixed faults). */
static void
send_again (KqSched *s, KqRun *run, KqTime now)
{
  if (run->runner->draining || run->runner->leaving)
    kq_run_stop (s, run, "its runner leaves", now);
  else
    {
      run->resent = true;
      kq_run_send_start (s, run, now);
    }
}

static void
look_at_run (KqSched *s, KqRun *run, KqTime now)
{
  KqRunnerState *r = run->runner;
  if (r->agent < 0 || start_copy (s, run))
    return;
  if (run->occurrence == NULL && !r->silent && r->listed)
    kq_run_stop (s, run, "no longer wanted", now); /* nothing if it is stopping already */
  if (run->phase == KQ_RUN_SENDING && !run->waiting && now >= run->retry_at
      && run->confirmed == 0 && !r->silent && r->listed)
    send_again (s, run, now);
  /* The answer to a repeat would count as newer than each list on its way, and no list
   * could end the run. */
  else if (run->phase == KQ_RUN_STOPPING && !run->waiting && !run->stopped && !r->silent
           && r->listed && now >= run->retry_at + (run->unsure ? 0 : STOP_AGAIN))
    kq_run_send_stop (s, run, now);
  else if (stands_still (run, now))
    {
      KqTaskState *t = kq_book_state (run);
      if (t != NULL)
        t->avoid = r;
      ++*s->stops_hang;
      kq_runners_score (r, false, now);
      kq_run_stop (s, run, "stands still", now);
    }
  else if (must_move (run, now))
    {
      ++*s->stops_drain;
      kq_run_stop (s, run, "runner leaves", now);
    }
  else if (kq_run_step (run)->filling && run->pace <= CROWDED_PACE
           && now - run->moved_at > CROWDED_OUT && kq_run_step (run)->checkpoints)
    {
      KqTaskState *t = kq_book_state (run);
      if (t != NULL)
        t->avoid = r;
      kq_run_stop (s, run, "held back for serving tasks", now);
    }
}

static void
tell_watched (KqSched *s, KqRunnerState *r)
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
        look_at_run (s, run, now);
      tell_watched (s, r);
    }
}
