#ifndef KQ_SCHED_STATE_H
#define KQ_SCHED_STATE_H

/* state: the scheduler's data structures and the functions that its files share. Only
 * files of src/sched include it.
 *
 * Kinds of tasks: a serving task has a latency target and reports its tail latency; a
 * lasting task runs until it is cancelled; a filling task uses only cpu that others leave
 * unused. The other tasks reserve their cpu and end by themselves. A lasting task whose
 * run has ended is lost: it waits to run again. */

#include "base/histogram.h"
#include "base/log.h"
#include "sched/disturb.h"
#include "sched/estimates.h"
#include "sched/load_trend.h"
#include "sched/pool.h"
#include "sched/sched.h"
#include "sched/spent.h"
#include "sched/wait_counts.h"
#include "sched/waiting_order.h"
#include "sched/window.h"

#include <glib.h>

#define PART "sched"

typedef struct KqJob KqJob;

typedef enum
{
  KQ_TASK_WAITING,
  KQ_TASK_ACTIVE, /* it has a run: see KqTaskState.run */
  KQ_TASK_DONE
} KqTaskPhase;

/* The state of a task. Kept small, as tens of thousands exist at a time. */
typedef struct
{
  uint8_t phase;     /* KqTaskPhase */
  uint8_t failures;  /* length of failed_runs */
  bool has_run;      /* only of lasting tasks: it has had a run, under this or an earlier
                        leader */
  uint32_t last_run; /* highest run number assigned or seen */
  uint32_t *failed_runs; /* numbers of the failed runs: each counts once, though a new
                            leader hears of them in any order */
  KqRun *run;            /* the current run, while KQ_TASK_ACTIVE; else NULL */
  KqStr checkpoint;      /* saved by an earlier run, to go on from; owned; "": none */
  KqRunnerState *avoid;  /* the runner where it failed or stalled last; NULL: none */
} KqTaskState;

typedef struct KqTickets KqTickets;

typedef struct
{
  int32_t done;       /* number of tasks in phase KQ_TASK_DONE */
  int32_t active;     /* number of tasks in phase KQ_TASK_ACTIVE */
  KqTickets *tickets; /* NULL: the advice service was never asked about the step */
  KqTime lost_since; /* since when lost lasting tasks of the step wait; 0: none is lost */
  KqTime waits_since; /* since when some task could start and has no run; 0: none could */
  KqTime no_room_since; /* of a reserved step: see large_tasks.h; 0: not counted */
  /* The last search that found no runner for a task of the step: the time of the last
   * such search over all runners (0: none), and KqSched.changes at the last one, which
   * may have looked at changed runners only. */
  KqTime searched_at;
  uint64_t searched_change;
  bool searched_lost; /* the search was for lasting tasks that have run before */
  bool open;          /* the steps that it depends on are done: its tasks may start */
  /* Of a gang: see gangs.h. */
  KqStr resumes_from; /* the checkpoint of the present run; owned; "": none */
  uint32_t saved_run; /* this and the next two: the run, its progress and the member that
                         saved the checkpoint of tasks[0] */
  int saved_percent;
  int32_t saved_index;
  char rack[24]; /* of a one-rack step: the rack of its first placed task; "": none is
                    placed */
  KqWaitPlace place;
  KqLoadTrend load_trend;   /* of a serving step */
  KqRunnerState *failed_on; /* where a task failed last, with none done since; or NULL */
  bool fails_anywhere;      /* as above, but tasks have failed on several runners */
  KqTaskState *tasks;
} KqStepState;

/* One execution of all steps of a job; a timed job has several. */
typedef struct KqOccurrence
{
  KqJob *job;
  int32_t number;
  int32_t steps_done;       /* number of steps all of whose tasks are done */
  KqTime due_at;            /* the objective's time runs from here */
  int64_t critical_path_ms; /* expected time of the longest chain of undone steps */
  KqStepState *steps;
  KqWaitingPlace place;  /* of the last pass, while it waits (load_pass.h) */
  KqWaitingClass logged; /* the class in its last log line */
  bool had_turn;         /* it has been placed first, though of no use (load_pass.h) */
  KqTime turn_since;  /* since when it has had the turn and started nothing; 0: hasn't */
  uint64_t turn_pass; /* KqSched.passes when it had the turn last */
  KqTime turn_passed_at; /* when it lost a turn in which it started nothing; 0: never */
  struct KqOccurrence *next;
} KqOccurrence;

