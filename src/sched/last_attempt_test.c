#include "bench/sched_rig.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

#define JOBS 5

/* Guards against jobs that fail though a single runner is faulty: under full load it
 * alone has room, as it fails its tasks within moments, so that a task that has failed
 * there gets its last attempt there, too. */
static void
test_last_attempt_waits_for_a_reliable_runner (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (3, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep whole = kq_sched_rig_step (2, 4000, 900);
  char id[16];
  (void)state;
  kq_sched_rig_submit (r, "busy", &whole, 1, 3, 900 * KQ_MS, -1);
  kq_sched_rig_run (r, 200 * KQ_MS);
  for (int i = 0; i < 3; i++)
    r->runners[i].fails_all = r->runners[i].runs->len == 0;
  whole.width = 1;
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "j%d", i);
      kq_sched_rig_submit (r, id, &whole, 1, 2, 300 * KQ_MS, -1);
      kq_sched_rig_run (r, 100 * KQ_MS);
    }
  kq_sched_rig_run (r, 8 * KQ_SEC);
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "j%d", i);
      assert_int_equal (kq_sched_rig_state (r, id), KQ_JOB_COMPLETED);
    }
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* Guards against a task that waits for ever: no runner is reliable. */
static void
test_last_attempt_is_made_without_a_reliable_runner (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep step = kq_sched_rig_step (4, 1000, 300);
  (void)state;
  r->runners[0].fails_all = r->runners[1].fails_all = true;
  kq_sched_rig_submit (r, "j", &step, 1, 2, 300 * KQ_MS, -1);
  kq_sched_rig_run (r, 6 * KQ_SEC);
  assert_int_equal (kq_sched_rig_state (r, "j"), KQ_JOB_FAILED);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_last_attempt_waits_for_a_reliable_runner),
          cmocka_unit_test (test_last_attempt_is_made_without_a_reliable_runner) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
