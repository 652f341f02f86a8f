#ifndef KQ_SCHED_WINDOW_H
#define KQ_SCHED_WINDOW_H

/* window: limits how many start orders may be unanswered at once.
 *
 * After a change of leader, or when a burst of work finds much room, thousands of tasks
 * can start in one placing pass. Each start order carries its job's text; on a slow link
 * the orders of one pass would take seconds, and the renewals of the leader's lease would
 * queue behind them. The lease would be lost, and the next leader would have even more to
 * start. So orders are sent at the rate at which they are answered in time, and the other
 * tasks wait in the scheduler, where their order can still change. */

#include "base/time.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int32_t size;
  int32_t unanswered; /* start orders that may still be answered */
} KqWindow;

void kq_window_init (KqWindow *w);
bool kq_window_is_open (const KqWindow *w);
void kq_window_add (KqWindow *w);
/* The order has been answered, or won't be. */
void kq_window_remove (KqWindow *w);
/* A start was carried out, answered after `took`. */
void kq_window_adapt (KqWindow *w, KqTime took);

#endif
