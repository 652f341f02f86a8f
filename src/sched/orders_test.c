#include "base/log.h"
#include "sched/sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* A scheduler with two runners and one agent; the test plays the runners' part. */
typedef struct
{
  KqSched *sched;
  KqCounters *counters;
  KqTime now;
  int agent;
  int starts; /* orders so far */
  int stops;
  char runner[16]; /* of the last start */
  char task[96];
  uint32_t run;
  uint64_t results;
} Desk;

static void
on_order (void *arg, int agent, const KqOrder *o)
{
  Desk *d = arg;
  (void)agent;
  if (o->kind == KQ_ORDER_STOP)
    d->stops++;
  if (o->kind != KQ_ORDER_START)
    return;
  d->starts++;
  kq_str_copy (o->runner, d->runner, sizeof d->runner);
  kq_str_copy (o->u.start.task, d->task, sizeof d->task);
  d->run = o->u.start.run;
}

static void
run (Desk *d, KqTime span)
{
  for (KqTime end = d->now + span; d->now < end; d->now += 10 * KQ_MS)
    kq_sched_run (d->sched, d->now, d->now / KQ_MS);
}

static void
list (Desk *d, const char *runner, const KqEndRow *ends, size_t n_ends)
{
  KqRunnerList l = { .born_ms = 1,
                     .lease_left_ms = 5000,
                     .order = d->results,
                     .ended = ends,
                     .n_ended = n_ends };
  kq_sched_list (d->sched, d->agent, kq_str (runner), &l, d->now);
}

/* The runner lists one run, a serving task with this latency tail. */
static void
list_serving (Desk *d, const char *runner, const char *task, uint32_t run, int tail_ms)
{
  KqRunRow row = { .task = kq_str (task),
                   .run = run,
                   .checkpoint = KQ_STR (""),
                   .percent = 100,
                   .load = tail_ms };
  KqRunnerList l = { .born_ms = 1,
                     .lease_left_ms = 5000,
                     .order = d->results,
                     .running = &row,
                     .n_running = 1 };
  kq_sched_list (d->sched, d->agent, kq_str (runner), &l, d->now);
}

static void
outcome (Desk *d, KqOrderKind kind, const char *runner, const char *task, uint32_t n,
         KqOrderResult result)
{
  KqOrderOutcome o = {
    .kind = kind, .task = kq_str (task), .run = n, .result = result, .order = ++d->results
  };
  kq_sched_outcome (d->sched, d->agent, kq_str (runner), &o, d->now);
}

static KqStep
step (void)
{
  return (KqStep){
    .width = 1, .cpu_milli = 500, .mem_mb = 100, .estimate_ms = 300, .away_most = -1
  };
}

static void
submit (Desk *d, const char *id, KqStep step)
{
  KqSpec spec = { .id = kq_str (id),
                  .queue = KQ_STR ("q"),
                  .service = KQ_STR ("desk"),
                  .text = KQ_STR ("text"),
                  .attempts = 3,
                  .stretch_percent = 150,
                  .slo_ms = 500,
                  .steps = &step,
                  .n_steps = 1 };
  KqBuf b = { 0 };
  kq_spec_pack (&spec, &b);
  kq_sched_job (d->sched, kq_buf_str (&b), 10, d->now);
  kq_buf_free (&b);
}

static int
set_up (void **state)
{
  Desk *d = calloc (1, sizeof *d);
  KqSchedConfig c = { .epoch = 5,
                      .term = 1,
                      .lease_ms = 5000,
                      .blind_ms = 4000,
                      .keep_ms = 60000,
                      .order = on_order,
                      .arg = d };
  KqAgentInfo agent = { .name = kq_name (KQ_STR ("a")), .share_milli = 1000 };
  KqBuf known = { 0 };
  kq_log_set_level (KQ_LOG_ERROR);
  d->now = 100 * KQ_SEC;
  d->counters = c.counters = kq_counters_new ();
  d->sched = kq_sched_new (&c, d->now);
  kq_sched_run (d->sched, d->now, d->now / KQ_MS);
  d->agent = kq_sched_agent_up (d->sched, &agent, d->now);
  kq_sched_loaded (d->sched, d->now);
  for (int i = 0; i < 2; i++)
    {
      KqRunnerEntry e = { .id = kq_str (i == 0 ? "r0" : "r1"),
                          .service = KQ_STR ("desk"),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .room = { 4000, 16000, 0 } };
      kq_sched_entry (d->sched, &e, d->now);
    }
  kq_sched_known_pack (d->sched, &known);
  kq_buf_free (&known);
  kq_sched_known_stored (d->sched);
  run (d, 100 * KQ_MS);
  list (d, "r0", NULL, 0);
  list (d, "r1", NULL, 0);
  *state = d;
  return 0;
}

