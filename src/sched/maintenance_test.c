#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* A new leader makes no maintenance call before this time. */
#define FIRST_CALL (3500 * KQ_MS)
/* Long enough for one check of the waves and a placing pass. */
#define SETTLE (700 * KQ_MS)

static void
request_wave (KqSchedFixture *d, size_t n_hosts, int32_t cap)
{
  KqStr hosts[] = { KQ_STR ("h0"), KQ_STR ("h1") };
  KqWaveInfo w = {
    .number = 4, .hosts = hosts, .n_hosts = n_hosts, .duration_ms = 9000, .cap = cap
  };
  kq_sched_wave (d->sched, &w, d->now);
}

static void
answer_call (KqSchedFixture *d, const char *host, KqMaintenanceResult r)
{
  kq_sched_maintenance_ended (d->sched, 4, kq_str (host), r, d->now);
  kq_sched_fixture_run (d, SETTLE);
}

/* Replaces the host's runner by a new one, as a maintenance does. */
static void
replace_runner (KqSchedFixture *d, const char *old, const char *id, const char *host)
{
  KqRunnerEntry e = { .id = kq_str (id),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .host = kq_str (host),
                      .room = { 4000, 16000, 0 } };
  kq_sched_entry_gone (d->sched, kq_str (old), d->now);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 2 * KQ_SEC + SETTLE);
}

static bool completed;

static void
take_state (void *arg, int64_t number, bool over)
{
  (void)arg;
  assert_int_equal (number, 4);
  completed = over;
}

static bool
is_completed (const KqSchedFixture *d)
{
  completed = false;
  kq_sched_waves_each (d->sched, take_state, NULL);
  return completed;
}

/* Guards against a host that goes down with tasks on it, which all end then. Its task is
 * stopped first, and the host goes down only when the runner has listed the end. */
static void
test_host_is_drained_first (void **state)
{
  KqSchedFixture *d = *state;
  KqStep serving = kq_sched_fixture_step ();
  KqEndRow end = { .number = 1, .reason = KQ_END_STOPPED };
  char runner[16];
  char task[96];
  size_t n_hosts;
  serving.lasting = true;
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, FIRST_CALL);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  n_hosts = strcmp (runner, "r0") == 0 ? 1 : 2;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, d->run, KQ_ORDER_OK);
  request_wave (d, n_hosts, 2);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->stop_orders, 1);
  assert_int_equal (d->hosts_down, (int)n_hosts - 1); /* the host without runs */
  end.task = kq_str (task);
  end.run = d->run;
  kq_sched_fixture_list (d, runner, &end, 1);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->hosts_down, (int)n_hosts);
}

/* Guards against more hosts down than the wave allows: with a cap of one the second waits
 * until the first has its new runner. */
static void
test_no_more_hosts_than_allowed (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, FIRST_CALL);
  request_wave (d, 2, 1);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->hosts_down, 1);
  assert_string_equal (d->last_host_down, "h0");
  answer_call (d, "h0", KQ_MAINTENANCE_OK);
  assert_int_equal (d->hosts_down, 1);
  replace_runner (d, "r0", "r2", "h0");
  assert_int_equal (d->hosts_down, 2);
  assert_string_equal (d->last_host_down, "h1");
  assert_false (is_completed (d));
  answer_call (d, "h1", KQ_MAINTENANCE_OK);
  assert_true (is_completed (d));
}

/* Guards against one host too many down when a host belongs to two waves. The new runner
 * of the first maintenance comes up just after the second one has begun, and must not
 * count as the new runner of the second. */
