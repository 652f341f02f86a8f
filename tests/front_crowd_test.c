#include "bench/crowd_node.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* Clients of a node's port for client accounts that hold more than the node may use. */

#define MEMORY_MB 64
#define FDS 8192
#define ID_AT (sizeof "POST /plans/" - 1)
#define BODY_BYTES 262144 /* the longest that the stand-in's configuration allows */

static CrowdNode node;
static KqBuf request; /* the head of a crowd's plan, as far as a test builds one */

static KqStr
add_head (const char *method, const char *framing)
{
  kq_buf_printf (&request,
                 "%s /plans/0123456789abcdef HTTP/1.1\r\nHost: desk.example\r\n%s\r\n",
                 method, framing);
  return kq_buf_str (&request);
}

/* Appends a body of BODY_BYTES that is filled up between begin and end. */
static KqStr
add_large_body (const char *begin, const char *fill, const char *end)
{
  size_t most = request.len + BODY_BYTES - strlen (end);
  kq_buf_printf (&request, "%s", begin);
  while (request.len + strlen (fill) <= most)
    kq_buf_printf (&request, "%s", fill);
  while (request.len < most)
    kq_buf_printf (&request, " ");
  kq_buf_printf (&request, "%s", end);
  return kq_buf_str (&request);
}

/* Appends a whole submission of the job. */
static KqStr
add_job (const char *job)
{
  char framing[64];
  snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", strlen (job));
  add_head ("POST", framing);
  kq_buf_printf (&request, "%s", job);
  return kq_buf_str (&request);
}

static int
tear_down (void **state)
{
  (void)state;
  crowd_node_stop (&node);
  kq_buf_free (&request);
  return 0;
}

static void
start (const char *limits)
{
  crowd_node_start (&node, KQ_BUILD_DIR, MEMORY_MB, FDS, limits);
}

/* Makes the store hang on writes, or answer again. */
static void
hang_store (bool hang)
{
  crowd_node_set_fault (&node,
                        hang ? "{\"method\":\"POST\",\"path\":\"/kv-txn\",\"hang\":true}"
                             : "{\"clear\":true}");
}

static void
attack_and_check (const CrowdPlan *plan)
{
  Crowd *c = crowd_node_attack (&node, plan);
  crowd_node_check (&node);
  crowd_close (c);
}

/* Guards against a node that runs out of memory while many bodies of legal size stop
 * short of their last byte. */
static void
test_bodies_that_stop_short (void **state)
{
  CrowdPlan p = { .clients = 600, .fill = KQ_STR ("a"), .reopens = 600 };
  (void)state;
  start ("");
  p.port = node.front_port;
  p.head = add_head ("POST", "Content-Length: 262144\r\n");
  p.total = p.head.len + BODY_BYTES - 1;
  attack_and_check (&p);
}

/* The same with bodies of unknown length that arrive in small chunks. */
static void
test_chunked_bodies_that_stop_short (void **state)
{
  char chunk[1024 + 8];
  CrowdPlan p = { .clients = 600, .piece = 1000, .reopens = 600 };
  (void)state;
  start ("");
  snprintf (chunk, sizeof chunk, "400\r\n%01024d\r\n", 0);
  p.port = node.front_port;
  p.fill = kq_str_n (chunk, 1024 + 7);
  p.head = add_head ("POST", "Transfer-Encoding: chunked\r\n");
  p.total = p.head.len + BODY_BYTES / 1024 * p.fill.len - 1;
  attack_and_check (&p);
}

/* A whole submission of legal size that a node has to keep in full. */
static KqStr
large_job (void)
{
  add_head ("POST", "Content-Length: 262144\r\n");
  return add_large_body ("{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,"
                         "\"mem_mb\":16,\"est_ms\":50,\"image\":\"",
                         "a", "\"}]}");
}

/* Guards against a node that runs out of memory by what it keeps of whole requests while
 * the store doesn't answer. */
