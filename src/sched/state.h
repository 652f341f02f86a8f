#ifndef KQ_SCHED_STATE_H
#define KQ_SCHED_STATE_H

/* state: what the scheduler's files share. Nobody else includes this. */

#include "base/histogram.h"
#include "base/log.h"
#include "sched/disturb.h"
#include "sched/sched.h"
#include "sched/spent.h"
#include "sched/swing.h"
#include "sched/window.h"

#include <glib.h>

#define PART "sched"

typedef struct KqJob KqJob;
typedef struct KqPool KqPool;
typedef struct KqRun KqRun;
typedef struct KqRunnerState KqRunnerState;

typedef enum
{
  KQ_TASK_WAITING,
  KQ_TASK_ACTIVE, /* has a run */
  KQ_TASK_DONE
} KqTaskPhase;

/* Tens of thousands of these live at a time: kept small. */
typedef struct
{
  uint8_t phase; /* KqTaskPhase */
  uint8_t failures;
  bool has_run;          /* of a lasting step: in this leader's time or before */
  uint32_t last_run;     /* highest run number given out or seen */
  uint32_t *failed_runs; /* numbers of the runs that failed: each counts once, and a
                            new leader hears of them in any order */
  KqRun *run;            /* while ACTIVE */
  char *checkpoint;      /* of an earlier run; NULL: none */
  KqRunnerState *avoid;  /* where it failed or stood still last */
} KqTaskState;

/* What the advice service has said of a runner for a step. */
typedef struct
{
  KqRunnerState *runner;
  int64_t born_ms; /* the runner's life that it was said for */
  char *ticket;    /* NULL: the runner may not run the step */
  KqTime valid_until;
} KqTicket;

typedef struct
{
  KqTicket *rows;
  int32_t n_rows;
  int agent;       /* that asks; -1: nobody */
  KqTime asked_at; /* when the question left */
  KqTime again_at; /* no question before */
} KqTickets;

typedef struct
{
  int32_t done;
  int32_t active;
  KqTickets *advice;  /* of an advised step that has been asked about */
  KqTime lost_at;     /* since when lasting tasks that have run are waiting; 0: none is */
  KqTime waits_since; /* since when some task could run and doesn't; 0: none */
  /* The last look at all runners that found none for its tasks; tried_at 0: none did. */
  KqTime tried_at;
  uint64_t tried;  /* all changes of runners up to this one have been looked at since */
  bool tried_lost; /* it was for tasks that their runners have lost */
  bool open;       /* what it depends on is done */
  char rack[24];   /* of a one-rack step, once its first task is placed; "" before */
  KqSwing swing;   /* of a serving step */
  KqTaskState *tasks;
} KqStepState;

typedef struct KqOccurrence
{
  KqJob *job;
  int32_t number;
  int32_t steps_done;
  KqTime due_at; /* objectives count from here */
  int64_t chain_left_ms;
  KqStepState *steps;
  struct KqOccurrence *next;
} KqOccurrence;

struct KqJob
{
  KqSpec spec;
  KqBuf stored;      /* what spec's strings point into */
  uint64_t revision; /* of its key in the store */
  KqPool *pool;      /* of its service */
  KqTime learned_at;
  KqJobState state;
  KqJobState shown; /* the last state that is in the store */
  bool begun;       /* some task has been started */
  bool cancelled;
  bool dirty; /* progress differs from the store's */
  KqTime accepted_at;
  KqTime ended_at;
  KqSpent spent;
  int *images; /* of each step: its image's place in the disturbance model; -1: none */
  int32_t created; /* occurrences made so far */
  int32_t finished;
  KqOccurrence *occurrences; /* open ones */
  int runs;                  /* alive on runners */
  KqRun *run_list;           /* these, the last one first */
  KqBuf batch;               /* packed progress on its way to the store */
  KqJob *next;               /* list of jobs that aren't ended */
  KqJob *prev;
};

typedef enum
{
  KQ_RUN_SENDING, /* a start order is out */
  KQ_RUN_RUNNING, /* the runner has said so */
  KQ_RUN_STOPPING /* a stop order is out, or due */
} KqRunPhase;

