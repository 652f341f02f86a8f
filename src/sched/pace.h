#ifndef KQ_SCHED_PACE_H
#define KQ_SCHED_PACE_H

/* pace: when a filling task's new pace is worth a call to its runner. */

#include <stdbool.h>

/* Paces in percent, as ordered last and as wanted now. */
bool kq_pace_worth_a_call (int ordered, int wanted);

#endif
