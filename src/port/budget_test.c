#include "port/budget.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static int
take_all (KqBudget *b, bool urgent, KqTime now)
{
  int n = 0;
  while (kq_budget_take (b, urgent, now))
    n++;
  return n;
}

/* A burst of normal calls takes all tokens except the reserve. Lease renewals after it
 * still get a token at once; otherwise leases would expire because of the node's own
 * load. */
static void
test_burst_leaves_the_reserve (void **state)
{
  KqBudget b;
  (void)state;
  kq_budget_init (&b, 100, 100, 25, 0);
  assert_int_equal (kq_budget_available (&b, false, 0), 75);
  assert_int_equal (take_all (&b, false, 0), 75);
  assert_int_equal (take_all (&b, true, 0), 25);
  assert_int_equal (kq_budget_available (&b, true, 0), 0);
}

/* Under a long overload the calls admitted are exactly the rate, and the time of the next
 * token is right to the microsecond. */
static void
test_rate_under_overload (void **state)
{
  KqBudget b;
  int n = 0;
  (void)state;
  kq_budget_init (&b, 100, 10, 4, 0);
  take_all (&b, false, 0);
  for (KqTime now = 0; now < 60 * KQ_SEC;)
    {
      KqTime next = kq_budget_next_time (&b, false, now);
      assert_true (next > now);
      assert_false (kq_budget_take (&b, false, next - 1));
      now = next;
      assert_true (kq_budget_take (&b, false, now));
      n++;
    }
  assert_int_equal (n, 6000);
}

/* After a pause of years the bucket is full and its level hasn't overflowed; without
 * progress of the clock, or with an earlier `now`, no token is added. */
static void
test_long_pause_and_no_time (void **state)
{
  KqBudget b;
  (void)state;
  kq_budget_init (&b, 500, 500, 0, 5 * KQ_SEC);
  assert_int_equal (take_all (&b, true, 5 * KQ_SEC), 500);
  assert_int_equal (take_all (&b, true, 4 * KQ_SEC), 0);
  assert_int_equal (take_all (&b, true, KQ_TIME_NEVER / 2), 500);
  assert_int_equal (kq_budget_next_time (&b, true, KQ_TIME_NEVER / 2),
                    KQ_TIME_NEVER / 2 + 2 * KQ_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst_leaves_the_reserve),
    cmocka_unit_test (test_rate_under_overload),
    cmocka_unit_test (test_long_pause_and_no_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
