#include "job/jobs_impl.h"

#include "base/log.h"

#include <stdlib.h>

/* Time without further starts on a worker that refused a START. The worker's next list
 * shows the reason; until then other starts would be refused as well. */
#define START_REFUSED_PAUSE (4 * KQ_SEC)
/* A STOP without an answer is repeated when a list of the worker's tasks arrives at least
 * this long after it. */
#define STOP_RETRY_TIME (2 * KQ_SEC)
/* A job's failures are excused while the worker is taken to be the cause, but at most
 * this many times attempts_max of them; further ones count as failures of the job. */
#define EXCUSED_MAX_FACTOR 2

/* The job whose current attempt, on this worker, the key names; NULL if there is none. */
static KqJob *
current_attempt (const KqJobs *j, const KqWorker *w, KqTaskKey key)
{
  KqJob *job = kq_job_find (&j->set, key.job);
  if (job == NULL || job->state != KQ_JOB_STATE_ASSIGNED || job->attempt != key.attempt
      || job->assigned_worker != w)
    return NULL;
  return job;
}

static void
handle_failed_task (KqJobs *j, KqJob *job, const KqTaskReport *t, KqTime now)
{
  KqClassRow row = kq_jobs_class_row (j, &job->spec.class_name);
  uint32_t attempts_max = (uint32_t)row.attempts_max;
  bool blame;
  kq_jobs_record_outcome (j, job->assigned_worker, job, true, now);
  /* Failures on bad workers don't use up the job's attempts, up to a limit. */
  blame = kq_health_blames_job (&job->assigned_worker->health)
          || job->excused >= EXCUSED_MAX_FACTOR * attempts_max;
  if (job->cancel_wanted)
    kq_jobs_end (j, job, KQ_JOB_STATE_CANCELLED, KQ_OK, t->run_us, now);
  else if (blame && job->failures + 1 >= attempts_max)
    kq_jobs_end (j, job, KQ_JOB_STATE_FAILED, KQ_RETRY_JOB_FAILED, t->run_us, now);
  else
    kq_jobs_requeue (j, job, KQ_RETRY_JOB_FAILED, blame, NULL, now);
}

static void
handle_ended_task (KqJobs *j, KqJob *job, const KqTaskReport *t, KqTime now)
{
  switch (t->state)
    {
    case KQ_TASK_RUNNING:
      break;
    case KQ_TASK_FINISHED:
      kq_jobs_record_outcome (j, job->assigned_worker, job, false, now);
      if (job->cancel_wanted)
        kq_jobs_end (j, job, KQ_JOB_STATE_CANCELLED, KQ_OK, t->run_us, now);
      else
        kq_jobs_end (j, job, KQ_JOB_STATE_FINISHED, KQ_OK, t->run_us, now);
      break;
    case KQ_TASK_FAILED:
      handle_failed_task (j, job, t, now);
      break;
    case KQ_TASK_CHECKPOINTED:
      kq_jobs_attempt_stopped (j, job, KQ_RETRY_EVICTED, &t->checkpoint, now);
      break;
    case KQ_TASK_STOPPED:
      kq_jobs_attempt_stopped (j, job, KQ_RETRY_WORKER_LOST, NULL, now);
      break;
    }
}

static void
handle_running_task (KqJobs *j, KqJob *job, KqTime now, KqOutbox *out)
{
  bool phase_is_known = job->phase == KQ_JOB_PHASE_RUNNING
                        || job->phase == KQ_JOB_PHASE_EVICTING
                        || job->phase == KQ_JOB_PHASE_STOPPING;
  if (!phase_is_known)
    kq_jobs_set_phase (j, job, KQ_JOB_PHASE_RUNNING, now);
  if (!job->cancel_wanted)
    return;
  if (job->phase != KQ_JOB_PHASE_STOPPING || now - job->command_at > STOP_RETRY_TIME)
    kq_jobs_send_stop (j, job, now, out);
}

