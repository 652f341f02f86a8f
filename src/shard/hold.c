#include "shard/hold.h"

#include <stdlib.h>
#include <string.h>

void
kq_hold_init (KqHold *h)
{
  *h = (KqHold){ 0 };
}

void
kq_hold_free (KqHold *h)
{
  for (size_t i = h->first; i < h->len; i++)
    kq_out_clear (&h->items[i].item);
  free (h->items);
  *h = (KqHold){ 0 };
}

/* Makes room for one more item, first by reusing the space of released items. Under
 * steady load the queue is never empty, so without the reuse the array would grow for as
 * long as the process runs. */
static void
make_room (KqHold *h)
{
  if (h->len < h->capacity)
    return;
  if (h->first > h->capacity / 2)
    {
      memmove (h->items, h->items + h->first, (h->len - h->first) * sizeof *h->items);
      h->len -= h->first;
      h->first = 0;
      return;
    }
  h->capacity = h->capacity > 0 ? h->capacity * 2 : 16;
  h->items = kq_realloc (h->items, h->capacity * sizeof *h->items);
}

void
kq_hold_add (KqHold *h, KqSeq after, KqOutbox *from)
{
  KqOut item;
  while (kq_outbox_take (from, &item))
    {
      make_room (h);
      h->items[h->len++] = (KqHeldItem){ after, item };
    }
}

void
kq_hold_release (KqHold *h, KqSeq committed, KqOutbox *out)
{
  while (h->first < h->len && h->items[h->first].after <= committed)
    kq_outbox_move (out, &h->items[h->first++].item);
  if (h->first == h->len)
    h->first = h->len = 0;
}
