#include "job/jobs_impl.h"

#include <limits.h>
#include <stdlib.h>

/* Most workers examined when room is made for a job. A shard normally has fewer workers,
 * so that all are examined. */
#define ROOM_WORKERS_MAX 64
/* Evicted tasks must have stopped within this time, or the reserved room is given up. */
#define RESERVATION_TIME (10 * KQ_SEC)
#define RESERVATIONS_MAX 16 /* workers with reserved room at a time */
/* Time between two jobs for which tasks are evicted because of a team's guarantee.
 * Without it, a team whose demand returns would at once evict tasks for all its queued
 * jobs. */
#define RECLAIM_PERIOD (2 * KQ_SEC)
/* Most concurrent evictions while workers are evacuated. This bounds the network load of
 * checkpoints, and lets tasks restart elsewhere before more are evicted. */
#define EVACUATING_MAX 8
/* If a shard has fewer workers, none is kept for urgent jobs, which then rely on
 * evictions alone: one worker would be too large a part of the shard, an eighth with 8
 * workers. */
#define URGENT_RESERVE_WORKERS_MIN 10
/* Without a reservation a large job would wait for ever while small jobs fill all room
 * that becomes free. When the job has waited for OVERTAKEN_TIME, a worker is reserved for
 * it, which starts nothing in the reserved room until the job fits; only one job per
 * shard has such a reservation at a time. After LARGE_JOB_RESERVATION_TIME the tasks on
 * the worker are unlikely to end soon: the reservation ends, and another job or worker is
 * tried. */
#define OVERTAKEN_TIME (60 * KQ_SEC)
#define LARGE_JOB_RESERVATION_TIME (600 * KQ_SEC)
/* Period of recording learned sizes and interference. With 16 classes of 1 KB in each of
 * 64 shards, the records take less than 2 KB/s for the whole fleet. */
#define LEARNED_PERIOD (600 * KQ_SEC)
/* How long a job that a remedy moved isn't placed on the same worker again. */
#define AVOID_TIME (600 * KQ_SEC)

void
kq_jobs_update_traits (KqJobs *j, KqJob *job)
{
  KqClassRow row = kq_jobs_class_row (j, &job->spec.class_name);
  job->movable = row.movable;
  job->checkpoint_us = row.checkpoint_ms * KQ_MS;
  if (job->assigned_worker == NULL)
    job->service = job->spec.latency_critical || row.latency_critical;
  if (job->service)
    j->classes.latency_critical[job->class_index]
        = j->interference.low_prior[job->class_index] = true;
}

/* Charges memory that the task uses beyond its size to the worker and to the team's
 * quota. */
static void
charge_growth (KqJobs *j, KqWorker *w, KqJob *job, const KqUsageReport *u)
{
  KqSize charged = job->charged;
  charged.memory_mb = MAX (charged.memory_mb, u->memory_mb);
  kq_quota_release (&j->quota, job->team, job->charged);
  w->used = kq_size_add (kq_size_sub (w->used, job->charged), charged);
  job->charged = charged;
  kq_quota_charge (&j->quota, job->team, charged);
}

void
kq_jobs_record_usage (KqJobs *j, KqWorker *w, const KqUsageReport *u, KqTime now)
{
  KqJob *job = kq_job_find (&j->set, u->task.job);
  KqTime at = now - u->age_us;
  KqMix mix;
  int64_t cpu;
  if (job == NULL || job->worker != w->id || job->attempt != u->task.attempt)
    return;
  kq_sizes_record_report (&j->sizes, job->class_index, u);
  if (job->assigned_worker == w)
    {
      charge_growth (j, w, job, u);
      if (job->service)
        kq_remedy_record_slowdown (w, job, u->slowdown, at);
    }
  if (at < job->assigned_at || !kq_history_at (&w->history, at, &mix, &cpu))
    return;
  kq_mix_add (&mix, job->class_index, -1);
  kq_interference_learn (&j->interference, job->class_index, &mix,
                         kq_load_band (cpu, w->capacity.cpu_milli), u->slowdown, now);
}

void
kq_jobs_record_learned (KqJobs *j, KqTime now)
{
  if (now < j->next_learned_record)
    return;
  j->next_learned_record = now + LEARNED_PERIOD;
  for (uint16_t i = 0; i < j->classes.n; i++)
    {
      KqRecord r;
      if (j->sizes.classes[i].reports == 0)
        continue;
      r = kq_learned_pack (&j->classes, &j->sizes, &j->interference, i, &j->buf);
      kq_jobs_send_after (j, kq_log_port_append (j->log, &r, KQ_COMMIT_NORMAL, now));
    }
}

void
kq_jobs_update_task_limit (KqJobs *j, KqWorker *w, KqTime now)
{
  w->task_limit = INT_MAX;
  if (kq_jobs_policy (j)->bad_workers)
    w->task_limit = kq_health_update_task_limit (&j->health, &w->health, now);
}

