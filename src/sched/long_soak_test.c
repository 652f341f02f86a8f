#include "base/log.h"
#include "bench/sched_soak.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Guards against jobs that never end, or that wait although room is free. With these
 * seeds the soak leaves more work at its end than the runners complete in a minute. */
static void
test_work_left_after_long_runs_ends (void **state)
{
  static const struct
  {
    uint64_t seed;
    int steps;
  } runs[]
      = { { 77500696, 600 }, { 77501376, 600 }, { 77501536, 600 }, { 88000472, 1200 } };
  int broken = 0;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    {
      char why[200];
      if (kq_sched_soak (runs[i].seed, runs[i].steps, 0, why, sizeof why) == 0)
        continue;
      print_error ("seed %llu: %s\n", (unsigned long long)runs[i].seed, why);
      broken++;
    }
  assert_int_equal (broken, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_work_left_after_long_runs_ends) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
