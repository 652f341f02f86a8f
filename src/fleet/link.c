#include "fleet/link_impl.h"

#include "base/listen.h"
#include "base/log.h"
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
#define RECONNECT_DELAY (150 * KQ_MS)

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
      if (i.kind == KQ_AGENT_ITEM_LEADER && l->config.owner.heard_leader != NULL)
        l->config.owner.heard_leader (l->config.owner.arg, &i, now);
      else if (i.kind != KQ_AGENT_ITEM_UNKNOWN)
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
  KqConnCallback cb = { .arg = l,
                        .connected = on_leader_connected,
                        .message = on_leader_message,
                        .closed = on_leader_closed };
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

void
kq_link_flush (KqConn *c, uint64_t epoch, KqBuf *out)
{
  KqMsg m = { .kind = KQ_MSG_AGENT };
  if (out->len == 0)
    return;
  m.u.agent.epoch = epoch;
  m.u.agent.items = kq_buf_str (out);
  kq_conn_send (c, &m);
  kq_buf_clear (out);
}

void
kq_link_send (KqLink *l, uint64_t epoch, const KqAgentItem *i)
{
  if (!l->leader_connected)
    return;
  if (epoch != l->out_epoch || l->out.len > KQ_LINK_FLUSH_AT)
    kq_link_flush (l->leader_conn, l->out_epoch, &l->out);
  l->out_epoch = epoch;
  kq_agent_item_pack (i, &l->out);
}

static void
on_before_poll (struct ev_loop *ev, ev_prepare *w, int events)
{
  KqLink *l = w->data;
  (void)ev;
  (void)events;
  if (l->leader_connected)
    kq_link_flush (l->leader_conn, l->out_epoch, &l->out);
  kq_link_peers_flush (l);
}

static void
send_heartbeat (KqLink *l, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_HEARTBEAT };
  if (l->leader_conn != NULL
      && now - kq_conn_heard_at (l->leader_conn) > KQ_LINK_PEER_TIMEOUT)
    close_leader_conn (l, "silent");
  if (l->leader_conn == NULL && now - l->connect_tried_at > RECONNECT_DELAY)
    open_leader_conn (l, now);
  if (!l->leader_connected)
    return;
  i.u.heartbeat.sent_at = now;
  i.u.heartbeat.store_age_ms = l->config.owner.store_age_ms (l->config.owner.arg, now);
  kq_link_send (l, l->leader_epoch, &i);
}

static void
on_heartbeat_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqLink *l = w->data;
  KqTime now = kq_loop_now (l->config.loop);
  (void)ev;
  (void)events;
  send_heartbeat (l, now);
  kq_link_peers_ping (l, now);
}

void
kq_link_set_own_epoch (KqLink *l, uint64_t epoch, KqTime now)
{
  close_leader_conn (l, "we lead");
  l->own_epoch = epoch;
  l->exclusive_until = 0;
  l->leader.len = 0;
  kq_link_peers_close (l, now);
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
  kq_link_peers_init (l);
  ev_io_init (&l->listen_watcher, kq_link_peers_accept, fd, EV_READ);
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
  kq_link_peers_free (l);
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
