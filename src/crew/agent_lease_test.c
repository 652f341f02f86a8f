#include "base/log.h"
#include "crew/agent.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define EPOCH 7

/* The runner and the leader, played by the test. */
static struct
{
  int64_t lease_end_ms; /* the latest that a call has carried */
  KqRunnerCallback question;
  int reports; /* of silence */
} seen;

static void
note_lease (int64_t lease_end_ms)
{
  if (lease_end_ms > seen.lease_end_ms)
    seen.lease_end_ms = lease_end_ms;
}

void
kq_runner_renew (KqRunnerCalls *c, const KqRunnerAim *a, int64_t lease_end_ms,
                 uint64_t ends_seen, int wait_ms, KqRunnerCallback cb)
{
  (void)c;
  (void)a;
  (void)ends_seen;
  (void)wait_ms;
  note_lease (lease_end_ms);
  seen.question = cb;
}

void
kq_runner_start (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                 KqStr spec, KqStr checkpoint, KqStr ticket, int64_t lease_end_ms,
                 KqRunnerCallback cb)
{
  KqRunnerReply r = { .result = KQ_ORDER_UNKNOWN, .clock_ms = -1 };
  (void)c;
  (void)a;
  (void)task;
  (void)run;
  (void)spec;
  (void)checkpoint;
  (void)ticket;
  note_lease (lease_end_ms);
  cb.done (cb.arg, &r, kq_time_now ());
}

void
kq_runner_stop (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                KqRunnerCallback cb)
{
  kq_runner_start (c, a, task, run, KQ_STR (""), KQ_STR (""), KQ_STR (""), -1, cb);
}

void
kq_runner_pace (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                int percent, KqRunnerCallback cb)
{
  (void)percent;
  kq_runner_start (c, a, task, run, KQ_STR (""), KQ_STR (""), KQ_STR (""), -1, cb);
}

static void
on_notice (void *arg, uint64_t epoch, const KqCrewItem *i)
{
  (void)arg;
  (void)epoch;
  seen.reports += i->kind == KQ_CREW_UNREACHED;
}

static void
on_time (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

/* Lets the agent ask, and the runner answer. */
static void
exchange (KqLoop *loop, KqOrderResult result)
{
  KqRunnerReply r = { .result = result, .clock_ms = -1 };
  KqRunnerCallback cb;
  ev_timer wait;
  for (int i = 0; i < 20 && seen.question.done == NULL; i++)
    {
      ev_timer_init (&wait, on_time, 0.05, 0);
      ev_timer_start (kq_loop_ev (loop), &wait);
      ev_run (kq_loop_ev (loop), 0);
    }
  assert_non_null (seen.question.done);
  if (result == KQ_ORDER_OK)
    {
      r.clock_ms = kq_time_now () / KQ_MS;
      r.born_ms = 1;
    }
  cb = seen.question;
  seen.question = (KqRunnerCallback){ 0 };
  cb.done (cb.arg, &r, kq_time_now ());
}

static void
start_run (KqCrewAgent *a)
{
  KqOrder o = { .kind = KQ_ORDER_START, .runner = KQ_STR ("r") };
  o.u.start.task = KQ_STR ("j.0.0.0");
  o.u.start.run = 1;
  kq_crew_agent_order (a, EPOCH, &o, kq_time_now ());
}

/* A task runs twice: its runner's lease is extended after the leader was told its end. */
static void
test_reported_lease_end_stands (void **state)
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
  int64_t reported;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  take.u.take.address = KQ_STR ("127.0.0.1:1");
  kq_crew_agent_order (a, EPOCH, &take, kq_time_now ());
  exchange (loop, KQ_ORDER_OK);
  exchange (loop, KQ_ORDER_OK);
  while (seen.reports == 0)
    exchange (loop, KQ_ORDER_UNKNOWN);
  reported = seen.lease_end_ms;
  exchange (loop, KQ_ORDER_OK);
  exchange (loop, KQ_ORDER_OK);
  start_run (a);
  exchange (loop, KQ_ORDER_OK);
  assert_int_equal (seen.lease_end_ms, reported);
  kq_crew_agent_free (a);
  kq_counters_free (counters);
  kq_loop_free (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_reported_lease_end_stands) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
