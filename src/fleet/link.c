#include "fleet/link.h"

#include "base/listen.h"
#include "base/log.h"
#include "fleet/peer_reports.h"
#include "wire/conn.h"

#include <ev.h>
#include <glib.h>

#include <fcntl.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "link"
/* Interval of heartbeats in both directions. A host that hangs for a second soon loses
 * its tasks, so the interval has to be well below a second. */
#define HEARTBEAT_S 0.3
/* A connection that has been silent for this long is closed. Several heartbeats may be
 * late: hosts are slow at times, and links between regions queue. */
#define PEER_TIMEOUT (1400 * KQ_MS)
/* Time within which the leader certainly notices that it has lost nodes: more than
 * PEER_TIMEOUT, a heartbeat and the period of its checks. */
#define LOSS_DETECTION (2 * KQ_SEC)
#define RECONNECT_DELAY (150 * KQ_MS)

struct KqPeer
{
  KqLink *link;
  KqConn *conn;
  int agent;
  bool joined;  /* has sent HELLO, and no LEAVE since */
  bool damaged; /* has sent invalid data: it has to reconnect */
  bool unknown_logged;
  bool follows;                  /* changes of the operators' keys are relayed to it */
  bool in_message;               /* one of its messages is being handled */
  bool closed;                   /* closed meanwhile: freed after the message */
  KqPeerReports *reports;        /* the last list of each runner */
  KqTime heartbeat_sent_at;      /* time of its last heartbeat, by its clock */
  KqTime exclusive_heartbeat_at; /* heartbeat_sent_at of the last heartbeat that
                                    was received before exclusive_until */
  KqBuf out;
};

struct KqLink
{
  KqLinkConfig config;
  int port;
  int fd;
  ev_io listen_watcher;
  ev_timer heartbeat_timer;
  ev_prepare before_poll;
  GPtrArray *peers;
  uint64_t own_epoch;     /* of this node's leadership; 0: it isn't leader */
  KqTime exclusive_until; /* no other node can be leader until then */
  bool nodes_lost;        /* some node has disconnected unplanned and isn't back */
  KqConn *leader_conn;    /* connection to the leader; NULL: none */
  bool leader_connected;
  uint32_t leader_version;
  bool leaving;  /* the planned stop has been announced */
  KqName leader; /* the leader's address; "": no leader */
  uint64_t leader_epoch;
  KqTime connect_tried_at;
  KqBuf out;          /* items for the leader */
  uint64_t out_epoch; /* epoch of those items */
};

static void
free_peer (KqPeer *p)
{
  kq_buf_free (&p->out);
  kq_peer_reports_free (p->reports);
  free (p);
}

/* Closes the connection to a peer that the caller has removed from `peers`, and frees the
 * peer, after its present message if one is being handled. */
static void
close_peer (KqPeer *p, const char *why, KqTime now)
{
  KqLink *l = p->link;
  kq_log (KQ_LOG_INFO, PART, "Node disconnected. agent=%d why=%s heard_ms_ago=%lld",
          p->agent, why, (long long)((now - kq_conn_heard_at (p->conn)) / KQ_MS));
  if (p->joined)
    l->config.owner.left (l->config.owner.arg, p, false, now);
  kq_conn_free (p->conn);
  p->closed = true;
  if (!p->in_message)
    free_peer (p);
}

static void
handle_hello (KqPeer *p, const KqAgentItem *i, KqTime now)
{
  KqLink *l = p->link;
  KqAgentItem answer = { .kind = KQ_AGENT_ITEM_WELCOME };
  answer.u.welcome.version = KQ_AGENT_PROTOCOL_VERSION;
  if (i->u.hello.version > 1)
    kq_link_send_peer (p, &answer);
  p->joined = true;
  l->config.owner.joined (l->config.owner.arg, p, &i->u.hello.info, now);
}

