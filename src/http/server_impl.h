#ifndef KQ_HTTP_SERVER_IMPL_H
#define KQ_HTTP_SERVER_IMPL_H

/* server_impl: what server.c and server_clients.c, which keeps account of the clients'
 * connections, share. Only they include it. */

#include "http/server.h"

#include <ev.h>
#include <microhttpd.h>

/* A client's connection, from its acceptance on. */
typedef struct
{
  KqClientConn limited;
  KqHttpServer *server;
  int fd;
  KqHttpExchange *exchange; /* the present request; NULL: none, or its first line isn't
                               complete */
} KqHttpClientConn;

struct KqHttpServer
{
  KqLoop *loop;
  KqHttpHandler handler;
  struct MHD_Daemon *mhd;
  int port;
  bool run_scheduled;
  bool closing; /* it is being freed: no request is begun or continued */
  ev_io ready;
  ev_timer timeout;
  ev_prepare before_poll;
  ev_idle run; /* never started; only passed to ev_feed_event */
  KqHttpExchange *first;
  KqClientLimits *limits; /* NULL: none */
};

typedef enum
{
  REPLY_NONE,
  REPLY_BUFFERED,
  REPLY_STREAMED
} ReplyKind;

struct KqHttpExchange
{
  KqHttpServer *server;
  KqHttpExchange *next;
  KqHttpExchange *prev;
  struct MHD_Connection *conn;
  char *uri;
  size_t uri_len;
  KqStr method; /* a copy */
  KqHeader *headers;
  size_t n_headers;
  bool begin_called;
  bool body_ended;
  int64_t n_received; /* bytes of the body */
  bool upload_paused;
  bool suspended;
  bool aborted;
  bool queued; /* the response was passed to MHD_queue_response */
  ReplyKind reply;
  struct MHD_Response *response;
  int status;
  KqBuf out;       /* bytes of a streamed response */
  size_t n_copied; /* bytes of out that MHD has copied */
  int64_t length;  /* Content-Length of a streamed response; -1: unknown */
  bool reply_ended;
  ev_io close_watch;        /* active while suspended; detects that the client closes */
  KqHttpClientConn *client; /* NULL: the server has no limits */
  size_t held;              /* by the handler, see kq_http_hold */
  size_t reply_bytes;       /* of the body of a whole response */
  void *data;
};

/* server_clients.c. Without limits they do nothing. */

/* Told by MHD of each connection that begins or ends. */
void kq_http_client_notify (void *arg, struct MHD_Connection *conn, void **client,
                            enum MHD_ConnectionNotificationCode code);
/* A request begins on its connection, or ends. */
void kq_http_client_attach (KqHttpExchange *x);
void kq_http_client_detach (KqHttpExchange *x);
void kq_http_client_enter (KqHttpExchange *x, KqClientPhase phase);
/* Of the client's bytes, so many were received or sent. */
void kq_http_client_moved (KqHttpExchange *x, size_t bytes);
/* The connection is suspended, or resumed. */
void kq_http_client_pause (KqHttpExchange *x);
void kq_http_client_resume (KqHttpExchange *x);
/* Counts what the exchange holds now. */
void kq_http_client_recount (KqHttpExchange *x);

#endif
