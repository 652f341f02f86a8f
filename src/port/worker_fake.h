#ifndef KQ_PORT_WORKER_FAKE_H
#define KQ_PORT_WORKER_FAKE_H

/* worker_fake: one worker in memory: its lease, its tasks and what it has seen; the
 * rules of docs/PLATFORM.md, "Worker". No socket and no clock. The stand-in program puts
 * HTTP before it; tests call it directly. */

#include "port/worker.h"

#include <glib.h>

typedef struct KqWorkerFakeTask
{
  struct KqWorkerFakeTask *next;
  KqTaskReport report;
  int64_t left_us; /* work left; below 0: runs until stopped */
  int throttle_percent;
  KqTime updated;
  KqTime changed; /* started or ended */
} KqWorkerFakeTask;

typedef struct
{
  KqUsageReport *list;
  size_t n;
  KqTime taken_at;
} KqWorkerFakeUsage;

/* What happened to one job on all workers that share a KqWorkerFakeEffects. */
typedef struct
{
  struct KqWorkerFake *worker; /* of the last start */
  int starts;
  int running;
  int max_running;
  int finished;
} KqWorkerFakeEffect;

typedef struct
{
  GHashTable *jobs;    /* job -> KqWorkerFakeEffect */
  uint64_t stamp_base; /* random: voids the stamps of a former process */
  KqTime usage_lag;
  int overcommits; /* times a worker held more than its size: must stay 0 */
} KqWorkerFakeEffects;

typedef struct KqWorkerFake
{
  KqWorkerFakeEffects *effects;
  KqTime now; /* of the last call */
  KqSize whole;
  bool leaving;
  bool fails;          /* every task fails at once */
  uint64_t epoch;      /* the highest seen */
  uint64_t live_epoch; /* whose lease runs until lease_until */
  KqTime lease_until;
  KqTime stamps_from; /* stamps given before are void */
  KqWorkerFakeTask *tasks;
  GHashTable *attempts;    /* job -> highest attempt seen */
  KqWorkerFakeUsage shown; /* reports lag by one to two times usage_lag */
  KqWorkerFakeUsage coming;
  KqTime shown_from; /* an echoed stamp of then or later: the caller has them */
} KqWorkerFake;

void kq_worker_fake_effects_init (KqWorkerFakeEffects *e, uint64_t stamp_base,
                                  KqTime usage_lag);
void kq_worker_fake_effects_free (KqWorkerFakeEffects *e);
void kq_worker_fake_init (KqWorkerFake *w, KqWorkerFakeEffects *e, KqSize whole);
void kq_worker_fake_free (KqWorkerFake *w);
/* Runs the tasks up to now; stops them where the lease lapsed. */
void kq_worker_fake_advance (KqWorkerFake *w, KqTime now);
/* Carries the call out. Fills *r but for the runners; its arrays are freed by
 * kq_worker_answer_free (worker_json.h). */
void kq_worker_fake_call (KqWorkerFake *w, const KqWorkerCall *c, KqTime now,
                          KqWorkerReply *r);

#endif
