#include "base/log.h"
#include "fleet/accepts.h"
#include "fleet/front.h"

#include <ev.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

typedef enum
{
  NO_CALL,
  GET,
  TXN
} Sort;

/* The store, the client and the leader's word, played by the test. */
static struct
{
  Sort call; /* under way */
  int timeout_ms;
  KqKvCallback cb;
  KqReachState store;
  bool leader_reaches;     /* the store */
  bool led;                /* the leader can be asked */
  uint64_t call_of_leader; /* the last question to it; 0: none */
  int replies;
  KqFrontReply reply; /* the last one */
} world;

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)key;
  world.call = GET;
  world.timeout_ms = timeout_ms;
  world.cb = cb;
}

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)t;
  world.call = TXN;
  world.timeout_ms = timeout_ms;
  world.cb = cb;
}

void
kq_ask_reply (KqAsk *a, const KqFrontReply *r)
{
  (void)a;
  world.replies++;
  world.reply = *r;
}

static void
answer (KqKvResult result)
{
  KqKvReply r = { .result = result, .revision = 7 };
  KqKvCallback cb = world.cb;
  world.call = NO_CALL;
  cb.done (cb.arg, &r, kq_time_now ());
}

static const KqQueueTable *
table (void *arg)
{
  static KqQueue queue = { .prefix = { "/jobs/", 6 }, .attempts = 1 };
  static const KqQueueTable t = { .queues = &queue, .n_queues = 1 };
  (void)arg;
  return &t;
}

static KqReachState
store (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  return world.store;
}

static bool
by_leader (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  return world.leader_reaches;
}

static bool
ask (void *arg, const KqCrewItem *question, KqTime now)
{
  (void)arg;
  (void)now;
  if (world.led && question->u.ask.what == KQ_ASK_ACCEPT)
    world.call_of_leader = question->u.ask.call;
  return world.led;
}

static void
tell (void *arg, const KqCrewItem *i, KqTime now)
{
  (void)arg;
  (void)i;
  (void)now;
}

static void
answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
failed (void *arg, KqTime sent_at)
{
  (void)arg;
  (void)sent_at;
}

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqFrontDesk *desk;
} Test;

static int
set_up (void **state)
{
  Test *t = kq_alloc (sizeof *t);
  KqFrontDeskConfig c = { .table = table,
                          .store = store,
                          .by_leader = by_leader,
                          .ask = ask,
                          .tell = tell,
                          .answered = answered,
                          .failed = failed };
  memset (&world, 0, sizeof world);
  kq_log_set_level (KQ_LOG_ERROR);
  t->loop = c.loop = kq_loop_new ();
  t->counters = c.counters = kq_counters_new ();
  t->desk = kq_front_desk_new (&c);
  *state = t;
  return 0;
}

static int
tear_down (void **state)
{
  Test *t = *state;
  kq_front_desk_free (t->desk);
  kq_counters_free (t->counters);
  kq_loop_free (t->loop);
  free (t);
  return 0;
}

static void
submit_within (Test *t, KqReachState reach, int64_t deadline_ms)
{
  KqStep step = { .width = 1, .cpu_milli = 100, .away_most = -1 };
  KqSpec spec = { .steps = &step, .n_steps = 1 };
  KqFrontRequest r = { .kind = KQ_FRONT_SUBMIT,
                       .path = KQ_STR ("/jobs/j1"),
                       .spec = &spec,
                       .deadline_ms = deadline_ms };
  world.store = reach;
  kq_front_desk_request (t->desk, NULL, &r, kq_time_now ());
}

static void
submit (Test *t, KqReachState reach)
{
  submit_within (t, reach, 3000);
}

/* The client isn't told whether its job was accepted, and can't hand it in again. */
static void
test_store_in_doubt_is_asked_before_it_is_written_to (void **state)
{
  submit (*state, KQ_REACH_IN_DOUBT);
  assert_int_equal (world.call, GET);
  assert_in_range (world.timeout_ms, 1, 400);
  answer (KQ_KV_UNKNOWN);
  assert_int_equal (world.call, NO_CALL);
  assert_int_equal (world.reply.kind, KQ_REPLY_REFUSED);
  assert_true (world.reply.retry_ms > 0);
  assert_int_equal (world.replies, 1);
}

