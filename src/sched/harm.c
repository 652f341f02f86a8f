/* harm: what reports of serving tasks tell of their load and of what fills beside them,
 * and what follows for a filling task that is to come.
 *
 * Load pattern: tails swing with the load of a step, for all of its tasks alike, and rise
 * beside filling tasks of some images only. Both are seen in rough reports half a second
 * old. What differs between tasks of one step at the same time is put down to what fills
 * beside them (sched/disturb.h); what they have in common is the step's load, which is
 * followed and foretold (sched/swing.h). */

#include "sched/harm.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* Slack that is steered to; at 1 the tail is at its target. Reports are rough. */
#define AIM 1.18
/* Reports tell of the time that ends with them, so long. */
#define REPORT_SPAN (500 * KQ_MS)
/* Weight of a new report in a task's offset from its step's load. Without offsets days
 * with faults earned 0.008 less of what could be earned (8 days, 66 runners of 32 cores).
 */
#define OFFSET_WEIGHT 0.1
/* Variance of a reported slack around the model (0.2 without anything that fills), and of
 * the time between two reports that are compared. */
#define REPORT_VARIANCE 0.04
/* Reports of two tasks of a step are compared when they are not further apart. */
#define SAME_TIME (600 * KQ_MS)
/* With so little slack the queue has exploded, and the loss is no longer in proportion.
 */
#define SATURATED 0.4
/* A serving task that has been over its target for so long, by reports, is in the way of
 * all that fills beside it, whoever is known to be at fault: users have seen it for some
 * seconds by then. "Over" begins a little below the target, as reports are rough. */
#define OVER_FOR (1200 * KQ_MS)
#define OVER_RATIO 0.95
/* Weight of a new report in the mean of a task's tails: the last second and a half. */
#define MEAN_WEIGHT 0.3
/* For a task to be placed, headroom is looked at so far ahead, and at the peak of the
 * load with this weight: it will run for some seconds. Without the peak the same days
 * earned 0.018 less. */
#define PLACE_AHEAD (1500 * KQ_MS)
#define PEAK_WEIGHT 0.5
/* Slack that is left beyond the aim where a task begins to fill; without it the same days
 * earned 0.027 less. */
#define START_MARGIN 0.4
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

bool
kq_harm_serves (const KqRun *run)
{
  return run->serving != NULL && run->occurrence != NULL && run->phase == KQ_RUN_RUNNING
         && run->load > 0;
}

static KqStepState *
step_of (const KqRun *run)
{
  return &run->occurrence->steps[run->step];
}

static bool
lasts (KqTime since, KqTime now)
{
  return since != 0 && now - since >= OVER_FOR;
}

/* By each of the last reports, or by their mean. Reports are rough: with a tail just over
 * the target every other one is below it by chance, and the first condition alone never
 * held (1 of 160 days of mixed faults: 4 s over the target). */
