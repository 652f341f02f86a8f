/* standin-relay: a TCP relay to a target that stalls, delays or refuses connections as
 * set on its control port (docs/PLATFORM.md, "Stand-ins"). */

#include "web.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES (64 * 1024)

typedef struct Relay Relay;
typedef struct Link Link;

/* One direction of a link: bytes are read from one socket, held for the delay and written
 * to the other. */
typedef struct
{
  Link *link;
  int from;
  int to;
  ev_io readable;
  ev_io writable;
  ev_timer delay_timer;
  char bytes[BUFFER_BYTES];
  size_t len;
  size_t written; /* of len */
  bool stalled;
  uint64_t *byte_count; /* bytes read, over all links */
} Pipe;

/* A connection that is relayed. */
struct Link
{
  Link *next;
  Relay *relay;
  Pipe up; /* to the target */
  Pipe down;
};

struct Relay
{
  KqLoop *loop;
  struct sockaddr_in target;
  int fd;
  ev_io accept;
  Link *links;
  uint64_t accepted;
  uint64_t bytes_up;
  uint64_t bytes_down;
  bool stall_new; /* also connections made from now on */
  bool stall_up;
  bool stall_down;
  bool refuse;
  int64_t delay_ms;
  int64_t connect_delay_ms; /* between accept and connect to the target */
};

/* A connection that was accepted and isn't connected to the target yet. */
typedef struct
{
  Relay *relay;
  int fd;
  ev_timer delay_timer;
} PendingConnect;

static void
stop_pipe (struct ev_loop *ev, Pipe *p)
{
  ev_io_stop (ev, &p->readable);
  ev_io_stop (ev, &p->writable);
  ev_timer_stop (ev, &p->delay_timer);
}

static void
close_link (Link *l)
{
  struct ev_loop *ev = kq_loop_ev (l->relay->loop);
  Link **at = &l->relay->links;
  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
  stop_pipe (ev, &l->up);
  stop_pipe (ev, &l->down);
  close (l->up.from);
  close (l->up.to);
  free (l);
}

static void
on_readable (struct ev_loop *ev, ev_io *w, int events)
{
  Pipe *p = w->data;
  ssize_t n = recv (p->from, p->bytes, sizeof p->bytes, MSG_DONTWAIT);
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      close_link (p->link);
      return;
    }
  p->len = (size_t)n;
  p->written = 0;
  *p->byte_count += (uint64_t)n;
  ev_io_stop (ev, &p->readable);
  ev_timer_set (&p->delay_timer, (double)p->link->relay->delay_ms / 1000.0, 0);
  ev_timer_start (ev, &p->delay_timer);
}

static void
on_delay_over (struct ev_loop *ev, ev_timer *w, int events)
{
  Pipe *p = w->data;
  (void)events;
  if (!p->stalled)
    ev_io_start (ev, &p->writable);
}

static void
on_writable (struct ev_loop *ev, ev_io *w, int events)
{
  Pipe *p = w->data;
  ssize_t n = send (p->to, p->bytes + p->written, p->len - p->written, MSG_DONTWAIT);
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      close_link (p->link);
      return;
    }
  p->written += (size_t)n;
  if (p->written < p->len)
    return;
  ev_io_stop (ev, &p->writable);
  ev_io_start (ev, &p->readable);
}

static void
start_pipe (Pipe *p, Link *l, int from, int to, uint64_t *byte_count)
{
  int one = 1;
  p->link = l;
  p->from = from;
  p->to = to;
  p->byte_count = byte_count;
  setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  fcntl (to, F_SETFL, O_NONBLOCK);
  ev_io_init (&p->readable, on_readable, from, EV_READ);
  ev_io_init (&p->writable, on_writable, to, EV_WRITE);
  ev_timer_init (&p->delay_timer, on_delay_over, 0, 0);
  p->readable.data = p->writable.data = p->delay_timer.data = p;
}

static void
connect_target (Relay *r, int fd)
{
  struct ev_loop *ev = kq_loop_ev (r->loop);
  int to = r->refuse ? -1 : socket (AF_INET, SOCK_STREAM, 0);
  Link *l;
  if (to < 0 || connect (to, (struct sockaddr *)&r->target, sizeof r->target) != 0)
    {
      close (fd);
      if (to >= 0)
        close (to);
      return;
    }
  r->accepted++;
  l = kq_alloc (sizeof *l);
  l->relay = r;
  l->next = r->links;
  r->links = l;
  start_pipe (&l->up, l, fd, to, &r->bytes_up);
  start_pipe (&l->down, l, to, fd, &r->bytes_down);
  l->up.stalled = r->stall_new && r->stall_up;
  l->down.stalled = r->stall_new && r->stall_down;
  ev_io_start (ev, &l->up.readable);
  ev_io_start (ev, &l->down.readable);
}

