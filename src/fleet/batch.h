#ifndef KQ_FLEET_BATCH_H
#define KQ_FLEET_BATCH_H

/* batch: writes the scheduler's progress to the store, one transaction at a time.
 *
 * Each transaction is conditional on our still leading, and on the sequence key having
 * the revision of the transaction before: one whose answer was lost may be carried out
 * seconds later, and would put older progress over newer. */

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
  void (*deposed) (void *arg, const char *why, KqTime now);
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqBatchConfig;

KqBatch *kq_batch_new (const KqBatchConfig *c);
void kq_batch_free (KqBatch *b);
KqTime kq_batch_due (const KqBatch *b);
/* Begins a transaction if one is due and none is on its way. */
void kq_batch_go (KqBatch *b, KqTime now);

#endif
