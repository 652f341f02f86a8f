#include "base/histogram.h"

#include <stdio.h>

static const int64_t bounds_ms[KQ_HISTOGRAM_BOUNDS]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000 };

static uint64_t *
bucket_counter (KqCounters *c, const char *name, const char *labels, const char *le,
                const char *help)
{
  char counter_name[96];
  char with_le[128];
  snprintf (counter_name, sizeof counter_name, "%s_bucket", name);
  snprintf (with_le, sizeof with_le, "%s%sle=\"%s\"", labels,
            labels[0] != '\0' ? "," : "", le);
  return kq_counter (c, counter_name, with_le, help);
}

KqHistogram
kq_histogram (KqCounters *c, const char *name, const char *labels, const char *help)
{
  KqHistogram h;
  char sum_name[96];
  for (int i = 0; i < KQ_HISTOGRAM_BOUNDS; i++)
    {
      char le[24];
      snprintf (le, sizeof le, "%lld", (long long)bounds_ms[i]);
      h.buckets[i] = bucket_counter (c, name, labels, le, help);
    }
  h.total = bucket_counter (c, name, labels, "+Inf", help);
  snprintf (sum_name, sizeof sum_name, "%s_sum", name);
  h.sum_ms = kq_counter (c, sum_name, labels, help);
  return h;
}

void
kq_histogram_add (KqHistogram *h, KqTime duration)
{
  for (int i = 0; i < KQ_HISTOGRAM_BOUNDS; i++)
    if (duration <= bounds_ms[i] * KQ_MS)
      ++*h->buckets[i];
  ++*h->total;
  *h->sum_ms += duration > 0 ? (uint64_t)(duration / KQ_MS) : 0;
}
