#include "job/job.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

bool
kq_size_fits (const KqSize *need, const KqSize *room)
{
  return need->cpu_milli <= room->cpu_milli && need->memory_mb <= room->memory_mb
         && need->accelerators <= room->accelerators;
}

bool
kq_size_is_zero (const KqSize *s)
{
  return s->cpu_milli == 0 && s->memory_mb == 0 && s->accelerators == 0;
}

KqSize
kq_size_add (KqSize a, KqSize b)
{
  return (KqSize){ a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb,
                   a.accelerators + b.accelerators };
}

KqSize
kq_size_sub (KqSize a, KqSize b)
{
  return (KqSize){ a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb,
                   a.accelerators - b.accelerators };
}

KqSize
kq_size_max (KqSize a, KqSize b)
{
  return (KqSize){ MAX (a.cpu_milli, b.cpu_milli), MAX (a.memory_mb, b.memory_mb),
                   MAX (a.accelerators, b.accelerators) };
}

KqSize
kq_size_min (KqSize a, KqSize b)
{
  return (KqSize){ MIN (a.cpu_milli, b.cpu_milli), MIN (a.memory_mb, b.memory_mb),
                   MIN (a.accelerators, b.accelerators) };
}

/* An idempotency key is unique within its team only, so both are hashed. */
static guint
key_hash (gconstpointer p)
{
  const KqJob *job = p;
  uint64_t team = kq_str_hash (kq_name_str (&job->spec.team));
  uint64_t key = kq_str_hash (kq_name_str (&job->spec.key));
  return (guint)kq_hash2 (team, key);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const KqJobSpec *x = &((const KqJob *)a)->spec;
  const KqJobSpec *y = &((const KqJob *)b)->spec;
  return kq_name_eq (&x->team, &y->team) && kq_name_eq (&x->key, &y->key);
}

void
kq_job_set_init (KqJobSet *s)
{
  memset (s, 0, sizeof *s);
  s->by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  s->by_key = g_hash_table_new (key_hash, key_equal);
}

void
kq_job_set_clear (KqJobSet *s)
{
  g_hash_table_destroy (s->by_key);
  g_hash_table_destroy (s->by_id);
}

KqJob *
kq_job_find (const KqJobSet *s, KqJobId id)
{
  return g_hash_table_lookup (s->by_id, &id);
}

KqJob *
kq_job_find_key (const KqJobSet *s, const KqName *team, const KqName *key)
{
  KqJob probe = { .spec = { .team = *team, .key = *key } };
  return g_hash_table_lookup (s->by_key, &probe);
}

bool
kq_job_ended (const KqJob *job)
{
  return job->state >= KQ_JOB_STATE_FINISHED && job->state != KQ_JOB_STATE_MOVING;
}

bool
kq_job_spec_eq (const KqJobSpec *a, const KqJobSpec *b)
{
  return kq_name_eq (&a->team, &b->team) && kq_name_eq (&a->class_name, &b->class_name)
         && kq_name_eq (&a->key, &b->key) && a->priority == b->priority
         && a->latency_critical == b->latency_critical && a->run_ms == b->run_ms
         && memcmp (&a->size, &b->size, sizeof a->size) == 0;
}

static bool
event_state_fits (const KqJob *job, const KqJobEvent *e)
{
  switch (e->kind)
    {
    case KQ_JOB_EVENT_ASSIGNED:
      return job->state == KQ_JOB_STATE_QUEUED && e->attempt == job->attempt + 1;
    case KQ_JOB_EVENT_REQUEUED:
      return job->state == KQ_JOB_STATE_ASSIGNED && e->attempt == job->attempt
             && !job->cancel_wanted;
    case KQ_JOB_EVENT_ENDED:
      return (job->state == KQ_JOB_STATE_QUEUED || job->state == KQ_JOB_STATE_ASSIGNED)
             && e->attempt == job->attempt;
    case KQ_JOB_EVENT_CANCEL:
      return job->state == KQ_JOB_STATE_ASSIGNED && !job->cancel_wanted;
    case KQ_JOB_EVENT_MOVING:
      return job->state == KQ_JOB_STATE_QUEUED;
    case KQ_JOB_EVENT_MOVED:
      return job->state == KQ_JOB_STATE_MOVING;
    case KQ_JOB_EVENT_ARRIVED:
      return job->state == KQ_JOB_STATE_MOVED && e->full_state.moves > job->moves
             && e->number > job->number;
    case KQ_JOB_EVENT_ACCEPTED:
    case KQ_JOB_EVENT_FULL_STATE:
      return false;
    }
  return false;
}

bool
kq_job_event_fits (const KqJobSet *s, const KqJobEvent *e)
{
  const KqJob *job = kq_job_find (s, e->job);
  if (e->kind == KQ_JOB_EVENT_ACCEPTED)
    return job == NULL && e->number > s->last_number;
  if (e->kind == KQ_JOB_EVENT_ARRIVED && job == NULL)
    return e->number > s->last_number;
  if (e->kind == KQ_JOB_EVENT_FULL_STATE)
    return job == NULL;
  return job != NULL && event_state_fits (job, e);
}

