#ifndef KQ_BENCH_SCHED_DESK_H
#define KQ_BENCH_SCHED_DESK_H

/* sched_desk: a test fixture of a scheduler with two runners and one agent. The test
 * supplies each list and outcome itself, in orders that runs of the rig (sched_rig.h)
 * hardly produce. */

#include "sched/sched.h"

#include <glib.h>

typedef struct
{
  char runner[16];
  char task[96];
  uint32_t run;
} KqSchedDeskStart;

typedef struct
{
  KqSched *sched;
  KqCounters *counters;
  KqTime now;
  int agent;
  int starts;      /* START orders so far */
  int stops;       /* STOP orders so far */
  char runner[16]; /* this and the next three: of the last START order */
  char task[96];
  uint32_t run;
  char ticket[32];
  int paces;              /* PACE orders so far */
  int slowed;             /* those with less than 100 percent */
  int questions;          /* ADVISE orders so far */
  char question[96];      /* the step of the last one */
  int questions_about;    /* number of runners in it */
  int went_down;          /* hosts taken down for maintenance so far */
  char last_down[16];     /* the last such host */
  int renewals;           /* RENEW orders so far */
  uint64_t halt;          /* in the last RENEW order */
  uint64_t seen;          /* highest end acknowledged by the last SEEN order */
  GArray *starts_pending; /* KqSchedDeskStart: START orders without an outcome */
  uint64_t results;       /* outcomes passed in so far */
  uint64_t assignment[3]; /* number in the last TAKE order of r0 to r2 */
  KqBuf used_runners;     /* the stored list of runners in use, packed */
  int64_t started_ms;     /* start of the runner process in lists; 1 at first */
  int drops;              /* DROP orders so far */
} KqSchedDesk;

/* cmocka's set-up and tear-down; *state is a KqSchedDesk. */
int kq_sched_desk_set_up (void **state);
int kq_sched_desk_tear_down (void **state);
/* Stores the scheduler's list of runners in use. */
void kq_sched_desk_store_known (KqSchedDesk *d);
/* Replaces the scheduler by that of a new leader, which gets the stored list and the
 * runners' entries. The caller passes the jobs in and calls kq_sched_loaded. */
void kq_sched_desk_next_leader (KqSchedDesk *d);
/* Runs the scheduler every 10 ms for the span. */
void kq_sched_desk_run (KqSchedDesk *d, KqTime span);
/* Passes in a list of the runner with these ends and no runs. */
void kq_sched_desk_list (KqSchedDesk *d, const char *runner, const KqEndRow *ends,
                         size_t n_ends);
/* Passes in a list with this end, of which more are to follow (more_ended). */
void kq_sched_desk_list_cut (KqSchedDesk *d, const char *runner, const KqEndRow *end);
/* Passes in a list with one run, a serving task with this tail latency. */
void kq_sched_desk_list_serving (KqSchedDesk *d, const char *runner, const char *task,
                                 uint32_t run, int tail_ms);
/* Passes in a list with these runs and no ends. */
void kq_sched_desk_list_runs (KqSchedDesk *d, const char *runner, const KqRunRow *rows,
                              size_t n);
/* Passes in the outcome OK for every START order that has no outcome yet. */
void kq_sched_desk_carry_out (KqSchedDesk *d);
/* Passes in the outcome of an order. */
void kq_sched_desk_outcome (KqSchedDesk *d, KqOrderKind kind, const char *runner,
                            const char *task, uint32_t run, KqOrderResult result);
/* The agent reports the runner as unreachable. */
void kq_sched_desk_unreached (KqSchedDesk *d, int agent, const char *runner,
                              int64_t lease_left_ms);
/* Passes in the advice service's answer, which names one runner; ticket NULL: none. */
void kq_sched_desk_advise (KqSchedDesk *d, const char *step, KqAdviceResult result,
                           const char *runner, const char *ticket, int64_t valid_ms);
/* A step of one task with 0.5 cores and 100 MB. */
KqStep kq_sched_desk_step (void);
/* Passes in a job of this step; advised: the advice service is asked about it. */
void kq_sched_desk_submit (KqSchedDesk *d, const char *id, KqStep step, bool advised);

#endif
