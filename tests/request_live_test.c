#include "../bench/procs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* One kumquatd, which is the entry node and the only owner, and stand-in runners whose
 * answers are lost. */

#define LIMIT (30 * KQ_SEC)

typedef struct
{
  Procs procs;
  int store;
  int workers;
  int node;
} Rig;

static const char *const table
    = "{\"changes\":[{\"kind\":\"service\",\"name\":\"seal\"}]}";

static void
ask (Rig *r, const char *path, const char *id, const char *deadline_ms, ProcsAnswer *a)
{
  char url[256];
  KqHeader h[2]
      = { { KQ_STR ("X-Request-Id"), { 0 } }, { KQ_STR ("X-Kq-Deadline-Ms"), { 0 } } };
  ProcsRequest q = { .method = "GET", .url = url, .headers = h, .n_headers = 2 };
  h[0].value = kq_str (id);
  h[1].value = kq_str (deadline_ms);
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s",
            r->procs.processes[r->node].callers_port, path);
  procs_call (&r->procs, &q, a);
}

static int
set_up (void **state)
{
  static Rig rig;
  Rig *r = &rig;
  *state = r;
  assert_true (procs_init (&r->procs, KQ_BUILD_DIR));
  r->procs.regions = "[[region]]\nname = \"r\"\nshards = 1\n";
  r->store = procs_start_store (&r->procs, "");
  r->workers = procs_start_workers (&r->procs, "w", "r", "d", 4, "--rack-size 1");
  r->node = procs_start_node (&r->procs, "n0", "r", "d");
  assert_true (r->node >= 0);
  assert_true (procs_set_table (&r->procs, LIMIT, r->node, table));
  assert_true (procs_wait_ready (&r->procs, LIMIT));
  assert_true (procs_wait_serve (&r->procs, LIMIT, "/s/seal/ready"));
  return 0;
}

static int
tear_down (void **state)
{
  Rig *r = *state;
  procs_free (&r->procs, false);
  return 0;
}

/* A runner's answer is lost. The request is idempotent, so the entry node retries it. As
 * there is no other owner, the same one sends it to another runner, once, and counts the
 * retry. The caller gets a complete answer. */
static void
test_retry_at_the_only_owner (void **state)
{
  Rig *r = *state;
  ProcsAnswer a;
  procs_set_fault (&r->procs, r->workers, "{\"method\":\"GET\",\"lose_answer\":1}");
  ask (r, "/s/seal/lost", "lost", "20000", &a);
  assert_int_equal (a.status, 200);
  assert_int_equal (procs_count_runs (&r->procs, r->workers, "lost"), 2);
  kq_buf_free (&a.body);
  procs_set_fault (&r->procs, r->workers, "{\"clear\":true}");
  procs_call_operator (&r->procs, r->node, "GET", "/metrics", NULL, NULL, &a);
  assert_non_null (strstr (a.body.ptr, "{code=\"641\",name=\"RETRY_IDEMPOTENT\"} 1\n"));
  kq_buf_free (&a.body);
}

/* The owner has learned how long such requests take. The first attempt runs for most of
 * the deadline and its answer is lost. The owner refuses the second attempt, as the rest
 * of the deadline is too short. Only the second attempt was "not run", so the caller must
 * be told "unknown". */
static void
test_refused_retry_reports_unknown (void **state)
{
  Rig *r = *state;
  for (int i = 0; i < 30; i++)
    {
      ProcsAnswer a;
      ask (r, "/s/seal/short?ms=50", "learn", "20000", &a);
      assert_int_equal (a.status, 200);
      kq_buf_free (&a.body);
    }
  for (int i = 0; i < 10; i++)
    {
      ProcsAnswer a;
      int before = procs_count_runs (&r->procs, r->workers, "short");
      procs_set_fault (&r->procs, r->workers, "{\"method\":\"GET\",\"lose_answer\":-1}");
      ask (r, "/s/seal/short?ms=50", "short", "85", &a);
      procs_set_fault (&r->procs, r->workers, "{\"clear\":true}");
      assert_int_not_equal (a.status, 200);
      assert_string_equal (
          a.ran,
          procs_count_runs (&r->procs, r->workers, "short") > before ? "unknown" : "no");
      kq_buf_free (&a.body);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_retry_at_the_only_owner),
    cmocka_unit_test (test_refused_retry_reports_unknown),
  };
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
