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
/* The table of connections is looked over ten times a second: fine enough against
 * silence limits of seconds. */
#define TICK_S 0.1
/* Between two attempts to reach a peer, with up to as much again as jitter, so that the
 * nodes of a region don't all call a restarted one in the same instant. */
#define RECONNECT (200 * KQ_MS)
/* A connection on demand without a message for so long is closed. */
#define IDLE (30 * KQ_SEC)
/* Messages kept for a peer while its connection is being opened. */
#define PENDING_MAX 256

typedef struct Peer
{
  struct Peer *next;
  KqNodeId id;
  char *address; /* NULL: it came to us, we can't call it */
  bool keep;
  bool wanted;  /* there is something to send */
  KqConn *conn; /* up, or being opened by us */
  bool up;
  uint64_t incarnation;
  KqTime retry_at;
  KqTime used_at;
  KqMeshCounted counted; /* of conn */
  KqMsg *pending[PENDING_MAX];
  int n_pending;
} Peer;

/* A connection whose hello is not complete. */
typedef struct Greeting
{
  struct Greeting *next;
  struct KqMesh *mesh;
  KqConn *conn;
  bool opener;
  KqNodeId expected; /* of the opener: whom it called */
  uint64_t nonce;
  uint64_t peer_nonce;
  KqTime since;
} Greeting;

struct KqMesh
{
  KqLoop *loop;
  KqTask task;
  KqMeshConfig config;
  char *strings[5];
  KqHelloSelf self;
  KqRand rand;
  int fd;
  int port;
  ev_io accepting;
  ev_timer tick;
  Peer *peers;
  Greeting *greetings;
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
tell_up (KqMesh *m, const Peer *p)
{
  KqMail *mail = kq_mail_new (KQ_MAIL_PEER);
  mail->u.peer = (KqMailPeer){ p->id, p->incarnation, true, false, KQ_OK };
  kq_task_send (m->config.receiver, mail);
}

static void
tell_down (KqMesh *m, KqNodeId id, uint64_t incarnation, bool was_up, KqResult reason)
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
  p->wanted = false;
}

/* A connection that never was a peer's: its hello's bytes count as near. */
static void
drop_stray (KqMesh *m, KqConn *c)
{
  KqMeshCounted none = { 0 };
  kq_mesh_count_bytes (&m->counters, c, false, &none);
  kq_conn_free (c);
}

static void
drop_conn (KqMesh *m, Peer *p)
{
  kq_mesh_count_bytes (&m->counters, p->conn, !p->keep, &p->counted);
  kq_conn_free (p->conn);
  p->conn = NULL;
  p->counted = (KqMeshCounted){ 0 };
}

/* The peer's connection is gone or given up. */
static void
peer_down (KqMesh *m, Peer *p, KqResult why, KqTime now)
{
  bool was_up = p->up;
  if (p->conn != NULL)
    drop_conn (m, p);
  p->up = false;
  p->retry_at = now + RECONNECT + (KqTime)kq_rand_below (&m->rand, (uint64_t)RECONNECT);
  if (was_up || p->n_pending > 0)
    {
      kq_counter_result (m->config.counters, why);
      tell_down (m, p->id, p->incarnation, was_up, why);
    }
  drop_pending (m, p);
}

static void
forget_greeting (KqMesh *m, Greeting *g)
{
  Greeting **at = &m->greetings;
  while (*at != g)
    at = &(*at)->next;
  *at = g->next;
  free (g);
}

/* Ends a connection before its hello was complete. */
static void
greeting_failed (KqMesh *m, Greeting *g, KqResult why)
{
  Peer *p = g->opener ? find_peer (m, g->expected) : NULL;
  KqConn *c = g->conn;
  forget_greeting (m, g);
  if (why != KQ_ERR_PEER_LOST)
    {
      kq_counter_result (m->config.counters, why);
      kq_log (KQ_LOG_WARN, PART, "Hello refused. code=%d name=%s", why,
              kq_result_name (why));
    }
  if (p != NULL && p->conn == c)
    peer_down (m, p, why, kq_time_now ());
  else
    drop_stray (m, c);
}

