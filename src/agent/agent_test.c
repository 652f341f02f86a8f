#include "bench/agent_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static KqAgentFixture *const t = &kq_agent_fixture;

/* Guards against a task that runs twice: a node that reconnects keeps renewing the leases
 * of runners that were assigned to other agents meanwhile. */
static void
test_new_connection_ends_renewals (void **state)
{
  int before;
  (void)state;
  kq_agent_fixture_assign_runner (1);
  assert_int_equal (t->renewals, 1);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  assert_true (t->renewals >= 2);
  kq_agent_release_all (t->agent);
  assert_int_equal (kq_agent_n_runners (t->agent), 0);
  before = t->renewals;
  kq_agent_leader_heard (t->agent, KQ_AGENT_FIXTURE_EPOCH, kq_time_now ());
  kq_agent_fixture_run_loop ();
  assert_int_equal (t->renewals, before);
  kq_agent_fixture_assign_runner (2);
  assert_int_equal (t->renewals, before + 1);
}

/* Guards against a task that runs twice: the agent reports an unreachable runner and the
 * time left of its lease, then extends the lease before the leader has acknowledged that
 * the runner is back. */
static void
test_reported_lease_end_stands (void **state)
{
  int64_t reported;
  uint64_t earlier;
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  earlier = t->halt;
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  while (t->unreached == 0)
    kq_agent_fixture_answer_next_poll (KQ_ORDER_UNKNOWN);
  reported = t->lease_end_ms;
  assert_true (reported > 0);
  t->leader_renews = false;
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  kq_agent_fixture_order_renew (earlier);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  kq_agent_fixture_start_task (kq_time_now ());
  kq_agent_fixture_answer_start (-1, kq_time_now (), kq_time_now ());
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  assert_int_equal (t->lease_end_ms, reported);
  kq_agent_fixture_order_renew (t->halt);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  assert_true (t->lease_end_ms > reported);
}

/* Guards against a task that runs twice: an agent that a runner was just assigned to
 * extends its lease before the leader has received a list, while the leader may take the
 * lease for expired. */
static void
test_assigned_runner_waits_for_the_leader (void **state)
{
  (void)state;
  t->leader_renews = false;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  assert_int_equal (t->lease_end_ms, -1);
  kq_agent_fixture_order_renew (t->halt);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  kq_agent_fixture_answer_next_poll (KQ_ORDER_OK);
  assert_true (t->lease_end_ms > 0);
}

/* Guards against a task that runs twice: the leader takes a report of an earlier
 * assignment of a runner for one of the current assignment. Each report must carry the
 * assignment's number. */
static void
test_reports_name_their_assignment (void **state)
{
  KqTime now = kq_time_now ();
  (void)state;
  kq_agent_fixture_assign_runner (8);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  assert_int_equal (t->last_item, KQ_AGENT_ITEM_LIST);
  assert_int_equal (t->assignment, 8);
  kq_agent_fixture_assign_runner (9);
  kq_agent_fixture_answer_poll (KQ_ORDER_OTHER_RUNNER, 0, -1, now);
  assert_int_equal (t->last_item, KQ_AGENT_ITEM_UNREACHED);
  assert_int_equal (t->assignment, 9);
  kq_agent_fixture_start_task (now);
  kq_agent_fixture_answer_start (-1, now, now);
  assert_int_equal (t->last_item, KQ_AGENT_ITEM_OUTCOME);
  assert_int_equal (t->assignment, 9);
}

/* Guards against a task that runs twice: a lease's end is computed from the clock of a
 * runner's process before its restart. */
static void
test_clock_after_a_restart (void **state)
{
  KqTime now = kq_time_now ();
  KqTime later = now + 500 * KQ_MS;
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 3000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_grant_by_start (now + 100 * KQ_MS);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 2, 100, later);
  assert_int_equal (t->lease_left_ms, KQ_AGENT_FIXTURE_LEASE_MS * 100 / 98 + 1);
  /* The earlier process's answer to a start, delayed until now. */
  kq_agent_fixture_answer_start (3200, now + 100 * KQ_MS, later);
  assert_int_equal (kq_agent_fixture_grant_by_start (later),
                    100 + KQ_AGENT_FIXTURE_LEASE_MS);
  kq_agent_fixture_answer_start (100, later, later);
}

