#include "bench/front_fixture.h"
#include "fleet/accepts.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
submit (KqFrontFixture *t, KqReachState reach)
{
  kq_front_fixture_submit (t, reach, 3000);
}

/* Guards against a reply with unknown outcome, after which the client cannot safely
 * submit the job again. */
static void
test_suspect_store_is_read_before_a_write (void **state)
{
  submit (*state, KQ_REACH_SUSPECT);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_GET);
  assert_in_range (kq_front_fake.timeout_ms, 1, 400);
  kq_front_fixture_answer (KQ_KV_UNKNOWN);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_NO_CALL);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_REFUSED);
  assert_true (kq_front_fake.reply.retry_ms > 0);
  assert_int_equal (kq_front_fake.replies, 1);
}

static void
test_suspect_store_that_answers_is_written_to (void **state)
{
  submit (*state, KQ_REACH_SUSPECT);
  kq_front_fixture_answer (KQ_KV_NOT_FOUND);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_TXN);
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (kq_front_fake.replies, 1);
}

/* Guards against refusing a repeated submission of a job that has been accepted. */
static void
test_job_that_is_there_is_accepted (void **state)
{
  submit (*state, KQ_REACH_SUSPECT);
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_NO_CALL);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
}

/* Guards against a needless read, and its round trip, before every write. */
static void
test_store_that_is_up_is_not_read_first (void **state)
{
  submit (*state, KQ_REACH_UP);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_TXN);
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
}

static void
test_store_that_is_down_is_not_called (void **state)
{
  submit (*state, KQ_REACH_DOWN);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_NO_CALL);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_REFUSED);
}

static void
submit_via_leader (KqFrontFixture *t, bool has_leader)
{
  kq_front_fake.has_leader = has_leader;
  kq_front_fake.leader_reaches_store = true;
  submit (t, KQ_REACH_DOWN);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_NO_CALL);
  assert_int_equal (kq_front_fake.leader_call != 0, has_leader);
}

/* Guards against refusing clients of a node that is cut off from the store, though the
 * leader could write their jobs. */
static void
test_leader_writes_for_a_node_without_the_store (void **state)
{
  KqFrontFixture *t = *state;
  submit_via_leader (t, true);
  assert_int_equal (kq_front_fake.replies, 0);
  kq_front_handler_answer (t->handler, kq_front_fake.leader_call, KQ_ACCEPT_DONE,
                           kq_time_now ());
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (kq_front_fake.replies, 1);
}

static void
test_no_leader_refuses (void **state)
{
  submit_via_leader (*state, false);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_REFUSED);
}

static void
test_leader_without_a_write_refuses (void **state)
{
  static const int64_t results[] = { KQ_ACCEPT_REFUSED, -1 };
  KqFrontFixture *t = *state;
  for (int i = 0; i < 2; i++)
    {
      submit_via_leader (t, true);
      kq_front_handler_answer (t->handler, kq_front_fake.leader_call, results[i],
                               kq_time_now ());
      assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_REFUSED);
      assert_true (kq_front_fake.reply.retry_ms > 0);
    }
}

/* Guards against a job that runs although it was reported as refused: the leader's write
 * was carried out, but its reply was lost. */
static void
test_leader_without_a_reply_leaves_the_outcome_unknown (void **state)
{
  KqFrontFixture *t = *state;
  submit_via_leader (t, true);
  kq_front_fixture_run_for (t, 1.5);
  assert_int_equal (kq_front_fake.replies, 1);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_UNKNOWN);
  submit_via_leader (t, true);
  kq_front_handler_answer (t->handler, kq_front_fake.leader_call, KQ_ACCEPT_UNKNOWN,
                           kq_time_now ());
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_UNKNOWN);
}

/* Guards against a reply after the client's deadline: the client would not learn what
 * became of its job. */
static void
test_no_time_for_the_leader_refuses_at_once (void **state)
{
  kq_front_fake.has_leader = kq_front_fake.leader_reaches_store = true;
  kq_front_fixture_submit (*state, KQ_REACH_DOWN, 200);
  assert_int_equal (kq_front_fake.replies, 1);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_REFUSED);
  assert_int_equal (kq_front_fake.leader_call, 0);
}

/* Guards against refusing clients of a node that the store turns away, before the node
 * has judged the store to be down. */
static void
test_leader_writes_a_job_that_the_store_refuses (void **state)
{
  KqFrontFixture *t = *state;
  kq_front_fake.has_leader = kq_front_fake.leader_reaches_store = true;
  submit (t, KQ_REACH_UP);
  kq_front_fixture_answer (KQ_KV_REFUSED);
  assert_int_equal (kq_front_fake.replies, 0);
  assert_int_not_equal (kq_front_fake.leader_call, 0);
  kq_front_handler_answer (t->handler, kq_front_fake.leader_call, KQ_ACCEPT_DONE,
                           kq_time_now ());
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  kq_front_fake.leader_reaches_store = false;
  submit (t, KQ_REACH_UP);
  kq_front_fixture_answer (KQ_KV_REFUSED);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_REFUSED);
  assert_int_equal (kq_front_fake.replies, 2);
}

