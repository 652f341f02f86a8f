#include "job/evict.h"

/* Time that an evicted task needs to load its image, start and warm up again. */
#define RESTART_S 5.0

double
kq_evict_cost (const KqJob *job, KqTime now)
{
  KqTime run = now - job->assigned_at;
  double weight = 1.0 + job->evictions;
  if (job->checkpoint_us > 0)
    run %= job->checkpoint_us;
  return ((double)run / (double)KQ_SEC + RESTART_S) * weight * weight;
}

static bool
may_evict (const KqJob *job, const KqEvictRule *rule)
{
  if (job->phase != KQ_JOB_PHASE_RUNNING || job->service || !job->movable
      || job->cancel_wanted || job->spec.priority >= rule->priority_below
      || (int64_t)job->evictions >= rule->evictions_max)
    return false;
  if (rule->quota == NULL)
    return true;
  return job->team != rule->team && kq_quota_borrows (rule->quota, job->team);
}

static double
covered_fraction (int64_t freed, int64_t missing)
{
  if (missing <= 0)
    return 0;
  return (double)MIN (freed, missing) / (double)missing;
}

/* For each of the three resources, the fraction of the missing amount that evicting the
 * job frees; returns the sum of the fractions, 0 to 3. */
static double
covered_fractions_sum (const KqJob *job, KqSize missing)
{
  return covered_fraction (job->charged.cpu_milli, missing.cpu_milli)
         + covered_fraction (job->charged.memory_mb, missing.memory_mb)
         + covered_fraction (job->charged.accelerators, missing.accelerators);
}

static bool
is_victim (const KqEviction *e, const KqJob *job)
{
  for (int i = 0; i < e->n; i++)
    if (e->victims[i] == job)
      return true;
  return false;
}

/* The task with the lowest cost per fraction of the missing resources that it frees; NULL
 * if the rule allows none. */
static KqJob *
next_victim (const KqWorker *w, const KqEvictRule *rule, KqSize missing,
             const KqEviction *e, KqTime now)
{
  KqJob *best = NULL;
  double best_cost = 0;
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    {
      double cost;
      double freed = covered_fractions_sum (job, missing);
      if (freed <= 0 || !may_evict (job, rule) || is_victim (e, job))
        continue;
      cost = kq_evict_cost (job, now) / freed;
      if (best == NULL || cost < best_cost)
        {
          best = job;
          best_cost = cost;
        }
    }
  return best;
}

bool
kq_evict_plan (const KqWorker *w, const KqSize *need, const KqEvictRule *rule, KqTime now,
               KqEviction *out)
{
  KqSize room = kq_worker_free (w);
  *out = (KqEviction){ 0 };
  while (!kq_size_fits (need, &room))
    {
      KqJob *victim;
      if (out->n == KQ_VICTIMS_MAX)
        return false;
      victim = next_victim (w, rule, kq_size_sub (*need, room), out, now);
      if (victim == NULL)
        return false;
      out->victims[out->n++] = victim;
      out->cost += kq_evict_cost (victim, now);
      room = kq_size_add (room, victim->charged);
    }
  return true;
}
