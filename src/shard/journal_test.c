#include "base/rand.h"
#include "port/store_fake.h"
#include "shard/journal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SHARD 7
#define RUN_MAX (120 * KQ_SEC)
#define RECORD_TYPE 150
#define N_SLOTS 256 /* of the ring */

/* Two nodes that may own the same shard, with one store and one clock. */
typedef struct
{
  KqStoreFake *store;
  KqJournal *journals[2];
  KqTime now;
} Rig;

static Rig
rig_new (void)
{
  Rig g = { .store = kq_store_fake_new (1), .now = KQ_SEC };
  for (uint64_t i = 0; i < 2; i++)
    g.journals[i] = kq_journal_new (SHARD, 100 + i, 11 + i);
  return g;
}

static void
rig_free (Rig *g)
{
  for (int i = 0; i < 2; i++)
    kq_journal_free (g->journals[i]);
  kq_store_fake_free (g->store);
}

static void
pump (Rig *g, int i, KqOutbox *out)
{
  KqOut item;
  while (kq_outbox_take (out, &item))
    {
      kq_store_fake_call (g->store, i, &item.u.store, g->now);
      kq_out_clear (&item);
    }
}

static void
tick (Rig *g)
{
  KqOutbox out;
  kq_outbox_init (&out);
  for (int i = 0; i < 2; i++)
    {
      kq_journal_tick (g->journals[i], g->now, &out);
      pump (g, i, &out);
    }
  kq_outbox_free (&out);
}

/* Advances the time to the next event and handles it; false: there is none. */
static bool
step (Rig *g)
{
  KqOutbox out;
  KqStoreReply r;
  int i;
  KqTime due = kq_store_fake_next_time (g->store);
  for (i = 0; i < 2; i++)
    if (kq_journal_due (g->journals[i]) < due)
      due = kq_journal_due (g->journals[i]);
  if (due >= KQ_TIME_NEVER)
    return false;
  if (due > g->now)
    g->now = due;
  kq_outbox_init (&out);
  while (kq_store_fake_next (g->store, g->now, &i, &r))
    {
      assert_true (kq_journal_reply (g->journals[i], &r, g->now, &out));
      pump (g, i, &out);
    }
  kq_outbox_free (&out);
  tick (g);
  return true;
}

static void
run_until_state (Rig *g, int i, KqJournalState state)
{
  KqTime end = g->now + RUN_MAX;
  while (kq_journal_state (g->journals[i]) != state)
    assert_true (step (g) && g->now < end);
}

static void
run_until_committed (Rig *g, int i, KqSeq seq)
{
  KqTime end = g->now + RUN_MAX;
  while (kq_journal_committed (g->journals[i]) < seq)
    assert_true (step (g) && g->now < end);
}

static void
open_journal (Rig *g, int i, uint64_t epoch)
{
  KqOutbox out;
  kq_outbox_init (&out);
  kq_journal_open (g->journals[i], epoch, g->now, &out);
  pump (g, i, &out);
  kq_outbox_free (&out);
}

static KqSeq
append (Rig *g, int i, uint64_t value)
{
  KqRecord r = { RECORD_TYPE, 1, { (const char *)&value, sizeof value } };
  return kq_journal_append (g->journals[i], &r, KQ_COMMIT_NORMAL, g->now);
}

/* Replays the recovered records; their values must be first..last without a gap. */
static void
expect_values (Rig *g, int i, uint64_t first, uint64_t last)
{
  KqRecord r;
  uint64_t value = 0;
  uint64_t next = first;
  while (kq_journal_next_record (g->journals[i], &r))
    {
      assert_int_equal (r.body.len, sizeof value);
      memcpy (&value, r.body.ptr, sizeof value);
      assert_int_equal (value, next);
      next++;
    }
  assert_int_equal (next, last + 1);
}

static void
open_fresh (Rig *g, int i, uint64_t epoch)
{
  open_journal (g, i, epoch);
  run_until_state (g, i, KQ_JOURNAL_OPEN);
}

/* Makes a snapshot with the values first..last. */
static void
snapshot (Rig *g, int i, uint64_t first, uint64_t last)
{
  KqOutbox out;
  kq_outbox_init (&out);
  kq_journal_snapshot_begin (g->journals[i]);
  for (uint64_t v = first; v <= last; v++)
    {
      KqRecord r = { RECORD_TYPE, 1, { (const char *)&v, sizeof v } };
      kq_journal_snapshot_add (g->journals[i], &r);
    }
  kq_journal_snapshot_end (g->journals[i], g->now, &out);
  pump (g, i, &out);
  kq_outbox_free (&out);
}

