#ifndef KQ_PORT_MAINTENANCE_H
#define KQ_PORT_MAINTENANCE_H

/* maintenance: the port to the control plane that takes target hosts down for
 * maintenance, and the waves of maintenance that operators request.
 *
 * A wave lists hosts. Each of them needs one maintenance before the wave's time is over,
 * with a bounded number of hosts down at once. When a host goes down, all that runs there
 * ends at once; afterwards the platform starts a new runner on it. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqMaintenanceClient KqMaintenanceClient;

typedef struct
{
  int64_t number;
  const KqStr *hosts;
  size_t n_hosts;
  int64_t duration_ms; /* time in which each of the hosts must have had its maintenance */
  int32_t cap;         /* maximum number of hosts down at once */
} KqWaveInfo;

typedef enum
{
  KQ_MAINTENANCE_OK,      /* maintenance has begun, or has taken place already */
  KQ_MAINTENANCE_FENCED,  /* a higher fencing token has been used for that host */
  KQ_MAINTENANCE_BUSY,    /* the host isn't up */
  KQ_MAINTENANCE_FOREIGN, /* the host isn't in that wave, or doesn't exist */
  KQ_MAINTENANCE_LIMITED, /* too many calls, or the call wasn't sent: nothing was done */
  KQ_MAINTENANCE_UNKNOWN  /* no answer: maintenance may have begun */
} KqMaintenanceResult;

/* The result's name in logs. */
const char *kq_maintenance_result_name (KqMaintenanceResult r);

typedef struct
{
  void (*done) (void *arg, KqMaintenanceResult r, KqTime now);
  void *arg;
} KqMaintenanceCallback;

/* Begins the maintenance of a host. holder names the caller, and token is its fencing
 * token for this host (each host is fenced separately). The callback is called exactly
 * once, always after this function has returned. */
void kq_maintenance_begin (KqMaintenanceClient *c, KqStr host, int64_t wave, KqStr holder,
                           uint64_t token, int timeout_ms, KqMaintenanceCallback cb);

#endif
