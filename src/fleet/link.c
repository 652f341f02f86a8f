#include "fleet/link.h"

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
/* Sign of life either way; a host that stands still for a second is soon without tasks.
 */
#define BEAT_S 0.3
/* Several beats may be late: hosts are slow at times, and links between regions queue. */
#define SILENT (1400 * KQ_MS)
/* More than SILENT, a beat and the time to look at the lead. */
#define DOUBT (2 * KQ_SEC)
#define RECONNECT (150 * KQ_MS)

struct KqPeer
{
  KqLink *link;
  KqConn *conn;
  int agent;
  bool joined;
  bool damaged; /* what it has sent can't be right: it has to connect anew */
  bool unknown_told;
  bool busy;              /* its message is being read */
  bool ended;             /* meanwhile: it goes when that is over */
  GHashTable *told;       /* runner -> Told */
  KqTime beat_sent_at;    /* of its last beat, by its clock */
  KqTime certain_beat_at; /* of the last that came while the lead was certain */
  KqBuf out;
};

/* What the peer has told of a runner's runs. */
typedef struct
{
  char *runner;
  uint64_t taking;
  KqTold *runs;
} Told;

struct KqLink
{
  KqLinkConfig config;
  int port;
  int fd;
  ev_io acceptable;
  ev_timer beat;
  ev_prepare before_poll;
  GPtrArray *peers;
  uint64_t lead_epoch; /* we lead with it; 0: we don't */
  KqTime lead_until;   /* nobody else can lead until then */
  bool nodes_lost;     /* some node that was there isn't heard */
  KqConn *up;          /* to the leader */
  bool up_ready;
  uint32_t up_version;
  bool leaving; /* the leader knows that we go */
  KqName leader;
  uint64_t leader_epoch;
  KqTime tried_at;
  KqBuf out; /* to the leader */
  uint64_t out_epoch;
};

static void
free_told (gpointer p)
{
  Told *t = p;
  free (t->runner);
  kq_told_free (t->runs);
  free (t);
}

static void
free_peer (KqPeer *p)
{
  kq_buf_free (&p->out);
  g_hash_table_destroy (p->told);
  free (p);
}

/* The peer is out of the list already. */
static void
end_peer (KqPeer *p, const char *why, KqTime now)
{
  KqLink *l = p->link;
  kq_log (KQ_LOG_INFO, PART, "Node disconnected. agent=%d why=%s heard_ms_ago=%lld",
          p->agent, why, (long long)((now - kq_conn_heard_at (p->conn)) / KQ_MS));
  if (p->joined)
    l->config.owner.left (l->config.owner.arg, p, false, now);
  kq_conn_free (p->conn);
  p->ended = true;
  if (!p->busy)
    free_peer (p);
}

static void
greet_peer (KqPeer *p, const KqCrewItem *i, KqTime now)
{
  KqLink *l = p->link;
  KqCrewItem answer = { .kind = KQ_CREW_WELCOME };
  answer.u.welcome.version = KQ_CREW_VERSION;
  if (i->u.hello.version > 1)
    kq_link_send_peer (p, &answer);
  p->joined = true;
  l->config.owner.joined (l->config.owner.arg, p, &i->u.hello.info, now);
}

static KqTold *
told_of (KqPeer *p, KqStr runner, uint64_t taking)
{
  char *id = kq_str_dup (runner);
  Told *t = g_hash_table_lookup (p->told, id);
  if (t == NULL || t->taking != taking)
    {
      t = kq_alloc (sizeof *t);
      t->runner = id;
      t->taking = taking;
      t->runs = kq_told_new ();
      g_hash_table_replace (p->told, t->runner, t);
    }
  else
    free (id);
  return t->runs;
}

