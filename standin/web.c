#include "web.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Between the first half of a partial answer and the abort, so that the half is sent. */
#define PARTIAL_CUT_MS 20

typedef enum
{
  OUTAGE_NONE,
  OUTAGE_REFUSE,
  OUTAGE_CLOSE
} Outage;

/* The faults for calls with this method ("": any) whose path begins with `path`. */
typedef struct FaultRule
{
  struct FaultRule *next;
  char *path;
  char *method;
  Outage outage;
  int64_t delay_ms;        /* before the request is handled */
  int64_t answer_delay_ms; /* after it was handled */
  int64_t lose_answer;     /* number of next answers to lose; -1: all */
  int64_t late_ms;         /* such calls take effect after this time */
  int64_t partial_answer;  /* likewise, sent by half */
  bool hang;
  bool silent_watch;
  bool fail_all;
} FaultRule;

struct KqWeb
{
  KqLoop *loop;
  KqHttpServer *server; /* NULL: closed */
  int port;
  KqWebApp app;
  FaultRule *rules; /* the newest first; the first that matches applies */
};

static bool
is_control (const KqWebCall *c)
{
  KqStr p = kq_http_path (c->x);
  return kq_str_has_prefix (p, KQ_STR ("/v1/fault"))
         || kq_str_eq (p, KQ_STR ("/v1/counters"))
         || kq_str_eq (p, KQ_STR ("/v1/effects")) || kq_web_is (c, "POST", "/v1/hosts");
}

static FaultRule *
find_rule (const KqWebCall *c)
{
  KqStr path = kq_http_path (c->x);
  KqStr method = kq_http_method (c->x);
  if (is_control (c))
    return NULL;
  for (FaultRule *r = c->web->rules; r != NULL; r = r->next)
    {
      bool method_fits = r->method[0] == '\0' || kq_str_eq (kq_str (r->method), method);
      if (method_fits && kq_str_has_prefix (path, kq_str (r->path)))
        return r;
    }
  return NULL;
}

/* Counts down; false: the count is 0. A negative count has no end. */
static bool
count_down (int64_t *count)
{
  if (*count > 0)
    return (*count)--, true;
  return *count < 0;
}

static void
clear_rules (KqWeb *w)
{
  while (w->rules != NULL)
    {
      FaultRule *r = w->rules;
      w->rules = r->next;
      free (r->path);
      free (r->method);
      free (r);
    }
}

static const char *
optional_string (const json_t *j, const char *key)
{
  const char *s = json_string_value (json_object_get (j, key));
  return s != NULL ? s : "";
}

static int64_t
optional_int (const json_t *j, const char *key)
{
  return json_integer_value (json_object_get (j, key));
}

static void
add_rule (KqWeb *w, const json_t *j)
{
  const char *outage = optional_string (j, "outage");
  FaultRule *r = kq_alloc (sizeof *r);
  r->path = kq_str_dup (kq_str (optional_string (j, "path")));
  r->method = kq_str_dup (kq_str (optional_string (j, "method")));
  if (strcmp (outage, "close") == 0)
    r->outage = OUTAGE_CLOSE;
  else if (outage[0] != '\0')
    r->outage = OUTAGE_REFUSE;
  r->delay_ms = optional_int (j, "delay_ms");
  r->answer_delay_ms = optional_int (j, "answer_delay_ms");
  r->lose_answer = optional_int (j, "lose_answer");
  r->late_ms = optional_int (j, "late_ms");
  r->partial_answer = optional_int (j, "partial_answer");
  r->hang = json_is_true (json_object_get (j, "accept_and_hang"));
  r->silent_watch = json_is_true (json_object_get (j, "silent_watch"));
  r->fail_all = json_is_true (json_object_get (j, "fail_everything"));
  r->next = w->rules;
  w->rules = r;
}

static void
set_fault (KqWebCall *c)
{
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  int64_t pause_ms;
  if (j == NULL)
    {
      kq_web_error (c, 400, "not a JSON object");
      return;
    }
  pause_ms = optional_int (j, "pause_ms");
  if (json_is_true (json_object_get (j, "clear")))
    clear_rules (c->web);
  else if (pause_ms <= 0)
    add_rule (c->web, j);
  json_decref (j);
  kq_web_reply (c, 200, NULL, NULL, KQ_STR ("{}"));
  if (pause_ms > 0)
    usleep ((useconds_t)pause_ms * 1000); /* blocks the whole process */
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqWebCall *c = w->data;
  (void)ev;
  (void)events;
  c->due (c);
}

