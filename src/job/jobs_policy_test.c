#include "../bench/job_rig.h"
#include "job/job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Tests the policies through the interface of KqJobs, with fake workers. */

#define CORE ((KqSize){ 1000, 1024, 0 })

static KqTaskKey
key (KqJobId id, uint32_t attempt)
{
  return (KqTaskKey){ ((KqJobId)1 << 48) | id, attempt };
}

static KqRig *
new_rig (size_t workers, size_t per_rack)
{
  KqRig *r = calloc (1, sizeof *r);
  KqRow row = kq_row_default (KQ_ROW_CLASS, KQ_STR ("tag-watch"));
  row.u.job_class.latency_critical = true;
  kq_rig_init (r, workers, (KqSize){ 4000, 8192, 0 }, per_rack, 1);
  kq_rig_set_row (r, &row);
  r->net_delay = 2 * KQ_MS;
  r->commit_delay = 20 * KQ_MS;
  kq_rig_run (r, KQ_SEC);
  return r;
}

static void
free_rig (KqRig *r)
{
  kq_jobs_account (r->jobs);
  kq_rig_clear (r);
  free (r);
}

static void
submit (KqRig *r, KqJobId id, const char *team, const char *class_name, KqPriority p)
{
  KqJobSpec s = kq_rig_spec (team, class_name, CORE);
  s.priority = p;
  kq_rig_submit (r, id, &s);
}

static void
fill (KqRig *r, KqJobId from, KqJobId to, const char *team)
{
  for (KqJobId id = from; id <= to; id++)
    submit (r, id, team, "route", KQ_PRIORITY_NORMAL);
  kq_rig_run (r, KQ_SEC);
}

/* Urgent jobs arrive one after another while every worker is full of batch tasks. Each
 * must start within 1.6 s in the room of an evicted task. Evicted tasks resume from their
 * checkpoints when there is room again, and none is evicted more often than the limit. */
static void
test_urgent_job_evicts (void **state)
{
  KqRig *r = new_rig (2, 2);
  (void)state;
  r->checkpoint_time = 800 * KQ_MS;
  fill (r, 1, 12, "plan");
  assert_int_equal (kq_jobs_account (r->jobs).running, 8);
  for (KqJobId id = 100; id < 140; id++)
    {
      KqFakeWorker *w;
      submit (r, id, "plan", "seal", KQ_PRIORITY_URGENT);
      kq_rig_run (r, 1600 * KQ_MS);
      w = kq_rig_worker_of (r, key (id, 1));
      if (w == NULL) /* allowed only if no task may be evicted any more */
        {
          assert_true (kq_jobs_account (r->jobs).evicted >= 24);
          break;
        }
      kq_fake_worker_end_task (w, key (id, 1), KQ_TASK_FINISHED);
      kq_rig_run (r, 8 * KQ_SEC);
    }
  assert_in_range (kq_jobs_account (r->jobs).evicted, 24, 36); /* 12 jobs, 3 times */
  for (KqJobId id = 1; id <= 12; id++)
    {
      kq_rig_call (r, KQ_JOB_GET, id);
      kq_rig_run (r, KQ_SEC);
      assert_true (kq_rig_answer_contains (r, "queued\"")
                   || kq_rig_answer_contains (r, "\"running\""));
      assert_false (kq_rig_answer_contains (r, "\"evictions\":4"));
    }
  free_rig (r);
}

/* One team's jobs fill the fleet when another team claims its guarantee. The other team
 * must get its guarantee and no more, by one eviction every two seconds. */
static void
test_guarantee_is_reclaimed_gradually (void **state)
{
  KqRig *r = new_rig (4, 2);
  KqTeamRow row = kq_row_default (KQ_ROW_TEAM, KQ_STR ("seal")).u.team;
  (void)state;
  row.guaranteed = (KqSize){ 4000, 8192, 0 };
  kq_rig_set_team (r, "seal", &row);
  fill (r, 1, 30, "plan");
  assert_int_equal (kq_jobs_account (r->jobs).running, 16);
  fill (r, 101, 110, "seal");
  assert_in_range (kq_jobs_account (r->jobs).evicted, 1, 1);
  kq_rig_run (r, 20 * KQ_SEC);
  assert_int_equal (kq_jobs_account (r->jobs).evicted, 4);
  for (KqJobId id = 101; id <= 104; id++)
    assert_non_null (kq_rig_worker_of (r, key (id, 1)));
  free_rig (r);
}

/* A leaving host must get no new work. Its tasks move to workers with room, each once and
 * from its checkpoint; a task that fits nowhere else goes on until the host is gone. */
