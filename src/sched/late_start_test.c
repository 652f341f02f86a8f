#include "base/log.h"
#include "bench/sched_soak.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Guards against a task that runs twice: a start arrives after a restart of its runner,
 * whose new clock allows the run a whole lease from then on. */
static void
test_start_with_the_lease_from_before_a_restart (void **state)
{
  static const uint64_t seeds[] = { 20319, 22775, 36905, 41359, 41997, 68132, 4287 };
  int broken = 0;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  for (size_t i = 0; i < sizeof seeds / sizeof seeds[0]; i++)
    {
      char why[200];
      if (kq_sched_soak (seeds[i], 300, 0, why, sizeof why) == 0)
        continue;
      print_error ("seed %llu: %s\n", (unsigned long long)seeds[i], why);
      broken++;
    }
  assert_int_equal (broken, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_start_with_the_lease_from_before_a_restart) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
