#ifndef KQ_BENCH_SOAK_H
#define KQ_BENCH_SOAK_H

/* soak: a randomised run of the simulated fleet (fleet.h). */

#include "fleet.h"

typedef struct
{
  char violation[160]; /* "": none */
  uint64_t trace;
  uint64_t faults;
  uint64_t acked;
  double simulated_s;
} KqSoak;

/* Runs `steps` steps with faults, then some time without. At the end every shard must
 * have an owner whose state is that of the committed records. */
KqSoak kq_soak (uint64_t seed, uint64_t steps);

#endif
