#ifndef KQ_SCHED_LOAD_PASS_H
#define KQ_SCHED_LOAD_PASS_H

/* load_pass: fills the load account (load_account.h) in a placing pass and decides with
 * it on the places of the waiting jobs (waiting_order.h). Its other inputs are the ends
 * of runs, from which it learns how much estimated work a core does per unit of time. */

#include "sched/state.h"

/* What a placing pass takes from one occurrence: how it stands alone, as if it had all
 * room to itself. */
typedef enum
{
  KQ_ALONE_IN_TIME,
  KQ_ALONE_LATE,  /* can be of use */
  KQ_ALONE_NO_USE /* can't any more */
} KqAlone;

typedef struct
{
  KqOccurrence *occurrence;
  KqAlone alone;
  KqLoadSums *sums;      /* of its service and kind */
  int64_t waiting_work;  /* of tasks that have no run when the pass begins */
  int64_t waiting_milli; /* cpu of those tasks */
  KqWaitingJob job;
} KqLoadJob;

/* The account of one pass. */
typedef struct
{
  GArray *jobs; /* KqLoadJob */
} KqLoadPass;

/* Sets running_milli to what runs on the runner. Runs on a runner that doesn't answer may
 * be gone: they don't count. */
void kq_load_count_running (const KqRunnerState *r, KqPoolSums *out);
/* Sets fitting_milli to its free room; for a runner that may be used. */
void kq_load_count_fitting (const KqRunnerState *r, KqPoolSums *out);
/* Begins a pass. To be called after kq_pools_begin_pass. */
void kq_load_begin_pass (KqLoadPass *p, KqSched *s, KqTime now);
/* Takes an open occurrence with the ends of its objective and its use. */
void kq_load_add (KqLoadPass *p, KqOccurrence *o, KqAlone alone, KqTime due,
                  KqTime use_end);
/* Decides on the places of all jobs taken (KqOccurrence.place). Without a known rate all
 * those that alone are in time are KQ_WAITING_IN_TIME. */
void kq_load_decide (KqLoadPass *p, KqSched *s, KqDeferRule rule, KqTime now);
/* Ends the pass, after its starts. */
void kq_load_end_pass (KqLoadPass *p, KqSched *s, KqTime now);

/* Whether the occurrence is to be placed before all others of its kind in this pass. Jobs
 * of no use any more come last, and would wait as long as an overload lasts; so the
 * oldest of them goes first while such jobs have less than a twentieth of what runs. One
 * that can start nothing in its turn for 2 s is put behind the others. */
bool kq_load_has_turn (const KqOccurrence *o);

/* Notes that a run has ended, whether its task is done or not. */
void kq_load_note_run_end (const KqRun *run, KqTime now);
/* Notes that the run's task is done. */
void kq_load_note_done (const KqRun *run, KqTime now);

/* load_report.c */
/* Sets the gauges of the account. */
void kq_load_gauges (KqSched *s);

#endif
