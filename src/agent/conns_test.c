#include "agent/conns.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* One connection is verified, and a poll that waits at the runner occupies it. */
static KqConns
one_verified (void)
{
  KqConns c = { 0 };
  int in_use = kq_conns_call_began (&c);
  kq_conns_call_ended (&c, KQ_CONN_KEPT);
  kq_conns_verified (&c, in_use, 100);
  kq_conns_call_began (&c);
  return c;
}

/* Guards against a task that runs twice: a start is sent before the runner has answered
 * any call, so that no connection is known to lead to the process that the leader has a
 * list of. */
static void
test_no_start_before_an_answer (void **state)
{
  KqConns c = { 0 };
  (void)state;
  assert_false (kq_conns_start_allowed (&c));
  kq_conns_call_began (&c);
  assert_false (kq_conns_start_allowed (&c));
}

/* Guards against starts that stay queued although connections could be verified: each
 * start occupies one, each verification adds one. */
static void
test_each_verification_adds_a_connection (void **state)
{
  KqConns c = one_verified ();
  (void)state;
  for (int i = 0; i < 4; i++)
    {
      int in_use;
      assert_false (kq_conns_start_allowed (&c));
      in_use = kq_conns_call_began (&c);
      kq_conns_call_ended (&c, KQ_CONN_KEPT);
      kq_conns_verified (&c, in_use, 200 + i);
      assert_true (kq_conns_start_allowed (&c));
      kq_conns_call_began (&c);
    }
  assert_int_equal (c.verified, 5);
  for (int i = 0; i < 4; i++)
    kq_conns_call_ended (&c, KQ_CONN_KEPT);
  assert_true (kq_conns_start_allowed (&c));
}

/* Guards against a task that runs twice: a closed connection still counts as verified,
 * and a start opens a new one to a restarted runner. */
static void
test_lost_connections_dont_count (void **state)
{
  KqConns c = one_verified ();
  int in_use = kq_conns_call_began (&c);
  (void)state;
  kq_conns_call_ended (&c, KQ_CONN_KEPT);
  kq_conns_verified (&c, in_use, 200);
  assert_true (kq_conns_start_allowed (&c));
  kq_conns_call_began (&c);
  kq_conns_call_ended (&c, KQ_CONN_CLOSED);
  assert_false (kq_conns_start_allowed (&c));
}

static void
test_unsent_call_shows_that_no_connection_is_left (void **state)
{
  KqConns c = one_verified ();
  (void)state;
  kq_conns_verified (&c, 4, 200);
  kq_conns_call_began (&c);
  kq_conns_call_ended (&c, KQ_CONN_UNSENT);
  assert_false (kq_conns_start_allowed (&c));
  assert_int_equal (c.verified, 1);
}

/* Guards against a task that runs twice: a connection verified before the runner's
 * restart still counts. */
static void
test_restart_clears_verified_connections (void **state)
{
  KqConns c = one_verified ();
  (void)state;
  kq_conns_verified (&c, 3, 200);
  assert_true (kq_conns_start_allowed (&c));
  kq_conns_runner_restarted (&c);
  assert_false (kq_conns_start_allowed (&c));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_no_start_before_an_answer),
          cmocka_unit_test (test_each_verification_adds_a_connection),
          cmocka_unit_test (test_lost_connections_dont_count),
          cmocka_unit_test (test_unsent_call_shows_that_no_connection_is_left),
          cmocka_unit_test (test_restart_clears_verified_connections) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