bool
kq_harm_over_for_long (const KqRun *run, KqTime now)
{
  return kq_harm_serves (run)
         && (lasts (run->serving->over_since, now)
             || lasts (run->serving->mean_over_since, now));
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
kq_harm_closed (const KqSched *s, KqRunnerState *r, KqTime now)
{
  assert (s->passing);
  if (r->closed_pass == s->passes)
    return r->closed;
  r->closed_pass = s->passes;
  r->closed = false;
  for (const KqRun *run = r->serving_runs; run != NULL; run = run->serving->next)
    r->closed = r->closed || kq_harm_over_for_long (run, now);
  return r->closed;
}

/* Whether the task's last report can be held against one of `at`. */
static bool
comparable (const KqRun *run, KqTime at)
{
  return run != NULL && run->serving != NULL && run->phase == KQ_RUN_RUNNING
         && run->serving->reported_at != 0 && at - run->serving->reported_at < SAME_TIME
         && run->serving->slack >= SATURATED;
}

/* All tasks of a step are under one load: where one has less slack than the others at the
 * same time, what fills beside it is the cause. */
static void
compare (KqSched *s, const KqRun *run, KqTime now)
{
  const KqServing *v = run->serving;
  const KqStepState *st = step_of (run);
  double shares[KQ_DISTURB_IMAGES];
  double others[KQ_DISTURB_IMAGES] = { 0 };
  double slack = 0;
  double lost;
  double variance;
  int n = 0;
  for (int32_t i = 0; i < kq_run_step (run)->width; i++)
    {
      const KqRun *other = st->tasks[i].run;
      if (other == run || !comparable (other, now))
        continue;
      slack += other->serving->slack;
      for (int f = 0; f < KQ_DISTURB_IMAGES; f++)
        others[f] += other->serving->shares[f];
      n++;
    }
  if (n == 0)
    return;
  for (int f = 0; f < KQ_DISTURB_IMAGES; f++)
    shares[f] = v->shares[f] - others[f] / n;
  lost = slack / n - v->slack;
  if (v->slack < SATURATED
      && kq_disturb_loss (s->disturb, kq_run_image (run), shares, &variance) > lost)
    return;
  kq_disturb_learn (s->disturb, kq_run_image (run), lost, REPORT_VARIANCE * (1 + 1.0 / n),
                    shares);
}

/* What the report says of the load of the task's step. */
static void
follow_load (KqSched *s, const KqRun *run, KqTime now)
{
  KqServing *v = run->serving;
  KqSwing *load = &step_of (run)->swing;
  KqTime at = now - REPORT_SPAN / 2;
  double variance;
  double loss = kq_disturb_loss (s->disturb, kq_run_image (run), v->shares, &variance);
  double expected = kq_swing_at (load, at) + v->offset - loss;
  if (v->slack < SATURATED && expected < v->slack)
    return;
  kq_swing_learn (load, v->slack + loss - v->offset, REPORT_VARIANCE + variance, at);
  v->offset += OFFSET_WEIGHT * (v->slack + loss - kq_swing_at (load, at) - v->offset);
}

static void
log_over (const KqSched *s, const KqRun *run, KqTime now)
{
  const KqServing *v = run->serving;
  const KqSwing *load = &step_of (run)->swing;
  KqTime at = now - REPORT_SPAN / 2;
  double variance;
  double loss = kq_disturb_loss (s->disturb, kq_run_image (run), v->shares, &variance);
  int paced = 0;
  int n = 0;
  KqTime youngest = 0;
  char name[96];
  for (const KqRun *other = run->runner->runs; other != NULL; other = other->next)
    if (kq_run_step (other)->filling)
      {
        n++;
        paced += other->pace < 100;
        if (other->placed_at > youngest)
          youngest = other->placed_at;
      }
  kq_book_task_name (run, name);
  kq_log (KQ_LOG_INFO, PART,
          "A serving task is over its target. task=%s runner=%s tail_ms=%d target_ms=%d "
          "expected_slack=%.2f load_slack=%.2f offset=%.2f loss=%.2f loss_variance=%.3f "
          "filling=%d paced=%d youngest_ms=%lld",
          name, run->runner->id, run->load, kq_run_step (run)->target_ms,
          kq_swing_at (load, at) + v->offset - loss, kq_swing_at (load, at), v->offset,
          loss, variance, n, paced,
          (long long)(youngest != 0 ? (now - youngest) / KQ_MS : -1));
}

static void
take_report (KqSched *s, KqRun *run, const double shares[KQ_DISTURB_IMAGES], KqTime now)
{
  KqServing *v = run->serving;
  double y = log ((double)run->load / kq_run_step (run)->target_ms);
  v->slack = exp (-y);
  v->reported_at = now;
  memcpy (v->shares, shares, sizeof v->shares);
  v->tail_mean += (v->tail_mean == 0 ? 1 : MEAN_WEIGHT) * (y - v->tail_mean);
  if (y > 0 && v->over_since == 0)
    log_over (s, run, now);
  note_since (&v->over_since, y >= log (OVER_RATIO), now);
  note_since (&v->mean_over_since, v->tail_mean >= 0, now);
  compare (s, run, now);
  follow_load (s, run, now);
}

void
kq_harm_learn (KqSched *s, KqRunnerState *r, KqTime now)
{
  double shares[KQ_DISTURB_IMAGES];
  shares_in_use (r, shares);
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    if (kq_harm_serves (run))
      take_report (s, run, shares, now);
}

/* How much slack the serving task can lose at `at`. */
double
kq_harm_headroom (const KqRun *serving, KqTime at)
{
  return kq_swing_at (&step_of (serving)->swing, at) + serving->serving->offset - AIM;
}

/* The same at the peak of its load. */
static double
headroom_at_peak (const KqRun *serving, KqTime now)
{
  return kq_swing_low (&step_of (serving)->swing, now) + serving->serving->offset - AIM;
}

double
kq_harm_press_by (const KqSched *s, const KqRunnerState *r, int serving)
{
  double press = 0;
  for (uint32_t left = r->filling_images; left != 0; left &= left - 1)
    {
      int f = __builtin_ctz (left);
      press += r->filling_shares[f] * kq_disturb_press (s->disturb, serving, f);
    }
  return press;
}

/* What it can lose to a task that starts beside it: the same for all that are placed in
 * one pass. */
static double
start_headroom (const KqSched *s, const KqRun *serving, KqTime now)
{
  KqServing *v = serving->serving;
  double later;
  assert (s->passing);
  if (v->start_pass == s->passes)
    return v->start_headroom;
  v->start_pass = s->passes;
  later = PEAK_WEIGHT * headroom_at_peak (serving, now)
          + (1 - PEAK_WEIGHT) * kq_harm_headroom (serving, now + PLACE_AHEAD);
  v->start_headroom
      = fmin (later, kq_harm_headroom (serving, now + KQ_HARM_AHEAD)) - START_MARGIN;
  return v->start_headroom;
}

double
kq_harm_speed (const KqSched *s, const KqRunnerState *r, int filling, int32_t cpu_milli,
               KqTime now)
{
  double speed = 1;
  for (KqRun *run = r->serving_runs; run != NULL; run = run->serving->next)
    {
      double press;
      double headroom;
      int image;
      if (run->occurrence == NULL)
        continue;
      image = kq_run_image (run);
      press = kq_disturb_press (s->disturb, image, filling) * cpu_milli / whole_cpu (r);
      if (press < KQ_HARM_PRESS_LEAST)
        continue;
      headroom = start_headroom (s, run, now) - kq_harm_press_by (s, r, image);
      speed = fmin (speed, headroom / press);
    }
  return fmax (speed, 0);
}

double
kq_harm_press_of (const KqSched *s, const KqRun *filling, int serving)
{
  return kq_disturb_press (s->disturb, serving, kq_run_image (filling)) * filling->share;
}
