#ifndef KQ_FLEET_METRICS_H
#define KQ_FLEET_METRICS_H

/* metrics: serves metrics in the Prometheus text format over HTTP, at /metrics. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqMetrics KqMetrics;

/* print appends the text of one answer to out. NULL: the address can't be bound. */
KqMetrics *kq_metrics_new (KqLoop *loop, const char *ip, int port,
                           void (*print) (void *arg, KqBuf *out), void *arg);
int kq_metrics_port (const KqMetrics *m);
void kq_metrics_free (KqMetrics *m);

#endif
