#ifndef KQ_BENCH_SCHED_DAY_H
#define KQ_BENCH_SCHED_DAY_H

/* sched_day: random days on the scheduler's rig (sched_rig.h), in which spans with faults
 * and calm spans alternate. In the calm ones nothing may wait beside free room
 * (sched_idle.h), whatever the faults before have left behind.
 *
 * Beside most faults of sched_soak.h: orders that aren't sent while lists still arrive,
 * orders that are refused, or carried out 2 to 12 s late without an answer; entries that
 * are missing or draining for a while; waves of maintenance, with calls without an answer
 * and a control plane that is away; serving tasks over their target for long. Jobs may be
 * lasting, filling, timed, gangs, need labels or much memory, permit copies, or consist
 * of tasks that all fail. Each seed leaves some of this out. */

#include <stdbool.h>
#include <stdint.h>

/* rounds: number of spans with faults. plays: KQ_SCHED_RIG_CORDONS and following,
 * in calm spans, too.
 * Returns the number of breaches; copies a description of the first one to `why`. */
int kq_sched_day (uint64_t seed, int rounds, unsigned plays, char *why, int why_size);

#endif
