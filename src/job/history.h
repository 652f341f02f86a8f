#ifndef KQ_JOB_HISTORY_H
#define KQ_JOB_HISTORY_H

/* history: which tasks ran on a worker at a time in the past.
 *
 * A usage report is about a time 5 to 30 s ago. Compared with the present tasks it would
 * blame those that came since. The present mix is kept, with its last changes in a ring;
 * undoing the later changes gives the mix at a past time. */

#include "job/interference.h"

/* At the target's peak a worker starts a task every 6 s; starts and ends make 40 changes
 * in two minutes. */
#define KQ_HISTORY_MAX 48

typedef struct
{
  KqTime at;
  uint16_t class_index;
  float n; /* tasks added, or removed if negative; a throttle change is a fraction */
  int64_t cpu_milli;
} KqHistoryChange;

typedef struct
{
  KqMix mix;
  int64_t cpu_milli; /* allocated at present */
  KqHistoryChange changes[KQ_HISTORY_MAX];
  uint32_t n; /* changes ever; the last KQ_HISTORY_MAX are kept */
} KqHistory;

/* Records a change of the mix and of the allocated processors. */
void kq_history_record_change (KqHistory *h, uint16_t class_index, double n,
                               int64_t cpu_milli, KqTime now);
/* The mix and the allocated processors at a past time. False when the ring doesn't reach
 * back so far. */
bool kq_history_at (const KqHistory *h, KqTime at, KqMix *mix, int64_t *cpu_milli);

#endif
