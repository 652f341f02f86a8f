/* pace: filling tasks are slowed where they push a serving task over its latency target.
 *
 * Load pattern: most pairs of images don't disturb each other and some do, strongly, and
 * the load of a serving step swings within seconds. So only those filling tasks are
 * slowed that the learned pairs (sched/disturb.h) make responsible, just as far as the
 * load that is expected next (sched/swing.h) asks for. */

#include "sched/pace.h"
#include "sched/harm.h"

#include <math.h>
#include <stdlib.h>

/* Changes smaller than this aren't worth a call. */
#define STEP_PERCENT 15
/* Reports cover the last half second; lists that come sooner repeat most of it. */
#define REPORT_GAP (450 * KQ_MS)
/* Below this the task may as well stand. */
#define LEAST_PERCENT 10
/* With a tail this far over the target nobody may be known to be at fault yet: then all
 * filling tasks there are slowed to this. Without it days with faults earned 0.004 less
 * of what could be earned (8 days, 66 runners). */
#define BLIND_RATIO 1.3
#define BLIND_PERCENT 30
/* A task that uses so much of the cpu it asks for isn't slowed. */
#define FULL_SPEED_PERCENT 70

bool
kq_pace_worth_a_call (int ordered, int wanted)
{
  /* Standing still is the last means: at 12% beside a task long over its target filling
   * tasks were left at 12%, for 4 s. */
  if (wanted == 0)
    return ordered != 0;
  return abs (wanted - ordered) >= STEP_PERCENT;
}

/* A serving task beside which others fill, and the slack that it can still lose. */
typedef struct
{
  const KqRun *run;
  int image;
  double left;
  bool over; /* far over its target, and nobody known to be at fault: see BLIND_RATIO */
} Beside;

/* The serving tasks of the runner; false: one has been over its target for too long. */
static bool
list_beside (const KqSched *s, const KqRunnerState *r, GArray *list, KqTime now)
{
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    {
      Beside b = { .run = run };
      if (!kq_harm_serves (run))
        continue;
      if (kq_harm_over_for_long (run, now))
        return false;
      b.image = kq_run_image (run);
      b.left = kq_harm_headroom (run, now + KQ_HARM_AHEAD);
      b.over = run->load > BLIND_RATIO * kq_run_step (run)->target_ms
               && b.left >= kq_harm_press_by (s, r, b.image);
      g_array_append_val (list, b);
    }
  return true;
}

static int
by_age (const void *a, const void *b)
{
  const KqRun *x = *(KqRun *const *)a;
  const KqRun *y = *(KqRun *const *)b;
  return x->placed_at < y->placed_at ? -1 : x->placed_at > y->placed_at;
}

/* What the filling task should work at, of what those before it have left; 100: nothing
 * is in its way. */
static int
wanted_pace (const KqSched *s, const KqRun *filling, GArray *beside)
{
  double pace = 1;
  for (guint i = 0; i < beside->len; i++)
    {
      const Beside *b = &g_array_index (beside, Beside, i);
      double press = kq_harm_press_of (s, filling, b->image);
      if (press > KQ_HARM_PRESS_LEAST)
        pace = fmin (pace, fmax (b->left, 0) / press);
      else if (b->over)
        pace = fmin (pace, BLIND_PERCENT / 100.0);
    }
  if (pace * 100 < LEAST_PERCENT)
    pace = 0;
  for (guint i = 0; i < beside->len; i++)
    {
      Beside *b = &g_array_index (beside, Beside, i);
      b->left -= pace * kq_harm_press_of (s, filling, b->image);
    }
  return (int)(pace * 100);
}

static void
pace_run (KqSched *s, KqRun *run, int to, KqTime now)
{
  if (to < LEAST_PERCENT)
    to = 0;
  if (to > 100 - STEP_PERCENT / 2)
    to = 100;
  if (run->pace_unknown || kq_pace_worth_a_call (run->pace, to))
    kq_run_pace (s, run, to, now);
}

/* A filling task that an earlier leader started isn't slowed if it uses most of the cpu
 * that it asks for. */
static void
look_at_speed (KqRun *run)
{
  if (run->load >= kq_run_step (run)->cpu_milli * FULL_SPEED_PERCENT / 100)
    run->pace_unknown = false;
}

void
kq_pace_release (KqSched *s, const KqRunnerState *r, KqTime now)
{
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      if (!kq_run_step (run)->filling || run->phase != KQ_RUN_RUNNING)
        continue;
      look_at_speed (run);
      if (run->pace < 100 || run->pace_unknown)
        pace_run (s, run, 100, now);
    }
}

/* The oldest filling tasks work at full speed, the youngest at what is left: all of them
 * at the same part of their speed would end later, most of them, and none sooner. */
void
kq_pace_set (KqSched *s, KqRunnerState *r, KqTime now)
{
  GArray *beside = g_array_new (FALSE, FALSE, sizeof (Beside));
  GPtrArray *filling = g_ptr_array_new ();
  bool any = list_beside (s, r, beside, now);
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    if (kq_run_step (run)->filling && run->phase == KQ_RUN_RUNNING)
      {
        look_at_speed (run);
        g_ptr_array_add (filling, run);
      }
  if (filling->len > 0)
    qsort (filling->pdata, filling->len, sizeof (gpointer), by_age);
  for (guint i = 0; i < filling->len; i++)
    {
      KqRun *run = g_ptr_array_index (filling, i);
      pace_run (s, run, any ? wanted_pace (s, run, beside) : 0, now);
    }
  g_ptr_array_free (filling, TRUE);
  g_array_free (beside, TRUE);
}

void
kq_pace_runner (KqSched *s, KqRunnerState *r, KqTime now)
{
  if (now - r->paced_at < REPORT_GAP)
    return;
  r->paced_at = now;
  kq_harm_learn (s, r, now);
  kq_pace_set (s, r, now);
}
