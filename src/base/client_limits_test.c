#include "base/client_limits.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define MB ((size_t)1024 * 1024)
#define CLIENTS 8
#define FDS 212 /* six of them for clients */

static KqCounters *counters;
static KqClientLimits *limits;
static KqClientConn conns[CLIENTS];
static int closed[CLIENTS];

static void
on_close (void *arg)
{
  closed[(KqClientConn *)arg - conns]++;
}

static int
set_up (void **state)
{
  (void)state;
  KqClientLimitsConfig config
      = { .memory_mb = 96, .max_fds = FDS, .request_ms = 10000 }; /* 16 MB for clients */
  counters = kq_counters_new ();
  limits = kq_client_limits_new (&config, counters);
  for (int i = 0; i < CLIENTS; i++)
    {
      conns[i] = (KqClientConn){ .close = on_close, .arg = &conns[i] };
      closed[i] = 0;
    }
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  kq_client_limits_free (limits);
  kq_counters_free (counters);
  return 0;
}

static void
add (int i, size_t bytes, KqTime now)
{
  kq_client_limits_add (limits, &conns[i], bytes, now);
}

static int
count_closed (void)
{
  int n = 0;
  for (int i = 0; i < CLIENTS; i++)
    n += closed[i];
  return n;
}

/* Guards against a limit that closes the client that happens to exceed it. */
static void
test_client_that_holds_most_for_longest_is_closed (void **state)
{
  (void)state;
  add (0, 8 * MB, 1 * KQ_SEC);
  add (1, 7 * MB, 1 * KQ_SEC);
  add (2, 1 * MB, 10 * KQ_SEC);
  assert_int_equal (count_closed (), 0);
  kq_client_limits_hold (limits, &conns[2], 2 * MB, 11 * KQ_SEC);
  assert_int_equal (closed[0], 1);
  assert_int_equal (count_closed (), 1);
  assert_int_equal (kq_client_limits_count (limits), 2);
  assert_int_equal (kq_client_limits_bytes (limits), 9 * MB);
}

/* Guards against clients that begin anew all the time and so push out one that has waited
 * longer but holds little. */
static void
test_small_client_outlasts_many_large_ones (void **state)
{
  (void)state;
  add (0, MB / 16, 1 * KQ_SEC);
  for (int round = 0; round < 20; round++)
    for (int i = 1; i < CLIENTS; i++)
      {
        KqTime now = 2 * KQ_SEC + (round * CLIENTS + i) * 100 * KQ_MS;
        if (round > 0)
          kq_client_limits_remove (limits, &conns[i]);
        add (i, 4 * MB, now);
      }
  assert_int_equal (closed[0], 0);
  assert_true (kq_client_limits_bytes (limits) <= 16 * MB);
}

/* Guards against the loss of an answer whose request has been carried out. */
static void
test_handled_request_is_not_cut (void **state)
{
  (void)state;
  add (0, 15 * MB, 1 * KQ_SEC);
  kq_client_limits_enter (limits, &conns[0], KQ_CLIENT_HANDLED, 1 * KQ_SEC);
  add (1, 2 * MB, 20 * KQ_SEC);
  assert_int_equal (closed[0], 0);
  assert_int_equal (closed[1], 1);
  kq_client_limits_enter (limits, &conns[0], KQ_CLIENT_SENDING, 21 * KQ_SEC);
  add (2, 2 * MB, 22 * KQ_SEC);
  assert_int_equal (closed[0], 1);
  assert_int_equal (closed[2], 0);
}

/* Guards against clients that hold nothing but their descriptors. */
static void
test_number_of_connections_is_bounded (void **state)
{
  (void)state;
  for (int i = 0; i < CLIENTS; i++)
    add (i, 1000, (1 + i) * KQ_SEC);
  assert_int_equal (count_closed (), 2);
  assert_int_equal (closed[0] + closed[1], 2);
}

/* Guards against a client that keeps its connection for ever, by sending a byte now and
 * then. */
static void
test_slow_request_ends (void **state)
{
  (void)state;
  add (0, MB, 1 * KQ_SEC);
  add (1, MB, 1 * KQ_SEC);
  kq_client_limits_enter (limits, &conns[1], KQ_CLIENT_RECEIVING, 1 * KQ_SEC);
  kq_client_limits_moved (&conns[1], 100);
  kq_client_limits_expire (limits, 11 * KQ_SEC);
  assert_int_equal (count_closed (), 0);
  kq_client_limits_expire (limits, 12 * KQ_SEC);
  assert_int_equal (closed[0], 1);
  assert_int_equal (closed[1], 1);
}

