#ifndef KQ_FLEET_OPERATOR_PORT_H
#define KQ_FLEET_OPERATOR_PORT_H

/* operator_port: a node's HTTP port for operators. It serves the metrics (metrics.h) and
 * takes operators' questions to the leader (operator.h). */

#include "agent/frame.h"
#include "base/client_limits.h"
#include "base/counter.h"
#include "base/task.h"

typedef struct KqOperatorPort KqOperatorPort;

typedef struct
{
  KqLoop *loop;
  const char *ip;
  int port; /* 0: the kernel chooses */
  KqCounters *counters;
  KqClientLimits *limits; /* of what clients hold; NULL: none */
  void *arg;
  /* Appends the text of the metrics to out. */
  void (*print_metrics) (void *arg, KqBuf *out);
  /* As in KqFleetOperatorConfig; the answer is passed to kq_operator_port_answer. */
  bool (*query_leader) (void *arg, const KqAgentItem *query, KqTime now);
} KqOperatorPortConfig;

/* counters must outlive it. NULL: the address can't be bound. */
KqOperatorPort *kq_operator_port_new (const KqOperatorPortConfig *c);
/* Drops open questions without a reply. NULL is ignored. */
void kq_operator_port_free (KqOperatorPort *o);
/* Returns the bound port. */
int kq_operator_port_number (const KqOperatorPort *o);
/* As kq_fleet_operator_answer. */
void kq_operator_port_answer (KqOperatorPort *o, uint64_t call, int64_t value, KqStr text,
                              KqTime now);
/* As kq_fleet_operator_leader_changed. */
void kq_operator_port_leader_changed (KqOperatorPort *o, uint64_t epoch, KqTime now);

#endif
