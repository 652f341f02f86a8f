/* pace: sets the pace, in percent of full speed, of filling tasks that push a serving
 * task over its latency target.
 *
 * Most pairs of images don't disturb each other and some do strongly, and the load of a
 * serving step changes within seconds. So a filling task is slowed only if the
 * disturbance model (sched/disturb.h) names it as a cause, and no further than the load
 * predicted for the serving step (sched/load_trend.h) requires. */

#include "sched/pace.h"
#include "sched/harm.h"

#include <math.h>
#include <stdlib.h>

/* Smaller changes of pace aren't ordered. */
#define CHANGE_MIN_PERCENT 15
/* Least time between two updates of a runner's paces: a report covers the last half
 * second, so that one sooner after another would repeat most of it. */
#define UPDATE_INTERVAL_MIN (450 * KQ_MS)
/* A task whose pace would be below this gets pace 0. */
#define PACE_MIN_PERCENT 10
/* If a tail is over UNEXPLAINED_RATIO times its target, and no filling image is known to
 * be the cause, all filling tasks of the runner are slowed to UNEXPLAINED_PACE_PERCENT.
 */
#define UNEXPLAINED_RATIO 1.3
#define UNEXPLAINED_PACE_PERCENT 30
/* A task that uses this share of the cpu that it asks for runs at full speed. */
#define FULL_SPEED_LOAD_PERCENT 70

bool
kq_pace_worth_order (int ordered, int wanted)
{
  /* Pace 0 is ordered however small the change, as it is the last means: filling tasks at
   * 12% beside a task long over its target would otherwise stay at 12%, as seen for 4 s.
   */
  if (wanted == 0)
    return ordered != 0;
  return abs (wanted - ordered) >= CHANGE_MIN_PERCENT;
}

/* A serving task, while paces are set for the filling tasks beside it. */
typedef struct
{
  const KqRun *run;
  int image;
  double left; /* slack that it can still lose */
  bool over;   /* far over its target without known cause: see UNEXPLAINED_RATIO */
} ServingTask;

/* Lists the runner's serving tasks; false if one has been over its target for too long.
 */
static bool
list_serving_tasks (const KqSched *s, const KqRunnerState *r, GArray *list, KqTime now)
{
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    {
      ServingTask t = { .run = run };
      if (!kq_harm_has_report (run))
        continue;
      if (kq_harm_over_too_long (run, now))
        return false;
      t.image = kq_run_image (run);
      t.left = kq_harm_headroom (run, now + KQ_HARM_AHEAD);
      t.over = run->load > UNEXPLAINED_RATIO * kq_run_step (run)->target_ms
               && t.left >= kq_harm_loss_by_runner (s, r, t.image);
      g_array_append_val (list, t);
    }
  return true;
}

static int
compare_age (const void *a, const void *b)
{
  const KqRun *x = *(KqRun *const *)a;
  const KqRun *y = *(KqRun *const *)b;
  return x->placed_at < y->placed_at ? -1 : x->placed_at > y->placed_at;
}

/* Returns the pace for the filling task, given the slack that older filling tasks have
 * left to each serving task; subtracts what it takes itself. 100 if it disturbs none. */
static int
allot_pace (const KqSched *s, const KqRun *filling, GArray *serving_tasks)
{
  double pace = 1;
  for (guint i = 0; i < serving_tasks->len; i++)
    {
      const ServingTask *t = &g_array_index (serving_tasks, ServingTask, i);
      double loss = kq_harm_loss_by_run (s, filling, t->image);
      if (loss > KQ_HARM_LOSS_MIN)
        pace = fmin (pace, fmax (t->left, 0) / loss);
      else if (t->over)
        pace = fmin (pace, UNEXPLAINED_PACE_PERCENT / 100.0);
    }
  if (pace * 100 < PACE_MIN_PERCENT)
    pace = 0;
  for (guint i = 0; i < serving_tasks->len; i++)
    {
      ServingTask *t = &g_array_index (serving_tasks, ServingTask, i);
      t->left -= pace * kq_harm_loss_by_run (s, filling, t->image);
    }
  return (int)(pace * 100);
}

static void
order_pace (KqSched *s, KqRun *run, int to, KqTime now)
{
  if (to < PACE_MIN_PERCENT)
    to = 0;
  if (to > 100 - CHANGE_MIN_PERCENT / 2)
    to = 100;
  if (kq_run_pace_is_doubtful (run, now) || kq_pace_worth_order (run->pace, to))
    kq_run_set_pace (s, run, to, now);
}

/* Clears pace_unknown if the reported load shows that the task runs at full speed, as it
 * should. */
static void
check_full_speed (KqRun *run)
{
  if (run->pace == 100
      && run->load >= kq_run_step (run)->cpu_milli * FULL_SPEED_LOAD_PERCENT / 100)
    run->pace_unknown = false;
}

void
kq_pace_release (KqSched *s, const KqRunnerState *r, KqTime now)
{
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      if (!kq_run_step (run)->filling || run->phase != KQ_RUN_RUNNING)
        continue;
      check_full_speed (run);
      if (run->pace < 100 || kq_run_pace_is_doubtful (run, now))
        order_pace (s, run, 100, now);
    }
}

/* Allots pace to the oldest filling tasks first, which gives them full speed and the
 * youngest what is left. With equal paces for all, most would end later and none sooner.
 */
void
kq_pace_set (KqSched *s, KqRunnerState *r, KqTime now)
{
  GArray *serving_tasks = g_array_new (FALSE, FALSE, sizeof (ServingTask));
  GPtrArray *filling = g_ptr_array_new ();
  bool may_run = list_serving_tasks (s, r, serving_tasks, now);
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    if (kq_run_step (run)->filling && run->phase == KQ_RUN_RUNNING)
      {
        check_full_speed (run);
        g_ptr_array_add (filling, run);
      }
  if (filling->len > 0)
    qsort (filling->pdata, filling->len, sizeof (gpointer), compare_age);
  for (guint i = 0; i < filling->len; i++)
    {
      KqRun *run = g_ptr_array_index (filling, i);
      order_pace (s, run, may_run ? allot_pace (s, run, serving_tasks) : 0, now);
    }
  g_ptr_array_free (filling, TRUE);
  g_array_free (serving_tasks, TRUE);
}

void
kq_pace_update (KqSched *s, KqRunnerState *r, KqTime now)
{
  if (now - r->paced_at < UPDATE_INTERVAL_MIN)
    return;
  r->paced_at = now;
  kq_harm_learn (s, r, now);
  kq_pace_set (s, r, now);
}
