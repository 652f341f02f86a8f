#ifndef KQ_SCHED_AGENTS_H
#define KQ_SCHED_AGENTS_H

/* agents: assigns runners to agents. An agent is the part of a node that sends the
 * leader's orders to runners, reads their lists and renews their leases.
 *
 * Calls to runners cost a node more processor time than scheduling decisions, so runners
 * are spread over the nodes in proportion to their processor shares. The leader's own
 * node gets runners only when no other agent is up: it needs its processor for decisions,
 * and its loss then doesn't cut off runners as well. */

#include "base/str.h"
#include "base/time.h"

typedef struct
{
  KqName name;
  KqName failure_domain;
  int share_milli; /* of a processor, in thousandths */
  bool leader;     /* the leader's own node */
} KqAgentInfo;

typedef struct
{
  KqAgentInfo info;
  bool up;
  bool stored;         /* it is in the stored list of agents (sched/grantors.h) */
  bool used;           /* it has been assigned runners */
  int runners;         /* number of runners assigned to it */
  int unlisted;        /* runners whose first list to it hasn't arrived */
  int advice_requests; /* unanswered requests to the advice service */
} KqAgentState;

#define KQ_AGENTS_MAX 512

typedef struct
{
  KqAgentState list[KQ_AGENTS_MAX];
  int n;
  KqName lost[KQ_AGENTS_MAX]; /* agents that went down unplanned and haven't come back */
  int n_lost;
} KqAgents;

/* Adds an agent that has connected; returns its number, -1: the table is full. */
int kq_agents_up (KqAgents *a, const KqAgentInfo *info);
/* planned: it was shut down on purpose, and isn't counted as lost. */
void kq_agents_down (KqAgents *a, int agent, bool planned);
/* Whether some agent may be given runners. */
bool kq_agents_any_usable (const KqAgents *a);
/* The leader's own agent if it must be ready for use, as at most one other agent is up;
 * -1: it needn't be. */
int kq_agents_leader_needed (const KqAgents *a);
/* Notes that the agent of that name is in the stored list: it may be given runners. */
void kq_agents_set_stored (KqAgents *a, KqStr name);
/* The best agent for one more runner in a failure domain; -1: none is up, or all are at
 * the bound on runners whose first list hasn't arrived.
 *
 * The bound is for the recovery after all nodes were lost, when they come back one by
 * one. Without it the first agent would be assigned the whole fleet, and the lists of
 * hundreds of runners at once would fill a slow link and delay the renewal of the
 * leader's own lease. */
int kq_agents_pick (const KqAgents *a, KqStr failure_domain);
/* Whether the agent has so many more of the `total` runners than its processor share
 * calls for that one of them should move to another agent. */
bool kq_agents_overloaded (const KqAgents *a, int agent, int total);

#endif
