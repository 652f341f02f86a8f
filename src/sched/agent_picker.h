#ifndef KQ_SCHED_AGENT_PICKER_H
#define KQ_SCHED_AGENT_PICKER_H

/* agent_picker: picks the agents for a number of runners. The agents of each failure
 * domain are kept sorted by load, so that the cost of a pick grows with the number of
 * domains and the logarithm of the number of agents. */

#include "sched/agents.h"

typedef struct KqAgentPicker KqAgentPicker;

/* unlisted_max: the bound on runners of all agents whose first list hasn't arrived. It is
 * for the recovery after all nodes were lost, when they come back one by one: without it
 * the first agent would be assigned the whole fleet, and the lists of thousands of
 * runners at once would fill a slow link and delay the renewal of the leader's own lease.
 *
 * The picker is valid until an agent comes up or goes down. */
KqAgentPicker *kq_agent_picker_new (KqAgents *a, int unlisted_max);
void kq_agent_picker_free (KqAgentPicker *p);
/* The best agent for one more runner in a failure domain; -1: none is usable, or the
 * bounds on runners without a first list are reached. */
int kq_agent_picker_pick (KqAgentPicker *p, KqStr failure_domain);
/* Notes that the agent's numbers of runners have changed. */
void kq_agent_picker_update (KqAgentPicker *p, int agent);
/* Counts a runner that has been assigned to the agent and has yet to list its runs. */
void kq_agent_picker_assigned (KqAgentPicker *p, int agent);

#endif
