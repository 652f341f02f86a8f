#include "job/workers.h"

#include <assert.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

static void
free_worker (gpointer p)
{
  KqWorker *w = p;
  free (w->acks);
  free (w->fences);
  free (w);
}

void
kq_workers_init (KqWorkers *ws)
{
  memset (ws, 0, sizeof *ws);
  ws->by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_worker);
  kq_fit_tree_init (&ws->room);
  kq_fit_tree_init (&ws->urgent_room);
}

void
kq_workers_clear (KqWorkers *ws)
{
  g_hash_table_destroy (ws->by_id);
  kq_fit_tree_free (&ws->room);
  kq_fit_tree_free (&ws->urgent_room);
  free ((void *)ws->all);
}

KqWorker *
kq_workers_find (const KqWorkers *ws, KqWorkerId id)
{
  return g_hash_table_lookup (ws->by_id, &id);
}

KqWorker *
kq_workers_find_or_add (KqWorkers *ws, KqWorkerId id)
{
  KqWorker *w = kq_workers_find (ws, id);
  if (w != NULL)
    return w;
  w = kq_alloc (sizeof *w);
  w->id = id;
  w->index = ws->n;
  w->task_limit = INT_MAX;
  w->rack_index = w->depot_index = UINT16_MAX;
  ws->all = kq_realloc ((void *)ws->all, (ws->n + 1) * sizeof (KqWorker *));
  ws->all[ws->n++] = w;
  g_hash_table_insert (ws->by_id, &w->id, w);
  return w;
}

KqSize
kq_worker_free (const KqWorker *w)
{
  KqSize s = kq_size_sub (w->capacity, w->row.reserved);
  s = kq_size_sub (kq_size_sub (s, w->used), w->unknown_used);
  return w->reserved_for != 0 ? kq_size_sub (s, w->reserved_size) : s;
}

bool
kq_worker_may_start (const KqWorker *w, const KqLeaseTimes *t, KqTime now)
{
  return w->answered && !w->leaving && w->start_not_before <= now
         && w->n_jobs < w->task_limit && w->in_hosts && w->host == KQ_HOST_LIVE
         && w->row.mode == KQ_WORKER_NORMAL && kq_lease_usable (&w->lease, t, now);
}

void
kq_workers_refresh (KqWorkers *ws, KqWorker *w, const KqLeaseTimes *t, KqTime now)
{
  static const KqSize none = { -1, -1, -1 };
  KqSize room = none;
  if (kq_worker_may_start (w, t, now))
    room = kq_worker_free (w);
  kq_fit_tree_set (&ws->room, w->index, w->urgent_only ? none : room);
  kq_fit_tree_set (&ws->urgent_room, w->index, w->urgent_only ? room : none);
}

void
kq_worker_reserve (KqWorker *w, KqJob *job, KqSize size, KqTime until)
{
  assert (w->reserved_for == 0 && job->reserved_worker == NULL);
  w->reserved_for = job->id;
  w->reserved_size = size;
  w->reserved_until = until;
  job->reserved_worker = w;
}

void
kq_worker_cancel_reservation (KqWorker *w, KqJob *job)
{
  assert (w->reserved_for == job->id);
  w->reserved_for = 0;
  job->reserved_worker = NULL;
}

void
kq_worker_add_job (KqWorker *w, KqJob *job)
{
  assert (job->assigned_worker == NULL);
  job->assigned_worker = w;
  job->prev_on_worker = NULL;
  job->next_on_worker = w->jobs;
  if (w->jobs != NULL)
    w->jobs->prev_on_worker = job;
  w->jobs = job;
  w->n_jobs++;
  w->used = kq_size_add (w->used, job->charged);
}

void
kq_worker_remove_job (KqWorker *w, KqJob *job)
{
  assert (job->assigned_worker == w);
  if (job->prev_on_worker != NULL)
    job->prev_on_worker->next_on_worker = job->next_on_worker;
  else
    w->jobs = job->next_on_worker;
  if (job->next_on_worker != NULL)
    job->next_on_worker->prev_on_worker = job->prev_on_worker;
  job->assigned_worker = NULL;
  job->next_on_worker = job->prev_on_worker = NULL;
  w->n_jobs--;
  w->used = kq_size_sub (w->used, job->charged);
  assert (w->n_jobs > 0 || kq_size_is_zero (&w->used));
}

void
kq_worker_add_fence (KqWorker *w, KqTaskKey task, KqSeq seq)
{
  w->fences = kq_realloc (w->fences, (w->n_fences + 1) * sizeof *w->fences);
  w->fences[w->n_fences++] = (KqFence){ task, seq };
}

void
kq_worker_remove_fence (KqWorker *w, KqTaskKey task)
{
  for (size_t i = 0; i < w->n_fences; i++)
    if (w->fences[i].task.job == task.job && w->fences[i].task.attempt == task.attempt)
      {
        w->fences[i] = w->fences[--w->n_fences];
        return;
      }
}

static void
unlink_due (KqWorkers *ws, KqWorker *w)
{
  if (w->prev_due != NULL)
    w->prev_due->next_due = w->next_due;
  else if (ws->first_due == w)
    ws->first_due = w->next_due;
  if (w->next_due != NULL)
    w->next_due->prev_due = w->prev_due;
  else if (ws->last_due == w)
    ws->last_due = w->prev_due;
  w->next_due = w->prev_due = NULL;
}

/* The renewal period is the same for all workers, so the new time usually belongs at the
 * end of the list, which is searched from there. A worker that is due at once belongs at
 * the front. */
void
kq_workers_schedule (KqWorkers *ws, KqWorker *w)
{
  KqWorker *after;
  if (w->scheduled_at == w->lease.next_call_at)
    return;
  unlink_due (ws, w);
  w->scheduled_at = w->lease.next_call_at;
  if (ws->first_due != NULL && w->lease.next_call_at < ws->first_due->lease.next_call_at)
    after = NULL;
  else
    for (after = ws->last_due;
         after != NULL && after->lease.next_call_at > w->lease.next_call_at;)
      after = after->prev_due;
  w->prev_due = after;
  w->next_due = after != NULL ? after->next_due : ws->first_due;
  if (w->next_due != NULL)
    w->next_due->prev_due = w;
  else
    ws->last_due = w;
  if (after != NULL)
    after->next_due = w;
  else
    ws->first_due = w;
}
