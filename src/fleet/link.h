#ifndef KQ_FLEET_LINK_H
#define KQ_FLEET_LINK_H

/* link: the connections between the leader and the other nodes.
 *
 * Every node listens; a node that isn't leader keeps one connection to the leader, and
 * tells nodes that take it for the leader who leads, if it knows. Items
 * sent within one iteration of the loop are batched into one frame. Either side closes a
 * connection on which it has received nothing for a while; the node then reconnects. */

#include "agent/frame.h"
#include "base/client_limits.h"

typedef struct KqLink KqLink;
typedef struct KqPeer KqPeer; /* on the leader: a connected node */

typedef struct
{
  void *arg;
  /* On the leader: a node has connected and sent HELLO. */
  void (*joined) (void *arg, KqPeer *p, const KqAgentInfo *info, KqTime now);
  /* On the leader: a node has left. p is freed after the call, unless planned: the node
   * has announced its stop and released all its runners. */
  void (*left) (void *arg, KqPeer *p, bool planned, KqTime now);
  /* On the leader: an item from a node, which knows a leader of that epoch. */
  void (*from_node) (void *arg, KqPeer *p, uint64_t epoch, const KqAgentItem *i,
                     KqTime now);
  /* On the other nodes: the connection to the leader has been opened. */
  void (*connected) (void *arg, KqTime now);
  /* On the other nodes: an item from the leader of that epoch. */
  void (*from_leader) (void *arg, uint64_t epoch, const KqAgentItem *i, KqTime now);
  /* Time since the store's last answer to this node; -1: none yet. */
  int64_t (*store_age_ms) (void *arg, KqTime now);
  /* On the leader: what pings say of the operators' keys (KqAgentItem). May be NULL. */
  void (*keys) (void *arg, uint64_t *revision, int64_t *age_ms, KqTime now);
  /* On the leader: memory that further jobs may take; -1: not limited. May be NULL. */
  int64_t (*jobs_free) (void *arg);
  /* Another node has said who leads. May be NULL. */
  void (*heard_leader) (void *arg, const KqAgentItem *i, KqTime now);
  /* Fills in a LEADER item with the leader that this node knows; false: it knows none.
   * May be NULL. */
  bool (*leader) (void *arg, KqAgentItem *i);
} KqLinkOwner;

typedef struct
{
  KqLoop *loop;
  const char *ip;
  int port; /* 0: the kernel chooses */
  KqAgentInfo self;
  KqLinkOwner owner;
  /* Of what connections hold that haven't sent HELLO; NULL: none. */
  KqClientLimits *limits;
} KqLinkConfig;

/* NULL: the address can't be bound. */
KqLink *kq_link_new (const KqLinkConfig *c);
void kq_link_free (KqLink *l);
int kq_link_port (const KqLink *l);

/* Connects to the leader at `address`, "ip:port", and connects again whenever the
 * connection ends. "": there is no leader. */
void kq_link_set_leader (KqLink *l, KqStr address, uint64_t epoch, KqTime now);
/* Announces this node's planned stop to the leader, and never connects again. */
void kq_link_leave (KqLink *l);
bool kq_link_connected (const KqLink *l);
/* Sends an item for the leader of that epoch on the present connection; drops the item
 * when there is no connection. */
void kq_link_send (KqLink *l, uint64_t epoch, const KqAgentItem *i);

/* Starts accepting nodes as the leader of this epoch; 0: no longer leader. Closes all
 * connections first. */
void kq_link_set_own_epoch (KqLink *l, uint64_t epoch, KqTime now);
/* On a new leader: tells the node at the address, the last leader, who leads now. The
 * store may refuse that node, and others that would turn to it. */
void kq_link_announce (KqLink *l, KqStr address);
/* On a leader that is about to resign: asks some nodes that the store answers to end its
 * lease. */
void kq_link_end_lease (KqLink *l, uint64_t lease);
/* Sets the time until which no other node can be leader; 0 at first. Pings sent later may
 * come from a replaced leader and must not extend leases: they acknowledge only
 * heartbeats that are older than the time it takes to detect lost nodes; with nodes_lost,
 * only heartbeats received before that time. */
void kq_link_set_exclusive_until (KqLink *l, KqTime until, bool nodes_lost);
/* On the leader: sends an item to a node. */
void kq_link_send_peer (KqPeer *p, const KqAgentItem *i);
/* The scheduler's number of the node's agent; -1: none. */
void kq_peer_set_agent (KqPeer *p, int agent);
int kq_peer_agent (const KqPeer *p);
/* Whether changes of the operators' keys are relayed to the node. */
void kq_peer_set_follows (KqPeer *p, bool follows);
/* On the leader: sends an item to all nodes that follow; returns their number. */
size_t kq_link_send_followers (KqLink *l, const KqAgentItem *i);
/* On the leader: no node follows any more. */
void kq_link_clear_followers (KqLink *l);
/* On the leader: the number of connected nodes. */
size_t kq_link_peer_count (const KqLink *l);

#endif
