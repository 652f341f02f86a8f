/* sched_rig_gang: gangs at the rig's runners. Their tasks make progress only while all of
 * them run with the same run number, and end together. */

#include "sched_rig_impl.h"

#include <string.h>

/* A member waits this long for the others. */
#define GANG_WAIT_MAX (3 * KQ_SEC)

static const KqStep *
gang_step (const KqSchedRig *r, const KqSchedRigRun *run)
{
  int32_t step;
  int32_t index;
  const KqSchedRigJob *j = kq_sched_rig_job_of (r, run->task, &step, &index);
  return j != NULL && j->spec.steps[step].gang ? &j->spec.steps[step] : NULL;
}

static bool
same_gang (const KqSchedRigRun *a, const KqSchedRigRun *b)
{
  size_t n = (size_t)(strrchr (a->task, '.') - a->task) + 1;
  return a->run == b->run && strncmp (a->task, b->task, n) == 0
         && strchr (b->task + n, '.') == NULL;
}

static int
count_members (const KqSchedRig *r, const KqSchedRigRun *run)
{
  int n = 0;
  for (int i = 0; i < r->n_runners; i++)
    for (guint k = 0; k < r->runners[i].runs->len; k++)
      n += same_gang (run, g_ptr_array_index (r->runners[i].runs, k));
  return n;
}

/* Decides for all members how they end, by whether one of them fails. */
static void
end_gang (KqSchedRig *r, const KqSchedRigRun *run)
{
  bool fails = false;
  for (int pass = 0; pass < 2; pass++)
    for (int i = 0; i < r->n_runners; i++)
      for (guint k = 0; k < r->runners[i].runs->len; k++)
        {
          KqSchedRigRun *other = g_ptr_array_index (r->runners[i].runs, k);
          if (!same_gang (run, other))
            continue;
          fails = fails || other->fails;
          other->gang_ended = pass == 1;
          other->gang_end = other->fails ? KQ_END_FAILED
                            : fails      ? KQ_END_GANG_BROKEN
                                         : KQ_END_DONE;
        }
}

bool
kq_sched_rig_gang_ends (KqSchedRig *r, KqSchedRigRun *run, KqEndReason *why)
{
  const KqStep *p = gang_step (r, run);
  if (p == NULL)
    return false;
  if (!run->gang_ended && count_members (r, run) == p->width)
    {
      /* All count their work from the start of the last one. */
      if (!run->gang_complete)
        run->started_at = r->now;
      run->gang_complete = true;
      if (r->now - run->started_at >= run->length && !run->stalled)
        end_gang (r, run);
    }
  else if (!run->gang_ended && run->gang_complete)
    {
      run->gang_ended = true;
      run->gang_end = KQ_END_GANG_BROKEN;
    }
  else if (!run->gang_ended && r->now - run->started_at >= GANG_WAIT_MAX)
    {
      run->gang_ended = true;
      run->gang_end = KQ_END_GANG_INCOMPLETE;
    }
  *why = run->gang_end;
  return run->gang_ended;
}

bool
kq_sched_rig_gang_waits (const KqSchedRig *r, const KqSchedRigRun *run)
{
  return gang_step (r, run) != NULL && !run->gang_ended;
}
