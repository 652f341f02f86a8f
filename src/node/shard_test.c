#include "node/shard.h"

#include "base/log.h"
#include "port/store_fake.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define SHARD 3

/* Runs the journal `j`, or the shard `s` if `j` is NULL, with the store for one second.
 * Other items of the outbox than store calls are dropped. */
static void
run_store (KqStoreFake *store, KqJournal *j, KqShard *s, KqOutbox *out, KqTime *now,
           KqResult *code)
{
  KqTime until = *now + KQ_SEC;
  while (*now < until)
    {
      KqOut item;
      KqStoreReply r;
      int client;
      while (kq_outbox_take (out, &item))
        {
          if (item.kind == KQ_OUT_STORE)
            kq_store_fake_call (store, 0, &item.u.store, *now);
          kq_out_clear (&item);
        }
      *now += KQ_MS;
      while (kq_store_fake_next (store, *now, &client, &r))
        {
          if (j != NULL)
            kq_journal_reply (j, &r, *now, out);
          else
            kq_shard_store_reply (s, &r, *now, out);
        }
      if (j != NULL)
        kq_journal_tick (j, *now, out);
      else if (*code == KQ_OK)
        *code = kq_shard_tick (s, true, *now, out);
    }
}

/* The result of recovering a shard from a journal with one record of this type and
 * body. */
static KqResult
recover_with (uint16_t type, KqStr body)
{
  KqStoreFake *store = kq_store_fake_new (1);
  KqJournal *j = kq_journal_new (SHARD, 9, 2);
  KqJobsConfig c = { .lease = KQ_SEC, .renew = KQ_SEC / 3, .seed = 4 };
  KqShard *s = kq_shard_new (SHARD, 4, 9, &c);
  KqOutbox out = { 0 };
  KqRecord r = { type, 1, body };
  KqRecord recovered;
  KqTime now = 100 * KQ_SEC;
  KqResult code = KQ_OK;
  kq_journal_open (j, 1, now, &out);
  run_store (store, j, NULL, &out, &now, &code);
  while (kq_journal_next_record (j, &recovered))
    ;
  assert_int_equal (kq_journal_state (j), KQ_JOURNAL_OPEN);
  kq_journal_append (j, &r, KQ_COMMIT_NORMAL, now);
  run_store (store, j, NULL, &out, &now, &code);
  assert_int_equal (kq_journal_lag (j, now), 0);
  kq_outbox_free (&out);
  kq_shard_open (s, 2, NULL, now, &out);
  run_store (store, NULL, s, &out, &now, &code);
  assert_true (code != KQ_OK || kq_shard_state (s) == KQ_SHARD_ACTIVE);
  kq_outbox_free (&out);
  kq_shard_free (s);
  kq_journal_free (j);
  kq_store_fake_free (store);
  return code;
}

/* The journal has a record that this program can't read, left by a newer version or by a
 * fault. Skipping it could run a request or a task twice, and ending the process would
 * stop one owner after another: only this shard must be dropped, with an error. */
static void
test_unreadable_record_gives_up_the_shard (void **state)
{
  (void)state;
  assert_int_equal (recover_with (199, KQ_STR ("\x91\x01")), KQ_ERR_JOURNAL_DAMAGED);
  assert_int_equal (recover_with (299, KQ_STR ("\x91\x01")), KQ_ERR_JOURNAL_DAMAGED);
  assert_int_equal (recover_with (200, KQ_STR ("\x91\x01")), KQ_ERR_JOURNAL_DAMAGED);
}

/* The cancellation of an unknown job is readable and has no effect, like any repeated
 * record: the shard opens. */
static void
test_readable_record_opens_the_shard (void **state)
{
  (void)state;
  assert_int_equal (recover_with (204, KQ_STR ("\x91\x01")), KQ_OK);
}

