#ifndef KQ_REQUEST_RUN_TIMES_H
#define KQ_REQUEST_RUN_TIMES_H

/* run_times: how long the requests of a service run, learned by request class.
 *
 * Declared run times are far off, and one service has quick and long requests (a status
 * and a report), for which a common mean would be wrong. Admission forecasts, fair shares
 * and the slots kept for short requests are all based on what is learned here.
 *
 * The mean is a moving average with weight 1/64 (1/n for the first samples). With
 * exponential run times its standard deviation is 9%, and it follows a change of load
 * within some hundred answers. With 1/16 (18%), admission was too generous at times, and
 * at five times the capacity 5% of the answers were late. The high estimate is the mean
 * plus six mean deviations (TCP's retransmission timer adds four), which is the 99.5th
 * percentile of exponential run times. With four, the p99 of the requests served at five
 * times the capacity was 1000.5 ms, with a deadline of 1000 ms (bench-load, seed 1). */

#include "base/time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Classes remembered per service: more than a service has kinds of requests. If all paths
 * differ, each class is replaced before it is used again, and forecasts use the values of
 * all requests. */
#define KQ_RUN_CLASSES 128

typedef struct
{
  uint64_t id;      /* from kq_dispatch_class */
  double mean;      /* microseconds */
  double deviation; /* mean deviation, microseconds */
  double baseline;  /* mean over five minutes, or since the first sample; microseconds */
  KqTime first_at;  /* the first sample; 0: none yet */
  KqTime baseline_at; /* when the baseline was last updated */
  uint32_t samples;   /* counted up to MEAN_SAMPLES_MAX */
  uint32_t last_used; /* value of use_count at the last use */
} KqRunClass;

typedef struct
{
  KqRunClass classes[KQ_RUN_CLASSES]; /* 4-way set associative, by id */
  KqRunClass all;                     /* all requests, of every class */
  double median;                      /* of all run times, microseconds */
  uint32_t median_samples;            /* counted up to MEDIAN_COARSE_SAMPLES */
  uint32_t use_count;                 /* samples added to classes */
} KqRunTimes;

typedef struct
{
  KqTime mean;
  KqTime high;     /* about the 99.5th percentile */
  KqTime baseline; /* the mean without a slowdown of the last seconds */
  bool reliable;   /* enough samples to compare a runner's answers with the mean */
  bool is_long;    /* the mean is a multiple of the service's median */
} KqRunForecast;

void kq_run_times_init (KqRunTimes *r);
/* Adds a sample. class_id: 0: unknown. */
void kq_run_times_add (KqRunTimes *r, uint64_t class_id, KqTime run_time, KqTime now);
/* Returns the forecast for a class. If the class isn't known, or 0, the forecast is that
 * of all requests. */
KqRunForecast kq_run_times_forecast (const KqRunTimes *r, uint64_t class_id);
KqTime kq_run_times_median (const KqRunTimes *r);
/* The run time after which a request in progress counts as long; KQ_TIME_NEVER: not known
 * yet. */
KqTime kq_run_times_long_after (const KqRunTimes *r);

#endif
