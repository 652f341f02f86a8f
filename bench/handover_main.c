/* handover: measures how long a shard has no owner with an open journal, after a planned
 * stop of its owner and after a crash. Simulated time; five nodes, eight shards. */

#include "base/log.h"
#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>

#define RUNS 40
#define NODE 1
#define SETTLE_TIME (20 * KQ_SEC)
/* Added per run, so that the runs cover all phases of lease renewal. */
#define PHASE_STEP (97 * KQ_MS)
#define WATCH_TIME (30 * KQ_SEC)
#define GAPS_MAX (RUNS * KQ_FLEET_SHARDS)
/* A planned handover should take well under a second. A takeover after a crash waits for
 * the lease of 10 s to expire and has a margin for itself. */
#define LIMIT_PLANNED_MS 1000
#define LIMIT_CRASH_MS 12000

typedef struct
{
  KqTime gaps[GAPS_MAX];
  size_t n;
} Gaps;

static int
compare_times (const void *a, const void *b)
{
  KqTime x = *(const KqTime *)a;
  KqTime y = *(const KqTime *)b;
  return x < y ? -1 : x > y;
}

/* Runs the fleet and adds to `g` each time span in which a shard had no owner. */
static void
watch (KqFleetSim *f, Gaps *g)
{
  KqTime since[KQ_FLEET_SHARDS] = { 0 };
  KqTime end = kq_fleet_sim_now (f) + WATCH_TIME;
  while (kq_fleet_sim_now (f) < end)
    {
      kq_fleet_sim_step (f);
      for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
        if (kq_fleet_sim_owner (f, s) < 0 && since[s] == 0)
          since[s] = kq_fleet_sim_now (f);
        else if (kq_fleet_sim_owner (f, s) >= 0 && since[s] != 0)
          {
            if (g->n < GAPS_MAX)
              g->gaps[g->n++] = kq_fleet_sim_now (f) - since[s];
            since[s] = 0;
          }
    }
}

static void
report (const char *name, Gaps *g, double limit)
{
  qsort (g->gaps, g->n, sizeof g->gaps[0], compare_times);
  double max = g->n > 0 ? (double)g->gaps[g->n - 1] / (double)KQ_MS : 0;
  size_t middle = g->n / 2;
  double median = g->n > 0 ? (double)g->gaps[middle] / (double)KQ_MS : 0;
  printf ("%s: %zu shards, median %.0f ms\n", name, g->n, median);
  printf ("RESULT %s_max %.0f ms %.0f %s\n", name, max, limit,
          max <= limit && g->n > 0 ? "ok" : "short");
}

int
main (int argc, char **argv)
{
  static Gaps planned;
  static Gaps crash;
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  kq_log_set_level (KQ_LOG_ERROR);
  for (int i = 0; i < RUNS; i++)
    {
      KqFleetSim *f = kq_fleet_sim_new (seed * RUNS + (uint64_t)i);
      kq_fleet_sim_run (f, SETTLE_TIME + i * PHASE_STEP);
      kq_fleet_sim_drain (f, NODE);
      watch (f, &planned);
      kq_fleet_sim_free (f);
      f = kq_fleet_sim_new (seed * RUNS + (uint64_t)i);
      kq_fleet_sim_run (f, SETTLE_TIME + i * PHASE_STEP);
      kq_fleet_sim_kill (f, NODE);
      watch (f, &crash);
      kq_fleet_sim_free (f);
    }
  report ("handover_planned", &planned, LIMIT_PLANNED_MS);
  report ("takeover_after_death", &crash, LIMIT_CRASH_MS);
  return 0;
}
