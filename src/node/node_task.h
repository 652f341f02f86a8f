#ifndef KQ_NODE_NODE_TASK_H
#define KQ_NODE_NODE_TASK_H

/* node_task: runs the core from a timer and from mails, and routes incoming messages to
 * the tasks of the process. It owns no socket. */

#include "base/counter.h"
#include "base/task.h"
#include "node/core.h"
#include "wire/mesh.h"

typedef struct
{
  KqCounters *counters;
  /* Called when the process should end. `complete`: a planned stop has finished; false:
   * it exceeded its time limit, or another process has taken over this node's name. */
  void (*stopped) (void *arg, bool complete);
  void *arg;
} KqNodeTaskConfig;

/* The other tasks of the process; set before the loop runs. */
typedef struct
{
  KqMesh *mesh;
  KqTask *store;
  KqTask *workers;
  KqTask *gateway;
  KqTask *runners;
  KqTask *operators;
} KqNodeTaskPeers;

typedef struct KqNodeTask KqNodeTask;

KqNodeTask *kq_node_task_new (KqLoop *loop, const KqNodeTaskConfig *c);
void kq_node_task_free (KqNodeTask *n);
/* Creates the core and starts the timer. Separate from kq_node_task_new: the other tasks
 * need this one, and the core needs the ports that they have bound, for its heartbeats.
 */
void kq_node_task_start (KqNodeTask *n, const KqNodeTaskPeers *p, const KqCoreConfig *c);
KqTask *kq_node_task_get_task (KqNodeTask *n);
/* Starts a planned stop: no new work is accepted, and the shards are released. */
void kq_node_task_drain (KqNodeTask *n, KqTime now);
/* As kq_core_ready. */
bool kq_node_task_ready (KqNodeTask *n, KqTime now, const char **why);

#endif
