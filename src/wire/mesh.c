#include "wire/mesh.h"

#include "base/listen.h"
#include "base/log.h"
#include "base/rand.h"
#include "port/mail.h"
#include "wire/conn.h"
#include "wire/hello.h"
#include "wire/mesh_counters.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "mesh"
/* Interval at which all peers are checked; small against silence limits of seconds. */
#define TICK_S 0.1
/* Delay between two attempts to connect to a peer, plus random jitter of up to the same
 * length, so that not all nodes of a region connect to a restarted peer at once. */
#define RECONNECT_DELAY (200 * KQ_MS)
/* A connection on demand is closed after this time without a message. */
#define IDLE_TIMEOUT (30 * KQ_SEC)
/* Messages queued per peer while its connection is being opened. */
#define PENDING_MAX 256

typedef struct Peer
{
  struct Peer *next;
  KqNodeId id;
  char *address;       /* NULL: unknown, only the peer can connect */
  bool persistent;     /* persistent connection; otherwise on demand */
  bool connect_wanted; /* on demand: a message waits for a connection */
  KqConn *conn;        /* established, or being opened by this node */
  bool up;             /* the handshake is complete */
  uint64_t incarnation;
  KqTime retry_at;
  KqTime used_at;
  KqMeshBytesCounted counted; /* for conn */
  KqMsg *pending[PENDING_MAX];
  int n_pending;
} Peer;

/* A connection whose handshake is not complete. */
typedef struct Handshake
{
  struct Handshake *next;
  struct KqMesh *mesh;
  KqConn *conn;
  bool initiator;
  KqNodeId expected_peer; /* set if initiator: the node that should answer */
  uint64_t nonce;
  uint64_t peer_nonce;
  KqTime started_at;
  bool is_client; /* counted in the limits of clients */
  KqClientConn limited;
} Handshake;

struct KqMesh
{
  KqLoop *loop;
  KqTask task;
  KqMeshConfig config;
  KqHelloSelf self;
  KqRand rand;
  int fd;
  int port;
  ev_io accept_watcher;
  ev_timer tick;
  Peer *peers;
  Handshake *handshakes;
  KqMeshCounters counters;
};

static Peer *
find_peer (const KqMesh *m, KqNodeId id)
{
  for (Peer *p = m->peers; p != NULL; p = p->next)
    {
      if (p->id == id)
        return p;
    }
  return NULL;
}

static Peer *
get_peer (KqMesh *m, KqNodeId id)
{
  Peer *p = find_peer (m, id);
  if (p != NULL)
    return p;
  p = kq_alloc (sizeof *p);
  p->id = id;
  p->next = m->peers;
  m->peers = p;
  return p;
}

static void
report_up (KqMesh *m, const Peer *p)
{
  KqMail *mail = kq_mail_new (KQ_MAIL_PEER);
  mail->u.peer = (KqMailPeer){ p->id, p->incarnation, true, false, KQ_OK };
  kq_task_send (m->config.receiver, mail);
}

static void
report_down (KqMesh *m, KqNodeId id, uint64_t incarnation, bool was_up, KqResult reason)
{
  KqMail *mail = kq_mail_new (KQ_MAIL_PEER);
  mail->u.peer = (KqMailPeer){ id, incarnation, false, was_up, reason };
  kq_task_send (m->config.receiver, mail);
}

static void
drop_pending (KqMesh *m, Peer *p)
{
  for (int i = 0; i < p->n_pending; i++)
    kq_msg_free (p->pending[i]);
  *m->counters.dropped += (uint64_t)p->n_pending;
  p->n_pending = 0;
  p->connect_wanted = false;
}

/* Closes a connection that was not assigned to a peer. Its bytes are counted as near. */
static void
close_unassigned (KqMesh *m, KqConn *c)
{
  KqMeshBytesCounted none = { 0 };
  kq_mesh_count_bytes (&m->counters, c, false, &none);
  kq_conn_free (c);
}

