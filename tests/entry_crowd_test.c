#include "bench/crowd.h"
#include "bench/procs.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Clients of each port of an entry host that hold more than it may use. */

#define MEMORY_MB 64
#define FDS 8192
#define FEW_FDS 300
/* Only tell a test that hangs. */
#define LIMIT (40 * KQ_SEC)
#define SEND_LIMIT (60 * KQ_SEC)

static struct
{
  Procs procs;
  const ProcsProcess *node;
  CrowdUse use;
  int max_fds;
} rig;

static void
start (int max_fds)
{
  Procs *p = &rig.procs;
  int i;
  assert_true (procs_init (p, KQ_BUILD_DIR));
  p->regions = "[[region]]\nname = \"east\"\nshards = 1\n";
  p->memory_mb = MEMORY_MB;
  p->max_fds = rig.max_fds = max_fds;
  assert_true (procs_start_store (p, "") >= 0);
  assert_true (procs_start_workers (p, "e", "east", "e", 2,
                                    "--rack-size 1 --cpu-milli 8000 --memory-mb 8000")
               >= 0);
  i = procs_start_node (p, "n0", "east", "e");
  assert_true (i >= 0);
  assert_true (procs_wait_ready (p, LIMIT));
  assert_true (procs_set_table (p, LIMIT, i,
                                "{\"changes\":[{\"kind\":\"service\",\"name\":\"seal\","
                                "\"fields\":{\"deadline_ms\":20000}}]}"));
  assert_true (procs_wait_serve (p, LIMIT, "/s/seal/x?ms=1"));
  rig.node = &p->processes[i];
  rig.use = (CrowdUse){ .pid = rig.node->pid,
                        .ports = { rig.node->callers_port, rig.node->operators_port,
                                   rig.node->mesh_port } };
}

static int
tear_down (void **state)
{
  (void)state;
  procs_free (&rig.procs, false);
  return 0;
}

static void
attack_and_check (const CrowdPlan *plan)
{
  Crowd *c = crowd_open (plan);
  crowd_send (c, &rig.use, SEND_LIMIT);
  crowd_sample (&rig.use);
  print_message ("memory %ld of %d KB, descriptors %d of %d, process %s\n",
                 rig.use.memory_kb, MEMORY_MB * 1024, rig.use.fds, rig.max_fds,
                 rig.use.ended ? "ended" : "lives");
  assert_false (rig.use.ended);
  assert_true (procs_wait_serve (&rig.procs, LIMIT, "/s/seal/x?ms=1"));
  crowd_sample (&rig.use);
  assert_false (rig.use.ended);
  assert_true (rig.use.memory_kb <= MEMORY_MB * 1024L);
  assert_true (rig.use.fds <= rig.max_fds);
  crowd_close (c);
}

/* Guards against a node that runs out of memory while many bodies of requests with a key,
 * which are collected whole, stop short. */
static void
test_keyed_bodies_that_stop_short (void **state)
{
  CrowdPlan p = { .clients = 200,
                  .head = KQ_STR ("POST /s/seal/x HTTP/1.1\r\nHost: n0\r\n"
                                  "Idempotency-Key: 0000000000000000\r\n"
                                  "Content-Length: 1048576\r\n\r\n"),
                  .fill = KQ_STR ("a"),
                  .reopens = 200 };
  (void)state;
  start (FDS);
  p.port = rig.node->callers_port;
  p.id_at = sizeof "POST /s/seal/x HTTP/1.1\r\nHost: n0\r\nIdempotency-Key: " - 1;
  p.total = p.head.len + 1048576 - 1;
  attack_and_check (&p);
}

/* The same with bodies that are passed on to the runner as they arrive. */
static void
test_streamed_bodies_that_stop_short (void **state)
{
  CrowdPlan p = { .clients = 300,
                  .head = KQ_STR ("POST /s/seal/x HTTP/1.1\r\nHost: n0\r\n"
                                  "Content-Length: 10000000\r\n\r\n"),
                  .fill = KQ_STR ("a"),
                  .reopens = 300 };
  (void)state;
  start (FDS);
  p.port = rig.node->callers_port;
  p.total = 1000000;
  attack_and_check (&p);
}

/* Guards against a process that ends when a streamed body grows while its request waits
 * for another try. */
static void
test_streamed_bodies_that_are_refused (void **state)
{
  CrowdPlan p = { .clients = 400,
                  .head = KQ_STR ("POST /s/seal/x?ms=500 HTTP/1.1\r\nHost: n0\r\n"
                                  "Content-Length: 10000000\r\n\r\n"),
                  .fill = KQ_STR ("a"),
                  .total = 200000,
                  .piece = 8000,
                  .pause = 5 * KQ_MS,
                  .reopens = 2000,
                  .leaves = true };
  (void)state;
  start (FDS);
  p.port = rig.node->callers_port;
  attack_and_check (&p);
}

/* The same with submissions of jobs. */
static void
test_jobs_that_stop_short (void **state)
{
  CrowdPlan p = { .clients = 1500,
                  .head = KQ_STR ("POST /v1/jobs HTTP/1.1\r\nHost: n0\r\n"
                                  "Content-Length: 65536\r\n\r\n"),
                  .fill = KQ_STR ("a"),
                  .reopens = 500 };
  (void)state;
  start (FDS);
  p.port = rig.node->callers_port;
  p.total = p.head.len + 65535;
  attack_and_check (&p);
}

/* The same with frames at the port for other nodes. */
static void
test_frames_that_stop_short (void **state)
{
  CrowdPlan p = { .clients = 60,
                  .head = { "\x00\x3f\xff\xff", 4 },
                  .fill = KQ_STR ("a"),
                  .total = (size_t)4 * 1024 * 1024 - 1,
                  .reopens = 60 };
  (void)state;
  start (FDS);
  p.port = rig.node->mesh_port;
  attack_and_check (&p);
}

/* Guards against a node that has no descriptor left for the store, its peers and runners,
 * because clients of one of its ports hold all. */
static void
check_descriptors (const int *port, KqStr head)
{
  CrowdPlan p
      = { .clients = FEW_FDS + 100, .head = head, .total = head.len, .reopens = FEW_FDS };
  start (FEW_FDS);
  p.port = *port;
  attack_and_check (&p);
}

static void
test_descriptors_at_the_callers_port (void **state)
{
  (void)state;
  check_descriptors (&rig.procs.processes[2].callers_port,
                     KQ_STR ("GET /s/seal/x HTTP/1.1\r\n"));
}

static void
test_descriptors_at_the_operators_port (void **state)
{
  (void)state;
  check_descriptors (&rig.procs.processes[2].operators_port,
                     KQ_STR ("GET /readyz HTTP/1.1\r\n"));
}

static void
test_descriptors_at_the_mesh_port (void **state)
{
  (void)state;
  check_descriptors (&rig.procs.processes[2].mesh_port, (KqStr){ "\x00\x00\xff\xff", 4 });
}

#define TEST(f) cmocka_unit_test_teardown (f, tear_down)

/* The first argument names the test to run; without one all run. */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    TEST (test_keyed_bodies_that_stop_short),
    TEST (test_streamed_bodies_that_stop_short),
    TEST (test_streamed_bodies_that_are_refused),
    TEST (test_jobs_that_stop_short),
    TEST (test_frames_that_stop_short),
    TEST (test_descriptors_at_the_callers_port),
    TEST (test_descriptors_at_the_operators_port),
    TEST (test_descriptors_at_the_mesh_port),
  };
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
