#ifndef KQ_SCHED_PLACING_H
#define KQ_SCHED_PLACING_H

/* placing: the search for runners for the waiting tasks of one step, one task after the
 * other. */

#include "sched/state.h"

typedef struct
{
  KqRunnerState *runner;
  double score;
} KqPlacingCandidate;

/* The search for runners for the waiting tasks of one step. */
typedef struct
{
  KqSched *sched;
  KqOccurrence *occurrence;
  int32_t step;
  KqTime now;
  bool built;         /* the heap has been filled */
  bool lost;          /* the heap is for lasting tasks that have run before */
  bool rack_known;    /* the heap was filled after a one-rack step's rack was chosen */
  GArray *heap;       /* KqPlacingCandidate */
  bool full_search;   /* the search is over all runners, not just changed ones */
  guint n_unsearched; /* runners that aren't searched yet */
  bool held_back; /* the last task waits for a reliable runner, though others take it */
  bool has_last;  /* `last` holds a runner */
  KqPlacingCandidate last; /* the previous task's runner, which isn't in the heap */
} KqPlacing;

void kq_placing_begin (KqPlacing *p, KqSched *s, KqOccurrence *o, int32_t step,
                       KqTime now);
/* Returns the best runner now for the task with that index; NULL: none. The task must be
 * placed there before the next call. */
KqRunnerState *kq_placing_next (KqPlacing *p, int32_t index);
void kq_placing_end (KqPlacing *p);

#endif