/* Applies the changes to the runner's last list, and passes the new list on as a LIST. */
static void
apply_changes (KqPeer *p, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  KqLink *l = p->link;
  KqAgentItem list = { .kind = KQ_AGENT_ITEM_LIST, .runner = i->runner };
  KqRunRow *rows;
  if (!kq_peer_reports_apply (p->reports, i, &list.u.list, &rows))
    {
      kq_log (KQ_LOG_ERROR, PART,
              "Changes do not apply to the last list. error=%d agent=%d runner=%.*s "
              "serial=%llu",
              KQ_ERR_FRAME_FORMAT, p->agent, KQ_STR_ARG (i->runner),
              (unsigned long long)i->u.changes.running.serial);
      p->damaged = true;
      return;
    }
  l->config.owner.from_node (l->config.owner.arg, p, epoch, &list, now);
  free (rows);
}

/* Logs an item of an unknown kind, which a later version sent; once per connection. */
static void
log_unknown (KqPeer *p, int64_t kind)
{
  if (!p->unknown_logged)
    kq_log (KQ_LOG_WARN, PART,
            "Ignoring an item of an unknown kind. error=%d agent=%d kind=%lld",
            KQ_ERR_PEER_KIND, p->agent, (long long)kind);
  p->unknown_logged = true;
}

static void
handle_peer_item (KqPeer *p, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  KqLink *l = p->link;
  if (i->kind == KQ_AGENT_ITEM_HEARTBEAT)
    p->heartbeat_sent_at = i->u.heartbeat.sent_at;
  if (now < l->exclusive_until)
    p->exclusive_heartbeat_at = p->heartbeat_sent_at;
  if (i->kind == KQ_AGENT_ITEM_HELLO)
    handle_hello (p, i, now);
  else if (i->kind == KQ_AGENT_ITEM_UNKNOWN)
    log_unknown (p, i->u.unknown.kind);
  else if (!p->joined)
    return;
  else if (i->kind == KQ_AGENT_ITEM_CHANGES)
    apply_changes (p, epoch, i, now);
  else if (i->kind == KQ_AGENT_ITEM_LEAVE)
    {
      p->joined = false;
      l->config.owner.left (l->config.owner.arg, p, true, now);
    }
  else
    l->config.owner.from_node (l->config.owner.arg, p, epoch, i, now);
}

static void
on_peer_message (void *arg, KqConn *c, const KqMsg *m)
{
  KqPeer *p = arg;
  KqLink *l = p->link;
  KqStr rest = m->u.agent.items;
  KqAgentItem i;
  KqTime now = kq_loop_now (l->config.loop);
  (void)c;
  if (m->kind != KQ_MSG_AGENT)
    return;
  p->in_message = true;
  while (!p->closed && !p->damaged && kq_agent_item_unpack (&rest, &i))
    {
      handle_peer_item (p, m->u.agent.epoch, &i, now);
      kq_agent_item_clear (&i);
    }
  p->in_message = false;
  if (!p->closed && (p->damaged || rest.len > 0))
    {
      kq_log (KQ_LOG_ERROR, PART, "A node's message cannot be decoded. error=%d left=%zu",
              KQ_ERR_FRAME_FORMAT, rest.len);
      g_ptr_array_remove_fast (l->peers, p);
      close_peer (p, "damaged", now);
    }
  else if (p->closed)
    free_peer (p);
}

static void
on_peer_closed (void *arg, KqConn *c, KqResult why)
{
  KqPeer *p = arg;
  KqTime now = kq_loop_now (p->link->config.loop);
  (void)c;
  g_ptr_array_remove_fast (p->link->peers, p);
  close_peer (p, kq_result_name (why), now);
}

