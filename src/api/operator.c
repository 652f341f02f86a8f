#include "api/operator.h"

#include "api/calls.h"
#include "api/jobs_http.h"
#include "port/mail.h"
#include "request/problem.h"

#include <ev.h>
#include <jansson.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.1
/* Enough to import a whole table; the store accepts no larger value. */
#define BODY_MAX_BYTES (1024 * 1024)

struct KqOperator
{
  KqLoop *loop;
  KqTask task;
  KqOperatorConfig config;
  KqHttpServer *http;
  KqCalls *calls;
  KqTable *table;
  ev_timer tick;
};

/* The data of an exchange (kq_http_data). */
typedef struct
{
  KqBuf body;
  bool too_large;
} Request;

static void
refuse (KqOperator *o, KqHttpExchange *x, KqResult code, KqStr detail)
{
  kq_calls_refuse (o->calls, x, code, detail);
}

static void
reply_text (KqHttpExchange *x, int status, const char *type, KqStr text)
{
  KqHeader h[1] = { { KQ_STR ("Content-Type"), kq_str (type) } };
  kq_http_reply (x, status, h, 1, text);
}

static bool
authorized (const KqOperator *o, KqHttpExchange *x)
{
  KqStr given = kq_http_header (x, "Authorization");
  KqStr prefix = KQ_STR ("Bearer ");
  KqStr token = kq_str (o->config.settings->operator_token);
  if (!kq_str_has_prefix (given, prefix))
    return false;
  given = kq_str_n (given.ptr + prefix.len, given.len - prefix.len);
  return kq_str_eq_secret (given, token);
}

static KqNodeId
target_node (const KqOperator *o, KqHttpExchange *x)
{
  KqStr name = kq_query_value (kq_http_query (x), "node");
  return name.len > 0 ? kq_str_hash (name) : o->config.self;
}

static void
send_query (KqOperator *o, KqHttpExchange *x, const char *what, KqStr argument)
{
  KqMsg m = { .kind = KQ_MSG_QUERY };
  m.u.query.what = kq_str (what);
  m.u.query.argument = argument;
  kq_calls_ask (o->calls, target_node (o, x), &m, x, kq_loop_now (o->loop));
}

/* Reads the precondition of a change and adds it to `change`: If-Match "N" (the row's
 * revision), If-Match * (any revision), If-None-Match * (the row must be new). */
static KqResult
read_match (KqHttpExchange *x, json_t *change)
{
  KqStr match = kq_http_header (x, "If-Match");
  KqStr none = kq_http_header (x, "If-None-Match");
  int64_t revision;
  if (kq_str_eq (none, KQ_STR ("*")))
    {
      json_object_set_new (change, "expect", json_integer (0));
      return KQ_OK;
    }
  if (kq_str_eq (match, KQ_STR ("*")))
    return KQ_OK;
  if (match.len >= 2 && match.ptr[0] == '"' && match.ptr[match.len - 1] == '"')
    match = kq_str_n (match.ptr + 1, match.len - 2);
  if (match.len == 0)
    return KQ_ERR_PRECONDITION;
  if (!kq_str_to_i64 (match, &revision) || revision < 1)
    return KQ_ERR_BAD_ARGUMENT;
  json_object_set_new (change, "expect", json_integer (revision));
  return KQ_OK;
}

static void
send_change (KqOperator *o, KqHttpExchange *x, json_t *change)
{
  json_t *all = json_pack ("{s:[O]}", "changes", change);
  char *text = json_dumps (all, JSON_COMPACT);
  send_query (o, x, "table-change", kq_str (text));
  free (text);
  json_decref (all);
}

/* PUT or DELETE /v1/table/KIND/NAME */
static void
change_row (KqOperator *o, KqHttpExchange *x, KqStr rest, KqStr body)
{
  KqStr kind = kq_str_cut (&rest, '/');
  bool remove = kq_str_eq (kq_http_method (x), KQ_STR ("DELETE"));
  json_error_t error;
  json_t *fields = NULL;
  json_t *change = json_pack ("{s:s%, s:s%, s:b}", "kind", kind.ptr, kind.len, "name",
                              rest.ptr, rest.len, "remove", remove);
  KqResult r = KQ_ERR_BAD_ARGUMENT;
  if (change == NULL)
    goto out;
  if (!remove)
    {
      fields = json_loadb (body.ptr, body.len, JSON_REJECT_DUPLICATES, &error);
      if (!json_is_object (fields))
        {
          r = KQ_ERR_TABLE_ROW;
          goto out;
        }
      json_object_set (change, "fields", fields);
    }
  r = read_match (x, change);
  if (r == KQ_OK)
    send_change (o, x, change);
out:
  if (r != KQ_OK)
    refuse (o, x, r, kq_str (""));
  json_decref (fields);
  json_decref (change);
}

