#include "base/log.h"
#include "bench/sched_desk.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* The client sees its task run on two runners at once.
 * A start has no answer and is sent again; before that one's answer the runner lists the
 * run as ended, and the task would go on elsewhere. If the runner restarts meanwhile, the
 * repeated start begins the run again in its new life, beside the next one. So the run is
 * stopped first, which makes any life of the runner refuse it. */
static void
expect_stop_before_the_next_run (KqSchedDesk *d, KqEndHow how)
{
  char runner[16];
  char task[96];
  uint32_t first;
  KqEndRow end = { .number = 1, .how = how };
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  kq_sched_desk_run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  first = d->run;
  kq_sched_desk_outcome (d, KQ_ORDER_START, runner, task, first, KQ_ORDER_UNKNOWN);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 2);
  assert_int_equal (d->run, first); /* again, not anew */
  end.task = kq_str (task);
  end.run = first;
  kq_sched_desk_list (d, runner, &end, 1);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 2);
  assert_int_equal (d->stops, 1);
  kq_sched_desk_outcome (d, KQ_ORDER_STOP, runner, task, first, KQ_ORDER_OK);
  kq_sched_desk_list (d, runner, NULL, 0);
  kq_sched_desk_run (d, 300 * KQ_MS);
}

/* Guards against a task that waits for good for a run whose stop has been answered. */
static void
test_answered_stop_is_not_repeated (void **state)
{
  KqSchedDesk *d = *state;
  KqRunnerList before = { .born_ms = 1, .lease_left_ms = 5000 };
  char runner[16];
  char task[96];
  KqEndRow end = { .number = 1, .how = KQ_END_FAILED };
  int answered = 0;
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  kq_sched_desk_run (d, 50 * KQ_MS);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  kq_sched_desk_outcome (d, KQ_ORDER_START, runner, task, d->run, KQ_ORDER_UNKNOWN);
  end.task = kq_str (task);
  end.run = d->run;
  kq_sched_desk_list (d, runner, &end, 1);
  assert_int_equal (d->stops, 1);
  before.taking = d->taking[strcmp (runner, "r0") == 0 ? 0 : 1];
  /* A runner where nothing else ends: each list's question left 1.5 s ago. */
  for (int i = 0; i < 5 * 15 && d->starts == 1; i++)
    {
      if (i % 15 == 0)
        before.order = d->results;
      if (d->stops > answered)
        kq_sched_desk_outcome (d, KQ_ORDER_STOP, runner, task, end.run, KQ_ORDER_OK);
      answered = d->stops;
      kq_sched_desk_run (d, 100 * KQ_MS);
      if (i % 15 == 14)
        kq_sched_list (d->sched, d->agent, kq_str (runner), &before, d->now);
    }
  kq_sched_desk_run (d, 500 * KQ_MS);
  assert_int_equal (d->starts, 2);
}

static void
test_failed_end_while_a_start_is_out (void **state)
{
  KqSchedDesk *d = *state;
  expect_stop_before_the_next_run (d, KQ_END_FAILED);
  assert_int_equal (d->starts, 3);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("aa")), KQ_JOB_RUNNING);
}

/* As above, but the run ended well: it must not begin again at all. */
static void
test_done_end_while_a_start_is_out (void **state)
{
  KqSchedDesk *d = *state;
  expect_stop_before_the_next_run (d, KQ_END_DONE);
  assert_int_equal (d->starts, 2);
}

/* A task is begun on a runner that has said long ago that it leaves, and dies with it.
 * The start had no answer; meanwhile the runner's entry says that it is draining, and the
 * repeat of the start is sent all the same. It must be stopped there instead, and go
 * elsewhere. */
