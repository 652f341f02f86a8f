#include "../../bench/guard.h"
#include "port/mail.h"
#include "wire/hello.h"
#include "wire/mesh.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* A node: a mesh and the task that receives its mails. */
typedef struct
{
  KqMesh *mesh;
  KqTask task;
  KqCounters *counters;
  KqNodeId id;
  KqLoop *loop;
  int ups;
  int downs;
  int messages;
  uint64_t last;
  int *stop_at; /* decremented for each mail; the loop stops at 0 */
} Node;

static void
on_mail (void *self, KqMail *m, KqTime now)
{
  Node *n = self;
  (void)now;
  if (m->kind == KQ_MAIL_PEER && m->u.peer.up)
    n->ups++;
  else if (m->kind == KQ_MAIL_PEER)
    n->downs++;
  else
    {
      n->messages++;
      n->last = m->u.msg.msg->u.table_request.above_revision;
    }
  if (n->stop_at != NULL && --*n->stop_at <= 0)
    kq_loop_stop (n->loop);
  kq_mail_free (m);
}

static void
start (Node *n, KqLoop *loop, const char *name, const char *secret, KqTime silence)
{
  KqMeshConfig c = { .id = kq_str_hash (kq_str (name)),
                     .incarnation = kq_str_hash (kq_str (name)) + 1,
                     .cluster = KQ_STR ("c"),
                     .node = kq_str (name),
                     .region = KQ_STR ("r"),
                     .depot = KQ_STR ("d"),
                     .secret = kq_str (secret),
                     .ip = "127.0.0.1",
                     .silence = silence };
  *n = (Node){ .id = c.id, .loop = loop };
  n->counters = c.counters = kq_counters_new ();
  kq_task_init (&n->task, loop, name, n, on_mail);
  c.receiver = &n->task;
  n->mesh = kq_mesh_new (loop, &c);
  assert_non_null (n->mesh);
}

static void
stop (Node *n)
{
  kq_mesh_free (n->mesh);
  kq_task_close (&n->task);
  kq_counters_free (n->counters);
}

static void
add_peer (Node *a, const Node *b, bool persistent)
{
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_mesh_port (b->mesh));
  kq_mesh_add (a->mesh, b->id, kq_str (address), persistent);
}

/* Runs the loop until the two nodes have received `events` mails, 10 s at most. */
static void
run (KqLoop *loop, Node *a, Node *b, int events)
{
  a->stop_at = &events;
  b->stop_at = &events;
  loop_run_with_timeout (loop, 10);
  a->stop_at = b->stop_at = NULL;
}

static void
send_number (Node *from, KqNodeId to, uint64_t number)
{
  KqMsg m = { .kind = KQ_MSG_TABLE_REQUEST };
  m.u.table_request.above_revision = number;
  kq_mail_send_msg (kq_mesh_task (from->mesh), to, &m);
}

static void
test_persistent_peers_exchange_messages (void **state)
{
  KqLoop *loop = kq_loop_new ();
  Node a;
  Node b;
  (void)state;
  start (&a, loop, "a", "secret", 5 * KQ_SEC);
  start (&b, loop, "b", "secret", 5 * KQ_SEC);
  add_peer (&a, &b, true);
  add_peer (&b, &a, true);
  run (loop, &a, &b, 2);
  assert_int_equal (a.ups, 1);
  assert_int_equal (b.ups, 1);
  send_number (&a, b.id, 7);
  send_number (&b, a.id, 8);
  send_number (&a, a.id, 9); /* to itself, without a socket */
  run (loop, &a, &b, 3);
  assert_int_equal (b.last, 7);
  assert_int_equal (a.messages, 2);
  stop (&a);
  stop (&b);
  kq_loop_free (loop);
}

/* A message to a peer of another region makes its sender open the connection, whichever
 * node has the lower id, and is delivered once the handshake is complete. */
static void
test_on_demand_connection_delivers_the_message (void **state)
{
  KqLoop *loop = kq_loop_new ();
  Node a;
  Node b;
  (void)state;
  start (&a, loop, "a", "secret", 5 * KQ_SEC);
  start (&b, loop, "b", "secret", 5 * KQ_SEC);
  add_peer (&a, &b, false);
  add_peer (&b, &a, false);
  send_number (&b, a.id, 21);
  run (loop, &a, &b, 3);
  assert_int_equal (a.last, 21);
  stop (&a);
  stop (&b);
  kq_loop_free (loop);
}

/* A process with another secret connects: its hello is refused and counted, none of its
 * messages reaches a task, and the sender's task learns that the message was not sent. */
static void
test_wrong_secret_is_refused (void **state)
{
  KqLoop *loop = kq_loop_new ();
  Node a;
  Node b;
  (void)state;
  start (&a, loop, "a", "secret", 5 * KQ_SEC);
  start (&b, loop, "b", "other", 5 * KQ_SEC);
  add_peer (&b, &a, false);
  send_number (&b, a.id, 1);
  run (loop, &a, &b, 1);
  assert_int_equal (b.downs, 1);
  assert_int_equal (a.messages + a.ups + b.ups, 0);
  assert_true (kq_counter_of_result (a.counters, KQ_ERR_HELLO_DIGEST) > 0);
  stop (&a);
  stop (&b);
  kq_loop_free (loop);
}

static void
send_raw (const Node *to, const char *bytes, size_t n)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sa.sin_port = htons ((uint16_t)kq_mesh_port (to->mesh));
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  assert_int_equal (write (fd, bytes, n), (ssize_t)n);
  close (fd);
}

