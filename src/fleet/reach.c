#include "fleet/reach.h"

#include <glib.h>

/* Watches answer at least every second and a half; without a sign of life for this long
 * the store is taken for away. */
#define AWAY (2600 * KQ_MS)
/* So many failed calls in a row say the same sooner; one may be lost by chance. */
#define FAILURES 3
/* The leader tells of its calls three times a second, and has several of them under way;
 * longer than this without an answer isn't usual. */
#define DOUBT (700 * KQ_MS)

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

void
kq_reach_leader_alive (KqReach *r, KqTime at)
{
  r->leader_alive_at = MAX (r->leader_alive_at, at);
}

KqReachState
kq_reach_state (const KqReach *r, KqTime now)
{
  if (!kq_reach_up (r, now))
    return KQ_REACH_AWAY;
  return now - MAX (r->alive_at, r->leader_alive_at) < DOUBT ? KQ_REACH_UP
                                                             : KQ_REACH_IN_DOUBT;
}

bool
kq_reach_by_leader (const KqReach *r, KqTime now)
{
  return r->leader_alive_at != 0 && now - r->leader_alive_at < DOUBT;
}

bool
kq_reach_up (const KqReach *r, KqTime now)
{
  return r->alive_at != 0 && now - r->alive_at < AWAY && r->failures < FAILURES;
}