static void
on_acceptable (struct ev_loop *ev, ev_io *w, int events)
{
  KqLink *l = w->data;
  KqPeer *p;
  KqConnCallback cb = { NULL, NULL, on_peer_message, on_peer_closed };
  int fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  (void)ev;
  (void)events;
  if (fd < 0)
    return;
  if (l->own_epoch == 0)
    {
      close (fd); /* the node retries with the leader that it knows by then */
      return;
    }
  p = kq_alloc (sizeof *p);
  p->link = l;
  p->agent = -1;
  p->reports = kq_peer_reports_new ();
  cb.arg = p;
  p->conn = kq_conn_accept (l->config.loop, fd, &cb);
  g_ptr_array_add (l->peers, p);
}

static void
close_leader_conn (KqLink *l, const char *why)
{
  if (l->leader_conn == NULL)
    return;
  if (l->leader_connected)
    kq_log (KQ_LOG_INFO, PART, "Disconnected from the leader. epoch=%llu why=%s",
            (unsigned long long)l->leader_epoch, why);
  kq_conn_free (l->leader_conn);
  l->leader_conn = NULL;
  l->leader_connected = false;
  l->leader_version = 1;
  kq_buf_clear (&l->out);
}

static void
on_leader_connected (void *arg, KqConn *c)
{
  KqLink *l = arg;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_HELLO };
  (void)c;
  l->leader_connected = true;
  kq_log (KQ_LOG_INFO, PART, "Connected to the leader. epoch=%llu",
          (unsigned long long)l->leader_epoch);
  i.u.hello.info = l->config.self;
  i.u.hello.version = KQ_AGENT_PROTOCOL_VERSION;
  kq_link_send (l, l->leader_epoch, &i);
  l->config.owner.connected (l->config.owner.arg, kq_loop_now (l->config.loop));
}

static void
on_leader_message (void *arg, KqConn *c, const KqMsg *m)
{
  KqLink *l = arg;
  KqStr rest = m->u.agent.items;
  KqAgentItem i;
  KqTime now = kq_loop_now (l->config.loop);
  if (m->kind != KQ_MSG_AGENT)
    return;
  while (l->leader_conn == c && !l->leaving && kq_agent_item_unpack (&rest, &i))
    {
      if (i.kind == KQ_AGENT_ITEM_WELCOME)
        l->leader_version = i.u.welcome.version;
      if (i.kind != KQ_AGENT_ITEM_UNKNOWN)
        l->config.owner.from_leader (l->config.owner.arg, m->u.agent.epoch, &i, now);
      kq_agent_item_clear (&i);
    }
  if (l->leader_conn != c || l->leaving || rest.len == 0)
    return;
  /* The rest may hold orders whose outcome the leader waits for. On a new connection it
   * assigns the runners again, and no longer waits for these. */
  kq_log (KQ_LOG_ERROR, PART, "The leader's message cannot be decoded. error=%d left=%zu",
          KQ_ERR_FRAME_FORMAT, rest.len);
  close_leader_conn (l, "damaged");
}

static void
on_leader_closed (void *arg, KqConn *c, KqResult why)
{
  KqLink *l = arg;
  (void)c;
  close_leader_conn (l, kq_result_name (why));
}

static void
open_leader_conn (KqLink *l, KqTime now)
{
  KqConnCallback cb = { l, on_leader_connected, on_leader_message, on_leader_closed };
  if (l->leader_conn != NULL || l->leader.len == 0 || l->own_epoch != 0 || l->leaving)
    return;
  l->connect_tried_at = now;
  l->leader_conn = kq_conn_open (l->config.loop, kq_name_str (&l->leader), &cb);
}

void
kq_link_set_leader (KqLink *l, KqStr address, uint64_t epoch, KqTime now)
{
  close_leader_conn (l, "another leader");
  l->leader = kq_name (address);
  l->leader_epoch = epoch;
  open_leader_conn (l, now);
}

void
kq_link_leave (KqLink *l)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_LEAVE };
  l->leaving = true;
  l->leader.len = 0;
  if (l->leader_connected && l->leader_version > 1)
    kq_link_send (l, l->leader_epoch, &i); /* the leader closes the connection */
  else
    close_leader_conn (l, "leaving");
}

