#ifndef KQ_FLEET_LEADER_LOAD_H
#define KQ_FLEET_LEADER_LOAD_H

/* leader_load: loads the stored state into the scheduler of a new leader, in phases:
 *
 *   1. state of maintenance waves
 *   2. which tasks disturb which, learned by earlier leaders
 *   3. learned run times, if they are switched on
 *   4. runners on which runs of earlier leaders may exist
 *   5. nodes that may have granted leases to them
 *   6. accepted jobs and cancellations
 *   7. progress of the jobs, in pages
 *   8. the runners' own entries
 *
 * The order matters: progress refers to jobs, and the runs that runners list refer to
 * jobs and their progress. A failed call is repeated until it succeeds. A value that
 * cannot be decoded is logged and ignored, and the leader starts without it.
 *
 * Jobs, cancellations and entries are followed (follow.h) from their phase on, also after
 * the last phase. */

#include "agent/frame.h"
#include "base/task.h"
#include "port/kv.h"

typedef struct KqLeaderLoad KqLeaderLoad;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqSched *sched;         /* must live until freed is called */
  bool learned_estimates; /* whether learned run times are loaded */
  KqCounters *counters;
  void *arg;
  /* A job or a cancellation is in the store (KQ_AGENT_ITEM_JOB, KQ_AGENT_ITEM_CANCEL). */
  void (*item) (void *arg, const KqAgentItem *i, KqTime now);
  /* An entry of a runner has been passed to the scheduler, which is to be run. */
  void (*changed) (void *arg);
  /* The last phase is complete; called once. */
  void (*loaded) (void *arg, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  /* Called once after kq_leader_load_free, when no call is outstanding any more. */
  void (*freed) (void *arg);
} KqLeaderLoadConfig;

KqLeaderLoad *kq_leader_load_new (const KqLeaderLoadConfig *c);
/* Starts the first phase. */
void kq_leader_load_start (KqLeaderLoad *l);
/* Stops loading and following. The only callback that follows is freed: before this
 * returns, or when the outstanding call is answered. */
void kq_leader_load_free (KqLeaderLoad *l);
/* Whether all phases are complete. */
bool kq_leader_load_is_done (const KqLeaderLoad *l);

#endif
