#include "fleet/reach.h"

#include <glib.h>

/* Without an answer for this long the store counts as unreachable. Watches answer at
 * least every 1.5 s. */
#define DOWN_AFTER (2600 * KQ_MS)
/* After this many consecutive failed calls the store also counts as unreachable; a single
 * call may fail by chance. */
#define DOWN_FAILURES 3
/* Without an answer for this long the store is suspected. The leader reports its calls
 * three times a second and always has several outstanding. */
#define SUSPECT_AFTER (700 * KQ_MS)

void
kq_reach_answered (KqReach *r, KqTime now)
{
  r->answered_at = now;
  r->failures = 0;
}

void
kq_reach_failed (KqReach *r, KqTime sent_at)
{
  if (sent_at >= r->answered_at)
    r->failures++;
}

void
kq_reach_leader_answered (KqReach *r, KqTime at)
{
  r->leader_answered_at = MAX (r->leader_answered_at, at);
}

KqReachState
kq_reach_state (const KqReach *r, KqTime now)
{
  if (!kq_reach_up (r, now))
    return KQ_REACH_DOWN;
  return now - MAX (r->answered_at, r->leader_answered_at) < SUSPECT_AFTER
             ? KQ_REACH_UP
             : KQ_REACH_SUSPECT;
}

bool
kq_reach_up_at_leader (const KqReach *r, KqTime now)
{
  return r->leader_answered_at != 0 && now - r->leader_answered_at < SUSPECT_AFTER;
}

bool
kq_reach_up (const KqReach *r, KqTime now)
{
  return r->answered_at != 0 && now - r->answered_at < DOWN_AFTER
         && r->failures < DOWN_FAILURES;
}
