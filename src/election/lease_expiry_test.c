#include "election/lease_expiry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define LENGTH (1500 * KQ_MS)
#define LAPSED_AT (100 * KQ_SEC)

static KqLeaseExpiry
lapsed (void)
{
  return (KqLeaseExpiry){ .valid_until = LAPSED_AT, .length = LENGTH, .peers = 5 };
}

static KqLeaseExpiryAction
next (KqLeaseExpiry *d, KqTime after)
{
  const char *why = NULL;
  return kq_lease_expiry_action (d, LAPSED_AT + after, &why);
}

/* Scheduling stops during an outage of the store, though no other node can be elected. */
static void
test_work_goes_on_while_nobody_reaches_the_store (void **state)
{
  KqLeaseExpiry d = lapsed ();
  (void)state;
  assert_int_equal (next (&d, -KQ_MS), KQ_LEASE_EXPIRY_NONE);
  assert_int_equal (next (&d, KQ_MS), KQ_LEASE_EXPIRY_CONTINUE);
  assert_int_equal (next (&d, 8 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
  assert_int_equal (next (&d, 10 * KQ_SEC), KQ_LEASE_EXPIRY_RESIGN);
}

/* The leader changes with each outage of the store: another node gets an answer before
 * the leader's next renewal. */
static void
test_leader_renews_before_it_resigns (void **state)
{
  KqLeaseExpiry d = lapsed ();
  (void)state;
  assert_int_equal (next (&d, 2 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
  d.peer_reached_store_at = LAPSED_AT + 2100 * KQ_MS;
  assert_int_equal (next (&d, 2200 * KQ_MS), KQ_LEASE_EXPIRY_RENEW);
  assert_int_equal (next (&d, 2400 * KQ_MS), KQ_LEASE_EXPIRY_CONTINUE);
  d.valid_until = LAPSED_AT + 2210 * KQ_MS + LENGTH; /* renewed */
  assert_int_equal (next (&d, 2600 * KQ_MS), KQ_LEASE_EXPIRY_NONE);
  assert_int_equal (next (&d, 4 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
}

/* Two leaders: only the leader is cut off from the store, and doesn't resign. */
static void
test_leader_without_an_answer_resigns (void **state)
{
  KqLeaseExpiry d = lapsed ();
  const char *why = NULL;
  (void)state;
  d.peer_reached_store_at = LAPSED_AT;
  assert_int_equal (next (&d, KQ_MS), KQ_LEASE_EXPIRY_RENEW);
  d.peer_reached_store_at = LAPSED_AT + 300 * KQ_MS;
  assert_int_equal (kq_lease_expiry_action (&d, LAPSED_AT + 302 * KQ_MS, &why),
                    KQ_LEASE_EXPIRY_RESIGN);
  assert_string_equal (why, "not renewed while other nodes reach the store");
}

static void
test_leader_without_peers_resigns (void **state)
{
  KqLeaseExpiry d = lapsed ();
  (void)state;
  d.peers = 0;
  assert_int_equal (next (&d, KQ_MS), KQ_LEASE_EXPIRY_RESIGN);
}

/* A leader resigns by an outdated report of another node that it reaches the store. */
static void
test_outdated_reports_dont_count (void **state)
{
  KqLeaseExpiry d = lapsed ();
  (void)state;
  d.peer_reached_store_at = LAPSED_AT - LENGTH;
  assert_int_equal (next (&d, KQ_MS), KQ_LEASE_EXPIRY_CONTINUE);
  d.peer_reached_store_at = LAPSED_AT;
  assert_int_equal (next (&d, 3 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_work_goes_on_while_nobody_reaches_the_store),
    cmocka_unit_test (test_leader_renews_before_it_resigns),
    cmocka_unit_test (test_leader_without_an_answer_resigns),
    cmocka_unit_test (test_leader_without_peers_resigns),
    cmocka_unit_test (test_outdated_reports_dont_count),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
