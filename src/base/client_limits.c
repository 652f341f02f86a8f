#include "base/client_limits.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

#define PART "clients"
#define MEMORY_PARTS 6
#define WORK_PARTS (2 * MEMORY_PARTS)
/* Of the descriptors, so many are kept for files. The others are sockets, of which
 * clients may have one half. */
#define FILES_FDS 200
#define FDS_PARTS 2
/* The part of the memory that connections may hold which wait to be accepted at one port.
 */
#define BACKLOG_PARTS 32
#define BACKLOG_MIN 64
#define BACKLOG_MAX 1024
#define LOG_PERIOD KQ_SEC

struct KqClientLimits
{
  KqClientConn *first;
  size_t n;     /* entries that aren't closing */
  size_t bytes; /* of those */
  size_t bytes_max;
  size_t n_max;
  size_t work; /* bytes held by requests that are being handled */
  size_t work_max;
  KqTime logged_at;
  KqTime refusal_logged_at;
  KqTime request_time;
  uint64_t *closed_memory;
  uint64_t *closed_descriptors;
  uint64_t *closed_time;
  uint64_t *refused;
  uint64_t *connections;
  uint64_t *held;
};

static uint64_t *
closed_counter (KqCounters *counters, const char *limit)
{
  char labels[40];
  snprintf (labels, sizeof labels, "limit=\"%s\"", limit);
  return kq_counter (counters, "kq_clients_closed_total", labels,
                     "Connections of clients that were closed by a limit.");
}

KqClientLimits *
kq_client_limits_new (const KqClientLimitsConfig *c, KqCounters *counters)
{
  KqClientLimits *l = kq_alloc (sizeof *l);
  l->bytes_max = (size_t)c->memory_mb * 1024 * 1024 / MEMORY_PARTS;
  l->work_max = (size_t)c->memory_mb * 1024 * 1024 / WORK_PARTS;
  l->n_max = (size_t)(c->max_fds - FILES_FDS) / FDS_PARTS;
  l->request_time = c->request_ms * KQ_MS;
  l->closed_memory = closed_counter (counters, "memory");
  l->closed_descriptors = closed_counter (counters, "descriptors");
  l->closed_time = closed_counter (counters, "time");
  l->refused = kq_counter (counters, "kq_clients_refused_total", "",
                           "Requests refused as too many were being handled.");
  l->connections
      = kq_counter (counters, "kq_clients_open", "", "Connections of clients.");
  l->held = kq_counter (counters, "kq_clients_held_bytes", "",
                        "Memory held for connections of clients.");
  return l;
}

void
kq_client_limits_free (KqClientLimits *l)
{
  free (l);
}

static void
update_gauges (KqClientLimits *l)
{
  *l->connections = l->n;
  *l->held = l->bytes;
}

/* Takes the entry out of the sums. */
static void
discount (KqClientLimits *l, KqClientConn *c)
{
  c->closing = true;
  l->n--;
  l->bytes -= c->bytes;
  update_gauges (l);
}

static const char *
phase_name (KqClientPhase p)
{
  static const char *const names[] = { "idle", "receiving", "handled", "sending" };
  return names[p];
}

static void
close_conn (KqClientLimits *l, KqClientConn *c, const char *limit, uint64_t *counter,
            KqTime now)
{
  discount (l, c);
  ++*counter;
  if (l->logged_at == 0 || now - l->logged_at >= LOG_PERIOD)
    {
      l->logged_at = now;
      kq_log (KQ_LOG_WARN, PART,
              "Closing a client's connection. limit=%s phase=%s bytes=%zu since_ms=%lld "
              "open=%zu held=%zu closed=%llu",
              limit, phase_name (c->phase), c->bytes,
              (long long)((now - c->since) / KQ_MS), l->n, l->bytes,
              (unsigned long long)*counter);
    }
  c->close (c->arg);
}

/* Memory times the time for which it has been held. */
static double
cost_of (const KqClientConn *c, KqTime now)
{
  return (double)c->bytes * (double)(now - c->since + KQ_MS);
}

static KqClientConn *
find_costliest (const KqClientLimits *l, KqTime now)
{
  KqClientConn *worst = NULL;
  for (KqClientConn *c = l->first; c != NULL; c = c->next)
    if (!c->closing && c->phase != KQ_CLIENT_HANDLED
        && (worst == NULL || cost_of (c, now) > cost_of (worst, now)))
      worst = c;
  return worst;
}

