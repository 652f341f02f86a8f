#ifndef KQ_SCHED_PACE_H
#define KQ_SCHED_PACE_H

/* pace: whether a change of a filling task's pace is worth an order to its runner. */

#include <stdbool.h>

/* Paces in percent: the one ordered last, and the one wanted now. */
bool kq_pace_worth_order (int ordered, int wanted);

#endif
