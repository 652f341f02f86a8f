#ifndef KQ_SCHED_SCHED_H
#define KQ_SCHED_SCHED_H

/* sched: the leader's scheduling of jobs, which consist of steps, which consist of tasks:
 * which task runs next, on which runner, and what the runners' reports mean for it.
 *
 * It has no sockets, no clock and no store. Inputs are function calls with the present
 * time; orders are passed to a callback. All state can be rebuilt from the store (jobs,
 * cancellations, progress) and from the runners' own lists of runs, so that a new leader
 * can take over after any failure.
 *
 * A task is named "job.occurrence.step.index". Each run of a task has a number that rises
 * with each start; the numbers of a later term are higher than all of an earlier one. */

#include "base/counter.h"
#include "port/advice.h"
#include "port/maintenance.h"
#include "port/runner.h"
#include "sched/agents.h"
#include "sched/features.h"
#include "sched/load_account.h"
#include "sched/refusals.h"
#include "steps/cordons.h"
#include "steps/queues.h"
#include "steps/spec.h"

typedef struct KqSched KqSched;

/* A job's state as reported to its client account. */
typedef enum
{
  KQ_JOB_WAITING, /* accepted, no task has started */
  KQ_JOB_RUNNING,
  KQ_JOB_COMPLETED,
  KQ_JOB_FAILED,
  KQ_JOB_CANCELLED,
  KQ_JOB_UNKNOWN
} KqJobState;

const char *kq_job_state_name (KqJobState s);

typedef enum
{
  KQ_ORDER_TAKE,  /* the agent takes over this runner */
  KQ_ORDER_DROP,  /* the agent releases it */
  KQ_ORDER_START, /* start a run */
  KQ_ORDER_STOP,
  KQ_ORDER_PACE,
  KQ_ORDER_SEEN,   /* acknowledges the ends of runs up to a number: they are stored */
  KQ_ORDER_ADVISE, /* ask the advice service about a step; runner is "" */
  KQ_ORDER_RENEW   /* grant leases again: the list with that halt number was processed */
} KqOrderKind;

/* The kind's name, for logs. */
const char *kq_order_kind_name (KqOrderKind k);

typedef struct
{
  KqOrderKind kind;
  KqStr runner; /* id */
  union
  {
    struct
    {
      KqStr address;
      KqStr failure_domain;
      uint64_t assignment; /* assignment number, carried by the agent's messages */
    } take;
    struct
    {
      KqStr task;
      uint32_t run;
      KqStr text;
      KqStr checkpoint;
      KqStr ticket;
    } start;
    struct
    {
      KqStr task;
      uint32_t run;
    } stop;
    struct
    {
      KqStr task;
      uint32_t run;
      int percent;
    } pace;
    struct
    {
      uint64_t ends;
      int64_t started_ms; /* start of the runner process that counted them */
      bool watched;       /* report often, as serving and other tasks share the runner */
    } seen;
    struct
    {
      KqStr step;           /* job.occurrence.step */
      const KqStr *runners; /* ids */
      size_t n_runners;
      int64_t wait_ms;  /* for the answer; 0: not given, by a leader of an earlier
                           version */
      uint64_t request; /* its number; the answer has it, too */
    } advise;
    struct
    {
      uint64_t halt; /* the halt of the list */
    } renew;
  } u;
} KqOrder;

/* The advice service's answer to a request for one step. */
typedef struct
{
  KqStr step; /* job.occurrence.step */
  KqAdviceReply reply;
  uint64_t request;   /* number of the request; 0: from an agent of an earlier version */
  int64_t service_ms; /* time that the service took; 0: not known */
  int64_t elapsed_ms; /* from the order's arrival at the agent to the answer */
} KqStepAdvice;

/* The result of an order to a runner, from its agent. Results and lists of one runner
 * arrive in the order in which the agent sent them; `order` counts its results. */
typedef struct
{
  KqOrderKind kind; /* START, STOP or PACE */
  KqStr task;
  uint32_t run;
  KqOrderResult result;
  bool unsent; /* UNHEALTHY: the order never left the agent; the runner hasn't refused it
                */
  bool cordoned; /* with unsent: as the runner's failure domain is cordoned */
  uint64_t order;
  uint64_t assignment;   /* number in the order TAKE; `order` counts from 0 after each */
  int64_t lease_left_ms; /* as in KqRunnerList; a restarted runner may grant more; -1:
                            unknown */
} KqOrderOutcome;

