#include "job/place.h"

#include "base/rand.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* Weight of a service's slowdown relative to a batch task's. Operators put services
 * first; a batch task that loses a tenth of its speed still finishes by morning. */
#define SERVICE_WEIGHT 8.0
/* Costs per share of a service's replicas that would be lost with the worker, the rack or
 * the depot. Half of the replicas on one worker cost as much as slowing the service down
 * by a half. Racks fail a tenth as often as workers, depots seldom. The costs are by
 * share and not by number of replicas, because a service of 3,000 replicas may well have
 * two on a worker. Costs by number spread it over the whole fleet and left no worker to
 * batch work alone. */
#define SAME_WORKER_COST 8.0
#define SAME_RACK_COST 0.8
#define SAME_DEPOT_COST 0.2
/* Costs of a worker that is entirely free, in proportion for one that is partly free, so
 * that otherwise equal workers are filled one after the other. The cost is higher for
 * services: packed on fewer workers (with few replicas of each service on one worker)
 * they leave other workers to batch work alone. With 0.05 the target's services ran on
 * 2,700 of 4,100 workers, and batch work done was 0.95 of first fit's; with 0.2 on 1,500
 * workers, and it was 1.23 of first fit's. */
#define FREE_ROOM_COST 0.05
#define SERVICE_FREE_ROOM_COST 0.2
/* Additional cost of the worker from which a remedy has moved the job. */
#define AVOIDED_WORKER_COST 4.0
/* A batch job isn't placed where it would raise a service's expected slowdown above this
 * value. It is 5% (the noise of reports) below the 25% above which remedy.c throttles the
 * service's neighbours. */
#define SERVICE_SLOWDOWN_MAX 0.2

static uint16_t
find_or_add_name (KqName **names, uint16_t *n, const KqName *name)
{
  for (uint16_t i = 0; i < *n; i++)
    if (kq_name_eq (&(*names)[i], name))
      return i;
  *names = kq_realloc (*names, (*n + 1U) * sizeof **names);
  (*names)[*n] = *name;
  return (*n)++;
}

void
kq_spread_locate (KqSpread *s, KqWorker *w)
{
  uint16_t racks = s->n_racks;
  uint16_t depots = s->n_depots;
  w->rack_index = find_or_add_name (&s->racks, &s->n_racks, &w->rack);
  w->depot_index = find_or_add_name (&s->depots, &s->n_depots, &w->depot);
  if (s->n_racks > racks)
    {
      s->by_rack = kq_realloc (s->by_rack, s->n_racks * sizeof *s->by_rack);
      for (int i = 0; i < KQ_CLASSES_MAX; i++)
        s->by_rack[racks][i] = 0;
    }
  if (s->n_depots > depots)
    {
      s->by_depot = kq_realloc (s->by_depot, s->n_depots * sizeof *s->by_depot);
      for (int i = 0; i < KQ_CLASSES_MAX; i++)
        s->by_depot[depots][i] = 0;
    }
}

void
kq_spread_clear (KqSpread *s)
{
  free (s->racks);
  free (s->depots);
  free (s->by_rack);
  free (s->by_depot);
  *s = (KqSpread){ 0 };
}

void
kq_spread_add (KqSpread *s, const KqWorker *w, uint16_t class_index, int n)
{
  if (w->rack_index >= s->n_racks || w->depot_index >= s->n_depots)
    return;
  s->by_rack[w->rack_index][class_index] += n;
  s->by_depot[w->depot_index][class_index] += n;
  s->total[class_index] += n;
}

static double
class_weight (const KqPlacer *p, uint16_t class_index)
{
  return p->classes->latency_critical[class_index] ? SERVICE_WEIGHT : 1.0;
}

/* The slowdown expected for the job, plus the slowdown that it adds to its neighbours,
 * each times its class's weight. */
static double
disturbance_cost (const KqPlacer *p, const KqWorker *w, const KqJob *job,
                  const KqSize *need)
{
  const KqMix *mix = &w->history.mix;
  int band = kq_load_band (w->used.cpu_milli + need->cpu_milli, w->capacity.cpu_milli);
  double sum = class_weight (p, job->class_index)
               * kq_interference_sum (p->interference, job->class_index, mix, band);
  for (int i = 0; i < mix->n; i++)
    {
      uint16_t c = mix->parts[i].class_index;
      sum += mix->parts[i].n * class_weight (p, c)
             * kq_interference_pair (p->interference, c, job->class_index, band);
    }
  return sum;
}

static double
colocation_cost (const KqPlacer *p, const KqWorker *w, const KqJob *job)
{
  const KqMix *mix = &w->history.mix;
  uint16_t c = job->class_index;
  double sum = 0;
  for (int i = 0; i < mix->n; i++)
    if (mix->parts[i].class_index == c)
      sum += SAME_WORKER_COST * mix->parts[i].n;
  if (w->rack_index < p->spread->n_racks && w->depot_index < p->spread->n_depots)
    sum += SAME_RACK_COST * p->spread->by_rack[w->rack_index][c]
           + SAME_DEPOT_COST * p->spread->by_depot[w->depot_index][c];
  return sum / (p->spread->total[c] + 1);
}

/* Whether some service on the worker would be slowed down by more than
 * SERVICE_SLOWDOWN_MAX if the job ran there. */
