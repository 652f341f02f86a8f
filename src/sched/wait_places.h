#ifndef KQ_SCHED_WAIT_PLACES_H
#define KQ_SCHED_WAIT_PLACES_H

/* wait_places: the place of each waiting step in the order of the last placing pass, and
 * what was before it, for operators who ask why a job waits.
 *
 * Steps compete with those of the same service and kind of task, so each service and kind
 * is counted by itself. The places are recorded after the pass has placed its tasks: what
 * it has started is no longer before anyone. Nothing is decided by them. */

#include "sched/state.h"

/* The kind of load that the step's tasks are. */
KqLoadKind kq_wait_places_kind (const KqStep *p);
/* Records the place of a step that has waiting tasks; a second call for it within a pass
 * does nothing. To be called once per waiting step, in the order of the pass. rank: a
 * static text. */
void kq_wait_places_note (KqSched *s, KqOccurrence *o, int32_t step, const char *rank);
/* Appends the place of the step, what is before it and when the job is forecast to end,
 * or that there is none yet. */
void kq_wait_places_explain (const KqSched *s, const KqOccurrence *o, int32_t step,
                             const KqLoadDigest *load, KqBuf *out);

#endif
