#include "guard.h"

#include <ev.h>

static void
on_timeout (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (ev, EVBREAK_ALL);
}

void
loop_run_with_timeout (KqLoop *loop, double seconds)
{
  ev_timer timer;
  ev_timer_init (&timer, on_timeout, seconds, 0);
  ev_timer_start (kq_loop_ev (loop), &timer);
  kq_loop_run (loop);
  ev_timer_stop (kq_loop_ev (loop), &timer);
}
