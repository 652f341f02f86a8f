#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Lets the last run that was started fail on its runner, a moment after its start. */
static void
fail_last (KqSchedFixture *d, uint64_t numbers[2])
{
  KqEndRow end = { .run = d->run, .reason = KQ_END_FAILED };
  char runner[16];
  char task[96];
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  end.task = kq_str (task);
  end.number = ++numbers[runner[1] - '0'];
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_list (d, runner, &end, 1);
  kq_sched_fixture_run (d, 100 * KQ_MS);
}

/* Starts a job and expects that a task of it is started soon. */
static void
expect_start (KqSchedFixture *d, const char *id)
{
  kq_sched_fixture_submit (d, id, kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 200 * KQ_MS);
  assert_memory_equal (d->task, id, strlen (id));
}

/* Guards against jobs that wait beside free room: a lasting task that fails wherever it
 * runs is started again and again, and took one runner after the other out of use. */
static void
test_task_that_fails_everywhere_leaves_runners_in_use (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  uint64_t numbers[2] = { 0 };
  lasting.lasting = true;
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  for (int i = 1; i <= 12; i++)
    {
      assert_int_equal (d->start_orders, i);
      fail_last (d, numbers);
    }
  expect_start (d, "bb");
}

/* Guards against a faulty runner that is used on: the tasks of a step fail on one runner,
 * whose other tasks are done. */
static void
test_runner_where_alone_a_step_fails_is_avoided (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  uint64_t numbers[2] = { 0 };
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  step.width = 3;
  step.cpu_milli = 3000; /* one at a time */
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  fail_last (d, numbers);
  fail_last (d, numbers);
  assert_int_equal (d->start_orders, 2);
  kq_sched_fixture_run (d, 3 * KQ_SEC);
  assert_int_equal (d->start_orders, 3);
}

/* Lists r0's serving task with that tail, and two filling tasks that stay at that
 * percent.
 */
static void
list_filling_beside_serving (KqSchedFixture *d, int tail_ms, int percent)
{
  KqRunRow rows[3] = { { .task = KQ_STR ("aa.0.0.0"), .percent = 100, .load = tail_ms },
                       { .task = KQ_STR ("bb.0.0.0"), .percent = percent, .load = 400 },
                       { .task = KQ_STR ("bb.0.0.1"), .percent = percent, .load = 400 } };
  for (int i = 0; i < 3; i++)
    {
      rows[i].run = 1;
      rows[i].checkpoint = KQ_STR ("");
    }
  kq_sched_fixture_list_runs (d, "r0", rows, 3);
  kq_sched_fixture_run (d, 500 * KQ_MS);
}

/* Starts a serving task and two filling ones of that step on r0. */
static void
start_filling_beside_serving (KqSchedFixture *d, KqStep filling)
{
  KqStep serving = kq_sched_fixture_step ();
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  serving.lasting = true;
  serving.target_ms = 10;
  serving.image = KQ_STR ("serves");
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  filling.filling = true;
  filling.width = 2;
  filling.image = KQ_STR ("fills");
  kq_sched_fixture_submit (d, "bb", filling, false);
  kq_sched_fixture_run (d, filling.lasting ? 3 * KQ_SEC : 50 * KQ_MS);
  assert_int_equal (d->start_orders, 3);
  kq_sched_fixture_accept_starts (d);
}

/* Guards against a task at work that is stopped as stalled, while another task of its
 * step may be away: its runner's lists didn't arrive for a while. */
static void
test_task_that_was_not_listed_is_not_stalled (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  KqRunRow row = { .task = KQ_STR ("aa.0.0.0"), .run = 1, .percent = 50 };
  lasting.lasting = true;
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list_runs (d, d->runner, &row, 1);
  kq_sched_fixture_run (d, 6 * KQ_SEC);
  assert_int_equal (d->stop_orders, 0);
  kq_sched_fixture_list_runs (d, d->runner, &row, 1);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->stop_orders, 1);
}

