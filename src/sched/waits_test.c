#include "base/log.h"
#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
set_draining (const KqSchedFixture *d, bool draining)
{
  static const char *const ids[] = { "r0", "r1" };
  for (int i = 0; i < 2; i++)
    {
      KqRunnerEntry e = { .id = kq_str (ids[i]),
                          .service = KQ_STR ("desk"),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .draining = draining,
                          .room = { 4000, 16000, 0 } };
      kq_sched_entry (d->sched, &e, d->now);
    }
}

static uint64_t
count_idle_steps (const KqSchedFixture *d)
{
  kq_sched_gauges (d->sched);
  return *kq_counter (d->counters, "kq_steps_waiting_beside_room", "",
                      "Steps of which nothing runs though much room is free.");
}

/* Guards against work that waits beside free room without any sign of it. */
static void
test_step_that_waits_beside_free_room_is_counted (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_int_equal (count_idle_steps (d), 0);
  set_draining (d, true);
  kq_sched_fixture_submit (d, "bb", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (count_idle_steps (d), 0);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  assert_int_equal (count_idle_steps (d), 1);
  set_draining (d, false);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, 600 * KQ_MS);
  assert_int_equal (count_idle_steps (d), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test_setup_teardown (
      test_step_that_waits_beside_free_room_is_counted, kq_sched_fixture_set_up,
      kq_sched_fixture_tear_down) };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
