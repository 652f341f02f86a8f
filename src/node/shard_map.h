#ifndef KQ_NODE_SHARD_MAP_H
#define KQ_NODE_SHARD_MAP_H

/* shard_map: the mapping of hosts, and of jobs with an idempotency key, to shards.
 *
 * Hosts map by rack, so that all hosts of a shard are in one depot if the region has at
 * least as many shards as depots. Every node computes the same mapping from its
 * settings. */

#include "port/hosts.h"
#include "settings/settings.h"
#include "wire/msg.h"

/* The shard of a job with an idempotency key; the same on every node of every region. */
uint32_t kq_shard_of_key (const KqSettings *s, KqStr team, KqStr key);
/* Copies the hosts of one shard from the lists into *out, which the caller frees. */
void kq_shard_copy_hosts (const KqSettings *s, const KqHostList *lists, int n_lists,
                          uint32_t shard, KqHostList *out);

#endif
