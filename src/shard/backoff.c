#include "shard/backoff.h"

KqTime
kq_backoff_next (KqTime *wait, KqRand *rand, KqTime now)
{
  KqTime w = *wait * 2;
  if (w < KQ_BACKOFF_MIN)
    w = KQ_BACKOFF_MIN;
  if (w > KQ_BACKOFF_MAX)
    w = KQ_BACKOFF_MAX;
  *wait = w;
  return now + w / 2 + (KqTime)kq_rand_below (rand, (uint64_t)w / 2);
}