static void
test_store_that_answers_is_written_to (void **state)
{
  submit (*state, KQ_REACH_IN_DOUBT);
  answer (KQ_KV_NOT_FOUND);
  assert_int_equal (world.call, TXN);
  answer (KQ_KV_OK);
  assert_int_equal (world.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (world.replies, 1);
}

/* A repeat of a job that was accepted is told that it is. */
static void
test_job_that_is_there_is_accepted (void **state)
{
  submit (*state, KQ_REACH_IN_DOUBT);
  answer (KQ_KV_OK);
  assert_int_equal (world.call, NO_CALL);
  assert_int_equal (world.reply.kind, KQ_REPLY_DONE);
}

/* In calm times a question would be a call and a way to the store for nothing. */
static void
test_store_that_is_up_is_not_asked (void **state)
{
  submit (*state, KQ_REACH_UP);
  assert_int_equal (world.call, TXN);
  answer (KQ_KV_OK);
  assert_int_equal (world.reply.kind, KQ_REPLY_DONE);
}

static void
test_store_that_is_away_is_not_called (void **state)
{
  submit (*state, KQ_REACH_AWAY);
  assert_int_equal (world.call, NO_CALL);
  assert_int_equal (world.reply.kind, KQ_REPLY_REFUSED);
}

static void
submit_by_leader (Test *t, bool led)
{
  world.led = led;
  world.leader_reaches = true;
  submit (t, KQ_REACH_AWAY);
  assert_int_equal (world.call, NO_CALL);
  assert_int_equal (world.call_of_leader != 0, led);
}

/* Clients of a node that the store turns away are refused, though the leader could take
 * their jobs. */
static void
test_leader_writes_for_a_node_without_the_store (void **state)
{
  Test *t = *state;
  submit_by_leader (t, true);
  assert_int_equal (world.replies, 0);
  kq_front_desk_answer (t->desk, world.call_of_leader, KQ_ACCEPT_DONE, kq_time_now ());
  assert_int_equal (world.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (world.replies, 1);
}

static void
test_no_leader_at_hand_refuses (void **state)
{
  submit_by_leader (*state, false);
  assert_int_equal (world.reply.kind, KQ_REPLY_REFUSED);
}

static void
test_leader_that_has_not_written_refuses (void **state)
{
  static const int64_t words[] = { KQ_ACCEPT_REFUSED, -1 };
  Test *t = *state;
  for (int i = 0; i < 2; i++)
    {
      submit_by_leader (t, true);
      kq_front_desk_answer (t->desk, world.call_of_leader, words[i], kq_time_now ());
      assert_int_equal (world.reply.kind, KQ_REPLY_REFUSED);
      assert_true (world.reply.retry_ms > 0);
    }
}

static void
on_over (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

static void
run_for (Test *t, double seconds)
{
  ev_timer over;
  ev_timer_init (&over, on_over, seconds, 0);
  ev_timer_start (kq_loop_ev (t->loop), &over);
  kq_loop_run (t->loop);
}

/* A job that was refused as not run runs: the leader's word is lost, the write isn't. */
static void
test_leader_without_a_word_leaves_it_open (void **state)
{
  Test *t = *state;
  submit_by_leader (t, true);
  run_for (t, 1.5);
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.reply.kind, KQ_REPLY_UNKNOWN);
  submit_by_leader (t, true);
  kq_front_desk_answer (t->desk, world.call_of_leader, KQ_ACCEPT_UNKNOWN, kq_time_now ());
  assert_int_equal (world.reply.kind, KQ_REPLY_UNKNOWN);
}

/* A client has gone before its answer comes, and doesn't know what became of its job. */
static void
test_no_time_for_the_leader_refuses_at_once (void **state)
{
  world.led = world.leader_reaches = true;
  submit_within (*state, KQ_REACH_AWAY, 200);
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.reply.kind, KQ_REPLY_REFUSED);
  assert_int_equal (world.call_of_leader, 0);
}

#define DESK(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (
              test_store_in_doubt_is_asked_before_it_is_written_to, set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_store_that_answers_is_written_to, set_up,
                                           tear_down),
          cmocka_unit_test_setup_teardown (test_job_that_is_there_is_accepted, set_up,
                                           tear_down),
          cmocka_unit_test_setup_teardown (test_store_that_is_up_is_not_asked, set_up,
                                           tear_down),
          cmocka_unit_test_setup_teardown (test_store_that_is_away_is_not_called, set_up,
                                           tear_down),
          DESK (test_leader_writes_for_a_node_without_the_store),
          DESK (test_no_leader_at_hand_refuses),
          DESK (test_leader_that_has_not_written_refuses),
          DESK (test_leader_without_a_word_leaves_it_open),
          DESK (test_no_time_for_the_leader_refuses_at_once) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
