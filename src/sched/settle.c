/* settle: after a change of leader, when the runs of earlier leaders are accounted for.
 */

#include "sched/grantors.h"

/* Marks the steps whose lasting tasks ran under an earlier leader and run nowhere now, so
 * that these tasks get the priority of lost tasks. Without the mark short jobs that could
 * still meet their objective took all free room, and a lasting task was away for 22 s
 * after a change of leader. */
static void
mark_lost_lasting (KqSched *s, KqTime now)
{
  for (KqJob *j = s->open_jobs; j != NULL; j = j->next)
    {
      if (j->revision >= s->config.epoch)
        continue;
      for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
        for (int32_t i = 0; i < j->spec.n_steps; i++)
          if (o->steps[i].lost_since == 0
              && kq_book_has_lost_waiting (&o->steps[i], &j->spec.steps[i]))
            o->steps[i].lost_since = now;
    }
}

/* Whether the runner has yet to be asked, or to answer or be found silent. */
static bool
word_expected (const KqSched *s, const KqRunnerState *r)
{
  if (r->agent >= 0)
    return !r->silent;
  return r->address[0] != '\0' && kq_agents_any_usable (&s->agents);
}

/* The runs of earlier leaders on a runner are accounted for if it has listed its runs, or
 * has been unreachable beyond the end of its lease. */
const KqRunnerState *
kq_runners_first_unaccounted (const KqSched *s, KqTime now)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->listed || !r->used_by_earlier_leader || r->gone)
        continue;
      if (word_expected (s, r) || !kq_runners_lease_is_over (r, now))
        return r;
    }
  return NULL;
}

bool
kq_sched_settled (const KqSched *s)
{
  return s->settled;
}

/* Notes when all runs of earlier leaders are accounted for, on every runner that they
 * used. Until then a task of an earlier job may be running unknown to this leader, and
 * starting it could run it twice. Jobs stored in this leader's term can't have runs yet.
 */
void
kq_runners_check_settled (KqSched *s, KqTime now)
{
  if (s->settled || !s->loaded || now >= s->exclusive_until)
    return;
  kq_grantors_apply (s, now);
  if (kq_runners_first_unaccounted (s, now) != NULL)
    return;
  s->settled = true;
  s->pass_needed = true;
  mark_lost_lasting (s, now);
  kq_log (KQ_LOG_INFO, PART,
          "All runs of earlier leaders are accounted for. after_ms=%lld",
          (long long)((now - s->started_at) / KQ_MS));
}
