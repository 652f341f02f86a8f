#include "place_model.h"
#include "job/place.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPORT_PERIOD_S 10
#define NOISE_PERIOD_S 180
#define NOISE_LENGTH_S 60
#define NOISE_FACTOR 3.0

static const double band_factor[KQ_BANDS] = { 0.4, 1.0, 1.8 };

static double
uniform (KqRand *r, double a, double b)
{
  return a + (b - a) * kq_rand_unit (r);
}

static void
init_class (KqModel *m, int c)
{
  static const double off[] = { 0.1, 0.3, 1, 1, 3, 10 };
  KqModelClass *k = &m->classes[c];
  bool service = c < KQ_MODEL_SERVICES;
  double cores
      = m->d->scale
        * (service ? uniform (&m->rand, 0.5, 1.5) : uniform (&m->rand, 0.4, 1.8));
  char name[24];
  snprintf (name, sizeof name, "%s%d", service ? "service" : "batch", c);
  k->name = kq_name (kq_str (name));
  k->actual.cpu_milli = (int64_t)(1000 * cores);
  k->actual.memory_mb = (int64_t)(1000 * cores * uniform (&m->rand, 1.0, 4.0));
  k->actual.accelerators = m->d->accelerated > 0 && c == KQ_MODEL_CLASSES - 1;
  k->declared = service ? uniform (&m->rand, 0.7, 1.5)
                        : off[kq_rand_below (&m->rand, sizeof off / sizeof *off)];
  k->checkpoints = kq_rand_below (&m->rand, 4) > 0;
  k->seconds = service ? 0 : m->d->batch_s * uniform (&m->rand, 0.5, 1.5);
}

/* One pair in three interferes noticeably. */
static void
init_effects (KqModel *m)
{
  for (int v = 0; v < KQ_MODEL_CLASSES; v++)
    for (int o = 0; o < KQ_MODEL_CLASSES; o++)
      {
        bool strong = o >= KQ_MODEL_SERVICES && kq_rand_below (&m->rand, 3) == 0;
        double most = v < KQ_MODEL_SERVICES ? 0.4 : 0.1;
        m->effect[v][o]
            = strong ? uniform (&m->rand, most / 4, most) : uniform (&m->rand, 0, 0.01);
      }
  for (int c = 0; c < KQ_MODEL_CLASSES; c++)
    m->noise[c] = 1;
}

int
kq_model_class (const KqName *n)
{
  return atoi (n->bytes + (n->bytes[0] == 's' ? 7 : 5));
}

static void
on_started (void *arg, KqTaskKey task, KqWorkerId worker, KqTime now)
{
  KqModel *m = arg;
  KqFakeWorker *w = &m->rig.workers[worker - 1];
  KqFakeTask *t = kq_fake_worker_task (w, task);
  KqTime *since = g_hash_table_lookup (m->urgent, &task.job);
  int done = 0;
  m->starts++;
  m->waiting[kq_model_class (&t->report.class_name)] -= task.attempt == 1;
  if (t->report.checkpoint.len > 0
      && sscanf (t->report.checkpoint.bytes, "cp-%*u-%d", &done) == 1)
    t->done = done / 1e6;
  if (since == NULL)
    return;
  if (m->measuring)
    {
      m->urgent_waits
          = kq_realloc (m->urgent_waits, (m->n_urgent + 1) * sizeof *m->urgent_waits);
      m->urgent_waits[m->n_urgent++] = (double)(now - *since) / (double)KQ_SEC;
    }
  g_hash_table_remove (m->urgent, &task.job);
}

static int64_t
declared_size (KqModel *m, const KqModelClass *k, int64_t actual, int64_t whole)
{
  double v = (double)actual * k->declared * uniform (&m->rand, 0.8, 1.25);
  return (int64_t)fmax (50, fmin (v, 0.5 * (double)whole));
}