static void
test_commit_and_recover (void **state)
{
  Rig g = rig_new ();
  (void)state;
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  for (uint64_t v = 1; v <= 100; v++)
    {
      KqSeq seq = append (&g, 0, v);
      assert_int_equal (seq, v);
      if (v % 10 == 0)
        {
          tick (&g);
          run_until_committed (&g, 0, seq);
        }
    }
  assert_int_equal (kq_journal_lag (g.journals[0], g.now), 0);
  open_fresh (&g, 1, 2);
  expect_values (&g, 1, 1, 100);
  assert_int_equal (append (&g, 1, 101), 101);
  rig_free (&g);
}

/* The answer to a commit is lost, or its write takes effect late or never. The journal
 * must read the slot to learn the outcome. A record that was only assumed to be committed
 * would be lost; one written to two slots would be applied twice. */
static void
test_lost_answer (void **state)
{
  (void)state;
  for (int fate = KQ_STORE_FAULT_LOST_BEFORE; fate < KQ_STORE_FAULT_COUNT; fate++)
    for (int fence = 0; fence <= 1; fence++)
      {
        Rig g = rig_new ();
        open_fresh (&g, 0, 1);
        expect_values (&g, 0, 1, 0);
        kq_store_fake_script (g.store, KQ_STORE_PUT, "log/", fence,
                              (KqStoreCallFault)fate);
        append (&g, 0, 1);
        tick (&g);
        run_until_committed (&g, 0, 1);
        append (&g, 0, 2);
        tick (&g);
        run_until_committed (&g, 0, 2);
        open_fresh (&g, 1, 2);
        expect_values (&g, 1, 1, 2);
        rig_free (&g);
      }
}

/* The same for the fence. Without reading the slot the new owner would take its own fence
 * for a successor's, or open without a fence. */
static void
test_lost_answer_of_fence (void **state)
{
  (void)state;
  for (int fate = KQ_STORE_FAULT_LOST_BEFORE; fate < KQ_STORE_FAULT_COUNT; fate++)
    {
      Rig g = rig_new ();
      kq_store_fake_script (g.store, KQ_STORE_PUT, "log/", 0, (KqStoreCallFault)fate);
      open_fresh (&g, 0, 1);
      expect_values (&g, 0, 1, 0);
      append (&g, 0, 1);
      tick (&g);
      run_until_committed (&g, 0, 1);
      rig_free (&g);
    }
}

/* A suspended owner resumes after its successor has written its fence. The old owner's
 * commit must fail in the store and its journal become FENCED; otherwise two owners would
 * acknowledge different histories. */
static void
test_old_owner_is_fenced (void **state)
{
  Rig g = rig_new ();
  (void)state;
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  append (&g, 0, 1);
  assert_int_equal (kq_journal_lag (g.journals[0], g.now), 1);
  tick (&g);
  run_until_committed (&g, 0, 1);
  open_fresh (&g, 1, 2);
  expect_values (&g, 1, 1, 1);
  KqSeq seq = append (&g, 0, 2);
  tick (&g);
  run_until_state (&g, 0, KQ_JOURNAL_FENCED);
  assert_true (kq_journal_committed (g.journals[0]) < seq);
  append (&g, 1, 2);
  tick (&g);
  run_until_committed (&g, 1, 2);
  rig_free (&g);
}

/* The old owner's commit takes effect between the successor's read and its fence. The old
 * owner acknowledges the commit, so the successor must not miss it: its fence fails and
 * it reads again. */
static void
test_commit_between_read_and_fence (void **state)
{
  Rig g = rig_new ();
  (void)state;
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  open_journal (&g, 1, 2);
  g.now += 3 * KQ_MS; /* the successor has read the log and reads the snapshot */
  tick (&g);
  append (&g, 0, 1);
  tick (&g);
  run_until_committed (&g, 0, 1);
  run_until_state (&g, 1, KQ_JOURNAL_OPEN);
  expect_values (&g, 1, 1, 1);
  rig_free (&g);
}

