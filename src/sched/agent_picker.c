#include "sched/agent_picker.h"

#include <stdlib.h>

/* Factor, in thousandths, on the load of an agent in another failure domain than the
 * runner. The preference for the runner's own domain is small because a call crosses
 * domains either way, on the link from the leader to the agent or on the one from the
 * agent to the runner. */
#define REMOTE_LOAD_MILLI 1150
/* Bound on one agent's runners whose first list hasn't arrived: UNLISTED_PER_AGENT, and
 * one more for each UNLISTED_SHARE_MILLI of its processor share. */
#define UNLISTED_PER_AGENT 8
#define UNLISTED_SHARE_MILLI 10

typedef struct
{
  const KqName *name;
  GSequence *agents; /* agent number + 1, sorted by load */
} Domain;

struct KqAgentPicker
{
  KqAgents *agents;
  bool include_leader; /* no other agent is usable */
  int unlisted_left;
  GArray *domains;      /* Domain */
  GSequenceIter **rows; /* by agent number; NULL: it takes no runner now */
};

static int64_t
load_of (const KqAgentState *g)
{
  int64_t share = g->info.share_milli > 0 ? g->info.share_milli : 1;
  return (int64_t)(g->runners + 1) * 1000 * 1000 / share;
}

static gint
compare_loads (gconstpointer a, gconstpointer b, gpointer agents)
{
  int i = GPOINTER_TO_INT (a) - 1;
  int k = GPOINTER_TO_INT (b) - 1;
  int64_t x = load_of (&((KqAgents *)agents)->list[i]);
  int64_t y = load_of (&((KqAgents *)agents)->list[k]);
  if (x != y)
    return x < y ? -1 : 1;
  return i < k ? -1 : i > k;
}

static bool
takes_runners (const KqAgentPicker *p, const KqAgentState *g)
{
  return g->up && g->stored && (!g->info.leader || p->include_leader)
         && g->unlisted < UNLISTED_PER_AGENT + g->info.share_milli / UNLISTED_SHARE_MILLI;
}

static GSequence *
domain_agents (KqAgentPicker *p, const KqName *name)
{
  Domain d = { name, NULL };
  for (guint i = 0; i < p->domains->len; i++)
    {
      const Domain *known = &g_array_index (p->domains, Domain, i);
      if (kq_name_eq (known->name, name))
        return known->agents;
    }
  d.agents = g_sequence_new (NULL);
  g_array_append_val (p->domains, d);
  return d.agents;
}

void
kq_agent_picker_update (KqAgentPicker *p, int agent)
{
  const KqAgentState *g = &p->agents->list[agent];
  bool takes = takes_runners (p, g);
  if (p->rows[agent] != NULL && takes)
    g_sequence_sort_changed (p->rows[agent], compare_loads, p->agents);
  else if (p->rows[agent] != NULL)
    {
      g_sequence_remove (p->rows[agent]);
      p->rows[agent] = NULL;
    }
  else if (takes)
    p->rows[agent] = g_sequence_insert_sorted (domain_agents (p, &g->info.failure_domain),
                                               GINT_TO_POINTER (agent + 1), compare_loads,
                                               p->agents);
}

KqAgentPicker *
kq_agent_picker_new (KqAgents *a, int unlisted_max)
{
  KqAgentPicker *p = kq_alloc (sizeof *p);
  p->agents = a;
  p->include_leader = a->n_others == 0;
  p->unlisted_left = unlisted_max;
  p->domains = g_array_new (FALSE, FALSE, sizeof (Domain));
  p->rows = kq_alloc (((size_t)a->n + 1) * sizeof (GSequenceIter *));
  for (int i = 0; i < a->n; i++)
    {
      p->unlisted_left -= a->list[i].unlisted;
      kq_agent_picker_update (p, i);
    }
  return p;
}

void
kq_agent_picker_free (KqAgentPicker *p)
{
  if (p == NULL)
    return;
  for (guint i = 0; i < p->domains->len; i++)
    g_sequence_free (g_array_index (p->domains, Domain, i).agents);
  g_array_free (p->domains, TRUE);
  free (p->rows);
  free (p);
}

int
kq_agent_picker_pick (KqAgentPicker *p, KqStr failure_domain)
{
  int best = -1;
  int64_t best_load = 0;
  if (p->unlisted_left <= 0)
    return -1;
  for (guint i = 0; i < p->domains->len; i++)
    {
      const Domain *d = &g_array_index (p->domains, Domain, i);
      GSequenceIter *first = g_sequence_get_begin_iter (d->agents);
      int at;
      int64_t load;
      if (g_sequence_iter_is_end (first))
        continue;
      at = GPOINTER_TO_INT (g_sequence_get (first)) - 1;
      load = load_of (&p->agents->list[at]);
      if (!kq_str_eq (kq_name_str (d->name), failure_domain))
        load = load * REMOTE_LOAD_MILLI / 1000;
      if (best < 0 || load < best_load || (load == best_load && at < best))
        {
          best = at;
          best_load = load;
        }
    }
  return best;
}

void
kq_agent_picker_assigned (KqAgentPicker *p, int agent)
{
  p->unlisted_left--;
  kq_agent_picker_update (p, agent);
}
