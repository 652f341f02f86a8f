/* suspects: takes runners on which tasks keep failing out of use for a while.
 *
 * A faulty host fails all its tasks within moments and then has room again. Without a
 * pause it would be given more tasks all the time, and so fail the work of a whole fleet.
 */

#include "sched/state.h"

#include <math.h>

/* Half-life of the counts of done and failed tasks: a runner that has been repaired is
 * used again within seconds. */
#define COUNTS_HALF_LIFE (3.0 * KQ_SEC)
/* A runner is suspect if its decaying count of failed tasks is at least SUSPECT_FAILS and
 * at least SUSPECT_SHARE of its decaying count of ended tasks. */
#define SUSPECT_FAILS 1.6
#define SUSPECT_SHARE 0.5
/* Time for which a suspect runner isn't used; doubled each time it becomes suspect again,
 * up to the maximum. */
#define SUSPECT_PAUSE_INITIAL (2 * KQ_SEC)
#define SUSPECT_PAUSE_MAX (8 * KQ_SEC)

/* A runner is unreliable if so many of the tasks that ended there lately have failed, by
 * their decaying counts: at least this number, and this share of all. */
#define UNRELIABLE_FAILS 0.4
#define UNRELIABLE_SHARE 0.2

bool
kq_runners_is_unreliable (const KqRunnerState *r, KqTime now)
{
  double factor = exp2 (-(double)(now - r->counts_at) / COUNTS_HALF_LIFE);
  return r->suspect_times > 0
         || (r->failed_count * factor >= UNRELIABLE_FAILS
             && r->failed_count >= UNRELIABLE_SHARE * (r->failed_count + r->done_count));
}

static void
decay_counts (KqRunnerState *r, KqTime now)
{
  double factor = exp2 (-(double)(now - r->counts_at) / COUNTS_HALF_LIFE);
  r->failed_count *= factor;
  r->done_count *= factor;
  r->counts_at = now;
}

void
kq_runners_count_end (KqRunnerState *r, bool done, KqTime now)
{
  KqTime pause;
  double fails;
  decay_counts (r, now);
  if (done)
    {
      r->done_count += 1;
      r->suspect_times = 0;
      return;
    }
  /* Tasks that were sent before the pause fail during it. */
  if (now < r->suspect_until)
    return;
  r->failed_count += 1;
  if (r->failed_count < SUSPECT_FAILS
      || r->failed_count < SUSPECT_SHARE * (r->failed_count + r->done_count))
    return;
  pause = SUSPECT_PAUSE_INITIAL << (r->suspect_times < 4 ? r->suspect_times : 4);
  r->suspect_until = now + (pause < SUSPECT_PAUSE_MAX ? pause : SUSPECT_PAUSE_MAX);
  r->suspect_times++;
  fails = r->failed_count;
  r->failed_count = SUSPECT_FAILS / 2;
  kq_log (KQ_LOG_WARN, PART,
          "Runner is suspect. runner=%s fails=%.1f dones=%.1f for_ms=%lld", r->id, fails,
          r->done_count, (long long)((r->suspect_until - now) / KQ_MS));
}
