#ifndef KQ_PORT_STORE_HTTP_H
#define KQ_PORT_STORE_HTTP_H

/* store_http: the task that carries out store calls over HTTP (docs/PLATFORM.md).
 *
 * Takes KQ_MAIL_OUT with KQ_OUT_STORE items and sends exactly one KQ_MAIL_STORE_REPLY
 * for each to the receiver; in order of the answers, not of the calls.
 *
 * Each call takes a token of the node's budget (budget.h). A NORMAL call that finds none
 * waits in order, at most `queue_max` of them; one beyond is answered
 * KQ_ERR_STORE_BUSY and never sent. URGENT and lease calls pass the queue and have the
 * bucket's reserve; of these too at most `queue_max` wait. A call that waited longer
 * than its own timeout is answered KQ_ERR_STORE_BUSY.
 *
 * Every call ends: GET, LIST and HOSTS after read_ms, writes and lease calls after
 * write_ms, a WATCH after its wait_ms plus watch_margin_ms. A watch that ends so is
 * KQ_ERR_STORE_UNREACHABLE: its connection was silent, the next watch opens a fresh one.
 *
 * Results: 200 OK; 404 NOT_FOUND; 409 CONFLICT; 410 LEASE_LOST; 413 TOO_LARGE; all
 * others and broken or missing answers UNREACHABLE; an answer that can't be read
 * KQ_ERR_PLATFORM_FORMAT (a write may then have taken effect). */

#include "base/counter.h"
#include "base/task.h"
#include "port/store.h"

typedef struct
{
  KqStr url; /* "http://ip:port", no trailing slash; copied */
  /* 0 takes the default given here. */
  int calls_per_second; /* this node's share of the store's rate; 200 */
  int burst;            /* one second's calls */
  int reserve;          /* a quarter of burst */
  int queue_max;        /* 256 */
  int connections;      /* 16 */
  int connect_ms;       /* 500 */
  int read_ms;          /* 2000 */
  int write_ms;         /* 2000 */
  int watch_margin_ms;  /* 1000 */
  int idle_ms;          /* age of an idle connection that is still used: 5000 */
  KqCounters *counters;
  KqTask *receiver;
} KqStoreHttpConfig;

typedef struct KqStorePort KqStorePort;

KqStorePort *kq_store_http_new (KqLoop *loop, const KqStoreHttpConfig *c);
/* Ends open calls without replies. */
void kq_store_http_free (KqStorePort *p);
/* Takes KQ_MAIL_OUT with KQ_OUT_STORE items. */
KqTask *kq_store_http_task (KqStorePort *p);
/* Calls sent and not yet answered; calls that wait for the budget. */
int kq_store_http_open (const KqStorePort *p);
int kq_store_http_queued (const KqStorePort *p);
/* When the store last answered with anything but an error; 0: never. */
KqTime kq_store_http_answered_at (const KqStorePort *p);

#endif
