#include "sched/agents.h"

#include <string.h>

/* Factor, in thousandths, on the load of an agent in another failure domain than the
 * runner. The preference for the runner's own domain is small because a call crosses
 * domains either way, on the link from the leader to the agent or on the one from the
 * agent to the runner. */
#define REMOTE_LOAD_MILLI 1150
/* An agent is overloaded above this percentage of its proportional number of runners. A
 * lower limit would move runners back and forth when hosts come and go. */
#define OVERLOAD_PERCENT 150
/* Bounds on assigned runners whose first list hasn't arrived: UNLISTED_MAX for all agents
 * together; for one agent UNLISTED_PER_AGENT, and one more for each UNLISTED_SHARE_MILLI
 * of its processor share. */
#define UNLISTED_MAX 128
#define UNLISTED_PER_AGENT 8
#define UNLISTED_SHARE_MILLI 10

/* With this many other agents or fewer the leader's own agent is kept ready. It must be
 * stored before it may be used, and the last other agent may be lost while the store is
 * away. */
#define LEADER_READY_AGENTS_MAX 1

static void
remove_lost (KqAgents *a, const KqName *name)
{
  for (int i = 0; i < a->n_lost; i++)
    if (kq_str_eq (kq_name_str (&a->lost[i]), kq_name_str (name)))
      {
        a->lost[i] = a->lost[--a->n_lost];
        return;
      }
}

int
kq_agents_up (KqAgents *a, const KqAgentInfo *info)
{
  int at = -1;
  remove_lost (a, &info->name);
  for (int i = 0; i < a->n; i++)
    if (!a->list[i].up && a->list[i].runners == 0)
      at = i;
  if (at < 0 && a->n == KQ_AGENTS_MAX)
    return -1;
  if (at < 0)
    at = a->n++;
  memset (&a->list[at], 0, sizeof a->list[at]);
  a->list[at].info = *info;
  a->list[at].up = true;
  return at;
}

void
kq_agents_down (KqAgents *a, int agent, bool planned)
{
  a->list[agent].up = false;
  if (!planned && a->n_lost < KQ_AGENTS_MAX)
    a->lost[a->n_lost++] = a->list[agent].info.name;
}

int
kq_agents_leader_needed (const KqAgents *a)
{
  int leader = -1;
  int others = 0;
  for (int i = 0; i < a->n; i++)
    if (a->list[i].up && !a->list[i].info.leader)
      others++;
    else if (a->list[i].up)
      leader = i;
  return others <= LEADER_READY_AGENTS_MAX ? leader : -1;
}

void
kq_agents_set_stored (KqAgents *a, KqStr name)
{
  for (int i = 0; i < a->n; i++)
    if (a->list[i].up && kq_str_eq (kq_name_str (&a->list[i].info.name), name))
      a->list[i].stored = true;
}

static int
count_usable (const KqAgents *a, bool include_leader)
{
  int n = 0;
  for (int i = 0; i < a->n; i++)
    n += a->list[i].up && a->list[i].stored
         && (include_leader || !a->list[i].info.leader);
  return n;
}

bool
kq_agents_any_usable (const KqAgents *a)
{
  return count_usable (a, true) > 0;
}

static bool
at_unlisted_limit (const KqAgentState *g)
{
  return g->unlisted >= UNLISTED_PER_AGENT + g->info.share_milli / UNLISTED_SHARE_MILLI;
}

static int
count_unlisted (const KqAgents *a)
{
  int n = 0;
  for (int i = 0; i < a->n; i++)
    n += a->list[i].unlisted;
  return n;
}

int
kq_agents_pick (const KqAgents *a, KqStr failure_domain)
{
  bool include_leader = count_usable (a, false) == 0;
  int best = -1;
  int64_t best_load = 0;
  if (count_unlisted (a) >= UNLISTED_MAX)
    return -1;
  for (int i = 0; i < a->n; i++)
    {
      const KqAgentState *g = &a->list[i];
      int64_t share = g->info.share_milli > 0 ? g->info.share_milli : 1;
      int64_t load;
      if (!g->up || !g->stored || (g->info.leader && !include_leader)
          || at_unlisted_limit (g))
        continue;
      load = (int64_t)(g->runners + 1) * 1000 * 1000 / share;
      if (!kq_str_eq (kq_name_str (&g->info.failure_domain), failure_domain))
        load = load * REMOTE_LOAD_MILLI / 1000;
      if (best < 0 || load < best_load)
        {
          best = i;
          best_load = load;
        }
    }
  return best;
}

bool
kq_agents_overloaded (const KqAgents *a, int agent, int total)
{
  const KqAgentState *g = &a->list[agent];
  bool include_leader = count_usable (a, false) == 0;
  int64_t shares = 0;
  if (g->info.leader && !include_leader)
    return g->runners > 0;
  for (int i = 0; i < a->n; i++)
    if (a->list[i].up && a->list[i].stored && (include_leader || !a->list[i].info.leader))
      shares += a->list[i].info.share_milli;
  if (shares == 0)
    return false;
  return (int64_t)g->runners * shares * 100
         > ((int64_t)total * g->info.share_milli + shares) * OVERLOAD_PERCENT;
}
