#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Replaces the host's runner by a new one, as a maintenance does. */
static void
replace_runner (KqSchedFixture *d, const char *old, const char *id, const char *host)
{
  kq_sched_entry_gone (d->sched, kq_str (old), d->now);
  kq_sched_fixture_add_entry (d, id, host);
  kq_sched_fixture_run (d, 2 * KQ_SEC + KQ_SCHED_FIXTURE_SETTLE);
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  n_hosts = strcmp (runner, "r0") == 0 ? 1 : 2;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_request_wave (d, n_hosts, 2);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->stop_orders, 1);
  assert_int_equal (d->hosts_down, (int)n_hosts - 1); /* the host without runs */
  end.task = kq_str (task);
  end.run = d->run;
  kq_sched_fixture_list (d, runner, &end, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, (int)n_hosts);
}

/* Guards against more hosts down than the wave allows: with a cap of one the second waits
 * until the first has its new runner. */
static void
test_no_more_hosts_than_allowed (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 1);
  assert_string_equal (d->last_host_down, "h0");
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
  assert_int_equal (d->hosts_down, 1);
  replace_runner (d, "r0", "r2", "h0");
  assert_int_equal (d->hosts_down, 2);
  assert_string_equal (d->last_host_down, "h1");
  assert_false (is_completed (d));
  kq_sched_fixture_answer_call (d, "h1", KQ_MAINTENANCE_OK);
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 1, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_wave (d->sched, &next, d->now);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_UNKNOWN);
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_request_wave (d, 2, 2);
  for (int i = 0; i < 20; i++)
    {
      kq_sched_fixture_list_serving (d, d->runner, d->task, d->run, 5);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  assert_int_equal (d->stop_orders, 0);
  assert_int_equal (d->hosts_down, 1); /* the other host */
}

/* Guards against hosts taken down twice after the loss of all nodes during a wave: the
 * next leader goes on with the hosts that are left. */
static void
test_next_leader_continues_wave (void **state)
{
  KqSchedFixture *d = *state;
  void *next;
  KqSchedFixture *e;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 2);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_fixture_set_up (&next);
  e = next;
  assert_true (kq_sched_waves_stored (e->sched, kq_buf_str (&d->waves), e->now));
  kq_sched_fixture_request_wave (e, 2, 2);
  kq_sched_fixture_run (e, KQ_SCHED_FIXTURE_FIRST_CALL);
  assert_int_equal (e->hosts_down, 1);
  assert_string_equal (e->last_host_down, "h1");
  assert_false (kq_sched_waves_stored (e->sched, KQ_STR ("x"), e->now));
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 1, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 1);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  for (int i = 0; i < 8; i++)
    {
      kq_sched_fixture_list (d, "r0", NULL, 0);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
}

/* Guards against a runner that gets no tasks for good. Its entry was missing when its
 * host came back into service, and came again later: an outage of the store had removed
 * it. */
static void
test_runner_whose_entry_was_missing_is_used_again (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 1, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 1);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_entry_gone (d->sched, KQ_STR ("r0"), d->now);
  for (int i = 0; i < 24; i++)
    {
      kq_sched_fixture_list (d, "r0", NULL, 0);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_add_entry (d, "r0", "h0");
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
}

/* As above: for a while the host has two entries, and the call comes to nothing, as the
 * host is busy. */
static void
test_runner_beside_another_on_its_host_is_used_again (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_add_entry (d, "r2", "h1");
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_list (d, "r2", NULL, 0);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_request_wave (d, 2, 2);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 2);
  kq_sched_fixture_add_entry (d, "r1", "h1");
  kq_sched_maintenance_ended (d->sched, 4, KQ_STR ("h1"), KQ_MAINTENANCE_BUSY, d->now);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r2");
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  memcpy (runner, d->runner, sizeof runner);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list_serving (d, runner, d->task, d->run, 5);
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, d->last_host_down,
                                KQ_MAINTENANCE_OK); /* the host without runs */
  replace_runner (d, strcmp (runner, "r0") == 0 ? "r1" : "r0", "r2", d->last_host_down);
  assert_true (is_in_stored_list (d, "r2"));
  kq_sched_fixture_run (d, 3 * KQ_SEC);
  kq_sched_fixture_list (d, "r2", NULL, 0);
  assert_int_equal (d->hosts_down, 2);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_answer_call (d, d->last_host_down, KQ_MAINTENANCE_OK);
  assert_int_equal (d->start_orders, 1); /* the maintenance may have been done before */
  kq_sched_fixture_unreached (d, d->agent, runner, 4500);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->runner, "r2");
  assert_false (is_in_stored_list (d, runner));
}

