#include "agent_fixture.h"

#include "base/log.h"

#include <ev.h>

#include <assert.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

KqAgentFixture kq_agent_fixture;

static void
note_lease (int64_t lease_end_ms)
{
  if (lease_end_ms > kq_agent_fixture.lease_end_ms)
    kq_agent_fixture.lease_end_ms = lease_end_ms;
}

void
kq_runner_renew (KqRunnerClient *c, const KqRunnerDest *a, int64_t lease_end_ms,
                 uint64_t ends_seen, int wait_ms, KqRunnerCallback cb)
{
  (void)c;
  (void)a;
  (void)ends_seen;
  (void)wait_ms;
  if (kq_agent_fixture.starting || kq_agent_fixture.poll.done != NULL)
    {
      assert_int_equal (lease_end_ms, -1);
      kq_agent_fixture.verification = cb;
      return;
    }
  kq_agent_fixture.renewals++;
  note_lease (lease_end_ms);
  kq_agent_fixture.poll = cb;
}

void
kq_runner_start (KqRunnerClient *c, const KqRunnerDest *a, KqStr task, uint32_t run,
                 KqStr spec, KqStr checkpoint, KqStr ticket, int64_t lease_end_ms,
                 KqRunnerCallback cb)
{
  (void)c;
  (void)task;
  (void)run;
  assert (spec.len <= sizeof kq_agent_fixture.spec);
  if (spec.len > 0)
    memcpy (kq_agent_fixture.spec, spec.ptr, spec.len);
  kq_agent_fixture.spec_len = spec.len;
  kq_agent_fixture.checkpoint_len = checkpoint.len;
  kq_agent_fixture.starts++;
  kq_agent_fixture.opened_before = a->opened_before;
  (void)ticket;
  note_lease (lease_end_ms);
  kq_agent_fixture.start = cb;
}

void
kq_runner_stop (KqRunnerClient *c, const KqRunnerDest *a, KqStr task, uint32_t run,
                KqRunnerCallback cb)
{
  kq_runner_start (c, a, task, run, KQ_STR (""), KQ_STR (""), KQ_STR (""), -1, cb);
}

void
kq_runner_pace (KqRunnerClient *c, const KqRunnerDest *a, KqStr task, uint32_t run,
                int percent, KqRunnerCallback cb)
{
  (void)percent;
  kq_runner_start (c, a, task, run, KQ_STR (""), KQ_STR (""), KQ_STR (""), -1, cb);
}

void
kq_agent_fixture_order_renew (uint64_t halt)
{
  KqOrder o = { .kind = KQ_ORDER_RENEW, .runner = KQ_STR ("r") };
  o.u.renew.halt = halt;
  kq_agent_order (kq_agent_fixture.agent, KQ_AGENT_FIXTURE_EPOCH, &o, kq_time_now ());
}

static void
on_notice (void *arg, uint64_t epoch, const KqAgentItem *i)
{
  (void)arg;
  (void)epoch;
  kq_agent_fixture.last_item = i->kind;
  if (i->kind == KQ_AGENT_ITEM_OUTCOME)
    {
      kq_agent_fixture.assignment = i->u.outcome.assignment;
      kq_agent_fixture.result = i->u.outcome.result;
      kq_agent_fixture.unsent = i->u.outcome.unsent;
      kq_agent_fixture.lease_left_ms = i->u.outcome.lease_left_ms;
    }
  else if (i->kind == KQ_AGENT_ITEM_GRANTS)
    {
      kq_agent_fixture.grants = i->u.grants.n_rows;
      kq_agent_fixture.granted_ms
          = kq_agent_fixture.grants > 0 ? i->u.grants.rows[0].left_ms : 0;
    }
  else if (i->kind == KQ_AGENT_ITEM_UNREACHED)
    {
      kq_agent_fixture.assignment = i->u.unreached.assignment;
      kq_agent_fixture.unreached++;
    }
  else if (i->kind == KQ_AGENT_ITEM_LIST)
    {
      kq_agent_fixture.assignment = i->u.list.assignment;
      kq_agent_fixture.halt = i->u.list.halt;
      kq_agent_fixture.lease_left_ms = i->u.list.lease_left_ms;
      if (kq_agent_fixture.leader_renews && kq_agent_fixture.halt != 0)
        kq_agent_fixture_order_renew (kq_agent_fixture.halt);
    }
}

