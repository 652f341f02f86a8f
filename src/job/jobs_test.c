#include "../bench/job_rig.h"
#include "job/job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define CORE ((KqSize){ 1000, 1024, 0 })
static const KqSize worker_size = { 4000, 8192, 0 };

static KqTaskKey
key (KqJobId id, uint32_t attempt)
{
  return (KqTaskKey){ ((KqJobId)1 << 48) | id, attempt };
}

static KqRig *
new_rig (size_t workers)
{
  KqRig *r = calloc (1, sizeof *r);
  kq_rig_init (r, workers, worker_size, 2, 1);
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
submit (KqRig *r, KqJobId id)
{
  KqJobSpec s = kq_rig_spec ("plan", "route", CORE);
  kq_rig_submit (r, id, &s);
}

static bool
job_shows (KqRig *r, KqJobId id, const char *text)
{
  kq_rig_call (r, KQ_JOB_GET, id);
  kq_rig_run (r, r->commit_delay * 2);
  return kq_rig_answer_contains (r, text);
}

static void
test_one_job (void **state)
{
  KqRig *r = new_rig (2);
  (void)state;
  r->commit_delay = 100 * KQ_MS;
  submit (r, 1);
  kq_rig_run (r, 50 * KQ_MS);
  assert_int_equal (r->answers, 0); /* nothing is sent before the commit */
  assert_int_equal (r->calls[KQ_WORKER_START], 0);
  kq_rig_run (r, 60 * KQ_MS);
  assert_int_equal (r->answers, 1);
  assert_int_equal (r->calls[KQ_WORKER_START], 1);
  assert_int_equal (r->log.n_records, 2); /* accepted and assigned, one commit */
  kq_fake_worker_end_task (kq_rig_worker_of (r, key (1, 1)), key (1, 1),
                           KQ_TASK_FINISHED);
  kq_rig_run (r, 10 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"finished\""));
  assert_int_equal (r->workers[0].n_tasks + r->workers[1].n_tasks, 0); /* acknowledged */
  free_rig (r);
}

/* The answer to a submission is lost and the caller submits again, also after a takeover:
 * no second job may be created. The same key with another spec is a mistake of the caller
 * and is refused. */
static void
test_submit_again (void **state)
{
  KqRig *r = new_rig (2);
  KqJobSpec s = kq_rig_spec ("plan", "route", CORE);
  (void)state;
  s.key = kq_name (KQ_STR ("monday"));
  kq_rig_submit (r, 1, &s);
  kq_rig_run (r, 0);
  kq_rig_submit (r, 2, &s);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_OK);
  assert_true (kq_rig_answer_contains (r, "\"0001000000000001\""));
  kq_rig_open (r);
  kq_rig_submit (r, 3, &s);
  kq_rig_run (r, 0);
  assert_true (kq_rig_answer_contains (r, "\"0001000000000001\""));
  s.size.cpu_milli++;
  kq_rig_submit (r, 4, &s);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_ERR_JOB_KEY_MISMATCH);
  assert_int_equal (kq_jobs_account (r->jobs).accepted, 1);
  free_rig (r);
}

/* The store has become unreachable, which isn't detected yet, and commits lag behind. The
 * caller of a job accepted now might never learn the outcome, so the job is refused with
 * NOT_COMMITTED; it is accepted once the journal has caught up. */
static void
test_lagging_journal_refuses_jobs (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  r->log.lag = 3 * KQ_SEC;
  submit (r, 1);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_ERR_NOT_COMMITTED);
  assert_int_equal (kq_jobs_account (r->jobs).accepted, 0);
  r->log.lag = 0;
  submit (r, 1);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_OK);
  free_rig (r);
}

/* The answer to START is lost, but the worker runs the task and its next list shows it. A
 * second attempt would run the task twice, so the first one must go on. */
static void
test_start_answer_lost (void **state)
{
  KqRig *r = new_rig (2);
  (void)state;
  r->lose_reply = 1;
  submit (r, 1);
  kq_rig_run (r, 10 * KQ_MS);
  r->lose_reply = 0;
  kq_rig_run (r, 8 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"attempt\":1"));
  assert_true (job_shows (r, 1, "\"running\""));
  assert_int_equal (r->calls[KQ_WORKER_START], 1);
  free_rig (r);
}

