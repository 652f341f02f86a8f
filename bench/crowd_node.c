#include "crowd_node.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Only tell a test that hangs. */
#define READY_LIMIT (20 * KQ_SEC)
#define SEND_LIMIT (60 * KQ_SEC)
#define ANSWER_LIMIT (60 * KQ_SEC)

static int
read_port (CrowdNode *n, int process, const char *before)
{
  char rest[256];
  assert_true (procs_wait_text (&n->procs, process, "out", before, rest));
  return atoi (rest);
}

static int
call (CrowdNode *n, int port, const char *method, const char *path, KqStr body,
      KqBuf *answer)
{
  char url[160];
  KqHeader h[] = { { KQ_STR ("Host"), KQ_STR ("desk.example") } };
  ProcsRequest q = { .method = method,
                     .url = url,
                     .headers = h,
                     .n_headers = 1,
                     .body = body,
                     .total_ms = 4000 };
  ProcsAnswer a;
  int status;
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port, path);
  procs_call (&n->procs, &q, &a);
  status = a.outcome == KQ_HTTP_DONE ? a.status : 0;
  if (answer != NULL)
    kq_buf_add_str (answer, kq_buf_str (&a.body));
  kq_buf_free (&a.body);
  return status;
}

int
crowd_node_submit (CrowdNode *n, const char *id, KqStr body)
{
  char path[64];
  snprintf (path, sizeof path, "/plans/%s", id);
  return call (n, n->front_port, "POST", path, body, NULL);
}

static void
wait_ready (CrowdNode *n)
{
  KqTime until = kq_time_now () + READY_LIMIT;
  while (call (n, n->ready_port, "GET", "/readyz", KQ_STR (""), NULL) != 200)
    {
      assert_true (kq_time_now () < until);
      procs_run (&n->procs, 50 * KQ_MS, NULL);
    }
}

void
crowd_node_start (CrowdNode *n, const char *build, int memory_mb, int max_fds,
                  const char *limits)
{
  Procs *p = &n->procs;
  char path[128];
  char options[160];
  FILE *f;
  *n = (CrowdNode){ .memory_mb = memory_mb, .max_fds = max_fds };
  assert_true (procs_init (p, build));
  n->platform
      = procs_start_program (p, PROCS_PLATFORM, "standin-platform", "--runners 2");
  n->store_port = read_port (n, n->platform, "store ");
  snprintf (path, sizeof path, "%s/node.toml", p->dir);
  f = fopen (path, "w");
  assert_non_null (f);
  fprintf (f,
           "[fleet]\nnode = \"n0\"\nfailure_domain = \"north\"\nregion = \"r\"\n"
           "[listen]\nip = \"127.0.0.1\"\nfront = \"127.0.0.1:0\"\n"
           "ready = \"127.0.0.1:0\"\npeer_port = 0\nmetrics_port = 0\n"
           "[store]\naddress = \"127.0.0.1:%d\"\n"
           "[limits]\nmemory_mb = %d\nmax_fds = %d\n%s",
           n->store_port, memory_mb, max_fds, limits);
  fclose (f);
  snprintf (options, sizeof options, "--settings %s", path);
  n->node = procs_start_program (p, PROCS_FLEET_NODE, "kumquatd", options);
  n->front_port = read_port (n, n->node, "Started. front=");
  n->ready_port = read_port (n, n->node, " ready=");
  n->peer_port = read_port (n, n->node, " peers=");
  n->metrics_port = read_port (n, n->node, " metrics=");
  n->use = (CrowdUse){ .pid = p->processes[n->node].pid,
                       .ports = { n->front_port, n->ready_port, n->peer_port,
                                  n->metrics_port } };
  wait_ready (n);
}

void
crowd_node_stop (CrowdNode *n)
{
  procs_free (&n->procs, false);
}

Crowd *
crowd_node_attack (CrowdNode *n, const CrowdPlan *plan)
{
  Crowd *c = crowd_open (plan);
  crowd_send (c, &n->use, SEND_LIMIT);
  return c;
}

/* Submits a job as an ordinary client does: again with the same id until it is told that
 * the job is accepted. */
static void
submit_until_accepted (CrowdNode *n, const char *id)
{
  KqStr job = KQ_STR ("{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":100,\"mem_mb\":16,"
                      "\"est_ms\":50}]}");
  KqTime until = kq_time_now () + ANSWER_LIMIT;
  while (crowd_node_submit (n, id, job) != 200)
    {
      assert_true (kq_time_now () < until);
      procs_run (&n->procs, 100 * KQ_MS, NULL);
    }
}

static void
wait_completed (CrowdNode *n, const char *id)
{
  KqTime until = kq_time_now () + ANSWER_LIMIT;
  char path[64];
  bool completed = false;
  snprintf (path, sizeof path, "/plans/%s", id);
  while (!completed)
    {
      KqBuf answer = { 0 };
      assert_true (kq_time_now () < until);
      completed = call (n, n->front_port, "GET", path, KQ_STR (""), &answer) == 200
                  && strstr (answer.ptr, "completed") != NULL;
      kq_buf_free (&answer);
      procs_run (&n->procs, 100 * KQ_MS, NULL);
    }
}

void
crowd_node_check (CrowdNode *n)
{
  char id[32];
  crowd_sample (&n->use);
  print_message ("memory %ld of %d KB, descriptors %d of %d, process %s\n",
                 n->use.memory_kb, n->memory_mb * 1024, n->use.fds, n->max_fds,
                 n->use.ended ? "ended" : "lives");
  assert_false (n->use.ended);
  snprintf (id, sizeof id, "feed%012x", ++n->next_id);
  submit_until_accepted (n, id);
  wait_completed (n, id);
  crowd_sample (&n->use);
  assert_false (n->use.ended);
  assert_true (n->use.memory_kb <= n->memory_mb * 1024L);
  assert_true (n->use.fds <= n->max_fds);
}

void
crowd_node_set_fault (CrowdNode *n, const char *fault)
{
  char url[96];
  ProcsRequest q = { .method = "POST", .url = url, .body = kq_str (fault) };
  ProcsAnswer a;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/fault", n->store_port);
  procs_call (&n->procs, &q, &a);
  assert_int_equal (a.status, 200);
  kq_buf_free (&a.body);
}
