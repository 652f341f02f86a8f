#ifndef KQ_REQUEST_ADMISSION_H
#define KQ_REQUEST_ADMISSION_H

/* admission: decides on arrival whether a request is queued or refused, and when a
 * refused caller should retry.
 *
 * When more requests arrive than the runners can answer, an unbounded queue grows until
 * every request waits longer than its deadline: the runners are busy all the time, nearly
 * every answer is too late (goodput near zero at full load), and the backlog outlasts the
 * overload. So a request is refused if the forecast of its wait plus the high estimate of
 * its run time exceeds the time until its deadline. The high estimate is about the 99.5th
 * percentile, so that what is served is served in time.
 *
 * The forecast is the expected work ahead of the request over the slots that its service
 * gets. While the service has a queue, these are the slots that its requests are using,
 * which includes the effect of other services, limits and outliers. With fair queueing, a
 * caller waits at most for its own backlog over its share, and a key at most for its own
 * backlog over its part of that, so that a caller or key that sends too much is refused
 * while others aren't. A caller may fill at most caller_percent of the queue, and a key
 * at most that percentage of the caller's part.
 *
 * Retry-after: each refused caller gets a different time. The times begin when the queue
 * is expected to be empty and are spaced so that retries use half of the capacity; beyond
 * 10 s they are drawn evenly from 5 to 10 s. With one time for all, the callers would
 * retry together and be refused again. */

#include "base/rand.h"
#include "base/result.h"
#include "base/time.h"
#include "request/run_times.h"

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  size_t queued;
  int64_t queue_max;
  int64_t work;   /* expected work queued ahead of the request, microseconds */
  double slots;   /* available for this work */
  bool slot_free; /* a slot is free now and nothing is queued, so there is no wait */
  bool fair;      /* fair queueing is on; the fields below apply */
  size_t caller_queued;
  int64_t caller_percent; /* most of the queue that one caller may fill */
  int64_t caller_work;    /* expected work that the caller has queued, microseconds */
  size_t key_queued;      /* of the caller, with the same key; 0 if the key isn't known */
  int64_t key_work;       /* expected work of these requests, microseconds */
  int64_t active_keys;    /* keys of the caller with a queue, this one included */
  int64_t caller_weight;  /* the caller's share of the slots is proportional to it */
  int64_t active_weight;  /* sum for all callers with a queue, this one included */
} KqAdmissionInput;

/* Expected time that the request waits in the queue. */
KqTime kq_admission_wait (const KqAdmissionInput *in, const KqRunForecast *run);
/* Returns KQ_OK if the request may be queued, otherwise why it is refused:
 * KQ_ERR_QUEUE_FULL, KQ_ERR_CALLER_SHARE or (only if check_forecast)
 * KQ_ERR_DEADLINE_FORECAST. time_left: until the deadline. */
KqResult kq_admission_decide (const KqAdmissionInput *in, const KqRunForecast *run,
                              KqTime time_left, bool check_forecast);

typedef struct
{
  KqTime next; /* the last time that was advised */
} KqRetryAfter;

/* Returns how long a refused caller should wait before it retries, and advances r->next,
 * so that each caller gets another time. wait: until the queue is expected to be empty;
 * interval: mean time between the starts of two requests at full capacity. */
KqTime kq_retry_after_next (KqRetryAfter *r, KqTime wait, KqTime interval, KqTime now,
                            KqRand *rand);

#endif