/* START is delayed in the network. A list without the task doesn't prove that it won't
 * run, because START may still arrive. A STOP makes the worker refuse it; only then
 * attempt 2 may start. */
static void
test_start_lost (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  r->late_start_delay = 12 * KQ_SEC;
  submit (r, 1);
  kq_rig_run (r, 10 * KQ_MS);
  r->late_start_delay = 0;
  kq_rig_run (r, 11 * KQ_SEC);
  assert_int_equal (r->calls[KQ_WORKER_STOP], 1);
  assert_true (job_shows (r, 1, "\"attempt\":2"));
  kq_rig_run (r, 5 * KQ_SEC); /* the late START arrives and is refused */
  assert_null (kq_fake_worker_task (&r->workers[0], key (1, 1)));
  assert_non_null (kq_fake_worker_task (&r->workers[0], key (1, 2)));
  free_rig (r);
}

static void
count_start (void *arg, KqTaskKey task, KqWorkerId worker, KqTime now)
{
  (void)task, (void)worker, (void)now;
  ++*(int *)arg;
}

/* A worker is cut off and its lease lapses while a START to it is still in the network.
 * The job starts elsewhere. When the worker is reachable again, it must be told to refuse
 * attempt 1 before it gets a lease; otherwise the late START would run the task twice. */
static void
test_late_start_after_lapse (void **state)
{
  KqRig *r = new_rig (2);
  KqJobSpec s = kq_rig_spec ("plan", "route", CORE);
  int started = 0;
  size_t i;
  (void)state;
  r->started = count_start;
  r->arg = &started;
  r->late_start_delay = 60 * KQ_SEC;
  kq_rig_submit (r, 1, &s);
  kq_rig_run (r, 10 * KQ_MS);
  r->late_start_delay = 0;
  kq_rig_call (r, KQ_JOB_GET, 1);
  kq_rig_run (r, 0);
  i = kq_rig_answer_contains (r, "\"worker\":\"w0\"") ? 0 : 1;
  r->cut[i] = true;
  kq_rig_run (r, 7 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"attempt\":1")); /* the lease may be live */
  kq_rig_run (r, 8 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"attempt\":2"));
  r->cut[i] = false;
  kq_rig_run (r, 60 * KQ_SEC);
  assert_int_equal (started, 1);
  assert_non_null (kq_rig_worker_of (r, key (1, 2)));
  free_rig (r);
}

/* The owner dies while three tasks run. Its successor reads them from the journal and
 * must place nothing before the workers have answered under its epoch, keep the tasks
 * that run and stop a task that the journal doesn't know. */
static void
test_takeover (void **state)
{
  KqRig *r = new_rig (2);
  KqWorkerCall unknown_start
      = { .kind = KQ_WORKER_START, .worker = 1, .shard = 1, .epoch = 1 };
  KqWorkerReply reply;
  (void)state;
  for (KqJobId id = 1; id <= 3; id++)
    submit (r, id);
  kq_rig_run (r, KQ_SEC);
  unknown_start.task = key (99, 1);
  unknown_start.size = CORE;
  kq_fake_worker_call (&r->workers[0], &unknown_start, r->now, &reply);
  assert_int_equal (reply.result, KQ_OK);
  r->cut[0] = r->cut[1] = true;
  kq_rig_open (r);
  submit (r, 4);
  kq_rig_run (r, 2 * KQ_SEC);
  assert_int_equal (r->calls[KQ_WORKER_START], 3);
  r->cut[0] = r->cut[1] = false;
  kq_rig_run (r, 4 * KQ_SEC);
  for (KqJobId id = 1; id <= 4; id++)
    assert_non_null (kq_rig_worker_of (r, key (id, 1)));
  assert_null (kq_rig_worker_of (r, key (99, 1)));
  assert_int_equal (r->calls[KQ_WORKER_START], 4);
  free_rig (r);
}

