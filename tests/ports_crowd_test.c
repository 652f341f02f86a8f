#include "bench/crowd_node.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* Clients of each port of a node that hold more descriptors or memory than the node may
 * use. */

#define MEMORY_MB 64
#define FDS 8192
#define FEW_FDS 300

static CrowdNode node;

static int
tear_down (void **state)
{
  (void)state;
  crowd_node_stop (&node);
  return 0;
}

static void
start (int max_fds)
{
  crowd_node_start (&node, KQ_BUILD_DIR, MEMORY_MB, max_fds, "");
}

static void
attack_and_check (const CrowdPlan *plan)
{
  Crowd *c = crowd_node_attack (&node, plan);
  crowd_node_check (&node);
  crowd_close (c);
}

/* Guards against a node that has no descriptor left for the store, its peers and runners,
 * because clients of one of its ports hold all. */
static void
check_descriptors_with_memory (const int *port, KqStr head, int memory_mb)
{
  CrowdPlan p
      = { .clients = FEW_FDS + 100, .head = head, .total = head.len, .reopens = FEW_FDS };
  crowd_node_start (&node, KQ_BUILD_DIR, memory_mb, FEW_FDS, "");
  p.port = *port;
  attack_and_check (&p);
}

static void
check_descriptors (const int *port, KqStr head)
{
  check_descriptors_with_memory (port, head, MEMORY_MB);
}

static void
test_descriptors_at_the_front_port (void **state)
{
  (void)state;
  check_descriptors (&node.front_port, KQ_STR ("GET / HTTP/1.1\r\n"));
}

static void
test_descriptors_at_the_ready_port (void **state)
{
  (void)state;
  check_descriptors (&node.ready_port, KQ_STR ("GET / HTTP/1.1\r\n"));
}

static void
test_descriptors_at_the_metrics_port (void **state)
{
  (void)state;
  check_descriptors (&node.metrics_port, KQ_STR ("GET / HTTP/1.1\r\n"));
}

static void
test_descriptors_at_the_peer_port (void **state)
{
  (void)state;
  check_descriptors (&node.peer_port, (KqStr){ "\x00\x00\xff\xff", 4 });
}

/* The same on a machine on which the memory would bear all of these clients. */
static void
test_descriptors_where_memory_is_plenty (void **state)
{
  (void)state;
  check_descriptors_with_memory (&node.front_port, KQ_STR ("GET / HTTP/1.1\r\n"), 1024);
}

/* Guards against answers that fill the memory because their clients don't read them. */
static void
test_unread_answers (void **state)
{
  CrowdPlan p = { .clients = 3000,
                  .fill = KQ_STR ("GET /metrics HTTP/1.1\r\nHost: n0\r\n\r\n"),
                  .receive_buffer = 2048,
                  .reopens = 1000 };
  (void)state;
  start (FDS);
  p.port = node.metrics_port;
  p.total = 12 * p.fill.len;
  attack_and_check (&p);
}

/* Guards against requests to the ready port whose bodies pile up. */
static void
test_bodies_at_the_ready_port (void **state)
{
  CrowdPlan p = { .clients = 3000,
                  .head = KQ_STR ("POST /readyz HTTP/1.1\r\nHost: n0\r\n"
                                  "Content-Length: 1000000\r\n\r\n"),
                  .fill = KQ_STR ("a"),
                  .total = 900000,
                  .reopens = 1000 };
  (void)state;
  start (FDS);
  p.port = node.ready_port;
  attack_and_check (&p);
}

/* Guards against a node that runs out of memory by frames that stop short, from clients
 * that aren't nodes. */
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
  p.port = node.peer_port;
  attack_and_check (&p);
}

/* Guards against a client of the peer port that keeps its connection for ever by sending
 * a frame byte by byte. */
static void
test_frame_byte_by_byte_ends (void **state)
{
  CrowdPlan p = { .clients = 40,
                  .head = { "\x00\x00\xff\xff", 4 },
                  .fill = KQ_STR ("a"),
                  .total = 60000,
                  .piece = 1,
                  .pause = 100 * KQ_MS };
  Crowd *c;
  (void)state;
  start (FDS);
  p.port = node.peer_port;
  c = crowd_open (&p);
  assert_true (crowd_wait_closed (c, &node.use, 30 * KQ_SEC));
  crowd_node_check (&node);
  crowd_close (c);
}

#define TEST(f) cmocka_unit_test_teardown (f, tear_down)

/* The first argument names the test to run; without one all run. */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    TEST (test_descriptors_at_the_front_port),
    TEST (test_descriptors_at_the_ready_port),
    TEST (test_descriptors_at_the_metrics_port),
    TEST (test_descriptors_at_the_peer_port),
    TEST (test_descriptors_where_memory_is_plenty),
    TEST (test_unread_answers),
    TEST (test_bodies_at_the_ready_port),
    TEST (test_frames_that_stop_short),
    TEST (test_frame_byte_by_byte_ends),
  };
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
