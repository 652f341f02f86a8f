#include "job/jobs_impl.h"

#include "base/log.h"

#include <stdlib.h>

/* Most leases renewed in one tick. A node has fewer than 100 workers at the intended
 * load; larger batches would fill the socket buffers in bursts. */
#define RENEW_BATCH 64
/* Most jobs started in one tick, and most jobs tried in one scheduling round. The rest
 * follows in the next tick, so that a long queue doesn't delay renewals and answers. */
#define STARTS_MAX 64
#define TRIES_MAX 4096
/* Period of scan_workers. */
#define SCAN_PERIOD (250 * KQ_MS)
/* Most sizes without room that are remembered during one scheduling round. */
#define NO_ROOM_SIZES_MAX 8
/* Most unplaceable jobs checked in one scan. */
#define UNPLACEABLE_BATCH 64

void
kq_jobs_refresh_worker (KqJobs *j, KqWorker *w, KqTime now)
{
  kq_workers_refresh (&j->workers, w, &j->times, now);
}

static KqWorkerCall
new_call (KqJobs *j, KqWorkerCallKind kind, const KqWorker *w)
{
  return (KqWorkerCall){ .kind = kind,
                         .worker = w->id,
                         .shard = j->c.shard,
                         .epoch = j->epoch,
                         .token = ++j->last_token,
                         .throttle_percent = 100 };
}

void
kq_jobs_send_command (KqJobs *j, KqWorkerCallKind kind, KqWorker *w, KqTaskKey task,
                      KqOutbox *out)
{
  KqWorkerCall call = new_call (j, kind, w);
  const KqJob *job = kq_job_find (&j->set, task.job);
  call.task = task;
  /* The stamp names the lease on which the command relies, so that the worker refuses a
   * START that arrives after this lease has ended. */
  call.echo_stamp = w->lease.stamp;
  if (job != NULL && job->attempt == task.attempt)
    {
      call.size = job->size;
      call.class_name = job->spec.class_name;
      call.checkpoint = job->checkpoint;
      call.latency_critical = job->service;
      call.run_ms = job->spec.run_ms;
      call.throttle_percent = job->throttle_percent;
      kq_jobs_send_after (j, job->seq);
    }
  kq_outbox_worker (out, &call);
}

void
kq_jobs_send_stop (KqJobs *j, KqJob *job, KqTime now, KqOutbox *out)
{
  kq_jobs_set_phase (j, job, KQ_JOB_PHASE_STOPPING, now);
  kq_jobs_send_command (j, KQ_WORKER_STOP, job->assigned_worker,
                        (KqTaskKey){ job->id, job->attempt }, out);
}

void
kq_jobs_evict (KqJobs *j, KqJob *job, KqTime now, KqOutbox *out)
{
  kq_jobs_set_phase (j, job, KQ_JOB_PHASE_EVICTING, now);
  kq_jobs_send_command (j, KQ_WORKER_CHECKPOINT, job->assigned_worker,
                        (KqTaskKey){ job->id, job->attempt }, out);
}

/* Writes the tasks whose ends are committed to `keys`, for the next LEASE call to
 * acknowledge; the others wait for a later call. The end of a task that is acknowledged
 * before its commit would be lost if this process died. Returns the number of tasks. */
static size_t
collect_committed_acks (const KqJobs *j, const KqWorker *w, KqTaskKey *keys)
{
  KqSeq committed = kq_log_port_committed (j->log);
  size_t n = 0;
  for (size_t i = 0; i < w->n_acks; i++)
    if (w->acks[i].seq <= committed)
      keys[n++] = w->acks[i].task;
  return n;
}

static void
send_fences (KqJobs *j, KqWorker *w, KqOutbox *out)
{
  KqSeq committed = kq_log_port_committed (j->log);
  for (size_t i = 0; i < w->n_fences; i++)
    if (w->fences[i].seq <= committed)
      kq_jobs_send_command (j, KQ_WORKER_STOP, w, w->fences[i].task, out);
}

