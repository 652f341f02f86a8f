#include "crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_LIMIT (1 * KQ_SEC)
#define SAMPLE_PERIOD (20 * KQ_MS)
#define ROUND_US 2000
#define BLOCK 65536
#define ID_LEN 16
#define TCP_LISTEN_STATE 0x0a

typedef struct
{
  int fd; /* -1: closed */
  char id[ID_LEN + 1];
  size_t sent;
  KqTime sent_at;
} Client;

struct Crowd
{
  CrowdPlan plan;
  Client *clients;
  int reopened;
  int opened;
  char *block; /* the fill, repeated */
  size_t block_len;
};

static long
read_rss_kb (pid_t pid)
{
  char path[64];
  char line[256];
  long kb = -1;
  FILE *f;
  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  f = fopen (path, "r");
  while (f != NULL && fgets (line, sizeof line, f) != NULL)
    if (strncmp (line, "VmRSS:", 6) == 0)
      kb = strtol (line + 6, NULL, 10);
  if (f != NULL)
    fclose (f);
  return kb;
}

static int
count_fds (pid_t pid)
{
  char path[64];
  DIR *d;
  int n = 0;
  snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  d = opendir (path);
  while (d != NULL && readdir (d) != NULL)
    n++;
  if (d != NULL)
    closedir (d);
  return n > 2 ? n - 2 : 0; /* "." and ".." */
}

/* Bytes in the receive queues of all connections to the ports. */
static long
read_unread_kb (const int *ports, int n)
{
  char line[512];
  long bytes = 0;
  FILE *f = fopen ("/proc/net/tcp", "r");
  while (f != NULL && fgets (line, sizeof line, f) != NULL)
    {
      unsigned port;
      unsigned state;
      unsigned long unread;
      if (sscanf (line, " %*d: %*x:%x %*x:%*x %x %*x:%lx", &port, &state, &unread) != 3
          || state == TCP_LISTEN_STATE)
        continue;
      for (int i = 0; i < n; i++)
        if (ports[i] != 0 && (unsigned)ports[i] == port)
          bytes += (long)unread;
    }
  if (f != NULL)
    fclose (f);
  return bytes / 1024;
}

void
crowd_sample (CrowdUse *use)
{
  long rss = read_rss_kb (use->pid);
  long kb;
  int fds;
  if (rss < 0 || kill (use->pid, 0) != 0)
    {
      use->ended = true;
      return;
    }
  kb = rss + read_unread_kb (use->ports, sizeof use->ports / sizeof use->ports[0]);
  fds = count_fds (use->pid);
  use->memory_kb = kb > use->memory_kb ? kb : use->memory_kb;
  use->fds = fds > use->fds ? fds : use->fds;
}

static int
connect_client (const CrowdPlan *p)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)p->port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (p->receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &p->receive_buffer, sizeof p->receive_buffer);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0 || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

static void
open_client (Crowd *c, Client *k)
{
  *k = (Client){ .fd = connect_client (&c->plan) };
  snprintf (k->id, sizeof k->id, "%016x", (unsigned)++c->opened);
}

Crowd *
crowd_open (const CrowdPlan *plan)
{
  Crowd *c = kq_alloc (sizeof *c);
  c->plan = *plan;
  c->clients = kq_alloc ((size_t)plan->clients * sizeof *c->clients);
  if (plan->fill.len > 0)
    {
      size_t copies = BLOCK / plan->fill.len + 1;
      c->block = kq_alloc (copies * plan->fill.len);
      for (size_t i = 0; i < copies; i++)
        memcpy (c->block + i * plan->fill.len, plan->fill.ptr, plan->fill.len);
      c->block_len = copies * plan->fill.len;
    }
  for (int i = 0; i < plan->clients; i++)
    open_client (c, &c->clients[i]);
  return c;
}

static void
close_client (Client *k)
{
  close (k->fd);
  k->fd = -1;
}

