#include "base/log.h"
#include "crew/agent.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#define EPOCH 7

/* The runner, played by the test: it notes renewals and answers none. */
static struct
{
  int renewals;
  KqRunnerCallback cb;
} runner;
static KqRunnerCallback started; /* the last start, and the lease that came along */
static int64_t started_lease_end_ms;

/* What the agent has told last. */
static struct
{
  KqCrewKind kind;
  uint64_t taking;
  int64_t lease_left_ms;
} told;

void
kq_runner_renew (KqRunnerCalls *c, const KqRunnerAim *a, int64_t lease_end_ms,
                 uint64_t ends_seen, int wait_ms, KqRunnerCallback cb)
{
  (void)c;
  (void)a;
  (void)lease_end_ms;
  (void)ends_seen;
  (void)wait_ms;
  runner.renewals++;
  runner.cb = cb;
}

void
kq_runner_start (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                 KqStr spec, KqStr checkpoint, KqStr ticket, int64_t lease_end_ms,
                 KqRunnerCallback cb)
{
  (void)c;
  (void)a;
  (void)task;
  (void)run;
  (void)spec;
  (void)checkpoint;
  (void)ticket;
  started_lease_end_ms = lease_end_ms;
  started = cb;
}

void
kq_runner_stop (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                KqRunnerCallback cb)
{
  kq_runner_start (c, a, task, run, KQ_STR (""), KQ_STR (""), KQ_STR (""), 0, cb);
}

void
kq_runner_pace (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                int percent, KqRunnerCallback cb)
{
  kq_runner_start (c, a, task, run, KQ_STR (""), KQ_STR (""), KQ_STR (""), percent, cb);
}

static void
on_notice (void *arg, uint64_t epoch, const KqCrewItem *i)
{
  (void)arg;
  (void)epoch;
  told.kind = i->kind;
  if (i->kind == KQ_CREW_LIST)
    {
      told.taking = i->u.list.taking;
      told.lease_left_ms = i->u.list.lease_left_ms;
    }
  else if (i->kind == KQ_CREW_OUTCOME)
    told.taking = i->u.outcome.taking;
  else if (i->kind == KQ_CREW_UNREACHED)
    told.taking = i->u.unreached.taking;
}

static void
answer (KqTime now)
{
  KqRunnerReply r = { .result = KQ_ORDER_OK, .clock_ms = 1000, .born_ms = 1 };
  runner.cb.done (runner.cb.arg, &r, now);
}

static void
on_time (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

/* Longer than the agent waits before its next question. */
static void
pass_time (KqLoop *loop)
{
  ev_timer wait;
  ev_timer_init (&wait, on_time, 0.1, 0);
  ev_timer_start (kq_loop_ev (loop), &wait);
  ev_run (kq_loop_ev (loop), 0);
}

/* The client sees its task run on two runners at once.
 * A node loses its connection to the leader and is back at once; the leader has given its
 * runners to others. The node went on renewing their leases, unknown to the leader, which
 * then counted a silent runner's lease as over while it ran on. A new connection must end
 * all renewals until the leader gives a runner again. */
static void
test_new_connection_ends_renewals (void **state)
{
  KqLoop *loop = kq_loop_new ();
  KqCounters *counters = kq_counters_new ();
  KqCrewAgentConfig c = { .loop = loop,
                          .lease_ms = 5000,
                          .blind_ms = 4000,
                          .counters = counters,
                          .notice = on_notice };
  KqCrewAgent *a = kq_crew_agent_new (&c);
  KqOrder take = { .kind = KQ_ORDER_TAKE, .runner = KQ_STR ("r") };
  int before;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  take.u.take.address = KQ_STR ("127.0.0.1:1");
  kq_crew_agent_order (a, EPOCH, &take, kq_time_now ());
  pass_time (loop);
  assert_int_equal (runner.renewals, 1);
  answer (kq_time_now ());
  pass_time (loop);
  assert_true (runner.renewals >= 2);
  answer (kq_time_now ());
  kq_crew_agent_released (a);
  assert_int_equal (kq_crew_agent_runners (a), 0);
  before = runner.renewals;
  kq_crew_agent_heard (a, EPOCH, kq_time_now ());
  pass_time (loop);
  assert_int_equal (runner.renewals, before);
  kq_crew_agent_order (a, EPOCH, &take, kq_time_now ());
  pass_time (loop);
  assert_int_equal (runner.renewals, before + 1);
  answer (kq_time_now ());
  kq_crew_agent_free (a);
  kq_counters_free (counters);
  kq_loop_free (loop);
}

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqCrewAgent *agent;
} Bench;

static int
set_up (void **state)
{
  Bench *b = kq_alloc (sizeof *b);
  KqCrewAgentConfig c = { .lease_ms = 5000, .blind_ms = 4000, .notice = on_notice };
  kq_log_set_level (KQ_LOG_ERROR);
  b->loop = c.loop = kq_loop_new ();
  b->counters = c.counters = kq_counters_new ();
  b->agent = kq_crew_agent_new (&c);
  *state = b;
  return 0;
}

