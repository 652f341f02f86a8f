#ifndef KQ_SCHED_GANGS_H
#define KQ_SCHED_GANGS_H

/* gangs: the checkpoints of gangs. Each member saves its own; any of them is valid for
 * the whole gang, and all members of a run must resume from the same one. The newest is
 * kept with the first task. A run's members resume from what was kept when it was placed,
 * also if a start is repeated later. */

#include "sched/state.h"

/* Keeps the checkpoint of a member's run that ends, if it is the newest of its gang. */
void kq_gangs_keep_checkpoint (KqSched *s, KqRun *run, KqTime now);
/* Decides from which checkpoint all members of the run that is being placed resume. */
void kq_gangs_begin_run (KqStepState *st);
/* Chooses one of the stored checkpoints: earlier versions stored one for each member. */
void kq_gangs_restore (KqStepState *st, int32_t width);

#endif