static void
renew_lease (KqJobs *j, KqWorker *w, KqTime now, KqOutbox *out)
{
  KqWorkerCall call = new_call (j, KQ_WORKER_LEASE, w);
  /* Before a worker whose lease has lapsed gets a new one, it must be told to refuse the
   * attempts whose START may still arrive. Otherwise such a START would find a live lease
   * and the task would run twice. */
  if (w->n_fences > 0 && w->lease.state != KQ_LEASE_LIVE)
    {
      w->lease.stamp = 0;
      send_fences (j, w, out);
    }
  call.acks = kq_alloc ((w->n_acks + 1) * sizeof *call.acks);
  call.n_acks = collect_committed_acks (j, w, call.acks);
  kq_lease_prepare_call (&w->lease, &j->times, call.token, now, &call);
  kq_outbox_worker (out, &call);
  free (call.acks);
}

static int
renew_leases (KqJobs *j, KqTime now, KqOutbox *out)
{
  int n = 0;
  while (n < RENEW_BATCH && j->workers.first_due != NULL
         && j->workers.first_due->lease.next_call_at <= now)
    {
      KqWorker *w = j->workers.first_due;
      if (w->host == KQ_HOST_GONE)
        w->lease.next_call_at = KQ_TIME_NEVER;
      else
        {
          renew_lease (j, w, now, out);
          n++;
        }
      kq_workers_schedule (&j->workers, w);
    }
  return n;
}

void
kq_jobs_close_attempts (KqJobs *j, KqWorker *w, KqTime now)
{
  if (w->n_jobs > 0)
    kq_log (KQ_LOG_WARN, "job", "A worker is lost. worker=%.*s tasks=%d",
            KQ_STR_ARG (kq_name_str (&w->name)), w->n_jobs);
  while (w->jobs != NULL)
    {
      KqJob *job = w->jobs;
      bool started
          = job->phase == KQ_JOB_PHASE_RUNNING || job->phase == KQ_JOB_PHASE_EVICTING;
      if (!started)
        kq_worker_add_fence (w, (KqTaskKey){ job->id, job->attempt }, job->seq);
      kq_jobs_attempt_stopped (j, job, KQ_RETRY_WORKER_LOST, NULL, now);
    }
}

/* Checks unplaceable jobs again: a job may become placeable as the size of its class is
 * learned. */
static void
check_unplaceable (KqJobs *j, KqTime now)
{
  int left = UNPLACEABLE_BATCH;
  for (KqJob *job = j->queue.unplaceable.first, *next; job != NULL && left-- > 0;
       job = next)
    {
      next = job->next;
      if (!kq_jobs_update_unplaceable (j, job, now))
        j->dirty = true;
    }
}

static void
scan_workers (KqJobs *j, KqTime now)
{
  for (uint32_t i = 0; i < j->workers.n; i++)
    {
      KqWorker *w = j->workers.all[i];
      if (kq_lease_check_expired (&w->lease, now))
        kq_jobs_close_attempts (j, w, now);
      if (w->reserved_for != 0 && now >= w->reserved_until)
        kq_jobs_cancel_reservation (j, kq_job_find (&j->set, w->reserved_for), now);
      kq_jobs_update_task_limit (j, w, now);
      kq_jobs_refresh_worker (j, w, now);
    }
  check_unplaceable (j, now);
  kq_jobs_account (j); /* for its assertion that every accepted job is counted */
  /* A job that was held back because it would disturb a service may start once its
   * interference has been learned anew. */
  j->dirty = true;
  j->next_scan = now + SCAN_PERIOD;
}

KqSize
kq_jobs_required_size (const KqJobs *j, const KqJob *job)
{
  if (!kq_jobs_policy (j)->learned_sizes)
    return job->declared_size;
  return kq_sizes_required_size (&j->sizes, job->class_index, job->declared_size,
                                 j->largest);
}

