#include "wire/conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_MAX_BYTES (64 * 1024)
/* Reads per event, so that one busy peer doesn't delay the others. */
#define READS_PER_EVENT 8

struct KqConn
{
  KqLoop *loop;
  KqConnCallback cb;
  int fd;
  bool connecting;
  bool in_event; /* handling an event: destroyed only when that is done */
  bool freed;    /* kq_conn_free was called */
  ev_io readable;
  ev_io writable;
  KqBuf in;
  KqBuf out;
  size_t written; /* bytes of `out` that were sent */
  KqTime heard_at;
  KqTime sent_at;
  uint64_t bytes_in;
  uint64_t bytes_out;
  void *data;
};

static void
destroy (KqConn *c)
{
  struct ev_loop *ev = kq_loop_ev (c->loop);
  ev_io_stop (ev, &c->readable);
  ev_io_stop (ev, &c->writable);
  close (c->fd);
  kq_buf_free (&c->in);
  kq_buf_free (&c->out);
  free (c);
}

void
kq_conn_free (KqConn *c)
{
  if (c == NULL)
    return;
  c->freed = true;
  if (!c->in_event)
    destroy (c);
}

static void
fail (KqConn *c, KqResult why)
{
  struct ev_loop *ev = kq_loop_ev (c->loop);
  ev_io_stop (ev, &c->readable);
  ev_io_stop (ev, &c->writable);
  c->cb.closed (c->cb.arg, c, why);
}

/* Reads the frame length at offset `at`; false if fewer than 4 bytes are there. */
static bool
frame_length (const KqBuf *in, size_t at, uint32_t *n)
{
  const unsigned char *p = (const unsigned char *)in->ptr + at;
  if (in->len - at < 4)
    return false;
  *n = (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 | p[3];
  return true;
}

/* Passes the message of each complete frame to the callback. Returns KQ_OK, or why the
 * connection must be closed. */
static KqResult
deliver_frames (KqConn *c)
{
  size_t at = 0;
  uint32_t n;
  KqResult r = KQ_OK;
  while (r == KQ_OK && !c->freed && frame_length (&c->in, at, &n))
    {
      KqMsg m;
      if (n > KQ_FRAME_MAX)
        r = KQ_ERR_FRAME_SIZE;
      else if (c->in.len - at < 4 + (size_t)n)
        break;
      else if (n > 0)
        {
          r = kq_msg_unpack (kq_str_n (c->in.ptr + at + 4, n), &m);
          if (r == KQ_OK)
            {
              c->cb.message (c->cb.arg, c, &m);
              kq_msg_clear (&m);
            }
        }
      at += 4 + (size_t)n;
    }
  if (r == KQ_OK)
    kq_buf_drop (&c->in, at);
  return r;
}

/* Reads what is available, with READS_PER_EVENT reads at most. Returns KQ_OK, or
 * KQ_ERR_PEER_LOST if the connection failed or was closed. */
static KqResult
read_available (KqConn *c)
{
  for (int i = 0; i < READS_PER_EVENT; i++)
    {
      ssize_t n;
      kq_buf_reserve (&c->in, READ_MAX_BYTES);
      n = read (c->fd, c->in.ptr + c->in.len, READ_MAX_BYTES);
      if (n == 0)
        return KQ_ERR_PEER_LOST;
      if (n < 0)
        return errno == EAGAIN || errno == EINTR ? KQ_OK : KQ_ERR_PEER_LOST;
      c->in.len += (size_t)n;
      c->bytes_in += (uint64_t)n;
      c->heard_at = kq_time_now ();
      if (n < READ_MAX_BYTES)
        break;
    }
  return KQ_OK;
}

static void
on_readable (struct ev_loop *ev, ev_io *w, int events)
{
  KqConn *c = w->data;
  KqResult read_result;
  KqResult frame_result;
  (void)ev;
  (void)events;
  c->in_event = true;
  read_result = read_available (c);
  frame_result = deliver_frames (c);
  if (!c->freed && frame_result != KQ_OK)
    fail (c, frame_result);
  else if (!c->freed && read_result != KQ_OK)
    fail (c, read_result);
  else if (!c->freed && c->cb.buffered != NULL)
    c->cb.buffered (c->cb.arg, c, c->in.capacity + c->out.capacity);
  c->in_event = false;
  if (c->freed)
    destroy (c);
}

static void
flush (KqConn *c)
{
  struct ev_loop *ev = kq_loop_ev (c->loop);
  while (c->written < c->out.len)
    {
      ssize_t n
          = send (c->fd, c->out.ptr + c->written, c->out.len - c->written, MSG_NOSIGNAL);
      if (n < 0)
        break; /* EAGAIN, or an error that the next read reports as well */
      c->written += (size_t)n;
      c->bytes_out += (uint64_t)n;
    }
  if (c->written == c->out.len)
    {
      kq_buf_clear (&c->out);
      c->written = 0;
      ev_io_stop (ev, &c->writable);
      return;
    }
  if (c->written > c->out.len / 2)
    {
      kq_buf_drop (&c->out, c->written);
      c->written = 0;
    }
  ev_io_start (ev, &c->writable);
}

static void
ignore_message (void *arg, KqConn *c, const KqMsg *m)
{
  (void)arg;
  (void)c;
  (void)m;
}

static void
ignore_closed (void *arg, KqConn *c, KqResult why)
{
  (void)arg;
  (void)c;
  (void)why;
}

void
kq_conn_finish (KqConn *c)
{
  c->cb = (KqConnCallback){ .message = ignore_message, .closed = ignore_closed };
  if (!c->connecting)
    flush (c);
}

static void
finish_connect (KqConn *c)
{
  int error = 0;
  socklen_t len = sizeof error;
  getsockopt (c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error != 0)
    {
      fail (c, KQ_ERR_PEER_LOST);
      return;
    }
  c->connecting = false;
  c->heard_at = kq_time_now ();
  ev_io_start (kq_loop_ev (c->loop), &c->readable);
  c->cb.connected (c->cb.arg, c);
}

static void
on_writable (struct ev_loop *ev, ev_io *w, int events)
{
  KqConn *c = w->data;
  (void)ev;
  (void)events;
  c->in_event = true;
  if (c->connecting)
    finish_connect (c);
  if (!c->freed && !c->connecting)
    flush (c);
  c->in_event = false;
  if (c->freed)
    destroy (c);
}

static KqConn *
new_conn (KqLoop *loop, int fd, const KqConnCallback *cb)
{
  KqConn *c = kq_alloc (sizeof *c);
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->loop = loop;
  c->fd = fd;
  c->cb = *cb;
  c->heard_at = c->sent_at = kq_time_now ();
  ev_io_init (&c->readable, on_readable, fd, EV_READ);
  ev_io_init (&c->writable, on_writable, fd, EV_WRITE);
  c->readable.data = c->writable.data = c;
  return c;
}

static bool
parse_address (KqStr address, struct sockaddr_in *sa)
{
  char ip[INET_ADDRSTRLEN];
  KqStr port = address;
  KqStr host = kq_str_cut (&port, ':');
  int64_t n;
  if (!kq_str_copy (host, ip, sizeof ip) || !kq_str_to_i64 (port, &n) || n < 1
      || n > 65535)
    return false;
  *sa = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t)n) };
  return inet_pton (AF_INET, ip, &sa->sin_addr) == 1;
}

