#ifndef KQ_MEMBER_MEMBER_H
#define KQ_MEMBER_MEMBER_H

/* member: which nodes there are, who is alive, and what their digests say.
 *
 * Each node holds one key node/<name> under one lease in the store; its value tells
 * address, region and depot. Nodes of a region send each other heartbeats; between
 * regions one node a side (chosen by a hash over the pair) sends a bundle of its region's
 * heartbeats, so that the link carries O(regions), not O(nodes squared). Digests travel
 * with a heartbeat only as often as a rate in bytes allows (constants in member.c), and
 * at once when other shards are owned than before. A node is suspected when
 * its heartbeats stop, and gone when its store key goes (or, while the store is away,
 * after the lease time without a heartbeat). */

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
  bool in_store; /* the node's key was in the store when we last looked */
  bool draining;
  KqTime heard_at; /* last heartbeat, direct or bundled; 0: never */
  uint64_t table_revision;
  int64_t store_age_us;  /* since the store last answered it, as of heard_at */
  KqShardDigest *shards; /* of its last heartbeat */
  size_t n_shards;
} KqNode;

typedef struct
{
  KqNodeInfo self;
  KqTime lease;   /* of the node's key; 10 s by default */
  KqTime beat;    /* between heartbeats; 0.5 s by default */
  KqTime suspect; /* silence before suspicion; 2 s by default */
} KqMemberConfig;

typedef struct KqMember KqMember;

KqMember *kq_member_new (const KqMemberConfig *c, uint64_t seed);
void kq_member_free (KqMember *m);
void kq_member_tick (KqMember *m, KqTime now, KqOutbox *out);
void kq_member_reply (KqMember *m, const KqStoreReply *r, KqTime now, KqOutbox *out);
/* Whether a heartbeat leaves out its digests because those sent before still stand: its
 * empty list of shards must not be read as "owns nothing". Who wants digests asks
 * kq_member_find, or passes light heartbeats over. */
bool kq_heartbeat_light (const KqMsgHeartbeat *h);
void kq_member_heartbeat (KqMember *m, const KqMsgHeartbeat *h, KqTime now,
                          KqOutbox *out);
/* The mesh connection to a node went down or up. */
void kq_member_link (KqMember *m, KqNodeId node, bool up, KqTime now);
/* What this node's next heartbeats say of itself; copied. */
void kq_member_set_digest (KqMember *m, const KqShardDigest *s, size_t n,
                           uint64_t table_revision, bool draining);
/* The store answered some call of this node at `now`. */
void kq_member_store_answered (KqMember *m, KqTime now);

/* Nodes known, this one included, sorted by id. */
size_t kq_member_count (const KqMember *m);
const KqNode *kq_member_at (const KqMember *m, size_t i);
const KqNode *kq_member_find (const KqMember *m, KqNodeId id);
/* Counts up whenever a node comes, goes or changes state or draining, or its key comes
 * to the store or goes from it. */
uint64_t kq_member_version (const KqMember *m);
/* Whether our own key's lease is certainly alive at `now` (by the monotonic clock,
 * counted from before the renewal was sent). */
bool kq_member_lease_live (const KqMember *m, KqTime now);
uint64_t kq_member_lease (const KqMember *m); /* its id in the store; 0: none yet */
/* Another process wrote our key since: the host was replaced under the same name, or two
 * have one name. This process holds no lease again; it should end. */
bool kq_member_replaced (const KqMember *m);
/* How long the store hasn't answered this node. */
KqTime kq_member_store_silence (const KqMember *m, KqTime now);
/* A live peer of our region says that the store answered it within `age`. */
bool kq_member_peer_reaches_store (const KqMember *m, KqTime age, KqTime now);
/* At least one peer of our region was heard within `age`. */
bool kq_member_hears_region (const KqMember *m, KqTime age, KqTime now);
/* Gives the lease back: our key goes at once. For a planned stop, after hand-over. */
void kq_member_leave (KqMember *m, KqTime now, KqOutbox *out);

#endif
