#include "base/log.h"
#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Guards against a task that runs on two runners at once. A start is unanswered and is
 * sent again; before the answer to the repeat the runner lists the run as ended, and the
 * task's next run would start elsewhere. If the runner restarts meanwhile, the repeat
 * begins the run again beside the next one. So the run is stopped first, which makes the
 * runner refuse the start, also after a restart. */
static void
expect_stop_before_the_next_run (KqSchedFixture *d, KqEndReason how)
{
  char runner[16];
  char task[96];
  uint32_t first;
  KqEndRow end = { .number = 1, .reason = how };
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  first = d->run;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, first, KQ_ORDER_UNKNOWN);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_int_equal (d->run, first); /* a repeat, not a new run */
  end.task = kq_str (task);
  end.run = first;
  kq_sched_fixture_list (d, runner, &end, 1);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, runner, task, first, KQ_ORDER_OK);
  kq_sched_fixture_list (d, runner, NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
}

/* Guards against a task that waits forever for a run whose stop has been answered. */
static void
test_answered_stop_is_not_repeated (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerList before = { .started_ms = 1, .lease_left_ms = 5000 };
  char runner[16];
  char task[96];
  KqEndRow end = { .number = 1, .reason = KQ_END_FAILED };
  int answered = 0;
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, task, d->run, KQ_ORDER_UNKNOWN);
  end.task = kq_str (task);
  end.run = d->run;
  kq_sched_fixture_list (d, runner, &end, 1);
  assert_int_equal (d->stop_orders, 1);
  before.assignment = d->assignment[strcmp (runner, "r0") == 0 ? 0 : 1];
  /* Nothing else ends at the runner: each list was requested 1.5 s before it arrives. */
  for (int i = 0; i < 5 * 15 && d->start_orders == 1; i++)
    {
      if (i % 15 == 0)
        before.order = d->outcomes_sent;
      if (d->stop_orders > answered)
        kq_sched_fixture_outcome (d, KQ_ORDER_STOP, runner, task, end.run, KQ_ORDER_OK);
      answered = d->stop_orders;
      kq_sched_fixture_run (d, 100 * KQ_MS);
      if (i % 15 == 14)
        kq_sched_list (d->sched, d->agent, kq_str (runner), &before, d->now);
    }
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
}

static void
test_failed_end_while_a_start_is_in_flight (void **state)
{
  KqSchedFixture *d = *state;
  expect_stop_before_the_next_run (d, KQ_END_FAILED);
  assert_int_equal (d->start_orders, 3);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("aa")), KQ_JOB_RUNNING);
}

/* As above, but the task is done: it must not run again at all. */
static void
test_done_end_while_a_start_is_in_flight (void **state)
{
  KqSchedFixture *d = *state;
  expect_stop_before_the_next_run (d, KQ_END_DONE);
  assert_int_equal (d->start_orders, 2);
}

/* Guards against a task that begins on a draining runner and is lost when that goes. The
 * start is unanswered when the runner's entry changes to draining. The start must not be
 * repeated then; the run is stopped there, and the task goes elsewhere. */
static void
test_start_is_not_repeated_at_a_runner_that_leaves (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = { .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .draining = true,
                      .remaining_ms = 2500,
                      .room = { 4000, 16000, 0 } };
  char runner[16];
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  memcpy (runner, d->runner, sizeof runner);
  e.id = kq_str (runner);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, runner, d->task, d->run, KQ_ORDER_UNKNOWN);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_int_equal (d->stop_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_STOP, runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list (d, runner, NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_not_equal (d->runner, runner);
}

/* Guards against a runner that loses all its runs after a short failure, because its
 * agent never gets the order to renew the lease again. */
static void
test_list_after_silence_lets_its_agent_renew (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerList l = { .started_ms = 1, .lease_left_ms = 300, .halt = 9 };
  l.assignment = d->assignment[0];
  kq_sched_fixture_unreached (d, d->agent, "r0", 500);
  assert_int_equal (d->renew_orders, 0);
  kq_sched_list (d->sched, d->agent, KQ_STR ("r0"), &l, d->now);
  assert_int_equal (d->renew_orders, 1);
  assert_int_equal (d->halt, 9);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  assert_int_equal (d->renew_orders, 1);
}

typedef struct
{
  char runner[16];
  char task[96];
  uint32_t run;
} Serving;

/* Starts a serving task and removes the other runner. */
static void
serve_alone (KqSchedFixture *d, int32_t target_ms, Serving *out)
{
  KqStep step = kq_sched_fixture_step ();
  step.lasting = true;
  step.target_ms = target_ms;
  step.image = KQ_STR ("serves");
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  memcpy (out->runner, d->runner, sizeof out->runner);
  memcpy (out->task, d->task, sizeof out->task);
  out->run = d->run;
  kq_sched_entry_gone (d->sched, kq_str (strcmp (out->runner, "r0") == 0 ? "r1" : "r0"),
                       d->now);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, out->runner, out->task, out->run,
                            KQ_ORDER_OK);
}

