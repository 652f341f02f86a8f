#include "job/jobs_impl.h"

#include <assert.h>

/* Bounds of the exponential backoff after a job's failures. With it, a job that fails
 * because something it depends on is unavailable is retried over some minutes, and a job
 * that always fails costs little. */
#define BACKOFF_FIRST KQ_SEC
#define BACKOFF_MAX (60 * KQ_SEC)

void
kq_jobs_send_after (KqJobs *j, KqSeq seq)
{
  j->send_after = MAX (j->send_after, seq);
}

void
kq_jobs_set_phase (KqJobs *j, KqJob *job, KqJobPhase phase, KqTime now)
{
  j->n_evicting -= job->phase == KQ_JOB_PHASE_EVICTING;
  j->n_evicting += phase == KQ_JOB_PHASE_EVICTING;
  job->phase = phase;
  job->command_at = now;
}

/* Removes the job from the queue or from its worker, subtracts it from all sums, and
 * cancels its reservation. */
static void
detach (KqJobs *j, KqJob *job, KqTime now)
{
  KqWorker *w = job->assigned_worker;
  if (job->reserved_worker != NULL)
    kq_jobs_cancel_reservation (j, job, now);
  if (job->in_queue)
    {
      kq_job_queue_remove (&j->queue, job);
      j->quota.teams[job->team].own_wanted
          = kq_size_sub (j->quota.teams[job->team].own_wanted, job->declared_size);
    }
  if (w == NULL)
    return;
  kq_worker_remove_job (w, job);
  kq_quota_release (&j->quota, job->team, job->charged);
  kq_history_record_change (&w->history, job->class_index, -job->throttle_percent / 100.0,
                            -job->size.cpu_milli, now);
  if (job->service)
    kq_spread_add (&j->spread, w, job->class_index, -1);
  j->n_evicting -= job->phase == KQ_JOB_PHASE_EVICTING;
  job->phase = KQ_JOB_PHASE_NONE;
  j->n_running--;
  j->dirty = true;
  kq_jobs_refresh_worker (j, w, now);
}

/* Puts a QUEUED job into the queue or an ASSIGNED job onto its worker, and adds it to the
 * sums. */
static void
attach (KqJobs *j, KqJob *job, KqTime now)
{
  KqWorker *w;
  if (job->state == KQ_JOB_STATE_QUEUED)
    {
      kq_job_queue_add (&j->queue, job, now);
      j->quota.teams[job->team].own_wanted
          = kq_size_add (j->quota.teams[job->team].own_wanted, job->declared_size);
      j->dirty = true;
    }
  if (job->state != KQ_JOB_STATE_ASSIGNED)
    return;
  w = kq_workers_find_or_add (&j->workers, job->worker);
  job->charged = job->size;
  job->throttle_percent = 100;
  job->slow_reports = 0;
  kq_worker_add_job (w, job);
  kq_history_record_change (&w->history, job->class_index, 1, job->size.cpu_milli, now);
  if (job->service)
    kq_spread_add (&j->spread, w, job->class_index, 1);
  kq_quota_charge (&j->quota, job->team, job->charged);
  j->n_running++;
  kq_jobs_refresh_worker (j, w, now);
}

/* Sets those fields of a new job that aren't recorded in the journal. */
static void
init_new_job (KqJobs *j, KqJob *job, KqTime now)
{
  job->team = (uint16_t)kq_quota_find_or_add_team (&j->quota, &job->spec.team);
  job->queued_at = now;
  job->throttle_percent = 100;
  job->class_index = kq_classes_find_or_add (&j->classes, &job->spec.class_name);
  job->declared_size = kq_jobs_declared_size (j, &job->spec);
  kq_jobs_update_traits (j, job);
}

static KqJob *
apply_event (KqJobs *j, const KqJobEvent *e, KqTime now)
{
  KqJob *job = kq_job_find (&j->set, e->job);
  bool changes_list = e->kind != KQ_JOB_EVENT_CANCEL;
  bool is_new = e->kind == KQ_JOB_EVENT_ACCEPTED || e->kind == KQ_JOB_EVENT_FULL_STATE
                || e->kind == KQ_JOB_EVENT_ARRIVED;
  if (job != NULL && changes_list)
    detach (j, job, now);
  job = kq_job_set_apply (&j->set, e);
  if (is_new)
    init_new_job (j, job, now);
  if (changes_list)
    attach (j, job, now);
  return job;
}

void
kq_jobs_replay (KqJobs *j, const KqJobEvent *e, KqTime now)
{
  KqJob *job;
  if (!kq_job_event_fits (&j->set, e))
    return;
  job = apply_event (j, e, now);
  if (job->state == KQ_JOB_STATE_ASSIGNED)
    job->phase = KQ_JOB_PHASE_ADOPTING;
}

