#include "fleet/peer_reports.h"

#include <glib.h>

#include <stdlib.h>

struct KqPeerReports
{
  GHashTable *by_runner; /* runner -> Report */
};

typedef struct
{
  char *runner;
  uint64_t assignment;
  KqRunDeltaState *runs;
} Report;

static void
free_report (gpointer p)
{
  Report *r = p;
  free (r->runner);
  kq_run_delta_state_free (r->runs);
  free (r);
}

KqPeerReports *
kq_peer_reports_new (void)
{
  KqPeerReports *p = kq_alloc (sizeof *p);
  p->by_runner = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_report);
  return p;
}

void
kq_peer_reports_free (KqPeerReports *p)
{
  g_hash_table_destroy (p->by_runner);
  free (p);
}

/* Returns the runner's last list under this assignment; adds an empty one if there is
 * none. */
static KqRunDeltaState *
find_or_add_runs (KqPeerReports *p, KqStr runner, uint64_t assignment)
{
  char *id = kq_str_dup (runner);
  Report *r = g_hash_table_lookup (p->by_runner, id);
  if (r == NULL || r->assignment != assignment)
    {
      r = kq_alloc (sizeof *r);
      r->runner = id;
      r->assignment = assignment;
      r->runs = kq_run_delta_state_new ();
      g_hash_table_replace (p->by_runner, r->runner, r);
    }
  else
    free (id);
  return r->runs;
}

bool
kq_peer_reports_apply (KqPeerReports *p, const KqAgentItem *changes, KqRunnerList *list,
                       KqRunRow **rows)
{
  KqRunDeltaState *runs
      = find_or_add_runs (p, changes->runner, changes->u.changes.list.assignment);
  *rows = NULL;
  if (!kq_run_delta_apply (runs, &changes->u.changes.running))
    return false;
  *list = changes->u.changes.list;
  list->n_running = kq_run_delta_list (runs, rows);
  list->running = *rows;
  return true;
}
