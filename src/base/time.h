#ifndef KQ_BASE_TIME_H
#define KQ_BASE_TIME_H

/* time: the present time, in microseconds of the monotonic clock.
 *
 * Every function that decides takes `now` as an argument. Only the event loop and the
 * programs' mains call kq_time_now (). The zero of the clock has no meaning. */

#include <stdint.h>

typedef int64_t KqTime;

#define KQ_MS ((KqTime)1000)
#define KQ_SEC ((KqTime)1000000)
/* Later than any time a program sees; a sum with a span of years doesn't overflow. */
#define KQ_TIME_NEVER (INT64_MAX / 4)

KqTime kq_time_now (void);
/* The time of day, in milliseconds since 1970. It may jump; only what others compare with
 * their own time of day is measured by it. */
int64_t kq_time_wall_ms (void);

#endif