/* A worker doesn't answer after a takeover. The predecessor may have renewed its lease
 * without the store for limits.blind_ms, so that the lease has ended for certain only
 * after this time plus the lease and a margin; starting the task earlier could run it
 * twice. A host that the host list calls gone is proof at once. */
static void
test_takeover_silent_worker (void **state)
{
  KqRig *r = new_rig (2);
  (void)state;
  submit (r, 1);
  kq_rig_run (r, KQ_SEC);
  r->cut[0] = r->cut[1] = true;
  kq_rig_open (r);
  kq_rig_run (r, 28 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"attempt\":1"));
  assert_true (job_shows (r, 1, "\"assigned\""));
  kq_rig_run (r, 3 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"requeued\""));
  r->cut[0] = r->cut[1] = false;
  kq_rig_run (r, 10 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"attempt\":2"));
  r->hosts[kq_rig_worker_of (r, key (1, 2))->id - 1].state = KQ_HOST_GONE;
  kq_rig_set_hosts (r);
  kq_rig_run (r, KQ_SEC);
  assert_true (job_shows (r, 1, "\"attempt\":3"));
  free_rig (r);
}

static KqWorkerReply
checkpointed (KqRig *r, KqWorkerId worker, KqTaskKey task)
{
  KqWorkerReply reply = { .kind = KQ_WORKER_CHECKPOINT, .shard = 1, .epoch = r->epoch };
  reply.worker = worker;
  reply.task = task;
  reply.checkpoint = kq_name (KQ_STR ("cp"));
  return reply;
}

static void
deliver_reply (KqRig *r, const KqWorkerReply *reply)
{
  KqOutbox out;
  kq_outbox_init (&out);
  kq_hold_add (&r->hold, kq_jobs_worker_reply (r->jobs, reply, r->now, &out), &out);
  kq_outbox_free (&out);
  kq_rig_run (r, 0);
}

/* A task finishes while its cancellation is in the network, and the other way round. The
 * first record decides, and the caller's answer must agree with the journal. */
static void
test_cancel_and_finish (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  submit (r, 1);
  submit (r, 2);
  kq_rig_run (r, KQ_SEC);
  r->cut[0] = true;
  kq_rig_call (r, KQ_JOB_CANCEL, 1);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_OK);
  kq_fake_worker_end_task (&r->workers[0], key (1, 1), KQ_TASK_FINISHED);
  kq_fake_worker_end_task (&r->workers[0], key (2, 1), KQ_TASK_FINISHED);
  r->cut[0] = false;
  kq_rig_run (r, 4 * KQ_SEC);
  kq_rig_call (r, KQ_JOB_CANCEL, 2);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_ERR_JOB_ENDED);
  assert_true (job_shows (r, 1, "\"cancelled\""));
  assert_true (job_shows (r, 2, "\"finished\""));
  free_rig (r);
}

/* An unrequested, late or repeated answer to CHECKPOINT, or one of an older epoch, must
 * change nothing. */
static void
test_stale_answers (void **state)
{
  KqRig *r = new_rig (1);
  KqWorkerReply reply;
  (void)state;
  submit (r, 1);
  kq_rig_run (r, KQ_SEC);
  reply = checkpointed (r, 1, key (1, 1));
  deliver_reply (r, &reply); /* unrequested: only the list counts */
  assert_true (job_shows (r, 1, "\"running\""));
  kq_fake_worker_end_task (&r->workers[0], key (1, 1), KQ_TASK_FINISHED);
  kq_rig_run (r, 4 * KQ_SEC);
  deliver_reply (r, &reply);
  reply.epoch--;
  deliver_reply (r, &reply);
  assert_true (job_shows (r, 1, "\"finished\""));
  assert_int_equal (kq_jobs_account (r->jobs).evicted, 0);
  free_rig (r);
}

/* The end of a task is acknowledged only once it is committed. If the owner dies before,
 * the worker still lists the task, so that the successor learns of the end. */
