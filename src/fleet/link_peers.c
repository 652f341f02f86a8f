/* link_peers: a leader's connections to the other nodes. */

#include "base/log.h"
#include "fleet/link_impl.h"
#include "fleet/peer_reports.h"

#include <fcntl.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "link"
/* Time within which the leader certainly notices that it has lost nodes: more than
 * KQ_LINK_PEER_TIMEOUT, a heartbeat and the period of its checks. */
#define LOSS_DETECTION (2 * KQ_SEC)
/* How many nodes a leader that resigns asks to end its lease, as one may fail. */
#define END_LEASE_NODES 3
/* How long a closed peer's connection is kept, so that what was sent last arrives. */
#define END_INTERVAL (300 * KQ_MS)
/* So many are kept; more than the nodes of a fleet that lose their leader at once. */
#define ENDING_MAX 512
/* How long a new leader tries to reach the last one. */
#define ANNOUNCE_TIMEOUT (2 * KQ_SEC)

typedef struct
{
  KqConn *conn;
  KqTime ended_at;
} EndingConn;

struct KqPeer
{
  KqLink *link;
  KqConn *conn;
  int agent;
  bool joined;    /* has sent HELLO, and no LEAVE since */
  bool is_client; /* counted in the limits of clients, until it sends HELLO */
  KqClientConn limited;
  bool damaged; /* has sent invalid data: it has to reconnect */
  bool unknown_logged;
  bool asked_to_end_lease;
  bool lingers;                  /* its connection is kept for END_INTERVAL */
  bool turned_away;              /* this node doesn't lead */
  KqTime store_answered_at;      /* by its last heartbeat; 0: not known */
  bool follows;                  /* changes of the operators' keys are relayed to it */
  bool in_message;               /* one of its messages is being handled */
  bool closed;                   /* closed meanwhile: freed after the message */
  KqPeerReports *reports;        /* the last list of each runner */
  KqTime heartbeat_sent_at;      /* time of its last heartbeat, by its clock */
  KqTime exclusive_heartbeat_at; /* heartbeat_sent_at of the last heartbeat that
                                    was received before exclusive_until */
  KqBuf out;
};

/* Takes the peer out of the limits of clients. */
static void
end_client (KqPeer *p)
{
  if (!p->is_client)
    return;
  p->is_client = false;
  kq_conn_ignore_buffered (p->conn);
  kq_client_limits_remove (p->link->config.limits, &p->limited);
}

static void
free_oldest_ending (KqLink *l)
{
  EndingConn *e = g_queue_pop_head (&l->ending);
  kq_conn_free (e->conn);
  free (e);
}

/* Keeps the connection until what was sent last has arrived. */
static void
add_ending (KqLink *l, KqConn *c, KqTime now)
{
  EndingConn *e = kq_alloc (sizeof *e);
  *e = (EndingConn){ c, now };
  kq_conn_finish (c);
  g_queue_push_tail (&l->ending, e);
  if (g_queue_get_length (&l->ending) > ENDING_MAX)
    free_oldest_ending (l);
}

static void
free_ended (KqLink *l, KqTime now)
{
  const EndingConn *e;
  while ((e = g_queue_peek_head (&l->ending)) != NULL
         && now - e->ended_at >= END_INTERVAL)
    free_oldest_ending (l);
}

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
  kq_log (p->turned_away ? KQ_LOG_DEBUG : KQ_LOG_INFO, PART,
          "Node disconnected. agent=%d why=%s heard_ms_ago=%lld", p->agent, why,
          (long long)((now - kq_conn_heard_at (p->conn)) / KQ_MS));
  end_client (p);
  if (p->joined)
    l->config.owner.left (l->config.owner.arg, p, false, now);
  if (p->lingers)
    add_ending (l, p->conn, now);
  else
    kq_conn_free (p->conn);
  p->closed = true;
  if (!p->in_message)
    free_peer (p);
}

