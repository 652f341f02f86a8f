#include "bench/sched_fixture.h"
#include "sched/window.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define TASKS 600

static void
send (KqWindow *w, int n)
{
  for (int i = 0; i < n; i++)
    kq_window_add (w);
}

static void
answer (KqWindow *w, int n, KqTime took)
{
  for (int i = 0; i < n; i++)
    {
      kq_window_remove (w);
      kq_window_adapt (w, took);
    }
}

static int
size (KqWindow w)
{
  int n = 0;
  for (; kq_window_is_open (&w); n++)
    kq_window_add (&w);
  return n;
}

static void
test_prompt_answers_widen_the_window (void **state)
{
  KqWindow w;
  int first;
  (void)state;
  kq_window_init (&w);
  first = size (w);
  send (&w, first);
  answer (&w, first, 60 * KQ_MS);
  assert_int_equal (size (w), 2 * first);
}

static void
test_late_answers_narrow_the_window (void **state)
{
  KqWindow w;
  int least;
  (void)state;
  kq_window_init (&w);
  send (&w, 5000);
  answer (&w, 5000, 2 * KQ_SEC);
  least = size (w);
  assert_in_range (least, 1, 100);
  send (&w, least);
  answer (&w, least, 350 * KQ_MS); /* neither soon nor late */
  assert_int_equal (size (w), least);
}

/* One slow runner in seven must not hold up starts on the others. */
static void
test_few_late_answers_do_not_narrow_the_window (void **state)
{
  KqWindow w;
  int first;
  (void)state;
  kq_window_init (&w);
  first = size (w);
  for (int i = 0; i < 100; i++)
    {
      send (&w, 7);
      answer (&w, 1, 2 * KQ_SEC);
      answer (&w, 6, 60 * KQ_MS);
    }
  assert_true (size (w) > first);
}

static void
submit_wide_job (KqSchedFixture *d)
{
  KqStep step = kq_sched_fixture_step ();
  step.width = TASKS;
  step.cpu_milli = 10;
  step.mem_mb = 10;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 10 * KQ_MS);
}

/* A leader that sends all starts at once loses its lease again and again, as renewals
 * queue behind them on its link. Starts must be sent only as fast as they are answered.
 */
static void
test_starts_are_sent_as_fast_as_they_are_answered (void **state)
{
  KqSchedFixture *d = *state;
  int before;
  submit_wide_job (d);
  assert_in_range (d->start_orders, 64, 256);
  before = d->start_orders;
  kq_sched_fixture_run (d, KQ_SEC);
  assert_in_range (d->start_orders, before, TASKS / 2);
  for (int i = 0; i < 4; i++)
    {
      kq_sched_fixture_accept_starts (d);
      kq_sched_fixture_run (d, 50 * KQ_MS);
    }
  assert_true (d->start_orders >= TASKS);
}

/* Starts under way at a node that is lost are never answered, and must not count in the
 * window for good. */
static void
test_starts_of_a_lost_node_are_not_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo info = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  int before;
  submit_wide_job (d);
  kq_sched_agent_down (d->sched, d->agent, true, d->now);
  d->agent = kq_sched_fixture_add_agent (d, &info);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  before = d->start_orders;
  for (int i = 0; i < 3; i++)
    {
      kq_sched_fixture_list (d, "r0", NULL, 0);
      kq_sched_fixture_list (d, "r1", NULL, 0);
      kq_sched_fixture_run (d, 100 * KQ_MS);
    }
  assert_true (d->start_orders > 2 * before); /* the lost ones again, and others */
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_prompt_answers_widen_the_window),
    cmocka_unit_test (test_late_answers_narrow_the_window),
    cmocka_unit_test (test_few_late_answers_do_not_narrow_the_window),
    cmocka_unit_test_setup_teardown (test_starts_are_sent_as_fast_as_they_are_answered,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_starts_of_a_lost_node_are_not_waited_for,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
