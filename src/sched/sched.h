#ifndef KQ_SCHED_SCHED_H
#define KQ_SCHED_SCHED_H

/* sched: the leader's decisions on jobs of steps: what runs next, where, and what a
 * runner's word means for it.
 *
 * Pure: no socket, no clock, no store. Inputs are calls with the present time, orders
 * leave through a sink. All state can be rebuilt from the store (jobs, cancellations,
 * progress) and from the runners' own lists, so that a new leader takes over after any
 * loss.
 *
 * A task is named "job.occurrence.step.index". A run of a task has a number that rises
 * with each start; runs of a later term are higher than all of an earlier one. */

#include "base/counter.h"
#include "port/advice.h"
#include "port/maintenance.h"
#include "port/runner.h"
#include "sched/agents.h"
#include "steps/spec.h"

typedef struct KqSched KqSched;

/* What a client account is told of a job. */
typedef enum
{
  KQ_JOB_WAITING, /* accepted, no task has begun */
  KQ_JOB_RUNNING,
  KQ_JOB_COMPLETED,
  KQ_JOB_FAILED,
  KQ_JOB_CANCELLED,
  KQ_JOB_UNKNOWN
} KqJobState;

const char *kq_job_state_name (KqJobState s);

typedef enum
{
  KQ_ORDER_TAKE,  /* look after this runner from now on */
  KQ_ORDER_DROP,  /* and no longer */
  KQ_ORDER_START, /* begin a run */
  KQ_ORDER_STOP,
  KQ_ORDER_PACE,
  KQ_ORDER_SEEN,   /* ends up to a number are in the store */
  KQ_ORDER_ADVISE, /* ask the advice service about a step; runner is "" */
  KQ_ORDER_RENEW   /* the list with that halt has been taken in: grant leases again */
} KqOrderKind;

/* For logs. */
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
      uint64_t taking; /* what the agent tells of the runner carries it */
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
      int64_t born_ms; /* the runner's life in which they were counted */
      bool watched;    /* serving tasks share the runner: report often */
    } seen;
    struct
    {
      KqStr step;           /* job.occurrence.step */
      const KqStr *runners; /* ids */
      size_t n_runners;
    } advise;
    struct
    {
      uint64_t halt; /* as listed */
    } renew;
  } u;
} KqOrder;

/* What an agent was told about a step. */
typedef struct
{
  KqStr step;
  KqAdviceReply reply;
} KqStepAdvice;

/* How an order to a runner ended, by its agent. Results and lists of one runner arrive in
 * the order in which the agent gave them; `order` counts its results. */
typedef struct
{
  KqOrderKind kind; /* START, STOP or PACE */
  KqStr task;
  uint32_t run;
  KqOrderResult result;
  uint64_t order;
  uint64_t taking; /* of the order TAKE; `order` counts anew with each */
  int64_t
      lease_left_ms; /* as in a list: the answer may come from a new life; -1: unknown */
} KqOrderOutcome;

typedef struct
{
  int64_t born_ms;
  int64_t lease_left_ms; /* until the lease granted ends, on a sound clock's time */
  uint64_t order;        /* results given before the question for this list left */
  uint64_t taking;
  uint64_t halt; /* not 0: no lease is granted until an order RENEW says so */
  const KqRunRow *running;
  size_t n_running;
  const KqEndRow *ended;
  size_t n_ended;
  bool ended_cut;
} KqRunnerList;

typedef struct
{
  uint64_t epoch; /* also the fencing token; jobs stored after it can't have run before */
  uint32_t term;  /* counts leaders from 1 */
  int64_t lease_ms; /* of runners */
  int64_t blind_ms; /* an agent that has lost its leader goes on renewing for so long */
  int64_t maintenance_ms; /* a host stays down for so long */
  int64_t keep_ms;        /* a finished job's state is told for so long */
  KqCounters *counters;
  void (*order) (void *arg, int agent, const KqOrder *o);
  /* Takes a host down; kq_sched_maintenance_ended tells how it ended. NULL: there is no
   * control plane, waves wait. */
  void (*maintenance) (void *arg, KqStr host, int64_t wave);
  void *arg;
} KqSchedConfig;

KqSched *kq_sched_new (const KqSchedConfig *c, KqTime now);
void kq_sched_free (KqSched *s);

/* A job as stored (kq_spec_pack); known ids are left alone. False: not readable. */
bool kq_sched_job (KqSched *s, KqStr stored, uint64_t revision, KqTime now);
void kq_sched_cancel (KqSched *s, KqStr id, KqTime now);
/* Progress as stored by an earlier leader. */
bool kq_sched_progress (KqSched *s, KqStr id, KqStr stored, KqTime now);
/* The runners that earlier leaders used (kq_sched_known_pack). */
bool kq_sched_known (KqSched *s, KqStr stored, KqTime now);
/* What an earlier leader has learned (kq_sched_learned_pack); before any job. */
bool kq_sched_learned (KqSched *s, KqStr stored);
void kq_sched_learned_pack (const KqSched *s, KqBuf *out);
/* Everything stored has been told: decisions may begin. */
void kq_sched_loaded (KqSched *s, KqTime now);