static void
close_conn (KqMesh *m, Peer *p)
{
  kq_mesh_count_bytes (&m->counters, p->conn, !p->persistent, &p->counted);
  kq_conn_free (p->conn);
  p->conn = NULL;
  p->counted = (KqMeshBytesCounted){ 0 };
}

/* Handles the loss of the peer's connection, or closes it for the given reason. */
static void
peer_down (KqMesh *m, Peer *p, KqResult why, KqTime now)
{
  bool was_up = p->up;
  if (p->conn != NULL)
    close_conn (m, p);
  p->up = false;
  p->retry_at = now + RECONNECT_DELAY
                + (KqTime)kq_rand_below (&m->rand, (uint64_t)RECONNECT_DELAY);
  if (was_up || p->n_pending > 0)
    {
      kq_counter_result (m->config.counters, why);
      report_down (m, p->id, p->incarnation, was_up, why);
    }
  drop_pending (m, p);
}

static void
remove_handshake (KqMesh *m, Handshake *hs)
{
  Handshake **at = &m->handshakes;
  while (*at != hs)
    at = &(*at)->next;
  *at = hs->next;
  if (hs->is_client)
    {
      kq_conn_ignore_buffered (hs->conn);
      kq_client_limits_remove (m->config.limits, &hs->limited);
    }
  free (hs);
}

static Handshake *
find_handshake (KqMesh *m, const KqConn *c)
{
  for (Handshake *hs = m->handshakes; hs != NULL; hs = hs->next)
    {
      if (hs->conn == c)
        return hs;
    }
  return NULL;
}

/* Closes a connection whose handshake failed. */
static void
handshake_failed (KqMesh *m, Handshake *hs, KqResult why)
{
  Peer *p = hs->initiator ? find_peer (m, hs->expected_peer) : NULL;
  KqConn *c = hs->conn;
  remove_handshake (m, hs);
  if (why != KQ_ERR_PEER_LOST)
    {
      kq_counter_result (m->config.counters, why);
      kq_log (KQ_LOG_WARN, PART, "Hello refused. code=%d name=%s", why,
              kq_result_name (why));
    }
  if (p != NULL && p->conn == c)
    peer_down (m, p, why, kq_time_now ());
  else
    close_unassigned (m, c);
}

static void
send_hello (KqMesh *m, Handshake *hs)
{
  char digest[KQ_HELLO_DIGEST_LEN + 1];
  KqMsg msg = { .kind = KQ_MSG_HELLO };
  kq_hello_make (&m->self, hs->nonce, hs->peer_nonce, digest, &msg.u.hello);
  kq_conn_send (hs->conn, &msg);
}

static void
send_pending (Peer *p)
{
  for (int i = 0; i < p->n_pending; i++)
    {
      kq_conn_send (p->conn, p->pending[i]);
      kq_msg_free (p->pending[i]);
    }
  p->n_pending = 0;
}

/* Whether to keep the present connection to p instead of a new one. Two nodes may connect
 * to each other at the same time: then the connection opened by the node with the lower
 * id is kept. If that node opens a second one it has given up its first, so a new
 * connection of that node always replaces the present one. */
static bool
keep_existing (const KqMesh *m, const Peer *p, bool initiator)
{
  bool lower_id_opened = initiator == (m->config.id < p->id);
  return p->up && !lower_id_opened;
}

