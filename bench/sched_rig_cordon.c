/* sched_rig_cordon: cordons of failure domains, as operators set them in the store, as
 * the leader's node learns of them, and as each agent does. */

#include "sched_rig_impl.h"

#include <stdio.h>

/* Longest time until a node learns of a change. */
#define LEARNED_AFTER_MAX_MS 3500
/* Longest time for which the node of a new leader hasn't read the cordons. */
#define UNREAD_MAX_MS 300
/* One of so many draws changes a cordon. */
#define CORDON_ONE_IN 12

static int
domain_of (const KqSchedRigRunner *g)
{
  int64_t host = 0;
  kq_str_to_i64 (kq_str (g->host + 1), &host);
  return (int)(host % KQ_SCHED_RIG_DOMAINS);
}

const char *
kq_sched_rig_domain (const KqSchedRigRunner *g)
{
  static const char *const names[KQ_SCHED_RIG_DOMAINS] = { "north", "south", "west" };
  return names[domain_of (g)];
}

static const char *
domain_name (int domain)
{
  KqSchedRigRunner g = { 0 };
  snprintf (g.host, sizeof g.host, "h%d", domain);
  return kq_sched_rig_domain (&g);
}

static KqTime
draw_delay (KqSchedRig *r)
{
  return (KqTime)kq_rand_below (&r->extra_rand, LEARNED_AFTER_MAX_MS) * KQ_MS;
}

void
kq_sched_rig_cordon (KqSchedRig *r, int domain, bool on)
{
  KqSchedRigCordon *c = &r->domain_cordons[domain];
  if (c->on == on)
    return;
  c->on = on;
  c->changed_at = r->now;
  c->leader_knows_at = r->now + draw_delay (r);
  for (int i = 0; i < r->n_agents; i++)
    c->agent_knows_at[i] = r->now + draw_delay (r);
  r->revision++;
}

static bool
update_leader_view (KqSchedRig *r, int domain)
{
  const KqSchedRigCordon *c = &r->domain_cordons[domain];
  KqStr name = kq_str (domain_name (domain));
  if (r->now < c->leader_knows_at || r->now < r->store_down_until)
    return false;
  return c->on ? kq_cordons_add (r->cordons, name, r->revision, r->now)
               : kq_cordons_lift (r->cordons, name);
}

void
kq_sched_rig_cordon_tick (KqSchedRig *r)
{
  bool changed = false;
  for (int i = 0; i < KQ_SCHED_RIG_DOMAINS; i++)
    changed = update_leader_view (r, i) || changed;
  if (!r->cordons->complete && r->now >= r->cordons_read_at
      && r->now >= r->store_down_until)
    r->cordons->complete = changed = true;
  if (changed)
    kq_sched_cordons_changed (r->sched, r->now);
}

void
kq_sched_rig_cordon_new_leader (KqSchedRig *r)
{
  if ((r->plays & KQ_SCHED_RIG_CORDONS) == 0)
    return;
  r->cordons->complete = false;
  r->cordons->n = 0;
  r->cordons_read_at
      = r->now + (KqTime)kq_rand_below (&r->extra_rand, UNREAD_MAX_MS) * KQ_MS;
  for (int i = 0; i < KQ_SCHED_RIG_DOMAINS; i++)
    r->domain_cordons[i].leader_knows_at = r->cordons_read_at;
}

bool
kq_sched_rig_agent_knows_cordon (const KqSchedRig *r, int agent, int runner)
{
  const KqSchedRigCordon *c = &r->domain_cordons[domain_of (&r->runners[runner])];
  return r->now >= c->agent_knows_at[agent] ? c->on : !c->on && c->changed_at != 0;
}

void
kq_sched_rig_draw_cordon (KqSchedRig *r)
{
  int domain = (int)kq_rand_below (&r->extra_rand, KQ_SCHED_RIG_DOMAINS);
  if ((r->plays & KQ_SCHED_RIG_CORDONS) != 0
      && kq_rand_below (&r->extra_rand, CORDON_ONE_IN) == 0)
    kq_sched_rig_cordon (r, domain, !r->domain_cordons[domain].on);
}

void
kq_sched_rig_lift_cordons (KqSchedRig *r)
{
  for (int i = 0; i < KQ_SCHED_RIG_DOMAINS; i++)
    kq_sched_rig_cordon (r, i, false);
}

bool
kq_sched_rig_is_cordoned (const KqSchedRig *r, const KqSchedRigRunner *g)
{
  const KqSchedRigCordon *c = &r->domain_cordons[domain_of (g)];
  bool known = r->now >= c->leader_knows_at;
  for (int i = 0; i < r->n_agents; i++)
    known = known && r->now >= c->agent_knows_at[i];
  return c->on || !known;
}

void
kq_sched_rig_check_cordon (KqSchedRig *r, const KqOrder *o)
{
  char task[96];
  if (o->kind != KQ_ORDER_START || !kq_str_copy (o->u.start.task, task, sizeof task))
    return;
  for (int i = 0; i < r->n_runners; i++)
    if (kq_str_eq (o->runner, kq_str (r->runners[i].id))
        && (!r->cordons->complete
            || kq_cordons_find (r->cordons, kq_str (kq_sched_rig_domain (&r->runners[i])))
                   != NULL))
      kq_sched_rig_breach (r, "ordered into a cordoned failure domain", task);
}