/* A runner's list of its runs, from its agent. */
typedef struct
{
  int64_t started_ms;    /* start of the runner process, Unix time; 0: not given */
  int64_t lease_left_ms; /* time left of the granted lease, adjusted for clock error */
  uint64_t
      order; /* number of results that the agent had sent when it requested the list */
  uint64_t assignment; /* number in the order TAKE */
  uint64_t halt; /* not 0: no lease is granted until an order RENEW with this number */
  const KqRunRow *running;
  size_t n_running;
  const KqEndRow *ended;
  size_t n_ended;
  bool more_ended; /* the runner has further ends: lists that follow have them */
} KqRunnerList;

/* A lease that an agent has granted. */
typedef struct
{
  KqStr runner;
  int64_t left_ms; /* it may last this much longer */
} KqGrantRow;

/* What an agent that has connected knows of leases granted by its node before. */
typedef struct
{
  int64_t process_age_ms; /* its earlier processes have granted none since */
  const KqGrantRow *rows;
  size_t n_rows;
} KqGrantList;

typedef struct
{
  uint64_t
      epoch; /* fencing token; jobs with a higher store revision can't have run before */
  uint32_t term;                   /* number of this leader, from 1 */
  int64_t lease_ms;                /* length of a runner's lease */
  int64_t renew_without_leader_ms; /* for so long an agent renews leases after losing its
                                      leader */
  int64_t maintenance_ms;          /* how long a host is down for maintenance */
  int64_t keep_ms;                 /* for so long a finished job's state is kept */
  size_t job_bytes_max;            /* memory that jobs may take; 0: not limited */
  KqSchedFeatures features;
  const KqCordons *cordons; /* nothing is started in these domains, or anywhere before the
                               set is complete; NULL: none are cordoned */
  KqCounters *counters;
  void (*order) (void *arg, int agent, const KqOrder *o);
  /* The queue in the present configuration; NULL: there is none of that name. May be NULL
   * itself. */
  const KqQueue *(*queue) (void *arg, KqStr name);
  /* Takes a host down; kq_sched_maintenance_ended reports the result. NULL: there is no
   * control plane, and waves wait. */
  void (*maintenance) (void *arg, KqStr host, int64_t wave);
  void *arg;
} KqSchedConfig;

/* Memory that further jobs may take; -1: not limited. See job_bytes.h. */
int64_t kq_sched_job_bytes_free (const KqSched *s);

KqSched *kq_sched_new (const KqSchedConfig *c, KqTime now);
void kq_sched_free (KqSched *s);

/* Adds a job in its stored form (kq_spec_pack); one that is known is left alone. False:
 * it can't be read. */
bool kq_sched_add_job (KqSched *s, KqStr stored, uint64_t revision, KqTime now);
/* Cancels the job: stops its runs; does nothing if it is unknown or has ended. */
void kq_sched_cancel (KqSched *s, KqStr id, KqTime now);
/* Restores a job's progress that an earlier leader stored. False: it can't be read. */
bool kq_sched_apply_progress (KqSched *s, KqStr id, KqStr stored, KqTime now);
/* Restores the list of runners that earlier leaders used (kq_sched_used_runners_pack).
 * False: it can't be read. */
bool kq_sched_used_runners (KqSched *s, KqStr stored, KqTime now);
/* Restores the list of agents that earlier leaders used (kq_sched_used_agents_pack).
 * False: it can't be read. */
bool kq_sched_used_agents (KqSched *s, KqStr stored, KqTime now);
/* Restores the disturbance model of an earlier leader (kq_sched_learned_pack); before any
 * job. False: it can't be read. */
bool kq_sched_learned (KqSched *s, KqStr stored);
/* Appends the disturbance model in its stored form. */
void kq_sched_learned_pack (const KqSched *s, KqBuf *out);
/* Restores the learned run times of an earlier leader (kq_sched_estimates_pack); before
 * any job. False: they can't be read. */