static void
test_start_is_not_repeated_at_a_runner_that_leaves (void **state)
{
  KqSchedDesk *d = *state;
  KqRunnerEntry e = { .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .draining = true,
                      .left_ms = 2500,
                      .room = { 4000, 16000, 0 } };
  char runner[16];
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  kq_sched_desk_run (d, 50 * KQ_MS);
  memcpy (runner, d->runner, sizeof runner);
  e.id = kq_str (runner);
  kq_sched_desk_outcome (d, KQ_ORDER_START, runner, d->task, d->run, KQ_ORDER_UNKNOWN);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_desk_run (d, 500 * KQ_MS);
  assert_int_equal (d->starts, 1);
  assert_int_equal (d->stops, 1);
  kq_sched_desk_outcome (d, KQ_ORDER_STOP, runner, d->task, d->run, KQ_ORDER_OK);
  kq_sched_desk_list (d, runner, NULL, 0);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 2);
  assert_string_not_equal (d->runner, runner);
}

/* A runner that was silent for a moment loses all its work: nobody renews its lease. */
static void
test_list_after_silence_lets_its_agent_renew (void **state)
{
  KqSchedDesk *d = *state;
  KqRunnerList l = { .born_ms = 1, .lease_left_ms = 300, .halt = 9 };
  l.taking = d->taking[0];
  kq_sched_desk_unreached (d, d->agent, "r0", 500);
  assert_int_equal (d->renewals, 0);
  kq_sched_list (d->sched, d->agent, KQ_STR ("r0"), &l, d->now);
  assert_int_equal (d->renewals, 1);
  assert_int_equal (d->halt, 9);
  kq_sched_desk_list (d, "r0", NULL, 0);
  assert_int_equal (d->renewals, 1);
}

typedef struct
{
  char runner[16];
  char task[96];
  uint32_t run;
} Serving;

/* A serving task runs, and its runner is the only one there is. */
static void
serve_alone (KqSchedDesk *d, int32_t target_ms, Serving *out)
{
  KqStep step = kq_sched_desk_step ();
  step.lasting = true;
  step.target_ms = target_ms;
  step.image = KQ_STR ("serves");
  kq_sched_desk_submit (d, "aa", step, false);
  kq_sched_desk_run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
  memcpy (out->runner, d->runner, sizeof out->runner);
  memcpy (out->task, d->task, sizeof out->task);
  out->run = d->run;
  kq_sched_entry_gone (d->sched, kq_str (strcmp (out->runner, "r0") == 0 ? "r1" : "r0"),
                       d->now);
  kq_sched_desk_outcome (d, KQ_ORDER_START, out->runner, out->task, out->run,
                         KQ_ORDER_OK);
}

/* Users of a serving task wait too long for seconds on end.
 * Its tail is over the target and all that fills beside it has been stopped; but new
 * filling tasks come to its runner meanwhile, each at full speed until the next report,
 * so that the tail never comes down. None may come until it has. */
static void
test_nothing_fills_beside_a_task_over_its_target (void **state)
{
  KqSchedDesk *d = *state;
  KqStep filling = kq_sched_desk_step ();
  Serving v;
  filling.filling = true;
  filling.image = KQ_STR ("fills");
  serve_alone (d, 10, &v);
  for (int i = 0; i < 5; i++)
    {
      kq_sched_desk_list_serving (d, v.runner, v.task, v.run, 12);
      kq_sched_desk_run (d, 500 * KQ_MS);
    }
  kq_sched_desk_submit (d, "bb", filling, false);
  kq_sched_desk_run (d, 100 * KQ_MS);
  assert_int_equal (d->starts, 1);
  kq_sched_desk_list_serving (d, v.runner, v.task, v.run, 5);
  kq_sched_desk_run (d, 100 * KQ_MS);
  assert_int_equal (d->starts, 2);
}

/* As above, with a tail that hovers about the target. Reports are rough, and every other
 * one is below it by chance; each such report counted as a recovery, and what fills was
 * let on for 4 s. The mean of the reports decides. */
static void
test_rough_reports_about_the_target (void **state)
{
  static const int tails[] = { 108, 94, 109, 93, 108, 94, 110, 94 };
  KqSchedDesk *d = *state;
  KqStep filling = kq_sched_desk_step ();
  Serving v;
  filling.filling = true;
  filling.image = KQ_STR ("fills");
  serve_alone (d, 100, &v);
  for (size_t i = 0; i < sizeof tails / sizeof tails[0]; i++)
    {
      kq_sched_desk_list_serving (d, v.runner, v.task, v.run, tails[i]);
      kq_sched_desk_run (d, 500 * KQ_MS);
    }
  kq_sched_desk_submit (d, "bb", filling, false);
  kq_sched_desk_run (d, 100 * KQ_MS);
  assert_int_equal (d->starts, 1);
}

