#include "../bench/procs.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* A fault at each place where a request can be lost between the entry node and the end of
 * the runner's work. Tests check what the caller is told and how often the runner ran the
 * request. There are three nodes and one shard: one node owns all runners, the others are
 * only entry nodes. */

#define LIMIT (30 * KQ_SEC)
#define NODES 3

typedef struct
{
  Procs procs;
  int store;
  int workers;
  int workers2; /* second worker process, in the test that starts one; else -1 */
  int nodes[NODES];
  int owner; /* index in nodes of the owner of all runners, or -1 */
  int open;
  ProcsAnswer answer; /* of the asynchronous request; its body is freed */
} Rig;

static const char *const table
    = "{\"changes\":[{\"kind\":\"service\",\"name\":\"seal\",\"fields\":"
      "{\"deadline_ms\":20000,\"silent_ms\":1000}}]}";

static bool
post_table (Procs *p, void *arg)
{
  Rig *r = arg;
  ProcsAnswer a;
  bool ok;
  procs_call_operator (p, r->nodes[0], "POST", "/v1/table", table, NULL, &a);
  ok = a.status == 200;
  kq_buf_free (&a.body);
  return ok;
}

/* Sends a request with the id, which is also its idempotency key if keyed. done NULL:
 * waits for the answer, whose body the caller frees. */
static void
ask (Rig *r, int node, const char *method, const char *query, const char *id, bool keyed,
     ProcsDone done, ProcsAnswer *a)
{
  char url[256];
  KqHeader h[2] = { { KQ_STR ("X-Request-Id"), kq_str (id) },
                    { KQ_STR ("Idempotency-Key"), kq_str (id) } };
  ProcsRequest q = { .method = method,
                     .url = url,
                     .headers = h,
                     .n_headers = keyed ? 2 : 1,
                     .total_ms = 25000 };
  snprintf (url, sizeof url, "http://127.0.0.1:%d/s/seal/x?%s",
            r->procs.processes[r->nodes[node]].callers_port, query);
  if (done != NULL)
    procs_send (&r->procs, &q, done, r);
  else
    procs_call (&r->procs, &q, a);
}

static bool
serves (Procs *p, void *arg)
{
  Rig *r = arg;
  for (int i = 0; i < NODES; i++)
    {
      ProcsAnswer a;
      bool ok;
      if (p->processes[r->nodes[i]].pid == 0)
        continue;
      ask (r, i, "GET", "ms=1", "ready", false, NULL, &a);
      ok = a.status == 200;
      kq_buf_free (&a.body);
      if (!ok)
        return false;
    }
  return true;
}

/* Whether one node owns all runners; sets r->owner, -1 while ownership moves. */
static bool
one_owner (Procs *p, void *arg)
{
  Rig *r = arg;
  size_t wanted = r->workers2 >= 0 ? 3 : 2;
  size_t all = 0;
  r->owner = -1;
  for (int i = 0; i < NODES; i++)
    {
      json_t *o;
      size_t n;
      if (p->processes[r->nodes[i]].pid == 0)
        continue;
      o = procs_json (p, r->nodes[i], "/v1/queues");
      n = json_array_size (json_object_get (o, "runners"));
      json_decref (o);
      all += n;
      if (n == wanted)
        r->owner = i;
    }
  return all == wanted && r->owner >= 0;
}

static int
set_up (void **state)
{
  static Rig rig;
  Rig *r = &rig;
  Procs *p = &r->procs;
  *state = r;
  rig = (Rig){ .owner = -1, .workers2 = -1 };
  assert_true (procs_init (p, KQ_BUILD_DIR));
  p->regions = "[[region]]\nname = \"r\"\nshards = 1\n";
  p->node_lease_ms = 2000;
  p->worker_lease_ms = 2000;
  r->store = procs_start_store (p, "");
  r->workers = procs_start_workers (p, "w", "r", "d", 2, "--slots 4");
  for (int i = 0; i < NODES; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      r->nodes[i] = procs_start_node (p, name, "r", "d");
      assert_true (r->nodes[i] >= 0);
    }
  assert_true (procs_wait (p, LIMIT, post_table, r));
  assert_true (procs_wait_ready (p, LIMIT));
  assert_true (procs_wait (p, LIMIT, serves, r));
  assert_true (procs_wait (p, LIMIT, one_owner, r));
  return 0;
}

/* A runner that failed in the test before gets no requests for a time. */
static int
wait_serving (void **state)
{
  Rig *r = *state;
  assert_true (procs_wait (&r->procs, LIMIT, serves, r));
  return 0;
}

static int
tear_down (void **state)
{
  Rig *r = *state;
  procs_free (&r->procs, false);
  return 0;
}

static int
runs_of (Rig *r, const char *id)
{
  json_t *o = procs_standin_json (&r->procs, r->workers, "/v1/effects");
  json_t *n = json_object_get (json_object_get (o, "requests"), id);
  int runs = (int)json_integer_value (n);
  assert_non_null (o);
  json_decref (o);
  return runs;
}

/* Sends a POST during a fault of the runners. The caller must get an error answer with
 * this value of `ran`. */
