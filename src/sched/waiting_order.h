#ifndef KQ_SCHED_WAITING_ORDER_H
#define KQ_SCHED_WAITING_ORDER_H

/* waiting_order: which of the waiting jobs come first when not all can be in time.
 *
 * In a burst that brings more work than the runners can do, each job judged alone still
 * looks in time. With the earliest objective first, jobs get their tasks in turns and
 * each ends just too late. Here each job is judged with the work ahead of it, and jobs
 * are put behind so that the others end in time: with KQ_DEFER_LARGEST as few as possible
 * (Moore and Hodgson's rule), with KQ_DEFER_NEWEST those that came last, so that large
 * jobs don't pay for small ones.
 *
 * Of those in time, jobs that have begun come first: a job that gets its tasks in turns
 * with others ends as late as the last of them. They are also put behind later than jobs
 * that haven't begun, whatever their size, as what they have done would be for nothing.
 *
 * Work is in thousandths of a core times ms, a rate in thousandths of a core. */

#include "base/time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which of the jobs taken so far is put behind when one would be late. */
typedef enum
{
  KQ_DEFER_LARGEST, /* the one with the most remaining work */
  KQ_DEFER_NEWEST   /* the one whose objective ends last */
} KqDeferRule;

/* The place of a job among those waiting for the same room, served in this order. */
typedef enum
{
  KQ_WAITING_IN_TIME,  /* those that have begun first; by the end of the objective */
  KQ_WAITING_DEFERRED, /* can be of use; by the end of the use */
  KQ_WAITING_NO_USE    /* the oldest first */
} KqWaitingClass;

/* "in_time", "deferred" or "no_use"; for logs and operators. */
const char *kq_waiting_class_name (KqWaitingClass c);

/* What was decided on a job. */
typedef struct
{
  KqWaitingClass class;
  bool ahead_of_class; /* comes before jobs of its class that haven't begun */
  KqTime forecast_end;
  int64_t work_ahead;
  int64_t jobs_ahead;
} KqWaitingPlace;

typedef struct
{
  int64_t work;     /* remaining */
  int64_t chain_ms; /* longest chain of remaining steps */
  KqTime due;       /* end of the objective */
  KqTime use_end;   /* end of the use */
  KqTime accepted;
  bool begun;    /* a task of it is done or runs */
  bool returned; /* it came back after a refusal: it is deferred only after all others */
  KqWaitingPlace place; /* result */
} KqWaitingJob;

typedef struct
{
  KqTime now;
  int64_t rate;       /* above 0 */
  int64_t work_ahead; /* of jobs that come before all of these */
  int64_t jobs_ahead; /* the number of those */
  KqDeferRule rule;
} KqWaitingLoad;

/* Decides on the places of jobs that wait for the same room, in O(n log n). */
void kq_waiting_order (KqWaitingJob *jobs, size_t n, const KqWaitingLoad *load);
/* What jobs of the same class are ordered by, the lowest first, apart from
 * ahead_of_class. */
KqTime kq_waiting_key (const KqWaitingJob *j, KqWaitingClass c);

#endif
