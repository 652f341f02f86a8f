#include "../bench/soak.h"

#include "base/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define SEEDS 6
#define STEPS 60000

/* Short randomised runs of five nodes under faults. Every later owner of a shard must
 * have each number that was acknowledged to a client, and none that the client withdrew.
 * Long runs: make soak. */
static void
test_short_runs (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      KqSoak r = kq_soak (seed, STEPS);
      assert_string_equal (r.violation, "");
      assert_true (r.faults > 0 && r.acked > 1000);
    }
}

/* A run is reproducible from its seed, so that a failure can be replayed. */
static void
test_same_seed_same_trace (void **state)
{
  (void)state;
  KqSoak a = kq_soak (7, STEPS);
  KqSoak b = kq_soak (7, STEPS);
  KqSoak c = kq_soak (8, STEPS);
  assert_true (a.trace == b.trace);
  assert_true (a.trace != c.trace);
}

/* The store is unavailable for longer than a lease while the nodes reach each other. Each
 * shard keeps its owner, so that workers' leases are renewed and running tasks aren't
 * stopped, although nothing can be committed. */
static void
test_outage_keeps_owners (void **state)
{
  KqFleetSim *f = kq_fleet_sim_new (3);
  int before[KQ_FLEET_SHARDS];
  (void)state;
  kq_fleet_sim_run (f, 20 * KQ_SEC);
  assert_true (kq_fleet_sim_settled (f));
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    before[s] = kq_fleet_sim_owner (f, s);
  kq_fleet_sim_inject_fault (f, KQ_FAULT_STORE_DOWN, 0);
  for (int i = 0; i < 40; i++)
    {
      kq_fleet_sim_run (f, KQ_SEC);
      for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
        assert_int_equal (kq_fleet_sim_owner (f, s), before[s]);
    }
  kq_fleet_sim_heal (f);
  kq_fleet_sim_run (f, 40 * KQ_SEC);
  assert_true (kq_fleet_sim_settled (f));
  kq_fleet_sim_compare (f);
  assert_null (kq_fleet_sim_violation (f));
  kq_fleet_sim_free (f);
}

/* One node can't reach the store but hears its peers, which can. It must give up its
 * shards when its lease expires, and others take them over. */
static void
test_cut_off_node_stops (void **state)
{
  KqFleetSim *f = kq_fleet_sim_new (4);
  (void)state;
  kq_fleet_sim_run (f, 20 * KQ_SEC);
  int node = kq_fleet_sim_owner (f, 0);
  kq_fleet_sim_inject_fault (f, KQ_FAULT_STORE_CUT, node);
  kq_fleet_sim_run (f, 20 * KQ_SEC);
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    {
      assert_int_not_equal (kq_fleet_sim_owner (f, s), node);
      assert_true (kq_fleet_sim_owner (f, s) >= 0);
    }
  assert_null (kq_fleet_sim_violation (f));
  kq_fleet_sim_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_short_runs),
    cmocka_unit_test (test_same_seed_same_trace),
    cmocka_unit_test (test_outage_keeps_owners),
    cmocka_unit_test (test_cut_off_node_stops),
  };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
