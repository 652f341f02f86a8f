/* The load account and the order of waiting in a scheduler of two runners with 4 cores
 * each, which a job of two tasks has taken. */

#include "bench/sched_fixture.h"
#include "sched/job_load.h"
#include "sched/load_pass.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* Submits a job of `width` tasks, with an objective of 500 ms beyond 1.5 times their
 * estimate. More than ten are in two steps that may run at once. */
static void
submit_sized (KqSchedFixture *d, const char *id, int32_t width, int32_t cpu_milli,
              int32_t estimate_ms, KqTime age, uint64_t revision)
{
  KqStep steps[2] = { kq_sched_fixture_step (), kq_sched_fixture_step () };
  KqSpec spec = { .id = kq_str (id),
                  .queue = KQ_STR ("q"),
                  .service = KQ_STR ("desk"),
                  .text = KQ_STR (""),
                  .attempts = 3,
                  .stretch_percent = 150,
                  .slo_ms = 500,
                  .accepted_ms = (d->now - age) / KQ_MS,
                  .steps = steps,
                  .n_steps = width > 10 ? 2 : 1 };
  KqBuf b = { 0 };
  d->sched->wall_minus_now_ms = 1; /* 0 stands for not known */
  for (int i = 0; i < spec.n_steps; i++)
    {
      steps[i].width = width / spec.n_steps;
      steps[i].cpu_milli = cpu_milli;
      steps[i].estimate_ms = estimate_ms;
    }
  kq_spec_pack (&spec, &b);
  kq_sched_add_job (d->sched, kq_buf_str (&b), revision, d->now);
  kq_buf_free (&b);
}

/* As above, with tasks of 4 cores and 1 s. */
static void
submit (KqSchedFixture *d, const char *id, int32_t width, KqTime age, uint64_t revision)
{
  submit_sized (d, id, width, 4000, 1000, age, revision);
}

static int
set_up (void **state)
{
  KqSchedFixture *d;
  kq_sched_fixture_set_up (state);
  d = *state;
  d->sched->config.features.forecast_order = true;
  submit (d, "first", 2, 0, 10);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  kq_sched_fixture_accept_starts (d);
  return 0;
}

/* Ends the run that was started last. */
static void
end_last_run (KqSchedFixture *d, uint64_t number)
{
  char task[96];
  KqEndRow end = { .number = number, .run = d->run, .reason = KQ_END_DONE };
  memcpy (task, d->task, sizeof task);
  end.task = kq_str (task);
  end.checkpoint = KQ_STR ("");
  kq_sched_fixture_list (d, d->runner, &end, 1);
  kq_sched_fixture_run (d, 20 * KQ_MS);
  kq_sched_fixture_accept_starts (d);
}

static void
assert_last_started (const KqSchedFixture *d, const char *job)
{
  KqStr rest = kq_str (d->task);
  assert_true (kq_str_eq (kq_str_cut (&rest, '.'), kq_str (job)));
}

static KqLoadRow
row_of (const KqSchedFixture *d, KqLoadKind kind)
{
  KqLoadDigest digest;
  const KqLoadRow *row;
  kq_sched_load (d->sched, d->now, &digest);
  row = kq_load_find (&digest, KQ_STR ("desk"), kind);
  return row != NULL ? *row : (KqLoadRow){ 0 };
}

/* Guards against a large job that comes first in a burst and makes all others late. */
static void
test_large_job_is_deferred_for_small_ones (void **state)
{
  KqSchedFixture *d = *state;
  KqLoadRow row;
  submit (d, "large", 12, 0, 11);
  submit (d, "small", 1, 0, 12);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  row = row_of (d, KQ_LOAD_RESERVED);
  assert_int_equal (row.rate, 8000);
  assert_int_equal (row.waiting_jobs, 2);
  assert_int_equal (row.late_jobs, 1);
  assert_int_equal (row.in_time_work, 4000 * 1000);
  assert_int_equal (row.late_work, 12 * 4000 * 1000);
  assert_int_equal (row.cut_work, row.late_work);
  assert_int_equal (row.free_milli, 0);
  assert_int_equal (kq_load_wait_ms (&row), 6500);
  end_last_run (d, 1);
  assert_last_started (d, "small");
}

/* Guards against a burst that meets free room and isn't recognised, as little runs yet.
 */
static void
test_burst_is_judged_by_free_room (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_cancel (d->sched, KQ_STR ("first"), d->now);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).free_milli, 8000);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).largest_milli, 4000);
  submit (d, "large", 12, 0, 11);
  submit (d, "small", 2, 0, 12);
  kq_sched_fixture_run (d, 20 * KQ_MS);
  assert_last_started (d, "small");
  assert_in_range (row_of (d, KQ_LOAD_RESERVED).rate, 7000, 8000);
}

