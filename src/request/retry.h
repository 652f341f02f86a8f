#ifndef KQ_REQUEST_RETRY_H
#define KQ_REQUEST_RETRY_H

/* retry: decides whether a failed request may be retried, and when.
 *
 * When targets fail or refuse for a while, unlimited retries (three tries) would triple
 * the load just when capacity is missing, and the overload would outlast its cause. So
 * each service has a budget: a percentage (retry_percent of the service row, 10 by
 * default) of the first tries of the last ten seconds. A small minimum lets a service
 * with few requests retry at all. Only the entry node retries, never the owner as well,
 * because retries at two layers would multiply.
 *
 * The backoff doubles from 20 ms (the latency between regions) to 1 s. The wait is
 * drawn uniformly between half the backoff and the whole backoff, so that requests that
 * failed at the same time aren't retried at the same time. */

#include "base/rand.h"
#include "base/time.h"

#include <stdbool.h>

/* How long a request that was handed back waits for a successor. A handover takes a store
 * transaction, a replay of the journal and one digest: some 0.3 s. An owner without a
 * successor keeps its runners for 2 s; if none was found by then, there is none. */
#define KQ_RETRY_SUCCESSOR_WAIT (2 * KQ_SEC)

typedef struct
{
  double tokens;     /* retries that are allowed now; may be fractional */
  KqTime updated_at; /* 0: never */
} KqRetryBudget;

/* Counts a first try, which adds percent / 100 of a retry to the budget. percent:
 * retry_percent of the service row. */
void kq_retry_count_first_try (KqRetryBudget *b, int64_t percent, KqTime now);
/* Takes one retry from the budget; false: there is none left. */
bool kq_retry_take (KqRetryBudget *b, KqTime now);
/* How long to wait before retry n, counted from 1. */
KqTime kq_retry_backoff (KqRand *rand, int n);

/* Returns when to look again for the successor of a draining owner; 0: the request should
 * not wait, or has waited too long.
 *
 * A draining owner hands back the requests in its queue, and for a short time no other
 * owner has its runners. If these requests were refused then, each roll-out would fail a
 * part of the queue (1 to 4 of 8 requests when the owner stopped 0.3 s after it had taken
 * over). So requests that were handed back, and no others, wait for the successor.
 *
 * handed_back_at: when the owner handed the request back; 0: never. tries: so far. */
KqTime kq_retry_successor_time (KqTime handed_back_at, int tries, KqTime now);

#endif
