#ifndef KQ_BASE_LOG_H
#define KQ_BASE_LOG_H

/* log: one line an event: "time level part: Short sentence. key=value".
 *
 * Each part of the program passes its fixed prefix. Values of secrets are never passed.
 * Lines go to standard error as they come, or, after kq_log_to_stdout, to standard output
 * in batches: bounded in number per second and in memory, and never waiting for a reader.
 * What is left out is counted, and said in the next line that passes. */

#include <stdint.h>

typedef enum
{
  KQ_LOG_ERROR,
  KQ_LOG_WARN,
  KQ_LOG_INFO,
  KQ_LOG_DEBUG
} KqLogLevel;

void kq_log_set_level (KqLogLevel level);
/* Reads "error", "warn", "info" or "debug"; -1 for anything else. */
int kq_log_level_parse (const char *name);
/* Collects lines and writes them to standard output, at most lines_per_second (errors and
 * warnings pass beyond it). */
void kq_log_to_stdout (int lines_per_second);
/* Writes what is collected, as far as the reader takes it now. */
void kq_log_flush (void);
void kq_log (KqLogLevel level, const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
