#include "agent/lease.h"

#include <assert.h>

/* Lowest rate of a runner's clock against this node's: the runner's may be 2% slow. */
#define MIN_CLOCK_RATE 0.98

void
kq_lease_init (KqLease *l)
{
  *l = (KqLease){ .clock_ms = -1 };
}

/* A lower bound of the runner's clock now, in ms. */
static int64_t
least_clock_ms (const KqLease *l, KqTime now)
{
  return l->clock_ms + (int64_t)((double)(now - l->clock_at) / KQ_MS * MIN_CLOCK_RATE);
}

static bool
shows_restart (const KqLease *l, const KqLeaseReply *n, int64_t length_ms, KqTime now)
{
  if (l->clock_ms < 0)
    return false;
  if (n->started_ms != 0 && l->started_ms != 0 && n->started_ms != l->started_ms)
    return true;
  return n->clock_ms < least_clock_ms (l, now) - length_ms;
}

/* Whether the answer names another process than the present one, and the call was sent
 * before the last restart was noticed: by its clock it comes from the process before. */
static bool
is_from_earlier_process (const KqLease *l, const KqLeaseReply *n, KqTime now)
{
  return n->started_ms != 0 && l->started_ms != 0 && n->started_ms != l->started_ms
         && n->sent_at < l->restart_seen_at && n->clock_ms > least_clock_ms (l, now);
}

bool
kq_lease_update (KqLease *l, const KqLeaseReply *n, int64_t length_ms, KqTime now)
{
  bool first = l->clock_ms < 0;
  bool restarted;
  if (n->clock_ms < 0 || (n->started_ms == 0 && n->sent_at < l->restart_seen_at))
    return false;
  /* Should it come from a later process after all, a lease by the present one's lower
   * clock is too short rather than too long. */
  if (is_from_earlier_process (l, n, now))
    return true;
  restarted = shows_restart (l, n, length_ms, now);
  if (restarted)
    {
      l->started_ms = 0;
      l->restart_seen_at = now;
    }
  if (n->started_ms != 0)
    l->started_ms = n->started_ms;
  if (!first && !restarted && n->clock_ms < l->clock_ms)
    return false; /* an answer that the runner gave later arrived before */
  l->clock_ms = n->clock_ms;
  l->clock_at = now;
  /* Another agent may have granted a lease of full length just before. */
  if (first || restarted)
    l->end_ms = n->clock_ms + length_ms;
  return restarted;
}

int64_t
kq_lease_left_ms (const KqLease *l, KqTime now)
{
  int64_t left;
  if (l->clock_ms < 0)
    return -1;
  left = l->end_ms - least_clock_ms (l, now);
  return left < 0 ? 0 : (int64_t)((double)left / MIN_CLOCK_RATE) + 1;
}

int64_t
kq_lease_grant (KqLease *l, int64_t length_ms, KqTime now)
{
  int64_t end;
  assert (l->clock_ms >= 0);
  end = least_clock_ms (l, now) + length_ms;
  if (end > l->end_ms)
    l->end_ms = end;
  return l->end_ms;
}
