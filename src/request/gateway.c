#include "request/gateway.h"

#include "api/jobs_http.h"
#include "base/log.h"
#include "request/entry.h"
#include "request/problem.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define PART "gateway"
/* Interval at which deadlines, backoffs and claims are checked: a tenth of the shortest
 * deadline that makes sense over the internet. */
#define TICK_S 0.02
#define DEADLINE_MS_MAX (3600 * 1000)
#define KEY_MAX_BYTES 200
/* An owner whose connection was lost isn't chosen for this time, unless it reconnects
 * sooner. It is the time after which missing heartbeats make a node suspect, with default
 * settings. */
#define LOST_OWNER_EXCLUSION (2 * KQ_SEC)

/* The data of an HTTP exchange is a KqFlight or a JobExchange. Its first member, `tag`,
 * tells which. */
enum
{
  TAG_FLIGHT = 1,
  TAG_JOB = 2
};

/* A request to the jobs API. Its body is collected before the request is handled. */
typedef struct
{
  int tag;
  KqBuf body;
  bool too_large;
} JobExchange;

/* Refuses a request for which no flight was started. */
static void
refuse_request (KqGateway *g, KqHttpExchange *x, KqStr service, KqResult code,
                KqTime retry)
{
  kq_request_counts_accepted (g->request_counts, service);
  kq_request_counts_ended (g->request_counts, service, KQ_END_REFUSED);
  kq_counter_result (g->config.counters, code);
  kq_problem_reply (x, code, KQ_RAN_NO, retry, kq_str (""), kq_str (""));
}

static KqResult
check_caller (const KqGateway *g, KqHttpExchange *x, KqName *out)
{
  KqStr caller = kq_http_header (x, "X-Kq-Caller");
  const KqRow *row;
  if (caller.len == 0)
    caller = KQ_STR ("anonymous");
  if (!kq_name_valid (caller))
    return KQ_ERR_BAD_REQUEST;
  *out = kq_name (caller);
  row = kq_table_find (g->table, KQ_ROW_CALLER, caller);
  if (row != NULL && row->u.caller.token.len > 0
      && !kq_str_eq_secret (kq_name_str (&row->u.caller.token),
                            kq_http_header (x, "X-Kq-Caller-Token")))
    return KQ_ERR_CALLER_TOKEN;
  return KQ_OK;
}

static KqResult
read_deadline (KqHttpExchange *x, KqFlight *f, KqTime now)
{
  KqStr s = kq_http_header (x, "X-Kq-Deadline-Ms");
  int64_t ms = f->row.deadline_ms;
  if (s.len > 0 && (!kq_str_to_i64 (s, &ms) || ms < 1 || ms > DEADLINE_MS_MAX))
    return KQ_ERR_BAD_REQUEST;
  f->deadline = now + ms * KQ_MS;
  return KQ_OK;
}

static bool
is_method (KqStr method, const char *name)
{
  return kq_str_eq (method, kq_str (name));
}

static KqResult
read_key (KqHttpExchange *x, const KqFlight *f, KqStr *key)
{
  *key = kq_http_header (x, "Idempotency-Key");
  if (f->idempotent)
    *key = kq_str (""); /* running twice is harmless: no claim needed */
  if (key->len > KEY_MAX_BYTES)
    return KQ_ERR_BAD_REQUEST;
  return KQ_OK;
}

static KqResult
check_length (const KqFlight *f, int64_t length, KqStr key)
{
  if (length > f->row.body_max_mb * 1024 * 1024)
    return KQ_ERR_BODY_TOO_LARGE;
  if (key.len > 0 && length > KQ_KEYED_BODY_MAX_BYTES)
    return KQ_ERR_BODY_TOO_LARGE;
  return KQ_OK;
}

/* Copies the request's properties to f, and checks them. path_rest: the path to request
 * from the runner. */
