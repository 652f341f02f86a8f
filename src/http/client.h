#ifndef KQ_HTTP_CLIENT_H
#define KQ_HTTP_CLIENT_H

/* client: HTTP client on libcurl's multi interface and the libev loop.
 *
 * A response is delivered by callbacks: head, data chunks, done. A call sends its request
 * at most once: when a reused connection closes before the first response byte, libcurl
 * would repeat the request by itself, but the call ends as KQ_HTTP_BROKEN instead. With
 * `fresh_connection` the request is never sent on a reused connection. */

#include "base/result.h"
#include "base/task.h"
#include "wire/msg.h"

typedef struct KqHttpClient KqHttpClient;
typedef struct KqHttpCall KqHttpCall;

typedef enum
{
  KQ_HTTP_DONE,     /* the response is complete */
  KQ_HTTP_NOT_SENT, /* no byte of the request was sent: it had no effect */
  KQ_HTTP_BROKEN,   /* sent in part or whole; the response is missing or incomplete */
  KQ_HTTP_TIMED_OUT /* as BROKEN, because of a timeout */
} KqHttpOutcome;

typedef struct
{
  void *arg;
  /* length: Content-Length; -1: unknown. h is valid during the callback only. */
  void (*head) (void *arg, KqHttpCall *c, int status, const KqHeader *h, size_t n,
                int64_t length);
  /* May call kq_http_call_pause, which takes effect after this chunk. */
  void (*data) (void *arg, KqHttpCall *c, KqStr chunk);
  /* Of a streamed upload: a part was sent, more may be fed. May be NULL. */
  void (*want_body) (void *arg, KqHttpCall *c);
  /* The last callback; c is freed after it. */
  void (*done) (void *arg, KqHttpCall *c, KqHttpOutcome outcome);
} KqHttpCallback;

typedef struct
{
  const char *method;
  const char *url;
  const KqHeader *headers;
  size_t n_headers;
  KqStr body;                /* a whole body, copied; ignored when streamed */
  bool streamed;             /* the body is passed to kq_http_call_feed */
  int64_t body_length;       /* of a streamed body; -1: unknown */
  int connect_ms;            /* timeout of connecting; 0: libcurl's default */
  int idle_timeout_ms;       /* timeout of inactivity in both directions; 0: none */
  int first_byte_timeout_ms; /* like idle_timeout_ms, until the response begins; 0:
                                idle_timeout_ms */
  int total_ms;              /* timeout of the whole call; 0: none */
  bool fresh_connection;     /* use a new connection and close it afterwards */
  /* Not 0: use only a connection opened at or before this time; without one the call ends
   * as NOT_SENT. A server process started later has no such connection. */
  KqTime opened_before;
} KqHttpRequest;

/* host_connections: maximum number of connections to one host. idle_ms: a pooled
 * connection idle for longer isn't reused; in whole seconds, at least one. */
KqHttpClient *kq_http_client_new (KqLoop *loop, int host_connections, int idle_ms);
/* Ends open calls without callbacks. */
void kq_http_client_free (KqHttpClient *cl);

/* r is copied. The call is freed after its done callback, or by cancel. */
KqHttpCall *kq_http_call (KqHttpClient *cl, const KqHttpRequest *r,
                          const KqHttpCallback *cb);
/* Appends bytes to a streamed body; end: these are the last. */
void kq_http_call_feed (KqHttpCall *c, KqStr bytes, bool end);
size_t kq_http_call_unsent (const KqHttpCall *c); /* body bytes not yet sent */
/* Pause and resume the delivery of data; idle_timeout_ms doesn't apply meanwhile. */
void kq_http_call_pause (KqHttpCall *c);
void kq_http_call_resume (KqHttpCall *c);
/* Ends the call without callbacks; its connection is closed. */
void kq_http_call_cancel (KqHttpCall *c);
/* When sending the request began, on a connection that was open then; 0: it didn't. */
KqTime kq_http_call_send_started_at (const KqHttpCall *c);
/* Bytes of heads and bodies, sent and received, of ended calls; without TCP overhead. */
uint64_t kq_http_client_bytes_out (const KqHttpClient *cl);
uint64_t kq_http_client_bytes_in (const KqHttpClient *cl);

#endif