/* What the reports of a serving task have told. */
typedef struct
{
  KqTime reported_at; /* 0: never */
  double slack;       /* target by tail, as reported last */
  double offset;      /* beyond what its step's load and what fills beside it explain */
  double shares[KQ_DISTURB_IMAGES]; /* of the runner's cpu, that filling images used */
  KqTime over_since;                /* tail above the target; 0: isn't */
  double tail_mean;       /* mean of the logarithm of tail by target; 0: no report */
  KqTime mean_over_since; /* the same for the mean */
  uint64_t start_pass;    /* the placing pass that start_headroom was worked out in */
  double start_headroom;  /* the slack that it can lose to a task that starts now */
  KqRun *next;            /* serving run on the runner */
  KqRun *prev;
} KqServing;

struct KqRun
{
  KqJob *job;
  KqOccurrence *occurrence; /* NULL: a run that no task wants any more */
  int32_t occurrence_number;
  int32_t step;
  int32_t index;
  uint32_t number;
  KqRunPhase phase;
  bool unsure;        /* an order got no answer: it may still be carried out */
  bool waiting;       /* an order is at the agent */
  bool start_out;     /* its start counts in the window */
  bool resent;        /* its start has left more than once: one may still arrive */
  bool stopped;       /* its runner has answered a stop, and not listed it since */
  uint64_t confirmed; /* count of results when the runner last spoke of it; 0: never */
  KqTime placed_at;
  KqTime running_at;
  KqTime moved_at; /* last sign of progress */
  KqTime retry_at;
  double share; /* of the runner's cpu that it asks for */
  int percent;
  int load;
  int pace;           /* ordered last */
  bool pace_unknown;  /* an earlier leader may have slowed it */
  KqTime slowed_at;   /* since when it is below full speed; 0: it isn't */
  bool marked;        /* found in the list being read */
  KqServing *serving; /* of a task with a latency target; NULL: others */
  char *checkpoint;
  KqRunnerState *runner;
  KqRun *next; /* on the runner */
  KqRun *prev;
  KqRun *job_next; /* of the job */
  KqRun *job_prev;
};

/* The runners of one service. */
struct KqPool
{
  char *service;
  int64_t room_milli; /* cpu of all that can be used */
  int64_t used_milli; /* reserved of it */
  int64_t open_milli; /* cpu of those that hold no lasting task */
  int64_t need_milli; /* cpu of work that lasting tasks leave no room for: tasks that end
                         by themselves and reserve theirs, filling ones that are on open
                         runners or wait */
  double need_peak;   /* the most of it of late */
  double kept_milli;  /* cpu of the runners that lasting tasks leave alone */
  KqTime looked_at;
};

struct KqRunnerState
{
  char *id;
  char *service;
  KqPool *pool; /* of the service */
  char *address;
  char *domain;
  char *rack;
  char *kind;
  char *host;   /* the target host it lives on; "" when not told */
  bool leaving; /* its host is about to go down for maintenance */
  KqRoom room;
  KqRoom used;     /* reserved, by all runs that may be there */
  int64_t filling; /* cpu that filling runs could use */
  int64_t born_ms;
  bool in_store;     /* has an entry now */
  bool known_stored; /* stands in the stored list of runners */
  bool known_sent;   /* and the list that is on its way to the store */
  bool earlier;      /* an earlier leader may have started runs there */
  bool taken_down;   /* its host has been taken down for maintenance */
  bool over;         /* so it has, and it answers nobody: nothing runs there any more */
  bool draining;
  KqTime drain_ends; /* it stays at least until then */
  bool listed;       /* has listed its runs to us in this life */
  bool silent;       /* the agent gets no answer */
  bool foreign;      /* lists a run of a job that nobody knows: its size is unknown */
  KqTime lease_ends; /* latest time at which something may still run there */
  const char *lease_from; /* what that follows from, for logs */
  bool passed_over;       /* a word of an earlier agent, and logged */
  KqTime heard_at;
  int agent;       /* -1: none */
  uint64_t taking; /* the agent's, as ordered last */
  uint64_t ends_seen;
  uint64_t ends_batch;
  uint64_t ends_stored;
  bool watched; /* the agent has been told to report often */
  /* What it has been like. */
  double fails; /* decaying counts of failed and of done tasks */
  double dones;
  KqTime score_at;
  double slowness; /* actual by estimated length of tasks; 1: as the others */
  KqTime suspect_until;
  int suspect_times;
  int n_runs;
  int n_serving;
  int64_t serving;                          /* cpu reserved by serving tasks, of used */
  int n_lasting;                            /* lasting tasks with room of their own */
  int64_t lasting;                          /* cpu that they reserve, of used */
  int serving_images[KQ_DISTURB_IMAGES];    /* tasks by image */
  double filling_shares[KQ_DISTURB_IMAGES]; /* of the cpu, wanted by image */
  uint32_t filling_images;                  /* a bit for each of which there are any */
  KqRun *serving_runs;                      /* of tasks with a latency target */
  uint64_t closed_pass; /* the placing pass that `closed` was worked out in */
  bool closed;          /* a serving task is over its target for long */
  KqTime paced_at;      /* last look at its serving tasks' tails */
  KqRun *runs;
  uint64_t number;  /* of its creation */
  uint64_t changed; /* number of the last change that may have made room there */
  KqRunnerState *changed_before; /* in the list of s->changed_last */
  KqRunnerState *changed_after;
};

