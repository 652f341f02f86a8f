#ifndef KQ_REQUEST_MAP_H
#define KQ_REQUEST_MAP_H

/* map: an intrusive hash table; the nodes are members of the caller's structs.
 *
 * The map compares hashes only. Several nodes may have the same hash: the caller iterates
 * over them and compares the full keys. Adding, finding and removing take O(1); the table
 * doubles when it is full. There is no allocation per node. */

#include <stddef.h>
#include <stdint.h>

typedef struct KqMapNode
{
  struct KqMapNode *next;
  uint64_t hash;
  void *container; /* the struct that contains the node */
} KqMapNode;

typedef struct
{
  KqMapNode **buckets;
  size_t n_buckets; /* a power of two; 0: nothing allocated yet */
  size_t n;
  size_t first; /* buckets below this are empty, so that removing all nodes is O(n) */
} KqMap;

/* Frees the table; nodes still in it are not freed. */
void kq_map_free (KqMap *m);
void kq_map_add (KqMap *m, KqMapNode *node, uint64_t hash, void *container);
void kq_map_remove (KqMap *m, KqMapNode *node);
/* kq_map_find returns the first node with the hash, kq_map_next the next node with the
 * same hash as `node`; NULL: none. */
KqMapNode *kq_map_find (const KqMap *m, uint64_t hash);
KqMapNode *kq_map_next (const KqMapNode *node);
/* Any node, for removing them all; NULL: the map is empty. */
KqMapNode *kq_map_any (KqMap *m);

#endif