struct KqJob
{
  KqSpec spec;
  KqBuf stored;      /* packed spec, which holds the strings of `spec` */
  uint64_t revision; /* store revision of its key */
  KqPool *pool;      /* the runners of its service */
  KqTime learned_at; /* when this leader learned of it */
  KqJobState state;
  KqJobState stored_state; /* the last state that has been stored */
  bool returned;           /* it came back after a refusal for load */
  bool begun;              /* a runner has confirmed a start of one of its tasks */
  bool cancelled;
  bool dirty;            /* progress differs from what is stored */
  uint64_t dirty_number; /* KqSched.dirty_count when it became so */
  KqTime accepted_at;
  KqTime ended_at;
  KqSpent spent; /* totals for the log line at its end */
  int *images; /* per step: the number of its image in the disturbance model; -1: none */
  int32_t created;           /* number of occurrences created */
  int32_t finished;          /* number of occurrences completed */
  KqOccurrence *occurrences; /* those that have begun and aren't completed */
  int n_runs;                /* number of runs that may exist on runners */
  KqRun *run_list;           /* those runs, the latest first */
  uint64_t counted_pass;     /* wait_places.h: the pass that has counted it ... */
  unsigned counted_kinds;    /* ... as a waiting job: a bit for each KqLoadKind */
  KqBuf batch;               /* packed progress that is being stored */
  KqJob *next;               /* links of the list KqSched.open_jobs */
  KqJob *prev;

  const KqEstimates *estimates; /* learned run times; NULL: the declared ones count */
  uint64_t estimates_version;   /* of the results that it was judged by last */
  int64_t *step_ms;             /* expected time of each step; NULL: as declared */
  int64_t objective_ms;         /* see kq_book_objective_ms */
  size_t bytes;                 /* that it takes (job_bytes.h); counted in *all_bytes */
  size_t *all_bytes;            /* KqSched.job_bytes; NULL: not counted */
};

typedef enum
{
  KQ_RUN_SENDING, /* a start order has been sent */
  KQ_RUN_RUNNING, /* the runner has confirmed it */
  KQ_RUN_STOPPING /* a stop order has been sent, or is due */
} KqRunPhase;

/* What is known of a serving task from its latency reports. */
typedef struct
{
  KqTime reported_at; /* 0: never */
  double slack;       /* target divided by tail, in the last report */
  double offset; /* mean of the slack beyond what the step's load and the filling tasks
                    explain */
  double shares[KQ_DISTURB_IMAGES_MAX]; /* shares of the runner's cpu used by filling
                                           images at that report */
  KqTime over_since; /* since when each report was over the target, or just below it; 0:
                        the last wasn't */
  double tail_log_mean;   /* decaying mean of log (tail / target); 0: no report */
  KqTime mean_over_since; /* since when tail_log_mean is not below 0; 0: it is */
  uint64_t headroom_pass; /* the placing pass for which start_headroom was computed */
  double start_headroom;  /* slack that a filling task that starts now may take */
  KqRun *next;            /* in the runner's list of serving runs */
  KqRun *prev;
} KqServing;

