#include "base/log.h"
#include "bench/sched_day.h"
#include "bench/sched_idle.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Just below the bound of sched_idle.h, and from there past it by some checks. */
#define SHORTER_THAN_BOUND (2900 * KQ_MS)
#define PAST_BOUND (400 * KQ_MS)

static void
run_with_checks (KqSchedRig *r, KqSchedIdle *c, KqTime span)
{
  for (KqTime end = r->now + span; r->now < end;)
    {
      kq_sched_rig_run (r, 100 * KQ_MS);
      kq_sched_idle_check (c, r, true);
    }
}

/* Guards against a false breach: the tasks of a job fail within 60 ms on the only runner
 * with their label, which is suspect for 2 s after that. No check falls into the second
 * run, and two waits of 2 s counted as one of over 3 s. */
static void
test_run_between_two_checks_ends_a_wait (void **state)
{
  char why[200] = "";
  int broken;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  broken = kq_sched_day (31002720, 4, 0, why, sizeof why);
  assert_string_equal (why, "");
  assert_int_equal (broken, 0);
}

/* Guards against a check that finds nothing: a job whose first run has failed between two
 * checks gets no further run, as the runners refuse each start. */
static void
test_wait_after_such_a_run_is_found (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 4000, 16000, 0 }, 1);
  KqSchedIdle *c = kq_sched_idle_new ();
  KqStep fails = kq_sched_rig_step (1, 500, 300);
  (void)state;
  kq_sched_rig_submit (r, "fails", &fails, 1, 4, 50 * KQ_MS, KQ_SCHED_RIG_ALL_FAIL);
  while (r->starts == 0)
    kq_sched_rig_run (r, 10 * KQ_MS);
  for (int i = 0; i < 2; i++)
    r->runners[i].unhealthy_until = KQ_TIME_NEVER;
  run_with_checks (r, c, SHORTER_THAN_BOUND);
  assert_int_equal (r->starts, 1);
  assert_int_equal (r->breaches, 0);
  run_with_checks (r, c, PAST_BOUND);
  assert_int_equal (r->breaches, 1);
  assert_non_null (strstr (r->first_breach, "waits beside free room"));
  r->breaches = 0; /* kq_sched_rig_free prints them */
  kq_sched_idle_free (c);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_run_between_two_checks_ends_a_wait),
          cmocka_unit_test (test_wait_after_such_a_run_is_found) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
