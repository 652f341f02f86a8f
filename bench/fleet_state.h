#ifndef KQ_BENCH_FLEET_STATE_H
#define KQ_BENCH_FLEET_STATE_H

/* fleet_state: internal types and functions of the fleet simulation (fleet.h). */

#include "fleet.h"

/* Two regions: nodes 0 to 2 own the first shards, nodes 3 and 4 the others. */
#define REGION_A_NODES 3
#define REGION_A_SHARDS 5
#define RESTART_WAIT (3 * KQ_SEC)

typedef struct
{
  KqSeq seq;
  uint64_t number;
} KqFleetSimPending;

/* A node's state of a shard that it owns. */
typedef struct
{
  KqJournal *journal;
  KqFleetSimSet set;
  bool checked;               /* recovered, and the state was checked */
  KqFleetSimPending *pending; /* not yet acknowledged, oldest first */
  size_t first, len, capacity;
} KqFleetSimShard;

typedef struct
{
  bool up;
  bool draining;
  KqTime paused_until;
  KqNodeInfo info;
  KqMember *member;
  KqOwner *owner;
  KqFleetSimShard shards[KQ_FLEET_SHARDS];
  KqTime next_tick;
  KqTime restart_at;
} KqFleetSimNode;

typedef struct
{
  KqTime at;
  int from, to;
  KqMsg *msg;
} KqFleetSimMsg;

/* What the clients know of a shard; owners' states are checked against it. */
typedef struct
{
  uint64_t next_number;
  KqFleetSimSet acked;
  KqFleetSimSet withdrawn;
  uint64_t epoch; /* the highest that was taken */
} KqFleetSimExpected;

struct KqFleetSim
{
  KqStoreFake *store;
  KqRand rand;
  KqTime now;
  KqFleetSimNode nodes[KQ_FLEET_NODES];
  KqFleetSimExpected expected[KQ_FLEET_SHARDS];
  KqFleetSimMsg *in_flight;
  size_t n_in_flight, in_flight_capacity;
  bool cut[KQ_FLEET_NODES][KQ_FLEET_NODES];
  bool any_cut;                             /* any element of `cut` is set */
  KqTime two_owners_since[KQ_FLEET_SHARDS]; /* 0: at most one owner */
  KqTime next_client;
  KqTime lease_lapsed_until; /* until then two owners are allowed */
  uint64_t incarnations;
  uint64_t trace;
  uint64_t acked;
  char violation[160];
  bool trigger_on, triggered;
  KqStoreOpKind trigger_kind;
  char trigger_prefix[32];
  KqFault trigger_fault;
};

void kq_fleet_sim_add_violation (KqFleetSim *f, const char *what, uint32_t shard,
                                 int node, uint64_t number);
/* Returns false if the number was in the set already. */
bool kq_fleet_sim_apply (KqFleetSimSet *set, const KqRecord *r);
void kq_fleet_sim_start_node (KqFleetSim *f, int node);
void kq_fleet_sim_stop_node (KqFleetSim *f, int node);

#endif
