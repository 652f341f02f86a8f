/* standin-store: the platform's key-value service and host list, for tests: an HTTP
 * server over port/store_fake. docs/PLATFORM.md describes its calls and faults. */

#include "port/budget.h"
#include "port/store_fake.h"
#include "web.h"

#include <glib.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The platform allows several hundred writes and about 2000 reads a second. */
#define WRITES_PER_SECOND 500
#define READS_PER_SECOND 2000
#define OP_KINDS (KQ_STORE_HOSTS + 1)
#define TICK_INTERVAL_S 0.1
/* A longer gap between two ticks means that this process was paused. */
#define PAUSE_MIN (500 * KQ_MS)

static const char *const op_kind_names[OP_KINDS]
    = { "get",         "put",          "delete", "list", "lease_grant",
        "lease_renew", "lease_revoke", "watch",  "hosts" };

typedef struct
{
  json_t *json;
  KqTime registered_at;
  KqTime changed_at;
  const char *state;          /* NULL: not listed */
  const char *previous_state; /* listed until changed_at + hosts_lag_ms */
} Host;

typedef struct
{
  KqLoop *loop;
  KqWeb *web;
  KqStoreFake *fake;
  ev_timer reply_timer;
  GHashTable *pending; /* token -> KqWebCall without an answer yet */
  uint64_t last_token;
  uint64_t calls[OP_KINDS];
  uint64_t refused;
  gboolean limited;
  KqBudget reads;
  KqBudget writes;
  GTree *hosts; /* name -> Host */
  KqTime last_tick;
  ev_timer tick;
  int hosts_lag_ms;
  int hosts_gone_ms; /* a host that didn't register for so long is gone */
} Store;

static void
reply_value (KqWebCall *c, int status, const KqStoreReply *r)
{
  char text[32];
  snprintf (text, sizeof text, "%llu", (unsigned long long)r->revision);
  kq_web_reply (c, status, "X-Revision", text, r->value);
}

static void
reply_list (KqWebCall *c, const KqStoreReply *r)
{
  json_t *items = json_array ();
  for (size_t i = 0; i < r->n_items; i++)
    {
      const KqStoreItem *e = &r->items[i];
      char *text = g_base64_encode ((const guchar *)e->value.ptr, e->value.len);
      json_array_append_new (items, json_pack ("{s:s%,s:s,s:I}", "key", e->key.ptr,
                                               e->key.len, "value", text, "revision",
                                               (json_int_t)e->revision));
      g_free (text);
    }
  kq_web_reply_json (
      c, 200,
      json_pack ("{s:I,s:o}", "revision", (json_int_t)r->revision, "items", items));
}

static void
reply_ok (KqWebCall *c, const KqStoreReply *r)
{
  switch (r->kind)
    {
    case KQ_STORE_GET:
    case KQ_STORE_PUT:
    case KQ_STORE_DELETE:
      reply_value (c, 200, r);
      break;
    case KQ_STORE_LIST:
    case KQ_STORE_WATCH:
      reply_list (c, r);
      break;
    case KQ_STORE_LEASE_GRANT:
    case KQ_STORE_LEASE_RENEW:
    case KQ_STORE_LEASE_REVOKE:
    case KQ_STORE_HOSTS:
      kq_web_reply_json (c, 200, json_pack ("{s:I}", "lease", (json_int_t)r->lease));
      break;
    }
}

static void
reply (KqWebCall *c, const KqStoreReply *r)
{
  if (r->kind == KQ_STORE_WATCH && kq_web_watch_silent (c))
    return; /* stays open without an answer */
  if (r->result == KQ_OK)
    reply_ok (c, r);
  else if (r->result == KQ_ERR_STORE_CONFLICT)
    reply_value (c, 409, r);
  else if (r->result == KQ_ERR_STORE_NOT_FOUND)
    kq_web_error (c, 404, "not found");
  else if (r->result == KQ_ERR_STORE_LEASE_LOST)
    kq_web_error (c, 410, "lease lapsed");
  else
    kq_web_error (c, r->result == KQ_ERR_STORE_TOO_LARGE ? 413 : 500, "refused");
}

static void
run_fake (Store *s)
{
  struct ev_loop *ev = kq_loop_ev (s->loop);
  KqTime now = kq_time_now ();
  KqStoreReply r;
  KqTime due;
  int client;
  while (kq_store_fake_next (s->fake, now, &client, &r))
    {
      KqWebCall *c = g_hash_table_lookup (s->pending, GSIZE_TO_POINTER (r.token));
      g_hash_table_remove (s->pending, GSIZE_TO_POINTER (r.token));
      if (c != NULL)
        reply (c, &r);
    }
  due = kq_store_fake_next_time (s->fake);
  ev_timer_stop (ev, &s->reply_timer);
  if (due == KQ_TIME_NEVER)
    return;
  ev_now_update (ev);
  ev_timer_set (&s->reply_timer, due > now ? (double)(due - now) / 1e6 : 0, 0);
  ev_timer_start (ev, &s->reply_timer);
}

static void
on_reply_due (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  run_fake (w->data);
}

