#include "base/log.h"
#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Guards against leases that all lapse: the last other agent is lost while the store is
 * away, and the leader's own agent, which could renew them, isn't in the stored list. */
static void
test_own_agent_takes_over_while_the_store_is_away (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo own
      = { .name = kq_name (KQ_STR ("own")), .share_milli = 1000, .leader = true };
  int o = kq_sched_agent_up (d->sched, &own, d->now);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  kq_sched_fixture_store_used_runners (d); /* the store answers until now */
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  kq_sched_fixture_run (d, 4 * KQ_SEC);
  assert_int_equal (d->taken_by[1], o);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test_setup_teardown (
      test_own_agent_takes_over_while_the_store_is_away, kq_sched_fixture_set_up,
      kq_sched_fixture_tear_down) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
