#ifndef KQ_HTTP_CLIENT_H
#define KQ_HTTP_CLIENT_H

/* client: HTTP requests out, on libcurl's multi interface on the libev loop.
 *
 * Answers stream: head, data chunks, done. libcurl repeats a request by itself when a
 * reused connection closes before any answer byte; a call that must leave at most once
 * sets `once`, which forces a new connection (tested by counting at the server). */

#include "base/result.h"
#include "base/task.h"
#include "wire/msg.h"

typedef struct KqHttpClient KqHttpClient;
typedef struct KqHttpCall KqHttpCall;

typedef enum
{
  KQ_HTTP_DONE,     /* the answer is whole */
  KQ_HTTP_NOT_SENT, /* no byte of the request left: it provably did not run */
  KQ_HTTP_BROKEN,   /* sent in part or whole, the answer is missing or cut */
  KQ_HTTP_SILENT    /* as BROKEN: nothing came for too long, or total_ms passed */
} KqHttpEnd;

typedef struct
{
  void *arg;
  void (*head) (void *arg, KqHttpCall *c, int status, const KqHeader *h, size_t n,
                int64_t length);
  /* May call kq_http_call_pause; the chunk has been taken all the same. */
  void (*data) (void *arg, KqHttpCall *c, KqStr chunk);
  /* The request body may be fed (streamed uploads); called when more is wanted. */
  void (*want) (void *arg, KqHttpCall *c);
  /* The last call; c is freed behind it. */
  void (*done) (void *arg, KqHttpCall *c, KqHttpEnd end);
} KqHttpCallback;

typedef struct
{
  const char *method;
  const char *url;
  const KqHeader *headers;
  size_t n_headers;
  KqStr body;          /* a whole body, copied; ignored when streamed */
  bool streamed;       /* the body comes by kq_http_call_feed */
  int64_t body_length; /* of a streamed body; -1: unknown */
  int connect_ms;
  int silent_ms; /* no byte either way for so long ends the call; 0: never */
  int answer_ms; /* the same until the answer's first byte; 0: silent_ms */
  int total_ms;  /* 0: no limit */
  bool once;     /* never reuse a connection: leaves at most once */
  /* Not 0: the call leaves only on a connection opened by then, and ends as NOT_SENT
   * where there is none. A process that has started anew since has no such connection. */
  KqTime opened_before;
} KqHttpRequest;

/* host_connections: most connections to one host; idle_ms: an idle pooled connection
 * older than this is not used again. */
KqHttpClient *kq_http_client_new (KqLoop *loop, int host_connections, int idle_ms);
/* Ends open calls without calling back. */
void kq_http_client_free (KqHttpClient *cl);

KqHttpCall *kq_http_call (KqHttpClient *cl, const KqHttpRequest *r,
                          const KqHttpCallback *cb);
/* Takes the body's next bytes; end marks its end. */
void kq_http_call_feed (KqHttpCall *c, KqStr bytes, bool end);
size_t kq_http_call_unfed (const KqHttpCall *c); /* body bytes not yet sent */
void kq_http_call_pause (KqHttpCall *c);
void kq_http_call_resume (KqHttpCall *c);
/* Ends the call without calling back; its connection is closed. */
void kq_http_call_cancel (KqHttpCall *c);
/* When the request left, in part or whole; 0: it hasn't. Its connection was open then. */
KqTime kq_http_call_left_at (const KqHttpCall *c);
/* Bytes of ended calls, heads and bodies, each way; what TCP adds isn't in them. */
uint64_t kq_http_client_bytes_out (const KqHttpClient *cl);
uint64_t kq_http_client_bytes_in (const KqHttpClient *cl);

#endif
