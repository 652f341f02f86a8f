#ifndef KQ_PORT_UPKEEP_H
#define KQ_PORT_UPKEEP_H

/* upkeep: the port to the control plane that takes target hosts down for their upkeep,
 * and the waves of it that operators ask for.
 *
 * A wave names hosts; each of them needs one upkeep, in time, with a bounded number down
 * at once. When a host goes down, all that runs there ends at once; a new runner comes up
 * on it by itself. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqUpkeepCalls KqUpkeepCalls;

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
  KQ_UPKEEP_OK,      /* it has begun, or was done already */
  KQ_UPKEEP_FENCED,  /* a higher fencing token has been used for that host */
  KQ_UPKEEP_BUSY,    /* the host isn't up */
  KQ_UPKEEP_FOREIGN, /* the host isn't of that wave, or there is no such host */
  KQ_UPKEEP_LIMITED, /* too many calls: nothing was done */
  KQ_UPKEEP_UNKNOWN  /* no answer: it may have begun */
} KqUpkeepResult;

/* For logs. */
const char *kq_upkeep_result_name (KqUpkeepResult r);

typedef struct
{
  void (*done) (void *arg, KqUpkeepResult r, KqTime now);
  void *arg;
} KqUpkeepCallback;

/* holder and token say who orders, for each host separately. The callback comes exactly
 * once, never from within the call. */
void kq_upkeep_begin (KqUpkeepCalls *c, KqStr host, int64_t wave, KqStr holder,
                      uint64_t token, int timeout_ms, KqUpkeepCallback cb);

#endif
