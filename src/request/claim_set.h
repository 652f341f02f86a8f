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
  KqHeapNode by_expiry; /* when an open claim becomes unknown, an ended one is removed */
  KqClaim *prev;        /* the list is in order of claim numbers */
  KqClaim *next;
  uint64_t number;
  KqFlightId flight; /* the flight to which the claim was granted */
  KqName service;
  KqName caller;
  KqStr key; /* owned */
  uint64_t request_hash;
  KqTime ttl; /* how long it is kept after it was opened, and again after its end */
  KqClaimState state;
  KqSeq seq;    /* record of the state; must be committed before a reply is sent */
  KqBuf answer; /* the body of the ANSWERED record; empty: the answer isn't stored */
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
  uint64_t next_order;       /* of the next heap node; breaks ties */
  KqClaim *first;
  KqClaim *last;
  uint64_t last_number;
  size_t bytes;        /* used by all claims, with their keys and stored answers */
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
/* Sets the final state of an open claim, or corrects that of an unknown one. The claim
 * then expires after ttl. */
void kq_claim_set_end (KqClaimSet *c, KqClaim *claim, KqClaimState state, KqTime ttl,
                       KqTime now);
/* Stores a copy of the body of the ANSWERED record. */
void kq_claim_set_store_answer (KqClaimSet *c, KqClaim *claim, KqStr record);
/* Removes one waiter of the claim and returns it, for the caller to free; NULL: the claim
 * has none. */
KqClaimWaiter *kq_claim_set_take_waiter (KqClaimSet *c, KqClaim *claim);

#endif
