#ifndef KQ_FLEET_WAVES_H
#define KQ_FLEET_WAVES_H

/* waves: what the leader reads, calls and writes for waves of maintenance.
 *
 * The requests are followed in the store; the scheduler says which host goes down when;
 * how far each wave is goes into the store together with what operators are told, in one
 * transaction that holds only while this node leads. */

#include "port/kv.h"
#include "sched/sched.h"

typedef struct KqWaves KqWaves;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqMaintenanceCalls *calls; /* NULL: there is no control plane */
  KqSched *sched;
  KqName holder; /* this node */
  uint64_t epoch;
  void *arg;
  void (*changed) (void *arg); /* the scheduler has news */
  void (*deposed) (void *arg, const char *why, KqTime now);
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqWavesConfig;

/* After the scheduler has been loaded. */
KqWaves *kq_waves_new (const KqWavesConfig *c);
void kq_waves_free (KqWaves *w);
/* The scheduler's order. */
void kq_waves_maintenance (KqWaves *w, KqStr host, int64_t wave);
/* Writes what has changed, one transaction at a time. */
void kq_waves_go (KqWaves *w, KqTime now);

#endif
