#ifndef KQ_SCHED_PACE_H
#define KQ_SCHED_PACE_H

/* pace: whether a change of a filling task's pace is worth an order to its runner. */

#include <stdbool.h>

/* Whether to order the wanted pace, given the one ordered last; both in percent. */
bool kq_pace_worth_order (int ordered, int wanted);

#endif
