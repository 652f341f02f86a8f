#ifndef KQ_HTTP_SERVER_H
#define KQ_HTTP_SERVER_H

/* server: HTTP server on libmicrohttpd (MHD) in external epoll mode and the libev loop.
 *
 * An exchange is a request and its response. Both bodies may be streamed: the handler
 * receives the request's body in chunks and may pause the upload; a streamed response is
 * begun, given data any number of times, and ended. While it has no data to send, its
 * connection is suspended; kq_http_unsent shows how far the client lags behind. A
 * response that can't be completed is aborted, which closes the connection, so that the
 * client doesn't take the partial body for a complete one. */

#include "base/client_limits.h"
#include "base/result.h"
#include "base/str.h"
#include "base/task.h"
#include "wire/msg.h"

typedef struct KqHttpServer KqHttpServer;
typedef struct KqHttpExchange KqHttpExchange;

typedef struct
{
  void *arg;
  /* Method, path, query and headers are known. If the handler replies here, body and end
   * aren't called. */
  void (*begin) (void *arg, KqHttpExchange *x);
  void (*body) (void *arg, KqHttpExchange *x, KqStr chunk);
  void (*end) (void *arg, KqHttpExchange *x);
  /* Some bytes of a streamed response were taken for sending. May be NULL. */
  void (*drained) (void *arg, KqHttpExchange *x);
  /* The last call for x, freed afterwards. whole: the response was sent in full. */
  void (*finished) (void *arg, KqHttpExchange *x, bool whole);
} KqHttpHandler;

/* address: numeric IPv4; port 0: chosen by the kernel. NULL if it can't be bound. */
KqHttpServer *kq_http_server_new (KqLoop *loop, const char *address, int port,
                                  const KqHttpHandler *handler);
/* Counts the connections in `limits`, which must outlive the server and may close them.
 * To be called before the loop runs. */
void kq_http_server_set_limits (KqHttpServer *s, KqClientLimits *limits);
/* Aborts open exchanges. */
void kq_http_server_free (KqHttpServer *s);
int kq_http_server_port (const KqHttpServer *s);

KqStr kq_http_method (const KqHttpExchange *x);
KqStr kq_http_path (const KqHttpExchange *x);  /* as sent, undecoded, without query */
KqStr kq_http_query (const KqHttpExchange *x); /* after the '?'; "": none */
KqStr kq_http_header (const KqHttpExchange *x, const char *name); /* "": absent */
/* All request headers; the array belongs to the exchange. */
const KqHeader *kq_http_headers (KqHttpExchange *x, size_t *n);
/* Length of the request's body by its headers; -1: unknown. */
int64_t kq_http_body_length (const KqHttpExchange *x);
void kq_http_set_data (KqHttpExchange *x, void *data);
void *kq_http_data (const KqHttpExchange *x);

/* Tells the server how much memory the handler holds for the exchange. The exchange may
 * be aborted, now or by a later call for any exchange; `finished` is called as always. */
void kq_http_hold (KqHttpExchange *x, size_t bytes);
/* Stop and resume the delivery of the request's body. */
void kq_http_pause_upload (KqHttpExchange *x);
void kq_http_resume_upload (KqHttpExchange *x);

/* Sends a whole response; the body is copied. The rest of the request's body is read
 * and discarded; after a reply in `begin` to a request with a body over 1 MB or of
 * unknown length the connection is closed instead. */
void kq_http_reply (KqHttpExchange *x, int status, const KqHeader *headers,
                    size_t n_headers, KqStr body);
/* Begins a streamed response. length -1: unknown (sent chunked). */
void kq_http_reply_begin (KqHttpExchange *x, int status, const KqHeader *headers,
                          size_t n_headers, int64_t length);
void kq_http_reply_data (KqHttpExchange *x, KqStr bytes);
void kq_http_reply_end (KqHttpExchange *x);
/* Closes the connection without completing the response. */
void kq_http_abort (KqHttpExchange *x);
/* Bytes passed to kq_http_reply_data that haven't been taken for sending. */
size_t kq_http_unsent (const KqHttpExchange *x);

#endif
