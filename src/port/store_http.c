#include "port/store_http.h"

#include "base/log.h"
#include "http/client.h"
#include "port/budget.h"
#include "port/etag_cache.h"
#include "port/json_reader.h"
#include "port/mail.h"
#include "port/meter.h"
#include "port/store_url.h"

#include <ev.h>
#include <glib.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Most open watches. Each occupies a connection of its own; a node needs one or two. */
#define WATCHES_MAX 8
/* A longer answer is an error. The answer to a LIST of the largest journal is shorter. */
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)
#define N_KINDS (KQ_STORE_HOSTS + 1)

static const char *const kind_names[N_KINDS]
    = { "get",         "put",          "delete", "list", "lease_grant",
        "lease_renew", "lease_revoke", "watch",  "hosts" };

/* A call that is queued or open (sent and not yet answered). */
typedef struct
{
  GList link;
  KqStorePort *port;
  KqOut out; /* owns key and value */
  KqTime queued_at;
  KqTime sent_at;
  int status;
  bool has_revision;
  uint64_t revision;
  KqBuf tag; /* the answer's entity tag; "": none */
  KqBuf body;
  bool too_long;
} Call;

struct KqStorePort
{
  KqTask task;
  KqLoop *loop;
  KqHttpClient *client;
  KqStoreHttpConfig config;
  char *url;
  KqBudget budget;
  KqEtagCache *host_lists; /* last host list of each depot */
  GQueue urgent;           /* of Call, first in first out */
  GQueue normal;
  GQueue open;
  int watches;
  KqTime answered_at;
  KqTime no_reuse_until; /* until then calls use new connections */
  KqTime logged_at;      /* last log of an invalid answer */
  ev_timer send_timer;   /* runs schedule () when the next queued call is due */
  KqMeter meters[N_KINDS];
  uint64_t *bytes_out;
  uint64_t *bytes_in;
};

static bool
is_lease (KqStoreOpKind k)
{
  return k == KQ_STORE_LEASE_GRANT || k == KQ_STORE_LEASE_RENEW
         || k == KQ_STORE_LEASE_REVOKE;
}

static bool
is_write (KqStoreOpKind k)
{
  return k == KQ_STORE_PUT || k == KQ_STORE_DELETE || is_lease (k);
}

static int
timeout_ms (const KqStorePort *p, const KqStoreOp *op)
{
  if (op->kind == KQ_STORE_WATCH)
    return op->wait_ms + p->config.watch_margin_ms;
  return is_write (op->kind) ? p->config.write_ms : p->config.read_ms;
}

static void
free_call (Call *c)
{
  kq_out_clear (&c->out);
  kq_buf_free (&c->body);
  kq_buf_free (&c->tag);
  free (c);
}

static void
send_reply (Call *c, KqStoreReply *r)
{
  const KqStoreOp *op = &c->out.u.store;
  r->kind = op->kind;
  r->part = op->part;
  r->token = op->token;
  r->sent_at = c->sent_at;
  kq_task_send (c->port->config.receiver, kq_mail_store_reply (r));
  if (r->result != KQ_OK)
    kq_counter_result (c->port->config.counters, r->result);
}

/* Answers a call that was never sent. */
static void
answer_unsent (Call *c, KqResult result)
{
  KqStoreReply r = { .result = result };
  kq_meter_unsent (&c->port->meters[c->out.u.store.kind], result);
  send_reply (c, &r);
  free_call (c);
}

static bool
base64_ok (KqStr s)
{
  static const char alphabet[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=";
  if (s.len % 4 != 0)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.ptr[i] == '\0' || strchr (alphabet, s.ptr[i]) == NULL)
        return false;
    }
  return true;
}

static void
read_item (KqJsonReader *e, KqStoreItem *to)
{
  KqStr text = kq_json_str (e, "value");
  gsize n = 0;
  to->key = kq_json_str (e, "key");
  to->revision = (uint64_t)kq_json_i64 (e, "revision", 1, INT64_MAX);
  if (!base64_ok (text))
    e->bad = true;
  else
    to->value.ptr = (const char *)g_base64_decode (text.ptr, &n);
  to->value.len = n;
}

