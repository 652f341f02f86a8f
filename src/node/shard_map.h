#ifndef KQ_NODE_SHARD_MAP_H
#define KQ_NODE_SHARD_MAP_H

/* shard_map: which shard of its region a worker belongs to, and which shard a keyed job.
 *
 * Workers map by rack, so that a shard lies in one depot where the region has at least
 * as many shards as depots. Every node computes the same from its settings. */

#include "port/hosts.h"
#include "settings/settings.h"
#include "wire/msg.h"

/* Shard of a job with an idempotency key: the same from every node of every region. */
uint32_t kq_shard_of_key (const KqSettings *s, KqStr team, KqStr key);
/* Copies the hosts of one shard out of the lists of all depots. */
void kq_shard_copy_hosts (const KqSettings *s, const KqHostList *lists, int n_lists,
                          uint32_t shard, KqHostList *out);

#endif
