#ifndef KQ_BENCH_GUARD_H
#define KQ_BENCH_GUARD_H

/* guard: runs a test's loop until kq_loop_stop, or until a timeout, so that a missing
 * event fails the test instead of hanging it. */

#include "base/task.h"

void loop_run_with_timeout (KqLoop *loop, double seconds);

#endif
