#include "port/outbox.h"

#include <stdlib.h>
#include <string.h>

void
kq_outbox_init (KqOutbox *o)
{
  *o = (KqOutbox){ 0 };
}

void
kq_out_clear (KqOut *item)
{
  switch (item->kind)
    {
    case KQ_OUT_STORE:
      free ((char *)item->u.store.key.ptr);
      free ((char *)item->u.store.value.ptr);
      break;
    case KQ_OUT_SEND:
      kq_msg_free (item->u.send.msg);
      break;
    case KQ_OUT_WORKER:
      free (item->u.worker.acks);
      break;
    }
  *item = (KqOut){ 0 };
}

void
kq_outbox_free (KqOutbox *o)
{
  KqOut item;
  while (kq_outbox_take (o, &item))
    kq_out_clear (&item);
  free (o->items);
  *o = (KqOutbox){ 0 };
}

bool
kq_outbox_empty (const KqOutbox *o)
{
  return o->first == o->end;
}

void
kq_outbox_move (KqOutbox *o, KqOut *item)
{
  if (o->end == o->capacity)
    {
      o->capacity = o->capacity > 0 ? o->capacity * 2 : 16;
      o->items = kq_realloc (o->items, o->capacity * sizeof *o->items);
    }
  o->items[o->end++] = *item;
  *item = (KqOut){ 0 };
}

bool
kq_outbox_take (KqOutbox *o, KqOut *item)
{
  if (o->first == o->end)
    return false;
  *item = o->items[o->first++];
  if (o->first == o->end)
    o->first = o->end = 0;
  return true;
}

void
kq_outbox_store (KqOutbox *o, const KqStoreOp *op)
{
  KqOut item = { .kind = KQ_OUT_STORE, .u.store = *op };
  item.u.store.key = kq_str_own (op->key);
  item.u.store.value = kq_str_own (op->value);
  kq_outbox_move (o, &item);
}

void
kq_outbox_send (KqOutbox *o, KqNodeId to, const KqMsg *msg)
{
  KqOut item = { .kind = KQ_OUT_SEND };
  item.u.send.to = to;
  item.u.send.msg = kq_msg_copy (msg);
  kq_outbox_move (o, &item);
}

void
kq_outbox_worker (KqOutbox *o, const KqWorkerCall *call)
{
  KqOut item = { .kind = KQ_OUT_WORKER, .u.worker = *call };
  size_t size = call->n_acks * sizeof *call->acks;
  item.u.worker.acks = NULL;
  if (size > 0)
    {
      item.u.worker.acks = kq_alloc (size);
      memcpy (item.u.worker.acks, call->acks, size);
    }
  kq_outbox_move (o, &item);
}