static void
submit (KqModel *m, int c, KqPriority priority)
{
  const KqModelClass *k = &m->classes[c];
  char team[24];
  KqJobSpec s = { .priority = priority, .class_name = k->name };
  snprintf (team, sizeof team, "t%zu", (size_t)kq_rand_below (&m->rand, m->d->teams));
  s.team = kq_name (kq_str (team));
  s.latency_critical = c < KQ_MODEL_SERVICES;
  s.size.cpu_milli
      = declared_size (m, k, k->actual.cpu_milli, m->d->worker_size.cpu_milli);
  s.size.memory_mb
      = declared_size (m, k, k->actual.memory_mb, m->d->worker_size.memory_mb);
  s.size.accelerators = k->actual.accelerators;
  m->next_id++;
  m->waiting[c]++;
  if (priority == KQ_PRIORITY_URGENT)
    {
      KqTime *since = malloc (sizeof *since);
      int64_t *id = malloc (sizeof *id);
      *id = (int64_t)(((KqJobId)1 << 48) | m->next_id);
      *since = m->rig.now;
      g_hash_table_insert (m->urgent, id, since);
    }
  kq_rig_submit (&m->rig, m->next_id, &s);
}

static void
add_class_rows (KqModel *m)
{
  for (int c = 0; c < KQ_MODEL_CLASSES; c++)
    {
      const KqModelClass *k = &m->classes[c];
      KqRow row = kq_row_default (KQ_ROW_CLASS, kq_name_str (&k->name));
      row.u.job_class.checkpoint_ms = k->checkpoints ? 30000 : 0;
      row.u.job_class.latency_critical = c < KQ_MODEL_SERVICES;
      row.u.job_class.movable = c >= KQ_MODEL_SERVICES;
      row.u.job_class.attempts_max = 20;
      kq_rig_set_row (&m->rig, &row);
    }
}

void
kq_model_init (KqModel *m, const KqDeployment *d, const KqPolicyRow *policy,
               int place_rule, uint64_t seed)
{
  KqRow row = kq_row_default (KQ_ROW_POLICY, KQ_STR ("default"));
  memset (m, 0, sizeof *m);
  m->d = d;
  m->rand = kq_rand (seed);
  for (int c = 0; c < KQ_MODEL_CLASSES; c++)
    init_class (m, c);
  init_effects (m);
  m->urgent = g_hash_table_new_full (g_int64_hash, g_int64_equal, free, free);
  kq_rig_init (&m->rig, d->workers, d->worker_size, d->per_rack, seed);
  m->rig.config.place_rule = place_rule;
  m->rig.net_delay = 2 * KQ_MS;
  m->rig.commit_delay = 20 * KQ_MS;
  m->rig.checkpoint_time = 800 * KQ_MS;
  m->rig.started = on_started;
  m->rig.arg = m;
  for (size_t i = 0; i < d->accelerated; i++)
    m->rig.workers[i].capacity.accelerators = m->rig.hosts[i].capacity.accelerators = 4;
  row.u.policy = *policy;
  kq_rig_set_row (&m->rig, &row);
  add_class_rows (m);
  for (size_t i = 0; i < d->teams; i++)
    {
      char name[24];
      snprintf (name, sizeof name, "t%zu", i);
      kq_rig_set_team (&m->rig, name, NULL);
    }
  kq_rig_open (&m->rig);
  kq_rig_run (&m->rig, KQ_SEC);
}

void
kq_model_clear (KqModel *m)
{
  kq_rig_clear (&m->rig);
  g_hash_table_destroy (m->urgent);
  free (m->reports);
  free (m->urgent_waits);
}

static void
queue_report (KqModel *m, size_t worker, const KqFakeTask *t, double slowdown)
{
  const KqModelClass *k = &m->classes[kq_model_class (&t->report.class_name)];
  KqModelReport r = { .worker = worker, .measured = m->rig.now };
  double cpu
      = (double)k->actual.cpu_milli * t->throttle_percent / 100 / fmin (slowdown, 3);
  r.due = m->rig.now + (KqTime)(uniform (&m->rand, 5, 30) * KQ_SEC);
  r.report.task = t->report.task;
  r.report.cpu_milli = (int64_t)(cpu * uniform (&m->rand, 0.85, 1.05));
  r.report.memory_mb
      = (int64_t)((double)k->actual.memory_mb * uniform (&m->rand, 0.8, 1));
  r.report.slowdown = slowdown * uniform (&m->rand, 0.95, 1.05);
  if (m->n_reports % 1024 == 0)
    m->reports = kq_realloc (m->reports, (m->n_reports + 1024) * sizeof *m->reports);
  m->reports[m->n_reports++] = r;
}

