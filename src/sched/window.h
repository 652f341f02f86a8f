#ifndef KQ_SCHED_WINDOW_H
#define KQ_SCHED_WINDOW_H

/* window: how many starts may be under way at once.
 *
 * Load pattern: after a change of leader, or when a burst of work finds much room, tasks
 * by the thousand can start in one pass. Each start carries its job's text; on a thin
 * link the orders of one pass take seconds, and behind them wait the renewals of the
 * lead. The lead is lost, and the next leader has more to start. So starts leave as fast
 * as they are answered in time, and the rest waits here, where it can still be put into
 * another order. */

#include "base/time.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int32_t size;
  int32_t under_way; /* starts that may have an answer yet */
} KqWindow;

void kq_window_init (KqWindow *w);
bool kq_window_open (const KqWindow *w);
void kq_window_sent (KqWindow *w);
/* The order has its answer, or won't have one. */
void kq_window_gone (KqWindow *w);
/* A start was carried out, and its answer took so long. */
void kq_window_answered (KqWindow *w, KqTime took);

#endif
