#include "fleet/early_cancels.h"

#include "base/log.h"
#include "election/election.h"
#include "fleet/keys.h"
#include "settings/fleet_settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bench/kv_no_leases.h"

#define EPOCH 3
#define START (100 * KQ_SEC)
#define KEEP_MS 120000
#define OLD (START + (KEEP_MS + 1) * KQ_MS)

/* Fake store: records the last write. */
static struct
{
  int writes;
  size_t n_removes;
  char removes[KQ_KV_TXN_MAX][64];
  KqKvCheck checks[KQ_KV_TXN_MAX];
  KqKvCallback cb;
  int deposed;
} fake;

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  assert_in_range (t->n_checks + t->n_puts + t->n_removes, 1, KQ_KV_TXN_MAX);
  assert_true (kq_str_eq (t->checks[0].key, kq_leader_key));
  assert_int_equal (t->checks[0].revision, EPOCH);
  assert_int_equal (t->n_checks, 1 + 2 * t->n_removes);
  for (size_t i = 0; i < t->n_removes; i++)
    {
      assert_true (kq_str_eq (t->removes[i], t->checks[1 + 2 * i].key));
      assert_true (kq_key_id (t->checks[2 + 2 * i].key, KQ_KEY_JOB).len > 0);
      assert_int_equal (t->checks[2 + 2 * i].revision, 0);
      kq_str_copy (t->removes[i], fake.removes[i], sizeof fake.removes[i]);
    }
  memcpy (fake.checks, t->checks, t->n_checks * sizeof *t->checks);
  fake.n_removes = t->n_removes;
  fake.writes++;
  fake.cb = cb;
}

/* Not called: defined so that the linker doesn't take the real store. */

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)key;
  (void)timeout_ms;
  (void)cb;
  fail ();
}

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
on_deposed (void *arg, const char *why, KqTime now)
{
  (void)arg;
  (void)why;
  (void)now;
  fake.deposed++;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

typedef struct
{
  KqCounters *counters;
  KqEarlyCancels *cancels;
} Test;

static int
set_up (void **state)
{
  Test *t = kq_alloc (sizeof *t);
  KqEarlyCancelsConfig c = {
    .epoch = EPOCH, .keep_ms = KEEP_MS, .deposed = on_deposed, .answered = on_answered
  };
  memset (&fake, 0, sizeof fake);
  kq_log_set_level (KQ_LOG_ERROR);
  t->counters = c.counters = kq_counters_new ();
  t->cancels = kq_early_cancels_new (&c);
  *state = t;
  return 0;
}

static int
tear_down (void **state)
{
  Test *t = *state;
  kq_early_cancels_free (t->cancels);
  kq_counters_free (t->counters);
  free (t);
  return 0;
}

static void
answer (KqKvResult result, const KqKvItem *items, size_t n, KqTime now)
{
  KqKvReply r = { .result = result, .items = items, .n_items = n };
  fake.cb.done (fake.cb.arg, &r, now);
}

static void
answer_conflict (const char *key, uint64_t revision, KqTime now)
{
  KqKvItem items[2] = { { .key = kq_leader_key, .revision = EPOCH },
                        { .key = kq_str (key), .revision = revision } };
  answer (KQ_KV_CONFLICT, items, key[0] != '\0' ? 2 : 1, now);
}

/* Guards against a cancellation that is deleted while a write of its job may still be
 * carried out, and against one that is kept for ever. */
static void
test_cancellation_is_deleted_after_its_time (void **state)
{
  Test *t = *state;
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 7, START);
  kq_early_cancels_add (t->cancels, KQ_STR ("j2"), 0, START); /* not read yet */
  kq_early_cancels_delete_old (t->cancels, START + KEEP_MS * KQ_MS);
  assert_int_equal (fake.writes, 0);
  kq_early_cancels_delete_old (t->cancels, OLD);
  assert_int_equal (fake.n_removes, 1);
  assert_string_equal (fake.removes[0], "kq/in/x/j1");
  assert_int_equal (fake.checks[1].revision, 7);
  kq_early_cancels_delete_old (t->cancels, OLD);
  assert_int_equal (fake.writes, 1);
  answer (KQ_KV_OK, NULL, 0, OLD);
  assert_int_equal (kq_early_cancels_count (t->cancels), 1);
}

/* Guards against a second cancellation that ends with the first one's time. */
static void
test_repeated_cancellation_counts_anew (void **state)
{
  Test *t = *state;
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 7, START);
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 8, START + KQ_SEC);
  kq_early_cancels_delete_old (t->cancels, OLD);
  assert_int_equal (fake.writes, 0);
  kq_early_cancels_delete_old (t->cancels, OLD + KQ_SEC);
  assert_int_equal (fake.writes, 1);
  answer_conflict ("kq/in/x/j1", 9, OLD + KQ_SEC);
  kq_early_cancels_delete_old (t->cancels, OLD + 10 * KQ_SEC);
  assert_int_equal (fake.writes, 1);
}