/* How far a host of a wave is, in this order. */
typedef enum
{
  KQ_HOST_WAITING,
  KQ_HOST_EMPTYING, /* takes nothing new, its tasks move */
  KQ_HOST_ASKED,    /* the call is out, or had no answer: it may be down */
  KQ_HOST_DOWN,     /* its maintenance has begun */
  KQ_HOST_BACK      /* a new runner is there, or the host has gone for good */
} KqHostPhase;

typedef struct
{
  char *host;
  KqHostPhase phase;
  KqTime since;    /* of the phase */
  KqTime again_at; /* no earlier attempt */
  char *old_runner;
} KqWaveHost;

typedef struct
{
  int64_t number;
  bool asked; /* the operators' request has been seen, not just our own record */
  int32_t cap;
  KqTime ends_at;
  int64_t ends_wall_ms; /* Unix time of the same; 0: not known */
  int64_t duration_ms;
  bool completed;
  KqWaveHost *hosts;
  size_t n_hosts;
} KqWave;

struct KqSched
{
  KqSchedConfig config;
  GHashTable *jobs;    /* id -> KqJob */
  GHashTable *runners; /* id -> KqRunnerState */
  GPtrArray *runner_list;
  GPtrArray *pools; /* KqPool */
  KqAgents agents;
  uint64_t takings; /* given out */
  uint64_t runners_made;
  KqJob *open; /* jobs that aren't ended, and ended ones with runs alive */
  bool loaded;
  bool settled; /* no run of an earlier leader can be unknown to us */
  bool work;    /* something changed that a placing pass could use */
  bool passing; /* a placing pass is under way: what is kept for one may be used */
  uint64_t passes;
  uint64_t changes;            /* of runners, so far */
  KqRunnerState *changed_last; /* all runners, by their last change */
  guint look_from;             /* the next look at runners begins there */
  bool known_dirty;
  bool assign_soon; /* an agent may have a hand free for a runner that has none */
  int64_t wall_minus_now_ms;
  KqTime started_at;
  KqTime lead_until; /* nobody else can lead until then */
  bool held_back;    /* a job waits for the lead to be certain again */
  KqTime work_at;    /* a placing pass is due then also without news; 0: no */
  KqTime look_at;    /* next look at progress, leases, pace */
  KqTime store_due;
  KqTime stored_at;
  bool batch_open;
  bool ends_dirty;
  double slowness_mean;
  KqDisturb *disturb;
  KqWindow window;
  KqTime window_told_at; /* last line on its being closed */
  GPtrArray *waves;      /* KqWave */
  bool waves_dirty;      /* differ from the store's */
  GPtrArray *batch;      /* KqJob */
  /* Counters. */
  uint64_t *starts;
  uint64_t *looks;
  uint64_t *ends[6];
  uint64_t *results[10];
  uint64_t *runs_lost;
  uint64_t *stops_hang;
  uint64_t *stops_drain;
  uint64_t *lapses;
  uint64_t *no_room;
  uint64_t *paces;
  uint64_t *advices[3]; /* answers, by KqAdviceResult */
  KqHistogram first_start;
  KqHistogram job_time;
  KqHistogram start_answer;
};

/* book.c */
KqJob *kq_book_find (const KqSched *s, KqStr id);
/* The task of that name; false: no such job, or the occurrence is over. */
typedef struct
{
  KqJob *job;
  KqOccurrence *occurrence; /* NULL: over, or not begun */
  int32_t occurrence_number;
  int32_t step;
  int32_t index;
} KqTaskRef;
bool kq_book_task (const KqSched *s, KqStr name, KqTaskRef *out);
void kq_book_task_name (const KqRun *r, char out[96]);
KqTaskState *kq_book_state (const KqRun *r);
bool kq_book_has_failed (const KqTaskState *t, uint32_t run);
void kq_book_add_failure (KqTaskState *t, uint32_t run);
KqOccurrence *kq_book_add_occurrence (KqJob *j, int32_t number, KqTime due_at);
void kq_book_open_steps (KqOccurrence *o);
void kq_book_task_done (KqSched *s, KqOccurrence *o, int32_t step, int32_t index,
                        KqTime now);