static void
test_leaving_host (void **state)
{
  KqRig *r = new_rig (3, 3);
  size_t left;
  (void)state;
  fill (r, 1, 9, "plan");
  r->hosts[0].state = KQ_HOST_LEAVING;
  left = r->workers[0].n_tasks;
  assert_true (left > 0);
  kq_rig_set_hosts (r);
  kq_rig_run (r, 10 * KQ_SEC);
  assert_int_equal (kq_jobs_account (r->jobs).running, 9);
  assert_int_equal (kq_fake_worker_used (&r->workers[0]).cpu_milli, 1000);
  assert_int_equal (kq_jobs_account (r->jobs).evicted, left - 1);
  fill (r, 10, 12, "plan");
  assert_int_equal (kq_fake_worker_used (&r->workers[0]).cpu_milli, 1000);
  r->hosts[0].state = KQ_HOST_GONE;
  kq_rig_set_hosts (r);
  kq_rig_run (r, 10 * KQ_SEC);
  assert_int_equal (kq_jobs_account (r->jobs).running, 8);
  free_rig (r);
}

static bool
runs (KqRig *r, KqJobId id, uint32_t attempt)
{
  return kq_rig_worker_of (r, key (id, attempt)) != NULL;
}

static void
end_batch_tasks (KqFakeWorker *w, int n)
{
  for (size_t i = 0; i < w->n_tasks; i++)
    if (!w->tasks[i].report.latency_critical && n-- > 0)
      w->tasks[i].report.state = KQ_TASK_FINISHED;
}

/* A rack is lost with all its tasks, and the other rack has room for four of them. The
 * tasks must start again by priority, then by age; the others wait, and none may start
 * twice. */
static void
test_rack_loss (void **state)
{
  KqRig *r = new_rig (4, 2);
  bool lost[17] = { false };
  int room = 4;
  (void)state;
  fill (r, 1, 6, "plan");
  submit (r, 7, "plan", "tag-watch", KQ_PRIORITY_HIGH);
  submit (r, 8, "plan", "tag-watch", KQ_PRIORITY_HIGH);
  fill (r, 9, 16, "plan");
  assert_int_equal (kq_jobs_account (r->jobs).running, 16);
  for (KqJobId id = 1; id <= 16; id++)
    lost[id] = kq_rig_worker_of (r, key (id, 1)) < &r->workers[2];
  r->cut[0] = r->cut[1] = true;
  r->hosts[0].state = r->hosts[1].state = KQ_HOST_GONE;
  end_batch_tasks (&r->workers[2], 2);
  end_batch_tasks (&r->workers[3], 2);
  kq_rig_run (r, 4 * KQ_SEC);
  kq_rig_set_hosts (r);
  kq_rig_run (r, 5 * KQ_SEC);
  assert_int_equal (kq_jobs_account (r->jobs).running, 8);
  for (KqJobId id = 7; id <= 8; id++)
    if (lost[id])
      {
        assert_true (runs (r, id, 2));
        room--;
      }
  for (KqJobId id = 1; id <= 16; id++)
    if (lost[id] && id != 7 && id != 8)
      assert_int_equal (runs (r, id, 2), room-- > 0);
  free_rig (r);
}

/* Four replicas of a service must be placed in four different racks, so that the loss of
 * a rack doesn't stop the service. With `spread` off some share a rack, which shows that
 * the test can fail. */
static void
test_spread (void **state)
{
  (void)state;
  for (int on = 0; on <= 1; on++)
    {
      KqRig *r = new_rig (8, 2);
      KqRow row = kq_row_default (KQ_ROW_POLICY, KQ_STR ("default"));
      size_t most = 0;
      row.u.policy.spread = on;
      kq_rig_set_row (r, &row);
      for (KqJobId id = 1; id <= 4; id++)
        submit (r, id, "plan", "tag-watch", KQ_PRIORITY_NORMAL);
      kq_rig_run (r, KQ_SEC);
      for (size_t rack = 0; rack < 4; rack++)
        most
            = MAX (most, r->workers[2 * rack].n_tasks + r->workers[2 * rack + 1].n_tasks);
      assert_true (on ? most == 1 : most > 1);
      free_rig (r);
    }
}

static void
report (KqRig *r, KqFakeWorker *w, double slowdown)
{
  for (size_t i = 0; i < w->n_tasks; i++)
    {
      KqUsageReport u = { .task = w->tasks[i].report.task, .age_us = KQ_SEC };
      u.cpu_milli = u.memory_mb = 1000;
      u.slowdown = w->tasks[i].report.latency_critical ? slowdown : 1;
      kq_fake_worker_add_usage (w, &u);
    }
  kq_rig_run (r, 10 * KQ_SEC);
}

/* A service and a batch task share a worker, and reports show that the service is slowed
 * down. The task must be throttled before it is moved. If the service is still slowed
 * down at the last step, the task is moved and must not return to the same worker. */