/* Guards against a limit that cuts what only takes long: a body that arrives steadily, a
 * request that waits for its answer, a transfer that this process has stopped. */
static void
test_steady_handled_and_paused_are_not_late (void **state)
{
  (void)state;
  for (int i = 0; i < 3; i++)
    add (i, MB, 1 * KQ_SEC);
  kq_client_limits_enter (limits, &conns[0], KQ_CLIENT_RECEIVING, 1 * KQ_SEC);
  kq_client_limits_moved (&conns[0], (size_t)60 * KQ_CLIENT_BYTES_PER_S);
  kq_client_limits_enter (limits, &conns[1], KQ_CLIENT_HANDLED, 1 * KQ_SEC);
  kq_client_limits_enter (limits, &conns[2], KQ_CLIENT_SENDING, 1 * KQ_SEC);
  kq_client_limits_pause (&conns[2], 2 * KQ_SEC);
  kq_client_limits_expire (limits, 60 * KQ_SEC);
  assert_int_equal (count_closed (), 0);
  kq_client_limits_resume (&conns[2], 60 * KQ_SEC);
  kq_client_limits_expire (limits, 68 * KQ_SEC);
  assert_int_equal (count_closed (), 0);
  kq_client_limits_expire (limits, 70 * KQ_SEC);
  assert_int_equal (closed[2], 1);
  assert_int_equal (count_closed (), 1);
}

/* Guards against requests whose clients have left and which hold memory all the same. */
static void
test_work_is_refused_above_its_limit (void **state)
{
  (void)state;
  assert_true (kq_client_limits_begin_work (limits, 5 * MB, KQ_SEC));
  assert_true (kq_client_limits_begin_work (limits, 3 * MB, KQ_SEC));
  assert_false (kq_client_limits_begin_work (limits, 1, KQ_SEC));
  kq_client_limits_end_work (limits, 3 * MB);
  assert_true (kq_client_limits_begin_work (limits, 1 * MB, KQ_SEC));
  kq_client_limits_end_work (limits, 5 * MB);
  kq_client_limits_end_work (limits, 1 * MB);
  assert_true (kq_client_limits_begin_work (limits, 8 * MB, KQ_SEC));
}

/* Guards against a sum that is exceeded as connections and requests are each within their
 * own. */
static void
test_work_and_connections_share_the_memory (void **state)
{
  (void)state;
  add (0, 12 * MB, 1 * KQ_SEC);
  add (1, 1 * MB, 1 * KQ_SEC);
  assert_true (kq_client_limits_begin_work (limits, 2 * MB, 2 * KQ_SEC));
  assert_int_equal (count_closed (), 0);
  assert_true (kq_client_limits_begin_work (limits, 2 * MB, 2 * KQ_SEC));
  assert_int_equal (closed[0], 1);
  assert_int_equal (count_closed (), 1);
}

/* Guards against sums that drift: what has been removed or is being closed holds nothing
 * more. */
static void
test_sums_return_to_zero (void **state)
{
  (void)state;
  for (int i = 0; i < CLIENTS; i++)
    add (i, 4 * MB, (1 + i) * KQ_SEC);
  assert_int_equal (count_closed (), 4);
  for (int i = 0; i < CLIENTS; i++)
    kq_client_limits_hold (limits, &conns[i], 3 * MB, 10 * KQ_SEC);
  for (int i = 0; i < CLIENTS; i++)
    kq_client_limits_remove (limits, &conns[i]);
  assert_int_equal (kq_client_limits_count (limits), 0);
  assert_int_equal (kq_client_limits_bytes (limits), 0);
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (test_client_that_holds_most_for_longest_is_closed),
    TEST (test_small_client_outlasts_many_large_ones),
    TEST (test_handled_request_is_not_cut),
    TEST (test_number_of_connections_is_bounded),
    TEST (test_slow_request_ends),
    TEST (test_steady_handled_and_paused_are_not_late),
    TEST (test_work_is_refused_above_its_limit),
    TEST (test_work_and_connections_share_the_memory),
    TEST (test_sums_return_to_zero),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
