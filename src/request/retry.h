#ifndef KQ_REQUEST_RETRY_H
#define KQ_REQUEST_RETRY_H

/* retry: how many tries may follow failed ones, and when.
 *
 * Load pattern: targets fail or refuse for a while, and every caller's request is tried
 * again. Without a budget three tries triple the load just when capacity is missing, and
 * the overload outlasts its cause. The budget is a part (retry_percent of the service
 * row, 10 by default) of the first tries of the last ten seconds, so that retries add at
 * most that part; a small floor lets a quiet service retry at all. Only the entry node
 * retries, never the owner as well: two layers would multiply.
 * Backoff doubles from 20 ms (the round trip between regions) to 1 s; the wait is drawn
 * evenly from half of it to all of it, so that what failed together doesn't come back
 * together. */

#include "base/rand.h"
#include "base/time.h"

#include <stdbool.h>

/* A hand-over takes a store transaction, the journal's replay and one digest: some 0.3 s.
 * Owners keep their runners for 2 s without a successor; past that there is none. */
#define KQ_RETRY_SUCCESSOR_WAIT (2 * KQ_SEC)

typedef struct
{
  double tokens;
  KqTime at; /* when the tokens were last counted */
} KqRetryBudget;

void kq_retry_first (KqRetryBudget *b, int64_t percent, KqTime now);
bool kq_retry_take (KqRetryBudget *b, KqTime now);
KqTime kq_retry_backoff (KqRand *rand, int n);

/* Between two owners: an owner that stops as planned hands back what it has queued, and
 * for a moment nobody else has its runners. Refused then, a part of the queue is lost at
 * every roll-out (1 to 4 of 8 requests, when the stop came 0.3 s after a take-over). So
 * what was handed back, and nothing else, may wait for the successor.
 *
 * handed_back_at: when the owner gave it back; 0: never. tries: so far. The time of the
 * next look; 0: don't wait (any more). */
KqTime kq_retry_for_successor (KqTime handed_back_at, int tries, KqTime now);

#endif