struct KqRun
{
  KqJob *job;
  KqOccurrence *occurrence; /* NULL: no task needs this run any more */
  int32_t occurrence_number;
  int32_t step;
  int32_t index; /* of its task, in the step */
  uint32_t number;
  KqRunPhase phase;
  bool outcome_unknown; /* an order was not answered: it may still be carried out */
  bool order_pending;   /* the agent has an order that is not answered yet */
  bool start_in_window; /* its start order is counted in KqSched.window */
  bool resent;  /* its start order was sent more than once: one may still arrive */
  bool stopped; /* its runner has answered a stop order, and not listed the run since */
  bool untimed; /* its run time isn't that of a whole task: adopted, or resumed */
  uint64_t confirmed;    /* 1 + the agent's count of order results (KqRunnerList.order) at
                            the runner's last report of the run; 0: none. Only a list
                            requested later can show that the run is gone. */
  KqTime placed_at;      /* when the run was recorded here */
  KqTime running_at;     /* when its runner first confirmed that it runs; 0: not yet */
  KqTime last_change_at; /* last change of its progress or pace */
  KqTime retry_at;       /* when an order without an answer is due to be repeated */
  double cpu_share;      /* cpu that it asks for, divided by the runner's whole cpu */
  int percent;           /* last reported progress, as in KqRunRow */
  int load;          /* as in KqRunRow: a serving task's tail in ms, else cpu in use in
                        thousandths; -1: not reported yet */
  KqTime load_at;    /* when `load` was last reported; 0: never */
  double full_speed; /* of a filling run: time for which it would have run until load_at
                        at full speed, by its reported load */
  int pace;          /* last ordered pace, in percent */
  bool pace_unknown; /* it may have another pace: one ordered by an earlier leader, or the
                        last order may not have been carried out */
  int paces_unanswered;   /* pace orders of its agent without an outcome yet */
  KqTime paced_at;        /* when its pace was last ordered */
  KqTime pace_late_until; /* until then a pace order without an answer may be carried out,
                             after newer ones; 0: none */
  KqTime slowed_at;       /* since when its pace is below 100; 0: it isn't */
  bool in_list;           /* kq_sched_list has found it in the list that it is reading */
  KqServing *serving;     /* of a task with a latency target; else NULL */
  KqStr checkpoint;       /* the last that its runner has reported; owned; "": none */
  KqRunnerState *runner;
  KqRun *next; /* in the runner's list */
  KqRun *prev;
  KqRun *job_next; /* in the job's list */
  KqRun *job_prev;
};

struct KqRunnerState
{
  char *id;
  char *service;
  KqPool *pool;         /* the runners of its service */
  KqPoolSums counted;   /* what it adds to the sums of counted_pool */
  KqPool *counted_pool; /* NULL: not counted yet */
  bool uncounted;       /* it has changed since it was counted */
  char *address;
  char *heard_address; /* where it listed its runs last; "": it never did */
  char *domain;
  char *rack;
  char *kind;
  char *host;               /* its target host; "": not known; set by kq_hosts_set */
  KqRunnerState *host_next; /* the next runner on the same host */
  bool host_leaving;        /* the maintenance of its host may still end it; follows from
                               the phases of the waves' hosts */
  bool host_called;      /* a call to take its host down may be carried out at any time */
  bool host_waits;       /* so it is, but calls to take the host down come to nothing */
  KqRoom room;           /* its whole capacity */
  KqRoom used;           /* what runs that may exist there reserve; filling ones no cpu */
  int64_t filling_milli; /* cpu that its filling runs ask for; not in `used` */
  int64_t started_ms;    /* start of its process, Unix time; 0: not known */
  int64_t entry_started_ms;    /* as started_ms, of the process that wrote its entry */
  bool in_store;               /* it has an entry in the store now */
  bool entry_unusable;         /* the entry isn't one that a runner writes */
  bool in_stored_list;         /* it is in the stored list of runners in use */
  bool in_sent_list;           /* it is in the list that was packed last, to be stored */
  bool used_by_earlier_leader; /* an earlier leader may have started runs there */
  bool taken_down; /* its host has been taken down for maintenance, and ended its process
                    */
  bool gone;       /* taken down and unreachable: no run is left there */
  bool draining;
  bool cordoned;            /* its failure domain is: no task may start there */
  KqTime cordon_told_until; /* as cordoned, until then: an agent has refused a start */
  KqTime drain_ends;        /* while draining: it doesn't leave before this time */
  bool listed;          /* it has listed its runs to this leader since it last started */
  bool runs_known;      /* it has listed its runs to this leader at some time: since then
                           all that may exist there are in `runs` */
  bool silent;          /* its agent gets no answer from it */
  bool has_unknown_run; /* it lists a run of an unknown job, whose size is unknown */
  KqTime lease_ends;    /* latest end of a lease granted under this leader */
  KqTime earlier_lease_ends; /* as lease_ends, under earlier leaders */
  bool renewed; /* its agent may have granted leases since it was assigned: it has listed
                   the runner's runs */
  const char *lease_from; /* where that time comes from, for logs */
  bool stale_logged;      /* a message of an earlier assignment was ignored and logged */
  int unreported_checks;  /* checks since its agent's last report: sched/reports.h */
  KqTime heard_at;        /* when its last list arrived */
  int agent;              /* the agent assigned to it; -1: none */
  KqTime assigned_at;     /* when that agent was assigned */
  uint64_t assignment;    /* number of its assignment to the agent (order TAKE) */
  uint64_t ends_seen;     /* the highest KqEndRow.number in its lists */
  uint64_t ends_batch;    /* the highest whose effects are stored or in the open batch */
  uint64_t ends_marked;   /* the highest at KqSched.ends_mark */
  uint64_t ends_stored;   /* the highest whose effects are stored */
  bool watched;           /* its agent has been told to report often */
  /* Its health, by the ends of tasks there. */
  double failed_count; /* failed tasks, decaying with time */
  double done_count;   /* done tasks, decaying like failed_count */
  KqTime counts_at;    /* the time for which both counts hold */
  double slowness; /* actual divided by estimated run time of tasks; 1: like the others */
  KqTime suspect_until;  /* no task is placed there before this time */
  KqTime unsent_until;   /* no task is placed there before this time, unless it answers: a
                            start couldn't be sent */
  int suspect_times;     /* times it became suspect since a task was last done there */
  int n_runs;            /* number of all runs that may exist there */
  int n_serving;         /* number of runs of serving tasks there */
  int64_t serving_milli; /* cpu that serving tasks reserve, as a part of `used` */
  int n_lasting;         /* number of lasting tasks there that aren't filling */
  int64_t lasting_milli; /* cpu that the n_lasting tasks reserve, as a part of `used` */
  int serving_images[KQ_DISTURB_IMAGES_MAX];    /* serving tasks per image */
  double filling_shares[KQ_DISTURB_IMAGES_MAX]; /* cpu share that each image asks for */
  uint32_t filling_images; /* a bit for each image with a share above */
  KqRun *serving_runs;     /* runs of tasks with a latency target */
  uint64_t closed_pass;    /* the placing pass for which closed_to_filling was computed */
  bool closed_to_filling;  /* a serving task there is over its target for too long */
  KqTime paced_at;         /* when kq_pace_update last set paces there */
  KqReservation reservation;
  KqRun *runs;      /* all runs that may exist there */
  uint64_t number;  /* its place in the order in which runners were added */
  uint64_t changed; /* KqSched.changes at its last change that may have made room */
  KqRunnerState *changed_before; /* links of the list KqSched.changed_last */
  KqRunnerState *changed_after;
};

