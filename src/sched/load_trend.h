#ifndef KQ_SCHED_LOAD_TREND_H
#define KQ_SCHED_LOAD_TREND_H

/* load_trend: tracks the load of a serving step over time, as the slack that it leaves to
 * the step's tasks without any filling task.
 *
 * Slack is the latency target divided by the tail latency: at 1 the tail is at its
 * target, and more load leaves proportionally less. By 52,000 reports of two fleets, all
 * tasks of a step share one load, which changes within seconds: reports without filling
 * tasks lie within 0.2 of the step's common value, those of equal images in other steps
 * within 0.9. So there is one Kalman filter per step, with level and slope. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  bool known;       /* there was a report; if not, the other fields are 0 */
  double level;     /* estimated slack at time `at` */
  double slope;     /* change of the slack per second */
  double var_level; /* variance of the level */
  double var_slope; /* variance of the slope */
  double covar;     /* covariance of level and slope */
  KqTime at;
  double low;    /* lowest recent level, at the peak of the load */
  KqTime low_at; /* when `low` was last updated */
} KqLoadTrend;

/* Learns from a report for time `at`: the reported slack plus the loss to filling tasks,
 * and the variance of that sum. */
void kq_load_trend_learn (KqLoadTrend *s, double slack, double variance, KqTime at);
/* The slack expected at time `at`. */
double kq_load_trend_at (const KqLoadTrend *s, KqTime at);
/* The slack expected at the peak of the load; `at` is the present time. */
double kq_load_trend_low (const KqLoadTrend *s, KqTime at);

#endif
