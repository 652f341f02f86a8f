#ifndef KQ_API_OPERATOR_H
#define KQ_API_OPERATOR_H

/* operator: the task of the operators' HTTP interface (docs/OPERATORS-API.md).
 *
 * All paths except /healthz and /readyz require "Authorization: Bearer TOKEN". Most paths
 * are queries to one node (?node=NAME; by default this node), which that node's tasks
 * answer. The task accepts KQ_MAIL_MSG with ANSWER and JOB_REPLY, and KQ_MAIL_TABLE. */

#include "base/counter.h"
#include "base/task.h"
#include "settings/settings.h"
#include "wire/msg.h"

typedef struct
{
  const KqSettings *settings; /* outlives the task */
  KqNodeId self;
  KqCounters *counters;
  KqTask *mesh;
  KqClientLimits *limits; /* of what clients hold; NULL: none */
  /* Whether the node accepts work, for /readyz; if not, *why receives the reason. */
  bool (*ready) (void *arg, KqTime now, const char **why);
  void *arg;
} KqOperatorConfig;

typedef struct KqOperator KqOperator;

/* NULL if the address can't be bound. */
KqOperator *kq_operator_new (KqLoop *loop, const KqOperatorConfig *c);
void kq_operator_free (KqOperator *o);
int kq_operator_port (const KqOperator *o);
KqTask *kq_operator_task (KqOperator *o);

#endif
