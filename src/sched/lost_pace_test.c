#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* A run of a filling task, which uses this much cpu, is listed. */
static void
list_filling_run (KqSchedFixture *d, const char *runner, uint32_t run, int load)
{
  KqRunRow row = { .task = KQ_STR ("aa.0.0.0"),
                   .run = run,
                   .checkpoint = KQ_STR (""),
                   .percent = 10,
                   .load = load };
  kq_sched_fixture_list_runs (d, runner, &row, 1);
  kq_sched_fixture_run (d, 100 * KQ_MS);
}

/* A new leader finds a slowed filling task, and orders full speed. */
static void
adopt_slowed_task (KqSchedFixture *d)
{
  KqStep step = kq_sched_fixture_step ();
  step.filling = true;
  step.image = KQ_STR ("f");
  step.cpu_milli = 1000;
  kq_sched_fixture_new_leader (d);
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  list_filling_run (d, "r0", 1, 20);
  assert_int_equal (d->pace_orders, 1);
}

/* Guards against a filling task at pace 0 for good, or one that goes on at full speed
 * beside a serving task over its target, as its order was never carried out. */
static void
test_pace_order_without_an_answer_is_repeated (void **state)
{
  static const KqOrderResult failed[]
      = { KQ_ORDER_UNKNOWN, KQ_ORDER_UNHEALTHY, KQ_ORDER_FENCED };
  KqSchedFixture *d = *state;
  adopt_slowed_task (d);
  for (int i = 0; i < 3; i++)
    {
      kq_sched_fixture_outcome (d, KQ_ORDER_PACE, "r0", "aa.0.0.0", 1, failed[i]);
      list_filling_run (d, "r0", 1, 20);
      assert_int_equal (d->pace_orders, 2 + i);
    }
  kq_sched_fixture_outcome (d, KQ_ORDER_PACE, "r0", "aa.0.0.0", 1, KQ_ORDER_OK);
  list_filling_run (d, "r0", 1, 20);
  assert_int_equal (d->pace_orders, 4);
}

/* As above, for an order that was lost with its agent. */
static void
test_pace_order_of_a_lost_agent_is_repeated (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo info = { .name = kq_name (KQ_STR ("a9")), .share_milli = 1000 };
  adopt_slowed_task (d);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  d->agent = kq_sched_agent_up (d->sched, &info, d->now);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  list_filling_run (d, "r0", 1, 20);
  assert_int_equal (d->pace_orders, 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_pace_order_without_an_answer_is_repeated,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_pace_order_of_a_lost_agent_is_repeated,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
