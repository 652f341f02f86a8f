#ifndef KQ_FLEET_WAVES_H
#define KQ_FLEET_WAVES_H

/* waves: the leader's calls to the store and the control plane for maintenance waves.
 *
 * A wave is an operator's request for maintenance of a set of hosts. Requests are
 * followed in the store; the scheduler decides when each host goes down. The state of all
 * waves is written to the store together with the status for operators, in one
 * transaction that is conditional on this node still being leader, and on the state's key
 * still having the revision of the previous transaction: one whose answer was lost may be
 * carried out seconds later, and must not overwrite a newer state. */

#include "port/kv.h"
#include "sched/sched.h"

typedef struct KqWaves KqWaves;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqMaintenanceClient *calls; /* NULL: there is no control plane */
  KqSched *sched;
  KqName holder; /* name of this node, sent with calls to the control plane */
  uint64_t epoch;
  void *arg;
  /* The scheduler has got new input. */
  void (*changed) (void *arg);
  /* Another node is leader. */
  void (*deposed) (void *arg, const char *why, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqWavesConfig;

/* To be called when the scheduler has been loaded. */
KqWaves *kq_waves_new (const KqWavesConfig *c);
void kq_waves_free (KqWaves *w);
/* Has the control plane start maintenance of the host; passes the result to the
 * scheduler. Does nothing without a control plane. */
void kq_waves_start_maintenance (KqWaves *w, KqStr host, int64_t wave);
/* Writes the state of waves if it has changed and no write is outstanding. */
void kq_waves_write (KqWaves *w, KqTime now);

#endif
