#include "bench/sched_rig.h"
#include "sched/state.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

#define LARGE_JOBS 6

/* Guards against large tasks that never start: lasting tasks of 3.2 cores wait for more
 * room than there is, tasks of 1.9 cores come faster than the rest of the room serves
 * them, and the jobs of one task of 5 cores are late after a second. Without the decision
 * none of these is done, and as many tasks start in all. */
static void
test_late_large_tasks_start_beside_smaller_and_lasting_ones (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (20, (KqRoom){ 8000, 64000, 0 }, 1);
  KqStep serves = kq_sched_rig_step (40, 3200, 1000);
  KqStep brief = kq_sched_rig_step (6, 1900, 1000);
  KqStep large = kq_sched_rig_step (1, 5000, 400);
  char id[24];
  int n = 0;
  (void)state;
  serves.lasting = true;
  r->sched->config.features.large_task_room = true;
  kq_sched_rig_submit (r, "serves", &serves, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, 2 * KQ_SEC);
  for (int i = 0; i < 80; i++)
    {
      snprintf (id, sizeof id, "brief%d", i);
      kq_sched_rig_submit (r, id, &brief, 1, 3, (700 + i * 137 % 600) * KQ_MS, -1);
      snprintf (id, sizeof id, "large%d", n);
      if (i % 10 == 5 && n < LARGE_JOBS)
        {
          kq_sched_rig_submit (r, id, &large, 1, 3, 400 * KQ_MS, -1);
          n++;
        }
      kq_sched_rig_run (r, 250 * KQ_MS);
    }
  for (int i = 0; i < LARGE_JOBS; i++)
    {
      snprintf (id, sizeof id, "large%d", i);
      assert_int_equal (kq_sched_rig_state (r, id), KQ_JOB_COMPLETED);
    }
  assert_true (r->starts >= 400); /* 413 without the decision */
  assert_int_equal (kq_sched_rig_running (r, "serves"), 30);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (
      test_late_large_tasks_start_beside_smaller_and_lasting_ones) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