static void
free_items (KqStoreReply *r)
{
  for (size_t i = 0; i < r->n_items; i++)
    g_free ((char *)r->items[i].value.ptr);
  free (r->items);
}

/* {"revision": n, "items": [{"key", "value" (base64), "revision"}]}. The items' keys
 * point into j; free_items frees the values. */
static KqResult
read_items (const json_t *j, KqStoreReply *r)
{
  KqJsonReader reader = { .at = j, .bad = j == NULL };
  size_t n;
  const json_t *list = kq_json_array (&reader, "items", &n);
  r->revision = (uint64_t)kq_json_i64 (&reader, "revision", 0, INT64_MAX);
  r->items = kq_alloc ((n + 1) * sizeof *r->items);
  for (; r->n_items < n; r->n_items++)
    {
      KqJsonReader e = kq_json_element (list, r->n_items);
      read_item (&e, &r->items[r->n_items]);
      kq_json_propagate (&reader, &e);
    }
  return reader.bad ? KQ_ERR_PLATFORM_FORMAT : KQ_OK;
}

static KqResult
read_lease (const json_t *j, KqStoreReply *r)
{
  KqJsonReader reader = { .at = j, .bad = j == NULL };
  r->lease = (uint64_t)kq_json_i64 (&reader, "lease", 1, INT64_MAX);
  return reader.bad ? KQ_ERR_PLATFORM_FORMAT : KQ_OK;
}

static KqResult
require_revision (const Call *c, KqResult result, KqStoreReply *r)
{
  r->revision = c->revision;
  return c->has_revision ? result : KQ_ERR_PLATFORM_FORMAT;
}

static KqResult
read_hosts (const Call *c, KqStoreReply *r)
{
  r->value = kq_buf_str (&c->body);
  kq_etag_cache_put (c->port->host_lists, c->out.u.store.key, kq_buf_str (&c->tag),
                     r->value);
  return KQ_OK;
}

/* Handles the status 304 (unchanged): the reply gets the cached host list. A 304 to a
 * request without a tag is invalid. */
static KqResult
read_unchanged (const Call *c, KqStoreReply *r)
{
  KqStr key = c->out.u.store.key;
  if (c->out.u.store.kind != KQ_STORE_HOSTS
      || kq_etag_cache_tag (c->port->host_lists, key).len == 0)
    return KQ_ERR_STORE_UNREACHABLE;
  r->value = kq_etag_cache_body (c->port->host_lists, key);
  return KQ_OK;
}

static KqResult
read_ok (const Call *c, const json_t *j, KqStoreReply *r)
{
  r->lease = c->out.u.store.lease;
  switch (c->out.u.store.kind)
    {
    case KQ_STORE_GET:
      r->value = kq_buf_str (&c->body);
      return require_revision (c, KQ_OK, r);
    case KQ_STORE_PUT:
    case KQ_STORE_DELETE:
      return require_revision (c, KQ_OK, r);
    case KQ_STORE_LIST:
    case KQ_STORE_WATCH:
      return read_items (j, r);
    case KQ_STORE_LEASE_GRANT:
      return read_lease (j, r);
    case KQ_STORE_HOSTS:
      return read_hosts (c, r);
    case KQ_STORE_LEASE_RENEW:
    case KQ_STORE_LEASE_REVOKE:
      break;
    }
  return KQ_OK;
}

static KqResult
read_answer (const Call *c, KqHttpOutcome outcome, const json_t *j, KqStoreReply *r)
{
  if (outcome != KQ_HTTP_DONE)
    return KQ_ERR_STORE_UNREACHABLE;
  if (c->too_long)
    return KQ_ERR_PLATFORM_FORMAT;
  switch (c->status)
    {
    case 200:
      return read_ok (c, j, r);
    case 304:
      return read_unchanged (c, r);
    case 404:
      return KQ_ERR_STORE_NOT_FOUND;
    case 409:
      r->value = kq_buf_str (&c->body);
      return require_revision (c, KQ_ERR_STORE_CONFLICT, r);
    case 410:
      return KQ_ERR_STORE_LEASE_LOST;
    case 413:
      return KQ_ERR_STORE_TOO_LARGE;
    case 429: /* the store's rate limit; nothing was done */
      return KQ_ERR_STORE_BUSY;
    default:
      return KQ_ERR_STORE_UNREACHABLE;
    }
}

