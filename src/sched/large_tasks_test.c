#include "bench/sched_fixture.h"
#include "sched/state.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* After waiting for this long, a large task has a runner reserved. */
#define RESERVED_AFTER (500 * KQ_MS)

/* What runs, as the runners list it. */
typedef struct
{
  KqSchedFixture *fixture;
  GArray *runs; /* KqSchedFixtureStart */
  uint64_t n_ends;
} Load;

/* Passes in a list of the runner's runs, and the end as done of one of them; NULL: none.
 */
static void
list (const Load *l, const char *runner, const KqEndRow *end)
{
  KqSchedFixture *d = l->fixture;
  KqRunRow rows[16];
  KqRunnerList r = { .started_ms = 1, .lease_left_ms = 5000, .order = d->outcomes_sent };
  r.assignment = d->assignment[runner[1] - '0'];
  r.running = rows;
  r.ended = end;
  r.n_ended = end != NULL;
  for (guint i = 0; i < l->runs->len; i++)
    {
      const KqSchedFixtureStart *t = &g_array_index (l->runs, KqSchedFixtureStart, i);
      if (strcmp (t->runner, runner) == 0)
        rows[r.n_running++] = (KqRunRow){ .task = kq_str (t->task),
                                          .run = t->run,
                                          .checkpoint = KQ_STR (""),
                                          .percent = (int)(d->now / KQ_SEC % 100) };
    }
  kq_sched_list (d->sched, d->agent, kq_str (runner), &r, d->now);
}

static void
accept_starts (Load *l)
{
  KqSchedFixture *d = l->fixture;
  g_array_append_vals (l->runs, d->starts_pending->data, d->starts_pending->len);
  kq_sched_fixture_accept_starts (d);
}

/* Runs the scheduler for the span; starts are accepted, and both runners list their runs.
 */
static void
run (Load *l, KqTime span)
{
  for (KqTime end = l->fixture->now + span; l->fixture->now < end;)
    {
      kq_sched_fixture_run (l->fixture, 50 * KQ_MS);
      accept_starts (l);
      list (l, "r0", NULL);
      list (l, "r1", NULL);
    }
}

/* Ends one run of the job on the runner; false: there is none. */
static bool
end_as (Load *l, const char *job, const char *runner, KqEndReason reason)
{
  for (guint i = 0; i < l->runs->len; i++)
    {
      KqSchedFixtureStart t = g_array_index (l->runs, KqSchedFixtureStart, i);
      KqEndRow end = { .number = ++l->n_ends, .run = t.run, .reason = reason };
      if (strcmp (t.runner, runner) != 0 || strncmp (t.task, job, strlen (job)) != 0)
        continue;
      end.task = kq_str (t.task);
      g_array_remove_index (l->runs, i);
      list (l, runner, &end);
      return true;
    }
  return false;
}

static bool
end_one (Load *l, const char *job, const char *runner)
{
  return end_as (l, job, runner, KQ_END_DONE);
}

static int
count_runs (const Load *l, const char *job, const char *runner)
{
  int n = 0;
  for (guint i = 0; i < l->runs->len; i++)
    {
      const KqSchedFixtureStart *t = &g_array_index (l->runs, KqSchedFixtureStart, i);
      n += strcmp (t->runner, runner) == 0 && strncmp (t->task, job, strlen (job)) == 0;
    }
  return n;
}

static bool
is_reserved (const Load *l, const char *runner)
{
  return kq_runners_find (l->fixture->sched, kq_str (runner))->reservation.since != 0;
}

static KqStep
reserved_step (int32_t width, int32_t cpu_milli)
{
  KqStep p = kq_sched_fixture_step ();
  p.width = width;
  p.cpu_milli = cpu_milli;
  p.estimate_ms = 60000;
  return p;
}

/* Both runners are full of tasks of one core each; the decision is switched on. */
static Load
begin (void **state)
{
  Load l = { .fixture = *state };
  l.runs = g_array_new (FALSE, FALSE, sizeof (KqSchedFixtureStart));
  l.fixture->sched->config.features.large_task_room = true;
  kq_sched_fixture_submit (l.fixture, "small", reserved_step (8, 1000), false);
  run (&l, 100 * KQ_MS);
  assert_int_equal (l.runs->len, 8);
  return l;
}

