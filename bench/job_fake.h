#ifndef KQ_BENCH_JOB_FAKE_H
#define KQ_BENCH_JOB_FAKE_H

/* job_fake: an in-memory worker that follows port/worker.h, for tests of src/job and for
 * benches. It has its own clock (now + skew) and no network: the caller decides which
 * calls and answers arrive, and when. */

#include "port/worker.h"

#include <glib.h>

typedef struct
{
  KqTaskReport report;
  KqTime started;
  int throttle_percent;
  double done; /* share of the task's work, 0 to 1; set by the caller */
} KqFakeTask;

typedef struct
{
  KqWorkerId id;
  KqSize capacity;
  KqTime skew;
  uint64_t epoch;
  KqTime lease_until; /* by its own clock */
  bool leaving;
  int n_restarts; /* connections don't survive a restart */
  KqFakeTask *tasks;
  size_t n_tasks;
  GHashTable *attempts; /* job -> the highest attempt seen */
  KqUsageReport *usage; /* sent with the next task list */
  size_t n_usage;
} KqFakeWorker;

void kq_fake_worker_init (KqFakeWorker *w, KqWorkerId id, KqSize whole);
void kq_fake_worker_clear (KqFakeWorker *w);
/* The worker's process restarts: tasks, lease, epoch and attempts are lost. */
void kq_fake_worker_restart (KqFakeWorker *w);
/* Executes the call; the caller frees the reply's arrays with kq_fake_reply_clear. */
void kq_fake_worker_call (KqFakeWorker *w, const KqWorkerCall *c, KqTime now,
                          KqWorkerReply *r);
void kq_fake_reply_clear (KqWorkerReply *r);
/* The reply for a call without an answer: UNREACHABLE. */
KqWorkerReply kq_fake_no_reply (const KqWorkerCall *c, KqTime sent_at);
/* Stops all tasks when the lease has expired. */
void kq_fake_worker_tick (KqFakeWorker *w, KqTime now);
KqFakeTask *kq_fake_worker_task (KqFakeWorker *w, KqTaskKey key);
void kq_fake_worker_end_task (KqFakeWorker *w, KqTaskKey key, KqTaskState state);
/* Sum of the sizes of its running tasks. */
KqSize kq_fake_worker_used (const KqFakeWorker *w);
void kq_fake_worker_add_usage (KqFakeWorker *w, const KqUsageReport *u);

#endif
