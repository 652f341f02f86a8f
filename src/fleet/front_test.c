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
} CallKind;

/* Fake store, client and leader. */
static struct
{
  CallKind call; /* the outstanding one */
  char key[32];  /* of the last read */
  int timeout_ms;
  KqKvCallback cb;
  KqReachState store;
  bool leader_reaches_store; /* the leader reaches the store */
  bool has_leader;           /* there is a leader */
  uint64_t leader_call;      /* the last job that the leader is to write; 0: none */
  uint64_t state_call;       /* the last question for a job's state; 0: none */
  int replies;
  KqFrontReply reply; /* the last one */
} fake;

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  kq_str_copy (key, fake.key, sizeof fake.key);
  fake.call = GET;
  fake.timeout_ms = timeout_ms;
  fake.cb = cb;
}

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)t;
  fake.call = TXN;
  fake.timeout_ms = timeout_ms;
  fake.cb = cb;
}

void
kq_front_exchange_reply (KqFrontExchange *x, const KqFrontReply *r)
{
  (void)x;
  fake.replies++;
  fake.reply = *r;
}

static void
answer (KqKvResult result)
{
  KqKvReply r = { .result = result, .revision = 7 };
  KqKvCallback cb = fake.cb;
  fake.call = NO_CALL;
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
  return fake.store;
}

static bool
store_reached_by_leader (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  return fake.leader_reaches_store;
}

static bool
query_leader (void *arg, const KqAgentItem *query, KqTime now)
{
  (void)arg;
  (void)now;
  if (fake.has_leader && query->u.ask.what == KQ_ASK_ACCEPT)
    fake.leader_call = query->u.ask.call;
  if (fake.has_leader && query->u.ask.what == KQ_ASK_STATE)
    fake.state_call = query->u.ask.call;
  return fake.has_leader;
}

static void
notify_leader (void *arg, const KqAgentItem *i, KqTime now)
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
  KqFrontHandler *handler;
} Test;

static int
set_up (void **state)
{
  Test *t = kq_alloc (sizeof *t);
  KqFrontHandlerConfig c = { .table = table,
                             .store_state = store,
                             .store_reached_by_leader = store_reached_by_leader,
                             .query_leader = query_leader,
                             .notify_leader = notify_leader,
                             .answered = answered,
                             .failed = failed };
  memset (&fake, 0, sizeof fake);
  kq_log_set_level (KQ_LOG_ERROR);
  t->loop = c.loop = kq_loop_new ();
  t->counters = c.counters = kq_counters_new ();
  t->handler = kq_front_handler_new (&c);
  *state = t;
  return 0;
}

static int
tear_down (void **state)
{
  Test *t = *state;
  kq_front_handler_free (t->handler);
  kq_counters_free (t->counters);
  kq_loop_free (t->loop);
  free (t);
  return 0;
}

static void
submit_within (Test *t, KqReachState reach, int64_t deadline_ms)
{
  KqStep step = { .width = 1, .cpu_milli = 100, .max_unavailable = -1 };
  KqSpec spec = { .steps = &step, .n_steps = 1 };
  KqFrontRequest r = { .kind = KQ_FRONT_SUBMIT,
                       .path = KQ_STR ("/jobs/j1"),
                       .spec = &spec,
                       .deadline_ms = deadline_ms };
  fake.store = reach;
  kq_front_handler_request (t->handler, NULL, &r, kq_time_now ());
}

static void
submit (Test *t, KqReachState reach)
{
  submit_within (t, reach, 3000);
}

/* Guards against a reply with unknown outcome, after which the client cannot safely
 * submit the job again. */
static void
test_suspect_store_is_read_before_a_write (void **state)
{
  submit (*state, KQ_REACH_SUSPECT);
  assert_int_equal (fake.call, GET);
  assert_in_range (fake.timeout_ms, 1, 400);
  answer (KQ_KV_UNKNOWN);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.reply.kind, KQ_REPLY_REFUSED);
  assert_true (fake.reply.retry_ms > 0);
  assert_int_equal (fake.replies, 1);
}

static void
test_suspect_store_that_answers_is_written_to (void **state)
{
  submit (*state, KQ_REACH_SUSPECT);
  answer (KQ_KV_NOT_FOUND);
  assert_int_equal (fake.call, TXN);
  answer (KQ_KV_OK);
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (fake.replies, 1);
}

/* Guards against refusing a repeated submission of a job that has been accepted. */
static void
test_job_that_is_there_is_accepted (void **state)
{
  submit (*state, KQ_REACH_SUSPECT);
  answer (KQ_KV_OK);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
}

/* Guards against a needless read, and its round trip, before every write. */
static void
test_store_that_is_up_is_not_read_first (void **state)
{
  submit (*state, KQ_REACH_UP);
  assert_int_equal (fake.call, TXN);
  answer (KQ_KV_OK);
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
}

