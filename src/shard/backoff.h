#ifndef KQ_SHARD_BACKOFF_H
#define KQ_SHARD_BACKOFF_H

/* backoff: computes when to repeat a store call that failed.
 *
 * The delay doubles with each failure from KQ_BACKOFF_MIN to KQ_BACKOFF_MAX, and its
 * second half is random. Without the random half all shards of a fleet would call a
 * recovering store at the same time and overload it again. */

#include "base/rand.h"
#include "base/time.h"

#define KQ_BACKOFF_MIN (20 * KQ_MS)
#define KQ_BACKOFF_MAX (2 * KQ_SEC)

/* Returns the time of the next call. *wait is the previous delay (0 after a success) and
 * receives the new one, without the random part. */
KqTime kq_backoff_next (KqTime *wait, KqRand *rand, KqTime now);

#endif
