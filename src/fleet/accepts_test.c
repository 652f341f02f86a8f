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

/* The store and the connections to nodes, played by the test. */
static struct
{
  int writes;
  char key[64];
  KqKvCallback cb;
  int answers;
  uint64_t call; /* of the last answer */
  int64_t value;
  int accepted;
} world;

static KqPeer *const peer = (KqPeer *)&world;

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  assert_int_equal (t->checks[0].revision, 0);
  kq_str_copy (t->checks[0].key, world.key, sizeof world.key);
  world.writes++;
  world.cb = cb;
}

void
kq_link_send_peer (KqPeer *p, const KqCrewItem *i)
{
  assert_ptr_equal (p, peer);
  world.answers++;
  world.call = i->u.answer.call;
  world.value = i->u.answer.value;
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
  world.accepted++;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
take (KqAccepts *a, uint64_t call, KqTime now)
{
  KqStep step = { .width = 1, .cpu_milli = 100, .away_most = -1 };
  KqSpec spec = { .id = KQ_STR ("j1"), .steps = &step, .n_steps = 1 };
  KqBuf stored = { 0 };
  kq_spec_pack (&spec, &stored);
  kq_accepts_take (a, peer, call, kq_buf_str (&stored), now);
  kq_buf_free (&stored);
}

static KqAccepts *
begin (void)
{
  KqAcceptsOwner owner = { NULL, on_accepted, on_answered };
  KqAccepts *a = kq_accepts_new (NULL, &owner);
  memset (&world, 0, sizeof world);
  kq_log_set_level (KQ_LOG_ERROR);
  take (a, 5, START);
  assert_int_equal (world.writes, 1);
  assert_string_equal (world.key, "kq/in/j/j1");
  return a;
}

static void
store_answers (KqKvResult result)
{
  KqKvReply r = { .result = result, .revision = 9 };
  world.cb.done (world.cb.arg, &r, START);
}

static void
test_job_is_written_and_taken_in (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_OK);
  assert_int_equal (world.accepted, 1);
  assert_int_equal (world.call, 5);
  assert_int_equal (world.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

/* A job runs twice: a repeat is taken for another one. */
static void
test_repeat_is_the_same_job (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_CONFLICT);
  assert_int_equal (world.accepted, 0);
  assert_int_equal (world.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

/* A job that was refused as not run runs: the write's answer was lost. */
static void
test_write_without_an_answer_is_left_open (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_UNKNOWN);
  assert_int_equal (world.value, KQ_ACCEPT_UNKNOWN);
  kq_accepts_free (a);
}

static void
test_refused_write_is_refused (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_REFUSED);
  assert_int_equal (world.value, KQ_ACCEPT_REFUSED);
  kq_accepts_free (a);
}

/* The job counts though the node that handed it in has gone; so do answers that come
 * after the leader's end. */
static void
test_node_or_leader_goes_meanwhile (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  kq_accepts_left (a, peer);
  store_answers (KQ_KV_OK);
  assert_int_equal (world.accepted, 1);
  assert_int_equal (world.answers, 0);
  kq_accepts_free (a);
  a = begin ();
  kq_accepts_free (a);
  store_answers (KQ_KV_OK);
  assert_int_equal (world.accepted, 0);
  assert_int_equal (world.answers, 0);
}

static void
test_what_is_no_job_is_refused (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_OK);
  kq_accepts_take (a, peer, 6, KQ_STR ("damaged"), START);
  assert_int_equal (world.writes, 1);
  assert_int_equal (world.call, 6);
  assert_int_equal (world.value, KQ_ACCEPT_REFUSED);
  kq_accepts_free (a);
}

/* Clients are left in doubt one after the other while the store goes away for all. */
static void
test_nothing_is_written_after_a_write_without_an_answer (void **state)
{
  KqAccepts *a = begin ();
  (void)state;
  store_answers (KQ_KV_UNKNOWN);
  take (a, 6, START + 100 * KQ_MS);
  assert_int_equal (world.writes, 1);
  assert_int_equal (world.call, 6);
  assert_int_equal (world.value, KQ_ACCEPT_REFUSED);
  take (a, 7, START + KQ_SEC);
  assert_int_equal (world.writes, 2);
  store_answers (KQ_KV_OK);
  assert_int_equal (world.value, KQ_ACCEPT_DONE);
  kq_accepts_free (a);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_is_written_and_taken_in),
    cmocka_unit_test (test_repeat_is_the_same_job),
    cmocka_unit_test (test_write_without_an_answer_is_left_open),
    cmocka_unit_test (test_refused_write_is_refused),
    cmocka_unit_test (test_node_or_leader_goes_meanwhile),
    cmocka_unit_test (test_what_is_no_job_is_refused),
    cmocka_unit_test (test_nothing_is_written_after_a_write_without_an_answer),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