static KqResult
read_request (KqGateway *g, KqHttpExchange *x, KqFlight *f, KqStr path_rest, KqTime now)
{
  KqStr method = kq_http_method (x);
  KqStr key;
  KqBuf path = { 0 };
  const KqHeader *h;
  size_t n;
  KqResult r = check_caller (g, x, &f->caller);

  if (r == KQ_OK)
    r = read_deadline (x, f, now);
  if (r != KQ_OK)
    return r;
  f->method = kq_name (method);
  f->idempotent = !f->row.non_idempotent && !is_method (method, "POST")
                  && !is_method (method, "PATCH");
  f->body_length = kq_http_body_length (x);
  r = read_key (x, f, &key);
  if (r == KQ_OK)
    r = check_length (f, f->body_length, key);
  if (r != KQ_OK)
    return r;
  h = kq_http_headers (x, &n);
  kq_buf_printf (&path, "/%.*s", KQ_STR_ARG (path_rest));
  if (kq_http_query (x).len > 0)
    kq_buf_printf (&path, "?%.*s", KQ_STR_ARG (kq_http_query (x)));
  kq_flight_set_request (f, kq_buf_str (&path), key, h, n);
  kq_buf_free (&path);
  return KQ_OK;
}

static KqFlight *
new_flight (KqGateway *g, KqHttpExchange *x, const KqRow *row, KqTime now)
{
  KqFlight *f = kq_flight_new (g->config.self, g->config.incarnation,
                               ++g->next_number * KQ_TRY_IDS, now);
  f->tag = TAG_FLIGHT;
  f->exchange = x;
  f->service = row->name;
  f->row = row->u.service;
  return f;
}

/* Counts the flight as accepted. A streamed one starts at once, any other when its body
 * has been collected. */
static void
accept_flight (KqGateway *g, KqFlight *f, KqTime now)
{
  bool stream = f->key.len == 0
                && (f->body_length < 0 || f->body_length > KQ_RESEND_BODY_MAX_BYTES);
  g_hash_table_insert (g->flights, &f->id.number, f);
  kq_request_counts_accepted (g->request_counts, kq_name_str (&f->service));
  kq_http_set_data (f->exchange, f);
  f->state = KQ_FLIGHT_COLLECTING;
  if (!stream)
    return;
  kq_entry_start (g, f, now);
}

static void
begin_request (KqGateway *g, KqHttpExchange *x, KqStr path_rest, KqTime now)
{
  KqStr service = kq_str_cut (&path_rest, '/');
  const KqRow *row = NULL;
  KqFlight *f;
  KqResult r;
  if (g->table != NULL)
    row = kq_table_find (g->table, KQ_ROW_SERVICE, service);
  if (g->draining || row == NULL)
    {
      KqResult why = g->draining        ? KQ_ERR_DRAINING
                     : g->table == NULL ? KQ_ERR_TABLE_NONE
                                        : KQ_ERR_NO_SERVICE;
      refuse_request (g, x, row != NULL ? service : KQ_STR ("-"), why, KQ_SEC);
      return;
    }
  f = new_flight (g, x, row, now);
  r = read_request (g, x, f, path_rest, now);
  if (r != KQ_OK)
    {
      kq_flight_free (f);
      refuse_request (g, x, service, r, 0);
      return;
    }
  accept_flight (g, f, now);
}

static void
on_begin (void *arg, KqHttpExchange *x)
{
  KqGateway *g = arg;
  KqStr path = kq_http_path (x);
  KqStr prefix = KQ_STR ("/s/");
  if (kq_str_has_prefix (path, prefix))
    begin_request (g, x, kq_str_n (path.ptr + prefix.len, path.len - prefix.len),
                   kq_loop_now (g->loop));
  else if (kq_jobs_http_path (path))
    {
      JobExchange *j = kq_alloc (sizeof *j);
      j->tag = TAG_JOB;
      kq_http_set_data (x, j);
    }
  else
    kq_calls_refuse (g->calls, x, KQ_ERR_NOT_FOUND, kq_str (""));
}