/* The users of a lasting task are without it for as long as short jobs come.
 * It has lost its runner; each time room is free another job that can still end in time
 * takes it, and jobs in time came before lasting ones. After two seconds it goes first.
 */
static void
test_lost_lasting_task_gets_the_next_room (void **state)
{
  KqSchedDesk *d = *state;
  KqStep serving = kq_sched_desk_step ();
  KqStep brief = kq_sched_desk_step ();
  KqEndRow end = { .number = 1, .how = KQ_END_FAILED };
  char task[96];
  int turn = 0;
  serving.lasting = true;
  serving.cpu_milli = brief.cpu_milli = 3000;
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_desk_submit (d, "aa", serving, false);
  kq_sched_desk_run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
  do
    {
      char id[] = { 'j', (char)('0' + turn), 0 };
      brief.estimate_ms = 500 + turn;
      kq_sched_desk_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
      kq_sched_desk_submit (d, id, brief, false);
      kq_sched_desk_run (d, 500 * KQ_MS);
      memcpy (task, d->task, sizeof task);
      end.task = kq_str (task);
      end.run = d->run;
      kq_sched_desk_list (d, "r0", &end, 1);
      kq_sched_desk_run (d, 50 * KQ_MS);
      end.number++;
      end.how = KQ_END_DONE;
      turn++;
    }
  while (strncmp (d->task, "aa", 2) != 0 && turn < 9);
  assert_int_equal (strncmp (d->task, "aa", 2), 0);
  assert_true (turn > 2); /* not before: jobs in time have the first claim */
}

/* A task runs on r0 under agent d->agent, and r1 is there to take it over. */
static void
run_on_r0 (KqSchedDesk *d)
{
  KqRunnerEntry r1 = { .id = KQ_STR ("r1"),
                       .service = KQ_STR ("desk"),
                       .address = KQ_STR ("127.0.0.1:1"),
                       .draining = true,
                       .left_ms = 60000,
                       .room = { 4000, 16000, 0 } };
  KqRunRow row = { .run = 1, .checkpoint = KQ_STR (""), .percent = 1 };
  KqStep step = kq_sched_desk_step ();
  step.estimate_ms = 60000;
  kq_sched_entry (d->sched, &r1, d->now);
  kq_sched_desk_submit (d, "aa", step, false);
  kq_sched_desk_run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
  assert_string_equal (d->runner, "r0");
  row.task = kq_str (d->task);
  row.run = d->run;
  kq_sched_desk_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  kq_sched_desk_list_runs (d, "r0", &row, 1);
  r1.draining = false;
  kq_sched_entry (d->sched, &r1, d->now);
  kq_sched_desk_store_known (d);
  kq_sched_desk_run (d, 2 * KQ_SEC);
}

/* A start on r0 has been answered; then a list of r0's next life comes, whose question
 * left before that answer. */
static void
start_across_two_lives (KqSchedDesk *d)
{
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  kq_sched_desk_run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
  kq_sched_desk_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  d->born_ms = 2;
  d->results--;
  kq_sched_desk_list (d, "r0", NULL, 0);
  d->results++;
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 1);
  assert_int_equal (d->stops, 0);
}

/* One task runs twice: its start reached a new life after that life's first list. */
static void
test_start_in_a_new_life (void **state)
{
  KqSchedDesk *d = *state;
  KqRunRow row = { .checkpoint = KQ_STR (""), .percent = 1 };
  start_across_two_lives (d);
  row.task = kq_str (d->task);
  row.run = d->run;
  kq_sched_desk_list_runs (d, "r0", &row, 1);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 1);
  assert_int_equal (d->stops, 0);
}

/* A task stands still: its start had reached the life before, and that life is over. */
static void
test_start_in_the_life_before (void **state)
{
  KqSchedDesk *d = *state;
  start_across_two_lives (d);
  kq_sched_desk_list (d, "r0", NULL, 0);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 2);
}

