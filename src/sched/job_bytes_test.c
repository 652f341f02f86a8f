#include "bench/sched_fixture.h"
#include "sched/job_bytes.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define MOST ((size_t)4 * 1024 * 1024)

static KqSpec
timed_spec (KqStr id, KqStep *step, int32_t times)
{
  *step = kq_sched_fixture_step ();
  step->label = KQ_STR ("none");
  return (KqSpec){ .id = id,
                   .queue = KQ_STR ("q"),
                   .service = KQ_STR ("desk"),
                   .text = KQ_STR ("text"),
                   .attempts = 3,
                   .stretch_percent = 150,
                   .slo_ms = 500,
                   .first_ms = 1,
                   .interval_ms = 1,
                   .n_occurrences = times,
                   .steps = step,
                   .n_steps = 1 };
}

static void
add (KqSchedFixture *d, KqStr id, int32_t times)
{
  KqStep step;
  KqSpec spec = timed_spec (id, &step, times);
  KqBuf b = { 0 };
  kq_spec_pack (&spec, &b);
  assert_true (kq_sched_add_job (d->sched, kq_buf_str (&b), 10, d->now));
  kq_buf_free (&b);
}

static int64_t
taken (const KqSchedFixture *d)
{
  return (int64_t)MOST - kq_sched_job_bytes_free (d->sched);
}

/* Guards against a leader that runs out of memory by one short job whose 100,000 times
 * have all come, and against one that leaves no room for the jobs behind it. */
static void
test_due_times_wait_for_memory (void **state)
{
  KqSchedFixture *d = *state;
  d->job_bytes_max = MOST;
  kq_sched_fixture_new_leader (d);
  kq_sched_loaded (d->sched, d->now);
  add (d, KQ_STR ("aa"), 100000);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_in_range (taken (d), 1000, MOST / 16);
  for (int i = 0; i < 40; i++)
    {
      char id[8] = { 'b', (char)('a' + i / 20), (char)('a' + i % 20), '\0' };
      add (d, kq_str (id), 100000);
    }
  kq_sched_fixture_run (d, KQ_SEC);
  assert_in_range (taken (d), MOST / 4, MOST / 2 + MOST / 16);
}

/* Guards against sums that drift: a cancelled job's occurrences take nothing more. */
static void
test_ended_job_gives_its_memory_back (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step;
  KqSpec spec = timed_spec (KQ_STR ("aa"), &step, 2);
  KqBuf b = { 0 };
  kq_spec_pack (&spec, &b);
  d->job_bytes_max = MOST;
  kq_sched_fixture_new_leader (d);
  kq_sched_loaded (d->sched, d->now);
  assert_int_equal (taken (d), 0);
  add (d, KQ_STR ("aa"), 2);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_true (taken (d) > (int64_t)kq_job_bytes (&spec, b.len));
  kq_sched_cancel (d->sched, KQ_STR ("aa"), d->now);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_in_range (taken (d), 1, kq_job_bytes (&spec, b.len) - 1);
  kq_buf_free (&b);
}

/* Guards against jobs of many tasks that crowd out small ones: the largest are refused
 * first. */
static void
test_large_jobs_are_refused_first (void **state)
{
  (void)state;
  assert_false (kq_job_bytes_refuse (1000000, -1));
  assert_false (kq_job_bytes_refuse (100000, 1000000));
  assert_true (kq_job_bytes_refuse (200000, 1000000));
  assert_false (kq_job_bytes_refuse (1000, 10000));
  assert_true (kq_job_bytes_refuse (1000, 0));
}

#define FIXTURE_TEST(f)                                                                  \
  cmocka_unit_test_setup_teardown (f, kq_sched_fixture_set_up, kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_due_times_wait_for_memory),
    FIXTURE_TEST (test_ended_job_gives_its_memory_back),
    cmocka_unit_test (test_large_jobs_are_refused_first),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