static void
on_flight_body (KqGateway *g, KqFlight *f, KqStr chunk)
{
  uint64_t received = f->body_base + f->body.len + chunk.len;
  if (f->state == KQ_FLIGHT_ENDED)
    return;
  if (check_length (f, (int64_t)received, f->key) != KQ_OK)
    {
      kq_entry_fail (g, f, KQ_ERR_BODY_TOO_LARGE,
                     f->state == KQ_FLIGHT_COLLECTING ? KQ_RAN_NO : KQ_RAN_UNKNOWN, 0,
                     kq_loop_now (g->loop));
      return;
    }
  kq_buf_add_str (&f->body, chunk);
  kq_flight_hold_body (f);
  if (f->state == KQ_FLIGHT_COLLECTING)
    return;
  /* A longer streamed body isn't kept for another try, unless one is due. */
  if (f->body_kept && f->state != KQ_FLIGHT_BACKOFF
      && f->body.len > KQ_RESEND_BODY_MAX_BYTES)
    f->body_kept = false;
  kq_entry_send_body (g, f);
  kq_flight_hold_body (f);
  if (f->body.len >= KQ_CREDIT_WINDOW_BYTES)
    kq_http_pause_upload (f->exchange);
}

static void
on_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  int *tag = kq_http_data (x);
  if (tag != NULL && *tag == TAG_FLIGHT)
    on_flight_body (arg, (KqFlight *)tag, chunk);
  else if (tag != NULL)
    {
      JobExchange *j = (JobExchange *)tag;
      j->too_large
          = j->too_large || !kq_buf_add_bounded (&j->body, chunk, KQ_JOB_BODY_MAX);
      kq_http_hold (x, j->body.capacity);
    }
}

static void
on_flight_body_end (KqGateway *g, KqFlight *f)
{
  KqTime now = kq_loop_now (g->loop);
  f->body_end = true;
  if (f->state != KQ_FLIGHT_COLLECTING)
    kq_entry_send_body (g, f);
  else if (!kq_flight_begin_work (f, g->config.limits, now))
    kq_entry_fail (g, f, KQ_ERR_QUEUE_FULL, KQ_RAN_NO, KQ_SEC, now);
  else
    {
      f->body_length = (int64_t)f->body.len;
      kq_flight_hold_body (f);
      kq_entry_start (g, f, now);
    }
}

static void
on_job_body_end (KqGateway *g, KqHttpExchange *x, JobExchange *j)
{
  if (j->too_large)
    kq_calls_refuse (g->calls, x, KQ_ERR_BODY_TOO_LARGE, kq_str (""));
  else if (g->draining)
    {
      kq_counter_result (g->config.counters, KQ_ERR_DRAINING);
      kq_problem_reply (x, KQ_ERR_DRAINING, KQ_RAN_NO, KQ_SEC, kq_str (""), kq_str (""));
    }
  else
    kq_jobs_http_handle (g->calls, g->config.self, g->table, x, kq_buf_str (&j->body),
                         kq_loop_now (g->loop));
}

static void
on_end (void *arg, KqHttpExchange *x)
{
  int *tag = kq_http_data (x);
  if (tag != NULL && *tag == TAG_FLIGHT)
    on_flight_body_end (arg, (KqFlight *)tag);
  else if (tag != NULL)
    on_job_body_end (arg, x, (JobExchange *)tag);
}

static void
on_answer_consumed (void *arg, KqHttpExchange *x)
{
  int *tag = kq_http_data (x);
  if (tag != NULL && *tag == TAG_FLIGHT)
    kq_entry_answer_consumed (arg, (KqFlight *)tag);
}

static void
on_exchange_ended (void *arg, KqHttpExchange *x, bool whole)
{
  KqGateway *g = arg;
  int *tag = kq_http_data (x);
  if (tag != NULL && *tag == TAG_FLIGHT)
    kq_entry_exchange_ended (g, (KqFlight *)tag, whole, kq_loop_now (g->loop));
  else if (tag != NULL)
    {
      JobExchange *j = (JobExchange *)tag;
      kq_calls_detach (g->calls, x);
      kq_buf_free (&j->body);
      free (j);
    }
}

/* What is known of another node, for the route module. Its state comes from this node's
 * own task, the digests of its services come from its heartbeats. */
typedef struct
{
  KqNodeId id;
  KqRouteNode state;
  KqTime excluded_until; /* not chosen before, since its connection was lost; 0: may be */
  KqServiceDigest *digests;
  size_t n_digests;
} KnownNode;

static void
free_known_node (gpointer p)
{
  KnownNode *k = p;
  free (k->digests);
  free (k);
}