static void
test_end_is_kept_until_committed (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  submit (r, 1);
  kq_rig_run (r, KQ_SEC);
  r->store_down = true;
  kq_fake_worker_end_task (&r->workers[0], key (1, 1), KQ_TASK_FINISHED);
  kq_rig_run (r, 20 * KQ_SEC);
  assert_int_equal (r->workers[0].n_tasks, 1);
  r->store_down = false;
  kq_rig_open (r);
  kq_rig_run (r, 10 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"finished\""));
  assert_int_equal (r->workers[0].n_tasks, 0);
  free_rig (r);
}

/* The store is unreachable. For limits.blind_ms leases are renewed, tasks go on and new
 * jobs are refused. Then renewals must stop, because a successor relies on that: the
 * worker stops its task, which starts again, once, when the store is back. */
static void
test_store_outage (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  submit (r, 1);
  kq_rig_run (r, KQ_SEC);
  r->store_down = true;
  kq_rig_run (r, 19 * KQ_SEC);
  assert_non_null (kq_rig_worker_of (r, key (1, 1)));
  submit (r, 2);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_ERR_NOT_COMMITTED);
  kq_rig_run (r, 40 * KQ_SEC);
  kq_fake_worker_tick (&r->workers[0], r->now);
  assert_null (kq_rig_worker_of (r, key (1, 1)));
  r->store_down = false;
  kq_rig_run (r, 10 * KQ_SEC);
  assert_non_null (kq_rig_worker_of (r, key (1, 2)));
  assert_int_equal (kq_counter_of_result (r->config.counters, KQ_RETRY_WORKER_LOST), 1);
  submit (r, 2);
  kq_rig_run (r, 0);
  assert_int_equal (r->code, KQ_OK);
  free_rig (r);
}

/* A worker's process restarts and loses its tasks. Its list without them proves that they
 * don't run, and they must start again. */
static void
test_worker_restart (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  submit (r, 1);
  kq_rig_run (r, KQ_SEC);
  kq_fake_worker_restart (&r->workers[0]);
  kq_rig_run (r, 8 * KQ_SEC);
  assert_non_null (kq_rig_worker_of (r, key (1, 2)));
  assert_int_equal (kq_jobs_account (r->jobs).lost_attempts, 1);
  free_rig (r);
}

/* A job that no worker can hold must not block the jobs behind it. The answer to its
 * submission says that it is unplaceable; it starts once there is a larger worker. */
static void
test_unplaceable (void **state)
{
  KqRig *r = new_rig (1);
  KqJobSpec s = kq_rig_spec ("plan", "huge", (KqSize){ 1000, 99999, 0 });
  (void)state;
  kq_rig_submit (r, 1, &s);
  kq_rig_run (r, 0);
  assert_true (kq_rig_answer_contains (r, "\"unplaceable\""));
  kq_rig_call (r, KQ_JOB_EXPLAIN, 1);
  kq_rig_run (r, 0);
  assert_true (
      kq_rig_answer_contains (r, "memory_mb 99999, the largest worker has 8192"));
  submit (r, 2);
  kq_rig_run (r, KQ_SEC);
  assert_non_null (kq_rig_worker_of (r, key (2, 1)));
  r->workers[0].capacity.memory_mb = r->hosts[0].capacity.memory_mb = 200000;
  kq_rig_run (r, 4 * KQ_SEC);
  kq_rig_set_hosts (r);
  kq_rig_run (r, KQ_SEC);
  assert_non_null (kq_rig_worker_of (r, key (1, 1)));
  free_rig (r);
}

/* A task that fails is retried after a growing backoff, and the job fails after its last
 * attempt. */
static void
test_retries (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  submit (r, 1);
  for (uint32_t attempt = 1; attempt <= 3; attempt++)
    {
      kq_rig_run (r, 10 * KQ_SEC);
      assert_non_null (kq_rig_worker_of (r, key (1, attempt)));
      kq_fake_worker_end_task (&r->workers[0], key (1, attempt), KQ_TASK_FAILED);
    }
  kq_rig_run (r, 10 * KQ_SEC);
  assert_true (job_shows (r, 1, "\"failed\""));
  assert_int_equal (kq_counter_of_result (r->config.counters, KQ_RETRY_JOB_FAILED), 2);
  free_rig (r);
}

