#ifndef KQ_SCHED_REPORTS_H
#define KQ_SCHED_REPORTS_H

/* reports: whether a message about a runner comes from its present assignment to an
 * agent, and whether the agent still reports on the runner at all.
 *
 * While it has a runner, an agent reports a list or the runner's silence every few
 * seconds, and the outcome of each order. Without a report for UNREPORTED_CHECKS_MAX
 * checks it has lost the runner, and the orders given for it: nothing else would end the
 * wait for their outcome, or for the runner's first list. Then the runner counts as
 * silent, and is assigned anew. Checks are counted instead of time, so that a leader that
 * has hung doesn't take this for the agents' silence. */

#include "sched/state.h"

/* Whether a message of that agent and assignment belongs to the runner's present
 * assignment; then it counts as a report. If not, it is late and must be ignored; the
 * first such message is logged, `what` naming its kind. */
bool kq_reports_is_current_agent (const KqSched *s, KqRunnerState *r, int agent,
                                  uint64_t assignment, const char *what);
/* Takes runners from agents that no longer report on them. To be called every
 * CHECK_INTERVAL. */
void kq_reports_check (KqSched *s, KqTime now);
/* The name of the agent's node; "" for -1. */
KqStr kq_reports_agent_node (const KqSched *s, int agent);

#endif
