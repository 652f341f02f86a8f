#include "fleet/leader_lease.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define NOW (100 * KQ_SEC)
#define LENGTH (1500 * KQ_MS)
#define OWN_MILLI 250
#define STRONG_MILLI 1000

static KqLeaderLease
elected (void)
{
  KqLeaderLease l;
  kq_leader_lease_init (&l, OWN_MILLI);
  kq_leader_lease_elected (&l, LENGTH);
  return l;
}

/* Checks a lease that is good for another second. */
static KqLeaseExpiryAction
check_good_lease (KqLeaderLease *l, KqTime now, const char **why)
{
  return kq_leader_lease_check (l, now + KQ_SEC, 0, 2, now, why);
}

/* Guards against a weak leader that stays although a stronger node reaches the store, and
 * against one that resigns at each check until the stronger node has won. */
static void
test_stronger_node_makes_the_leader_resign_once (void **state)
{
  KqLeaderLease l = elected ();
  const char *why = NULL;
  (void)state;
  assert_int_equal (check_good_lease (&l, NOW, &why), KQ_LEASE_EXPIRY_NONE);
  kq_leader_lease_heartbeat (&l, STRONG_MILLI, 100, NOW);
  assert_int_equal (check_good_lease (&l, NOW, &why), KQ_LEASE_EXPIRY_RESIGN);
  assert_string_equal (why, "a stronger node can lead");
  assert_int_equal (check_good_lease (&l, NOW + 200 * KQ_MS, &why), KQ_LEASE_EXPIRY_NONE);
}

/* Guards against a handover to a node that hasn't reached the store, and so can't be
 * elected. */
static void
test_node_without_the_store_is_not_counted (void **state)
{
  KqLeaderLease l = elected ();
  const char *why = NULL;
  (void)state;
  kq_leader_lease_heartbeat (&l, STRONG_MILLI, -1, NOW);
  assert_int_equal (check_good_lease (&l, NOW, &why), KQ_LEASE_EXPIRY_NONE);
  assert_int_equal (l.expiry.peer_reached_store_at, 0);
}

/* Guards against heartbeats of an earlier leadership: the strong node that sent them may
 * be gone, and the leader would resign right after it was elected. */
static void
test_election_forgets_earlier_heartbeats (void **state)
{
  KqLeaderLease l = elected ();
  const char *why = NULL;
  (void)state;
  kq_leader_lease_heartbeat (&l, STRONG_MILLI, 100, NOW);
  kq_leader_lease_elected (&l, LENGTH);
  assert_int_equal (check_good_lease (&l, NOW, &why), KQ_LEASE_EXPIRY_NONE);
  assert_int_equal (l.expiry.peer_reached_store_at, 0);
}

/* Guards against a weaker node's heartbeat that hides the stronger node's. */
static void
test_strongest_node_counts (void **state)
{
  KqLeaderLease l = elected ();
  const char *why = NULL;
  (void)state;
  kq_leader_lease_heartbeat (&l, STRONG_MILLI, 100, NOW);
  kq_leader_lease_heartbeat (&l, OWN_MILLI, 50, NOW);
  assert_int_equal (check_good_lease (&l, NOW, &why), KQ_LEASE_EXPIRY_RESIGN);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_stronger_node_makes_the_leader_resign_once),
          cmocka_unit_test (test_node_without_the_store_is_not_counted),
          cmocka_unit_test (test_election_forgets_earlier_heartbeats),
          cmocka_unit_test (test_strongest_node_counts) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
