#ifndef KQ_BENCH_FLEET_H
#define KQ_BENCH_FLEET_H

/* fleet: five node cores (member, owner, journals, a set of numbers as applied state)
 * over the fake store, in simulated time, for randomised runs and the fault matrix.
 *
 * Clients add numbers to shards through whichever node owns them; a number is
 * acknowledged once its record is committed. What must always hold is checked as it
 * runs; the first violation is kept in `violation` and the run is over.
 *
 *   - each epoch of a shard is taken once, and epochs grow;
 *   - at most one node is owner by a live lease;
 *   - an acknowledged number is in the state of every later owner;
 *   - a withdrawn number never is, and none is applied twice.
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
  KQ_FAULT_LOST_AFTER, /* of one call in five, or of the one that triggers it */
  KQ_FAULT_LOST_BEFORE,
  KQ_FAULT_LATE_EFFECT,
  KQ_FAULT_DIES,
  KQ_FAULT_PAUSES,
  KQ_FAULT_WATCH_SILENT,
  KQ_FAULT_STORE_CUT,   /* the node from the store */
  KQ_FAULT_PEER_CUT_TO, /* the node's messages don't arrive */
  KQ_FAULT_PEER_CUT,    /* both ways */
  KQ_FAULT_REGION_CUT,  /* the second region, from the first and from the store */
  KQ_FAULT_LEASE_LAPSES,
  KQ_FAULT_COUNT
} KqFault;

/* A set of the numbers below KQ_FLEET_NUMBERS; clients stop there. */
#define KQ_FLEET_NUMBERS ((uint64_t)1 << 16)
typedef struct
{
  uint64_t words[KQ_FLEET_NUMBERS / 64];
} KqFleetSet;

typedef struct KqFleet KqFleet;

const char *kq_fault_name (KqFault fault);

KqFleet *kq_fleet_new (uint64_t seed);
void kq_fleet_free (KqFleet *f);
/* One event: a call's arrival or answer, a message, a tick or a client. */
void kq_fleet_step (KqFleet *f);
void kq_fleet_run (KqFleet *f, KqTime span);
KqTime kq_fleet_now (const KqFleet *f);
KqRand *kq_fleet_rand (KqFleet *f);
uint64_t kq_fleet_trace (const KqFleet *f);        /* digest of all events so far */
const char *kq_fleet_violation (const KqFleet *f); /* NULL: none */
uint64_t kq_fleet_acked (const KqFleet *f);
KqStoreFake *kq_fleet_store (KqFleet *f);

void kq_fleet_fault (KqFleet *f, KqFault fault, int node);
/* Ends all faults; dead nodes start again under a new incarnation. */
void kq_fleet_heal (KqFleet *f);
/* Applies the fault to the node that makes the next call of this kind and key prefix. */
void kq_fleet_on_call (KqFleet *f, KqStoreOpKind kind, const char *prefix, KqFault fault);
bool kq_fleet_triggered (const KqFleet *f);
/* Ends a node for good; KQ_FAULT_DIES lets it start again after 3 s. */
void kq_fleet_kill (KqFleet *f, int node);
/* A planned stop of a node: its shards are handed over. */
void kq_fleet_drain (KqFleet *f, int node);

/* Every shard is owned by one node whose journal is open. */
bool kq_fleet_settled (const KqFleet *f);
int kq_fleet_owner (const KqFleet *f, uint32_t shard); /* -1: none */
/* A reader opens each shard's journal anew and compares it with the owner's state. Ends
 * the owners: nothing can be run afterwards. */
void kq_fleet_compare (KqFleet *f);

#endif
