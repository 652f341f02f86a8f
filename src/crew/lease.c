#include "crew/lease.h"

#include <assert.h>

/* Runners' clocks may be this much slow. */
#define CLOCK_SLOW 0.98

void
kq_lease_init (KqLease *l)
{
  *l = (KqLease){ .clock_ms = -1 };
}

/* The runner's clock has at least reached this. */
static int64_t
clock_now (const KqLease *l, KqTime now)
{
  return l->clock_ms + (int64_t)((double)(now - l->clock_at) / KQ_MS * CLOCK_SLOW);
}

static bool
tells_new_life (const KqLease *l, const KqLeaseNews *n, int64_t length_ms, KqTime now)
{
  if (l->clock_ms < 0)
    return false;
  if (n->born_ms != 0 && l->born_ms != 0 && n->born_ms != l->born_ms)
    return true;
  return n->clock_ms < clock_now (l, now) - length_ms;
}

bool
kq_lease_note (KqLease *l, const KqLeaseNews *n, int64_t length_ms, KqTime now)
{
  bool first = l->clock_ms < 0;
  bool anew;
  if (n->clock_ms < 0 || (n->born_ms == 0 && n->sent_at < l->life_at))
    return false;
  anew = tells_new_life (l, n, length_ms, now);
  if (anew)
    {
      l->born_ms = 0;
      l->life_at = now;
    }
  if (n->born_ms != 0)
    l->born_ms = n->born_ms;
  if (!first && !anew && n->clock_ms < l->clock_ms)
    return false; /* overtaken by a newer answer */
  l->clock_ms = n->clock_ms;
  l->clock_at = now;
  /* An agent before us may have granted as much. */
  if (first || anew)
    l->end_ms = n->clock_ms + length_ms;
  return anew;
}

int64_t
kq_lease_left_ms (const KqLease *l, KqTime now)
{
  int64_t left;
  if (l->clock_ms < 0)
    return -1;
  left = l->end_ms - clock_now (l, now);
  return left < 0 ? 0 : (int64_t)((double)left / CLOCK_SLOW) + 1;
}

int64_t
kq_lease_grant (KqLease *l, int64_t length_ms, KqTime now)
{
  int64_t end;
  assert (l->clock_ms >= 0);
  end = clock_now (l, now) + length_ms;
  if (end > l->end_ms)
    l->end_ms = end;
  return l->end_ms;
}