bool kq_sched_estimates (KqSched *s, KqStr stored);
/* Whether run times have been learned that aren't stored. */
bool kq_sched_estimates_pending (const KqSched *s);
/* Appends the learned run times in their stored form; only while they are pending. */
void kq_sched_estimates_pack (KqSched *s, KqBuf *out);
/* Notes that what was packed last has been stored. */
void kq_sched_estimates_stored (KqSched *s);
/* To be called once everything stored has been passed in; scheduling begins. */
void kq_sched_loaded (KqSched *s, KqTime now);

/* Sets the time until which no other node can be leader; KQ_TIME_NEVER at first. Once it
 * has passed another leader may have renewed leases, so no lease counts as expired. */
void kq_sched_set_exclusive_until (KqSched *s, KqTime until);

/* Adds a runner, or updates it, by its entry in the store. */
void kq_sched_entry (KqSched *s, const KqRunnerEntry *e, KqTime now);
/* Notes that the runner's entry can't be used: it gets no more tasks until there is one
 * that can, and nothing else that is known of it changes. */
void kq_sched_entry_unusable (KqSched *s, KqStr id, KqTime now);
/* Notes that the runner's entry is gone from the store: it gets no more tasks. */
void kq_sched_entry_gone (KqSched *s, KqStr id, KqTime now);

/* Adds an agent that has connected; returns its number. */
int kq_sched_agent_up (KqSched *s, const KqAgentInfo *info, KqTime now);
/* The share of a processor that the agent has for its calls, in thousandths. */
int kq_sched_agent_share (const KqSched *s, int agent);
/* The agent of that name that is up; -1: none. */
int kq_sched_agent_find (const KqSched *s, KqStr name);
/* Takes out an agent that has disconnected. planned: its node has announced that it
 * stops, so the agent doesn't count as lost. */
void kq_sched_agent_down (KqSched *s, int agent, bool planned, KqTime now);
/* Whether an agent has gone down unplanned under this leader and isn't up again. */
bool kq_sched_agents_lost (const KqSched *s);

/* kq_sched_list takes a runner's list of runs from its agent, kq_sched_outcome the result
 * of an order to the runner. Both messages carry the number of the runner's assignment to
 * the agent; those of an earlier assignment may arrive late and are ignored. */
void kq_sched_list (KqSched *s, int agent, KqStr runner, const KqRunnerList *l,
                    KqTime now);
void kq_sched_outcome (KqSched *s, int agent, KqStr runner, const KqOrderOutcome *o,
                       KqTime now);
/* Takes a report that the agent gets no answer from the runner; the lease that it granted
 * ends in lease_left_ms. */
void kq_sched_unreached (KqSched *s, int agent, KqStr runner, uint64_t assignment,
                         int64_t lease_left_ms, KqTime now);

/* Takes an agent's report of the leases that it has granted under earlier leaders; it has
 * released all runners before. */
void kq_sched_grants (KqSched *s, int agent, const KqGrantList *l, KqTime now);

/* Takes the answer to an order KQ_ORDER_ADVISE. */
void kq_sched_advice (KqSched *s, int agent, const KqStepAdvice *a, KqTime now);

/* Takes a report that another runner answers at this one's address. If this one has
 * listed its runs there, its process is gone, and all its runs with it; else it is
 * unreached. */
void kq_sched_runner_replaced (KqSched *s, int agent, KqStr runner, uint64_t assignment,
                               int64_t lease_left_ms, KqTime now);

/* To be called when the set of cordons has changed. */
void kq_sched_cordons_changed (KqSched *s, KqTime now);

/* Adds a maintenance wave that operators have requested; does nothing if it is known. */
void kq_sched_wave (KqSched *s, const KqWaveInfo *info, KqTime now);
/* Takes the result of a call that was made through KqSchedConfig.maintenance. */
void kq_sched_maintenance_ended (KqSched *s, int64_t wave, KqStr host,
                                 KqMaintenanceResult result, KqTime now);
/* Whether the progress of the waves has changed since it was last packed. */
bool kq_sched_waves_pending (const KqSched *s);
/* Appends the progress of the waves in its stored form, for the next leader. */
void kq_sched_waves_pack (KqSched *s, KqBuf *out);
/* Notes that what was packed last is stored now. A host is taken down only after that. */
void kq_sched_waves_written (KqSched *s);
/* Notes that what was packed last could not be stored: it counts as changed again. */
void kq_sched_waves_failed (KqSched *s);
/* Calls `take` for each requested wave, for the status that operators see. */
void kq_sched_waves_each (const KqSched *s,
                          void (*take) (void *arg, int64_t number, bool completed),
                          void *arg);
