#include "base/log.h"

#include "base/time.h"

#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 2048

static const char *const level_names[] = { "error", "warn", "info", "debug" };
static KqLogLevel threshold = KQ_LOG_INFO;

/* Buffer for standard output. While its reader doesn't read, the buffer fills up and
 * further lines are dropped; the program never blocks. */
#define BUFFER_MAX_BYTES (256 * 1024)
/* A pipe that poll reports as writable accepts this much without blocking (PIPE_BUF,
 * which POSIX writes atomically). */
#define WRITE_MAX_BYTES 4096
/* Bytes of collected lines at which they are written without a call of kq_log_flush. */
#define FLUSH_AT_BYTES 3500

typedef struct
{
  bool enabled;
  int rate; /* lines a second */
  double tokens;
  KqTime refilled_at;
  uint64_t dropped;
  uint64_t dropped_reported;
  size_t len;
  char buffer[BUFFER_MAX_BYTES];
} StdoutLog;

static StdoutLog out;

void
kq_log_set_level (KqLogLevel level)
{
  threshold = level;
}

int
kq_log_level_parse (const char *name)
{
  for (int i = 0; i < 4; i++)
    {
      if (strcmp (name, level_names[i]) == 0)
        return i;
    }
  return -1;
}

void
kq_log_to_stdout (int lines_per_second)
{
  out.enabled = true;
  out.rate = lines_per_second;
  out.tokens = lines_per_second;
  out.refilled_at = kq_time_now ();
}

void
kq_log_flush (void)
{
  size_t at = 0;
  struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };
  while (at < out.len)
    {
      size_t n = out.len - at < WRITE_MAX_BYTES ? out.len - at : WRITE_MAX_BYTES;
      ssize_t wrote;
      if (poll (&p, 1, 0) != 1 || (p.revents & POLLOUT) == 0)
        break;
      wrote = write (STDOUT_FILENO, out.buffer + at, n);
      if (wrote <= 0)
        break;
      at += (size_t)wrote;
    }
  memmove (out.buffer, out.buffer + at, out.len - at);
  out.len -= at;
}

/* Takes the token of one line from the bucket. False: the line exceeds the rate; errors
 * and warnings never do. */
static bool
take_token (KqLogLevel level)
{
  KqTime now = kq_time_now ();
  out.tokens += (double)(now - out.refilled_at) * out.rate / KQ_SEC;
  if (out.tokens > out.rate)
    out.tokens = out.rate;
  out.refilled_at = now;
  /* Debug lines, which are about single tasks, use at most half of the rate; the rest is
   * left to info lines about jobs and about the state of other nodes. */
  if (level == KQ_LOG_DEBUG && out.tokens < out.rate / 2.0)
    return false;
  if (out.tokens < 1 && level > KQ_LOG_WARN)
    return false;
  out.tokens -= out.tokens < 1 ? 0 : 1;
  return true;
}

static void
buffer_line (const char *line, size_t n)
{
  char notice[96];
  size_t m = 0;
  if (out.dropped > out.dropped_reported)
    m = (size_t)snprintf (notice, sizeof notice, "log: Lines left out. total=%llu\n",
                          (unsigned long long)out.dropped);
  if (out.len + n + m > BUFFER_MAX_BYTES)
    {
      out.dropped++;
      return;
    }
  memcpy (out.buffer + out.len, notice, m);
  out.len += m;
  if (m > 0)
    out.dropped_reported = out.dropped;
  memcpy (out.buffer + out.len, line, n);
  out.len += n;
  if (out.len >= FLUSH_AT_BYTES)
    kq_log_flush ();
}

/* One write per line, so that lines of several processes on one terminal don't mix. */
void
kq_log (KqLogLevel level, const char *part, const char *fmt, ...)
{
  char line[LINE_MAX_BYTES];
  struct timespec ts;
  struct tm tm;
  va_list ap;
  size_t n;
  int m;

  if (level > threshold)
    return;
  if (out.enabled && !take_token (level))
    {
      out.dropped++;
      return;
    }
  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  n = strftime (line, sizeof line, "%Y-%m-%dT%H:%M:%S", &tm);
  m = snprintf (line + n, sizeof line - n, ".%03ldZ %s %s: ", ts.tv_nsec / 1000000,
                level_names[level], part);
  n += (size_t)m;
  va_start (ap, fmt);
  m = vsnprintf (line + n, sizeof line - n - 1, fmt, ap);
  va_end (ap);
  n += (size_t)m < sizeof line - n - 1 ? (size_t)m : sizeof line - n - 2;
  line[n++] = '\n';
  if (out.enabled)
    {
      buffer_line (line, n);
      return;
    }
  if (write (STDERR_FILENO, line, n) < 0)
    return; /* nowhere to report it */
}