/* GET /v1/table/KIND/NAME */
static void
show_row (KqOperator *o, KqHttpExchange *x, KqStr rest)
{
  KqStr kind_text = kq_str_cut (&rest, '/');
  KqRowKind kind;
  const KqRow *row;
  char etag[32];
  json_t *fields;
  char *text;
  if (o->table == NULL)
    {
      refuse (o, x, KQ_ERR_TABLE_NONE, kq_str (""));
      return;
    }
  row = kq_row_kind_parse (kind_text, &kind) ? kq_table_find (o->table, kind, rest)
                                             : NULL;
  if (row == NULL)
    {
      refuse (o, x, KQ_ERR_TABLE_NOT_FOUND, kq_str (""));
      return;
    }
  fields = kq_row_to_json (row, false);
  text = json_dumps (fields, JSON_COMPACT);
  snprintf (etag, sizeof etag, "\"%llu\"", (unsigned long long)row->revision);
  KqHeader h[2] = { { KQ_STR ("Content-Type"), KQ_STR ("application/json") },
                    { KQ_STR ("ETag"), kq_str (etag) } };
  kq_http_reply (x, 200, h, 2, kq_str (text));
  free (text);
  json_decref (fields);
}

static void
handle_table (KqOperator *o, KqHttpExchange *x, KqStr path, KqStr body)
{
  KqStr prefix = KQ_STR ("/v1/table/");
  KqStr method = kq_http_method (x);
  if (kq_str_has_prefix (path, prefix))
    {
      KqStr rest = kq_str_n (path.ptr + prefix.len, path.len - prefix.len);
      if (kq_str_eq (method, KQ_STR ("GET")))
        show_row (o, x, rest);
      else if (kq_str_eq (method, KQ_STR ("PUT"))
               || kq_str_eq (method, KQ_STR ("DELETE")))
        change_row (o, x, rest, body);
      else
        refuse (o, x, KQ_ERR_METHOD, kq_str (""));
    }
  else if (kq_str_eq (method, KQ_STR ("GET")))
    send_query (o, x, "table", kq_str (""));
  else if (kq_str_eq (method, KQ_STR ("POST")))
    send_query (o, x, "table-change", body);
  else
    refuse (o, x, KQ_ERR_METHOD, kq_str (""));
}

static void
show_metrics (KqOperator *o, KqHttpExchange *x)
{
  KqBuf text = { 0 };
  kq_counters_print (o->config.counters, &text);
  reply_text (x, 200, "text/plain; version=0.0.4", kq_buf_str (&text));
  kq_buf_free (&text);
}

static void
show_ready (KqOperator *o, KqHttpExchange *x)
{
  const char *why = "";
  if (o->config.ready (o->config.arg, kq_loop_now (o->loop), &why))
    reply_text (x, 200, "text/plain", KQ_STR ("ready\n"));
  else
    refuse (o, x, KQ_ERR_NOT_READY, kq_str (why));
}

/* A path that is a plain query, its method, and the query's name in KqMsgQuery. */
typedef struct
{
  const char *path;
  const char *method;
  const char *what;
} Query;

static const Query queries[] = {
  { "/v1/node", "GET", "node" },
  { "/v1/nodes", "GET", "nodes" },
  { "/v1/shards", "GET", "shards" },
  { "/v1/workers", "GET", "workers" },
  { "/v1/queues", "GET", "queues" },
  { "/v1/account/requests", "GET", "requests" },
  { "/v1/account/jobs", "GET", "jobs-account" },
  { "/v1/node/drain", "POST", "drain" },
};

static bool
handle_query (KqOperator *o, KqHttpExchange *x, KqStr path)
{
  for (size_t i = 0; i < sizeof queries / sizeof queries[0]; i++)
    {
      if (!kq_str_eq (path, kq_str (queries[i].path)))
        continue;
      if (kq_str_eq (kq_http_method (x), kq_str (queries[i].method)))
        send_query (o, x, queries[i].what, kq_str (""));
      else
        refuse (o, x, KQ_ERR_METHOD, kq_str (""));
      return true;
    }
  return false;
}