struct KqSched
{
  KqSchedConfig config;
  GHashTable *jobs;    /* id -> KqJob */
  size_t job_bytes;    /* that they take (job_bytes.h) */
  GHashTable *runners; /* id -> KqRunnerState */
  GHashTable *hosts;   /* target host -> KqRunnerState, the first of its runners */
  GPtrArray *runner_list;
  GPtrArray *pools;     /* KqPool */
  GPtrArray *uncounted; /* KqRunnerState: those with `uncounted` */
  KqAgents agents;
  uint64_t assignments;  /* number of assignments of runners to agents so far */
  uint64_t runners_made; /* number of runners added so far */
  KqJob *open_jobs; /* jobs that have not ended, and ended ones that still have runs */
  bool loaded;      /* everything stored has been passed in */
  bool settled; /* all runs of earlier leaders are known: see kq_runners_check_settled */
  bool pass_needed; /* something has changed that calls for a placing pass */
  bool in_pass; /* a placing pass is under way; values cached for one pass may be used */
  uint64_t passes;             /* number of placing passes so far */
  KqTime passed_at;            /* when the last one was made */
  uint64_t changes;            /* number of calls of kq_runners_note_change so far */
  KqRunnerState *changed_last; /* all runners, the last changed first */
  guint scan_from;             /* index of the runner at which the next search begins */
  bool used_runners_dirty;     /* the list of used runners, or that of agents, has changed
                                  since they were last packed */
  size_t runners_left_out;     /* of the list that was packed last: they didn't fit */
  bool assign_soon;            /* an agent may be able to take a runner that has none */
  int64_t wall_minus_now_ms;   /* Unix time less KqTime, in ms */
  KqTime started_at;
  KqTime exclusive_until; /* no other node can be leader before this time */
  bool job_held_back;     /* a job waits until no other leader is possible again */
  KqTime next_pass_at;    /* the next placing pass is due by then; 0: none is due */
  KqTime next_check_at;   /* next check of runs, leases, agents, jobs and waves */
  KqTime store_due; /* when changed progress is due to be stored; KQ_TIME_NEVER: none */
  KqTime stored_at; /* when the last batch was begun */
  bool batch_open;  /* a batch has been begun and not ended by kq_sched_stored */
  bool ends_dirty;  /* some received ends aren't covered by a batch yet */
  uint64_t dirty_count; /* how often a job has become dirty */
  uint64_t ends_mark;   /* dirty_count when all ends_marked were set; 0: they aren't */
  double slowness_mean; /* as KqRunnerState.slowness, over all runners */
  KqDisturb *disturb;
  KqEstimates *estimates; /* learned run times; NULL: switched off */
  KqWindow window;        /* of start orders */
  KqWindow list_window; /* its size bounds the runners whose first list is outstanding */
  KqTime window_logged_at;     /* time of the last log line on a closed window */
  KqTime waits_logged_at;      /* time of the last log lines on what tasks wait for */
  uint64_t load_number;        /* KqLoadDigest.number of the last pass; 0: unknown */
  KqTime load_at;              /* time of the last pass */
  uint64_t steps_idle;         /* KqWaits.n_idle of the last pass */
  GHashTable *grantors;        /* name -> KqGrantor */
  GHashTable *granted_until;   /* runner id -> latest end (KqTime) of the leases that
                                  agents have reported: sched/grantors.h */
  bool grantors_complete;      /* they are all that may have granted leases that last */
  bool earlier_grantors_known; /* those of earlier leaders are known, and their leases
                                  aren't applied yet (kq_grantors_apply) */
  GPtrArray *waves;            /* KqWave */
  bool waves_dirty;            /* their progress differs from what was packed last */
  bool waves_unreadable;       /* their stored record can't be read, nor replaced */
  GPtrArray *batch;            /* KqJob: those in the batch that is being stored */
  KqRefusals *refusals;        /* jobs refused for load */
  GHashTable *advice_times;    /* queue -> KqAdviceTimes */
  uint64_t jobs_added;         /* number of jobs added since `loaded` */
  /* Counters; make_counters has their names and help texts. */
  uint64_t *starts;
  uint64_t *runners_examined; /* runners examined by searches for a task's runner */
  uint64_t *ends[6];          /* listed ends of runs, by KqEndReason */
  uint64_t *results[10];      /* results of orders, by KqOrderResult */
  uint64_t *runs_lost;
  uint64_t *stops_stalled;
  uint64_t *stops_drain;
  uint64_t *leases_expired;
  uint64_t *no_room;
  uint64_t *pace_orders;
  uint64_t *advices[3]; /* answers, by KqAdviceResult */
  uint64_t *returns;    /* jobs with KqJob.returned */
  KqHistogram first_start;
  KqHistogram job_time;
  KqHistogram start_answer;
};