bool
kq_jobs_update_unplaceable (KqJobs *j, KqJob *job, KqTime now)
{
  KqPlacer p = kq_jobs_placer (j, now);
  KqSize need = kq_jobs_required_size (j, job);
  char reason[96];
  bool hosts_known = false;
  for (uint32_t i = 0; i < j->workers.n && !hosts_known; i++)
    hosts_known = j->workers.all[i]->in_hosts;
  if (!hosts_known || kq_place_possible (&p, &need, (KqSize){ 0 }, reason, sizeof reason))
    {
      if (job->blocked_reason == KQ_ERR_JOB_UNPLACEABLE)
        kq_jobs_set_blocked (j, job, KQ_OK, now);
      return false;
    }
  kq_jobs_set_blocked (j, job, KQ_ERR_JOB_UNPLACEABLE, now);
  return true;
}

/* State of one scheduling round. */
typedef struct
{
  KqJobs *j;
  KqTime now;
  KqOutbox *out;
  int starts_left;
  int tries_left;
  KqSize no_room_sizes[NO_ROOM_SIZES_MAX]; /* sizes for which no worker has room */
  int n_no_room_sizes;
  /* Bit set of class indexes: classes that would slow down services on every worker with
   * room. */
  uint64_t disturbing_classes;
} SchedulingRound;

static bool
known_not_to_fit (const SchedulingRound *r, const KqSize *need)
{
  for (int i = 0; i < r->n_no_room_sizes; i++)
    if (kq_size_fits (&r->no_room_sizes[i], need))
      return true;
  return false;
}

/* Starts a job for which room is reserved, if enough tasks on that worker have stopped.
 * Returns whether the job was started. */
static bool
start_reserved (SchedulingRound *r, KqJob *job)
{
  KqJobs *j = r->j;
  KqWorker *w = job->reserved_worker;
  KqSize need = w->reserved_size;
  KqSize room = kq_size_add (kq_worker_free (w), need);
  if (!kq_size_fits (&need, &room) || !kq_worker_may_start (w, &j->times, r->now))
    return false;
  kq_jobs_cancel_reservation (j, job, r->now);
  kq_jobs_assign (j, job, w, need, r->now, r->out);
  r->starts_left--;
  return true;
}

static void
make_or_reserve_room (SchedulingRound *r, KqJob *job, const KqSize *need)
{
  if (!kq_jobs_make_room (r->j, job, need, r->now, r->out))
    kq_jobs_reserve_for_large (r->j, job, need, r->now);
}

static bool
try_start (SchedulingRound *r, KqJob *job)
{
  KqJobs *j = r->j;
  KqSize need = kq_jobs_required_size (j, job);
  KqPlacer p = kq_jobs_placer (j, r->now);
  KqWorker *w;
  r->tries_left--;
  if (p.policy->quotas && !kq_quota_allows (&j->quota, job->team, need))
    {
      job->blocked_reason = KQ_ERR_JOB_QUOTA;
      return false;
    }
  job->blocked_reason = KQ_ERR_NO_ROOM;
  if (job->reserved_worker != NULL)
    return start_reserved (r, job);
  if (known_not_to_fit (r, &need))
    {
      make_or_reserve_room (r, job, &need);
      return false;
    }
  if (job->spec.priority != KQ_PRIORITY_URGENT
      && r->disturbing_classes >> job->class_index & 1)
    {
      job->blocked_reason = KQ_ERR_JOB_DISTURBS;
      return false;
    }
  w = kq_place_choose (&p, job, &need);
  if (w == NULL && p.only_disturbing && job->spec.priority != KQ_PRIORITY_URGENT)
    {
      r->disturbing_classes |= (uint64_t)1 << job->class_index;
      job->blocked_reason = KQ_ERR_JOB_DISTURBS;
      return false;
    }
  if (w == NULL)
    {
      r->no_room_sizes[r->n_no_room_sizes < NO_ROOM_SIZES_MAX ? r->n_no_room_sizes++
                                                              : NO_ROOM_SIZES_MAX - 1]
          = need;
      make_or_reserve_room (r, job, &need);
      return false;
    }
  kq_jobs_assign (j, job, w, need, r->now, r->out);
  r->starts_left--;
  return true;
}

