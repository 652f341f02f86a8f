#ifndef KQ_SCHED_CORDONING_H
#define KQ_SCHED_CORDONING_H

/* cordoning: keeps starts away from the runners of cordoned failure domains. */

#include "sched/state.h"

/* Whether the set of cordons is complete: nothing may be started before it is. */
bool kq_cordoning_is_known (const KqSched *s);
/* Whether the runner's failure domain is cordoned. */
bool kq_cordoning_applies (const KqSched *s, const KqRunnerState *r);
/* Notes that an agent has refused a start as the runner's failure domain is cordoned. */
void kq_cordoning_note_refusal (KqSched *s, const KqRunnerState *r, KqTime now);
/* Appends a line for operators on each cordon. */
void kq_cordoning_explain (const KqSched *s, KqTime now, KqBuf *out);

#endif
