#include "http/client.h"

#include "http/curl_headers.h"

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define IDLE_CHECK_S 0.1 /* interval of the check for timed-out calls */
/* Limit of KqHttpClient.opened_at. When it is reached, the table is cleared, and calls
 * with opened_before end as KQ_HTTP_NOT_SENT on connections opened earlier. Most entries
 * are of closed connections: file descriptors limit the number of open ones. */
#define OPENED_MAX 20000

typedef struct Socket
{
  ev_io io;
  KqHttpClient *client;
} Socket;

struct KqHttpClient
{
  KqLoop *loop;
  CURLM *multi;
  ev_timer timeout;
  ev_timer idle_check;
  int pool_idle_s;
  bool in_curl; /* within a libcurl callback, where handles must not be removed */
  KqHttpCall *first;
  GHashTable *opened_at; /* hash of a connection's addresses -> when it was opened */
  uint64_t bytes_out;    /* of ended calls */
  uint64_t bytes_in;
};

struct KqHttpCall
{
  KqHttpClient *client;
  KqHttpCall *next;
  KqHttpCall *prev;
  CURL *easy;
  struct curl_slist *headers;
  KqHttpCallback cb;
  bool streamed;
  KqBuf body; /* the whole body, or the unsent part of a streamed one */
  bool fed_end;
  bool read_paused; /* libcurl waits for bytes of the streamed body */
  bool paused;
  bool write_paused; /* libcurl keeps a chunk until the call is resumed */
  bool cancelled;
  bool idle; /* ended by the check for timed-out calls */
  KqTime last_activity;
  KqTime idle_limit_us;   /* the present timeout of inactivity */
  KqTime idle_timeout_us; /* the one from the response's first byte on */
  KqTime ends_at;         /* when total_ms is over; KQ_TIME_NEVER: no limit */
  KqBuf head;             /* header lines received so far */
  int64_t length;         /* Content-Length; -1: unknown */
  bool head_delivered;
  KqTime send_started_at; /* when sending began; 0: no byte was sent */
  bool opened_connection; /* a socket was opened for the call, not yet in opened_at */
  KqTime opened_before;
};

static void
restart_idle_time (KqHttpCall *c)
{
  c->last_activity = kq_time_now ();
}

/* Parses the header lines and calls the head callback. */
static void
deliver_head (KqHttpCall *c)
{
  KqHeader *h = NULL;
  size_t n = 0;
  long status = 0;
  KqStr text = kq_buf_str (&c->head);

  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &status);
  c->length = -1;
  while (text.len > 0)
    {
      KqStr value = kq_str_trim (kq_str_cut (&text, '\n'));
      KqStr name = kq_str_cut (&value, ':');
      if (name.len == 0)
        continue;
      value = kq_str_trim (value);
      if (name.len == 14 && strncasecmp (name.ptr, "Content-Length", 14) == 0)
        kq_str_to_i64 (value, &c->length);
      h = kq_realloc (h, (n + 1) * sizeof *h);
      h[n++] = (KqHeader){ name, value };
    }
  if (status == 204 || status == 304)
    c->length = 0;
  c->head_delivered = true;
  if (!c->cancelled && c->cb.head != NULL)
    c->cb.head (c->cb.arg, c, (int)status, h, n, c->length);
  free (h);
}

static size_t
on_header (char *line, size_t size, size_t count, void *arg)
{
  KqHttpCall *c = arg;
  size_t n = size * count;
  KqStr s = kq_str_trim (kq_str_n (line, n));
  long status = 0;
  restart_idle_time (c);
  c->idle_limit_us = c->idle_timeout_us;
  if (c->head_delivered)
    return n; /* trailers */
  if (kq_str_has_prefix (s, KQ_STR ("HTTP/")))
    {
      kq_buf_clear (&c->head);
      return n;
    }
  if (s.len > 0)
    {
      kq_buf_add (&c->head, line, n);
      return n;
    }
  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status >= 200)
    deliver_head (c);
  return n;
}

