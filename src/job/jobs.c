#include "job/jobs_impl.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

KqJobs *
kq_jobs_new (const KqJobsConfig *c, KqLogPort log)
{
  KqJobs *j = kq_alloc (sizeof *j);
  j->c = *c;
  j->times.lease = c->lease > 0 ? c->lease : 9 * KQ_SEC;
  j->times.renew = c->renew > 0 ? c->renew : 3 * KQ_SEC;
  j->times.renew_without_store = c->renew_without_store;
  j->log = log;
  j->rand = kq_rand (c->seed);
  j->place_rand_state = kq_rand_next (&j->rand);
  kq_buf_init (&j->buf);
  kq_job_set_init (&j->set);
  kq_workers_init (&j->workers);
  kq_job_queue_init (&j->queue);
  return j;
}

void
kq_jobs_free (KqJobs *j)
{
  if (j == NULL)
    return;
  kq_quota_clear (&j->quota);
  kq_spread_clear (&j->spread);
  kq_job_queue_clear (&j->queue);
  kq_workers_clear (&j->workers);
  kq_job_set_clear (&j->set);
  kq_buf_free (&j->buf);
  if (j->table != NULL)
    kq_table_unref (j->table);
  free (j->digest_teams);
  free ((void *)j->cursors);
  free (j->others);
  free (j);
}

const KqPolicyRow *
kq_jobs_policy (const KqJobs *j)
{
  static const KqPolicyRow all_enabled = { .urgent_percent = 5,
                                           .evictions_max = 3,
                                           .held_percent = 10,
                                           .learned_sizes = true,
                                           .interference = true,
                                           .throttle = true,
                                           .quotas = true,
                                           .eviction = true,
                                           .bad_workers = true,
                                           .spread = true };
  return j->policy != NULL ? j->policy : &all_enabled;
}

KqClassRow
kq_jobs_class_row (const KqJobs *j, const KqName *name)
{
  const KqRow *row = NULL;
  if (j->table != NULL)
    row = kq_table_find (j->table, KQ_ROW_CLASS, kq_name_str (name));
  if (row != NULL)
    return row->u.job_class;
  return kq_row_default (KQ_ROW_CLASS, kq_name_str (name)).u.job_class;
}

KqPlacer
kq_jobs_placer (KqJobs *j, KqTime now)
{
  return (KqPlacer){ .rule = (KqPlaceRule)j->c.place_rule,
                     .workers = &j->workers,
                     .policy = kq_jobs_policy (j),
                     .times = &j->times,
                     .interference = &j->interference,
                     .classes = &j->classes,
                     .spread = &j->spread,
                     .rand_state = &j->place_rand_state,
                     .now = now };
}

KqSize
kq_jobs_declared_size (const KqJobs *j, const KqJobSpec *spec)
{
  KqSize s = spec->size;
  KqClassRow row = kq_jobs_class_row (j, &spec->class_name);
  if (s.cpu_milli == 0)
    s.cpu_milli = row.size.cpu_milli;
  if (s.memory_mb == 0)
    s.memory_mb = row.size.memory_mb;
  if (s.accelerators == 0)
    s.accelerators = row.size.accelerators;
  return s;
}

KqResult
kq_jobs_apply (KqJobs *j, const KqRecord *r, KqTime now)
{
  KqJobEvent e;
  KqResult code;
  assert (!j->open);
  if (r->type == KQ_JOB_RECORD_LEARNED)
    return kq_learned_apply (r, &j->classes, &j->sizes, &j->interference, now);
  code = kq_job_event_unpack (r, &e);
  if (code == KQ_OK)
    kq_jobs_replay (j, &e, now);
  return code;
}

/* After a takeover the lease of every worker starts in state UNKNOWN, because a lease
 * that the predecessor granted may still be live. */
KqSeq
kq_jobs_recovered (KqJobs *j, uint64_t epoch, KqTime now, KqOutbox *out)
{
  (void)out;
  j->send_after = 0;
  j->epoch = epoch;
  j->open = true;
  j->store_ok = j->renewing = true;
  j->store_lost_at = now;
  j->dirty = true;
  /* A random delay, so that the shards don't all append their learned records at once. */
  j->next_learned_record
      = now + 60 * KQ_SEC + (KqTime)kq_rand_below (&j->rand, 540 * KQ_SEC);
  for (uint32_t i = 0; i < j->workers.n; i++)
    {
      KqWorker *w = j->workers.all[i];
      kq_lease_set_unknown (&w->lease, &j->times, now);
      kq_workers_schedule (&j->workers, w);
      for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
        job->command_at = now;
    }
  return 0;
}

static void
add_full_state (const KqJob *job, void (*add) (void *, const KqRecord *), void *arg,
                KqBuf *b)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_FULL_STATE, .job = job->id, .full_state = *job };
  KqRecord r = kq_job_event_pack (&e, b);
  add (arg, &r);
}