static int
tear_down (void **state)
{
  Bench *b = *state;
  kq_crew_agent_free (b->agent);
  kq_counters_free (b->counters);
  kq_loop_free (b->loop);
  free (b);
  return 0;
}

static void
take (Bench *b, uint64_t taking)
{
  KqOrder o = { .kind = KQ_ORDER_TAKE, .runner = KQ_STR ("r") };
  o.u.take.address = KQ_STR ("127.0.0.1:1");
  o.u.take.taking = taking;
  kq_crew_agent_order (b->agent, EPOCH, &o, kq_time_now ());
  pass_time (b->loop);
}

static void
answer_none (KqOrderResult result)
{
  KqRunnerReply r = { .result = result, .clock_ms = -1 };
  runner.cb.done (runner.cb.arg, &r, kq_time_now ());
}

/* One task runs twice: what is told of an earlier taking of its runner counts. */
static void
test_words_name_their_taking (void **state)
{
  Bench *b = *state;
  KqOrder start = { .kind = KQ_ORDER_START, .runner = KQ_STR ("r") };
  start.u.start.task = KQ_STR ("aa.0.0.0");
  take (b, 8);
  answer (kq_time_now ());
  assert_int_equal (told.kind, KQ_CREW_LIST);
  assert_int_equal (told.taking, 8);
  take (b, 9);
  answer_none (KQ_ORDER_OTHER_LIFE);
  assert_int_equal (told.kind, KQ_CREW_UNREACHED);
  assert_int_equal (told.taking, 9);
  kq_crew_agent_order (b->agent, EPOCH, &start, kq_time_now ());
  started.done (started.arg, &(KqRunnerReply){ .clock_ms = -1 }, kq_time_now ());
  assert_int_equal (told.kind, KQ_CREW_OUTCOME);
  assert_int_equal (told.taking, 9);
}

static void
answer_from (int64_t born_ms, int64_t clock_ms, KqTime now)
{
  KqRunnerReply r = { .result = KQ_ORDER_OK, .clock_ms = clock_ms, .born_ms = born_ms };
  runner.cb.done (runner.cb.arg, &r, now);
}

/* The end of the lease, on the runner's clock, that a start grants. */
static int64_t
grant (Bench *b, KqTime now)
{
  KqOrder start = { .kind = KQ_ORDER_START, .runner = KQ_STR ("r") };
  start.u.start.task = KQ_STR ("aa.0.0.0");
  kq_crew_agent_order (b->agent, EPOCH, &start, now);
  return started_lease_end_ms;
}

static void
answer_start (int64_t clock_ms, KqTime sent_at, KqTime now)
{
  KqRunnerReply r = { .result = KQ_ORDER_OK, .clock_ms = clock_ms, .sent_at = sent_at };
  started.done (started.arg, &r, now);
}

/* One task runs twice: a lease is granted by the clock of a runner's earlier life. */
static void
test_clock_of_a_new_life (void **state)
{
  Bench *b = *state;
  KqTime t = kq_time_now ();
  take (b, 1);
  answer_from (1, 3000, t);
  pass_time (b->loop);
  grant (b, t + 100 * KQ_MS);
  answer_from (2, 100, t + 500 * KQ_MS);
  assert_int_equal (told.lease_left_ms, 5000 * 100 / 98 + 1);
  /* The earlier life's answer to a start, on its way until now. */
  answer_start (3200, t + 100 * KQ_MS, t + 500 * KQ_MS);
  assert_int_equal (grant (b, t + 500 * KQ_MS), 5100);
  answer_start (100, t + 500 * KQ_MS, t + 500 * KQ_MS);
}

/* As above, where the runner is taken again between the two lives. */
static void
test_clock_of_a_new_life_taken_again (void **state)
{
  Bench *b = *state;
  KqTime t = kq_time_now ();
  take (b, 1);
  answer_from (1, 3000, t);
  take (b, 2);
  answer_from (2, 100, t + 500 * KQ_MS);
  assert_int_equal (grant (b, t + 500 * KQ_MS), 5100);
  answer_start (100, t + 500 * KQ_MS, t + 500 * KQ_MS);
}

/* One task runs twice: a lease is granted on the word of a leader that is long gone. */
static void
test_delayed_words_grant_nothing (void **state)
{
  Bench *b = *state;
  KqTime t = kq_time_now ();
  KqTime later = t + 4200 * KQ_MS;
  take (b, 1);
  answer_from (1, 1000, t);
  kq_crew_agent_heard (b->agent, EPOCH, later);
  assert_int_equal (grant (b, later), 6000);
  answer_start (-1, later, later);
  kq_crew_agent_counted (b->agent, EPOCH, later - KQ_SEC);
  assert_int_equal (grant (b, later), 1000 + 4200 * 98 / 100 + 5000);
  answer_start (-1, later, later);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_connection_ends_renewals),
    cmocka_unit_test_setup_teardown (test_words_name_their_taking, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_delayed_words_grant_nothing, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_clock_of_a_new_life, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_clock_of_a_new_life_taken_again, set_up,
                                     tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