/* Guards against a reply with unknown outcome, or one that comes late, while the store
 * loses answers of writes that it carries out. */
static void
test_write_without_an_answer_is_read_back (void **state)
{
  KqFrontFixture *t = *state;
  submit (t, KQ_REACH_UP);
  assert_in_range (kq_front_fake.timeout_ms, 1, 500);
  kq_front_fixture_answer (KQ_KV_UNKNOWN);
  kq_front_fixture_run_for (t, 0.25);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_GET);
  assert_in_range (kq_front_fake.timeout_ms, 1, 300);
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  submit (t, KQ_REACH_UP);
  kq_front_fixture_answer (KQ_KV_UNKNOWN);
  kq_front_fixture_run_for (t, 0.25);
  kq_front_fixture_answer (KQ_KV_NOT_FOUND);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_TXN);
  kq_front_fixture_answer (KQ_KV_CONFLICT);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (kq_front_fake.replies, 2);
}

/* Guards against a reply with unknown outcome to clients of a node whose way to the store
 * is cut, and against a refusal of a job whose first write may still be carried out. */
static void
test_leader_repeats_a_write_without_an_answer (void **state)
{
  static const int64_t results[] = { KQ_ACCEPT_DONE, KQ_ACCEPT_REFUSED, -1 };
  static const KqReplyKind replies[]
      = { KQ_REPLY_DONE, KQ_REPLY_UNKNOWN, KQ_REPLY_UNKNOWN };
  KqFrontFixture *t = *state;
  kq_front_fake.has_leader = kq_front_fake.leader_reaches_store = true;
  for (int i = 0; i < 3; i++)
    {
      kq_front_fake.leader_call = 0;
      submit (t, KQ_REACH_UP);
      kq_front_fixture_answer (KQ_KV_UNKNOWN);
      kq_front_fixture_run_for (t, 0.25);
      kq_front_fixture_answer (KQ_KV_UNKNOWN);
      kq_front_fixture_run_for (t, 0.25);
      assert_int_not_equal (kq_front_fake.leader_call, 0);
      kq_front_handler_answer (t->handler, kq_front_fake.leader_call, results[i],
                               kq_time_now ());
      assert_int_equal (kq_front_fake.reply.kind, replies[i]);
      assert_int_equal (kq_front_fake.replies, i + 1);
    }
}

static void
ask_for_state (KqFrontFixture *t)
{
  KqFrontRequest r
      = { .kind = KQ_FRONT_READ, .path = KQ_STR ("/jobs/j1"), .deadline_ms = 3000 };
  kq_front_fake.store = KQ_REACH_UP;
  kq_front_handler_request (t->handler, NULL, &r, kq_time_now ());
}

/* Answers the read of a job, and that of its cancellation if the job is stored. */
static void
answer_reads_of_job (KqKvResult job)
{
  assert_string_equal (kq_front_fake.key, "kq/in/j/j1");
  kq_front_fixture_answer (job);
  if (job != KQ_KV_OK)
    return;
  assert_string_equal (kq_front_fake.key, "kq/in/x/j1");
  kq_front_fixture_answer (KQ_KV_NOT_FOUND);
}

/* Guards against a job that is accepted and said not to exist: the leader hasn't heard of
 * it yet, or there is no leader. Only the store knows that there is none. */
static void
test_job_that_no_leader_knows_is_read (void **state)
{
  static const KqKvResult found[] = { KQ_KV_OK, KQ_KV_NOT_FOUND };
  static const KqReplyKind replies[] = { KQ_REPLY_STATE, KQ_REPLY_NO_JOB };
  KqFrontFixture *t = *state;
  for (int i = 0; i < 2; i++)
    {
      kq_front_fake.has_leader = true;
      ask_for_state (t);
      kq_front_handler_answer (t->handler, kq_front_fake.state_call, KQ_JOB_UNKNOWN,
                               kq_time_now ());
      answer_reads_of_job (found[i]);
      assert_int_equal (kq_front_fake.reply.kind, replies[i]);
      assert_int_equal (kq_front_fake.replies, 2 * i + 1);

      kq_front_fake.has_leader = false;
      ask_for_state (t);
      assert_string_equal (kq_front_fake.key, "kq/p/j1");
      kq_front_fixture_answer (KQ_KV_NOT_FOUND);
      answer_reads_of_job (found[i]);
      assert_int_equal (kq_front_fake.reply.kind, replies[i]);
      assert_int_equal (kq_front_fake.replies, 2 * i + 2);
    }
}

/* Guards against hundreds of calls a second to a store in trouble: a read that it refuses
 * at once is repeated at once. */
