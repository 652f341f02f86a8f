#include "sched/pace.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Pace 0 must always be ordered. Filling tasks at 12% beside a serving task over its
 * target were left at 12%, as the change to 0 counted as too small for an order. */
static void
test_pace_zero_is_always_ordered (void **state)
{
  (void)state;
  for (int ordered = 1; ordered <= 100; ordered++)
    assert_true (kq_pace_worth_order (ordered, 0));
  assert_false (kq_pace_worth_order (0, 0));
}

static void
test_small_changes_are_not_ordered (void **state)
{
  (void)state;
  assert_false (kq_pace_worth_order (50, 50));
  assert_false (kq_pace_worth_order (50, 58));
  assert_false (kq_pace_worth_order (50, 42));
  assert_true (kq_pace_worth_order (50, 75));
  assert_true (kq_pace_worth_order (50, 20));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_pace_zero_is_always_ordered),
          cmocka_unit_test (test_small_changes_are_not_ordered) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