/* Guards against a changed order of jobs where operators have not asked for it. */
static void
test_switch_off_keeps_the_earliest_objective_first (void **state)
{
  KqSchedFixture *d = *state;
  d->sched->config.features.forecast_order = false;
  submit (d, "large", 12, 0, 11);
  submit (d, "small", 1, 0, 12);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).late_jobs, 1);
  end_last_run (d, 1);
  assert_last_started (d, "large");
}

/* Guards against an order by a load that the new leader has yet to learn: until it is
 * settled the account is unknown and the order is the present one. */
static void
test_account_is_unknown_until_a_new_leader_is_settled (void **state)
{
  KqSchedFixture *d = *state;
  const KqOccurrence *small;
  KqLoadDigest digest;
  kq_sched_fixture_new_leader (d);
  d->sched->config.features.forecast_order = true;
  kq_sched_set_exclusive_until (d->sched, KQ_TIME_NEVER);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_store_used_runners (d);
  submit (d, "large", 12, 0, 30);
  submit (d, "small", 1, 0, 31);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  kq_sched_load (d->sched, d->now, &digest);
  assert_false (digest.known);
  assert_null (kq_load_find (&digest, KQ_STR ("desk"), KQ_LOAD_RESERVED));
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, 20 * KQ_MS);
  assert_last_started (d, "large");
  small = kq_book_find (d->sched, KQ_STR ("small"))->occurrences;
  assert_int_equal (small->place.forecast_end, 0); /* nothing has been decided */
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_fixture_run (d, 20 * KQ_MS);
  kq_sched_load (d->sched, d->now, &digest);
  assert_true (digest.known);
  assert_last_started (d, "large"); /* it has begun */
  assert_true (small->place.forecast_end > d->now);
}

/* Guards against jobs judged by room that is gone: runners that don't answer count no
 * longer, also while their leases last. */
static void
test_rate_falls_with_the_runners_in_the_next_pass (void **state)
{
  KqSchedFixture *d = *state;
  submit (d, "more", 2, 0, 11);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).rate, 8000);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).late_jobs, 0);
  kq_sched_fixture_unreached (d, d->agent, "r0", 4000);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).rate, 4000);
}

/* Guards against jobs judged by room in a cordoned domain. */
static void
test_rate_falls_as_a_cordoned_domain_empties (void **state)
{
  KqSchedFixture *d = *state;
  submit (d, "more", 2, 0, 11);
  kq_cordons_add (d->cordons, KQ_STR ("north"), 1, d->now);
  kq_cordons_add (d->cordons, KQ_STR ("south"), 2, d->now);
  kq_sched_cordons_changed (d->sched, d->now);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).rate, 8000);
  kq_sched_fixture_run (d, 900 * KQ_MS);
  end_last_run (d, 1); /* about as long as estimated */
  kq_sched_fixture_run (d, 600 * KQ_MS);
  assert_in_range (row_of (d, KQ_LOAD_RESERVED).rate, 3900, 4100);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).free_milli, 0);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).waiting_jobs, 1);
}

/* Guards against a load that is gone and goes on to be reported. */
static void
test_load_that_is_gone_leaves_no_waiting_work (void **state)
{
  KqSchedFixture *d = *state;
  KqLoadRow row;
  submit (d, "large", 12, 0, 11);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_true (row_of (d, KQ_LOAD_RESERVED).in_time_work > 0);
  kq_sched_cancel (d->sched, KQ_STR ("large"), d->now);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  row = row_of (d, KQ_LOAD_RESERVED);
  assert_int_equal (row.in_time_work + row.late_work + row.waiting_jobs, 0);
  assert_int_equal (kq_load_wait_ms (&row), 0);
}

/* Guards against objectives that run from when the leader learned of a job: they run from
 * the clock of the node that accepted it, and one ahead of the leader's gives no more. */
static void
test_objective_runs_from_the_accepting_nodes_clock (void **state)
{
  KqSchedFixture *d = *state;
  submit (d, "behind", 1, 1500 * KQ_MS, 11);
  submit (d, "ahead", 1, -5 * KQ_SEC, 12);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).waiting_jobs, 2);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).late_jobs, 1);
  kq_sched_fixture_run (d, 1600 * KQ_MS);
  assert_int_equal (row_of (d, KQ_LOAD_RESERVED).late_jobs, 2);
}

/* Guards against accepted jobs that wait for as long as an overload lasts, and against
 * such jobs that take more than their share. */
