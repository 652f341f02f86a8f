#include "job_fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
kq_fake_worker_init (KqFakeWorker *w, KqWorkerId id, KqSize whole)
{
  memset (w, 0, sizeof *w);
  w->id = id;
  w->capacity = whole;
  w->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, NULL);
}

void
kq_fake_worker_clear (KqFakeWorker *w)
{
  g_hash_table_destroy (w->attempts);
  free (w->tasks);
  free (w->usage);
}

void
kq_fake_worker_restart (KqFakeWorker *w)
{
  g_hash_table_remove_all (w->attempts);
  w->n_tasks = w->n_usage = 0;
  w->epoch = 0;
  w->lease_until = 0;
  w->n_restarts++;
}

KqFakeTask *
kq_fake_worker_task (KqFakeWorker *w, KqTaskKey key)
{
  for (size_t i = 0; i < w->n_tasks; i++)
    if (w->tasks[i].report.task.job == key.job
        && w->tasks[i].report.task.attempt == key.attempt)
      return &w->tasks[i];
  return NULL;
}

void
kq_fake_worker_end_task (KqFakeWorker *w, KqTaskKey key, KqTaskState state)
{
  KqFakeTask *t = kq_fake_worker_task (w, key);
  if (t != NULL && t->report.state == KQ_TASK_RUNNING)
    t->report.state = state;
}

void
kq_fake_worker_tick (KqFakeWorker *w, KqTime now)
{
  if (now + w->skew < w->lease_until)
    return;
  for (size_t i = 0; i < w->n_tasks; i++)
    if (w->tasks[i].report.state == KQ_TASK_RUNNING)
      w->tasks[i].report.state = KQ_TASK_STOPPED;
}

KqSize
kq_fake_worker_used (const KqFakeWorker *w)
{
  KqSize s = { 0 };
  for (size_t i = 0; i < w->n_tasks; i++)
    if (w->tasks[i].report.state == KQ_TASK_RUNNING)
      {
        s.cpu_milli += w->tasks[i].report.size.cpu_milli;
        s.memory_mb += w->tasks[i].report.size.memory_mb;
        s.accelerators += w->tasks[i].report.size.accelerators;
      }
  return s;
}

void
kq_fake_worker_add_usage (KqFakeWorker *w, const KqUsageReport *u)
{
  w->usage = g_realloc (w->usage, (w->n_usage + 1) * sizeof *w->usage);
  w->usage[w->n_usage++] = *u;
}

static uint32_t
highest_attempt (const KqFakeWorker *w, KqJobId job)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (w->attempts, &job));
}

static void
set_attempt (KqFakeWorker *w, KqTaskKey key)
{
  if (key.attempt <= highest_attempt (w, key.job))
    return;
  int64_t *job = malloc (sizeof *job);
  *job = (int64_t)key.job;
  g_hash_table_replace (w->attempts, job, GUINT_TO_POINTER (key.attempt));
}

static KqResult
start (KqFakeWorker *w, const KqWorkerCall *c, KqTime now)
{
  KqSize used = kq_fake_worker_used (w);
  KqFakeTask t = { .started = now, .throttle_percent = 100 };
  if (now + w->skew >= w->lease_until)
    return KQ_ERR_NO_LEASE;
  if (c->task.attempt <= highest_attempt (w, c->task.job))
    return KQ_ERR_OLD_ATTEMPT;
  if (used.cpu_milli + c->size.cpu_milli > w->capacity.cpu_milli
      || used.memory_mb + c->size.memory_mb > w->capacity.memory_mb
      || used.accelerators + c->size.accelerators > w->capacity.accelerators)
    return KQ_ERR_NO_ROOM;
  set_attempt (w, c->task);
  t.report.task = c->task;
  t.report.state = KQ_TASK_RUNNING;
  t.report.size = c->size;
  t.report.class_name = c->class_name;
  t.report.latency_critical = c->latency_critical;
  t.report.checkpoint = c->checkpoint;
  w->tasks = g_realloc (w->tasks, (w->n_tasks + 1) * sizeof *w->tasks);
  w->tasks[w->n_tasks++] = t;
  return KQ_OK;
}

