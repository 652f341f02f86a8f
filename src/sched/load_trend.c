#include "sched/load_trend.h"

#include <math.h>

/* The state before any report: a tail at half of its target, quite possibly at a third or
 * at all of it. */
#define INITIAL_SLACK 2.0
#define INITIAL_VARIANCE 0.7
#define INITIAL_SLOPE_VARIANCE 0.2
/* Variance that the slope gains per second: the load varies by half of its mean with a
 * period of about 14 s, so that its slope changes by 0.2 a second. */
#define SLOPE_NOISE 0.05
/* Larger differences between report and estimate are cut to ERROR_MAX_DEVIATIONS
 * standard deviations: a filling task that has just started shows in the tail before it
 * shows in the cpu in use. */
#define ERROR_MAX_DEVIATIONS 2.5
/* Without reports the slope is extrapolated for this long; after that the level is
 * constant. */
#define EXTRAPOLATE_MAX_S 1.5
/* Time constant with which the recorded low approaches the level. It is long, as the load
 * returns to its peak. */
#define LOW_DECAY_S 12.0

static double
seconds (KqTime span)
{
  return (double)span / (double)KQ_SEC;
}

static double
seconds_since_update (const KqLoadTrend *s, KqTime at)
{
  double dt = seconds (at - s->at);
  return dt > 0 ? dt : 0;
}

static void
predict (KqLoadTrend *s, KqTime at)
{
  double dt = seconds_since_update (s, at);
  s->level = kq_load_trend_at (s, at);
  s->var_level
      += dt * (2 * s->covar + dt * s->var_slope) + SLOPE_NOISE * dt * dt * dt / 3;
  s->covar += dt * s->var_slope + SLOPE_NOISE * dt * dt / 2;
  s->var_slope += SLOPE_NOISE * dt;
  if (at > s->at)
    s->at = at;
}

static void
initialize (KqLoadTrend *s, KqTime at)
{
  *s = (KqLoadTrend){ .known = true,
                      .level = INITIAL_SLACK,
                      .var_level = INITIAL_VARIANCE,
                      .var_slope = INITIAL_SLOPE_VARIANCE,
                      .at = at,
                      .low = INITIAL_SLACK,
                      .low_at = at };
}

void
kq_load_trend_learn (KqLoadTrend *s, double slack, double variance, KqTime at)
{
  double sum;
  double gain_level;
  double gain_slope;
  double error;
  if (!s->known)
    initialize (s, at);
  predict (s, at);
  sum = s->var_level + variance;
  gain_level = s->var_level / sum;
  gain_slope = s->covar / sum;
  error = slack - s->level;
  error = fmax (-ERROR_MAX_DEVIATIONS * sqrt (sum),
                fmin (ERROR_MAX_DEVIATIONS * sqrt (sum), error));
  s->level += gain_level * error;
  s->slope += gain_slope * error;
  s->var_slope -= gain_slope * s->covar;
  s->covar -= gain_level * s->covar;
  s->var_level -= gain_level * s->var_level;
  s->low = fmin (kq_load_trend_low (s, at), s->level);
  s->low_at = at;
}

double
kq_load_trend_at (const KqLoadTrend *s, KqTime at)
{
  double dt = seconds_since_update (s, at);
  if (!s->known)
    return INITIAL_SLACK;
  return s->level + s->slope * fmin (dt, EXTRAPOLATE_MAX_S);
}

double
kq_load_trend_low (const KqLoadTrend *s, KqTime at)
{
  double age = seconds (at - s->low_at);
  if (!s->known)
    return INITIAL_SLACK;
  return s->level + (s->low - s->level) * exp (-age / LOW_DECAY_S);
}
