#include "bench/sched_rig.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>

#include <cmocka.h>

static KqStep
lasting_step (int32_t width, int32_t cpu_milli)
{
  KqStep s = kq_sched_rig_step (width, cpu_milli, 400);
  s.lasting = true;
  return s;
}

/* Lasting tasks come first and leave on each runner a remainder smaller than themselves;
 * other tasks larger than that would never find room, though they ask for a few percent
 * of it. Some runners must stay free of lasting tasks, and the others be fully used. */
static void
test_large_short_tasks_find_room_beside_lasting (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (10, (KqRoom){ 32000, 128000, 0 }, 1);
  KqStep serves = lasting_step (10, 6400);
  KqStep brief = kq_sched_rig_step (1, 12000, 800);
  int running = 0;
  int done = 0;
  char id[24];
  (void)state;
  for (int i = 0; i < 6; i++)
    {
      snprintf (id, sizeof id, "serves%d", i);
      kq_sched_rig_submit (r, id, &serves, 1, 3, 600 * KQ_SEC, -1);
    }
  kq_sched_rig_run (r, 2 * KQ_SEC);
  for (int i = 0; i < 10; i++)
    {
      snprintf (id, sizeof id, "brief%d", i);
      kq_sched_rig_submit (r, id, &brief, 1, 3, 800 * KQ_MS, -1);
      kq_sched_rig_run (r, 400 * KQ_MS);
    }
  kq_sched_rig_run (r, 2 * KQ_SEC);
  for (int i = 0; i < 10; i++)
    {
      snprintf (id, sizeof id, "brief%d", i);
      done += kq_sched_rig_state (r, id) == KQ_JOB_COMPLETED;
    }
  for (int i = 0; i < 6; i++)
    {
      snprintf (id, sizeof id, "serves%d", i);
      running += kq_sched_rig_running (r, id);
    }
  assert_int_equal (done, 10);
  assert_in_range (running, 35, 40); /* 7 of 10 runners at least */
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* A lasting task loses its runner during a change of leader. Short jobs in time take each
 * room that becomes free, unless the new leader knows that the task has run before, which
 * is stored with the job's progress. */
static void
test_lasting_task_lost_in_a_change_of_leader (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (3, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep serves = lasting_step (2, 3000);
  KqStep brief = kq_sched_rig_step (1, 3000, 500);
  int at = 0;
  char id[24];
  (void)state;
  kq_sched_rig_submit (r, "aa", &serves, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 2);
  while (r->runners[at].runs->len == 0)
    at++;
  r->runners[at].cut_until = r->now + 600 * KQ_SEC;
  kq_sched_rig_new_leader (r);
  for (int i = 0; i < 80; i++)
    {
      snprintf (id, sizeof id, "brief%d", i);
      kq_sched_rig_submit (r, id, &brief, 1, 3, 500 * KQ_MS, -1);
      kq_sched_rig_run (r, 250 * KQ_MS);
    }
  assert_int_equal (kq_sched_rig_running (r, "aa"), 2);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* A job without any run must get one, even beside filling tasks of other jobs on all
 * runners, as hardly any room is reserved. */
static void
test_job_without_a_run_gets_one_beside_filling_tasks (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 16000, 64000, 0 }, 1);
  KqStep fills = kq_sched_rig_step (30, 2000, 4000);
  (void)state;
  fills.filling = true;
  kq_sched_rig_submit (r, "first", &fills, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, KQ_SEC);
  assert_in_range (kq_sched_rig_running (r, "first"), 14, 20);
  fills.width = 3;
  kq_sched_rig_submit (r, "second", &fills, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, 3 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "second"), 1);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* Guards against a fleet left unused: the tasks of a job that can't succeed fail on all
 * runners, all of which become suspect, and another job waits for as long. */
static void
test_job_runs_though_all_runners_are_suspect (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep fails = kq_sched_rig_step (8, 1000, 100);
  KqStep brief = kq_sched_rig_step (1, 500, 20000);
  (void)state;
  kq_sched_rig_submit (r, "fails", &fails, 1, 4, 100 * KQ_MS, KQ_SCHED_RIG_ALL_FAIL);
  kq_sched_rig_run (r, 300 * KQ_MS);
  assert_int_equal (kq_sched_rig_running (r, "fails"), 0);
  kq_sched_rig_submit (r, "brief", &brief, 1, 3, 20 * KQ_SEC, -1);
  kq_sched_rig_run (r, 3 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "brief"), 1);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* Guards against a filling task that lasts and never runs again after it has lost its
 * runner: filling tasks of other jobs use all that is left of the cpu, while hardly any
 * of it is reserved. */
static void
test_lost_lasting_filling_task_runs_again (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 16000, 64000, 0 }, 1);
  KqStep lasts = lasting_step (4, 2000);
  KqStep fills = kq_sched_rig_step (60, 2000, 600000);
  (void)state;
  lasts.filling = fills.filling = true;
  kq_sched_rig_submit (r, "lasts", &lasts, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "lasts"), 4);
  kq_sched_rig_submit (r, "fills", &fills, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, KQ_SEC);
  kq_sched_rig_restart_runner (r, 0);
  kq_sched_rig_run (r, 6 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "lasts"), 4);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* Guards against a filling job that waits as long as hosts can't go down for maintenance:
 * what is reserved on the other hosts is over half of their cpu, but not of all cpu. */
