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

#define BIG (3 * 1024 * 1024)

/* The first write of the next request finds the socket's buffer full. */
static bool full_once;

ssize_t
send (int fd, const void *bytes, size_t n, int flags)
{
  if (full_once && n > 4
      && (memcmp (bytes, "GET ", 4) == 0 || memcmp (bytes, "POST", 4) == 0))
    {
      full_once = false;
      errno = EAGAIN;
      return -1;
    }
  return sendto (fd, bytes, n, flags, NULL, 0);
}

/* A server that echoes bodies, and a client, on one loop. */
typedef struct
{
  KqLoop *loop;
  KqHttpServer *server;
  KqHttpClient *client;
  int begun;
  int gone_whole;
  int gone_cut;
  /* of the call */
  int status;
  size_t received;
  KqBuf uploaded;
  KqHttpEnd end;
  bool done;
  bool pause_once;
  bool stop_when_gone;
  ev_timer soon;
} Pair;

static void
server_begin (void *arg, KqHttpExchange *x)
{
  Pair *p = arg;
  (void)x;
  p->begun++;
}

static void
server_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  Pair *p = arg;
  kq_buf_add_str (&p->uploaded, chunk);
  (void)x;
}

static void
server_end (void *arg, KqHttpExchange *x)
{
  Pair *p = arg;
  KqStr path = kq_http_path (x);
  if (kq_str_eq (path, KQ_STR ("/drop")))
    kq_http_abort (x);
  else if (kq_str_eq (path, KQ_STR ("/plain")))
    kq_http_reply (x, 201, NULL, 0, KQ_STR ("hello"));
  else if (kq_str_eq (path, KQ_STR ("/echo%20it")))
    {
      kq_http_reply_begin (x, 200, NULL, 0, -1);
      kq_http_reply_data (x, kq_buf_str (&p->uploaded));
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
server_gone (void *arg, KqHttpExchange *x, bool whole)
{
  Pair *p = arg;
  (void)x;
  if (whole)
    p->gone_whole++;
  else
    p->gone_cut++;
  if (p->stop_when_gone)
    kq_loop_stop (p->loop);
}

static void
client_head (void *arg, KqHttpCall *c, int status, const KqHeader *h, size_t n,
             int64_t length)
{
  Pair *p = arg;
  (void)c;
  (void)h;
  (void)n;
  (void)length;
  p->status = status;
}

static void
client_data (void *arg, KqHttpCall *c, KqStr chunk)
{
  Pair *p = arg;
  p->received += chunk.len;
  if (p->pause_once)
    {
      p->pause_once = false;
      kq_http_call_pause (c);
    }
}

static void
client_done (void *arg, KqHttpCall *c, KqHttpEnd end)
{
  Pair *p = arg;
  (void)c;
  p->end = end;
  p->done = true;
  kq_loop_stop (p->loop);
}

static void
on_guard (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)events;
  (void)w;
  ev_break (ev, EVBREAK_ALL);
}

static int
set_up (void **state)
{
  Pair *p = kq_alloc (sizeof *p);
  KqHttpHandler h = { p, server_begin, server_body, server_end, NULL, server_gone };
  p->loop = kq_loop_new ();
  p->server = kq_http_server_new (p->loop, "127.0.0.1", 0, &h);
  p->client = kq_http_client_new (p->loop, 4, 60000);
  *state = p;
  return 0;
}

static int
tear_down (void **state)
{
  Pair *p = *state;
  kq_http_client_free (p->client);
  kq_http_server_free (p->server);
  kq_loop_free (p->loop);
  kq_buf_free (&p->uploaded);
  free (p);
  return 0;
}

static void
run (Pair *p)
{
  guard_run (p->loop, 20);
}

static KqHttpCall *
start (Pair *p, const char *path, KqHttpRequest *r)
{
  static char url[128];
  KqHttpCallback cb = { p, client_head, client_data, NULL, client_done };
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", kq_http_server_port (p->server),
            path);
  r->url = url;
  p->done = false;
  p->status = 0;
  return kq_http_call (p->client, r, &cb);
}

static void
test_whole_bodies (void **state)
{
  Pair *p = *state;
  KqHttpRequest r = { .method = "PATCH", .body = KQ_STR ("abc") };
  start (p, "/plain", &r);
  run (p);
  assert_true (p->done);
  assert_int_equal (p->status, 201);
  assert_int_equal (p->received, 5);
}

