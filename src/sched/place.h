#ifndef KQ_SCHED_PLACE_H
#define KQ_SCHED_PLACE_H

/* place: which runners may take a task, and which of them is the best. */

#include "sched/state.h"

/* What a runner's score loses, in units of its whole cpu, for a task that failed or
 * stalled there last: almost any other runner is better. */
#define KQ_PLACE_AVOID 2.0
/* Whether a runner takes a task, or the first reason why not. */
typedef enum
{
  KQ_PLACE_TAKES,
  KQ_PLACE_OTHER_SERVICE,
  KQ_PLACE_NO_ENTRY,   /* it has no entry in the store, or no usable one */
  KQ_PLACE_NOT_STORED, /* it isn't in the stored list of runners in use */
  KQ_PLACE_NO_AGENT,
  KQ_PLACE_SILENT,
  KQ_PLACE_NOT_LISTED,  /* it has yet to list its runs */
  KQ_PLACE_UNKNOWN_RUN, /* it lists a run of an unknown job */
  KQ_PLACE_LEAVING,     /* it is draining, or its host is */
  KQ_PLACE_CORDONED,    /* its failure domain is cordoned */
  KQ_PLACE_SUSPECT,     /* its tasks keep failing */
  KQ_PLACE_UNSENT,      /* a start couldn't be sent to it */
  KQ_PLACE_NO_ROOM,
  KQ_PLACE_LABEL,       /* it isn't of the kind or rack that the step needs */
  KQ_PLACE_PER_RUNNER,  /* it has the most runs of the step that it may have */
  KQ_PLACE_KEPT_FREE,   /* it is kept free of lasting tasks */
  KQ_PLACE_OVER_TARGET, /* a serving task there is over its target for too long */
  KQ_PLACE_TOO_SLOW,    /* a filling task would be slowed too much there */
  KQ_PLACE_RESERVED,    /* it is reserved for larger tasks */
  KQ_PLACE_ANSWERS
} KqPlaceAnswer;

/* Asks the runner about a task of the step, apart from tickets. `lost`: the task is a
 * lasting one that has run before. Only within a placing pass. */
KqPlaceAnswer kq_place_ask (const KqSched *s, KqRunnerState *r, const KqOccurrence *o,
                            int32_t step, bool lost, KqTime now);
/* The answer's name, for logs. */
const char *kq_place_answer_name (KqPlaceAnswer a);
/* Whether kq_place_ask returns KQ_PLACE_TAKES. */
bool kq_place_may_take (const KqSched *s, KqRunnerState *r, const KqOccurrence *o,
                        int32_t step, bool lost, KqTime now);
/* Whether the step is starved: its tasks have waited for long, though about half of the
 * service's cpu is not reserved, and nothing of its job runs. Lasting tasks are starved
 * whatever else of their job runs. `lost`: as for kq_place_ask. */
bool kq_place_is_starved (const KqOccurrence *o, int32_t step, bool lost, KqTime now);
/* The share of its full speed that a filling task of the step must be able to work at to
 * start: the longer it has waited, the less. */
double kq_place_speed_required (const KqOccurrence *o, int32_t step, bool lost,
                                KqTime now);
/* The score of the runner for a task of the step; higher is better. It doesn't count
 * where the task has failed before (KQ_PLACE_AVOID). */
double kq_place_score (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o,
                       int32_t step);
/* Fills `out` with up to `max` runners that may take a task of the step, apart from
 * tickets, the best first; returns how many. */
int32_t kq_place_candidates (KqSched *s, const KqOccurrence *o, int32_t step, KqTime now,
                             KqRunnerState **out, int32_t max);
/* Whether the runner is of the kind, or on the rack, that the label names; "": any. */
bool kq_place_has_label (const KqRunnerState *r, KqStr label);
/* A lasting task that has lost its run goes first after waiting for this time, and may
 * use any room. When many hosts go down, short jobs in time keep the room from these
 * tasks, whose callers have no service meanwhile. */
#define KQ_PLACE_LOST_WAIT_MAX (2 * KQ_SEC)
/* A filling task starts only where this share of its cpu is unused. With less it would
 * run slowly, slow down the other filling tasks there, and hold memory all that time. */
#define KQ_PLACE_FILLING_UNUSED_MIN_PERCENT 60
/* Cpu of the runner in thousandths that is left after the filling tasks already there. */
int64_t kq_place_left_to_filling (const KqRunnerState *r);
/* Whether a task of the step, which is starved, fits beside what is reserved there. */
bool kq_place_fits_starved (const KqRunnerState *r, const KqStep *p);
/* Whether the runner takes tasks at all now. */
bool kq_place_is_usable (const KqRunnerState *r, KqTime now);
/* Whether the runner could hold a task of the step if nothing else ran there. */
bool kq_place_fits_when_empty (const KqRunnerState *r, const KqStep *p);
/* Whether any runner could hold a task of the step if that runner were empty. */
bool kq_place_any_fits (const KqSched *s, const KqSpec *spec, int32_t step);

#endif
