#include "fleet/reach.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define START (100 * KQ_SEC)

/* Clients are refused by a node that hears the store all the while. */
static void
test_old_calls_that_fail_do_not_outweigh_a_sign_of_life (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_alive (&r, START);
  for (int i = 1; i <= 5; i++)
    kq_reach_failed (&r, START - i * 100 * KQ_MS);
  assert_true (kq_reach_up (&r, START + 100 * KQ_MS));
}

/* Each client waits for a store that has gone away. */
static void
test_later_calls_that_fail_tell (void **state)
{
  KqReach r = { 0 };
  (void)state;
  assert_false (kq_reach_up (&r, START));
  kq_reach_alive (&r, START);
  kq_reach_failed (&r, START);
  kq_reach_failed (&r, START + 1);
  assert_true (kq_reach_up (&r, START + KQ_SEC));
  kq_reach_failed (&r, START + 2);
  assert_false (kq_reach_up (&r, START + KQ_SEC));
  kq_reach_alive (&r, START + KQ_SEC);
  assert_true (kq_reach_up (&r, START + KQ_SEC));
}

/* Calls that hang tell of an outage only when they end. */
static void
test_silence_tells (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_alive (&r, START);
  assert_true (kq_reach_up (&r, START + 2 * KQ_SEC));
  assert_false (kq_reach_up (&r, START + 3 * KQ_SEC));
}

/* The answer to a client is that its job may have been accepted: each node finds out by
 * itself, by a write, that the store is away. */
static void
test_leader_without_answers_raises_a_doubt (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_alive (&r, START);
  kq_reach_leader_alive (&r, START + KQ_SEC);
  assert_int_equal (kq_reach_state (&r, START + 1600 * KQ_MS), KQ_REACH_UP);
  assert_int_equal (kq_reach_state (&r, START + 1800 * KQ_MS), KQ_REACH_IN_DOUBT);
  kq_reach_alive (&r, START + 1700 * KQ_MS);
  assert_int_equal (kq_reach_state (&r, START + 1800 * KQ_MS), KQ_REACH_UP);
}

/* A node that is cut off from the store by itself takes jobs in, as the leader has
 * answers. */
static void
test_leader_with_answers_does_not_outweigh_failed_calls (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_alive (&r, START);
  kq_reach_leader_alive (&r, START + 2900 * KQ_MS);
  assert_int_equal (kq_reach_state (&r, START + 3 * KQ_SEC), KQ_REACH_AWAY);
}

/* Clients are refused by a node that the store turns away, and only that node. */
static void
test_leader_reaches_a_store_that_is_away (void **state)
{
  KqReach r = { 0 };
  (void)state;
  kq_reach_alive (&r, START);
  assert_int_equal (kq_reach_state (&r, START + 3 * KQ_SEC), KQ_REACH_AWAY);
  assert_false (kq_reach_by_leader (&r, START + 3 * KQ_SEC));
  kq_reach_leader_alive (&r, START + 2900 * KQ_MS);
  assert_true (kq_reach_by_leader (&r, START + 3 * KQ_SEC));
  assert_false (kq_reach_by_leader (&r, START + 4 * KQ_SEC));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_old_calls_that_fail_do_not_outweigh_a_sign_of_life),
          cmocka_unit_test (test_later_calls_that_fail_tell),
          cmocka_unit_test (test_silence_tells),
          cmocka_unit_test (test_leader_without_answers_raises_a_doubt),
          cmocka_unit_test (test_leader_with_answers_does_not_outweigh_failed_calls),
          cmocka_unit_test (test_leader_reaches_a_store_that_is_away) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
