#ifndef KQ_PORT_MAINTENANCE_H
#define KQ_PORT_MAINTENANCE_H

/* maintenance: the port to the control plane that takes target hosts down for their
 * maintenance, and the waves of it that operators ask for.
 *
 * A wave names hosts; each of them needs one maintenance, in time, with a bounded number
 * down at once. When a host goes down, all that runs there ends at once; a new runner
 * comes up on it by itself. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqMaintenanceCalls KqMaintenanceCalls;

typedef struct
{
  int64_t number;
  const KqStr *hosts;
  size_t n_hosts;
  int64_t duration_ms;
  int32_t cap; /* most hosts down at once */
} KqWaveInfo;

typedef enum
{
  KQ_MAINTENANCE_OK,      /* it has begun, or was done already */
  KQ_MAINTENANCE_FENCED,  /* a higher fencing token has been used for that host */
  KQ_MAINTENANCE_BUSY,    /* the host isn't up */
  KQ_MAINTENANCE_FOREIGN, /* the host isn't of that wave, or there is no such host */
  KQ_MAINTENANCE_LIMITED, /* too many calls: nothing was done */
  KQ_MAINTENANCE_UNKNOWN  /* no answer: it may have begun */
} KqMaintenanceResult;

/* For logs. */
const char *kq_maintenance_result_name (KqMaintenanceResult r);

typedef struct
{
  void (*done) (void *arg, KqMaintenanceResult r, KqTime now);
  void *arg;
} KqMaintenanceCallback;

/* holder and token say who orders, for each host separately. The callback comes exactly
 * once, never from within the call. */
void kq_maintenance_begin (KqMaintenanceCalls *c, KqStr host, int64_t wave, KqStr holder,
                           uint64_t token, int timeout_ms, KqMaintenanceCallback cb);

#endif
