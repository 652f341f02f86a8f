#include "base/log.h"
#include "crew/agent.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define EPOCH 7

/* The runner and the leader, played by the test. */
static struct
{
  KqCrewAgent *agent;
  int renewals;
  int64_t lease_end_ms; /* the latest that a call has carried */
  KqRunnerCallback question;
  bool answers;  /* the leader answers lists */
  uint64_t halt; /* of the last list */
  int reports;   /* of silence */
} seen;

void
kq_runner_renew (KqRunnerCalls *c, const KqRunnerAim *a, int64_t lease_end_ms,
                 uint64_t ends_seen, int wait_ms, KqRunnerCallback cb)
{
  (void)c;
  (void)a;
  (void)ends_seen;
  (void)wait_ms;
  seen.renewals++;
  if (lease_end_ms > seen.lease_end_ms)
    seen.lease_end_ms = lease_end_ms;
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
  if (lease_end_ms > seen.lease_end_ms)
    seen.lease_end_ms = lease_end_ms;
  cb.done (cb.arg, &r, kq_time_now ());
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
  (void)percent;
  kq_runner_start (c, a, task, run, KQ_STR (""), KQ_STR (""), KQ_STR (""), 0, cb);
}

static void
renew (uint64_t halt)
{
  KqOrder o = { .kind = KQ_ORDER_RENEW, .runner = KQ_STR ("r") };
  o.u.renew.halt = halt;
  kq_crew_agent_order (seen.agent, EPOCH, &o, kq_time_now ());
}

static void
on_notice (void *arg, uint64_t epoch, const KqCrewItem *i)
{
  (void)arg;
  (void)epoch;
  seen.reports += i->kind == KQ_CREW_UNREACHED;
  if (i->kind != KQ_CREW_LIST)
    return;
  seen.halt = i->u.list.halt;
  if (seen.answers && seen.halt != 0)
    renew (seen.halt);
}

static void
on_time (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

static void
pass_time (KqLoop *loop)
{
  ev_timer wait;
  ev_timer_init (&wait, on_time, 0.1, 0);
  ev_timer_start (kq_loop_ev (loop), &wait);
  ev_run (kq_loop_ev (loop), 0);
}

/* Lets the agent ask, and the runner answer. */
static void
exchange (KqLoop *loop, KqOrderResult result)
{
  KqRunnerReply r = { .result = result, .clock_ms = -1 };
  KqRunnerCallback cb;
  for (int i = 0; i < 50 && seen.question.done == NULL; i++)
    pass_time (loop);
  cb = seen.question;
  assert_non_null (cb.done);
  seen.question = (KqRunnerCallback){ 0 };
  if (result == KQ_ORDER_OK)
    {
      r.clock_ms = kq_time_now () / KQ_MS;
      r.born_ms = 1;
    }
  cb.done (cb.arg, &r, kq_time_now ());
}

static KqCrewAgentConfig
config (void)
{
  return (KqCrewAgentConfig){ .loop = kq_loop_new (),
                              .lease_ms = 5000,
                              .blind_ms = 4000,
                              .counters = kq_counters_new (),
                              .notice = on_notice };
}

static void
take_runner (void)
{
  KqOrder take = { .kind = KQ_ORDER_TAKE, .runner = KQ_STR ("r") };
  take.u.take.address = KQ_STR ("127.0.0.1:1");
  kq_crew_agent_order (seen.agent, EPOCH, &take, kq_time_now ());
}

static void
begin (const KqCrewAgentConfig *c)
{
  kq_log_set_level (KQ_LOG_ERROR);
  memset (&seen, 0, sizeof seen);
  seen.answers = true;
  seen.lease_end_ms = -1;
  seen.agent = kq_crew_agent_new (c);
  take_runner ();
}

static void
end (const KqCrewAgentConfig *c)
{
  kq_crew_agent_free (seen.agent);
  kq_counters_free (c->counters);
  kq_loop_free (c->loop);
}

/* A task runs twice: a node that is back renews leases of runners given to others. */
static void
test_new_connection_ends_renewals (void **state)
{
  KqCrewAgentConfig c = config ();
  int before;
  (void)state;
  begin (&c);
  exchange (c.loop, KQ_ORDER_OK);
  exchange (c.loop, KQ_ORDER_OK);
  pass_time (c.loop);
  assert_true (seen.renewals >= 2);
  kq_crew_agent_released (seen.agent);
  assert_int_equal (kq_crew_agent_runners (seen.agent), 0);
  before = seen.renewals;
  kq_crew_agent_heard (seen.agent, EPOCH, kq_time_now ());
  pass_time (c.loop);
  assert_int_equal (seen.renewals, before);
  take_runner ();
  pass_time (c.loop);
  assert_int_equal (seen.renewals, before + 1);
  end (&c);
}

static void
start_run (void)
{
  KqOrder o = { .kind = KQ_ORDER_START, .runner = KQ_STR ("r") };
  o.u.start.task = KQ_STR ("j.0.0.0");
  o.u.start.run = 1;
  kq_crew_agent_order (seen.agent, EPOCH, &o, kq_time_now ());
}

/* A task runs twice: its runner's lease is extended after the leader was told its end. */
static void
test_reported_lease_end_stands (void **state)
{
  KqCrewAgentConfig c = config ();
  int64_t reported;
  uint64_t first;
  (void)state;
  begin (&c);
  exchange (c.loop, KQ_ORDER_OK);
  first = seen.halt;
  exchange (c.loop, KQ_ORDER_OK);
  while (seen.reports == 0)
    exchange (c.loop, KQ_ORDER_UNKNOWN);
  reported = seen.lease_end_ms;
  assert_true (reported > 0);
  seen.answers = false;
  exchange (c.loop, KQ_ORDER_OK);
  renew (first); /* meant for an earlier list */
  exchange (c.loop, KQ_ORDER_OK);
  start_run ();
  exchange (c.loop, KQ_ORDER_OK);
  assert_int_equal (seen.lease_end_ms, reported);
  renew (seen.halt);
  exchange (c.loop, KQ_ORDER_OK);
  exchange (c.loop, KQ_ORDER_OK);
  assert_true (seen.lease_end_ms > reported);
  end (&c);
}

/* A task runs twice: a node that takes a runner over extends its lease before the leader
 * has heard from it. */
static void
test_taken_runner_waits_for_the_leader (void **state)
{
  KqCrewAgentConfig c = config ();
  (void)state;
  begin (&c);
  seen.answers = false;
  exchange (c.loop, KQ_ORDER_OK);
  exchange (c.loop, KQ_ORDER_OK);
  exchange (c.loop, KQ_ORDER_OK);
  assert_int_equal (seen.lease_end_ms, -1);
  renew (seen.halt);
  exchange (c.loop, KQ_ORDER_OK);
  exchange (c.loop, KQ_ORDER_OK);
  assert_true (seen.lease_end_ms > 0);
  end (&c);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_new_connection_ends_renewals),
          cmocka_unit_test (test_reported_lease_end_stands),
          cmocka_unit_test (test_taken_runner_waits_for_the_leader) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
