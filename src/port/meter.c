#include "port/meter.h"

#include <stdio.h>

/* Upper bounds of the histogram's buckets, from a fast store's latency to the longest
 * timeout; the last bucket has none. */
static const int bounds_ms[KQ_METER_BUCKETS - 1]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

static uint64_t *
counter (KqMeter *m, const char *name, const char *label, const char *value,
         const char *help)
{
  char full[64];
  char labels[128];
  snprintf (full, sizeof full, "kq_%s_%s", m->port, name);
  if (label != NULL)
    snprintf (labels, sizeof labels, "kind=\"%s\",%s=\"%s\"", m->kind, label, value);
  else
    snprintf (labels, sizeof labels, "kind=\"%s\"", m->kind);
  return kq_counter (m->counters, full, labels, help);
}

void
kq_meter_init (KqMeter *m, KqCounters *c, const char *port, const char *kind)
{
  char bound[16];
  *m = (KqMeter){ .counters = c, .port = port, .kind = kind };
  for (int i = 0; i < KQ_METER_BUCKETS; i++)
    {
      if (i < KQ_METER_BUCKETS - 1)
        snprintf (bound, sizeof bound, "%d", bounds_ms[i]);
      else
        snprintf (bound, sizeof bound, "+Inf");
      m->buckets[i] = counter (m, "latency_ms_bucket", "le", bound,
                               "Calls answered within so many milliseconds");
    }
  m->sum_us = counter (m, "latency_us_sum", NULL, NULL, "Microseconds of all calls");
  m->bytes_out = counter (m, "body_bytes_total", "way", "out", "Bytes of bodies");
  m->bytes_in = counter (m, "body_bytes_total", "way", "in", "Bytes of bodies");
}

/* A kind of call has few results, so the list is searched linearly. If the list
 * is full, its last entry also counts the results that have no entry. */
static void
count_result (KqMeter *m, KqResult r)
{
  int i = 0;
  while (i < m->n_results && m->results[i].result != r)
    i++;
  if (i == KQ_METER_RESULTS_MAX)
    i--;
  if (i == m->n_results)
    {
      m->results[i].result = r;
      m->results[i].count = counter (m, "calls_total", "result", kq_result_name (r),
                                     "Calls answered, by kind and result");
      m->n_results++;
    }
  (*m->results[i].count)++;
}

void
kq_meter_sent (KqMeter *m, size_t bytes)
{
  *m->bytes_out += bytes;
}

void
kq_meter_answered (KqMeter *m, KqResult r, KqTime span, size_t bytes)
{
  count_result (m, r);
  for (int i = 0; i < KQ_METER_BUCKETS; i++)
    {
      if (i == KQ_METER_BUCKETS - 1 || span <= bounds_ms[i] * KQ_MS)
        (*m->buckets[i])++;
    }
  *m->sum_us += (uint64_t)span;
  *m->bytes_in += bytes;
}

void
kq_meter_unsent (KqMeter *m, KqResult r)
{
  count_result (m, r);
}