/* Nobody else can lead until then; KQ_TIME_NEVER at first. Later, another leader may
 * renew leases whose end we have heard of, so none is counted as over. */
void kq_sched_lead_until (KqSched *s, KqTime until);

void kq_sched_entry (KqSched *s, const KqRunnerEntry *e, KqTime now);
void kq_sched_entry_gone (KqSched *s, KqStr id, KqTime now);

/* The agents that carry out orders; returns the agent's number. */
int kq_sched_agent_up (KqSched *s, const KqAgentInfo *info, KqTime now);
/* The agent of that name that is up; -1: none. */
/* The part of a processor that its node has, in thousandths. */
int kq_sched_agent_share (const KqSched *s, int agent);
int kq_sched_agent_find (const KqSched *s, KqStr name);
/* planned: it has stopped as it said before, and isn't missed. */
void kq_sched_agent_down (KqSched *s, int agent, bool planned, KqTime now);
/* Some agent has gone down unplanned in our time and isn't up again. */
bool kq_sched_agents_lost (const KqSched *s);

/* What an agent tells of a runner names its taking. Words of an earlier one may arrive
 * late, and count for nothing. */
void kq_sched_list (KqSched *s, int agent, KqStr runner, const KqRunnerList *l,
                    KqTime now);
void kq_sched_outcome (KqSched *s, int agent, KqStr runner, const KqOrderOutcome *o,
                       KqTime now);
/* The agent gets no answer; the lease it granted ends in lease_left_ms. */
void kq_sched_unreached (KqSched *s, int agent, KqStr runner, uint64_t taking,
                         int64_t lease_left_ms, KqTime now);

/* The answer to an order KQ_ORDER_ADVISE. */
void kq_sched_advice (KqSched *s, int agent, const KqStepAdvice *a, KqTime now);

/* Another runner answers at its address: that life is over, and all that ran in it. */
void kq_sched_runner_over (KqSched *s, int agent, KqStr runner, uint64_t taking,
                           KqTime now);

/* A wave of maintenance that operators ask for; known ones are left alone. */
void kq_sched_wave (KqSched *s, const KqWaveInfo *info, KqTime now);
void kq_sched_maintenance_ended (KqSched *s, int64_t wave, KqStr host,
                                 KqMaintenanceResult result, KqTime now);
/* How far the waves are, for the next leader, and what operators are told of each. True:
 * something has changed since the last _pack; _failed: that one was not stored. */
bool kq_sched_waves_pending (const KqSched *s);
void kq_sched_waves_pack (KqSched *s, KqBuf *out);
void kq_sched_waves_failed (KqSched *s);
void kq_sched_waves_each (const KqSched *s,
                          void (*take) (void *arg, int64_t number, bool completed),
                          void *arg);
/* As packed by an earlier leader; before any wave. */
bool kq_sched_waves_stored (KqSched *s, KqStr stored);

/* Decides; to be called after inputs and when the time that it returned has come. wall_ms
 * is Unix time. */
KqTime kq_sched_run (KqSched *s, KqTime now, int64_t wall_ms);

KqJobState kq_sched_state (const KqSched *s, KqStr id);
/* Accepted jobs of the queue of which no task has begun. */
int64_t kq_sched_waiting (const KqSched *s, KqStr queue);
/* One line a fact, for operators. */
void kq_sched_explain (const KqSched *s, KqStr id, KqTime now, KqBuf *out);
void kq_sched_gauges (KqSched *s);

/* Progress that has to be stored before ends may be forgotten by the runners. */
typedef struct
{
  KqStr id;
  KqStr value; /* "" with remove */
  bool remove; /* the job's time is over: all its keys go */
} KqProgress;

/* Up to max rows, one that removes counting for three; 0: nothing to store. The values
 * are valid until _stored. One batch is open at a time. */
size_t kq_sched_store_begin (KqSched *s, KqProgress *rows, size_t max, KqTime now);
/* The batch is in the store (or not: it is given again). */
void kq_sched_stored (KqSched *s, bool whole, KqTime now);
/* The state in a job's stored progress; KQ_JOB_UNKNOWN: not readable, KQ_JOB_RUNNING: it
 * hasn't ended. */
KqJobState kq_sched_stored_state (KqStr stored);
/* When the next batch is due; KQ_TIME_NEVER: nothing to store. */
KqTime kq_sched_store_due (const KqSched *s);
/* The runners in use, to be stored before a new one gets its first order. False: nothing
 * has changed since. */
bool kq_sched_known_pending (const KqSched *s);
bool kq_sched_known_pack (KqSched *s, KqBuf *out);
void kq_sched_known_stored (KqSched *s);

#endif