static void
test_starved_job_runs_while_hosts_wait_for_maintenance (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (3, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep reserves = kq_sched_rig_step (1, 2500, 600000);
  KqStep fills = kq_sched_rig_step (1, 4000, 600000);
  (void)state;
  fills.filling = true;
  r->control_away_until = r->now + 600 * KQ_SEC;
  kq_sched_rig_run (r, 4 * KQ_SEC);
  assert_true (kq_sched_rig_request_wave (r, 6, 2, 9 * KQ_SEC));
  kq_sched_rig_run (r, KQ_SEC);
  kq_sched_rig_submit (r, "reserves", &reserves, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, KQ_SEC);
  assert_int_equal (r->runners[0].runs->len, 1);
  kq_sched_rig_submit (r, "fills", &fills, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, 3 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "fills"), 1);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* Guards against a job that waits as long as the control plane is away: all hosts are
 * empty and wait for it. */
static void
test_starved_job_runs_on_hosts_that_cannot_go_down (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 4000, 16000, 0 }, 1);
  KqStep brief = kq_sched_rig_step (1, 500, 20000);
  (void)state;
  r->control_away_until = r->now + 600 * KQ_SEC;
  kq_sched_rig_run (r, 4 * KQ_SEC);
  assert_true (kq_sched_rig_request_wave (r, 3, 2, 9 * KQ_SEC));
  kq_sched_rig_run (r, 3 * KQ_SEC);
  kq_sched_rig_submit (r, "brief", &brief, 1, 3, 20 * KQ_SEC, -1);
  kq_sched_rig_run (r, 3 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "brief"), 1);
  assert_int_equal (kq_sched_rig_free (r), 0);
}

/* Guards against a filling job that waits as long as serving tasks on all runners are
 * over their target by their own load: one of its tasks starts, and is held at pace 0. */
static void
test_starved_job_runs_beside_overloaded_serving_tasks (void **state)
{
  KqSchedRig *r = kq_sched_rig_new (2, (KqRoom){ 16000, 64000, 0 }, 1);
  KqStep serves = lasting_step (2, 4000);
  KqStep fills = kq_sched_rig_step (3, 2000, 600000);
  KqSchedRigJob *j;
  (void)state;
  r->models_load = true;
  serves.target_ms = 50;
  serves.per_runner_max = 1;
  serves.image = KQ_STR ("s");
  fills.filling = true;
  fills.image = KQ_STR ("f");
  kq_sched_rig_submit (r, "serves", &serves, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, 10 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "serves"), 2);
  j = g_hash_table_lookup (r->jobs, "serves");
  j->overloaded_until = r->now + 600 * KQ_SEC;
  kq_sched_rig_run (r, 5 * KQ_SEC);
  kq_sched_rig_submit (r, "fills", &fills, 1, 3, 600 * KQ_SEC, -1);
  kq_sched_rig_run (r, 3 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "fills"), 1);
  for (int i = 0; i < 2; i++)
    for (guint k = 0; k < r->runners[i].runs->len; k++)
      {
        const KqSchedRigRun *run = g_ptr_array_index (r->runners[i].runs, k);
        assert_int_equal (run->pace, run->task[0] == 'f' ? 0 : 100);
      }
  assert_int_equal (kq_sched_rig_free (r), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_large_short_tasks_find_room_beside_lasting),
          cmocka_unit_test (test_lasting_task_lost_in_a_change_of_leader),
          cmocka_unit_test (test_job_without_a_run_gets_one_beside_filling_tasks),
          cmocka_unit_test (test_job_runs_though_all_runners_are_suspect),
          cmocka_unit_test (test_lost_lasting_filling_task_runs_again),
          cmocka_unit_test (test_starved_job_runs_while_hosts_wait_for_maintenance),
          cmocka_unit_test (test_starved_job_runs_on_hosts_that_cannot_go_down),
          cmocka_unit_test (test_starved_job_runs_beside_overloaded_serving_tasks) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
