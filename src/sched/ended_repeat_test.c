#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Guards against a task that runs twice: its run is listed and ends while a repeat of its
 * start is in flight, which may arrive after a restart of the runner. */
static void
test_listed_run_ends_while_its_start_is_repeated (void **state)
{
  KqSchedFixture *d = *state;
  KqRunRow row = { .checkpoint = KQ_STR (""), .percent = 10 };
  KqEndRow end = { .number = 1, .reason = KQ_END_FAILED };
  char runner[16];
  char task[96];
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  row.task = end.task = kq_str (task);
  row.run = end.run = d->run;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, row.run, KQ_ORDER_UNKNOWN);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  kq_sched_fixture_list_runs (d, runner, &row, 1);
  kq_sched_fixture_list (d, runner, &end, 1);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2); /* the stop has no answer yet */
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, runner, task, row.run, KQ_ORDER_OK);
  kq_sched_fixture_list (d, runner, NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test_setup_teardown (
      test_listed_run_ends_while_its_start_is_repeated, kq_sched_fixture_set_up,
      kq_sched_fixture_tear_down) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
