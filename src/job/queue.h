#ifndef KQ_JOB_QUEUE_H
#define KQ_JOB_QUEUE_H

/* queue: the waiting jobs, by team and priority, oldest first.
 *
 * The links of the lists are in the jobs, so that a cancelled job is removed in O(1): a
 * wave of 20,000 cancellations costs 20,000 steps, not 20,000 scans. A job whose retry
 * isn't due yet is in the list `delayed`. A job that no worker can hold is in the list
 * `unplaceable`, where it doesn't block other jobs. */

#include "job/job.h"

#define KQ_PRIORITIES 4

typedef struct
{
  KqJob *first;
  KqJob *last;
  size_t n;
  KqSize wanted; /* sum of the jobs' declared sizes */
} KqJobList;

typedef struct
{
  KqJobList (*teams)[KQ_PRIORITIES]; /* by team and priority */
  size_t n_teams;
  KqJobList delayed;
  KqJobList unplaceable;
  size_t n;
} KqJobQueue;

void kq_job_queue_init (KqJobQueue *q);
void kq_job_queue_clear (KqJobQueue *q);
/* Adds the job, by age, to the list that its blocked_reason and not_before call for. */
void kq_job_queue_add (KqJobQueue *q, KqJob *job, KqTime now);
void kq_job_queue_remove (KqJobQueue *q, KqJob *job);
/* The list of a team and priority; valid until a new team is added. */
KqJobList *kq_job_queue_list (KqJobQueue *q, size_t team, KqPriority p);
/* The total size of a team's waiting jobs, except delayed and unplaceable ones. */
KqSize kq_job_queue_wanted (const KqJobQueue *q, size_t team);
/* Moves the delayed jobs that are due to the lists of their teams; returns whether any
 * job was moved. */
bool kq_job_queue_move_due (KqJobQueue *q, KqTime now);
/* When the next delayed job is due, or KQ_TIME_NEVER. */
KqTime kq_job_queue_next_due_time (const KqJobQueue *q);

#endif
