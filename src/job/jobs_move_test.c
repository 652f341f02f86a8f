#include "job/jobs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Two shards of one region, each with one worker, which is too small for the job. Each
 * test sets whether a shard's digest of the other one shows a large worker. */
typedef struct
{
  KqJobs *jobs;
  KqFakeLog log;
  KqLogPort port;
  KqJobsConfig config;
  KqOutbox out;
} Shard;

typedef struct
{
  Shard shards[2]; /* numbers 1 and 2 */
  KqTable *table;
  KqTime now;
} Rig;

#define JOB 0x0001000000000007ULL

static KqTable *
make_table (void)
{
  KqTable *empty = kq_table_new (0);
  KqRowChange c[2] = { { .row = kq_row_default (KQ_ROW_TEAM, KQ_STR ("plan")) },
                       { .row = kq_row_default (KQ_ROW_CLASS, KQ_STR ("route")) } };
  KqResult why;
  size_t which;
  KqTable *t = kq_table_change (empty, 1, c, 2, &why, &which);
  assert_non_null (t);
  kq_table_unref (empty);
  return t;
}

static void
open_shard (Rig *r, int i, uint64_t epoch)
{
  Shard *s = &r->shards[i];
  KqHost h = { .id = 5 + (uint64_t)i,
               .name = kq_name (KQ_STR ("small")),
               .state = KQ_HOST_LIVE,
               .capacity = { 1000, 1000, 0 } };
  s->config = (KqJobsConfig){ .shard = (uint32_t)i + 1,
                              .self = 77,
                              .lease = 9 * KQ_SEC,
                              .renew = 3 * KQ_SEC,
                              .first_shard = 1,
                              .n_shards = 2,
                              .seed = 3 };
  s->port = (KqLogPort){ .kind = KQ_LOG_PORT_FAKE, .u.fake = &s->log };
  s->jobs = kq_jobs_new (&s->config, s->port);
  kq_jobs_set_table (s->jobs, r->table, r->now);
  for (size_t k = 0; k < s->log.n_records; k++)
    kq_jobs_apply (s->jobs, &s->log.records[k], r->now);
  kq_jobs_recovered (s->jobs, epoch, r->now, &s->out);
  kq_jobs_set_hosts (s->jobs, &h, 1, r->now, &s->out);
}

/* Sets shard i's digest of the other shard. */
static void
other_is_large (Rig *r, int i, bool large)
{
  KqShardDigest d = { .shard = (uint32_t)(2 - i), .workers = 1 };
  d.largest_capacity = large ? (KqSize){ 64000, 64000, 0 } : (KqSize){ 1000, 1000, 0 };
  d.largest_free = d.free = d.largest_capacity;
  kq_jobs_set_other_digests (r->shards[i].jobs, &d, 1, r->now);
}

static int
set_up (void **state)
{
  Rig *r = kq_alloc (sizeof *r);
  r->now = 100 * KQ_SEC;
  r->table = make_table ();
  open_shard (r, 0, 1);
  open_shard (r, 1, 1);
  *state = r;
  return 0;
}

static int
tear_down (void **state)
{
  Rig *r = *state;
  for (int i = 0; i < 2; i++)
    {
      kq_jobs_free (r->shards[i].jobs);
      kq_fake_log_free (&r->shards[i].log);
      kq_outbox_free (&r->shards[i].out);
    }
  kq_table_unref (r->table);
  free (r);
  return 0;
}

static void
submit (Rig *r)
{
  KqMsgJobSubmit m = { .shard = 1, .job = JOB };
  m.spec.team = kq_name (KQ_STR ("plan"));
  m.spec.class_name = kq_name (KQ_STR ("route"));
  m.spec.priority = KQ_PRIORITY_NORMAL;
  m.spec.size = (KqSize){ 32000, 32000, 0 };
  kq_jobs_submit (r->shards[0].jobs, &m, r->now, &r->shards[0].out);
}

/* Runs shard i for two seconds. Returns the first message of that kind that it sends, or
 * NULL, and in *after the record that must be committed before. */
static KqMsg *
tick (Rig *r, int i, KqMsgKind kind, KqSeq *after)
{
  KqMsg *found = NULL;
  for (int n = 0; n < 20; n++)
    {
      KqOut item;
      KqSeq seq = 0;
      r->now += 100 * KQ_MS;
      seq = kq_jobs_tick (r->shards[i].jobs, true, r->now, &r->shards[i].out);
      while (kq_outbox_take (&r->shards[i].out, &item))
        {
          if (item.kind == KQ_OUT_SEND && item.u.send.msg->kind == kind && found == NULL)
            {
              found = kq_msg_copy (item.u.send.msg);
              *after = seq;
            }
          kq_out_clear (&item);
        }
    }
  return found;
}

/* Delivers a JOB_MOVE to shard i; returns its JOB_MOVED, or NULL. */
static KqMsg *
arrive (Rig *r, int i, const KqMsg *m)
{
  KqOut item;
  KqMsg *found = NULL;
  kq_jobs_receive_move (r->shards[i].jobs, &m->u.job_move, r->now, &r->shards[i].out);
  while (kq_outbox_take (&r->shards[i].out, &item))
    {
      if (item.kind == KQ_OUT_SEND && item.u.send.msg->kind == KQ_MSG_JOB_MOVED)
        found = kq_msg_copy (item.u.send.msg);
      kq_out_clear (&item);
    }
  return found;
}

