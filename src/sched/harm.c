/* harm: evaluates the latency reports of serving tasks, and predicts what a filling task
 * that starts beside them would do to them.
 *
 * Tail latencies vary with the load of a step, for all of its tasks alike, and rise
 * beside filling tasks of some images only. Both are seen through noisy reports that are
 * half a second old. A difference between tasks of one step at the same time is
 * attributed to the filling tasks beside them (sched/disturb.h); what they have in common
 * is the load of the step, which is tracked and extrapolated (sched/load_trend.h). */

#include "sched/harm.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* Slack that a serving task must keep. At 1 its tail is at its target; what is above 1 is
 * a margin for noise in the reports. */
#define SLACK_KEPT 1.18
/* A report covers the time of this length before it. */
#define REPORT_SPAN (500 * KQ_MS)
/* Weight of a new report in the mean of a task's offset from its step's slack. */
#define OFFSET_WEIGHT 0.1
/* Variance of a reported slack around the model's value: reports without filling tasks
 * have a standard deviation of 0.2. It also covers the change of load between two reports
 * that are compared. */
#define REPORT_VARIANCE 0.04
/* Reports of two tasks of a step are compared if they are no further apart than this. */
#define COMPARE_WITHIN (600 * KQ_MS)
/* Below this slack the task's queue has grown without bound, and the loss is no longer in
 * proportion to the cpu that filling tasks use. */
#define SLACK_SATURATED 0.4
/* Longest time over its target before a serving task stops all filling tasks beside it,
 * whichever of them is the cause: by then its callers have noticed for some seconds. A
 * report counts as over from OVER_RATIO times the target, as reports are noisy. */
#define OVER_TARGET_MAX (1200 * KQ_MS)
#define OVER_RATIO 0.95
/* Weight of a new report in the mean of a task's tails; the mean covers about 1.5 s. */
#define TAIL_MEAN_WEIGHT 0.3
/* A filling task that is placed will run for some seconds. So the headroom beside it is
 * predicted for PLACE_AHEAD later, and averaged with the headroom at the load's peak,
 * which has the weight PEAK_WEIGHT. */
#define PLACE_AHEAD (1500 * KQ_MS)
#define PEAK_WEIGHT 0.5
/* Additional slack that must be left where a filling task starts. */
#define START_SLACK_MARGIN 0.4

/* The runner's cpu in thousandths, at least 1 as it is divided by. */
static double
whole_cpu (const KqRunnerState *r)
{
  return r->room.cpu_milli > 0 ? (double)r->room.cpu_milli : 1;
}

/* Computes the share of the runner's cpu that each filling image uses. */
static void
compute_shares_in_use (const KqRunnerState *r, double shares[KQ_DISTURB_IMAGES_MAX])
{
  for (int i = 0; i < KQ_DISTURB_IMAGES_MAX; i++)
    shares[i] = 0;
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    if (kq_run_step (run)->filling && run->load > 0)
      shares[kq_run_image (run)] += (double)run->load / whole_cpu (r);
}

bool
kq_harm_has_report (const KqRun *run)
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
over_too_long (KqTime since, KqTime now)
{
  return since != 0 && now - since >= OVER_TARGET_MAX;
}

/* A task is over its target for too long if each of its last reports was over, or if
 * their mean was. Reports are noisy: with a tail just over the target every other one is
 * below it by chance. By the first condition alone such a task was never found, and its
 * tail stayed over the target for 4 s. */
bool
kq_harm_over_too_long (const KqRun *run, KqTime now)
{
  return kq_harm_has_report (run)
         && (over_too_long (run->serving->over_since, now)
             || over_too_long (run->serving->mean_over_since, now));
}

static void
update_since (KqTime *since, bool holds, KqTime now)
{
  if (!holds)
    *since = 0;
  else if (*since == 0)
    *since = now;
}

/* A filling task begins at full speed and is slowed only at the next report. If filling
 * tasks could start while those already beside the serving task are at pace 0, the new
 * ones would keep the tail over its target, as seen for 4 s. */
bool
kq_harm_closed_to_filling (const KqSched *s, KqRunnerState *r, KqTime now)
{
  assert (s->in_pass);
  if (r->closed_pass == s->passes)
    return r->closed_to_filling;
  r->closed_pass = s->passes;
  r->closed_to_filling = false;
  for (const KqRun *run = r->serving_runs; run != NULL; run = run->serving->next)
    r->closed_to_filling = r->closed_to_filling || kq_harm_over_too_long (run, now);
  return r->closed_to_filling;
}

/* Whether the task's last report may be compared with a report of time `at`. */
static bool
comparable (const KqRun *run, KqTime at)
{
  return run != NULL && run->serving != NULL && run->phase == KQ_RUN_RUNNING
         && run->serving->reported_at != 0
         && at - run->serving->reported_at < COMPARE_WITHIN
         && run->serving->slack >= SLACK_SATURATED;
}

/* Updates the disturbance model by the serving task's last report. All tasks of a step
 * are under the same load: if one has less slack than the others at the same time, the
 * filling tasks beside it are the cause. */
static void
learn_disturbance (KqSched *s, const KqRun *run, KqTime now)
{
  const KqServing *v = run->serving;
  const KqStepState *st = step_of (run);
  double shares[KQ_DISTURB_IMAGES_MAX];
  double others[KQ_DISTURB_IMAGES_MAX] = { 0 };
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
      for (int f = 0; f < KQ_DISTURB_IMAGES_MAX; f++)
        others[f] += other->serving->shares[f];
      n++;
    }
  if (n == 0)
    return;
  for (int f = 0; f < KQ_DISTURB_IMAGES_MAX; f++)
    shares[f] = v->shares[f] - others[f] / n;
  lost = slack / n - v->slack;
  if (v->slack < SLACK_SATURATED
      && kq_disturb_loss (s->disturb, kq_run_image (run), shares, &variance) > lost)
    return;
  kq_disturb_learn (s->disturb, kq_run_image (run), lost, REPORT_VARIANCE * (1 + 1.0 / n),
                    shares);
}

