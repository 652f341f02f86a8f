#ifndef KQ_JOB_HEALTH_H
#define KQ_JOB_HEALTH_H

/* health: tells workers that fail their tasks from jobs that fail everywhere.
 *
 * A worker with a broken disk fails every task immediately, so it is always the emptiest
 * one and is given task after task of the queue; jobs use up their attempts there and
 * fail. A job that fails wherever it runs, on the other hand, must not count against the
 * workers.
 *
 * Wald's sequential probability ratio test decides: each outcome adds the log of its
 * likelihood on a bad worker (9 of 10 tasks fail) over that on a good one (the failure
 * rate of the job's class over the fleet). Once the sum exceeds EVIDENCE_TO_HOLD and
 * several distinct jobs have failed, the worker is held: it gets no tasks. A job that
 * fails again on the same worker adds nothing. After a pause that doubles with each
 * failed probe, a held worker is probed: it may run one task at a time, then two, four,
 * and so on. At most a set percentage of the fleet is held: when everything fails, the
 * workers aren't the cause. */

#include "base/time.h"
#include "job/classes.h"

#include <stdbool.h>

typedef enum
{
  KQ_HEALTH_GOOD,
  KQ_HEALTH_HELD,  /* gets no tasks */
  KQ_HEALTH_PROBED /* gets some, to see whether they succeed */
} KqHealthState;

typedef struct
{
  KqHealthState state;
  double evidence; /* sum of the log ratios; above 0: rather a bad worker */
  uint64_t last_failed_job;
  int n_failed_jobs; /* distinct ones, since the last success */
  KqTime held_until; /* HELD */
  KqTime hold_time;  /* length of the last pause */
  int probe_limit;   /* PROBED: tasks at a time */
} KqHealth;

typedef struct
{
  double failure_rate[KQ_CLASSES_MAX]; /* over the fleet */
  uint32_t n_held;
} KqFleetHealth;

/* Records the end of a task on the worker. At most `held_percent` of `n_workers` are
 * held, but one may always be. */
void kq_health_record_outcome (KqFleetHealth *f, KqHealth *h, uint16_t class_index,
                               uint64_t job, bool failed, uint32_t n_workers,
                               int64_t held_percent, KqTime now);
/* How many tasks the worker may run at `now`. Begins to probe a held worker whose pause
 * is over. */
int kq_health_update_task_limit (KqFleetHealth *f, KqHealth *h, KqTime now);
/* Whether a failure on the worker counts against the job. */
bool kq_health_blames_job (const KqHealth *h);

#endif
