#ifndef KQ_API_CALLS_H
#define KQ_API_CALLS_H

/* calls: HTTP exchanges that wait for a JOB_REPLY or ANSWER message of a node.
 *
 * Each HTTP task has one KqCalls. The upper 8 bits of a call's number are a tag that
 * tells to which task a reply belongs. */

#include "base/counter.h"
#include "base/task.h"
#include "http/server.h"
#include "wire/msg.h"

/* Tags of the two HTTP tasks. */
#define KQ_CALLS_GATEWAY 1
#define KQ_CALLS_OPERATOR 2
/* A node that hasn't answered by then won't: it failed, or the call was lost. */
#define KQ_CALL_TIMEOUT (5 * KQ_SEC)

typedef struct KqCalls KqCalls;

KqCalls *kq_calls_new (int tag, KqNodeId self, KqTask *mesh, KqCounters *counters);
void kq_calls_free (KqCalls *c);
static inline int
kq_calls_tag (uint64_t call)
{
  return (int)(call >> 56);
}
/* Sends msg (JOB_SUBMIT, JOB_CALL or QUERY) to a node with a new call number; the answer
 * becomes the response of x. If the node doesn't answer in time, submissions,
 * cancellations and table changes end with KQ_ERR_COMMIT_UNKNOWN, all other calls with
 * KQ_ERR_NO_OWNER. */
void kq_calls_ask (KqCalls *c, KqNodeId node, KqMsg *msg, KqHttpExchange *x, KqTime now);
/* Refuses the request without a call to a node. All refusals of the HTTP interfaces go
 * through this function, kq_calls_answer or kq_calls_tick, and are counted by their
 * codes. */
void kq_calls_refuse (KqCalls *c, KqHttpExchange *x, KqResult code, KqStr detail);
/* Handles a JOB_REPLY or ANSWER. */
void kq_calls_answer (KqCalls *c, const KqMsg *msg);
/* The exchange has ended; the answer to its call will be dropped. */
void kq_calls_detach (KqCalls *c, const KqHttpExchange *x);
/* Ends the calls that have timed out. */
void kq_calls_tick (KqCalls *c, KqTime now);
/* Number of calls without an answer. */
size_t kq_calls_n_open (const KqCalls *c);

#endif
