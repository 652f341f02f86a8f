#include "sched/window.h"

#include <assert.h>

/* An answer that comes sooner than this makes the window larger, one that comes later
 * than LATE smaller. A lead without a renewal lasts three times as long as LATE. */
#define SOON (250 * KQ_MS)
#define LATE (500 * KQ_MS)
#define FIRST 128
#define LEAST 64
#define MOST 8192

void
kq_window_init (KqWindow *w)
{
  *w = (KqWindow){ .size = FIRST };
}

bool
kq_window_open (const KqWindow *w)
{
  return w->under_way < w->size;
}

void
kq_window_sent (KqWindow *w)
{
  w->under_way++;
}

void
kq_window_gone (KqWindow *w)
{
  assert (w->under_way > 0);
  w->under_way--;
}

void
kq_window_answered (KqWindow *w, KqTime took)
{
  if (took < SOON && w->size < MOST)
    w->size++;
  else if (took > LATE && w->size > LEAST)
    w->size--;
}
