#include "request/run_times.h"

#include <math.h>

/* Mean run time before the first sample, microseconds. */
#define MEAN_DEFAULT (10.0 * KQ_MS)
/* The weight of a sample in the mean is 1/n for the first samples, later 1/this. */
#define MEAN_SAMPLES_MAX 64
/* Time constant with which the baseline follows the mean: long enough that most waves of
 * batch work on all machines end before their slowdown enters the baseline. */
#define BASELINE_TIME (300 * KQ_SEC)
/* The high estimate is the mean plus this many mean deviations. */
#define HIGH_DEVIATIONS 6
/* A class is long if its mean exceeds this multiple of the median. With exponential run
 * times one request in 250 does, so the mean of a class of short requests never does.
 * The class needs LONG_SAMPLES_MIN samples. */
#define LONG_FACTOR 8
#define LONG_SAMPLES_MIN 2
#define RELIABLE_SAMPLES_MIN 16
/* Each sample moves the median up or down by this factor: coarse steps for the first
 * samples, then fine ones, which leave a noise of some percent. Entry nodes compare
 * owners by the median. */
#define MEDIAN_COARSE_STEP 1.05
#define MEDIAN_STEP 1.01
#define MEDIAN_COARSE_SAMPLES 200
/* Entries per set of `classes`, which is a set-associative cache. */
#define WAYS 4

void
kq_run_times_init (KqRunTimes *r)
{
  *r = (KqRunTimes){ 0 };
}

static size_t
set_start (uint64_t id)
{
  return (id >> 7) % (KQ_RUN_CLASSES / WAYS) * WAYS;
}

static const KqRunClass *
find_class (const KqRunTimes *r, uint64_t id)
{
  size_t at = set_start (id);
  for (size_t i = at; id != 0 && i < at + WAYS; i++)
    if (r->classes[i].id == id)
      return &r->classes[i];
  return NULL;
}

/* A new class replaces the least recently used one of its set. */
static KqRunClass *
get_class (KqRunTimes *r, uint64_t id)
{
  size_t at = set_start (id);
  KqRunClass *oldest = &r->classes[at];
  for (size_t i = at; i < at + WAYS; i++)
    {
      if (r->classes[i].id == id)
        return &r->classes[i];
      if (r->classes[i].last_used < oldest->last_used)
        oldest = &r->classes[i];
    }
  *oldest = (KqRunClass){ .id = id };
  return oldest;
}

static void
add_sample (KqRunClass *c, double run_time, KqTime now)
{
  double weight;
  KqTime known = now - c->first_at < BASELINE_TIME ? now - c->first_at : BASELINE_TIME;
  if (c->samples < MEAN_SAMPLES_MAX)
    c->samples++;
  weight = 1.0 / c->samples;
  if (c->samples == 1)
    c->deviation = run_time / 2;
  else
    c->deviation += (fabs (run_time - c->mean) - c->deviation) * weight;
  c->mean += (run_time - c->mean) * weight;
  if (c->first_at == 0)
    c->first_at = now;
  /* The first answers to arrive are those of the shortest requests. Their weight must not
   * last, so the time constant is at most the age of the class. */
  if (c->samples < MEAN_SAMPLES_MAX || known <= 0)
    c->baseline = c->mean;
  else
    c->baseline
        += (c->mean - c->baseline) * (double)(now - c->baseline_at) / (double)known;
  c->baseline_at = now;
}

void
kq_run_times_add (KqRunTimes *r, uint64_t class_id, KqTime run_time, KqTime now)
{
  double us = run_time > 1 ? (double)run_time : 1;
  add_sample (&r->all, us, now);
  if (r->median == 0)
    r->median = us;
  else
    {
      double step
          = r->median_samples < MEDIAN_COARSE_SAMPLES ? MEDIAN_COARSE_STEP : MEDIAN_STEP;
      r->median = us > r->median ? r->median * step : r->median / step;
    }
  if (r->median_samples < MEDIAN_COARSE_SAMPLES)
    r->median_samples++;
  if (class_id != 0)
    {
      KqRunClass *c = get_class (r, class_id);
      c->last_used = ++r->use_count;
      add_sample (c, us, now);
    }
}

KqRunForecast
kq_run_times_forecast (const KqRunTimes *r, uint64_t class_id)
{
  const KqRunClass *c = find_class (r, class_id);
  KqRunForecast f = { (KqTime)MEAN_DEFAULT, (KqTime)MEAN_DEFAULT, (KqTime)MEAN_DEFAULT,
                      false, false };
  if (c == NULL)
    c = &r->all;
  if (c->samples == 0)
    return f;
  f.mean = (KqTime)fmax (1, c->mean);
  f.high = f.mean + (KqTime)(HIGH_DEVIATIONS * c->deviation);
  f.reliable = c != &r->all && c->samples >= RELIABLE_SAMPLES_MIN;
  f.baseline = (KqTime)fmax (1, c->baseline);
  f.is_long = c != &r->all && c->samples >= LONG_SAMPLES_MIN
              && c->mean > LONG_FACTOR * r->median;
  return f;
}

KqTime
kq_run_times_median (const KqRunTimes *r)
{
  return (KqTime)r->median;
}

KqTime
kq_run_times_long_after (const KqRunTimes *r)
{
  if (r->all.samples < RELIABLE_SAMPLES_MIN)
    return KQ_TIME_NEVER;
  return (KqTime)(LONG_FACTOR * r->median);
}
