#ifndef KQ_SCHED_DRAIN_H
#define KQ_SCHED_DRAIN_H

/* drain: frees a host of its runs before its maintenance. */

#include "sched/state.h"

/* Whether the host of the runner may go down now. since: when its drain began. */
bool kq_drain_is_done (const KqRunnerState *r, KqTime since, KqTime now);
/* Stops the runs on the host's runner that can go on elsewhere. Returns kq_drain_is_done.
 */
bool kq_drain_host (KqSched *s, KqRunnerState *r, KqTime since, KqTime now);
/* Whether the drain has gone on for too long while a task waits that may need the room of
 * this host. It should be given up then. */
bool kq_drain_is_blocked (const KqSched *s, const KqRunnerState *r, KqTime since,
                          KqTime now);
/* Whether a drain of the runner's host would leave tasks that wait without any runner
 * that has their label, while another host with the label is drained or down. */
bool kq_drain_takes_last_of_label (const KqSched *s, const KqRunnerState *r);

#endif
