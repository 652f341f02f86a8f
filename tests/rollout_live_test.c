#include "../bench/procs.h"

#include <ev.h>

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* A rolling replacement: five real nodes in two regions are stopped by SIGTERM and
 * replaced, one after the other, while requests and jobs run and the table changes. */

#define LIMIT (40 * KQ_SEC)
#define NODES 5
#define REQUEST_GAP_S 0.02
#define JOB_EVERY 10 /* requests */
#define IDS_MAX 20000
#define JOBS_MAX 2000

static const char *const names[NODES] = { "n0", "n1", "n2", "n3", "n4" };
static const char *const regions[NODES] = { "east", "east", "east", "west", "west" };
static const char *const depots[NODES] = { "e", "e", "e", "w", "w" };

typedef struct
{
  Procs procs;
  int workers[2];
  int nodes[NODES];
  int stopping; /* the node that gets no requests while it is replaced; -1: none */
  ev_timer load;
  int sent;
  int open;
  int answered;
  int refused;
  int unknown;
  int interrupted;
  int n_posts;
  char jobs[JOBS_MAX][24];
  int n_jobs;
} Rig;

static const char *const table
    = "{\"changes\":["
      "{\"kind\":\"service\",\"name\":\"seal\",\"fields\":{\"deadline_ms\":20000}},"
      "{\"kind\":\"class\",\"name\":\"plan\",\"fields\":{\"cpu_milli\":500,"
      "\"memory_mb\":256}},"
      "{\"kind\":\"team\",\"name\":\"rounds\",\"fields\":{}}]}";

static void
on_answer (void *arg, const ProcsAnswer *a)
{
  Rig *r = arg;
  r->open--;
  if (a->outcome == KQ_HTTP_NOT_SENT || strcmp (a->ran, "no") == 0)
    r->refused++;
  else if (a->outcome != KQ_HTTP_DONE)
    r->interrupted++;
  else if (strcmp (a->ran, "unknown") == 0)
    r->unknown++;
  else
    r->answered++;
}

static void
on_job (void *arg, const ProcsAnswer *a)
{
  Rig *r = arg;
  json_t *o = json_loadb (a->body.ptr != NULL ? a->body.ptr : "", a->body.len, 0, NULL);
  const char *id = json_string_value (json_object_get (o, "id"));
  r->open--;
  if (a->status == 200 && id != NULL && r->n_jobs < JOBS_MAX)
    snprintf (r->jobs[r->n_jobs++], sizeof r->jobs[0], "%s", id);
  json_decref (o);
}

/* Round robin over the nodes, without the one being replaced, as a load balancer would
 * choose that checks readiness. */
static int
next_node (const Rig *r)
{
  int i = r->sent % NODES;
  if (i == r->stopping)
    i = (i + 1) % NODES;
  return r->nodes[i];
}

static void
send_request (Rig *r)
{
  char url[128];
  char id[32];
  bool post = r->sent % 4 == 0;
  KqHeader h[2]
      = { { KQ_STR ("X-Request-Id"), { 0 } }, { KQ_STR ("Idempotency-Key"), { 0 } } };
  ProcsRequest q = { .method = post ? "POST" : "GET", .url = url, .headers = h };
  q.n_headers = post ? 2 : 1;
  snprintf (id, sizeof id, post ? "post-%d" : "get-%d", post ? r->n_posts++ : r->sent);
  h[0].value = h[1].value = kq_str (id);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/seal/x?ms=30",
            r->procs.processes[next_node (r)].callers_port);
  r->open++;
  procs_send (&r->procs, &q, on_answer, r);
}

static void
send_job (Rig *r)
{
  char url[128];
  ProcsRequest q = { .method = "POST", .url = url };
  q.body = KQ_STR ("{\"team\":\"rounds\",\"class\":\"plan\",\"run_ms\":300}");
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/jobs",
            r->procs.processes[next_node (r)].callers_port);
  r->open++;
  procs_send (&r->procs, &q, on_job, r);
}

static void
on_load (struct ev_loop *ev, ev_timer *w, int events)
{
  Rig *r = w->data;
  (void)ev;
  (void)events;
  if (r->sent >= IDS_MAX)
    return;
  send_request (r);
  if (r->sent++ % JOB_EVERY == 0)
    send_job (r);
}

static void
start_rig (Rig *r)
{
  Procs *p = &r->procs;
  const char *size = "--rack-size 1 --cpu-milli 8000 --memory-mb 8000";
  assert_true (procs_init (p, KQ_BUILD_DIR));
  p->regions = "[[region]]\nname = \"east\"\nshards = 2\n"
               "[[region]]\nname = \"west\"\nshards = 2\n";
  p->stop_ms = 30000;
  assert_true (procs_start_store (p, "") >= 0);
  r->workers[0] = procs_start_workers (p, "e", "east", "e", 4, size);
  r->workers[1] = procs_start_workers (p, "w", "west", "w", 3, size);
  for (int i = 0; i < NODES; i++)
    {
      r->nodes[i] = procs_start_node (p, names[i], regions[i], depots[i]);
      assert_true (r->nodes[i] >= 0);
    }
  assert_true (procs_set_table (p, LIMIT, r->nodes[0], table));
  assert_true (procs_wait_ready (p, LIMIT));
  assert_true (procs_wait_serve (p, LIMIT, "/s/seal/ready"));
}

