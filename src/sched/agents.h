#ifndef KQ_SCHED_AGENTS_H
#define KQ_SCHED_AGENTS_H

/* agents: which entry host talks to which runner.
 *
 * Calls to runners cost an entry host more than decisions do, so they are spread over all
 * hosts by the share of a processor that each has. The leader's own host takes runners
 * only when there is no other: its processor is needed for decisions, and its death then
 * doesn't also take the hands away. */

#include "base/str.h"
#include "base/time.h"

typedef struct
{
  KqName name;
  KqName failure_domain;
  int share_milli; /* of a processor, in thousandths */
  bool leader;     /* the leader's own host */
} KqAgentInfo;

typedef struct
{
  KqAgentInfo info;
  bool up;
  int runners;
  int unheard;   /* of them, that it hasn't told of yet */
  int questions; /* to the advice service, without an answer yet */
} KqAgentState;

#define KQ_AGENTS_MAX 512

typedef struct
{
  KqAgentState list[KQ_AGENTS_MAX];
  int n;
  KqName lost[KQ_AGENTS_MAX]; /* down and not up again since */
  int n_lost;
} KqAgents;

int kq_agents_up (KqAgents *a, const KqAgentInfo *info);
/* planned: it isn't missed. */
void kq_agents_down (KqAgents *a, int agent, bool planned);
/* The best agent for one more runner in a failure domain; -1: none is up, or those that
 * are have their hands full with runners that they haven't told of yet.
 *
 * Load pattern: after the loss of all hosts they come back one by one. The first one back
 * would take the whole fleet, and on a slow link the lists of hundreds of runners at a
 * time keep the leader from renewing its own lease. */
int kq_agents_pick (const KqAgents *a, KqStr failure_domain);
/* Whether the agent carries so much more than its part that a runner should move. */
bool kq_agents_overfull (const KqAgents *a, int agent, int total);

#endif
