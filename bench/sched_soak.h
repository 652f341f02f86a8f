#ifndef KQ_BENCH_SCHED_SOAK_H
#define KQ_BENCH_SCHED_SOAK_H

/* sched_soak: random jobs and random faults on the scheduler's rig.
 *
 * Cuts, deaf runners, lost and late orders, restarts under the same id, runners that fail
 * all, an unreachable store, leaders that die one after the other, agents that change,
 * cancellations in waves. All invariants of bench/sched_rig.h are checked throughout; at
 * the end the faults stop and every job must end. */

#include <stdint.h>

/* steps: events drawn. Returns the number of breaches; why receives the first. */
int kq_sched_soak (uint64_t seed, int steps, char *why, int why_size);

#endif
