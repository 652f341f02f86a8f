#include "../bench/procs.h"
#include "ctl/ctl.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* kumquatctl's commands against two nodes and a store that run as processes. The commands
 * run in this process with stdout redirected to a file; tests check exit codes and
 * output. */

#define LIMIT (30 * KQ_SEC)
#define ARGS_MAX 8
/* The operator token that bench/procs.c writes into the settings. */
#define PROCS_TOKEN "fleet-operator-token"

typedef struct
{
  Procs procs;
  int store;
  int workers;
  int nodes[2];
  KqCtl ctl[2]; /* one for each node */
  char urls[2][64];
  char csv[128];
} Rig;

static Rig rig;
static char output[65536];

/* Runs a command given as space-separated arguments and stores its stdout in `output`. */
static int
command (KqCtl *c, int (*group) (KqCtl *, int, char **), const char *line)
{
  char text[256];
  char *words[ARGS_MAX];
  int n = 0;
  char *save = NULL;
  snprintf (text, sizeof text, "%s", line);
  for (char *w = strtok_r (text, " ", &save); w != NULL && n < ARGS_MAX;
       w = strtok_r (NULL, " ", &save))
    words[n++] = w;
  fflush (stdout);
  int saved_stdout = dup (STDOUT_FILENO);
  FILE *f = tmpfile ();
  dup2 (fileno (f), STDOUT_FILENO);
  int code = group (c, n, words);
  fflush (stdout);
  dup2 (saved_stdout, STDOUT_FILENO);
  close (saved_stdout);
  rewind (f);
  output[fread (output, 1, sizeof output - 1, f)] = '\0';
  fclose (f);
  return code;
}

static int
table (int node, const char *line)
{
  return command (&rig.ctl[node], kq_ctl_table, line);
}

static int
set_up (void **state)
{
  Procs *p = &rig.procs;
  (void)state;
  assert_true (procs_init (p, KQ_BUILD_DIR));
  p->regions = "[[region]]\nname = \"r\"\nshards = 2\n";
  p->node_lease_ms = 2000;
  p->worker_lease_ms = 2000;
  p->stop_ms = 20000;
  rig.store = procs_start_store (p, "");
  /* All workers are in one rack, so that one node owns them all. */
  rig.workers = procs_start_workers (p, "w", "r", "d", 3, "");
  for (int i = 0; i < 2; i++)
    {
      KqCtl *c = &rig.ctl[i];
      rig.nodes[i] = procs_start_node (p, i == 0 ? "n0" : "n1", "r", "d");
      assert_true (rig.nodes[i] >= 0);
      snprintf (rig.urls[i], sizeof rig.urls[i], "http://127.0.0.1:%d",
                p->processes[rig.nodes[i]].operators_port);
      *c = (KqCtl){ .server = rig.urls[i], .token = (char *)PROCS_TOKEN };
      c->timeout_s = 20;
      c->shard = -1;
      c->cpu_milli = c->memory_mb = c->accelerators = c->run_ms = -1;
    }
  snprintf (rig.csv, sizeof rig.csv, "%s/rows.csv", p->dir);
  assert_true (procs_wait_ready (p, LIMIT));
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  procs_free (&rig.procs, false);
  return 0;
}

static void
write_csv (const char *text)
{
  FILE *f = fopen (rig.csv, "w");
  assert_non_null (f);
  fputs (text, f);
  fclose (f);
}

static int
import (void)
{
  char line[160];
  snprintf (line, sizeof line, "import %s", rig.csv);
  return table (0, line);
}

static void
test_rows (void **state)
{
  char wait[64];
  long revision;
  (void)state;
  assert_int_equal (table (0, "add team rounds weight=5"), KQ_EXIT_OK);
  assert_int_equal (sscanf (output, "revision %ld", &revision), 1);
  snprintf (wait, sizeof wait, "wait %ld", revision);
  assert_int_equal (table (0, wait), KQ_EXIT_OK);
  assert_int_equal (table (1, "get team rounds"), KQ_EXIT_OK);
  assert_non_null (strstr (output, "weight                   5\n"));
  assert_int_equal (table (1, "add team rounds"), KQ_EXIT_CONFLICT);
  assert_int_equal (table (1, "get team nobody"), KQ_EXIT_NOT_FOUND);
  assert_int_equal (table (1, "set team rounds weight=0"), KQ_EXIT_USAGE);
  assert_int_equal (table (1, "set team rounds weight=6 limit_memory_mb=9"), KQ_EXIT_OK);
  /* A change based on an outdated revision is a conflict. */
  snprintf (wait, sizeof wait, "%ld", revision);
  rig.ctl[0].revision = wait;
  assert_int_equal (table (0, "set team rounds weight=7"), KQ_EXIT_CONFLICT);
  assert_int_equal (table (0, "rm team rounds"), KQ_EXIT_CONFLICT);
  rig.ctl[0].revision = NULL;
  assert_int_equal (table (0, "show team"), KQ_EXIT_OK);
  assert_non_null (strstr (output, "rounds"));
  rig.ctl[0].timeout_s = 1;
  assert_int_equal (table (0, "wait 1000000"), KQ_EXIT_TIMEOUT);
  rig.ctl[0].timeout_s = 20;
}