static bool
answers_json (KqStoreOpKind k)
{
  return k == KQ_STORE_LIST || k == KQ_STORE_WATCH || k == KQ_STORE_LEASE_GRANT;
}

/* Logs at most once a second, because a faulty store may fail every call. */
static void
log_invalid_answer (KqStorePort *p, const Call *c, KqResult result, KqTime now)
{
  if (result != KQ_ERR_PLATFORM_FORMAT || now - p->logged_at < KQ_SEC)
    return;
  p->logged_at = now;
  kq_log (KQ_LOG_WARN, "store", "Answer can't be read. kind=%s status=%d bytes=%zu",
          kind_names[c->out.u.store.kind], c->status, c->body.len);
}

static void schedule (KqStorePort *p, KqTime now);

static void
on_done (void *arg, KqHttpCall *http, KqHttpOutcome outcome)
{
  Call *c = arg;
  KqStorePort *p = c->port;
  KqStoreOpKind kind = c->out.u.store.kind;
  KqStoreReply r = { 0 };
  KqTime now = kq_time_now ();
  json_t *j = NULL;
  (void)http;
  *p->bytes_out = kq_http_client_bytes_out (p->client);
  *p->bytes_in = kq_http_client_bytes_in (p->client);
  g_queue_unlink (&p->open, &c->link);
  if (kind == KQ_STORE_WATCH)
    p->watches--;
  if (outcome == KQ_HTTP_DONE && c->status == 200 && answers_json (kind))
    j = kq_json_parse (kq_buf_str (&c->body));
  r.result = read_answer (c, outcome, j, &r);
  if (r.result != KQ_ERR_STORE_UNREACHABLE && r.result != KQ_ERR_PLATFORM_FORMAT)
    p->answered_at = now;
  /* What broke one connection has probably broken the other pooled connections too, and
   * each of them would cost a timeout. When no_reuse_until has passed, these have been
   * idle for longer than idle_ms and aren't reused. */
  if (outcome != KQ_HTTP_DONE)
    p->no_reuse_until = now + p->config.idle_ms * KQ_MS + KQ_SEC;
  log_invalid_answer (p, c, r.result, now);
  kq_meter_answered (&p->meters[kind], r.result, now - c->sent_at, c->body.len);
  send_reply (c, &r);
  free_items (&r);
  json_decref (j);
  free_call (c);
  schedule (p, now);
}

static void
on_head (void *arg, KqHttpCall *http, int status, const KqHeader *h, size_t n,
         int64_t length)
{
  Call *c = arg;
  (void)http;
  (void)length;
  c->status = status;
  for (size_t i = 0; i < n; i++)
    {
      if (h[i].name.len == 10
          && g_ascii_strncasecmp (h[i].name.ptr, "X-Revision", 10) == 0)
        c->has_revision = kq_str_to_u64 (h[i].value, &c->revision);
      if (h[i].name.len == 4 && g_ascii_strncasecmp (h[i].name.ptr, "ETag", 4) == 0)
        kq_buf_add_str (&c->tag, h[i].value);
    }
}

/* For the read of a host list, sets *h to the If-None-Match header if a tag is cached.
 * Returns the number of headers set: 0 or 1. */
static size_t
add_condition (const KqStorePort *p, const KqStoreOp *op, KqHeader *h)
{
  if (op->kind != KQ_STORE_HOSTS)
    return 0;
  h->name = KQ_STR ("If-None-Match");
  h->value = kq_etag_cache_tag (p->host_lists, op->key);
  return h->value.len > 0;
}

static void
on_data (void *arg, KqHttpCall *http, KqStr chunk)
{
  Call *c = arg;
  (void)http;
  c->too_long = c->too_long || !kq_buf_add_bounded (&c->body, chunk, ANSWER_MAX_BYTES);
}