/* Guards against a cancelled job that starts: it was stored beside its cancellation, and
 * the leader reads it only after it has tried to delete that. */
static void
test_cancellation_of_a_stored_job_stays (void **state)
{
  Test *t = *state;
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 7, START);
  kq_early_cancels_delete_old (t->cancels, OLD);
  answer_conflict ("kq/in/j/j1", 12, OLD);
  kq_early_cancels_delete_old (t->cancels, OLD + 10 * KQ_SEC);
  assert_int_equal (fake.writes, 1);
  assert_true (kq_early_cancels_take (t->cancels, KQ_STR ("j1")));
  assert_false (kq_early_cancels_take (t->cancels, KQ_STR ("j1")));
}

/* Guards against a table that tries for ever to delete what an earlier write, which got
 * no answer, has deleted. */
static void
test_deletion_without_an_answer_is_repeated (void **state)
{
  Test *t = *state;
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 7, START);
  kq_early_cancels_delete_old (t->cancels, OLD);
  answer (KQ_KV_UNKNOWN, NULL, 0, OLD);
  kq_early_cancels_delete_old (t->cancels, OLD);
  assert_int_equal (fake.writes, 1);
  kq_early_cancels_delete_old (t->cancels, OLD + 2 * KQ_SEC);
  assert_int_equal (fake.writes, 2);
  answer_conflict ("", 0, OLD + 2 * KQ_SEC);
  assert_int_equal (kq_early_cancels_count (t->cancels), 0);
  assert_int_equal (fake.deposed, 0);
}

static void
test_other_leader_deposes (void **state)
{
  Test *t = *state;
  KqKvItem leader = { .key = kq_leader_key, .revision = EPOCH + 1 };
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 7, START);
  kq_early_cancels_delete_old (t->cancels, OLD);
  answer (KQ_KV_CONFLICT, &leader, 1, OLD);
  assert_int_equal (fake.deposed, 1);
  assert_int_equal (kq_early_cancels_count (t->cancels), 1);
}

/* Guards against a transaction that the store refuses as too long, and against a table
 * that grows as long as clients cancel jobs that don't exist. */
static void
test_many_cancellations_are_deleted_sooner (void **state)
{
  Test *t = *state;
  KqTime soon = START + (KQ_KEEP_MIN_MS + 1) * KQ_MS;
  char id[16];
  for (int i = 0; i <= KQ_EARLY_CANCELS_MAX; i++)
    {
      snprintf (id, sizeof id, "j%d", i);
      kq_early_cancels_add (t->cancels, kq_str (id), (uint64_t)i + 1, START);
    }
  kq_early_cancels_delete_old (t->cancels, soon - 2 * KQ_MS);
  assert_int_equal (fake.writes, 0);
  kq_early_cancels_delete_old (t->cancels, soon);
  assert_int_equal (fake.n_removes, 10);
  answer (KQ_KV_OK, NULL, 0, soon);
  kq_early_cancels_delete_old (t->cancels, soon);
  assert_int_equal (fake.writes, 1);
}

/* Guards against use of freed memory when the store answers a leader that has ended. */
static void
test_table_is_freed_before_the_answer (void **state)
{
  Test *t = *state;
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 7, START);
  kq_early_cancels_delete_old (t->cancels, OLD);
  kq_early_cancels_free (t->cancels);
  t->cancels = NULL;
  answer (KQ_KV_OK, NULL, 0, OLD);
}

static bool
is_j1 (void *arg, KqStr id)
{
  (void)arg;
  return kq_str_eq (id, KQ_STR ("j1"));
}

static void
test_known_jobs_are_taken_out (void **state)
{
  Test *t = *state;
  kq_early_cancels_add (t->cancels, KQ_STR ("j1"), 7, START);
  kq_early_cancels_add (t->cancels, KQ_STR ("j2"), 8, START);
  kq_early_cancels_filter (t->cancels, is_j1, NULL);
  assert_false (kq_early_cancels_take (t->cancels, KQ_STR ("j1")));
  assert_true (kq_early_cancels_take (t->cancels, KQ_STR ("j2")));
}

#define FIXTURE_TEST(test) cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { FIXTURE_TEST (test_cancellation_is_deleted_after_its_time),
          FIXTURE_TEST (test_repeated_cancellation_counts_anew),
          FIXTURE_TEST (test_cancellation_of_a_stored_job_stays),
          FIXTURE_TEST (test_deletion_without_an_answer_is_repeated),
          FIXTURE_TEST (test_other_leader_deposes),
          FIXTURE_TEST (test_many_cancellations_are_deleted_sooner),
          FIXTURE_TEST (test_table_is_freed_before_the_answer),
          FIXTURE_TEST (test_known_jobs_are_taken_out) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
