#ifndef KQ_REQUEST_CLAIM_SET_H
#define KQ_REQUEST_CLAIM_SET_H

/* claim_set: the claims of one shard in memory, indexed by key, flight, number and
 * expiry, with the repeats (later requests with the same key) that wait for them and the
 * memory they use. claims.c decides when the state of a claim changes. */

#include "request/claim_records.h"
#include "request/heap.h"
#include "request/map.h"

typedef enum
{
  KQ_CLAIM_STATE_OPEN,
  KQ_CLAIM_STATE_ANSWERED,
  KQ_CLAIM_STATE_UNKNOWN
} KqClaimState;

typedef struct KqClaim KqClaim;

/* A repeat that waits for the end of the claim. */
typedef struct KqClaimWaiter
{
  KqHeapNode by_timeout;
  struct KqClaimWaiter *next;
  KqClaim *claim;
  KqFlightId flight;
} KqClaimWaiter;

struct KqClaim
{
  KqMapNode by_key;
  KqMapNode by_flight;
  KqMapNode by_number;
  KqHeapNode by_expiry; /* when it becomes unknown (open) or is removed (ended) */
  KqClaim *prev;        /* in order of numbers */
  KqClaim *next;
  uint64_t number;
  KqFlightId flight; /* the one to which the claim was granted */
  KqName service;
  KqName caller;
  KqStr key; /* owned */
  uint64_t request_hash;
  KqTime ttl;
  KqClaimState state;
  KqSeq seq;    /* record of the state; to be committed before a reply tells the state */
  KqBuf answer; /* the body of the ANSWERED record; empty: not stored */
  KqClaimWaiter *waiters;
  size_t n_waiters;
};

typedef struct
{
  KqMap by_key;
  KqMap by_flight;
  KqMap by_number;
  KqHeap by_expiry;
  KqHeap waiters_by_timeout; /* of all claims */
  uint64_t next_order;       /* for the heaps */
  KqClaim *first;
  KqClaim *last;
  uint64_t last_number;
  size_t bytes;        /* of all claims with keys and stored answers */
  size_t answer_bytes; /* of the stored answers */
} KqClaimSet;

void kq_claim_set_free (KqClaimSet *c);
KqClaim *kq_claim_set_find (const KqClaimSet *c, KqStr service, KqStr caller, KqStr key);
KqClaim *kq_claim_set_find_flight (const KqClaimSet *c, KqFlightId f);
KqClaim *kq_claim_set_find_number (const KqClaimSet *c, uint64_t number);
/* Adds an open claim that expires after its ttl. Its number must be the largest. */
KqClaim *kq_claim_set_add (KqClaimSet *c, const KqClaimFields *f, KqTime now);
/* Removes and frees a claim, which must not have waiters. */
void kq_claim_set_remove (KqClaimSet *c, KqClaim *claim);
/* Sets when the claim expires. */
void kq_claim_set_expire_at (KqClaimSet *c, KqClaim *claim, KqTime at);
/* Sets the end of an open claim, or corrects an unknown one; it expires after ttl. */
void kq_claim_set_end (KqClaimSet *c, KqClaim *claim, KqClaimState state, KqTime ttl,
                       KqTime now);
/* Stores a copy of the body of the ANSWERED record. */
void kq_claim_set_store_answer (KqClaimSet *c, KqClaim *claim, KqStr record);
/* Removes a waiter, which the caller must free; NULL: there is none. */
KqClaimWaiter *kq_claim_set_take_waiter (KqClaimSet *c, KqClaim *claim);

#endif