/* Ended jobs come first, in the order of their ends, because that is the order in which
 * the ring frees them later. */
void
kq_jobs_snapshot (const KqJobs *j, void (*add) (void *arg, const KqRecord *r), void *arg)
{
  KqBuf b;
  GHashTableIter it;
  gpointer value;
  uint64_t n = j->set.n_ended;
  kq_buf_init (&b);
  for (uint64_t i = n > KQ_JOB_ENDED_MAX ? n - KQ_JOB_ENDED_MAX : 0; i < n; i++)
    if (j->set.ended[i % KQ_JOB_ENDED_MAX] != NULL) /* NULL: the job moved back */
      add_full_state (j->set.ended[i % KQ_JOB_ENDED_MAX], add, arg, &b);
  g_hash_table_iter_init (&it, j->set.by_id);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!kq_job_ended (value))
      add_full_state (value, add, arg, &b);
  for (uint16_t i = 0; i < j->classes.n; i++)
    if (j->sizes.classes[i].reports > 0)
      {
        KqRecord r = kq_learned_pack (&j->classes, &j->sizes, &j->interference, i, &b);
        add (arg, &r);
      }
  kq_buf_free (&b);
}

/* Computes the queued job's declared size again, because its class's row may have
 * changed. */
static void
update_declared_size (KqJobs *j, KqJob *job, KqTime now)
{
  KqTeam *team = &j->quota.teams[job->team];
  KqSize want = kq_jobs_declared_size (j, &job->spec);
  kq_job_queue_remove (&j->queue, job);
  team->own_wanted = kq_size_sub (team->own_wanted, job->declared_size);
  job->declared_size = want;
  team->own_wanted = kq_size_add (team->own_wanted, want);
  kq_job_queue_add (&j->queue, job, now);
}

/* After a change of the table or the hosts: updates all jobs' traits, and the queued
 * jobs' sizes and whether any worker can hold them. */
static void
recheck_jobs (KqJobs *j, KqTime now)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, j->set.by_id);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      KqJob *job = value;
      kq_jobs_update_traits (j, job);
      if (!job->in_queue)
        continue;
      update_declared_size (j, job, now);
      kq_jobs_update_unplaceable (j, job, now);
    }
}

void
kq_jobs_set_table (KqJobs *j, KqTable *t, KqTime now)
{
  KqTable *old = j->table;
  j->table = t != NULL ? kq_table_ref (t) : NULL;
  j->policy = t != NULL ? kq_table_policy (t) : NULL;
  if (old != NULL)
    kq_table_unref (old);
  kq_quota_set_table (&j->quota, j->table);
  for (uint32_t i = 0; i < j->workers.n; i++)
    {
      KqWorker *w = j->workers.all[i];
      const KqRow *row = NULL;
      if (j->table != NULL)
        row = kq_table_find (j->table, KQ_ROW_WORKER, kq_name_str (&w->name));
      w->row = row != NULL ? row->u.worker : (KqWorkerRow){ 0 };
      kq_jobs_refresh_worker (j, w, now);
    }
  kq_jobs_select_urgent_workers (j, now);
  recheck_jobs (j, now);
  j->dirty = true;
}

/* Sets the worker's rack and depot, and counts its services there instead of in the old
 * ones. */
static void
set_location (KqJobs *j, KqWorker *w, const KqHost *h)
{
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    if (job->service)
      kq_spread_add (&j->spread, w, job->class_index, -1);
  w->depot = h->depot;
  w->rack = h->rack;
  kq_spread_locate (&j->spread, w);
  for (KqJob *job = w->jobs; job != NULL; job = job->next_on_worker)
    if (job->service)
      kq_spread_add (&j->spread, w, job->class_index, 1);
}

static void
set_host (KqJobs *j, const KqHost *h, KqTime now)
{
  KqWorker *w = kq_workers_find_or_add (&j->workers, h->id);
  bool is_new = w->name.len == 0;
  bool returned = w->host == KQ_HOST_GONE && h->state != KQ_HOST_GONE;
  const KqRow *row = NULL;
  if (j->table != NULL)
    row = kq_table_find (j->table, KQ_ROW_WORKER, kq_name_str (&h->name));
  w->row = row != NULL ? row->u.worker : (KqWorkerRow){ 0 };
  w->name = h->name;
  set_location (j, w, h);
  w->host = h->state;
  w->in_hosts = true;
  if (!w->answered)
    w->capacity = h->capacity;
  if (j->open && ((is_new && w->lease.next_call_at == 0) || returned))
    {
      kq_lease_set_unknown (&w->lease, &j->times, now);
      kq_workers_schedule (&j->workers, w);
    }
  if (j->open && w->host == KQ_HOST_GONE)
    {
      w->lease.state = KQ_LEASE_LAPSED;
      w->lease.stamp = 0;
      w->answered = false;
      kq_jobs_close_attempts (j, w, now);
    }
}

