#include "base/log.h"
#include "crew/agent.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define EPOCH 7

/* The runner, played by the test: it notes renewals and answers none. */
static struct
{
  int renewals;
  KqRunnerCallback cb;
} runner;

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
  (void)lease_end_ms;
  (void)cb;
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
  (void)i;
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
  kq_crew_agent_free (a);
  kq_counters_free (counters);
  kq_loop_free (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_new_connection_ends_renewals) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