static void
test_import (void **state)
{
  (void)state;
  write_csv ("kind,name,weight\nteam,a,1\nteam,b,0\n");
  assert_int_equal (import (), KQ_EXIT_USAGE);
  assert_int_equal (table (0, "get team a"), KQ_EXIT_NOT_FOUND);
  write_csv ("kind,name,weight,cpu_milli\nteam,a,1,\nclass,plan,,700\n");
  rig.ctl[0].dry_run = true;
  assert_int_equal (import (), KQ_EXIT_OK);
  assert_string_equal (output, "+ team a\n+ class plan\n");
  rig.ctl[0].dry_run = false;
  assert_int_equal (import (), KQ_EXIT_OK);
  assert_int_equal (import (), KQ_EXIT_OK);
  assert_string_equal (output, "no difference\n");
  assert_int_equal (table (0, "export class"), KQ_EXIT_OK);
  assert_non_null (strstr (output, "\nclass,plan,700,"));
}

static void
test_other_groups (void **state)
{
  KqCtl *c = &rig.ctl[0];
  (void)state;
  assert_int_equal (command (c, kq_ctl_node, "list"), KQ_EXIT_OK);
  assert_non_null (strstr (output, "n1"));
  assert_int_equal (command (c, kq_ctl_node, "show n1"), KQ_EXIT_OK);
  c->node = NULL;
  assert_int_equal (command (c, kq_ctl_node, "log-level n1 loud"), KQ_EXIT_REFUSED);
  assert_int_equal (command (c, kq_ctl_node, "log-level n1 warn"), KQ_EXIT_OK);
  c->node = NULL;
  assert_int_equal (command (c, kq_ctl_shard, ""), KQ_EXIT_OK);
  assert_int_equal (command (c, kq_ctl_worker, ""), KQ_EXIT_OK);
  assert_int_equal (command (c, kq_ctl_account, ""), KQ_EXIT_OK);
  c->count = 1;
  assert_int_equal (command (c, kq_ctl_top, ""), KQ_EXIT_OK);
  assert_int_equal (command (c, kq_ctl_explain, "a-b-c"), KQ_EXIT_NOT_FOUND);
  assert_int_equal (command (c, kq_ctl_job, "show 0000000000000001"), KQ_EXIT_NOT_FOUND);
  assert_int_equal (command (c, kq_ctl_job, "submit"), KQ_EXIT_USAGE);
  c->team = (char *)"nobody";
  c->class_name = (char *)"plan";
  assert_int_equal (command (c, kq_ctl_job, "submit"), KQ_EXIT_REFUSED);
}

/* Sends one request for a service through a node; returns the HTTP status. */
static int
request (int node, int service)
{
  char url[128];
  ProcsAnswer a;
  ProcsRequest q = { .method = "GET", .url = url };
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/service-with-name-%d/x",
            rig.procs.processes[rig.nodes[node]].callers_port, service);
  procs_call (&rig.procs, &q, &a);
  if (a.status != 200)
    print_message ("node %d service %d: end %d status %d: %.*s\n", node, service,
                   a.outcome, a.status, a.body.len < 200 ? (int)a.body.len : 200,
                   a.body.ptr);
  kq_buf_free (&a.body);
  return a.status;
}

static bool
all_serve (Procs *p, void *arg)
{
  (void)p;
  (void)arg;
  return request (0, 0) == 200 && request (1, 0) == 200 && request (0, 199) == 200
         && request (1, 199) == 200;
}

/* With 200 services only every second heartbeat carries the slot digests. A node without
 * runners must route requests to the owner in between as well. A heartbeat without
 * digests was once read as "no slots", and 57 of 240 requests were refused with
 * NO_TARGET. */
static void
test_light_heartbeats (void **state)
{
  KqBuf csv = { 0 };
  (void)state;
  kq_buf_printf (&csv, "kind,name,weight\n");
  for (int i = 0; i < 200; i++)
    kq_buf_printf (&csv, "service,service-with-name-%d,5\n", i);
  write_csv (csv.ptr);
  kq_buf_free (&csv);
  assert_int_equal (import (), KQ_EXIT_OK);
  assert_true (procs_wait (&rig.procs, LIMIT, all_serve, NULL));
  for (int i = 0; i < 150; i++)
    {
      assert_int_equal (request (i % 2, i), 200);
      procs_run (&rig.procs, 20 * KQ_MS, NULL);
    }
}

/* A wrong token, an unreachable node, and a store that fails during a change must give
 * different exit codes, so that the operator can tell whether the change was refused, was
 * not sent, or has an unknown outcome. */
static void
test_failures (void **state)
{
  KqCtl c = rig.ctl[0];
  (void)state;
  c.token = (char *)"wrong";
  assert_int_equal (command (&c, kq_ctl_table, "show"), KQ_EXIT_UNAUTHORIZED);
  c = rig.ctl[0];
  c.server = (char *)"http://127.0.0.1:1";
  assert_int_equal (command (&c, kq_ctl_table, "show"), KQ_EXIT_UNREACHABLE);
  procs_signal (&rig.procs, rig.store, SIGKILL);
  assert_int_equal (table (0, "add team late"), KQ_EXIT_UNKNOWN);
  assert_int_equal (table (0, "get team rounds"), KQ_EXIT_OK);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rows),         cmocka_unit_test (test_import),
    cmocka_unit_test (test_other_groups), cmocka_unit_test (test_light_heartbeats),
    cmocka_unit_test (test_failures),
  };
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
