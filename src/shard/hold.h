#ifndef KQ_SHARD_HOLD_H
#define KQ_SHARD_HOLD_H

/* hold: outgoing items that wait until a journal record is in the store.
 *
 * Without it an acknowledgement or a start command could leave before the record that
 * proves it: the process dies, the successor has never heard of the start, and the task
 * runs twice. Items leave in order, each once its record is committed. */

#include "port/outbox.h"
#include "shard/journal.h"

typedef struct
{
  KqSeq after;
  KqOut item;
} KqHeld;

typedef struct
{
  KqHeld *items;
  size_t first;
  size_t len;
  size_t capacity;
} KqHold;

void kq_hold_init (KqHold *h);
void kq_hold_free (KqHold *h); /* drops what is held */
/* Moves all items of `from` behind the record `after`; 0: they need no record, but
 * still don't overtake what was held before them. */
void kq_hold_add (KqHold *h, KqSeq after, KqOutbox *from);
/* Moves every item whose record is committed to `out`. */
void kq_hold_release (KqHold *h, KqSeq committed, KqOutbox *out);

#endif
