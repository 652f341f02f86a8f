#ifndef KQ_FLEET_LINK_H
#define KQ_FLEET_LINK_H

/* link: the connections between a leader and the other nodes.
 *
 * Every node listens; a node that doesn't lead keeps one connection to the leader. Items
 * that are sent within one turn of the loop leave as one frame. Either side that hears
 * nothing for a while closes the connection; the node then opens a new one. */

#include "crew/frame.h"

typedef struct KqLink KqLink;
typedef struct KqPeer KqPeer; /* a node connected to us as leader */

typedef struct
{
  void *arg;
  /* As leader. */
  void (*joined) (void *arg, KqPeer *p, const KqAgentInfo *info, KqTime now);
  /* planned: it has said so, and let go of all runners. */
  void (*left) (void *arg, KqPeer *p, bool planned, KqTime now);
  void (*from_node) (void *arg, KqPeer *p, uint64_t epoch, const KqCrewItem *i,
                     KqTime now);
  /* As node. */
  void (*connected) (void *arg, KqTime now);
  void (*from_leader) (void *arg, uint64_t epoch, const KqCrewItem *i, KqTime now);
  /* Since the store's last answer to this node; -1: none yet. */
  int64_t (*store_age_ms) (void *arg, KqTime now);
} KqLinkOwner;

typedef struct
{
  KqLoop *loop;
  const char *ip;
  int port; /* 0: the kernel picks */
  KqAgentInfo self;
  KqLinkOwner owner;
} KqLinkConfig;

/* NULL: the address can't be bound. */
KqLink *kq_link_new (const KqLinkConfig *c);
void kq_link_free (KqLink *l);
int kq_link_port (const KqLink *l);

/* Connect to this leader from now on; "" to nobody. */
void kq_link_leader (KqLink *l, KqStr address, uint64_t epoch, KqTime now);
/* Tells the leader that this node stops as planned, and connects to nobody any more. */
void kq_link_leave (KqLink *l);
bool kq_link_up (const KqLink *l);
/* To the leader; dropped when there is no connection. */
void kq_link_send (KqLink *l, uint64_t epoch, const KqCrewItem *i);

/* As leader: accept nodes for this epoch; 0: close all. */
void kq_link_lead (KqLink *l, uint64_t epoch, KqTime now);
/* Nobody else can lead until then, 0 at first. A ping that leaves later tells of beats
 * that came so much earlier as it may take us to notice that nodes are cut off; with
 * nodes_lost, of none that came since. */
void kq_link_lead_until (KqLink *l, KqTime until, bool nodes_lost);
void kq_link_send_peer (KqPeer *p, const KqCrewItem *i);
void kq_peer_set_agent (KqPeer *p, int agent);
int kq_peer_agent (const KqPeer *p);
size_t kq_link_peers (const KqLink *l);

#endif
