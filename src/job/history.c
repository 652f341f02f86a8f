#include "job/history.h"

void
kq_history_record_change (KqHistory *h, uint16_t class_index, double n, int64_t cpu_milli,
                          KqTime now)
{
  kq_mix_add (&h->mix, class_index, n);
  h->cpu_milli += cpu_milli;
  h->changes[h->n++ % KQ_HISTORY_MAX]
      = (KqHistoryChange){ now, class_index, (float)n, cpu_milli };
}

bool
kq_history_at (const KqHistory *h, KqTime at, KqMix *mix, int64_t *cpu_milli)
{
  *mix = h->mix;
  *cpu_milli = h->cpu_milli;
  for (uint32_t i = 1; i <= h->n && i <= KQ_HISTORY_MAX; i++)
    {
      const KqHistoryChange *c = &h->changes[(h->n - i) % KQ_HISTORY_MAX];
      if (c->at <= at)
        return true;
      kq_mix_add (mix, c->class_index, -c->n);
      *cpu_milli -= c->cpu_milli;
    }
  return h->n <= KQ_HISTORY_MAX;
}