/* Guards against jobs that wait beside free room: filling tasks that were slowed to
 * nothing for a serving task were taken for stalled ones, and their runner for faulty. */
static void
test_tasks_slowed_to_nothing_leave_their_runner_in_use (void **state)
{
  KqSchedFixture *d = *state;
  KqStep filling = kq_sched_fixture_step ();
  start_filling_beside_serving (d, filling);
  list_filling_beside_serving (d, 5, 10);
  for (int i = 0; i < 16 && d->stop_orders < 2; i++)
    list_filling_beside_serving (d, 14, 10);
  assert_int_equal (d->stop_orders, 2);
  assert_true (d->slow_pace_orders > 0);
  expect_start (d, "cc");
}

/* Guards against more tasks of a step away at once than may be: tasks that are slowed to
 * nothing are stopped, to be moved, one after the other. */
static void
test_slowed_tasks_are_moved_as_their_step_allows (void **state)
{
  KqSchedFixture *d = *state;
  KqStep filling = kq_sched_fixture_step ();
  filling.lasting = filling.checkpoints = true;
  filling.max_unavailable = 1;
  start_filling_beside_serving (d, filling);
  list_filling_beside_serving (d, 5, 100);
  for (int i = 0; i < 16; i++)
    list_filling_beside_serving (d, 14, 100);
  assert_true (d->slow_pace_orders > 0);
  assert_int_equal (d->stop_orders, 1);
}

/* Passes in a list of r0 with the run of "aa" that is at work, and the failed end. */
static void
list_end_beside_run (KqSchedFixture *d, const KqRunRow *at_work, uint64_t number)
{
  KqEndRow end = { .run = d->run, .reason = KQ_END_FAILED, .number = number };
  KqRunnerList l = { .running = at_work,
                     .n_running = 1,
                     .ended = &end,
                     .n_ended = 1,
                     .started_ms = d->started_ms,
                     .lease_left_ms = 5000,
                     .order = d->outcomes_sent,
                     .assignment = d->assignment[0] };
  char task[96];
  memcpy (task, d->task, sizeof task);
  end.task = kq_str (task);
  kq_sched_list (d->sched, d->agent, KQ_STR ("r0"), &l, d->now);
}

/* Guards against a job of which nothing runs beside free room: a starved step may use
 * suspect runners, but wasn't looked at behind one that may not. */
static void
test_starved_step_behind_one_that_is_not (void **state)
{
  KqSchedFixture *d = *state;
  KqStep fails = kq_sched_fixture_step ();
  KqStep step = kq_sched_fixture_step ();
  KqRunRow at_work = { .task = KQ_STR ("aa.0.0.0"), .run = 1, .percent = 10 };
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  fails.cpu_milli = 2400;
  step.cpu_milli = 1500;
  kq_sched_fixture_submit (d, "ff", fails, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  step.width = 2; /* one beside "ff" */
  step.estimate_ms = 5000;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", "aa.0.0.0", 1, KQ_ORDER_OK);
  strcpy (d->task, "ff.0.0.0");
  for (uint64_t i = 1; i <= 4; i++)
    {
      kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
      kq_sched_fixture_run (d, 100 * KQ_MS);
      at_work.percent++;
      list_end_beside_run (d, &at_work, i);
      kq_sched_fixture_run (d, i == 2 ? 2200 * KQ_MS : 100 * KQ_MS);
    }
  /* r0 is suspect for 4 s. "aa" is in time and waits first, but is at work; "ff" is late
   * and starved. */
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_string_equal (d->task, "ff.0.0.0");
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_task_that_fails_everywhere_leaves_runners_in_use),
    FIXTURE_TEST (test_task_that_was_not_listed_is_not_stalled),
    FIXTURE_TEST (test_slowed_tasks_are_moved_as_their_step_allows),
    FIXTURE_TEST (test_tasks_slowed_to_nothing_leave_their_runner_in_use),
    FIXTURE_TEST (test_runner_where_alone_a_step_fails_is_avoided),
    FIXTURE_TEST (test_starved_step_behind_one_that_is_not),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
