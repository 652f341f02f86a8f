#ifndef KQ_BENCH_FLEET_H
#define KQ_BENCH_FLEET_H

/* fleet: a simulation of five nodes (membership, shard ownership and journals) over the
 * fake store, in simulated time, for randomised runs and the fault matrix. The state of a
 * shard is a set of numbers.
 *
 * Clients add numbers to shards through the node that owns them; a number is
 * acknowledged once its record is committed. These invariants are checked during the
 * run, which ends at the first violation:
 *
 *   - each epoch of a shard is taken once, and epochs increase;
 *   - at most one node owns a shard under a live lease;
 *   - an acknowledged number is in the state of every later owner;
 *   - a withdrawn number is in none, and no number is applied twice.
 */

#include "base/rand.h"
#include "port/store_fake.h"
#include "shard/journal.h"
#include "shard/owner.h"

#define KQ_FLEET_NODES 5
#define KQ_FLEET_SHARDS 8

typedef enum
{
  KQ_FAULT_NONE,
  KQ_FAULT_STORE_DOWN,
  KQ_FAULT_STORE_SLOW,
  KQ_FAULT_LOST_AFTER, /* of one call in five, or of the call that triggers it */
  KQ_FAULT_LOST_BEFORE,
  KQ_FAULT_LATE_EFFECT,
  KQ_FAULT_DIES,
  KQ_FAULT_PAUSES,
  KQ_FAULT_WATCH_SILENT,
  KQ_FAULT_STORE_CUT,   /* the node's calls don't reach the store */
  KQ_FAULT_PEER_CUT_TO, /* messages from the node to its peers are lost */
  KQ_FAULT_PEER_CUT,    /* messages from and to the node are lost */
  KQ_FAULT_REGION_CUT,  /* the second region from the first and from the store */
  KQ_FAULT_LEASE_LAPSES,
  KQ_FAULT_COUNT
} KqFault;

/* A set of numbers below KQ_FLEET_NUMBERS; clients add no more after that many. */
#define KQ_FLEET_NUMBERS ((uint64_t)1 << 16)
typedef struct
{
  uint64_t words[KQ_FLEET_NUMBERS / 64];
} KqFleetSimSet;

typedef struct KqFleetSim KqFleetSim;

const char *kq_fault_name (KqFault fault);

KqFleetSim *kq_fleet_sim_new (uint64_t seed);
void kq_fleet_sim_free (KqFleetSim *f);
/* Runs one event: a store reply, a message, a node's tick or restart, or a client. */
void kq_fleet_sim_step (KqFleetSim *f);
void kq_fleet_sim_run (KqFleetSim *f, KqTime span);
KqTime kq_fleet_sim_now (const KqFleetSim *f);
KqRand *kq_fleet_sim_rand (KqFleetSim *f);
uint64_t kq_fleet_sim_trace (const KqFleetSim *f);        /* hash of all events so far */
const char *kq_fleet_sim_violation (const KqFleetSim *f); /* NULL: none */
/* Count of acknowledged numbers. */
uint64_t kq_fleet_sim_acked (const KqFleetSim *f);
KqStoreFake *kq_fleet_sim_store (KqFleetSim *f);

void kq_fleet_sim_inject_fault (KqFleetSim *f, KqFault fault, int node);
/* Ends all faults, except that stopped nodes restart 3 s after they stopped, with a new
 * incarnation, and pauses run to their end. */
void kq_fleet_sim_heal (KqFleetSim *f);
/* Injects the fault into the node that next makes a store call of this kind with this
 * key prefix. */
void kq_fleet_sim_on_call (KqFleetSim *f, KqStoreOpKind kind, const char *prefix,
                           KqFault fault);
bool kq_fleet_sim_triggered (const KqFleetSim *f);
/* Stops a node without restart; after KQ_FAULT_DIES it starts again after 3 s. */
void kq_fleet_sim_kill (KqFleetSim *f, int node);
/* A planned stop of a node: its shards are handed over. */
void kq_fleet_sim_drain (KqFleetSim *f, int node);

/* Whether every shard has an owner whose journal is open and at most 1 s behind. */
bool kq_fleet_sim_settled (const KqFleetSim *f);
int kq_fleet_sim_owner (const KqFleetSim *f, uint32_t shard); /* -1: none */
/* Recovers each shard from the store and compares the result with the owner's state; a
 * difference is a violation. This fences the owners, so nothing can be run afterwards. */
void kq_fleet_sim_compare (KqFleetSim *f);

#endif
