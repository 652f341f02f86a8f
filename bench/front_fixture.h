#ifndef KQ_BENCH_FRONT_FIXTURE_H
#define KQ_BENCH_FRONT_FIXTURE_H

/* front_fixture: a test fixture of the front end of a node, with a fake store, client and
 * leader. The store takes one call at a time, which the test answers. For one file of a
 * test program: it defines the functions of the ports. */

#include "base/log.h"
#include "fleet/front.h"

#include <ev.h>

#include <stdlib.h>
#include <string.h>

typedef enum
{
  KQ_FAKE_NO_CALL,
  KQ_FAKE_GET,
  KQ_FAKE_TXN
} KqFakeCall;

typedef struct
{
  KqFakeCall call;    /* the outstanding one */
  char key[32];       /* of the last read */
  char put_key[32];   /* of the last write */
  char check_key[32]; /* the last condition of the last write */
  uint64_t check_revision;
  int timeout_ms;
  KqKvCallback cb;
  KqReachState store;
  bool leader_reaches_store; /* the leader reaches the store */
  bool has_leader;           /* there is a leader */
  uint64_t leader_call;      /* the last job that the leader is to write; 0: none */
  uint64_t state_call;       /* the last question for a job's state; 0: none */
  int64_t jobs_free;         /* at the leader; -1: not limited */
  KqTime jobs_free_as_of;
  int jobs_told; /* to the leader */
  int cancels_told;
  int replies;
  KqFrontReply reply; /* the last one */
} KqFrontFake;
static KqFrontFake kq_front_fake;

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqFrontHandler *handler;
} KqFrontFixture;

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  kq_str_copy (key, kq_front_fake.key, sizeof kq_front_fake.key);
  kq_front_fake.call = KQ_FAKE_GET;
  kq_front_fake.timeout_ms = timeout_ms;
  kq_front_fake.cb = cb;
}

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  const KqKvCheck *last = &t->checks[t->n_checks - 1];
  (void)kv;
  kq_str_copy (last->key, kq_front_fake.check_key, sizeof kq_front_fake.check_key);
  kq_front_fake.check_revision = last->revision;
  kq_str_copy (t->puts[0].key, kq_front_fake.put_key, sizeof kq_front_fake.put_key);
  kq_front_fake.call = KQ_FAKE_TXN;
  kq_front_fake.timeout_ms = timeout_ms;
  kq_front_fake.cb = cb;
}

void
kq_front_exchange_reply (KqFrontExchange *x, const KqFrontReply *r)
{
  (void)x;
  kq_front_fake.replies++;
  kq_front_fake.reply = *r;
}

/* Answers the outstanding call. */
static void
kq_front_fixture_answer (KqKvResult result)
{
  KqKvReply r = { .result = result, .revision = 7 };
  KqKvCallback cb = kq_front_fake.cb;
  kq_front_fake.call = KQ_FAKE_NO_CALL;
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
  return kq_front_fake.store;
}

static bool
store_reached_by_leader (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  return kq_front_fake.leader_reaches_store;
}

static bool
query_leader (void *arg, const KqAgentItem *query, KqTime now)
{
  (void)arg;
  (void)now;
  if (kq_front_fake.has_leader && query->u.ask.what == KQ_ASK_ACCEPT)
    kq_front_fake.leader_call = query->u.ask.call;
  if (kq_front_fake.has_leader && query->u.ask.what == KQ_ASK_STATE)
    kq_front_fake.state_call = query->u.ask.call;
  return kq_front_fake.has_leader;
}

static void
notify_leader (void *arg, const KqAgentItem *i, KqTime now)
{
  (void)arg;
  (void)now;
  kq_front_fake.jobs_told += i->kind == KQ_AGENT_ITEM_JOB;
  kq_front_fake.cancels_told += i->kind == KQ_AGENT_ITEM_CANCEL;
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

static int64_t
jobs_free (void *arg, KqTime now, KqTime *as_of)
{
  (void)arg;
  (void)now;
  *as_of = kq_front_fake.jobs_free_as_of;
  return kq_front_fake.jobs_free;
}

/* For cmocka_unit_test_setup_teardown; *state is a KqFrontFixture. */
static int
kq_front_fixture_set_up (void **state)
{
  KqFrontFixture *t = kq_alloc (sizeof *t);
  KqFrontHandlerConfig c = { .table = table,
                             .store_state = store,
                             .store_reached_by_leader = store_reached_by_leader,
                             .query_leader = query_leader,
                             .notify_leader = notify_leader,
                             .answered = answered,
                             .failed = failed,
                             .jobs_free = jobs_free };
  memset (&kq_front_fake, 0, sizeof kq_front_fake);
  kq_front_fake.jobs_free = -1;
  kq_log_set_level (KQ_LOG_ERROR);
  t->loop = c.loop = kq_loop_new ();
  t->counters = c.counters = kq_counters_new ();
  t->handler = kq_front_handler_new (&c);
  *state = t;
  return 0;
}

static int
kq_front_fixture_tear_down (void **state)
{
  KqFrontFixture *t = *state;
  kq_front_handler_free (t->handler);
  kq_counters_free (t->counters);
  kq_loop_free (t->loop);
  free (t);
  return 0;
}

/* Submits the job j1. */
static void
kq_front_fixture_submit (KqFrontFixture *t, KqReachState reach, int64_t deadline_ms)
{
  KqStep step = { .width = 1, .cpu_milli = 100, .max_unavailable = -1 };
  KqSpec spec = { .steps = &step, .n_steps = 1 };
  KqFrontRequest r = { .kind = KQ_FRONT_SUBMIT,
                       .path = KQ_STR ("/jobs/j1"),
                       .spec = &spec,
                       .deadline_ms = deadline_ms };
  kq_front_fake.store = reach;
  kq_front_handler_request (t->handler, NULL, &r, kq_time_now ());
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

static void
kq_front_fixture_run_for (const KqFrontFixture *t, double seconds)
{
  ev_timer timer;
  ev_timer_init (&timer, on_timer, seconds, 0);
  ev_timer_start (kq_loop_ev (t->loop), &timer);
  kq_loop_run (t->loop);
}

#endif
