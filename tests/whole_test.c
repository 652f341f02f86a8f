#include "../bench/whole.h"

#include "base/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define SEEDS 12
#define STEPS 40000

/* Simulated runs of whole node cores under combinations of all faults: no job runs in two
 * places at once, no idempotency key runs twice, no table revision goes back, and at the
 * end every acknowledged job is known and has ended. */
static void
test_seeded_runs (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      KqWholeResult r = kq_whole_run (seed, STEPS);
      if (r.violation[0] != '\0')
        print_error ("seed %llu: %s\n", (unsigned long long)seed, r.violation);
      assert_string_equal (r.violation, "");
      assert_true (r.jobs_acked > 100);
      assert_true (r.claims_granted > 20);
      assert_true (r.faults > 5);
    }
}

/* A run is reproducible from its seed, so that a failure can be replayed. */
static void
test_a_seed_replays (void **state)
{
  KqWholeResult a = kq_whole_run (77, STEPS);
  KqWholeResult b = kq_whole_run (77, STEPS);
  KqWholeResult c = kq_whole_run (78, STEPS);
  (void)state;
  assert_true (a.trace == b.trace);
  assert_true (a.trace != c.trace);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_seeded_runs),
    cmocka_unit_test (test_a_seed_replays),
  };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
