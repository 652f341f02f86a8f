#include "http/server.h"

#include <ev.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/sockios.h>

#include <cmocka.h>

#define BODY_BYTES (2 * 1024 * 1024)
#define QUIET (300 * KQ_MS)

/* A server that never replies, and a client's socket. */
static struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqClientLimits *limits;
  KqHttpServer *server;
  int fd;
  size_t received;
  int ended;
  int finished;
} f;

static void
on_begin (void *arg, KqHttpExchange *x)
{
  (void)arg;
  (void)x;
}

static void
on_body (void *arg, KqHttpExchange *x, KqStr chunk)
{
  (void)arg;
  f.received += chunk.len;
  kq_http_hold (x, f.received);
}

static void
on_end (void *arg, KqHttpExchange *x)
{
  (void)arg;
  kq_http_hold (x, 0);
  f.ended++;
}

static void
on_finished (void *arg, KqHttpExchange *x, bool whole)
{
  (void)arg;
  (void)x;
  (void)whole;
  f.finished++;
}

static int
set_up (void **state)
{
  KqHttpHandler h = { NULL, on_begin, on_body, on_end, NULL, on_finished };
  KqClientLimitsConfig c = { .memory_mb = 64, .max_fds = 1000, .request_ms = 75000 };
  struct sockaddr_in sa = { .sin_family = AF_INET };
  (void)state;
  memset (&f, 0, sizeof f);
  f.loop = kq_loop_new ();
  f.counters = kq_counters_new ();
  f.limits = kq_client_limits_new (&c, f.counters);
  f.server = kq_http_server_new (f.loop, "127.0.0.1", 0, &h);
  kq_http_server_set_limits (f.server, f.limits);
  sa.sin_port = htons ((uint16_t)kq_http_server_port (f.server));
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  f.fd = socket (AF_INET, SOCK_STREAM, 0);
  return connect (f.fd, (struct sockaddr *)&sa, sizeof sa);
}

static int
tear_down (void **state)
{
  (void)state;
  close (f.fd);
  kq_http_server_free (f.server);
  assert_int_equal (kq_client_limits_count (f.limits), 0);
  assert_int_equal (kq_client_limits_bytes (f.limits), 0);
  kq_client_limits_free (f.limits);
  kq_counters_free (f.counters);
  kq_loop_free (f.loop);
  return 0;
}

/* Sends up to n zeros while the server runs, until nothing has been taken for a while.
 * Returns how many the server's side has received. */
static size_t
send_zeros (size_t n)
{
  static char zeros[65536];
  size_t sent = 0;
  int unacknowledged = 0;
  for (KqTime at = kq_time_now (); kq_time_now () - at < QUIET;)
    {
      size_t k = n - sent < sizeof zeros ? n - sent : sizeof zeros;
      ssize_t done = k > 0 ? send (f.fd, zeros, k, MSG_DONTWAIT | MSG_NOSIGNAL) : 0;
      if (done > 0)
        {
          sent += (size_t)done;
          at = kq_time_now ();
        }
      ev_run (kq_loop_ev (f.loop), EVRUN_NOWAIT);
    }
  ioctl (f.fd, SIOCOUTQ, &unacknowledged);
  return sent - (size_t)unacknowledged;
}

static void
send_text (const char *text)
{
  assert_int_equal (send (f.fd, text, strlen (text), MSG_NOSIGNAL), strlen (text));
}

/* Guards against bytes that wait unread behind an open request and are more than is
 * counted for its connection. */
static void
test_unread_bytes_are_bounded (void **state)
{
  char head[128];
  (void)state;
  snprintf (head, sizeof head,
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", BODY_BYTES);
  send_text (head);
  assert_int_equal (send_zeros (BODY_BYTES), BODY_BYTES);
  assert_int_equal (f.ended, 1);
  assert_true (send_zeros ((size_t)32 << 20) <= KQ_CLIENT_CONN_BYTES);
}

/* Guards against a connection that is kept for as long as silent ones are, because its
 * client left in the middle of a body and the end came together with the last bytes. */
static void
test_client_that_leaves_with_its_last_bytes_is_noticed (void **state)
{
  (void)state;
  send_text ("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
  send_zeros (1000);
  assert_int_equal (f.finished, 0);
  send_text ("last bytes");
  shutdown (f.fd, SHUT_WR);
  send_zeros (0);
  assert_int_equal (f.finished, 1);
  assert_int_equal (f.received, 1010);
}

/* Guards against a whole request whose client closes its side behind it, as it may. */
static void
test_whole_request_of_a_half_closed_client_is_handled (void **state)
{
  (void)state;
  send_text ("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n1234");
  shutdown (f.fd, SHUT_WR);
  ev_run (kq_loop_ev (f.loop), EVRUN_NOWAIT);
  ev_run (kq_loop_ev (f.loop), EVRUN_NOWAIT);
  assert_int_equal (f.ended, 1);
}

/* Guards against a connection that is counted after it was closed, or whose handler isn't
 * told: a body that exceeds the limit of all clients. */
static void
test_closed_exchange_is_finished (void **state)
{
  (void)state;
  send_text ("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n");
  send_zeros (100000000);
  assert_int_equal (f.ended, 0);
  assert_int_equal (f.finished, 1);
  assert_int_equal (kq_client_limits_count (f.limits), 0);
}

#define TEST(t) cmocka_unit_test_setup_teardown (t, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (test_unread_bytes_are_bounded),
    TEST (test_client_that_leaves_with_its_last_bytes_is_noticed),
    TEST (test_whole_request_of_a_half_closed_client_is_handled),
    TEST (test_closed_exchange_is_finished),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
