#ifndef KQ_CTL_CTL_H
#define KQ_CTL_CTL_H

/* ctl: the functions that the commands of kumquatctl share, and the command groups.
 * Private to src/ctl.
 *
 * A command takes options and arguments, sends requests to a node's operators' HTTP
 * interface (docs/OPERATORS-API.md), prints the result in aligned columns or, with
 * --json, as JSON, and returns an exit code. */

#include "base/result.h"
#include "base/str.h"

#include <jansson.h>
#include <stdio.h>

/* Exit codes; also in kumquatctl(1). */
enum
{
  KQ_EXIT_OK = 0,
  KQ_EXIT_REFUSED = 1,      /* the node refused the request; the reason is printed */
  KQ_EXIT_USAGE = 2,        /* wrong arguments or options */
  KQ_EXIT_UNAUTHORIZED = 3, /* no token, or a wrong one */
  KQ_EXIT_NOT_FOUND = 4,
  KQ_EXIT_CONFLICT = 5,    /* the row has changed since it was read */
  KQ_EXIT_UNREACHABLE = 6, /* no node answered; nothing was changed */
  KQ_EXIT_UNKNOWN = 7,     /* sent, but the answer was lost; check before repeating */
  KQ_EXIT_TIMEOUT = 8      /* `table wait`: not in force on every node in time */
};

typedef struct
{
  char *server; /* base URL */
  char *token;  /* NULL: none */
  char *node; /* the node that handles the request; NULL: the one at `server`; borrowed */
  int timeout_s;
  bool json;
  bool color;
  /* Options that only some commands use. */
  bool dry_run;
  bool prune;
  char *revision;
  int shard; /* -1: all */
  int limit;
  int interval_s;
  int count;
  char *team;
  char *class_name;
  char *priority;
  char *key;         /* idempotency key */
  int64_t cpu_milli; /* -1: not given */
  int64_t memory_mb;
  int64_t accelerators;
  int64_t run_ms;
} KqCtl;

/* Sends one request. `header` is an additional header line or NULL. Returns an exit code.
 * On KQ_EXIT_OK *out is the response as JSON, which the caller frees with json_decref, or
 * NULL if the response isn't JSON; otherwise the reason is printed to standard error. */
int kq_ctl_call (const KqCtl *c, const char *method, const char *path, const char *header,
                 KqStr body, json_t **out);
/* The same for GET; a response that isn't JSON is an error (KQ_EXIT_REFUSED). */
int kq_ctl_get (const KqCtl *c, const char *path, json_t **out);
/* Sends a GET request, without a token, to a port that answers in plain text. Returns an
 * exit code; *text gets the answer, also when it is a refusal. */
int kq_ctl_get_text (const KqCtl *c, const char *url, KqBuf *text);
/* Sends a GET request to every node that is alive; on KQ_EXIT_OK *out is an array of
 * {node, answer}, freed by the caller. Nodes that don't answer are named on standard
 * error and left out. */
int kq_ctl_get_all (const KqCtl *c, const char *path, json_t **out);

/* A column: its title and the path of its value in a row ("size.cpu_milli"). */
typedef struct
{
  const char *title;
  const char *path;
} KqCtlColumn;

/* Prints aligned columns, numbers aligned to the right; titles are bold if `color`. */
void kq_ctl_print (FILE *f, bool color, const KqCtlColumn *columns, size_t n,
                   const json_t *rows);
/* Prints a command's result: with --json the rows as JSON, otherwise columns. */
void kq_ctl_show (const KqCtl *c, const KqCtlColumn *columns, size_t n,
                  const json_t *rows);
/* Prints an object: with --json as JSON, otherwise a line of field and value for each
 * member. */
void kq_ctl_show_object (const KqCtl *c, const json_t *o);
void kq_ctl_print_json (const json_t *v);

/* Command groups. args are the arguments after the group's name; returns an exit code. */
int kq_ctl_table (KqCtl *c, int n, char **args);
int kq_ctl_csv_export (KqCtl *c, int n, char **args);
int kq_ctl_csv_import (KqCtl *c, int n, char **args);
int kq_ctl_job (KqCtl *c, int n, char **args);
int kq_ctl_worker (KqCtl *c, int n, char **args);
int kq_ctl_node (KqCtl *c, int n, char **args);
int kq_ctl_fleet (KqCtl *c, int n, char **args);
int kq_ctl_shard (KqCtl *c, int n, char **args);
int kq_ctl_account (KqCtl *c, int n, char **args);
int kq_ctl_explain (KqCtl *c, int n, char **args);
int kq_ctl_top (KqCtl *c, int n, char **args);
int kq_ctl_results (KqCtl *c, int n, char **args);
int kq_ctl_reference (KqCtl *c, int n, char **args);
/* Prints a usage text to standard error; returns KQ_EXIT_USAGE. */
int kq_ctl_usage (const char *text);

#endif
