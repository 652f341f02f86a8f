#ifndef KQ_BENCH_SCHED_RIG_IMPL_H
#define KQ_BENCH_SCHED_RIG_IMPL_H

/* sched_rig_impl: shared by the rig's two files: the agent's and the store's side
 * (sched_rig.c), and the runners' own (sched_rig_runner.c). */

#include "sched_rig.h"

/* Also the longest lease that a runner takes. */
#define KQ_SCHED_RIG_LEASE_MS 5000

/* Kinds of KqSchedRigEvent. */
enum
{
  KQ_SCHED_RIG_ORDER,   /* arrives at its runner */
  KQ_SCHED_RIG_OUTCOME, /* of an order, at the leader */
  KQ_SCHED_RIG_TOLD     /* a list or a silence, at the leader */
};

void kq_sched_rig_breach (KqSchedRig *r, const char *rule, const char *what);
void kq_sched_rig_trace (const KqSchedRig *r, const char *task, const char *what,
                         const char *where, uint32_t run, int detail);
/* The order's agent is told, after its timeout, that no answer came. */
void kq_sched_rig_no_answer (KqSchedRig *r, const KqSchedRigEvent *order);
int64_t kq_sched_rig_clock_of (const KqSchedRig *r, const KqSchedRigRunner *n);
void kq_sched_rig_end_run (KqSchedRig *r, KqSchedRigRunner *g, guint at, KqEndHow how);
void kq_sched_rig_extend_lease (const KqSchedRig *r, KqSchedRigRunner *g, int64_t end);
KqOrderResult kq_sched_rig_start_at (KqSchedRig *r, KqSchedRigRunner *g,
                                     const KqSchedRigEvent *e);
KqOrderResult kq_sched_rig_stop_at (KqSchedRig *r, KqSchedRigRunner *g,
                                    const KqSchedRigEvent *e);
KqSchedRigJob *kq_sched_rig_job_of (KqSchedRig *r, const char *task, int32_t *step,
                                    int32_t *index);

#endif
