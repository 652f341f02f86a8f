#ifndef KQ_PORT_WORKER_FAKE_H
#define KQ_PORT_WORKER_FAKE_H

/* worker_fake: an in-memory worker that follows the rules of docs/PLATFORM.md, "Worker":
 * its lease, its tasks, and the epochs and attempts it has seen. It uses no sockets and
 * no clock. The stand-in program serves it over HTTP; tests call it directly. */

#include "port/worker.h"

#include <glib.h>

typedef struct KqWorkerFakeTask
{
  struct KqWorkerFakeTask *next;
  KqTaskReport report;
  int64_t left_us; /* remaining run time at full speed; below 0: runs until stopped */
  int throttle_percent;
  KqTime updated; /* time up to which the task's run is simulated */
  KqTime changed; /* when the task started or ended */
} KqWorkerFakeTask;

typedef struct
{
  KqUsageReport *list;
  size_t n;
  KqTime taken_at; /* when the usage was measured */
} KqWorkerFakeUsage;

/* What happened to one job on all workers that share a KqWorkerFakeEffects. */
typedef struct
{
  struct KqWorkerFake *worker; /* of the last start */
  int starts;                  /* how often the job was started */
  int running;                 /* copies of the job that run now */
  int max_running;             /* most copies that ever ran at once */
  int finished;                /* how often the job has run to its end */
} KqWorkerFakeEffect;

typedef struct
{
  GHashTable *jobs;    /* job -> KqWorkerFakeEffect */
  uint64_t stamp_base; /* random: makes the stamps of an earlier process invalid */
  KqTime usage_lag;    /* usage reports are one to two times this old when sent */
  int overcommits;     /* times a worker ran more than its capacity: must stay 0 */
} KqWorkerFakeEffects;

typedef struct KqWorkerFake
{
  KqWorkerFakeEffects *effects;
  KqTime now; /* of the last call */
  KqSize capacity;
  bool leaving;
  bool fails;          /* every task fails at its start */
  uint64_t epoch;      /* highest seen */
  uint64_t live_epoch; /* epoch of the lease's holder */
  KqTime lease_until;
  KqTime stamps_valid_from; /* calls that echo an earlier stamp don't renew the lease */
  KqWorkerFakeTask *tasks;
  GHashTable *attempts;            /* job -> highest attempt seen */
  KqWorkerFakeUsage reported;      /* sent in answers until the caller has received it */
  KqWorkerFakeUsage next_reported; /* becomes `reported` when it is usage_lag old */
  /* When `reported` was first sent: a caller that echoes the stamp of this time or a
   * later one has received it. */
  KqTime reported_from;
} KqWorkerFake;

void kq_worker_fake_effects_init (KqWorkerFakeEffects *e, uint64_t stamp_base,
                                  KqTime usage_lag);
void kq_worker_fake_effects_free (KqWorkerFakeEffects *e);
void kq_worker_fake_init (KqWorkerFake *w, KqWorkerFakeEffects *e, KqSize capacity);
void kq_worker_fake_free (KqWorkerFake *w);
/* Simulates the tasks up to `now`. If the lease has expired by then, the tasks are
 * stopped at its end. */
void kq_worker_fake_advance (KqWorkerFake *w, KqTime now);
/* Carries the call out. Fills *r except for the runners; its arrays are freed by
 * kq_worker_answer_free (worker_json.h). */
void kq_worker_fake_call (KqWorkerFake *w, const KqWorkerCall *c, KqTime now,
                          KqWorkerReply *r);

#endif
