#include "election/lease_expiry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define LENGTH (1500 * KQ_MS)
#define EXPIRED_AT (100 * KQ_SEC)

static KqLeaseExpiry
expired (void)
{
  return (KqLeaseExpiry){ .valid_until = EXPIRED_AT, .length = LENGTH, .peers = 5 };
}

static KqLeaseExpiryAction
next (KqLeaseExpiry *e, KqTime after)
{
  const char *why = NULL;
  return kq_lease_expiry_action (e, EXPIRED_AT + after, &why);
}

/* Guards against scheduling that stops during an outage of the store, though no other
 * node can be elected. */
static void
test_work_goes_on_while_nobody_reaches_the_store (void **state)
{
  KqLeaseExpiry e = expired ();
  (void)state;
  assert_int_equal (next (&e, -KQ_MS), KQ_LEASE_EXPIRY_NONE);
  assert_int_equal (next (&e, KQ_MS), KQ_LEASE_EXPIRY_CONTINUE);
  assert_int_equal (next (&e, 8 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
  assert_int_equal (next (&e, 10 * KQ_SEC), KQ_LEASE_EXPIRY_RESIGN);
}

/* Guards against a change of leader with each outage of the store: another node gets an
 * answer before the leader's next renewal. */
static void
test_leader_renews_before_it_resigns (void **state)
{
  KqLeaseExpiry e = expired ();
  (void)state;
  assert_int_equal (next (&e, 2 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
  e.peer_reached_store_at = EXPIRED_AT + 2100 * KQ_MS;
  assert_int_equal (next (&e, 2200 * KQ_MS), KQ_LEASE_EXPIRY_RENEW);
  assert_int_equal (next (&e, 2400 * KQ_MS), KQ_LEASE_EXPIRY_CONTINUE);
  e.valid_until = EXPIRED_AT + 2210 * KQ_MS + LENGTH; /* renewed */
  assert_int_equal (next (&e, 2600 * KQ_MS), KQ_LEASE_EXPIRY_NONE);
  assert_int_equal (next (&e, 4 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
}

/* Guards against two leaders: only the leader is cut off from the store, and doesn't
 * resign. */
static void
test_leader_without_an_answer_resigns (void **state)
{
  KqLeaseExpiry e = expired ();
  const char *why = NULL;
  (void)state;
  e.peer_reached_store_at = EXPIRED_AT;
  assert_int_equal (next (&e, KQ_MS), KQ_LEASE_EXPIRY_RENEW);
  e.peer_reached_store_at = EXPIRED_AT + 300 * KQ_MS;
  assert_int_equal (kq_lease_expiry_action (&e, EXPIRED_AT + 302 * KQ_MS, &why),
                    KQ_LEASE_EXPIRY_RESIGN);
  assert_string_equal (why, "not renewed while other nodes reach the store");
}

static void
test_leader_without_peers_resigns (void **state)
{
  KqLeaseExpiry e = expired ();
  (void)state;
  e.peers = 0;
  assert_int_equal (next (&e, KQ_MS), KQ_LEASE_EXPIRY_RESIGN);
}

/* Guards against a leader that resigns by an outdated report of another node that it
 * reaches the store. */
static void
test_outdated_reports_dont_count (void **state)
{
  KqLeaseExpiry e = expired ();
  (void)state;
  e.peer_reached_store_at = EXPIRED_AT - LENGTH;
  assert_int_equal (next (&e, KQ_MS), KQ_LEASE_EXPIRY_CONTINUE);
  e.peer_reached_store_at = EXPIRED_AT;
  assert_int_equal (next (&e, 3 * KQ_SEC), KQ_LEASE_EXPIRY_CONTINUE);
}

/* Guards against a second without a leader: the store refuses the leader only, which
 * waits for the end of its lease. A store that refuses or leaves out everybody is no
 * reason to resign, and neither is one refusal. */
static void
test_refused_leader_resigns_before_its_lease_ends (void **state)
{
  KqLeaseExpiry e = expired ();
  KqTime refused = -1200 * KQ_MS;
  (void)state;
  e.refused_since = EXPIRED_AT + refused;
  e.peer_reached_store_at = e.refused_since - KQ_MS;
  assert_int_equal (next (&e, refused + 310 * KQ_MS), KQ_LEASE_EXPIRY_NONE);
  e.peer_reached_store_at = e.refused_since + 100 * KQ_MS;
  assert_int_equal (next (&e, refused + 200 * KQ_MS), KQ_LEASE_EXPIRY_NONE);
  assert_int_equal (next (&e, refused + 310 * KQ_MS), KQ_LEASE_EXPIRY_RESIGN);
  assert_int_equal (next (&e, refused + 600 * KQ_MS), KQ_LEASE_EXPIRY_NONE);
  e.refused_since = 0;
  assert_int_equal (next (&e, refused + 310 * KQ_MS), KQ_LEASE_EXPIRY_NONE);
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
    cmocka_unit_test (test_refused_leader_resigns_before_its_lease_ends),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