/* A process that isn't a node sends a frame beyond the size limit, a frame that holds no
 * message, and a message before the handshake. All are refused and counted, and valid
 * peers are not affected. */
static void
test_malformed_frames_are_counted (void **state)
{
  KqLoop *loop = kq_loop_new ();
  Node a;
  Node b;
  (void)state;
  start (&a, loop, "a", "secret", 5 * KQ_SEC);
  start (&b, loop, "b", "secret", 5 * KQ_SEC);
  send_raw (&a, "\xff\xff\xff\xff", 4);
  send_raw (&a, "\x00\x00\x00\x02zz", 6);
  send_raw (&a, "\x00\x00\x00\x05\x92\x04\x91\x07\x00", 9);
  add_peer (&b, &a, false);
  send_number (&b, a.id, 4);
  run (loop, &a, &b, 3);
  assert_int_equal (a.last, 4);
  assert_true (kq_counter_of_result (a.counters, KQ_ERR_FRAME_SIZE) > 0);
  assert_true (kq_counter_of_result (a.counters, KQ_ERR_FRAME_FORMAT) > 0);
  stop (&a);
  stop (&b);
  kq_loop_free (loop);
}

/* The peer's process is stopped, or its packets are lost on the path: the socket stays
 * open without traffic. After the silence limit the connection must be closed and the
 * peer reported as down, so that its requests are completed and a new connection is
 * tried. Here the peer is a listening socket that never answers the hello. */
static void
test_silent_connection_is_closed (void **state)
{
  KqLoop *loop = kq_loop_new ();
  Node a;
  Node b;
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  char address[32];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  (void)state;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  assert_int_equal (listen (fd, 5), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&sa, &len), 0);
  start (&a, loop, "a", "secret", 300 * KQ_MS);
  start (&b, loop, "b", "secret", 300 * KQ_MS);
  snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (sa.sin_port));
  kq_mesh_add (a.mesh, 12345, kq_str (address), false);
  send_number (&a, 12345, 1);
  run (loop, &a, &b, 1);
  assert_int_equal (a.downs, 1);
  assert_true (kq_counter_of_result (a.counters, KQ_ERR_PEER_SILENT) > 0);
  close (fd);
  stop (&a);
  stop (&b);
  kq_loop_free (loop);
}

/* A recorded hello can't be replayed: its digest covers the nonce of the connection that
 * it was made for. */
static void
test_hello_can_not_be_replayed (void **state)
{
  KqHelloSelf self
      = { KQ_STR ("c"), KQ_STR ("a"), kq_str_hash (KQ_STR ("a")), 3, KQ_STR ("r"),
          KQ_STR ("d"), KQ_STR ("s") };
  KqHelloSelf other = self;
  char digest[KQ_HELLO_DIGEST_LEN + 1];
  KqMsgHello h;
  (void)state;
  kq_hello_make (&self, 11, 22, digest, &h);
  assert_int_equal (kq_hello_check (&self, &h, 22), KQ_OK);
  assert_int_equal (kq_hello_check (&self, &h, 23), KQ_ERR_HELLO_DIGEST);
  other.cluster = KQ_STR ("x");
  assert_int_equal (kq_hello_check (&other, &h, 22), KQ_ERR_HELLO_CLUSTER);
  h.version++;
  assert_int_equal (kq_hello_check (&self, &h, 22), KQ_ERR_HELLO_VERSION);
}

static uint64_t
bytes (const Node *n, const char *direction, const char *peers)
{
  char name[64];
  snprintf (name, sizeof name, "kq_mesh_bytes_%s_total", direction);
  return *kq_counter (n->counters, name, peers, "");
}

/* Connections may stay open for weeks. Their bytes must be counted while they are open,
 * each byte once, and separately for peers of the same region and of others; otherwise
 * the metrics don't show the traffic of the paid link between regions. */
static void
test_bytes_of_open_connections (void **state)
{
  static const char *const labels[2] = { "peers=\"near\"", "peers=\"far\"" };
  (void)state;
  for (int far = 0; far < 2; far++)
    {
      KqLoop *loop = kq_loop_new ();
      Node a;
      Node b;
      start (&a, loop, "a", "secret", 5 * KQ_SEC);
      start (&b, loop, "b", "secret", 5 * KQ_SEC);
      add_peer (&a, &b, !far);
      add_peer (&b, &a, !far);
      if (!far)
        run (loop, &a, &b, 2);
      send_number (&b, a.id, 21);
      run (loop, &a, &b, far ? 3 : 1);
      for (int i = 0; i < 200 && bytes (&a, "in", labels[far]) == 0; i++)
        {
          loop_run_with_timeout (loop, 0.05);
        }
      assert_int_equal (a.downs + b.downs, 0);
      assert_true (bytes (&a, "in", labels[far]) > 0);
      assert_int_equal (bytes (&a, "in", labels[!far]), 0);
      kq_mesh_remove (
          a.mesh, b.id); /* closes the connection; its bytes must not be counted again */
      assert_true (bytes (&a, "in", labels[far]) < 2000);
      assert_int_equal (bytes (&a, "in", labels[!far]), 0);
      stop (&a);
      stop (&b);
      kq_loop_free (loop);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_persistent_peers_exchange_messages),
    cmocka_unit_test (test_on_demand_connection_delivers_the_message),
    cmocka_unit_test (test_wrong_secret_is_refused),
    cmocka_unit_test (test_malformed_frames_are_counted),
    cmocka_unit_test (test_silent_connection_is_closed),
    cmocka_unit_test (test_bytes_of_open_connections),
    cmocka_unit_test (test_hello_can_not_be_replayed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
