#ifndef KQ_REQUEST_HEAP_H
#define KQ_REQUEST_HEAP_H

/* heap: an intrusive binary min-heap; the nodes are members of the caller's structs.
 *
 * Nodes with equal keys are ordered by `order`. Each node stores its index, so that any
 * node can be removed in O(log n). */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  int64_t key;
  uint64_t order;
  size_t index;    /* index in the heap's array; 1: the top, 0: in no heap */
  void *container; /* the struct that contains the node */
} KqHeapNode;

typedef struct
{
  KqHeapNode **nodes; /* nodes[0] is unused */
  size_t n;
  size_t capacity;
} KqHeap;

/* Frees the array; nodes still in the heap are not freed. */
void kq_heap_free (KqHeap *h);
void kq_heap_add (KqHeap *h, KqHeapNode *node, int64_t key, uint64_t order,
                  void *container);
void kq_heap_remove (KqHeap *h, KqHeapNode *node);
/* Changes the key of a node, which must be in the heap. */
void kq_heap_set_key (KqHeap *h, KqHeapNode *node, int64_t key);
KqHeapNode *kq_heap_top (const KqHeap *h); /* NULL: empty */

#endif