static void
test_streams_both_ways (void **state)
{
  Pair *p = *state;
  KqHttpRequest r = { .method = "POST", .streamed = true, .body_length = BIG };
  char *bytes = kq_alloc (BIG);
  KqHttpCall *c = start (p, "/echo%20it", &r);
  kq_http_call_feed (c, kq_str_n (bytes, BIG / 2), false);
  kq_http_call_feed (c, kq_str_n (bytes, BIG - BIG / 2), true);
  run (p);
  free (bytes);
  assert_true (p->done);
  assert_int_equal (p->end, KQ_HTTP_DONE);
  assert_int_equal (p->received, BIG);
}

/* The server breaks off after 4 of 100 bytes: the client must see a broken answer, not
 * a short one, and be told that the request may have run. */
static void
test_cut_answer_is_broken (void **state)
{
  Pair *p = *state;
  KqHttpRequest r = { .method = "GET" };
  start (p, "/short", &r);
  run (p);
  assert_true (p->done);
  assert_int_equal (p->end, KQ_HTTP_BROKEN);
}

/* The server closes a reused connection without an answer, after it took the request.
 * libcurl would send a GET again by itself: a second run outside of every retry budget,
 * and counted nowhere. The server must see it once, and the caller be told. */
static void
test_no_repeat_on_reused_connection (void **state)
{
  Pair *p = *state;
  KqHttpRequest r = { .method = "GET" };
  start (p, "/plain", &r);
  run (p);
  assert_int_equal (p->end, KQ_HTTP_DONE);
  p->begun = 0;
  start (p, "/drop", &r);
  run (p);
  assert_true (p->done);
  assert_int_equal (p->begun, 1);
  assert_int_equal (p->end, KQ_HTTP_BROKEN);
}

/* A request leaves by a later write and has no answer: the target has it. */
static void
expect_sent (Pair *p, const KqHttpRequest *request, const char *path, bool reused,
             KqHttpEnd end)
{
  KqHttpRequest r = *request;
  if (reused)
    {
      start (p, "/plain", &(KqHttpRequest){ .method = "GET" });
      run (p);
      assert_int_equal (p->end, KQ_HTTP_DONE);
    }
  p->begun = 0;
  full_once = true;
  r.total_ms = 300;
  start (p, path, &r);
  run (p);
  assert_true (p->done);
  assert_false (full_once);
  assert_int_equal (p->begun, 1);
  assert_int_equal (p->end, end);
}

/* One task runs twice: a call whose first write blocked was told as not sent. */
static void
test_blocked_first_write_is_sent (void **state)
{
  Pair *p = *state;
  KqHttpRequest get = { .method = "GET" };
  KqHttpRequest post = { .method = "POST", .body = KQ_STR ("abc") };
  for (int reused = 0; reused < 2; reused++)
    {
      expect_sent (p, &get, "/never", reused, KQ_HTTP_SILENT);
      expect_sent (p, &post, "/never", reused, KQ_HTTP_SILENT);
      expect_sent (p, &get, "/drop", reused, KQ_HTTP_BROKEN);
      expect_sent (p, &post, "/drop", reused, KQ_HTTP_BROKEN);
    }
}

/* An acknowledgement is meant for the process that was heard before. It died and another
 * one listens at its address: a call on a new connection would reach that one, which
 * would take the acknowledgement for its own. So the call must not leave, and say so;
 * on the old connection it goes through. */
static void
test_call_keeps_to_an_old_connection (void **state)
{
  Pair *p = *state;
  KqHttpRequest r = { .method = "GET" };
  start (p, "/plain", &r);
  run (p);
  r.opened_before = kq_time_now ();
  start (p, "/plain", &r);
  run (p);
  assert_int_equal (p->end, KQ_HTTP_DONE);
  start (p, "/drop", &(KqHttpRequest){ .method = "GET" }); /* closes the connection */
  run (p);
  p->begun = 0;
  start (p, "/plain", &r);
  run (p);
  assert_true (p->done);
  assert_int_equal (p->end, KQ_HTTP_NOT_SENT);
  assert_int_equal (p->begun, 0);
}

/* The server accepts and never answers: the silence limit ends the call. */
static void
test_silent_target (void **state)
{
  Pair *p = *state;
  KqHttpRequest r = { .method = "GET", .silent_ms = 200 };
  start (p, "/never", &r);
  run (p);
  assert_true (p->done);
  assert_int_equal (p->end, KQ_HTTP_SILENT);
}

