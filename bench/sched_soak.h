#ifndef KQ_BENCH_SCHED_SOAK_H
#define KQ_BENCH_SCHED_SOAK_H

/* sched_soak: random jobs and random faults on the scheduler's rig (sched_rig.h).
 *
 * Faults: runners that are cut off, whose answers are lost, that restart under the same
 * id, whose runs all fail or make no progress; lost, late and unsent calls; an
 * unreachable store; new leaders; cancellations; two to four agents, which are cut off
 * from single runners, frozen, stopped and restarted with another share, and whose
 * connections become slow, are cut and break. Each seed leaves some of these out. The
 * invariants of the rig are checked throughout; at the end the faults stop and every job
 * must end. */

#include <stdbool.h>
#include <stdint.h>

/* steps: number of random events. plays: KQ_SCHED_RIG_CORDONS and following. Returns the
 * number of breaches; copies a description of the first one to `why`. */
int kq_sched_soak (uint64_t seed, int steps, unsigned plays, char *why, int why_size);

#endif