static void
deliver_reports (KqModel *m)
{
  size_t kept = 0;
  for (size_t i = 0; i < m->n_reports; i++)
    {
      KqModelReport *r = &m->reports[i];
      if (r->due > m->rig.now)
        {
          m->reports[kept++] = *r;
          continue;
        }
      r->report.age_us = m->rig.now - r->measured;
      kq_fake_worker_add_usage (&m->rig.workers[r->worker], &r->report);
    }
  m->n_reports = kept;
  m->reports = kq_realloc (m->reports, (kept / 1024 + 1) * 1024 * sizeof *m->reports);
}

/* Advances one task by a second. */
static void
advance (KqModel *m, size_t worker, KqFakeTask *t, double slowdown)
{
  const KqModelClass *k = &m->classes[kq_model_class (&t->report.class_name)];
  double speed = t->throttle_percent / 100.0 / slowdown;
  if (k->seconds > 0)
    {
      t->done += speed / k->seconds;
      if (m->measuring)
        m->batch_done += speed * (double)k->actual.cpu_milli / 1000;
      if (t->done >= 1)
        t->report.state = KQ_TASK_FINISHED;
    }
  else if (m->measuring)
    m->slowdowns[(int)fmin (999, (slowdown - 1) * 100)]++;
  if ((m->rig.now / KQ_SEC + (KqTime)t->report.task.job) % REPORT_PERIOD_S == 0)
    queue_report (m, worker, t, slowdown);
}

/* A worker out of memory kills the task that exceeds its size most; without a checkpoint
 * its work is lost. */
static void
kill_largest_excess (KqModel *m, KqFakeWorker *w)
{
  KqFakeTask *worst = NULL;
  int64_t most = 0;
  for (size_t i = 0; i < w->n_tasks; i++)
    {
      KqFakeTask *t = &w->tasks[i];
      int64_t above = m->classes[kq_model_class (&t->report.class_name)].actual.memory_mb
                      - t->report.size.memory_mb;
      if (t->report.state == KQ_TASK_RUNNING && above > most)
        {
          worst = t;
          most = above;
        }
    }
  m->memory_overruns += m->measuring;
  if (worst == NULL)
    return;
  worst->report.state = KQ_TASK_FAILED;
  m->killed += m->measuring;
  if (m->measuring)
    {
      const KqModelClass *k = &m->classes[kq_model_class (&worst->report.class_name)];
      double lost = worst->done * k->seconds * (double)k->actual.cpu_milli / 1000;
      m->lost += lost;
      m->batch_done -= lost;
    }
}

static void
fail_all (KqModel *m, KqFakeWorker *w)
{
  for (size_t n = 0; n < w->n_tasks; n++)
    if (w->tasks[n].report.state == KQ_TASK_RUNNING
        && kq_model_class (&w->tasks[n].report.class_name) >= KQ_MODEL_SERVICES)
      {
        w->tasks[n].report.state = KQ_TASK_FAILED;
        m->failed++;
      }
}

