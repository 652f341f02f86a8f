#ifndef KQ_BENCH_WHOLE_H
#define KQ_BENCH_WHOLE_H

/* whole: a simulation of five complete node cores (src/node/core.h) with the fake store
 * and fake workers, in one process and simulated time, under seeded faults. All modules
 * run, from membership to claims and job moves; only sockets and clocks are replaced.
 *
 * Clients submit jobs with keys, cancel some, and make requests with idempotency keys
 * through entry nodes. These invariants are checked during the run, which ends at the
 * first violation:
 *
 *   - a job's task runs on at most one worker at a time;
 *   - no worker is given more than its size;
 *   - a request under one idempotency key runs at most once, unless it was reported as
 *     not run;
 *   - a node's table revision never decreases until it restarts;
 *
 * and after the faults have ended: every acknowledged job is known and has ended. */

#include "base/time.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct KqWhole KqWhole;

typedef struct
{
  uint64_t steps;
  uint64_t trace; /* hash of all events: the same seed gives the same */
  uint64_t faults;
  uint64_t jobs_acked;
  uint64_t jobs_ended;
  uint64_t starts;
  uint64_t claims_granted;
  uint64_t claims_repeated; /* repeats that got the stored answer */
  uint64_t moved;
  double simulated_s;
  char violation[160]; /* "": none */
} KqWholeResult;

/* Runs `steps` events under faults, then some time without, then the final checks. */
KqWholeResult kq_whole_run (uint64_t seed, uint64_t steps);

#endif
