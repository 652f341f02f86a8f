#include "job/learn_size.h"

#include <math.h>

#define BUCKET_FIRST 50.0
#define BUCKET_RATIO 1.25
#define CPU_PERCENTILE 0.95
#define MEMORY_PERCENTILE 0.99
/* About half an hour of reports: a class with ten tasks that report every 10 s sends
 * 1,800 in that time. */
#define HALF_LIFE_REPORTS 2000.0
/* Largest part by which one report lowers an estimate. */
#define SHRINK_PER_REPORT 0.01
/* Reports of a class before its estimates are used. A high percentile of fewer reports is
 * just their maximum. */
#define REPORTS_MIN 30
/* Largest slowdown by which processor use is multiplied. A larger one says more about the
 * neighbours than about what the task needs. */
#define SLOWDOWN_MAX 3.0

static int
bucket_of (double v)
{
  int i = v <= BUCKET_FIRST ? 0 : (int)ceil (log (v / BUCKET_FIRST) / log (BUCKET_RATIO));
  return i < KQ_SIZE_BUCKETS ? i : KQ_SIZE_BUCKETS - 1;
}

static double
percentile (const KqSizeHistogram *h, double p)
{
  double above = 0;
  int i = KQ_SIZE_BUCKETS;
  while (--i > 0)
    {
      above += h->count[i];
      if (above > h->total * (1 - p))
        break;
    }
  return BUCKET_FIRST * pow (BUCKET_RATIO, i);
}

static void
add_sample (KqSizeHistogram *h, double v, double p)
{
  double quantile;
  if (h->total > 2 * HALF_LIFE_REPORTS)
    {
      for (int i = 0; i < KQ_SIZE_BUCKETS; i++)
        h->count[i] /= 2;
      h->total /= 2;
    }
  h->count[bucket_of (v)] += 1;
  h->total += 1;
  quantile = percentile (h, p);
  if (v > h->estimate && p >= MEMORY_PERCENTILE)
    h->estimate = v;
  else if (quantile > h->estimate)
    h->estimate = quantile;
  else
    h->estimate = fmax (quantile, h->estimate * (1 - SHRINK_PER_REPORT));
}

void
kq_sizes_record_report (KqSizes *s, uint16_t class_index, const KqUsageReport *u)
{
  KqLearnedSize *l = &s->classes[class_index];
  double slowdown = fmin (fmax (u->slowdown, 1), SLOWDOWN_MAX);
  add_sample (&l->cpu, (double)u->cpu_milli * slowdown, CPU_PERCENTILE);
  add_sample (&l->memory, (double)u->memory_mb, MEMORY_PERCENTILE);
  l->reports++;
}

/* Rounds the estimate up. It is capped at `largest` if the declared size is within that,
 * so that an estimate alone never makes a job too large for every worker. */
static int64_t
capped_estimate (double estimate, int64_t declared, int64_t largest)
{
  int64_t v = (int64_t)ceil (estimate);
  return v > largest && declared <= largest ? largest : v;
}

KqSize
kq_sizes_required_size (const KqSizes *s, uint16_t class_index, KqSize declared,
                        KqSize largest)
{
  const KqLearnedSize *l = &s->classes[class_index];
  if (l->reports < REPORTS_MIN)
    return declared;
  return (KqSize){
    capped_estimate (l->cpu.estimate, declared.cpu_milli, largest.cpu_milli),
    capped_estimate (l->memory.estimate, declared.memory_mb, largest.memory_mb),
    declared.accelerators
  };
}
