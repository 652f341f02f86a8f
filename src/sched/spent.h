#ifndef KQ_SCHED_SPENT_H
#define KQ_SCHED_SPENT_H

/* spent: what a job's time and runs went into, under this leader.
 *
 * Load pattern: a busy fleet starts and ends thousands of tasks a second, more than a
 * bounded log can tell one by one. This much is told of each job when it ends. */

#include "base/str.h"
#include "base/time.h"

#include <stdint.h>

typedef struct
{
  KqTime waited; /* in all, while tasks whose turn had come had no place */
  KqTime slowed; /* in all, of runs below full speed */
  uint32_t runs; /* begun or taken over */
  uint32_t failed;
  uint32_t stopped; /* before the job ended */
} KqSpent;

/* Adds "waited_ms=1 slowed_ms=2 runs=3 failed=4 stopped=5". */
void kq_spent_print (const KqSpent *a, KqBuf *out);

#endif
