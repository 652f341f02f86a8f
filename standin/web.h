#ifndef KQ_STANDIN_WEB_H
#define KQ_STANDIN_WEB_H

/* web: the HTTP server of all stand-ins, with faults that tests set by POST /v1/fault
 * (docs/PLATFORM.md, "Faults of the stand-ins"). No faults apply to /v1/fault,
 * /v1/counters, /v1/effects and POST /v1/hosts. */

#include "http/server.h"
#include "port/json_reader.h"

#include <ev.h>
#include <glib.h>

typedef struct KqWeb KqWeb;
typedef struct KqWebCall KqWebCall;

/* A request and its answer. */
struct KqWebCall
{
  KqWeb *web;
  KqHttpExchange *x;
  KqBuf body; /* of the request; stays empty when streamed */
  void *data; /* the program's */
  bool streamed;
  bool ignored; /* neither its body nor its end is passed to the program */
  ev_timer timer;
  void (*due) (KqWebCall *c);
  /* The answer, kept while it is delayed. */
  int status;
  KqBuf out;
  const char *header;
  char value[32];
};

typedef struct
{
  void *arg;
  bool (*begin) (void *arg, KqWebCall *c); /* true: body in chunks */
  void (*chunk) (void *arg, KqWebCall *c, KqStr bytes);
  void (*handle) (void *arg, KqWebCall *c);   /* the request was received in full */
  void (*finished) (void *arg, KqWebCall *c); /* the last call for c, freed afterwards */
  void (*drained) (void *arg, KqWebCall *c);  /* as in KqHttpHandler */
} KqWebApp;

/* How much of an answer is sent before its connection is closed. */
typedef enum
{
  KQ_WEB_WHOLE,  /* all; the connection stays */
  KQ_WEB_LOST,   /* nothing */
  KQ_WEB_PARTIAL /* half of the body */
} KqWebCut;

/* Parses the command line into the entries' variables; exits the program on an error.
 * Also ignores SIGPIPE, so that a write to a closed connection fails with EPIPE. */
void kq_web_options (const char *summary, const GOptionEntry *entries, int argc,
                     char **argv);

/* Listens on 127.0.0.1; port 0: chosen by the kernel. Prints the line "LABEL PORT"; exits
 * the program when it can't listen. app is copied. */
KqWeb *kq_web_new (KqLoop *loop, int port, const char *label, const KqWebApp *app);
int kq_web_port (const KqWeb *w);
/* Closes the port and all connections, as the end of a process would; kq_web_open listens
 * on the same port again. */
void kq_web_close (KqWeb *w);
void kq_web_open (KqWeb *w);

/* header: name of a header with that value; NULL: none; must stay valid until the answer
 * is sent. The faults of the call's path apply. */
void kq_web_reply (KqWebCall *c, int status, const char *header, const char *value,
                   KqStr body);
void kq_web_reply_json (KqWebCall *c, int status, json_t *j); /* consumes j */
void kq_web_error (KqWebCall *c, int status, const char *error);
/* Calls due after ms unless the call is finished before. A call has one timer, which this
 * sets anew. */
void kq_web_after (KqWebCall *c, int64_t ms, void (*due) (KqWebCall *c));
bool kq_web_is (const KqWebCall *c, const char *method, const char *path);
/* Adds the query parameter, unescaped, to *out; false: there is none. */
bool kq_web_query (const KqWebCall *c, const char *name, KqBuf *out);
/* fallback: returned if the parameter is missing or malformed. */
uint64_t kq_web_query_u64 (const KqWebCall *c, const char *name, uint64_t fallback);
/* Whether fail_everything or silent_watch is set for the call's path. */
bool kq_web_fails (const KqWebCall *c);
bool kq_web_watch_silent (const KqWebCall *c);
/* After how many ms the call is to take effect, by a rule with lose_answer and late_ms;
 * 0: at once. */
int64_t kq_web_late_ms (const KqWebCall *c);
/* How much of the next answer to send; counts lose_answer and partial_answer down.
 * kq_web_reply calls it itself. */
KqWebCut kq_web_cut (const KqWebCall *c);

#endif