void kq_book_task_failed (KqSched *s, KqOccurrence *o, int32_t step, int32_t index,
                          uint32_t run, KqRunnerState *where, KqTime now);
/* A task of a lasting step runs for the first time: stored, as a later leader must know
 * which waiting tasks have been lost. */
void kq_book_task_runs (KqSched *s, KqJob *j, KqTaskState *t, KqTime now);
/* Whether a lasting task that has run is waiting. */
bool kq_book_lost_waits (const KqStepState *st, const KqStep *p);
void kq_book_end_job (KqSched *s, KqJob *j, KqJobState state, KqTime now);
void kq_book_due (KqSched *s, KqJob *j, KqTime now);
void kq_book_job_free (KqJob *j);
/* Out of the list of jobs to look at. */
void kq_book_unlink (KqSched *s, KqJob *j);
void kq_book_forget (KqSched *s, KqJob *j);

/* runs.c */
KqRun *kq_run_new (KqSched *s, KqJob *j, KqOccurrence *o, int32_t step, int32_t index,
                   KqRunnerState *r, uint32_t number, KqTime now);
/* The run is over at the runner, however: its room is free, its task waits again if it
 * was the task's run. */
void kq_run_over (KqSched *s, KqRun *run, KqTime now);
void kq_run_send_start (KqSched *s, KqRun *run, KqTime now);
/* No answer will come to what has been ordered: it may be carried out or not. */
void kq_run_unanswered (KqSched *s, KqRun *run);
/* The start has an answer, or won't have one. */
void kq_run_start_gone (KqSched *s, KqRun *run);
void kq_run_stop (KqSched *s, KqRun *run, const char *why, KqTime now);
void kq_run_send_stop (KqSched *s, KqRun *run, KqTime now);
void kq_run_pace (KqSched *s, KqRun *run, int percent, KqTime now);
void kq_run_set_checkpoint (KqRun *run, KqStr checkpoint);
const KqStep *kq_run_step (const KqRun *run);
bool kq_run_serves (const KqRun *run); /* has a latency target */
int kq_run_image (const KqRun *run);   /* place in the disturbance model; -1: none */
void kq_run_cancel_all (KqSched *s, KqJob *j, KqTime now);

/* runners.c */
/* Something may have made room there for a task that found none: a step that waits looks
 * at it again. What changes with time alone is found by looking at all now and then. */
void kq_runners_changed (KqSched *s, KqRunnerState *r);
KqRunnerState *kq_runners_find (const KqSched *s, KqStr id);
bool kq_runners_may_run (const KqRunnerState *r);
/* Its host has been taken down, and no run of this life can go on. */
void kq_runners_taken_down (KqSched *s, KqStr id, KqTime now);
/* Something may run there until then, which follows from `from`. */
void kq_runners_extend (KqRunnerState *r, KqTime ends, const char *from);
/* Whether the word is of the present taking of the runner by its agent. The first word of
 * an earlier one is logged: it may arrive late, and counts for nothing. */
bool kq_runners_heard_of_by (const KqSched *s, KqRunnerState *r, int agent,
                             uint64_t taking, const char *what);
/* The runner is alive, in a new life, by a list with that count of results. */
void kq_runners_reborn (KqSched *s, KqRunnerState *r, uint64_t order, KqTime now);
/* Tells its agent which ends are stored, and whether it is watched. */
void kq_runners_acknowledge (const KqSched *s, const KqRunnerState *r);
void kq_runners_look (KqSched *s, KqTime now);
void kq_runners_assign (KqSched *s, KqTime now);
void kq_runners_settle (KqSched *s, KqTime now);
/* suspects.c: a task has ended there. */
void kq_runners_score (KqRunnerState *r, bool done, KqTime now);

void kq_runners_free (KqRunnerState *r);

/* place.c */
/* What the score of a runner loses, in parts of its whole cpu, for a task that failed
 * there: almost anywhere else is better. Days with faults earned 0.004 less without. */
#define KQ_PLACE_AVOID 2.0
/* Whether a task of the step, lost by its runner or not, may go to the runner now,
 * tickets apart. */
