#include "base/time.h"

#include <time.h>

/* CLOCK_BOOTTIME advances while the host is suspended, CLOCK_MONOTONIC doesn't: a process
 * resumed after its leases expired would take them for valid. */
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