/* Guards against a serving task whose tail latency stays over its target for seconds. All
 * filling tasks beside it have been stopped, but new ones are placed on its runner, each
 * at full speed until the next report, so that the tail never falls. None may be placed
 * there until it has. */
static void
test_nothing_fills_beside_a_task_over_its_target (void **state)
{
  KqSchedFixture *d = *state;
  KqStep filling = kq_sched_fixture_step ();
  Serving v;
  filling.filling = true;
  filling.image = KQ_STR ("fills");
  serve_alone (d, 10, &v);
  for (int i = 0; i < 5; i++)
    {
      kq_sched_fixture_list_serving (d, v.runner, v.task, v.run, 12);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  kq_sched_fixture_submit (d, "bb", filling, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_list_serving (d, v.runner, v.task, v.run, 5);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
}

/* As above, with a tail about as long as the target. Reports are noisy, and every other
 * one is below the target by chance. When each such report counted as a recovery, filling
 * tasks were placed there for 4 s. The mean of the reports decides. */
static void
test_noisy_reports_about_the_target (void **state)
{
  static const int tails[] = { 108, 94, 109, 93, 108, 94, 110, 94 };
  KqSchedFixture *d = *state;
  KqStep filling = kq_sched_fixture_step ();
  Serving v;
  filling.filling = true;
  filling.image = KQ_STR ("fills");
  serve_alone (d, 100, &v);
  for (size_t i = 0; i < sizeof tails / sizeof tails[0]; i++)
    {
      kq_sched_fixture_list_serving (d, v.runner, v.task, v.run, tails[i]);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
  kq_sched_fixture_submit (d, "bb", filling, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Guards against a lasting task that isn't placed as long as short jobs arrive. It has
 * lost its runner, and each free room goes to a job that can still meet its objective,
 * because such jobs precede lasting ones. After two seconds the lost task goes first. */
static void
test_lost_lasting_task_gets_the_next_room (void **state)
{
  KqSchedFixture *d = *state;
  KqStep serving = kq_sched_fixture_step ();
  KqStep brief = kq_sched_fixture_step ();
  KqEndRow end = { .number = 1, .reason = KQ_END_FAILED };
  char task[96];
  int turn = 0;
  serving.lasting = true;
  serving.cpu_milli = brief.cpu_milli = 3000;
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  do
    {
      char id[] = { 'j', (char)('0' + turn), 0 };
      brief.estimate_ms = 500 + turn;
      kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
      kq_sched_fixture_submit (d, id, brief, false);
      kq_sched_fixture_run (d, 500 * KQ_MS);
      memcpy (task, d->task, sizeof task);
      end.task = kq_str (task);
      end.run = d->run;
      kq_sched_fixture_list (d, "r0", &end, 1);
      kq_sched_fixture_run (d, 50 * KQ_MS);
      end.number++;
      end.reason = KQ_END_DONE;
      turn++;
    }
  while (strncmp (d->task, "aa", 2) != 0 && turn < 9);
  assert_int_equal (strncmp (d->task, "aa", 2), 0);
  assert_true (turn > 2); /* before that, jobs that can meet their objective go first */
}

/* Starts a task on r0, assigned to agent d->agent; r1 is free for the task's next run. */
static void
start_on_r0 (KqSchedFixture *d)
{
  KqRunnerEntry r1 = { .id = KQ_STR ("r1"),
                       .service = KQ_STR ("desk"),
                       .address = KQ_STR ("127.0.0.1:1"),
                       .draining = true,
                       .remaining_ms = 60000,
                       .room = { 4000, 16000, 0 } };
  KqRunRow row = { .run = 1, .checkpoint = KQ_STR (""), .percent = 1 };
  KqStep step = kq_sched_fixture_step ();
  step.estimate_ms = 60000;
  kq_sched_entry (d->sched, &r1, d->now);
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_string_equal (d->runner, "r0");
  row.task = kq_str (d->task);
  row.run = d->run;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  kq_sched_fixture_list_runs (d, "r0", &row, 1);
  r1.draining = false;
  kq_sched_entry (d->sched, &r1, d->now);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
}

/* A start on r0 is answered. Then a list from after a restart of r0 arrives, which was
 * requested before that answer. */
static void
answer_start_before_a_restart (KqSchedFixture *d)
{
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  d->started_ms = 2;
  d->outcomes_sent--;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  d->outcomes_sent++;
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_int_equal (d->stop_orders, 0);
}

/* Guards against a task that runs twice: its start reached a restarted runner after that
 * runner's first list. */
static void
test_start_run_after_a_restart (void **state)
{
  KqSchedFixture *d = *state;
  KqRunRow row = { .checkpoint = KQ_STR (""), .percent = 1 };
  answer_start_before_a_restart (d);
  row.task = kq_str (d->task);
  row.run = d->run;
  kq_sched_fixture_list_runs (d, "r0", &row, 1);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  assert_int_equal (d->stop_orders, 0);
}

/* Guards against a task that isn't started again: its start had reached the runner before
 * the restart, which ended the run. */
static void
test_start_run_before_a_restart (void **state)
{
  KqSchedFixture *d = *state;
  answer_start_before_a_restart (d);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
}

/* r0's earlier agent has just been ordered to drop it. Its last renewal may not be known
 * to the leader yet, and it goes on renewing until the order arrives or it counts the
 * leader as lost. */
static void
expect_wait_for_the_earlier_agent (KqSchedFixture *d, int agent)
{
  kq_sched_fixture_unreached (d, agent, "r0", -1);
  kq_sched_fixture_run (d, 8500 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_run (d,
                        1500 * KQ_MS); /* renew_without_leader_ms and a lease are over */
  assert_int_equal (d->start_orders, 2);
  assert_int_equal (d->drop_orders, 1);
  assert_string_equal (d->runner, "r1");
}

/* Guards against a task that runs twice: leases granted by the earlier agent of its
 * runner weren't waited for. */
static void
test_lease_of_a_runner_given_to_another_agent (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo strong = { .name = kq_name (KQ_STR ("b")), .share_milli = 9000 };
  int b;
  start_on_r0 (d);
  b = kq_sched_fixture_add_agent (d, &strong);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  expect_wait_for_the_earlier_agent (d, b);
}

/* Guards against a task that runs twice: an agent goes on renewing the lease of the
 * runner at its old address after the entry has changed. */
static void
test_lease_of_a_runner_with_a_new_address (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:2"),
                      .room = { 4000, 16000, 0 } };
  start_on_r0 (d);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  expect_wait_for_the_earlier_agent (d, d->agent);
}

/* Changes the address in r0's entry, so that the same agent is assigned r0 again. */
static void
reassign_r0 (KqSchedFixture *d)
{
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:2"),
                      .room = { 4000, 16000, 0 } };
  uint64_t before = d->assignment[0];
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_true (d->assignment[0] > before);
}

/* Guards against a task that runs twice: a list from an earlier assignment of its runner,
 * made before the task's start, is applied. */
static void
test_list_of_an_earlier_assignment (void **state)
{
  KqSchedFixture *d = *state;
  uint64_t earlier_results = d->outcomes_sent;
  uint64_t earlier = d->assignment[0];
  uint64_t current;
  start_on_r0 (d);
  reassign_r0 (d);
  current = d->assignment[0];
  d->assignment[0] = earlier;
  d->outcomes_sent = earlier_results;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 1);
  d->assignment[0] = current;
  d->outcomes_sent = 0;
  kq_sched_fixture_list (d, "r0", NULL, 0); /* a list of the current assignment counts */
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 2);
}

/* Guards against a task that isn't started again: an outcome from an earlier assignment
 * of its runner keeps a run that is no longer listed. */
static void
test_outcome_of_an_earlier_assignment (void **state)
{
  KqSchedFixture *d = *state;
  uint64_t earlier = d->assignment[0];
  uint64_t current;
  start_on_r0 (d);
  reassign_r0 (d);
  current = d->assignment[0];
  d->assignment[0] = earlier;
  d->outcomes_sent = 20;
  kq_sched_fixture_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  d->assignment[0] = current;
  d->outcomes_sent = 0;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 2);
}

/* Guards against a task that runs twice: a leader that may have been replaced treats a
 * lease as expired that the next leader renews. */
static void
test_lease_of_a_runner_that_another_may_renew (void **state)
{
  KqSchedFixture *d = *state;
  start_on_r0 (d);
  kq_sched_set_exclusive_until (d->sched, d->now + KQ_SEC);
  kq_sched_fixture_unreached (d, d->agent, "r0", 2000);
  kq_sched_fixture_run (d, 20 * KQ_SEC);
  assert_int_equal (d->start_orders, 1);
  kq_sched_set_exclusive_until (d->sched, d->now + KQ_SEC);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
}

/* Guards against a task that runs twice: a runner that is not in the stored list, because
 * it was drained, gets a run after all, and a later leader doesn't know the runner. */
static void
test_late_run_adds_its_runner_to_stored_list (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .draining = true,
                      .remaining_ms = 60000,
                      .room = { 4000, 16000, 0 } };
  KqRunRow row = { .run = 7, .checkpoint = KQ_STR (""), .percent = 1 };
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_true (kq_sched_used_runners_pending (d->sched));
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  row.task = KQ_STR ("aa.0.0.0");
  kq_sched_fixture_list_runs (d, "r0", &row, 1);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_true (kq_sched_used_runners_pending (d->sched));
}