static void
acknowledge (KqFakeWorker *w, const KqWorkerCall *c)
{
  for (size_t i = 0; i < c->n_acks; i++)
    {
      KqFakeTask *t = kq_fake_worker_task (w, c->acks[i]);
      if (t != NULL && t->report.state != KQ_TASK_RUNNING)
        *t = w->tasks[--w->n_tasks];
    }
}

static void
lease (KqFakeWorker *w, const KqWorkerCall *c, KqTime now, KqWorkerReply *r)
{
  KqTime own_time = now + w->skew;
  KqTime until = (KqTime)c->echo_stamp + c->lease_ms * KQ_MS;
  if (c->echo_stamp != 0 && until > w->lease_until && until > own_time)
    w->lease_until = until;
  acknowledge (w, c);
  r->stamp = (uint64_t)own_time;
  r->lease_live = c->echo_stamp != 0 && own_time < w->lease_until;
  r->leaving = w->leaving;
  r->tasks = g_malloc0 ((w->n_tasks + 1) * sizeof *r->tasks);
  for (size_t i = 0; i < w->n_tasks; i++)
    r->tasks[i] = w->tasks[i].report;
  r->n_tasks = w->n_tasks;
  r->usage = w->usage;
  r->n_usage = w->n_usage;
  w->usage = NULL;
  w->n_usage = 0;
}

static KqResult
stop (KqFakeWorker *w, const KqWorkerCall *c)
{
  KqFakeTask *t = kq_fake_worker_task (w, c->task);
  set_attempt (w, c->task);
  if (t != NULL && t->report.state == KQ_TASK_RUNNING)
    t->report.state = KQ_TASK_STOPPED;
  return KQ_OK;
}

static KqResult
checkpoint (KqFakeWorker *w, const KqWorkerCall *c, KqWorkerReply *r)
{
  KqFakeTask *t = kq_fake_worker_task (w, c->task);
  char name[32];
  if (t == NULL || t->report.state != KQ_TASK_RUNNING)
    return KQ_ERR_WORKER_REFUSED;
  snprintf (name, sizeof name, "cp-%u-%d", c->task.attempt, (int)(t->done * 1000000));
  t->report.state = KQ_TASK_CHECKPOINTED;
  t->report.checkpoint = kq_name (kq_str (name));
  r->checkpoint = t->report.checkpoint;
  return KQ_OK;
}

static KqResult
throttle (KqFakeWorker *w, const KqWorkerCall *c)
{
  KqFakeTask *t = kq_fake_worker_task (w, c->task);
  if (t == NULL || t->report.state != KQ_TASK_RUNNING)
    return KQ_ERR_WORKER_REFUSED;
  t->throttle_percent = c->throttle_percent;
  return KQ_OK;
}

void
kq_fake_worker_call (KqFakeWorker *w, const KqWorkerCall *c, KqTime now, KqWorkerReply *r)
{
  *r = kq_fake_no_reply (c, now);
  kq_fake_worker_tick (w, now);
  r->result = KQ_ERR_OLD_EPOCH;
  r->worker_epoch = w->epoch;
  r->capacity = w->capacity;
  if (c->epoch < w->epoch)
    return;
  w->epoch = r->worker_epoch = c->epoch;
  r->result = KQ_OK;
  switch (c->kind)
    {
    case KQ_WORKER_LEASE:
      lease (w, c, now, r);
      break;
    case KQ_WORKER_START:
      r->result = start (w, c, now);
      break;
    case KQ_WORKER_STOP:
      r->result = stop (w, c);
      break;
    case KQ_WORKER_CHECKPOINT:
      r->result = checkpoint (w, c, r);
      break;
    case KQ_WORKER_THROTTLE:
      r->result = throttle (w, c);
      break;
    }
}

KqWorkerReply
kq_fake_no_reply (const KqWorkerCall *c, KqTime sent_at)
{
  return (KqWorkerReply){ .kind = c->kind,
                          .worker = c->worker,
                          .shard = c->shard,
                          .epoch = c->epoch,
                          .token = c->token,
                          .result = KQ_ERR_WORKER_UNREACHABLE,
                          .sent_at = sent_at,
                          .task = c->task };
}

void
kq_fake_reply_clear (KqWorkerReply *r)
{
  g_free (r->tasks);
  g_free (r->usage);
  r->tasks = NULL;
  r->usage = NULL;
}
