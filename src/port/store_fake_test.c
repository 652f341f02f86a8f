#include "port/store_fake.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define LONG_WAIT_MS 100000

/* Runs the store until its next answer and returns that. */
static KqStoreReply
reply_of (KqStoreFake *s, KqTime *now)
{
  KqStoreReply r;
  int client;
  while (!kq_store_fake_next (s, *now, &client, &r))
    {
      assert_true (kq_store_fake_next_time (s) < KQ_TIME_NEVER);
      *now = kq_store_fake_next_time (s);
    }
  return r;
}

static KqStoreReply
call (KqStoreFake *s, KqStoreOp op, KqTime *now)
{
  kq_store_fake_call (s, 0, &op, *now);
  return reply_of (s, now);
}

static void
test_swap_and_list (void **state)
{
  KqStoreFake *s = kq_store_fake_new (1);
  KqTime now = 1;
  (void)state;
  KqStoreOp put = { .kind = KQ_STORE_PUT, .key = KQ_STR ("a/1"), .value = KQ_STR ("x") };
  KqStoreReply r = call (s, put, &now);
  assert_int_equal (r.result, KQ_OK);
  assert_int_equal (now, 1 + 2 * KQ_MS);
  uint64_t rev = r.revision;
  r = call (s, put, &now);
  assert_int_equal (r.result, KQ_ERR_STORE_CONFLICT);
  assert_int_equal (r.revision, rev);
  assert_true (kq_str_eq (r.value, KQ_STR ("x")));
  r = call (s, (KqStoreOp){ .kind = KQ_STORE_LIST, .key = KQ_STR ("a/") }, &now);
  assert_int_equal (r.n_items, 1);
  r = call (s,
            (KqStoreOp){ .kind = KQ_STORE_DELETE, .key = KQ_STR ("a/1"), .expect = rev },
            &now);
  assert_int_equal (r.result, KQ_OK);
  r = call (s, (KqStoreOp){ .kind = KQ_STORE_GET, .key = KQ_STR ("a/1") }, &now);
  assert_int_equal (r.result, KQ_ERR_STORE_NOT_FOUND);
  kq_store_fake_free (s);
}

static void
test_lease_lapse_wakes_watch (void **state)
{
  KqStoreFake *s = kq_store_fake_new (1);
  KqTime now = 1;
  (void)state;
  KqStoreReply r
      = call (s, (KqStoreOp){ .kind = KQ_STORE_LEASE_GRANT, .lease_ms = 50 }, &now);
  KqStoreOp put = { .kind = KQ_STORE_PUT, .key = KQ_STR ("n/1"), .lease = r.lease };
  uint64_t rev = call (s, put, &now).revision;
  r = call (s,
            (KqStoreOp){ .kind = KQ_STORE_WATCH,
                         .key = KQ_STR ("n/"),
                         .expect = rev,
                         .wait_ms = LONG_WAIT_MS },
            &now);
  assert_int_equal (r.result, KQ_OK);
  assert_int_equal (r.n_items, 0);
  assert_true (r.revision > rev);
  assert_in_range (now, 50 * KQ_MS, 60 * KQ_MS);
  kq_store_fake_free (s);
}

/* With each of four faults the caller of a write gets UNREACHABLE; whether and when the
 * value is written differs. Modules must read the key instead of assuming either. */
static void
test_faults_of_writes (void **state)
{
  static const struct
  {
    KqStoreCallFault fault;
    bool written;
    bool written_later;
  } cases[] = { { KQ_STORE_FAULT_LOST_BEFORE, false, false },
                { KQ_STORE_FAULT_LOST_AFTER, true, true },
                { KQ_STORE_FAULT_LATE_EFFECT, false, true },
                { KQ_STORE_FAULT_LATE_ANSWER, true, true } };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      KqStoreFake *s = kq_store_fake_new (1);
      KqTime now = 1;
      KqStr v;
      uint64_t rev;
      int client;
      KqStoreReply r;
      kq_store_fake_script (s, KQ_STORE_PUT, "k", 0, cases[i].fault);
      KqStoreOp put
          = { .kind = KQ_STORE_PUT, .key = KQ_STR ("k"), .value = KQ_STR ("v") };
      assert_int_equal (call (s, put, &now).result, KQ_ERR_STORE_UNREACHABLE);
      assert_true (kq_store_fake_script_done (s));
      assert_int_equal (kq_store_fake_get (s, KQ_STR ("k"), &v, &rev), cases[i].written);
      bool late = kq_store_fake_next (s, now + 10 * KQ_SEC, &client, &r);
      assert_int_equal (late, cases[i].fault == KQ_STORE_FAULT_LATE_ANSWER);
      assert_int_equal (kq_store_fake_get (s, KQ_STR ("k"), &v, &rev),
                        cases[i].written_later);
      kq_store_fake_free (s);
    }
}

static void
test_outage_and_silent_watch (void **state)
{
  KqStoreFake *s = kq_store_fake_new (1);
  KqTime now = 1;
  (void)state;
  kq_store_fake_faults (s)->down = true;
  KqStoreOp get = { .kind = KQ_STORE_GET, .key = KQ_STR ("k") };
  assert_int_equal (call (s, get, &now).result, KQ_ERR_STORE_UNREACHABLE);
  kq_store_fake_faults (s)->down = false;
  kq_store_fake_faults (s)->watches_silent = true;
  kq_store_fake_set (s, KQ_STR ("k"), KQ_STR ("v"), now);
  KqStoreOp watch = { .kind = KQ_STORE_WATCH, .key = KQ_STR ("k"), .wait_ms = 100 };
  assert_int_equal (call (s, watch, &now).result, KQ_ERR_STORE_UNREACHABLE);
  kq_store_fake_free (s);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_swap_and_list),
    cmocka_unit_test (test_lease_lapse_wakes_watch),
    cmocka_unit_test (test_faults_of_writes),
    cmocka_unit_test (test_outage_and_silent_watch),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
