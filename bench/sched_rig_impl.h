#ifndef KQ_BENCH_SCHED_RIG_IMPL_H
#define KQ_BENCH_SCHED_RIG_IMPL_H

/* sched_rig_impl: shared by the rig's files: the leader's and the store's side
 * (sched_rig.c), agents (sched_rig_agent.c), their connections (sched_rig_link.c), and
 * the runners' own (sched_rig_runner.c). */

#include "agent/frame.h"
#include "sched_rig.h"

/* Also the longest lease that a runner takes. */
#define KQ_SCHED_RIG_LEASE_MS 5000
#define KQ_SCHED_RIG_BLIND_MS 4000
/* The usual way of a call, an answer, a message. */
#define KQ_SCHED_RIG_WAY (5 * KQ_MS)

/* Kinds of KqSchedRigEvent. */
enum
{
  KQ_SCHED_RIG_CALL,     /* arrives at its runner */
  KQ_SCHED_RIG_QUESTION, /* waits there for an end */
  KQ_SCHED_RIG_ANSWER,   /* arrives at its agent */
  KQ_SCHED_RIG_UP,       /* a message arrives at the leader */
  KQ_SCHED_RIG_DOWN      /* and at an agent */
};

bool kq_sched_rig_chance (KqSchedRig *r, int percent);
KqSchedRigEvent *kq_sched_rig_push (KqSchedRig *r, int kind, KqTime due);
void kq_sched_rig_breach (KqSchedRig *r, const char *rule, const char *what);
void kq_sched_rig_trace (const KqSchedRig *r, const char *task, const char *what,
                         const char *where, uint32_t run, int detail);
/* With KQ_RIG_RUNNER=ID in the environment: what its agents do, on standard error. */
void kq_sched_rig_trace_runner (const KqSchedRig *r, int runner, int agent,
                                const char *what, int64_t detail);

/* The job that a task's name names, with the task's place in it; NULL: none. */
KqSchedRigJob *kq_sched_rig_job_of (const KqSchedRig *r, const char *task, int32_t *step,
                                    int32_t *index);

/* Runners. */
/* What the runs reserve; filling ones reserve nothing. */
int64_t kq_sched_rig_cpu_used (const KqSchedRig *r, const KqSchedRigRunner *g);
int64_t kq_sched_rig_clock_of (const KqSchedRig *r, const KqSchedRigRunner *n);
void kq_sched_rig_runner_tick (KqSchedRig *r, KqSchedRigRunner *g);
void kq_sched_rig_call_arrives (KqSchedRig *r, KqSchedRigEvent *e);
/* Whether the question that waits has been answered. */
bool kq_sched_rig_question_due (KqSchedRig *r, KqSchedRigEvent *e);
/* The call's agent is told, after its timeout, that no answer came. */
void kq_sched_rig_no_answer (KqSchedRig *r, const KqSchedRigCall *c);
/* It is told that the call hasn't left. */
void kq_sched_rig_not_sent (KqSchedRig *r, const KqSchedRigCall *c);

/* Agents. */
void kq_sched_rig_agent_tick (KqSchedRig *r, int agent);
void kq_sched_rig_agent_answer (KqSchedRig *r, const KqSchedRigEvent *e);
void kq_sched_rig_agent_order (KqSchedRig *r, int agent, uint64_t epoch,
                               const KqOrder *o);
void kq_sched_rig_agent_heard (KqSchedRig *r, int agent, uint64_t epoch);
/* The leader counts on the agent at `at` or later. */
void kq_sched_rig_agent_counted (KqSchedRig *r, int agent, uint64_t epoch, KqTime at);
void kq_sched_rig_agent_released (KqSchedRig *r, int agent);

/* Connections. */
void kq_sched_rig_link_init (KqSchedRig *r, int agent);
void kq_sched_rig_link_tick (KqSchedRig *r, int agent);
void kq_sched_rig_tell_leader (KqSchedRig *r, int agent, uint64_t epoch,
                               const KqAgentItem *i);
void kq_sched_rig_tell_agent (KqSchedRig *r, int agent, const KqAgentItem *i);
void kq_sched_rig_up_arrives (KqSchedRig *r, const KqSchedRigEvent *e);
void kq_sched_rig_down_arrives (KqSchedRig *r, const KqSchedRigEvent *e);
/* The earlier leader is gone; the agent looks for the new one. */
void kq_sched_rig_link_new_leader (KqSchedRig *r, int agent);

#endif
