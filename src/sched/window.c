#include "sched/window.h"

#include <assert.h>

/* An answer before ANSWER_SOON makes the window larger, one after ANSWER_LATE
 * smaller. ANSWER_LATE is a third of the leader's lease: renewals of the lease wait
 * behind the start orders on the link, and must still arrive in time. */
#define ANSWER_SOON (250 * KQ_MS)
#define ANSWER_LATE (500 * KQ_MS)
#define WINDOW_INITIAL 128
#define WINDOW_MIN 64
#define WINDOW_MAX 8192

void
kq_window_init (KqWindow *w)
{
  *w = (KqWindow){ .size = WINDOW_INITIAL };
}

bool
kq_window_is_open (const KqWindow *w)
{
  return w->unanswered < w->size;
}

void
kq_window_add (KqWindow *w)
{
  w->unanswered++;
}

void
kq_window_remove (KqWindow *w)
{
  assert (w->unanswered > 0);
  w->unanswered--;
}

void
kq_window_adapt (KqWindow *w, KqTime took)
{
  if (took < ANSWER_SOON && w->size < WINDOW_MAX)
    w->size++;
  else if (took > ANSWER_LATE && w->size > WINDOW_MIN)
    w->size--;
}