/* Updates the load trend of the serving task's step by its last report. A report below
 * SLACK_SATURATED is ignored if even less slack was expected. */
static void
learn_load (KqSched *s, const KqRun *run, KqTime now)
{
  KqServing *v = run->serving;
  KqLoadTrend *load = &step_of (run)->load_trend;
  KqTime at = now - REPORT_SPAN / 2;
  double variance;
  double loss = kq_disturb_loss (s->disturb, kq_run_image (run), v->shares, &variance);
  double expected = kq_load_trend_at (load, at) + v->offset - loss;
  if (v->slack < SLACK_SATURATED && expected < v->slack)
    return;
  kq_load_trend_learn (load, v->slack + loss - v->offset, REPORT_VARIANCE + variance, at);
  v->offset
      += OFFSET_WEIGHT * (v->slack + loss - kq_load_trend_at (load, at) - v->offset);
}

static void
log_over_target (const KqSched *s, const KqRun *run, KqTime now)
{
  const KqServing *v = run->serving;
  const KqLoadTrend *load = &step_of (run)->load_trend;
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
          kq_load_trend_at (load, at) + v->offset - loss, kq_load_trend_at (load, at),
          v->offset, loss, variance, n, paced,
          (long long)(youngest != 0 ? (now - youngest) / KQ_MS : -1));
}

static void
learn_report (KqSched *s, KqRun *run, const double shares[KQ_DISTURB_IMAGES_MAX],
              KqTime now)
{
  KqServing *v = run->serving;
  double log_ratio = log ((double)run->load / kq_run_step (run)->target_ms);
  v->slack = exp (-log_ratio);
  v->reported_at = now;
  memcpy (v->shares, shares, sizeof v->shares);
  v->tail_log_mean
      += (v->tail_log_mean == 0 ? 1 : TAIL_MEAN_WEIGHT) * (log_ratio - v->tail_log_mean);
  if (log_ratio > 0 && v->over_since == 0)
    log_over_target (s, run, now);
  update_since (&v->over_since, log_ratio >= log (OVER_RATIO), now);
  update_since (&v->mean_over_since, v->tail_log_mean >= 0, now);
  learn_disturbance (s, run, now);
  learn_load (s, run, now);
}

void
kq_harm_learn (KqSched *s, KqRunnerState *r, KqTime now)
{
  double shares[KQ_DISTURB_IMAGES_MAX];
  compute_shares_in_use (r, shares);
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    if (kq_harm_has_report (run))
      learn_report (s, run, shares, now);
}

double
kq_harm_headroom (const KqRun *serving, KqTime at)
{
  return kq_load_trend_at (&step_of (serving)->load_trend, at) + serving->serving->offset
         - SLACK_KEPT;
}

/* The slack that the serving task can lose at the peak of its load. */
static double
headroom_at_peak (const KqRun *serving, KqTime now)
{
  return kq_load_trend_low (&step_of (serving)->load_trend, now)
         + serving->serving->offset - SLACK_KEPT;
}

double
kq_harm_loss_by_runner (const KqSched *s, const KqRunnerState *r, int serving)
{
  double loss = 0;
  for (uint32_t left = r->filling_images; left != 0; left &= left - 1)
    {
      int f = __builtin_ctz (left);
      loss += r->filling_shares[f] * kq_disturb_loss_bound (s->disturb, serving, f);
    }
  return loss;
}

/* The slack that the serving task can lose to a filling task that starts beside it.
 * Computed once per placing pass. */
static double
start_headroom (const KqSched *s, const KqRun *serving, KqTime now)
{
  KqServing *v = serving->serving;
  double later;
  assert (s->in_pass);
  if (v->headroom_pass == s->passes)
    return v->start_headroom;
  v->headroom_pass = s->passes;
  later = PEAK_WEIGHT * headroom_at_peak (serving, now)
          + (1 - PEAK_WEIGHT) * kq_harm_headroom (serving, now + PLACE_AHEAD);
  v->start_headroom = fmin (later, kq_harm_headroom (serving, now + KQ_HARM_AHEAD))
                      - START_SLACK_MARGIN;
  return v->start_headroom;
}

double
kq_harm_allowed_speed (const KqSched *s, const KqRunnerState *r, int filling,
                       int32_t cpu_milli, KqTime now)
{
  double speed = 1;
  for (KqRun *run = r->serving_runs; run != NULL; run = run->serving->next)
    {
      double loss;
      double headroom;
      int image;
      if (run->occurrence == NULL)
        continue;
      image = kq_run_image (run);
      loss = kq_disturb_loss_bound (s->disturb, image, filling) * cpu_milli
             / whole_cpu (r);
      if (loss < KQ_HARM_LOSS_MIN)
        continue;
      headroom = start_headroom (s, run, now) - kq_harm_loss_by_runner (s, r, image);
      speed = fmin (speed, headroom / loss);
    }
  return fmax (speed, 0);
}

double
kq_harm_loss_by_run (const KqSched *s, const KqRun *filling, int serving)
{
  return kq_disturb_loss_bound (s->disturb, serving, kq_run_image (filling))
         * filling->cpu_share;
}