static void
test_earlier_new_runner_is_not_taken_for_the_next (void **state)
{
  KqSchedFixture *d = *state;
  KqStr hosts[] = { KQ_STR ("h0"), KQ_STR ("h1") };
  KqWaveInfo next
      = { .number = 5, .hosts = hosts, .n_hosts = 2, .duration_ms = 9000, .cap = 1 };
  kq_sched_fixture_run (d, FIRST_CALL);
  request_wave (d, 1, 1);
  kq_sched_fixture_run (d, SETTLE);
  answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_wave (d->sched, &next, d->now);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->hosts_down, 1); /* h0 is down, and h1 would exceed the cap */
  replace_runner (d, "r0", "r2", "h0");
  assert_int_equal (d->hosts_down, 2);
  kq_sched_maintenance_ended (d->sched, 5, kq_str (d->last_host_down), KQ_MAINTENANCE_OK,
                              d->now);
  replace_runner (d, "r2", "r3", "h0");
  assert_int_equal (d->hosts_down, strcmp (d->last_host_down, "h0") == 0 ? 2 : 3);
}

/* Guards against a second host taken down when the answer to a call is lost: the first
 * host may be down, so the same call is repeated until it is answered. */
static void
test_unanswered_call_is_repeated (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, FIRST_CALL);
  request_wave (d, 2, 1);
  kq_sched_fixture_run (d, SETTLE);
  answer_call (d, "h0", KQ_MAINTENANCE_UNKNOWN);
  assert_int_equal (d->hosts_down, 1);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->hosts_down, 2);
  assert_string_equal (d->last_host_down, "h0");
}

/* Guards against more tasks of a step stopped by the scheduler than its spec allows: if
 * none may be stopped the host waits, however late the wave is. */
static void
test_tasks_that_may_not_be_away (void **state)
{
  KqSchedFixture *d = *state;
  KqStep serving = kq_sched_fixture_step ();
  serving.lasting = true;
  serving.max_unavailable = 0;
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, FIRST_CALL);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run, KQ_ORDER_OK);
  request_wave (d, 2, 2);
  for (int i = 0; i < 20; i++)
    {
      kq_sched_fixture_list_serving (d, d->runner, d->task, d->run, 5);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  assert_int_equal (d->stop_orders, 0);
  assert_int_equal (d->hosts_down, 1); /* the other host */
}

/* Guards against room that is kept back for good: a host that holds a task that must not
 * be interrupted can't go down, and is used meanwhile. */
static void
test_host_that_cannot_be_emptied_is_used_meanwhile (void **state)
{
  KqSchedFixture *d = *state;
  KqStep serving = kq_sched_fixture_step ();
  char task[96];
  uint32_t run;
  serving.lasting = true;
  serving.max_unavailable = 0;
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, FIRST_CALL);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  memcpy (task, d->task, sizeof task);
  run = d->run;
  request_wave (d, 1, 1);
  kq_sched_fixture_run (d, SETTLE);
  kq_sched_fixture_submit (d, "bb", serving, false);
  for (int i = 0; i < 10; i++)
    {
      kq_sched_fixture_list_serving (d, "r0", task, run, 5);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  assert_int_equal (d->start_orders, 2);
  assert_int_equal (d->stop_orders, 0);
  assert_int_equal (d->hosts_down, 0);
}

/* Runs for the span, with r0's lists of these two lasting tasks; bb_run 0: not of bb. */
static void
list_two_tasks (KqSchedFixture *d, uint32_t bb_run, KqTime span)
{
  KqRunRow rows[2];
  for (int i = 0; i < 2; i++)
    rows[i] = (KqRunRow){ .task = i == 0 ? KQ_STR ("aa.0.0.0") : KQ_STR ("bb.0.0.0"),
                          .run = i == 0 ? 1 : bb_run,
                          .checkpoint = KQ_STR (""),
                          .percent = 100,
                          .load = -1 };
  for (KqTime until = d->now + span; d->now < until;)
    {
      kq_sched_fixture_list_runs (d, "r0", rows, bb_run > 0 ? 2 : 1);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
}

/* Guards against a lasting task that is stopped again and again: each drain of its host
 * stopped it, though the host can't go down for another task there. */
static void
test_task_is_not_stopped_again_in_vain (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  step.lasting = true;
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "bb", step, false);
  step.max_unavailable = 0;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, FIRST_CALL);
  kq_sched_fixture_accept_starts (d);
  list_two_tasks (d, 1, KQ_SEC);
  request_wave (d, 1, 1);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, "r0", "bb.0.0.0", 1, KQ_ORDER_OK);
  list_two_tasks (d, 0, 6 * KQ_SEC);
  assert_int_equal (d->start_orders, 3);
  kq_sched_fixture_accept_starts (d);
  list_two_tasks (d, 2, 30 * KQ_SEC);
  assert_int_equal (d->stop_orders, 1);
  assert_int_equal (d->hosts_down, 0);
}

