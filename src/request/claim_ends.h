#ifndef KQ_REQUEST_CLAIM_ENDS_H
#define KQ_REQUEST_CLAIM_ENDS_H

/* claim_ends: recent ends of claimed requests, which their entry node may have to resend.
 *
 * An entry node reports the end of a claimed request (its answer, "not run" or "unknown")
 * to the claim's owner in one message, which isn't acknowledged. If the owner dies before
 * the end is committed, its successor finds the claim open, waits a grace time for the
 * entry node's report, and then tells repeats "outcome unknown" although there was an
 * answer. So the entry node keeps recent ends, and resends them while shards may be
 * changing owners. An owner ignores an end that it already has. */

#include "wire/msg.h"

typedef struct KqClaimEnds KqClaimEnds;

KqClaimEnds *kq_claim_ends_new (void);
void kq_claim_ends_free (KqClaimEnds *e);
/* Keeps a copy of a CLAIM_DONE message. */
void kq_claim_ends_add (KqClaimEnds *e, const KqMsg *done, KqTime now);
/* Starts to resend the ends, because a node was lost and others will take over its
 * shards. */
void kq_claim_ends_node_lost (KqClaimEnds *e, KqTime now);
/* Drops old ends; calls `send` for each end that is to be resent now. */
void kq_claim_ends_tick (KqClaimEnds *e, KqTime now,
                         void (*send) (void *arg, const KqMsg *done), void *arg);
size_t kq_claim_ends_count (const KqClaimEnds *e);

#endif