KqConn *
kq_conn_open (KqLoop *loop, KqStr address, const KqConnCallback *cb)
{
  struct sockaddr_in sa;
  KqConn *c;
  int fd;
  if (!parse_address (address, &sa))
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  c = new_conn (loop, fd, cb);
  c->connecting = true;
  ev_io_start (kq_loop_ev (loop), &c->writable);
  return c;
}

KqConn *
kq_conn_accept (KqLoop *loop, int fd, const KqConnCallback *cb)
{
  KqConn *c;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  c = new_conn (loop, fd, cb);
  ev_io_start (kq_loop_ev (loop), &c->readable);
  return c;
}

void
kq_conn_send (KqConn *c, const KqMsg *m)
{
  kq_msg_pack (m, &c->out);
  c->sent_at = kq_time_now ();
  if (!c->connecting)
    ev_io_start (kq_loop_ev (c->loop), &c->writable);
}

void
kq_conn_ping (KqConn *c)
{
  kq_buf_add (&c->out, "\0\0\0\0", 4);
  c->sent_at = kq_time_now ();
  if (!c->connecting)
    ev_io_start (kq_loop_ev (c->loop), &c->writable);
}

void
kq_conn_ignore_buffered (KqConn *c)
{
  c->cb.buffered = NULL;
}

KqTime
kq_conn_heard_at (const KqConn *c)
{
  return c->heard_at;
}

KqTime
kq_conn_sent_at (const KqConn *c)
{
  return c->sent_at;
}

void
kq_conn_set_data (KqConn *c, void *data)
{
  c->data = data;
}

void *
kq_conn_data (const KqConn *c)
{
  return c->data;
}

uint64_t
kq_conn_bytes_in (const KqConn *c)
{
  return c->bytes_in;
}

uint64_t
kq_conn_bytes_out (const KqConn *c)
{
  return c->bytes_out;
}
