#ifndef KQ_FLEET_LINK_IMPL_H
#define KQ_FLEET_LINK_IMPL_H

/* link_impl: what link.c, a node's connection to its leader, and link_peers.c, a leader's
 * connections to the other nodes, share. Only they include it. */

#include "fleet/link.h"
#include "wire/conn.h"

#include <ev.h>
#include <glib.h>

/* A connection that has been silent for this long is closed. Several heartbeats may be
 * late: hosts are slow at times, and links between regions queue. */
#define KQ_LINK_PEER_TIMEOUT (1400 * KQ_MS)
/* Items collected for a connection are sent early at this size in bytes, so that one more
 * item cannot exceed the maximum size of a frame. */
#define KQ_LINK_FLUSH_AT (KQ_FRAME_MAX / 4)

struct KqLink
{
  KqLinkConfig config;
  int port;
  int fd;
  ev_io listen_watcher;
  ev_timer heartbeat_timer;
  ev_prepare before_poll;
  GPtrArray *peers;
  KqConn *announcing; /* to the last leader; NULL: none */
  KqTime announced_at;
  GQueue ending; /* EndingConn (link_peers.c), of closed peers whose last item is on its
                    way; the first is the oldest */
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

/* Sends the collected items as one message, and clears *out. */
void kq_link_flush (KqConn *c, uint64_t epoch, KqBuf *out);

/* link_peers.c */
void kq_link_peers_init (KqLink *l);
void kq_link_peers_free (KqLink *l);
/* Accepts a connection; for the watcher of the listening socket. */
void kq_link_peers_accept (struct ev_loop *ev, ev_io *w, int events);
void kq_link_peers_flush (KqLink *l);
/* Pings all peers, and closes those that have been silent for too long. */
void kq_link_peers_ping (KqLink *l, KqTime now);
/* Closes all connections: this node doesn't lead any more, or in another epoch. */
void kq_link_peers_close (KqLink *l, KqTime now);

#endif
