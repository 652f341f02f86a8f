#ifndef KQ_JOB_JOBS_IMPL_H
#define KQ_JOB_JOBS_IMPL_H

/* jobs_impl: shared by the source files of `jobs`; not included elsewhere.
 *
 *   jobs.c        opening, recovery, table, hosts, digest
 *   jobs_change.c recorded changes of jobs: append the record, apply it, update indexes
 *   jobs_call.c   callers' requests: submit, get, cancel, list, explain
 *   jobs_reply.c  workers' answers
 *   jobs_tick.c   periodic work: lease renewals and lapses, placements; commands
 *   jobs_move.c   moves of queued jobs to and from other shards of the region
 *   jobs_policy.c usage reports, remedies, making room, evacuation
 *   jobs_json.c   JSON of jobs and workers */

#include "job/evict.h"
#include "job/jobs.h"
#include "job/learn_record.h"
#include "job/place.h"
#include "job/queue.h"
#include "job/quota.h"
#include "job/remedy.h"

#include "base/rand.h"

/* Largest number of queued jobs of a shard; further submissions are refused. With more,
 * the snapshot alone would take several values of the store. */
#define KQ_JOBS_QUEUE_MAX 25000

struct KqJobs
{
  KqJobsConfig c;
  KqLeaseTimes times;
  KqLogPort log;
  KqBuf buf;
  KqRand rand;
  KqTable *table;
  const KqPolicyRow *policy; /* points into the table; NULL: defaults */
  bool open;                 /* recovery has ended */
  bool store_ok;
  bool renewing;        /* false: the store has been unreachable for longer than
                           times.renew_without_store (setting limits.blind_ms) */
  KqTime store_lost_at; /* last time at which the store was known to be reachable */
  bool dirty; /* something changed since the last scheduling round that may let a
                 queued job start */
  uint64_t epoch;
  uint64_t last_token; /* token of the last call to a worker */
  KqSeq send_after; /* record that must be committed before the items of the present call
                       are sent */
  KqJobSet set;
  KqWorkers workers;
  KqJobQueue queue;
  KqQuota quota;
  KqClasses classes;
  KqSizes sizes;
  KqInterference interference;
  KqFleetHealth health;
  KqSpread spread;
  uint64_t place_rand_state; /* state of the random numbers of placement */
  uint32_t n_live;           /* workers in the host list that aren't GONE */
  KqSize largest;            /* maximum over the live workers, for each resource */
  uint32_t n_reservations;   /* workers with room reserved for one job */
  uint32_t n_evicting;       /* jobs in phase EVICTING */
  KqTime next_reclaim;       /* earliest next eviction for a team's guarantee */
  KqJobId large_job; /* job for which a worker is reserved until enough tasks end there */
  KqTime next_evacuation;     /* earliest next eviction for an evacuation */
  uint64_t throttles;         /* number of THROTTLE calls */
  size_t n_running;           /* jobs in state ASSIGNED */
  KqSize others_largest;      /* largest worker of the other shards, for each resource */
  KqSize others_capacity;     /* sum over the other shards' workers */
  KqTeamDigest *digest_teams; /* the array of teams in the last digest */
  KqJob **cursors;            /* next job to try in a scheduling round, by team */
  size_t n_cursors;
  KqTime next_scan;
  KqTime next_learned_record;
  KqShardDigest *others; /* digests of the region's other shards, without arrays */
  size_t n_others;
  KqTime next_move;
};

/* The table's policy row, or the defaults if there is no table. */
const KqPolicyRow *kq_jobs_policy (const KqJobs *j);
/* The table's row of the class, or the defaults if the class has none. */
KqClassRow kq_jobs_class_row (const KqJobs *j, const KqName *name);
KqPlacer kq_jobs_placer (KqJobs *j, KqTime now);
/* The size that the job declares; a resource of 0 is taken from the class's row. */
KqSize kq_jobs_declared_size (const KqJobs *j, const KqJobSpec *spec);

/* jobs_change.c */
/* Applies a recorded event while recovering, and updates the indexes. An event that
 * doesn't fit the job's state is ignored. */
void kq_jobs_replay (KqJobs *j, const KqJobEvent *e, KqTime now);
/* kq_jobs_accept, _assign, _requeue, _end, _request_cancel, _start_move, _end_move and
 * _accept_moved change a job's recorded state: they append a record, apply it and update
 * the indexes. All items that the present call of `jobs` appends wait for the record's
 * commit. */
KqJob *kq_jobs_accept (KqJobs *j, KqJobId id, const KqJobSpec *spec, KqTime now);
void kq_jobs_assign (KqJobs *j, KqJob *job, KqWorker *w, KqSize size, KqTime now,
                     KqOutbox *out);
/* Ends the attempt and queues the job again. `blame`: the attempt counts as a failure of
 * the job. checkpoint: NULL if there is no new one. */
void kq_jobs_requeue (KqJobs *j, KqJob *job, KqResult why, bool blame,
                      const KqName *checkpoint, KqTime now);
void kq_jobs_end (KqJobs *j, KqJob *job, KqJobState state, KqResult why, int64_t run_us,
                  KqTime now);
void kq_jobs_request_cancel (KqJobs *j, KqJob *job, KqTime now);
/* To be called when the attempt's task has stopped without a result. Requeues the job, or
 * ends it as CANCELLED if its cancellation was requested. */
void kq_jobs_attempt_stopped (KqJobs *j, KqJob *job, KqResult why,
                              const KqName *checkpoint, KqTime now);