/* As above; then a task of two cores waits, and r0 is reserved for it. */
static Load
begin_reserved (void **state)
{
  Load l = begin (state);
  kq_sched_fixture_submit (l.fixture, "large", reserved_step (1, 2000), false);
  run (&l, RESERVED_AFTER);
  assert_true (is_reserved (&l, "r0"));
  assert_false (is_reserved (&l, "r1"));
  return l;
}

static void
end (Load *l)
{
  g_array_free (l->runs, TRUE);
}

/* Guards against large tasks that never start, as smaller ones take each core that
 * becomes free: on the reserved runner nothing else is placed, and the reservation ends
 * with the large task's start. */
static void
test_smaller_tasks_leave_a_reserved_runner_to_larger_ones (void **state)
{
  Load l = begin_reserved (state);
  kq_sched_fixture_submit (l.fixture, "next", reserved_step (8, 1000), false);
  assert_true (end_one (&l, "small", "r0"));
  assert_true (end_one (&l, "small", "r1"));
  run (&l, 200 * KQ_MS);
  assert_int_equal (count_runs (&l, "next", "r0"), 0);
  assert_int_equal (count_runs (&l, "next", "r1"), 1);
  assert_true (end_one (&l, "small", "r0"));
  run (&l, 200 * KQ_MS);
  assert_int_equal (count_runs (&l, "large", "r0"), 1);
  assert_false (is_reserved (&l, "r0"));
  assert_true (end_one (&l, "small", "r0"));
  run (&l, 200 * KQ_MS);
  assert_int_equal (count_runs (&l, "next", "r0"), 1);
  end (&l);
}

/* Guards against operators who can't see why a large task waits. */
static void
test_explain_and_gauges_tell_of_reservations (void **state)
{
  Load l = begin_reserved (state);
  KqSchedFixture *d = l.fixture;
  KqBuf text = { 0 };
  run (&l, KQ_SEC);
  end_one (&l, "small", "r0");
  run (&l, 100 * KQ_MS);
  kq_sched_explain (d->sched, KQ_STR ("large"), d->now, &text);
  kq_buf_add_str (&text, kq_str_n ("", 1));
  assert_non_null (strstr (text.ptr, "no runner has 2000 free; 1 are reserved"));
  kq_buf_free (&text);
  kq_sched_gauges (d->sched);
  assert_int_equal (*kq_counter (d->counters, "kq_runners_reserved", "", ""), 1);
  assert_int_equal (
      *kq_counter (d->counters, "kq_cpu_stranded_milli", "service=\"desk\"", ""), 1000);
  assert_in_range (*kq_counter (d->counters, "kq_reserved_wait_longest_ms", "", ""), 1400,
                   1700);
  end (&l);
}

/* Guards against a reservation that holds free room while its tasks can't use it: another
 * runner is chosen after 3 s. */
static void
test_unused_reservation_moves_to_another_runner (void **state)
{
  Load l = begin_reserved (state);
  kq_sched_fixture_submit (l.fixture, "next", reserved_step (8, 1000), false);
  run (&l, 2500 * KQ_MS);
  assert_true (is_reserved (&l, "r0"));
  run (&l, 700 * KQ_MS);
  assert_false (is_reserved (&l, "r0"));
  assert_true (is_reserved (&l, "r1"));
  end (&l);
}

static void
check_moves_to_r1 (Load *l)
{
  run (l, 300 * KQ_MS);
  assert_false (is_reserved (l, "r0"));
  assert_true (is_reserved (l, "r1"));
  end (l);
}

static KqRunnerEntry
entry (const char *id, const char *service, bool draining)
{
  return (KqRunnerEntry){ .id = kq_str (id),
                          .service = kq_str (service),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .failure_domain = KQ_STR ("north"),
                          .room = { 4000, 16000, 0 },
                          .draining = draining };
}

/* Guards against a large task that waits for a reserved runner which has vanished. */
static void
test_reserved_runner_vanishes (void **state)
{
  Load l = begin_reserved (state);
  kq_sched_entry_gone (l.fixture->sched, KQ_STR ("r0"), l.fixture->now);
  check_moves_to_r1 (&l);
}

/* As above: the runner drains. */
static void
test_reserved_runner_drains (void **state)
{
  Load l = begin_reserved (state);
  KqRunnerEntry e = entry ("r0", "desk", true);
  kq_sched_entry (l.fixture->sched, &e, l.fixture->now);
  check_moves_to_r1 (&l);
}