/* Reads what an earlier leader has packed; to be called before any wave is added. False:
 * it can't be read, and then nothing is packed that would replace it. */
bool kq_sched_waves_stored (KqSched *s, KqStr stored, KqTime now);

/* Makes all decisions that are due and returns the time of the next ones; to be called
 * after inputs, and at the time that it returned. wall_ms is Unix time. */
KqTime kq_sched_run (KqSched *s, KqTime now, int64_t wall_ms);

/* Whether all runs of earlier leaders are accounted for: until then their jobs wait. */
bool kq_sched_settled (const KqSched *s);
/* The job's state for its client account; an end shows only once it is stored. */
KqJobState kq_sched_state (const KqSched *s, KqStr id);
/* The number of jobs in the queue that were accepted and have not started a task yet. */
int64_t kq_sched_waiting (const KqSched *s, KqStr queue);
/* The texts for operators end behind the line that passes so many bytes. */
#define KQ_EXPLAIN_BYTES_MAX 15000
/* Appends lines of text for operators on what the job waits for. */
void kq_sched_explain (const KqSched *s, KqStr id, KqTime now, KqBuf *out);
/* Gives the load account of the last pass. The services' names are valid as long as the
 * scheduler. */
void kq_sched_load (const KqSched *s, KqTime now, KqLoadDigest *out);
/* The jobs refused for load, which the caller records. Owned by the scheduler. */
KqRefusals *kq_sched_refusals (const KqSched *s);
/* The number of jobs that this leader has learned of since it had loaded the stored ones.
 */
uint64_t kq_sched_jobs_added (const KqSched *s);
/* Appends a line of text for operators on each cordon, or that there is none. */
void kq_sched_explain_cordons (const KqSched *s, KqTime now, KqBuf *out);
/* When the last placing pass was made, which kq_sched_load tells of; 0: none yet. */
KqTime kq_sched_passed_at (const KqSched *s);
/* Sets the gauges among the counters to the present numbers of jobs, runs and runners. */
void kq_sched_gauges (KqSched *s);
/* Whether the sums over runners that the scheduler keeps equal those of a new count. For
 * tests, as it takes a walk over all runners. */
bool kq_sched_sums_are_exact (const KqSched *s);

/* A job's progress to be stored. It must be in the store before runners may forget the
 * ends of runs that led to it. */
typedef struct
{
  KqStr id;
  KqStr value; /* "" with remove */
  bool remove; /* the job is no longer kept: all its keys are deleted */
} KqProgress;

/* Begins a batch of up to `max` rows, of which one with `remove` counts for three;
 * returns their number, 0 if there is nothing to store. The values are valid until
 * kq_sched_stored. One batch is open at a time. */
size_t kq_sched_store_begin (KqSched *s, KqProgress *rows, size_t max, KqTime now);
/* Ends the batch. whole: it has been stored; if not, its rows are returned again. */
void kq_sched_stored (KqSched *s, bool whole, KqTime now);
/* The state in a job's stored progress; KQ_JOB_UNKNOWN: it can't be read, KQ_JOB_RUNNING:
 * the job hasn't ended. */
KqJobState kq_sched_stored_state (KqStr stored);
/* When the next batch is due; KQ_TIME_NEVER: nothing to store. */
KqTime kq_sched_store_due (const KqSched *s);
/* The functions below concern the list of used runners: those on which runs of this
 * leader may exist. A runner gets its first order only when it is in the stored list. */

/* Whether the list has changed since it was last packed. */
bool kq_sched_used_runners_pending (const KqSched *s);
/* Appends the list in its stored form. False: it hasn't changed, nothing is appended. */
bool kq_sched_used_runners_pack (KqSched *s, KqBuf *out);
/* Appends the list of agents in its stored form: those that may have granted leases that
 * last. To be stored together with the list of runners, whenever that is packed. */
void kq_sched_used_agents_pack (KqSched *s, KqBuf *out);
/* Notes that the lists packed last have been stored: orders to their runners and agents
 * may be given. */
void kq_sched_used_runners_stored (KqSched *s);

#endif
