#ifndef KQ_JOB_HISTORY_H
#define KQ_JOB_HISTORY_H

/* history: which tasks ran on a worker at a time in the past.
 *
 * A usage report is about a time 5 to 30 s ago. If it were compared with the present
 * tasks, a slowdown would be attributed to tasks that started since. So the history keeps
 * the present mix and its last changes in a ring; undoing the changes after a past time
 * gives the mix at that time. */

#include "job/interference.h"

/* Number of changes kept. At the target's peak a worker starts a task every 6 s; starts
 * and ends make 40 changes in two minutes. */
#define KQ_HISTORY_MAX 48

typedef struct
{
  KqTime at;
  uint16_t class_index;
  float n; /* tasks added, or removed if negative; a throttle change is a fraction */
  int64_t cpu_milli; /* change of the allocated processors */
} KqHistoryChange;

typedef struct
{
  KqMix mix;
  int64_t cpu_milli; /* allocated at present */
  KqHistoryChange changes[KQ_HISTORY_MAX];
  uint32_t n; /* changes ever; the last KQ_HISTORY_MAX are kept */
} KqHistory;

/* Adds `n` tasks of the class to the mix and `cpu_milli` to the allocated processors, and
 * keeps the change in the ring. */
void kq_history_record_change (KqHistory *h, uint16_t class_index, double n,
                               int64_t cpu_milli, KqTime now);
/* Writes the mix and the allocated processors at the past time `at`. False if the ring
 * doesn't reach back to `at`. */
bool kq_history_at (const KqHistory *h, KqTime at, KqMix *mix, int64_t *cpu_milli);

#endif
