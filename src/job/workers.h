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
  bool in_hosts; /* the host list names the worker */
  bool answered; /* the worker has answered under this owner's epoch */
  bool leaving;  /* the worker has reported that it is about to leave */
  KqWorkerRow row;
  KqSize capacity;     /* the worker's size */
  KqSize used;         /* charged for attempts of this shard's jobs */
  KqSize unknown_used; /* size of the listed tasks that belong to no job of this shard */
  KqLease lease;
  KqHealth health;
  int task_limit;          /* most tasks that the worker may run; see health.h */
  KqTime start_not_before; /* after a refused START: no other START before this time */
  uint16_t rack_index;
  uint16_t depot_index;
  bool urgent_only; /* kept free for urgent jobs */
  /* Room reserved for one job while tasks that use it are ending; reserved_for 0: none.
   */
  KqJobId reserved_for;
  KqSize reserved_size;
  KqTime reserved_until;
  KqHistory history;
  KqTime remedy_at;  /* time of the last remedy; see remedy.c */
  KqTime calm_since; /* since then no service was slow and no remedy was applied */
  KqJob *jobs;       /* jobs assigned to the worker */
  int n_jobs;
  uint64_t list_number; /* number of task lists received */
  KqAck *acks;          /* ends of tasks to acknowledge, from the last list */
  size_t n_acks;
  KqFence *fences;
  size_t n_fences;
  struct KqWorker *next_due; /* links of the list of renewals */
  struct KqWorker *prev_due;
  KqTime scheduled_at; /* time at which the worker is in the list of renewals; 0: it isn't
                          in the list */
} KqWorker;

typedef struct
{
  KqWorker **all;
  uint32_t n;
  GHashTable *by_id;
  KqFitTree room; /* room of the workers that may start tasks, except those kept for
                     urgent jobs; negative for the others */
  KqFitTree urgent_room; /* room of the workers that are kept for urgent jobs */
  KqWorker *first_due;   /* list of renewals by time */
  KqWorker *last_due;
} KqWorkers;

void kq_workers_init (KqWorkers *ws);
void kq_workers_clear (KqWorkers *ws);
KqWorker *kq_workers_find (const KqWorkers *ws, KqWorkerId id);
KqWorker *kq_workers_find_or_add (KqWorkers *ws,
                                  KqWorkerId id); /* creates it if necessary */
/* Reserve room on the worker for the job until a time, or cancel the reservation. A
 * worker has room reserved for at most one job, a job on at most one worker. */
void kq_worker_reserve (KqWorker *w, KqJob *job, KqSize size, KqTime until);
void kq_worker_cancel_reservation (KqWorker *w, KqJob *job);
/* Free resources, whether or not the worker may start tasks. */
KqSize kq_worker_free (const KqWorker *w);
/* Whether the worker may be sent a START now: its lease is usable, its host is live, it
 * isn't drained, leaving or held, and hasn't refused a START lately. */
bool kq_worker_may_start (const KqWorker *w, const KqLeaseTimes *t, KqTime now);
/* Updates the worker's entries in `room` and `urgent_room`. */
void kq_workers_refresh (KqWorkers *ws, KqWorker *w, const KqLeaseTimes *t, KqTime now);
/* Add the job to the worker's jobs and charge its attempt to the worker, or undo both. */
void kq_worker_add_job (KqWorker *w, KqJob *job);
void kq_worker_remove_job (KqWorker *w, KqJob *job);
/* Add or remove the fence of an attempt. */
void kq_worker_add_fence (KqWorker *w, KqTaskKey task, KqSeq seq);
void kq_worker_remove_fence (KqWorker *w, KqTaskKey task);
/* Moves the worker in the list of renewals to the place of its lease.next_call_at. O(1)
 * if that is the latest time of the list. */
void kq_workers_schedule (KqWorkers *ws, KqWorker *w);

#endif
