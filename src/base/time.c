#include "base/time.h"

#include <time.h>

/* The boot-time clock goes on while the host is suspended; the plain monotonic one does
 * not, and a process that has slept through its leases would take them for live. */
KqTime
kq_time_now (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (KqTime)ts.tv_sec * KQ_SEC + ts.tv_nsec / 1000;
}

int64_t
kq_time_wall_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
