#ifndef KQ_BASE_LOG_H
#define KQ_BASE_LOG_H

/* log: one line per event, in the form "time level part: Short sentence. key=value".
 *
 * Each part of the program passes a fixed name as `part`. Secrets are never logged.
 * By default each line is written to standard error at once. After kq_log_to_stdout lines
 * are written to standard output in batches, with bounds on lines per second and on
 * memory, and never block. Dropped lines are counted; the next line that is accepted is
 * preceded by a line with their number. */

#include <stdint.h>

typedef enum
{
  KQ_LOG_ERROR,
  KQ_LOG_WARN,
  KQ_LOG_INFO,
  KQ_LOG_DEBUG
} KqLogLevel;

void kq_log_set_level (KqLogLevel level);
/* Returns the level named "error", "warn", "info" or "debug"; -1 for any other name. */
int kq_log_level_parse (const char *name);
/* From now on collects lines and writes them to standard output, at most
 * lines_per_second; errors and warnings are not limited. */
void kq_log_to_stdout (int lines_per_second);
/* Writes the collected lines, as far as possible without blocking. */
void kq_log_flush (void);
void kq_log (KqLogLevel level, const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
