#include "sched/hosts.h"

#include <stdlib.h>

void
kq_hosts_remove (KqSched *s, KqRunnerState *r)
{
  KqRunnerState *first = g_hash_table_lookup (s->hosts, r->host);
  KqRunnerState **at = &first;
  while (*at != NULL && *at != r)
    at = &(*at)->host_next;
  if (*at == NULL)
    return; /* its host isn't known */
  *at = r->host_next;
  r->host_next = NULL;
  if (first == NULL)
    g_hash_table_remove (s->hosts, r->host);
  else
    g_hash_table_replace (s->hosts, strdup (r->host), first);
}

void
kq_hosts_set (KqSched *s, KqRunnerState *r, KqStr host)
{
  if (kq_str_eq (kq_str (r->host), host))
    return;
  kq_hosts_remove (s, r);
  free (r->host);
  r->host = kq_str_dup (host);
  if (host.len == 0)
    return;
  r->host_next = g_hash_table_lookup (s->hosts, r->host);
  g_hash_table_replace (s->hosts, strdup (r->host), r);
}

/* Whether all runs that may exist on the runner are known. */
static bool
runs_are_known (const KqSched *s, const KqRunnerState *r, KqTime now)
{
  return r->runs_known || !r->used_by_earlier_leader
         || (now < s->exclusive_until && kq_runners_lease_is_over (r, now));
}

static int64_t
process_start (const KqRunnerState *r)
{
  return r->started_ms > r->entry_started_ms ? r->started_ms : r->entry_started_ms;
}

static bool
started_later (const KqRunnerState *a, const KqRunnerState *b)
{
  int64_t start_a = process_start (a);
  int64_t start_b = process_start (b);
  if (start_a != 0 && start_b != 0 && start_a != start_b)
    return start_a > start_b;
  return a->number > b->number;
}

/* Whether runs may be on a runner whose host isn't known: the list of runners of an
 * earlier version of the program doesn't name it, and its entry is missing. */
static bool
any_unplaced (const KqSched *s, KqTime now)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->host[0] == '\0' && !r->in_store && !r->gone
          && (r->n_runs > 0 || !runs_are_known (s, r, now)))
        return true;
    }
  return false;
}

KqHostAnswer
kq_hosts_runner (const KqSched *s, const char *host, KqTime now, KqRunnerState **out)
{
  bool known = true;
  *out = NULL;
  for (KqRunnerState *r = g_hash_table_lookup (s->hosts, host); r != NULL;
       r = r->host_next)
    {
      if (r->gone)
        continue;
      known = known && runs_are_known (s, r, now);
      if (*out == NULL || started_later (r, *out))
        *out = r;
    }
  if (!known || (*out == NULL && any_unplaced (s, now)))
    return KQ_HOST_IS_UNKNOWN;
  return *out != NULL ? KQ_HOST_HAS_RUNNER : KQ_HOST_IS_EMPTY;
}
