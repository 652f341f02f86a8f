#include "request/admission.h"

#define RETRY_AFTER_MAX (10 * KQ_SEC)
#define RETRY_AFTER_MIN (50 * KQ_MS)
/* Advised times are spaced so that retries use up 1/RETRY_CAPACITY_DIVISOR of the
 * capacity. */
#define RETRY_CAPACITY_DIVISOR 2

static double
min_double (double a, double b)
{
  return a < b ? a : b;
}

KqTime
kq_admission_wait (const KqAdmissionInput *in, const KqRunForecast *run)
{
  double work = (double)in->work;
  if (in->slot_free)
    return 0;
  if (in->fair && in->caller_weight > 0)
    {
      double share = (double)in->active_weight / (double)in->caller_weight;
      double key = (double)(in->key_work + run->mean) * (double)in->active_keys;
      double caller = (double)(in->caller_work + run->mean);
      work = min_double (work, share * min_double (key, caller));
    }
  /* No slot is free, so the request also waits for the first one to become free. */
  return (KqTime)((work + (double)run->mean) / (in->slots >= 1 ? in->slots : 1));
}

static bool
exceeds_share (const KqAdmissionInput *in)
{
  int64_t caller_max = (in->queue_max * in->caller_percent + 99) / 100;
  int64_t key_max = (caller_max * in->caller_percent + 99) / 100;
  return (int64_t)in->caller_queued >= caller_max || (int64_t)in->key_queued >= key_max;
}

KqResult
kq_admission_decide (const KqAdmissionInput *in, const KqRunForecast *run,
                     KqTime time_left, bool check_forecast)
{
  if (in->queued >= (size_t)in->queue_max)
    return KQ_ERR_QUEUE_FULL;
  if (in->fair && exceeds_share (in))
    return KQ_ERR_CALLER_SHARE;
  if (check_forecast && kq_admission_wait (in, run) + run->high > time_left)
    return KQ_ERR_DEADLINE_FORECAST;
  return KQ_OK;
}

KqTime
kq_retry_after_next (KqRetryAfter *r, KqTime wait, KqTime interval, KqTime now,
                     KqRand *rand)
{
  KqTime span;
  if (r->next < now + wait)
    r->next = now + wait;
  r->next += interval * RETRY_CAPACITY_DIVISOR;
  span = r->next - now;
  if (span > RETRY_AFTER_MAX)
    {
      r->next = now + RETRY_AFTER_MAX;
      span = RETRY_AFTER_MAX / 2 + (KqTime)kq_rand_below (rand, RETRY_AFTER_MAX / 2);
    }
  return span > RETRY_AFTER_MIN ? span : RETRY_AFTER_MIN;
}