/* The agent that held r0 was told to drop it just now: its last grant may be on its way
 * to the leader, and until the order arrives, or it counts the leader as lost, it grants
 * more. */
static void
expect_wait_for_the_earlier_agent (KqSchedDesk *d, int agent)
{
  kq_sched_desk_unreached (d, agent, "r0", -1);
  kq_sched_desk_run (d, 8500 * KQ_MS);
  assert_int_equal (d->starts, 1);
  kq_sched_desk_run (d, 1500 * KQ_MS); /* blind_ms and a lease are over */
  assert_int_equal (d->starts, 2);
  assert_int_equal (d->drops, 1);
  assert_string_equal (d->runner, "r1");
}

/* One task runs twice: grants of an earlier agent of its runner weren't waited for. */
static void
test_lease_of_a_runner_given_to_another_agent (void **state)
{
  KqSchedDesk *d = *state;
  KqAgentInfo strong = { .name = kq_name (KQ_STR ("b")), .share_milli = 9000 };
  int b;
  run_on_r0 (d);
  b = kq_sched_agent_up (d->sched, &strong, d->now);
  kq_sched_desk_run (d, 300 * KQ_MS);
  expect_wait_for_the_earlier_agent (d, b);
}

/* One task runs twice: an agent went on renewing at an address that the entry has left.
 */
static void
test_lease_of_a_runner_with_a_new_address (void **state)
{
  KqSchedDesk *d = *state;
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:2"),
                      .room = { 4000, 16000, 0 } };
  run_on_r0 (d);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_desk_run (d, 300 * KQ_MS);
  expect_wait_for_the_earlier_agent (d, d->agent);
}

/* The entry of r0 has a new address, and the same agent takes it again. */
static void
take_r0_again (KqSchedDesk *d)
{
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:2"),
                      .room = { 4000, 16000, 0 } };
  uint64_t before = d->taking[0];
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_true (d->taking[0] > before);
}

/* One task runs twice: a list of an earlier taking, made before its start, counts. */
static void
test_list_of_an_earlier_taking (void **state)
{
  KqSchedDesk *d = *state;
  uint64_t early = d->results;
  uint64_t taking = d->taking[0];
  uint64_t now;
  run_on_r0 (d);
  take_r0_again (d);
  now = d->taking[0];
  d->taking[0] = taking;
  d->results = early;
  kq_sched_desk_list (d, "r0", NULL, 0);
  kq_sched_desk_run (d, KQ_SEC);
  assert_int_equal (d->starts, 1);
  d->taking[0] = now;
  d->results = 0;
  kq_sched_desk_list (d, "r0", NULL, 0); /* and the present one's counts */
  kq_sched_desk_run (d, KQ_SEC);
  assert_int_equal (d->starts, 2);
}

/* A task stands still: an outcome of an earlier taking keeps a vanished run alive. */
static void
test_outcome_of_an_earlier_taking (void **state)
{
  KqSchedDesk *d = *state;
  uint64_t taking = d->taking[0];
  uint64_t now;
  run_on_r0 (d);
  take_r0_again (d);
  now = d->taking[0];
  d->taking[0] = taking;
  d->results = 20;
  kq_sched_desk_outcome (d, KQ_ORDER_START, "r0", d->task, d->run, KQ_ORDER_OK);
  d->taking[0] = now;
  d->results = 0;
  kq_sched_desk_list (d, "r0", NULL, 0);
  kq_sched_desk_run (d, KQ_SEC);
  assert_int_equal (d->starts, 2);
}

/* One task runs twice: a leader counts a lease as over that the next leader renews. */
static void
test_lease_of_a_runner_that_another_may_renew (void **state)
{
  KqSchedDesk *d = *state;
  run_on_r0 (d);
  kq_sched_lead_until (d->sched, d->now + KQ_SEC);
  kq_sched_desk_unreached (d, d->agent, "r0", 2000);
  kq_sched_desk_run (d, 20 * KQ_SEC);
  assert_int_equal (d->starts, 1);
  kq_sched_lead_until (d->sched, d->now + KQ_SEC);
  kq_sched_desk_run (d, 500 * KQ_MS);
  assert_int_equal (d->starts, 2);
}

