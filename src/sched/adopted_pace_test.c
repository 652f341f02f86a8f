#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* The runner lists the filling task, which uses `load` of the 1,000 thousandths of a core
 * that it asks for. */
static void
list_filling_task (KqSchedFixture *d, int load)
{
  KqRunRow row = { .task = KQ_STR ("aa.0.0.0"),
                   .run = 1,
                   .checkpoint = KQ_STR (""),
                   .percent = (int)(d->now / (500 * KQ_MS) % 100),
                   .load = load };
  kq_sched_fixture_list_runs (d, "r0", &row, 1);
}

/* A new leader finds a filling task with that load. */
static void
adopt_filling_task (KqSchedFixture *d, int load)
{
  KqStep step = kq_sched_fixture_step ();
  step.filling = true;
  step.image = KQ_STR ("f");
  step.cpu_milli = 1000;
  kq_sched_fixture_new_leader (d);
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  list_filling_task (d, load);
}

/* Runs the scheduler, with a list of the task every half second. */
static void
run_with_lists (KqSchedFixture *d, int load, KqTime span)
{
  for (KqTime end = d->now + span; d->now < end;)
    {
      kq_sched_fixture_run (d, 500 * KQ_MS);
      list_filling_task (d, load);
    }
}

static void
answer_pace (KqSchedFixture *d, KqOrderResult result)
{
  kq_sched_fixture_outcome (d, KQ_ORDER_PACE, "r0", "aa.0.0.0", 1, result);
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

/* Guards against a filling task that stays slowed, or at full speed beside a serving task
 * over its target, as the order that should have changed its pace was lost. */
static void
test_pace_order_without_an_answer_is_repeated (void **state)
{
  KqSchedFixture *d = *state;
  adopt_filling_task (d, 20);
  answer_pace (d, KQ_ORDER_UNKNOWN);
  run_with_lists (d, 20, 500 * KQ_MS);
  assert_int_equal (d->pace_orders, 2);
  answer_pace (d, KQ_ORDER_UNHEALTHY);
  run_with_lists (d, 20, 500 * KQ_MS);
  assert_int_equal (d->pace_orders, 3);
}

/* As above: the order was given to an agent that was lost before it answered. */
static void
test_pace_order_of_a_lost_agent_is_repeated (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  adopt_filling_task (d, 20);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  d->agent = kq_sched_fixture_add_agent (d, &b);
  d->outcomes_sent = 0;
  kq_sched_fixture_run (d, 500 * KQ_MS);
  list_filling_task (d, 20);
  assert_int_equal (d->pace_orders, 2);
}

/* Guards against a pace that stays wrong: an order without an answer is carried out
 * seconds later, after a newer one. The newer one is repeated until that can't happen any
 * more, and not for ever. */
static void
test_newest_pace_is_repeated_after_one_without_an_answer (void **state)
{
  KqSchedFixture *d = *state;
  int before;
  adopt_filling_task (d, 20);
  answer_pace (d, KQ_ORDER_UNKNOWN);
  run_with_lists (d, 20, 500 * KQ_MS);
  answer_pace (d, KQ_ORDER_OK);
  for (int i = 0; i < 7; i++)
    {
      before = d->pace_orders;
      run_with_lists (d, 950, 2 * KQ_SEC);
      answer_pace (d, KQ_ORDER_OK);
      assert_true (d->pace_orders > before);
    }
  run_with_lists (d, 950, 2 * KQ_SEC);
  before = d->pace_orders;
  run_with_lists (d, 950, 5 * KQ_SEC);
  assert_int_equal (d->pace_orders, before);
  assert_int_equal (d->stop_orders, 0);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_slowed_task_of_an_earlier_leader_is_set_to_full_speed),
    FIXTURE_TEST (test_task_at_full_speed_needs_no_order),
    FIXTURE_TEST (test_pace_order_without_an_answer_is_repeated),
    FIXTURE_TEST (test_pace_order_of_a_lost_agent_is_repeated),
    FIXTURE_TEST (test_newest_pace_is_repeated_after_one_without_an_answer),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