static size_t
on_write (char *bytes, size_t size, size_t count, void *arg)
{
  KqHttpCall *c = arg;
  size_t n = size * count;
  restart_idle_time (c);
  if (c->cancelled)
    return 0;
  if (c->paused)
    {
      c->write_paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  if (c->cb.data != NULL)
    c->cb.data (c->cb.arg, c, kq_str_n (bytes, n));
  return n;
}

static size_t
on_read (char *to, size_t size, size_t count, void *arg)
{
  KqHttpCall *c = arg;
  size_t max = size * count;
  size_t n = c->body.len < max ? c->body.len : max;
  restart_idle_time (c);
  if (c->cancelled)
    return CURL_READFUNC_ABORT;
  if (n == 0 && c->fed_end)
    return 0;
  if (n == 0)
    {
      c->read_paused = true;
      return CURL_READFUNC_PAUSE;
    }
  memcpy (to, c->body.ptr, n);
  kq_buf_drop (&c->body, n);
  if (c->cb.want_body != NULL)
    c->cb.want_body (c->cb.arg, c);
  return n;
}

static void
free_call (KqHttpCall *c)
{
  KqHttpClient *cl = c->client;
  if (c->prev != NULL)
    c->prev->next = c->next;
  else
    cl->first = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
  curl_multi_remove_handle (cl->multi, c->easy);
  curl_easy_cleanup (c->easy);
  curl_slist_free_all (c->headers);
  kq_buf_free (&c->body);
  kq_buf_free (&c->head);
  free (c);
}

static KqHttpOutcome
outcome_of (const KqHttpCall *c, CURLcode code)
{
  if (code == CURLE_OK)
    return KQ_HTTP_DONE;
  /* Not libcurl's count of sent bytes: it is 0 if the request's first write blocked. */
  if (c->send_started_at == 0)
    return KQ_HTTP_NOT_SENT;
  return c->idle || code == CURLE_OPERATION_TIMEDOUT ? KQ_HTTP_TIMED_OUT : KQ_HTTP_BROKEN;
}

static void
count_bytes (KqHttpCall *c)
{
  long head_out = 0;
  long head_in = 0;
  curl_off_t body_out = 0;
  curl_off_t body_in = 0;
  curl_easy_getinfo (c->easy, CURLINFO_REQUEST_SIZE, &head_out);
  curl_easy_getinfo (c->easy, CURLINFO_HEADER_SIZE, &head_in);
  curl_easy_getinfo (c->easy, CURLINFO_SIZE_UPLOAD_T, &body_out);
  curl_easy_getinfo (c->easy, CURLINFO_SIZE_DOWNLOAD_T, &body_in);
  c->client->bytes_out += (uint64_t)(head_out + body_out);
  c->client->bytes_in += (uint64_t)(head_in + body_in);
}

static void
finish_call (KqHttpCall *c, CURLcode code)
{
  KqHttpOutcome outcome = outcome_of (c, code);
  count_bytes (c);
  if (!c->cancelled)
    c->cb.done (c->cb.arg, c, outcome);
  free_call (c);
}

/* Finishes the calls that libcurl has completed. Not called within its callbacks. */
static void
finish_completed_calls (KqHttpClient *cl)
{
  CURLMsg *msg;
  int left;
  while ((msg = curl_multi_info_read (cl->multi, &left)) != NULL)
    {
      KqHttpCall *c;
      CURLcode code = msg->data.result;
      if (msg->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **)&c);
      finish_call (c, code);
    }
}

static void
socket_action (KqHttpClient *cl, curl_socket_t fd, int what)
{
  int running;
  cl->in_curl = true;
  curl_multi_socket_action (cl->multi, fd, what, &running);
  cl->in_curl = false;
  finish_completed_calls (cl);
}

static void
on_io (struct ev_loop *ev, ev_io *w, int events)
{
  Socket *s = w->data;
  int what = 0;
  (void)ev;
  if (events & EV_READ)
    what |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    what |= CURL_CSELECT_OUT;
  socket_action (s->client, w->fd, what);
}

