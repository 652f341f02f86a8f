#ifndef KQ_PORT_OUTBOX_H
#define KQ_PORT_OUTBOX_H

/* outbox: what a decision module wants done, in order.
 *
 * Decision modules have no socket: they append store calls, messages to nodes (also to
 * their own node) and worker calls here, and the driver (the daemon's tasks, or a test
 * with fakes) carries them out and brings the replies back as arguments. */

#include "port/store.h"
#include "port/worker.h"
#include "wire/msg.h"

typedef enum
{
  KQ_OUT_STORE,
  KQ_OUT_SEND,
  KQ_OUT_WORKER
} KqOutKind;

typedef struct
{
  KqOutKind kind;
  union
  {
    KqStoreOp store; /* key and value owned by the item */
    struct
    {
      KqNodeId to;
      KqMsg *msg; /* owned by the item */
    } send;
    KqWorkerCall worker; /* acks owned by the item */
  } u;
} KqOut;

/* A queue in one array: items stand from `first` to `len`. */
typedef struct
{
  KqOut *items;
  size_t first;
  size_t len;
  size_t capacity;
} KqOutbox;

void kq_outbox_init (KqOutbox *o);
void kq_outbox_free (KqOutbox *o);
bool kq_outbox_empty (const KqOutbox *o);
void kq_outbox_store (KqOutbox *o, const KqStoreOp *op);          /* copies */
void kq_outbox_send (KqOutbox *o, KqNodeId to, const KqMsg *msg); /* copies */
void kq_outbox_worker (KqOutbox *o, const KqWorkerCall *call);    /* copies */
void kq_outbox_move (KqOutbox *o, KqOut *item); /* takes over what the item owns */
/* Takes the oldest item; false when there is none. The taker calls kq_out_clear. */
bool kq_outbox_take (KqOutbox *o, KqOut *item);
void kq_out_clear (KqOut *item);

#endif
