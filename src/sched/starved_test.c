#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Longer than a job may wait without a run while half of the room is free. */
#define STARVED_AFTER (2500 * KQ_MS)

/* Passes in lists of what runs on both runners, as started, every half second. */
static void
run_with_lists (KqSchedFixture *d, const GArray *runs, const char *silent, KqTime span)
{
  static const char *const ids[] = { "r0", "r1" };
  for (KqTime end = d->now + span; d->now < end;)
    {
      for (int i = 0; i < 2; i++)
        {
          KqRunRow rows[16];
          size_t n = 0;
          for (guint k = 0; k < runs->len; k++)
            {
              const KqSchedFixtureStart *t
                  = &g_array_index (runs, KqSchedFixtureStart, k);
              if (strcmp (t->runner, ids[i]) == 0)
                rows[n++] = (KqRunRow){ .task = kq_str (t->task),
                                        .run = t->run,
                                        .checkpoint = KQ_STR (""),
                                        .percent = (int)(d->now / (500 * KQ_MS) % 100),
                                        .load = 500 };
            }
          if (silent == NULL || strcmp (silent, ids[i]) != 0)
            kq_sched_fixture_list_runs (d, ids[i], rows, n);
        }
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
}

/* Accepts all starts and returns them. */
static GArray *
accept_starts (KqSchedFixture *d)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (KqSchedFixtureStart));
  g_array_append_vals (runs, d->starts_pending->data, d->starts_pending->len);
  kq_sched_fixture_accept_starts (d);
  return runs;
}

/* Guards against a job without a run that waits beside free room: its only start has no
 * answer, its runner is silent, and the start may never have been carried out. */
static void
test_run_that_may_not_exist_does_not_feed_a_job (void **state)
{
  KqSchedFixture *d = *state;
  KqStep fills = kq_sched_fixture_step ();
  GArray *runs;
  char silent[16];
  fills.filling = true;
  fills.estimate_ms = 600000;
  fills.image = KQ_STR ("fills");
  fills.cpu_milli = 2000;
  fills.width = 6;
  kq_sched_fixture_submit (d, "first", fills, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 4);
  runs = accept_starts (d);
  fills.width = 2;
  kq_sched_fixture_submit (d, "second", fills, false);
  run_with_lists (d, runs, NULL, STARVED_AFTER);
  assert_int_equal (d->start_orders, 5);
  assert_int_equal (strncmp (d->task, "second", 6), 0);
  memcpy (silent, d->runner, sizeof silent);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, silent, d->task, d->run, KQ_ORDER_UNKNOWN);
  kq_sched_fixture_unreached (d, d->agent, silent, 5000);
  run_with_lists (d, runs, silent, STARVED_AFTER);
  assert_int_equal (d->start_orders, 6);
  assert_int_equal (strncmp (d->task, "second", 6), 0);
  assert_string_not_equal (d->runner, silent);
  g_array_free (runs, TRUE);
}

/* Guards against a lasting task that waits beside free room while others of its step run:
 * the only runner that may have it is kept free of lasting tasks. */
