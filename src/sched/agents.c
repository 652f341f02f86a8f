#include "sched/agents.h"

#include <string.h>

/* A runner of another failure domain counts so much more, in thousandths: a call crosses
 * domains either way, from the leader or from the agent, so nearness saves little. */
#define FAR_MILLI 1150
/* A host is relieved when it carries this much over its part, in percent; less would move
 * runners back and forth when hosts come and go. */
#define OVERFULL_PERCENT 150
/* So many runners of which nothing has been told are given out at a time: to all hosts,
 * and to one, which gets more the more processor it has. */
#define UNHEARD_MAX 128
#define UNHEARD_OF_ONE 8
#define UNHEARD_MILLI 10

static void
forget_loss (KqAgents *a, const KqName *name)
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
  forget_loss (a, &info->name);
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

static int
usable (const KqAgents *a, bool leader_too)
{
  int n = 0;
  for (int i = 0; i < a->n; i++)
    n += a->list[i].up && (leader_too || !a->list[i].info.leader);
  return n;
}

static bool
hands_full (const KqAgentState *g)
{
  return g->unheard >= UNHEARD_OF_ONE + g->info.share_milli / UNHEARD_MILLI;
}

static int
unheard (const KqAgents *a)
{
  int n = 0;
  for (int i = 0; i < a->n; i++)
    n += a->list[i].unheard;
  return n;
}

int
kq_agents_pick (const KqAgents *a, KqStr failure_domain)
{
  bool leader_too = usable (a, false) == 0;
  int best = -1;
  int64_t best_load = 0;
  if (unheard (a) >= UNHEARD_MAX)
    return -1;
  for (int i = 0; i < a->n; i++)
    {
      const KqAgentState *g = &a->list[i];
      int64_t share = g->info.share_milli > 0 ? g->info.share_milli : 1;
      int64_t load;
      if (!g->up || (g->info.leader && !leader_too) || hands_full (g))
        continue;
      load = (int64_t)(g->runners + 1) * 1000 * 1000 / share;
      if (!kq_str_eq (kq_name_str (&g->info.failure_domain), failure_domain))
        load = load * FAR_MILLI / 1000;
      if (best < 0 || load < best_load)
        {
          best = i;
          best_load = load;
        }
    }
  return best;
}

bool
kq_agents_overfull (const KqAgents *a, int agent, int total)
{
  const KqAgentState *g = &a->list[agent];
  bool leader_too = usable (a, false) == 0;
  int64_t shares = 0;
  if (g->info.leader && !leader_too)
    return g->runners > 0;
  for (int i = 0; i < a->n; i++)
    if (a->list[i].up && (leader_too || !a->list[i].info.leader))
      shares += a->list[i].info.share_milli;
  if (shares == 0)
    return false;
  return (int64_t)g->runners * shares * 100
         > ((int64_t)total * g->info.share_milli + shares) * OVERFULL_PERCENT;
}