static KnownNode *
get_known_node (KqGateway *g, KqNodeId id)
{
  KnownNode *k = g_hash_table_lookup (g->nodes, &id);
  if (k != NULL)
    return k;
  k = kq_alloc (sizeof *k);
  k->id = id;
  k->state.node = id;
  g_hash_table_insert (g->nodes, &k->id, k);
  return k;
}

static void
update_route (KqGateway *g, const KnownNode *k, KqTime now)
{
  KqRouteNode n = k->state;
  n.usable = n.usable && now >= k->excluded_until;
  kq_route_set_node (g->route, &n, k->digests, k->n_digests, now);
}

/* Handles a connection to another node that came up or was lost. A lost one excludes the
 * owner at once: a node becomes suspect only after several missing heartbeats, and until
 * then each request to a dead owner would cost a try and a part of the retry budget. */
static void
on_peer (KqGateway *g, const KqMailPeer *p, KqTime now)
{
  KnownNode *k = g_hash_table_lookup (g->nodes, &p->peer);
  if (k != NULL)
    {
      k->excluded_until = p->up ? 0 : now + LOST_OWNER_EXCLUSION;
      update_route (g, k, now);
    }
  if (!p->up)
    kq_entry_peer_down (g, p, now);
}

static void
on_heartbeat (KqGateway *g, const KqMsgHeartbeat *h, KqTime now)
{
  KnownNode *k = get_known_node (g, h->node);
  size_t n = 0;
  for (size_t i = 0; i < h->n_shards; i++)
    n += h->shards[i].n_services;
  free (k->digests);
  k->digests = kq_alloc (n * sizeof *k->digests);
  k->n_digests = 0;
  for (size_t i = 0; i < h->n_shards; i++)
    {
      for (size_t s = 0; s < h->shards[i].n_services; s++)
        k->digests[k->n_digests++] = h->shards[i].services[s];
    }
  update_route (g, k, now);
}

/* Answers "explain": how the request `id` ended, and why. NULL: unknown id. */
static json_t *
explain (const KqGateway *g, KqStr id)
{
  const KqRecentEntry *e = kq_recent_find (&g->recent, id);
  json_t *o;
  if (e == NULL)
    return NULL;
  o = json_pack ("{s:s, s:i, s:s, s:s, s:i, s:i, s:I}", "request", e->id_text, "code",
                 (int)e->code, "name", kq_result_name (e->code), "why",
                 kq_result_meaning (e->code), "status", e->status, "tries", e->tries,
                 "took_ms", (json_int_t)(e->duration / KQ_MS));
  json_object_set_new (o, "service", json_stringn (e->service.bytes, e->service.len));
  json_object_set_new (o, "caller", json_stringn (e->caller.bytes, e->caller.len));
  return o;
}

/* Answers the queries "requests" (counts by service) and "explain". */
static void
answer_query (KqGateway *g, KqNodeId from, const KqMsgQuery *q)
{
  bool counts = kq_str_eq (q->what, KQ_STR ("requests"));
  json_t *o
      = counts ? kq_request_counts_json (g->request_counts) : explain (g, q->argument);
  char *text = o != NULL ? json_dumps (o, JSON_COMPACT) : NULL;
  kq_mail_send_answer (g->config.mesh, from, q->call,
                       o != NULL ? KQ_OK : KQ_ERR_NOT_FOUND, kq_str (text));
  free (text);
  json_decref (o);
}

static void
on_message (KqGateway *g, KqNodeId from, const KqMsg *m, KqTime now)
{
  switch (m->kind)
    {
    case KQ_MSG_QUERY:
      answer_query (g, from, &m->u.query);
      break;
    case KQ_MSG_HEARTBEAT:
      on_heartbeat (g, &m->u.heartbeat, now);
      break;
    case KQ_MSG_JOB_REPLY:
    case KQ_MSG_ANSWER:
      kq_calls_answer (g->calls, m);
      break;
    default:
      kq_entry_message (g, from, m, now);
      break;
    }
}

static void
on_table (KqGateway *g, KqTable *t)
{
  if (g->table != NULL)
    kq_table_unref (g->table);
  g->table = kq_table_ref (t);
  kq_route_set_table (g->route, t);
}

