#include "steps/queues.h"
#include "steps/spec.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static KqSpec
two_steps (KqStep steps[2], int32_t *after)
{
  memset (steps, 0, 2 * sizeof *steps);
  steps[0] = (KqStep){
    .width = 3, .cpu_milli = 500, .estimate_ms = 200, .max_unavailable = -1
  };
  steps[1] = (KqStep){ .width = 2,
                       .estimate_ms = 300,
                       .after = after,
                       .n_after = 1,
                       .checkpoints = true,
                       .target_ms = 18,
                       .image = KQ_STR ("img"),
                       .max_unavailable = 1 };
  return (KqSpec){ .id = KQ_STR ("5c0e7a21d94b36f8"),
                   .queue = KQ_STR ("q"),
                   .service = KQ_STR ("desk"),
                   .text = KQ_STR ("text"),
                   .attempts = 2,
                   .stretch_percent = 150,
                   .slo_ms = 500,
                   .steps = steps,
                   .n_steps = 2 };
}

static void
test_stored_form_round_trip (void **state)
{
  KqStep steps[2];
  int32_t after = 0;
  KqSpec s = two_steps (steps, &after);
  KqSpec o;
  KqBuf b = { 0 };
  (void)state;
  kq_spec_pack (&s, &b);
  assert_true (kq_spec_unpack (kq_buf_str (&b), &o));
  assert_true (kq_str_eq (o.id, s.id));
  assert_int_equal (o.n_steps, 2);
  assert_int_equal (o.steps[1].after[0], 0);
  assert_int_equal (o.steps[1].max_unavailable, 1);
  assert_int_equal (o.steps[1].target_ms, 18);
  assert_true (o.steps[1].checkpoints);
  assert_true (kq_str_eq (o.steps[1].image, KQ_STR ("img")));
  assert_int_equal (kq_spec_critical_path_ms (&o), 500);
  assert_int_equal (kq_spec_objective_ms (&o), 500 * 150 / 100 + 500);
  for (size_t n = 0; n < b.len; n++)
    {
      KqSpec cut;
      assert_false (kq_spec_unpack (kq_str_n (b.ptr, n), &cut));
    }
  kq_spec_clear (&o);
  kq_buf_free (&b);
}

static void
test_bad_jobs_are_refused (void **state)
{
  KqStep steps[2];
  int32_t after = 1; /* on itself */
  KqSpec s = two_steps (steps, &after);
  const char *why;
  (void)state;
  assert_int_equal (kq_spec_check (&s, &why), KQ_ERR_JOB_BAD);
  assert_non_null (why);
  after = 0;
  assert_int_equal (kq_spec_check (&s, &why), KQ_OK);
  steps[0].width = 0;
  assert_int_equal (kq_spec_check (&s, &why), KQ_ERR_JOB_BAD);
  steps[0].width = KQ_SPEC_TASKS_MAX;
  assert_int_equal (kq_spec_check (&s, &why), KQ_ERR_JOB_BAD);
  steps[0].width = 1;
  steps[0].mem_mb = -1;
  assert_int_equal (kq_spec_check (&s, &why), KQ_ERR_JOB_BAD);
  steps[0].mem_mb = 0;
  s.n_steps = 0;
  assert_int_equal (kq_spec_check (&s, &why), KQ_ERR_JOB_BAD);
}

static void
test_longest_prefix_selects_the_queue (void **state)
{
  KqQueue queues[]
      = { { .name = KQ_STR ("a"), .host = KQ_STR ("h"), .prefix = KQ_STR ("/p/") },
          { .name = KQ_STR ("b"), .host = KQ_STR ("h"), .prefix = KQ_STR ("/p/q/") },
          { .name = KQ_STR ("c"), .host = KQ_STR ("g"), .prefix = KQ_STR ("/p/q/r") } };
  KqQueueTable t = { .queues = queues, .n_queues = 3 };
  (void)state;
  assert_ptr_equal (kq_queue_find (&t, KQ_STR ("h"), KQ_STR ("/p/q/r1")), &queues[1]);
  assert_ptr_equal (kq_queue_find (&t, KQ_STR ("h:80"), KQ_STR ("/p/x")), &queues[0]);
  assert_null (kq_queue_find (&t, KQ_STR ("other"), KQ_STR ("/p/x")));
  assert_null (kq_queue_find (&t, KQ_STR ("h"), KQ_STR ("/x")));
  assert_ptr_equal (kq_queue_by_name (&t, KQ_STR ("c")), &queues[2]);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_stored_form_round_trip),
          cmocka_unit_test (test_bad_jobs_are_refused),
          cmocka_unit_test (test_longest_prefix_selects_the_queue) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