/* As above: its failure domain is cordoned. */
static void
test_reserved_runner_is_cordoned (void **state)
{
  Load l = begin_reserved (state);
  kq_cordons_add (l.fixture->cordons, KQ_STR ("north"), 5, l.fixture->now);
  kq_sched_cordons_changed (l.fixture->sched, l.fixture->now);
  check_moves_to_r1 (&l);
}

/* Guards against room that stays reserved for a cancelled job. */
static void
test_job_with_a_reservation_is_cancelled (void **state)
{
  Load l = begin_reserved (state);
  kq_sched_cancel (l.fixture->sched, KQ_STR ("large"), l.fixture->now);
  kq_sched_fixture_submit (l.fixture, "next", reserved_step (1, 1000), false);
  assert_true (end_one (&l, "small", "r0"));
  run (&l, 100 * KQ_MS);
  assert_false (is_reserved (&l, "r0"));
  assert_int_equal (count_runs (&l, "next", "r0"), 1);
  end (&l);
}

/* Guards against a large task that starves after a change of leader: the new one begins
 * without reservations and makes its own. */
static void
test_leader_changes_while_a_runner_is_reserved (void **state)
{
  Load l = begin_reserved (state);
  KqSchedFixture *d = l.fixture;
  kq_sched_fixture_new_leader (d);
  d->sched->config.features.large_task_room = true;
  kq_sched_fixture_submit (d, "small", reserved_step (8, 1000), false);
  kq_sched_fixture_submit (d, "large", reserved_step (1, 2000), false);
  kq_sched_fixture_submit (d, "next", reserved_step (8, 1000), false);
  kq_sched_loaded (d->sched, d->now);
  assert_false (is_reserved (&l, "r0"));
  kq_sched_fixture_run (d, 50 * KQ_MS);
  kq_sched_fixture_store_used_runners (d);
  run (&l, 12 * KQ_SEC);
  assert_int_equal (is_reserved (&l, "r0") + is_reserved (&l, "r1"), 1);
  end (&l);
}

static void
submit_to_other (KqSchedFixture *d, const char *id, KqStep step)
{
  KqSpec spec = { .id = kq_str (id),
                  .queue = KQ_STR ("q"),
                  .service = KQ_STR ("other"),
                  .text = KQ_STR ("text"),
                  .attempts = 3,
                  .stretch_percent = 150,
                  .slo_ms = 500,
                  .steps = &step,
                  .n_steps = 1 };
  KqBuf b = { 0 };
  kq_spec_pack (&spec, &b);
  kq_sched_add_job (d->sched, kq_buf_str (&b), 10, d->now);
  kq_buf_free (&b);
}

/* Guards against a service whose runners are reserved for the tasks of another one, or
 * which gets no reservation as another one has as many as are allowed. */
static void
test_reservations_of_two_services_are_apart (void **state)
{
  Load l = begin (state);
  KqSchedFixture *d = l.fixture;
  KqRunnerEntry e = entry ("r0", "other", false);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_submit (d, "large", reserved_step (3, 2000), false);
  run (&l, RESERVED_AFTER);
  assert_false (is_reserved (&l, "r0"));
  assert_true (is_reserved (&l, "r1"));
  submit_to_other (d, "other", reserved_step (1, 2000));
  submit_to_other (d, "next", reserved_step (1, 1000));
  run (&l, RESERVED_AFTER);
  assert_true (is_reserved (&l, "r0"));
  assert_true (is_reserved (&l, "r1"));
  end (&l);
}

/* Guards against room reserved in vain: every runner is too small for the task. */
static void
test_no_reservation_if_every_runner_is_too_small (void **state)
{
  Load l = begin (state);
  kq_sched_fixture_submit (l.fixture, "large", reserved_step (1, 4500), false);
  run (&l, RESERVED_AFTER);
  assert_false (is_reserved (&l, "r0"));
  assert_false (is_reserved (&l, "r1"));
  end (&l);
}

/* Guards against a lost lasting task that waits beside free room as the room is reserved:
 * after 2 s it is placed there. One that has never run isn't. */
