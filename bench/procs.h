#ifndef KQ_BENCH_PROCS_H
#define KQ_BENCH_PROCS_H

/* procs: real processes on loopback for the demo, live benches and end-to-end tests.
 *
 * Starts kumquatd and the stand-ins with settings in a fresh directory, waits for their
 * ports, sends signals to them by their own process ids, and ends them all at the end.
 * HTTP goes through src/http/client.h on one loop. All waits are bounded. */

#include "base/task.h"
#include "http/client.h"

#include <jansson.h>
#include <sys/types.h>

#define PROCS_MAX 64

typedef enum
{
  PROCS_STORE,
  PROCS_WORKERS,
  PROCS_NODE,
  PROCS_RELAY,
  PROCS_PLATFORM,
  PROCS_FLEET_NODE
} ProcsKind;

typedef struct
{
  ProcsKind kind;
  char name[32];
  char region[32];
  char depot[32];
  pid_t pid; /* 0: not running */
  int port;  /* store, workers, relay */
  int callers;
  int operators;
  int starts; /* again */
} ProcsProcess;

typedef struct
{
  char dir[64];
  char build[256]; /* where the programs are */
  KqLoop *loop;
  KqHttpClient *http;
  ProcsProcess processes[PROCS_MAX];
  int n;
  char store_url[64];
  /* Put into every node's settings. */
  const char *regions; /* TOML: [[region]] blocks */
  const char *depots;  /* TOML list for each node's own region; NULL: its own depot */
  int heartbeat_ms;
  int node_lease_ms;
  int worker_lease_ms;
  int stop_ms;
  int calls_per_second;
} Procs;

/* One answer. */
typedef struct
{
  KqHttpOutcome end;
  int status;
  KqBuf body;
  char ran[16]; /* "no" or "unknown" of a problem answer, else "" */
  int code;     /* its result code, else 0 */
  KqTime started_at;
  KqTime took;
} ProcsAnswer;

bool procs_init (Procs *f, const char *build);
/* Ends every process (first TERM, then KILL) and removes the directory unless keep. */
void procs_end (Procs *f, bool keep);
/* Each returns the index of the process, or -1 with a line on stderr. */
int procs_start_store (Procs *f, const char *extra);
/* extra: more options, parted by single spaces; may be "". */
int procs_start_workers (Procs *f, const char *prefix, const char *region,
                         const char *depot, int count, const char *extra);
int procs_start_node (Procs *f, const char *name, const char *region, const char *depot);
int procs_start_relay (Procs *f, const char *target);
/* Any program of the build directory; options are parted by single spaces. The index, or
 * -1. Its output goes to INDEX.out and INDEX.log in f->dir. */
int procs_start_program (Procs *f, ProcsKind kind, const char *program,
                         const char *options);
/* The same again, in the place of a process that has ended; its earlier output is kept as
 * INDEX.out.N, and INDEX.log goes on. */
void procs_start_again (Procs *f, int index, const char *program, const char *options);
/* Waits for a line with the text in INDEX.ending and copies what stands behind it. */
bool procs_await_text (Procs *f, int index, const char *ending, const char *text,
                       char rest[256]);
void procs_signal (Procs *f, int index, int signal);
/* Waits for the end; the exit code, 128 + signal, or -1 after `limit`. */
int procs_wait_exit (Procs *f, int index, KqTime limit);

/* A request; done is called from the loop. The answer is freed behind it. */
typedef void (*ProcsDone) (void *arg, const ProcsAnswer *a);
typedef struct
{
  const char *method;
  const char *url;
  const KqHeader *headers;
  size_t n_headers;
  KqStr body;
  int total_ms;
} ProcsRequest;
void procs_ask (Procs *f, const ProcsRequest *r, ProcsDone done, void *arg);
/* The same, waiting for the answer; the caller frees a->body. */
void procs_call (Procs *f, const ProcsRequest *r, ProcsAnswer *a);
/* Runs the loop for a time, or until *flag. False: the time passed first. */
bool procs_run (Procs *f, KqTime limit, const bool *flag);
/* An operators' call at a node, with the token. */
void procs_operator (Procs *f, int node, const char *method, const char *path,
                     const char *body, const char *match, ProcsAnswer *a);
/* Polls an operators' path until check says yes, at most `limit`. */
bool procs_wait (Procs *f, KqTime limit, bool (*check) (Procs *, void *), void *arg);
/* All nodes that run answer /readyz with 200, and every shard has an active owner. */
bool procs_wait_ready (Procs *f, KqTime limit);
/* A JSON GET; NULL when it failed. */
json_t *procs_json (Procs *f, int node, const char *path);
/* A stand-in's JSON by its port. */
json_t *procs_standin_json (Procs *f, int index, const char *path);
void procs_fault (Procs *f, int index, const char *json);
/* Offers the changes ({"changes":[...]}) to a node until it takes them, at most `limit`.
 */
bool procs_set_table (Procs *f, KqTime limit, int node, const char *changes);
/* Whether every node that runs answers a GET of the callers' path with 200: its table,
 * the owners' digests and the runners' slots are known to it. */
bool procs_serve (Procs *f, const char *path);
bool procs_wait_serve (Procs *f, KqTime limit, const char *path);
/* How often the runners of a workers' process ran a request id. */
int procs_runs_of (Procs *f, int workers, const char *id);

#endif
