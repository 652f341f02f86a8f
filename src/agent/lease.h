#ifndef KQ_AGENT_LEASE_H
#define KQ_AGENT_LEASE_H

/* lease: what an agent knows of a runner's clock, and of the lease that it has granted.
 *
 * All tasks on a runner end when its lease expires. The lease's end is a time on the
 * runner's own steady clock, which may be slow and starts again when the runner's process
 * restarts. No I/O. */

#include "base/time.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t started_ms;     /* start of the runner's process, Unix time; 0: not known */
  KqTime restart_seen_at; /* when a restart was noticed; answers to earlier calls
                             may come from the process before; 0: never */
  int64_t clock_ms;       /* the runner's clock, as in its last answer; -1: none */
  KqTime clock_at;        /* when that answer was received */
  int64_t end_ms;         /* end of the lease granted, on the runner's clock */
} KqLease;

/* The part of a runner's answer that concerns its lease. */
typedef struct
{
  int64_t clock_ms;   /* -1: not given */
  int64_t started_ms; /* 0: not given */
  KqTime sent_at;     /* when the call was sent */
} KqLeaseReply;

void kq_lease_init (KqLease *l);
/* Updates *l from a runner's answer. length_ms: the full length of a lease. True: the
 * answer comes from another process than the last one did; each numbers its ends from 1.
 */
bool kq_lease_update (KqLease *l, const KqLeaseReply *n, int64_t length_ms, KqTime now);
/* Time until the lease has certainly ended, in ms of this node's clock, also if the
 * runner's clock is slow; -1: the runner's clock isn't known. */
int64_t kq_lease_left_ms (const KqLease *l, KqTime now);
/* Grants a lease of length_ms from now on and returns its end on the runner's clock,
 * which is never before the end of an earlier grant. The clock must be known. */
int64_t kq_lease_grant (KqLease *l, int64_t length_ms, KqTime now);

#endif
