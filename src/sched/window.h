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
  int32_t size;       /* most start orders that may be unanswered */
  int32_t unanswered; /* start orders sent that may still be answered */
} KqWindow;

void kq_window_init (KqWindow *w);
/* Whether another start order may be sent. */
bool kq_window_is_open (const KqWindow *w);
/* Counts a start order that has been sent. */
void kq_window_add (KqWindow *w);
/* Counts an order out: it has been answered, or won't be. */
void kq_window_remove (KqWindow *w);
/* Makes the window larger or smaller by the time that the answer to a start took. */
void kq_window_adapt (KqWindow *w, KqTime took);

#endif
