#include "../../bench/guard.h"
#include "http/client.h"
#include "http/server.h"

#include <ev.h>

#include <errno.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define BIG_BODY_BYTES (3 * 1024 * 1024)

/* Makes the first write of the next request fail with EAGAIN, as with a full socket
 * buffer. */
static bool block_next_request;

ssize_t
send (int fd, const void *bytes, size_t n, int flags)
{
  if (block_next_request && n > 4
      && (memcmp (bytes, "GET ", 4) == 0 || memcmp (bytes, "POST", 4) == 0))
    {
      block_next_request = false;
      errno = EAGAIN;
      return -1;
    }
  return sendto (fd, bytes, n, flags, NULL, 0);
}

/* A server and a client on one loop. */
typedef struct
{
  KqLoop *loop;
  KqHttpServer *server;
  KqHttpClient *client;
  int n_begun;
  int n_complete;
  int n_incomplete;
  /* of the client's call */
  int status;
  size_t received;
  KqBuf uploaded;
  KqHttpOutcome outcome;
  bool done;
  bool pause_once;
  bool stop_on_finished;
  ev_timer stop_timer;
} Fixture;

static void
server_begin (void *arg, KqHttpExchange *x)
{
  Fixture *f = arg;
  (void)x;
  f->n_begun++;
}

static void
server_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  Fixture *f = arg;
  kq_buf_add_str (&f->uploaded, chunk);
  (void)x;
}

static void
server_end (void *arg, KqHttpExchange *x)
{
  Fixture *f = arg;
  KqStr path = kq_http_path (x);
  if (kq_str_eq (path, KQ_STR ("/drop")))
    kq_http_abort (x);
  else if (kq_str_eq (path, KQ_STR ("/plain")))
    kq_http_reply (x, 201, NULL, 0, KQ_STR ("hello"));
  else if (kq_str_eq (path, KQ_STR ("/echo%20it")))
    {
      kq_http_reply_begin (x, 200, NULL, 0, -1);
      kq_http_reply_data (x, kq_buf_str (&f->uploaded));
      kq_http_reply_end (x);
    }
  else if (kq_str_eq (path, KQ_STR ("/short")))
    {
      kq_http_reply_begin (x, 200, NULL, 0, 100);
      kq_http_reply_data (x, KQ_STR ("half"));
      kq_http_abort (x);
    }
}

static void
server_finished (void *arg, KqHttpExchange *x, bool whole)
{
  Fixture *f = arg;
  (void)x;
  if (whole)
    f->n_complete++;
  else
    f->n_incomplete++;
  if (f->stop_on_finished)
    kq_loop_stop (f->loop);
}

static void
client_head (void *arg, KqHttpCall *c, int status, const KqHeader *h, size_t n,
             int64_t length)
{
  Fixture *f = arg;
  (void)c;
  (void)h;
  (void)n;
  (void)length;
  f->status = status;
}

static void
client_data (void *arg, KqHttpCall *c, KqStr chunk)
{
  Fixture *f = arg;
  f->received += chunk.len;
  if (f->pause_once)
    {
      f->pause_once = false;
      kq_http_call_pause (c);
    }
}

static void
client_done (void *arg, KqHttpCall *c, KqHttpOutcome outcome)
{
  Fixture *f = arg;
  (void)c;
  f->outcome = outcome;
  f->done = true;
  kq_loop_stop (f->loop);
}

static void
on_stop_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)events;
  (void)w;
  ev_break (ev, EVBREAK_ALL);
}

static int
set_up (void **state)
{
  Fixture *f = kq_alloc (sizeof *f);
  KqHttpHandler h = { f, server_begin, server_body, server_end, NULL, server_finished };
  f->loop = kq_loop_new ();
  f->server = kq_http_server_new (f->loop, "127.0.0.1", 0, &h);
  f->client = kq_http_client_new (f->loop, 4, 60000);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *f = *state;
  kq_http_client_free (f->client);
  kq_http_server_free (f->server);
  kq_loop_free (f->loop);
  kq_buf_free (&f->uploaded);
  free (f);
  return 0;
}