static void
step_worker (KqModel *m, size_t i)
{
  KqFakeWorker *w = &m->rig.workers[i];
  double mix[KQ_MODEL_CLASSES] = { 0 };
  double sum[KQ_MODEL_CLASSES];
  KqSize used = { 0 };
  double overcommit;
  double factor;
  KqSize allocated = kq_fake_worker_used (w);
  double services = 0;
  for (size_t n = 0; n < w->n_tasks; n++)
    if (w->tasks[n].report.state == KQ_TASK_RUNNING)
      {
        int c = kq_model_class (&w->tasks[n].report.class_name);
        mix[c] += w->tasks[n].throttle_percent / 100.0;
        used.cpu_milli
            += m->classes[c].actual.cpu_milli * w->tasks[n].throttle_percent / 100;
        used.memory_mb += m->classes[c].actual.memory_mb;
        if (c < KQ_MODEL_SERVICES)
          services += (double)m->classes[c].actual.cpu_milli;
      }
  m->breaches += allocated.cpu_milli > w->capacity.cpu_milli
                 || allocated.memory_mb > w->capacity.memory_mb
                 || allocated.accelerators > w->capacity.accelerators;
  factor = band_factor[kq_load_band (used.cpu_milli, w->capacity.cpu_milli)];
  overcommit = fmax (1, (double)used.cpu_milli / (double)w->capacity.cpu_milli);
  for (int v = 0; v < KQ_MODEL_CLASSES; v++)
    {
      sum[v] = -m->effect[v][v] * m->noise[v];
      for (int o = 0; o < KQ_MODEL_CLASSES; o++)
        sum[v] += mix[o] * m->effect[v][o] * m->noise[o];
    }
  if (m->measuring)
    m->batch_bound += fmax (0, (double)w->capacity.cpu_milli - services) / 1000;
  for (size_t n = 0; n < w->n_tasks; n++)
    if (w->tasks[n].report.state == KQ_TASK_RUNNING)
      {
        int c = kq_model_class (&w->tasks[n].report.class_name);
        advance (m, i, &w->tasks[n], (1 + fmax (0, sum[c]) * factor) * overcommit);
      }
  if (used.memory_mb > w->capacity.memory_mb)
    kill_largest_excess (m, w);
  if (i >= m->d->workers - m->d->bad_workers && m->measuring)
    fail_all (m, w);
}

static void
update_noise (KqModel *m, int second)
{
  if (second % NOISE_PERIOD_S == 0)
    m->noise[KQ_MODEL_SERVICES
             + kq_rand_below (&m->rand, KQ_MODEL_CLASSES - KQ_MODEL_SERVICES)]
        = NOISE_FACTOR;
  if (second % NOISE_PERIOD_S == NOISE_LENGTH_S)
    for (int c = 0; c < KQ_MODEL_CLASSES; c++)
      m->noise[c] = 1;
}

static void
submit_work (KqModel *m, int second)
{
  for (size_t i = second == 0 ? 0 : m->d->services; i < m->d->services; i++)
    submit (m, (int)(i % KQ_MODEL_SERVICES), KQ_PRIORITY_HIGH);
  for (int c = KQ_MODEL_SERVICES; c < KQ_MODEL_CLASSES; c++)
    while (m->waiting[c] < m->d->backlog)
      submit (m, c, KQ_PRIORITY_NORMAL);
  if (kq_rand_unit (&m->rand) < 1 / m->d->urgent_s)
    submit (m, KQ_MODEL_SERVICES + (int)kq_rand_below (&m->rand, 3), KQ_PRIORITY_URGENT);
}

/* Samples how far the teams' use is from equal shares; all teams have jobs queued. */
static void
sample_quotas (KqModel *m)
{
  KqShardDigest d = { 0 };
  double error = 0;
  kq_jobs_digest (m->rig.jobs, m->rig.now, &d);
  double total = 0;
  for (size_t i = 0; i < d.n_teams; i++)
    total += (double)d.teams[i].used.cpu_milli;
  for (size_t i = 0; i < d.n_teams; i++)
    error += fabs ((double)d.teams[i].used.cpu_milli / total - 1.0 / (double)m->d->teams);
  m->quota_error += error / 2;
  m->quota_samples++;
}

void
kq_model_run (KqModel *m)
{
  for (int second = 0; second < m->d->warm_up_s + m->d->measured_s; second++)
    {
      if (second == m->d->warm_up_s)
        {
          m->measuring = true;
          m->evicted_before = kq_jobs_account (m->rig.jobs).evicted;
          m->starts = 0;
        }
      update_noise (m, second);
      submit_work (m, second);
      for (size_t i = 0; i < m->d->workers; i++)
        step_worker (m, i);
      deliver_reports (m);
      kq_rig_run (&m->rig, KQ_SEC);
      if (m->measuring)
        sample_quotas (m);
    }
}
