#ifndef KQ_SHARD_BACKOFF_H
#define KQ_SHARD_BACKOFF_H

/* backoff: the time of the next store call after a failed one.
 *
 * The delay doubles from KQ_BACKOFF_MIN to KQ_BACKOFF_MAX and its second half is random.
 * Without the random half all shards of a fleet would call a recovering store at the
 * same time and overload it again. */

#include "base/rand.h"
#include "base/time.h"

#define KQ_BACKOFF_MIN (20 * KQ_MS)
#define KQ_BACKOFF_MAX (2 * KQ_SEC)

/* *wait: the previous delay, 0 after a success; set to the new delay before the random
 * part is applied. Returns the time of the next call. */
KqTime kq_backoff_next (KqTime *wait, KqRand *rand, KqTime now);

#endif
