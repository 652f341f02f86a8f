#include "job/queue.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

void
kq_job_queue_init (KqJobQueue *q)
{
  memset (q, 0, sizeof *q);
}

void
kq_job_queue_clear (KqJobQueue *q)
{
  free (q->teams);
}

/* Inserts the job by its number. Most jobs are the youngest of their list and go to its
 * end. A job that comes back after an attempt is among the oldest, so its place is
 * searched from the front. */
static void
insert (KqJobList *l, KqJob *job)
{
  KqJob *before = NULL;
  if (l->last != NULL && job->number < l->last->number)
    for (before = l->first; before->number < job->number;)
      before = before->next;
  job->next = before;
  job->prev = before != NULL ? before->prev : l->last;
  if (job->prev != NULL)
    job->prev->next = job;
  else
    l->first = job;
  if (before != NULL)
    before->prev = job;
  else
    l->last = job;
  l->n++;
  l->wanted = kq_size_add (l->wanted, job->declared_size);
}

static void
unlink_job (KqJobList *l, KqJob *job)
{
  if (job->prev != NULL)
    job->prev->next = job->next;
  else
    l->first = job->next;
  if (job->next != NULL)
    job->next->prev = job->prev;
  else
    l->last = job->prev;
  job->next = job->prev = NULL;
  l->n--;
  l->wanted = kq_size_sub (l->wanted, job->declared_size);
}

KqJobList *
kq_job_queue_list (KqJobQueue *q, size_t team, KqPriority p)
{
  if (team >= q->n_teams)
    {
      size_t n = team + 1;
      q->teams = kq_realloc (q->teams, n * sizeof *q->teams);
      memset (&q->teams[q->n_teams], 0, (n - q->n_teams) * sizeof *q->teams);
      q->n_teams = n;
    }
  assert (p >= KQ_PRIORITY_LOW && p <= KQ_PRIORITY_URGENT);
  return &q->teams[team][p - 1];
}

static KqJobList *
list_of (KqJobQueue *q, const KqJob *job)
{
  if (job->delayed)
    return &q->delayed;
  if (job->blocked_reason == KQ_ERR_JOB_UNPLACEABLE)
    return &q->unplaceable;
  return kq_job_queue_list (q, job->team, job->spec.priority);
}

void
kq_job_queue_add (KqJobQueue *q, KqJob *job, KqTime now)
{
  assert (!job->in_queue && job->state == KQ_JOB_STATE_QUEUED);
  job->in_queue = true;
  job->delayed = job->not_before > now;
  insert (list_of (q, job), job);
  q->n++;
}

void
kq_job_queue_remove (KqJobQueue *q, KqJob *job)
{
  assert (job->in_queue);
  unlink_job (list_of (q, job), job);
  job->in_queue = false;
  job->delayed = false;
  q->n--;
}

KqSize
kq_job_queue_wanted (const KqJobQueue *q, size_t team)
{
  KqSize s = { 0 };
  if (team >= q->n_teams)
    return s;
  for (int p = 0; p < KQ_PRIORITIES; p++)
    s = kq_size_add (s, q->teams[team][p].wanted);
  return s;
}

bool
kq_job_queue_move_due (KqJobQueue *q, KqTime now)
{
  bool any = false;
  for (KqJob *job = q->delayed.first, *next; job != NULL; job = next)
    {
      next = job->next;
      if (job->not_before > now)
        continue;
      kq_job_queue_remove (q, job);
      kq_job_queue_add (q, job, now);
      any = true;
    }
  return any;
}

KqTime
kq_job_queue_next_due_time (const KqJobQueue *q)
{
  KqTime next = KQ_TIME_NEVER;
  for (const KqJob *job = q->delayed.first; job != NULL; job = job->next)
    next = MIN (next, job->not_before);
  return next;
}