/* A task runs twice: a runner that was empty has a run, and no later leader knows it. */
static void
test_a_late_run_puts_its_runner_into_the_list (void **state)
{
  KqSchedDesk *d = *state;
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .draining = true,
                      .left_ms = 60000,
                      .room = { 4000, 16000, 0 } };
  KqRunRow row = { .run = 7, .checkpoint = KQ_STR (""), .percent = 1 };
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_true (kq_sched_known_pending (d->sched));
  kq_sched_desk_store_known (d);
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  row.task = KQ_STR ("aa.0.0.0");
  kq_sched_desk_list_runs (d, "r0", &row, 1);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_true (kq_sched_known_pending (d->sched));
}

/* A task that is done runs again: its end waits behind a list that is cut. */
static void
test_a_cut_list_settles_nothing (void **state)
{
  KqSchedDesk *d = *state;
  KqEndRow end = { 1, KQ_STR ("zz.0.0.0"), 1, KQ_END_DONE, KQ_STR ("") };
  KqEndRow done = { 2, KQ_STR ("aa.0.0.0"), 1, KQ_END_DONE, KQ_STR ("") };
  KqProgress rows[4];
  kq_sched_desk_next_leader (d);
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_desk_run (d, 300 * KQ_MS);
  kq_sched_desk_list (d, "r0", NULL, 0);
  kq_sched_desk_list_cut (d, "r1", &end);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 0);
  kq_sched_desk_list (d, "r1", &done, 1);
  kq_sched_desk_run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 0);
  kq_sched_store_begin (d->sched, rows, 4, d->now);
  kq_sched_stored (d->sched, true, d->now);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("aa")), KQ_JOB_COMPLETED);
}

/* A task runs twice: the next leader has taken its job for one that nobody knows. */
static void
test_job_learned_in_doubt_waits (void **state)
{
  KqSchedDesk *d = *state;
  kq_sched_lead_until (d->sched, d->now);
  kq_sched_desk_submit (d, "aa", kq_sched_desk_step (), false);
  kq_sched_desk_run (d, KQ_SEC);
  assert_int_equal (d->starts, 0);
  kq_sched_lead_until (d->sched, d->now + KQ_SEC);
  kq_sched_desk_run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
}

/* Tasks run twice: a leader without the store goes on beside one that it has lost. */
static void
test_lost_agents_are_known (void **state)
{
  KqSchedDesk *d = *state;
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  KqAgentInfo c = { .name = kq_name (KQ_STR ("c")), .share_milli = 1000 };
  int n = kq_sched_agent_up (d->sched, &b, d->now);
  assert_false (kq_sched_agents_lost (d->sched));
  kq_sched_agent_down (d->sched, n, false, d->now);
  kq_sched_agent_up (d->sched, &c, d->now);
  assert_true (kq_sched_agents_lost (d->sched));
  kq_sched_agent_up (d->sched, &b, d->now);
  assert_false (kq_sched_agents_lost (d->sched));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_answered_stop_is_not_repeated,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_failed_end_while_a_start_is_out,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_done_end_while_a_start_is_out,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_start_is_not_repeated_at_a_runner_that_leaves,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_list_after_silence_lets_its_agent_renew,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_rough_reports_about_the_target,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_lost_lasting_task_gets_the_next_room,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_nothing_fills_beside_a_task_over_its_target,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_start_in_a_new_life, kq_sched_desk_set_up,
                                     kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_start_in_the_life_before, kq_sched_desk_set_up,
                                     kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_a_runner_that_another_may_renew,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_job_learned_in_doubt_waits,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_a_late_run_puts_its_runner_into_the_list,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_a_cut_list_settles_nothing,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_lost_agents_are_known, kq_sched_desk_set_up,
                                     kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_list_of_an_earlier_taking, kq_sched_desk_set_up,
                                     kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_outcome_of_an_earlier_taking,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_a_runner_given_to_another_agent,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
    cmocka_unit_test_setup_teardown (test_lease_of_a_runner_with_a_new_address,
                                     kq_sched_desk_set_up, kq_sched_desk_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
