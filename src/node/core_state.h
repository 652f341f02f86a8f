#ifndef KQ_NODE_CORE_STATE_H
#define KQ_NODE_CORE_STATE_H

/* core_state: the state of KqCore, shared by core.c and core_route.c. */

#include "base/rand.h"
#include "node/core.h"

typedef struct NoticeItem
{
  struct NoticeItem *next;
  KqNotice notice;
} NoticeItem;

/* The last state of a node announced by KQ_NOTICE_NODE. */
typedef struct
{
  KqNodeId id;
  KqNodeState state;
  bool draining;
  uint64_t incarnation;
} AnnouncedNode;

struct KqCore
{
  KqCoreConfig config;
  KqRand rand;
  KqMember *member;
  KqOwner *owner;
  KqTableDist *dist;
  uint32_t first_shard; /* lowest number of the shards of this node's region */
  uint32_t n_shards;    /* of this node's region */
  KqShard **shards;
  /* Per shard: whether its hosts have been announced since it became active. */
  bool *hosts_announced;
  /* Per shard: when KQ_NOTICE_SHARD_GONE is due at the latest; 0: not pending. */
  KqTime *gone_due_at;
  KqServiceDigest *services;
  size_t n_services;
  /* The platform's host lists, one per depot; the last ones read stay in use while the
   * store can't be reached. */
  KqHostList host_lists[KQ_DEPOTS_MAX];
  bool list_read[KQ_DEPOTS_MAX]; /* the depot's list has been read */
  bool all_lists_read;           /* every depot's list has been read */
  KqTime next_read_at[KQ_DEPOTS_MAX];
  bool read_pending[KQ_DEPOTS_MAX];
  bool draining;
  bool release_announced;     /* KQ_NOTICE_SHARDS_RELEASED has been added */
  KqTime digests_due_at;      /* when the digests in heartbeats are updated next */
  uint64_t announced_version; /* kq_member_version of the last announcements */
  AnnouncedNode announced[KQ_NODES_MAX];
  size_t n_announced;
  NoticeItem *first_notice;
  NoticeItem *last_notice;
};

/* Adds a notice to the queue and returns it to be filled in. */
KqNotice *kq_core_add_notice (KqCore *c, KqNoticeKind kind);
/* Returns the shard if it isn't idle and this node certainly owns it at `now`; otherwise
 * NULL. Must be called before every call into an active shard: a process that was paused
 * finds that its lease has expired, and drops the shard before it acts in the old epoch.
 */
KqShard *kq_core_owned_shard (KqCore *c, uint32_t shard, KqTime now);
/* Whether another node's digest shows the shard in a later epoch than this node's last
 * one, and that node serves requests if this one does. */
bool kq_core_has_successor (const KqCore *c, uint32_t shard);
/* Adds a KQ_NOTICE_NODE for each node that joined, changed or is gone. */
void kq_core_announce_nodes (KqCore *c, KqTime now, KqOutbox *out);
/* Updates the digests in this node's heartbeats, and passes the digests of all other
 * shards to this node's shards. Does nothing before digests_due_at. */
void kq_core_update_digests (KqCore *c, KqTime now);

#endif
