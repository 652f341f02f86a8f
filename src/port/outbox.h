#ifndef KQ_PORT_OUTBOX_H
#define KQ_PORT_OUTBOX_H

/* outbox: a queue of the calls and messages that a decision module wants sent.
 *
 * Decision modules do no input or output: they append store calls, messages to nodes
 * (also to their own node) and worker calls here. The driver (the daemon's tasks, or a
 * test with fakes) carries out the items in order and passes the replies to the module's
 * functions. */

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

/* A queue in one array: the items from index `first` up to, but not including, `end`. */
typedef struct
{
  KqOut *items;
  size_t first;
  size_t end;
  size_t capacity;
} KqOutbox;

void kq_outbox_init (KqOutbox *o);
void kq_outbox_free (KqOutbox *o);
/* Whether the outbox has no items. */
bool kq_outbox_empty (const KqOutbox *o);
/* Append a copy of a store call, a message to a node, or a worker call. */
void kq_outbox_store (KqOutbox *o, const KqStoreOp *op);
void kq_outbox_send (KqOutbox *o, KqNodeId to, const KqMsg *msg);
void kq_outbox_worker (KqOutbox *o, const KqWorkerCall *call);
/* Appends the item itself, with what it owns, and leaves *item empty. */
void kq_outbox_move (KqOutbox *o, KqOut *item);
/* Removes the oldest item and stores it in *item; false when there is none. The caller
 * frees what the item owns by kq_out_clear or passes the item on. */
bool kq_outbox_take (KqOutbox *o, KqOut *item);
/* Frees what the item owns. */
void kq_out_clear (KqOut *item);

#endif
