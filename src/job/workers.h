#ifndef KQ_JOB_WORKERS_H
#define KQ_JOB_WORKERS_H

/* workers: what a shard's workers are, what runs on them, what is free.
 *
 * The worker itself is the truth of what runs; this memory adds what has been decided
 * and not yet seen there: an attempt is charged from the moment it is assigned until
 * there is proof that it stopped. Tasks that a worker lists and nobody here knows are
 * charged too (foreign), until they are gone. */

#include "job/fit_tree.h"
#include "job/health.h"
#include "job/history.h"
#include "job/lease.h"
#include "port/hosts.h"
#include "table/table.h"

/* An ended task whose end is recorded by `seq`; acknowledged once that is committed. */
typedef struct
{
  KqTaskKey task;
  KqSeq seq;
} KqAck;

/* An attempt that was counted out while the outcome of its START was unknown. While
 * `seq`, which assigned it, isn't committed, the START hasn't even left us; a STOP that
 * overtook it could be forgotten by a worker that restarts, and then the START ran the
 * task a second time (a seed of jobs_random_test.c). */
typedef struct
{
  KqTaskKey task;
  KqSeq seq;
} KqFence;

typedef struct KqWorker
{
  KqWorkerId id;
  uint32_t index;
  KqName name;
  KqName depot;
  KqName rack;
  KqHostState host;
  bool in_hosts; /* the host list names it */
  bool answered; /* under our epoch */
  bool leaving;  /* by its own word */
  KqWorkerRow row;
  KqSize whole;
  KqSize used;    /* charged for our attempts */
  KqSize foreign; /* listed tasks that aren't ours */
  KqLease lease;
  KqHealth health;
  int task_limit;    /* by its health */
  KqTime not_before; /* it refused a start: nothing more until then */
  uint16_t rack_index;
  uint16_t depot_index;
  bool kept; /* for urgent jobs */
  /* Room being made for one job, which nobody else may take. */
  KqJobId promise;
  KqSize promise_size;
  KqTime promise_until;
  KqHistory history;
  KqTime remedy_at;
  KqTime calm_since;
  KqJob *jobs;
  int n_jobs;
  uint64_t list_number;
  KqAck *acks;
  size_t n_acks;
  KqFence *fences;
  size_t n_fences;
  struct KqWorker *next_due; /* renewals in order of their times */
  struct KqWorker *prev_due;
  KqTime due; /* for which it stands in that order; 0: it doesn't */
} KqWorker;

typedef struct
{
  KqWorker **all;
  uint32_t n;
  GHashTable *by_id;
  KqFitTree room; /* of workers on which something may be placed */
  KqFitTree kept; /* the same, of those kept for urgent jobs */
  KqWorker *first_due;
  KqWorker *last_due;
} KqWorkers;

void kq_workers_init (KqWorkers *ws);
void kq_workers_clear (KqWorkers *ws);
KqWorker *kq_workers_find (const KqWorkers *ws, KqWorkerId id);
KqWorker *kq_workers_get (KqWorkers *ws, KqWorkerId id); /* made at first use */
/* Room is promised to the job, or no more. */
void kq_worker_promise (KqWorker *w, KqJob *job, KqSize size, KqTime until);
void kq_worker_unpromise (KqWorker *w, KqJob *job);
/* Room for further work, whether or not any may be placed. */
KqSize kq_worker_free (const KqWorker *w);
bool kq_worker_may_start (const KqWorker *w, const KqLeaseTimes *t, KqTime now);
/* Brings the index in line with the worker's state. */
void kq_workers_refresh (KqWorkers *ws, KqWorker *w, const KqLeaseTimes *t, KqTime now);
/* Puts the job's attempt on the worker, or takes it off. */
void kq_worker_add (KqWorker *w, KqJob *job);
void kq_worker_remove (KqWorker *w, KqJob *job);
void kq_worker_fence (KqWorker *w, KqTaskKey task, KqSeq seq);
void kq_worker_unfence (KqWorker *w, KqTaskKey task);
/* Puts the worker into the order of renewals by its lease.next; O(1) for the newest. */
void kq_workers_schedule (KqWorkers *ws, KqWorker *w);

#endif
