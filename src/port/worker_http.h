#ifndef KQ_PORT_WORKER_HTTP_H
#define KQ_PORT_WORKER_HTTP_H

/* worker_http: the task that carries out worker calls over HTTP (docs/PLATFORM.md).
 *
 * The task takes KQ_MAIL_OUT with KQ_OUT_WORKER items. For each it sends exactly one
 * KQ_MAIL_WORKER_REPLY to the receiver. It also takes KQ_MAIL_HOSTS, the host list of one
 * or more depots: it sets the addresses of the workers in the list and removes those that
 * are listed as gone; workers that aren't in the list stay unchanged.
 *
 * A call to an unknown worker is answered KQ_ERR_WORKER_UNREACHABLE at once. At most
 * `per_worker` calls are in flight to one worker and `total` to all. Up to `queue_max`
 * calls wait for each worker; when that queue is full, or after a wait of call_ms, a call
 * is answered KQ_ERR_WORKER_UNREACHABLE and never sent. A LEASE call is sent before
 * waiting commands, because the worker's tasks end with its lease.
 *
 * A connection without a byte for silent_ms is closed and its call answered
 * KQ_ERR_WORKER_UNREACHABLE; for some time afterwards, calls to that worker use
 * new connections. Each answer must carry the token, epoch and kind of its call,
 * otherwise the result is KQ_ERR_PLATFORM_FORMAT, so that no call takes the answer to
 * another call. */

#include "base/counter.h"
#include "base/task.h"
#include "port/worker.h"

typedef struct
{
  /* 0 selects the default, which stands last in each comment. */
  int per_worker; /* most calls in flight to one worker; 4 */
  int total;      /* most calls in flight to all workers; 512 */
  int queue_max;  /* most calls that wait for each worker; 64 */
  int connect_ms; /* timeout of a connection attempt; 300 */
  int silent_ms;  /* longest time without a byte received; 1000 */
  int call_ms;    /* timeout of the whole call, and longest wait in the queue; 3000 */
  int idle_ms;    /* an idle connection is reused for so long; 5000 */
  KqCounters *counters;
  KqTask *receiver;
} KqWorkerHttpConfig;

typedef struct KqWorkerPort KqWorkerPort;

KqWorkerPort *kq_worker_http_new (KqLoop *loop, const KqWorkerHttpConfig *c);
/* Drops open calls without replies. */
void kq_worker_http_free (KqWorkerPort *p);
/* Takes KQ_MAIL_OUT with KQ_OUT_WORKER items, and KQ_MAIL_HOSTS. */
KqTask *kq_worker_http_task (KqWorkerPort *p);
/* Number of calls sent and not yet answered. */
int kq_worker_http_open_calls (const KqWorkerPort *p);
/* Number of known workers. */
int kq_worker_http_n_workers (const KqWorkerPort *p);

#endif
