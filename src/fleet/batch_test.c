#include "fleet/batch.h"

#include "base/log.h"
#include "bench/sched_fixture.h"
#include "election/election.h"
#include "fleet/keys.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "bench/kv_no_leases.h"

#define EPOCH 3
#define SEQUENCE 9
/* More than the delay after a failed call. */
#define PAUSE (300 * KQ_MS)

/* Fake store: records the last call; answer_ functions answer it. */
static struct
{
  KqKvCallback cb;
  int progress_puts; /* progress rows in the last write */
  int runner_puts;   /* lists of runners in the last write */
  int estimate_puts; /* learned run times in the last write */
  int puts;          /* all keys in the last write */
} store;

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  assert_true (kq_str_eq (key, KQ_STR (KQ_KEY_SEQUENCE)));
  store.cb = cb;
}

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  store.cb = cb;
  store.progress_puts = store.runner_puts = store.estimate_puts = 0;
  store.puts = (int)t->n_puts;
  for (size_t i = 0; i < t->n_puts; i++)
    {
      store.progress_puts += kq_key_id (t->puts[i].key, KQ_KEY_PROGRESS).len > 0;
      store.estimate_puts += kq_str_eq (t->puts[i].key, KQ_STR (KQ_KEY_ESTIMATES));
      store.runner_puts += kq_str_eq (t->puts[i].key, KQ_STR (KQ_KEY_RUNNERS));
    }
}

/* Not called by the batch: defined so that the linker doesn't take the real store. */

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)answer_ms;
  (void)cb;
  fail ();
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)wait_ms;
  (void)cb;
  fail ();
}

static void
answer (const KqKvReply *r, KqTime now)
{
  KqKvCallback cb = store.cb;
  store.cb.done = NULL;
  cb.done (cb.arg, r, now);
}

static void
answer_without_items (KqKvResult result, KqTime now)
{
  KqKvReply r = { .result = result, .revision = SEQUENCE };
  answer (&r, now);
}

/* The sequence key was written meanwhile; this node still leads. */
static void
answer_conflict (KqTime now)
{
  KqKvItem items[2] = { { .key = kq_leader_key, .revision = EPOCH },
                        { .key = KQ_STR (KQ_KEY_SEQUENCE), .revision = SEQUENCE + 1 } };
  KqKvReply r = { .result = KQ_KV_CONFLICT, .items = items, .n_items = 2 };
  answer (&r, now);
}

static void
on_deposed (void *arg, const char *why, KqTime now)
{
  (void)arg;
  (void)why;
  (void)now;
  fail ();
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static KqBatch *
new_batch (KqSchedFixture *d)
{
  KqBatchConfig c = { .sched = d->sched,
                      .epoch = EPOCH,
                      .counters = d->counters,
                      .deposed = on_deposed,
                      .answered = on_answered };
  memset (&store, 0, sizeof store);
  kq_log_set_level (KQ_LOG_ERROR);
  return kq_batch_new (&c);
}

static void
add_runner (KqSchedFixture *d)
{
  KqRunnerEntry e = { .id = KQ_STR ("r2"),
                      .service = KQ_STR ("s"),
                      .address = KQ_STR ("127.0.0.1:3"),
                      .room = { .cpu_milli = 1000, .mem_mb = 1000 } };
  kq_sched_entry (d->sched, &e, d->now);
}

/* Has a job of one task run for the span and end. */
static void
complete_job (KqSchedFixture *d, KqTime span)
{
  KqEndRow end = { .number = 1, .task = KQ_STR ("j1.0.0.0"), .reason = KQ_END_DONE };
  kq_sched_fixture_submit (d, "j1", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  end.run = d->run;
  kq_sched_fixture_accept_starts (d);
  kq_sched_fixture_run (d, span);
  kq_sched_fixture_list (d, d->runner, &end, 1);
}

/* Guards against lost progress: a write of the list of runners gets no answer and is
 * carried out late, and the next write, which also has rows of progress, is refused for
 * it. */
static void
test_late_write_of_runners_does_not_count_for_later_rows (void **state)
{
  KqSchedFixture *d = *state;
  KqBatch *b = new_batch (d);
  add_runner (d);
  kq_batch_write (b, d->now);
  answer_without_items (KQ_KV_NOT_FOUND, d->now); /* the sequence key */
  assert_int_equal (store.runner_puts, 1);
  assert_int_equal (store.progress_puts, 0);
  answer_without_items (KQ_KV_UNKNOWN, d->now);

  complete_job (d, 0);
  kq_batch_write (b, d->now + PAUSE);
  answer_without_items (KQ_KV_NOT_FOUND, d->now + PAUSE); /* not carried out yet */
  answer_conflict (d->now + PAUSE);                       /* carried out now */
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("j1")), KQ_JOB_RUNNING);
  assert_int_equal (d->ends_acked, 0);
  store.progress_puts = 0;
  kq_batch_write (b, d->now + PAUSE);
  assert_int_equal (store.progress_puts, 1);
  answer_without_items (KQ_KV_OK, d->now + PAUSE);
  assert_int_equal (kq_sched_state (d->sched, KQ_STR ("j1")), KQ_JOB_COMPLETED);
  assert_int_equal (d->ends_acked, 1);
  kq_batch_free (b);
}

