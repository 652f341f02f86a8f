#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

typedef struct
{
  char runner[16];
  char task[96];
  uint32_t run;
} Start;

/* Sends a start whose outcome is unknown a second time, then lists its run. */
static void
repeat_start (KqSchedFixture *d, bool lasting, Start *out)
{
  KqRunRow row = { .checkpoint = KQ_STR (""), .percent = 10 };
  KqStep step = kq_sched_fixture_step ();
  step.lasting = lasting;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  memcpy (out->runner, d->runner, sizeof out->runner);
  memcpy (out->task, d->task, sizeof out->task);
  out->run = d->run;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, out->runner, out->task, out->run,
                            KQ_ORDER_UNKNOWN);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_int_equal (d->run, out->run);
  row.task = kq_str (out->task);
  row.run = out->run;
  kq_sched_fixture_list_runs (d, out->runner, &row, 1);
}

/* Guards against a task that runs twice: the repeat of a start is refused, and the
 * refusal is taken for the end of the run that the first start began. */
static void
test_refused_repeat_of_a_listed_run (void **state)
{
  static const KqOrderResult refusals[]
      = { KQ_ORDER_UNHEALTHY, KQ_ORDER_NO_ROOM, KQ_ORDER_BAD };
  KqSchedFixture *d = *state;
  Start s;
  repeat_start (d, false, &s);
  for (size_t i = 0; i < sizeof refusals / sizeof refusals[0]; i++)
    {
      kq_sched_fixture_outcome (d, KQ_ORDER_START, s.runner, s.task, s.run, refusals[i]);
      kq_sched_fixture_run (d, 300 * KQ_MS);
      assert_int_equal (d->start_orders, 2);
      assert_int_equal (d->stop_orders, 0);
    }
}

/* Guards against a task that runs twice: the repeat of a start is refused while its run
 * is being stopped. */
static void
test_refused_repeat_of_a_stopped_run (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = { .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .draining = true,
                      .remaining_ms = 100,
                      .room = { 4000, 16000, 0 } };
  Start s;
  repeat_start (d, true, &s);
  e.id = kq_str (s.runner);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, s.runner, s.task, s.run,
                            KQ_ORDER_UNHEALTHY);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, s.runner, s.task, s.run, KQ_ORDER_OK);
  kq_sched_fixture_list (d, s.runner, NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 3);
  assert_string_not_equal (d->runner, s.runner);
}

/* Guards against a task that runs twice: its start was sent twice, and the first copy
 * arrives after a restart of the runner. */
static void
test_repeated_start_is_stopped_after_a_restart (void **state)
{
  KqSchedFixture *d = *state;
  Start s;
  repeat_start (d, false, &s);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, s.runner, s.task, s.run, KQ_ORDER_OK);
  d->started_ms = 2;
  kq_sched_fixture_list (d, s.runner, NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, s.runner, s.task, s.run, KQ_ORDER_OK);
  kq_sched_fixture_list (d, s.runner, NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 3);
}

/* Guards against a task that runs twice: a runner that its agent couldn't reach has
 * restarted and begun it, with a lease that ends later. */
static void
test_start_answered_by_an_unreached_runner (void **state)
{
  KqSchedFixture *d = *state;
  KqOrderOutcome o = { .kind = KQ_ORDER_START, .lease_left_ms = 5000 };
  char runner[16];
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  memcpy (runner, d->runner, sizeof runner);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_unreached (d, d->agent, runner, 1000);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  o.task = kq_str (d->task);
  o.run = d->run;
  o.assignment = d->assignment[strcmp (runner, "r0") == 0 ? 0 : 1];
  kq_sched_outcome (d->sched, d->agent, kq_str (runner), &o, d->now);
  kq_sched_fixture_run (d, 4900 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  assert_int_equal (d->start_orders, 2);
}

/* Guards against a task that runs twice: a start is in flight to a runner that its agent
 * can't reach, and the runner begins it after a restart. */
static void
test_start_in_flight_to_an_unreached_runner (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  kq_sched_fixture_unreached (d, d->agent, d->runner, 1000);
  kq_sched_fixture_run (d, 5800 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_refused_repeat_of_a_listed_run,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_repeated_start_is_stopped_after_a_restart,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_refused_repeat_of_a_stopped_run,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_in_flight_to_an_unreached_runner,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_answered_by_an_unreached_runner,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
