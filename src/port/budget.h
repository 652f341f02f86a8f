#ifndef KQ_PORT_BUDGET_H
#define KQ_PORT_BUDGET_H

/* budget: a node's share of the store's call rate, as a token bucket with a reserve.
 *
 * Load pattern: hundreds of commits a second wanted by a node while the store, shared by
 * all nodes, takes several hundred writes and two thousand reads a second in total.
 * Without it: one busy node uses up the whole store, the lease renewals of all nodes are
 * refused by the store or come late, and owners step down although nothing failed.
 * Grounds: a bucket of one second's calls lets a burst (a takeover's reads) through at
 * once and keeps the mean; normal calls may not take the last `reserve` tokens, so an
 * urgent or lease call finds one at once unless such calls alone pass the rate. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  int64_t per_second; /* calls */
  int64_t burst;      /* tokens the bucket holds, in calls */
  int64_t reserve;    /* of these, kept for urgent calls; below burst */
  int64_t level;      /* in millionths of a call */
  KqTime filled_at;
} KqBudget;

/* The bucket starts full. per_second and burst at least 1, 0 <= reserve < burst. */
void kq_budget_init (KqBudget *b, int64_t per_second, int64_t burst, int64_t reserve,
                     KqTime now);
/* Takes one call's token when there is one for the class. */
bool kq_budget_take (KqBudget *b, bool urgent, KqTime now);
/* When a token for the class will be there; `now` when there is one already. */
KqTime kq_budget_next (const KqBudget *b, bool urgent, KqTime now);
/* Whole calls that could be made now. */
int64_t kq_budget_left (const KqBudget *b, bool urgent, KqTime now);

#endif
