#include "agent/load_item.h"
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

#define EPOCH 5

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
  bool has_leader;
  uint64_t epoch;      /* of the leader that can be reached */
  uint64_t admit_call; /* the last question whether to refuse; 0: none */
  uint64_t write_call; /* the last job that the leader is to write; 0: none */
  KqAdmitQuery query;  /* that question; its strings are gone */
  int written;         /* announced writes */
  int written_over;    /* announced refusals */
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
  (void)timeout_ms;
  assert_true (fake.written > 0); /* announced before it is sent */
  fake.call = TXN;
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
answer_store (KqKvResult result)
{
  KqKvReply r = { .result = result, .revision = 7 };
  KqKvCallback cb = fake.cb;
  fake.call = NO_CALL;
  cb.done (cb.arg, &r, kq_time_now ());
}

static const KqQueueTable *
table (void *arg)
{
  static KqQueue queue = { .prefix = { "/jobs/", 6 },
                           .service = { "rating", 6 },
                           .attempts = 1,
                           .stretch_percent = 200 };
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
  return true;
}

static bool
query_leader (void *arg, const KqAgentItem *query, KqTime now)
{
  (void)arg;
  (void)now;
  if (fake.has_leader && query->u.ask.what == KQ_ASK_ACCEPT)
    fake.write_call = query->u.ask.call;
  if (fake.has_leader && query->u.ask.what == KQ_ASK_ADMIT)
    {
      fake.admit_call = query->u.ask.call;
      assert_true (kq_admit_query_unpack (query->u.ask.about, &fake.query));
    }
  return fake.has_leader;
}

static void
notify_leader (void *arg, const KqAgentItem *i, KqTime now)
{
  (void)arg;
  (void)now;
  if (i->kind == KQ_AGENT_ITEM_WRITING)
    ++*(i->u.writing.over ? &fake.written_over : &fake.written);
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

static uint64_t
leader_epoch (void *arg)
{
  (void)arg;
  return fake.epoch;
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
                             .failed = failed,
                             .admission = true,
                             .leader_epoch = leader_epoch };
  memset (&fake, 0, sizeof fake);
  fake.has_leader = true;
  fake.epoch = EPOCH;
  fake.store = KQ_REACH_UP;
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

/* The leader's digest: much waits, or nothing. */
static void
send_load (Test *t, uint64_t number, bool overload, KqTime now)
{
  KqLoadDigest d = { .number = number, .known = true, .n_rows = overload };
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_LOAD };
  d.rows[0] = (KqLoadRow){ .service = KQ_STR ("rating"),
                           .kind = KQ_LOAD_FILLING,
                           .rate = 1000,
                           .late_work = 100000000,
                           .cut_work = 1 };
  i.u.load.digest = &d;
  i.u.load.nodes = 1;
  kq_front_handler_load (t->handler, EPOCH, &i, now);
}

static void
submit_step (Test *t, KqStep step)
{
  KqSpec spec = { .steps = &step, .n_steps = 1 };
  KqFrontRequest r = { .kind = KQ_FRONT_SUBMIT,
                       .path = KQ_STR ("/jobs/j1"),
                       .spec = &spec,
                       .deadline_ms = 3000 };
  kq_front_handler_request (t->handler, NULL, &r, kq_time_now ());
}

static KqStep
filling (void)
{
  return (KqStep){ .width = 10,
                   .cpu_milli = 100,
                   .estimate_ms = 1000,
                   .filling = true,
                   .max_unavailable = -1 };
}

static void
submit (Test *t)
{
  submit_step (t, filling ());
}

static void
judge (Test *t, int64_t retry_ms)
{
  uint64_t call = fake.admit_call;
  assert_true (call != 0);
  fake.admit_call = 0;
  kq_front_handler_answer (t->handler, call, retry_ms, kq_time_now ());
}

static void
expect_accepted (void)
{
  assert_int_equal (fake.call, TXN);
  answer_store (KQ_KV_OK);
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (fake.replies, 1);
}

static void
run_for (Test *t, int ms)
{
  KqTime end = kq_time_now () + ms * KQ_MS;
  while (kq_time_now () < end)
    {
      ev_run (kq_loop_ev (t->loop), EVRUN_NOWAIT);
      ev_sleep (0.005);
    }
}

/* Guards against a client that waits for its deadline though it is known that its job
 * can't be of use. */
static void
test_job_of_no_use_is_refused_with_the_leaders_time (void **state)
{
  Test *t = *state;
  send_load (t, 1, true, kq_time_now ());
  submit (t);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.query.load.work, 10 * 100 * 1000);
  assert_int_equal (fake.query.load.objective_ms, 2000);
  judge (t, 4200);
  assert_int_equal (fake.call, GET);
  assert_string_equal (fake.key, "kq/in/j/j1");
  answer_store (KQ_KV_NOT_FOUND);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.reply.kind, KQ_REPLY_REFUSED);
  assert_int_equal (fake.reply.retry_ms, 4200);
  assert_string_equal (fake.reply.why, "overloaded");
  assert_int_equal (fake.replies, 1);
  assert_int_equal (fake.written, 0);
  assert_int_equal (fake.written_over, 1);
}