static KqJob *
add_job (KqJobSet *s, const KqJob *from)
{
  KqJob *job = kq_alloc (sizeof *job);
  *job = *from;
  g_hash_table_insert (s->by_id, &job->id, job);
  if (job->spec.key.len > 0)
    g_hash_table_insert (s->by_key, job, job);
  s->accepted++;
  s->moving += job->state == KQ_JOB_STATE_MOVING;
  s->last_number = MAX (s->last_number, job->number);
  return job;
}

/* Counts the ended job and keeps it in the ring; frees the job that it replaces there.
 * Without a bound on ended jobs, memory and snapshots would grow for ever. */
static void
retain_ended_job (KqJobSet *s, KqJob *job)
{
  KqJob **slot = &s->ended[s->n_ended++ % KQ_JOB_ENDED_MAX];
  KqJob *old = *slot;
  *slot = job;
  s->finished += job->state == KQ_JOB_STATE_FINISHED;
  s->failed += job->state == KQ_JOB_STATE_FAILED;
  s->cancelled += job->state == KQ_JOB_STATE_CANCELLED;
  s->moved += job->state == KQ_JOB_STATE_MOVED;
  if (old == NULL)
    return;
  if (old->spec.key.len > 0)
    g_hash_table_remove (s->by_key, old);
  g_hash_table_remove (s->by_id, &old->id);
}

static void
apply_requeue (KqJobSet *s, KqJob *job, const KqJobEvent *e)
{
  job->state = KQ_JOB_STATE_QUEUED;
  job->why = e->why;
  if (e->checkpoint.len > 0)
    job->checkpoint = e->checkpoint;
  job->failures += e->blame;
  job->excused += e->why == KQ_RETRY_JOB_FAILED && !e->blame;
  if (e->why == KQ_RETRY_EVICTED)
    {
      job->evictions++;
      s->evicted++;
    }
  if (e->why == KQ_RETRY_WORKER_LOST)
    {
      job->losses++;
      s->lost++;
    }
}

static KqJob *
apply_new (KqJobSet *s, const KqJobEvent *e)
{
  KqJob job = e->full_state;
  if (e->kind == KQ_JOB_EVENT_ACCEPTED)
    job = (KqJob){
      .id = e->job, .number = e->number, .spec = e->spec, .state = KQ_JOB_STATE_QUEUED
    };
  return add_job (s, &job);
}

/* A job that had moved to another shard comes back: its MOVED entry, which served to
 * forward calls, takes over the job's recorded state again. */
static void
restore_moved_job (KqJobSet *s, KqJob *job, const KqJob *full_state)
{
  for (int i = 0; i < KQ_JOB_ENDED_MAX; i++)
    {
      if (s->ended[i] == job)
        s->ended[i] = NULL;
    }
  s->moved--;
  job->attempt = full_state->attempt;
  job->failures = full_state->failures;
  job->evictions = full_state->evictions;
  job->losses = full_state->losses;
  job->excused = full_state->excused;
  job->checkpoint = full_state->checkpoint;
  job->why = full_state->why;
  job->moves = full_state->moves;
}

static KqJob *
apply_arrival (KqJobSet *s, KqJob *job, const KqJobEvent *e)
{
  if (job == NULL)
    {
      KqJob new_job = e->full_state;
      new_job.number = e->number;
      new_job.state = KQ_JOB_STATE_QUEUED;
      return add_job (s, &new_job);
    }
  restore_moved_job (s, job, &e->full_state);
  job->number = e->number;
  job->state = KQ_JOB_STATE_QUEUED;
  s->last_number = MAX (s->last_number, job->number);
  return job;
}

KqJob *
kq_job_set_apply (KqJobSet *s, const KqJobEvent *e)
{
  KqJob *job = kq_job_find (s, e->job);
  assert (kq_job_event_fits (s, e));
  switch (e->kind)
    {
    case KQ_JOB_EVENT_ACCEPTED:
    case KQ_JOB_EVENT_FULL_STATE:
      job = apply_new (s, e);
      break;
    case KQ_JOB_EVENT_ASSIGNED:
      job->state = KQ_JOB_STATE_ASSIGNED;
      job->attempt = e->attempt;
      job->worker = e->worker;
      job->size = e->size;
      s->resumed += job->why == KQ_RETRY_EVICTED;
      break;
    case KQ_JOB_EVENT_REQUEUED:
      apply_requeue (s, job, e);
      break;
    case KQ_JOB_EVENT_ENDED:
      job->state = e->state;
      job->why = e->why;
      job->run_us = e->run_us;
      break;
    case KQ_JOB_EVENT_CANCEL:
      job->cancel_wanted = true;
      break;
    case KQ_JOB_EVENT_MOVING:
      job->state = KQ_JOB_STATE_MOVING;
      job->to_shard = e->shard;
      job->moves++;
      s->moving++;
      break;
    case KQ_JOB_EVENT_MOVED:
      job->state = KQ_JOB_STATE_MOVED;
      s->moving--;
      break;
    case KQ_JOB_EVENT_ARRIVED:
      job = apply_arrival (s, job, e);
      break;
    }
  if (kq_job_ended (job))
    retain_ended_job (s, job);
  return job;
}
