#include "bench/front_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
cancel (KqFrontFixture *t, const char *path)
{
  KqFrontRequest r
      = { .kind = KQ_FRONT_CANCEL, .path = kq_str (path), .deadline_ms = 3000 };
  kq_front_fake.store = KQ_REACH_UP;
  kq_front_handler_request (t->handler, NULL, &r, kq_time_now ());
}

/* Guards against a job that starts after its cancellation was acknowledged: its
 * submission got no answer, and the store carries it out later. */
static void
test_job_that_is_not_stored_is_cancelled (void **state)
{
  KqFrontFixture *t = *state;
  cancel (t, "/jobs/j1");
  assert_string_equal (kq_front_fake.key, "kq/in/j/j1");
  kq_front_fixture_answer (KQ_KV_NOT_FOUND);
  assert_int_equal (kq_front_fake.replies, 0);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_TXN);
  assert_string_equal (kq_front_fake.check_key, "kq/in/j/j1");
  assert_int_equal (kq_front_fake.check_revision, 0);
  assert_string_equal (kq_front_fake.put_key, "kq/in/x/j1");
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_NO_JOB);
  assert_int_equal (kq_front_fake.cancels_told, 1);
}

/* Guards against an acknowledged cancellation that isn't stored: the job was stored
 * between the read and the write, or the write got no answer. */
static void
test_cancellation_that_is_not_stored_is_not_acknowledged (void **state)
{
  static const KqKvResult results[] = { KQ_KV_CONFLICT, KQ_KV_UNKNOWN, KQ_KV_REFUSED };
  KqFrontFixture *t = *state;
  for (int i = 0; i < 3; i++)
    {
      cancel (t, "/jobs/j1");
      kq_front_fixture_answer (KQ_KV_NOT_FOUND);
      kq_front_fixture_answer (results[i]);
      assert_int_equal (kq_front_fake.replies, i);
      kq_front_fixture_run_for (t, 0.25);
      assert_int_equal (kq_front_fake.call, KQ_FAKE_GET);
      kq_front_fixture_answer (KQ_KV_NOT_FOUND);
      kq_front_fixture_answer (KQ_KV_OK);
      assert_int_equal (kq_front_fake.replies, i + 1);
      assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_NO_JOB);
    }
}

/* Guards against keys in the store for ids that no job can have. */
static void
test_impossible_job_is_not_cancelled (void **state)
{
  static const char *const paths[]
      = { "/jobs/", "/jobs/12345678901234567890123456789012345678901" };
  KqFrontFixture *t = *state;
  for (int i = 0; i < 2; i++)
    {
      cancel (t, paths[i]);
      assert_int_equal (kq_front_fake.call, KQ_FAKE_NO_CALL);
      assert_int_equal (kq_front_fake.replies, i + 1);
      assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_NO_JOB);
    }
}

static void
answer_conflict_with_cancel (uint64_t revision)
{
  KqKvItem cancel
      = { .key = KQ_STR ("kq/in/x/j1"), .value = KQ_STR ("1"), .revision = revision };
  KqKvReply r = { .result = KQ_KV_CONFLICT, .items = &cancel, .n_items = revision != 0 };
  kq_front_fake.cb.done (kq_front_fake.cb.arg, &r, kq_time_now ());
}

/* Guards against a cancelled job that starts as it is submitted again: it is stored
 * beside its cancellation, and the leader hears of it behind that. */
static void
test_second_submission_stays_cancelled (void **state)
{
  kq_front_fixture_submit (*state, KQ_REACH_UP, 3000);
  assert_string_equal (kq_front_fake.check_key, "kq/in/x/j1");
  assert_int_equal (kq_front_fake.check_revision, 0);
  answer_conflict_with_cancel (5);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_TXN);
  assert_string_equal (kq_front_fake.put_key, "kq/in/j/j1");
  assert_int_equal (kq_front_fake.check_revision, 5);
  answer_conflict_with_cancel (6); /* cancelled again meanwhile */
  assert_int_equal (kq_front_fake.check_revision, 6);
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (kq_front_fake.jobs_told, 0);
  assert_int_equal (kq_front_fake.replies, 1);
}

/* Guards against a submission that counts as accepted but isn't stored: the cancellation
 * that it met was deleted meanwhile. */
static void
test_submission_goes_on_when_its_cancellation_is_deleted (void **state)
{
  kq_front_fixture_submit (*state, KQ_REACH_UP, 3000);
  answer_conflict_with_cancel (5);
  answer_conflict_with_cancel (0);
  assert_int_equal (kq_front_fake.replies, 0);
  assert_int_equal (kq_front_fake.call, KQ_FAKE_TXN);
  assert_int_equal (kq_front_fake.check_revision, 0);
  kq_front_fixture_answer (KQ_KV_OK);
  assert_int_equal (kq_front_fake.reply.kind, KQ_REPLY_DONE);
  assert_int_equal (kq_front_fake.jobs_told, 1);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_front_fixture_set_up,                        \
                                   kq_front_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { FIXTURE_TEST (test_job_that_is_not_stored_is_cancelled),
          FIXTURE_TEST (test_cancellation_that_is_not_stored_is_not_acknowledged),
          FIXTURE_TEST (test_impossible_job_is_not_cancelled),
          FIXTURE_TEST (test_second_submission_stays_cancelled),
          FIXTURE_TEST (test_submission_goes_on_when_its_cancellation_is_deleted) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