static void
stop_loop (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

/* Runs the loop for longer than the agent's delay before a poll. */
void
kq_agent_fixture_run_loop (void)
{
  ev_timer wait;
  ev_timer_init (&wait, stop_loop, 0.1, 0);
  ev_timer_start (kq_loop_ev (kq_agent_fixture.loop), &wait);
  ev_run (kq_loop_ev (kq_agent_fixture.loop), 0);
}

void
kq_agent_fixture_answer_poll (KqOrderResult result, int64_t started_ms, int64_t clock_ms,
                              KqTime now)
{
  KqRunnerReply r = { .result = result,
                      .clock_ms = clock_ms,
                      .started_ms = started_ms,
                      .send_started_at = now };
  KqRunnerCallback cb = kq_agent_fixture.poll;
  assert_non_null (cb.done);
  kq_agent_fixture.poll = (KqRunnerCallback){ 0 };
  cb.done (cb.arg, &r, now);
}

/* Waits for the agent's next poll and answers it. The runner's clock is the test's. */
void
kq_agent_fixture_answer_next_poll (KqOrderResult result)
{
  KqTime now;
  for (int i = 0; i < 50 && kq_agent_fixture.poll.done == NULL; i++)
    kq_agent_fixture_run_loop ();
  now = kq_time_now ();
  kq_agent_fixture_answer_poll (result, 1, result == KQ_ORDER_OK ? now / KQ_MS : -1, now);
}

/* Answers the call that verifies a connection, if one is in flight. */
void
kq_agent_fixture_answer_verification (KqOrderResult result, KqTime send_started_at,
                                      KqTime now)
{
  KqRunnerReply r
      = { .result = result, .clock_ms = -1, .send_started_at = send_started_at };
  KqRunnerCallback cb = kq_agent_fixture.verification;
  if (cb.done == NULL)
    return;
  kq_agent_fixture.verification = (KqRunnerCallback){ 0 };
  kq_agent_fixture.starting = true;
  cb.done (cb.arg, &r, now);
  kq_agent_fixture.starting = false;
}

void
kq_agent_fixture_assign_runner (uint64_t assignment)
{
  KqOrder o = { .kind = KQ_ORDER_TAKE, .runner = KQ_STR ("r") };
  o.u.take.address = KQ_STR ("127.0.0.1:1");
  o.u.take.failure_domain = KQ_STR ("d");
  o.u.take.assignment = assignment;
  kq_agent_order (kq_agent_fixture.agent, KQ_AGENT_FIXTURE_EPOCH, &o, kq_time_now ());
  /* Calls of an earlier assignment. */
  if (kq_agent_fixture.poll.done != NULL)
    kq_agent_fixture_answer_poll (KQ_ORDER_UNKNOWN, 0, -1, kq_time_now ());
  kq_agent_fixture_answer_verification (KQ_ORDER_UNKNOWN, 0, kq_time_now ());
  kq_agent_fixture_run_loop ();
}

void
kq_agent_fixture_order_start (uint32_t run, KqTime now)
{
  KqOrder o = { .kind = KQ_ORDER_START, .runner = KQ_STR ("r") };
  o.u.start.task = KQ_STR ("j.0.0.0");
  o.u.start.run = run;
  kq_agent_fixture.starting = true;
  kq_agent_order (kq_agent_fixture.agent, KQ_AGENT_FIXTURE_EPOCH, &o, now);
  kq_agent_fixture.starting = false;
}

void
kq_agent_fixture_start_task (KqTime now)
{
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
  kq_agent_fixture_order_start (1, now);
  kq_agent_fixture_answer_verification (KQ_ORDER_OK, now, now);
}

void
kq_agent_fixture_answer_start (int64_t clock_ms, KqTime sent_at, KqTime now)
{
  KqRunnerReply r = { .result = KQ_ORDER_OK, .clock_ms = clock_ms, .called_at = sent_at };
  kq_agent_fixture.start.done (kq_agent_fixture.start.arg, &r, now);
}

/* Starts a task; returns the end of the lease, on the runner's clock, in that call. */
int64_t
kq_agent_fixture_grant_by_start (KqTime now)
{
  kq_agent_fixture.lease_end_ms = -1;
  kq_agent_fixture_start_task (now);
  return kq_agent_fixture.lease_end_ms;
}

int
kq_agent_fixture_set_up (void **state)
{
  KqAgentConfig c = { .lease_ms = KQ_AGENT_FIXTURE_LEASE_MS,
                      .renew_without_leader_ms = KQ_AGENT_FIXTURE_RENEW_WITHOUT_LEADER_MS,
                      .notice = on_notice };
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  memset (&kq_agent_fixture, 0, sizeof kq_agent_fixture);
  kq_agent_fixture.leader_renews = true;
  kq_agent_fixture.lease_end_ms = -1;
  kq_agent_fixture.loop = c.loop = kq_loop_new ();
  kq_agent_fixture.counters = c.counters = kq_counters_new ();
  c.cordons = kq_agent_fixture.cordons = kq_cordons_new ();
  kq_agent_fixture.agent = kq_agent_new (&c);
  return 0;
}

int
kq_agent_fixture_tear_down (void **state)
{
  (void)state;
  if (kq_agent_fixture.poll.done != NULL)
    kq_agent_fixture_answer_poll (KQ_ORDER_UNKNOWN, 0, -1, kq_time_now ());
  kq_agent_fixture_answer_verification (KQ_ORDER_UNKNOWN, 0, kq_time_now ());
  kq_agent_free (kq_agent_fixture.agent);
  kq_cordons_free (kq_agent_fixture.cordons);
  kq_counters_free (kq_agent_fixture.counters);
  kq_loop_free (kq_agent_fixture.loop);
  return 0;
}
