#ifndef KQ_MEMBER_LEASE_H
#define KQ_MEMBER_LEASE_H

/* lease: this node's one key node/<name> in the store, under one lease.
 *
 * grant -> put -> renew every third of the lease. A lost answer is never taken for a
 * failure: the put is sent again and a CONFLICT with our own value is success. Used
 * inside this slice only. */

#include "base/rand.h"
#include "port/outbox.h"

typedef enum
{
  KQ_LEASE_NONE,     /* nothing granted */
  KQ_LEASE_GRANTED,  /* the key isn't written yet */
  KQ_LEASE_HELD,     /* the key is written under the lease */
  KQ_LEASE_REPLACED, /* another process of our name wrote the key: for good */
  KQ_LEASE_LEFT      /* given back: for good */
} KqLeaseState;

typedef struct
{
  KqTime lease;
  KqBuf key;
  KqBuf value;
  KqLeaseState state;
  uint64_t id;
  KqTime until;    /* counted from before the grant or renewal was sent */
  uint64_t expect; /* of the key, for the put */
  uint64_t put_at; /* revision of our put */
  KqTime next;     /* of the next call */
  KqTime give_up;  /* of the call in flight; 0: none */
  uint64_t call;   /* its token */
  int failures;    /* in a row */
  KqRand *rand;
} KqNodeLease;

void kq_node_lease_init (KqNodeLease *l, KqStr name, KqStr value, KqTime lease,
                         KqRand *rand);
void kq_node_lease_clear (KqNodeLease *l);
/* `token` numbers the calls of the whole slice. */
void kq_node_lease_tick (KqNodeLease *l, uint64_t *token, KqTime now, KqOutbox *out);
/* False when the reply isn't of the call in flight. */
bool kq_node_lease_reply (KqNodeLease *l, const KqStoreReply *r, KqTime now);
bool kq_node_lease_live (const KqNodeLease *l, KqTime now);
/* The store's list shows our key with another process's value, written at `revision` (0:
 * it doesn't). Newer than our own put it's a process started later under our name: it
 * keeps the name, and we hold nothing from now on. Older it is what we replaced, in a
 * list that our put overtook. */
void kq_node_lease_replaced (KqNodeLease *l, uint64_t revision);
void kq_node_lease_leave (KqNodeLease *l, uint64_t *token, KqOutbox *out);

#endif
