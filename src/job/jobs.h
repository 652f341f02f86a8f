#ifndef KQ_JOB_JOBS_H
#define KQ_JOB_JOBS_H

/* jobs: the jobs and workers of one shard: queue, placement, attempts, evictions.
 *
 * A job lives in the shard in which it was accepted, and runs on that shard's workers;
 * its id carries the shard (docs/design/jobs.md). Functions append to `out` and return
 * the record after which those items may leave (0: at once); the host holds them back
 * (shard/hold.h). The host asks "am I still owner" before each call. */

#include "base/counter.h"
#include "port/hosts.h"
#include "shard/log_port.h"
#include "table/table.h"
#include "wire/msg.h"

#define KQ_JOB_SHARD(job) ((uint32_t)((job) >> 48))

typedef struct KqJobs KqJobs;

typedef struct
{
  uint32_t shard;
  KqNodeId self;
  KqTime lease; /* of a worker; 9 s by default */
  KqTime renew; /* between renewals; 3 s by default */
  KqTime blind; /* bound of renewal while the store is away */
  /* The region's shards: where queued jobs may move to. 0 of them: nowhere. */
  uint32_t first_shard;
  uint32_t n_shards;
  uint64_t seed;
  KqCounters *counters; /* refusals and retries by reason; NULL: not counted */
  int place_rule;       /* KqPlaceRule of job/place.h; not 0 only in bench-place */
} KqJobsConfig;

typedef struct
{
  uint64_t accepted;
  uint64_t queued;
  uint64_t running; /* assigned, running or being evicted */
  uint64_t finished;
  uint64_t failed;
  uint64_t cancelled;
  uint64_t unplaceable;
  uint64_t moving;  /* on the way to another shard */
  uint64_t moved;   /* now in another shard */
  uint64_t evicted; /* evictions, not jobs */
  uint64_t resumed;
  uint64_t lost_attempts; /* attempts ended by the loss of their worker */
} KqJobsAccount;

KqJobs *kq_jobs_new (const KqJobsConfig *c, KqLogPort log);
void kq_jobs_free (KqJobs *j);

/* A record of types 200-299, in order, while recovering. KQ_OK, or why it can't be read:
 * the host must not go on without it, or a task could run twice or a job be lost. */
KqResult kq_jobs_apply (KqJobs *j, const KqRecord *r, KqTime now);
/* Recovery is over: workers are contacted under `epoch`; nothing is placed on a worker
 * until it has answered. */
KqSeq kq_jobs_opened (KqJobs *j, uint64_t epoch, KqTime now, KqOutbox *out);
void kq_jobs_snapshot (const KqJobs *j, void (*add) (void *arg, const KqRecord *r),
                       void *arg);

void kq_jobs_set_table (KqJobs *j, KqTable *t, KqTime now);
/* The platform's hosts of this shard; a host that is GONE is proof. */
KqSeq kq_jobs_set_hosts (KqJobs *j, const KqHost *hosts, size_t n, KqTime now,
                         KqOutbox *out);
/* What the other shards' digests say: usage by team, largest worker of the fleet. */
void kq_jobs_set_others (KqJobs *j, const KqShardDigest *d, size_t n, KqTime now);

KqSeq kq_jobs_submit (KqJobs *j, const KqMsgJobSubmit *m, KqTime now, KqOutbox *out);
KqSeq kq_jobs_call (KqJobs *j, const KqMsgJobCall *m, KqTime now, KqOutbox *out);
/* A job comes from another shard; it is answered once it is committed here. */
KqSeq kq_jobs_arrive (KqJobs *j, const KqMsgJobMove *m, KqTime now, KqOutbox *out);
/* The other shard has the job. */
KqSeq kq_jobs_moved (KqJobs *j, const KqMsgJobMoved *m, KqTime now);
KqSeq kq_jobs_worker_reply (KqJobs *j, const KqWorkerReply *r, KqTime now, KqOutbox *out);
/* Renewals, placements, remedies, retries that are due. store_ok false: nothing can be
 * committed at present; leases are still renewed. */
KqSeq kq_jobs_tick (KqJobs *j, bool store_ok, KqTime now, KqOutbox *out);
/* The next time at which _tick has something to do. */
KqTime kq_jobs_wake (const KqJobs *j, KqTime now);

/* Fills the digest's job and worker fields; its arrays point into the KqJobs. */
void kq_jobs_digest (KqJobs *j, KqTime now, KqShardDigest *out);
KqJobsAccount kq_jobs_account (const KqJobs *j);
/* Operators: a new JSON array of workers with sizes, free room, state, lease. */
json_t *kq_jobs_workers (const KqJobs *j, KqTime now);

#endif
