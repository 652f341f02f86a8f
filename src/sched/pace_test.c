#include "sched/pace.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Users of a serving task wait too long for seconds on end, though everything beside it
 * was to stand still. Filling tasks had been slowed to 12% before; from there to 0 is a
 * small step, and small steps were saved as not worth a call. Standing still always is.
 */
static void
test_standing_still_is_always_ordered (void **state)
{
  (void)state;
  for (int ordered = 1; ordered <= 100; ordered++)
    assert_true (kq_pace_worth_a_call (ordered, 0));
  assert_false (kq_pace_worth_a_call (0, 0));
}

static void
test_small_steps_are_saved (void **state)
{
  (void)state;
  assert_false (kq_pace_worth_a_call (50, 50));
  assert_false (kq_pace_worth_a_call (50, 58));
  assert_false (kq_pace_worth_a_call (50, 42));
  assert_true (kq_pace_worth_a_call (50, 75));
  assert_true (kq_pace_worth_a_call (50, 20));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_standing_still_is_always_ordered),
          cmocka_unit_test (test_small_steps_are_saved) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
