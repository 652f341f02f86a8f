#include "fleet/reach.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define START (100 * KQ_SEC)

/* Guards against refusing clients although the store answers: calls sent before its last
 * answer fail late. */
static void
test_old_failed_calls_do_not_outweigh_an_answer (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_answered (&r, START);
  for (int i = 1; i <= 5; i++)
    kq_reach_failed (&r, START - i * 100 * KQ_MS);
  assert_true (kq_reach_up (&r, START + 100 * KQ_MS));
}

/* Guards against every client waiting for a timeout of an unreachable store. */
static void
test_later_failed_calls_count (void **state)
{
  KqReach r = { 0 };
  (void)state;
  assert_false (kq_reach_up (&r, START));
  kq_reach_answered (&r, START);
  kq_reach_failed (&r, START);
  kq_reach_failed (&r, START + 1);
  assert_true (kq_reach_up (&r, START + KQ_SEC));
  kq_reach_failed (&r, START + 2);
  assert_false (kq_reach_up (&r, START + KQ_SEC));
  kq_reach_answered (&r, START + KQ_SEC);
  assert_true (kq_reach_up (&r, START + KQ_SEC));
}

/* Guards against an outage that goes undetected while all calls hang: they fail only at
 * their timeout. */
static void
test_silence_counts_as_outage (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_answered (&r, START);
  assert_true (kq_reach_up (&r, START + 2 * KQ_SEC));
  assert_false (kq_reach_up (&r, START + 3 * KQ_SEC));
}

/* Guards against a late detection of an outage. Most nodes rarely call the store: without
 * the leader's reports they notice an outage only when a client's write times out, and
 * reply that its outcome is unknown. */
static void
test_leader_without_answers_makes_the_store_suspect (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_answered (&r, START);
  kq_reach_leader_answered (&r, START + KQ_SEC);
  assert_int_equal (kq_reach_state (&r, START + 1600 * KQ_MS), KQ_REACH_UP);
  assert_int_equal (kq_reach_state (&r, START + 1800 * KQ_MS), KQ_REACH_SUSPECT);
  kq_reach_answered (&r, START + 1700 * KQ_MS);
  assert_int_equal (kq_reach_state (&r, START + 1800 * KQ_MS), KQ_REACH_UP);
}

/* Guards against a node that writes although it alone is cut off from the store, because
 * the leader gets answers. */
static void
test_leader_with_answers_does_not_outweigh_failed_calls (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_answered (&r, START);
  kq_reach_leader_answered (&r, START + 2900 * KQ_MS);
  assert_int_equal (kq_reach_state (&r, START + 3 * KQ_SEC), KQ_REACH_DOWN);
}

/* Guards against refusing clients at a node that alone is cut off from the store, though
 * the leader could write their jobs. */
static void
test_leader_reaches_a_store_that_is_down (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_answered (&r, START);
  assert_int_equal (kq_reach_state (&r, START + 3 * KQ_SEC), KQ_REACH_DOWN);
  assert_false (kq_reach_up_at_leader (&r, START + 3 * KQ_SEC));
  kq_reach_leader_answered (&r, START + 2900 * KQ_MS);
  assert_true (kq_reach_up_at_leader (&r, START + 3 * KQ_SEC));
  assert_false (kq_reach_up_at_leader (&r, START + 4 * KQ_SEC));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_old_failed_calls_do_not_outweigh_an_answer),
          cmocka_unit_test (test_later_failed_calls_count),
          cmocka_unit_test (test_silence_counts_as_outage),
          cmocka_unit_test (test_leader_without_answers_makes_the_store_suspect),
          cmocka_unit_test (test_leader_with_answers_does_not_outweigh_failed_calls),
          cmocka_unit_test (test_leader_reaches_a_store_that_is_down) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