static void
set_host_state (Host *h, const char *state, KqTime now)
{
  if (g_strcmp0 (h->state, state) == 0)
    return;
  h->previous_state = h->state;
  h->state = state;
  h->changed_at = now;
}

static void
register_host (Store *s, json_t *j, KqTime now)
{
  const char *name = json_string_value (json_object_get (j, "name"));
  const char *state = json_string_value (json_object_get (j, "state"));
  Host *h = name != NULL ? g_tree_lookup (s->hosts, name) : NULL;
  if (name == NULL)
    return;
  if (h == NULL)
    {
      h = kq_alloc (sizeof *h);
      h->json = json_object ();
      g_tree_insert (s->hosts, g_strdup (name), h);
    }
  json_object_update (h->json, j);
  h->registered_at = now;
  set_host_state (h, g_strcmp0 (state, "leaving") == 0 ? "leaving" : "live", now);
}

static int
shift_registered_at (void *name, void *host, void *pause)
{
  Host *h = host;
  (void)name;
  h->registered_at += *(KqTime *)pause;
  return FALSE;
}

/* While this process is paused no host can register; so a pause doesn't count towards
 * hosts_gone_ms. */
static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  Store *s = w->data;
  KqTime now = kq_time_now ();
  KqTime pause = now - s->last_tick;
  (void)ev;
  (void)events;
  if (pause > PAUSE_MIN)
    g_tree_foreach (s->hosts, shift_registered_at, &pause);
  s->last_tick = now;
}

static void
register_hosts (Store *s, KqWebCall *c)
{
  char text[48];
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  json_t *host;
  size_t i;
  json_array_foreach (json_object_get (j, "hosts"), i, host)
      register_host (s, host, kq_time_now ());
  snprintf (text, sizeof text, "{\"gone_ms\":%d}", s->hosts_gone_ms);
  kq_web_reply (c, j != NULL ? 200 : 400, NULL, NULL, kq_str (text));
  json_decref (j);
}

/* Replies with an ETag; 304 if it equals If-None-Match. Consumes j. */
static void
reply_tagged (KqWebCall *c, json_t *j)
{
  char tag[24];
  char *text = json_dumps (j, JSON_COMPACT);
  snprintf (tag, sizeof tag, "\"%016llx\"",
            (unsigned long long)kq_str_hash (kq_str (text)));
  if (kq_str_eq (kq_http_header (c->x, "If-None-Match"), kq_str (tag)))
    kq_web_reply (c, 304, "ETag", tag, KQ_STR (""));
  else
    kq_web_reply (c, 200, "ETag", tag, kq_str (text));
  free (text);
  json_decref (j);
}

static void
list_hosts (Store *s, KqWebCall *c)
{
  KqTime now = kq_time_now ();
  json_t *hosts = json_array ();
  KqBuf depot = { 0 };
  on_tick (NULL, &s->tick, 0);
  kq_web_query (c, "depot", &depot);
  for (GTreeNode *n = g_tree_node_first (s->hosts); n != NULL; n = g_tree_node_next (n))
    {
      Host *h = g_tree_node_value (n);
      const char *host_depot = json_string_value (json_object_get (h->json, "depot"));
      const char *state;
      if (now - h->registered_at > s->hosts_gone_ms * KQ_MS)
        set_host_state (h, "gone", now);
      state
          = now - h->changed_at < s->hosts_lag_ms * KQ_MS ? h->previous_state : h->state;
      if (state == NULL || (depot.len > 0 && g_strcmp0 (host_depot, depot.ptr) != 0))
        continue;
      json_object_set_new (h->json, "state", json_string (state));
      json_array_append_new (hosts, json_copy (h->json));
    }
  kq_buf_free (&depot);
  reply_tagged (c, json_pack ("{s:o}", "hosts", hosts));
}

static void
show_counters (const Store *s, KqWebCall *c)
{
  json_t *j = json_object ();
  uint64_t sum = 0;
  for (int i = 0; i < OP_KINDS; i++)
    {
      json_object_set_new (j, op_kind_names[i], json_integer ((json_int_t)s->calls[i]));
      sum += s->calls[i];
    }
  json_object_set_new (j, "calls", json_integer ((json_int_t)sum));
  json_object_set_new (j, "refused", json_integer ((json_int_t)s->refused));
  kq_web_reply_json (c, 200, j);
}

/* Counts the call; false when the rate limit refuses it. */
static bool
admit (Store *s, KqWebCall *c, KqStoreOpKind kind)
{
  bool read = kind == KQ_STORE_GET || kind == KQ_STORE_LIST || kind == KQ_STORE_WATCH
              || kind == KQ_STORE_HOSTS;
  s->calls[kind]++;
  if (!s->limited || kq_budget_take (read ? &s->reads : &s->writes, true, kq_time_now ()))
    return true;
  s->refused++;
  kq_web_error (c, 429, "rate");
  return false;
}

static bool
key_ok (KqStr key)
{
  for (size_t i = 0; i < key.len; i++)
    {
      if (key.ptr[i] <= ' ' || key.ptr[i] > '~')
        return false;
    }
  return true;
}

