#include "base/log.h"
#include "fleet/queue_keys.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* The calls to the store, which the test answers. */
static struct
{
  KqLoop *loop;
  KqCordons *cordons;
  KqQueueKeys *keys;
  KqKvCallback call; /* the one that is under way */
  bool listing;      /* it lists the keys; else it is a watch */
  int changes;       /* calls of cordons_changed */
} t;

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)timeout_ms;
  t.call = cb;
  t.listing = true;
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)wait_ms;
  t.call = cb;
  t.listing = false;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
on_failed (void *arg, KqTime sent_at)
{
  (void)arg;
  (void)sent_at;
}

static void
on_cordons_changed (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  t.changes++;
}

static void
answer (KqKvResult result, uint64_t revision, const KqKvItem *items, size_t n)
{
  KqKvReply r = {
    .result = result, .revision = revision, .items = (KqKvItem *)items, .n_items = n
  };
  KqKvCallback call = t.call;
  t.call = (KqKvCallback){ 0 };
  call.done (call.arg, &r, kq_time_now ());
}

static void
answer_cordon (const char *key, uint64_t revision, bool deleted)
{
  KqKvItem i = {
    .key = kq_str (key), .value = KQ_STR ("{}"), .revision = revision, .deleted = deleted
  };
  answer (KQ_KV_OK, revision, &i, 1);
}

static bool
is_cordoned (const char *domain)
{
  return kq_cordons_find (t.cordons, kq_str (domain)) != NULL;
}

static int
set_up (void **state)
{
  KqQueueKeysOwner owner = { NULL, on_answered, on_failed, NULL, on_cordons_changed };
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  memset (&t, 0, sizeof t);
  t.loop = kq_loop_new ();
  t.cordons = kq_cordons_new ();
  t.keys = kq_queue_keys_new (t.loop, NULL, t.cordons, &owner);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  kq_queue_keys_free (t.keys);
  if (t.call.done != NULL)
    answer (KQ_KV_OK, 0, NULL, 0);
  kq_cordons_free (t.cordons);
  kq_loop_free (t.loop);
  return 0;
}

/* Guards against a node that starts tasks before it has read the cordons, or never. */
static void
test_cordons_are_complete_once_they_are_listed (void **state)
{
  (void)state;
  assert_false (t.cordons->complete);
  answer (KQ_KV_UNKNOWN, 0, NULL, 0);
  assert_false (t.cordons->complete);
}

static void
test_cordons_follow_their_keys (void **state)
{
  (void)state;
  answer_cordon ("op/evacuate/north", 3, false);
  assert_true (t.cordons->complete);
  assert_true (is_cordoned ("north"));
  answer_cordon ("op/evacuate/south", 4, false);
  assert_true (is_cordoned ("north") && is_cordoned ("south"));
  answer_cordon ("op/evacuate/north", 5, true);
  assert_true (!is_cordoned ("north") && is_cordoned ("south"));
}

/* Guards against a domain that is cordoned for ever, as the deletion is missed: the store
 * forgets its history, or the watch gets no answer. */
static void
test_deletion_that_is_missed (void **state)
{
  (void)state;
  answer_cordon ("op/evacuate/north", 3, false);
  assert_true (is_cordoned ("north"));
  answer (KQ_KV_COMPACTED, 9, NULL, 0);
  assert_true (t.listing);
  assert_true (is_cordoned ("north"));
  answer (KQ_KV_OK, 9, NULL, 0);
  assert_false (is_cordoned ("north"));
}

/* Guards against input that isn't a cordon, one that is asked for twice, and one that is
 * taken back before this node has seen it. */
static void
test_odd_keys_do_no_harm (void **state)
{
  KqBuf key = { 0 };
  (void)state;
  answer (KQ_KV_OK, 2, NULL, 0);
  t.changes = 0;
  answer_cordon ("op/evacuate/", 3, false);
  answer_cordon ("op/evacuated", 4, false);
  kq_buf_printf (&key, "op/evacuate/%0200d", 0);
  kq_buf_add (&key, "", 1);
  answer_cordon (key.ptr, 5, false);
  kq_buf_free (&key);
  answer_cordon ("op/evacuate/north", 6, true);
  assert_int_equal (t.cordons->n, 0);
  assert_int_equal (t.changes, 0);
  answer_cordon ("op/evacuate/north", 7, false);
  answer_cordon ("op/evacuate/north", 8, false);
  assert_int_equal (t.cordons->n, 1);
  assert_int_equal (t.changes, 1);
  assert_int_equal (kq_cordons_find (t.cordons, KQ_STR ("north"))->revision, 8);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_cordons_are_complete_once_they_are_listed),
          TEST (test_cordons_follow_their_keys), TEST (test_deletion_that_is_missed),
          TEST (test_odd_keys_do_no_harm) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
