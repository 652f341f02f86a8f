#include "port/worker_fake.h"

#include "port/worker_list.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
find_job (GHashTable *table, KqJobId job)
{
  gint64 key = (gint64)job;
  return g_hash_table_lookup (table, &key);
}

static void
set_job (GHashTable *table, KqJobId job, void *value)
{
  gint64 key = (gint64)job;
  g_hash_table_insert (table, g_memdup2 (&key, sizeof key), value);
}

void
kq_worker_fake_effects_init (KqWorkerFakeEffects *e, uint64_t stamp_base,
                             KqTime usage_lag)
{
  *e = (KqWorkerFakeEffects){ .stamp_base = stamp_base, .usage_lag = usage_lag };
  e->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free);
}

void
kq_worker_fake_effects_free (KqWorkerFakeEffects *e)
{
  g_hash_table_destroy (e->jobs);
}

static KqWorkerFakeEffect *
effect_of (KqWorkerFakeEffects *e, KqJobId job)
{
  KqWorkerFakeEffect *f = find_job (e->jobs, job);
  if (f == NULL)
    {
      f = kq_alloc (sizeof *f);
      set_job (e->jobs, job, f);
    }
  return f;
}

void
kq_worker_fake_init (KqWorkerFake *w, KqWorkerFakeEffects *e, KqSize capacity)
{
  *w = (KqWorkerFake){ .effects = e, .capacity = capacity };
  w->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
kq_worker_fake_free (KqWorkerFake *w)
{
  while (w->tasks != NULL)
    {
      KqWorkerFakeTask *t = w->tasks;
      w->tasks = t->next;
      free (t);
    }
  g_hash_table_destroy (w->attempts);
  free (w->reported.list);
  free (w->next_reported.list);
}

static KqWorkerFakeTask *
find_task (const KqWorkerFake *w, KqTaskKey key)
{
  KqWorkerFakeTask *t = w->tasks;
  while (t != NULL
         && (t->report.task.job != key.job || t->report.task.attempt != key.attempt))
    t = t->next;
  return t;
}

static void
end_task (KqWorkerFake *w, KqWorkerFakeTask *t, KqTaskState state)
{
  KqWorkerFakeEffect *f = effect_of (w->effects, t->report.task.job);
  t->report.state = state;
  t->changed = w->now;
  f->running--;
  f->finished += state == KQ_TASK_FINISHED;
}

static void
run_task (KqWorkerFake *w, KqWorkerFakeTask *t, KqTime until)
{
  int64_t work = (until - t->updated) * t->throttle_percent / 100;
  bool ends = t->left_us >= 0 && work >= t->left_us;
  if (until <= t->updated)
    return;
  t->updated = until;
  if (ends)
    work = t->left_us;
  t->report.run_us += work;
  if (t->left_us >= 0)
    t->left_us -= work;
  if (ends)
    end_task (w, t, KQ_TASK_FINISHED);
}

void
kq_worker_fake_advance (KqWorkerFake *w, KqTime now)
{
  bool lapsed = w->lease_until <= now;
  w->now = now;
  for (KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next)
    {
      if (t->report.state == KQ_TASK_RUNNING)
        run_task (w, t, lapsed ? w->lease_until : now);
      if (t->report.state == KQ_TASK_RUNNING && lapsed)
        end_task (w, t, KQ_TASK_STOPPED);
    }
  if (lapsed && w->stamps_valid_from < w->lease_until)
    w->stamps_valid_from = w->lease_until;
}

static KqSize
used (const KqWorkerFake *w)
{
  KqSize s = { 0 };
  for (const KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next)
    {
      if (t->report.state != KQ_TASK_RUNNING)
        continue;
      s.cpu_milli += t->report.size.cpu_milli;
      s.memory_mb += t->report.size.memory_mb;
      s.accelerators += t->report.size.accelerators;
    }
  return s;
}

static bool
fits (const KqWorkerFake *w, KqSize more)
{
  KqSize u = used (w);
  return u.cpu_milli + more.cpu_milli <= w->capacity.cpu_milli
         && u.memory_mb + more.memory_mb <= w->capacity.memory_mb
         && u.accelerators + more.accelerators <= w->capacity.accelerators;
}

static void
acknowledge (KqWorkerFake *w, KqTaskKey key)
{
  for (KqWorkerFakeTask **at = &w->tasks; *at != NULL; at = &(*at)->next)
    {
      KqWorkerFakeTask *t = *at;
      if (t->report.task.job != key.job || t->report.task.attempt != key.attempt
          || t->report.state == KQ_TASK_RUNNING)
        continue;
      *at = t->next;
      free (t);
      return;
    }
}

/* Renews the lease. It runs from the echoed stamp, which is never later than the time
 * from which the sender counts it, so that a renewal delayed in the network doesn't
 * extend it beyond what the sender assumes. A stamp from before an expiry of the lease or
 * from an earlier epoch extends nothing. */
static void
renew (KqWorkerFake *w, const KqWorkerCall *c, KqTime now)
{
  KqTime stamp = (KqTime)(c->echo_stamp - w->effects->stamp_base);
  KqTime until = stamp + c->lease_ms * KQ_MS;
  for (size_t i = 0; i < c->n_acks; i++)
    acknowledge (w, c->acks[i]);
  if (c->echo_stamp == 0 || stamp < w->stamps_valid_from || stamp > now || until <= now)
    return;
  w->live_epoch = c->epoch;
  if (until > w->lease_until)
    w->lease_until = until;
}

/* Records the attempt; false: not above the highest seen. Refused attempts of the current
 * epoch are recorded too, so that a refusal guarantees that the attempt never starts. */
static bool
record_attempt (KqWorkerFake *w, KqTaskKey key)
{
  uint32_t seen = GPOINTER_TO_UINT (find_job (w->attempts, key.job));
  if (key.attempt > seen)
    set_job (w->attempts, key.job, GUINT_TO_POINTER (key.attempt));
  return key.attempt > seen;
}

/* The remaining run time of a new task, in microseconds. A checkpoint id is
 * "c.JOB.ATTEMPT.LEFT_US", with the remaining run time, so any worker can resume. */
static int64_t
run_time_us (const KqWorkerCall *c)
{
  KqStr id = kq_name_str (&c->checkpoint);
  int64_t left = -1;
  for (int i = 0; i < 3; i++)
    kq_str_cut (&id, '.');
  if (c->checkpoint.len > 0 && kq_str_to_i64 (id, &left))
    return left;
  return c->run_ms > 0 ? c->run_ms * KQ_MS : -1;
}

static void
add_task (KqWorkerFake *w, const KqWorkerCall *c, KqTime now)
{
  KqWorkerFakeEffect *f = effect_of (w->effects, c->task.job);
  KqWorkerFakeTask *t = kq_alloc (sizeof *t);
  if (f->worker != NULL)
    kq_worker_fake_advance (f->worker,
                            now); /* the job's last task may have ended by now */
  t->report = (KqTaskReport){ .task = c->task,
                              .state = KQ_TASK_RUNNING,
                              .size = c->size,
                              .class_name = c->class_name,
                              .latency_critical = c->latency_critical };
  t->left_us = run_time_us (c);
  t->throttle_percent = 100;
  t->updated = t->changed = now;
  t->next = w->tasks;
  w->tasks = t;
  f->worker = w;
  f->starts++;
  f->running++;
  f->max_running = f->running > f->max_running ? f->running : f->max_running;
  if (!fits (w, (KqSize){ 0 }))
    w->effects->overcommits++;
  if (w->fails)
    end_task (w, t, KQ_TASK_FAILED);
}

static KqResult
start (KqWorkerFake *w, const KqWorkerCall *c, KqTime now)
{
  if (!record_attempt (w, c->task))
    return KQ_ERR_OLD_ATTEMPT;
  if (w->live_epoch != c->epoch || w->lease_until <= now)
    return KQ_ERR_NO_LEASE;
  if (w->leaving)
    return KQ_ERR_WORKER_REFUSED;
  if (!fits (w, c->size))
    return KQ_ERR_NO_ROOM;
  add_task (w, c, now);
  return KQ_OK;
}

/* Carries out CHECKPOINT. A repeated call gets the same answer, because the first answer
 * may have been lost. */
static KqResult
checkpoint (KqWorkerFake *w, const KqWorkerCall *c, KqWorkerReply *r)
{
  KqWorkerFakeTask *t = find_task (w, c->task);
  char id[KQ_NAME_MAX + 1];
  if (t != NULL && t->report.state == KQ_TASK_RUNNING)
    {
      snprintf (id, sizeof id, "c.%llx.%u.%lld", (unsigned long long)c->task.job,
                c->task.attempt, (long long)t->left_us);
      t->report.checkpoint = kq_name (kq_str (id));
      end_task (w, t, KQ_TASK_CHECKPOINTED);
    }
  if (t == NULL || t->report.state != KQ_TASK_CHECKPOINTED)
    return KQ_ERR_WORKER_REFUSED;
  r->checkpoint = t->report.checkpoint;
  return KQ_OK;
}

/* Stopping an unknown task succeeds: if its start arrives later, it is refused. */
static KqResult
command (KqWorkerFake *w, const KqWorkerCall *c, KqWorkerReply *r)
{
  KqWorkerFakeTask *t = find_task (w, c->task);
  bool running = t != NULL && t->report.state == KQ_TASK_RUNNING;
  record_attempt (w, c->task);
  if (c->kind == KQ_WORKER_CHECKPOINT)
    return checkpoint (w, c, r);
  if (c->kind == KQ_WORKER_STOP && running)
    end_task (w, t, KQ_TASK_STOPPED);
  if (c->kind == KQ_WORKER_THROTTLE && !running)
    return KQ_ERR_WORKER_REFUSED;
  if (c->kind == KQ_WORKER_THROTTLE)
    t->throttle_percent = c->throttle_percent;
  return KQ_OK;
}

/* Measures the running tasks' usage. In this model a task's slowdown is 1 plus half of
 * the share of the worker's cpu that the other tasks use. */
static void
take_usage (const KqWorkerFake *w, KqWorkerFakeUsage *to, KqTime now)
{
  int64_t cpu = used (w).cpu_milli;
  size_t n = 0;
  for (const KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next)
    n++;
  to->list = kq_alloc ((n + 1) * sizeof *to->list);
  to->n = 0;
  to->taken_at = now;
  for (const KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next)
    {
      const KqTaskReport *r = &t->report;
      double others = (double)(cpu - r->size.cpu_milli) / (double)w->capacity.cpu_milli;
      if (r->state != KQ_TASK_RUNNING)
        continue;
      to->list[to->n++] = (KqUsageReport){
        .task = r->task,
        .cpu_milli = r->size.cpu_milli * t->throttle_percent / 100,
        .memory_mb = r->size.memory_mb,
        .slowdown = 1.0 + 0.5 * others,
      };
    }
}

/* Adds the usage reports to the answer. Reports are repeated until the caller echoes a
 * stamp that was sent with them or later. If they were sent just once, they would be lost
 * with a lost answer; if they were always sent, they would be counted several times. */
static void
report_usage (KqWorkerFake *w, const KqWorkerCall *c, KqTime now, KqWorkerReply *r)
{
  bool known;
  if (now - w->next_reported.taken_at >= w->effects->usage_lag)
    {
      free (w->reported.list);
      w->reported = w->next_reported;
      take_usage (w, &w->next_reported, now);
      w->reported_from = now;
    }
  known = c->echo_stamp >= w->effects->stamp_base + (uint64_t)w->reported_from;
  r->usage = kq_alloc ((w->reported.n + 1) * sizeof *r->usage);
  for (; !known && r->n_usage < w->reported.n; r->n_usage++)
    {
      r->usage[r->n_usage] = w->reported.list[r->n_usage];
      r->usage[r->n_usage].age_us = now - w->reported.taken_at;
    }
}

/* Adds the tasks to the answer: all of them, or only those that changed at or after the
 * stamp of the caller's cached list. */
static void
report_tasks (const KqWorkerFake *w, const KqWorkerCall *c, KqTime now, KqWorkerReply *r)
{
  uint64_t base = w->effects->stamp_base;
  KqTime since = (KqTime)(c->list_stamp - base);
  size_t n = 0;
  size_t kept = 0;
  for (const KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next)
    n++;
  r->tasks = kq_alloc ((n + 1) * sizeof *r->tasks);
  for (const KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next)
    r->tasks[r->n_tasks++] = t->report;
  r->list_tag = kq_worker_list_tag (r->tasks, r->n_tasks);
  if (c->list_stamp <= base || since > now)
    return;
  r->tasks_since = c->list_stamp;
  for (const KqWorkerFakeTask *t = w->tasks; t != NULL; t = t->next)
    {
      if (t->changed >= since)
        r->tasks[kept++] = t->report;
    }
  r->n_tasks = kept;
}

static void
report (KqWorkerFake *w, const KqWorkerCall *c, KqTime now, KqWorkerReply *r)
{
  report_tasks (w, c, now, r);
  r->stamp = w->effects->stamp_base + (uint64_t)now;
  r->lease_live = w->live_epoch == w->epoch && w->lease_until > now;
  r->leaving = w->leaving;
  r->capacity = w->capacity;
  report_usage (w, c, now, r);
}

static KqResult
execute (KqWorkerFake *w, const KqWorkerCall *c, KqTime now, KqWorkerReply *r)
{
  if (c->epoch < w->epoch)
    return KQ_ERR_OLD_EPOCH;
  if (c->epoch > w->epoch)
    {
      w->epoch = c->epoch;
      w->stamps_valid_from = now;
    }
  if (c->kind == KQ_WORKER_START)
    return start (w, c, now);
  if (c->kind != KQ_WORKER_LEASE)
    return command (w, c, r);
  renew (w, c, now);
  report (w, c, now, r);
  return KQ_OK;
}

void
kq_worker_fake_call (KqWorkerFake *w, const KqWorkerCall *c, KqTime now, KqWorkerReply *r)
{
  *r = (KqWorkerReply){ .kind = c->kind,
                        .worker = c->worker,
                        .shard = c->shard,
                        .epoch = c->epoch,
                        .token = c->token,
                        .task = c->task };
  kq_worker_fake_advance (w, now);
  r->result = execute (w, c, now, r);
  r->worker_epoch = w->epoch;
}
