#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* A job whose tasks need a whole runner each, of which there are two. */
static void
submit (KqSchedFixture *d, const char *id, int32_t width, bool filling)
{
  KqStep step = kq_sched_fixture_step ();
  step.cpu_milli = 4000;
  step.estimate_ms = 1000;
  step.width = width;
  step.filling = filling;
  kq_sched_fixture_submit (d, id, step, false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
}

static void
assert_explained (KqSchedFixture *d, const char *id, const char *expected)
{
  KqBuf text = { 0 };
  kq_sched_explain (d->sched, kq_str (id), d->now, &text);
  if (strstr (text.ptr, expected) == NULL)
    fail_msg ("\"%s\" is not in: %s", expected, text.ptr);
  kq_buf_free (&text);
}

/* Guards against a job whose operators can't see what is before it, and against tasks
 * that run already, and those of another kind, counted as before it. */
static void
test_jobs_and_work_before_a_job (void **state)
{
  KqSchedFixture *d = *state;
  submit (d, "aa", 4, false);
  assert_int_equal (d->start_orders, 2);
  submit (d, "bb", 1, false);
  submit (d, "ff", 1, true);
  submit (d, "cc", 1, false);
  assert_int_equal (d->start_orders, 2);
  assert_explained (d, "aa", "among reserved tasks of ");
  assert_explained (d, "aa", "before it 0 jobs with 0.0 core s");
  assert_explained (d, "bb", "before it 1 jobs with 8.0 core s");
  assert_explained (d, "cc", "before it 2 jobs with 12.0 core s");
  assert_explained (d, "ff", "before it 0 jobs with 0.0 core s");
  kq_sched_cancel (d->sched, KQ_STR ("bb"), d->now);
  kq_sched_fixture_run (d, 600 * KQ_MS); /* a pass follows by then */
  assert_explained (d, "cc", "before it 1 jobs with 8.0 core s");
}

/* Guards against a place that is told of a job which no pass has seen yet. */
static void
test_no_place_before_the_first_pass (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  kq_sched_fixture_submit (d, "aa", step, false);
  assert_explained (d, "aa", "no place in the order yet");
}

/* Guards against an explanation that takes time and text without a bound: of a job with
 * many steps while many domains are cordoned. */
static void
test_explanation_is_bounded (void **state)
{
  static KqStep steps[KQ_SPEC_STEPS_MAX];
  KqSchedFixture *d = *state;
  KqSpec spec = { .id = KQ_STR ("aa"),
                  .queue = KQ_STR ("q"),
                  .service = KQ_STR ("desk"),
                  .attempts = 3,
                  .stretch_percent = 150,
                  .steps = steps,
                  .n_steps = KQ_SPEC_STEPS_MAX };
  KqBuf stored = { 0 };
  KqBuf text = { 0 };
  for (int i = 0; i < KQ_SPEC_STEPS_MAX; i++)
    steps[i] = kq_sched_fixture_step ();
  kq_spec_pack (&spec, &stored);
  assert_true (kq_sched_add_job (d->sched, kq_buf_str (&stored), 5, d->now));
  for (int i = 0; i < 1000; i++)
    {
      char domain[KQ_NAME_MAX + 1];
      snprintf (domain, sizeof domain, "%060d", i);
      kq_cordons_add (d->cordons, kq_str (domain), 1, d->now);
    }
  kq_sched_fixture_run (d, 50 * KQ_MS);
  kq_sched_explain (d->sched, KQ_STR ("aa"), d->now, &text);
  assert_in_range (text.len, 1000, KQ_EXPLAIN_BYTES_MAX + 300);
  assert_non_null (strstr (text.ptr, "and 984 further cordons\n"));
  assert_non_null (strstr (text.ptr, "step 15: "));
  assert_non_null (strstr (text.ptr, "further steps are left out\n"));
  kq_buf_free (&text);
  kq_buf_free (&stored);
}

/* Guards against cordons that are told as none while they haven't been read. */
static void
test_cordons_that_are_not_read_yet (void **state)
{
  KqSchedFixture *d = *state;
  KqBuf text = { 0 };
  kq_sched_explain_cordons (d->sched, d->now, &text);
  assert_string_equal (text.ptr, "no failure domain is cordoned\n");
  kq_buf_clear (&text);
  d->cordons->complete = false;
  kq_sched_explain_cordons (d->sched, d->now, &text);
  assert_non_null (strstr (text.ptr, "have not been read yet"));
  kq_buf_free (&text);
}

#define TEST(name)                                                                       \
  cmocka_unit_test_setup_teardown (name, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_jobs_and_work_before_a_job),
          TEST (test_no_place_before_the_first_pass), TEST (test_explanation_is_bounded),
          TEST (test_cordons_that_are_not_read_yet) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