/* book.c */
/* The job with that id; NULL: none. */
KqJob *kq_book_find (const KqSched *s, KqStr id);
/* A task found by its name, "job.occurrence.step.index". */
typedef struct
{
  KqJob *job;
  KqOccurrence *occurrence; /* NULL: it is completed, or not created yet */
  int32_t occurrence_number;
  int32_t step;
  int32_t index;
} KqTaskRef;
/* Finds a task by its name. False: there is no such job, step or index. */
bool kq_book_find_task (const KqSched *s, KqStr name, KqTaskRef *out);
void kq_book_task_name (const KqRun *r, char out[96]);
/* The state of the run's task; NULL: no task needs the run any more. */
KqTaskState *kq_book_task_state (const KqRun *r);
/* Whether the task's run with that number has been counted as failed. */
bool kq_book_run_has_failed (const KqTaskState *t, uint32_t run);
/* Notes that a task of the step failed on the runner, after `ran` there. Returns whether
 * that speaks against the runner rather than the step. */
bool kq_book_failure_blames_runner (KqStepState *st, KqRunnerState *r, KqTime ran);
/* Records a failed run, with no further effect on task or job. */
void kq_book_add_failure (KqTaskState *t, uint32_t run);
KqOccurrence *kq_book_add_occurrence (KqJob *j, int32_t number, KqTime due_at);
/* Opens the steps whose earlier steps are done, and updates the critical path. */
void kq_book_open_steps (KqOccurrence *o);
/* The time within which each occurrence of the job should complete, as the scheduler
 * judges it: with learned run times, or the declared objective. */