/* The job fits nowhere in its shard, and the other shard has room. The first message is
 * lost, the next one and its answer arrive twice. The job must neither be lost nor exist
 * in both shards: the other shard has it once and this one forwards calls. JOB_MOVE must
 * not be sent before its record is committed. */
static void
test_move_with_lost_and_repeated_messages (void **state)
{
  Rig *r = *state;
  KqSeq after = 0;
  KqMsg *move;
  KqMsg *moved[2];
  KqMsgJobCall get = { .shard = 1, .kind = KQ_JOB_GET, .job = JOB, .reply_to = 9 };
  KqOut item;
  submit (r);
  assert_int_equal (kq_jobs_account (r->shards[0].jobs).unplaceable, 1);
  other_is_large (r, 0, true);
  kq_msg_free (tick (r, 0, KQ_MSG_JOB_MOVE, &after));
  assert_int_equal (after, r->shards[0].log.n_records);
  assert_int_equal (kq_jobs_account (r->shards[0].jobs).moving, 1);
  move = tick (r, 0, KQ_MSG_JOB_MOVE, &after);
  assert_non_null (move);
  moved[0] = arrive (r, 1, move);
  moved[1] = arrive (r, 1, move);
  assert_int_equal (kq_jobs_account (r->shards[1].jobs).accepted, 1);
  assert_non_null (moved[0]);
  assert_non_null (moved[1]);
  kq_jobs_confirm_move (r->shards[0].jobs, &moved[0]->u.job_moved, r->now);
  assert_int_equal (
      kq_jobs_confirm_move (r->shards[0].jobs, &moved[1]->u.job_moved, r->now), 0);
  assert_int_equal (kq_jobs_account (r->shards[0].jobs).moved, 1);
  kq_jobs_call (r->shards[0].jobs, &get, r->now, &r->shards[0].out);
  assert_true (kq_outbox_take (&r->shards[0].out, &item));
  assert_int_equal (item.u.send.msg->kind, KQ_MSG_JOB_CALL);
  assert_int_equal (item.u.send.msg->u.job_call.shard, 2);
  kq_out_clear (&item);
  kq_msg_free (move);
  kq_msg_free (moved[0]);
  kq_msg_free (moved[1]);
}

/* The owner of the source shard dies at each step of the move. Its successor replays the
 * journal and continues the move; at the end the job must be in exactly one shard. */
static void
test_source_dies_at_each_step (void **state)
{
  Rig *r = *state;
  KqSeq after;
  KqMsg *move;
  KqMsg *moved;
  submit (r);
  other_is_large (r, 0, true);
  kq_msg_free (tick (r, 0, KQ_MSG_JOB_MOVE, &after));
  kq_jobs_free (r->shards[0].jobs);
  open_shard (r, 0, 2);
  assert_int_equal (kq_jobs_account (r->shards[0].jobs).moving, 1);
  other_is_large (r, 0,
                  false); /* the recorded move goes on, even if the digest has changed */
  move = tick (r, 0, KQ_MSG_JOB_MOVE, &after);
  assert_non_null (move);
  moved = arrive (r, 1, move);
  kq_jobs_confirm_move (r->shards[0].jobs, &moved->u.job_moved, r->now);
  kq_jobs_free (r->shards[0].jobs);
  open_shard (r, 0, 3);
  assert_int_equal (kq_jobs_account (r->shards[0].jobs).moved, 1);
  kq_jobs_free (r->shards[1].jobs);
  open_shard (r, 1, 2);
  assert_int_equal (kq_jobs_account (r->shards[1].jobs).unplaceable
                        + kq_jobs_account (r->shards[1].jobs).queued,
                    1);
  kq_msg_free (move);
  kq_msg_free (moved);
}

/* The job moves to the other shard and back, and then a repeat of the first JOB_MOVE
 * arrives late. The shard that the job has left must not take it again. */
static void
test_return_and_late_repeat (void **state)
{
  Rig *r = *state;
  KqSeq after;
  KqMsg *there;
  KqMsg *back;
  KqMsg *reply;
  submit (r);
  other_is_large (r, 0, true);
  there = tick (r, 0, KQ_MSG_JOB_MOVE, &after);
  reply = arrive (r, 1, there);
  kq_jobs_confirm_move (r->shards[0].jobs, &reply->u.job_moved, r->now);
  kq_msg_free (reply);
  other_is_large (r, 0, false);
  other_is_large (r, 1, true);
  back = tick (r, 1, KQ_MSG_JOB_MOVE, &after);
  assert_non_null (back);
  reply = arrive (r, 0, back);
  assert_non_null (reply);
  kq_jobs_confirm_move (r->shards[1].jobs, &reply->u.job_moved, r->now);
  kq_msg_free (reply);
  kq_msg_free (arrive (r, 1, there));
  assert_int_equal (kq_jobs_account (r->shards[1].jobs).moved, 1);
  assert_int_equal (kq_jobs_account (r->shards[1].jobs).queued, 0);
  assert_int_equal (kq_jobs_account (r->shards[0].jobs).moved, 0);
  assert_int_equal (kq_jobs_account (r->shards[0].jobs).unplaceable, 1);
  kq_msg_free (there);
  kq_msg_free (back);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_move_with_lost_and_repeated_messages, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_source_dies_at_each_step, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_return_and_late_repeat, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