static void
handshake_done (KqMesh *m, Handshake *hs, const KqMsgHello *h)
{
  Peer *p = get_peer (m, h->node_id);
  KqConn *c = hs->conn;
  bool initiator = hs->initiator;
  remove_handshake (m, hs);
  if (p->conn != c && keep_existing (m, p, initiator))
    {
      close_unassigned (m, c);
      return;
    }
  if (p->conn != NULL && p->conn != c)
    {
      /* A handshake that this node began with the same peer ends as well. */
      Handshake *other = find_handshake (m, p->conn);
      if (other != NULL)
        remove_handshake (m, other);
      close_conn (m, p);
      if (p->up)
        report_down (m, p->id, p->incarnation, true, KQ_ERR_PEER_LOST);
    }
  p->conn = c;
  p->up = true;
  p->incarnation = h->incarnation;
  p->used_at = kq_time_now ();
  kq_conn_set_data (c, p);
  kq_log (KQ_LOG_DEBUG, PART, "Peer connected. peer=%.*s", KQ_STR_ARG (h->node));
  report_up (m, p);
  send_pending (p);
}

static void
on_hello (KqMesh *m, Handshake *hs, const KqMsgHello *h)
{
  bool first = !hs->initiator && hs->peer_nonce == 0;
  KqResult r = kq_hello_check (&m->self, h, first ? 0 : hs->nonce);
  if (r == KQ_OK && h->node_id == m->config.id)
    r = KQ_ERR_PEER_UNKNOWN;
  if (r == KQ_OK && hs->initiator && hs->expected_peer != h->node_id)
    r = KQ_ERR_PEER_UNKNOWN;
  if (r != KQ_OK)
    {
      handshake_failed (m, hs, r);
      return;
    }
  hs->peer_nonce = h->nonce;
  if (first)
    {
      send_hello (m, hs);
      return;
    }
  if (hs->initiator)
    send_hello (m, hs);
  handshake_done (m, hs, h);
}

static void
on_connected (void *arg, KqConn *c)
{
  KqMesh *m = arg;
  Handshake *hs = find_handshake (m, c);
  assert (hs != NULL);
  send_hello (m, hs);
}

static void
on_message (void *arg, KqConn *c, const KqMsg *msg)
{
  KqMesh *m = arg;
  Handshake *hs = find_handshake (m, c);
  Peer *p;
  if (hs != NULL && msg->kind == KQ_MSG_HELLO)
    {
      on_hello (m, hs, &msg->u.hello);
      return;
    }
  if (hs != NULL)
    {
      handshake_failed (m, hs, KQ_ERR_FRAME_FORMAT);
      return;
    }
  p = kq_conn_data (c);
  p->used_at = kq_time_now ();
  ++*m->counters.received;
  kq_task_send (m->config.receiver, kq_mail_msg (p->id, msg));
}

static void
on_closed (void *arg, KqConn *c, KqResult why)
{
  KqMesh *m = arg;
  Handshake *hs = find_handshake (m, c);
  if (hs != NULL)
    handshake_failed (m, hs, why);
  else
    peer_down (m, kq_conn_data (c), why, kq_time_now ());
}

static Handshake *
add_handshake (KqMesh *m, bool initiator, KqNodeId expected_peer)
{
  Handshake *hs = kq_alloc (sizeof *hs);
  hs->mesh = m;
  hs->initiator = initiator;
  hs->expected_peer = expected_peer;
  hs->nonce = kq_rand_next (&m->rand) | 1;
  hs->started_at = kq_time_now ();
  hs->next = m->handshakes;
  m->handshakes = hs;
  return hs;
}

static void
connect_peer (KqMesh *m, Peer *p, KqTime now)
{
  KqConnCallback cb = {
    .arg = m, .connected = on_connected, .message = on_message, .closed = on_closed
  };
  KqConn *c = kq_conn_open (m->loop, kq_str (p->address), &cb);
  Handshake *hs;
  if (c == NULL)
    {
      peer_down (m, p, KQ_ERR_PEER_LOST, now);
      return;
    }
  hs = add_handshake (m, true, p->id);
  hs->conn = c;
  p->conn = c;
}

static void
close_client (void *arg)
{
  Handshake *hs = arg;
  handshake_failed (hs->mesh, hs, KQ_ERR_PEER_LOST);
}