static void
post_during_fault (Rig *r, const char *fault, const char *query, const char *id,
                   bool keyed, const char *ran)
{
  ProcsAnswer a;
  procs_set_fault (&r->procs, r->workers, fault);
  ask (r, 0, "POST", query, id, keyed, NULL, &a);
  procs_set_fault (&r->procs, r->workers, "{\"clear\":true}");
  assert_int_equal (a.outcome, KQ_HTTP_DONE);
  assert_int_not_equal (a.status, 200);
  if (strcmp (a.ran, ran) != 0)
    print_message ("%s: code %d\n", id, a.code);
  assert_string_equal (a.ran, ran);
  kq_buf_free (&a.body);
}

/* The runner accepts the request and sends nothing on the open connection. After
 * silent_ms the caller is told "unknown", as the request may have run. This stand-in
 * hangs before it runs the request, so that it counts no run; no node sends the request
 * again. */
static void
test_runner_hangs (void **state)
{
  post_during_fault (*state,
                     "{\"path\":\"/w/\",\"method\":\"POST\",\"accept_and_hang\":true}",
                     "ms=1", "hangs", false, "unknown");
  assert_int_equal (runs_of (*state, "hangs"), 0);
}

/* The runner runs the request, then takes longer than silent_ms to answer: the caller is
 * told "unknown", and the request isn't run again. */
static void
test_runner_hangs_after_run (void **state)
{
  post_during_fault (*state,
                     "{\"path\":\"/w/\",\"method\":\"POST\",\"answer_delay_ms\":5000}",
                     "ms=1", "late", false, "unknown");
  assert_int_equal (runs_of (*state, "late"), 1);
}

/* The runner closes the connection without running the request or answering it. The owner
 * can't distinguish this from an answer lost after the run, so the caller is told
 * "unknown" and no node sends the request again. */
static void
test_runner_closes (void **state)
{
  post_during_fault (*state,
                     "{\"path\":\"/w/\",\"method\":\"POST\",\"outage\":\"close\"}",
                     "ms=1", "closes", false, "unknown");
  assert_int_equal (runs_of (*state, "closes"), 0);
}

/* The runner sends half of its answer and closes. The status and headers may have been
 * forwarded by then: the caller gets a broken connection or "unknown", never a truncated
 * answer that looks complete. The request ran once. */
static void
test_answer_cut (void **state)
{
  Rig *r = *state;
  ProcsAnswer a;
  procs_set_fault (&r->procs, r->workers, "{\"path\":\"/w/\",\"partial_answer\":-1}");
  ask (r, 0, "POST", "bytes=300000", "half", false, NULL, &a);
  procs_set_fault (&r->procs, r->workers, "{\"clear\":true}");
  assert_true (a.outcome == KQ_HTTP_BROKEN || strcmp (a.ran, "unknown") == 0);
  assert_int_equal (runs_of (r, "half"), 1);
  kq_buf_free (&a.body);
}

/* The runner runs a request with an idempotency key and its answer is lost. The caller is
 * told "unknown" and repeats it through another node: the claim says that the outcome is
 * unknown, and the request isn't run again. */
static void
test_answer_lost_and_repeated (void **state)
{
  Rig *r = *state;
  ProcsAnswer a;
  post_during_fault (r, "{\"path\":\"/w/\",\"method\":\"POST\",\"lose_answer\":-1}",
                     "ms=1", "lost", true, "unknown");
  assert_int_equal (runs_of (r, "lost"), 1);
  ask (r, 1, "POST", "ms=1", "lost", true, NULL, &a);
  assert_int_not_equal (a.status, 200);
  assert_string_equal (a.ran, "unknown");
  assert_int_equal (runs_of (r, "lost"), 1);
  kq_buf_free (&a.body);
}

static bool
key_served (Procs *p, void *arg)
{
  ProcsAnswer a;
  (void)p;
  ask (arg, 0, "POST", "ms=1", "storeless", true, NULL, &a);
  kq_buf_free (&a.body);
  return a.status == 200;
}

/* During an outage of the store the claim of a POST with a key can't be committed, so the
 * request is refused as not run and no runner receives it. After the outage the key is
 * free: the repeat runs once. */
static void
test_store_down (void **state)
{
  Rig *r = *state;
  ProcsAnswer a;
  procs_set_fault (&r->procs, r->store, "{\"outage\":\"refuse\"}");
  ask (r, 0, "POST", "ms=1", "storeless", true, NULL, &a);
  assert_int_not_equal (a.status, 200);
  assert_string_equal (a.ran, "no");
  assert_int_equal (runs_of (r, "storeless"), 0);
  kq_buf_free (&a.body);
  procs_set_fault (&r->procs, r->store, "{\"clear\":true}");
  assert_true (procs_wait_ready (&r->procs, LIMIT));
  assert_true (procs_wait (&r->procs, LIMIT, key_served, r));
  assert_int_equal (runs_of (r, "storeless"), 1);
}

/* How often the runners of the second process ran the request. */
static int
runs_at_workers2 (Rig *r, const char *id)
{
  int first = r->workers;
  int runs;
  r->workers = r->workers2;
  runs = runs_of (r, id);
  r->workers = first;
  return runs;
}

