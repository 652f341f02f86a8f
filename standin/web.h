#ifndef KQ_STANDIN_WEB_H
#define KQ_STANDIN_WEB_H

/* web: what the stand-ins share: an HTTP server with fault switches (docs/PLATFORM.md,
 * "Faults of the stand-ins"). Control paths (/v1/fault, /v1/counters, /v1/effects and
 * POST /v1/hosts) are never faulted. */

#include "http/server.h"
#include "port/json_reader.h"

#include <ev.h>
#include <glib.h>

typedef struct KqWeb KqWeb;
typedef struct KqWebCall KqWebCall;

struct KqWebCall
{
  KqWeb *web;
  KqHttpExchange *x;
  KqBuf body; /* of the request; stays empty when streamed */
  void *data; /* the program's */
  bool streamed;
  bool hung; /* gets no answer, ever */
  ev_timer timer;
  void (*due) (KqWebCall *c);
  /* the answer, while it is delayed */
  int status;
  KqBuf out;
  const char *header;
  char value[32];
};

typedef struct
{
  void *arg;
  bool (*begin) (void *arg, KqWebCall *c); /* true: wants the body by chunks */
  void (*chunk) (void *arg, KqWebCall *c, KqStr bytes);
  void (*handle) (void *arg, KqWebCall *c); /* the request is whole */
  void (*gone) (void *arg, KqWebCall *c);
  void (*drained) (void *arg, KqWebCall *c); /* as of KqHttpHandler */
} KqWebApp;

typedef enum
{
  KQ_WEB_WHOLE,
  KQ_WEB_LOST,   /* cut before any byte */
  KQ_WEB_PARTIAL /* cut half way */
} KqWebCut;

/* Reads the command line into the entries' places; exits the program when it can't. Also
 * ignores SIGPIPE, as every program here must. */
void kq_web_options (const char *summary, const GOptionEntry *entries, int argc,
                     char **argv);

/* Prints "WORD PORT" as a line when it listens; exits the program when it can't. */
KqWeb *kq_web_new (KqLoop *loop, int port, const char *word, const KqWebApp *app);
int kq_web_port (const KqWeb *w);
/* Closes the port and all connections, as the end of a process would; kq_web_open takes
 * the same port again. */
void kq_web_close (KqWeb *w);
void kq_web_open (KqWeb *w);

/* header may be NULL; its name must stay valid. Faults of the answer apply. */
void kq_web_reply (KqWebCall *c, int status, const char *header, const char *value,
                   KqStr body);
void kq_web_reply_json (KqWebCall *c, int status, json_t *j); /* takes over j */
void kq_web_error (KqWebCall *c, int status, const char *error);
/* Runs due after ms unless the call goes before; one at a time for each call. */
void kq_web_after (KqWebCall *c, int64_t ms, void (*due) (KqWebCall *c));
bool kq_web_is (const KqWebCall *c, const char *method, const char *path);
/* The query's field, unescaped into *out; false without it. */
bool kq_web_query (const KqWebCall *c, const char *name, KqBuf *out);
uint64_t kq_web_query_u64 (const KqWebCall *c, const char *name, uint64_t otherwise);
/* The fault switches of the call's path. */
bool kq_web_fails (const KqWebCall *c);
bool kq_web_watch_silent (const KqWebCall *c);
/* How the answer about to be sent is to be cut; kq_web_reply sees to it by itself. */
KqWebCut kq_web_cut (const KqWebCall *c);

#endif
