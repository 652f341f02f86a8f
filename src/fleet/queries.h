#ifndef KQ_FLEET_QUERIES_H
#define KQ_FLEET_QUERIES_H

/* queries: passes queries to the leader and its answers back. A node's front end asks for
 * clients, its operator port for operators; calls are numbered so that the number tells
 * which of the two has asked (kq_fleet_operator_is_call). A node that leads answers its
 * own queries at once. */

#include "fleet/front.h"
#include "fleet/leader.h"
#include "fleet/link.h"
#include "fleet/operator_port.h"

/* The parts of a node that queries and answers pass through. */
typedef struct
{
  KqLeader *leader; /* NULL: this node isn't leader */
  KqLink *link;
  uint64_t epoch; /* of the present leader */
  KqFrontHandler *front;
  KqOperatorPort *operators;
} KqQueries;

/* Asks the leader; the answer is passed to kq_queries_answer, by this call if this node
 * leads. False: this node isn't connected to a leader. */
bool kq_queries_ask (const KqQueries *q, const KqAgentItem *query, KqTime now);
/* Passes the leader's answer to the part that has asked. */
void kq_queries_answer (const KqQueries *q, uint64_t call, int64_t value, KqStr text,
                        KqTime now);
/* Answers another node's query, as the leader. */
void kq_queries_answer_node (KqLeader *leader, KqPeer *p, const KqAgentItem *query,
                             KqTime now);

#endif
