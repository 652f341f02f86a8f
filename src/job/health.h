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
  KQ_HEALTH_PROBED /* gets a few tasks, to see whether they succeed */
} KqHealthState;

typedef struct
{
  KqHealthState state;
  double evidence; /* sum of the log likelihood ratios; above 0: more likely bad */
  uint64_t last_failed_job;
  int n_failed_jobs; /* jobs that failed since the last success */
  KqTime held_until; /* HELD: end of the pause */
  KqTime hold_time;  /* length of the last pause */
  int probe_limit;   /* PROBED: most tasks at a time */
} KqHealth;

typedef struct
{
  /* By class: smoothed fraction of its tasks that fail, on workers in state GOOD. */
  double failure_rate[KQ_CLASSES_MAX];
  uint32_t n_held; /* workers that are HELD or PROBED */
} KqFleetHealth;

/* Records that a task of `job` ended on the worker, and holds the worker if the evidence
 * suffices. At most `held_percent` percent of `n_workers`, but at least one worker, may
 * be held at a time. */
void kq_health_record_outcome (KqFleetHealth *f, KqHealth *h, uint16_t class_index,
                               uint64_t job, bool failed, uint32_t n_workers,
                               int64_t held_percent, KqTime now);
/* Begins to probe a held worker whose pause is over. Returns how many tasks the worker
 * may run at `now`. */
int kq_health_update_task_limit (KqFleetHealth *f, KqHealth *h, KqTime now);
/* Whether a failure of a task on the worker counts as a failure of its job: true if the
 * worker is in state GOOD. */
bool kq_health_blames_job (const KqHealth *h);

#endif