/* Guards against hosts taken down twice after the loss of all nodes during a wave: the
 * next leader goes on with the hosts that are left. */
static void
test_next_leader_continues_wave (void **state)
{
  KqSchedFixture *d = *state;
  KqBuf record = { 0 };
  void *next;
  KqSchedFixture *e;
  kq_sched_fixture_run (d, FIRST_CALL);
  request_wave (d, 2, 2);
  kq_sched_fixture_run (d, SETTLE);
  answer_call (d, "h0", KQ_MAINTENANCE_OK);
  assert_true (kq_sched_waves_pending (d->sched));
  kq_sched_waves_pack (d->sched, &record);
  assert_false (kq_sched_waves_pending (d->sched));
  kq_sched_fixture_set_up (&next);
  e = next;
  assert_true (kq_sched_waves_stored (e->sched, kq_buf_str (&record)));
  request_wave (e, 2, 2);
  kq_sched_fixture_run (e, FIRST_CALL);
  assert_int_equal (e->hosts_down, 1);
  assert_string_equal (e->last_host_down, "h1");
  assert_false (kq_sched_waves_stored (e->sched, KQ_STR ("x")));
  kq_buf_free (&record);
  kq_sched_fixture_tear_down (&next);
}

/* Guards against a runner that stays unused while tasks wait for room. An earlier leader
 * has taken its host down; the next one doesn't know, drains the new runner, and its call
 * is answered as done. The runner goes on listing its runs, so it wasn't ended and must
 * be used again. */
static void
test_host_that_was_done_before_is_used_again (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, FIRST_CALL);
  request_wave (d, 1, 1);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->hosts_down, 1);
  answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  for (int i = 0; i < 8; i++)
    {
      kq_sched_fixture_list (d, "r0", NULL, 0);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
}

static bool
is_in_stored_list (KqSchedFixture *d, const char *id)
{
  KqBuf list = { 0 };
  bool found;
  assert_true (kq_sched_used_runners_pack (d->sched, &list));
  found = memmem (list.ptr, list.len, id, strlen (id)) != NULL;
  kq_sched_used_runners_stored (d->sched);
  kq_buf_free (&list);
  return found;
}

/* Guards against a lasting task that waits for the lease of a runner that is known to be
 * gone. The runner's host was taken down while the stop of the task was unanswered. Once
 * the runner can't be reached either, the task starts elsewhere at once, and a later
 * leader doesn't wait for that runner. */
static void
test_runner_taken_down_is_not_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  KqStep serving = kq_sched_fixture_step ();
  char runner[16];
  serving.lasting = true;
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, FIRST_CALL);
  memcpy (runner, d->runner, sizeof runner);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list_serving (d, runner, d->task, d->run, 5);
  request_wave (d, 2, 1);
  kq_sched_fixture_run (d, SETTLE);
  answer_call (d, d->last_host_down, KQ_MAINTENANCE_OK); /* the host without runs */
  replace_runner (d, strcmp (runner, "r0") == 0 ? "r1" : "r0", "r2", d->last_host_down);
  assert_true (is_in_stored_list (d, "r2"));
  kq_sched_fixture_run (d, 3 * KQ_SEC);
  kq_sched_fixture_list (d, "r2", NULL, 0);
  assert_int_equal (d->hosts_down, 2);
  assert_int_equal (d->start_orders, 1);
  answer_call (d, d->last_host_down, KQ_MAINTENANCE_OK);
  assert_int_equal (d->start_orders, 1); /* the maintenance may have been done before */
  kq_sched_fixture_unreached (d, d->agent, runner, 4500);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->runner, "r2");
  assert_false (is_in_stored_list (d, runner));
}

