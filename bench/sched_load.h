#ifndef KQ_BENCH_SCHED_LOAD_H
#define KQ_BENCH_SCHED_LOAD_H

/* sched_load: measures the cost of the scheduler alone, for a fleet of any size, without
 * faults.
 *
 * Simulated runners start and end tasks as ordered and report progress and tail latency.
 * There are three kinds of jobs: short ones with reserved cpu, wide ones of filling
 * tasks, and lasting ones with a latency target. Everything is drawn from a seed, so that
 * the decisions of two versions of the scheduler can be compared (`decisions` below).
 */

#include "base/time.h"

#include <stdint.h>

typedef struct
{
  int runners;
  double load; /* relative to the capacity of that many runners; 1: about all of it */
  KqTime span;
  uint64_t seed;
} KqSchedLoadConfig;

typedef struct
{
  double cpu_s;              /* processor time in the scheduler */
  double pass_s;             /* of that in kq_sched_run */
  double longest_pass_s;     /* in one call of kq_sched_run */
  KqTime all_listed_at;      /* when all runners had agents and had listed their runs,
                                from the leader's start; 0: never */
  double list_s;             /* in kq_sched_list */
  double store_s;            /* in writing batches for the store */
  uint64_t lists;            /* passed to the scheduler */
  uint64_t passes;           /* calls of kq_sched_run */
  uint64_t starts;           /* ordered */
  uint64_t runners_examined; /* candidate runners examined to place tasks */
  uint64_t paces;            /* ordered */
  uint64_t done;             /* tasks ended as done */
  uint64_t jobs;             /* submitted, without lasting ones */
  uint64_t jobs_late;        /* of those ended, after their deadline */
  uint64_t jobs_ended;
  uint64_t decisions; /* hash of all start and stop orders, in sequence */
  double
      over_target_s; /* time that serving tasks spent over their latency target, summed */
} KqSchedLoadResult;

KqSchedLoadResult kq_sched_load_run (const KqSchedLoadConfig *c);

#endif
