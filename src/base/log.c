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

static const char *const names[] = { "error", "warn", "info", "debug" };
static KqLogLevel threshold = KQ_LOG_INFO;

/* What waits for the reader of standard output. A reader that stands still costs this
 * much memory and then lines, never time. */
#define HELD_MAX (256 * 1024)
/* A pipe that polls as writable takes this much at once without blocking (POSIX: PIPE_BUF
 * bytes are atomic). */
#define WRITE_MAX 4096
/* Collected lines are written once there are so many bytes, or by kq_log_flush. */
#define WRITE_AT 3500

typedef struct
{
  bool on;
  int rate; /* lines a second */
  double tokens;
  KqTime filled_at;
  uint64_t dropped;
  uint64_t dropped_told;
  size_t len;
  char held[HELD_MAX];
} Out;

static Out out;

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
      if (strcmp (name, names[i]) == 0)
        return i;
    }
  return -1;
}

void
kq_log_to_stdout (int lines_per_second)
{
  out.on = true;
  out.rate = lines_per_second;
  out.tokens = lines_per_second;
  out.filled_at = kq_time_now ();
}

void
kq_log_flush (void)
{
  size_t at = 0;
  struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };
  while (at < out.len)
    {
      size_t n = out.len - at < WRITE_MAX ? out.len - at : WRITE_MAX;
      ssize_t wrote;
      if (poll (&p, 1, 0) != 1 || (p.revents & POLLOUT) == 0)
        break;
      wrote = write (STDOUT_FILENO, out.held + at, n);
      if (wrote <= 0)
        break;
      at += (size_t)wrote;
    }
  memmove (out.held, out.held + at, out.len - at);
  out.len -= at;
}

/* Whether one more line is within the rate; errors and warnings always are. */
static bool
take_token (KqLogLevel level)
{
  KqTime now = kq_time_now ();
  out.tokens += (double)(now - out.filled_at) * out.rate / KQ_SEC;
  if (out.tokens > out.rate)
    out.tokens = out.rate;
  out.filled_at = now;
  /* Lines on single tasks leave half of the rate to those on jobs and beliefs. */
  if (level == KQ_LOG_DEBUG && out.tokens < out.rate / 2.0)
    return false;
  if (out.tokens < 1 && level > KQ_LOG_WARN)
    return false;
  out.tokens -= out.tokens < 1 ? 0 : 1;
  return true;
}

static void
hold (const char *line, size_t n)
{
  char note[96];
  size_t m = 0;
  if (out.dropped > out.dropped_told)
    m = (size_t)snprintf (note, sizeof note, "log: Lines left out. total=%llu\n",
                          (unsigned long long)out.dropped);
  if (out.len + n + m > HELD_MAX)
    {
      out.dropped++;
      return;
    }
  memcpy (out.held + out.len, note, m);
  out.len += m;
  if (m > 0)
    out.dropped_told = out.dropped;
  memcpy (out.held + out.len, line, n);
  out.len += n;
  if (out.len >= WRITE_AT)
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
  if (out.on && !take_token (level))
    {
      out.dropped++;
      return;
    }
  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  n = strftime (line, sizeof line, "%Y-%m-%dT%H:%M:%S", &tm);
  m = snprintf (line + n, sizeof line - n, ".%03ldZ %s %s: ", ts.tv_nsec / 1000000,
                names[level], part);
  n += (size_t)m;
  va_start (ap, fmt);
  m = vsnprintf (line + n, sizeof line - n - 1, fmt, ap);
  va_end (ap);
  n += (size_t)m < sizeof line - n - 1 ? (size_t)m : sizeof line - n - 2;
  line[n++] = '\n';
  if (out.on)
    {
      hold (line, n);
      return;
    }
  if (write (STDERR_FILENO, line, n) < 0)
    return; /* nowhere to report it */
}
