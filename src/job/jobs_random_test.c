#include "../bench/job_rig.h"
#include "base/log.h"
#include "job/job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Random runs: callers submit and cancel, tasks end in every way, workers are cut off,
 * restart and return, calls and answers are lost or late, the store fails, the owner is
 * replaced. Every start is checked against the tasks that the fake workers really run: no
 * job may run in two places, and no job whose end is committed may start again. At the
 * end the faults stop, and no accepted job may still be queued or running. */

#define WORKERS 6
#define SEEDS 120
/* A START waited for the store longer than its worker's lease; the STOP overtook it, the
 * worker restarted and forgot the STOP, and the START ran the task a second time. */
#define SEED_START_HELD 449
#define STEPS 400

typedef struct
{
  KqRig rig;
  KqJobId next_id;
  GHashTable *ended; /* jobs whose end is in the store */
  size_t n_read;     /* records read for that */
  uint64_t accepted;
  uint64_t starts;
} Run;

static void
read_ends (Run *run)
{
  for (; run->n_read < run->rig.log.committed; run->n_read++)
    {
      const KqRecord *r = &run->rig.log.records[run->n_read];
      KqJobEvent e;
      int64_t *id;
      if (r->type != KQ_JOB_EVENT_ENDED)
        continue;
      assert_int_equal (kq_job_event_unpack (r, &e), KQ_OK);
      id = malloc (sizeof *id);
      *id = (int64_t)e.job;
      assert_true (g_hash_table_add (run->ended, id)); /* ends once */
    }
}

static void
check_start (void *arg, KqTaskKey task, KqWorkerId worker, KqTime now)
{
  Run *run = arg;
  int running = 0;
  (void)worker;
  run->starts++;
  read_ends (run);
  for (size_t i = 0; i < WORKERS; i++)
    {
      KqFakeWorker *w = &run->rig.workers[i];
      KqSize used;
      kq_fake_worker_tick (w, now);
      used = kq_fake_worker_used (w);
      assert_true (used.cpu_milli <= w->capacity.cpu_milli
                   && used.memory_mb <= w->capacity.memory_mb);
      for (size_t k = 0; k < w->n_tasks; k++)
        running += w->tasks[k].report.task.job == task.job
                   && w->tasks[k].report.state == KQ_TASK_RUNNING;
    }
  if (running > 1 || g_hash_table_contains (run->ended, &task.job))
    fail_msg ("job %llx attempt %u: %d running", (unsigned long long)task.job,
              task.attempt, running);
}

static void
end_some_task (Run *run, KqTaskState how)
{
  KqFakeWorker *w = &run->rig.workers[kq_rand_below (&run->rig.rand, WORKERS)];
  KqFakeTask *t;
  if (w->n_tasks == 0)
    return;
  kq_fake_worker_tick (w, run->rig.now);
  t = &w->tasks[kq_rand_below (&run->rig.rand, w->n_tasks)];
  if (t->report.state != KQ_TASK_RUNNING)
    return;
  t->report.state = how;
}

static void
submit (Run *run)
{
  KqRand *rand = &run->rig.rand;
  KqSize size = { 500 + (int64_t)kq_rand_below (rand, 6000),
                  256 + (int64_t)kq_rand_below (rand, 6000), 0 };
  KqJobSpec s = kq_rig_spec (kq_rand_below (rand, 2) ? "plan" : "seal", "route", size);
  uint64_t before = kq_jobs_account (run->rig.jobs).accepted;
  s.priority = (KqPriority)(KQ_PRIORITY_LOW + kq_rand_below (rand, 4));
  if (kq_rand_below (rand, 2))
    s.class_name = kq_name (KQ_STR ("seal"));
  s.latency_critical = kq_rand_below (rand, 4) == 0;
  kq_rig_submit (&run->rig, ++run->next_id, &s);
  run->accepted += kq_jobs_account (run->rig.jobs).accepted - before;
}

static void
change_network (Run *run)
{
  KqRig *r = &run->rig;
  r->net_delay = (KqTime)kq_rand_below (&r->rand, 400) * KQ_MS;
  r->commit_delay = (KqTime)kq_rand_below (&r->rand, 300) * KQ_MS;
  r->lose_call = kq_rand_unit (&r->rand) * 0.2;
  r->lose_reply = kq_rand_unit (&r->rand) * 0.2;
  r->late_start_delay = kq_rand_below (&r->rand, 4) == 0
                            ? (KqTime)kq_rand_below (&r->rand, 40) * KQ_SEC
                            : 0;
}