static void
on_timeout (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  socket_action (w->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_timer (CURLM *multi, long ms, void *arg)
{
  KqHttpClient *cl = arg;
  struct ev_loop *ev = kq_loop_ev (cl->loop);
  (void)multi;
  ev_timer_stop (ev, &cl->timeout);
  if (ms < 0)
    return 0;
  ev_now_update (ev);
  ev_timer_set (&cl->timeout, (double)ms / 1000.0, 0);
  ev_timer_start (ev, &cl->timeout);
  return 0;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
  KqHttpClient *cl = arg;
  struct ev_loop *ev = kq_loop_ev (cl->loop);
  Socket *s = socket_arg;
  int events = 0;
  (void)easy;
  if (s == NULL)
    {
      s = kq_alloc (sizeof *s);
      s->client = cl;
      s->io.data = s;
      curl_multi_assign (cl->multi, fd, s);
    }
  ev_io_stop (ev, &s->io);
  if (what == CURL_POLL_REMOVE)
    {
      curl_multi_assign (cl->multi, fd, NULL);
      free (s);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  ev_io_init (&s->io, on_io, fd, events);
  /* Before timers: a response that arrived while the loop was blocked isn't late. */
  ev_set_priority (&s->io, 1);
  s->io.data = s;
  ev_io_start (ev, &s->io);
  return 0;
}

/* Whether the call has timed out and libcurl won't notice: it is inactive, or it waits
 * for a connection while others use all that are allowed to its host. */
static bool
has_timed_out (const KqHttpCall *c, KqTime now)
{
  if (c->send_started_at == 0 && now > c->ends_at)
    return true;
  return c->idle_limit_us > 0 && !c->paused && !c->read_paused
         && now - c->last_activity > c->idle_limit_us;
}

/* Ends inactive calls. A target that accepts a connection and never responds would
 * otherwise hold the call, and its slot, until total_ms, or forever if that is 0. */
static void
on_idle_check (struct ev_loop *ev, ev_timer *w, int events)
{
  KqHttpClient *cl = w->data;
  KqTime now = kq_time_now ();
  KqHttpCall *next;
  for (KqHttpCall *c = cl->first; c != NULL; c = next)
    {
      next = c->next;
      if (c->cancelled)
        free_call (c);
      else if (has_timed_out (c, now))
        {
          c->idle = true;
          finish_call (c, CURLE_OPERATION_TIMEDOUT);
          /* The done callback may have changed the list: restart the check at once. */
          ev_feed_event (ev, w, events);
          return;
        }
    }
  if (cl->first == NULL)
    ev_timer_stop (ev, w); /* kq_http_call restarts it */
}

KqHttpClient *
kq_http_client_new (KqLoop *loop, int host_connections, int idle_ms)
{
  KqHttpClient *cl = kq_alloc (sizeof *cl);
  cl->loop = loop;
  cl->pool_idle_s = idle_ms >= 1000 ? idle_ms / 1000 : 1;
  cl->opened_at = g_hash_table_new (NULL, NULL);
  cl->multi = curl_multi_init ();
  assert (cl->multi != NULL);
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)host_connections);
  curl_multi_setopt (cl->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
  ev_timer_init (&cl->timeout, on_timeout, 0, 0);
  ev_timer_init (&cl->idle_check, on_idle_check, IDLE_CHECK_S, IDLE_CHECK_S);
  cl->timeout.data = cl->idle_check.data = cl;
  return cl;
}

void
kq_http_client_free (KqHttpClient *cl)
{
  struct ev_loop *ev;
  if (cl == NULL)
    return;
  ev = kq_loop_ev (cl->loop);
  for (KqHttpCall *c = cl->first, *next = NULL; c != NULL; c = next)
    {
      next = c->next;
      free_call (c);
    }
  curl_multi_cleanup (cl->multi);
  ev_timer_stop (ev, &cl->timeout);
  ev_timer_stop (ev, &cl->idle_check);
  g_hash_table_destroy (cl->opened_at);
  free (cl);
}

static void
set_body (KqHttpCall *c, const KqHttpRequest *r)
{
  CURL *e = c->easy;
  c->streamed = r->streamed;
  if (r->streamed)
    {
      curl_easy_setopt (e, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (e, CURLOPT_INFILESIZE_LARGE, (curl_off_t)r->body_length);
      curl_easy_setopt (e, CURLOPT_READFUNCTION, on_read);
      curl_easy_setopt (e, CURLOPT_READDATA, c);
    }
  else if (r->body.len > 0)
    {
      kq_buf_add_str (&c->body, r->body);
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->body.len);
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, c->body.ptr);
    }
  else if (strcmp (r->method, "POST") == 0)
    {
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE, 0L);
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, "");
    }
}

static int
on_socket_opened (void *arg, curl_socket_t fd, curlsocktype purpose)
{
  KqHttpCall *c = arg;
  (void)fd;
  (void)purpose;
  c->opened_connection = true;
  return CURL_SOCKOPT_OK;
}

/* Whether the connection was opened after opened_before, or at an unknown time. libcurl
 * doesn't report this time, so it is recorded here by the connection's addresses. */
static bool
opened_too_late (KqHttpCall *c, const char *to, int to_port, int own_port)
{
  GHashTable *opened = c->client->opened_at;
  uint64_t ports = (uint64_t)to_port << 16 | (uint64_t)own_port;
  gpointer key = GSIZE_TO_POINTER (kq_hash2 (kq_str_hash (kq_str (to)), ports));
  KqTime at;
  if (c->opened_connection && g_hash_table_size (opened) >= OPENED_MAX)
    g_hash_table_remove_all (opened);
  if (c->opened_connection)
    g_hash_table_insert (opened, key, GSIZE_TO_POINTER (kq_time_now ()));
  c->opened_connection = false;
  if (c->opened_before == 0)
    return false;
  at = (KqTime)GPOINTER_TO_SIZE (g_hash_table_lookup (opened, key));
  return at == 0 || at > c->opened_before;
}