static void
test_large_jobs_while_the_store_hangs (void **state)
{
  CrowdPlan p = { .clients = 600, .head = large_job (), .id_at = ID_AT, .reopens = 600 };
  Crowd *c;
  (void)state;
  start ("");
  p.port = node.front_port;
  p.total = p.head.len;
  hang_store (true);
  c = crowd_node_attack (&node, &p);
  hang_store (false);
  crowd_node_check (&node);
  crowd_close (c);
}

/* The same with clients that leave at once, so that no connection counts. */
static void
test_large_jobs_of_clients_that_leave (void **state)
{
  CrowdPlan p = {
    .clients = 200, .head = large_job (), .id_at = ID_AT, .reopens = 2000, .leaves = true
  };
  Crowd *c;
  (void)state;
  start ("");
  p.port = node.front_port;
  p.total = p.head.len;
  hang_store (true);
  c = crowd_node_attack (&node, &p);
  hang_store (false);
  crowd_node_check (&node);
  crowd_close (c);
}

/* Guards against requests that hold more than their bodies: ids that fill a head, of
 * clients that leave at once. */
static void
test_long_ids (void **state)
{
  CrowdPlan p = { .clients = 200, .reopens = 6000, .leaves = true };
  Crowd *c;
  (void)state;
  start ("");
  kq_buf_printf (&request, "GET /plans/%029900d HTTP/1.1\r\nHost: desk.example\r\n\r\n",
                 0);
  p.port = node.front_port;
  p.head = kq_buf_str (&request);
  p.total = p.head.len;
  hang_store (true);
  c = crowd_node_attack (&node, &p);
  hang_store (false);
  crowd_node_check (&node);
  crowd_close (c);
}

/* Guards against a leader that runs out of memory by the jobs that are accepted. */
static void
test_large_jobs_that_are_accepted (void **state)
{
  CrowdPlan p = { .clients = 200, .head = large_job (), .id_at = ID_AT, .reopens = 600 };
  (void)state;
  start ("");
  p.port = node.front_port;
  p.total = p.head.len;
  attack_and_check (&p);
}

/* Guards against short submissions whose jobs take much memory once they are accepted. */
static void
check_accepted_jobs (const char *job)
{
  CrowdPlan p = { .clients = 100, .id_at = ID_AT, .reopens = 300 };
  start ("");
  p.port = node.front_port;
  p.head = add_job (job);
  p.total = p.head.len;
  attack_and_check (&p);
}

/* Of one occurrence with many tasks. */
static void
test_jobs_of_many_tasks_that_are_accepted (void **state)
{
  (void)state;
  check_accepted_jobs ("{\"spec\":\"x\",\"steps\":[{\"count\":20000,\"cpu\":100,"
                       "\"mem_mb\":16,\"needs\":\"none\"}]}");
}

/* The same with timed jobs whose times have all come. */
static void
test_jobs_of_many_times_that_are_accepted (void **state)
{
  (void)state;
  check_accepted_jobs ("{\"spec\":\"x\",\"start_time_ms\":1,\"interval_ms\":1,"
                       "\"times\":100000,\"steps\":[{\"count\":1,\"cpu\":100,"
                       "\"mem_mb\":16,\"needs\":\"none\"}]}");
}

/* Guards against received bytes that pile up unread behind requests whose answers the
 * store holds back. */
static void
test_unread_requests_behind_open_ones (void **state)
{
  CrowdPlan p = { .clients = 1500, .fill = KQ_STR ("POST /plans/ HTTP/1.1\r\n") };
  Crowd *c;
  (void)state;
  start ("");
  p.port = node.front_port;
  p.head = add_job ("{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1}]}");
  p.total = (size_t)1 << 20;
  hang_store (true);
  c = crowd_node_attack (&node, &p);
  hang_store (false);
  crowd_node_check (&node);
  crowd_close (c);
}

