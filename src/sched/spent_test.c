#include "base/log.h"
#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define WIDE 100

static void
assert_explained (KqSchedFixture *d, const char *wanted)
{
  KqBuf text = { 0 };
  kq_sched_explain (d->sched, KQ_STR ("aa"), d->now, &text);
  kq_buf_add (&text, "", 1);
  assert_non_null (strstr (text.ptr, wanted));
  kq_buf_free (&text);
}

/* The totals of a job must show why it is late, even when the log lines of its runs have
 * been left out. */
static void
test_failed_runs_and_waits_are_explained (void **state)
{
  KqSchedFixture *d = *state;
  KqEndRow end = { .number = 1, .reason = KQ_END_FAILED, .checkpoint = KQ_STR ("") };
  KqStep step = kq_sched_fixture_step ();
  step.cpu_milli = 4000;
  step.width = 3;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 100 * KQ_MS); /* two tasks are placed, one waits */
  end.task = kq_str (d->task);
  end.run = d->run;
  kq_sched_fixture_accept_starts (d);
  kq_sched_fixture_run (d, 900 * KQ_MS);
  kq_sched_fixture_list (d, d->runner, &end, 1);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_explained (d, " failed=1 ");
  assert_explained (d, " runs=3 ");
}

/* Starts a serving task and removes the other runner. */
static KqRunRow
serve (KqSchedFixture *d, char task[96])
{
  KqStep step = kq_sched_fixture_step ();
  step.lasting = true;
  step.target_ms = 10;
  step.image = KQ_STR ("serves");
  kq_sched_fixture_submit (d, "zz", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  memcpy (task, d->task, sizeof d->task);
  kq_sched_entry_gone (d->sched, kq_str (strcmp (d->runner, "r0") == 0 ? "r1" : "r0"),
                       d->now);
  kq_sched_fixture_accept_starts (d);
  return (KqRunRow){
    .task = kq_str (task), .run = d->run, .checkpoint = KQ_STR (""), .load = 5
  };
}

static void
test_time_below_full_speed_is_explained (void **state)
{
  KqSchedFixture *d = *state;
  char serving[96];
  KqRunRow rows[2] = { serve (d, serving) };
  KqEndRow end = { .number = 1, .reason = KQ_END_FAILED, .checkpoint = KQ_STR ("") };
  KqStep step = kq_sched_fixture_step ();
  step.filling = true;
  step.image = KQ_STR ("f");
  kq_sched_fixture_list_runs (d, d->runner, rows, 1);
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  rows[1] = (KqRunRow){
    .task = kq_str (d->task), .run = d->run, .checkpoint = KQ_STR (""), .load = 400
  };
  kq_sched_fixture_accept_starts (d);
  rows[0].load = 40;
  kq_sched_fixture_run (d, 500 * KQ_MS);
  kq_sched_fixture_list_runs (d, d->runner, rows, 2);
  assert_int_equal (d->slow_pace_orders, 1);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  end.task = rows[1].task;
  end.run = rows[1].run;
  kq_sched_fixture_list (d, d->runner, &end, 1);
  assert_explained (d, " slowed_ms=300 ");
}

/* Log lines for single tasks would crowd out those that explain why a job is late: the
 * starts of a step share lines. */
static void
test_starts_of_a_step_share_lines (void **state)
{
  KqSchedFixture *d = *state;
  FILE *log = tmpfile ();
  int saved_stderr = dup (STDERR_FILENO);
  KqStep step = kq_sched_fixture_step ();
  char line[4096];
  int lines = 0;
  int runs = 0;
  step.width = WIDE;
  step.cpu_milli = 10;
  step.mem_mb = 10;
  assert_non_null (log);
  kq_log_set_level (KQ_LOG_DEBUG);
  dup2 (fileno (log), STDERR_FILENO);
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  dup2 (saved_stderr, STDERR_FILENO);
  close (saved_stderr);
  kq_log_set_level (KQ_LOG_ERROR);
  rewind (log);
  while (fgets (line, sizeof line, log) != NULL)
    {
      if (strstr (line, "Starting runs. step=aa.0.0 ") == NULL)
        continue;
      lines++;
      for (const char *at = line; (at = strchr (at, '@')) != NULL; at++)
        runs++;
    }
  fclose (log);
  assert_int_equal (runs, WIDE);
  assert_in_range (lines, 1, 4);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_failed_runs_and_waits_are_explained,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_time_below_full_speed_is_explained,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_starts_of_a_step_share_lines,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
