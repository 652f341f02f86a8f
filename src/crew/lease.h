#ifndef KQ_CREW_LEASE_H
#define KQ_CREW_LEASE_H

/* lease: what an agent knows of a runner's clock and of the lease that it has granted.
 *
 * Pure. The lease's end is a time on the runner's own clock, which may be slow and starts
 * anew with each life of the runner. */

#include "base/time.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t born_ms;  /* of the life that was heard last; 0: never told */
  KqTime life_at;   /* when that was first heard, if there was one before it: answers to
                       earlier calls may come from that one */
  int64_t clock_ms; /* the runner's clock, as last told; -1: never */
  KqTime clock_at;  /* when that was received */
  int64_t end_ms;   /* the latest granted, on the runner's clock */
} KqLease;

/* What an answer of the runner tells. */
typedef struct
{
  int64_t clock_ms; /* -1: nothing */
  int64_t born_ms;  /* 0: not told */
  KqTime sent_at;   /* when its question was sent */
} KqLeaseNews;

void kq_lease_init (KqLease *l);
/* length_ms: of a whole lease. True: the runner is in a new life, which counts its ends
 * anew. */
bool kq_lease_note (KqLease *l, const KqLeaseNews *n, int64_t length_ms, KqTime now);
/* Until the lease granted ends, in ms of a sound clock; -1: the clock isn't known. */
int64_t kq_lease_left_ms (const KqLease *l, KqTime now);
/* Grants a whole lease from now on, and returns its end on the runner's clock; a later
 * grant never ends sooner. The clock must be known. */
int64_t kq_lease_grant (KqLease *l, int64_t length_ms, KqTime now);

#endif
