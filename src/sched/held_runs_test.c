#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static void
start_one (KqSchedFixture *d)
{
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Guards against a task that waits for a run which has ended at its runner: the start was
 * refused as old, and the next list ends the run. */
static void
test_run_refused_as_old_ends_with_the_next_list (void **state)
{
  KqSchedFixture *d = *state;
  uint32_t first;
  start_one (d);
  first = d->run;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, first,
                            KQ_ORDER_OLD_RUN);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_list (d, d->runner, NULL, 0);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_true (d->run > first);
}

/* As above: the start was accepted, and the run has ended unseen. */
static void
test_run_accepted_and_never_listed_ends_with_the_next_list (void **state)
{
  KqSchedFixture *d = *state;
  start_one (d);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list (d, d->runner, NULL, 0);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
}

/* As above: the run's stop was given to an agent that was lost before it answered. */
static void
test_stop_of_a_lost_agent_is_repeated (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  KqRunRow row = { .run = 1, .checkpoint = KQ_STR (""), .percent = 1 };
  char runner[16];
  char task[96];
  start_one (d);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  row.task = kq_str (task);
  kq_sched_fixture_accept_starts (d);
  kq_sched_cancel (d->sched, KQ_STR ("aa"), d->now);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  d->agent = kq_sched_fixture_add_agent (d, &b);
  d->outcomes_sent = 0;
  kq_sched_fixture_run (d, 300 * KQ_MS);
  kq_sched_fixture_list_runs (d, runner, &row, 1);
  kq_sched_fixture_run (d, 1500 * KQ_MS);
  assert_in_range (d->stop_orders, 2, 3);
}

/* Guards against a task that isn't started for minutes: an earlier leader has started it
 * more often than the numbers of its term allow, and the runner knows a higher number. */
static void
test_number_far_below_that_of_an_earlier_run (void **state)
{
  const uint32_t known = 2500;
  KqSchedFixture *d = *state;
  start_one (d);
  for (int i = 0; i < 5 && d->run <= known; i++)
    {
      kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run,
                                KQ_ORDER_OLD_RUN);
      kq_sched_fixture_list (d, d->runner, NULL, 0);
      kq_sched_fixture_run (d, 50 * KQ_MS);
    }
  assert_true (d->run > known);
}

/* A run of a job that isn't known, and so of unknown size, keeps tasks away from its
 * runner until a list shows that it is gone, and no longer. */
static void
test_run_of_an_unknown_job_keeps_tasks_away_while_listed (void **state)
{
  KqSchedFixture *d = *state;
  KqRunRow row = { .task = KQ_STR ("zz.0.0.0"), .run = 1, .checkpoint = KQ_STR ("") };
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_list_runs (d, "r0", &row, 1);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 0);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* A gang whose members haven't all begun is started again once the runs of the attempt
 * have ended, under one new number. */
static void
test_gang_is_started_again_when_its_last_run_has_ended (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  KqRunRow row = { .task = KQ_STR ("aa.0.0.0"), .run = 1, .checkpoint = KQ_STR ("") };
  KqSchedFixtureStart first;
  KqSchedFixtureStart second;
  step.gang = true;
  step.width = 2;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  first = g_array_index (d->starts_pending, KqSchedFixtureStart, 0);
  second = g_array_index (d->starts_pending, KqSchedFixtureStart, 1);
  row.task = kq_str (first.task);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, first.runner, first.task, 1, KQ_ORDER_OK);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, second.runner, second.task, 1,
                            KQ_ORDER_NO_ROOM);
  kq_sched_fixture_list_runs (d, first.runner, &row, 1);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 2);
  kq_sched_fixture_list (d, first.runner, NULL, 0);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 4);
  assert_int_equal (d->run, 2);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_run_refused_as_old_ends_with_the_next_list),
    FIXTURE_TEST (test_run_accepted_and_never_listed_ends_with_the_next_list),
    FIXTURE_TEST (test_stop_of_a_lost_agent_is_repeated),
    FIXTURE_TEST (test_number_far_below_that_of_an_earlier_run),
    FIXTURE_TEST (test_run_of_an_unknown_job_keeps_tasks_away_while_listed),
    FIXTURE_TEST (test_gang_is_started_again_when_its_last_run_has_ended),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
