#ifndef KQ_BENCH_JOB_FAKE_H
#define KQ_BENCH_JOB_FAKE_H

/* job_fake: a worker as port/worker.h describes it, in memory, for tests of the job
 * slice and for bench-place. It has its own clock (now + skew) and no network: the
 * caller decides which calls and answers arrive, and when. */

#include "port/worker.h"

#include <glib.h>

typedef struct
{
  KqTaskReport report;
  KqTime started;
  int throttle_percent;
  double done; /* of the model's work, 0 to 1 */
} KqFakeTask;

typedef struct
{
  KqWorkerId id;
  KqSize whole;
  KqTime skew;
  uint64_t epoch;
  KqTime lease_until; /* by its own clock */
  bool leaving;
  int life; /* counts restarts: no connection survives one */
  KqFakeTask *tasks;
  size_t n_tasks;
  GHashTable *attempts; /* job -> the highest attempt seen */
  KqUsageReport *usage; /* handed over with the next list */
  size_t n_usage;
} KqFakeWorker;

void kq_fake_worker_init (KqFakeWorker *w, KqWorkerId id, KqSize whole);
void kq_fake_worker_clear (KqFakeWorker *w);
/* The process on the worker dies: tasks, lease and memory are gone. */
void kq_fake_worker_restart (KqFakeWorker *w);
/* Carries the call out; the reply's arrays are freed by kq_fake_reply_clear. */
void kq_fake_worker_call (KqFakeWorker *w, const KqWorkerCall *c, KqTime now,
                          KqWorkerReply *r);
void kq_fake_reply_clear (KqWorkerReply *r);
/* An answer that never came: UNREACHABLE. */
KqWorkerReply kq_fake_no_reply (const KqWorkerCall *c, KqTime sent_at);
/* Stops everything when the lease has lapsed. */
void kq_fake_worker_tick (KqFakeWorker *w, KqTime now);
KqFakeTask *kq_fake_worker_task (KqFakeWorker *w, KqTaskKey key);
void kq_fake_worker_end (KqFakeWorker *w, KqTaskKey key, KqTaskState how);
/* Sum of the sizes of its running tasks. */
KqSize kq_fake_worker_used (const KqFakeWorker *w);
void kq_fake_worker_report (KqFakeWorker *w, const KqUsageReport *u);

#endif
