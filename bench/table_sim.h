#ifndef KQ_BENCH_TABLE_SIM_H
#define KQ_BENCH_TABLE_SIM_H

/* table_sim: simulates the member and table modules of nodes with a fake store and the
 * messages between them, in simulated time. For tests and benches of src/member and
 * src/table. */

#include "member/member.h"
#include "port/store_fake.h"
#include "table/dist.h"

#define KQ_TABLE_SIM_MAX 128

typedef struct
{
  int index;
  int region;
  bool up;
  bool paused; /* handles nothing and loses what it is sent; its state stays */
  int n_starts;
  KqNodeInfo info;
  KqMember *member; /* NULL if simulated without members */
  KqTableDist *dist;
  uint64_t highest; /* table revision in force since the last start */
  uint64_t store_calls;
  uint64_t store_bytes;  /* values read and written */
  uint64_t near_bytes;   /* frames sent within the region */
  uint64_t far_bytes;    /* frames sent to other regions */
  KqShardDigest *digest; /* sent in its heartbeats; owned by the caller */
  size_t n_digest;
} KqTableSimNode;

typedef struct KqTableSim KqTableSim;

struct KqTableSim
{
  KqTime now;
  KqStoreFake *store;
  KqTableSimNode nodes[KQ_TABLE_SIM_MAX];
  int n;
  int regions;
  bool members;
  KqTime near_delay; /* one way */
  KqTime far_delay;
  bool cut[KQ_TABLE_SIM_MAX][KQ_TABLE_SIM_MAX]; /* from, to: messages are lost */
  bool sent_between_regions[KQ_TABLE_SIM_MAX]
                           [KQ_TABLE_SIM_MAX]; /* from, to: a frame between regions */
  bool drop_table_messages; /* messages about the table are lost: nodes learn of changes
                       only by heartbeats and the store */
  KqTableResult results[1024]; /* of changes, by call */
  bool done[1024];
  int n_calls;
  uint64_t seed;
  struct KqTableSimState *state;
};

/* Creates and starts `nodes` nodes; node i is in region i % regions. Without members,
 * heartbeats are modelled: a node learns the table revisions of nodes in its region every
 * 0.5 s, and of others every 2 s. */
KqTableSim *kq_table_sim_new (uint64_t seed, int nodes, int regions, bool members);
void kq_table_sim_free (KqTableSim *f);
void kq_table_sim_run (KqTableSim *f, KqTime span);
/* A crash: the node's state is lost. */
void kq_table_sim_kill (KqTableSim *f, int i);
void kq_table_sim_start (KqTableSim *f, int i);
/* Changes rows through a node. Returns the number of the call. */
int kq_table_sim_change (KqTableSim *f, int node, const KqRowChange *c, size_t n);
/* Runs until the call has a result, and returns it. It must take at most 20 s. */
KqTableResult kq_table_sim_result (KqTableSim *f, int call);
/* Runs until all running nodes have at least that revision. Returns how long it took, or
 * -1 if it took more than `limit`. */
KqTime kq_table_sim_wait (KqTableSim *f, uint64_t revision, KqTime limit);
/* A change of a team's row. */
KqRowChange kq_table_sim_row (const char *name, int64_t weight, uint64_t expect);

#endif
