#ifndef KQ_SCHED_JOB_LOAD_H
#define KQ_SCHED_JOB_LOAD_H

/* job_load: the load that a job that has not begun adds, in the units of load_account.h.
 * It is computed from the spec alone, so that each node gets the same figures. */

#include "sched/load_account.h"
#include "steps/spec.h"

typedef struct
{
  KqStr service;
  KqLoadKind kind;       /* of most of its work */
  int64_t work;          /* sum of width x cpu x estimate over its steps */
  int64_t chain_ms;      /* estimated time of its longest chain of steps */
  int64_t objective_ms;  /* 0: it has none */
  int64_t start_milli;   /* cpu of the tasks that may start at once */
  int64_t largest_milli; /* cpu of its largest task */
} KqJobLoad;

/* Sets *out to the load of the job; its string points into the spec. False: the job is
 * lasting, timed or without an objective, and is never refused for load. */
bool kq_job_load (const KqSpec *spec, KqJobLoad *out);

#endif
