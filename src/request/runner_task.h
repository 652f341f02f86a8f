#ifndef KQ_REQUEST_RUNNER_TASK_H
#define KQ_REQUEST_RUNNER_TASK_H

/* runner_task: the task that owns the connections to the runners of this node's shards
 * (the owner's side of requests). Queueing and the choice of runners are those of
 * request/dispatch.h.
 *
 * Receives KQ_MAIL_MSG with REQ_OPEN, REQ_BODY, REQ_CANCEL, RESP_CREDIT and QUERY
 * ("queues"); KQ_MAIL_SHARD_HOSTS, _SHARD_GONE, _WORKER_REPLY (the runners' own reports),
 * _PEER (an entry node that is down), _TABLE and _DRAIN. Sends KQ_MAIL_SERVICES and
 * KQ_MAIL_DRAINED to the node's task. */

#include "base/client_limits.h"
#include "base/counter.h"
#include "base/task.h"
#include "wire/msg.h"

typedef struct
{
  KqNodeId self;
  uint64_t incarnation;
  KqCounters *counters;
  KqTask *mesh;
  KqTask *node;
  KqClientLimits *limits; /* of what requests hold that are being handled; NULL: none */
} KqRunnerTaskConfig;

typedef struct KqRunnerTask KqRunnerTask;

KqRunnerTask *kq_runner_task_new (KqLoop *loop, const KqRunnerTaskConfig *c);
void kq_runner_task_free (KqRunnerTask *t);
/* The task's mailbox; owned by t. */
KqTask *kq_runner_task_get_task (KqRunnerTask *t);
/* Number of flights that are queued here or sent to a runner. */
size_t kq_runner_task_open_flights (const KqRunnerTask *t);

#endif