static void
send_hello (KqMesh *m, Greeting *g)
{
  char digest[KQ_HELLO_DIGEST_LEN + 1];
  KqMsg msg = { .kind = KQ_MSG_HELLO };
  kq_hello_make (&m->self, g->nonce, g->peer_nonce, digest, &msg.u.hello);
  kq_conn_send (g->conn, &msg);
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

/* Two nodes may call each other at once. The one opened by the lower id stays; of two
 * from the same opener the newer one, since its opener has given the older one up. */
static bool
keeps_old (const KqMesh *m, const Peer *p, bool opener)
{
  bool lower_opened = opener == (m->config.id < p->id);
  return p->up && !lower_opened;
}

static void
greeting_done (KqMesh *m, Greeting *g, const KqMsgHello *h)
{
  Peer *p = get_peer (m, h->node_id);
  KqConn *c = g->conn;
  bool opener = g->opener;
  forget_greeting (m, g);
  if (p->conn != c && keeps_old (m, p, opener))
    {
      drop_stray (m, c);
      return;
    }
  if (p->conn != NULL && p->conn != c)
    {
      /* Also ends a greeting of ours with the same peer. */
      for (Greeting *o = m->greetings; o != NULL; o = o->next)
        {
          if (o->conn == p->conn)
            {
              forget_greeting (m, o);
              break;
            }
        }
      drop_conn (m, p);
      if (p->up)
        tell_down (m, p->id, p->incarnation, true, KQ_ERR_PEER_LOST);
    }
  p->conn = c;
  p->up = true;
  p->incarnation = h->incarnation;
  p->used_at = kq_time_now ();
  kq_conn_set_data (c, p);
  kq_log (KQ_LOG_DEBUG, PART, "Peer connected. peer=%.*s", KQ_STR_ARG (h->node));
  tell_up (m, p);
  send_pending (p);
}

static void
on_hello (KqMesh *m, Greeting *g, const KqMsgHello *h)
{
  bool first = !g->opener && g->peer_nonce == 0;
  KqResult r = kq_hello_check (&m->self, h, first ? 0 : g->nonce);
  if (r == KQ_OK && h->node_id == m->config.id)
    r = KQ_ERR_PEER_UNKNOWN;
  if (r == KQ_OK && g->opener && g->expected != h->node_id)
    r = KQ_ERR_PEER_UNKNOWN;
  if (r != KQ_OK)
    {
      greeting_failed (m, g, r);
      return;
    }
  g->peer_nonce = h->nonce;
  if (first)
    {
      send_hello (m, g);
      return;
    }
  if (g->opener)
    send_hello (m, g);
  greeting_done (m, g, h);
}

static Greeting *
greeting_of (KqMesh *m, const KqConn *c)
{
  for (Greeting *g = m->greetings; g != NULL; g = g->next)
    {
      if (g->conn == c)
        return g;
    }
  return NULL;
}

static void
on_connected (void *arg, KqConn *c)
{
  KqMesh *m = arg;
  Greeting *g = greeting_of (m, c);
  assert (g != NULL);
  send_hello (m, g);
}

static void
on_message (void *arg, KqConn *c, const KqMsg *msg)
{
  KqMesh *m = arg;
  Greeting *g = greeting_of (m, c);
  Peer *p;
  if (g != NULL && msg->kind == KQ_MSG_HELLO)
    {
      on_hello (m, g, &msg->u.hello);
      return;
    }
  if (g != NULL)
    {
      greeting_failed (m, g, KQ_ERR_FRAME_FORMAT);
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
  Greeting *g = greeting_of (m, c);
  if (g != NULL)
    greeting_failed (m, g, why);
  else
    peer_down (m, kq_conn_data (c), why, kq_time_now ());
}

static Greeting *
add_greeting (KqMesh *m, bool opener, KqNodeId expected)
{
  Greeting *g = kq_alloc (sizeof *g);
  g->mesh = m;
  g->opener = opener;
  g->expected = expected;
  g->nonce = kq_rand_next (&m->rand) | 1;
  g->since = kq_time_now ();
  g->next = m->greetings;
  m->greetings = g;
  return g;
}

static void
call_peer (KqMesh *m, Peer *p, KqTime now)
{
  KqConnCallback cb = { m, on_connected, on_message, on_closed };
  KqConn *c = kq_conn_open (m->loop, kq_str (p->address), &cb);
  Greeting *g;
  if (c == NULL)
    {
      peer_down (m, p, KQ_ERR_PEER_LOST, now);
      return;
    }
  g = add_greeting (m, true, p->id);
  g->conn = c;
  p->conn = c;
}

static void
on_accepting (struct ev_loop *ev, ev_io *w, int events)
{
  KqMesh *m = w->data;
  KqConnCallback cb = { m, on_connected, on_message, on_closed };
  int fd = accept4 (m->fd, NULL, NULL, SOCK_CLOEXEC);
  (void)ev;
  (void)events;
  if (fd < 0)
    return;
  add_greeting (m, false, 0)->conn = kq_conn_accept (m->loop, fd, &cb);
}

static bool
should_call (const KqMesh *m, const Peer *p, KqTime now)
{
  bool ours = p->keep ? m->config.id < p->id : p->wanted;
  return p->conn == NULL && p->address != NULL && ours && now >= p->retry_at;
}

static void
tend_peer (KqMesh *m, Peer *p, KqTime now)
{
  if (should_call (m, p, now))
    call_peer (m, p, now);
  if (!p->up)
    return;
  if (now - kq_conn_heard_at (p->conn) > m->config.silence)
    {
      kq_log (KQ_LOG_WARN, PART, "Connection silent, closing it. peer=%s",
              p->address != NULL ? p->address : "?");
      peer_down (m, p, KQ_ERR_PEER_SILENT, now);
    }
  else if (!p->keep && now - p->used_at > IDLE)
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
      tend_peer (m, p, now);
      if (p->conn != NULL)
        kq_mesh_count_bytes (&m->counters, p->conn, !p->keep, &p->counted);
    }
  for (Greeting *g = m->greetings, *next = NULL; g != NULL; g = next)
    {
      next = g->next;
      if (now - g->since > m->config.silence)
        {
          greeting_failed (m, g, KQ_ERR_PEER_SILENT);
          break; /* the list may have changed; the rest at the next tick */
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
           && (!p->keep || p->conn != NULL))
    {
      p->pending[p->n_pending++] = kq_msg_copy (msg);
      p->wanted = true;
      if (should_call (m, p, kq_time_now ()))
        call_peer (m, p, kq_time_now ());
    }
  else
    {
      /* Without this word a request given to a peer that is down would wait for its
       * deadline, and its caller would be told "unknown" though nothing was sent. */
      ++*m->counters.dropped;
      kq_counter_result (m->config.counters, KQ_ERR_PEER_UNKNOWN);
      tell_down (m, to, p != NULL ? p->incarnation : 0, false, KQ_ERR_PEER_UNKNOWN);
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

/* The configuration's strings are the caller's; ours must live as long as we do. */
static void
copy_strings (KqMesh *m)
{
  const KqMeshConfig *c = &m->config;
  KqStr from[5] = { c->cluster, c->node, c->region, c->depot, c->secret };
  KqStr *to[5] = { &m->self.cluster, &m->self.node, &m->self.region, &m->self.depot,
                   &m->self.secret };
  for (int i = 0; i < 5; i++)
    {
      m->strings[i] = kq_str_dup (from[i]);
      *to[i] = kq_str_n (m->strings[i], from[i].len);
    }
  m->self.node_id = c->id;
  m->self.incarnation = c->incarnation;
}

KqMesh *
kq_mesh_new (KqLoop *loop, const KqMeshConfig *c)
{
  int port;
  int fd = kq_listen (c->ip, c->port, &port);
  KqMesh *m;
  if (fd < 0)
    return NULL;
  m = kq_alloc (sizeof *m);
  m->loop = loop;
  m->config = *c;
  m->fd = fd;
  m->port = port;
  m->rand = kq_rand (c->incarnation);
  copy_strings (m);
  kq_mesh_counters_init (&m->counters, c->counters);
  kq_task_init (&m->task, loop, "mesh", m, on_mail);
  ev_io_init (&m->accepting, on_accepting, fd, EV_READ);
  ev_timer_init (&m->tick, on_tick, TICK_S, TICK_S);
  m->accepting.data = m->tick.data = m;
  ev_io_start (kq_loop_ev (loop), &m->accepting);
  ev_timer_start (kq_loop_ev (loop), &m->tick);
  return m;
}

void
kq_mesh_free (KqMesh *m)
{
  if (m == NULL)
    return;
  ev_io_stop (kq_loop_ev (m->loop), &m->accepting);
  ev_timer_stop (kq_loop_ev (m->loop), &m->tick);
  close (m->fd);
  for (Greeting *g = m->greetings, *next = NULL; g != NULL; g = next)
    {
      Peer *p = g->opener ? find_peer (m, g->expected) : NULL;
      next = g->next;
      if (p == NULL || p->conn != g->conn)
        kq_conn_free (g->conn);
      free (g);
    }
  for (Peer *p = m->peers, *next = NULL; p != NULL; p = next)
    {
      next = p->next;
      drop_pending (m, p);
      kq_conn_free (p->conn);
      free (p->address);
      free (p);
    }
  for (int i = 0; i < 5; i++)
    free (m->strings[i]);
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
kq_mesh_add (KqMesh *m, KqNodeId id, KqStr address, bool keep)
{
  Peer *p;
  if (id == m->config.id)
    return;
  p = get_peer (m, id);
  p->keep = keep;
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
  /* The entry stays: a message of its connection may still be on the way. */
  free (p->address);
  p->address = NULL;
  if (p->up)
    peer_down (m, p, KQ_ERR_PEER_LOST, kq_time_now ());
  p->keep = false; /* last: the connection's bytes are counted by it */
}
