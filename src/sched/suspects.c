/* suspects: runners on which tasks fail.
 *
 * Load pattern: a sick host fails all that it is given within moments, is empty again,
 * and is given more: it draws the work of a whole fleet. */

#include "sched/state.h"

#include <math.h>

/* Counts of done and failed tasks halve in so long: a runner that was sick a moment ago
 * and has been mended is used again within seconds. */
#define SCORE_HALF_LIFE (3.0 * KQ_SEC)
/* So many failures, most of what ended there, make a runner suspect. */
#define SUSPECT_FAILS 1.6
#define SUSPECT_SHARE 0.5
/* First time out of use; doubled each time it comes back sick, up to the bound. */
#define SUSPECT_FIRST (2 * KQ_SEC)
#define SUSPECT_LONGEST (8 * KQ_SEC)

static void
decay (KqRunnerState *r, KqTime now)
{
  double f = exp2 (-(double)(now - r->score_at) / SCORE_HALF_LIFE);
  r->fails *= f;
  r->dones *= f;
  r->score_at = now;
}

void
kq_runners_score (KqRunnerState *r, bool done, KqTime now)
{
  KqTime pause;
  decay (r, now);
  if (done)
    {
      r->dones += 1;
      r->suspect_times = 0;
      return;
    }
  r->fails += 1;
  if (r->fails < SUSPECT_FAILS || r->fails < SUSPECT_SHARE * (r->fails + r->dones))
    return;
  pause = SUSPECT_FIRST << (r->suspect_times < 4 ? r->suspect_times : 4);
  r->suspect_until = now + (pause < SUSPECT_LONGEST ? pause : SUSPECT_LONGEST);
  r->suspect_times++;
  r->fails = SUSPECT_FAILS / 2;
  kq_log (KQ_LOG_WARN, PART, "Runner is suspect. runner=%s dones=%.1f for_ms=%lld", r->id,
          r->dones, (long long)((r->suspect_until - now) / KQ_MS));
}
