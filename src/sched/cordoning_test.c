#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static void
cordon (KqSchedFixture *d, const char *domain)
{
  kq_cordons_add (d->cordons, kq_str (domain), 5, d->now);
  kq_sched_cordons_changed (d->sched, d->now);
}

static void
lift (KqSchedFixture *d, const char *domain)
{
  kq_cordons_lift (d->cordons, kq_str (domain));
  kq_sched_cordons_changed (d->sched, d->now);
}

/* Submits a job of `width` tasks, each of which needs a whole runner, so that each free
 * runner gets one. */
static void
submit_large (KqSchedFixture *d, const char *id, int32_t width)
{
  KqStep step = kq_sched_fixture_step ();
  step.cpu_milli = 4000;
  step.width = width;
  kq_sched_fixture_submit (d, id, step, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
}

/* Guards against tasks that start in a failure domain that operators have cordoned, and
 * against ones that don't start there once the cordon is lifted. */
static void
test_nothing_starts_in_a_cordoned_domain (void **state)
{
  KqSchedFixture *d = *state;
  cordon (d, "north");
  submit_large (d, "aa", 2);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r1");
  kq_sched_fixture_accept_starts (d);
  kq_sched_fixture_run (d, 5 * KQ_SEC);
  assert_int_equal (d->start_orders, 1);
  lift (d, "north");
  kq_sched_fixture_run (d, 20 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->runner, "r0");
}

/* As above, with all domains cordoned, one of them twice, and one that no runner is in.
 */
static void
test_cordons_of_all_domains (void **state)
{
  KqSchedFixture *d = *state;
  cordon (d, "north");
  cordon (d, "north");
  cordon (d, "south");
  cordon (d, "east");
  submit_large (d, "aa", 2);
  kq_sched_fixture_run (d, 5 * KQ_SEC);
  assert_int_equal (d->start_orders, 0);
  lift (d, "south");
  lift (d, "north");
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
}

/* As above, for a runner whose entry comes after the cordon. */
static void
test_runner_that_joins_a_cordoned_domain (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .failure_domain = KQ_STR ("west"),
                      .room = { 4000, 16000, 0 } };
  cordon (d, "west");
  kq_sched_entry (d->sched, &e, d->now);
  submit_large (d, "aa", 2);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r1");
}

/* As above, for a start without an answer: its repeat would start the task. The run is
 * stopped first, as the start may have arrived, and the task starts elsewhere. */
static void
test_start_is_not_repeated_in_a_cordoned_domain (void **state)
{
  KqSchedFixture *d = *state;
  char first[16];
  submit_large (d, "aa", 1);
  memcpy (first, d->runner, sizeof first);
  cordon (d, strcmp (first, "r0") == 0 ? "north" : "south");
  kq_sched_fixture_outcome (d, KQ_ORDER_START, first, d->task, d->run, KQ_ORDER_UNKNOWN);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, first, d->task, d->run, KQ_ORDER_OLD_RUN);
  kq_sched_fixture_list (d, first, NULL, 0);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_not_equal (d->runner, first);
}

/* Guards against work that is lost by a cordon: what runs goes on. */
static void
test_runs_go_on_in_a_cordoned_domain (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  KqRunRow row = { .run = 1, .percent = 100 };
  char first[16];
  lasting.lasting = true;
  lasting.checkpoints = true;
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, 4 * KQ_SEC);
  memcpy (first, d->runner, sizeof first);
  kq_sched_fixture_accept_starts (d);
  cordon (d, "north");
  cordon (d, "south");
  row.task = kq_str (d->task);
  for (int i = 0; i < 20; i++)
    {
      kq_sched_fixture_list_runs (d, first, &row, 1);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  assert_int_equal (d->stop_orders, 0);
}

/* Guards against tasks that start in a cordoned domain as a new leader hasn't read the
 * cordons yet. */
static void
test_nothing_starts_before_the_cordons_are_known (void **state)
{
  KqSchedFixture *d = *state;
  d->cordons->complete = false;
  submit_large (d, "aa", 2);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 0);
  d->cordons->complete = true;
  cordon (d, "south");
  kq_sched_fixture_run (d, 20 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
}

/* Guards against a task that is tried at each runner of a domain in turn: an agent knows
 * of the cordon before the leader does. */
static void
test_refusal_for_a_cordon_counts_for_the_domain (void **state)
{
  KqSchedFixture *d = *state;
  char first[16];
  KqRunnerEntry e = { .id = KQ_STR ("r1"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .failure_domain = KQ_STR ("north"),
                      .room = { 4000, 16000, 0 } };
  kq_sched_entry (d->sched, &e, d->now);
  submit_large (d, "aa", 1);
  memcpy (first, d->runner, sizeof first);
  kq_sched_fixture_start_cordoned (d, first, d->task, d->run);
  kq_sched_fixture_run (d, 800 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_run (d, 900 * KQ_MS); /* lifted, or the leader would know by now */
  assert_int_equal (d->start_orders, 2);
}

/* Guards against a job whose operators can't see why it waits. */
static void
test_explanation_names_cordons (void **state)
{
  KqSchedFixture *d = *state;
  KqBuf text = { 0 };
  cordon (d, "north");
  submit_large (d, "aa", 2);
  kq_sched_explain (d->sched, KQ_STR ("aa"), d->now, &text);
  kq_buf_add (&text, "", 1);
  assert_non_null (strstr (text.ptr, "failure domain north: cordoned for 100 ms"));
  kq_buf_free (&text);
}

#define TEST(name)                                                                       \
  cmocka_unit_test_setup_teardown (name, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_nothing_starts_in_a_cordoned_domain),
          TEST (test_cordons_of_all_domains),
          TEST (test_runner_that_joins_a_cordoned_domain),
          TEST (test_start_is_not_repeated_in_a_cordoned_domain),
          TEST (test_runs_go_on_in_a_cordoned_domain),
          TEST (test_nothing_starts_before_the_cordons_are_known),
          TEST (test_refusal_for_a_cordon_counts_for_the_domain),
          TEST (test_explanation_names_cordons) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
