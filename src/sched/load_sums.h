#ifndef KQ_SCHED_LOAD_SUMS_H
#define KQ_SCHED_LOAD_SUMS_H

/* load_sums: what the load account holds for one kind of task of one service. */

#include "sched/load_account.h"

struct KqOccurrence;

typedef struct
{
  KqLoadRow row; /* of the last pass */
  /* Estimated work of tasks that ended as done, and cpu time of all runs that ended, both
   * decaying; in thousandths of a core times ms, for the time `at`. */
  double done;
  double spent;
  KqTime at;
  int64_t running_milli; /* cpu of tasks that run or are being started */
  int64_t fitting_milli; /* free cpu in pieces of piece_milli */
  int64_t piece_milli;   /* about the mean cpu of the tasks that waited last; 0: none has.
                            It follows the mean in steps, as each change has all runners
                            counted anew. */
  int64_t waiting_milli; /* total cpu of the tasks that wait in this pass */
  int64_t waiting_tasks; /* their number */
  int64_t no_use_milli;  /* the part of it that belongs to jobs of no use any more */
  struct KqOccurrence *turn; /* a job of no use that is placed first in this pass; or NULL
                              */
} KqLoadSums;

#endif