static int
set_up_learning (void **state)
{
  KqSchedFixture *d;
  kq_sched_fixture_set_up (state);
  d = *state;
  d->features.learned_estimates = true;
  kq_sched_fixture_new_leader (d);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  return 0;
}

/* Guards against learned run times that are lost as the store is away while they are
 * written, and against a transaction that is too large for the store by them. */
static void
test_learned_run_times_are_written_again (void **state)
{
  KqSchedFixture *d = *state;
  KqBatch *b = new_batch (d);
  complete_job (d, 300 * KQ_MS);
  kq_batch_write (b, d->now);
  answer_without_items (KQ_KV_NOT_FOUND, d->now); /* the sequence key */
  assert_int_equal (store.estimate_puts, 1);
  assert_in_range (store.puts, 3, KQ_KV_TXN_MAX - 2);
  answer_without_items (KQ_KV_REFUSED, d->now);
  assert_true (kq_sched_estimates_pending (d->sched));
  d->now += 10 * KQ_SEC;
  kq_batch_write (b, d->now);
  assert_int_equal (store.estimate_puts, 1);
  answer_without_items (KQ_KV_UNKNOWN, d->now);
  assert_true (kq_sched_estimates_pending (d->sched));
  kq_batch_write (b, d->now + PAUSE);
  answer_without_items (KQ_KV_NOT_FOUND, d->now + PAUSE); /* not carried out */
  assert_int_equal (store.estimate_puts, 1);
  answer_without_items (KQ_KV_OK, d->now + PAUSE);
  assert_false (kq_sched_estimates_pending (d->sched));
  kq_batch_free (b);
}

/* Guards against a leader of an older version, or with learning switched off, that meets
 * a key it doesn't know: the key is in none of the ranges that a leader reads. With
 * learning switched off it isn't written either. */
static void
test_learned_run_times_do_not_disturb_others (void **state)
{
  KqSchedFixture *d = *state;
  KqBatch *b = new_batch (d);
  assert_int_equal (kq_key_id (KQ_STR (KQ_KEY_ESTIMATES), KQ_KEY_IN).len, 0);
  assert_int_equal (kq_key_id (KQ_STR (KQ_KEY_ESTIMATES), KQ_KEY_PROGRESS).len, 0);
  complete_job (d, 300 * KQ_MS);
  kq_batch_write (b, d->now);
  answer_without_items (KQ_KV_NOT_FOUND, d->now);
  assert_int_equal (store.progress_puts, 1);
  assert_int_equal (store.estimate_puts, 0);
  answer_without_items (KQ_KV_OK, d->now);
  kq_batch_free (b);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (
              test_late_write_of_runners_does_not_count_for_later_rows,
              kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
          cmocka_unit_test_setup_teardown (test_learned_run_times_are_written_again,
                                           set_up_learning, kq_sched_fixture_tear_down),
          cmocka_unit_test_setup_teardown (test_learned_run_times_do_not_disturb_others,
                                           kq_sched_fixture_set_up,
                                           kq_sched_fixture_tear_down) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
