#include "base/log.h"
#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Guards against jobs that are neither said to wait nor run: their starts were ordered,
 * and no runner has confirmed one. */
static void
test_job_waits_until_a_runner_has_confirmed_a_start (void **state)
{
  KqSchedFixture *d = *state;
  KqRunRow row = { .percent = 10 };
  char runner[16];
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  assert_int_equal (kq_sched_waiting (d->sched, KQ_STR ("q")), 1);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  memcpy (runner, d->runner, sizeof runner);
  assert_int_equal (kq_sched_waiting (d->sched, KQ_STR ("q")), 1);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("aa")), KQ_JOB_WAITING);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, d->task, d->run, KQ_ORDER_UNKNOWN);
  assert_int_equal (kq_sched_waiting (d->sched, KQ_STR ("q")), 1);
  row.task = kq_str (d->task);
  row.run = d->run;
  kq_sched_fixture_list_runs (d, runner, &row, 1);
  assert_int_equal (kq_sched_waiting (d->sched, KQ_STR ("q")), 0);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("aa")), KQ_JOB_RUNNING);
}

static void
test_answered_start_begins_its_job (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  kq_sched_fixture_accept_starts (d);
  assert_int_equal (kq_sched_waiting (d->sched, KQ_STR ("q")), 0);
}

/* Guards against a job that has run and is still said to wait: its run began and ended
 * between two lists, and its start was never answered. */
static void
test_end_of_an_unanswered_start_begins_its_job (void **state)
{
  KqSchedFixture *d = *state;
  KqEndRow end = { .number = 1, .reason = KQ_END_FAILED };
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run,
                            KQ_ORDER_UNKNOWN);
  end.task = kq_str (d->task);
  end.run = d->run;
  kq_sched_fixture_list (d, d->runner, &end, 1);
  assert_int_equal (kq_sched_waiting (d->sched, KQ_STR ("q")), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_job_waits_until_a_runner_has_confirmed_a_start,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_answered_start_begins_its_job,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_end_of_an_unanswered_start_begins_its_job,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down)
  };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
