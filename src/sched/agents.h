#ifndef KQ_SCHED_AGENTS_H
#define KQ_SCHED_AGENTS_H

/* agents: the agents that are connected, and which of them a runner is assigned to. An
 * agent is the part of a node that sends the leader's orders to runners, reads their
 * lists and renews their leases.
 *
 * Calls to runners cost a node more processor time than scheduling decisions, so runners
 * are spread over the nodes in proportion to their processor shares. The leader's own
 * node gets runners only when no other agent is up: it needs its processor for decisions,
 * and its loss then doesn't cut off runners as well. */

#include "base/str.h"
#include "base/time.h"

#include <glib.h>

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
  bool stored;             /* it is in the stored list of agents (sched/grantors.h) */
  bool used;               /* it has been assigned runners */
  int runners;             /* number of runners assigned to it */
  int unlisted;            /* runners whose first list to it hasn't arrived */
  int advice_requests;     /* unanswered requests to the advice service */
  int advice_failures;     /* those that came to nothing, in a row */
  KqTime advice_free_at;   /* when the service is expected to have answered them all */
  KqTime advice_answer_by; /* when the agent gives up the last one */
  KqTime advice_last;      /* the time that the last one is expected to take */
} KqAgentState;

typedef struct
{
  KqAgentState *list; /* by agent number */
  int n;
  int capacity;
  uint64_t last_advice_request; /* number of the last one sent to any agent */
  GHashTable *by_name;          /* name -> agent number + 1, of those that are up */
  GHashTable *lost; /* names of agents that went down unplanned and haven't come back */
  /* Sums over the agents that are up and stored. */
  int n_usable;       /* the leader's own agent included */
  int n_others;       /* without it */
  int64_t shares;     /* share_milli of the n_others */
  int64_t own_shares; /* share_milli of the leader's own agent */
} KqAgents;

void kq_agents_init (KqAgents *a);
void kq_agents_clear (KqAgents *a);
/* Adds an agent that has connected; returns its number. */
int kq_agents_up (KqAgents *a, const KqAgentInfo *info);
/* planned: it was shut down on purpose, and isn't counted as lost. */
void kq_agents_down (KqAgents *a, int agent, bool planned);
/* The number of the agent of that name that is up; -1: none. */
int kq_agents_find (const KqAgents *a, KqStr name);
bool kq_agents_any_lost (const KqAgents *a);
/* The number of agents that have runners. */
int kq_agents_count_used (const KqAgents *a);
/* Whether some agent may be given runners. */
bool kq_agents_any_usable (const KqAgents *a);
/* The leader's own agent if it must be ready for use, as at most one other agent is up;
 * -1: it needn't be. */
int kq_agents_leader_needed (const KqAgents *a);
/* Notes that the agent of that name is in the stored list: it may be given runners. */
void kq_agents_set_stored (KqAgents *a, KqStr name);
/* Notes that the agent is to be left out of the stored list. */
void kq_agents_set_unused (KqAgents *a, int agent);
/* Whether the agent has so many more of the `total` runners than its processor share
 * calls for that one of them should move to another agent. */
bool kq_agents_overloaded (const KqAgents *a, int agent, int total);
/* Whether a runner that moves between these agents leaves the one it goes to less loaded
 * than the other one was. */
bool kq_agents_move_helps (const KqAgents *a, int from, int to);

#endif
