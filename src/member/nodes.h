#ifndef KQ_MEMBER_NODES_H
#define KQ_MEMBER_NODES_H

/* nodes: the list of known nodes and their states. Used inside src/member only. */

#include "member/member.h"

typedef struct
{
  KqNode node;
  KqTime listed_at;      /* when the node was added; silence is counted from here on */
  KqTime link_lost_at;   /* 0: the connection isn't known to be down */
  KqMsg *last_heartbeat; /* last one received, with the last digests; node.shards points
                            into it */
  bool has_digests;      /* digests of the node's present process have arrived */
  KqTime state_since;    /* last change of state */
} KqNodeEntry;

typedef struct
{
  KqNodeId self;
  KqName region;                      /* our own */
  KqNodeEntry *entries[KQ_NODES_MAX]; /* sorted by id */
  size_t n;
  uint64_t version;
} KqNodeList;

/* Time limits, and what is known of our own pauses and of the store. */
typedef struct
{
  KqTime lease;
  KqTime heartbeat_interval;
  KqTime suspect_after;
  KqTime remote_suspect_after; /* suspect_after for nodes of other regions: longer, as
                                  bundles are less frequent */
  KqTime resumed_at; /* end of our last pause; silence is counted from here on */
  bool store_silent; /* the store's list is outdated: only heartbeats show who is alive */
  KqTime removal_allowed_at; /* until then a missing key alone doesn't make a node gone */
} KqNodeTimes;

void kq_node_list_clear (KqNodeList *l);
KqNodeEntry *kq_node_list_find (const KqNodeList *l, KqNodeId id);
/* Adds the node or updates its info. NULL: the list is full. */
KqNodeEntry *kq_node_list_put (KqNodeList *l, const KqNodeInfo *info, KqTime now);
/* Applies the store's list of the keys under node/. Returns the revision of our own key
 * if it holds an incarnation other than ours, otherwise 0. */
uint64_t kq_node_list_apply_store (KqNodeList *l, const KqStoreItem *items, size_t n,
                                   const KqNodeTimes *t, KqTime now);
/* Updates the nodes' states by their silence and removes nodes that are long gone. */
void kq_node_list_update_states (KqNodeList *l, const KqNodeTimes *t, KqTime now);
/* A heartbeat's KqMsgHeartbeat.sequence has the heartbeat's number in its upper bits. The
 * lowest bit means that the heartbeat is sent without digests and those sent before
 * remain valid. Digests are most of a heartbeat's bytes and needn't be sent as often as
 * liveness must be shown. */
#define KQ_HEARTBEAT_NO_DIGESTS 1U
#define KQ_HEARTBEAT_NUMBER(sequence) ((sequence) >> 1)

/* Approximate size in bytes of a heartbeat's digests on the wire. */
size_t kq_digest_size (const KqMsgHeartbeat *h);
/* Applies a heartbeat of the node `e`. */
void kq_node_list_apply_heartbeat (KqNodeList *l, KqNodeEntry *e, const KqMsgHeartbeat *h,
                                   KqTime now);

/* Encodes the value of the key node/<name>. */
void kq_node_info_pack (const KqNodeInfo *info, KqBuf *out);

#endif