int64_t kq_book_objective_ms (const KqJob *j);
/* Sets the job's objective by what has been learned so far. */
void kq_book_start_objective (KqJob *j);
/* Updates the job's objective and critical paths if learned run times have changed. */
void kq_book_update_estimates (KqJob *j);
/* Counts the task as done. If it was the last of its occurrence, frees that occurrence,
 * and ends the job if it was the last occurrence. */
void kq_book_finish_task (KqSched *s, KqOccurrence *o, int32_t step, int32_t index,
                          KqTime now);
/* Counts a failed run of the task, once per run; ends the job after too many attempts.
 * Lasting tasks count no failures. `where` is avoided next time; NULL: unknown. */
void kq_book_fail_task (KqSched *s, KqOccurrence *o, int32_t step, int32_t index,
                        uint32_t run, KqRunnerState *where, KqTime now);
/* Notes that a runner has begun a task of the job: a start that was ordered may come to
 * nothing. */
void kq_book_mark_begun (KqJob *j);
/* Notes that a task of a lasting step runs for the first time. This is stored, since a
 * later leader must know which waiting tasks have lost their runner. */
void kq_book_mark_has_run (KqSched *s, KqJob *j, KqTaskState *t, KqTime now);
/* Whether a lasting task that has run before is waiting. */
bool kq_book_has_lost_waiting (const KqStepState *st, const KqStep *p);
/* Notes that a checkpoint is to be stored. */
void kq_book_note_checkpoint (KqSched *s, KqJob *j, KqTime now);
/* Ends the job in that state, stops its runs and frees its occurrences; does nothing if
 * it has ended already. */
void kq_book_end_job (KqSched *s, KqJob *j, KqJobState state, KqTime now);
/* Creates the job's occurrences whose time has come. */
void kq_book_create_due (KqSched *s, KqJob *j, KqTime now);
/* Creates a listed task's occurrence if it isn't due by this host's clock: it was by that
 * of the leader that started the task. */
void kq_book_create_listed (KqSched *s, KqTaskRef *t, KqTime now);
void kq_book_job_free (KqJob *j);
/* Takes the job out of the list of open jobs. */
void kq_book_unlink (KqSched *s, KqJob *j);
/* Removes and frees the job, which has no runs. */
void kq_book_forget (KqSched *s, KqJob *j);

/* runs.c */
/* The run numbers of term N begin above N - 1 times this. A task is started so often in
 * one term only if runners go on refusing it. */
#define KQ_RUNS_PER_TERM 1000
/* Records a new run on the runner and reserves its room; sends no order. It becomes the
 * current run of its task in `o`; NULL: no task needs it. Owned by the runner. */
KqRun *kq_run_new (KqSched *s, KqJob *j, KqOccurrence *o, int32_t step, int32_t index,
                   KqRunnerState *r, uint32_t number, KqTime now);
/* Removes a run that has ended or was never begun, and frees its room. Its task waits
 * again if this was the task's current run. */
void kq_run_end (KqSched *s, KqRun *run, KqTime now);
/* Sends the run's start order, or repeats it; does nothing without an agent. */
void kq_run_send_start (KqSched *s, KqRun *run, KqTime now);
/* Notes that an unanswered order of the run won't be answered: it may or may not be
 * carried out. */
void kq_run_mark_orders_lost (KqSched *s, KqRun *run);
/* Removes the run's start order from the window, as it has been answered or won't be. */
void kq_run_leave_window (KqSched *s, KqRun *run);
/* Whether the run may be stopped without exceeding max_unavailable, the number of tasks
 * of its step that may be away at once because of the scheduler. */
bool kq_run_may_interrupt (const KqRun *run);
/* As above, of all runs of the step on its runner at once. Those whose start or stop has
 * no answer may be at work, so they count as ended by it. */
