#include "sched/gangs.h"

#include <stdlib.h>

/* Whether the run's checkpoint is newer than the one that is kept: of a later run, or of
 * the same one and further. Of equal ones the member with the lowest index counts. */
static bool
is_newer (const KqStepState *st, const KqRun *run)
{
  if (st->tasks[0].checkpoint.len == 0)
    return true;
  if (run->number != st->saved_run)
    return run->number > st->saved_run;
  if (run->percent != st->saved_percent)
    return run->percent > st->saved_percent;
  return run->index < st->saved_index;
}

void
kq_gangs_keep_checkpoint (KqSched *s, KqRun *run, KqTime now)
{
  KqStepState *st = &run->occurrence->steps[run->step];
  if (!is_newer (st, run))
    return;
  kq_str_drop (&st->tasks[0].checkpoint);
  st->tasks[0].checkpoint = run->checkpoint;
  run->checkpoint = (KqStr){ 0 };
  st->saved_run = run->number;
  st->saved_percent = run->percent;
  st->saved_index = run->index;
  kq_book_note_checkpoint (s, run->job, now);
}

void
kq_gangs_begin_run (KqStepState *st)
{
  kq_str_drop (&st->resumes_from);
  st->resumes_from = kq_str_own (st->tasks[0].checkpoint);
}

void
kq_gangs_restore (KqStepState *st, int32_t width)
{
  for (int32_t i = 1; i < width; i++)
    {
      if (st->tasks[0].checkpoint.len == 0)
        st->tasks[0].checkpoint = st->tasks[i].checkpoint;
      else
        kq_str_drop (&st->tasks[i].checkpoint);
      st->tasks[i].checkpoint = (KqStr){ 0 };
    }
}
