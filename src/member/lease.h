#ifndef KQ_MEMBER_LEASE_H
#define KQ_MEMBER_LEASE_H

/* lease: this node's key node/<name> in the store and the lease under which it is
 * written.
 *
 * It has the store grant the lease, writes the key, then renews the lease every third of
 * its duration. After a missing answer the write is repeated; a CONFLICT with our own
 * value means that the earlier write succeeded. Used inside src/member only. */

#include "base/rand.h"
#include "port/outbox.h"

typedef enum
{
  KQ_NODE_LEASE_NONE,     /* no lease */
  KQ_NODE_LEASE_GRANTED,  /* the lease is granted, the key isn't written yet */
  KQ_NODE_LEASE_HELD,     /* the key is written under the lease */
  KQ_NODE_LEASE_REPLACED, /* another process of our name wrote the key; final */
  KQ_NODE_LEASE_REVOKED   /* revoked by us; final */
} KqNodeLeaseState;

typedef struct
{
  KqTime lease_time; /* duration of the lease */
  KqBuf key;         /* node/<name> */
  KqBuf value;       /* value of the key */
  KqNodeLeaseState state;
  uint64_t id;            /* of the lease in the store; 0: none */
  KqTime valid_until;     /* expiry, counted from when the grant or renewal was sent */
  uint64_t expect;        /* revision of the key that our put replaces */
  uint64_t put_revision;  /* revision of the key after our put */
  KqTime next_call_at;    /* time of the next call */
  KqTime call_timeout_at; /* end of the wait for the call in flight; 0: none */
  uint64_t call_token;    /* token of the call in flight */
  int failures;           /* consecutive failed calls */
  KqRand *rand;
} KqNodeLease;

/* name: of this node; value: that of its key; lease: duration, at least 1 s. Both strings
 * are copied. */
void kq_node_lease_init (KqNodeLease *l, KqStr name, KqStr value, KqTime lease,
                         KqRand *rand);
void kq_node_lease_clear (KqNodeLease *l);
/* Sends the next call when it is due. `token`: the last token used, shared by all store
 * calls of the member module. */
void kq_node_lease_tick (KqNodeLease *l, uint64_t *token, KqTime now, KqOutbox *out);
/* Handles a reply; false when it doesn't belong to the call in flight. */
bool kq_node_lease_reply (KqNodeLease *l, const KqStoreReply *r, KqTime now);
/* Whether the key is written and its lease is certainly live at `now`. */
bool kq_node_lease_live (const KqNodeLease *l, KqTime now);
/* Checks whether another process has replaced our key. `revision`: that of our key in the
 * store's list if the value is another process's, otherwise 0. If the revision is newer
 * than our own put, a process was started later under our name: that process keeps the
 * name, and this one never holds a lease again. If the revision is older, the list was
 * read before our put, and the value is the one that we have replaced. */
void kq_node_lease_check_replaced (KqNodeLease *l, uint64_t revision);
/* Revokes the lease, which deletes the key. */
void kq_node_lease_revoke (KqNodeLease *l, uint64_t *token, KqOutbox *out);

#endif