static KqTable *
make_table (void)
{
  KqTable *empty = kq_table_new (0);
  KqRowChange c[2] = { { .row = kq_row_default (KQ_ROW_TEAM, KQ_STR ("plan")) },
                       { .row = kq_row_default (KQ_ROW_CLASS, KQ_STR ("route")) } };
  KqResult why;
  size_t which;
  KqTable *t = kq_table_change (empty, 1, c, 2, &why, &which);
  kq_table_unref (empty);
  return t;
}

static void
submit (KqShard *s, uint64_t number, KqTime now, KqOutbox *out)
{
  KqMsg m = { .kind = KQ_MSG_JOB_SUBMIT };
  KqMsgJobSubmit *j = &m.u.job_submit;
  j->call = number;
  j->reply_to = 7;
  j->shard = SHARD;
  j->job = (KqJobId)SHARD << 48 | number;
  j->spec.team = kq_name (KQ_STR ("plan"));
  j->spec.class_name = kq_name (KQ_STR ("route"));
  j->spec.priority = KQ_PRIORITY_NORMAL;
  j->spec.size = (KqSize){ 1000, 1000, 0 };
  kq_shard_message (s, &m, now, out);
}

/* Empties the outbox; returns the number of messages of that kind, and in *code the
 * result in the last one. */
static int
count_replies (KqOutbox *out, KqMsgKind kind, KqResult *code)
{
  KqOut item;
  int n = 0;
  while (kq_outbox_take (out, &item))
    {
      const KqMsg *m = item.kind == KQ_OUT_SEND ? item.u.send.msg : NULL;
      if (m != NULL && m->kind == kind)
        {
          n++;
          *code = kind == KQ_MSG_JOB_REPLY ? m->u.answer.code : m->u.claim_reply.code;
        }
      kq_out_clear (&item);
    }
  return n;
}

static void
claim (KqShard *s, KqTime now, KqOutbox *out)
{
  KqMsg m = { .kind = KQ_MSG_CLAIM_BEGIN };
  m.u.claim_begin.shard = SHARD;
  m.u.claim_begin.flight.node = 7;
  m.u.claim_begin.service = KQ_STR ("seal");
  m.u.claim_begin.key = KQ_STR ("k");
  kq_shard_message (s, &m, now, out);
}

/* Guards against refusals that wait behind held replies. The store becomes unreachable:
 * the reply to the first job waits for its commit. Three seconds later a second job and a
 * request with an idempotency key must be refused at once. */
static void
test_refusal_passes_held_answers (void **state)
{
  KqStoreFake *store = kq_store_fake_new (1);
  KqJobsConfig c = { .lease = KQ_SEC, .renew = KQ_SEC / 3, .seed = 4 };
  KqShard *s = kq_shard_new (SHARD, 4, 9, &c);
  KqTable *t = make_table ();
  KqOutbox out = { 0 };
  KqTime now = 100 * KQ_SEC;
  KqResult code = KQ_OK;
  (void)state;
  kq_shard_open (s, 1, t, now, &out);
  run_store (store, NULL, s, &out, &now, &code);
  assert_int_equal (kq_shard_state (s), KQ_SHARD_ACTIVE);
  submit (s, 1, now, &out);
  assert_int_equal (count_replies (&out, KQ_MSG_JOB_REPLY, &code), 0);
  now += 3 * KQ_SEC;
  submit (s, 2, now, &out);
  assert_int_equal (count_replies (&out, KQ_MSG_JOB_REPLY, &code), 1);
  assert_int_equal (code, KQ_ERR_NOT_COMMITTED);
  claim (s, now, &out);
  assert_int_equal (count_replies (&out, KQ_MSG_CLAIM_REPLY, &code), 1);
  assert_int_equal (code, KQ_ERR_CLAIM_UNAVAILABLE);
  kq_outbox_free (&out);
  kq_shard_free (s);
  kq_table_unref (t);
  kq_store_fake_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unreadable_record_gives_up_the_shard),
    cmocka_unit_test (test_readable_record_opens_the_shard),
    cmocka_unit_test (test_refusal_passes_held_answers),
  };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