bool
kq_link_connected (const KqLink *l)
{
  return l->leader_connected && !l->leaving;
}

static void
flush (KqConn *c, uint64_t epoch, KqBuf *out)
{
  KqMsg m = { .kind = KQ_MSG_AGENT };
  if (out->len == 0)
    return;
  m.u.agent.epoch = epoch;
  m.u.agent.items = kq_buf_str (out);
  kq_conn_send (c, &m);
  kq_buf_clear (out);
}

/* Items collected for a connection are sent early at this size in bytes, so that one more
 * item cannot exceed the maximum size of a frame. */
#define FLUSH_AT (KQ_FRAME_MAX / 4)

void
kq_link_send (KqLink *l, uint64_t epoch, const KqAgentItem *i)
{
  if (!l->leader_connected)
    return;
  if (epoch != l->out_epoch || l->out.len > FLUSH_AT)
    flush (l->leader_conn, l->out_epoch, &l->out);
  l->out_epoch = epoch;
  kq_agent_item_pack (i, &l->out);
}

void
kq_link_send_peer (KqPeer *p, const KqAgentItem *i)
{
  if (p->out.len > FLUSH_AT)
    flush (p->conn, p->link->own_epoch, &p->out);
  kq_agent_item_pack (i, &p->out);
}

static void
on_before_poll (struct ev_loop *ev, ev_prepare *w, int events)
{
  KqLink *l = w->data;
  (void)ev;
  (void)events;
  if (l->leader_connected)
    flush (l->leader_conn, l->out_epoch, &l->out);
  for (guint i = 0; i < l->peers->len; i++)
    {
      KqPeer *p = g_ptr_array_index (l->peers, i);
      flush (p->conn, l->own_epoch, &p->out);
    }
}

static void
send_heartbeat (KqLink *l, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_HEARTBEAT };
  if (l->leader_conn != NULL && now - kq_conn_heard_at (l->leader_conn) > PEER_TIMEOUT)
    close_leader_conn (l, "silent");
  if (l->leader_conn == NULL && now - l->connect_tried_at > RECONNECT_DELAY)
    open_leader_conn (l, now);
  if (!l->leader_connected)
    return;
  i.u.heartbeat.sent_at = now;
  i.u.heartbeat.store_age_ms = l->config.owner.store_age_ms (l->config.owner.arg, now);
  kq_link_send (l, l->leader_epoch, &i);
}

/* Returns the send time up to which the next ping acknowledges heartbeats. A node renews
 * runner leases for a while after the last acknowledged heartbeat, so a leader that may
 * have been replaced must not acknowledge newer ones. A leader that still hears all
 * nodes can have been replaced only through nodes that were cut off within the last
 * LOSS_DETECTION, so it acknowledges heartbeats from before that. */
static KqTime
acknowledged_until (const KqPeer *p, KqTime now)
{
  if (now < p->link->exclusive_until)
    return p->heartbeat_sent_at;
  return p->link->nodes_lost ? p->exclusive_heartbeat_at
                             : p->heartbeat_sent_at - LOSS_DETECTION;
}

/* Closes peers that have been silent for PEER_TIMEOUT, and pings the others. */
static void
ping_or_close_peers (KqLink *l, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_PING };
  guint n = 0;
  uint64_t keys_revision = 0;
  int64_t keys_age_ms = -1;
  i.u.ping.store_age_ms = l->config.owner.store_age_ms (l->config.owner.arg, now);
  if (l->config.owner.keys != NULL)
    l->config.owner.keys (l->config.owner.arg, &keys_revision, &keys_age_ms, now);
  while (n < l->peers->len)
    {
      KqPeer *p = g_ptr_array_index (l->peers, n);
      if (now - kq_conn_heard_at (p->conn) <= PEER_TIMEOUT)
        {
          i.u.ping.heartbeat_sent_at = acknowledged_until (p, now);
          i.u.ping.keys_revision = p->follows ? keys_revision : 0;
          i.u.ping.keys_age_ms = p->follows ? keys_age_ms : -1;
          kq_link_send_peer (p, &i);
          n++;
          continue;
        }
      g_ptr_array_steal_index_fast (l->peers, n);
      close_peer (p, "silent", now);
    }
}