/* As above, where the runner is assigned again between the two processes. */
static void
test_clock_after_a_restart_and_reassignment (void **state)
{
  KqTime now = kq_time_now ();
  KqTime later = now + 500 * KQ_MS;
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 3000, now);
  kq_agent_fixture_assign_runner (2);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 2, 100, later);
  assert_int_equal (kq_agent_fixture_grant_by_start (later),
                    100 + KQ_AGENT_FIXTURE_LEASE_MS);
  kq_agent_fixture_answer_start (100, later, later);
}

/* Guards against a task that runs twice: a list from the process before a restart, which
 * arrives after one from the process since, is taken for another restart. The next lease
 * is computed from its clock, and ends later than the leader is told. */
static void
test_late_list_of_the_process_before_a_restart (void **state)
{
  KqTime now = kq_time_now ();
  KqTime later = now + 500 * KQ_MS;
  KqRunnerReply earlier
      = { .clock_ms = 30200, .started_ms = 1, .called_at = now, .send_started_at = now };
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 30000, now);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 2, 100, later);
  assert_non_null (t->verification.done); /* has been in flight since the first list */
  t->verification.done (t->verification.arg, &earlier, later);
  t->verification.done = NULL;
  t->lease_end_ms = -1;
  kq_agent_fixture_run_loop ();
  assert_int_equal (t->lease_end_ms, 100 + KQ_AGENT_FIXTURE_LEASE_MS);
}

/* Guards against a task that runs twice: a start reaches a restarted runner, and the
 * leader doesn't learn of the lease that the task has there. */
static void
test_start_after_a_restart_reports_its_lease (void **state)
{
  KqTime now = kq_time_now ();
  KqTime later = now + 500 * KQ_MS;
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 30000, now);
  kq_agent_fixture_start_task (now);
  kq_agent_fixture_answer_start (100, now, later);
  assert_int_equal (t->last_item, KQ_AGENT_ITEM_OUTCOME);
  assert_int_equal (t->lease_left_ms, KQ_AGENT_FIXTURE_LEASE_MS * 100 / 98 + 1);
}

/* Guards against a task that runs twice: a delayed message of a leader extends the time
 * for which leases are granted, though the leader no longer waits for them. */
static void
test_delayed_messages_grant_nothing (void **state)
{
  KqTime now = kq_time_now ();
  KqTime later = now + (KQ_AGENT_FIXTURE_RENEW_WITHOUT_LEADER_MS + 200) * KQ_MS;
  int64_t granted;
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  granted = t->lease_end_ms;
  kq_agent_leader_heard (t->agent, KQ_AGENT_FIXTURE_EPOCH, later);
  assert_int_equal (kq_agent_fixture_grant_by_start (later), granted);
  kq_agent_fixture_answer_start (-1, later, later);
  kq_agent_leader_confirmed (t->agent, KQ_AGENT_FIXTURE_EPOCH, later - KQ_SEC);
  assert_int_equal (kq_agent_fixture_grant_by_start (later),
                    1000 + (KQ_AGENT_FIXTURE_RENEW_WITHOUT_LEADER_MS + 200) * 98 / 100
                        + KQ_AGENT_FIXTURE_LEASE_MS);
  kq_agent_fixture_answer_start (-1, later, later);
}

static void
fail_start_unsent (KqTime now)
{
  KqRunnerReply r = { .result = KQ_ORDER_UNHEALTHY, .unsent = true, .clock_ms = -1 };
  KqRunnerCallback cb = t->start;
  t->start = (KqRunnerCallback){ 0 };
  t->starting = true;
  cb.done (cb.arg, &r, now);
  t->starting = false;
}

