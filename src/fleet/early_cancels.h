#ifndef KQ_FLEET_EARLY_CANCELS_H
#define KQ_FLEET_EARLY_CANCELS_H

/* early_cancels: the leader's table of cancellations whose jobs it doesn't know.
 *
 * Usually the job follows: it is being loaded, or the cancellation was reported first.
 * But a job may also be cancelled before it is stored (job_writes.h). While such a
 * cancellation stands, no outstanding write of the job can be carried out; it is deleted
 * once none can be outstanding any more, if there is still no such job.
 *
 * The time counts from when this leader learned of the cancellation, so that it is kept
 * for longer, not shorter, when the leader changes. The store's own limit of writes a
 * second bounds how many come; above KQ_EARLY_CANCELS_MAX they are kept for less time,
 * but not for less than KQ_KEEP_MIN_MS (settings/fleet_settings.h). */

#include "base/counter.h"
#include "port/kv.h"

/* About 2 MB. */
#define KQ_EARLY_CANCELS_MAX 16384

typedef struct KqEarlyCancels KqEarlyCancels;

typedef struct
{
  KqKv *kv;
  uint64_t epoch;  /* of this leader */
  int64_t keep_ms; /* how long a cancellation without a job is kept */
  KqCounters *counters;
  void *arg;
  /* The store has another leader. The callee may free the table. */
  void (*deposed) (void *arg, const char *why, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
} KqEarlyCancelsConfig;

KqEarlyCancels *kq_early_cancels_new (const KqEarlyCancelsConfig *c);
void kq_early_cancels_free (KqEarlyCancels *e);

/* Adds the cancellation of an unknown job, or notes that it was written again. revision:
 * of its key; 0: not known yet, and it isn't deleted before it is. */
void kq_early_cancels_add (KqEarlyCancels *e, KqStr id, uint64_t revision, KqTime now);
/* Takes the job out of the table, as the leader knows it now. Returns whether it was
 * there: it is cancelled. */
bool kq_early_cancels_take (KqEarlyCancels *e, KqStr id);
/* Calls `job` for each cancelled job, and takes out those for which it returns true. */
void kq_early_cancels_filter (KqEarlyCancels *e, bool (*job) (void *arg, KqStr id),
                              void *arg);
size_t kq_early_cancels_count (const KqEarlyCancels *e);
/* Deletes from the store what has been kept for long enough, a few at a time. */
void kq_early_cancels_delete_old (KqEarlyCancels *e, KqTime now);

#endif
