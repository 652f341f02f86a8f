#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* A new leader finds a filling task that uses `load` of the 1,000 thousandths of a core
 * that it asks for. */
static void
adopt_filling_task (KqSchedFixture *d, int load)
{
  KqRunRow row = { .task = KQ_STR ("aa.0.0.0"),
                   .run = 1,
                   .checkpoint = KQ_STR (""),
                   .percent = 10,
                   .load = load };
  KqStep step = kq_sched_fixture_step ();
  step.filling = true;
  step.image = KQ_STR ("f");
  step.cpu_milli = 1000;
  kq_sched_fixture_new_leader (d);
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_list_runs (d, "r0", &row, 1);
}

/* A task that an earlier leader has slowed must be set to full speed; the new leader
 * would otherwise take it for one at full speed, and the job would stall. */
static void
test_slowed_task_of_an_earlier_leader_is_set_to_full_speed (void **state)
{
  KqSchedFixture *d = *state;
  adopt_filling_task (d, 20);
  assert_int_equal (d->pace_orders, 1);
  assert_int_equal (d->slow_pace_orders, 0);
}

static void
test_task_at_full_speed_needs_no_order (void **state)
{
  KqSchedFixture *d = *state;
  adopt_filling_task (d, 950);
  assert_int_equal (d->pace_orders, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (
              test_slowed_task_of_an_earlier_leader_is_set_to_full_speed,
              kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
          cmocka_unit_test_setup_teardown (test_task_at_full_speed_needs_no_order,
                                           kq_sched_fixture_set_up,
                                           kq_sched_fixture_tear_down) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