static void
test_job_of_no_use_gets_its_turn (void **state)
{
  KqSchedFixture *d = *state;
  submit (d, "newest", 1, 0, 11);
  submit (d, "old", 1, 60 * KQ_SEC, 12);
  submit (d, "older", 1, 70 * KQ_SEC, 13);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  end_last_run (d, 1);
  assert_last_started (d, "older");
  submit (d, "fresh", 1, 0, 14);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  end_last_run (d, 2); /* nothing of no use runs any more */
  assert_last_started (d, "old");
}

/* Guards against jobs of no use that wait for as long as an overload lasts, because the
 * oldest of them has the turn and fits on no runner. */
static void
test_job_that_fits_nowhere_leaves_the_turn (void **state)
{
  KqSchedFixture *d = *state;
  submit_sized (d, "huge", 1, 64000, 1000, 80 * KQ_SEC, 11);
  submit (d, "old", 1, 60 * KQ_SEC, 12);
  submit (d, "newest", 1, 0, 13);
  kq_sched_fixture_run (d, 3 * KQ_SEC);
  end_last_run (d, 1);
  assert_last_started (d, "old");
}

/* Guards against work that overflows: clients declare estimates and cpu up to 2^31 - 1,
 * and a negative sum made each other job of the service look in time. */
static void
test_work_of_enormous_tasks_is_limited (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step
      = { .width = KQ_SPEC_TASKS_MAX, .cpu_milli = INT32_MAX, .estimate_ms = INT32_MAX };
  KqSpec spec = { .steps = &step, .n_steps = 1, .slo_ms = 1 };
  KqJobLoad load;
  KqLoadRow row;
  assert_true (kq_job_load (&spec, &load));
  assert_int_equal (load.work, KQ_LOAD_WORK_MAX);
  for (uint64_t i = 0; i < 100; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "huge%d", (int)i);
      submit_sized (d, id, 2, INT32_MAX, INT32_MAX, 0, 11 + i);
    }
  kq_sched_fixture_run (d, 600 * KQ_MS);
  row = row_of (d, KQ_LOAD_RESERVED);
  assert_int_equal (row.waiting_jobs, 100);
  assert_int_equal (row.in_time_work + row.late_work, 100 * KQ_LOAD_WORK_MAX);
}

/* Guards against refusals beside free room: a task that waits for a label doesn't show
 * that others of its size find no room elsewhere. */
static void
test_task_that_waits_for_a_label_takes_no_room_from_others (void **state)
{
  KqSchedFixture *d = *state;
  KqLoadRow row;
  submit (d, "labelled", 1, 0, 11);
  kq_book_find (d->sched, KQ_STR ("labelled"))->spec.steps[0].label = KQ_STR ("no such");
  kq_sched_cancel (d->sched, KQ_STR ("first"), d->now);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  row = row_of (d, KQ_LOAD_RESERVED);
  assert_int_equal (row.waiting_jobs, 1);
  assert_int_equal (row.free_milli, 8000);
  assert_int_equal (row.waiting_milli, 0);
}

/* Guards against a slow fleet that counts as fast: tasks that take twice their estimate
 * halve the rate. */
static void
test_rate_follows_what_tasks_take (void **state)
{
  KqSchedFixture *d = *state;
  submit (d, "second", 40, 0, 11);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  for (uint64_t i = 1; i < 20; i++)
    {
      end_last_run (d, i);
      kq_sched_fixture_run (d, 2 * KQ_SEC);
    }
  assert_in_range (row_of (d, KQ_LOAD_RESERVED).rate, 3700, 4600);
}

int
main (void)
{
#define TEST(f) cmocka_unit_test_setup_teardown (f, set_up, kq_sched_fixture_tear_down)
  const struct CMUnitTest tests[] = {
    TEST (test_large_job_is_deferred_for_small_ones),
    TEST (test_burst_is_judged_by_free_room),
    TEST (test_switch_off_keeps_the_earliest_objective_first),
    TEST (test_account_is_unknown_until_a_new_leader_is_settled),
    TEST (test_rate_falls_with_the_runners_in_the_next_pass),
    TEST (test_rate_falls_as_a_cordoned_domain_empties),
    TEST (test_load_that_is_gone_leaves_no_waiting_work),
    TEST (test_objective_runs_from_the_accepting_nodes_clock),
    TEST (test_job_of_no_use_gets_its_turn),
    TEST (test_job_that_fits_nowhere_leaves_the_turn),
    TEST (test_work_of_enormous_tasks_is_limited),
    TEST (test_task_that_waits_for_a_label_takes_no_room_from_others),
    TEST (test_rate_follows_what_tasks_take),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