void
kq_web_after (KqWebCall *c, int64_t ms, void (*due) (KqWebCall *c))
{
  struct ev_loop *ev = kq_loop_ev (c->web->loop);
  ev_timer_stop (ev, &c->timer);
  ev_now_update (ev);
  ev_timer_init (&c->timer, on_timer, (double)ms / 1000.0, 0);
  c->timer.data = c;
  c->due = due;
  ev_timer_start (ev, &c->timer);
}

static void
handle (KqWebCall *c)
{
  if (kq_web_is (c, "POST", "/v1/fault"))
    set_fault (c);
  else
    c->web->app.handle (c->web->app.arg, c);
}

static void
on_begin (void *arg, KqHttpExchange *x)
{
  KqWeb *w = arg;
  KqWebCall *c = kq_alloc (sizeof *c);
  const FaultRule *r;
  c->web = w;
  c->x = x;
  kq_http_set_data (x, c);
  r = find_rule (c);
  c->ignored = r != NULL && (r->hang || r->outage != OUTAGE_NONE);
  if (r != NULL && r->outage == OUTAGE_CLOSE)
    kq_http_abort (x);
  else if (r != NULL && r->outage == OUTAGE_REFUSE)
    kq_http_reply (x, 503, NULL, 0, KQ_STR ("{\"error\":\"outage\"}"));
  else if (!c->ignored)
    c->streamed = w->app.begin != NULL && w->app.begin (w->app.arg, c);
}

static void
on_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  KqWeb *w = arg;
  KqWebCall *c = kq_http_data (x);
  if (c->ignored)
    return;
  if (c->streamed)
    w->app.chunk (w->app.arg, c, chunk);
  else
    kq_buf_add_str (&c->body, chunk);
}

static void
on_end (void *arg, KqHttpExchange *x)
{
  KqWebCall *c = kq_http_data (x);
  const FaultRule *r = find_rule (c);
  (void)arg;
  if (c->ignored)
    return;
  if (r != NULL && r->delay_ms > 0)
    kq_web_after (c, r->delay_ms, handle);
  else
    handle (c);
}

static void
on_drained (void *arg, KqHttpExchange *x)
{
  const KqWeb *w = arg;
  if (w->app.drained != NULL)
    w->app.drained (w->app.arg, kq_http_data (x));
}

static void
on_finished (void *arg, KqHttpExchange *x, bool whole)
{
  KqWeb *w = arg;
  KqWebCall *c = kq_http_data (x);
  (void)whole;
  if (w->app.finished != NULL)
    w->app.finished (w->app.arg, c);
  ev_timer_stop (kq_loop_ev (w->loop), &c->timer);
  kq_buf_free (&c->body);
  kq_buf_free (&c->out);
  free (c);
}

void
kq_web_options (const char *summary, const GOptionEntry *entries, int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (summary);
  GError *error = NULL;
  signal (SIGPIPE, SIG_IGN);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s: %s\n", argv[0], error->message);
      exit (2);
    }
  g_option_context_free (context);
}

void
kq_web_close (KqWeb *w)
{
  kq_http_server_free (w->server);
  w->server = NULL;
}

void
kq_web_open (KqWeb *w)
{
  KqHttpHandler h = { w, on_begin, on_body, on_end, on_drained, on_finished };
  w->server = kq_http_server_new (w->loop, "127.0.0.1", w->port, &h);
  if (w->server == NULL)
    {
      fprintf (stderr, "standin: Cannot listen on 127.0.0.1:%d.\n", w->port);
      exit (1);
    }
  w->port = kq_http_server_port (w->server);
}

KqWeb *
kq_web_new (KqLoop *loop, int port, const char *label, const KqWebApp *app)
{
  KqWeb *w = kq_alloc (sizeof *w);
  w->loop = loop;
  w->app = *app;
  w->port = port;
  kq_web_open (w);
  printf ("%s %d\n", label, w->port);
  fflush (stdout);
  return w;
}

