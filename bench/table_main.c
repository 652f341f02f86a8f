/* table: measures the traffic and delays of table distribution and membership with 100
 * nodes in 8 regions and 1,700 changes a day (the target size), in simulated time against
 * the fake store, which is in region 0. Prints RESULT lines; usage: table [SEED]. */

#include "base/log.h"
#include "base/rand.h"
#include "table_sim.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define NODES 100
#define REGIONS 8
#define DAY (24 * 3600 * KQ_SEC)
#define CHANGES 1700
#define ROWS 1500
#define LIMIT_S 5.0
#define LIMIT_NODE_BYTES_PER_S 20000.0
#define SHARDS 64
#define SERVICES 20
#define TEAMS 51
/* Changes made while the watches are silent; the maximum delay is reported. */
#define SILENT_TRIALS 200

static void
result (const char *name, double value, const char *unit, double limit)
{
  bool ok = limit == 0 || value <= limit;
  if (limit == 0)
    printf ("RESULT %s %.3f %s - ok\n", name, value, unit);
  else
    printf ("RESULT %s %.3f %s %g %s\n", name, value, unit, limit, ok ? "ok" : "short");
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

static void
fill_table (KqTableSim *f)
{
  KqRowChange *c = kq_alloc (ROWS * sizeof *c);
  for (int i = 0; i < ROWS; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "row-%d", i);
      c[i].row = kq_row_default ((KqRowKind)(i % KQ_ROW_POLICY), kq_str (name));
    }
  KqTableResult r = kq_table_sim_result (f, kq_table_sim_change (f, 0, c, ROWS));
  if (r.code != KQ_OK)
    {
      fprintf (stderr, "the import failed: %d\n", (int)r.code);
      exit (1); /* nothing can be measured without the table */
    }
  free (c);
  kq_table_sim_run (f, 30 * KQ_SEC);
}

static uint64_t
change_one (KqTableSim *f, KqRand *r)
{
  char name[32];
  int kind = (int)kq_rand_below (r, KQ_ROW_POLICY);
  uint64_t i = kq_rand_below (r, ROWS / KQ_ROW_POLICY) * KQ_ROW_POLICY + (uint64_t)kind;
  KqRowChange c = { .expect = UINT64_MAX };
  snprintf (name, sizeof name, "row-%d", (int)i);
  c.row = kq_row_default ((KqRowKind)kind, kq_str (name));
  KqTableResult res = kq_table_sim_result (
      f, kq_table_sim_change (f, (int)kq_rand_below (r, NODES), &c, 1));
  return res.code == KQ_OK ? res.revision : 0;
}

static void
clear_counts (KqTableSim *f)
{
  for (int i = 0; i < f->n; i++)
    {
      KqTableSimNode *n = &f->nodes[i];
      n->store_calls = n->store_bytes = n->near_bytes = n->far_bytes = 0;
    }
}

typedef struct
{
  double calls;
  double worst_node; /* bytes of the node with the most traffic */
  double link;       /* bytes between regions, the store's included */
  double all;
} Counts;

static Counts
count (const KqTableSim *f)
{
  Counts c = { 0 };
  for (int i = 0; i < f->n; i++)
    {
      const KqTableSimNode *n = &f->nodes[i];
      double bytes = (double)(n->store_bytes + n->near_bytes + n->far_bytes);
      c.calls += (double)n->store_calls;
      c.all += bytes;
      c.link += (double)n->far_bytes + (n->region != 0 ? (double)n->store_bytes : 0);
      if (bytes > c.worst_node)
        c.worst_node = bytes;
    }
  return c;
}

/* A day of changes with working watches. */
static void
bench_day (uint64_t seed)
{
  KqTableSim *f = kq_table_sim_new (seed, NODES, REGIONS, false);
  KqRand r = kq_rand (seed);
  double *took = kq_alloc (CHANGES * sizeof *took);
  int n = 0;
  int failed = 0;
  fill_table (f);
  clear_counts (f);
  KqTime start = f->now;
  for (int i = 0; i < CHANGES; i++)
    {
      KqTime at = start + DAY / CHANGES * i;
      if (at > f->now)
        kq_table_sim_run (f, at - f->now);
      KqTime asked = f->now;
      uint64_t rev = change_one (f, &r);
      if (rev == 0 || kq_table_sim_wait (f, rev, 60 * KQ_SEC) < 0)
        failed++;
      else
        took[n++] = (double)(f->now - asked) / KQ_SEC;
    }
  kq_table_sim_run (f, start + DAY - f->now);
  Counts c = count (f);
  KqBuf packed = { 0 };
  KqStr head;
  uint64_t at;
  kq_table_pack (kq_table_dist_current (f->nodes[0].dist), &packed);
  if (kq_store_fake_get (f->store, KQ_STR ("table/head"), &head, &at))
    result ("table_head_size", (double)head.len, "bytes", 0);
  result ("table_whole_size", (double)packed.len, "bytes", 0);
  kq_buf_free (&packed);
  qsort (took, (size_t)n, sizeof *took, compare_values);
  result ("table_changes_failed", failed, "changes", 0.5);
  result ("table_in_force_p50", took[n / 2], "s", LIMIT_S);
  result ("table_in_force_max", took[n - 1], "s", LIMIT_S);
  result ("table_store_calls", c.calls, "calls/day", 0);
  result ("table_store_calls_rate", c.calls / 86400, "calls/s", 0);
  result ("table_bytes_worst_node", c.worst_node / 86400, "B/s", LIMIT_NODE_BYTES_PER_S);
  result ("table_bytes_mean_node", c.all / 86400 / NODES, "B/s", LIMIT_NODE_BYTES_PER_S);
  result ("table_link_bytes", c.link / 1e6, "MB/day", 0);
  free (took);
  kq_table_sim_free (f);
}