/* Tells a node that takes this one for the leader who leads, if that is known. */
static void
turn_away (KqPeer *p)
{
  KqLink *l = p->link;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_LEADER };
  p->turned_away = true;
  if (l->config.owner.leader == NULL || !l->config.owner.leader (l->config.owner.arg, &i))
    return;
  p->lingers = true;
  kq_link_send_peer (p, &i);
  kq_link_flush (p->conn, l->own_epoch, &p->out);
}

static void
handle_hello (KqPeer *p, const KqAgentItem *i, KqTime now)
{
  KqLink *l = p->link;
  KqAgentItem answer = { .kind = KQ_AGENT_ITEM_WELCOME };
  if (l->own_epoch == 0)
    {
      turn_away (p);
      return;
    }
  answer.u.welcome.version = KQ_AGENT_PROTOCOL_VERSION;
  if (i->u.hello.version > 1)
    kq_link_send_peer (p, &answer);
  end_client (p);
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
    {
      p->heartbeat_sent_at = i->u.heartbeat.sent_at;
      p->store_answered_at = i->u.heartbeat.store_age_ms < 0
                                 ? 0
                                 : now - i->u.heartbeat.store_age_ms * KQ_MS;
    }
  if (now < l->exclusive_until)
    p->exclusive_heartbeat_at = p->heartbeat_sent_at;
  if (i->kind == KQ_AGENT_ITEM_HELLO)
    handle_hello (p, i, now);
  else if (i->kind == KQ_AGENT_ITEM_LEADER && l->config.owner.heard_leader != NULL)
    l->config.owner.heard_leader (l->config.owner.arg, i, now);
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
  while (!p->closed && !p->damaged && !p->turned_away && kq_agent_item_unpack (&rest, &i))
    {
      handle_peer_item (p, m->u.agent.epoch, &i, now);
      kq_agent_item_clear (&i);
    }
  p->in_message = false;
  if (!p->closed && p->turned_away)
    {
      g_ptr_array_remove_fast (l->peers, p);
      close_peer (p, "this node doesn't lead", now);
    }
  else if (!p->closed && (p->damaged || rest.len > 0))
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
close_client (void *arg)
{
  KqPeer *p = arg;
  g_ptr_array_remove_fast (p->link->peers, p);
  close_peer (p, "a client's limit", kq_loop_now (p->link->config.loop));
}

static void
on_peer_buffered (void *arg, KqConn *c, size_t bytes)
{
  KqPeer *p = arg;
  (void)c;
  kq_client_limits_hold (p->link->config.limits, &p->limited,
                         KQ_CLIENT_CONN_BYTES + bytes,
                         kq_loop_now (p->link->config.loop));
}

void
kq_link_peers_accept (struct ev_loop *ev, ev_io *w, int events)
{
  KqLink *l = w->data;
  KqPeer *p;
  KqConnCallback cb = { .message = on_peer_message, .closed = on_peer_closed };
  int fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  (void)ev;
  (void)events;
  if (fd < 0)
    return;
  p = kq_alloc (sizeof *p);
  p->link = l;
  p->agent = -1;
  p->reports = kq_peer_reports_new ();
  cb.arg = p;
  p->is_client = l->config.limits != NULL;
  cb.buffered = p->is_client ? on_peer_buffered : NULL;
  p->conn = kq_conn_accept (l->config.loop, fd, &cb);
  g_ptr_array_add (l->peers, p);
  p->limited = (KqClientConn){ .close = close_client, .arg = p };
  if (p->is_client) /* may close it */
    kq_client_limits_add (l->config.limits, &p->limited, KQ_CLIENT_CONN_BYTES,
                          kq_loop_now (l->config.loop));
}

void
kq_link_send_peer (KqPeer *p, const KqAgentItem *i)
{
  if (p->out.len > KQ_LINK_FLUSH_AT)
    kq_link_flush (p->conn, p->link->own_epoch, &p->out);
  kq_agent_item_pack (i, &p->out);
}

void
kq_link_peers_flush (KqLink *l)
{
  for (guint i = 0; i < l->peers->len; i++)
    {
      KqPeer *p = g_ptr_array_index (l->peers, i);
      kq_link_flush (p->conn, l->own_epoch, &p->out);
    }
}

static void
end_announcing (KqLink *l)
{
  kq_conn_free (l->announcing);
  l->announcing = NULL;
}

static void
on_announce_connected (void *arg, KqConn *c)
{
  KqLink *l = arg;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_LEADER };
  KqBuf out = { 0 };
  if (l->config.owner.leader (l->config.owner.arg, &i))
    {
      kq_agent_item_pack (&i, &out);
      kq_link_flush (c, l->own_epoch, &out);
    }
  kq_buf_free (&out);
}

