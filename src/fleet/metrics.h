#ifndef KQ_FLEET_METRICS_H
#define KQ_FLEET_METRICS_H

/* metrics: serves metrics in the Prometheus text format over HTTP, at /metrics, and
 * passes on what else is asked on that port. */

#include "http/server.h"

typedef struct KqMetrics KqMetrics;

typedef struct
{
  void *arg;
  /* Appends the text of one answer to out. */
  void (*print) (void *arg, KqBuf *out);
  /* Another path was asked for; the callee replies by kq_metrics_reply, now or later. */
  void (*ask) (void *arg, KqHttpExchange *x, KqTime now);
  /* The exchange has ended, replied to or not. */
  void (*gone) (void *arg, KqHttpExchange *x);
  KqClientLimits *limits; /* of what clients hold; NULL: none */
} KqMetricsOwner;

/* NULL: the address can't be bound. */
KqMetrics *kq_metrics_new (KqLoop *loop, const char *ip, int port,
                           const KqMetricsOwner *owner);
/* Replies with plain text. */
void kq_metrics_reply (KqHttpExchange *x, int status, KqStr text);
int kq_metrics_port (const KqMetrics *m);
void kq_metrics_free (KqMetrics *m);

#endif
