#ifndef KQ_BENCH_TABLE_SIM_H
#define KQ_BENCH_TABLE_SIM_H

/* table_sim: nodes' member and table modules, one fake store and the messages between
 * them, in simulated time. For tests and benches of src/member and src/table. */

#include "member/member.h"
#include "port/store_fake.h"
#include "table/dist.h"

#define KQ_TABLE_SIM_MAX 128

typedef struct
{
  int index;
  int region;
  bool up;
  bool paused; /* nothing reaches it, it does nothing, its memory stays */
  int life;    /* counts up at each start */
  KqNodeInfo info;
  KqMember *member; /* NULL in a fleet of tables alone */
  KqTableDist *dist;
  uint64_t highest; /* table revision in force in this life */
  uint64_t store_calls;
  uint64_t store_bytes;  /* values read and written */
  uint64_t near_bytes;   /* frames sent within the region */
  uint64_t far_bytes;    /* frames sent to other regions */
  KqShardDigest *digest; /* what the member says of itself; borrowed */
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
  bool crossed[KQ_TABLE_SIM_MAX]
              [KQ_TABLE_SIM_MAX]; /* from, to: a frame between regions */
  bool mute_tables;            /* TABLE and TABLE_WANT are lost: only the store tells */
  KqTableResult results[1024]; /* of changes, by call */
  bool done[1024];
  int n_calls;
  uint64_t seed;
  struct KqTableSimState *state;
};

/* Nodes 0 to regions - 1 stand in regions 0 to regions - 1, and so on round. All are
 * started. Without members, heartbeats are modelled: revisions of near nodes are told
 * every 0.5 s, of far ones every 2 s. */
KqTableSim *kq_table_sim_new (uint64_t seed, int nodes, int regions, bool members);
void kq_table_sim_free (KqTableSim *f);
void kq_table_sim_run (KqTableSim *f, KqTime span);
/* A process dies without a word; its memory is gone. */
void kq_table_sim_kill (KqTableSim *f, int i);
void kq_table_sim_start (KqTableSim *f, int i);
/* Returns the call's number. */
int kq_table_sim_change (KqTableSim *f, int node, const KqRowChange *c, size_t n);
/* Runs until the call's result is there (at most 20 s). */
KqTableResult kq_table_sim_result (KqTableSim *f, int call);
/* Runs until every node that is up has the revision; returns how long it took, or -1
 * after `limit`. */
KqTime kq_table_sim_wait (KqTableSim *f, uint64_t revision, KqTime limit);
KqRowChange kq_table_sim_row (const char *name, int64_t weight, uint64_t expect);

#endif