KqSeq
kq_jobs_set_hosts (KqJobs *j, const KqHost *hosts, size_t n, KqTime now, KqOutbox *out)
{
  (void)out;
  j->send_after = 0;
  for (uint32_t i = 0; i < j->workers.n; i++)
    j->workers.all[i]->in_hosts = false;
  for (size_t i = 0; i < n; i++)
    set_host (j, &hosts[i], now);
  for (uint32_t i = 0; i < j->workers.n; i++)
    kq_jobs_refresh_worker (j, j->workers.all[i], now);
  kq_jobs_sum_workers (j);
  kq_jobs_select_urgent_workers (j, now);
  recheck_jobs (j, now);
  j->dirty = true;
  return j->send_after;
}

/* Quotas compute shares of the fleet's size: the sum over all shards. */
void
kq_jobs_sum_workers (KqJobs *j)
{
  KqSize s = j->others_capacity;
  j->n_live = 0;
  j->largest = (KqSize){ 0 };
  for (uint32_t i = 0; i < j->workers.n; i++)
    {
      const KqWorker *w = j->workers.all[i];
      if (!w->in_hosts || w->host == KQ_HOST_GONE)
        continue;
      s = kq_size_add (s, w->capacity);
      j->n_live++;
      j->largest = kq_size_max (j->largest, kq_size_sub (w->capacity, w->row.reserved));
    }
  j->quota.fleet = s;
}

void
kq_jobs_set_other_digests (KqJobs *j, const KqShardDigest *d, size_t n, KqTime now)
{
  (void)now;
  j->others_largest = j->others_capacity = (KqSize){ 0 };
  for (size_t i = 0; i < n; i++)
    {
      if (d[i].shard == j->c.shard)
        continue;
      j->others_largest = kq_size_max (j->others_largest, d[i].largest_capacity);
      j->others_capacity = kq_size_add (j->others_capacity, d[i].free);
      for (size_t k = 0; k < d[i].n_teams; k++)
        j->others_capacity = kq_size_add (j->others_capacity, d[i].teams[k].used);
    }
  kq_quota_set_others (&j->quota, d, n, j->c.shard);
  kq_jobs_set_region_digests (j, d, n);
  kq_jobs_sum_workers (j);
}

static void
digest_teams (KqJobs *j, KqShardDigest *out)
{
  size_t n = 0;
  j->digest_teams
      = kq_realloc (j->digest_teams, (j->quota.n + 1) * sizeof *j->digest_teams);
  for (size_t i = 0; i < j->quota.n; i++)
    {
      const KqTeam *t = &j->quota.teams[i];
      if (kq_size_is_zero (&t->used) && kq_size_is_zero (&t->own_wanted))
        continue;
      j->digest_teams[n++] = (KqTeamDigest){ t->name, t->used, t->own_wanted };
    }
  out->teams = j->digest_teams;
  out->n_teams = n;
}

void
kq_jobs_digest (KqJobs *j, KqTime now, KqShardDigest *out)
{
  out->shard = j->c.shard;
  out->epoch = j->epoch;
  out->free = out->largest_free = out->largest_capacity = (KqSize){ 0 };
  out->workers = 0;
  for (uint32_t i = 0; i < j->workers.n; i++)
    {
      const KqWorker *w = j->workers.all[i];
      KqSize room = kq_size_max ((KqSize){ 0 }, kq_worker_free (w));
      if (!kq_worker_may_start (w, &j->times, now))
        continue;
      out->workers++;
      out->free = kq_size_add (out->free, room);
      out->largest_free = kq_size_max (out->largest_free, room);
      out->largest_capacity = kq_size_max (out->largest_capacity, w->capacity);
      out->depot = w->depot;
    }
  out->queued_jobs = (int32_t)j->queue.n;
  out->running_tasks = (int32_t)j->n_running;
  digest_teams (j, out);
}

KqJobsAccount
kq_jobs_account (const KqJobs *j)
{
  KqJobsAccount a = { .accepted = j->set.accepted,
                      .queued = j->queue.n - j->queue.unplaceable.n,
                      .running = j->n_running,
                      .finished = j->set.finished,
                      .failed = j->set.failed,
                      .cancelled = j->set.cancelled,
                      .unplaceable = j->queue.unplaceable.n,
                      .moving = j->set.moving,
                      .moved = j->set.moved,
                      .evicted = j->set.evicted,
                      .resumed = j->set.resumed,
                      .lost_attempts = j->set.lost };
  assert (a.accepted
          == a.queued + a.unplaceable + a.running + a.finished + a.failed + a.cancelled
                 + a.moving + a.moved);
  return a;
}