int
kq_web_port (const KqWeb *w)
{
  return w->port;
}

int64_t
kq_web_late_ms (const KqWebCall *c)
{
  const FaultRule *r = find_rule (c);
  return r != NULL && r->lose_answer != 0 ? r->late_ms : 0;
}

KqWebCut
kq_web_cut (const KqWebCall *c)
{
  FaultRule *r = find_rule (c);
  if (r != NULL && count_down (&r->lose_answer))
    return KQ_WEB_LOST;
  if (r != NULL && count_down (&r->partial_answer))
    return KQ_WEB_PARTIAL;
  return KQ_WEB_WHOLE;
}

static void
abort_call (KqWebCall *c)
{
  kq_http_abort (c->x);
}

static void
send_answer (KqWebCall *c)
{
  KqStr body = kq_buf_str (&c->out);
  KqHeader h = { kq_str (c->header), kq_str (c->value) };
  size_t n = c->header != NULL ? 1 : 0;
  const FaultRule *r = find_rule (c);
  /* An outage may have begun while the call waited; a waiting watch isn't answered
   * either. */
  if (r != NULL && r->hang)
    return;
  if (r != NULL && r->outage != OUTAGE_NONE)
    {
      kq_http_abort (c->x);
      return;
    }
  switch (kq_web_cut (c))
    {
    case KQ_WEB_WHOLE:
      kq_http_reply (c->x, c->status, &h, n, body);
      break;
    case KQ_WEB_LOST:
      kq_http_abort (c->x);
      break;
    case KQ_WEB_PARTIAL:
      kq_http_reply_begin (c->x, c->status, &h, n, (int64_t)body.len + 1);
      kq_http_reply_data (c->x, kq_str_n (body.ptr, body.len / 2));
      kq_web_after (c, PARTIAL_CUT_MS, abort_call);
      break;
    }
}

void
kq_web_reply (KqWebCall *c, int status, const char *header, const char *value, KqStr body)
{
  const FaultRule *r = find_rule (c);
  c->status = status;
  c->header = header;
  snprintf (c->value, sizeof c->value, "%s", value != NULL ? value : "");
  kq_buf_add_str (&c->out, body);
  if (r != NULL && r->answer_delay_ms > 0)
    kq_web_after (c, r->answer_delay_ms, send_answer);
  else
    send_answer (c);
}

void
kq_web_reply_json (KqWebCall *c, int status, json_t *j)
{
  char *text = json_dumps (j, JSON_COMPACT);
  json_decref (j);
  kq_web_reply (c, status, NULL, NULL, kq_str (text));
  free (text);
}

void
kq_web_error (KqWebCall *c, int status, const char *error)
{
  kq_web_reply_json (c, status, json_pack ("{s:s}", "error", error));
}

bool
kq_web_is (const KqWebCall *c, const char *method, const char *path)
{
  return kq_str_eq (kq_http_method (c->x), kq_str (method))
         && kq_str_eq (kq_http_path (c->x), kq_str (path));
}

bool
kq_web_query (const KqWebCall *c, const char *name, KqBuf *out)
{
  KqStr q = kq_http_query (c->x);
  while (q.len > 0)
    {
      KqStr value = kq_str_cut (&q, '&');
      if (!kq_str_eq (kq_str_cut (&value, '='), kq_str (name)))
        continue;
      kq_url_unescape (out, value);
      return true;
    }
  return false;
}

uint64_t
kq_web_query_u64 (const KqWebCall *c, const char *name, uint64_t fallback)
{
  KqBuf text = { 0 };
  uint64_t v = fallback;
  if (kq_web_query (c, name, &text) && !kq_str_to_u64 (kq_buf_str (&text), &v))
    v = fallback;
  kq_buf_free (&text);
  return v;
}

bool
kq_web_fails (const KqWebCall *c)
{
  const FaultRule *r = find_rule (c);
  return r != NULL && r->fail_all;
}

bool
kq_web_watch_silent (const KqWebCall *c)
{
  const FaultRule *r = find_rule (c);
  return r != NULL && r->silent_watch;
}
