#include "fleet/operator_port.h"

#include "fleet/metrics.h"
#include "fleet/operator.h"

#include <stdlib.h>

struct KqOperatorPort
{
  KqOperatorPortConfig config;
  KqMetrics *metrics;
  KqFleetOperator *questions;
};

static void
print_metrics (void *arg, KqBuf *out)
{
  KqOperatorPort *o = arg;
  o->config.print_metrics (o->config.arg, out);
}

static void
on_question (void *arg, KqHttpExchange *x, KqTime now)
{
  KqOperatorPort *o = arg;
  kq_fleet_operator_ask (o->questions, x, kq_http_method (x), kq_http_path (x), now);
}

static void
on_question_gone (void *arg, KqHttpExchange *x)
{
  KqOperatorPort *o = arg;
  kq_fleet_operator_gone (o->questions, x);
}

static bool
query_leader (void *arg, const KqAgentItem *query, KqTime now)
{
  KqOperatorPort *o = arg;
  return o->config.query_leader (o->config.arg, query, now);
}

static void
reply (void *arg, void *exchange, int status, KqStr text)
{
  (void)arg;
  kq_metrics_reply (exchange, status, text);
}

KqOperatorPort *
kq_operator_port_new (const KqOperatorPortConfig *c)
{
  KqOperatorPort *o = kq_alloc (sizeof *o);
  KqFleetOperatorConfig questions = { c->loop, c->counters, o, query_leader, reply };
  KqMetricsOwner metrics = { o, print_metrics, on_question, on_question_gone, c->limits };
  o->config = *c;
  o->questions = kq_fleet_operator_new (&questions);
  o->metrics = kq_metrics_new (c->loop, c->ip, c->port, &metrics);
  if (o->metrics == NULL)
    {
      kq_operator_port_free (o);
      return NULL;
    }
  return o;
}

void
kq_operator_port_free (KqOperatorPort *o)
{
  if (o == NULL)
    return;
  kq_metrics_free (o->metrics);
  kq_fleet_operator_free (o->questions);
  free (o);
}

int
kq_operator_port_number (const KqOperatorPort *o)
{
  return kq_metrics_port (o->metrics);
}

void
kq_operator_port_answer (KqOperatorPort *o, uint64_t call, int64_t value, KqStr text,
                         KqTime now)
{
  kq_fleet_operator_answer (o->questions, call, value, text, now);
}

void
kq_operator_port_leader_changed (KqOperatorPort *o, uint64_t epoch, KqTime now)
{
  kq_fleet_operator_leader_changed (o->questions, epoch, now);
}
