#ifndef KQ_FLEET_FLEET_IMPL_H
#define KQ_FLEET_FLEET_IMPL_H

/* fleet_impl: a node of a fleet and its parts. Only fleet.c and fleet_peers.c include it.
 */

#include "election/election.h"
#include "fleet/accepts.h"
#include "fleet/fleet.h"
#include "fleet/front.h"
#include "fleet/key_feed.h"
#include "fleet/leader.h"
#include "fleet/leader_lease.h"
#include "fleet/link.h"
#include "fleet/operator_port.h"
#include "fleet/queries.h"
#include "fleet/queue_keys.h"
#include "fleet/reach.h"

#include <ev.h>

struct KqFleet
{
  KqFleetConfig config;
  KqKv *kv;
  KqRunnerClient *calls;
  KqAdviceClient *advice;           /* NULL: none in the settings */
  KqMaintenanceClient *maintenance; /* NULL: no control plane in the settings */
  KqAgent *agent;
  KqLink *link;
  KqElection *election;
  KqLeader *leader; /* NULL: this node isn't leader */
  KqAccepts *accepts;
  KqFrontHandler *handler;
  KqFront *front;
  KqOperatorPort *operators;
  KqQueueKeys *queues;
  KqKeyFeed *keys; /* NULL until the queues are followed */
  KqCordons *cordons;
  KqClientLimits *limits;
  KqAgentInfo self;
  KqReach store;
  KqLeaderLease leader_lease; /* used while this node leads */
  int64_t jobs_free;   /* memory that further jobs may take, by the leader's last ping */
  KqTime jobs_free_at; /* when that came; 0: never */
  bool store_down;     /* the store's present outage has been logged */
  bool stopping;
  bool stopped;
  KqTime stopping_at;
  ev_timer check_timer;
};

/* fleet_peers.c */
KqLinkOwner kq_fleet_link_owner (KqFleet *f);
/* Memory that further jobs may take at the leader, as it was at *as_of. While the leader
 * isn't heard, what they might take at this node. */
int64_t kq_fleet_jobs_free (const KqFleet *f, KqTime now, KqTime *as_of);
/* Memory that all jobs may take while this node leads. */
size_t kq_fleet_job_bytes_max (const KqFleet *f);
/* What is needed to put a question to the leader, or to answer it. */
KqQueries kq_fleet_queries (const KqFleet *f);

#endif
