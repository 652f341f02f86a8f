#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Starts the lasting task of "aa", lists it as at work and returns its runner's host. */
static const char *
start_lasting (KqSchedFixture *d)
{
  KqStep lasting = kq_sched_fixture_step ();
  lasting.lasting = true;
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list_serving (d, d->runner, d->task, d->run, 5);
  return d->runner[1] == '0' ? "h0" : "h1";
}

/* Guards against a host that goes down with tasks at work: the entry of its runner has
 * expired in an outage of the store, and the runner goes on answering. */
static void
test_host_whose_entry_is_missing_is_drained (void **state)
{
  KqSchedFixture *d = *state;
  const char *host = start_lasting (d);
  char runner[16];
  memcpy (runner, d->runner, sizeof runner);
  kq_sched_entry_gone (d->sched, kq_str (runner), d->now);
  kq_sched_fixture_request_wave_of (d, 4, host);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 0);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_list (d, runner, NULL, 0);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 1);
}

/* As above, under the next leader: it knows the runner by the stored list of runners, and
 * waits for the runner's list. */
static void
test_next_leader_drains_a_host_whose_entry_is_missing (void **state)
{
  KqSchedFixture *d = *state;
  const char *host = start_lasting (d);
  char runner[16];
  char task[96];
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  d->entries_missing = true;
  kq_sched_fixture_new_leader (d);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_request_wave_of (d, 4, host);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL + KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 0);
  d->stop_orders = 0;
  kq_sched_fixture_list_serving (d, runner, task, 1, 5);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 0);
  kq_sched_fixture_list (d, runner, NULL, 0);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 1);
}

/* Guards against a host that goes down with tasks at work: its runner has crashed and is
 * up again under a new id, while the entry of the earlier one is still in the store. */
static void
test_host_is_drained_of_its_present_runner (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  lasting.lasting = true;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_add_entry (d, "r2", "h0");
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_list (d, "r2", NULL, 0);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_unreached (d, d->agent, "r0", 4500);
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_string_equal (d->runner, "r2");
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r2", d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list_serving (d, "r2", d->task, d->run, 5);
  kq_sched_fixture_request_wave_of (d, 4, "h0");
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 0);
  assert_int_equal (d->stop_orders, 1);
  assert_string_equal (d->stopped_runner, "r2");
}

/* Guards against a host that goes down with more tasks of a step than may be away: their
 * starts were not answered, and they are at work. */
static void
test_runs_without_an_answer_may_be_at_work (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  lasting.lasting = true;
  lasting.width = 2;
  lasting.max_unavailable = 1;
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  assert_int_equal (d->start_orders, 2);
  for (int i = 0; i < 2; i++)
    {
      const KqSchedFixtureStart *s
          = &g_array_index (d->starts_pending, KqSchedFixtureStart, i);
      kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", s->task, s->run,
                                KQ_ORDER_UNKNOWN);
    }
  kq_sched_fixture_request_wave_of (d, 4, "h0");
  kq_sched_fixture_unreached (d, d->agent, "r0", 4500);
  kq_sched_fixture_run (d, 4 * KQ_SEC);
  assert_int_equal (d->stop_orders, 0);
  assert_int_equal (d->hosts_down, 0);
  kq_sched_fixture_run (d, 4 * KQ_SEC); /* its lease is over */
  assert_int_equal (d->hosts_down, 1);
}

/* Guards against more tasks of a step away than may be: one is at work on a host for
 * which a call is unanswered, as its start came late, and ends when the call is carried
 * out. */
static void
test_task_on_a_called_host_counts_as_away (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  lasting.lasting = true;
  lasting.width = 2;
  lasting.max_unavailable = 1;
  lasting.per_runner_max = 1;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave_of (d, 4, "h0");
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_UNKNOWN);
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r1");
  kq_sched_fixture_accept_starts (d);
  kq_sched_fixture_list_serving (d, "r1", d->task, 1, 5);
  kq_sched_fixture_list_serving (
      d, "r0", strcmp (d->task, "aa.0.0.0") == 0 ? "aa.0.0.1" : "aa.0.0.0", 1, 5);
  kq_sched_fixture_request_wave_of (d, 5, "h1");
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->stop_orders, 0);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_host_whose_entry_is_missing_is_drained),
    FIXTURE_TEST (test_next_leader_drains_a_host_whose_entry_is_missing),
    FIXTURE_TEST (test_host_is_drained_of_its_present_runner),
    FIXTURE_TEST (test_runs_without_an_answer_may_be_at_work),
    FIXTURE_TEST (test_task_on_a_called_host_counts_as_away),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
