#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define INTERVAL (2 * KQ_SEC)
/* From an occurrence's due time to its first start, at most. */
#define DELAY (500 * KQ_MS)

/* A job that runs its one task three times: at once, and after each interval. */
static void
add_timed_job (KqSchedFixture *d, int64_t first_ms)
{
  KqStep step = kq_sched_fixture_step ();
  KqSpec spec = { .id = KQ_STR ("aa"),
                  .queue = KQ_STR ("q"),
                  .service = KQ_STR ("desk"),
                  .text = KQ_STR ("text"),
                  .attempts = 3,
                  .stretch_percent = 150,
                  .slo_ms = 500,
                  .first_ms = first_ms,
                  .interval_ms = INTERVAL / KQ_MS,
                  .n_occurrences = 3,
                  .steps = &step,
                  .n_steps = 1 };
  KqBuf b = { 0 };
  kq_spec_pack (&spec, &b);
  kq_sched_add_job (d->sched, kq_buf_str (&b), 10, d->now);
  kq_buf_free (&b);
}

/* Lets the last run that was started end as done. */
static void
finish_last (KqSchedFixture *d, uint64_t number)
{
  KqEndRow end = { .number = number, .reason = KQ_END_DONE, .run = d->run };
  char runner[16];
  char task[96];
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  end.task = kq_str (task);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list (d, runner, &end, 1);
}

/* Stores all progress; appends that of the only job that has some. */
static void
store (KqSchedFixture *d, KqBuf *progress)
{
  KqProgress row;
  if (kq_sched_store_begin (d->sched, &row, 1, d->now) == 0)
    return;
  kq_buf_clear (progress);
  kq_buf_add_str (progress, row.value);
  kq_sched_stored (d->sched, true, d->now);
}

/* Each occurrence starts when it is due, though an earlier one still runs. */
static void
test_occurrences_start_when_due (void **state)
{
  KqSchedFixture *d = *state;
  add_timed_job (d, (d->now + INTERVAL) / KQ_MS);
  kq_sched_fixture_run (d, INTERVAL);
  assert_int_equal (d->start_orders, 0);
  kq_sched_fixture_run (d, DELAY);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->task, "aa.0.0.0");
  kq_sched_fixture_accept_starts (d);
  kq_sched_fixture_run (d, INTERVAL);
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->task, "aa.1.0.0");
  finish_last (d, 1);
  kq_sched_fixture_run (d, INTERVAL);
  assert_int_equal (d->start_orders, 3);
  assert_string_equal (d->task, "aa.2.0.0");
}

/* Guards against an occurrence that never runs, or runs again, after a change of leader:
 * the first is done, the second runs, the third comes due while nobody leads. */
static void
test_occurrences_go_on_under_the_next_leader (void **state)
{
  KqSchedFixture *d = *state;
  KqBuf progress = { 0 };
  KqRunRow row = { .run = 1, .checkpoint = KQ_STR (""), .percent = 10 };
  int64_t first_ms = d->now / KQ_MS;
  char runner[16];
  add_timed_job (d, first_ms);
  kq_sched_fixture_run (d, DELAY);
  assert_int_equal (d->start_orders, 1);
  finish_last (d, 1);
  kq_sched_fixture_run (d, INTERVAL);
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->task, "aa.1.0.0");
  kq_sched_fixture_accept_starts (d);
  memcpy (runner, d->runner, sizeof runner);
  row.run = d->run;
  store (d, &progress);
  d->now += INTERVAL;
  kq_sched_fixture_new_leader (d);
  add_timed_job (d, first_ms);
  assert_true (
      kq_sched_apply_progress (d->sched, KQ_STR ("aa"), kq_buf_str (&progress), d->now));
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  row.task = KQ_STR ("aa.1.0.0");
  kq_sched_fixture_list_runs (d, runner, &row, 1);
  kq_sched_fixture_list (d, strcmp (runner, "r0") == 0 ? "r1" : "r0", NULL, 0);
  kq_sched_fixture_run (d, DELAY);
  assert_int_equal (d->start_orders, 3);
  assert_string_equal (d->task, "aa.2.0.0");
  kq_buf_free (&progress);
}

/* A leader starts the first occurrence and is followed by one whose clock is behind by
 * more than the time since. */
static void
start_and_change_leader (KqSchedFixture *d, char runner[16], char task[96])
{
  int64_t first_ms = d->now / KQ_MS;
  add_timed_job (d, first_ms);
  kq_sched_fixture_run (d, DELAY);
  assert_int_equal (d->start_orders, 1);
  memcpy (runner, d->runner, 16);
  memcpy (task, d->task, 96);
  d->clock_behind_ms = 2000;
  kq_sched_fixture_new_leader (d);
  add_timed_job (d, first_ms);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, 100 * KQ_MS);
}

/* Guards against a task of an occurrence that runs again after its end was acknowledged:
 * by the clock of the present leader the occurrence isn't due yet. */
static void
test_end_in_an_occurrence_that_is_not_due_counts (void **state)
{
  KqSchedFixture *d = *state;
  char runner[16];
  char task[96];
  KqEndRow end = { .number = 1, .reason = KQ_END_DONE };
  start_and_change_leader (d, runner, task);
  end.task = kq_str (task);
  end.run = d->run;
  kq_sched_fixture_list (d, runner, &end, 1);
  kq_sched_fixture_list (d, runner[1] == '0' ? "r1" : "r0", NULL, 0);
  kq_sched_fixture_run (d, 2 * KQ_SEC + INTERVAL); /* until the next one is due */
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->task, "aa.1.0.0");
}

/* Guards against a run that is stopped and lost, as by the clock of the present leader
 * its occurrence isn't due yet. */
static void
test_run_in_an_occurrence_that_is_not_due_goes_on (void **state)
{
  KqSchedFixture *d = *state;
  char runner[16];
  char task[96];
  KqRunRow row = { .checkpoint = KQ_STR (""), .percent = 10, .load = -1 };
  start_and_change_leader (d, runner, task);
  row.task = kq_str (task);
  row.run = d->run;
  kq_sched_fixture_list_runs (d, runner, &row, 1);
  kq_sched_fixture_list (d, runner[1] == '0' ? "r1" : "r0", NULL, 0);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->stop_orders, 0);
  assert_int_equal (d->start_orders, 1);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_occurrences_start_when_due),
    FIXTURE_TEST (test_occurrences_go_on_under_the_next_leader),
    FIXTURE_TEST (test_end_in_an_occurrence_that_is_not_due_counts),
    FIXTURE_TEST (test_run_in_an_occurrence_that_is_not_due_goes_on),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