static void
enforce (KqClientLimits *l, KqTime now)
{
  while (l->n > l->n_max || l->bytes + l->work > l->bytes_max)
    {
      KqClientConn *c = find_costliest (l, now);
      if (c == NULL)
        break;
      if (l->n > l->n_max)
        close_conn (l, c, "descriptors", l->closed_descriptors, now);
      else
        close_conn (l, c, "memory", l->closed_memory, now);
    }
}

void
kq_client_limits_add (KqClientLimits *l, KqClientConn *c, size_t bytes, KqTime now)
{
  kq_client_limits_enter (l, c, KQ_CLIENT_IDLE, now);
  c->bytes = bytes;
  c->closing = false;
  c->prev = NULL;
  c->next = l->first;
  if (l->first != NULL)
    l->first->prev = c;
  l->first = c;
  l->n++;
  l->bytes += bytes;
  update_gauges (l);
  enforce (l, now);
}

void
kq_client_limits_remove (KqClientLimits *l, KqClientConn *c)
{
  if (!c->closing)
    discount (l, c);
  if (c->prev != NULL)
    c->prev->next = c->next;
  else
    l->first = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
}

void
kq_client_limits_hold (KqClientLimits *l, KqClientConn *c, size_t bytes, KqTime now)
{
  if (!c->closing)
    l->bytes = l->bytes - c->bytes + bytes;
  c->bytes = bytes;
  update_gauges (l);
  enforce (l, now);
}

void
kq_client_limits_enter (KqClientLimits *l, KqClientConn *c, KqClientPhase phase,
                        KqTime now)
{
  (void)l;
  c->phase = phase;
  c->since = now;
  c->moved = 0;
  c->paused_at = 0;
}

void
kq_client_limits_moved (KqClientConn *c, size_t bytes)
{
  c->moved += bytes;
}

void
kq_client_limits_pause (KqClientConn *c, KqTime now)
{
  if (c->paused_at == 0)
    c->paused_at = now;
}

void
kq_client_limits_resume (KqClientConn *c, KqTime now)
{
  if (c->paused_at != 0)
    c->since += now - c->paused_at;
  c->paused_at = 0;
}

static bool
is_late (const KqClientLimits *l, const KqClientConn *c, KqTime now)
{
  KqTime allowed = l->request_time + (KqTime)(c->moved * KQ_SEC / KQ_CLIENT_BYTES_PER_S);
  return !c->closing && c->phase != KQ_CLIENT_HANDLED && c->paused_at == 0
         && now - c->since > allowed;
}

void
kq_client_limits_expire (KqClientLimits *l, KqTime now)
{
  KqClientConn *next;
  for (KqClientConn *c = l->first; c != NULL; c = next)
    {
      next = c->next;
      if (is_late (l, c, now))
        close_conn (l, c, "time", l->closed_time, now);
    }
}

bool
kq_client_limits_begin_work (KqClientLimits *l, size_t bytes, KqTime now)
{
  if (l == NULL)
    return true;
  if (l->work + bytes <= l->work_max)
    {
      l->work += bytes;
      enforce (l, now);
      return true;
    }
  ++*l->refused;
  if (l->refusal_logged_at == 0 || now - l->refusal_logged_at >= LOG_PERIOD)
    {
      l->refusal_logged_at = now;
      kq_log (KQ_LOG_WARN, PART,
              "Refusing a request: too much is being handled. bytes=%zu handled=%zu "
              "refused=%llu",
              bytes, l->work, (unsigned long long)*l->refused);
    }
  return false;
}

void
kq_client_limits_end_work (KqClientLimits *l, size_t bytes)
{
  if (l != NULL)
    l->work -= bytes;
}

int
kq_client_limits_backlog (const KqClientLimits *l, size_t received)
{
  size_t n = l->bytes_max * MEMORY_PARTS / BACKLOG_PARTS / received;
  return n < BACKLOG_MIN ? BACKLOG_MIN : n > BACKLOG_MAX ? BACKLOG_MAX : (int)n;
}

size_t
kq_client_limits_count (const KqClientLimits *l)
{
  return l->n;
}

size_t
kq_client_limits_bytes (const KqClientLimits *l)
{
  return l->bytes;
}
