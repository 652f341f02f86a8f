#ifndef KQ_MEMBER_MEMBER_H
#define KQ_MEMBER_MEMBER_H

/* member: the known nodes, their liveness, and the digests of the shards that they own.
 *
 * Each node holds one key node/<name> under one lease in the store; its value has the
 * node's addresses, region and depot. The nodes of a region send heartbeats to each
 * other. Between two regions one node of each (chosen by a hash for the pair) sends a
 * bundle of its region's heartbeats, so that the traffic between the regions doesn't grow
 * with the number of pairs of nodes. A digest is the summary of one shard that its owner
 * sends with its heartbeats. Digests are included only as often as a rate in bytes allows
 * (constants in member.c), and at once when the owned shards or their number of services
 * change. A node is suspect when its heartbeats stop, and gone when its key in the store
 * is deleted or expires (or, while the store is away, after the lease time without a
 * heartbeat). */

#include "port/outbox.h"

#define KQ_NODES_MAX 256

typedef struct
{
  KqNodeId id;
  KqName name;
  KqName region;
  KqName depot;
  KqName mesh_address;     /* "ip:port" */
  KqName operator_address; /* "ip:port" */
  uint64_t incarnation;
} KqNodeInfo;

typedef enum
{
  KQ_NODE_ALIVE,
  KQ_NODE_SUSPECT,
  KQ_NODE_GONE
} KqNodeState;

typedef struct
{
  KqNodeInfo info;
  KqNodeState state;
  bool in_store; /* the node's key was in the store's last list */
  bool draining;
  KqTime heard_at; /* last heartbeat, direct or bundled; 0: never */
  uint64_t table_revision;
  int64_t store_age_us;  /* time from the store's last answer to it until heard_at */
  KqShardDigest *shards; /* digests of its last heartbeat that has any */
  size_t n_shards;
} KqNode;

typedef struct
{
  KqNodeInfo self;
  KqTime lease;              /* duration of the key's lease; 10 s by default */
  KqTime heartbeat_interval; /* time between heartbeats; 0.5 s by default */
  KqTime suspect_after;      /* silence before suspicion; 2 s by default */
} KqMemberConfig;

typedef struct KqMember KqMember;

KqMember *kq_member_new (const KqMemberConfig *c, uint64_t seed);
void kq_member_free (KqMember *m);
/* Updates the nodes' states and sends the heartbeats and store calls that are due. */
void kq_member_tick (KqMember *m, KqTime now, KqOutbox *out);
/* Handles the reply to a store call of this module. */
void kq_member_reply (KqMember *m, const KqStoreReply *r, KqTime now, KqOutbox *out);
/* Whether a heartbeat is sent without digests, in which case those sent before remain
 * valid: its empty list of shards doesn't mean "owns nothing". Callers that need digests
 * use kq_member_find or ignore such heartbeats. */
bool kq_heartbeat_omits_digests (const KqMsgHeartbeat *h);
/* Handles a heartbeat that has arrived. */
void kq_member_heartbeat (KqMember *m, const KqMsgHeartbeat *h, KqTime now,
                          KqOutbox *out);
/* Records that the connection to a node went up or down. */
void kq_member_link (KqMember *m, KqNodeId node, bool up, KqTime now);
/* Sets the digests and the other values that this node's next heartbeats report; the
 * digests are copied. */
void kq_member_set_digest (KqMember *m, const KqShardDigest *s, size_t n,
                           uint64_t table_revision, bool draining);
/* Records that the store answered some call of this node at `now`. */
void kq_member_store_answered (KqMember *m, KqTime now);

/* The known nodes, this one included: their number, the i-th by id, and the one with an
 * id (NULL: unknown). */
size_t kq_member_count (const KqMember *m);
const KqNode *kq_member_at (const KqMember *m, size_t i);
const KqNode *kq_member_find (const KqMember *m, KqNodeId id);
/* Increases whenever a node is added or removed, its info, state or draining flag
 * changes, or its key appears in or disappears from the store. */
uint64_t kq_member_version (const KqMember *m);
/* Whether our own key's lease is certainly live at `now`: by the monotonic clock, counted
 * from when the last successful renewal was sent. */
bool kq_member_lease_live (const KqMember *m, KqTime now);
/* The id of our key's lease in the store; 0: the key isn't written under a lease. */
uint64_t kq_member_lease (const KqMember *m);
/* Whether another process has written our key after us, because the host was replaced
 * under the same name or two hosts have the same name. This process never holds a lease
 * again and should exit. */
bool kq_member_replaced (const KqMember *m);
/* Time since the store last answered this node. */
KqTime kq_member_store_silence (const KqMember *m, KqTime now);
/* Whether a peer of our region that isn't silent reports that the store answered it
 * within `age`. */
bool kq_member_peer_reaches_store (const KqMember *m, KqTime age, KqTime now);
/* Whether a heartbeat of at least one peer of our region arrived within `age`. */
bool kq_member_hears_region (const KqMember *m, KqTime age, KqTime now);
/* Revokes the lease, so that our key is deleted at once. For a planned stop, after all
 * shards are handed over. */
void kq_member_leave (KqMember *m, KqTime now, KqOutbox *out);

#endif