static void
test_lost_lasting_task_uses_reserved_room (void **state)
{
  KqSchedFixture *d = *state;
  Load l = { .fixture = d };
  KqStep lasting = reserved_step (1, 1000);
  lasting.lasting = true;
  l.runs = g_array_new (FALSE, FALSE, sizeof (KqSchedFixtureStart));
  d->sched->config.features.large_task_room = true;
  kq_sched_fixture_submit (d, "lasting", lasting, false);
  kq_sched_fixture_submit (d, "small", reserved_step (7, 1000), false);
  run (&l, 100 * KQ_MS);
  assert_int_equal (count_runs (&l, "lasting", "r1"), 1);
  assert_int_equal (l.runs->len, 8);
  kq_sched_fixture_submit (d, "large", reserved_step (1, 2000), false);
  kq_sched_fixture_submit (d, "next", reserved_step (8, 1000), false);
  kq_sched_fixture_submit (d, "never", lasting, false);
  run (&l, RESERVED_AFTER);
  assert_true (is_reserved (&l, "r0"));
  /* Room is free on r0 only, as "next" takes it on r1. */
  assert_true (end_as (&l, "lasting", "r1", KQ_END_FAILED));
  assert_true (end_one (&l, "small", "r0"));
  run (&l, 1800 * KQ_MS);
  assert_int_equal (l.runs->len, 7);
  run (&l, 700 * KQ_MS);
  assert_true (is_reserved (&l, "r0"));
  assert_int_equal (count_runs (&l, "lasting", "r0"), 1);
  assert_int_equal (count_runs (&l, "never", "r0"), 0);
  end (&l);
}

/* Guards against late reserved tasks behind lasting ones that have never run, which keep
 * the room. With the switch off the order is the former one. */
static void
check_late_order (void **state, bool on, const char *first)
{
  KqSchedFixture *d = *state;
  Load l = { .fixture = d };
  KqStep lasting = reserved_step (2, 4000);
  KqStep late = reserved_step (1, 4000);
  lasting.lasting = true;
  late.estimate_ms = 100;
  l.runs = g_array_new (FALSE, FALSE, sizeof (KqSchedFixtureStart));
  d->sched->config.features.large_task_room = on;
  kq_sched_fixture_submit (d, "full", reserved_step (2, 4000), false);
  run (&l, 100 * KQ_MS);
  kq_sched_fixture_submit (d, "late", late, false);
  kq_sched_fixture_submit (d, "never", lasting, false);
  run (&l, 1500 * KQ_MS); /* the objective of "late" is 650 ms */
  assert_true (end_one (&l, "full", "r1"));
  run (&l, 100 * KQ_MS);
  assert_int_equal (count_runs (&l, first, "r1"), 1);
  end (&l);
}

static void
test_late_reserved_task_comes_before_lasting_ones (void **state)
{
  check_late_order (state, true, "late");
}

static void
test_late_reserved_task_comes_last_by_default (void **state)
{
  check_late_order (state, false, "never");
}

/* Guards against a change of decisions where the switch is off. */
static void
test_nothing_is_reserved_by_default (void **state)
{
  Load l = begin (state);
  l.fixture->sched->config.features.large_task_room = false;
  kq_sched_fixture_submit (l.fixture, "large", reserved_step (1, 2000), false);
  run (&l, 2 * KQ_SEC);
  assert_false (is_reserved (&l, "r0"));
  assert_false (is_reserved (&l, "r1"));
  end (&l);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_smaller_tasks_leave_a_reserved_runner_to_larger_ones),
    FIXTURE_TEST (test_explain_and_gauges_tell_of_reservations),
    FIXTURE_TEST (test_unused_reservation_moves_to_another_runner),
    FIXTURE_TEST (test_reserved_runner_vanishes),
    FIXTURE_TEST (test_reserved_runner_drains),
    FIXTURE_TEST (test_reserved_runner_is_cordoned),
    FIXTURE_TEST (test_job_with_a_reservation_is_cancelled),
    FIXTURE_TEST (test_leader_changes_while_a_runner_is_reserved),
    FIXTURE_TEST (test_reservations_of_two_services_are_apart),
    FIXTURE_TEST (test_no_reservation_if_every_runner_is_too_small),
    FIXTURE_TEST (test_lost_lasting_task_uses_reserved_room),
    FIXTURE_TEST (test_late_reserved_task_comes_before_lasting_ones),
    FIXTURE_TEST (test_late_reserved_task_comes_last_by_default),
    FIXTURE_TEST (test_nothing_is_reserved_by_default),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