/* Called by libcurl each time before it sends the request. Prevents the repetition after
 * a reused connection closed without a response: it isn't in the retry budget or any
 * counter, and may run a task twice. */
static int
on_prereq (void *arg, char *to, char *from, int to_port, int from_port)
{
  KqHttpCall *c = arg;
  (void)from;
  if (c->send_started_at != 0 || opened_too_late (c, to, to_port, from_port))
    return CURL_PREREQFUNC_ABORT;
  c->send_started_at = kq_time_now ();
  return CURL_PREREQFUNC_OK;
}

static void
set_options (KqHttpCall *c, const KqHttpRequest *r)
{
  CURL *e = c->easy;
  curl_easy_setopt (e, CURLOPT_URL, r->url);
  curl_easy_setopt (e, CURLOPT_PRIVATE, c);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, on_prereq);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, c);
  curl_easy_setopt (e, CURLOPT_SOCKOPTFUNCTION, on_socket_opened);
  curl_easy_setopt (e, CURLOPT_SOCKOPTDATA, c);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_easy_setopt (e, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, c);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_write);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, c);
  curl_easy_setopt (e, CURLOPT_MAXAGE_CONN, (long)c->client->pool_idle_s);
  if (strcmp (r->method, "HEAD") == 0)
    curl_easy_setopt (e, CURLOPT_NOBODY, 1L);
  if (r->connect_ms > 0)
    curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)r->connect_ms);
  if (r->total_ms > 0)
    curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)r->total_ms);
  if (r->fresh_connection)
    {
      curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (e, CURLOPT_FORBID_REUSE, 1L);
    }
  set_body (c, r);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, r->method);
}

KqHttpCall *
kq_http_call (KqHttpClient *cl, const KqHttpRequest *r, const KqHttpCallback *cb)
{
  KqHttpCall *c = kq_alloc (sizeof *c);
  c->client = cl;
  c->cb = *cb;
  c->easy = curl_easy_init ();
  assert (c->easy != NULL);
  c->idle_timeout_us = r->idle_timeout_ms * KQ_MS;
  c->idle_limit_us = r->first_byte_timeout_ms > 0 ? r->first_byte_timeout_ms * KQ_MS
                                                  : c->idle_timeout_us;
  c->opened_before = r->opened_before;
  restart_idle_time (c);
  c->ends_at = r->total_ms > 0 ? c->last_activity + r->total_ms * KQ_MS : KQ_TIME_NEVER;
  set_options (c, r);
  c->headers = kq_curl_headers (r);
  curl_easy_setopt (c->easy, CURLOPT_HTTPHEADER, c->headers);
  c->next = cl->first;
  if (cl->first != NULL)
    cl->first->prev = c;
  cl->first = c;
  if (!ev_is_active (&cl->idle_check))
    ev_timer_again (kq_loop_ev (cl->loop), &cl->idle_check);
  curl_multi_add_handle (cl->multi, c->easy);
  return c;
}

void
kq_http_call_feed (KqHttpCall *c, KqStr bytes, bool end)
{
  kq_buf_add_str (&c->body, bytes);
  c->fed_end = c->fed_end || end;
  if (c->read_paused)
    {
      c->read_paused = false;
      restart_idle_time (c);
      curl_easy_pause (c->easy, c->paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
    }
}

size_t
kq_http_call_unsent (const KqHttpCall *c)
{
  return c->streamed ? c->body.len : 0;
}

void
kq_http_call_pause (KqHttpCall *c)
{
  c->paused = true;
}

void
kq_http_call_resume (KqHttpCall *c)
{
  c->paused = false;
  restart_idle_time (c);
  if (!c->write_paused)
    return;
  c->write_paused = false;
  curl_easy_pause (c->easy, c->read_paused ? CURLPAUSE_SEND : CURLPAUSE_CONT);
}

void
kq_http_call_cancel (KqHttpCall *c)
{
  c->cancelled = true;
  if (!c->client->in_curl)
    free_call (c);
}

KqTime
kq_http_call_send_started_at (const KqHttpCall *c)
{
  return c->send_started_at;
}

uint64_t
kq_http_client_bytes_out (const KqHttpClient *cl)
{
  return cl->bytes_out;
}

uint64_t
kq_http_client_bytes_in (const KqHttpClient *cl)
{
  return cl->bytes_in;
}
