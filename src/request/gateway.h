#ifndef KQ_REQUEST_GATEWAY_H
#define KQ_REQUEST_GATEWAY_H

/* gateway: the task that holds the callers' HTTP connections. Its node is the entry node
 * of these callers' requests.
 *
 *   ANY /s/SERVICE/PATH   a request for a service
 *       X-Kq-Caller            the caller's name; default "anonymous"
 *       X-Kq-Caller-Token      required if the caller's row has a token
 *       X-Kq-Deadline-Ms       time left; default: deadline_ms of the service row
 *       Idempotency-Key        for POST, PATCH and services that are not idempotent
 *   /v1/jobs...           see api/jobs_http.h
 *
 * Receives KQ_MAIL_MSG with RESP_*, REQ_CREDIT, CLAIM_REPLY, JOB_REPLY, ANSWER,
 * HEARTBEAT (for the owners' digests) and QUERY ("requests", "explain"); KQ_MAIL_PEER,
 * _NODE, _TABLE, _DRAIN. */

#include "base/counter.h"
#include "base/task.h"
#include "settings/settings.h"
#include "wire/msg.h"

typedef struct
{
  const KqSettings *settings; /* outlives the gateway */
  KqNodeId self;
  uint64_t incarnation; /* identifies this process of the node */
  KqCounters *counters;
  KqTask *mesh;           /* sends messages to other nodes */
  KqTask *node;           /* this node's own task */
  KqClientLimits *limits; /* of what callers hold; NULL: none */
} KqGatewayConfig;

typedef struct KqGateway KqGateway;

/* Starts to listen at the address for callers in the settings. Returns NULL if it can't
 * be bound. */
KqGateway *kq_gateway_new (KqLoop *loop, const KqGatewayConfig *c);
void kq_gateway_free (KqGateway *g);
/* The port at which the gateway listens. */
int kq_gateway_port (const KqGateway *g);
KqTask *kq_gateway_task (KqGateway *g);
/* Number of requests that have no final answer yet. */
size_t kq_gateway_open_requests (const KqGateway *g);

#endif