/* The team whose job is tried next: of the teams with jobs left to try in this round, the
 * first by quota, or without quotas the one with the oldest job. SIZE_MAX: none is left.
 */
static size_t
next_team (const KqJobs *j)
{
  size_t best = SIZE_MAX;
  double best_rank = 0;
  for (size_t i = 0; i < j->n_cursors; i++)
    {
      double rank;
      if (j->cursors[i] == NULL)
        continue;
      if (!kq_jobs_policy (j)->quotas)
        rank = (double)j->cursors[i]->number;
      else
        rank = kq_quota_rank (&j->quota, i);
      if (best == SIZE_MAX || rank < best_rank)
        {
          best = i;
          best_rank = rank;
        }
    }
  return best;
}

static void
schedule_priority (SchedulingRound *r, KqPriority p)
{
  KqJobs *j = r->j;
  size_t team;
  for (size_t i = 0; i < j->n_cursors; i++)
    j->cursors[i] = kq_job_queue_list (&j->queue, i, p)->first;
  while (r->starts_left > 0 && r->tries_left > 0 && (team = next_team (j)) != SIZE_MAX)
    {
      bool started = false;
      while (!started && j->cursors[team] != NULL && r->tries_left > 0)
        {
          KqJob *job = j->cursors[team];
          j->cursors[team] = job->next;
          started = try_start (r, job);
        }
    }
}

int
kq_jobs_schedule (KqJobs *j, int max, KqTime now, KqOutbox *out)
{
  SchedulingRound r
      = { .j = j, .now = now, .out = out, .starts_left = max, .tries_left = TRIES_MAX };
  if (j->n_cursors < j->quota.n)
    {
      j->cursors = kq_realloc ((void *)j->cursors, j->quota.n * sizeof (KqJob *));
      j->n_cursors = j->quota.n;
    }
  for (int p = KQ_PRIORITY_URGENT; p >= KQ_PRIORITY_LOW; p--)
    schedule_priority (&r, (KqPriority)p);
  j->dirty = r.starts_left == 0;
  return max - r.starts_left;
}

/* While the store is unreachable, leases are renewed for limits.blind_ms and no longer. A
 * successor relies on that bound for workers that it can't reach: once the bound and the
 * lease time have passed, the successor starts the tasks of these workers again. */
static void
update_store_state (KqJobs *j, bool store_ok, KqTime now)
{
  if (store_ok || j->store_ok)
    j->store_lost_at = now;
  j->store_ok = store_ok;
  j->renewing = store_ok || now - j->store_lost_at <= j->times.renew_without_store;
}

KqSeq
kq_jobs_tick (KqJobs *j, bool store_ok, KqTime now, KqOutbox *out)
{
  j->send_after = 0;
  if (!j->open)
    return 0;
  update_store_state (j, store_ok, now);
  /* A tick that sends renewals does nothing else and returns 0, so that they are sent at
   * once. Held back together with starts that wait for a slow store, they would be sent
   * too late, and all leases would lapse. */
  if (j->renewing && renew_leases (j, now, out) > 0)
    return 0;
  if (now >= j->next_scan)
    scan_workers (j, now);
  if (store_ok)
    kq_jobs_record_learned (j, now);
  if (kq_job_queue_move_due (&j->queue, now))
    j->dirty = true;
  if (!store_ok)
    return j->send_after;
  if (j->dirty)
    kq_jobs_schedule (j, STARTS_MAX, now, out);
  kq_jobs_evacuate (j, now, out);
  kq_jobs_move_away (j, now, out);
  return j->send_after;
}

KqTime
kq_jobs_next_tick (const KqJobs *j, KqTime now)
{
  KqTime next = MIN (j->next_scan, kq_job_queue_next_due_time (&j->queue));
  if (!j->open)
    return KQ_TIME_NEVER;
  if (j->renewing && j->workers.first_due != NULL)
    next = MIN (next, j->workers.first_due->lease.next_call_at);
  if (j->dirty && j->store_ok)
    next = now;
  return MAX (next, now);
}
