#include "base/log.h"
#include "fleet/follow.h"

#include <ev.h>

#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define WAIT_MS 1500

/* Fake store: records calls; answer () answers them. */
static struct
{
  int watches;
  int wait_ms; /* of the last watch */
  KqKvCallback cb;
  int answered;
  int failed;
  int lists;
  char after[16]; /* of the last page asked for */
  int items;      /* reported by the follower */
  int gone;
  char last[16]; /* the last key reported or gone */
} store;

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  store.watches++;
  store.wait_ms = wait_ms;
  store.cb = cb;
}

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)answer_ms;
  store.lists++;
  kq_str_copy (after, store.after, sizeof store.after);
  store.cb = cb;
}

static void
answer (KqKvResult result)
{
  KqKvReply r = { .result = result, .revision = 7 };
  store.cb.done (store.cb.arg, &r, kq_time_now ());
}

#define NODES 22
#define FAILURES 12

static void
on_item (void *arg, const KqKvItem *i, KqTime now)
{
  (void)arg;
  (void)now;
  store.items++;
  kq_str_copy (i->key, store.last, sizeof store.last);
}

static void
on_gone (void *arg, KqStr key, uint64_t revision, KqTime now)
{
  (void)arg;
  (void)revision;
  (void)now;
  store.gone++;
  kq_str_copy (key, store.last, sizeof store.last);
}

static void
on_synced (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
  store.answered++;
}

static void
on_failed (void *arg, KqTime sent_at)
{
  (void)arg;
  (void)sent_at;
  store.failed++;
}

/* Runs the loop until n watches have been sent. */
static void
await_watch (KqLoop *loop, int n)
{
  for (int i = 0; i < 1000 && store.watches < n; i++)
    ev_run (kq_loop_ev (loop), EVRUN_ONCE);
  assert_int_equal (store.watches, n);
}

/* Guards against clients that are refused for seconds after the store has recovered.
 * Without a change under the prefix a watch is answered only after its full wait, and
 * until then the node counts the store as unreachable. So the first watch after a failure
 * must not wait. */
static void
test_return_of_the_store_is_noticed_at_once (void **state)
{
  KqLoop *loop = kq_loop_new ();
  KqFollowOwner owner = { NULL, on_item, on_gone, on_synced, on_answered, on_failed };
  KqFollow *f = kq_follow_new (loop, NULL, KQ_STR ("k/"), WAIT_MS, 0, &owner);
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  answer (KQ_KV_OK);
  await_watch (loop, 1);
  assert_int_equal (store.wait_ms, WAIT_MS);
  answer (KQ_KV_UNKNOWN);
  await_watch (loop, 2);
  answer (KQ_KV_REFUSED);
  await_watch (loop, 3);
  assert_int_equal (store.failed, 2);
  assert_int_equal (store.wait_ms, 0);
  answer (KQ_KV_OK);
  assert_int_equal (store.answered, 2);
  await_watch (loop, 4);
  assert_int_equal (store.wait_ms, WAIT_MS);
  kq_follow_free (f);
  answer (KQ_KV_OK); /* frees it */
  kq_loop_free (loop);
}

/* Guards against nodes whose answers were cut off at the same time retrying at the same
 * time, which overloads the link. */
static void
test_cut_answers_are_retried_apart (void **state)
{
  KqRand rand = kq_rand (1);
  int longest_before = 0;
  (void)state;
  for (int n = 1; n <= FAILURES; n++)
    {
      int shortest = INT_MAX;
      int longest = 0;
      for (int i = 0; i < NODES; i++)
        {
          int ms = kq_follow_retry_ms (&rand, n, true);
          shortest = ms < shortest ? ms : shortest;
          longest = ms > longest ? ms : longest;
        }
      assert_true (shortest > 0);
      assert_true (longest >= shortest * 3 / 2);
      assert_true (n > 6 || shortest >= longest_before);
      longest_before = longest;
    }
  assert_true (longest_before > 2000);
  assert_true (longest_before <= 3200);
}

/* Guards against clients that are refused for seconds after the store has recovered, as
 * the retry delay has grown too long. */
