#ifndef KQ_JOB_JOBS_H
#define KQ_JOB_JOBS_H

/* jobs: the jobs and workers of one shard: queue, placement, attempts, evictions.
 *
 * A job belongs to the shard that accepted it, unless it is moved to another one, and
 * runs on the workers of its shard; its id holds the shard that accepted it
 * (docs/design/jobs.md). The functions with a KqOutbox append messages and calls to `out`
 * and return the sequence number of the journal record that must be committed before
 * these are sent (0: they may be sent at once); the caller holds them back until then
 * (shard/hold.h). Before each call of a function the caller checks that its node still
 * owns the shard. */

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
  KqTime lease;               /* length of a worker's lease; 0: 9 s */
  KqTime renew;               /* time between renewals; 0: 3 s */
  KqTime renew_without_store; /* how long leases are renewed while the store is
                                 unreachable */
  /* The region's shards, to which queued jobs may move. n_shards 0: jobs don't move. */
  uint32_t first_shard;
  uint32_t n_shards;
  uint64_t seed;
  KqCounters *counters; /* refusals and retries by reason; NULL: not counted */
  int place_rule;       /* KqPlaceRule of job/place.h; other than 0 only in bench-place */
} KqJobsConfig;

typedef struct
{
  uint64_t accepted; /* submitted here or moved here from another shard */
  uint64_t queued;   /* including delayed, without unplaceable ones */
  uint64_t running;  /* assigned, running or being evicted */
  uint64_t finished;
  uint64_t failed;
  uint64_t cancelled;
  uint64_t unplaceable;   /* queued, but too large for every worker */
  uint64_t moving;        /* being moved to another shard */
  uint64_t moved;         /* now belong to another shard */
  uint64_t evicted;       /* number of evictions, not of jobs */
  uint64_t resumed;       /* starts after an eviction */
  uint64_t lost_attempts; /* attempts ended by the loss of their worker */
} KqJobsAccount;

KqJobs *kq_jobs_new (const KqJobsConfig *c, KqLogPort log);
void kq_jobs_free (KqJobs *j);

/* Applies the next record of types 200-299 while the shard's journal is recovered.
 * Returns KQ_OK, or why the record can't be read: KQ_ERR_JOURNAL_VERSION or
 * KQ_ERR_JOURNAL_DAMAGED. On an error the caller must stop recovery: without the record a
 * task could run twice or a job be lost. */
KqResult kq_jobs_apply (KqJobs *j, const KqRecord *r, KqTime now);
/* Ends recovery. Workers are contacted under `epoch`; nothing is placed on a worker until
 * it has answered. */
KqSeq kq_jobs_recovered (KqJobs *j, uint64_t epoch, KqTime now, KqOutbox *out);
/* Passes the records that rebuild the present state to `add`; each is valid during the
 * call only. */
void kq_jobs_snapshot (const KqJobs *j, void (*add) (void *arg, const KqRecord *r),
                       void *arg);

/* Sets the configuration table, and takes a reference to it. While `t` is NULL, no job is
 * accepted. */
void kq_jobs_set_table (KqJobs *j, KqTable *t, KqTime now);
/* Sets the platform's hosts of this shard. A host in state GONE proves that its tasks
 * have stopped. */
KqSeq kq_jobs_set_hosts (KqJobs *j, const KqHost *hosts, size_t n, KqTime now,
                         KqOutbox *out);
/* Sets the digests of the other shards: their usage by team, free room and workers. */
void kq_jobs_set_other_digests (KqJobs *j, const KqShardDigest *d, size_t n, KqTime now);

/* Handles the submission of a job: accepts or refuses it. A repeated submission gets the
 * present state of the job that it repeats. The answer, with the job as JSON or the
 * error, goes to m->reply_to. */
KqSeq kq_jobs_submit (KqJobs *j, const KqMsgJobSubmit *m, KqTime now, KqOutbox *out);
/* Handles a get, cancel, list or explain call; the answer goes to m->reply_to. A call
 * about a job that has moved is forwarded to the job's shard, which answers it. */
KqSeq kq_jobs_call (KqJobs *j, const KqMsgJobCall *m, KqTime now, KqOutbox *out);
/* Takes over a job that another shard moves here. The confirmation (JOB_MOVED) is sent
 * once the job is committed here. */
KqSeq kq_jobs_receive_move (KqJobs *j, const KqMsgJobMove *m, KqTime now, KqOutbox *out);
/* Ends a job's move, after the other shard has confirmed with JOB_MOVED that it has the
 * job. */
KqSeq kq_jobs_confirm_move (KqJobs *j, const KqMsgJobMoved *m, KqTime now);
/* Handles a worker's reply to a LEASE, START, STOP, CHECKPOINT or THROTTLE call. */
KqSeq kq_jobs_worker_reply (KqJobs *j, const KqWorkerReply *r, KqTime now, KqOutbox *out);
/* Does the lease renewals, placements, evacuations, moves and retries that are due. While
 * store_ok is false nothing can be committed, so only leases are renewed, until the store
 * has been unreachable for KqJobsConfig.renew_without_store. */
KqSeq kq_jobs_tick (KqJobs *j, bool store_ok, KqTime now, KqOutbox *out);
/* The next time at which kq_jobs_tick has something to do. */
KqTime kq_jobs_next_tick (const KqJobs *j, KqTime now);

/* Fills the digest's job and worker fields. Its array of teams belongs to the KqJobs and
 * is valid until the next call of this function. */
void kq_jobs_digest (KqJobs *j, KqTime now, KqShardDigest *out);
/* The numbers of jobs by state. Asserts that the jobs in all states add up to the
 * accepted ones. */
KqJobsAccount kq_jobs_account (const KqJobs *j);
/* For operators: a new JSON array of the workers with their sizes, free room, states and
 * leases; the caller owns it. */
json_t *kq_jobs_workers (const KqJobs *j, KqTime now);

#endif