bool kq_place_may_take (const KqSched *s, KqRunnerState *r, const KqOccurrence *o,
                        int32_t step, bool lost, KqTime now);
/* Whether the job stands still, and has for long, though there is plenty of room. */
bool kq_place_idles (const KqOccurrence *o, int32_t step, KqTime now);
/* The higher, the better for a task of the step that has failed nowhere. */
double kq_place_score (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o,
                       int32_t step);
/* Up to max runners for a task of the step, the best first, tickets apart. */
int32_t kq_place_candidates (KqSched *s, const KqOccurrence *o, int32_t step, KqTime now,
                             KqRunnerState **out, int32_t max);

/* pools.c */
GPtrArray *kq_pools_new (void);
/* The pool of a service, made if need be. Valid as long as the scheduler. */
KqPool *kq_pools_need (KqSched *s, KqStr service);
/* Looks over the runners of all services, before a placing pass. */
void kq_pools_look (KqSched *s);
/* Tasks of a step wait for their turn: so many, of that cpu. */
void kq_pools_waiting (KqPool *pool, const KqStep *p, int32_t n);
/* Notes the peak, after all that waits has been told. */
void kq_pools_looked (KqSched *s, KqTime now);
/* Whether a lasting task may take the runner from the short ones. */
bool kq_pools_may_last (const KqRunnerState *r);
/* Whether no more than about half of the service's cpu is reserved. */
bool kq_pools_half_free (const KqPool *p);
/* A lasting task of that cpu has been placed there. */
void kq_pools_taken (const KqRunnerState *r, int32_t cpu_milli);

/* tickets.c: permits for steps of advised queues. */
/* The ticket for the step at the runner now; NULL: none. */
const char *kq_tickets_find (const KqOccurrence *o, int32_t step, const KqRunnerState *r,
                             KqTime now);
/* A task of the step found no runner with a ticket: asks for more, unless an answer is
 * outstanding. */
void kq_tickets_want (KqSched *s, KqOccurrence *o, int32_t step, KqTime now);
/* The runner has refused the ticket. */
void kq_tickets_refused (KqOccurrence *o, int32_t step, const KqRunnerState *r);
/* The runner is forgotten, or the agent is gone. */
void kq_tickets_forget_runner (KqStepState *st, const KqRunnerState *r);
void kq_tickets_agent_down (KqSched *s, int agent);
void kq_tickets_free (KqTickets *a);

/* maintenance.c */
GPtrArray *kq_maintenance_new_waves (void);
void kq_maintenance_look (KqSched *s, KqTime now);

/* Whether any runner could hold a task of the step if it were empty. */
bool kq_place_ever (const KqSched *s, const KqSpec *spec, int32_t step);

/* placing.c */
typedef struct
{
  KqRunnerState *runner;
  double score;
} KqSpot;

/* The tasks of a step on their way to runners. */
typedef struct
{
  KqSched *sched;
  KqOccurrence *occurrence;
  int32_t step;
  KqTime now;
  bool built;
  bool lost;       /* the spots are those for tasks that their runners have lost */
  bool rack_known; /* and those of the rack that a first task has chosen */
  GArray *heap;    /* KqSpot */
  bool all;        /* all runners are looked at, as far as need be */
  guint not_seen;  /* of them */
  bool taken;
  KqSpot last; /* taken by the last task, and out of the heap */
} KqPlacing;

void kq_placing_begin (KqPlacing *p, KqSched *s, KqOccurrence *o, int32_t step,
                       KqTime now);
/* The best runner for a task of the step now; NULL: none. The task has to go there before
 * the next one is asked for. */
KqRunnerState *kq_placing_next (KqPlacing *p, int32_t index);
void kq_placing_end (KqPlacing *p);

/* pass.c */
void kq_pass (KqSched *s, KqTime now);

/* watch.c */
void kq_watch_progress (KqSched *s, KqTime now);
/* pace.c */
/* After a list of its runs: learns from its reports (harm.h) and sets the paces there. */
void kq_pace_runner (KqSched *s, KqRunnerState *r, KqTime now);
/* No serving task is left there: all that fills works at full speed. */
void kq_pace_release (KqSched *s, const KqRunnerState *r, KqTime now);
/* Sets the paces there, by what is known. */
void kq_pace_set (KqSched *s, KqRunnerState *r, KqTime now);

/* progress.c */
void kq_progress_pack (const KqJob *j, KqBuf *out);
bool kq_progress_apply (KqSched *s, KqJob *j, KqStr stored, KqTime now);

#endif