/* Reads method, path and key; false: there is no such call. */
static bool
read_op (const KqWebCall *c, KqStoreOp *op, KqBuf *key)
{
  KqStr path = kq_http_path (c->x);
  bool put = kq_str_eq (kq_http_method (c->x), KQ_STR ("PUT"));
  bool del = kq_str_eq (kq_http_method (c->x), KQ_STR ("DELETE"));
  if (kq_str_has_prefix (path, KQ_STR ("/v1/kv/")))
    {
      kq_url_unescape (key, kq_str_n (path.ptr + 7, path.len - 7));
      op->kind = put ? KQ_STORE_PUT : del ? KQ_STORE_DELETE : KQ_STORE_GET;
    }
  else if (kq_str_has_prefix (path, KQ_STR ("/v1/leases/")) && (put || del))
    {
      op->kind = put ? KQ_STORE_LEASE_RENEW : KQ_STORE_LEASE_REVOKE;
      return kq_str_to_u64 (kq_str_n (path.ptr + 11, path.len - 11), &op->lease);
    }
  else if (kq_web_is (c, "POST", "/v1/leases"))
    op->kind = KQ_STORE_LEASE_GRANT;
  else if (kq_web_is (c, "GET", "/v1/list"))
    op->kind = KQ_STORE_LIST;
  else if (kq_web_is (c, "GET", "/v1/watch"))
    op->kind = KQ_STORE_WATCH;
  else
    return false;
  kq_web_query (c, "prefix", key);
  return key_ok (kq_buf_str (key));
}

static void
call_fake (Store *s, KqWebCall *c)
{
  KqStoreOp op = { .token = ++s->last_token, .value = kq_buf_str (&c->body) };
  KqBuf key = { 0 };
  op.lease = kq_web_query_u64 (c, "lease", 0);
  op.expect = kq_web_query_u64 (c, "expect", kq_web_query_u64 (c, "above", 0));
  op.lease_ms = (int)kq_web_query_u64 (c, "ttl_ms", 1000);
  op.wait_ms = (int)kq_web_query_u64 (c, "wait_ms", 0);
  if (!read_op (c, &op, &key))
    kq_web_error (c, 400, "no such call");
  else if (admit (s, c, op.kind))
    {
      op.key = kq_buf_str (&key);
      c->data = GSIZE_TO_POINTER (op.token);
      g_hash_table_insert (s->pending, c->data, c);
      kq_store_fake_call (s->fake, 0, &op, kq_time_now ());
      run_fake (s);
    }
  kq_buf_free (&key);
}

static void
on_call (void *arg, KqWebCall *c)
{
  Store *s = arg;
  if (kq_web_is (c, "GET", "/v1/counters"))
    show_counters (s, c);
  else if (kq_web_is (c, "POST", "/v1/hosts"))
    register_hosts (s, c);
  else if (!kq_web_is (c, "GET", "/v1/hosts"))
    call_fake (s, c);
  else if (admit (s, c, KQ_STORE_HOSTS))
    list_hosts (s, c);
}

static void
on_finished (void *arg, KqWebCall *c)
{
  Store *s = arg;
  g_hash_table_remove (s->pending, c->data);
}

static int
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return g_strcmp0 (a, b);
}

int
main (int argc, char **argv)
{
  Store s = { .hosts_lag_ms = 2000, .hosts_gone_ms = 10000 };
  KqWebApp app = { .arg = &s, .handle = on_call, .finished = on_finished };
  KqTime now = kq_time_now ();
  int port = 0;
  const GOptionEntry options[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port to listen on; 0: the kernel's", "N" },
    { "limits", 0, 0, G_OPTION_ARG_NONE, &s.limited, "Refuse calls above the rate",
      NULL },
    { "hosts-lag-ms", 0, 0, G_OPTION_ARG_INT, &s.hosts_lag_ms, "Lag of the list", "MS" },
    { "hosts-gone-ms", 0, 0, G_OPTION_ARG_INT, &s.hosts_gone_ms,
      "A host not heard of for so long is gone", "MS" },
    { 0 },
  };
  kq_web_options ("- the platform's store, for tests", options, argc, argv);
  s.loop = kq_loop_new ();
  s.fake = kq_store_fake_new (1);
  kq_store_fake_faults (s.fake)->latency = 0;
  s.pending = g_hash_table_new (g_direct_hash, g_direct_equal);
  s.hosts = g_tree_new_full (compare_names, NULL, g_free, NULL);
  kq_budget_init (&s.writes, WRITES_PER_SECOND, WRITES_PER_SECOND, 0, now);
  kq_budget_init (&s.reads, READS_PER_SECOND, READS_PER_SECOND, 0, now);
  ev_timer_init (&s.reply_timer, on_reply_due, 0, 0);
  ev_timer_init (&s.tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
  s.reply_timer.data = s.tick.data = &s;
  s.last_tick = now;
  ev_timer_start (kq_loop_ev (s.loop), &s.tick);
  s.web = kq_web_new (s.loop, port, "listening", &app);
  kq_loop_run (s.loop);
  return 0;
}
