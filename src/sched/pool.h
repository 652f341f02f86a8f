#ifndef KQ_SCHED_POOL_H
#define KQ_SCHED_POOL_H

/* pool: the runners of one service, as pools.c and the load account sum them up. */

#include "sched/large_tasks.h"
#include "sched/load_sums.h"
#include "sched/wait_counts.h"

/* What a runner adds to its pool, or the sum of that over runners. Cpu in thousandths. */
typedef struct
{
  int64_t whole_milli;
  int64_t reserved_milli;
  int64_t usable_milli;
  int64_t used_milli;
  int64_t no_lasting_milli;
  int64_t demand_milli;
  int64_t running_milli[KQ_LOAD_KINDS];
  int64_t fitting_milli[KQ_LOAD_KINDS];
} KqPoolSums;

/* The runners of one service. */
struct KqPool
{
  char *service;
  KqPoolSums runners;  /* the sum over its runners, as last counted (pools.c) */
  bool pieces_changed; /* KqLoadSums.piece_milli has, so that all must be counted anew */
  /* In a placing pass these begin with the sums above, and change with each start. */
  int64_t whole_milli;      /* total cpu, in thousandths, of its runners with an entry */
  int64_t reserved_milli;   /* the part of whole_milli that is reserved */
  int64_t usable_milli;     /* total cpu, in thousandths, of those that may be used */
  int64_t used_milli;       /* the part of usable_milli that is reserved */
  int64_t no_lasting_milli; /* usable cpu of runners that hold no lasting task */
  int64_t demand_milli; /* cpu that tasks other than lasting ones need: running ones that
                           reserve cpu, filling ones on runners without lasting tasks, and
                           waiting ones */
  double demand_peak_milli; /* decaying maximum of demand_milli */
  double kept_free_milli;   /* cpu of the runners that are kept free of lasting tasks */
  KqTime updated_at;        /* when the peak was last updated */
  KqLoadSums load[KQ_LOAD_KINDS];
  KqWaitCounts waiting[KQ_LOAD_KINDS];
  KqLargeTasks large;
};

#endif
