#include "fleet/accepts.h"

#include "base/log.h"
#include "steps/spec.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define START (100 * KQ_SEC)

/* Fake store and node connections. */
static struct
{
  int writes;
  char key[64];
  char stored[256]; /* the record that a read finds */
  size_t stored_len;
  KqKvCallback cb;
  int answers;
  uint64_t call; /* of the last answer */
  int64_t value;
  int accepted;
  uint64_t cancel_revision; /* that the last write expects */
} fake;

static KqPeer *const peer = (KqPeer *)&fake;

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  assert_int_equal (t->checks[0].revision, 0);
  assert_true (kq_str_eq (t->checks[1].key, KQ_STR ("kq/in/x/j1")));
  fake.cancel_revision = t->checks[1].revision;
  kq_str_copy (t->checks[0].key, fake.key, sizeof fake.key);
  fake.stored_len = t->puts[0].value.len;
  assert_true (fake.stored_len <= sizeof fake.stored);
  memcpy (fake.stored, t->puts[0].value.ptr, fake.stored_len);
  fake.writes++;
  fake.cb = cb;
}

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  assert_true (kq_str_eq (key, kq_str (fake.key)));
  fake.cb = cb;
}

void
kq_link_send_peer (KqPeer *p, const KqAgentItem *i)
{
  assert_ptr_equal (p, peer);
  fake.answers++;
  fake.call = i->u.answer.call;
  fake.value = i->u.answer.value;
}

int
kq_peer_agent (const KqPeer *p)
{
  (void)p;
  return 1;
}