/* The list that the changes lead to, in place of them. */
static void
take_changes (KqPeer *p, uint64_t epoch, const KqCrewItem *i, KqTime now)
{
  KqLink *l = p->link;
  KqCrewItem list = { .kind = KQ_CREW_LIST, .runner = i->runner };
  KqTold *told = told_of (p, i->runner, i->u.changes.list.taking);
  KqRunRow *rows = NULL;
  if (!kq_told_apply (told, &i->u.changes.running))
    {
      kq_log (KQ_LOG_ERROR, PART,
              "Changes don't follow the list before. error=%d agent=%d runner=%.*s "
              "serial=%llu",
              KQ_ERR_FRAME_FORMAT, p->agent, KQ_STR_ARG (i->runner),
              (unsigned long long)i->u.changes.running.serial);
      p->damaged = true;
      return;
    }
  list.u.list = i->u.changes.list;
  list.u.list.n_running = kq_told_list (told, &rows);
  list.u.list.running = rows;
  l->config.owner.from_node (l->config.owner.arg, p, epoch, &list, now);
  free (rows);
}

/* Of a later version: said once a connection. */
static void
note_unknown (KqPeer *p, int64_t kind)
{
  if (!p->unknown_told)
    kq_log (KQ_LOG_WARN, PART,
            "An item of an unknown kind is passed over. error=%d agent=%d kind=%lld",
            KQ_ERR_PEER_KIND, p->agent, (long long)kind);
  p->unknown_told = true;
}

static void
peer_item (KqPeer *p, uint64_t epoch, const KqCrewItem *i, KqTime now)
{
  KqLink *l = p->link;
  if (i->kind == KQ_CREW_BEAT)
    p->beat_sent_at = i->u.beat.sent_at;
  if (now < l->lead_until)
    p->certain_beat_at = p->beat_sent_at;
  if (i->kind == KQ_CREW_HELLO)
    greet_peer (p, i, now);
  else if (i->kind == KQ_CREW_UNKNOWN)
    note_unknown (p, i->u.unknown.kind);
  else if (!p->joined)
    return;
  else if (i->kind == KQ_CREW_CHANGES)
    take_changes (p, epoch, i, now);
  else if (i->kind == KQ_CREW_LEAVE)
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
  KqStr rest = m->u.crew.items;
  KqCrewItem i;
  KqTime now = kq_loop_now (l->config.loop);
  (void)c;
  if (m->kind != KQ_MSG_CREW)
    return;
  p->busy = true;
  while (!p->ended && !p->damaged && kq_crew_unpack (&rest, &i))
    {
      peer_item (p, m->u.crew.epoch, &i, now);
      kq_crew_clear (&i);
    }
  p->busy = false;
  if (!p->ended && (p->damaged || rest.len > 0))
    {
      kq_log (KQ_LOG_ERROR, PART, "A node's message is damaged. error=%d left=%zu",
              KQ_ERR_FRAME_FORMAT, rest.len);
      g_ptr_array_remove_fast (l->peers, p);
      end_peer (p, "damaged", now);
    }
  else if (p->ended)
    free_peer (p);
}

static void
on_peer_closed (void *arg, KqConn *c, KqResult why)
{
  KqPeer *p = arg;
  KqTime now = kq_loop_now (p->link->config.loop);
  (void)c;
  g_ptr_array_remove_fast (p->link->peers, p);
  end_peer (p, kq_result_name (why), now);
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
  if (l->lead_epoch == 0)
    {
      close (fd); /* the node tries again, at whoever leads then */
      return;
    }
  p = kq_alloc (sizeof *p);
  p->link = l;
  p->agent = -1;
  p->told = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_told);
  cb.arg = p;
  p->conn = kq_conn_accept (l->config.loop, fd, &cb);
  g_ptr_array_add (l->peers, p);
}

static void
close_up (KqLink *l, const char *why)
{
  if (l->up == NULL)
    return;
  if (l->up_ready)
    kq_log (KQ_LOG_INFO, PART, "Disconnected from the leader. epoch=%llu why=%s",
            (unsigned long long)l->leader_epoch, why);
  kq_conn_free (l->up);
  l->up = NULL;
  l->up_ready = false;
  l->up_version = 1;
  kq_buf_clear (&l->out);
}