static KqJob *
append_event (KqJobs *j, const KqJobEvent *e, KqPriority priority, KqTime now)
{
  KqRecord r = kq_job_event_pack (e, &j->buf);
  KqCommitClass c = priority == KQ_PRIORITY_URGENT ? KQ_COMMIT_URGENT : KQ_COMMIT_NORMAL;
  KqSeq seq;
  KqJob *job;
  assert (j->open && kq_job_event_fits (&j->set, e));
  seq = kq_log_port_append (j->log, &r, c, now);
  job = apply_event (j, e, now);
  job->seq = seq;
  kq_jobs_send_after (j, seq);
  return job;
}

KqJob *
kq_jobs_accept (KqJobs *j, KqJobId id, const KqJobSpec *spec, KqTime now)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_ACCEPTED,
                   .job = id,
                   .number = j->set.last_number + 1,
                   .spec = *spec };
  return append_event (j, &e, spec->priority, now);
}

void
kq_jobs_assign (KqJobs *j, KqJob *job, KqWorker *w, KqSize size, KqTime now,
                KqOutbox *out)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_ASSIGNED,
                   .job = job->id,
                   .attempt = job->attempt + 1,
                   .worker = w->id,
                   .size = size };
  KqSize room = kq_worker_free (w);
  /* A worker must never be assigned more than it has free. */
  assert (kq_size_fits (&size, &room));
  assert (kq_worker_may_start (w, &j->times, now));
  append_event (j, &e, job->spec.priority, now);
  j->quota.teams[job->team].last_number = job->number;
  j->quota.teams[job->team].last_size = size;
  job->phase = KQ_JOB_PHASE_STARTING;
  job->blocked_reason = KQ_OK;
  job->assigned_at = job->command_at = now;
  kq_jobs_send_command (j, KQ_WORKER_START, w, (KqTaskKey){ job->id, job->attempt }, out);
}

static KqTime
backoff_delay (KqJobs *j, uint32_t failures)
{
  KqTime t = BACKOFF_FIRST;
  for (uint32_t i = 1; i < failures && t < BACKOFF_MAX; i++)
    t *= 2;
  t = MIN (t, BACKOFF_MAX);
  return t / 2 + (KqTime)kq_rand_below (&j->rand, (uint64_t)t);
}

void
kq_jobs_requeue (KqJobs *j, KqJob *job, KqResult why, bool blame,
                 const KqName *checkpoint, KqTime now)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_REQUEUED,
                   .job = job->id,
                   .attempt = job->attempt,
                   .why = why,
                   .blame = blame };
  if (checkpoint != NULL)
    e.checkpoint = *checkpoint;
  if (why == KQ_RETRY_JOB_FAILED)
    job->not_before = now + backoff_delay (j, job->failures + 1);
  job->queued_at = now;
  if (j->c.counters != NULL)
    kq_counter_result (j->c.counters, why);
  append_event (j, &e, job->spec.priority, now);
}

void
kq_jobs_end (KqJobs *j, KqJob *job, KqJobState state, KqResult why, int64_t run_us,
             KqTime now)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_ENDED,
                   .job = job->id,
                   .attempt = job->attempt,
                   .state = state,
                   .why = why,
                   .run_us = run_us };
  append_event (j, &e, job->spec.priority, now);
}

void
kq_jobs_request_cancel (KqJobs *j, KqJob *job, KqTime now)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_CANCEL, .job = job->id };
  append_event (j, &e, job->spec.priority, now);
}

void
kq_jobs_start_move (KqJobs *j, KqJob *job, uint32_t shard, KqTime now)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_MOVING, .job = job->id, .shard = shard };
  append_event (j, &e, job->spec.priority, now);
  job->blocked_reason = KQ_OK;
}

void
kq_jobs_end_move (KqJobs *j, KqJob *job, KqTime now)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_MOVED, .job = job->id };
  append_event (j, &e, job->spec.priority, now);
}

KqJob *
kq_jobs_accept_moved (KqJobs *j, const KqJob *full_state, KqTime now)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_ARRIVED,
                   .job = full_state->id,
                   .number = j->set.last_number + 1,
                   .full_state = *full_state };
  e.full_state.number = e.number;
  return append_event (j, &e, full_state->spec.priority, now);
}

void
kq_jobs_attempt_stopped (KqJobs *j, KqJob *job, KqResult why, const KqName *checkpoint,
                         KqTime now)
{
  if (job->cancel_wanted)
    kq_jobs_end (j, job, KQ_JOB_STATE_CANCELLED, KQ_OK, 0, now);
  else
    kq_jobs_requeue (j, job, why, false, checkpoint, now);
}

void
kq_jobs_set_blocked (KqJobs *j, KqJob *job, KqResult why, KqTime now)
{
  bool unplaceable = why == KQ_ERR_JOB_UNPLACEABLE;
  bool was_unplaceable = job->blocked_reason == KQ_ERR_JOB_UNPLACEABLE;
  if (unplaceable == was_unplaceable || !job->in_queue)
    {
      job->blocked_reason = why;
      return;
    }
  kq_job_queue_remove (&j->queue, job);
  job->blocked_reason = why;
  kq_job_queue_add (&j->queue, job, now);
}
