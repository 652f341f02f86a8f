/* pace: filling tasks are slowed where they push a serving task over its latency target.
 *
 * Load pattern: most pairs of images don't disturb each other and some do, strongly, and
 * the serving task's own load swings within seconds. So only those filling tasks are
 * slowed that the learned pairs (sched/disturb.h) make responsible, just as far as
 * needed. */

#include "sched/pace.h"
#include "sched/state.h"

#include <math.h>
#include <stdlib.h>

/* The tail is steered to this share of the target: reports lag by half a second, and the
 * serving load rises by a tenth in that time. */
#define AIM 0.85
/* A pace rises by so much a report, and falls at once. */
#define RISE_PERCENT 25
/* Changes smaller than this aren't worth a call. */
#define STEP_PERCENT 15
/* Reports cover the last half second; lists that come sooner repeat most of it. */
#define REPORT_GAP (450 * KQ_MS)
/* Below this the task may as well stand. */
#define LEAST_PERCENT 10
/* Weight of a new report in the estimate of a task's own load. */
#define LOAD_WEIGHT 0.2
/* A serving task that has been over its target for so long, by reports, is in the way of
 * all that fills beside it, whoever is known to be at fault: users have seen it for some
 * seconds by then. "Over" begins a little below the target, as reports are rough. */
#define OVER_FOR (1200 * KQ_MS)
#define OVER_RATIO 0.95
/* Weight of a new report in the mean of a task's tails: the last second and a half. */
#define MEAN_WEIGHT 0.3
/* A press smaller than this is the model's noise. */
#define PRESS_LEAST 0.02
#define PRESS_HOPELESS 100.0
/* With a tail this far over the target nobody may be known to be at fault yet: then all
 * filling tasks there are slowed to this. */
#define BLIND_RATIO 1.3
#define BLIND_PERCENT 30

static double
whole_cpu (const KqRunnerState *r)
{
  return r->room.cpu_milli > 0 ? (double)r->room.cpu_milli : 1;
}

/* Shares of the runner's cpu in use by each filling image. */
static void
shares_in_use (const KqRunnerState *r, double shares[KQ_DISTURB_IMAGES])
{
  for (int i = 0; i < KQ_DISTURB_IMAGES; i++)
    shares[i] = 0;
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    if (kq_run_step (run)->filling && run->load > 0)
      shares[kq_run_image (run)] += (double)run->load / whole_cpu (r);
}

static bool
serves (const KqRun *run)
{
  const KqStep *p = kq_run_step (run);
  return p->target_ms > 0 && !p->filling && run->phase == KQ_RUN_RUNNING && run->load > 0;
}

static bool
lasts (KqTime since, KqTime now)
{
  return since != 0 && now - since >= OVER_FOR;
}

/* By each of the last reports, or by their mean. Reports are rough: with a tail just over
 * the target every other one is below it by chance, and the first condition alone never
 * held (1 of 160 days of mixed faults: 4 s over the target). */
static bool
over_for_long (const KqRun *run, KqTime now)
{
  return serves (run)
         && (lasts (run->over_since, now) || lasts (run->mean_over_since, now));
}

static void
note_since (KqTime *since, bool holds, KqTime now)
{
  if (!holds)
    *since = 0;
  else if (*since == 0)
    *since = now;
}

/* A filling task begins at full speed and is slowed only at the next report. While what
 * fills there had been stopped, new ones came and kept a tail over its target for 4 s
 * (one of 120 days of mixed faults; none of them since). */
bool
kq_pace_closed (const KqRunnerState *r, KqTime now)
{
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    if (over_for_long (run, now))
      return true;
  return false;
}

static void
learn (KqSched *s, KqRunnerState *r, KqTime now)
{
  double shares[KQ_DISTURB_IMAGES];
  shares_in_use (r, shares);
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      const KqStep *p = kq_run_step (run);
      double y;
      double pressed = 0;
      int image;
      if (!serves (run))
        continue;
      image = kq_run_image (run);
      y = log ((double)run->load / p->target_ms);
      kq_disturb_learn (s->disturb, image, y, shares, now);
      for (int i = 0; i < KQ_DISTURB_IMAGES; i++)
        if (shares[i] > 0)
          pressed += shares[i] * kq_disturb_press (s->disturb, image, i);
      run->own_load
          += LOAD_WEIGHT
             * (y - pressed - kq_disturb_base (s->disturb, image) - run->own_load);
      run->tail_mean += (run->tail_mean == 0 ? 1 : MEAN_WEIGHT) * (y - run->tail_mean);
      note_since (&run->over_since, y >= log (OVER_RATIO), now);
      note_since (&run->mean_over_since, run->tail_mean >= 0, now);
    }
}

