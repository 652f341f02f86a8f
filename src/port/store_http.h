#ifndef KQ_PORT_STORE_HTTP_H
#define KQ_PORT_STORE_HTTP_H

/* store_http: the task that carries out store calls over HTTP (docs/PLATFORM.md).
 *
 * Takes KQ_MAIL_OUT with KQ_OUT_STORE items and sends exactly one KQ_MAIL_STORE_REPLY
 * for each to the receiver, in the order of the answers.
 *
 * Each call takes a token of the node's budget (budget.h). NORMAL calls without a token
 * wait in a queue of at most `queue_max` calls; when it is full, a call is answered
 * KQ_ERR_STORE_BUSY and never sent. URGENT and lease calls have a queue of their own, of
 * the same size, and may use the bucket's reserve. A call that has waited for read_ms is
 * answered KQ_ERR_STORE_BUSY.
 *
 * Timeouts: GET, LIST and HOSTS after read_ms, writes and lease calls after write_ms, a
 * WATCH after its wait_ms plus watch_margin_ms. A call that times out is answered
 * KQ_ERR_STORE_UNREACHABLE, and calls for some time after it use new connections.
 *
 * Results: 200 OK; 404 NOT_FOUND; 409 CONFLICT; 410 LEASE_LOST; 413 TOO_LARGE; 429 BUSY;
 * any other status, and a broken or missing answer, UNREACHABLE; an answer that can't be
 * parsed KQ_ERR_PLATFORM_FORMAT (a write may then have taken effect). */

#include "base/counter.h"
#include "base/task.h"
#include "port/store.h"

typedef struct
{
  KqStr url; /* "http://ip:port", no trailing slash; copied */
  /* 0 selects the default, given for each. */
  int calls_per_second; /* this node's share of the store's rate; 200 */
  int burst;            /* calls; calls_per_second */
  int reserve;          /* calls; a quarter of burst */
  int queue_max;        /* 256 */
  int connections;      /* 16 */
  int connect_ms;       /* 500 */
  int read_ms;          /* 2000 */
  int write_ms;         /* 2000 */
  int watch_margin_ms;  /* 1000 */
  int idle_ms;          /* an idle connection is reused for so long; 5000 */
  KqCounters *counters;
  KqTask *receiver;
} KqStoreHttpConfig;

typedef struct KqStorePort KqStorePort;

KqStorePort *kq_store_http_new (KqLoop *loop, const KqStoreHttpConfig *c);
/* Drops open calls without replies. */
void kq_store_http_free (KqStorePort *p);
/* Takes KQ_MAIL_OUT with KQ_OUT_STORE items. */
KqTask *kq_store_http_task (KqStorePort *p);
/* Number of calls sent and not yet answered. */
int kq_store_http_open_calls (const KqStorePort *p);
/* Number of calls that wait to be sent. */
int kq_store_http_queued_calls (const KqStorePort *p);
/* When the last answer other than UNREACHABLE and PLATFORM_FORMAT arrived; 0: never. */
KqTime kq_store_http_answered_at (const KqStorePort *p);

#endif
