#include "agent/grants.h"

#include <glib.h>

#include <stdlib.h>

struct KqGrants
{
  GHashTable *ends; /* runner -> KqTime, owned */
};

KqGrants *
kq_grants_new (void)
{
  KqGrants *g = kq_alloc (sizeof *g);
  g->ends = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return g;
}

void
kq_grants_free (KqGrants *g)
{
  if (g == NULL)
    return;
  g_hash_table_destroy (g->ends);
  free (g);
}

void
kq_grants_record (KqGrants *g, const char *runner, KqTime ends)
{
  KqTime *known = g_hash_table_lookup (g->ends, runner);
  if (known == NULL)
    {
      known = kq_alloc (sizeof *known);
      g_hash_table_insert (g->ends, kq_str_dup (kq_str (runner)), known);
    }
  if (ends > *known)
    *known = ends;
}

KqGrantRow *
kq_grants_list (KqGrants *g, KqTime now, size_t *n)
{
  KqGrantRow *rows = kq_alloc (((size_t)g_hash_table_size (g->ends) + 1) * sizeof *rows);
  GHashTableIter it;
  gpointer runner;
  gpointer ends;
  *n = 0;
  g_hash_table_iter_init (&it, g->ends);
  while (g_hash_table_iter_next (&it, &runner, &ends))
    {
      KqTime left = *(KqTime *)ends - now;
      if (left <= 0)
        g_hash_table_iter_remove (&it);
      else
        rows[(*n)++] = (KqGrantRow){ kq_str (runner), left / KQ_MS + 1 };
    }
  return rows;
}
