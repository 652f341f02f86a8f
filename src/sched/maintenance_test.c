#include "bench/sched_desk.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* A new leader gives no order for so long. */
#define FIRST_ORDER (3500 * KQ_MS)
#define SETTLE (700 * KQ_MS)

static void
ask_wave (KqSchedDesk *d, size_t n_hosts, int32_t cap)
{
  KqStr hosts[] = { KQ_STR ("h0"), KQ_STR ("h1") };
  KqWaveInfo w = {
    .number = 4, .hosts = hosts, .n_hosts = n_hosts, .duration_ms = 9000, .cap = cap
  };
  kq_sched_wave (d->sched, &w, d->now);
}

static void
ended (KqSchedDesk *d, const char *host, KqMaintenanceResult r)
{
  kq_sched_maintenance_ended (d->sched, 4, kq_str (host), r, d->now);
  kq_sched_desk_run (d, SETTLE);
}

/* A new runner on the host, as after its maintenance. */
static void
come_back (KqSchedDesk *d, const char *old, const char *id, const char *host)
{
  KqRunnerEntry e = { .id = kq_str (id),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .host = kq_str (host),
                      .room = { 4000, 16000, 0 } };
  kq_sched_entry_gone (d->sched, kq_str (old), d->now);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_desk_run (d, 2 * KQ_SEC + SETTLE);
}

static bool completed;

static void
take_state (void *arg, int64_t number, bool over)
{
  (void)arg;
  assert_int_equal (number, 4);
  completed = over;
}

static bool
is_completed (const KqSchedDesk *d)
{
  completed = false;
  kq_sched_waves_each (d->sched, take_state, NULL);
  return completed;
}

/* All that runs on a host ends when it goes down. Its task is stopped first, and the host
 * goes down only when the runner has listed the end. */
static void
test_host_is_emptied_first (void **state)
{
  KqSchedDesk *d = *state;
  KqStep serving = kq_sched_desk_step ();
  KqEndRow end = { .number = 1, .how = KQ_END_STOPPED };
  char runner[16];
  char task[96];
  size_t n_hosts;
  serving.lasting = true;
  kq_sched_desk_submit (d, "aa", serving, false);
  kq_sched_desk_run (d, FIRST_ORDER);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  n_hosts = strcmp (runner, "r0") == 0 ? 1 : 2;
  kq_sched_desk_outcome (d, KQ_ORDER_START, runner, task, d->run, KQ_ORDER_OK);
  ask_wave (d, n_hosts, 2);
  kq_sched_desk_run (d, SETTLE);
  assert_int_equal (d->stops, 1);
  assert_int_equal (d->went_down, (int)n_hosts - 1); /* the empty one */
  end.task = kq_str (task);
  end.run = d->run;
  kq_sched_desk_list (d, runner, &end, 1);
  kq_sched_desk_run (d, SETTLE);
  assert_int_equal (d->went_down, (int)n_hosts);
}

/* With one host down at most, the second waits until the first has its new runner. */
static void
test_no_more_hosts_than_allowed (void **state)
{
  KqSchedDesk *d = *state;
  kq_sched_desk_run (d, FIRST_ORDER);
  ask_wave (d, 2, 1);
  kq_sched_desk_run (d, SETTLE);
  assert_int_equal (d->went_down, 1);
  assert_string_equal (d->last_down, "h0");
  ended (d, "h0", KQ_MAINTENANCE_OK);
  assert_int_equal (d->went_down, 1);
  come_back (d, "r0", "r2", "h0");
  assert_int_equal (d->went_down, 2);
  assert_string_equal (d->last_down, "h1");
  assert_false (is_completed (d));
  ended (d, "h1", KQ_MAINTENANCE_OK);
  assert_true (is_completed (d));
}

/* A host belongs to two waves. The first one's new runner comes up when the second one's
 * maintenance has just begun; it must not be taken for the second one's, or one host too
 * many goes down. */
