#ifndef KQ_AGENT_CONNS_H
#define KQ_AGENT_CONNS_H

/* conns: decides when a start may be sent to a runner, by the connections open to it.
 *
 * A start must not reach a process of the runner that has restarted since its last list:
 * it would run there under a lease that the leader doesn't know of, and the task would
 * run twice. Connections close when the process at their other end exits. So a start is
 * sent only on a verified connection, one that was open when a call was sent that the
 * runner has answered: the start then reaches the process that gave that answer, or none.
 *
 * Several tasks of a step are started on a runner at a time. Connections are verified one
 * after the other while starts are queued, and are used again. No I/O. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  int in_use;         /* calls in flight, each on a connection of its own */
  int verified;       /* connections known to lead to the process that answered last */
  KqTime verified_at; /* the verified connections were open at this time; 0: none is
                         verified */
} KqConns;

/* Records that a call is made; returns the number of calls in flight, this one included.
 */
int kq_conns_call_began (KqConns *c);

typedef enum
{
  KQ_CONN_KEPT,   /* the connection can be used again */
  KQ_CONN_CLOSED, /* the connection is closed */
  KQ_CONN_UNSENT  /* the call wasn't sent: no connection was usable */
} KqConnEnd;

/* Records that a call has ended, and what became of its connection. */
void kq_conns_call_ended (KqConns *c, KqConnEnd end);
/* Records that the runner has answered a call that was sent at sent_at, while in_use
 * calls were in flight: as many connections are verified. */
void kq_conns_verified (KqConns *c, int in_use, KqTime sent_at);
/* Records that the runner's process has restarted: no connection is verified any more. */
void kq_conns_runner_restarted (KqConns *c);
/* Whether a start may be sent now. */
bool kq_conns_start_allowed (const KqConns *c);

#endif