/* Guards against a task that runs twice: a start is sent on a new connection and reaches
 * the runner's process after a restart. */
static void
test_start_reaches_only_the_listed_process (void **state)
{
  KqTime now = kq_time_now ();
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now + 7 * KQ_MS, now + 20 * KQ_MS);
  kq_agent_fixture_order_start (1, now + 30 * KQ_MS);
  assert_int_equal (t->starts, 1);
  assert_int_equal (t->opened_before, now + 7 * KQ_MS);
  kq_agent_fixture_answer_start (1050, now + 30 * KQ_MS, now + 50 * KQ_MS);
}

/* Guards against a task that runs twice: as above, where every verified connection is in
 * use. */
static void
test_start_waits_for_a_verified_connection (void **state)
{
  KqTime now = kq_time_now ();
  KqRunnerCallback first;
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  kq_agent_fixture_order_start (1, now);
  first = t->start;
  kq_agent_fixture_order_start (2, now);
  assert_int_equal (t->starts, 1);
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now + KQ_MS, now + 2 * KQ_MS);
  assert_int_equal (t->starts, 2);
  fail_start_unsent (now + 3 * KQ_MS); /* the connection had been closed */
  assert_int_equal (t->starts, 2);
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now + 4 * KQ_MS, now + 5 * KQ_MS);
  assert_int_equal (t->starts, 3);
  kq_agent_fixture_answer_start (1005, now + 5 * KQ_MS, now + 6 * KQ_MS);
  t->start = first;
  kq_agent_fixture_answer_start (1006, now, now + 6 * KQ_MS);
}

/* Guards against a job that makes no progress: its start waits for a connection to a
 * runner that is gone. */
static void
test_start_that_cannot_be_sent_is_refused (void **state)
{
  KqTime now = kq_time_now ();
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_answer_verification (KQ_ORDER_UNKNOWN, now, now);
  kq_agent_fixture_order_start (1, now);
  assert_int_equal (t->starts, 0);
  kq_agent_fixture_answer_verification (KQ_ORDER_UNKNOWN, now, now);
  assert_int_equal (t->starts, 0);
  assert_int_equal (t->last_item, KQ_AGENT_ITEM_OUTCOME);
  assert_int_equal (t->result, KQ_ORDER_UNHEALTHY);
}

/* Guards against a task that gets another text than its client sent: one that is cut off
 * at a NUL character. */
static void
test_start_carries_every_byte (void **state)
{
  KqTime now = kq_time_now ();
  KqOrder o = { .kind = KQ_ORDER_START, .runner = KQ_STR ("r") };
  char text[256];
  (void)state;
  for (size_t i = 0; i < sizeof text; i++)
    text[i] = (char)i;
  o.u.start.task = KQ_STR ("j.0.0.0");
  o.u.start.run = 1;
  o.u.start.text = kq_str_n (text, sizeof text);
  o.u.start.checkpoint = kq_str_n ("a\0b", 3);
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  t->starting = true;
  kq_agent_order (t->agent, KQ_AGENT_FIXTURE_EPOCH, &o, now);
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  t->starting = false;
  assert_int_equal (t->starts, 1);
  assert_int_equal (t->spec_len, sizeof text);
  assert_memory_equal (t->spec, text, sizeof text);
  assert_int_equal (t->checkpoint_len, 3);
  kq_agent_fixture_answer_start (1006, now, now + 6 * KQ_MS);
}

/* Guards against a task that runs twice: a new leader isn't told of a lease that this
 * agent has granted to a runner it has released since. */
