#include "base/rand.h"
#include "fleet/key_log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* The changes that a log has passed on, applied to another log. */
typedef struct
{
  KqKeyLog *to;
  int n;
  size_t bytes;
  uint64_t last;
  KqBuf value; /* of the last change */
  KqResult result;
} Copy;

static void
apply (void *arg, const KqKeyChange *c)
{
  Copy *copy = arg;
  KqKvItem i = { .key = c->key, .revision = c->revision, .deleted = c->deleted };
  copy->n++;
  copy->bytes += c->data.len;
  copy->last = c->revision;
  kq_buf_clear (&copy->value);
  copy->result = c->deleted ? KQ_OK : kq_key_log_decode (copy->to, c, &copy->value);
  i.value = kq_buf_str (&copy->value);
  if (copy->result == KQ_OK)
    kq_key_log_add (copy->to, &i);
}

static void
add (KqKeyLog *l, const char *key, uint64_t revision, KqStr value)
{
  KqKvItem i = { .key = kq_str (key), .revision = revision, .value = value };
  kq_key_log_add (l, &i);
}

/* A configuration of n queues, in which one has this priority. */
static KqBuf
configuration (int n, int changed, int priority)
{
  KqBuf b = { 0 };
  kq_buf_printf (&b, "{\"version\":%d,\"routes\":[", priority);
  for (int i = 0; i < n; i++)
    kq_buf_printf (&b, "{\"name\":\"q%d\",\"host\":\"h%x.example\",\"priority\":%d},", i,
                   (unsigned)i * 2654435761u, i == changed ? priority : 0);
  kq_buf_printf (&b, "]}");
  return b;
}

/* Guards against configurations whose bytes grow with the number of queues times that of
 * nodes: one that differs little from the last must be small. */
static void
test_versions_travel_as_differences (void **state)
{
  KqKeyLog *from = kq_key_log_new ();
  KqKeyLog *to = kq_key_log_new ();
  Copy copy = { .to = to };
  KqBuf first = configuration (1000, 0, 1);
  (void)state;
  kq_key_log_begin (from, 9);
  add (from, "op/config", 10, kq_buf_str (&first));
  assert_true (kq_key_log_since (from, 9, apply, &copy));
  assert_int_equal (copy.n, 1);
  for (int i = 1; i < 40; i++)
    {
      KqBuf next = configuration (1000, 25 * i, i + 1);
      add (from, "op/config", 10 + (uint64_t)i, kq_buf_str (&next));
      copy.bytes = 0;
      copy.n = 0;
      assert_true (kq_key_log_since (from, 9 + (uint64_t)i, apply, &copy));
      assert_int_equal (copy.n, 1);
      assert_int_equal (copy.result, KQ_OK);
      assert_true (kq_str_eq (kq_buf_str (&copy.value), kq_buf_str (&next)));
      assert_in_range (copy.bytes, 1, next.len / 100);
      kq_buf_free (&next);
    }
  kq_buf_free (&first);
  kq_buf_free (&copy.value);
  kq_key_log_free (from);
  kq_key_log_free (to);
}

/* Guards against a node that misses changes: the log no longer goes back to what it
 * knows. */
static void
test_log_tells_how_far_it_goes_back (void **state)
{
  KqKeyLog *l = kq_key_log_new ();
  Copy copy = { .to = kq_key_log_new () };
  (void)state;
  add (l, "op/a", 3, KQ_STR ("1"));
  assert_false (kq_key_log_since (l, 3, apply, &copy));
  kq_key_log_begin (l, 5);
  assert_false (kq_key_log_since (l, 4, apply, &copy));
  assert_true (kq_key_log_since (l, 5, apply, &copy));
  assert_int_equal (copy.n, 0);
  for (uint64_t i = 0; i < 1000; i++)
    add (l, i % 2 == 0 ? "op/a" : "op/b", 6 + i, KQ_STR ("value"));
  assert_false (kq_key_log_since (l, 5, apply, &copy));
  assert_int_equal (copy.n, 0);
  assert_true (kq_key_log_since (l, 1000, apply, &copy));
  assert_int_equal (copy.n, 5);
  assert_int_equal (copy.last, 1005);
  kq_buf_free (&copy.value);
  kq_key_log_free (copy.to);
  kq_key_log_free (l);
}

static void
test_deletions_are_passed_on (void **state)
{
  KqKeyLog *l = kq_key_log_new ();
  Copy copy = { .to = kq_key_log_new () };
  KqKvItem gone = { .key = KQ_STR ("op/a"), .revision = 7, .deleted = true };
  (void)state;
  kq_key_log_begin (l, 5);
  add (l, "op/a", 6, KQ_STR ("one"));
  kq_key_log_add (l, &gone);
  add (l, "op/a", 8, KQ_STR ("two"));
  assert_true (kq_key_log_since (l, 5, apply, &copy));
  assert_int_equal (copy.n, 3);
  assert_int_equal (copy.result, KQ_OK);
  assert_true (kq_str_eq (kq_buf_str (&copy.value), KQ_STR ("two")));
  kq_buf_free (&copy.value);
  kq_key_log_free (copy.to);
  kq_key_log_free (l);
}

typedef struct
{
  KqKeyLog *log;
  KqRand rand;
  int refused;
} Damage;

static void
damage (void *arg, const KqKeyChange *c)
{
  Damage *d = arg;
  KqKeyChange bad = *c;
  char bytes[256];
  KqBuf value = { 0 };
  assert_true (c->data.len <= sizeof bytes);
  memcpy (bytes, c->data.ptr, c->data.len);
  bytes[kq_rand_below (&d->rand, c->data.len)]
      ^= (char)(1 + kq_rand_below (&d->rand, 255));
  bad.data.ptr = bytes;
  bad.data.len -= (size_t)kq_rand_below (&d->rand, 2);
  if (kq_key_log_decode (d->log, &bad, &value) != KQ_OK)
    d->refused++;
  else
    assert_true (kq_str_eq (kq_buf_str (&value), KQ_STR ("a value of a key")));
  kq_buf_free (&value);
}

/* Guards against a damaged change that is applied, or that makes a node read or write out
 * of bounds, and one whose base the node doesn't have. */
static void
test_damaged_changes_are_refused (void **state)
{
  KqKeyLog *l = kq_key_log_new ();
  Damage d = { .log = l, .rand = kq_rand (4) };
  KqKeyChange no_base = { .key = KQ_STR ("op/a"), .revision = 9, .base = 3 };
  KqBuf value = { 0 };
  (void)state;
  kq_key_log_begin (l, 5);
  add (l, "op/a", 6, KQ_STR ("a value of a key"));
  for (int i = 0; i < 500; i++)
    kq_key_log_since (l, 5, damage, &d);
  assert_true (d.refused > 400);
  assert_int_equal (kq_key_log_decode (l, &no_base, &value), KQ_ERR_PLATFORM_FORMAT);
  no_base.base = 0;
  assert_int_equal (kq_key_log_decode (l, &no_base, &value), KQ_ERR_FRAME_FORMAT);
  kq_key_log_free (l);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_versions_travel_as_differences),
          cmocka_unit_test (test_log_tells_how_far_it_goes_back),
          cmocka_unit_test (test_deletions_are_passed_on),
          cmocka_unit_test (test_damaged_changes_are_refused) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