static void
on_connect_delay_over (struct ev_loop *ev, ev_timer *t, int events)
{
  PendingConnect *w = t->data;
  (void)ev;
  (void)events;
  connect_target (w->relay, w->fd);
  free (w);
}

static void
on_accept (struct ev_loop *ev, ev_io *io, int events)
{
  Relay *r = io->data;
  int fd = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK);
  PendingConnect *w;
  (void)events;
  if (fd < 0)
    return;
  if (r->connect_delay_ms == 0)
    {
      connect_target (r, fd);
      return;
    }
  w = kq_alloc (sizeof *w);
  w->relay = r;
  w->fd = fd;
  ev_timer_init (&w->delay_timer, on_connect_delay_over,
                 (double)r->connect_delay_ms / 1000.0, 0);
  w->delay_timer.data = w;
  ev_timer_start (ev, &w->delay_timer);
}

/* A stalled link stays stalled in every later mode, like a connection whose state a
 * middlebox (NAT, firewall) has dropped. */
static void
stall_open_links (Relay *r)
{
  for (Link *l = r->links; l != NULL; l = l->next)
    {
      l->up.stalled = l->up.stalled || r->stall_up;
      l->down.stalled = l->down.stalled || r->stall_down;
    }
}

static void
set_mode (Relay *r, const json_t *j)
{
  const char *stall = json_string_value (json_object_get (j, "stall"));
  const char *direction = json_string_value (json_object_get (j, "direction"));
  r->stall_new = g_strcmp0 (stall, "all") == 0;
  r->stall_up = g_strcmp0 (direction, "down") != 0;
  r->stall_down = g_strcmp0 (direction, "up") != 0;
  r->refuse = json_is_true (json_object_get (j, "refuse"));
  r->delay_ms = json_integer_value (json_object_get (j, "delay_ms"));
  r->connect_delay_ms = json_integer_value (json_object_get (j, "connect_ms"));
  if (r->stall_new || g_strcmp0 (stall, "open") == 0)
    stall_open_links (r);
}

static void
on_control (void *arg, KqWebCall *c)
{
  Relay *r = arg;
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  int open = 0;
  if (j != NULL)
    set_mode (r, j);
  json_decref (j);
  for (const Link *l = r->links; l != NULL; l = l->next)
    open++;
  kq_web_reply_json (c, 200,
                     json_pack ("{s:i,s:I,s:I,s:I}", "open", open, "accepted",
                                (json_int_t)r->accepted, "bytes_up",
                                (json_int_t)r->bytes_up, "bytes_down",
                                (json_int_t)r->bytes_down));
}

static bool
listen_on (Relay *r, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  socklen_t n = sizeof a;
  int one = 1;
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  r->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt (r->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (r->fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (r->fd, 512) != 0)
    return false;
  getsockname (r->fd, (struct sockaddr *)&a, &n);
  printf ("listening %d\n", ntohs (a.sin_port));
  ev_io_init (&r->accept, on_accept, r->fd, EV_READ);
  r->accept.data = r;
  ev_io_start (kq_loop_ev (r->loop), &r->accept);
  return true;
}

static bool
read_target (Relay *r, const char *text)
{
  KqStr rest = kq_str (text);
  KqStr ip = kq_str_cut (&rest, ':');
  char *s = kq_str_dup (ip);
  int64_t port = 0;
  bool ok = inet_pton (AF_INET, s, &r->target.sin_addr) == 1
            && kq_str_to_i64 (rest, &port) && port > 0 && port < 65536;
  free (s);
  r->target.sin_family = AF_INET;
  r->target.sin_port = htons ((uint16_t)port);
  return ok;
}

int
main (int argc, char **argv)
{
  Relay r = { 0 };
  KqWebApp app = { .arg = &r, .handle = on_control };
  int port = 0;
  int control = 0;
  char *target = NULL;
  const GOptionEntry options[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &port, "Port to listen on; 0: the kernel's", "N" },
    { "control-port", 0, 0, G_OPTION_ARG_INT, &control, "Port for commands", "N" },
    { "target", 0, 0, G_OPTION_ARG_STRING, &target, "Where bytes go", "IP:PORT" },
    { 0 },
  };
  kq_web_options ("- a TCP relay with faults, for tests", options, argc, argv);
  r.loop = kq_loop_new ();
  if (target == NULL || !read_target (&r, target) || !listen_on (&r, port))
    {
      fputs ("standin-relay: Cannot start; see --help.\n", stderr);
      return 2;
    }
  kq_web_new (r.loop, control, "control", &app);
  kq_loop_run (r.loop);
  return 0;
}