static void
on_buffered (void *arg, KqConn *c, size_t bytes)
{
  KqMesh *m = arg;
  Handshake *hs = find_handshake (m, c);
  if (hs != NULL && hs->is_client)
    kq_client_limits_hold (m->config.limits, &hs->limited, KQ_CLIENT_CONN_BYTES + bytes,
                           kq_time_now ());
}

static void
on_accept (struct ev_loop *ev, ev_io *w, int events)
{
  KqMesh *m = w->data;
  KqConnCallback cb = { m, on_connected, on_message, on_closed, on_buffered };
  Handshake *hs;
  int fd = accept4 (m->fd, NULL, NULL, SOCK_CLOEXEC);
  (void)ev;
  (void)events;
  if (fd < 0)
    return;
  hs = add_handshake (m, false, 0);
  hs->conn = kq_conn_accept (m->loop, fd, &cb);
  hs->limited = (KqClientConn){ .close = close_client, .arg = hs };
  hs->is_client = m->config.limits != NULL;
  if (hs->is_client) /* may close it */
    kq_client_limits_add (m->config.limits, &hs->limited, KQ_CLIENT_CONN_BYTES,
                          kq_time_now ());
}

static bool
should_connect (const KqMesh *m, const Peer *p, KqTime now)
{
  bool ours = p->persistent ? m->config.id < p->id : p->connect_wanted;
  return p->conn == NULL && p->address != NULL && ours && now >= p->retry_at;
}

static void
check_peer (KqMesh *m, Peer *p, KqTime now)
{
  if (should_connect (m, p, now))
    connect_peer (m, p, now);
  if (!p->up)
    return;
  if (now - kq_conn_heard_at (p->conn) > m->config.silence)
    {
      kq_log (KQ_LOG_WARN, PART, "Connection silent, closing it. peer=%s",
              p->address != NULL ? p->address : "?");
      peer_down (m, p, KQ_ERR_PEER_SILENT, now);
    }
  else if (!p->persistent && now - p->used_at > IDLE_TIMEOUT)
    peer_down (m, p, KQ_ERR_PEER_LOST, now);
  else if (now - kq_conn_sent_at (p->conn) > m->config.silence / 3)
    kq_conn_ping (p->conn);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  KqMesh *m = w->data;
  KqTime now = kq_time_now ();
  (void)ev;
  (void)events;
  for (Peer *p = m->peers; p != NULL; p = p->next)
    {
      check_peer (m, p, now);
      if (p->conn != NULL)
        kq_mesh_count_bytes (&m->counters, p->conn, !p->persistent, &p->counted);
    }
  for (Handshake *hs = m->handshakes, *next = NULL; hs != NULL; hs = next)
    {
      next = hs->next;
      if (now - hs->started_at > m->config.silence)
        {
          handshake_failed (m, hs, KQ_ERR_PEER_SILENT);
          break; /* the list may have changed; continue at the next tick */
        }
    }
}

static void
send_to_peer (KqMesh *m, KqNodeId to, const KqMsg *msg)
{
  Peer *p = find_peer (m, to);
  if (p != NULL && p->up)
    {
      p->used_at = kq_time_now ();
      kq_conn_send (p->conn, msg);
      ++*m->counters.sent;
    }
  else if (p != NULL && p->address != NULL && p->n_pending < PENDING_MAX
           && (!p->persistent || p->conn != NULL))
    {
      p->pending[p->n_pending++] = kq_msg_copy (msg);
      p->connect_wanted = true;
      if (should_connect (m, p, kq_time_now ()))
        connect_peer (m, p, kq_time_now ());
    }
  else
    {
      /* Without this report a request for a peer that is down would wait until its
       * deadline, and its caller would be told that the outcome is unknown although
       * nothing was sent. */
      ++*m->counters.dropped;
      kq_counter_result (m->config.counters, KQ_ERR_PEER_UNKNOWN);
      report_down (m, to, p != NULL ? p->incarnation : 0, false, KQ_ERR_PEER_UNKNOWN);
    }
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  KqMesh *m = self;
  (void)now;
  assert (mail->kind == KQ_MAIL_OUT && mail->u.out.kind == KQ_OUT_SEND);
  if (mail->u.out.u.send.to == m->config.id)
    {
      KqMail *back = kq_mail_new (KQ_MAIL_MSG);
      back->u.msg.peer = m->config.id;
      back->u.msg.msg = mail->u.out.u.send.msg;
      mail->u.out.u.send.msg = NULL;
      kq_task_send (m->config.receiver, back);
    }
  else
    send_to_peer (m, mail->u.out.u.send.to, mail->u.out.u.send.msg);
  kq_mail_free (mail);
}