/* A socket that the loop doesn't serve: what it sends is there before the loop looks. */
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
accept_request (Pair *p, int listener)
{
  char request[512];
  int fd = -1;
  ssize_t n = -1;
  for (int i = 0; i < 1000 && n <= 0; i++)
    {
      ev_run (kq_loop_ev (p->loop), EVRUN_ONCE);
      if (fd < 0)
        fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK);
      if (fd >= 0)
        n = recv (fd, request, sizeof request, 0);
    }
  assert_true (n > 0);
  return fd;
}

/* An answer that came while the process stood still is dropped and asked for again. */
static void
test_answer_that_is_there_beats_the_silence (void **state)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  Pair *p = *state;
  KqHttpCallback cb = { p, client_head, client_data, NULL, client_done };
  KqHttpRequest r = { .method = "GET", .silent_ms = 300 };
  char url[64];
  int port;
  int listener = listen_plain (&port);
  int fd;
  snprintf (url, sizeof url, "http://127.0.0.1:%d/", port);
  r.url = url;
  kq_http_call (p->client, &r, &cb);
  fd = accept_request (p, listener);
  assert_int_equal (send (fd, answer, strlen (answer), 0), strlen (answer));
  usleep (500000);
  run (p);
  close (fd);
  close (listener);
  assert_true (p->done);
  assert_int_equal (p->end, KQ_HTTP_DONE);
}

static void
count_done (void *arg, KqHttpCall *c, KqHttpEnd end)
{
  Pair *p = arg;
  (void)c;
  assert_int_equal (end, KQ_HTTP_SILENT);
  if (p->received++ > 0)
    return;
  ev_timer_set (&p->soon, 0.05, 0); /* before the next look for silent calls */
  ev_timer_start (kq_loop_ev (p->loop), &p->soon);
}

/* A rack goes and many connections are silent at once: all calls must end together.
 * When they ended one by one, 44 calls held their slots for four more seconds. */
static void
test_silent_calls_end_together (void **state)
{
  Pair *p = *state;
  KqHttpCallback cb = { p, client_head, client_data, NULL, count_done };
  KqHttpRequest r = { .method = "GET", .silent_ms = 200 };
  char url[64];
  snprintf (url, sizeof url, "http://127.0.0.1:%d/never",
            kq_http_server_port (p->server));
  r.url = url;
  ev_timer_init (&p->soon, on_guard, 0, 0);
  for (int i = 0; i < 4; i++)
    kq_http_call (p->client, &r, &cb);
  run (p);
  assert_int_equal (p->received, 4);
}

/* Nobody listens: no byte left, so the request provably did not run. */
static void
test_refused_connection_is_not_sent (void **state)
{
  Pair *p = *state;
  KqHttpCallback cb = { p, client_head, client_data, NULL, client_done };
  KqHttpRequest r = { .method = "POST", .url = "http://127.0.0.1:1/", .once = true };
  kq_http_call (p->client, &r, &cb);
  run (p);
  assert_true (p->done);
  assert_int_equal (p->end, KQ_HTTP_NOT_SENT);
}

/* The caller closes while its request waits for an answer: the server side must notice
 * though MHD doesn't poll suspended connections, or the work would go on for nobody. */
static void
test_caller_gone_is_noticed (void **state)
{
  Pair *p = *state;
  KqHttpRequest r = { .method = "GET", .silent_ms = 300 };
  start (p, "/never", &r);
  run (p);
  p->stop_when_gone = true;
  if (p->gone_cut == 0)
    run (p);
  assert_int_equal (p->gone_cut, 1);
}

/* A daemon is started twice by mistake: the second must fail to bind. With the library's
 * own address reuse both listened on one port and each got a part of the callers. */
static void
test_port_is_not_shared (void **state)
{
  Pair *p = *state;
  KqHttpHandler h = { p, server_begin, server_body, server_end, NULL, server_gone };
  int port = kq_http_server_port (p->server);
  assert_null (kq_http_server_new (p->loop, "127.0.0.1", port, &h));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_whole_bodies, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_streams_both_ways, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_cut_answer_is_broken, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_no_repeat_on_reused_connection, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_blocked_first_write_is_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_call_keeps_to_an_old_connection, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_silent_target, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_silent_calls_end_together, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_answer_that_is_there_beats_the_silence, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_refused_connection_is_not_sent, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_port_is_not_shared, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_caller_gone_is_noticed, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
