#include "job/health.h"

#include <limits.h>
#include <math.h>

/* Fraction of all tasks that fail on a bad worker. */
#define BAD_WORKER_FAILURE_RATE 0.9
/* Log of a likelihood ratio of 150 to 1. From evidence 0 it is reached by two failures in
 * a row of a class of which 1 task in 50 fails, or by nine of a class of which every
 * other task fails. FAILED_JOBS_TO_HOLD jobs must have failed as well. */
#define EVIDENCE_TO_HOLD 5.0
/* Bounds how long earlier successes hide that a worker has become bad. */
#define EVIDENCE_MIN (-3.0)
#define FAILED_JOBS_TO_HOLD 3
/* Weight of one outcome in a class's failure rate. */
#define FAILURE_RATE_SMOOTHING 0.02
#define FAILURE_RATE_MIN 0.02
#define FAILURE_RATE_MAX 0.8
#define HOLD_TIME_MIN (30 * KQ_SEC)
#define HOLD_TIME_MAX (900 * KQ_SEC)
#define PROBE_LIMIT_END 16 /* a worker whose probe_limit reaches it is GOOD again */

static void
hold_worker (KqFleetHealth *f, KqHealth *h, KqTime now)
{
  if (h->state == KQ_HEALTH_GOOD)
    {
      h->hold_time = HOLD_TIME_MIN;
      f->n_held++;
    }
  else
    h->hold_time = fmin (h->hold_time * 2, HOLD_TIME_MAX);
  h->state = KQ_HEALTH_HELD;
  h->held_until = now + h->hold_time;
}

static void
record_success (KqFleetHealth *f, KqHealth *h, double rate)
{
  h->evidence = fmax (h->evidence + log ((1 - BAD_WORKER_FAILURE_RATE) / (1 - rate)),
                      EVIDENCE_MIN);
  h->n_failed_jobs = 0;
  h->last_failed_job = 0;
  if (h->state != KQ_HEALTH_PROBED)
    return;
  h->probe_limit *= 2;
  if (h->probe_limit < PROBE_LIMIT_END)
    return;
  *h = (KqHealth){ 0 };
  f->n_held--;
}

void
kq_health_record_outcome (KqFleetHealth *f, KqHealth *h, uint16_t class_index,
                          uint64_t job, bool failed, uint32_t n_workers,
                          int64_t held_percent, KqTime now)
{
  double *class_rate = &f->failure_rate[class_index];
  double rate = fmin (fmax (*class_rate, FAILURE_RATE_MIN), FAILURE_RATE_MAX);
  uint32_t held_max = (uint32_t)(n_workers * held_percent / 100);
  if (h->state == KQ_HEALTH_GOOD)
    *class_rate += FAILURE_RATE_SMOOTHING * ((failed ? 1.0 : 0.0) - *class_rate);
  if (!failed)
    {
      record_success (f, h, rate);
      return;
    }
  if (h->state == KQ_HEALTH_PROBED)
    {
      hold_worker (f, h, now);
      return;
    }
  if (job == h->last_failed_job)
    return;
  h->last_failed_job = job;
  h->n_failed_jobs++;
  h->evidence += log (BAD_WORKER_FAILURE_RATE / rate);
  if (h->state == KQ_HEALTH_GOOD && h->evidence > EVIDENCE_TO_HOLD
      && h->n_failed_jobs >= FAILED_JOBS_TO_HOLD
      && f->n_held < (held_max > 0 ? held_max : 1))
    hold_worker (f, h, now);
}

int
kq_health_update_task_limit (KqFleetHealth *f, KqHealth *h, KqTime now)
{
  (void)f;
  if (h->state == KQ_HEALTH_GOOD)
    return INT_MAX;
  if (h->state == KQ_HEALTH_HELD && now >= h->held_until)
    {
      h->state = KQ_HEALTH_PROBED;
      h->probe_limit = 1;
    }
  return h->state == KQ_HEALTH_HELD ? 0 : h->probe_limit;
}

bool
kq_health_blames_job (const KqHealth *h)
{
  return h->state == KQ_HEALTH_GOOD;
}
