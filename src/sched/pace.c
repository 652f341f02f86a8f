/* pace: filling tasks are slowed where a serving task nears its latency target.
 *
 * Load pattern: how much a filling task disturbs a serving one differs by what the two
 * run and changes within seconds; it is seen only in reports half a second old. So the
 * pace falls fast (a target missed for some seconds is seen by users) and rises slowly.
 */

#include "sched/state.h"

/* Shares of the target at which filling tasks slow down a step, or two, or may speed up.
 */
#define SLOW_AT 0.85
#define SLOW_MORE_AT 1.0
#define SPEED_UP_AT 0.6
#define CALM_BELOW 0.75
/* A report covers the last half second: earlier ones say nothing of a new pace. */
#define CHANGE_GAP (650 * KQ_MS)

static const int levels[] = { 0, 10, 25, 50, 100 };
#define LEVELS ((int)(sizeof levels / sizeof levels[0]))

static int
level_of (int pace)
{
  int n = 0;
  while (n < LEVELS - 1 && levels[n] < pace)
    n++;
  return n;
}

/* The worst tail by its target; 0 when nothing serves. */
static double
worst_tail (KqRunnerState *r, KqTime now)
{
  double worst = 0;
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      const KqStep *p = kq_run_step (run);
      double ratio;
      if (p->target_ms <= 0 || run->load < 0 || run->phase != KQ_RUN_RUNNING)
        continue;
      ratio = (double)run->load / p->target_ms;
      if (ratio < 1)
        run->over_since = 0;
      else if (run->over_since == 0)
        run->over_since = now;
      worst = ratio > worst ? ratio : worst;
    }
  return worst;
}

void
kq_pace_runner (KqSched *s, KqRunnerState *r, KqTime now)
{
  double worst = worst_tail (r, now);
  int step = 0;
  if (worst >= CALM_BELOW)
    r->calm_since = now;
  if (worst >= SLOW_MORE_AT)
    step = -2;
  else if (worst >= SLOW_AT)
    step = -1;
  else if (worst < SPEED_UP_AT)
    step = 1;
  if (step == 0)
    return;
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      int to;
      if (!kq_run_step (run)->filling || run->phase != KQ_RUN_RUNNING
          || now - run->paced_at < CHANGE_GAP)
        continue;
      to = level_of (run->pace) + step;
      to = to < 0 ? 0 : to >= LEVELS ? LEVELS - 1 : to;
      if (levels[to] == run->pace)
        continue;
      run->paced_at = now;
      kq_run_pace (s, run, levels[to], now);
    }
}
