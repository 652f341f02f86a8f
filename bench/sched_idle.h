#ifndef KQ_BENCH_SCHED_IDLE_H
#define KQ_BENCH_SCHED_IDLE_H

/* sched_idle: checks on the rig that nothing waits beside free room.
 *
 * A breach, if it holds for 3 s on end: there is room for a task twice over, under half
 * of the room is reserved, and either nothing of the task's job runs while its turn has
 * come, or the task is a lasting one whose last run ended over 6 s ago. */

#include "sched_rig.h"

typedef struct KqSchedIdle KqSchedIdle;

KqSchedIdle *kq_sched_idle_new (void);
void kq_sched_idle_free (KqSchedIdle *c);
/* To be called every 100 ms or so. calm: no fault is near, so the time counts. */
void kq_sched_idle_check (KqSchedIdle *c, KqSchedRig *r, bool calm);
/* With KQ_RIG_TRACE in the environment: logs on stderr what the job waits for. */
void kq_sched_idle_explain (const KqSchedRig *r, const KqSpec *spec);

#endif
