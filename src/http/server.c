#include "http/server_impl.h"

#include "base/listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* When the handler replies in its begin callback, a body up to this length is read and
 * discarded: if the connection were closed while the client still sends, it could be
 * reset before the client has read the response. After the reply to a request with a
 * longer body or one of unknown length, the connection is closed. */
#define DRAIN_MAX_BYTES (1024 * 1024)
/* MHD closes an inactive connection after this time, unless it is suspended. */
#define IDLE_TIMEOUT_S 75
#define CONNECTIONS_MAX 20000
/* The most that one call of read_content copies. */
#define READER_BLOCK_BYTES (32 * 1024)

static void
schedule_run (KqHttpServer *s)
{
  if (s->run_scheduled)
    return;
  s->run_scheduled = true;
  ev_feed_event (kq_loop_ev (s->loop), &s->run, EV_CUSTOM);
}

/* MHD doesn't poll suspended connections. Without this watcher the server wouldn't notice
 * that a client closed its connection while the request runs, nor cancel the work. */
static void
on_client_close (struct ev_loop *ev, ev_io *w, int events)
{
  KqHttpExchange *x = w->data;
  char c;
  ssize_t n = recv (w->fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  ev_io_stop (ev, w);
  if (n <= 0)
    kq_http_abort (x);
}

static void
suspend (KqHttpExchange *x)
{
  const union MHD_ConnectionInfo *info;
  if (x->suspended)
    return;
  x->suspended = true;
  kq_http_client_pause (x);
  MHD_suspend_connection (x->conn);
  info = MHD_get_connection_info (x->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  ev_io_init (&x->close_watch, on_client_close, info->connect_fd, EV_READ);
  x->close_watch.data = x;
  ev_io_start (kq_loop_ev (x->server->loop), &x->close_watch);
}

static void
resume (KqHttpExchange *x)
{
  if (!x->suspended)
    return;
  ev_io_stop (kq_loop_ev (x->server->loop), &x->close_watch);
  x->suspended = false;
  kq_http_client_resume (x);
  MHD_resume_connection (x->conn);
  schedule_run (x->server);
}

static void *
new_exchange (void *arg, const char *uri, struct MHD_Connection *conn)
{
  KqHttpServer *s = arg;
  KqHttpExchange *x = kq_alloc (sizeof *x);
  x->server = s;
  x->conn = conn;
  x->uri = kq_str_dup (kq_str (uri));
  x->uri_len = strlen (uri);
  x->next = s->first;
  if (s->first != NULL)
    s->first->prev = x;
  s->first = x;
  kq_http_client_attach (x);
  return x;
}

static void
free_exchange (KqHttpExchange *x)
{
  KqHttpServer *s = x->server;
  kq_http_client_detach (x);
  if (x->prev != NULL)
    x->prev->next = x->next;
  else
    s->first = x->next;
  if (x->next != NULL)
    x->next->prev = x->prev;
  if (x->response != NULL)
    MHD_destroy_response (x->response);
  ev_io_stop (kq_loop_ev (s->loop), &x->close_watch);
  kq_buf_free (&x->out);
  free (x->uri);
  free ((char *)x->method.ptr);
  free (x->headers);
  free (x);
}

static void
on_completed (void *arg, struct MHD_Connection *conn, void **cls,
              enum MHD_RequestTerminationCode how)
{
  KqHttpServer *s = arg;
  KqHttpExchange *x = *cls;
  bool complete = how == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  (void)conn;
  if (x == NULL)
    return;
  *cls = NULL;
  /* If the length was given, MHD itself checks that all bytes were sent. */
  if (x->reply == REPLY_STREAMED && x->length < 0 && !x->reply_ended)
    complete = false;
  if (x->begin_called)
    s->handler.finished (s->handler.arg, x, complete && x->reply != REPLY_NONE);
  free_exchange (x);
}

static enum MHD_Result
add_header (void *arg, enum MHD_ValueKind kind, const char *key, const char *value)
{
  KqHttpExchange *x = arg;
  (void)kind;
  x->headers = kq_realloc (x->headers, (x->n_headers + 1) * sizeof *x->headers);
  x->headers[x->n_headers++] = (KqHeader){ kq_str (key), kq_str (value) };
  return MHD_YES;
}

static enum MHD_Result
queue_response (KqHttpExchange *x)
{
  x->queued = true;
  kq_http_client_enter (x, KQ_CLIENT_SENDING);
  return MHD_queue_response (x->conn, (unsigned)x->status, x->response);
}

static enum MHD_Result
begin (KqHttpExchange *x, const char *method)
{
  KqHttpServer *s = x->server;
  int64_t length;
  x->begin_called = true;
  x->method = kq_str (method);
  x->method.ptr = kq_str_dup (x->method);
  MHD_get_connection_values (x->conn, MHD_HEADER_KIND, add_header, x);
  kq_http_client_enter (x, KQ_CLIENT_RECEIVING);
  s->handler.begin (s->handler.arg, x);
  if (x->aborted)
    return MHD_NO;
  length = kq_http_body_length (x);
  if (x->response != NULL && (length < 0 || length > DRAIN_MAX_BYTES))
    return queue_response (x);
  return MHD_YES;
}

/* Whether the client has closed its connection, and all that it sent has been read. MHD
 * doesn't notice if the end arrives together with the last bytes: it polls edges, and
 * takes a short read for an empty buffer. */
static bool
has_client_left (const KqHttpExchange *x)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (x->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  char c;
  return recv (info->connect_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static enum MHD_Result
deliver_body (KqHttpExchange *x, const char *bytes, size_t *size)
{
  KqHttpServer *s = x->server;
  if (x->response == NULL && x->upload_paused)
    {
      suspend (x);
      return MHD_YES;
    }
  kq_http_client_moved (x, *size);
  if (x->response == NULL)
    s->handler.body (s->handler.arg, x, kq_str_n (bytes, *size));
  x->n_received += (int64_t)*size;
  *size = 0;
  /* The end of a body without a length may be among what MHD has read already. */
  if (x->n_received < kq_http_body_length (x) && has_client_left (x))
    return MHD_NO;
  return MHD_YES;
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *conn, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **cls)
{
  KqHttpServer *s = arg;
  KqHttpExchange *x = *cls;
  (void)conn;
  (void)url;
  (void)version;
  if (x == NULL || x->aborted || s->closing)
    return MHD_NO;
  if (!x->begin_called)
    return begin (x, method);
  if (*upload_size > 0)
    return deliver_body (x, upload, upload_size);
  if (!x->body_ended)
    {
      x->body_ended = true;
      if (x->response == NULL)
        {
          kq_http_client_enter (x, KQ_CLIENT_HANDLED);
          s->handler.end (s->handler.arg, x);
        }
    }
  if (x->aborted)
    return MHD_NO;
  if (x->response != NULL && !x->queued)
    return queue_response (x);
  suspend (x);
  return MHD_YES;
}

static ssize_t
read_content (void *arg, uint64_t pos, char *to, size_t max)
{
  KqHttpExchange *x = arg;
  KqHttpServer *s = x->server;
  size_t n = x->out.len - x->n_copied;
  (void)pos;
  if (x->aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0 && x->reply_ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n == 0)
    {
      suspend (x);
      return 0;
    }
  n = n < max ? n : max;
  memcpy (to, x->out.ptr + x->n_copied, n);
  x->n_copied += n;
  kq_http_client_moved (x, n);
  if (x->n_copied == x->out.len)
    {
      kq_buf_clear (&x->out);
      x->n_copied = 0;
    }
  if (s->handler.drained != NULL)
    s->handler.drained (s->handler.arg, x);
  return (ssize_t)n;
}

/* Prevents MHD from decoding paths and queries: they are passed on as received. */
static size_t
keep_url_escapes (void *arg, struct MHD_Connection *conn, char *text)
{
  (void)arg;
  (void)conn;
  return strlen (text);
}

static void
run_mhd (struct ev_loop *ev, ev_idle *w, int events)
{
  KqHttpServer *s = w->data;
  (void)ev;
  (void)events;
  s->run_scheduled = false;
  MHD_run (s->mhd);
}

static void
on_ready (struct ev_loop *ev, ev_io *w, int events)
{
  (void)ev;
  (void)events;
  schedule_run (w->data);
}

static void
on_timeout (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  schedule_run (w->data);
}

static void
on_before_poll (struct ev_loop *ev, ev_prepare *w, int events)
{
  KqHttpServer *s = w->data;
  MHD_UNSIGNED_LONG_LONG ms;
  (void)events;
  ev_timer_stop (ev, &s->timeout);
  if (MHD_get_timeout (s->mhd, &ms) != MHD_YES)
    return;
  ev_timer_set (&s->timeout, (double)ms / 1000.0, 0);
  ev_timer_start (ev, &s->timeout);
}

static void
start_watchers (KqHttpServer *s)
{
  struct ev_loop *ev = kq_loop_ev (s->loop);
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (s->mhd, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&s->ready, on_ready, info->epoll_fd, EV_READ);
  ev_timer_init (&s->timeout, on_timeout, 0, 0);
  ev_prepare_init (&s->before_poll, on_before_poll);
  ev_idle_init (&s->run, run_mhd);
  s->ready.data = s->timeout.data = s->before_poll.data = s->run.data = s;
  ev_io_start (ev, &s->ready);
  ev_prepare_start (ev, &s->before_poll);
}

KqHttpServer *
kq_http_server_new (KqLoop *loop, const char *address, int port,
                    const KqHttpHandler *handler)
{
  KqHttpServer *s;
  int bound;
  int fd = kq_listen (address, port, &bound);
  if (fd < 0)
    return NULL;
  s = kq_alloc (sizeof *s);
  s->loop = loop;
  s->handler = *handler;
  s->mhd = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, s,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
      MHD_OPTION_NOTIFY_CONNECTION, kq_http_client_notify, s, MHD_OPTION_URI_LOG_CALLBACK,
      new_exchange, s, MHD_OPTION_UNESCAPE_CALLBACK, keep_url_escapes, s,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX, MHD_OPTION_END);
  if (s->mhd == NULL)
    {
      close (fd);
      free (s);
      return NULL;
    }
  s->port = bound;
  start_watchers (s);
  return s;
}

void
kq_http_server_free (KqHttpServer *s)
{
  struct ev_loop *ev;
  if (s == NULL)
    return;
  ev = kq_loop_ev (s->loop);
  /* A request that arrives now would be suspended, which MHD_stop_daemon doesn't allow.
   */
  s->closing = true;
  for (KqHttpExchange *x = s->first; x != NULL; x = x->next)
    kq_http_abort (x);
  MHD_run (s->mhd);
  ev_io_stop (ev, &s->ready);
  ev_timer_stop (ev, &s->timeout);
  ev_prepare_stop (ev, &s->before_poll);
  ev_clear_pending (ev, &s->run);
  MHD_stop_daemon (s->mhd);
  free (s);
}

int
kq_http_server_port (const KqHttpServer *s)
{
  return s->port;
}

KqStr
kq_http_method (const KqHttpExchange *x)
{
  return x->method;
}

KqStr
kq_http_path (const KqHttpExchange *x)
{
  KqStr s = kq_str (x->uri);
  return kq_str_cut (&s, '?');
}

KqStr
kq_http_query (const KqHttpExchange *x)
{
  KqStr s = kq_str (x->uri);
  kq_str_cut (&s, '?');
  return s;
}

KqStr
kq_http_header (const KqHttpExchange *x, const char *name)
{
  return kq_str (MHD_lookup_connection_value (x->conn, MHD_HEADER_KIND, name));
}

const KqHeader *
kq_http_headers (KqHttpExchange *x, size_t *n)
{
  *n = x->n_headers;
  return x->headers;
}

int64_t
kq_http_body_length (const KqHttpExchange *x)
{
  int64_t n;
  if (kq_http_header (x, MHD_HTTP_HEADER_TRANSFER_ENCODING).len > 0)
    return -1;
  if (!kq_str_to_i64 (kq_http_header (x, MHD_HTTP_HEADER_CONTENT_LENGTH), &n) || n < 0)
    return 0;
  return n;
}

void
kq_http_set_data (KqHttpExchange *x, void *data)
{
  x->data = data;
}

void *
kq_http_data (const KqHttpExchange *x)
{
  return x->data;
}

void
kq_http_pause_upload (KqHttpExchange *x)
{
  x->upload_paused = true;
}

void
kq_http_resume_upload (KqHttpExchange *x)
{
  if (!x->upload_paused)
    return;
  x->upload_paused = false;
  if (!x->body_ended)
    resume (x);
}

static void
set_headers (struct MHD_Response *r, const KqHeader *headers, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      char *name = kq_str_dup (headers[i].name);
      char *value = kq_str_dup (headers[i].value);
      MHD_add_response_header (r, name, value);
      free (name);
      free (value);
    }
}

static void
set_response (KqHttpExchange *x, ReplyKind kind, int status, struct MHD_Response *r,
              const KqHeader *headers, size_t n)
{
  set_headers (r, headers, n);
  x->reply = kind;
  x->status = status;
  x->response = r;
  resume (x);
}

void
kq_http_reply (KqHttpExchange *x, int status, const KqHeader *headers, size_t n_headers,
               KqStr body)
{
  struct MHD_Response *r;
  if (x->reply != REPLY_NONE || x->aborted)
    return;
  r = MHD_create_response_from_buffer (body.len, (void *)body.ptr, MHD_RESPMEM_MUST_COPY);
  x->reply_bytes = body.len;
  set_response (x, REPLY_BUFFERED, status, r, headers, n_headers);
  kq_http_client_recount (x);
}

void
kq_http_reply_begin (KqHttpExchange *x, int status, const KqHeader *headers,
                     size_t n_headers, int64_t length)
{
  struct MHD_Response *r;
  uint64_t size = length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length;
  if (x->reply != REPLY_NONE || x->aborted)
    return;
  x->length = length;
  r = MHD_create_response_from_callback (size, READER_BLOCK_BYTES, read_content, x, NULL);
  set_response (x, REPLY_STREAMED, status, r, headers, n_headers);
}

void
kq_http_reply_data (KqHttpExchange *x, KqStr bytes)
{
  if (x->reply != REPLY_STREAMED || x->aborted)
    return;
  if (x->n_copied > x->out.len / 2)
    {
      kq_buf_drop (&x->out, x->n_copied);
      x->n_copied = 0;
    }
  kq_buf_add_str (&x->out, bytes);
  kq_http_client_recount (x);
  resume (x);
}

void
kq_http_reply_end (KqHttpExchange *x)
{
  x->reply_ended = true;
  resume (x);
}

void
kq_http_abort (KqHttpExchange *x)
{
  x->aborted = true;
  resume (x);
}

size_t
kq_http_unsent (const KqHttpExchange *x)
{
  return x->out.len - x->n_copied;
}