/* Sets the reason why the queued job isn't started. KQ_ERR_JOB_UNPLACEABLE moves it to
 * the list of unplaceable jobs, any other value moves it back. */
void kq_jobs_set_blocked (KqJobs *j, KqJob *job, KqResult why, KqTime now);
/* Makes the items that the present call appends wait for the commit of record `seq`. */
void kq_jobs_send_after (KqJobs *j, KqSeq seq);
/* Sets the job's phase, and its command_at to `now`. */
void kq_jobs_set_phase (KqJobs *j, KqJob *job, KqJobPhase phase, KqTime now);

/* Record that the job is MOVING to the shard, that it has MOVED, and that it ARRIVED from
 * another shard. */
void kq_jobs_start_move (KqJobs *j, KqJob *job, uint32_t shard, KqTime now);
void kq_jobs_end_move (KqJobs *j, KqJob *job, KqTime now);
KqJob *kq_jobs_accept_moved (KqJobs *j, const KqJob *full_state, KqTime now);

/* jobs_move.c */
/* Keeps the digests of the region's other shards, to which jobs may move. */
void kq_jobs_set_region_digests (KqJobs *j, const KqShardDigest *d, size_t n);
/* Moves jobs that can't run here to shards where they can, and repeats unconfirmed
 * moves. */
void kq_jobs_move_away (KqJobs *j, KqTime now, KqOutbox *out);

/* jobs_policy.c */
/* Learns sizes and interference from the report, and charges the job for memory that it
 * uses beyond its size. */
void kq_jobs_record_usage (KqJobs *j, KqWorker *w, const KqUsageReport *u, KqTime now);
/* Counts the end of the job's task for the worker's health. */
void kq_jobs_record_outcome (KqJobs *j, KqWorker *w, const KqJob *job, bool failed,
                             KqTime now);
/* Throttles a task on the worker, relaxes a throttle or moves a task away, if needed. */
void kq_jobs_apply_remedy (KqJobs *j, KqWorker *w, KqTime now, KqOutbox *out);
/* Evicts tasks of one worker so that `need` fits there, and reserves that room for the
 * job. False: the policy allows none, or no worker can make the room. */
bool kq_jobs_make_room (KqJobs *j, KqJob *job, const KqSize *need, KqTime now,
                        KqOutbox *out);
/* Reserves a worker for the job if smaller, younger jobs of its team have overtaken it
 * for long, and no other large job of the shard has a worker reserved. */
void kq_jobs_reserve_for_large (KqJobs *j, KqJob *job, const KqSize *need, KqTime now);
void kq_jobs_cancel_reservation (KqJobs *j, KqJob *job, KqTime now);
/* Evicts tasks from workers that are about to leave or that are in mode EVACUATE. */
void kq_jobs_evacuate (KqJobs *j, KqTime now, KqOutbox *out);
/* Chooses the workers that are kept free for urgent jobs. */
void kq_jobs_select_urgent_workers (KqJobs *j, KqTime now);
/* Sets the worker's task_limit from its health. */
void kq_jobs_update_task_limit (KqJobs *j, KqWorker *w, KqTime now);
/* Sets movable, checkpoint_us and service of the job from its class's row. */
void kq_jobs_update_traits (KqJobs *j, KqJob *job);

/* Appends the learned sizes and interference to the journal once every ten minutes. */
void kq_jobs_record_learned (KqJobs *j, KqTime now);

/* jobs_tick.c */
/* Appends a call to the worker about the task. */
void kq_jobs_send_command (KqJobs *j, KqWorkerCallKind kind, KqWorker *w, KqTaskKey task,
                           KqOutbox *out);
/* Sends STOP to the job's task. */
void kq_jobs_send_stop (KqJobs *j, KqJob *job, KqTime now, KqOutbox *out);
/* Sends CHECKPOINT, which also stops the task. */
void kq_jobs_evict (KqJobs *j, KqJob *job, KqTime now, KqOutbox *out);
/* Starts at most `max` queued jobs where there is room; returns how many were started. */
int kq_jobs_schedule (KqJobs *j, int max, KqTime now, KqOutbox *out);
/* Marks the job as unplaceable if no worker can ever hold it, otherwise as placeable.
 * Returns whether it is unplaceable. */
bool kq_jobs_update_unplaceable (KqJobs *j, KqJob *job, KqTime now);
/* The learned size of the job's class, or the declared one. */
KqSize kq_jobs_required_size (const KqJobs *j, const KqJob *job);
/* Updates the worker's entry in the index of free room after it has changed. */
void kq_jobs_refresh_worker (KqJobs *j, KqWorker *w, KqTime now);

/* To be called when the worker's tasks have certainly stopped. Requeues its jobs, or ends
 * those with a requested cancellation. */
void kq_jobs_close_attempts (KqJobs *j, KqWorker *w, KqTime now);
/* Updates n_live, `largest` and the quota's fleet size from the live workers. */
void kq_jobs_sum_workers (KqJobs *j);

/* jobs_json.c */
json_t *kq_jobs_job_json (const KqJobs *j, const KqJob *job, KqTime now);
json_t *kq_jobs_explain_json (KqJobs *j, const KqJob *job, KqTime now);
void kq_jobs_answer (const KqJobs *j, KqNodeId to, uint64_t call, KqResult code,
                     json_t *json, KqOutbox *out); /* takes over json */

#endif
