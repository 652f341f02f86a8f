#ifndef KQ_SCHED_FEATURES_H
#define KQ_SCHED_FEATURES_H

/* features: decisions under overload and with uneven hosts that the settings of a node
 * switch on, in section [scheduling]. All are off by default: jobs are then placed by
 * their declared estimates, the earliest objective first, and none is refused for load.
 *
 * Nodes with different settings work together: the leader's settings count for placing.
 * For its admission a job needs the switch on the node that receives it and on the
 * leader, which sends no digest of the load otherwise. */

#include <stdbool.h>

typedef struct
{
  bool forecast_order;    /* order = "forecast": whether a job can be in time is judged
                             with the work ahead of it, not alone (waiting_order.h) */
  bool learned_estimates; /* estimates = "learned": run times are corrected by what the
                             tasks of the queue have taken (estimates.h) */
  bool large_task_room;   /* waiting tasks that are too large for the free room of any
                             runner get runners reserved (large_tasks.h) */
  bool admission;         /* admission = "forecast": a job that can't be of use any more
                             is refused at once (fleet/admission.h) */
} KqSchedFeatures;

#endif
