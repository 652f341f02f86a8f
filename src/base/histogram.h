#ifndef KQ_BASE_HISTOGRAM_H
#define KQ_BASE_HISTOGRAM_H

/* histogram: counts of times by upper bounds in milliseconds, as counters NAME_bucket
 * with a label le, cumulative, and NAME_sum. Bounds grow by 2 to 2.5, so that a quantile
 * read from them is off by less than that. */

#include "base/counter.h"
#include "base/time.h"

#define KQ_HISTOGRAM_BOUNDS 14

typedef struct
{
  uint64_t *buckets[KQ_HISTOGRAM_BOUNDS];
  uint64_t *all; /* le="+Inf" */
  uint64_t *sum_ms;
} KqHistogram;

/* name: without _bucket; labels may be "". Both are copied. */
KqHistogram kq_histogram (KqCounters *c, const char *name, const char *labels,
                          const char *help);
void kq_histogram_add (KqHistogram *h, KqTime took);

#endif
