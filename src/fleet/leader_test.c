#include "fleet/leader.h"

#include "base/log.h"
#include "fleet/keys.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* Fake store: records calls; answer () answers the last one. */
static struct
{
  int calls;
  KqStr key; /* of the last call that gets a single key */
  KqKvCallback cb;
} store;

static void
record (KqKvCallback cb)
{
  store.calls++;
  store.cb = cb;
}

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  store.key = key;
  record (cb);
}

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)answer_ms;
  record (cb);
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)wait_ms;
  record (cb);
}

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)t;
  (void)timeout_ms;
  record (cb);
}

void
kq_kv_lease_grant (KqKv *kv, int64_t ttl_ms, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)ttl_ms;
  (void)timeout_ms;
  record (cb);
}

void
kq_kv_lease_renew (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)lease;
  (void)timeout_ms;
  record (cb);
}

void
kq_kv_lease_revoke (KqKv *kv, uint64_t lease, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)lease;
  (void)timeout_ms;
  record (cb);
}

static void
answer (KqKvResult result)
{
  KqKvReply r = { .result = result, .revision = 7 };
  store.cb.done (store.cb.arg, &r, kq_time_now ());
}

static void
on_deposed (void *arg, const char *why, KqTime now)
{
  (void)arg;
  (void)why;
  (void)now;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static KqLeader *
new_leader_with (KqLoop *loop, KqCounters *counters, KqSchedFeatures features)
{
  KqLeaderConfig c = { .loop = loop,
                       .epoch = 3,
                       .term = 1,
                       .lease_ms = 5000,
                       .renew_without_leader_ms = 4000,
                       .features = features,
                       .counters = counters,
                       .deposed = on_deposed,
                       .answered = on_answered };
  kq_log_set_level (KQ_LOG_ERROR);
  store.calls = 0;
  return kq_leader_new (&c, kq_time_now ());
}

static KqLeader *
new_leader (KqLoop *loop, KqCounters *counters)
{
  return new_leader_with (loop, counters, (KqSchedFeatures){ 0 });
}

static void
free_leader (KqLeader *l, KqCounters *counters, KqLoop *loop)
{
  kq_leader_free (l);
  answer (KQ_KV_NOT_FOUND); /* ends the outstanding call, which frees the leader */
  kq_counters_free (counters);
  kq_loop_free (loop);
}

/* Guards against a new leader that overloads a store in trouble by retrying without a
 * delay. */
static void
test_loading_pauses_after_a_refusal (void **state)
{
  KqLoop *loop = kq_loop_new ();
  KqCounters *counters = kq_counters_new ();
  KqLeader *l = new_leader (loop, counters);
  (void)state;
  for (int calls = 1; calls <= 3; calls++)
    {
      assert_int_equal (store.calls, calls);
      answer (KQ_KV_REFUSED);
      assert_int_equal (store.calls, calls);
      for (int i = 0; i < 1000 && store.calls == calls; i++)
        ev_run (kq_loop_ev (loop), EVRUN_ONCE);
    }
  answer (KQ_KV_NOT_FOUND);
  assert_int_equal (store.calls, 5); /* the next phase starts without a delay */
  free_leader (l, counters, loop);
}

/* Guards against a new leader that doesn't get beyond a damaged value of learned run
 * times, or takes it for another key's. */
static void
test_damaged_run_times_are_passed_over (void **state)
{
  KqSchedFeatures features = { .learned_estimates = true };
  KqLoop *loop = kq_loop_new ();
  KqCounters *counters = kq_counters_new ();
  KqLeader *l = new_leader_with (loop, counters, features);
  KqKvItem item = { .value = KQ_STR ("damaged") };
  KqKvReply r = { .result = KQ_KV_OK, .items = &item, .n_items = 1 };
  (void)state;
  answer (KQ_KV_NOT_FOUND); /* the waves */
  answer (KQ_KV_NOT_FOUND); /* the disturbance model */
  assert_true (kq_str_eq (store.key, KQ_STR (KQ_KEY_ESTIMATES)));
  store.cb.done (store.cb.arg, &r, kq_time_now ());
  assert_true (kq_str_eq (store.key, KQ_STR (KQ_KEY_RUNNERS)));
  assert_false (kq_sched_estimates_pending (kq_leader_sched (l)));
  free_leader (l, counters, loop);
}

/* Guards against a new leader that answers operators from a fleet that it hasn't read
 * yet. */
static void
test_loading_leader_answers_no_operator (void **state)
{
  static const KqAskKind kinds[] = { KQ_ASK_EXPLAIN, KQ_ASK_LOAD, KQ_ASK_CORDONS };
  KqLoop *loop = kq_loop_new ();
  KqCounters *counters = kq_counters_new ();
  KqLeader *l = new_leader (loop, counters);
  KqBuf text = { 0 };
  (void)state;
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    assert_int_equal (kq_leader_query (l, kinds[i], KQ_STR ("a"), kq_time_now (), &text),
                      -1);
  assert_int_equal (text.len, 0);
  free_leader (l, counters, loop);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  *(bool *)w->data = true;
}

/* Guards against a busy loop in a new leader that waits for the store. */
static void
test_loading_leader_sleeps (void **state)
{
  KqLoop *loop = kq_loop_new ();
  KqCounters *counters = kq_counters_new ();
  KqLeader *l = new_leader (loop, counters);
  bool done = false;
  ev_timer timer;
  int turns = 0;
  (void)state;
  ev_timer_init (&timer, on_timer, 0.3, 0);
  timer.data = &done;
  ev_timer_start (kq_loop_ev (loop), &timer);
  for (; turns < 1000 && !done; turns++)
    ev_run (kq_loop_ev (loop), EVRUN_ONCE);
  assert_true (done);
  assert_in_range (turns, 1, 50);
  ev_timer_stop (kq_loop_ev (loop), &timer);
  free_leader (l, counters, loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_loading_leader_sleeps),
          cmocka_unit_test (test_loading_leader_answers_no_operator),
          cmocka_unit_test (test_loading_pauses_after_a_refusal),
          cmocka_unit_test (test_damaged_run_times_are_passed_over) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
