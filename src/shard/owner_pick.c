#include "shard/owner_state.h"

#include <math.h>

/* The wanted owner is chosen by weighted rendezvous hashing. The hash of node and shard
 * gives a uniform number between 0 and 1; the node with the lowest -ln (number) / weight
 * is the wanted owner. When a node goes, only its shards move, and they spread over all
 * others.
 *
 * A node's weight is 1 / sqrt (number of nodes in its depot), a compromise for depots of
 * different size. Take a depot of four nodes and one of a single node. With equal weights
 * the larger depot would hold four fifths of the shards, and its loss would stop nearly
 * all shards. With equal shares per depot the single node would carry four times the load
 * of each other node. With the square root the larger depot holds two thirds, and the
 * single node carries twice the load. The size counts all known nodes of the depot, also
 * those that are gone, so that a node's failure doesn't change the weights. */

static double
weight (const KqMember *m, const KqNode *node)
{
  int n = 0;
  for (size_t i = 0; i < kq_member_count (m); i++)
    {
      const KqNode *other = kq_member_at (m, i);
      if (kq_name_eq (&other->info.depot, &node->info.depot)
          && kq_name_eq (&other->info.region, &node->info.region))
        n++;
    }
  return 1.0 / sqrt (n);
}

static double
uniform_hash (KqNodeId node, uint32_t shard)
{
  uint64_t h = kq_hash2 (node, shard);
  return ((double)(h >> 11) + 0.5) / (double)(1ULL << 53);
}

static bool
eligible (const KqOwner *o, const KqNode *node)
{
  bool self = node->info.id == o->self.id;
  bool drains = self ? o->draining : node->draining;
  return kq_name_eq (&node->info.region, &o->self.region) && node->state != KQ_NODE_GONE
         && node->in_store && !drains;
}

bool
kq_owner_pick_all (KqOwner *o, const KqMember *m)
{
  bool changed = false;
  struct
  {
    KqNodeId id;
    double weight;
  } nodes[KQ_NODES_MAX];
  size_t n = 0;
  for (size_t k = 0; k < kq_member_count (m) && n < KQ_NODES_MAX; k++)
    {
      const KqNode *node = kq_member_at (m, k);
      if (!eligible (o, node))
        continue;
      nodes[n].id = node->info.id;
      nodes[n++].weight = weight (m, node);
    }
  for (uint32_t i = 0; i < o->n; i++)
    {
      double best = INFINITY;
      KqNodeId before = o->entries[i].wanted;
      o->entries[i].wanted = 0;
      for (size_t k = 0; k < n; k++)
        {
          double score
              = -log (uniform_hash (nodes[k].id, o->first + i)) / nodes[k].weight;
          if (score >= best)
            continue;
          best = score;
          o->entries[i].wanted = nodes[k].id;
        }
      changed |= o->entries[i].wanted != before;
    }
  return changed;
}