bool kq_run_may_end_with_runner (const KqRun *run);
/* Sends the first stop order and logs `why`; the room is reserved until kq_run_end. */
void kq_run_stop (KqSched *s, KqRun *run, const char *why, KqTime now);
/* Sends the run's stop order, or repeats it; does nothing without an agent. */
void kq_run_send_stop (KqSched *s, KqRun *run, KqTime now);
/* Orders a pace, in percent of full speed, unless a running run has it already. */
void kq_run_set_pace (KqSched *s, KqRun *run, int percent, KqTime now);
/* Whether the run's pace must be ordered again, even if it stays the same. */
bool kq_run_pace_is_doubtful (const KqRun *run, KqTime now);
/* Takes the result of a pace order. */
void kq_run_pace_answered (KqRun *run, KqOrderResult result);
/* Stores a reported checkpoint; an empty one is ignored. */
void kq_run_set_checkpoint (KqRun *run, KqStr checkpoint);
const KqStep *kq_run_step (const KqRun *run);
bool kq_run_is_serving (const KqRun *run); /* not filling, has a latency target */
/* The number of the run's image in the disturbance model; -1: none. */
int kq_run_image (const KqRun *run);
/* Stops all runs of the job, which has ended. */
void kq_run_stop_all (KqSched *s, KqJob *j, KqTime now);

/* runners.c */
/* Notes a change that may have made room on the runner: waiting steps that found none
 * search it again. What changes with time alone is found by occasional searches of all
 * runners. */
void kq_runners_note_change (KqSched *s, KqRunnerState *r);
/* The runner with that id; NULL: none. */
KqRunnerState *kq_runners_find (const KqSched *s, KqStr id);
/* Whether runs of this leader may be on the runner, or may be started there. */
bool kq_runners_may_run (const KqRunnerState *r);
/* Notes that the runner's host has been taken down. Once the runner is unreachable as
 * well, its runs are ended without waiting for its lease. */
void kq_runners_note_taken_down (KqSched *s, KqStr id, KqTime now);
/* The length of a lease by the slowest clock that is allowed for. */
KqTime kq_runners_longest_lease (const KqSched *s);
/* Latest end of a lease granted by an agent from which this leader gets no reports: one
 * of an earlier leader, or one that was lost or replaced now. Such an agent goes on
 * renewing for renew_without_leader_ms. */
KqTime kq_runners_latest_unseen_lease_end (const KqSched *s, KqTime now);
/* Latest end of a lease granted by an agent that granted its last one before now. */
KqTime kq_runners_released_lease_end (const KqSched *s, KqTime now);
/* The latest time at which a run may still exist on the runner. */
KqTime kq_runners_lease_end (const KqRunnerState *r);
/* Where it comes from, for logs. */
const char *kq_runners_lease_from (const KqRunnerState *r);
/* Whether that time is over, and no agent can be renewing the lease. */
bool kq_runners_lease_is_over (const KqRunnerState *r, KqTime now);
/* Notes that the runner has listed its runs at its present address. */
void kq_runners_note_heard (KqRunnerState *r);
/* Notes that a process of the runner is there which no maintenance has ended. */
void kq_runners_note_alive (KqRunnerState *r);
/* Notes that a run may exist on the runner until `ends`, unless a later time is known.
 * `from` says where that time comes from, for logs, and must stay valid. */
void kq_runners_extend_lease (KqRunnerState *r, KqTime ends, const char *from);
/* Takes the runner from its agent. may_renew: until the order arrives or it counts the
 * leader as lost, the agent goes on renewing the lease; its last lists may be in flight.
 */
void kq_runners_drop_agent (KqSched *s, KqRunnerState *r, bool may_renew, KqTime now);
/* Ends or stops the runs from before a restart of the runner, which was noticed by a list
 * that its agent requested after sending `order` results. */
void kq_runners_handle_restart (KqSched *s, KqRunnerState *r, uint64_t order, KqTime now);
/* Tells the runner's agent which ends are stored, and whether to report often. */
void kq_runners_acknowledge (const KqSched *s, const KqRunnerState *r);
/* Ends the runs on runners whose lease has expired, and frees runners that are no longer
 * in the store and hold no run. */