void
kq_jobs_record_outcome (KqJobs *j, KqWorker *w, const KqJob *job, bool failed, KqTime now)
{
  const KqPolicyRow *p = kq_jobs_policy (j);
  if (!p->bad_workers)
    return;
  kq_health_record_outcome (&j->health, &w->health, job->class_index, job->id, failed,
                            j->n_live, p->held_percent, now);
  kq_jobs_update_task_limit (j, w, now);
}

static void
set_throttle (KqJobs *j, KqJob *job, int percent, KqTime now, KqOutbox *out)
{
  KqWorker *w = job->assigned_worker;
  double change = (percent - job->throttle_percent) / 100.0;
  kq_history_record_change (&w->history, job->class_index, change, 0, now);
  job->throttle_percent = percent;
  job->throttle_at = now;
  j->throttles++;
  kq_jobs_send_command (j, KQ_WORKER_THROTTLE, w, (KqTaskKey){ job->id, job->attempt },
                        out);
}

void
kq_jobs_apply_remedy (KqJobs *j, KqWorker *w, KqTime now, KqOutbox *out)
{
  KqRemedy r = kq_remedy_choose (w, &j->interference, kq_jobs_policy (j), now);
  switch (r.kind)
    {
    case KQ_REMEDY_NONE:
      return;
    case KQ_REMEDY_THROTTLE:
      set_throttle (j, r.job, r.percent, now, out);
      break;
    case KQ_REMEDY_MOVE:
      if (kq_fit_tree_find (&j->workers.room, 0, &r.job->size) == KQ_FIT_NONE)
        return;
      r.job->avoid = w->id;
      r.job->avoid_until = now + AVOID_TIME;
      kq_jobs_evict (j, r.job, now, out);
      break;
    }
  kq_remedy_applied (w, now);
}

void
kq_jobs_cancel_reservation (KqJobs *j, KqJob *job, KqTime now)
{
  KqWorker *w = job->reserved_worker;
  kq_worker_cancel_reservation (w, job);
  j->n_reservations--;
  kq_jobs_refresh_worker (j, w, now);
}

/* Finds the worker on which room for `need` can be made by the cheapest evictions, and
 * writes these to `best`. Examines ROOM_WORKERS_MAX workers, from a random one on. NULL:
 * none of them can make room. */
static KqWorker *
plan_room (KqJobs *j, const KqSize *need, const KqEvictRule *rule, KqTime now,
           KqEviction *best)
{
  KqWorker *found = NULL;
  uint32_t n = j->workers.n;
  uint32_t at = n > 0 ? (uint32_t)kq_rand_below (&j->rand, n) : 0;
  for (uint32_t i = 0; i < n && i < ROOM_WORKERS_MAX; i++)
    {
      KqWorker *w = j->workers.all[(at + i) % n];
      KqEviction e;
      if (w->reserved_for != 0 || !kq_worker_may_start (w, &j->times, now)
          || !kq_evict_plan (w, need, rule, now, &e))
        continue;
      if (found == NULL || e.cost < best->cost)
        {
          found = w;
          *best = e;
        }
    }
  return found;
}

bool
kq_jobs_make_room (KqJobs *j, KqJob *job, const KqSize *need, KqTime now, KqOutbox *out)
{
  const KqPolicyRow *p = kq_jobs_policy (j);
  KqEvictRule rule
      = { .priority_below = job->spec.priority, .evictions_max = p->evictions_max };
  KqEviction e;
  KqWorker *w;
  if (!p->eviction || j->n_reservations >= RESERVATIONS_MAX)
    return false;
  if (job->spec.priority != KQ_PRIORITY_URGENT)
    {
      if (!p->quotas || now < j->next_reclaim
          || !kq_quota_within_guarantee (&j->quota, job->team, *need))
        return false;
      j->next_reclaim = now + RECLAIM_PERIOD;
      rule.priority_below = KQ_PRIORITY_URGENT;
      rule.quota = &j->quota;
      rule.team = job->team;
    }
  w = plan_room (j, need, &rule, now, &e);
  if (w == NULL)
    return false;
  kq_worker_reserve (w, job, *need, now + RESERVATION_TIME);
  j->n_reservations++;
  kq_jobs_refresh_worker (j, w, now);
  for (int i = 0; i < e.n; i++)
    kq_jobs_evict (j, e.victims[i], now, out);
  j->dirty |= e.n == 0;
  return true;
}

/* Whether the job has waited longer than OVERTAKEN_TIME, and the job that its team
 * started last is younger and smaller. */
static bool
was_overtaken (const KqJobs *j, const KqJob *job, const KqSize *need, KqTime now)
{
  const KqTeam *t = &j->quota.teams[job->team];
  return now - job->queued_at > OVERTAKEN_TIME && t->last_number > job->number
         && !kq_size_fits (need, &t->last_size);
}