static void
dispatch (KqOperator *o, KqHttpExchange *x, KqStr body)
{
  KqStr path = kq_http_path (x);
  KqStr explain = KQ_STR ("/v1/explain/");
  if (kq_jobs_http_path (path))
    kq_jobs_http_handle (o->calls, o->config.self, o->table, x, body,
                         kq_loop_now (o->loop));
  else if (kq_str_eq (path, KQ_STR ("/v1/table"))
           || kq_str_has_prefix (path, KQ_STR ("/v1/table/")))
    handle_table (o, x, path, body);
  else if (kq_str_eq (path, KQ_STR ("/metrics")))
    show_metrics (o, x);
  else if (kq_str_eq (path, KQ_STR ("/v1/node/log-level")))
    send_query (o, x, "log-level", kq_str_trim (body));
  else if (kq_str_has_prefix (path, explain))
    send_query (o, x, "explain",
                kq_str_n (path.ptr + explain.len, path.len - explain.len));
  else if (!handle_query (o, x, path))
    refuse (o, x, KQ_ERR_NOT_FOUND, kq_str (""));
}

static void
on_begin (void *arg, KqHttpExchange *x)
{
  KqOperator *o = arg;
  KqStr path = kq_http_path (x);
  if (kq_str_eq (path, KQ_STR ("/healthz")))
    reply_text (x, 200, "text/plain", KQ_STR ("ok\n"));
  else if (kq_str_eq (path, KQ_STR ("/readyz")))
    show_ready (o, x);
  else if (!authorized (o, x))
    refuse (o, x, KQ_ERR_NOT_AUTHORIZED, kq_str (""));
  else
    kq_http_set_data (x, kq_alloc (sizeof (Request)));
}

static void
on_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  Request *r = kq_http_data (x);
  (void)arg;
  if (r == NULL)
    return;
  r->too_large = r->too_large || !kq_buf_add_bounded (&r->body, chunk, BODY_MAX_BYTES);
  kq_http_hold (x, r->body.capacity);
}

static void
on_end (void *arg, KqHttpExchange *x)
{
  Request *r = kq_http_data (x);
  if (r != NULL && r->too_large)
    refuse (arg, x, KQ_ERR_BODY_TOO_LARGE, kq_str (""));
  else if (r != NULL)
    dispatch (arg, x, kq_buf_str (&r->body));
}

static void
on_finished (void *arg, KqHttpExchange *x, bool whole)
{
  KqOperator *o = arg;
  Request *r = kq_http_data (x);
  (void)whole;
  kq_calls_detach (o->calls, x);
  if (r == NULL)
    return;
  kq_buf_free (&r->body);
  free (r);
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  KqOperator *o = self;
  (void)now;
  if (mail->kind == KQ_MAIL_MSG)
    kq_calls_answer (o->calls, mail->u.msg.msg);
  else
    {
      assert (mail->kind == KQ_MAIL_TABLE);
      if (o->table != NULL)
        kq_table_unref (o->table);
      o->table = kq_table_ref (mail->u.table);
    }
  kq_mail_free (mail);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  KqOperator *o = w->data;
  (void)ev;
  (void)events;
  kq_calls_tick (o->calls, kq_time_now ());
}

KqOperator *
kq_operator_new (KqLoop *loop, const KqOperatorConfig *c)
{
  KqOperator *o = kq_alloc (sizeof *o);
  KqHttpHandler h = { o, on_begin, on_body, on_end, NULL, on_finished };
  o->loop = loop;
  o->config = *c;
  o->http = kq_http_server_new (loop, c->settings->operator_ip,
                                c->settings->operator_port, &h);
  if (o->http == NULL)
    {
      free (o);
      return NULL;
    }
  kq_http_server_set_limits (o->http, c->limits);
  o->calls = kq_calls_new (KQ_CALLS_OPERATOR, c->self, c->mesh, c->counters);
  kq_task_init (&o->task, loop, "operator", o, on_mail);
  ev_timer_init (&o->tick, on_tick, TICK_S, TICK_S);
  o->tick.data = o;
  ev_timer_start (kq_loop_ev (loop), &o->tick);
  return o;
}

void
kq_operator_free (KqOperator *o)
{
  if (o == NULL)
    return;
  ev_timer_stop (kq_loop_ev (o->loop), &o->tick);
  kq_http_server_free (o->http);
  kq_task_close (&o->task);
  kq_calls_free (o->calls);
  if (o->table != NULL)
    kq_table_unref (o->table);
  free (o);
}

int
kq_operator_port (const KqOperator *o)
{
  return kq_http_server_port (o->http);
}

KqTask *
kq_operator_task (KqOperator *o)
{
  return &o->task;
}