/* libcurl resends a request when a reused connection closes before the first byte of the
 * answer. A compare-and-swap that is done twice is answered CONFLICT although it took
 * effect, and an owner would step down without need. libcurl can't resend a streamed
 * body of which a part has been sent, so writes with a body are streamed; other writes
 * use a new connection, except lease renewals, which may be repeated. */
static void
send_call (KqStorePort *p, Call *c)
{
  const KqStoreOp *op = &c->out.u.store;
  KqHttpCallback cb = { .arg = c, .head = on_head, .data = on_data, .done = on_done };
  KqHttpRequest r = { .connect_ms = p->config.connect_ms };
  KqBuf url = { 0 };
  KqHeader condition;
  KqHttpCall *http;

  r.headers = &condition;
  r.n_headers = add_condition (p, op, &condition);
  r.method = kq_store_request_url (p->url, op, &url);
  r.url = url.ptr;
  r.total_ms = timeout_ms (p, op);
  r.streamed = op->kind == KQ_STORE_PUT && op->value.len > 0;
  r.body_length = (int64_t)op->value.len;
  c->sent_at = kq_time_now ();
  r.fresh_connection
      = (is_write (op->kind) && !r.streamed) || c->sent_at < p->no_reuse_until;
  if (op->kind == KQ_STORE_LEASE_RENEW)
    r.fresh_connection = c->sent_at < p->no_reuse_until;
  if (op->kind == KQ_STORE_WATCH)
    p->watches++;
  g_queue_push_tail_link (&p->open, &c->link);
  http = kq_http_call (p->client, &r, &cb);
  if (r.streamed)
    kq_http_call_feed (http, op->value, true);
  kq_meter_sent (&p->meters[op->kind], op->value.len);
  kq_buf_free (&url);
}

static bool
too_many_watches (const KqStorePort *p, const Call *c)
{
  return c->out.u.store.kind == KQ_STORE_WATCH && p->watches >= WATCHES_MAX;
}

static bool
may_open (const KqStorePort *p, const Call *c, bool urgent)
{
  int open = (int)p->open.length - p->watches;
  if (c->out.u.store.kind == KQ_STORE_WATCH)
    return true;
  /* Slow normal calls must not occupy all connections while a lease expires. */
  return open < (urgent ? p->config.connections : p->config.connections * 3 / 4);
}

/* Sends queued calls while budget and connections allow, and answers those that have
 * waited too long. Returns the time of the next run; KQ_TIME_NEVER: no run is needed
 * until a call ends or is queued. */
static KqTime
send_queued (KqStorePort *p, GQueue *q, bool urgent, KqTime now)
{
  GList *l;
  while ((l = g_queue_peek_head_link (q)) != NULL)
    {
      Call *c = l->data;
      KqTime until = c->queued_at + p->config.read_ms * KQ_MS;
      if (now >= until)
        {
          g_queue_unlink (q, l);
          answer_unsent (c, KQ_ERR_STORE_BUSY);
          continue;
        }
      if (too_many_watches (p, c))
        {
          g_queue_unlink (q, l);
          answer_unsent (c, KQ_ERR_STORE_BUSY);
          continue;
        }
      if (!may_open (p, c, urgent))
        return until;
      if (!kq_budget_take (&p->budget, urgent, now))
        {
          KqTime next = kq_budget_next_time (&p->budget, urgent, now);
          return next < until ? next : until;
        }
      g_queue_unlink (q, l);
      send_call (p, c);
    }
  return KQ_TIME_NEVER;
}

static void
schedule (KqStorePort *p, KqTime now)
{
  struct ev_loop *ev = kq_loop_ev (p->loop);
  KqTime a = send_queued (p, &p->urgent, true, now);
  KqTime b = send_queued (p, &p->normal, false, now);
  KqTime next = a < b ? a : b;
  ev_timer_stop (ev, &p->send_timer);
  if (next == KQ_TIME_NEVER)
    return;
  ev_now_update (ev);
  ev_timer_set (&p->send_timer, (double)(next > now ? next - now : 0) / 1e6, 0);
  ev_timer_start (ev, &p->send_timer);
}

