#include "fleet/reach.h"

/* Watches answer at least every second and a half; without a sign of life for this long
 * the store is taken for away. */
#define AWAY (2600 * KQ_MS)
/* So many failed calls in a row say the same sooner; one may be lost by chance. */
#define FAILURES 3

void
kq_reach_alive (KqReach *r, KqTime now)
{
  r->alive_at = now;
  r->failures = 0;
}

void
kq_reach_failed (KqReach *r, KqTime sent_at)
{
  if (sent_at >= r->alive_at)
    r->failures++;
}

bool
kq_reach_up (const KqReach *r, KqTime now)
{
  return r->alive_at != 0 && now - r->alive_at < AWAY && r->failures < FAILURES;
}
