#ifndef KQ_JOB_WORKERS_H
#define KQ_JOB_WORKERS_H

/* workers: a shard's workers, the tasks that run on them, and their free resources.
 *
 * Only the worker itself knows what runs there. This state adds what has been decided
 * and doesn't show there yet: an attempt is charged from the moment it is assigned until
 * there is proof that it stopped. Tasks that a worker lists and that no job here
 * accounts for (unknown ones) are charged too, until the worker no longer lists them. */

#include "job/fit_tree.h"
#include "job/health.h"
#include "job/history.h"
#include "job/lease.h"
#include "port/hosts.h"
#include "table/table.h"

/* A task whose end is in the journal record `seq`; it is acknowledged to the worker once
 * the record is committed. */
typedef struct
{
  KqTaskKey task;
  KqSeq seq;
} KqAck;

/* An attempt that was given up after its worker was lost, while the outcome of its START
 * was unknown. The worker gets a STOP for it before it gets a lease again, but not before
 * `seq`, the record that assigned the attempt, is committed: until then the START hasn't
 * been sent. A worker that gets the STOP first, restarts and forgets it would accept the
 * START, and the task would run twice. */
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
  bool in_hosts; /* it is in the host list */
  bool answered; /* has answered under this owner's epoch */
  bool leaving;  /* reported by the worker itself */
  KqWorkerRow row;
  KqSize capacity;     /* the worker's size */
  KqSize used;         /* charged for attempts of our jobs */
  KqSize unknown_used; /* listed tasks of no job here */
  KqLease lease;
  KqHealth health;
  int task_limit;          /* set by health.c */
  KqTime start_not_before; /* it refused a START: no other before then */
  uint16_t rack_index;
  uint16_t depot_index;
  bool urgent_only; /* kept free for urgent jobs */
  /* Room reserved for one job while it is being made free; 0: for none. */
  KqJobId reserved_for;
  KqSize reserved_size;
  KqTime reserved_until;
  KqHistory history;
  KqTime remedy_at;  /* time of the last remedy; see remedy.c */
  KqTime calm_since; /* no service was slow and no remedy chosen since */
  KqJob *jobs;
  int n_jobs;
  uint64_t list_number; /* of task lists received */
  KqAck *acks;
  size_t n_acks;
  KqFence *fences;
  size_t n_fences;
  struct KqWorker *next_due; /* links of the list of renewals */
  struct KqWorker *prev_due;
  KqTime scheduled_at; /* its time in that list; 0: it isn't in it */
} KqWorker;

typedef struct
{
  KqWorker **all;
  uint32_t n;
  GHashTable *by_id;
  KqFitTree room;        /* room of the workers that may start tasks */
  KqFitTree urgent_room; /* the same, of those kept for urgent jobs */
  KqWorker *first_due;   /* list of renewals by time */
  KqWorker *last_due;
} KqWorkers;

void kq_workers_init (KqWorkers *ws);
void kq_workers_clear (KqWorkers *ws);
KqWorker *kq_workers_find (const KqWorkers *ws, KqWorkerId id);
KqWorker *kq_workers_find_or_add (KqWorkers *ws,
                                  KqWorkerId id); /* creates it if necessary */
/* Reserves room for the job, or ends that. A worker and a job have one reservation at
 * most. */
void kq_worker_reserve (KqWorker *w, KqJob *job, KqSize size, KqTime until);
void kq_worker_cancel_reservation (KqWorker *w, KqJob *job);
/* Free resources, whether or not the worker may start tasks. */
KqSize kq_worker_free (const KqWorker *w);
bool kq_worker_may_start (const KqWorker *w, const KqLeaseTimes *t, KqTime now);
/* Updates the worker's room in the index. */
void kq_workers_refresh (KqWorkers *ws, KqWorker *w, const KqLeaseTimes *t, KqTime now);
/* Charges the job's attempt to the worker, or ends that. */
void kq_worker_add_job (KqWorker *w, KqJob *job);
void kq_worker_remove_job (KqWorker *w, KqJob *job);
/* Adds or removes the fence of an attempt. */
void kq_worker_add_fence (KqWorker *w, KqTaskKey task, KqSeq seq);
void kq_worker_remove_fence (KqWorker *w, KqTaskKey task);
/* Moves the worker in the list of renewals to its lease.next_call_at; O(1) for the
 * latest. */
void kq_workers_schedule (KqWorkers *ws, KqWorker *w);

#endif