static void
add_ack (KqWorker *w, KqTaskKey task, KqSeq seq)
{
  w->acks = kq_realloc (w->acks, (w->n_acks + 1) * sizeof *w->acks);
  w->acks[w->n_acks++] = (KqAck){ task, seq };
}

static void
reconcile_task (KqJobs *j, KqWorker *w, const KqTaskReport *t, KqTime now, KqOutbox *out)
{
  KqJob *job = current_attempt (j, w, t->task);
  if (job != NULL)
    job->seen_in_list = w->list_number;
  if (t->state != KQ_TASK_RUNNING)
    {
      if (job != NULL)
        handle_ended_task (j, job, t, now);
      job = kq_job_find (&j->set, t->task.job);
      add_ack (w, t->task, job != NULL ? job->seq : 0);
      return;
    }
  if (job != NULL)
    {
      handle_running_task (j, job, now, out);
      return;
    }
  /* The task belongs to an attempt that has been closed, or to a job that this shard
   * doesn't have. A later attempt may be running elsewhere, so the task must stop. */
  w->unknown_used = kq_size_add (w->unknown_used, t->size);
  kq_jobs_send_command (j, KQ_WORKER_STOP, w, t->task, out);
}

/* Handles a job whose task isn't in the worker's list, which was requested at `sent_at`.
 */
static void
reconcile_missing (KqJobs *j, KqWorker *w, KqJob *job, KqTime sent_at, KqTime now,
                   KqOutbox *out)
{
  switch (job->phase)
    {
    case KQ_JOB_PHASE_NONE:
    case KQ_JOB_PHASE_STARTING:
      break;
    case KQ_JOB_PHASE_UNKNOWN:
      /* The START may still arrive. Once the worker has answered a STOP for the attempt
       * it refuses the START, and its next list proves whether the task runs. */
      kq_jobs_send_command (j, KQ_WORKER_STOP, w, (KqTaskKey){ job->id, job->attempt },
                            out);
      break;
    case KQ_JOB_PHASE_STOPPING:
      /* The STOP may have been lost, and the START may still arrive. */
      if (now - job->command_at > STOP_RETRY_TIME)
        kq_jobs_send_stop (j, job, now, out);
      break;
    case KQ_JOB_PHASE_ADOPTING:
    case KQ_JOB_PHASE_RUNNING:
    case KQ_JOB_PHASE_EVICTING:
      if (sent_at >= job->command_at)
        kq_jobs_attempt_stopped (j, job, KQ_RETRY_WORKER_LOST, NULL, now);
      break;
    }
}

static void
handle_lease_answer (KqJobs *j, KqWorker *w, const KqWorkerReply *r, KqTime now,
                     KqOutbox *out)
{
  bool could_start = kq_worker_may_start (w, &j->times, now);
  if (!kq_lease_handle_reply (&w->lease, &j->times, r, now))
    {
      if (w->lease.state == KQ_LEASE_SHUT_OUT)
        kq_log (KQ_LOG_WARN, "job", "A worker obeys a higher epoch. worker=%.*s",
                KQ_STR_ARG (kq_name_str (&w->name)));
      return;
    }
  w->answered = true;
  /* The second call of the lease handshake waits until the worker has answered the STOPs
   * of its fences. Repeating the first call at once would be a busy loop. */
  if (w->n_fences > 0 && w->lease.state == KQ_LEASE_ASKED)
    w->lease.next_call_at = now + STOP_RETRY_TIME / 4;
  w->leaving = r->leaving;
  w->capacity = r->capacity;
  w->unknown_used = (KqSize){ 0 };
  w->list_number++;
  w->n_acks = 0;
  for (size_t i = 0; i < r->n_tasks; i++)
    reconcile_task (j, w, &r->tasks[i], now, out);
  for (KqJob *job = w->jobs, *next; job != NULL; job = next)
    {
      next = job->next_on_worker;
      if (job->seen_in_list != w->list_number)
        reconcile_missing (j, w, job, r->sent_at, now, out);
    }
  for (size_t i = 0; i < r->n_usage; i++)
    kq_jobs_record_usage (j, w, &r->usage[i], now);
  if (r->n_usage > 0 && j->store_ok)
    kq_jobs_apply_remedy (j, w, now, out);
  if (!could_start && kq_worker_may_start (w, &j->times, now))
    j->dirty = true;
}