static void
test_withdraw (void **state)
{
  Rig g = rig_new ();
  (void)state;
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  KqSeq sent = append (&g, 0, 1);
  tick (&g);
  KqSeq waits = append (&g, 0, 999);
  append (&g, 0, 2);
  assert_int_equal (kq_journal_withdraw (g.journals[0], sent), KQ_ERR_COMMIT_UNKNOWN);
  assert_int_equal (kq_journal_withdraw (g.journals[0], waits), KQ_OK);
  run_until_committed (&g, 0, 3);
  open_fresh (&g, 1, 2);
  expect_values (&g, 1, 1, 2);
  rig_free (&g);
}

/* A snapshot is made while a record is pending, and the record is then withdrawn. The
 * snapshot includes the record's effect and must never reach the store. */
static void
test_withdraw_drops_snapshot (void **state)
{
  Rig g = rig_new ();
  (void)state;
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  append (&g, 0, 1);
  tick (&g);
  KqSeq waits = append (&g, 0, 2);
  snapshot (&g, 0, 1, 2);
  assert_int_equal (kq_journal_withdraw (g.journals[0], waits), KQ_OK);
  run_until_committed (&g, 0, 2);
  while (step (&g))
    ;
  assert_int_equal (kq_journal_count (g.journals[0])->snapshots, 0);
  open_fresh (&g, 1, 2);
  expect_values (&g, 1, 1, 1);
  rig_free (&g);
}

/* A snapshot is made between two records that are written to the same slot. The successor
 * must replay the first from the snapshot and the second from the slot, each once. */
static void
test_snapshot_inside_a_slot (void **state)
{
  Rig g = rig_new ();
  (void)state;
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  append (&g, 0, 1);
  tick (&g);
  append (&g, 0, 2);
  append (&g, 0, 3);
  snapshot (&g, 0, 1, 3);
  append (&g, 0, 4);
  run_until_committed (&g, 0, 4);
  while (step (&g))
    ;
  assert_int_equal (kq_journal_count (g.journals[0])->snapshots, 1);
  open_fresh (&g, 1, 2);
  expect_values (&g, 1, 1, 4);
  rig_free (&g);
}

/* The ring wraps three times. The answer to the first write under snap/ is lost in each
 * possible way. */
static void
test_ring_wraps_with_snapshots (void **state)
{
  (void)state;
  for (int fate = KQ_STORE_FAULT_NONE; fate < KQ_STORE_FAULT_COUNT; fate++)
    {
      Rig g = rig_new ();
      open_fresh (&g, 0, 1);
      expect_values (&g, 0, 1, 0);
      kq_journal_set_share (g.journals[0], 1);
      kq_store_fake_script (g.store, KQ_STORE_PUT, "snap/", 0, (KqStoreCallFault)fate);
      for (uint64_t v = 1; v <= (uint64_t)3 * N_SLOTS; v++)
        {
          append (&g, 0, v);
          tick (&g);
          run_until_committed (&g, 0, v);
          if (kq_journal_snapshot_due (g.journals[0]))
            snapshot (&g, 0, 1, v);
        }
      assert_true (kq_journal_count (g.journals[0])->snapshots >= 3);
      open_fresh (&g, 1, 2);
      expect_values (&g, 1, 1, 3 * N_SLOTS);
      rig_free (&g);
    }
}

/* A state larger than the store's value limit is written in parts, which the successor
 * must find. The parts of an earlier snapshot must be deleted. */
static void
test_snapshot_in_parts (void **state)
{
  Rig g = rig_new ();
  char body[100000];
  KqOutbox out;
  KqRecord r = { RECORD_TYPE, 1, { body, sizeof body } };
  (void)state;
  memset (body, 'x', sizeof body);
  kq_outbox_init (&out);
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  for (int round = 0; round < 2; round++)
    {
      if (round == 0)
        kq_store_fake_script (g.store, KQ_STORE_PUT, "snap/", 1,
                              KQ_STORE_FAULT_LOST_AFTER);
      kq_journal_snapshot_begin (g.journals[0]);
      for (int i = 0; i < 25; i++)
        kq_journal_snapshot_add (g.journals[0], &r);
      kq_journal_snapshot_end (g.journals[0], g.now, &out);
      pump (&g, 0, &out);
      while (step (&g))
        ;
    }
  assert_int_equal (kq_journal_count (g.journals[0])->snapshots, 2);
  open_fresh (&g, 1, 2);
  int n = 0;
  KqRecord got;
  for (; kq_journal_next_record (g.journals[1], &got); n++)
    assert_int_equal (got.body.len, sizeof body);
  assert_int_equal (n, 25);
  KqStoreReply reply;
  int client;
  KqStoreOp list = { .kind = KQ_STORE_LIST, .key = KQ_STR ("snap/") };
  kq_store_fake_call (g.store, 5, &list, g.now);
  assert_true (kq_store_fake_next (g.store, g.now + KQ_SEC, &client, &reply));
  /* Only the head and the four parts (8, 8, 8, 1 records) of the second snapshot. */
  assert_int_equal (reply.n_items, 1 + 4);
  kq_outbox_free (&out);
  rig_free (&g);
}