static void
run (Fixture *f)
{
  loop_run_with_timeout (f->loop, 20);
}

static KqHttpCall *
start (Fixture *f, const char *path, KqHttpRequest *r)
{
  static char url[128];
  KqHttpCallback cb = { f, client_head, client_data, NULL, client_done };
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", kq_http_server_port (f->server),
            path);
  r->url = url;
  f->done = false;
  f->status = 0;
  return kq_http_call (f->client, r, &cb);
}

static void
test_whole_bodies (void **state)
{
  Fixture *f = *state;
  KqHttpRequest r = { .method = "PATCH", .body = KQ_STR ("abc") };
  start (f, "/plain", &r);
  run (f);
  assert_true (f->done);
  assert_int_equal (f->status, 201);
  assert_int_equal (f->received, 5);
}

static void
test_streams_both_ways (void **state)
{
  Fixture *f = *state;
  KqHttpRequest r = { .method = "POST", .streamed = true, .body_length = BIG_BODY_BYTES };
  char *bytes = kq_alloc (BIG_BODY_BYTES);
  KqHttpCall *c = start (f, "/echo%20it", &r);
  kq_http_call_feed (c, kq_str_n (bytes, BIG_BODY_BYTES / 2), false);
  kq_http_call_feed (c, kq_str_n (bytes, BIG_BODY_BYTES - BIG_BODY_BYTES / 2), true);
  run (f);
  free (bytes);
  assert_true (f->done);
  assert_int_equal (f->outcome, KQ_HTTP_DONE);
  assert_int_equal (f->received, BIG_BODY_BYTES);
}

/* The server closes the connection after 4 of 100 bytes. The client must report the
 * response as incomplete, and not that the request had no effect. */
static void
test_incomplete_response_is_broken (void **state)
{
  Fixture *f = *state;
  KqHttpRequest r = { .method = "GET" };
  start (f, "/short", &r);
  run (f);
  assert_true (f->done);
  assert_int_equal (f->outcome, KQ_HTTP_BROKEN);
}

/* The server receives a request on a reused connection and closes it without a response.
 * libcurl would repeat a GET by itself, outside of the retry budget and all counters. The
 * server must receive the request once, and the call must end as broken. */
static void
test_no_repeat_on_reused_connection (void **state)
{
  Fixture *f = *state;
  KqHttpRequest r = { .method = "GET" };
  start (f, "/plain", &r);
  run (f);
  assert_int_equal (f->outcome, KQ_HTTP_DONE);
  f->n_begun = 0;
  start (f, "/drop", &r);
  run (f);
  assert_true (f->done);
  assert_int_equal (f->n_begun, 1);
  assert_int_equal (f->outcome, KQ_HTTP_BROKEN);
}

/* The first write of a request blocks, a later one sends it, and there is no response:
 * the call must not be reported as not sent. */
static void
expect_sent_once (Fixture *f, const KqHttpRequest *request, const char *path, bool reused,
                  KqHttpOutcome outcome)
{
  KqHttpRequest r = *request;
  if (reused)
    {
      start (f, "/plain", &(KqHttpRequest){ .method = "GET" });
      run (f);
      assert_int_equal (f->outcome, KQ_HTTP_DONE);
    }
  f->n_begun = 0;
  block_next_request = true;
  r.total_ms = 300;
  start (f, path, &r);
  run (f);
  assert_true (f->done);
  assert_false (block_next_request);
  assert_int_equal (f->n_begun, 1);
  assert_int_equal (f->outcome, outcome);
}

/* A call whose first write blocked was reported as not sent although a later write sent
 * it; the caller sent it again and a task ran twice. */