static int
tear_down (void **state)
{
  Desk *d = *state;
  kq_sched_free (d->sched);
  kq_counters_free (d->counters);
  free (d);
  return 0;
}

/* The client sees its task run on two runners at once.
 * A start has no answer and is sent again; before that one's answer the runner lists the
 * run as ended, and the task would go on elsewhere. If the runner restarts meanwhile, the
 * repeated start begins the run again in its new life, beside the next one. So the run is
 * stopped first, which makes any life of the runner refuse it. */
static void
expect_stop_before_the_next_run (Desk *d, KqEndHow how)
{
  char runner[16];
  char task[96];
  uint32_t first;
  KqEndRow end = { .number = 1, .how = how };
  submit (d, "aa", step ());
  run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  first = d->run;
  outcome (d, KQ_ORDER_START, runner, task, first, KQ_ORDER_UNKNOWN);
  run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 2);
  assert_int_equal (d->run, first); /* again, not anew */
  end.task = kq_str (task);
  end.run = first;
  list (d, runner, &end, 1);
  run (d, 300 * KQ_MS);
  assert_int_equal (d->starts, 2);
  assert_int_equal (d->stops, 1);
  outcome (d, KQ_ORDER_STOP, runner, task, first, KQ_ORDER_OK);
  list (d, runner, NULL, 0);
  run (d, 300 * KQ_MS);
}

static void
test_failed_end_while_a_start_is_out (void **state)
{
  Desk *d = *state;
  expect_stop_before_the_next_run (d, KQ_END_FAILED);
  assert_int_equal (d->starts, 3);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("aa")), KQ_JOB_RUNNING);
}

/* As above, but the run ended well: it must not begin again at all. */
static void
test_done_end_while_a_start_is_out (void **state)
{
  Desk *d = *state;
  expect_stop_before_the_next_run (d, KQ_END_DONE);
  assert_int_equal (d->starts, 2);
}

/* Users of a serving task wait too long for seconds on end.
 * Its tail is over the target and all that fills beside it has been stopped; but new
 * filling tasks come to its runner meanwhile, each at full speed until the next report,
 * so that the tail never comes down. None may come until it has. */
static void
test_nothing_fills_beside_a_task_over_its_target (void **state)
{
  Desk *d = *state;
  KqStep serving = step ();
  KqStep filling = step ();
  char runner[16];
  char task[96];
  uint32_t number;
  serving.lasting = true;
  serving.target_ms = 10;
  serving.image = KQ_STR ("serves");
  filling.filling = true;
  filling.image = KQ_STR ("fills");
  submit (d, "aa", serving);
  run (d, 50 * KQ_MS);
  assert_int_equal (d->starts, 1);
  memcpy (runner, d->runner, sizeof runner);
  memcpy (task, d->task, sizeof task);
  number = d->run;
  /* The other runner leaves, so that there is one place only. */
  kq_sched_entry_gone (d->sched, kq_str (strcmp (runner, "r0") == 0 ? "r1" : "r0"),
                       d->now);
  outcome (d, KQ_ORDER_START, runner, task, number, KQ_ORDER_OK);
  for (int i = 0; i < 5; i++)
    {
      list_serving (d, runner, task, number, 12);
      run (d, 500 * KQ_MS);
    }
  submit (d, "bb", filling);
  run (d, 100 * KQ_MS);
  assert_int_equal (d->starts, 1);
  list_serving (d, runner, task, number, 5);
  run (d, 100 * KQ_MS);
  assert_int_equal (d->starts, 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_failed_end_while_a_start_is_out, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_done_end_while_a_start_is_out, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_nothing_fills_beside_a_task_over_its_target,
                                     set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