static void
test_earlier_new_runner_is_not_taken_for_the_next (void **state)
{
  KqSchedDesk *d = *state;
  KqStr hosts[] = { KQ_STR ("h0"), KQ_STR ("h1") };
  KqWaveInfo next
      = { .number = 5, .hosts = hosts, .n_hosts = 2, .duration_ms = 9000, .cap = 1 };
  kq_sched_desk_run (d, FIRST_ORDER);
  ask_wave (d, 1, 1);
  kq_sched_desk_run (d, SETTLE);
  ended (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_wave (d->sched, &next, d->now);
  kq_sched_desk_run (d, SETTLE);
  assert_int_equal (d->went_down, 1); /* h0 is down, and h1 would be the second one */
  come_back (d, "r0", "r2", "h0");
  assert_int_equal (d->went_down, 2);
  kq_sched_maintenance_ended (d->sched, 5, kq_str (d->last_down), KQ_MAINTENANCE_OK,
                              d->now);
  come_back (d, "r2", "r3", "h0");
  assert_int_equal (d->went_down, strcmp (d->last_down, "h0") == 0 ? 2 : 3);
}

/* The answer to the call is lost: the host may be down, so no other one goes, and the
 * same call is repeated until it is answered. */
static void
test_call_without_an_answer_is_repeated (void **state)
{
  KqSchedDesk *d = *state;
  kq_sched_desk_run (d, FIRST_ORDER);
  ask_wave (d, 2, 1);
  kq_sched_desk_run (d, SETTLE);
  ended (d, "h0", KQ_MAINTENANCE_UNKNOWN);
  assert_int_equal (d->went_down, 1);
  kq_sched_desk_run (d, KQ_SEC);
  assert_int_equal (d->went_down, 2);
  assert_string_equal (d->last_down, "h0");
}

/* Users have said how many tasks of the step may be away by our doing: with none left to
 * spare the host waits, however late the wave is. */
static void
test_tasks_that_may_not_be_away (void **state)
{
  KqSchedDesk *d = *state;
  KqStep serving = kq_sched_desk_step ();
  serving.lasting = true;
  serving.away_most = 0;
  kq_sched_desk_submit (d, "aa", serving, false);
  kq_sched_desk_run (d, FIRST_ORDER);
  kq_sched_desk_outcome (d, KQ_ORDER_START, d->runner, d->task, d->run, KQ_ORDER_OK);
  ask_wave (d, 2, 2);
  for (int i = 0; i < 20; i++)
    {
      kq_sched_desk_list_serving (d, d->runner, d->task, d->run, 5);
      kq_sched_desk_run (d, 500 * KQ_MS);
    }
  assert_int_equal (d->stops, 0);
  assert_int_equal (d->went_down, 1); /* the other host */
}

/* All nodes die in a wave: the next leader goes on with the hosts that are left. */
static void
test_next_leader_goes_on (void **state)
{
  KqSchedDesk *d = *state;
  KqBuf record = { 0 };
  void *next;
  KqSchedDesk *e;
  kq_sched_desk_run (d, FIRST_ORDER);
  ask_wave (d, 2, 2);
  kq_sched_desk_run (d, SETTLE);
  ended (d, "h0", KQ_MAINTENANCE_OK);
  assert_true (kq_sched_waves_pending (d->sched));
  kq_sched_waves_pack (d->sched, &record);
  assert_false (kq_sched_waves_pending (d->sched));
  kq_sched_desk_set_up (&next);
  e = next;
  assert_true (kq_sched_waves_stored (e->sched, kq_buf_str (&record)));
  ask_wave (e, 2, 2);
  kq_sched_desk_run (e, FIRST_ORDER);
  assert_int_equal (e->went_down, 1);
  assert_string_equal (e->last_down, "h1");
  assert_false (kq_sched_waves_stored (e->sched, KQ_STR ("x")));
  kq_buf_free (&record);
  kq_sched_desk_tear_down (&next);
}

/* Lasting tasks wait for room beside a runner that stays empty for the rest of the day.
 * An earlier leader has taken its host down; the next one doesn't know, empties the new
 * runner, and is told that the maintenance is done. The runner goes on listing its runs,
 * so it didn't end, and must be used again. */
static void
test_host_that_was_done_before_is_used_again (void **state)
{
  KqSchedDesk *d = *state;
  kq_sched_desk_run (d, FIRST_ORDER);
  ask_wave (d, 1, 1);
  kq_sched_desk_run (d, SETTLE);
  assert_int_equal (d->went_down, 1);
  ended (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  for (int i = 0; i < 8; i++)
    {
      kq_sched_desk_list (d, "r0", NULL, 0);
      kq_sched_desk_run (d, 500 * KQ_MS);
    }
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  kq_sched_desk_run (d, SETTLE);
  assert_int_equal (d->starts, 1);
  assert_string_equal (d->runner, "r0");
}

static bool
stands_in_known (KqSchedDesk *d, const char *id)
{
  KqBuf list = { 0 };
  bool found;
  assert_true (kq_sched_known_pack (d->sched, &list));
  found = memmem (list.ptr, list.len, id, strlen (id)) != NULL;
  kq_sched_known_stored (d->sched);
  kq_buf_free (&list);
  return found;
}

/* Users of a lasting task are without it for the lease of a runner that is known to be
 * gone. Its host has been taken down while the stop of the task had no answer yet; when
 * nobody answers there any more the task can start elsewhere, and no later leader needs
 * to wait for that runner either. */
static void
test_runner_taken_down_is_not_waited_for (void **state)
{
  KqSchedDesk *d = *state;
  KqStep serving = kq_sched_desk_step ();
  char runner[16];
  serving.lasting = true;
  kq_sched_desk_submit (d, "aa", serving, false);
  kq_sched_desk_run (d, FIRST_ORDER);
  memcpy (runner, d->runner, sizeof runner);
  kq_sched_desk_outcome (d, KQ_ORDER_START, runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_desk_list_serving (d, runner, d->task, d->run, 5);
  ask_wave (d, 2, 1);
  kq_sched_desk_run (d, SETTLE);
  ended (d, d->last_down, KQ_MAINTENANCE_OK); /* the empty one */
  come_back (d, strcmp (runner, "r0") == 0 ? "r1" : "r0", "r2", d->last_down);
  assert_true (stands_in_known (d, "r2"));
  kq_sched_desk_run (d, 3 * KQ_SEC);
  kq_sched_desk_list (d, "r2", NULL, 0);
  assert_int_equal (d->went_down, 2);
  assert_int_equal (d->starts, 1);
  ended (d, d->last_down, KQ_MAINTENANCE_OK);
  assert_int_equal (d->starts, 1); /* it may have been done before, and run on */
  kq_sched_desk_unreached (d, d->agent, runner, 4500);
  kq_sched_desk_run (d, 100 * KQ_MS);
  assert_int_equal (d->starts, 2);
  assert_string_equal (d->runner, "r2");
  assert_false (stands_in_known (d, runner));
}

static KqRunnerEntry
draining_entry (void)
{
  return (KqRunnerEntry){ .id = KQ_STR ("r0"),
                          .service = KQ_STR ("desk"),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .draining = true,
                          .left_ms = 2500,
                          .room = { 4000, 16000, 0 } };
}

/* A change of leader stops earlier jobs until all runners that may run something have
 * answered. One that drains and is empty runs nothing and gets nothing; it is about to go
 * and must not be waited for. */
static void
test_drained_runner_is_not_waited_for (void **state)
{
  KqSchedDesk *d = *state;
  KqRunnerEntry e = draining_entry ();
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_desk_run (d, SETTLE);
  assert_true (kq_sched_known_pending (d->sched));
  assert_false (stands_in_known (d, "r0"));
  e.draining = false; /* it stays after all: known again before any start */
  kq_sched_entry (d->sched, &e, d->now);
  assert_true (kq_sched_known_pending (d->sched));
  assert_true (stands_in_known (d, "r0"));
}

/* A task that is done runs again. Its runner drains and is empty, but the end isn't in
 * the store when the leader dies; the next leader must wait for that runner to tell it.
 */
static void
test_drained_runner_with_an_end_is_waited_for (void **state)
{
  KqSchedDesk *d = *state;
  KqRunnerEntry e = draining_entry ();
  KqEndRow end
      = { .number = 1, .task = KQ_STR ("zz.0.0.0"), .run = 1, .how = KQ_END_DONE };
  kq_sched_desk_list (d, "r0", &end, 1);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_desk_run (d, SETTLE);
  assert_false (kq_sched_known_pending (d->sched)); /* it stands there */
}

#define DESK(test)                                                                       \
  cmocka_unit_test_setup_teardown (test, kq_sched_desk_set_up, kq_sched_desk_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    DESK (test_host_is_emptied_first),
    DESK (test_no_more_hosts_than_allowed),
    DESK (test_earlier_new_runner_is_not_taken_for_the_next),
    DESK (test_call_without_an_answer_is_repeated),
    DESK (test_tasks_that_may_not_be_away),
    DESK (test_next_leader_goes_on),
    DESK (test_host_that_was_done_before_is_used_again),
    DESK (test_runner_taken_down_is_not_waited_for),
    DESK (test_drained_runner_is_not_waited_for),
    DESK (test_drained_runner_with_an_end_is_waited_for),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