KqMesh *
kq_mesh_new (KqLoop *loop, const KqMeshConfig *c)
{
  int port;
  int fd = kq_listen (c->ip, c->port, &port);
  KqHelloSelf self
      = { c->cluster, c->node, c->id, c->incarnation, c->region, c->depot, c->secret };
  KqMesh *m;
  if (fd < 0)
    return NULL;
  m = kq_alloc (sizeof *m);
  m->loop = loop;
  m->config = *c;
  m->fd = fd;
  m->port = port;
  m->rand = kq_rand (c->incarnation);
  kq_hello_self_copy (&m->self, &self);
  kq_mesh_counters_init (&m->counters, c->counters);
  kq_task_init (&m->task, loop, "mesh", m, on_mail);
  ev_io_init (&m->accept_watcher, on_accept, fd, EV_READ);
  ev_timer_init (&m->tick, on_tick, TICK_S, TICK_S);
  m->accept_watcher.data = m->tick.data = m;
  ev_io_start (kq_loop_ev (loop), &m->accept_watcher);
  ev_timer_start (kq_loop_ev (loop), &m->tick);
  return m;
}

void
kq_mesh_free (KqMesh *m)
{
  if (m == NULL)
    return;
  ev_io_stop (kq_loop_ev (m->loop), &m->accept_watcher);
  ev_timer_stop (kq_loop_ev (m->loop), &m->tick);
  close (m->fd);
  for (Handshake *hs = m->handshakes, *next = NULL; hs != NULL; hs = next)
    {
      Peer *p = hs->initiator ? find_peer (m, hs->expected_peer) : NULL;
      next = hs->next;
      if (hs->is_client)
        kq_client_limits_remove (m->config.limits, &hs->limited);
      if (p == NULL || p->conn != hs->conn)
        kq_conn_free (hs->conn);
      free (hs);
    }
  for (Peer *p = m->peers, *next = NULL; p != NULL; p = next)
    {
      next = p->next;
      drop_pending (m, p);
      kq_conn_free (p->conn);
      free (p->address);
      free (p);
    }
  kq_hello_self_clear (&m->self);
  kq_task_close (&m->task);
  free (m);
}

int
kq_mesh_port (const KqMesh *m)
{
  return m->port;
}

KqTask *
kq_mesh_task (KqMesh *m)
{
  return &m->task;
}

void
kq_mesh_add (KqMesh *m, KqNodeId id, KqStr address, bool persistent)
{
  Peer *p;
  if (id == m->config.id)
    return;
  p = get_peer (m, id);
  p->persistent = persistent;
  if (p->address != NULL && kq_str_eq (kq_str (p->address), address))
    return;
  free (p->address);
  p->address = kq_str_dup (address);
}

void
kq_mesh_remove (KqMesh *m, KqNodeId id)
{
  Peer *p = find_peer (m, id);
  if (p == NULL)
    return;
  /* The entry is kept: its connection may still deliver a message. */
  free (p->address);
  p->address = NULL;
  if (p->up)
    peer_down (m, p, KQ_ERR_PEER_LOST, kq_time_now ());
  p->persistent = false; /* only now: it decides whether bytes count as near or far */
}