static double
free_fraction (int64_t room, int64_t need)
{
  return need > 0 ? (double)room / (double)need : 1;
}

/* The fraction of `need` for which the worker has room, in the scarcest resource; at most
 * 1. */
static double
fit_fraction (const KqWorker *w, const KqSize *need)
{
  KqSize room = kq_worker_free (w);
  double cpu = free_fraction (room.cpu_milli, need->cpu_milli);
  double memory = free_fraction (room.memory_mb, need->memory_mb);
  double accelerators = free_fraction (room.accelerators, need->accelerators);
  return MIN (MIN (cpu, memory), MIN (accelerators, 1));
}

void
kq_jobs_reserve_for_large (KqJobs *j, KqJob *job, const KqSize *need, KqTime now)
{
  const KqJob *other = kq_job_find (&j->set, j->large_job);
  KqWorker *best = NULL;
  uint32_t n = j->workers.n;
  uint32_t at = n > 0 ? (uint32_t)kq_rand_below (&j->rand, n) : 0;
  if ((other != NULL && other->reserved_worker != NULL)
      || !was_overtaken (j, job, need, now))
    return;
  for (uint32_t i = 0; i < n && i < ROOM_WORKERS_MAX; i++)
    {
      KqWorker *w = j->workers.all[(at + i) % n];
      KqSize whole = kq_size_sub (w->capacity, w->row.reserved);
      if (w->reserved_for == 0 && !w->urgent_only
          && kq_worker_may_start (w, &j->times, now) && kq_size_fits (need, &whole)
          && (best == NULL || fit_fraction (w, need) > fit_fraction (best, need)))
        best = w;
    }
  if (best == NULL)
    return;
  kq_worker_reserve (best, job, *need, now + LARGE_JOB_RESERVATION_TIME);
  j->n_reservations++;
  j->large_job = job->id;
  kq_jobs_refresh_worker (j, best, now);
}

static bool
must_evacuate (const KqWorker *w)
{
  return w->n_jobs > 0
         && (w->leaving || w->host == KQ_HOST_LEAVING
             || w->row.mode == KQ_WORKER_EVACUATE)
         && w->lease.state == KQ_LEASE_LIVE;
}

/* The order in which a worker's jobs are evicted: services first, then by priority, then
 * by age, so that the most important tasks restart first. */
static bool
evacuates_before (const KqJob *a, const KqJob *b)
{
  if (a->service != b->service)
    return a->service;
  if (a->spec.priority != b->spec.priority)
    return a->spec.priority > b->spec.priority;
  return a->number < b->number;
}

static KqJob *
next_to_evacuate (KqJobs *j, const KqWorker *w)
{
  KqJob *best = NULL;
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    if (job->phase == KQ_JOB_PHASE_RUNNING && !job->cancel_wanted
        && (best == NULL || evacuates_before (job, best))
        && kq_fit_tree_find (&j->workers.room, 0, &job->size) != KQ_FIT_NONE)
      best = job;
  return best;
}

void
kq_jobs_evacuate (KqJobs *j, KqTime now, KqOutbox *out)
{
  if (now < j->next_evacuation)
    return;
  j->next_evacuation = now + KQ_SEC / 4;
  for (uint32_t i = 0; i < j->workers.n && j->n_evicting < EVACUATING_MAX; i++)
    {
      KqWorker *w = j->workers.all[i];
      KqJob *job = must_evacuate (w) ? next_to_evacuate (j, w) : NULL;
      if (job != NULL)
        kq_jobs_evict (j, job, now, out);
    }
}

/* Keeps the policy's urgent_percent of the workers for urgent jobs. The workers are
 * chosen by a hash of their ids, so that a new owner of the shard chooses the same ones.
 */
void
kq_jobs_select_urgent_workers (KqJobs *j, KqTime now)
{
  const KqPolicyRow *p = kq_jobs_policy (j);
  uint32_t n = j->n_live >= URGENT_RESERVE_WORKERS_MIN ? j->n_live : 0;
  uint32_t keep = (uint32_t)(n * p->urgent_percent / 100);
  for (uint32_t i = 0; i < j->workers.n; i++)
    j->workers.all[i]->urgent_only = false;
  while (keep-- > 0)
    {
      KqWorker *best = NULL;
      for (uint32_t i = 0; i < j->workers.n; i++)
        {
          KqWorker *w = j->workers.all[i];
          if (w->urgent_only || !w->in_hosts || w->host != KQ_HOST_LIVE)
            continue;
          if (best == NULL || kq_hash2 (w->id, 1) < kq_hash2 (best->id, 1))
            best = w;
        }
      if (best == NULL)
        break;
      best->urgent_only = true;
    }
  for (uint32_t i = 0; i < j->workers.n; i++)
    kq_jobs_refresh_worker (j, j->workers.all[i], now);
}
