#include "port/worker_list.h"

#include <stdlib.h>
#include <string.h>

void
kq_worker_list_free (KqWorkerList *l)
{
  free (l->tasks);
  *l = (KqWorkerList){ 0 };
}

uint64_t
kq_worker_list_tag (const KqTaskReport *tasks, size_t n)
{
  uint64_t sum = kq_hash2 (n, 0);
  for (size_t i = 0; i < n; i++)
    {
      uint64_t rest = (uint64_t)tasks[i].task.attempt << 8 | (uint64_t)tasks[i].state;
      sum += kq_hash2 (tasks[i].task.job, rest);
    }
  return sum != 0 ? sum : 1;
}

static KqTaskReport *
find (const KqWorkerList *l, KqTaskKey key)
{
  for (size_t i = 0; i < l->n; i++)
    {
      if (l->tasks[i].task.job == key.job && l->tasks[i].task.attempt == key.attempt)
        return &l->tasks[i];
    }
  return NULL;
}

static void
set (KqWorkerList *l, const KqTaskReport *t)
{
  KqTaskReport *at = find (l, t->task);
  if (at == NULL && l->n == l->capacity)
    {
      l->capacity = l->capacity > 0 ? l->capacity * 2 : 16;
      l->tasks = kq_realloc (l->tasks, l->capacity * sizeof *l->tasks);
    }
  if (at == NULL)
    at = &l->tasks[l->n++];
  *at = *t;
}

/* Removes an acknowledged task if it has ended, as the worker does from its own list. */
static void
acknowledge (KqWorkerList *l, KqTaskKey key)
{
  KqTaskReport *at = find (l, key);
  if (at != NULL && at->state != KQ_TASK_RUNNING)
    *at = l->tasks[--l->n];
}

static bool
merge (KqWorkerList *l, const KqWorkerCall *c, const KqWorkerReply *r)
{
  if (r->tasks_since != l->stamp)
    return false;
  for (size_t i = 0; i < c->n_acks; i++)
    acknowledge (l, c->acks[i]);
  for (size_t i = 0; i < r->n_tasks; i++)
    set (l, &r->tasks[i]);
  return kq_worker_list_tag (l->tasks, l->n) == r->list_tag;
}

static void
copy_list (const KqWorkerList *l, KqWorkerReply *r)
{
  free (r->tasks);
  r->tasks = kq_alloc ((l->n + 1) * sizeof *r->tasks);
  if (l->n > 0)
    memcpy (r->tasks, l->tasks, l->n * sizeof *r->tasks);
  r->n_tasks = l->n;
  r->tasks_since = 0;
}

KqResult
kq_worker_list_apply (KqWorkerList *l, const KqWorkerCall *c, KqWorkerReply *r)
{
  bool full = r->tasks_since == 0;
  if (!full && (l->stamp == 0 || !merge (l, c, r)))
    {
      l->stamp = 0;
      return KQ_ERR_PLATFORM_FORMAT;
    }
  if (full)
    {
      l->n = 0;
      for (size_t i = 0; i < r->n_tasks; i++)
        set (l, &r->tasks[i]);
    }
  /* A worker that sends no tag doesn't support partial lists; with stamp 0 the next call
   * asks for a full one. */
  l->stamp = r->list_tag != 0 ? r->stamp : 0;
  copy_list (l, r);
  return KQ_OK;
}
