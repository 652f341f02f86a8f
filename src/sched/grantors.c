#include "sched/grantors.h"

#include "wire/pack.h"

#include <stdlib.h>

/* Version of the stored format, its first field. */
#define FORMAT_VERSION 1

GHashTable *
kq_grantors_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
}

static KqGrantor *
find_grantor (const KqSched *s, KqStr name)
{
  char key[KQ_NAME_MAX + 1];
  return kq_str_copy (name, key, sizeof key) ? g_hash_table_lookup (s->grantors, key)
                                             : NULL;
}

static KqGrantor *
find_or_add (KqSched *s, KqStr name)
{
  KqGrantor *g = find_grantor (s, name);
  if (g != NULL)
    return g;
  g = kq_alloc (sizeof *g);
  g->name = kq_name (name);
  g->gone = true; /* it has granted nothing yet */
  g_hash_table_insert (s->grantors, kq_str_dup (kq_name_str (&g->name)), g);
  return g;
}

void
kq_grantors_agent_up (KqSched *s, const KqName *name)
{
  KqGrantor *g = find_or_add (s, kq_name_str (name));
  g->up = true;
  g->gone = false;
  /* A write that leaves it out may be under way. */
  g->in_stored_list = g->in_stored_list && g->in_sent_list;
  if (g->in_stored_list)
    kq_agents_set_stored (&s->agents, kq_name_str (name));
  else
    s->used_runners_dirty = true;
}

void
kq_grantors_agent_down (KqSched *s, const KqName *name, KqTime ends)
{
  KqGrantor *g = find_grantor (s, kq_name_str (name));
  if (g == NULL)
    return;
  g->up = false;
  g->gone_at = ends;
}

void
kq_grantors_check_leader (KqSched *s, KqTime now)
{
  int needed = kq_agents_leader_needed (&s->agents);
  for (int i = 0; i < s->agents.n; i++)
    {
      KqAgentState *a = &s->agents.list[i];
      KqGrantor *g
          = a->info.leader ? find_grantor (s, kq_name_str (&a->info.name)) : NULL;
      KqTime gone_at;
      if (i == needed && (g == NULL || !g->up))
        kq_grantors_agent_up (s, &a->info.name);
      if (i == needed || g == NULL || !g->up || a->runners > 0)
        continue;
      gone_at = g->gone_at;
      kq_grantors_agent_down (s, &a->info.name,
                              kq_runners_latest_unseen_lease_end (s, now));
      if (!a->used)
        g->gone_at = gone_at;
      kq_agents_set_unused (&s->agents, i);
    }
}

void
kq_grantors_check (KqSched *s, KqTime now)
{
  GHashTableIter it;
  gpointer value;
  if (now >= s->exclusive_until)
    return;
  g_hash_table_iter_init (&it, s->grantors);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      KqGrantor *g = value;
      if (g->up || g->gone || now < g->gone_at)
        continue;
      g->gone = true;
      s->used_runners_dirty = true;
    }
  if (!s->grantors_complete
      && now >= kq_runners_latest_unseen_lease_end (s, s->started_at))
    s->grantors_complete = s->used_runners_dirty = true;
}

bool
kq_sched_used_agents (KqSched *s, KqStr stored, KqTime now)
{
  KqUnpacked u;
  KqReader r;
  bool good;
  bool complete;
  if (!kq_unpacked_open (&u, stored, &r))
    return false;
  good = kq_read_i64 (&r) == FORMAT_VERSION;
  /* A leader of a version without this list may have been between. */
  complete = kq_read_u64 (&r) + 1 == s->config.term;
  complete = kq_read_bool (&r) && complete;
  while (good && !r.bad && r.left > 0)
    {
      KqGrantor *g = find_or_add (s, kq_read_str (&r));
      g->earlier = g->in_sent_list = g->in_stored_list = true;
      g->gone = false;
      if (g->up)
        kq_agents_set_stored (&s->agents, kq_name_str (&g->name));
      g->gone_at = kq_runners_latest_unseen_lease_end (s, now);
    }
  good = good && !r.bad;
  s->grantors_complete = s->earlier_grantors_known = good && complete;
  kq_unpacked_close (&u);
  return good;
}

