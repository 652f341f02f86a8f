#include "base/log.h"
#include "bench/sched_soak.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Seeds of the random test that break, by their cause. Mended ones move to
 * sched_random_test. */

static void
expect_sound (const uint64_t *seeds, size_t n)
{
  int broken = 0;
  kq_log_set_level (KQ_LOG_ERROR);
  for (size_t i = 0; i < n; i++)
    {
      char why[200];
      if (kq_sched_soak (seeds[i], 300, why, sizeof why) == 0)
        continue;
      print_error ("seed %llu: %s\n", (unsigned long long)seeds[i], why);
      broken++;
    }
  assert_int_equal (broken, 0);
}

/* Guards against a lease that is renewed while the leader counts it as over. */
static void
test_lease_race (void **state)
{
  static const uint64_t seeds[] = { 1461, 6079, 6975, 7799, 7989, 8127 };
  (void)state;
  expect_sound (seeds, sizeof seeds / sizeof seeds[0]);
}

/* Guards against a list or an outcome of an agent's earlier time with the runner. */
static void
test_words_of_an_earlier_taking (void **state)
{
  static const uint64_t seeds[] = { 3629, 7254, 7900, 9310 };
  (void)state;
  expect_sound (seeds, sizeof seeds / sizeof seeds[0]);
}

/* Guards against a start whose lease's end is of the runner's earlier life. */
static void
test_lease_end_of_an_earlier_life (void **state)
{
  static const uint64_t seeds[] = { 125, 858, 1130, 1226, 8873 };
  (void)state;
  expect_sound (seeds, sizeof seeds / sizeof seeds[0]);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_lease_race),
          cmocka_unit_test (test_words_of_an_earlier_taking),
          cmocka_unit_test (test_lease_end_of_an_earlier_life) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