static void
on_accepted (void *arg, KqStr stored, uint64_t revision, KqTime now)
{
  (void)arg;
  (void)now;
  assert_true (stored.len > 0);
  assert_int_equal (revision, 9);
  fake.accepted++;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
write_job (KqAccepts *a, uint64_t call, KqTime now)
{
  KqStep step = { .width = 1, .cpu_milli = 100, .max_unavailable = -1 };
  KqSpec spec = { .id = KQ_STR ("j1"), .steps = &step, .n_steps = 1 };
  KqBuf stored = { 0 };
  kq_spec_pack (&spec, &stored);
  kq_accepts_write (a, peer, call, kq_buf_str (&stored), now);
  kq_buf_free (&stored);
}

static KqAccepts *
begin (void)
{
  KqAcceptsOwner owner = { NULL, on_accepted, on_answered, NULL };
  KqAccepts *a = kq_accepts_new (NULL, &owner);
  memset (&fake, 0, sizeof fake);
  kq_log_set_level (KQ_LOG_ERROR);
  write_job (a, 5, START);
  assert_int_equal (fake.writes, 1);
  assert_string_equal (fake.key, "kq/in/j/j1");
  return a;
}

static void
store_answers (KqKvResult result)
{
  KqStr stored = { fake.stored, fake.stored_len };
  KqKvItem job = { .key = kq_str (fake.key), .value = stored, .revision = 9 };
  KqKvReply r = { .result = result, .revision = 9, .items = &job, .n_items = 1 };
  fake.cb.done (fake.cb.arg, &r, START);
}

static void
test_job_is_written_and_accepted (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_OK);
  assert_int_equal (fake.accepted, 1);
  assert_int_equal (fake.call, 5);
  assert_int_equal (fake.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

/* Guards against a job that runs twice because a repeated submission counts as a new job.
 */
static void
test_repeat_is_the_same_job (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_CONFLICT);
  assert_int_equal (fake.accepted, 0);
  assert_int_equal (fake.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

/* Guards against a job that runs although it was reported as refused: its write was
 * carried out, but the answer was lost. */
static void
test_write_without_an_answer_has_unknown_outcome (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_UNKNOWN);
  assert_int_equal (fake.answers, 0);
  store_answers (KQ_KV_NOT_FOUND);
  assert_int_equal (fake.value, KQ_ACCEPT_UNKNOWN);
  kq_accepts_free (a);
}

/* Guards against a client that isn't told of its accepted job, as the store loses answers
 * of writes that it carries out. */
static void
test_write_without_an_answer_is_read_back (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_UNKNOWN);
  store_answers (KQ_KV_OK);
  assert_int_equal (fake.accepted, 1);
  assert_int_equal (fake.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

/* Guards against a second run of a job that was submitted before: the record found isn't
 * of this write. */
static void
test_earlier_record_is_not_accepted_again (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_UNKNOWN);
  fake.stored[0]++;
  store_answers (KQ_KV_OK);
  assert_int_equal (fake.accepted, 0);
  assert_int_equal (fake.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

/* Guards against a job that starts after its cancellation was acknowledged: no write may
 * overlook the cancellation, and the leader may have read neither. */
static void
test_job_cancelled_before_is_stored_beside_its_cancellation (void **state)
{
  KqKvItem cancel
      = { .key = KQ_STR ("kq/in/x/j1"), .value = KQ_STR ("0"), .revision = 5 };
  KqKvReply r = { .result = KQ_KV_CONFLICT, .items = &cancel, .n_items = 1 };
  KqAccepts *a = begin ();
  (void)state;
  assert_int_equal (fake.cancel_revision, 0);
  fake.cb.done (fake.cb.arg, &r, START);
  assert_int_equal (fake.answers, 0);
  assert_int_equal (fake.writes, 2);
  assert_int_equal (fake.cancel_revision, 5);
  store_answers (KQ_KV_OK);
  assert_int_equal (fake.value, KQ_ACCEPT_DONE);
  assert_int_equal (fake.accepted, 0);
  kq_accepts_free (a);
}

/* Guards against use of freed memory when the store reports a conflict after
 * kq_accepts_free. */
static void
test_leader_is_gone_before_a_conflict (void **state)
{
  KqKvItem cancel = { .key = KQ_STR ("kq/in/x/j1"), .revision = 5 };
  KqKvReply r = { .result = KQ_KV_CONFLICT, .items = &cancel, .n_items = 1 };
  KqAccepts *a = begin ();
  (void)state;
  kq_accepts_free (a);
  fake.cb.done (fake.cb.arg, &r, START);
  assert_int_equal (fake.writes, 1);
  assert_int_equal (fake.answers, 0);
}

static void
test_refused_write_is_refused (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_REFUSED);
  assert_int_equal (fake.value, KQ_ACCEPT_REFUSED);
  kq_accepts_free (a);
}

/* Guards against losing a job whose node disconnects before the write is answered, and
 * against use of freed memory when the answer comes after kq_accepts_free. */
static void
test_node_or_leader_is_gone_before_the_answer (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  kq_accepts_peer_left (a, peer);
  store_answers (KQ_KV_OK);
  assert_int_equal (fake.accepted, 1);
  assert_int_equal (fake.answers, 0);
  kq_accepts_free (a);
  a = begin ();
  kq_accepts_free (a);
  store_answers (KQ_KV_OK);
  assert_int_equal (fake.accepted, 0);
  assert_int_equal (fake.answers, 0);
}

static void
test_invalid_job_is_refused (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_OK);
  kq_accepts_write (a, peer, 6, KQ_STR ("damaged"), START);
  assert_int_equal (fake.writes, 1);
  assert_int_equal (fake.call, 6);
  assert_int_equal (fake.value, KQ_ACCEPT_REFUSED);
  kq_accepts_free (a);
}

/* Guards against one write after the other ending with unknown outcome while the store
 * becomes unreachable for the leader as well. */
static void
test_nothing_is_written_after_a_write_without_an_answer (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_UNKNOWN);
  write_job (a, 6, START + 100 * KQ_MS);
  assert_int_equal (fake.writes, 1);
  assert_int_equal (fake.call, 6);
  assert_int_equal (fake.value, KQ_ACCEPT_REFUSED);
  store_answers (KQ_KV_UNKNOWN);
  write_job (a, 7, START + KQ_SEC);
  assert_int_equal (fake.writes, 2);
  store_answers (KQ_KV_OK);
  assert_int_equal (fake.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_is_written_and_accepted),
    cmocka_unit_test (test_repeat_is_the_same_job),
    cmocka_unit_test (test_write_without_an_answer_has_unknown_outcome),
    cmocka_unit_test (test_write_without_an_answer_is_read_back),
    cmocka_unit_test (test_earlier_record_is_not_accepted_again),
    cmocka_unit_test (test_job_cancelled_before_is_stored_beside_its_cancellation),
    cmocka_unit_test (test_leader_is_gone_before_a_conflict),
    cmocka_unit_test (test_refused_write_is_refused),
    cmocka_unit_test (test_node_or_leader_is_gone_before_the_answer),
    cmocka_unit_test (test_invalid_job_is_refused),
    cmocka_unit_test (test_nothing_is_written_after_a_write_without_an_answer),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