static void
test_leases_of_released_runners_are_reported (void **state)
{
  KqTime now = kq_time_now ();
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_release_all (t->agent);
  kq_agent_report_grants (t->agent, KQ_AGENT_FIXTURE_EPOCH, now);
  assert_int_equal (t->grants, 0); /* none before the leader has had a list */
  t->leader_renews = true;
  kq_agent_fixture_assign_runner (2);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  kq_agent_fixture_order_start (1, now); /* it may arrive as late as its call ends */
  kq_agent_release_all (t->agent);
  kq_agent_report_grants (t->agent, KQ_AGENT_FIXTURE_EPOCH + 1, now + 10 * KQ_MS);
  assert_int_equal (t->grants, 1);
  assert_in_range (t->granted_ms, KQ_AGENT_FIXTURE_LEASE_MS + 500,
                   KQ_AGENT_FIXTURE_LEASE_MS + 1300);
  kq_agent_report_grants (t->agent, KQ_AGENT_FIXTURE_EPOCH + 1,
                          now + 2 * KQ_AGENT_FIXTURE_LEASE_MS * KQ_MS);
  assert_int_equal (t->grants, 0);
  kq_agent_fixture_answer_start (1005, now, now);
}

/* Checks that no start has been sent since and that the last one was refused. */
static void
expect_refused (int starts)
{
  assert_int_equal (t->starts, starts);
  assert_int_equal (t->last_item, KQ_AGENT_ITEM_OUTCOME);
  assert_int_equal (t->result, KQ_ORDER_UNHEALTHY);
  assert_true (t->unsent);
}

/* Guards against a start in a failure domain that operators have cordoned: the leader
 * doesn't know of it yet, or an earlier leader ordered the start. */
static void
test_no_start_is_sent_into_a_cordoned_domain (void **state)
{
  KqTime now = kq_time_now ();
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  kq_cordons_add (t->cordons, KQ_STR ("other"), 3, now);
  kq_agent_fixture_order_start (1, now);
  assert_int_equal (t->starts, 1);
  kq_agent_fixture_answer_start (1000, now, now);
  kq_cordons_add (t->cordons, KQ_STR ("d"), 4, now);
  kq_agent_fixture_order_start (2, now);
  expect_refused (1);
  kq_cordons_lift (t->cordons, KQ_STR ("d"));
  kq_agent_fixture_order_start (3, now);
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  assert_int_equal (t->starts, 2);
  kq_agent_fixture_answer_start (1001, now, now);
}

/* As above; the start was ordered before the cordon, and waits for a connection, or is
 * sent again as its connection was closed. */
static void
test_queued_starts_are_not_sent_into_a_cordoned_domain (void **state)
{
  KqTime now = kq_time_now ();
  (void)state;
  kq_agent_fixture_assign_runner (1);
  kq_agent_fixture_answer_poll (KQ_ORDER_OK, 1, 1000, now);
  kq_agent_fixture_run_loop ();
  kq_agent_fixture_order_start (1, now);
  assert_int_equal (t->starts, 0);
  kq_cordons_add (t->cordons, KQ_STR ("d"), 3, now);
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  expect_refused (0);
  kq_cordons_lift (t->cordons, KQ_STR ("d"));
  kq_agent_fixture_order_start (2, now);
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  assert_int_equal (t->starts, 1);
  kq_cordons_add (t->cordons, KQ_STR ("d"), 4, now);
  fail_start_unsent (now);
  expect_refused (1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_new_connection_ends_renewals,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_reported_lease_end_stands,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_assigned_runner_waits_for_the_leader,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_reports_name_their_assignment,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_delayed_messages_grant_nothing,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_clock_after_a_restart, kq_agent_fixture_set_up,
                                     kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_late_list_of_the_process_before_a_restart,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_after_a_restart_reports_its_lease,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_clock_after_a_restart_and_reassignment,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_reaches_only_the_listed_process,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_waits_for_a_verified_connection,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_leases_of_released_runners_are_reported,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_no_start_is_sent_into_a_cordoned_domain,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_queued_starts_are_not_sent_into_a_cordoned_domain, kq_agent_fixture_set_up,
        kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_carries_every_byte,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_that_cannot_be_sent_is_refused,
                                     kq_agent_fixture_set_up, kq_agent_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