static void
on_announce_message (void *arg, KqConn *c, const KqMsg *m)
{
  (void)arg;
  (void)c;
  (void)m;
}

static void
on_announce_closed (void *arg, KqConn *c, KqResult why)
{
  (void)c;
  (void)why;
  end_announcing (arg);
}

void
kq_link_announce (KqLink *l, KqStr address)
{
  KqConnCallback cb = { .arg = l,
                        .connected = on_announce_connected,
                        .message = on_announce_message,
                        .closed = on_announce_closed };
  end_announcing (l);
  if (address.len == 0)
    return;
  l->announced_at = kq_loop_now (l->config.loop);
  l->announcing = kq_conn_open (l->config.loop, address, &cb);
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

/* Closes peers that have been silent for KQ_LINK_PEER_TIMEOUT, and pings the others. */
void
kq_link_peers_ping (KqLink *l, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_PING };
  guint n = 0;
  uint64_t keys_revision = 0;
  int64_t keys_age_ms = -1;
  i.u.ping.store_age_ms = l->config.owner.store_age_ms (l->config.owner.arg, now);
  i.u.ping.jobs_free = l->config.owner.jobs_free != NULL
                           ? l->config.owner.jobs_free (l->config.owner.arg)
                           : -1;
  if (l->config.owner.keys != NULL)
    l->config.owner.keys (l->config.owner.arg, &keys_revision, &keys_age_ms, now);
  while (n < l->peers->len)
    {
      KqPeer *p = g_ptr_array_index (l->peers, n);
      if (now - kq_conn_heard_at (p->conn) <= KQ_LINK_PEER_TIMEOUT)
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
  free_ended (l, now);
  if (now - l->announced_at >= ANNOUNCE_TIMEOUT)
    end_announcing (l);
}

void
kq_link_peers_close (KqLink *l, KqTime now)
{
  while (l->peers->len > 0)
    close_peer (g_ptr_array_steal_index_fast (l->peers, 0), "no longer this leader", now);
}

void
kq_link_end_lease (KqLink *l, uint64_t lease)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_END_LEASE };
  i.u.end_lease.lease = lease;
  for (int n = 0; n < END_LEASE_NODES; n++)
    {
      KqPeer *best = NULL;
      for (guint k = 0; k < l->peers->len; k++)
        {
          KqPeer *p = g_ptr_array_index (l->peers, k);
          if (!p->asked_to_end_lease && p->store_answered_at != 0
              && (best == NULL || p->store_answered_at > best->store_answered_at))
            best = p;
        }
      if (best == NULL)
        return;
      best->asked_to_end_lease = best->lingers = true;
      kq_link_send_peer (best, &i);
      kq_link_flush (best->conn, l->own_epoch, &best->out);
    }
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
  size_t n = 0;
  for (guint i = 0; i < l->peers->len; i++)
    n += !((const KqPeer *)g_ptr_array_index (l->peers, i))->is_client;
  return n;
}

void
kq_link_peers_init (KqLink *l)
{
  l->peers = g_ptr_array_new ();
  g_queue_init (&l->ending);
}

void
kq_link_peers_free (KqLink *l)
{
  for (guint i = 0; i < l->peers->len; i++)
    {
      KqPeer *p = g_ptr_array_index (l->peers, i);
      end_client (p);
      kq_conn_free (p->conn);
      free_peer (p);
    }
  g_ptr_array_free (l->peers, TRUE);
  end_announcing (l);
  while (!g_queue_is_empty (&l->ending))
    free_oldest_ending (l);
}