/* Changes a row through the node; returns the table revision with the change. */
static json_int_t
change_table (Rig *r, int node, int weight)
{
  char body[32];
  ProcsAnswer a;
  json_int_t revision;
  json_t *o;
  snprintf (body, sizeof body, "{\"weight\":%d}", weight);
  procs_call_operator (&r->procs, r->nodes[node], "PUT", "/v1/table/service/seal", body,
                       "*", &a);
  assert_int_equal (a.status, 200);
  o = json_loadb (a.body.ptr, a.body.len, 0, NULL);
  revision = json_integer_value (json_object_get (o, "revision"));
  json_decref (o);
  kq_buf_free (&a.body);
  return revision;
}

static void
replace_node (Rig *r, int i)
{
  Procs *p = &r->procs;
  r->stopping = i;
  procs_signal (p, r->nodes[i], SIGTERM);
  assert_int_equal (procs_wait_exit (p, r->nodes[i], LIMIT), 0);
  r->nodes[i] = procs_start_node (p, names[i], regions[i], depots[i]);
  assert_true (r->nodes[i] >= 0);
  assert_true (procs_wait_ready (p, LIMIT));
  assert_true (procs_wait_serve (p, LIMIT, "/s/seal/ready"));
  r->stopping = -1;
}

static bool
none_open (Procs *p, void *arg)
{
  (void)p;
  return ((Rig *)arg)->open == 0;
}

static bool
jobs_finished (Procs *p, void *arg)
{
  Rig *r = arg;
  for (int i = 0; i < r->n_jobs; i++)
    {
      char path[64];
      const char *state;
      bool done;
      json_t *o;
      if (r->jobs[i][0] == '\0')
        continue;
      snprintf (path, sizeof path, "/v1/jobs/%s", r->jobs[i]);
      o = procs_json (p, r->nodes[0], path);
      state = json_string_value (json_object_get (o, "state"));
      done = state != NULL && strcmp (state, "finished") == 0;
      json_decref (o);
      if (!done)
        return false;
      r->jobs[i][0] = '\0';
    }
  return true;
}

/* The highest number of runs of one keyed request, summed over both worker processes. */
static int
most_runs (Rig *r)
{
  int most = 0;
  json_t *e = procs_standin_json (&r->procs, r->workers[0], "/v1/effects");
  json_t *w = procs_standin_json (&r->procs, r->workers[1], "/v1/effects");
  for (int i = 0; i < r->n_posts; i++)
    {
      char id[32];
      int n;
      snprintf (id, sizeof id, "post-%d", i);
      n = (int)json_integer_value (json_object_get (json_object_get (e, "requests"), id));
      n += (int)json_integer_value (
          json_object_get (json_object_get (w, "requests"), id));
      most = n > most ? n : most;
    }
  json_decref (e);
  json_decref (w);
  return most;
}

static void
check_tables (Rig *r, json_int_t revision)
{
  for (int i = 0; i < NODES; i++)
    {
      json_t *o = procs_json (&r->procs, r->nodes[i], "/v1/node");
      assert_true (json_integer_value (json_object_get (o, "table_revision"))
                   >= revision);
      json_decref (o);
    }
}

/* Every node in turn is stopped by SIGTERM and started again under its name while jobs
 * and requests with and without keys run; before each replacement a row is changed
 * through another node, the one replaced last. No answer is truncated or unknown, every
 * process exits with 0, no key runs twice and every accepted job finishes. No table
 * change is lost, although no process that took part in the first one is left at the end.
 */
static void
test_every_node_replaced_under_load (void **state)
{
  static Rig r;
  json_int_t revision = 0;
  (void)state;
  r.stopping = -1;
  start_rig (&r);
  ev_timer_init (&r.load, on_load, 0, REQUEST_GAP_S);
  r.load.data = &r;
  ev_timer_start (kq_loop_ev (r.procs.loop), &r.load);
  for (int i = 0; i < NODES; i++)
    {
      revision = change_table (&r, (i + NODES - 1) % NODES, i + 2);
      replace_node (&r, i);
      check_tables (&r, revision);
    }
  ev_timer_stop (kq_loop_ev (r.procs.loop), &r.load);
  assert_true (procs_wait (&r.procs, LIMIT, none_open, &r));
  print_message (
      "sent %d: answered %d, refused %d, unknown %d, interrupted %d; jobs %d\n", r.sent,
      r.answered, r.refused, r.unknown, r.interrupted, r.n_jobs);
  assert_int_equal (r.interrupted, 0);
  assert_int_equal (r.unknown, 0);
  assert_true (r.answered > r.sent / 2);
  assert_int_equal (most_runs (&r), 1);
  assert_true (procs_wait (&r.procs, LIMIT, jobs_finished, &r));
  check_tables (&r, revision);
  procs_free (&r.procs, false);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_node_replaced_under_load),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
