#ifndef KQ_BENCH_SCHED_SOAK_H
#define KQ_BENCH_SCHED_SOAK_H

/* sched_soak: random jobs and random faults on the scheduler's rig.
 *
 * Cuts, deaf runners, lost and late orders, restarts under the same id, runners that fail
 * all, an unreachable store, leaders that die one after the other, cancellations in
 * waves; two to four agents, which are cut off from single runners, frozen, stopped and
 * restarted with another share, and whose connections become slow, are cut and break.
 * Each seed leaves some of these out. All invariants of bench/sched_rig.h are checked
 * throughout; at the end the faults stop and every job must end. */

#include <stdint.h>

/* steps: events drawn. Returns the number of breaches; why receives the first. */
int kq_sched_soak (uint64_t seed, int steps, char *why, int why_size);

#endif
