#ifndef KQ_NODE_CORE_STATE_H
#define KQ_NODE_CORE_STATE_H

/* core_state: what the files of the core share. */

#include "base/rand.h"
#include "node/core.h"

typedef struct NoticeItem
{
  struct NoticeItem *next;
  KqNotice notice;
} NoticeItem;

/* What the other tasks were last told of a node. */
typedef struct
{
  KqNodeId id;
  KqNodeState state;
  bool draining;
  uint64_t incarnation;
} ToldNode;

struct KqCore
{
  KqCoreConfig config;
  KqRand rand;
  KqMember *member;
  KqOwner *owner;
  KqTableDist *dist;
  uint32_t first;
  uint32_t n_shards;
  KqShardHost **hosts;
  bool
      *hosts_told; /* per shard: its hosts have been in a notice since it became active */
  KqTime *gone_at; /* per shard: when the others are told that it is gone; 0: not due */
  KqServiceDigest *services;
  size_t n_services;
  /* The platform's host lists, one a depot; the last ones stay while the store is away.
   */
  KqHostList lists[KQ_DEPOTS_MAX];
  bool list_came[KQ_DEPOTS_MAX];
  bool lists_known; /* every depot's list has come once */
  KqTime hosts_at[KQ_DEPOTS_MAX];
  bool hosts_asked[KQ_DEPOTS_MAX];
  bool draining;
  bool given_up_told;
  KqTime digest_at;
  uint64_t member_version;
  ToldNode told[KQ_NODES_MAX];
  size_t n_told;
  NoticeItem *first_notice;
  NoticeItem *last_notice;
};

KqNotice *kq_core_add_notice (KqCore *c, KqNoticeKind kind);
/* The shard's host if it isn't idle and we are certainly its owner at `now`. Every call
 * into an active shard asks here first: a paused process finds its lease gone and drops
 * the shard before it does anything in the old epoch. */
KqShardHost *kq_core_mine (KqCore *c, uint32_t shard, KqTime now);
/* Another node's digest shows the shard under a later epoch than our last one, and that
 * node serves requests if we do. */
bool kq_core_has_successor (const KqCore *c, uint32_t shard);
/* Tells the other tasks of nodes that came, changed or went. */
void kq_core_tell_nodes (KqCore *c, KqTime now, KqOutbox *out);
/* What our next heartbeats say, and what our shards are told of the others. */
void kq_core_update_digests (KqCore *c, KqTime now);

#endif
