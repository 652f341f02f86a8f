#ifndef KQ_FLEET_LEADER_H
#define KQ_FLEET_LEADER_H

/* leader: the scheduler of the node that leads, with what it needs: the store's jobs and
 * progress, the runners' entries, and the nodes that carry out its orders. Lives from an
 * election until the lead is lost; nothing of it is kept for the next one. */

#include "crew/agent.h"
#include "fleet/link.h"
#include "port/kv.h"

typedef struct KqLeader KqLeader;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  uint64_t epoch;
  uint32_t term;
  int64_t lease_ms; /* of runners */
  int64_t blind_ms;
  int64_t keep_ms;
  int64_t
      maintenance_ms; /* a host that goes down for maintenance stays down for so long */
  KqCounters *counters;
  KqAgentInfo self;
  KqCrewAgent *agent;              /* of this node */
  KqMaintenanceCalls *maintenance; /* NULL: there is no control plane */
  void *arg;
  /* Somebody else leads: the store or a runner has refused our epoch. */
  void (*deposed) (void *arg, const char *why, KqTime now);
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqLeaderConfig;

KqLeader *kq_leader_new (const KqLeaderConfig *c, KqTime now);
void kq_leader_free (KqLeader *l);

void kq_leader_joined (KqLeader *l, KqPeer *p, const KqAgentInfo *info, KqTime now);
/* The part of a processor that the node has, in thousandths; 0: it hasn't joined. */
int kq_leader_share (const KqLeader *l, const KqPeer *p);
/* planned: the node has said that it stops, and let go of its runners. */
void kq_leader_left (KqLeader *l, KqPeer *p, bool planned, KqTime now);
/* LIST, OUTCOME, UNREACHED, FENCED, JOB, CANCEL. p NULL: of this node's own agent. */
void kq_leader_item (KqLeader *l, KqPeer *p, const KqCrewItem *i, KqTime now);
/* An answer to a question, for this node's or another's client accounts. */
int64_t kq_leader_ask (KqLeader *l, KqAskKind what, KqStr about, KqTime now, KqBuf *text);
/* Its decisions. */
KqSched *kq_leader_sched (KqLeader *l);

#endif
