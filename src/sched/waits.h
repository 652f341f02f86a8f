#ifndef KQ_SCHED_WAITS_H
#define KQ_SCHED_WAITS_H

/* waits: what keeps tasks waiting while much room is free. Filled in one placing pass. */

#include "sched/state.h"

typedef struct
{
  int32_t n_idle;                 /* steps that wait beside free room */
  const KqOccurrence *occurrence; /* of the one that has waited longest; NULL: none */
  int32_t step;
  int32_t n_held_back; /* jobs that wait for runs of earlier leaders, or for the lead */
} KqWaits;

/* Takes a step with a waiting task. It counts as idle if it has waited for some seconds,
 * no run of its job may exist or one of its lasting tasks is lost, and about half of the
 * service's cpu is not reserved. */
void kq_waits_add (KqWaits *w, const KqOccurrence *o, int32_t step, KqTime now);
/* Logs, at most once a second, for the step that has waited longest how many runners gave
 * which answer, and why jobs are held back. Call within the pass. */
void kq_waits_log (const KqWaits *w, KqSched *s, KqTime now);

#endif
