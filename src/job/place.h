#ifndef KQ_JOB_PLACE_H
#define KQ_JOB_PLACE_H

/* place: chooses the worker for a job's next attempt.
 *
 * Services and batch tasks of many classes share workers that are mostly full. First fit
 * would put a service beside the task that disturbs it most, and all of a service's
 * replicas into one rack; placing on the least loaded worker leaves no worker with room
 * for a large job.
 *
 * A few workers with room are taken from the index at random positions, so that the cost
 * of a decision doesn't grow with the fleet, and the one with the least cost is chosen.
 * The cost adds up the slowdown expected for the job and for its neighbours (a service's
 * counts SERVICE_WEIGHT times), replicas of the same service on the worker, in its rack
 * and in its depot, and the room left free. A batch job that would slow down a service
 * by more than SERVICE_SLOWDOWN_MAX waits even if there is room: throttling it later
 * would leave the service slow for half a minute, and the job would be slow too. */

#include "job/workers.h"

/* Workers compared in a decision. The best of 8 random workers is among the best eighth
 * of all workers in 2 of 3 decisions, the best of 12 in 4 of 5; bench-place shows no gain
 * with more. */
#define KQ_PLACE_SAMPLES 12

typedef enum
{
  KQ_PLACE_SCORED, /* least cost */
  /* Baselines of bench-place. */
  KQ_PLACE_FIRST_FIT,
  KQ_PLACE_LEAST_LOADED
} KqPlaceRule;

/* Numbers of tasks of services, by class and rack and by class and depot. */
typedef struct
{
  KqName *racks;
  KqName *depots;
  uint16_t n_racks;
  uint16_t n_depots;
  int32_t (*by_rack)[KQ_CLASSES_MAX];
  int32_t (*by_depot)[KQ_CLASSES_MAX];
  int32_t total[KQ_CLASSES_MAX]; /* by class */
} KqSpread;

void kq_spread_clear (KqSpread *s);
/* Sets the worker's rack_index and depot_index; unknown racks and depots are added. */
void kq_spread_locate (KqSpread *s, KqWorker *w);
/* Adds n tasks of the class on the worker; n may be negative. */
void kq_spread_add (KqSpread *s, const KqWorker *w, uint16_t class_index, int n);

typedef struct
{
  KqPlaceRule rule;
  KqWorkers *workers;
  const KqPolicyRow *policy;
  const KqLeaseTimes *times;
  const KqInterference *interference;
  const KqClasses *classes;
  const KqSpread *spread;
  uint64_t *rand_state; /* state of the random numbers */
  KqTime now;
  bool ignore_disturbance; /* no limit on the slowdown of services: for urgent jobs */
  bool only_disturbing; /* out: all examined workers with room run a service that the job
                           would slow down too much */
} KqPlacer;

/* Chooses a worker with room for `need`; NULL if there is none. Workers that are kept for
 * urgent jobs are chosen only for these, when no other worker has room. */
KqWorker *kq_place_choose (KqPlacer *p, const KqJob *job, const KqSize *need);
/* Whether any of the shard's workers could hold `need` if nothing else ran there. If not,
 * `reason` says which resource is short and what the largest worker has; `elsewhere` is
 * the size of the largest one in other shards. */
bool kq_place_possible (const KqPlacer *p, const KqSize *need, KqSize elsewhere,
                        char *reason, size_t size);

#endif