/* The same behind bodies that made the kernel enlarge its buffers. */
static void
test_unread_requests_behind_large_jobs (void **state)
{
  CrowdPlan p = { .clients = 200,
                  .head = large_job (),
                  .id_at = ID_AT,
                  .fill = KQ_STR ("POST /plans/ HTTP/1.1\r\n") };
  Crowd *c;
  (void)state;
  start ("");
  p.port = node.front_port;
  p.total = p.head.len + ((size_t)8 << 20);
  hang_store (true);
  c = crowd_node_attack (&node, &p);
  hang_store (false);
  crowd_node_check (&node);
  crowd_close (c);
}

/* Guards against heads of requests that never end and fill the memory. */
static void
test_heads_that_stop_short (void **state)
{
  CrowdPlan p = { .clients = 3000,
                  .head = KQ_STR ("GET /plans/ HTTP/1.1\r\nHost: desk.example\r\n"),
                  .fill = KQ_STR ("X-Padding: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
                  .total = 30000,
                  .reopens = 3000 };
  (void)state;
  start ("");
  p.port = node.front_port;
  attack_and_check (&p);
}

/* Guards against a short body that takes most of the memory once it is parsed. */
static void
test_bodies_of_many_values (void **state)
{
  CrowdPlan p = { .clients = 20 };
  (void)state;
  crowd_node_start (&node, KQ_BUILD_DIR, 32, FDS, "");
  add_head ("POST", "Content-Length: 262144\r\n");
  p.port = node.front_port;
  p.head = add_large_body ("[", "{},", "{}]");
  p.total = p.head.len;
  attack_and_check (&p);
}

static void
check_slow_clients_end (const CrowdPlan *plan)
{
  Crowd *c;
  start ("request_s = 1\n");
  CrowdPlan p = *plan;
  p.port = node.front_port;
  p.clients = 40;
  p.piece = 1;
  p.pause = 100 * KQ_MS;
  c = crowd_open (&p);
  assert_true (crowd_wait_closed (c, &node.use, 30 * KQ_SEC));
  crowd_node_check (&node);
  crowd_close (c);
}

/* Guards against a client that keeps its connection for ever by sending a head byte by
 * byte. */
static void
test_head_byte_by_byte_ends (void **state)
{
  CrowdPlan p = { .fill = KQ_STR ("X-Padding: a\r\n"), .total = 30000 };
  (void)state;
  p.head = KQ_STR ("GET /plans/ HTTP/1.1\r\n");
  check_slow_clients_end (&p);
}

/* The same with a body. */
static void
test_body_byte_by_byte_ends (void **state)
{
  CrowdPlan p = { .fill = KQ_STR ("a"), .total = BODY_BYTES };
  (void)state;
  p.head = add_head ("POST", "Content-Length: 262144\r\n");
  check_slow_clients_end (&p);
}

/* Guards against limits that refuse the longest legal body while nothing else is open. */
static void
test_single_large_body_is_served (void **state)
{
  (void)state;
  start ("");
  add_large_body ("{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16,"
                  "\"est_ms\":50}],\"padding\":\"",
                  "a", "\"}");
  assert_int_equal (crowd_node_submit (&node, "feedfeedfeedfeed", kq_buf_str (&request)),
                    200);
  crowd_node_check (&node);
}

#define TEST(f) cmocka_unit_test_teardown (f, tear_down)

/* The first argument names the test to run; without one all run. */
int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    TEST (test_bodies_that_stop_short),
    TEST (test_chunked_bodies_that_stop_short),
    TEST (test_large_jobs_while_the_store_hangs),
    TEST (test_long_ids),
    TEST (test_large_jobs_of_clients_that_leave),
    TEST (test_large_jobs_that_are_accepted),
    TEST (test_jobs_of_many_tasks_that_are_accepted),
    TEST (test_jobs_of_many_times_that_are_accepted),
    TEST (test_unread_requests_behind_open_ones),
    TEST (test_unread_requests_behind_large_jobs),
    TEST (test_heads_that_stop_short),
    TEST (test_bodies_of_many_values),
    TEST (test_head_byte_by_byte_ends),
    TEST (test_body_byte_by_byte_ends),
    TEST (test_single_large_body_is_served),
  };
  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
