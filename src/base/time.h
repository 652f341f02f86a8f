#ifndef KQ_BASE_TIME_H
#define KQ_BASE_TIME_H

/* time: monotonic time in microseconds since an unspecified point; it includes the time
 * in which the host was suspended.
 *
 * Functions that decide by the time take `now` as an argument, so that tests can simulate
 * it. kq_time_now () is called by callbacks of the event loop, by the modules that own
 * sockets or write the log, and by the main programs. */

#include <stdint.h>

typedef int64_t KqTime;

#define KQ_MS ((KqTime)1000)
#define KQ_SEC ((KqTime)1000000)
/* Later than any actual time; adding a duration of years doesn't overflow. */
#define KQ_TIME_NEVER (INT64_MAX / 4)

KqTime kq_time_now (void);
/* The wall clock, in milliseconds since 1970 (UTC). It may jump, so it is used only for
 * times that other programs compare with their own wall clock. */
int64_t kq_time_wall_ms (void);

#endif