static void
on_node (KqGateway *g, const KqMailNode *n, KqTime now)
{
  KnownNode *k = get_known_node (g, n->node);
  k->state = (KqRouteNode){ n->node, n->region, n->depot, n->usable };
  if (n->gone)
    {
      kq_route_drop_node (g->route, n->node);
      g_hash_table_remove (g->nodes, &n->node);
    }
  else
    update_route (g, k, now);
}

static void
report_drained (KqGateway *g)
{
  KqMail *m;
  if (!g->draining || g->drained_reported || kq_gateway_open_requests (g) > 0
      || kq_calls_n_open (g->calls) > 0)
    return;
  g->drained_reported = true;
  m = kq_mail_new (KQ_MAIL_DRAINED);
  m->u.drained = PART;
  kq_task_send (g->config.node, m);
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  KqGateway *g = self;
  switch (mail->kind)
    {
    case KQ_MAIL_MSG:
      on_message (g, mail->u.msg.peer, mail->u.msg.msg, now);
      break;
    case KQ_MAIL_PEER:
      on_peer (g, &mail->u.peer, now);
      break;
    case KQ_MAIL_TABLE:
      on_table (g, mail->u.table);
      break;
    case KQ_MAIL_NODE:
      on_node (g, &mail->u.node, now);
      break;
    case KQ_MAIL_DRAIN:
      g->draining = true;
      break;
    default:
      assert (!"a mail the gateway doesn't take");
      break;
    }
  kq_mail_free (mail);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  KqGateway *g = w->data;
  KqTime now = kq_time_now ();
  (void)ev;
  (void)events;
  kq_entry_tick (g, now);
  kq_calls_tick (g->calls, now);
  report_drained (g);
}

static void
free_flight (gpointer f)
{
  kq_flight_free (f);
}

KqGateway *
kq_gateway_new (KqLoop *loop, const KqGatewayConfig *c)
{
  const KqSettings *s = c->settings;
  KqRouteNode self = { c->self, s->region, s->depot, true };
  KqGateway *g = kq_alloc (sizeof *g);
  KqHttpHandler h
      = { g, on_begin, on_body, on_end, on_answer_consumed, on_exchange_ended };
  g->loop = loop;
  g->config = *c;
  g->http = kq_http_server_new (loop, s->caller_ip, s->caller_port, &h);
  if (g->http == NULL)
    {
      free (g);
      return NULL;
    }
  kq_http_server_set_limits (g->http, c->limits);
  g->route = kq_route_new (&self, s->link_bytes_per_s, c->incarnation);
  g->request_counts = kq_request_counts_new ();
  g->claim_ends = kq_claim_ends_new ();
  g->calls = kq_calls_new (KQ_CALLS_GATEWAY, c->self, c->mesh, c->counters);
  g->flights = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_flight);
  g->nodes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_known_node);
  g->late_messages = kq_counter (c->counters, "kq_late_messages_total", "",
                                 "Answers that came late, twice, or for nobody.");
  g->cut_answers = kq_counter (c->counters, "kq_cut_answers_total", "",
                               "Answers cut because the rest was lost.");
  kq_task_init (&g->task, loop, PART, g, on_mail);
  ev_timer_init (&g->tick, on_tick, TICK_S, TICK_S);
  g->tick.data = g;
  ev_timer_start (kq_loop_ev (loop), &g->tick);
  return g;
}

void
kq_gateway_free (KqGateway *g)
{
  if (g == NULL)
    return;
  ev_timer_stop (kq_loop_ev (g->loop), &g->tick);
  kq_http_server_free (g->http);
  kq_task_close (&g->task);
  g_hash_table_destroy (g->flights);
  g_hash_table_destroy (g->nodes);
  kq_claim_ends_free (g->claim_ends);
  kq_calls_free (g->calls);
  kq_request_counts_free (g->request_counts);
  kq_route_free (g->route);
  if (g->table != NULL)
    kq_table_unref (g->table);
  free (g);
}

int
kq_gateway_port (const KqGateway *g)
{
  return kq_http_server_port (g->http);
}

KqTask *
kq_gateway_task (KqGateway *g)
{
  return &g->task;
}

size_t
kq_gateway_open_requests (const KqGateway *g)
{
  return (size_t)kq_request_counts_in_flight (g->request_counts);
}