static void
test_refused_read_is_repeated_after_a_pause (void **state)
{
  KqFrontFixture *t = *state;
  ask_for_state (t);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_GET);
  kq_front_fixture_answer (KQ_KV_REFUSED);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_NO_CALL);
  kq_front_fixture_run_for (t, 0.25);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_GET);
  assert_string_equal (kq_front_fake.key, "kq/p/j1");
  kq_front_fixture_answer (KQ_KV_NOT_FOUND);
  assert_string_equal (kq_front_fake.key, "kq/in/j/j1");
  kq_front_fixture_answer (KQ_KV_OK);
  assert_string_equal (kq_front_fake.key, "kq/in/x/j1");
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_STATE);
  assert_int_equal (kq_front_fake.reply.state, KQ_JOB_CANCELLED);
}

/* Guards against a job that runs although it was reported as refused: its write may still
 * be carried out, and no time is left to have the leader write it. */
static void
test_late_read_back_leaves_the_outcome_unknown (void **state)
{
  KqFrontFixture *t = *state;
  kq_front_fake.has_leader = kq_front_fake.leader_reaches_store = true;
  kq_front_fixture_submit (t, KQ_REACH_UP, 600);
  kq_front_fixture_answer (KQ_KV_UNKNOWN);
  kq_front_fixture_run_for (t, 0.25);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_GET);
  kq_front_fixture_run_for (t, 0.2);
  kq_front_fixture_answer (KQ_KV_NOT_FOUND);
  assert_int_equal (kq_front_fake.replies, 1);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_UNKNOWN);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_front_fixture_set_up,                        \
                                   kq_front_fixture_tear_down)

/* Guards against a refusal of a job that has been accepted before: while the leader's
 * memory is taken the job's key is read first. */
static void
test_job_without_room_is_refused_unless_stored (void **state)
{
  KqFrontFixture *t = *state;
  kq_front_fake.jobs_free = 1000;
  kq_front_fixture_submit (t, KQ_REACH_UP, 3000);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_GET);
  kq_front_fixture_answer (KQ_KV_NOT_FOUND);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_REFUSED);
  kq_front_fixture_submit (t, KQ_REACH_UP, 3000);
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  kq_front_fixture_submit (t, KQ_REACH_UP, 400);
  kq_front_fixture_run_for (t, 0.2);
  kq_front_fixture_answer (KQ_KV_UNKNOWN);
  kq_front_fixture_run_for (t, 0.2);
  assert_int_equal (kq_front_fake.replies, 3);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_UNKNOWN);
}

/* Guards against many jobs that are accepted by the same word of the leader on its
 * memory, before it has heard of any of them. */
static void
test_jobs_accepted_since_the_leaders_word_count (void **state)
{
  KqFrontFixture *t = *state;
  int accepted = 0;
  kq_front_fake.jobs_free = 20000;
  kq_front_fake.jobs_free_as_of = 1;
  for (int i = 0; i < 50; i++)
    {
      kq_front_fixture_submit (t, KQ_REACH_UP, 3000);
      if (kq_front_fake.call == KQ_FAKE_TXN)
        accepted++;
      kq_front_fixture_answer (kq_front_fake.call == KQ_FAKE_TXN ? KQ_KV_OK
                                                                 : KQ_KV_NOT_FOUND);
    }
  assert_in_range (accepted, 1, 20);
  kq_front_fake.jobs_free_as_of = 2;
  kq_front_fixture_submit (t, KQ_REACH_UP, 3000);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_TXN);
  kq_front_fixture_answer (KQ_KV_OK);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { FIXTURE_TEST (test_suspect_store_is_read_before_a_write),
          FIXTURE_TEST (test_suspect_store_that_answers_is_written_to),
          FIXTURE_TEST (test_job_that_is_there_is_accepted),
          FIXTURE_TEST (test_store_that_is_up_is_not_read_first),
          FIXTURE_TEST (test_store_that_is_down_is_not_called),
          FIXTURE_TEST (test_leader_writes_for_a_node_without_the_store),
          FIXTURE_TEST (test_no_leader_refuses),
          FIXTURE_TEST (test_leader_without_a_write_refuses),
          FIXTURE_TEST (test_leader_without_a_reply_leaves_the_outcome_unknown),
          FIXTURE_TEST (test_no_time_for_the_leader_refuses_at_once),
          FIXTURE_TEST (test_leader_writes_a_job_that_the_store_refuses),
          FIXTURE_TEST (test_write_without_an_answer_is_read_back),
          FIXTURE_TEST (test_leader_repeats_a_write_without_an_answer),
          FIXTURE_TEST (test_late_read_back_leaves_the_outcome_unknown),
          FIXTURE_TEST (test_job_without_room_is_refused_unless_stored),
          FIXTURE_TEST (test_jobs_accepted_since_the_leaders_word_count),
          FIXTURE_TEST (test_job_that_no_leader_knows_is_read),
          FIXTURE_TEST (test_refused_read_is_repeated_after_a_pause) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