static void
on_up (void *arg, KqConn *c)
{
  KqLink *l = arg;
  KqCrewItem i = { .kind = KQ_CREW_HELLO };
  (void)c;
  l->up_ready = true;
  kq_log (KQ_LOG_INFO, PART, "Connected to the leader. epoch=%llu",
          (unsigned long long)l->leader_epoch);
  i.u.hello.info = l->config.self;
  i.u.hello.version = KQ_CREW_VERSION;
  kq_link_send (l, l->leader_epoch, &i);
  l->config.owner.connected (l->config.owner.arg, kq_loop_now (l->config.loop));
}

static void
on_up_message (void *arg, KqConn *c, const KqMsg *m)
{
  KqLink *l = arg;
  KqStr rest = m->u.crew.items;
  KqCrewItem i;
  KqTime now = kq_loop_now (l->config.loop);
  if (m->kind != KQ_MSG_CREW)
    return;
  while (l->up == c && !l->leaving && kq_crew_unpack (&rest, &i))
    {
      if (i.kind == KQ_CREW_WELCOME)
        l->up_version = i.u.welcome.version;
      if (i.kind != KQ_CREW_UNKNOWN)
        l->config.owner.from_leader (l->config.owner.arg, m->u.crew.epoch, &i, now);
      kq_crew_clear (&i);
    }
}

static void
on_up_closed (void *arg, KqConn *c, KqResult why)
{
  KqLink *l = arg;
  (void)c;
  close_up (l, kq_result_name (why));
}

static void
open_up (KqLink *l, KqTime now)
{
  KqConnCallback cb = { l, on_up, on_up_message, on_up_closed };
  if (l->up != NULL || l->leader.len == 0 || l->lead_epoch != 0 || l->leaving)
    return;
  l->tried_at = now;
  l->up = kq_conn_open (l->config.loop, kq_name_str (&l->leader), &cb);
}

void
kq_link_leader (KqLink *l, KqStr address, uint64_t epoch, KqTime now)
{
  close_up (l, "another leader");
  l->leader = kq_name (address);
  l->leader_epoch = epoch;
  open_up (l, now);
}

void
kq_link_leave (KqLink *l)
{
  KqCrewItem i = { .kind = KQ_CREW_LEAVE };
  l->leaving = true;
  l->leader.len = 0;
  if (l->up_ready && l->up_version > 1)
    kq_link_send (l, l->leader_epoch, &i); /* the leader closes the connection */
  else
    close_up (l, "leaving");
}

bool
kq_link_up (const KqLink *l)
{
  return l->up_ready && !l->leaving;
}

static void
flush (KqConn *c, uint64_t epoch, KqBuf *out)
{
  KqMsg m = { .kind = KQ_MSG_CREW };
  if (out->len == 0)
    return;
  m.u.crew.epoch = epoch;
  m.u.crew.items = kq_buf_str (out);
  kq_conn_send (c, &m);
  kq_buf_clear (out);
}

/* A frame has a bound; a part of it is kept for what is added by one more item. */
#define FLUSH_AT (KQ_FRAME_MAX / 4)

void
kq_link_send (KqLink *l, uint64_t epoch, const KqCrewItem *i)
{
  if (!l->up_ready)
    return;
  if (epoch != l->out_epoch || l->out.len > FLUSH_AT)
    flush (l->up, l->out_epoch, &l->out);
  l->out_epoch = epoch;
  kq_crew_pack (i, &l->out);
}

void
kq_link_send_peer (KqPeer *p, const KqCrewItem *i)
{
  if (p->out.len > FLUSH_AT)
    flush (p->conn, p->link->lead_epoch, &p->out);
  kq_crew_pack (i, &p->out);
}