/* Guards against refusing the repeat of an accepted id, which would make the client give
 * up a job that runs. */
static void
test_accepted_id_that_is_repeated_is_not_refused (void **state)
{
  Test *t = *state;
  send_load (t, 1, true, kq_time_now ());
  submit (t);
  judge (t, 4200);
  answer_store (KQ_KV_OK);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (fake.replies, 1);
  assert_int_equal (fake.written_over, 0);
}

/* Guards against a refusal that may be false: the store is slow, so that it isn't known
 * whether the id has been accepted. */
static void
test_read_without_an_answer_submits_the_job (void **state)
{
  static const KqKvResult results[] = { KQ_KV_UNKNOWN, KQ_KV_REFUSED };
  Test *t = *state;
  for (int i = 0; i < 2; i++)
    {
      fake.replies = 0;
      send_load (t, 1 + (uint64_t)i, true, kq_time_now ());
      submit (t);
      judge (t, 4200);
      assert_in_range (fake.timeout_ms, 1, 400);
      answer_store (results[i]);
      expect_accepted ();
    }
}

/* Guards against a job that waits for a leader which is gone: it was lost between the
 * digest and the question, before or after it has got it. */
static void
test_leader_that_is_lost_before_the_answer (void **state)
{
  Test *t = *state;
  send_load (t, 1, true, kq_time_now ());
  fake.has_leader = false;
  submit (t);
  expect_accepted ();
  fake.replies = 0;
  fake.has_leader = true;
  submit (t);
  assert_true (fake.admit_call != 0);
  run_for (t, 300);
  expect_accepted ();
  /* Its answer after all: too late. */
  judge (t, 4200);
  assert_int_equal (fake.call, NO_CALL);
  assert_int_equal (fake.replies, 1);
}

static void
expect_no_question (Test *t)
{
  fake.replies = 0;
  submit (t);
  assert_int_equal (fake.admit_call, 0);
  expect_accepted ();
}

/* Guards against a node that is cut off from the leader, or hears of a new one, and goes
 * on by the last digest; and against one that asks before it has a digest, as after all
 * nodes were killed. */
static void
test_without_the_leaders_digest_jobs_are_accepted (void **state)
{
  Test *t = *state;
  expect_no_question (t);
  send_load (t, 1, true, kq_time_now ());
  fake.epoch = 0;
  expect_no_question (t);
  fake.epoch = EPOCH + 1;
  expect_no_question (t);
  fake.epoch = EPOCH;
  submit (t);
  assert_true (fake.admit_call != 0);
  judge (t, -1);
  answer_store (KQ_KV_OK);
}

/* Guards against a node that asks about each job after the load is gone: the last digest
 * says so, or no more has come. */
static void
test_questions_end_with_the_load (void **state)
{
  Test *t = *state;
  send_load (t, 1, true, kq_time_now () - 1100 * KQ_MS);
  expect_no_question (t);
  send_load (t, 2, true, kq_time_now ());
  send_load (t, 3, false, kq_time_now ());
  expect_no_question (t);
  send_load (t, 2, true, kq_time_now ()); /* arrives late */
  expect_no_question (t);
}

/* Guards against refusing, without a read, while the node is cut off from the store: the
 * leader writes the job, as before. */
static void
test_without_the_store_the_leader_writes (void **state)
{
  Test *t = *state;
  send_load (t, 1, true, kq_time_now ());
  fake.store = KQ_REACH_DOWN;
  submit (t);
  assert_int_equal (fake.admit_call, 0);
  assert_true (fake.write_call != 0);
  assert_int_equal (fake.written, 1);
  kq_front_handler_answer (t->handler, fake.write_call, KQ_ACCEPT_DONE, kq_time_now ());
  assert_int_equal (fake.reply.kind, KQ_REPLY_DONE);
}

/* Guards against refusing lasting jobs, which have no end that could be late. */
static void
test_lasting_job_is_not_put_in_doubt (void **state)
{
  Test *t = *state;
  KqStep step = filling ();
  step.lasting = true;
  send_load (t, 1, true, kq_time_now ());
  submit_step (t, step);
  assert_int_equal (fake.admit_call, 0);
  expect_accepted ();
}

#define FIXTURE_TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { FIXTURE_TEST (test_job_of_no_use_is_refused_with_the_leaders_time),
          FIXTURE_TEST (test_accepted_id_that_is_repeated_is_not_refused),
          FIXTURE_TEST (test_read_without_an_answer_submits_the_job),
          FIXTURE_TEST (test_leader_that_is_lost_before_the_answer),
          FIXTURE_TEST (test_without_the_leaders_digest_jobs_are_accepted),
          FIXTURE_TEST (test_questions_end_with_the_load),
          FIXTURE_TEST (test_without_the_store_the_leader_writes),
          FIXTURE_TEST (test_lasting_job_is_not_put_in_doubt) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