/* Guards against a task that runs twice, and a runner that is never used again. A runner
 * that has started again under its id after the maintenance of its host is no longer one
 * that was taken down: if it falls silent later, its tasks wait for its lease. */
static void
test_runner_restarted_after_maintenance_keeps_its_runs (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_run (d, FIRST_CALL);
  request_wave (d, 1, 1);
  kq_sched_fixture_run (d, SETTLE);
  answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  d->started_ms = 2;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  replace_runner (d, "r1", "r2", "h1");
  is_in_stored_list (d, "r2");
  kq_sched_fixture_run (d, SETTLE);
  kq_sched_fixture_list (d, "r2", NULL, 0);
  kq_sched_fixture_unreached (d, d->agent, "r0", 4500);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->start_orders, 1); /* it may still run on r0 */
  kq_sched_entry_gone (d->sched, KQ_STR ("r2"), d->now);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, SETTLE);
  assert_int_equal (d->start_orders, 2); /* its list shows that the task is gone */
  assert_string_equal (d->runner, "r0");
}

static KqRunnerEntry
draining_entry (void)
{
  return (KqRunnerEntry){ .id = KQ_STR ("r0"),
                          .service = KQ_STR ("desk"),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .draining = true,
                          .remaining_ms = 2500,
                          .room = { 4000, 16000, 0 } };
}

/* Guards against jobs delayed after a change of leader by a runner that is about to go. A
 * new leader starts no earlier jobs before all stored runners have answered, so a
 * draining runner without runs must not be in the stored list. */
static void
test_drained_runner_is_not_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = draining_entry ();
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, SETTLE);
  assert_true (kq_sched_used_runners_pending (d->sched));
  assert_false (is_in_stored_list (d, "r0"));
  e.draining = false; /* it stays: it must be in the list again before any start */
  kq_sched_entry (d->sched, &e, d->now);
  assert_true (kq_sched_used_runners_pending (d->sched));
  assert_true (is_in_stored_list (d, "r0"));
}

/* Guards against a done task that runs again. Its runner is draining and has no runs, but
 * the task's end isn't stored when the leader dies, so the next leader must wait for that
 * runner's list. */
static void
test_drained_runner_with_an_end_is_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = draining_entry ();
  KqEndRow end
      = { .number = 1, .task = KQ_STR ("zz.0.0.0"), .run = 1, .reason = KQ_END_DONE };
  kq_sched_fixture_list (d, "r0", &end, 1);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, SETTLE);
  assert_false (kq_sched_used_runners_pending (d->sched)); /* it is in the list */
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_host_is_drained_first),
    FIXTURE_TEST (test_no_more_hosts_than_allowed),
    FIXTURE_TEST (test_earlier_new_runner_is_not_taken_for_the_next),
    FIXTURE_TEST (test_unanswered_call_is_repeated),
    FIXTURE_TEST (test_tasks_that_may_not_be_away),
    FIXTURE_TEST (test_host_that_cannot_be_emptied_is_used_meanwhile),
    FIXTURE_TEST (test_task_is_not_stopped_again_in_vain),
    FIXTURE_TEST (test_next_leader_continues_wave),
    FIXTURE_TEST (test_host_that_was_done_before_is_used_again),
    FIXTURE_TEST (test_runner_taken_down_is_not_waited_for),
    FIXTURE_TEST (test_runner_restarted_after_maintenance_keeps_its_runs),
    FIXTURE_TEST (test_drained_runner_is_not_waited_for),
    FIXTURE_TEST (test_drained_runner_with_an_end_is_waited_for),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
