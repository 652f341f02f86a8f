#include "request/heap.h"

#include "base/str.h"

#include <assert.h>
#include <stdlib.h>

static bool
before (const KqHeapNode *a, const KqHeapNode *b)
{
  return a->key != b->key ? a->key < b->key : a->order < b->order;
}

static void
put (KqHeap *h, size_t place, KqHeapNode *node)
{
  h->nodes[place] = node;
  node->index = place;
}

static void
sift_up (KqHeap *h, KqHeapNode *node)
{
  size_t place = node->index;
  while (place > 1 && before (node, h->nodes[place / 2]))
    {
      put (h, place, h->nodes[place / 2]);
      place /= 2;
    }
  put (h, place, node);
}

static void
sift_down (KqHeap *h, KqHeapNode *node)
{
  size_t place = node->index;
  while (place * 2 <= h->n)
    {
      size_t child = place * 2;
      if (child < h->n && before (h->nodes[child + 1], h->nodes[child]))
        child++;
      if (!before (h->nodes[child], node))
        break;
      put (h, place, h->nodes[child]);
      place = child;
    }
  put (h, place, node);
}

void
kq_heap_free (KqHeap *h)
{
  free (h->nodes);
  *h = (KqHeap){ 0 };
}

void
kq_heap_add (KqHeap *h, KqHeapNode *node, int64_t key, uint64_t order, void *container)
{
  if (h->n + 1 >= h->capacity)
    {
      h->capacity = h->capacity > 0 ? h->capacity * 2 : 16;
      h->nodes = kq_realloc (h->nodes, h->capacity * sizeof (KqHeapNode *));
    }
  *node = (KqHeapNode){ key, order, ++h->n, container };
  sift_up (h, node);
}

void
kq_heap_remove (KqHeap *h, KqHeapNode *node)
{
  KqHeapNode *last = h->nodes[h->n];
  assert (node->index > 0 && h->nodes[node->index] == node);
  h->n--;
  if (last != node)
    {
      put (h, node->index, last);
      sift_up (h, last);
      sift_down (h, last);
    }
  node->index = 0;
}

void
kq_heap_set_key (KqHeap *h, KqHeapNode *node, int64_t key)
{
  assert (node->index > 0 && h->nodes[node->index] == node);
  node->key = key;
  sift_up (h, node);
  sift_down (h, node);
}

KqHeapNode *
kq_heap_top (const KqHeap *h)
{
  return h->n > 0 ? h->nodes[1] : NULL;
}