static void
test_lasting_task_is_not_held_back_by_others_of_its_job (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  KqStep brief = kq_sched_fixture_step ();
  GArray *runs;
  brief.cpu_milli = 2500; /* as much as may be kept free of lasting tasks */
  brief.estimate_ms = 600000;
  kq_sched_fixture_submit (d, "brief", brief, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  lasting.lasting = true;
  lasting.width = 2;
  lasting.per_runner_max = 1;
  kq_sched_fixture_submit (d, "lasting", lasting, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  runs = accept_starts (d);
  run_with_lists (d, runs, NULL, STARVED_AFTER);
  assert_int_equal (d->start_orders, 3);
  g_array_free (runs, TRUE);
}

/* A filling step that takes all cpu which others leave unused, with four tasks. */
static KqStep
filling_step (void)
{
  KqStep fills = kq_sched_fixture_step ();
  fills.filling = true;
  fills.estimate_ms = 600000;
  fills.image = KQ_STR ("fills");
  fills.cpu_milli = 2000;
  fills.width = 6;
  return fills;
}

/* Submits such a step as job "first"; returns its runs. */
static GArray *
fill_runners (KqSchedFixture *d)
{
  kq_sched_fixture_submit (d, "first", filling_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 4);
  return accept_starts (d);
}

/* As above, for lasting tasks that use what others leave unused: they are placed one
 * after the other, as each may disturb serving tasks until the next report. */
static void
test_lasting_filling_tasks_are_placed_one_by_one (void **state)
{
  KqSchedFixture *d = *state;
  KqStep fills = filling_step ();
  GArray *runs = fill_runners (d);
  fills.width = 2;
  fills.lasting = true;
  kq_sched_fixture_submit (d, "second", fills, false);
  run_with_lists (d, runs, NULL, STARVED_AFTER);
  assert_int_equal (d->start_orders, 5);
  g_array_append_vals (runs, d->starts_pending->data, d->starts_pending->len);
  kq_sched_fixture_accept_starts (d);
  run_with_lists (d, runs, NULL, STARVED_AFTER);
  assert_int_equal (d->start_orders, 6);
  g_array_free (runs, TRUE);
}

/* Guards against wide lasting steps whose last tasks wait for tens of seconds beside free
 * room: as many are placed at a time as have run since the last ones. */
static void
test_lasting_filling_tasks_are_placed_in_growing_numbers (void **state)
{
  static const int placed[] = { 1, 2, 4, 8 };
  KqSchedFixture *d = *state;
  KqStep fills = filling_step ();
  GArray *runs = fill_runners (d);
  fills.width = 14;
  fills.lasting = true;
  kq_sched_fixture_submit (d, "second", fills, false);
  for (size_t i = 0; i < sizeof placed / sizeof placed[0]; i++)
    {
      run_with_lists (d, runs, NULL, STARVED_AFTER);
      assert_int_equal (d->start_orders, 4 + placed[i]);
      g_array_append_vals (runs, d->starts_pending->data, d->starts_pending->len);
      kq_sched_fixture_accept_starts (d);
    }
  g_array_free (runs, TRUE);
}

/* Guards against lost lasting tasks that wait for 6 s beside free room: what fills the
 * runners leaves them no cpu, and they were placed again in growing numbers like tasks
 * that have never run. */
static void
test_lost_lasting_filling_tasks_are_placed_together (void **state)
{
  KqSchedFixture *d = *state;
  KqStep fills = filling_step ();
  GArray *runs = fill_runners (d);
  guint n_filling = runs->len;
  fills.width = 5;
  fills.lasting = true;
  kq_sched_fixture_submit (d, "second", fills, false);
  for (int i = 0; i < 4; i++)
    {
      run_with_lists (d, runs, NULL, STARVED_AFTER);
      g_array_append_vals (runs, d->starts_pending->data, d->starts_pending->len);
      kq_sched_fixture_accept_starts (d);
    }
  assert_int_equal (d->start_orders, 4 + 5);
  g_array_set_size (runs, n_filling); /* the runs of "second" are in no list any more */
  run_with_lists (d, runs, NULL, STARVED_AFTER);
  assert_int_equal (d->start_orders, 4 + 5 + 5);
  g_array_free (runs, TRUE);
}

/* Guards against a gang that waits beside free room: only its first task was placed
 * beside filling tasks of other jobs. */
static void
test_starved_gang_is_placed_as_a_whole (void **state)
{
  KqSchedFixture *d = *state;
  KqStep fills = filling_step ();
  GArray *runs = fill_runners (d);
  fills.width = 3;
  fills.gang = true;
  kq_sched_fixture_submit (d, "gang", fills, false);
  run_with_lists (d, runs, NULL, STARVED_AFTER);
  assert_int_equal (d->start_orders, 7);
  g_array_free (runs, TRUE);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_run_that_may_not_exist_does_not_feed_a_job),
    FIXTURE_TEST (test_lasting_task_is_not_held_back_by_others_of_its_job),
    FIXTURE_TEST (test_lasting_filling_tasks_are_placed_one_by_one),
    FIXTURE_TEST (test_lasting_filling_tasks_are_placed_in_growing_numbers),
    FIXTURE_TEST (test_lost_lasting_filling_tasks_are_placed_together),
    FIXTURE_TEST (test_starved_gang_is_placed_as_a_whole),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
