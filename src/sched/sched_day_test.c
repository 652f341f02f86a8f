#include "base/log.h"
#include "bench/sched_day.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define SEEDS_FROM 1
#define SEEDS 60
#define ROUNDS 4

/* Guards against work that waits beside free room after faults, which no invariant of
 * sched_random_test shows. */
static void
test_nothing_waits_beside_free_room (void **state)
{
  int broken = 0;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  for (uint64_t seed = SEEDS_FROM; seed < SEEDS_FROM + SEEDS; seed++)
    {
      char why[200];
      if (kq_sched_day (seed, ROUNDS, 0, why, sizeof why) == 0)
        continue;
      print_error ("seed %llu: %s\n", (unsigned long long)seed, why);
      broken++;
    }
  assert_int_equal (broken, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_nothing_waits_beside_free_room) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
