#ifndef KQ_WIRE_CONN_H
#define KQ_WIRE_CONN_H

/* conn: a TCP connection that carries frames (see wire/msg.h).
 *
 * A frame of length 0 is a ping: it has no content and only shows that the connection
 * still works. */

#include "base/task.h"
#include "wire/msg.h"

#include <ev.h>

typedef struct KqConn KqConn;

typedef struct
{
  void *arg;
  void (*connected) (void *arg, KqConn *c);
  /* May free the connection. `m` is valid during the call only. */
  void (*message) (void *arg, KqConn *c, const KqMsg *m);
  /* The connection failed or was closed by the peer. It must then be freed, within this
   * callback or later. */
  void (*closed) (void *arg, KqConn *c, KqResult why);
  /* Something was read, and the connection's buffers have that size now. May free the
   * connection. NULL: not wanted. */
  void (*buffered) (void *arg, KqConn *c, size_t bytes);
} KqConnCallback;

/* Starts connecting to "ip:port"; NULL if the address is invalid, the socket can't be
 * created or connecting fails at once. */
KqConn *kq_conn_open (KqLoop *loop, KqStr address, const KqConnCallback *cb);
/* Takes over an accepted socket. */
KqConn *kq_conn_accept (KqLoop *loop, int fd, const KqConnCallback *cb);
void kq_conn_free (KqConn *c);
/* Sends what is buffered, and drops what still arrives; no callback is called any more.
 * Freed at once, a connection may be reset, and what was sent last be lost. */
void kq_conn_finish (KqConn *c);
void kq_conn_send (KqConn *c, const KqMsg *m);
void kq_conn_ping (KqConn *c);
KqTime kq_conn_heard_at (const KqConn *c); /* when bytes last arrived */
KqTime kq_conn_sent_at (const KqConn *c);  /* last kq_conn_send or kq_conn_ping */
/* `buffered` isn't called any more. */
void kq_conn_ignore_buffered (KqConn *c);
void kq_conn_set_data (KqConn *c, void *data);
void *kq_conn_data (const KqConn *c);
uint64_t kq_conn_bytes_in (const KqConn *c);
uint64_t kq_conn_bytes_out (const KqConn *c);

#endif