static void
on_before_poll (struct ev_loop *ev, ev_prepare *w, int events)
{
  KqLink *l = w->data;
  (void)ev;
  (void)events;
  if (l->up_ready)
    flush (l->up, l->out_epoch, &l->out);
  for (guint i = 0; i < l->peers->len; i++)
    {
      KqPeer *p = g_ptr_array_index (l->peers, i);
      flush (p->conn, l->lead_epoch, &p->out);
    }
}

static void
beat_up (KqLink *l, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_BEAT };
  if (l->up != NULL && now - kq_conn_heard_at (l->up) > SILENT)
    close_up (l, "silent");
  if (l->up == NULL && now - l->tried_at > RECONNECT)
    open_up (l, now);
  if (!l->up_ready)
    return;
  i.u.beat.sent_at = now;
  i.u.beat.store_age_ms = l->config.owner.store_age_ms (l->config.owner.arg, now);
  kq_link_send (l, l->leader_epoch, &i);
}

/* Nodes grant leases for a while after the beat that is answered. A leader that others
 * may have replaced answers none that came since; if it hears all nodes and none reaches
 * the store, nobody can have been elected but for nodes that have just been cut off. */
static KqTime
beat_to_answer (const KqPeer *p, KqTime now)
{
  if (now < p->link->lead_until)
    return p->beat_sent_at;
  return p->link->nodes_lost ? p->certain_beat_at : p->beat_sent_at - DOUBT;
}

static void
beat_peers (KqLink *l, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_PING };
  guint n = 0;
  i.u.ping.store_age_ms = l->config.owner.store_age_ms (l->config.owner.arg, now);
  while (n < l->peers->len)
    {
      KqPeer *p = g_ptr_array_index (l->peers, n);
      if (now - kq_conn_heard_at (p->conn) <= SILENT)
        {
          i.u.ping.beat_sent_at = beat_to_answer (p, now);
          kq_link_send_peer (p, &i);
          n++;
          continue;
        }
      g_ptr_array_steal_index_fast (l->peers, n);
      end_peer (p, "silent", now);
    }
}

static void
on_beat (struct ev_loop *ev, ev_timer *w, int events)
{
  KqLink *l = w->data;
  KqTime now = kq_loop_now (l->config.loop);
  (void)ev;
  (void)events;
  beat_up (l, now);
  beat_peers (l, now);
}

void
kq_link_lead (KqLink *l, uint64_t epoch, KqTime now)
{
  close_up (l, "we lead");
  l->lead_epoch = epoch;
  l->lead_until = 0;
  l->leader.len = 0;
  while (l->peers->len > 0)
    end_peer (g_ptr_array_steal_index_fast (l->peers, 0), "no longer this leader", now);
}

void
kq_link_lead_until (KqLink *l, KqTime until, bool nodes_lost)
{
  l->lead_until = until;
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

size_t
kq_link_peers (const KqLink *l)
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
  ev_io_init (&l->acceptable, on_acceptable, fd, EV_READ);
  ev_timer_init (&l->beat, on_beat, BEAT_S, BEAT_S);
  ev_prepare_init (&l->before_poll, on_before_poll);
  l->acceptable.data = l->beat.data = l->before_poll.data = l;
  ev_io_start (ev, &l->acceptable);
  ev_timer_start (ev, &l->beat);
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
  close_up (l, "stopping");
  for (guint i = 0; i < l->peers->len; i++)
    {
      KqPeer *p = g_ptr_array_index (l->peers, i);
      kq_conn_free (p->conn);
      free_peer (p);
    }
  g_ptr_array_free (l->peers, TRUE);
  kq_buf_free (&l->out);
  ev_io_stop (ev, &l->acceptable);
  ev_timer_stop (ev, &l->beat);
  ev_prepare_stop (ev, &l->before_poll);
  close (l->fd);
  free (l);
}

int
kq_link_port (const KqLink *l)
{
  return l->port;
}
