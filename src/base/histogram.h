#ifndef KQ_BASE_HISTOGRAM_H
#define KQ_BASE_HISTOGRAM_H

/* histogram: a Prometheus histogram of durations, kept as cumulative counters NAME_bucket
 * with the label le (upper bound in milliseconds) and NAME_sum (milliseconds). Each bound
 * is 2 to 2.5 times the one before it (the last one 3 times), so a quantile computed from
 * the buckets is off by less than that factor. */

#include "base/counter.h"
#include "base/time.h"

#define KQ_HISTOGRAM_BOUNDS 14

typedef struct
{
  uint64_t *buckets[KQ_HISTOGRAM_BOUNDS];
  uint64_t *total; /* le="+Inf" */
  uint64_t *sum_ms;
} KqHistogram;

/* Creates the counters in c. name: without _bucket; labels: "" for none. The strings are
 * copied. */
KqHistogram kq_histogram (KqCounters *c, const char *name, const char *labels,
                          const char *help);
void kq_histogram_add (KqHistogram *h, KqTime duration);

#endif