void kq_runners_check_leases (KqSched *s, KqTime now);
/* Assigns runners without an agent to agents, and moves some from overloaded agents. */
void kq_runners_assign (KqSched *s, KqTime now);
/* settle.c */
/* The first runner whose runs of earlier leaders aren't accounted for; NULL: none. */
const KqRunnerState *kq_runners_first_unaccounted (const KqSched *s, KqTime now);
/* Sets KqSched.settled once all runs of earlier leaders are accounted for. */
void kq_runners_check_settled (KqSched *s, KqTime now);

/* suspects.c */
/* Counts a task that has ended on the runner, done or failed; after too many failures the
 * runner isn't used for a while. */
void kq_runners_count_end (KqRunnerState *r, bool done, KqTime now);
/* Whether tasks have failed there lately, though not enough to make it suspect. */
bool kq_runners_is_unreliable (const KqRunnerState *r, KqTime now);

/* runners.c */
void kq_runners_free (KqRunnerState *r);

/* pools.c */
GPtrArray *kq_pools_new (void);
/* The pool of a service, created if there is none. Owned by the scheduler. */
KqPool *kq_pools_get (KqSched *s, KqStr service);
/* Notes that something has changed which counts in the sums of the runner's pool: its
 * room, what is reserved of it, or whether it may be used. */
void kq_pools_note_change (KqSched *s, KqRunnerState *r);
/* Takes a runner out that is about to be freed. */
void kq_pools_remove_runner (KqSched *s, KqRunnerState *r);
/* Starts a placing pass: brings the sums of each service's runners up to date. */
void kq_pools_begin_pass (KqSched *s);
/* Adds n waiting tasks of the step to the pool's demand. */
void kq_pools_add_waiting (KqPool *pool, const KqStep *p, int32_t n);
/* Updates each pool's peak of demand and the cpu kept free of lasting tasks. Call after
 * kq_pools_add_waiting for all waiting tasks. */
void kq_pools_update_kept_free (KqSched *s, KqTime now);
/* Whether a lasting task on the runner leaves enough cpu free of lasting tasks. */
bool kq_pools_may_place_lasting (const KqRunnerState *r);
/* Whether no more than about half of the service's cpu is reserved, of the usable runners
 * or of all. */
bool kq_pools_is_half_free (const KqPool *p);
/* Counts a lasting task with that cpu that has been placed on the runner. */
void kq_pools_count_lasting (const KqRunnerState *r, int32_t cpu_milli);

/* pass.c */
/* Makes one placing pass: starts the waiting tasks for which there is room. */
void kq_pass (KqSched *s, KqTime now);

/* watch.c */
/* Checks all runs: repeats orders, stops stalled tasks and those whose runner leaves. */
void kq_watch_progress (KqSched *s, KqTime now);

/* learn.c: learns the run times of tasks (estimates.h) from runners' reports. */
/* Takes the load that the run's runner has reported: KqRun.load, just set. */
void kq_learn_report (KqRun *run, KqTime now);
/* Notes that the runner hasn't been heard for a while: when its runs ended isn't known.
 */
void kq_learn_skip (const KqRunnerState *r);
/* Takes the end of a run whose task is done. */
void kq_learn_done (KqSched *s, const KqRun *run, KqTime now);
/* Sets the gauges of learned run times. */
void kq_learn_gauges (KqSched *s);

/* pace.c */
/* Learns from the reports in the runner's last list (harm.h), then sets the paces of its
 * filling tasks. Call after each list; calls that follow too soon do nothing. */
void kq_pace_update (KqSched *s, KqRunnerState *r, KqTime now);
/* Sets the runner's filling tasks to full speed; for one without serving tasks. */
void kq_pace_release (KqSched *s, const KqRunnerState *r, KqTime now);
/* Sets the paces of the runner's filling tasks by what was learned so far. */
void kq_pace_set (KqSched *s, KqRunnerState *r, KqTime now);

/* progress.c */
/* Appends the job's progress in its stored form. */
void kq_progress_pack (const KqJob *j, KqBuf *out);
/* Restores a job's progress from its stored form. False: it can't be read. */
bool kq_progress_apply (KqSched *s, KqJob *j, KqStr stored, KqTime now);

#endif