/* A value in the store is damaged or has a later format version. It may hold the newest
 * record, which may have been acknowledged, so the journal must not open without it. */
static void
test_damage_is_found (void **state)
{
  static const struct
  {
    size_t byte;
    KqResult result;
  } cases[] = { { 3, KQ_ERR_JOURNAL_VERSION },
                { 6, KQ_ERR_JOURNAL_DAMAGED },
                { 40, KQ_ERR_JOURNAL_DAMAGED } };
  (void)state;
  for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
    for (int head = 0; head <= 1; head++)
      {
        Rig g = rig_new ();
        KqStr key = head ? KQ_STR ("snap/7/head") : KQ_STR ("log/7/2");
        KqStr value;
        uint64_t revision;
        open_fresh (&g, 0, 1);
        expect_values (&g, 0, 1, 0);
        append (&g, 0, 1);
        tick (&g);
        run_until_committed (&g, 0, 1);
        snapshot (&g, 0, 1, 1);
        while (step (&g))
          ;
        assert_true (kq_store_fake_get (g.store, key, &value, &revision));
        char *bad = kq_str_dup (value);
        bad[cases[c].byte] ^= 1;
        KqStr bad_value = kq_str_n (bad, value.len);
        kq_store_fake_set (g.store, key, bad_value, g.now);
        free (bad);
        open_journal (&g, 1, 2);
        run_until_state (&g, 1, KQ_JOURNAL_DAMAGED);
        const KqJournalDamage *d = kq_journal_damage (g.journals[1]);
        assert_int_equal (d->code, cases[c].result);
        assert_string_equal (d->key, key.ptr);
        rig_free (&g);
      }
}

/* During a store outage nothing is committed; afterwards everything is, in order. Retries
 * must be few, so that they don't overload the returning store. */
static void
test_outage (void **state)
{
  Rig g = rig_new ();
  (void)state;
  open_fresh (&g, 0, 1);
  expect_values (&g, 0, 1, 0);
  kq_store_fake_faults (g.store)->down = true;
  uint64_t calls = kq_store_fake_count (g.store)->calls;
  for (uint64_t v = 1; v <= 50; v++)
    append (&g, 0, v);
  tick (&g);
  KqTime end = g.now + 60 * KQ_SEC;
  while (g.now < end)
    step (&g);
  assert_int_equal (kq_journal_committed (g.journals[0]), 0);
  assert_true (kq_journal_lag (g.journals[0], g.now) >= 60 * KQ_SEC);
  assert_in_range (kq_store_fake_count (g.store)->calls - calls, 10, 60);
  kq_store_fake_faults (g.store)->down = false;
  run_until_committed (&g, 0, 50);
  open_fresh (&g, 1, 2);
  expect_values (&g, 1, 1, 50);
  rig_free (&g);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_commit_and_recover),
    cmocka_unit_test (test_lost_answer),
    cmocka_unit_test (test_lost_answer_of_fence),
    cmocka_unit_test (test_old_owner_is_fenced),
    cmocka_unit_test (test_commit_between_read_and_fence),
    cmocka_unit_test (test_withdraw),
    cmocka_unit_test (test_withdraw_drops_snapshot),
    cmocka_unit_test (test_snapshot_inside_a_slot),
    cmocka_unit_test (test_ring_wraps_with_snapshots),
    cmocka_unit_test (test_snapshot_in_parts),
    cmocka_unit_test (test_damage_is_found),
    cmocka_unit_test (test_outage),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