static void
test_blocked_first_write_is_sent (void **state)
{
  Fixture *f = *state;
  KqHttpRequest get = { .method = "GET" };
  KqHttpRequest post = { .method = "POST", .body = KQ_STR ("abc") };
  for (int reused = 0; reused < 2; reused++)
    {
      expect_sent_once (f, &get, "/never", reused, KQ_HTTP_TIMED_OUT);
      expect_sent_once (f, &post, "/never", reused, KQ_HTTP_TIMED_OUT);
      expect_sent_once (f, &get, "/drop", reused, KQ_HTTP_BROKEN);
      expect_sent_once (f, &post, "/drop", reused, KQ_HTTP_BROKEN);
    }
}

/* An acknowledgement is meant for the process that sent the earlier response. If that
 * process has been replaced by another at the same address, a call on a new connection
 * would deliver the acknowledgement to the wrong process. With opened_before the call
 * must succeed on the old connection, and otherwise end as not sent. */
static void
test_call_uses_old_connection_only (void **state)
{
  Fixture *f = *state;
  KqHttpRequest r = { .method = "GET" };
  start (f, "/plain", &r);
  run (f);
  r.opened_before = kq_time_now ();
  start (f, "/plain", &r);
  run (f);
  assert_int_equal (f->outcome, KQ_HTTP_DONE);
  start (f, "/drop", &(KqHttpRequest){ .method = "GET" }); /* closes the connection */
  run (f);
  f->n_begun = 0;
  start (f, "/plain", &r);
  run (f);
  assert_true (f->done);
  assert_int_equal (f->outcome, KQ_HTTP_NOT_SENT);
  assert_int_equal (f->n_begun, 0);
}

/* The server accepts the request and never responds: idle_timeout_ms must end it. */
static void
test_unresponsive_target_times_out (void **state)
{
  Fixture *f = *state;
  KqHttpRequest r = { .method = "GET", .idle_timeout_ms = 200 };
  start (f, "/never", &r);
  run (f);
  assert_true (f->done);
  assert_int_equal (f->outcome, KQ_HTTP_TIMED_OUT);
}

static void
on_other_done (void *arg, KqHttpCall *c, KqHttpOutcome outcome)
{
  (void)arg;
  (void)c;
  (void)outcome;
}

/* Guards against a call that ends seconds after its timeout, or never: all connections to
 * its target are in use by calls with longer timeouts, and it waits for one. */
static void
test_call_that_waits_for_a_connection_times_out (void **state)
{
  Fixture *f = *state;
  KqHttpRequest longer = { .method = "GET", .total_ms = 4000 };
  KqHttpRequest shorter = { .method = "GET", .total_ms = 300 };
  KqHttpCallback other = { f, NULL, NULL, NULL, on_other_done };
  char url[128];
  KqTime begun;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/never",
            kq_http_server_port (f->server));
  longer.url = url;
  for (int i = 0; i < 4; i++)
    kq_http_call (f->client, &longer, &other);
  loop_run_with_timeout (f->loop, 0.1);
  begun = kq_time_now ();
  start (f, "/never", &shorter);
  run (f);
  assert_true (f->done);
  assert_int_equal (f->outcome, KQ_HTTP_NOT_SENT);
  assert_in_range (kq_time_now () - begun, 200 * KQ_MS, 1000 * KQ_MS);
}

/* A listening socket outside of the event loop, so that a test can send a response while
 * the loop is blocked. */
static int
listen_plain (int *port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (0x7f000001) };
  socklen_t n = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&a, n), 0);
  assert_int_equal (listen (fd, 1), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&a, &n), 0);
  *port = ntohs (a.sin_port);
  return fd;
}

static int
accept_request (Fixture *f, int listener)
{
  char request[512];
  int fd = -1;
  ssize_t n = -1;
  for (int i = 0; i < 1000 && n <= 0; i++)
    {
      ev_run (kq_loop_ev (f->loop), EVRUN_ONCE);
      if (fd < 0)
        fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK);
      if (fd >= 0)
        n = recv (fd, request, sizeof request, 0);
    }
  assert_true (n > 0);
  return fd;
}

/* A response that arrived while the process was blocked for longer than idle_timeout_ms
 * was discarded, because the timeout was checked before the socket, and requested again.
 */
