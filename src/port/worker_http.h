#ifndef KQ_PORT_WORKER_HTTP_H
#define KQ_PORT_WORKER_HTTP_H

/* worker_http: the task that carries out worker calls over HTTP (docs/PLATFORM.md).
 *
 * Takes KQ_MAIL_OUT with KQ_OUT_WORKER items and sends exactly one
 * KQ_MAIL_WORKER_REPLY for each to the receiver. Takes KQ_MAIL_HOSTS: a whole host list
 * of one depot or of several; workers it names get its addresses, workers it lists as
 * gone are forgotten, others stay as they are.
 *
 * A call to a worker that no list has named is answered KQ_ERR_WORKER_UNREACHABLE at
 * once. At most `per_worker` calls are in flight to one worker and `total` to all; up to
 * `queue_max` wait for each worker, one beyond is answered KQ_ERR_WORKER_UNREACHABLE and
 * never sent. A LEASE call goes before waiting commands: it keeps tasks alive. A call
 * that waited longer than call_ms is answered so too.
 *
 * A connection on which nothing came for silent_ms is closed and the call answered
 * KQ_ERR_WORKER_UNREACHABLE; the next call to that worker uses a fresh connection. Each
 * answer must carry the token, epoch and kind of its call: one that doesn't is
 * KQ_ERR_PLATFORM_FORMAT, so a mixed-up connection can't settle another call. */

#include "base/counter.h"
#include "base/task.h"
#include "port/worker.h"

typedef struct
{
  /* 0 takes the default given here. */
  int per_worker; /* 4 */
  int total;      /* 512 */
  int queue_max;  /* 64, for each worker */
  int connect_ms; /* 300 */
  int silent_ms;  /* 1000 */
  int call_ms;    /* 3000: the whole call */
  int idle_ms;    /* age of an idle connection that is still used: 5000 */
  KqCounters *counters;
  KqTask *receiver;
} KqWorkerHttpConfig;

typedef struct KqWorkerPort KqWorkerPort;

KqWorkerPort *kq_worker_http_new (KqLoop *loop, const KqWorkerHttpConfig *c);
/* Ends open calls without replies. */
void kq_worker_http_free (KqWorkerPort *p);
/* Takes KQ_MAIL_OUT with KQ_OUT_WORKER items, and KQ_MAIL_HOSTS. */
KqTask *kq_worker_http_task (KqWorkerPort *p);
int kq_worker_http_open (const KqWorkerPort *p);
int kq_worker_http_known (const KqWorkerPort *p);

#endif