/* Guards against a done task that runs again: its end is not in the cut list that the new
 * leader gets, which must not count as the runner's whole list. */
static void
test_cut_list_does_not_account_for_all_runs (void **state)
{
  KqSchedFixture *d = *state;
  KqEndRow end = { 1, KQ_STR ("zz.0.0.0"), 1, KQ_END_DONE, KQ_STR ("") };
  KqEndRow done = { 2, KQ_STR ("aa.0.0.0"), 1, KQ_END_DONE, KQ_STR ("") };
  KqProgress rows[4];
  kq_sched_fixture_new_leader (d);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list_partial (d, "r1", &end);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 0);
  kq_sched_fixture_list (d, "r1", &done, 1);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 0);
  kq_sched_store_begin (d->sched, rows, 4, d->now);
  kq_sched_stored (d->sched, true, d->now);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("aa")), KQ_JOB_COMPLETED);
}

/* Guards against a task that runs twice: a leader starts a job that arrives after its own
 * lease may have ended, and the next leader starts it too. */
static void
test_job_waits_while_lead_is_uncertain (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_set_exclusive_until (d->sched, d->now);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 0);
  kq_sched_set_exclusive_until (d->sched, d->now + KQ_SEC);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Guards against tasks that run twice: a leader that can't reach the store may go on only
 * while no agent is lost, because a lost agent's node may be the next leader. */
