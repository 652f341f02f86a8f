#ifndef KQ_FLEET_ACCEPTS_H
#define KQ_FLEET_ACCEPTS_H

/* accepts: the leader writes jobs to the store for nodes that cannot reach it.
 *
 * The store may refuse a third of the nodes for seconds and serve the rest. Clients keep
 * their connections, so if the leader didn't write for them, every job sent to those
 * nodes would be refused.
 *
 * The leader makes one write per job and replies with its result. A write without an
 * answer is read back; if the job isn't found, the write may still be carried out. Then
 * no jobs are written for a while: the store may be about to become unreachable for the
 * leader as well. */

#include "fleet/link.h"
#include "port/kv.h"

typedef struct KqAccepts KqAccepts;

/* The value of the answer to KQ_ASK_ACCEPT; any other value: no write was tried. */
typedef enum
{
  KQ_ACCEPT_DONE,    /* the job is in the store */
  KQ_ACCEPT_REFUSED, /* the job hasn't been written, and won't be by this call */
  KQ_ACCEPT_UNKNOWN  /* no answer and not found: it may or may not be carried out */
} KqAcceptResult;

typedef struct
{
  void *arg;
  /* The job has been written for the first time, at that revision. */
  void (*accepted) (void *arg, KqStr stored, uint64_t revision, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  KqClientLimits *limits; /* of what requests hold that are being handled; NULL: none */
} KqAcceptsOwner;

KqAccepts *kq_accepts_new (KqKv *kv, const KqAcceptsOwner *owner);
/* To be called before kv is freed; the results of outstanding writes are ignored. */
void kq_accepts_free (KqAccepts *a);
/* Writes a job in its stored form, unless it cannot be decoded, too many or too large
 * writes are outstanding or a write got no answer a moment ago. The peer gets the result
 * as the KQ_AGENT_ITEM_ANSWER to `call`. */
void kq_accepts_write (KqAccepts *a, KqPeer *p, uint64_t call, KqStr stored, KqTime now);
/* Records that the peer has disconnected: it gets no more answers. */
void kq_accepts_peer_left (KqAccepts *a, const KqPeer *p);

#endif
