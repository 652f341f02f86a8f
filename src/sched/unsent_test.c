#include "base/log.h"
#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Has each of the two runners be given a start twice, and has it end by `refuse`. */
static void
refuse_two_starts_per_runner (KqSchedFixture *d,
                              void (*refuse) (KqSchedFixture *d, const char *runner,
                                              const char *task, uint32_t run))
{
  int refused[2] = { 0 };
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  for (int i = 0; i < 100 && (refused[0] < 2 || refused[1] < 2); i++)
    {
      KqSchedFixtureStart s;
      kq_sched_fixture_run (d, 50 * KQ_MS);
      if (d->starts_pending->len == 0)
        continue;
      s = g_array_index (d->starts_pending, KqSchedFixtureStart, 0);
      g_array_remove_index (d->starts_pending, 0);
      refuse (d, s.runner, s.task, s.run);
      refused[strcmp (s.runner, "r1") == 0]++;
    }
  assert_true (refused[0] >= 2 && refused[1] >= 2);
}

static void
refuse_as_unhealthy (KqSchedFixture *d, const char *runner, const char *task,
                     uint32_t run)
{
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, run, KQ_ORDER_UNHEALTHY);
}

/* Guards against work that waits beside free room: starts that never left their agent
 * count as failures of the runners, which then get no tasks for seconds. */
static void
test_unsent_starts_do_not_make_runners_suspect (void **state)
{
  KqSchedFixture *d = *state;
  int before;
  refuse_two_starts_per_runner (d, kq_sched_fixture_start_unsent);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  before = d->start_orders;
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, before + 1);
}

/* Guards against starts that are sent again and again to a runner that no start reaches.
 */
static void
test_runner_gets_no_start_right_after_an_unsent_one (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  char runner[16];
  int again = 0;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  memcpy (runner, d->runner, sizeof runner);
  kq_sched_fixture_start_unsent (d, runner, d->task, d->run);
  step.width = 6;
  kq_sched_fixture_submit (d, "bb", step, false);
  for (int i = 0; i < 10; i++)
    {
      kq_sched_fixture_run (d, 50 * KQ_MS);
      assert_string_not_equal (d->runner, runner);
    }
  kq_sched_fixture_list (d, runner, NULL, 0);
  g_array_set_size (d->starts_pending, 0);
  kq_sched_fixture_submit (d, "cc", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  for (guint i = 0; i < d->starts_pending->len; i++)
    again += strcmp (g_array_index (d->starts_pending, KqSchedFixtureStart, i).runner,
                     runner)
             == 0;
  assert_true (again > 0);
}

/* Guards against a runner that refuses all starts and takes them from the others. */
static void
test_refused_starts_make_runners_suspect (void **state)
{
  KqSchedFixture *d = *state;
  int before;
  refuse_two_starts_per_runner (d, refuse_as_unhealthy);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  before = d->start_orders;
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, before);
}

/* Guards against a fleet that is left unused for 8 s: the starts that a runner refuses in
 * one moment count as one occasion after the other, each with a longer pause. */
static void
test_refusals_of_one_moment_make_one_pause (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  GArray *first;
  int before;
  step.width = 12;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 12);
  first = d->starts_pending;
  d->starts_pending = g_array_new (FALSE, FALSE, sizeof (KqSchedFixtureStart));
  for (guint i = 0; i < first->len; i++)
    {
      const KqSchedFixtureStart *s = &g_array_index (first, KqSchedFixtureStart, i);
      refuse_as_unhealthy (d, s->runner, s->task, s->run);
    }
  g_array_free (first, TRUE);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  before = d->start_orders;
  kq_sched_fixture_run (d, 1900 * KQ_MS);
  assert_int_equal (d->start_orders, before);
  kq_sched_fixture_run (d, 700 * KQ_MS);
  assert_int_equal (d->start_orders, before + 12);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_unsent_starts_do_not_make_runners_suspect,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_runner_gets_no_start_right_after_an_unsent_one,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_refusals_of_one_moment_make_one_pause,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_refused_starts_make_runners_suspect,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down)
  };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
