#ifndef KQ_SCHED_SPENT_H
#define KQ_SCHED_SPENT_H

/* spent: totals of a job's waiting time and runs under this leader.
 *
 * A busy fleet starts and ends thousands of tasks a second, more than a bounded log can
 * record one by one. These totals are logged for each job when it ends. */

#include "base/str.h"
#include "base/time.h"

#include <stdint.h>

typedef struct
{
  KqTime waited;    /* total time in which tasks were ready and had no runner */
  KqTime slowed;    /* total time of runs below full speed */
  uint32_t runs;    /* started, or taken over from an earlier leader */
  uint32_t failed;  /* failed runs */
  uint32_t stopped; /* runs that were stopped before the job ended */
} KqSpent;

/* Appends "waited_ms=1 slowed_ms=2 runs=3 failed=4 stopped=5". */
void kq_spent_print (const KqSpent *s, KqBuf *out);

#endif
