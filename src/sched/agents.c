#include "sched/agents.h"

#include <stdlib.h>
#include <string.h>

/* An agent is overloaded above this percentage of its proportional number of runners. A
 * lower limit would move runners back and forth when hosts come and go. */
#define OVERLOAD_PERCENT 150
/* With this many other agents or fewer the leader's own agent is kept ready. It must be
 * stored before it may be used, and the last other agent may be lost while the store is
 * away. */
#define LEADER_READY_AGENTS_MAX 1

void
kq_agents_init (KqAgents *a)
{
  *a = (KqAgents){ 0 };
  a->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  a->lost = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
}

void
kq_agents_clear (KqAgents *a)
{
  g_hash_table_destroy (a->by_name);
  g_hash_table_destroy (a->lost);
  g_free (a->list);
}

/* Adds the agent to the sums over usable agents (sign 1), or takes it out (-1). */
static void
count_usable (KqAgents *a, const KqAgentState *g, int sign)
{
  if (!g->up || !g->stored)
    return;
  a->n_usable += sign;
  if (g->info.leader)
    a->own_shares += sign * g->info.share_milli;
  else
    {
      a->n_others += sign;
      a->shares += sign * g->info.share_milli;
    }
}

/* Returns the number of an unused row. */
static int
add_row (KqAgents *a)
{
  for (int i = 0; i < a->n; i++)
    if (!a->list[i].up && a->list[i].runners == 0)
      return i;
  if (a->n == a->capacity)
    {
      a->capacity = a->capacity == 0 ? 16 : 2 * a->capacity;
      a->list = g_realloc_n (a->list, (gsize)a->capacity, sizeof *a->list);
    }
  return a->n++;
}

int
kq_agents_up (KqAgents *a, const KqAgentInfo *info)
{
  char *name = kq_str_dup (kq_name_str (&info->name));
  int at = add_row (a);
  a->list[at] = (KqAgentState){ .info = *info, .up = true };
  g_hash_table_remove (a->lost, name);
  g_hash_table_replace (a->by_name, name, GINT_TO_POINTER (at + 1));
  return at;
}

void
kq_agents_down (KqAgents *a, int agent, bool planned)
{
  KqAgentState *g = &a->list[agent];
  char *name = kq_str_dup (kq_name_str (&g->info.name));
  count_usable (a, g, -1);
  g->up = false;
  if (kq_agents_find (a, kq_str (name)) == agent)
    g_hash_table_remove (a->by_name, name);
  if (planned)
    free (name);
  else
    g_hash_table_add (a->lost, name);
}

int
kq_agents_find (const KqAgents *a, KqStr name)
{
  char key[KQ_NAME_MAX + 1];
  if (!kq_str_copy (name, key, sizeof key))
    return -1;
  return GPOINTER_TO_INT (g_hash_table_lookup (a->by_name, key)) - 1;
}

bool
kq_agents_any_lost (const KqAgents *a)
{
  return g_hash_table_size (a->lost) > 0;
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
  int at = kq_agents_find (a, name);
  if (at < 0 || a->list[at].stored)
    return;
  a->list[at].stored = true;
  count_usable (a, &a->list[at], 1);
}

void
kq_agents_set_unused (KqAgents *a, int agent)
{
  count_usable (a, &a->list[agent], -1);
  a->list[agent].stored = a->list[agent].used = false;
}

int
kq_agents_count_used (const KqAgents *a)
{
  int n = 0;
  for (int i = 0; i < a->n; i++)
    n += a->list[i].runners > 0;
  return n;
}

bool
kq_agents_any_usable (const KqAgents *a)
{
  return a->n_usable > 0;
}

bool
kq_agents_overloaded (const KqAgents *a, int agent, int total)
{
  const KqAgentState *g = &a->list[agent];
  int64_t shares = a->n_others > 0 ? a->shares : a->own_shares;
  if (g->info.leader && a->n_others > 0)
    return g->runners > 0;
  if (shares == 0)
    return false;
  return (int64_t)g->runners * shares * 100
         > ((int64_t)total * g->info.share_milli + shares) * OVERLOAD_PERCENT;
}

static int64_t
share_of (const KqAgentState *g)
{
  return g->info.share_milli > 0 ? g->info.share_milli : 1;
}

bool
kq_agents_move_helps (const KqAgents *a, int from, int to)
{
  const KqAgentState *f = &a->list[from];
  const KqAgentState *t = &a->list[to];
  if (f->info.leader)
    return true;
  return (int64_t)(t->runners + 1) * share_of (f) < (int64_t)f->runners * share_of (t);
}
