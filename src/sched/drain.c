/* drain: frees a host of its runs before its maintenance. */

#include "sched/drain.h"

#include "sched/maintenance.h"
#include "sched/place.h"

#include <string.h>

/* Longest drain of a host: tasks that can't save their progress may go on so long. Tasks
 * that must not be interrupted now make it longer. */
#define DRAIN_MAX (2 * KQ_SEC)
/* A drain that has taken this long is given up if a task that has waited for as long may
 * need the host's own room. */
#define DRAIN_BLOCKED_MAX (2500 * KQ_MS)
/* A task that is expected to end within this time isn't stopped. */
#define ENDS_SOON_MS 500

bool
kq_drain_is_done (const KqRunnerState *r, KqTime since, KqTime now)
{
  if (r->n_runs == 0)
    return true;
  if (now - since < DRAIN_MAX)
    return false;
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    if (!kq_run_may_end_with_runner (run))
      return false;
  return true;
}

bool
kq_drain_host (KqSched *s, KqRunnerState *r, KqTime since, KqTime now)
{
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    {
      const KqStep *p = kq_run_step (run);
      int64_t left_ms = (int64_t)p->estimate_ms * (100 - run->percent) / 100;
      if (run->phase == KQ_RUN_RUNNING && kq_run_may_interrupt (run)
          && (p->lasting || (p->checkpoints && left_ms > ENDS_SOON_MS)))
        kq_run_stop (s, run, "its host goes down for maintenance", now);
    }
  return kq_drain_is_done (r, since, now);
}

/* Whether a run there must not be interrupted because another task of its step has waited
 * for room: the host's own room may be what that task needs. */
static bool
protects_waiting_task (const KqRunnerState *r, KqTime now)
{
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    {
      KqTime since
          = run->occurrence != NULL ? run->occurrence->steps[run->step].waits_since : 0;
      if (run->phase == KQ_RUN_RUNNING && since != 0 && now - since >= DRAIN_BLOCKED_MAX
          && !kq_run_may_interrupt (run))
        return true;
    }
  return false;
}

/* Whether another runner that takes tasks has the label. */
static bool
other_has_label (const KqSched *s, const KqRunnerState *r, KqStr label)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *other = g_ptr_array_index (s->runner_list, i);
      if (other != r && other->pool == r->pool && other->in_store
          && !other->entry_unusable && !other->draining && !other->cordoned
          && !other->silent && kq_place_has_label (other, label)
          && !kq_maintenance_may_end (s, other))
        return true;
    }
  return false;
}

/* Whether a wave drains a host with the label, other than the runner's, or has taken it
 * down. */
static bool
other_host_is_away (const KqSched *s, const KqRunnerState *r, KqStr label)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      const KqWave *w = g_ptr_array_index (s->waves, i);
      for (size_t k = 0; k < w->n_hosts; k++)
        {
          const KqWaveHost *h = &w->hosts[k];
          if (h->phase > KQ_HOST_WAITING && h->phase < KQ_HOST_BACK && h->kind != NULL
              && strcmp (h->host, r->host) != 0
              && (kq_str_eq (label, kq_str (h->kind))
                  || kq_str_eq (label, kq_str (h->rack))))
            return true;
        }
    }
  return false;
}

/* The first waiting step, of those that began to wait by then, whose label the runner has
 * and no other runner that takes tasks has; NULL: none. */
static const KqStep *
step_that_needs (const KqSched *s, const KqRunnerState *r, KqTime since)
{
  for (const KqJob *j = s->open_jobs; j != NULL; j = j->next)
    for (const KqOccurrence *o = j->pool == r->pool ? j->occurrences : NULL; o != NULL;
         o = o->next)
      for (int32_t i = 0; i < j->spec.n_steps; i++)
        {
          const KqStep *p = &j->spec.steps[i];
          KqTime waits = o->steps[i].waits_since;
          if (p->label.len > 0 && waits != 0 && waits <= since
              && kq_place_has_label (r, p->label) && !other_has_label (s, r, p->label))
            return p;
        }
  return NULL;
}

/* Whether a starved step that ends by itself could run in the room that is left there. */
static bool
has_room_for_starved (const KqSched *s, const KqRunnerState *r, KqTime now)
{
  for (const KqJob *j = s->open_jobs; j != NULL; j = j->next)
    for (const KqOccurrence *o = j->pool == r->pool ? j->occurrences : NULL; o != NULL;
         o = o->next)
      for (int32_t i = 0; i < j->spec.n_steps; i++)
        if (!j->spec.steps[i].lasting && kq_place_is_starved (o, i, false, now)
            && kq_place_has_label (r, j->spec.steps[i].label)
            && kq_place_fits_starved (r, &j->spec.steps[i]))
          return true;
  return false;
}

bool
kq_drain_is_blocked (const KqSched *s, const KqRunnerState *r, KqTime since, KqTime now)
{
  return now - since >= DRAIN_BLOCKED_MAX
         && (protects_waiting_task (r, now)
             || step_that_needs (s, r, now - DRAIN_BLOCKED_MAX) != NULL
             || has_room_for_starved (s, r, now));
}

bool
kq_drain_takes_last_of_label (const KqSched *s, const KqRunnerState *r)
{
  const KqStep *p = step_that_needs (s, r, KQ_TIME_NEVER);
  return p != NULL && other_host_is_away (s, r, p->label);
}
