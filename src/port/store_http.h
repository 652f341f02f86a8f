#ifndef KQ_PORT_STORE_HTTP_H
#define KQ_PORT_STORE_HTTP_H

/* store_http: the task that carries out store calls over HTTP (docs/PLATFORM.md).
 *
 * The task takes KQ_MAIL_OUT with KQ_OUT_STORE items. For each it sends exactly one
 * KQ_MAIL_STORE_REPLY to the receiver, in the order in which the answers arrive.
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
 * Results by HTTP status: 200 OK; 404 NOT_FOUND; 409 CONFLICT; 410 LEASE_LOST; 413
 * TOO_LARGE; 429 BUSY; any other status, and a broken or missing answer, UNREACHABLE; an
 * answer that can't be parsed KQ_ERR_PLATFORM_FORMAT (a write may then have taken
 * effect). */

#include "base/counter.h"
#include "base/task.h"
#include "port/store.h"

typedef struct
{
  KqStr url; /* "http://ip:port", no trailing slash; copied */
  /* 0 selects the default, which stands last in each comment. */
  int calls_per_second; /* this node's share of the store's rate; 200 */
  int burst;            /* of the budget, in calls; calls_per_second */
  int reserve;          /* of the budget, in calls; a quarter of burst */
  int queue_max;        /* longest queue, in calls; 256 */
  int connections;      /* most open connections for calls other than watches; 16 */
  int connect_ms;       /* timeout of a connection attempt; 500 */
  int read_ms;          /* timeout of reads, and longest wait in a queue; 2000 */
  int write_ms;         /* timeout of writes and lease calls; 2000 */
  int watch_margin_ms;  /* timeout of a watch beyond its wait_ms; 1000 */
  int idle_ms;          /* an idle connection is reused for so long; 5000 */
  KqCounters *counters;
  KqTask *receiver; /* gets the replies */
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