static void
test_store_that_is_down_is_not_called (void **state)
{
  submit (*state, KQ_REACH_DOWN);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.reply.kind, KQ_REPLY_REFUSED);
}

static void
submit_via_leader (Test *t, bool has_leader)
{
  fake.has_leader = has_leader;
  fake.leader_reaches_store = true;
  submit (t, KQ_REACH_DOWN);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.leader_call != 0, has_leader);
}

/* Guards against refusing clients of a node that is cut off from the store, though the
 * leader could write their jobs. */
static void
test_leader_writes_for_a_node_without_the_store (void **state)
{
  Test *t = *state;
  submit_via_leader (t, true);
  assert_int_equal (fake.replies, 0);
  kq_front_handler_answer (t->handler, fake.leader_call, KQ_ACCEPT_DONE, kq_time_now ());
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (fake.replies, 1);
}

static void
test_no_leader_refuses (void **state)
{
  submit_via_leader (*state, false);
  assert_int_equal (fake.reply.kind, KQ_REPLY_REFUSED);
}

static void
test_leader_without_a_write_refuses (void **state)
{
  static const int64_t results[] = { KQ_ACCEPT_REFUSED, -1 };
  Test *t = *state;
  for (int i = 0; i < 2; i++)
    {
      submit_via_leader (t, true);
      kq_front_handler_answer (t->handler, fake.leader_call, results[i], kq_time_now ());
      assert_int_equal (fake.reply.kind, KQ_REPLY_REFUSED);
      assert_true (fake.reply.retry_ms > 0);
    }
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

static void
run_for (Test *t, double seconds)
{
  ev_timer timer;
  ev_timer_init (&timer, on_timer, seconds, 0);
  ev_timer_start (kq_loop_ev (t->loop), &timer);
  kq_loop_run (t->loop);
}

/* Guards against a job that runs although it was reported as refused: the leader's write
 * was carried out, but its reply was lost. */
static void
test_leader_without_a_reply_leaves_the_outcome_unknown (void **state)
{
  Test *t = *state;
  submit_via_leader (t, true);
  run_for (t, 1.5);
  assert_int_equal (fake.replies, 1);
  assert_int_equal (fake.reply.kind, KQ_REPLY_UNKNOWN);
  submit_via_leader (t, true);
  kq_front_handler_answer (t->handler, fake.leader_call, KQ_ACCEPT_UNKNOWN,
                           kq_time_now ());
  assert_int_equal (fake.reply.kind, KQ_REPLY_UNKNOWN);
}

/* Guards against a reply after the client's deadline: the client would not learn what
 * became of its job. */
static void
test_no_time_for_the_leader_refuses_at_once (void **state)
{
  fake.has_leader = fake.leader_reaches_store = true;
  submit_within (*state, KQ_REACH_DOWN, 200);
  assert_int_equal (fake.replies, 1);
  assert_int_equal (fake.reply.kind, KQ_REPLY_REFUSED);
  assert_int_equal (fake.leader_call, 0);
}

/* Guards against refusing clients of a node that the store turns away, before the node
 * has judged the store to be down. */
static void
test_leader_writes_a_job_that_the_store_refuses (void **state)
{
  Test *t = *state;
  fake.has_leader = fake.leader_reaches_store = true;
  submit (t, KQ_REACH_UP);
  answer (KQ_KV_REFUSED);
  assert_int_equal (fake.replies, 0);
  assert_int_not_equal (fake.leader_call, 0);
  kq_front_handler_answer (t->handler, fake.leader_call, KQ_ACCEPT_DONE, kq_time_now ());
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
  fake.leader_reaches_store = false;
  submit (t, KQ_REACH_UP);
  answer (KQ_KV_REFUSED);
  assert_int_equal (fake.reply.kind, KQ_REPLY_REFUSED);
  assert_int_equal (fake.replies, 2);
}

/* Guards against a reply with unknown outcome, or one that comes late, while the store
 * loses answers of writes that it carries out. */
static void
test_write_without_an_answer_is_read_back (void **state)
{
  Test *t = *state;
  submit (t, KQ_REACH_UP);
  assert_in_range (fake.timeout_ms, 1, 500);
  answer (KQ_KV_UNKNOWN);
  run_for (t, 0.25);
  assert_int_equal (fake.call, GET);
  assert_in_range (fake.timeout_ms, 1, 300);
  answer (KQ_KV_OK);
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
  submit (t, KQ_REACH_UP);
  answer (KQ_KV_UNKNOWN);
  run_for (t, 0.25);
  answer (KQ_KV_NOT_FOUND);
  assert_int_equal (fake.call, TXN);
  answer (KQ_KV_CONFLICT);
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (fake.replies, 2);
}

/* Guards against a reply with unknown outcome to clients of a node whose way to the store
 * is cut, and against a refusal of a job whose first write may still be carried out. */
static void
test_leader_repeats_a_write_without_an_answer (void **state)
{
  static const int64_t results[] = { KQ_ACCEPT_DONE, KQ_ACCEPT_REFUSED, -1 };
  static const KqReplyKind replies[]
      = { KQ_REPLY_DONE, KQ_REPLY_UNKNOWN, KQ_REPLY_UNKNOWN };
  Test *t = *state;
  fake.has_leader = fake.leader_reaches_store = true;
  for (int i = 0; i < 3; i++)
    {
      fake.leader_call = 0;
      submit (t, KQ_REACH_UP);
      answer (KQ_KV_UNKNOWN);
      run_for (t, 0.25);
      answer (KQ_KV_UNKNOWN);
      run_for (t, 0.25);
      assert_int_not_equal (fake.leader_call, 0);
      kq_front_handler_answer (t->handler, fake.leader_call, results[i], kq_time_now ());
      assert_int_equal (fake.reply.kind, replies[i]);
      assert_int_equal (fake.replies, i + 1);
    }
}

static void
ask_for_state (Test *t)
{
  KqFrontRequest r
      = { .kind = KQ_FRONT_READ, .path = KQ_STR ("/jobs/j1"), .deadline_ms = 3000 };
  fake.store = KQ_REACH_UP;
  kq_front_handler_request (t->handler, NULL, &r, kq_time_now ());
}

/* Guards against a job that is accepted and said not to exist: the leader hasn't heard of
 * it yet, or there is no leader. Only the store knows that there is none. */
static void
test_job_that_no_leader_knows_is_read (void **state)
{
  static const KqKvResult found[] = { KQ_KV_OK, KQ_KV_NOT_FOUND };
  static const KqReplyKind replies[] = { KQ_REPLY_STATE, KQ_REPLY_NO_JOB };
  Test *t = *state;
  for (int i = 0; i < 2; i++)
    {
      fake.has_leader = true;
      ask_for_state (t);
      kq_front_handler_answer (t->handler, fake.state_call, KQ_JOB_UNKNOWN,
                               kq_time_now ());
      assert_string_equal (fake.key, "kq/in/j/j1");
      answer (found[i]);
      assert_int_equal (fake.reply.kind, replies[i]);

      fake.has_leader = false;
      ask_for_state (t);
      assert_string_equal (fake.key, "kq/p/j1");
      answer (KQ_KV_NOT_FOUND);
      assert_string_equal (fake.key, "kq/in/x/j1");
      answer (KQ_KV_NOT_FOUND);
      assert_string_equal (fake.key, "kq/in/j/j1");
      answer (found[i]);
      assert_int_equal (fake.reply.kind, replies[i]);
    }
}

/* Guards against hundreds of calls a second to a store in trouble: a read that it refuses
 * at once is repeated at once. */
static void
test_refused_read_is_repeated_after_a_pause (void **state)
{
  Test *t = *state;
  ask_for_state (t);
  assert_int_equal (fake.call, GET);
  answer (KQ_KV_REFUSED);
  assert_int_equal (fake.call, NO_CALL);
  run_for (t, 0.25);
  assert_int_equal (fake.call, GET);
  assert_string_equal (fake.key, "kq/p/j1");
  answer (KQ_KV_NOT_FOUND);
  assert_string_equal (fake.key, "kq/in/x/j1");
  answer (KQ_KV_OK);
  assert_int_equal (fake.reply.kind, KQ_REPLY_STATE);
}

#define FIXTURE_TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (test_suspect_store_is_read_before_a_write,
                                           set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_suspect_store_that_answers_is_written_to,
                                           set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_job_that_is_there_is_accepted, set_up,
                                           tear_down),
          cmocka_unit_test_setup_teardown (test_store_that_is_up_is_not_read_first,
                                           set_up, tear_down),
          cmocka_unit_test_setup_teardown (test_store_that_is_down_is_not_called, set_up,
                                           tear_down),
          FIXTURE_TEST (test_leader_writes_for_a_node_without_the_store),
          FIXTURE_TEST (test_no_leader_refuses),
          FIXTURE_TEST (test_leader_without_a_write_refuses),
          FIXTURE_TEST (test_leader_without_a_reply_leaves_the_outcome_unknown),
          FIXTURE_TEST (test_no_time_for_the_leader_refuses_at_once),
          FIXTURE_TEST (test_leader_writes_a_job_that_the_store_refuses),
          FIXTURE_TEST (test_write_without_an_answer_is_read_back),
          FIXTURE_TEST (test_leader_repeats_a_write_without_an_answer),
          FIXTURE_TEST (test_job_that_no_leader_knows_is_read),
          FIXTURE_TEST (test_refused_read_is_repeated_after_a_pause) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
