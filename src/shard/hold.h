#ifndef KQ_SHARD_HOLD_H
#define KQ_SHARD_HOLD_H

/* hold: a queue of outgoing items that are held back until a journal record is committed.
 *
 * Without it an acknowledgement or a start command could be sent before the record of it
 * is in the store. If the process then died, its successor wouldn't know of the start and
 * the task would run twice. Items leave in order, each after its record is committed. */

#include "port/outbox.h"
#include "shard/journal.h"

typedef struct
{
  KqSeq after; /* released once this record is committed */
  KqOut item;
} KqHeldItem;

typedef struct
{
  KqHeldItem *items;
  size_t first; /* items `first` to `len` - 1 are held */
  size_t len;
  size_t capacity;
} KqHold;

void kq_hold_init (KqHold *h);
void kq_hold_free (KqHold *h); /* discards the items still held */
/* Takes all items of `from` and holds them until the record `after` is committed. If
 * `after` is 0, the items depend on no record, but still leave after the items that are
 * already held. */
void kq_hold_add (KqHold *h, KqSeq after, KqOutbox *from);
/* Moves to `out` the items at the front whose records are committed. */
void kq_hold_release (KqHold *h, KqSeq committed, KqOutbox *out);

#endif