static void
test_lost_agents_are_known (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  KqAgentInfo c = { .name = kq_name (KQ_STR ("c")), .share_milli = 1000 };
  int n = kq_sched_fixture_add_agent (d, &b);
  assert_false (kq_sched_agents_lost (d->sched));
  kq_sched_agent_down (d->sched, n, false, d->now);
  kq_sched_fixture_add_agent (d, &c);
  assert_true (kq_sched_agents_lost (d->sched));
  kq_sched_fixture_add_agent (d, &b);
  assert_false (kq_sched_agents_lost (d->sched));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_answered_stop_is_not_repeated,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_failed_end_while_a_start_is_in_flight,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_done_end_while_a_start_is_in_flight,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_is_not_repeated_at_a_runner_that_leaves,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_list_after_silence_lets_its_agent_renew,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_noisy_reports_about_the_target,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_lost_lasting_task_gets_the_next_room,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_nothing_fills_beside_a_task_over_its_target,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_run_after_a_restart,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_start_run_before_a_restart,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_a_runner_that_another_may_renew,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_job_waits_while_lead_is_uncertain,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_late_run_adds_its_runner_to_stored_list,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_cut_list_does_not_account_for_all_runs,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_lost_agents_are_known, kq_sched_fixture_set_up,
                                     kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_list_of_an_earlier_assignment,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_outcome_of_an_earlier_assignment,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_a_runner_given_to_another_agent,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_a_runner_with_a_new_address,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
