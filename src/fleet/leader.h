#ifndef KQ_FLEET_LEADER_H
#define KQ_FLEET_LEADER_H

/* leader: runs the scheduler on the node that is leader. It loads jobs, progress and
 * runner entries from the store, and passes the scheduler's orders to the nodes. Created
 * when the node is elected, freed when it loses leadership; a later leader starts from
 * the store alone. */

#include "agent/agent.h"
#include "fleet/link.h"
#include "port/kv.h"
#include "steps/queues.h"

typedef struct KqLeader KqLeader;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  uint64_t epoch;
  uint32_t term;
  int64_t lease_ms; /* length of runners' leases */
  int64_t
      renew_without_leader_ms; /* how long nodes renew runners' leases without a leader */
  int64_t keep_ms;             /* how long ended jobs are kept */
  int64_t maintenance_ms;      /* how long a host is down for maintenance */
  size_t job_bytes_max;        /* as in KqSchedConfig */
  KqSchedFeatures features;    /* likewise */
  const KqCordons *cordons;    /* likewise */
  /* The present configuration of queues; NULL: none yet. */
  const KqQueueTable *(*queues) (void *arg);
  KqCounters *counters;
  KqAgentInfo self;
  KqAgent *agent;                   /* the agent of this node */
  KqMaintenanceClient *maintenance; /* NULL: there is no control plane */
  void *arg;
  /* Another node is leader: the store, a runner or the control plane has a newer epoch.
   * The callee may free the leader. */
  void (*deposed) (void *arg, const char *why, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  /* The load, as it has just been sent to all other nodes (KQ_AGENT_ITEM_LOAD); NULL:
   * this node doesn't use it. */
  void (*load) (void *arg, const KqAgentItem *i, KqTime now);
} KqLeaderConfig;

KqLeader *kq_leader_new (const KqLeaderConfig *c, KqTime now);
void kq_leader_free (KqLeader *l);

/* Handles a node's HELLO: the scheduler may assign runners to its agent from now on. */
void kq_leader_node_joined (KqLeader *l, KqPeer *p, const KqAgentInfo *info, KqTime now);
/* To be called when the set of cordons has changed. */
void kq_leader_cordons_changed (KqLeader *l, KqTime now);
/* Returns the node's cpu share in thousandths of a processor; 0: it hasn't joined. */
int kq_leader_node_share (const KqLeader *l, const KqPeer *p);
/* Handles the end of a node's connection. planned: the node has announced its stop and
 * released its runners. */
void kq_leader_node_left (KqLeader *l, KqPeer *p, bool planned, KqTime now);
/* Handles a LIST, OUTCOME, UNREACHED, FENCED, ADVICE, JOB, CANCEL or WRITING; ignores
 * other kinds. p NULL: from this node's own agent. */
void kq_leader_handle_item (KqLeader *l, KqPeer *p, const KqAgentItem *i, KqTime now);
/* Answers a query of this or another node. Returns the value of a KQ_AGENT_ITEM_ANSWER;
 * -1: not known, or not yet loaded. text gets the answer to an operator's question. */
int64_t kq_leader_query (KqLeader *l, KqAskKind what, KqStr about, KqTime now,
                         KqBuf *text);
KqSched *kq_leader_sched (KqLeader *l);

#endif