/* Takes h0 down, with r0 on it. */
static void
take_h0_down (KqSchedFixture *d)
{
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 1, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 1);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
}

/* Guards against a runner that gets no tasks for good. Its host was taken down, and it is
 * back under the same id, in the store before its agent reports the silence. */
static void
test_runner_back_under_its_id_is_used_again (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .host = KQ_STR ("h0"),
                      .started_ms = 2,
                      .room = { 4000, 16000, 0 } };
  take_h0_down (d);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_unreached (d, d->agent, "r0", 4500);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  d->started_ms = 2;
  for (int i = 0; i < 8; i++)
    {
      kq_sched_fixture_list (d, "r0", NULL, 0);
      kq_sched_fixture_run (d, 500 * KQ_MS);
      kq_sched_fixture_store_used_runners (d);
    }
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
}

/* Guards against a task that runs twice: the runner that is back under its id is silent
 * later on, and its runs may go on until its lease is over. */
static void
test_later_silence_of_a_runner_back_under_its_id (void **state)
{
  KqSchedFixture *d = *state;
  take_h0_down (d);
  kq_sched_fixture_run (d, 3 * KQ_SEC);
  d->started_ms = 2;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_add_entry (d, "r1", "h1");
  kq_sched_fixture_unreached (d, d->agent, "r0", 4500);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 1);
}

/* Passes in lists of both runners with the tasks of job "aa", each at work, that run
 * there according to `on` (0: r0, 1: r1, -1: nowhere). */
static void
list_tasks (KqSchedFixture *d, const int on[3])
{
  static const char *const names[] = { "aa.0.0.0", "aa.0.0.1", "aa.0.0.2" };
  for (int r = 0; r < 2; r++)
    {
      KqRunRow rows[3];
      size_t n = 0;
      for (int i = 0; i < 3; i++)
        if (on[i] == r)
          rows[n++] = (KqRunRow){
            .task = kq_str (names[i]), .run = 1, .checkpoint = KQ_STR (""), .percent = 100
          };
      kq_sched_fixture_list_runs (d, r == 0 ? "r0" : "r1", rows, n);
    }
}

/* Guards against a lasting task that waits for good: all hosts with room for it are being
 * drained, and the other tasks of its step there may not be stopped while it is away. */
static void
test_drains_that_wait_for_a_task_let_it_in (void **state)
{
  KqSchedFixture *d = *state;
  KqStep serving = kq_sched_fixture_step ();
  KqSchedFixtureStart stopped = { 0 };
  int on[3] = { -1, -1, -1 };
  serving.lasting = true;
  serving.width = 3;
  serving.max_unavailable = 1;
  serving.per_runner_max = 2;
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, 6 * KQ_SEC);
  assert_int_equal (d->starts_pending->len, 3);
  for (int i = 0; i < 3; i++)
    {
      stopped = g_array_index (d->starts_pending, KqSchedFixtureStart, i);
      on[stopped.task[strlen (stopped.task) - 1] - '0'] = stopped.runner[1] - '0';
    }
  kq_sched_fixture_accept_starts (d);
  list_tasks (d, on);
  kq_sched_fixture_request_wave (d, 2, 2);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->stop_orders, 1);
  memcpy (stopped.task, d->stopped_task, sizeof stopped.task);
  on[stopped.task[strlen (stopped.task) - 1] - '0'] = -1;
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, d->stopped_runner, stopped.task, 1,
                            KQ_ORDER_OK);
  for (int i = 0; i < 30 && d->start_orders == 3; i++)
    {
      list_tasks (d, on);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  assert_int_equal (d->start_orders, 4);
  assert_string_equal (d->task, stopped.task);
  assert_int_equal (d->stop_orders, 1);
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
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
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
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
    FIXTURE_TEST (test_next_leader_continues_wave),
    FIXTURE_TEST (test_host_that_was_done_before_is_used_again),
    FIXTURE_TEST (test_runner_whose_entry_was_missing_is_used_again),
    FIXTURE_TEST (test_runner_beside_another_on_its_host_is_used_again),
    FIXTURE_TEST (test_runner_taken_down_is_not_waited_for),
    FIXTURE_TEST (test_runner_back_under_its_id_is_used_again),
    FIXTURE_TEST (test_later_silence_of_a_runner_back_under_its_id),
    FIXTURE_TEST (test_drains_that_wait_for_a_task_let_it_in),
    FIXTURE_TEST (test_drained_runner_is_not_waited_for),
    FIXTURE_TEST (test_drained_runner_with_an_end_is_waited_for),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