void
kq_sched_used_agents_pack (KqSched *s, KqBuf *out)
{
  KqPacker p;
  GHashTableIter it;
  gpointer value;
  size_t n = 0;
  g_hash_table_iter_init (&it, s->grantors);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      KqGrantor *g = value;
      g->in_sent_list = !g->gone;
      n += g->in_sent_list;
    }
  kq_packer_init (&p, out);
  kq_pack_array (&p, 3 + n);
  kq_pack_i64 (&p, FORMAT_VERSION);
  kq_pack_u64 (&p, s->config.term);
  kq_pack_bool (&p, s->grantors_complete);
  g_hash_table_iter_init (&it, s->grantors);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const KqGrantor *g = value;
      if (g->in_sent_list)
        kq_pack_str (&p, kq_name_str (&g->name));
    }
}

void
kq_grantors_stored (KqSched *s)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->grantors);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      KqGrantor *g = value;
      g->in_stored_list = g->in_sent_list;
      if (g->in_stored_list && g->up)
        kq_agents_set_stored (&s->agents, kq_name_str (&g->name));
      else if (g->up)
        s->used_runners_dirty = true; /* it has connected since the list was packed */
    }
  s->assign_soon = true;
}

/* Notes that some agent has granted the runner a lease until `ends`. */
static void
note_granted (KqSched *s, KqStr runner, KqTime ends)
{
  char *id = kq_str_dup (runner);
  KqTime *known = g_hash_table_lookup (s->granted_until, id);
  if (known == NULL)
    {
      known = kq_alloc (sizeof *known);
      g_hash_table_insert (s->granted_until, id, known);
    }
  else
    free (id);
  if (ends > *known)
    *known = ends;
}

void
kq_sched_grants (KqSched *s, int agent, const KqGrantList *l, KqTime now)
{
  KqGrantor *g = find_or_add (s, kq_name_str (&s->agents.list[agent].info.name));
  KqTime restart_ends
      = kq_runners_released_lease_end (s, now - l->process_age_ms * KQ_MS);
  KqTime latest = restart_ends;
  if (s->settled)
    return;
  g->reported = true;
  if (restart_ends > g->restart_ends)
    g->restart_ends = restart_ends;
  for (size_t i = 0; i < l->n_rows; i++)
    {
      KqTime ends = now + l->rows[i].left_ms * KQ_MS;
      note_granted (s, l->rows[i].runner, ends);
      if (ends > latest)
        latest = ends;
    }
  /* One that isn't used under this leader, as the leader's own, grants nothing more. */
  if (!g->up && latest < g->gone_at)
    g->gone_at = latest;
}

void
kq_grantors_apply (KqSched *s, KqTime now)
{
  GHashTableIter it;
  gpointer value;
  KqTime restart_ends = 0; /* the latest of all earlier agents */
  KqTime longest = 0;
  if (!s->earlier_grantors_known || s->settled)
    return;
  g_hash_table_iter_init (&it, s->grantors);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const KqGrantor *g = value;
      if (g->earlier && !g->reported)
        return;
      if (g->earlier && g->restart_ends > restart_ends)
        restart_ends = g->restart_ends;
    }
  s->earlier_grantors_known = false; /* applied */
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      const KqTime *granted = g_hash_table_lookup (s->granted_until, r->id);
      KqTime ends = granted != NULL && *granted > restart_ends ? *granted : restart_ends;
      if (ends < r->earlier_lease_ends)
        r->earlier_lease_ends = ends;
      if (r->used_by_earlier_leader && !r->listed && r->earlier_lease_ends > longest)
        longest = r->earlier_lease_ends;
    }
  kq_log (KQ_LOG_INFO, PART,
          "All agents of earlier leaders have told their leases. agents=%u after_ms=%lld "
          "longest_left_ms=%lld",
          g_hash_table_size (s->grantors), (long long)((now - s->started_at) / KQ_MS),
          (long long)(longest > now ? (longest - now) / KQ_MS : 0));
}