static void
handle_start_answer (KqJobs *j, KqWorker *w, const KqWorkerReply *r, KqTime now)
{
  KqJob *job = current_attempt (j, w, r->task);
  if (job == NULL)
    return;
  switch (r->result)
    {
    case KQ_OK:
      if (job->phase == KQ_JOB_PHASE_STARTING)
        job->phase = KQ_JOB_PHASE_RUNNING;
      job->command_at = now;
      break;
    case KQ_ERR_WORKER_REFUSED:
    case KQ_ERR_NO_ROOM:
    case KQ_ERR_NO_LEASE:
      if (job->phase == KQ_JOB_PHASE_RUNNING || job->phase == KQ_JOB_PHASE_EVICTING)
        break;
      w->start_not_before = now + START_REFUSED_PAUSE;
      if (r->result == KQ_ERR_WORKER_REFUSED)
        kq_jobs_record_outcome (j, w, job, true, now);
      kq_jobs_attempt_stopped (j, job, KQ_RETRY_NOT_RUN, NULL, now);
      break;
    case KQ_ERR_OLD_EPOCH:
      break; /* the shard has a new owner: this node's next commit will fail */
    default:
      if (job->phase == KQ_JOB_PHASE_STARTING)
        job->phase = KQ_JOB_PHASE_UNKNOWN;
      break;
    }
}

static void
handle_stop_answer (KqJobs *j, KqWorker *w, const KqWorkerReply *r, KqTime now)
{
  KqJob *job = current_attempt (j, w, r->task);
  if (r->result != KQ_OK)
    return;
  kq_worker_remove_fence (w, r->task);
  if (w->n_fences == 0 && w->lease.state == KQ_LEASE_ASKED)
    w->lease.next_call_at = now;
  if (job == NULL)
    return;
  if (job->cancel_wanted)
    kq_jobs_attempt_stopped (j, job, KQ_OK, NULL, now);
  else if (job->phase == KQ_JOB_PHASE_UNKNOWN)
    {
      kq_jobs_set_phase (j, job, KQ_JOB_PHASE_ADOPTING, now);
    }
}

static void
handle_checkpoint_answer (KqJobs *j, KqWorker *w, const KqWorkerReply *r, KqTime now)
{
  KqJob *job = current_attempt (j, w, r->task);
  if (job == NULL || job->phase != KQ_JOB_PHASE_EVICTING)
    return;
  if (r->result == KQ_OK)
    kq_jobs_attempt_stopped (j, job, KQ_RETRY_EVICTED, &r->checkpoint, now);
  else /* if the CHECKPOINT was carried out after all, the next list shows it */
    kq_jobs_set_phase (j, job, KQ_JOB_PHASE_RUNNING, now);
}

KqSeq
kq_jobs_worker_reply (KqJobs *j, const KqWorkerReply *r, KqTime now, KqOutbox *out)
{
  KqWorker *w = kq_workers_find (&j->workers, r->worker);
  j->send_after = 0;
  if (w == NULL || !j->open || r->epoch != j->epoch || r->shard != j->c.shard)
    return 0;
  switch (r->kind)
    {
    case KQ_WORKER_LEASE:
      handle_lease_answer (j, w, r, now, out);
      break;
    case KQ_WORKER_START:
      handle_start_answer (j, w, r, now);
      break;
    case KQ_WORKER_STOP:
      handle_stop_answer (j, w, r, now);
      break;
    case KQ_WORKER_CHECKPOINT:
      handle_checkpoint_answer (j, w, r, now);
      break;
    case KQ_WORKER_THROTTLE:
      break;
    }
  kq_workers_schedule (&j->workers, w);
  kq_jobs_refresh_worker (j, w, now);
  return j->send_after;
}
