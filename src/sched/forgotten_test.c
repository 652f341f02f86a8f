#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Longer than an agent needs to report a runner that it has, whatever the runner does. */
#define UNREPORTED (8 * KQ_SEC)

/* Guards against a task that never starts: its runner's agent has lost the order, or the
 * runner, and says nothing of either. The runner is assigned anew, and the start is
 * repeated. */
static void
test_order_to_an_agent_that_has_forgotten_the_runner (void **state)
{
  KqSchedFixture *d = *state;
  char runner[16];
  d->mute = true;
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  memcpy (runner, d->runner, sizeof runner);
  kq_sched_fixture_run (d, UNREPORTED);
  assert_int_equal (d->drop_orders, 2); /* both runners */
  kq_sched_fixture_list (d, runner, NULL, 0);
  kq_sched_fixture_run (d, 400 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->runner, runner);
}

/* A new leader has r0's lists, and its agent says nothing of r1, for so many seconds. */
static void
take_over (KqSchedFixture *d, int seconds)
{
  d->mute = true;
  kq_sched_fixture_new_leader (d);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_store_used_runners (d);
  for (int i = 0; i < seconds; i++)
    {
      kq_sched_fixture_run (d, KQ_SEC);
      kq_sched_fixture_list (d, "r0", NULL, 0);
    }
}

/* Guards against a change of leader after which tasks of earlier jobs never start: an
 * agent says nothing of a runner that it was assigned, and the leader waits for its list
 * to see what runs there. */
static void
test_list_of_an_agent_that_has_forgotten_the_runner (void **state)
{
  KqSchedFixture *d = *state;
  take_over (d, 8);
  assert_int_equal (d->drop_orders, 1);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Guards against the same where the runner's next agent says nothing of it either: the
 * leader waits no longer than for a runner that doesn't answer. */
static void
test_runner_of_which_no_agent_says_anything (void **state)
{
  KqSchedFixture *d = *state;
  take_over (d, 8);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 0); /* a lease from before may last so long */
  for (int i = 0; i < 2; i++)
    {
      kq_sched_fixture_run (d, KQ_SEC);
      kq_sched_fixture_list (d, "r0", NULL, 0);
    }
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
}

/* Guards against runners that change their agents, and leases that are counted as longer
 * than they are, because the leader itself has hung: no agent has been silent then. */
static void
test_leader_that_has_hung_drops_no_agent (void **state)
{
  KqSchedFixture *d = *state;
  d->mute = true;
  kq_sched_fixture_run (d, KQ_SEC);
  d->now += 60 * KQ_SEC;
  kq_sched_fixture_run (d, 400 * KQ_MS);
  assert_int_equal (d->drop_orders, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_order_to_an_agent_that_has_forgotten_the_runner,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_list_of_an_agent_that_has_forgotten_the_runner,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_runner_of_which_no_agent_says_anything,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_leader_that_has_hung_drops_no_agent,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