static bool
slows_a_service (const KqPlacer *p, const KqWorker *w, const KqJob *job,
                 const KqSize *need)
{
  const KqMix *mix = &w->history.mix;
  int band = kq_load_band (w->used.cpu_milli + need->cpu_milli, w->capacity.cpu_milli);
  for (int i = 0; i < mix->n; i++)
    {
      uint16_t c = mix->parts[i].class_index;
      double sum;
      if (!p->classes->latency_critical[c])
        continue;
      sum = kq_interference_sum (p->interference, c, mix, band)
            - kq_interference_pair (p->interference, c, c, band)
            + kq_interference_pair (p->interference, c, job->class_index, band);
      if (sum > SERVICE_SLOWDOWN_MAX)
        return true;
    }
  return false;
}

static double
free_share (const KqWorker *w)
{
  KqSize room = kq_worker_free (w);
  double cpu = (double)room.cpu_milli / (double)MAX (w->capacity.cpu_milli, 1);
  double memory = (double)room.memory_mb / (double)MAX (w->capacity.memory_mb, 1);
  return (cpu + memory) / 2;
}

static double
placement_cost (const KqPlacer *p, const KqWorker *w, const KqJob *job,
                const KqSize *need)
{
  bool service = p->classes->latency_critical[job->class_index];
  double cost = (service ? SERVICE_FREE_ROOM_COST : FREE_ROOM_COST) * free_share (w);
  if (p->rule == KQ_PLACE_LEAST_LOADED)
    return -free_share (w);
  if (p->policy->interference)
    {
      if (!service && !p->ignore_disturbance && slows_a_service (p, w, job, need))
        return INFINITY;
      cost += disturbance_cost (p, w, job, need);
    }
  if (p->policy->spread && service)
    cost += colocation_cost (p, w, job);
  if (job->avoid == w->id && p->now < job->avoid_until)
    cost += AVOIDED_WORKER_COST;
  return cost;
}

/* Finds the next worker at or after index `from` that has room and may start tasks.
 * Updates the index for workers that may not start tasks any more, such as those whose
 * lease has ended. */
static KqWorker *
find_worker (KqPlacer *p, KqFitTree *t, uint32_t from, const KqSize *need)
{
  uint32_t i;
  while ((i = kq_fit_tree_find (t, from, need)) != KQ_FIT_NONE)
    {
      KqWorker *w = p->workers->all[i];
      if (kq_worker_may_start (w, p->times, p->now))
        return w;
      kq_workers_refresh (p->workers, w, p->times, p->now);
      from = i + 1;
    }
  return NULL;
}

static KqWorker *
choose_in (KqPlacer *p, KqFitTree *t, const KqJob *job, const KqSize *need)
{
  KqWorker *best = find_worker (p, t, 0, need);
  KqRand rand = kq_rand (*p->rand_state);
  double best_cost;
  if (best == NULL || p->rule == KQ_PLACE_FIRST_FIT)
    return best;
  best_cost = placement_cost (p, best, job, need);
  for (int i = 1; i < KQ_PLACE_SAMPLES; i++)
    {
      KqWorker *w
          = find_worker (p, t, (uint32_t)kq_rand_below (&rand, p->workers->n), need);
      double cost;
      if (w == NULL || w == best)
        continue;
      cost = placement_cost (p, w, job, need);
      if (cost < best_cost)
        {
          best = w;
          best_cost = cost;
        }
    }
  *p->rand_state = kq_rand_next (&rand);
  p->only_disturbing |= isinf (best_cost);
  return isinf (best_cost) ? NULL : best;
}

KqWorker *
kq_place_choose (KqPlacer *p, const KqJob *job, const KqSize *need)
{
  KqWorker *w = choose_in (p, &p->workers->room, job, need);
  if (w == NULL && job->spec.priority == KQ_PRIORITY_URGENT)
    w = choose_in (p, &p->workers->urgent_room, job, need);
  if (w == NULL && p->only_disturbing && job->spec.priority == KQ_PRIORITY_URGENT)
    {
      p->ignore_disturbance = true;
      w = choose_in (p, &p->workers->room, job, need);
    }
  return w;
}

static void
write_reason (char *reason, size_t size, const char *what, int64_t need, int64_t have)
{
  snprintf (reason, size, "needs %s %lld, the largest worker has %lld", what,
            (long long)need, (long long)have);
}

bool
kq_place_possible (const KqPlacer *p, const KqSize *need, KqSize elsewhere, char *reason,
                   size_t size)
{
  KqSize largest = elsewhere;
  reason[0] = '\0';
  for (uint32_t i = 0; i < p->workers->n; i++)
    {
      const KqWorker *w = p->workers->all[i];
      KqSize whole = kq_size_sub (w->capacity, w->row.reserved);
      if (w->host == KQ_HOST_GONE || !w->in_hosts || w->urgent_only)
        continue;
      if (kq_size_fits (need, &whole))
        return true;
      largest = kq_size_max (largest, whole);
    }
  if (need->cpu_milli > largest.cpu_milli)
    write_reason (reason, size, "cpu_milli", need->cpu_milli, largest.cpu_milli);
  else if (need->memory_mb > largest.memory_mb)
    write_reason (reason, size, "memory_mb", need->memory_mb, largest.memory_mb);
  else if (need->accelerators > largest.accelerators)
    write_reason (reason, size, "accelerators", need->accelerators, largest.accelerators);
  else
    snprintf (reason, size, "no one worker has all of it");
  return false;
}
