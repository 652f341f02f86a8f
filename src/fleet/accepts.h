#ifndef KQ_FLEET_ACCEPTS_H
#define KQ_FLEET_ACCEPTS_H

/* accepts: jobs that the leader writes to the store for nodes that don't reach it.
 *
 * Load pattern: the store turns a third of the nodes away for seconds and serves the
 * rest. Client accounts' connections stay with their nodes, so all jobs that come there
 * would be refused meanwhile.
 *
 * The leader's word to the node is how its one write ended; a job whose write has no
 * answer may have been accepted. After such a write nothing is written for a while: the
 * store may be going away for the leader as well. */

#include "fleet/link.h"
#include "port/kv.h"

typedef struct KqAccepts KqAccepts;

/* The value of the answer to KQ_ASK_ACCEPT; any other: it wasn't tried. */
typedef enum
{
  KQ_ACCEPT_DONE,    /* the job is in the store */
  KQ_ACCEPT_REFUSED, /* it isn't, and won't be by this call */
  KQ_ACCEPT_UNKNOWN
} KqAcceptResult;

typedef struct
{
  void *arg;
  /* The job was written at that revision. */
  void (*accepted) (void *arg, KqStr stored, uint64_t revision, KqTime now);
  /* The store has answered. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqAcceptsOwner;

KqAccepts *kq_accepts_new (KqKv *kv, const KqAcceptsOwner *owner);
/* Before the store's client; calls that are out are forgotten. */
void kq_accepts_free (KqAccepts *a);
/* stored: the job as the store holds it. The peer gets its answer when it is written. */
void kq_accepts_take (KqAccepts *a, KqPeer *p, uint64_t call, KqStr stored, KqTime now);
/* The peer is gone. */
void kq_accepts_left (KqAccepts *a, const KqPeer *p);

#endif