static void
on_send_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  schedule (w->data, kq_time_now ());
}

static void
handle (void *self, KqMail *mail, KqTime now)
{
  KqStorePort *p = self;
  const KqStoreOp *op = &mail->u.out.u.store;
  bool urgent;
  GQueue *q;
  Call *c;
  if (mail->kind != KQ_MAIL_OUT || mail->u.out.kind != KQ_OUT_STORE)
    {
      kq_mail_free (mail);
      return;
    }
  urgent = op->call_class == KQ_STORE_URGENT || is_lease (op->kind);
  q = urgent ? &p->urgent : &p->normal;
  c = kq_alloc (sizeof *c);
  c->link.data = c;
  c->port = p;
  c->queued_at = c->sent_at = now;
  c->out = mail->u.out;
  mail->u.out = (KqOut){ .kind = KQ_OUT_STORE };
  kq_mail_free (mail);
  if (c->out.u.store.value.len > KQ_STORE_VALUE_MAX)
    answer_unsent (c, KQ_ERR_STORE_TOO_LARGE);
  else if ((int)q->length >= p->config.queue_max)
    answer_unsent (c, KQ_ERR_STORE_BUSY);
  else
    g_queue_push_tail_link (q, &c->link);
  schedule (p, now);
}

static void
set_default (int *field, int value)
{
  if (*field <= 0)
    *field = value;
}

KqStorePort *
kq_store_http_new (KqLoop *loop, const KqStoreHttpConfig *config)
{
  KqStorePort *p = kq_alloc (sizeof *p);
  KqStoreHttpConfig *c = &p->config;
  assert (config->counters != NULL && config->receiver != NULL);
  *c = *config;
  set_default (&c->calls_per_second, 200);
  set_default (&c->burst, c->calls_per_second);
  set_default (&c->reserve, c->burst / 4);
  set_default (&c->queue_max, 256);
  set_default (&c->connections, 16);
  set_default (&c->connect_ms, 500);
  set_default (&c->read_ms, 2000);
  set_default (&c->write_ms, 2000);
  set_default (&c->watch_margin_ms, 1000);
  set_default (&c->idle_ms, 5000);
  p->loop = loop;
  p->host_lists = kq_etag_cache_new ();
  p->url = kq_str_dup (config->url);
  p->client = kq_http_client_new (loop, c->connections + WATCHES_MAX, c->idle_ms);
  kq_budget_init (&p->budget, c->calls_per_second, c->burst, c->reserve, kq_time_now ());
  for (int i = 0; i < N_KINDS; i++)
    kq_meter_init (&p->meters[i], c->counters, "store", kind_names[i]);
  p->bytes_out = kq_counter (config->counters, "kq_store_bytes_out_total", "",
                             "Bytes to the store, heads and bodies.");
  p->bytes_in = kq_counter (config->counters, "kq_store_bytes_in_total", "",
                            "Bytes from the store, heads and bodies.");
  ev_timer_init (&p->send_timer, on_send_timer, 0, 0);
  p->send_timer.data = p;
  kq_task_init (&p->task, loop, "store", p, handle);
  return p;
}

static void
free_queue (GQueue *q)
{
  GList *l;
  while ((l = g_queue_pop_head_link (q)) != NULL)
    free_call (l->data);
}

void
kq_store_http_free (KqStorePort *p)
{
  if (p == NULL)
    return;
  kq_task_close (&p->task);
  ev_timer_stop (kq_loop_ev (p->loop), &p->send_timer);
  kq_http_client_free (p->client);
  free_queue (&p->urgent);
  free_queue (&p->normal);
  free_queue (&p->open);
  kq_etag_cache_free (p->host_lists);
  free (p->url);
  free (p);
}

KqTask *
kq_store_http_task (KqStorePort *p)
{
  return &p->task;
}

int
kq_store_http_open_calls (const KqStorePort *p)
{
  return (int)p->open.length;
}

int
kq_store_http_queued_calls (const KqStorePort *p)
{
  return (int)(p->urgent.length + p->normal.length);
}

KqTime
kq_store_http_answered_at (const KqStorePort *p)
{
  return p->answered_at;
}