/* 20,000 cancellations arrive at once. If each scanned the queue, they would delay all
 * else: every one is answered, and a job submitted behind them starts within seconds. */
static void
test_cancel_wave (void **state)
{
  KqRig *r = new_rig (1);
  (void)state;
  for (KqJobId id = 1; id <= 20000; id++)
    submit (r, id);
  kq_rig_run (r, KQ_SEC);
  for (KqJobId id = 1; id <= 20000; id++)
    kq_rig_call (r, KQ_JOB_CANCEL, id);
  submit (r, 20001);
  kq_rig_run (r, 4 * KQ_SEC);
  assert_int_equal (r->answers, 40001);
  assert_int_equal (kq_jobs_account (r->jobs).cancelled, 20000);
  assert_non_null (kq_rig_worker_of (r, key (20001, 1)));
  free_rig (r);
}

static void
dump_record (void *arg, const KqRecord *rec)
{
  kq_buf_printf (arg, "%u:", rec->type);
  kq_buf_add_str (arg, rec->body);
}

static void
dump_replayed (KqRig *r, size_t n, int times, KqBuf *out)
{
  KqJobs *j = kq_jobs_new (&r->config, r->port);
  for (int k = 0; k < times; k++)
    for (size_t i = 0; i < n; i++)
      kq_jobs_apply (j, &r->log.records[i], r->now);
  kq_jobs_snapshot (j, dump_record, out);
  kq_jobs_free (j);
}

/* A successor may read records that are already part of the snapshot. Replaying any
 * prefix twice must give the same state as replaying it once; otherwise a job would be
 * counted, evicted or ended twice. */
static void
test_replay_twice (void **state)
{
  KqRig *r = new_rig (2);
  (void)state;
  for (KqJobId id = 1; id <= 12; id++)
    submit (r, id);
  kq_rig_run (r, KQ_SEC);
  kq_fake_worker_end_task (&r->workers[0], r->workers[0].tasks[0].report.task,
                           KQ_TASK_FINISHED);
  kq_fake_worker_end_task (&r->workers[1], r->workers[1].tasks[0].report.task,
                           KQ_TASK_FAILED);
  kq_fake_worker_end_task (&r->workers[1], r->workers[1].tasks[1].report.task,
                           KQ_TASK_CHECKPOINTED);
  kq_rig_call (r, KQ_JOB_CANCEL, 2);
  kq_rig_call (r, KQ_JOB_CANCEL, 11);
  kq_rig_run (r, 10 * KQ_SEC);
  kq_fake_worker_restart (&r->workers[0]);
  kq_rig_run (r, 10 * KQ_SEC);
  assert_true (r->log.n_records > 30);
  for (size_t n = 0; n <= r->log.n_records; n++)
    {
      KqBuf once, twice;
      kq_buf_init (&once);
      kq_buf_init (&twice);
      dump_replayed (r, n, 1, &once);
      dump_replayed (r, n, 2, &twice);
      assert_true (kq_str_eq (kq_buf_str (&once), kq_buf_str (&twice)));
      kq_buf_free (&once);
      kq_buf_free (&twice);
    }
  free_rig (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_job),
    cmocka_unit_test (test_submit_again),
    cmocka_unit_test (test_lagging_journal_refuses_jobs),
    cmocka_unit_test (test_start_answer_lost),
    cmocka_unit_test (test_start_lost),
    cmocka_unit_test (test_late_start_after_lapse),
    cmocka_unit_test (test_takeover),
    cmocka_unit_test (test_takeover_silent_worker),
    cmocka_unit_test (test_cancel_and_finish),
    cmocka_unit_test (test_stale_answers),
    cmocka_unit_test (test_end_is_kept_until_committed),
    cmocka_unit_test (test_store_outage),
    cmocka_unit_test (test_worker_restart),
    cmocka_unit_test (test_unplaceable),
    cmocka_unit_test (test_retries),
    cmocka_unit_test (test_cancel_wave),
    cmocka_unit_test (test_replay_twice),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