bool
kq_pace_worth_a_call (int ordered, int wanted)
{
  /* Standing still is the last means: at 12% beside a task long over its target filling
   * tasks were left at 12%, for 4 s. */
  if (wanted == 0)
    return ordered != 0;
  return abs (wanted - ordered) >= STEP_PERCENT;
}

/* How much the logarithm of the serving task's tail may still grow. */
static double
headroom_of (const KqSched *s, const KqRun *serving)
{
  return log (AIM) - kq_disturb_base (s->disturb, kq_run_image (serving))
         - serving->own_load;
}

double
kq_pace_press_by (const KqSched *s, const KqRunnerState *r, int serving)
{
  double press = 0;
  for (int f = 0; f < KQ_DISTURB_IMAGES; f++)
    if (r->filling_shares[f] > 0.001)
      press += r->filling_shares[f] * kq_disturb_press (s->disturb, serving, f);
  return press;
}

double
kq_pace_press_on (const KqSched *s, const KqRunnerState *r, int filling,
                  int32_t cpu_milli)
{
  double worst = 0;
  for (int v = 0; v < KQ_DISTURB_IMAGES && r->n_serving > 0; v++)
    {
      double press;
      double headroom;
      if (r->serving_images[v] <= 0)
        continue;
      press = kq_disturb_press (s->disturb, v, filling) * cpu_milli / whole_cpu (r);
      if (press < PRESS_LEAST)
        continue;
      headroom = log (AIM) - kq_disturb_peak (s->disturb, v);
      press += kq_pace_press_by (s, r, v);
      press = headroom > 0.01 ? press / headroom : PRESS_HOPELESS;
      worst = press > worst ? press : worst;
    }
  return worst;
}

/* The share of their speed at which the filling tasks beside it leave the serving task
 * within its target; above 1: more would fit. */
static double
fair_share (KqSched *s, const KqRunnerState *r, const KqRun *serving)
{
  double pressed = kq_pace_press_by (s, r, kq_run_image (serving));
  double headroom = headroom_of (s, serving);
  if (pressed <= 0)
    return 1;
  return headroom > 0 ? headroom / pressed : 0;
}

/* What the filling task should work at; 100: nothing is in its way. */
static int
wanted_pace (KqSched *s, const KqRunnerState *r, const KqRun *filling, KqTime now)
{
  double least = 1;
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    {
      double share;
      double press;
      bool over = serves (run) && run->load > BLIND_RATIO * kq_run_step (run)->target_ms;
      if (!serves (run))
        continue;
      if (over_for_long (run, now))
        return 0;
      share = fair_share (s, r, run);
      press = kq_disturb_press (s->disturb, kq_run_image (run), kq_run_image (filling))
              * kq_run_step (filling)->cpu_milli / whole_cpu (r);
      if (share < least && press > PRESS_LEAST)
        least = share;
      else if (over && share >= 1 && least > BLIND_PERCENT / 100.0)
        least = BLIND_PERCENT / 100.0;
    }
  return (int)(least * 100);
}

void
kq_pace_runner (KqSched *s, KqRunnerState *r, KqTime now)
{
  if (now - r->paced_at < REPORT_GAP)
    return;
  r->paced_at = now;
  learn (s, r, now);
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      int to;
      if (!kq_run_step (run)->filling || run->phase != KQ_RUN_RUNNING)
        continue;
      to = wanted_pace (s, r, run, now);
      if (to > run->pace + RISE_PERCENT)
        to = run->pace + RISE_PERCENT;
      if (to < LEAST_PERCENT)
        to = 0;
      if (to > 100 - STEP_PERCENT / 2)
        to = 100;
      if (kq_pace_worth_a_call (run->pace, to))
        kq_run_pace (s, run, to, now);
    }
}