/* Returns whether something was read or the connection has ended. */
static bool
read_client (const Crowd *c, Client *k)
{
  char block[4096];
  ssize_t n = recv (k->fd, block, sizeof block, c->plan.reads ? 0 : MSG_PEEK);
  if (n > 0)
    return c->plan.reads;
  if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
    return false;
  close_client (k);
  return true;
}

/* The bytes that a client sends next. */
static KqStr
next_bytes (const Crowd *c, const Client *k)
{
  const CrowdPlan *p = &c->plan;
  size_t at;
  if (k->sent < p->id_at)
    return kq_str_n (p->head.ptr + k->sent, p->id_at - k->sent);
  if (p->id_at > 0 && k->sent < p->id_at + ID_LEN)
    return kq_str_n (k->id + k->sent - p->id_at, p->id_at + ID_LEN - k->sent);
  if (k->sent < p->head.len)
    return kq_str_n (p->head.ptr + k->sent, p->head.len - k->sent);
  at = (k->sent - p->head.len) % c->block_len;
  return kq_str_n (c->block + at, c->block_len - at);
}

/* Returns whether something was sent. */
static bool
send_client (const Crowd *c, Client *k, KqTime now)
{
  const CrowdPlan *p = &c->plan;
  size_t left = p->total - k->sent;
  KqStr next;
  ssize_t done;
  if (left == 0 || (k->sent > 0 && now - k->sent_at < p->pause))
    return false;
  next = next_bytes (c, k);
  next.len = next.len < left ? next.len : left;
  next.len = p->piece > 0 && next.len > p->piece ? p->piece : next.len;
  done = send (k->fd, next.ptr, next.len, MSG_NOSIGNAL);
  if (done <= 0)
    {
      if (done < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
        close_client (k);
      return false;
    }
  k->sent += (size_t)done;
  k->sent_at = now;
  return true;
}

/* One round over all clients. Returns whether one of them made progress or has bytes
 * left that wait for its pause. */
static bool
run_round (Crowd *c, KqTime now)
{
  bool progress = false;
  for (int i = 0; i < c->plan.clients; i++)
    {
      Client *k = &c->clients[i];
      if (k->fd < 0 && c->reopened < c->plan.reopens)
        {
          open_client (c, k);
          c->reopened++;
          progress = true;
        }
      if (k->fd >= 0 && read_client (c, k))
        progress = true;
      if (k->fd >= 0 && send_client (c, k, now))
        progress = true;
      if (k->fd >= 0 && c->plan.leaves && k->sent == c->plan.total)
        close_client (k);
      if (k->fd >= 0 && c->plan.pause > 0 && k->sent < c->plan.total)
        progress = true;
    }
  return progress;
}

static bool
run (Crowd *c, CrowdUse *use, KqTime limit, bool until_closed)
{
  KqTime begun = kq_time_now ();
  KqTime progress_at = begun;
  KqTime sampled_at = 0;
  for (KqTime now = begun; now - begun < limit && !use->ended; now = kq_time_now ())
    {
      if (run_round (c, now))
        progress_at = now;
      if (now - sampled_at >= SAMPLE_PERIOD)
        {
          crowd_sample (use);
          sampled_at = now;
        }
      if (until_closed && crowd_n_open (c) == 0)
        return true;
      if (!until_closed && now - progress_at >= IDLE_LIMIT)
        return true;
      usleep (ROUND_US);
    }
  return false;
}

void
crowd_send (Crowd *c, CrowdUse *use, KqTime limit)
{
  run (c, use, limit, false);
}

bool
crowd_wait_closed (Crowd *c, CrowdUse *use, KqTime limit)
{
  return run (c, use, limit, true);
}

int
crowd_n_open (const Crowd *c)
{
  int n = 0;
  for (int i = 0; i < c->plan.clients; i++)
    n += c->clients[i].fd >= 0;
  return n;
}

void
crowd_close (Crowd *c)
{
  for (int i = 0; i < c->plan.clients; i++)
    if (c->clients[i].fd >= 0)
      close (c->clients[i].fd);
  free (c->clients);
  free (c->block);
  free (c);
}