static void
test_throttle_before_move (void **state)
{
  KqRig *r = new_rig (2, 1);
  KqFakeWorker *w;
  (void)state;
  r->hosts[1].state = KQ_HOST_LEAVING;
  kq_rig_set_hosts (r);
  submit (r, 1, "plan", "tag-watch", KQ_PRIORITY_NORMAL);
  kq_rig_run (r, KQ_SEC);
  w = kq_rig_worker_of (r, key (1, 1));
  submit (r, 2, "plan", "route", KQ_PRIORITY_NORMAL);
  kq_rig_run (r, 30 * KQ_SEC);
  assert_ptr_equal (kq_rig_worker_of (r, key (2, 1)), w);
  r->hosts[1].state = KQ_HOST_LIVE;
  kq_rig_set_hosts (r);
  for (int i = 0; i < 20 && kq_rig_worker_of (r, key (2, 1)) == w; i++)
    report (r, w, 1.6);
  assert_int_equal (r->calls[KQ_WORKER_THROTTLE], 2);
  assert_int_equal (r->calls[KQ_WORKER_CHECKPOINT], 1);
  kq_rig_run (r, 10 * KQ_SEC);
  assert_non_null (kq_rig_worker_of (r, key (2, 2)));
  assert_ptr_not_equal (kq_rig_worker_of (r, key (2, 2)), w);
  free_rig (r);
}

/* One worker of three fails every task. Because it always has room, it would get the
 * whole queue. It must get few jobs, and all jobs must finish on the others. */
static void
test_bad_worker_does_not_fail_jobs (void **state)
{
  KqRig *r = new_rig (3, 3);
  int failures = 0;
  (void)state;
  for (KqJobId id = 1; id <= 60; id++)
    submit (r, id, "plan", "route", KQ_PRIORITY_NORMAL);
  for (int second = 0; second < 240; second++)
    {
      for (size_t i = 0; i < 3; i++)
        for (size_t n = 0; n < r->workers[i].n_tasks; n++)
          if (r->workers[i].tasks[n].report.state == KQ_TASK_RUNNING)
            {
              bool bad = i == 0;
              if (bad || second % 4 == 0)
                r->workers[i].tasks[n].report.state
                    = bad ? KQ_TASK_FAILED : KQ_TASK_FINISHED;
              failures += bad;
            }
      kq_rig_run (r, KQ_SEC);
    }
  assert_int_equal (kq_jobs_account (r->jobs).finished, 60);
  assert_int_equal (kq_jobs_account (r->jobs).failed, 0);
  assert_in_range (failures, 3, 12);
  free_rig (r);
}

/* The owner dies. Its successor must know the learned sizes from the journal; by its
 * declared size the job would be too large for every worker. */
static void
test_learned_sizes_survive_takeover (void **state)
{
  KqRig *r = new_rig (1, 1);
  KqJobSpec s = kq_rig_spec ("plan", "route", (KqSize){ 1000, 1024, 0 });
  (void)state;
  kq_rig_submit (r, 1, &s);
  kq_rig_run (r, KQ_SEC);
  for (int i = 0; i < 125; i++) /* two records, the second with enough evidence */
    report (r, &r->workers[0], 1);
  kq_rig_open (r);
  kq_rig_run (r, 10 * KQ_SEC);
  s.size = (KqSize){ 40000, 90000, 0 };
  kq_rig_submit (r, 2, &s);
  kq_rig_run (r, KQ_SEC);
  assert_non_null (kq_rig_worker_of (r, key (2, 1)));
  free_rig (r);
}

/* Small tasks keep arriving and end at different times, so that no worker is ever empty.
 * A job as large as a worker would wait for ever unless a worker is reserved for it; it
 * must start within minutes. */
static void
test_large_job_among_small (void **state)
{
  KqRig *r = new_rig (3, 3);
  KqJobSpec large = kq_rig_spec ("plan", "seal", (KqSize){ 4000, 4096, 0 });
  KqJobId next = 100;
  int second;
  (void)state;
  fill (r, 1, 20, "plan");
  kq_rig_submit (r, 50, &large);
  for (second = 0; second < 600 && kq_rig_worker_of (r, key (50, 1)) == NULL; second++)
    {
      KqFakeWorker *w = &r->workers[second % 3];
      end_batch_tasks (w, 1);
      submit (r, next++, "plan", "route", KQ_PRIORITY_NORMAL);
      kq_rig_run (r, 3 * KQ_SEC);
    }
  assert_in_range (second, 20, 100);
  assert_true (kq_jobs_account (r->jobs).finished > 20); /* others went on */
  free_rig (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_urgent_job_evicts),
    cmocka_unit_test (test_guarantee_is_reclaimed_gradually),
    cmocka_unit_test (test_leaving_host),
    cmocka_unit_test (test_rack_loss),
    cmocka_unit_test (test_spread),
    cmocka_unit_test (test_throttle_before_move),
    cmocka_unit_test (test_bad_worker_does_not_fail_jobs),
    cmocka_unit_test (test_large_job_among_small),
    cmocka_unit_test (test_learned_sizes_survive_takeover),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