static void
on_heartbeat_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqLink *l = w->data;
  KqTime now = kq_loop_now (l->config.loop);
  (void)ev;
  (void)events;
  send_heartbeat (l, now);
  ping_or_close_peers (l, now);
}

void
kq_link_set_own_epoch (KqLink *l, uint64_t epoch, KqTime now)
{
  close_leader_conn (l, "we lead");
  l->own_epoch = epoch;
  l->exclusive_until = 0;
  l->leader.len = 0;
  while (l->peers->len > 0)
    close_peer (g_ptr_array_steal_index_fast (l->peers, 0), "no longer this leader", now);
}

void
kq_link_set_exclusive_until (KqLink *l, KqTime until, bool nodes_lost)
{
  l->exclusive_until = until;
  l->nodes_lost = nodes_lost;
}

void
kq_peer_set_agent (KqPeer *p, int agent)
{
  p->agent = agent;
}

int
kq_peer_agent (const KqPeer *p)
{
  return p->agent;
}

void
kq_peer_set_follows (KqPeer *p, bool follows)
{
  p->follows = follows;
}

size_t
kq_link_send_followers (KqLink *l, const KqAgentItem *i)
{
  size_t n = 0;
  for (guint k = 0; k < l->peers->len; k++)
    {
      KqPeer *p = g_ptr_array_index (l->peers, k);
      if (!p->follows)
        continue;
      kq_link_send_peer (p, i);
      n++;
    }
  return n;
}

void
kq_link_clear_followers (KqLink *l)
{
  for (guint i = 0; i < l->peers->len; i++)
    ((KqPeer *)g_ptr_array_index (l->peers, i))->follows = false;
}

size_t
kq_link_peer_count (const KqLink *l)
{
  return l->peers->len;
}

KqLink *
kq_link_new (const KqLinkConfig *c)
{
  KqLink *l;
  struct ev_loop *ev = kq_loop_ev (c->loop);
  int port;
  int fd = kq_listen (c->ip, c->port, &port);
  if (fd < 0)
    return NULL;
  l = kq_alloc (sizeof *l);
  l->config = *c;
  l->fd = fd;
  l->port = port;
  l->peers = g_ptr_array_new ();
  ev_io_init (&l->listen_watcher, on_acceptable, fd, EV_READ);
  ev_timer_init (&l->heartbeat_timer, on_heartbeat_timer, HEARTBEAT_S, HEARTBEAT_S);
  ev_prepare_init (&l->before_poll, on_before_poll);
  l->listen_watcher.data = l->heartbeat_timer.data = l->before_poll.data = l;
  ev_io_start (ev, &l->listen_watcher);
  ev_timer_start (ev, &l->heartbeat_timer);
  ev_prepare_start (ev, &l->before_poll);
  return l;
}

void
kq_link_free (KqLink *l)
{
  struct ev_loop *ev;
  if (l == NULL)
    return;
  ev = kq_loop_ev (l->config.loop);
  close_leader_conn (l, "stopping");
  for (guint i = 0; i < l->peers->len; i++)
    {
      KqPeer *p = g_ptr_array_index (l->peers, i);
      kq_conn_free (p->conn);
      free_peer (p);
    }
  g_ptr_array_free (l->peers, TRUE);
  kq_buf_free (&l->out);
  ev_io_stop (ev, &l->listen_watcher);
  ev_timer_stop (ev, &l->heartbeat_timer);
  ev_prepare_stop (ev, &l->before_poll);
  close (l->fd);
  free (l);
}

int
kq_link_port (const KqLink *l)
{
  return l->port;
}
