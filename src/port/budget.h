#ifndef KQ_PORT_BUDGET_H
#define KQ_PORT_BUDGET_H

/* budget: limits a node to its share of the store's call rate, by a token bucket with a
 * reserve.
 *
 * The store is shared by all nodes and takes several hundred writes and two thousand
 * reads a second in total; one node may want hundreds of commits a second. Without a
 * limit, one busy node overloads the store, lease renewals of all nodes are refused or
 * late, and owners step down although nothing has failed.
 *
 * With a bucket that holds one second's calls, the limit admits a burst (the reads of a
 * takeover) at once and bounds the mean rate. Normal calls can't take the last `reserve`
 * tokens, so urgent and lease calls find a token at once unless such calls alone exceed
 * the rate. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  int64_t per_second; /* calls per second at which the bucket is refilled */
  int64_t burst;      /* size of the bucket, in calls */
  int64_t reserve;    /* part of burst that only urgent calls may use; below burst */
  int64_t level;      /* tokens in the bucket, in millionths of a call */
  KqTime filled_at;   /* time at which `level` was computed */
} KqBudget;

/* The bucket starts full. Needs per_second >= 1, burst >= 1, 0 <= reserve < burst. */
void kq_budget_init (KqBudget *b, int64_t per_second, int64_t burst, int64_t reserve,
                     KqTime now);
/* Takes the token of one call; false when none is available to this kind of call. */
bool kq_budget_take (KqBudget *b, bool urgent, KqTime now);
/* The time at which a token will be available to this kind of call; `now` if one is
 * available already. */
KqTime kq_budget_next_time (const KqBudget *b, bool urgent, KqTime now);
/* Number of calls of this kind that could be made now. */
int64_t kq_budget_available (const KqBudget *b, bool urgent, KqTime now);

#endif
