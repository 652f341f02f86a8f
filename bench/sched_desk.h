#ifndef KQ_BENCH_SCHED_DESK_H
#define KQ_BENCH_SCHED_DESK_H

/* sched_desk: a scheduler whose runners' part a test plays by hand, one answer at a time,
 * to put inputs into an order that a run of the rig would hardly meet. */

#include "sched/sched.h"

#include <glib.h>

typedef struct
{
  char runner[16];
  char task[96];
  uint32_t run;
} KqSchedDeskStart;

/* A scheduler with two runners and one agent; the test plays the runners' part. */
typedef struct
{
  KqSched *sched;
  KqCounters *counters;
  KqTime now;
  int agent;
  int starts; /* orders so far */
  int stops;
  char runner[16]; /* of the last start */
  char task[96];
  uint32_t run;
  char ticket[32];
  int paces;           /* orders so far */
  int slowed;          /* of them to a pace below 100 */
  int questions;       /* to the advice service so far */
  char question[96];   /* the step of the last one */
  int questions_about; /* runners in it */
  int went_down;       /* hosts ordered down so far */
  char last_down[16];  /* the last of them */
  int renewals;        /* allowed so far */
  uint64_t halt;       /* that the last order to renew names */
  uint64_t seen;       /* ends that the last order SEEN names */
  GArray *starts_out;  /* KqSchedDeskStart, without an outcome */
  uint64_t results;
  uint64_t assignment[3]; /* of r0 to r2, as ordered last */
  KqBuf known;            /* the stored list of runners */
  int64_t started_ms;     /* of the life that lists come from; 1 at first */
  int drops;              /* orders to look after a runner no longer, so far */
} KqSchedDesk;

/* cmocka's set-up and tear-down; *state is the desk. */
int kq_sched_desk_set_up (void **state);
int kq_sched_desk_tear_down (void **state);
/* The list of runners in use reaches the store. */
void kq_sched_desk_store_known (KqSchedDesk *d);
/* Another leader takes over by that list; its jobs and kq_sched_loaded are due next. */
void kq_sched_desk_next_leader (KqSchedDesk *d);
/* Lets the scheduler decide until the span has passed. */
void kq_sched_desk_run (KqSchedDesk *d, KqTime span);
/* The runner lists these ends and no run. */
void kq_sched_desk_list (KqSchedDesk *d, const char *runner, const KqEndRow *ends,
                         size_t n_ends);
/* The runner lists this end, and more wait behind it. */
void kq_sched_desk_list_cut (KqSchedDesk *d, const char *runner, const KqEndRow *end);
/* The runner lists one run, a serving task with this latency tail. */
void kq_sched_desk_list_serving (KqSchedDesk *d, const char *runner, const char *task,
                                 uint32_t run, int tail_ms);
/* The runner lists these runs and no end. */
void kq_sched_desk_list_runs (KqSchedDesk *d, const char *runner, const KqRunRow *rows,
                              size_t n);
/* All starts that have no outcome yet are carried out. */
void kq_sched_desk_carry_out (KqSchedDesk *d);
void kq_sched_desk_outcome (KqSchedDesk *d, KqOrderKind kind, const char *runner,
                            const char *task, uint32_t run, KqOrderResult result);
/* The agent gets no answer from the runner. */
void kq_sched_desk_unreached (KqSchedDesk *d, int agent, const char *runner,
                              int64_t lease_left_ms);
/* The advice service names one runner, or none with ticket NULL. */
void kq_sched_desk_advise (KqSchedDesk *d, const char *step, KqAdviceResult result,
                           const char *runner, const char *ticket, int64_t valid_ms);
/* A small step of one task. */
KqStep kq_sched_desk_step (void);
void kq_sched_desk_submit (KqSchedDesk *d, const char *id, KqStep step, bool advised);

#endif
