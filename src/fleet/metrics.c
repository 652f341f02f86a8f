#include "fleet/metrics.h"

#include <stdlib.h>

struct KqMetrics
{
  KqHttpServer *server;
  KqLoop *loop;
  KqMetricsOwner owner;
};

static void
on_begin (void *arg, KqHttpExchange *x)
{
  KqMetrics *m = arg;
  KqHeader type = { KQ_STR ("Content-Type"), KQ_STR ("text/plain; version=0.0.4") };
  KqBuf text = { 0 };
  if (!kq_str_eq (kq_http_path (x), KQ_STR ("/metrics")))
    {
      m->owner.ask (m->owner.arg, x, kq_loop_now (m->loop));
      return;
    }
  m->owner.print (m->owner.arg, &text);
  kq_http_reply (x, 200, &type, 1, kq_buf_str (&text));
  kq_buf_free (&text);
}

static void
on_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  (void)arg;
  (void)x;
  (void)chunk;
}

static void
on_end (void *arg, KqHttpExchange *x)
{
  (void)arg;
  (void)x;
}

static void
on_gone (void *arg, KqHttpExchange *x, bool whole)
{
  const KqMetrics *m = arg;
  (void)whole;
  m->owner.gone (m->owner.arg, x);
}

void
kq_metrics_reply (KqHttpExchange *x, int status, KqStr text)
{
  KqHeader type = { KQ_STR ("Content-Type"), KQ_STR ("text/plain; charset=utf-8") };
  kq_http_reply (x, status, &type, 1, text);
}

KqMetrics *
kq_metrics_new (KqLoop *loop, const char *ip, int port, const KqMetricsOwner *owner)
{
  KqMetrics *m = kq_alloc (sizeof *m);
  KqHttpHandler h = { m, on_begin, on_body, on_end, NULL, on_gone };
  m->loop = loop;
  m->owner = *owner;
  m->server = kq_http_server_new (loop, ip, port, &h);
  if (m->server == NULL)
    {
      free (m);
      return NULL;
    }
  kq_http_server_set_limits (m->server, owner->limits);
  return m;
}

int
kq_metrics_port (const KqMetrics *m)
{
  return kq_http_server_port (m->server);
}

void
kq_metrics_free (KqMetrics *m)
{
  if (m == NULL)
    return;
  kq_http_server_free (m->server);
  free (m);
}
