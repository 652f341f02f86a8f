#ifndef KQ_BENCH_GUARD_H
#define KQ_BENCH_GUARD_H

/* guard: runs a test's loop until kq_loop_stop, or until a timeout, so that a missing
 * event fails the test instead of hanging it. */

#include "base/task.h"

void guard_run (KqLoop *loop, double seconds);

#endif
