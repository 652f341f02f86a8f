/* server_clients: what the clients of an HTTP server hold (base/client_limits.h). */

#include "http/server_impl.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* The kernel reserves twice as much, one half for its own data. */
#define RECEIVE_BUFFER_BYTES (32 * 1024)

/* MHD closes the connection when it next reads from the socket or writes to it, and the
 * exchange's handler is then told that the exchange has finished. */
static void
close_client (void *arg)
{
  KqHttpClientConn *c = arg;
  shutdown (c->fd, SHUT_RDWR);
  if (c->exchange != NULL)
    kq_http_abort (c->exchange);
}

void
kq_http_client_notify (void *arg, struct MHD_Connection *conn, void **client,
                       enum MHD_ConnectionNotificationCode code)
{
  KqHttpServer *s = arg;
  KqHttpClientConn *c = *client;
  if (code == MHD_CONNECTION_NOTIFY_STARTED && s->limits != NULL)
    {
      c = *client = kq_alloc (sizeof *c);
      c->server = s;
      c->fd
          = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
      c->limited.close = close_client;
      c->limited.arg = c;
      kq_client_limits_add (s->limits, &c->limited, KQ_CLIENT_CONN_BYTES,
                            kq_loop_now (s->loop));
    }
  else if (code == MHD_CONNECTION_NOTIFY_CLOSED && c != NULL)
    {
      kq_client_limits_remove (s->limits, &c->limited);
      free (c);
      *client = NULL;
    }
}

void
kq_http_client_attach (KqHttpExchange *x)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (x->conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  x->client = info != NULL ? info->socket_context : NULL;
  if (x->client == NULL)
    return;
  x->client->exchange = x;
  kq_http_client_recount (x);
}

void
kq_http_client_detach (KqHttpExchange *x)
{
  KqHttpClientConn *c = x->client;
  if (c == NULL)
    return;
  c->exchange = NULL;
  kq_client_limits_hold (c->server->limits, &c->limited, KQ_CLIENT_CONN_BYTES,
                         kq_loop_now (c->server->loop));
  kq_client_limits_enter (c->server->limits, &c->limited, KQ_CLIENT_IDLE,
                          kq_loop_now (c->server->loop));
}

void
kq_http_client_enter (KqHttpExchange *x, KqClientPhase phase)
{
  if (x->client == NULL)
    return;
  kq_client_limits_enter (x->server->limits, &x->client->limited, phase,
                          kq_loop_now (x->server->loop));
  kq_http_client_recount (x);
}

void
kq_http_client_moved (KqHttpExchange *x, size_t bytes)
{
  if (x->client != NULL)
    kq_client_limits_moved (&x->client->limited, bytes);
}

void
kq_http_client_pause (KqHttpExchange *x)
{
  if (x->client != NULL)
    kq_client_limits_pause (&x->client->limited, kq_loop_now (x->server->loop));
}

void
kq_http_client_resume (KqHttpExchange *x)
{
  if (x->client != NULL)
    kq_client_limits_resume (&x->client->limited, kq_loop_now (x->server->loop));
}

void
kq_http_client_recount (KqHttpExchange *x)
{
  size_t bytes = KQ_CLIENT_CONN_BYTES + x->held + x->reply_bytes + x->out.capacity
                 + x->uri_len + x->n_headers * sizeof *x->headers;
  if (x->client != NULL)
    kq_client_limits_hold (x->server->limits, &x->client->limited, bytes,
                           kq_loop_now (x->server->loop));
}

void
kq_http_hold (KqHttpExchange *x, size_t bytes)
{
  x->held = bytes;
  kq_http_client_recount (x);
}

/* Received bytes that aren't read count as the process's memory as well, also those of
 * connections that wait to be accepted. Connections take the size of the buffer over from
 * the socket that listens. */
static void
limit_unread (KqHttpServer *s)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (s->mhd, MHD_DAEMON_INFO_LISTEN_FD);
  int size = RECEIVE_BUFFER_BYTES;
  setsockopt (info->listen_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  listen (info->listen_fd, kq_client_limits_backlog (s->limits, RECEIVE_BUFFER_BYTES));
}

void
kq_http_server_set_limits (KqHttpServer *s, KqClientLimits *limits)
{
  s->limits = limits;
  if (limits != NULL)
    limit_unread (s);
}
