#include "election/handover.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static const KqTime now = 100 * KQ_SEC;

/* Guards against a fleet in which no task starts for seconds after a power failure, and
 * running tasks lose their leases: the first node to reach the store is a weak one and
 * stays leader although a strong node that reaches the store has joined. */
static void
test_weak_leader_hands_over (void **state)
{
  KqHandover h = { .own_milli = 120,
                   .other_milli = 500,
                   .other_reached_store_at = now - 100 * KQ_MS };
  (void)state;
  assert_true (kq_handover_due (&h, now));
}

static void
test_equal_nodes_keep_their_leader (void **state)
{
  KqHandover h = { .own_milli = 250, .other_milli = 250, .other_reached_store_at = now };
  (void)state;
  assert_false (kq_handover_due (&h, now));
  h.other_milli = 120;
  assert_false (kq_handover_due (&h, now));
}

/* Guards against a leader that hands over to a strong node that is cut off from the store
 * and can't be elected, so that there is no leader for a while. */
static void
test_stronger_node_without_the_store (void **state)
{
  KqHandover h = { .own_milli = 120, .other_milli = 500 };
  (void)state;
  assert_false (kq_handover_due (&h, now));
  h.other_reached_store_at = now - 3 * KQ_SEC;
  assert_false (kq_handover_due (&h, now));
}

/* Guards against a weak leader that resigns again and again for a strong node that isn't
 * elected. */
static void
test_not_twice_in_a_row (void **state)
{
  KqHandover h = { 120, 500, now, now - 2 * KQ_SEC };
  (void)state;
  assert_false (kq_handover_due (&h, now));
  h.handed_over_at = now - 60 * KQ_SEC;
  assert_true (kq_handover_due (&h, now));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_weak_leader_hands_over),
          cmocka_unit_test (test_equal_nodes_keep_their_leader),
          cmocka_unit_test (test_stronger_node_without_the_store),
          cmocka_unit_test (test_not_twice_in_a_row) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