/* Random slowdowns and sizes, to cause throttles, moves and growth. */
static void
report_usage (Run *run)
{
  KqFakeWorker *w = &run->rig.workers[kq_rand_below (&run->rig.rand, WORKERS)];
  for (size_t i = 0; i < w->n_tasks; i++)
    {
      KqUsageReport u = { .task = w->tasks[i].report.task };
      u.age_us = (KqTime)kq_rand_below (&run->rig.rand, 20) * KQ_SEC;
      u.cpu_milli = (int64_t)kq_rand_below (&run->rig.rand, 5000);
      u.memory_mb = (int64_t)kq_rand_below (&run->rig.rand, 9000);
      u.slowdown = 1 + kq_rand_unit (&run->rig.rand);
      kq_fake_worker_add_usage (w, &u);
    }
}

/* Sets a host's state in the host list; with a host that is gone its processes end. */
static void
change_host (Run *run)
{
  KqRig *r = &run->rig;
  size_t i = kq_rand_below (&r->rand, WORKERS);
  KqHostState state = (KqHostState)kq_rand_below (&r->rand, 3);
  if (state == KQ_HOST_GONE)
    kq_fake_worker_restart (&r->workers[i]);
  r->cut[i] = state == KQ_HOST_GONE;
  r->hosts[i].state = state;
  kq_rig_set_hosts (r);
}

static void
step (Run *run)
{
  KqRig *r = &run->rig;
  switch (kq_rand_below (&r->rand, 16))
    {
    case 0:
      r->cut[kq_rand_below (&r->rand, WORKERS)] ^= true;
      break;
    case 1:
      change_network (run);
      break;
    case 2:
      if (kq_rand_below (&r->rand, 4) == 0)
        r->store_down = !r->store_down;
      break;
    case 3:
      if (kq_rand_below (&r->rand, 6) == 0)
        kq_rig_open (r);
      break;
    case 4:
      if (kq_rand_below (&r->rand, 3) == 0)
        kq_fake_worker_restart (&r->workers[kq_rand_below (&r->rand, WORKERS)]);
      break;
    case 5:
      kq_rig_call (r, KQ_JOB_CANCEL, 1 + kq_rand_below (&r->rand, run->next_id + 1));
      break;
    case 6:
      end_some_task (run, KQ_TASK_FAILED);
      break;
    case 7:
      end_some_task (run, KQ_TASK_CHECKPOINTED);
      break;
    case 8:
    case 9:
      end_some_task (run, KQ_TASK_FINISHED);
      break;
    case 10:
    case 11:
    case 12:
      submit (run);
      break;
    case 13:
      report_usage (run);
      break;
    case 14:
      change_host (run);
      break;
    default:
      break;
    }
  kq_rig_run (r, (KqTime)kq_rand_below (&r->rand, 2000) * KQ_MS);
}

static void
end_faults_and_finish (Run *run)
{
  KqRig *r = &run->rig;
  memset (r->cut, 0, WORKERS * sizeof *r->cut);
  r->lose_call = r->lose_reply = 0;
  r->late_start_delay = 0;
  r->store_down = false;
  for (size_t i = 0; i < WORKERS; i++)
    r->hosts[i].state = KQ_HOST_LIVE;
  kq_rig_set_hosts (r);
  for (int i = 0;
       i < 400
       && kq_jobs_account (r->jobs).running + kq_jobs_account (r->jobs).queued > 0;
       i++)
    {
      for (size_t k = 0; k < WORKERS; k++)
        for (size_t n = 0; n < r->workers[k].n_tasks; n++)
          if (r->workers[k].tasks[n].report.state == KQ_TASK_RUNNING)
            r->workers[k].tasks[n].report.state = KQ_TASK_FINISHED;
      kq_rig_run (r, 2 * KQ_SEC);
    }
}

static uint64_t
random_run (uint64_t seed)
{
  Run run = { 0 };
  KqJobsAccount a;
  kq_rig_init (&run.rig, WORKERS, (KqSize){ 8000, 8192, 0 }, 2, seed);
  kq_rig_set_team (&run.rig, "seal", NULL);
  run.rig.started = check_start;
  run.rig.arg = &run;
  run.ended = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, NULL);
  for (int i = 0; i < STEPS; i++)
    step (&run);
  end_faults_and_finish (&run);
  a = kq_jobs_account (run.rig.jobs);
  if (a.running + a.queued > 0)
    fail_msg ("seed %llu: %llu running, %llu queued", (unsigned long long)seed,
              (unsigned long long)a.running, (unsigned long long)a.queued);
  g_hash_table_destroy (run.ended);
  kq_rig_clear (&run.rig);
  return run.starts;
}

static void
test_random (void **state)
{
  uint64_t starts = 0;
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    starts += random_run (seed);
  random_run (SEED_START_HELD);
  assert_true (starts > 50 * SEEDS); /* otherwise the runs test too little */
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_random),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
