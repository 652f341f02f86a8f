#ifndef KQ_JOB_EVICT_H
#define KQ_JOB_EVICT_H

/* evict: chooses the tasks to evict from a worker to make room for another task.
 *
 * An urgent job may find every worker full, or a team may need the resources that it is
 * guaranteed while other teams have borrowed them; waiting for tasks to end takes
 * minutes. Victims chosen without regard to cost lose hours of work, and the same task
 * may be evicted every time.
 *
 * The cost of a victim is the work since its last checkpoint plus a restart, times the
 * square of one plus its earlier evictions. Tasks with evictions_max evictions and
 * services are never evicted. */

#include "job/quota.h"
#include "job/workers.h"

#define KQ_VICTIMS_MAX 8

typedef struct
{
  KqPriority priority_below; /* victims have a lower priority */
  int64_t evictions_max;     /* victims have been evicted fewer times */
  const KqQuota *quota;      /* not NULL: victims are only tasks of teams that borrow */
  uint16_t team; /* team of the job that needs the room; if `quota` is set, tasks of this
                    team aren't evicted */
} KqEvictRule;

typedef struct
{
  KqJob *victims[KQ_VICTIMS_MAX];
  int n;
  double cost; /* sum of the victims' kq_evict_cost */
} KqEviction;

/* The cost of evicting the job's task now: seconds of lost work and restart, times the
 * weight for earlier evictions. */
double kq_evict_cost (const KqJob *job, KqTime now);
/* Chooses tasks of the worker whose eviction makes room for `need`, and writes them to
 * `out`; evicts none. False if the rule allows too few victims, or if more than
 * KQ_VICTIMS_MAX are needed. */
bool kq_evict_plan (const KqWorker *w, const KqSize *need, const KqEvictRule *rule,
                    KqTime now, KqEviction *out);

#endif