/* Changes while all watches are silent. pushes: whether the messages that a node sends on
 * a commit arrive; if not, other nodes learn of it only by heartbeats. */
static void
bench_silent (uint64_t seed, bool pushes, const char *name)
{
  KqTableSim *f = kq_table_sim_new (seed, NODES, REGIONS, false);
  KqRand r = kq_rand (seed);
  double worst = 0;
  int failed = 0;
  fill_table (f);
  kq_store_fake_faults (f->store)->watches_silent = true;
  kq_table_sim_run (f, 70 * KQ_SEC);
  for (int i = 0; i < SILENT_TRIALS; i++)
    {
      KqTime asked = f->now;
      f->drop_table_messages = !pushes;
      uint64_t rev = change_one (f, &r);
      kq_table_sim_run (f, 100 * KQ_MS); /* the pushes are lost */
      f->drop_table_messages = false;
      if (rev == 0 || kq_table_sim_wait (f, rev, 100 * KQ_SEC) < 0)
        failed++;
      else if ((double)(f->now - asked) / KQ_SEC > worst)
        worst = (double)(f->now - asked) / KQ_SEC;
      kq_table_sim_run (f, (KqTime)kq_rand_below (&r, 5 * KQ_SEC));
    }
  /* A change that didn't reach all nodes fails the limit. */
  result (name, failed == 0 ? worst : 100, "s", LIMIT_S);
  if (failed > 0)
    printf ("%d changes failed in %s\n", failed, name);
  kq_table_sim_free (f);
}

static KqShardDigest
digest_of (uint32_t shard)
{
  KqShardDigest d = { .shard = shard, .epoch = 3, .workers = 64 };
  d.depot = kq_name (KQ_STR ("depot-12"));
  d.free = d.largest_free = d.largest_capacity = (KqSize){ 640000, 2500000, 90 };
  d.queued_jobs = 70;
  d.running_tasks = 1030;
  d.services = kq_alloc (SERVICES * sizeof *d.services);
  d.n_services = SERVICES;
  for (int i = 0; i < SERVICES; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "service-%d", i);
      d.services[i] = (KqServiceDigest){ .slots = 512, .busy = 300, .queued = 20 };
      d.services[i].service = kq_name (kq_str (name));
      d.services[i].work_us = 4000000;
      d.services[i].p50_us = 90000;
    }
  d.teams = kq_alloc (TEAMS * sizeof *d.teams);
  d.n_teams = TEAMS;
  for (int i = 0; i < TEAMS; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "team-%d", i);
      d.teams[i].team = kq_name (kq_str (name));
      d.teams[i].used = d.teams[i].queued = (KqSize){ 64000, 250000, 2 };
    }
  return d;
}

/* Heartbeats, their bundles between regions and node leases, with full digests of 64
 * shards. */
static void
bench_member (uint64_t seed)
{
  size_t memory = mallinfo2 ().uordblks;
  KqTableSim *f = kq_table_sim_new (seed, NODES, REGIONS, true);
  KqShardDigest *d = kq_alloc (SHARDS * sizeof *d);
  const int64_t seconds = 300;
  for (int i = 0; i < SHARDS; i++)
    {
      d[i] = digest_of ((uint32_t)i);
      f->nodes[i].digest = &d[i];
      f->nodes[i].n_digest = 1;
    }
  kq_table_sim_run (f, 60 * KQ_SEC);
  clear_counts (f);
  clock_t cpu = clock ();
  kq_table_sim_run (f, seconds * KQ_SEC);
  cpu = clock () - cpu;
  memory = mallinfo2 ().uordblks - memory;
  Counts c = count (f);
  double s = (double)seconds;
  result ("member_store_calls_rate", c.calls / s, "calls/s", 0);
  result ("member_bytes_worst_node", c.worst_node / s, "B/s", LIMIT_NODE_BYTES_PER_S);
  result ("member_bytes_mean_node", c.all / s / NODES, "B/s", LIMIT_NODE_BYTES_PER_S);
  result ("member_link_bytes_rate", c.link / s, "B/s", 0);
  /* Both include the simulation's own cost (packing and copying in place of sockets). */
  result ("member_cpu_node", 100.0 * (double)cpu / CLOCKS_PER_SEC / s / NODES, "%", 1.9);
  result ("member_memory_node", (double)memory / NODES / 1e6, "MB", 128);
  kq_table_sim_free (f);
  for (int i = 0; i < SHARDS; i++)
    {
      free (d[i].services);
      free (d[i].teams);
    }
  free (d);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  kq_log_set_level (KQ_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  bench_member (seed);
  bench_silent (seed, true, "table_silent_watch_max");
  bench_silent (seed, false, "table_silent_watch_no_push_max");
  bench_day (seed);
  return 0;
}
