#ifndef KQ_BENCH_JOB_RIG_H
#define KQ_BENCH_JOB_RIG_H

/* job_rig: a test rig of one KqJobs with a fake log, fake workers, and a network with
 * seeded delays and losses between them. Simulated time advances only in kq_rig_run. */

#include "base/rand.h"
#include "job/jobs.h"
#include "job_fake.h"
#include "shard/hold.h"

typedef struct
{
  KqTime at;
  uint64_t order;
  bool is_reply;
  int worker_restarts; /* the worker's n_restarts when the call was sent */
  bool discard_reply;  /* the answer is discarded */
  KqWorkerCall call;
  KqWorkerReply reply;
} KqRigEvent;

typedef struct
{
  KqJobsConfig config;
  KqJobs *jobs;
  KqFakeLog log;
  KqLogPort port;
  KqHold hold;
  KqTable *table;
  KqHost *hosts;
  KqFakeWorker *workers;
  bool *cut; /* by worker: no call reaches it */
  size_t n_workers;
  uint64_t epoch;
  KqTime now;
  KqRand rand;
  /* Delays and faults; all 0 at first. Probabilities are 0 to 1. */
  KqTime commit_delay;
  KqTime net_delay;       /* one way, maximum */
  KqTime checkpoint_time; /* of a CHECKPOINT call, maximum */
  double lose_call;
  double lose_reply; /* the call takes effect */
  bool store_down;
  /* A START is answered UNREACHABLE at once and takes effect so much later, as when the
   * kernel still sends what was buffered on a closed connection. */
  KqTime late_start_delay;
  /* Calls and replies in transit: a heap by time. */
  KqRigEvent *events;
  size_t n_events;
  size_t capacity;
  uint64_t orders;
  size_t writing; /* log.committed after the pending write; 0: none pending */
  KqTime written_at;
  /* Counts, and the last answer to a caller. */
  uint64_t commits;
  uint64_t calls[KQ_WORKER_THROTTLE + 1];
  KqResult code;
  char *json;
  uint64_t answers;
  void (*started) (void *arg, KqTaskKey task, KqWorkerId worker, KqTime now);
  void *arg;
} KqRig;

void kq_rig_init (KqRig *r, size_t workers, KqSize whole, size_t per_rack, uint64_t seed);
void kq_rig_clear (KqRig *r);
/* Changes one row of the table and gives the table to the KqJobs. */
void kq_rig_set_row (KqRig *r, const KqRow *row);
void kq_rig_set_team (KqRig *r, const char *name,
                      const KqTeamRow *row); /* NULL: defaults */
/* Gives the hosts to the KqJobs. */
void kq_rig_set_hosts (KqRig *r);
/* Opens a new KqJobs under the next epoch from the log's committed records: a takeover if
 * one was open. */
void kq_rig_open (KqRig *r);
void kq_rig_run (KqRig *r, KqTime span);
/* Submits a job now. kq_rig_run delivers the answer, whose result is in r->code. */
void kq_rig_submit (KqRig *r, KqJobId id, const KqJobSpec *spec);
void kq_rig_call (KqRig *r, KqJobCallKind kind, KqJobId id);
/* Whether the last answer's JSON contains `text`. */
bool kq_rig_answer_contains (const KqRig *r, const char *text);
/* The worker that runs the task, or NULL. */
KqFakeWorker *kq_rig_worker_of (KqRig *r, KqTaskKey key);
KqJobSpec kq_rig_spec (const char *team, const char *class_name, KqSize size);

#endif
