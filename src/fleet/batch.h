#ifndef KQ_FLEET_BATCH_H
#define KQ_FLEET_BATCH_H

/* batch: writes the scheduler's progress to the store, one transaction at a time.
 *
 * Each transaction is conditional on this node still being leader, and on the sequence
 * key still having the revision of the previous transaction. A transaction whose answer
 * was lost may be carried out seconds later; the second condition keeps it from
 * overwriting newer progress. */

#include "port/kv.h"
#include "sched/sched.h"

typedef struct KqBatch KqBatch;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqSched *sched;
  uint64_t epoch;
  KqCounters *counters;
  void *arg;
  /* Another node is leader. */
  void (*deposed) (void *arg, const char *why, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqBatchConfig;

KqBatch *kq_batch_new (const KqBatchConfig *c);
void kq_batch_free (KqBatch *b);
/* When the next call of kq_batch_write is due; KQ_TIME_NEVER: a call is outstanding or
 * nothing is to be written. */
KqTime kq_batch_due (const KqBatch *b);
/* Starts the next call to the store, unless one is outstanding or the delay after a
 * failed one isn't over. */
void kq_batch_write (KqBatch *b, KqTime now);

#endif