/* A process of runners is killed and its port refuses connections while the host list
 * still names it. A refused connection means "not run": the POST goes to the runner of
 * the other process and runs there once, or the caller is told "no" and it ran nowhere.
 * After the other process is killed too, the caller is told "no". */
static void
test_connection_refused (void **state)
{
  Rig *r = *state;
  Procs *p = &r->procs;
  ProcsAnswer a;
  int answered = 0;
  r->workers2 = procs_start_workers (p, "v", "r", "d", 1, "--slots 4 --first-rack 9");
  assert_true (r->workers2 >= 0);
  assert_true (procs_wait (p, LIMIT, one_owner, r));
  procs_signal (p, r->workers, SIGKILL);
  assert_int_equal (procs_wait_exit (p, r->workers, LIMIT), 128 + SIGKILL);
  for (int i = 0; i < 12; i++)
    {
      char id[24];
      snprintf (id, sizeof id, "refused-%d", i);
      ask (r, i % NODES, "POST", "ms=1", id, false, NULL, &a);
      assert_int_equal (a.outcome, KQ_HTTP_DONE);
      if (a.status != 200)
        assert_string_equal (a.ran, "no");
      assert_int_equal (runs_at_workers2 (r, id), a.status == 200);
      answered += a.status == 200;
      kq_buf_free (&a.body);
    }
  assert_true (answered > 0);
  procs_signal (p, r->workers2, SIGKILL);
  assert_int_equal (procs_wait_exit (p, r->workers2, LIMIT), 128 + SIGKILL);
  ask (r, 0, "POST", "ms=1", "nowhere", false, NULL, &a);
  assert_int_equal (a.outcome, KQ_HTTP_DONE);
  assert_string_equal (a.ran, "no");
  kq_buf_free (&a.body);
}

static void
on_answer (void *arg, const ProcsAnswer *a)
{
  Rig *r = arg;
  r->answer = *a;
  r->open--;
}

static bool
none_open (Procs *p, void *arg)
{
  (void)p;
  return ((Rig *)arg)->open == 0;
}

static bool
request_has_begun (Procs *p, void *arg)
{
  (void)p;
  return runs_of (arg, "cut") == 1;
}

/* Sends a request of 2 seconds through a node that isn't the owner, kills the owner when
 * the runner has begun it, and waits until the request has ended at the caller. */
static void
kill_owner_during (Rig *r, const char *method)
{
  int entry;
  assert_true (procs_wait (&r->procs, LIMIT, one_owner, r));
  entry = (r->owner + 1) % NODES;
  r->open = 1;
  ask (r, entry, method, "ms=2000", "cut", false, on_answer, NULL);
  assert_true (procs_wait (&r->procs, LIMIT, request_has_begun, r));
  procs_signal (&r->procs, r->nodes[r->owner], SIGKILL);
  assert_int_equal (procs_wait_exit (&r->procs, r->nodes[r->owner], LIMIT),
                    128 + SIGKILL);
  assert_true (procs_wait (&r->procs, LIMIT, none_open, r));
}

/* The owner is killed while a runner runs a POST without a key. The entry node's
 * connection to the owner closes, and the caller is told "unknown"; the request ran once.
 */
static void
test_owner_killed_under_post (void **state)
{
  Rig *r = *state;
  kill_owner_during (r, "POST");
  assert_int_equal (r->answer.outcome, KQ_HTTP_DONE);
  assert_string_equal (r->answer.ran, "unknown");
  assert_true (procs_wait (&r->procs, LIMIT, serves, r));
  assert_int_equal (runs_of (r, "cut"), 1);
}

/* The same with a GET, which may run again: the entry node retries it at the new owner
 * and answers or refuses it; the caller never gets a truncated answer. */
static void
test_owner_killed_under_get (void **state)
{
  Rig *r = *state;
  kill_owner_during (r, "GET");
  assert_int_equal (r->answer.outcome, KQ_HTTP_DONE);
  if (r->answer.status != 200)
    assert_true (r->answer.ran[0] != '\0');
  else
    assert_true (runs_of (r, "cut") >= 2);
}

int
main (void)
{
  const struct CMUnitTest shared_rig[] = {
    cmocka_unit_test_setup (test_runner_hangs, wait_serving),
    cmocka_unit_test_setup (test_runner_hangs_after_run, wait_serving),
    cmocka_unit_test_setup (test_runner_closes, wait_serving),
    cmocka_unit_test_setup (test_answer_cut, wait_serving),
    cmocka_unit_test_setup (test_answer_lost_and_repeated, wait_serving),
    cmocka_unit_test_setup (test_store_down, wait_serving),
  };
  const struct CMUnitTest own_rig[] = {
    cmocka_unit_test_setup_teardown (test_connection_refused, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_owner_killed_under_post, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_owner_killed_under_get, set_up, tear_down),
  };
  int failed = cmocka_run_group_tests (shared_rig, set_up, tear_down);
  return failed + cmocka_run_group_tests (own_rig, NULL, NULL);
}