static void
test_arrived_response_is_not_timed_out (void **state)
{
  static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  Fixture *f = *state;
  KqHttpCallback cb = { f, client_head, client_data, NULL, client_done };
  KqHttpRequest r = { .method = "GET", .idle_timeout_ms = 300 };
  char url[64];
  int port;
  int listener = listen_plain (&port);
  int fd;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/", port);
  r.url = url;
  kq_http_call (f->client, &r, &cb);
  fd = accept_request (f, listener);
  assert_int_equal (send (fd, response, strlen (response), 0), strlen (response));
  usleep (500000);
  run (f);
  close (fd);
  close (listener);
  assert_true (f->done);
  assert_int_equal (f->outcome, KQ_HTTP_DONE);
}

static void
count_timeout (void *arg, KqHttpCall *c, KqHttpOutcome outcome)
{
  Fixture *f = arg;
  (void)c;
  assert_int_equal (outcome, KQ_HTTP_TIMED_OUT);
  if (f->received++ > 0)
    return;
  ev_timer_set (&f->stop_timer, 0.05, 0); /* before the next check for timeouts */
  ev_timer_start (kq_loop_ev (f->loop), &f->stop_timer);
}

/* After the loss of a rack many calls time out at the same time, and all of them must end
 * in one check. When each check ended one call, 44 calls held their slots for 4 s longer.
 */
static void
test_timed_out_calls_end_together (void **state)
{
  Fixture *f = *state;
  KqHttpCallback cb = { f, client_head, client_data, NULL, count_timeout };
  KqHttpRequest r = { .method = "GET", .idle_timeout_ms = 200 };
  char url[64];
  snprintf (url, sizeof url, "http://127.0.0.1:%d/never",
            kq_http_server_port (f->server));
  r.url = url;
  ev_timer_init (&f->stop_timer, on_stop_timer, 0, 0);
  for (int i = 0; i < 4; i++)
    kq_http_call (f->client, &r, &cb);
  run (f);
  assert_int_equal (f->received, 4);
}

/* The connection is refused: no byte of the request was sent, so it had no effect. */
static void
test_refused_connection_is_not_sent (void **state)
{
  Fixture *f = *state;
  KqHttpCallback cb = { f, client_head, client_data, NULL, client_done };
  KqHttpRequest r
      = { .method = "POST", .url = "http://127.0.0.1:1/", .fresh_connection = true };
  kq_http_call (f->client, &r, &cb);
  run (f);
  assert_true (f->done);
  assert_int_equal (f->outcome, KQ_HTTP_NOT_SENT);
}

/* The client closes its connection while its request waits for the response. The server
 * must notice it although MHD doesn't poll suspended connections; otherwise the work for
 * the request would continue. */
static void
test_client_close_is_noticed (void **state)
{
  Fixture *f = *state;
  KqHttpRequest r = { .method = "GET", .idle_timeout_ms = 300 };
  start (f, "/never", &r);
  run (f);
  f->stop_on_finished = true;
  if (f->n_incomplete == 0)
    run (f);
  assert_int_equal (f->n_incomplete, 1);
}

/* A daemon is started twice by mistake: the second one must fail to bind. With the
 * address reuse that MHD sets, both listened on one port and each received a part of the
 * connections. */
static void
test_port_is_not_shared (void **state)
{
  Fixture *f = *state;
  KqHttpHandler h = { f, server_begin, server_body, server_end, NULL, server_finished };
  int port = kq_http_server_port (f->server);
  assert_null (kq_http_server_new (f->loop, "127.0.0.1", port, &h));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_whole_bodies, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_streams_both_ways, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_incomplete_response_is_broken, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_no_repeat_on_reused_connection, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_blocked_first_write_is_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_call_uses_old_connection_only, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_call_that_waits_for_a_connection_times_out,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_unresponsive_target_times_out, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_timed_out_calls_end_together, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_arrived_response_is_not_timed_out, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_refused_connection_is_not_sent, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_port_is_not_shared, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_client_close_is_noticed, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
