#ifndef KQ_SCHED_WAIT_COUNTS_H
#define KQ_SCHED_WAIT_COUNTS_H

/* wait_counts: what wait_places records of waiting steps while a pass places them. */

#include <stdint.h>

/* The place of a waiting step in the order of a placing pass (wait_places.h). */
typedef struct
{
  uint64_t pass;       /* KqSched.passes of that pass; 0: never placed */
  const char *rank;    /* static text */
  int32_t jobs_before; /* jobs of the same service and kind before its job */
  int64_t work_before; /* work of their waiting tasks, as in load_account.h */
} KqWaitPlace;

/* What a pass has counted of one kind of waiting tasks of a service. */
typedef struct
{
  uint64_t pass;
  int32_t jobs;
  int64_t work;
} KqWaitCounts;

#endif