static void
test_silent_store_is_retried_often (void **state)
{
  KqRand rand = kq_rand (1);
  (void)state;
  for (int n = 1; n <= FAILURES; n++)
    assert_in_range (kq_follow_retry_ms (&rand, n, false), 50, 400);
}

static void
answer_page (KqKvItem *items, size_t n, bool more)
{
  KqKvReply r = { .result = KQ_KV_OK, .items = items, .n_items = n, .more = more };
  r.revision = 7;
  store.cb.done (store.cb.arg, &r, kq_time_now ());
}

/* Runs the loop until n pages have been asked for. */
static void
await_list (KqLoop *loop, int n)
{
  for (int i = 0; i < 1000 && store.lists < n; i++)
    ev_run (kq_loop_ev (loop), EVRUN_ONCE);
  assert_int_equal (store.lists, n);
}

/* Guards against accepted jobs that no leader knows: the answer to a page of the list is
 * lost, or the history that the watch needs is gone. */
static void
test_lost_page_and_lost_history_are_made_up_for (void **state)
{
  KqLoop *loop = kq_loop_new ();
  KqFollowOwner owner = { NULL, on_item, on_gone, on_synced, on_answered, on_failed };
  KqKvItem a = { .key = KQ_STR ("j/a"), .revision = 2 };
  KqKvItem b = { .key = KQ_STR ("j/b"), .revision = 3 };
  KqKvItem c[2] = { b, { .key = KQ_STR ("j/c"), .revision = 9 } };
  KqFollow *f;
  (void)state;
  memset (&store, 0, sizeof store);
  kq_log_set_level (KQ_LOG_ERROR);
  f = kq_follow_new (loop, NULL, KQ_STR ("j/"), WAIT_MS, 0, &owner);
  answer_page (&a, 1, true);
  answer (KQ_KV_UNKNOWN); /* the second page */
  await_list (loop, 3);
  assert_string_equal (store.after, "j/a");
  answer_page (&b, 1, false);
  assert_int_equal (store.items, 2);
  assert_int_equal (store.watches, 1);

  answer (KQ_KV_COMPACTED);
  await_list (loop, 4);
  assert_string_equal (store.after, "");
  answer_page (c, 2, false);
  assert_int_equal (store.items, 3); /* j/c is new, j/b is known */
  assert_int_equal (store.gone, 1);
  assert_string_equal (store.last, "j/a");
  assert_int_equal (store.watches, 2);
  kq_follow_free (f);
  answer (KQ_KV_UNKNOWN);
  kq_loop_free (loop);
}

/* Guards against a follower that asks for ever for changes that are longer than an answer
 * may be. */
static void
test_changes_that_are_too_long_are_listed (void **state)
{
  KqLoop *loop = kq_loop_new ();
  KqFollowOwner owner = { .item = on_item,
                          .gone = on_gone,
                          .synced = on_synced,
                          .answered = on_answered,
                          .failed = on_failed };
  KqKvReply too_long = { .result = KQ_KV_UNKNOWN, .too_long = true };
  KqFollow *f;
  (void)state;
  memset (&store, 0, sizeof store);
  kq_log_set_level (KQ_LOG_ERROR);
  f = kq_follow_new (loop, NULL, KQ_STR ("p/"), WAIT_MS, 0, &owner);
  answer (KQ_KV_OK);
  assert_int_equal (store.watches, 1);
  store.cb.done (store.cb.arg, &too_long, kq_time_now ());
  assert_int_equal (store.lists, 2);
  assert_int_equal (store.failed, 0);
  answer (KQ_KV_OK);
  assert_int_equal (store.watches, 2);
  kq_follow_free (f);
  kq_loop_free (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_cut_answers_are_retried_apart),
          cmocka_unit_test (test_silent_store_is_retried_often),
          cmocka_unit_test (test_return_of_the_store_is_noticed_at_once),
          cmocka_unit_test (test_lost_page_and_lost_history_are_made_up_for),
          cmocka_unit_test (test_changes_that_are_too_long_are_listed) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
