/* sched_rig_check: what must hold at each start of a run, and the checkpoints that runs
 * save. A checkpoint has the form TASK/RUN/N. */

#include "sched_rig_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The leader's stops on a runner that drains may still be carried out so long after the
 * runner has changed its mind. */
#define DRAIN_FORGOTTEN (20 * KQ_SEC)
/* A lasting task is at work so long after its start; a stop before that ends no work. */
#define STARTUP (300 * KQ_MS)
/* Work from one checkpoint to the next. */
#define SAVE_INTERVAL (300 * KQ_MS)

static int
count_runs_of (KqSchedRig *r, const char *task)
{
  int n = 0;
  for (int i = 0; i < r->n_runners; i++)
    for (guint k = 0; r->runners[i].alive && k < r->runners[i].runs->len; k++)
      n += strcmp (((KqSchedRigRun *)g_ptr_array_index (r->runners[i].runs, k))->task,
                   task)
           == 0;
  return n;
}

static int64_t
occurrence_of (const char *task)
{
  KqStr rest = kq_str (task);
  int64_t v = 0;
  kq_str_cut (&rest, '.');
  kq_str_to_i64 (kq_str_cut (&rest, '.'), &v);
  return v;
}

/* The length of the task's name up to the end of its step. */
static size_t
step_len (const char *task)
{
  return (size_t)(strrchr (task, '.') - task);
}

/* A run resumes from a checkpoint of its task, or of its gang, and all members of a run
 * of a gang from the same one. */
static void
check_checkpoint (KqSchedRig *r, KqSchedRigRun *run, const char *checkpoint, bool gang)
{
  size_t n = gang ? step_len (run->task) + 1 : strlen (run->task);
  char *key;
  const char *first;
  snprintf (run->saved, sizeof run->saved, "%s", checkpoint);
  if (checkpoint[0] != '\0'
      && !kq_str_has_prefix (kq_str (checkpoint), kq_str_n (run->task, n)))
    kq_sched_rig_breach (r, "a checkpoint of another task", run->task);
  if (!gang)
    return;
  key = g_strdup_printf ("%.*s/%u", (int)step_len (run->task), run->task, run->run);
  first = g_hash_table_lookup (r->resumed, key);
  if (first != NULL && strcmp (first, checkpoint) != 0)
    kq_sched_rig_breach (r, "members resume from different checkpoints", run->task);
  r->resumed_gangs += first == NULL && checkpoint[0] != '\0';
  if (first == NULL)
    g_hash_table_insert (r->resumed, key, strdup (checkpoint));
  else
    g_free (key);
}

void
kq_sched_rig_check_start (KqSchedRig *r, const KqSchedRigRunner *g, KqSchedRigRun *run,
                          const char *checkpoint)
{
  int32_t step;
  int32_t index;
  KqSchedRigJob *j = kq_sched_rig_job_of (r, run->task, &step, &index);
  int64_t early_ms
      = (r->plays & KQ_SCHED_RIG_CLOCKS) != 0 ? KQ_SCHED_RIG_CLOCK_MAX_MS : 0;
  if (j == NULL)
    {
      kq_sched_rig_breach (r, "unasked", run->task);
      return;
    }
  if (j->spec.n_occurrences > 0
      && r->now / KQ_MS + early_ms
             < j->spec.first_ms + occurrence_of (run->task) * j->spec.interval_ms)
    kq_sched_rig_breach (r, "before its time", run->task);
  if (count_runs_of (r, run->task) > 1 && !j->spec.steps[step].speculative)
    kq_sched_rig_breach (r, "twice at a time", run->task);
  if (g_hash_table_contains (r->done, run->task) && !j->spec.steps[step].speculative)
    kq_sched_rig_breach (r, "again after done", run->task);
  if (GPOINTER_TO_INT (g_hash_table_lookup (r->failures, run->task)) >= j->attempts
      && !j->spec.steps[step].lasting && !j->spec.steps[step].speculative)
    kq_sched_rig_breach (r, "attempts", run->task);
  for (int32_t k = 0; k < j->spec.steps[step].n_after; k++)
    for (int32_t i = 0; i < j->spec.steps[j->spec.steps[step].after[k]].width; i++)
      {
        char name[96];
        char *done_key;
        snprintf (name, sizeof name, "%.*s.%lld.%d.%d", KQ_STR_ARG (j->spec.id),
                  (long long)occurrence_of (run->task), j->spec.steps[step].after[k], i);
        done_key = g_strdup_printf ("ever %s", name);
        if (!g_hash_table_contains (r->done, done_key))
          kq_sched_rig_breach (r, "before an earlier step", run->task);
        g_free (done_key);
      }
  if (kq_sched_rig_cpu_used (r, g) > g->room.cpu_milli)
    kq_sched_rig_breach (r, "over the room", run->task);
  check_checkpoint (r, run, checkpoint, j->spec.steps[step].gang);
}

void
kq_sched_rig_save (const KqSchedRig *r, KqSchedRigRun *run, bool at_stop)
{
  int32_t step;
  int32_t index;
  const KqSchedRigJob *j = kq_sched_rig_job_of (r, run->task, &step, &index);
  if (j == NULL || !j->spec.steps[step].checkpoints
      || (j->spec.steps[step].gang && !run->gang_complete)
      || (!at_stop && r->now - run->saved_at < SAVE_INTERVAL))
    return;
  run->saved_at = r->now;
  snprintf (run->saved, sizeof run->saved, "%s/%u/%d", run->task, run->run,
            ++run->n_saved);
}

void
kq_sched_rig_note_at_work (KqSchedRig *r, const KqSchedRigRun *run)
{
  if (run->lasting && !run->stalled)
    g_hash_table_remove (r->stopped, run->task);
}

/* Whether the task is of the same step as the other one. */
static bool
is_of_step (const char *task, const char *other)
{
  return step_len (task) == step_len (other)
         && strncmp (task, other, step_len (task)) == 0;
}

void
kq_sched_rig_check_away (KqSchedRig *r, const KqSchedRigRunner *g,
                         const KqSchedRigRun *run, const char *rule)
{
  int32_t step;
  int32_t index;
  const KqSchedRigJob *j = kq_sched_rig_job_of (r, run->task, &step, &index);
  GHashTableIter it;
  gpointer task;
  int away = 0;
  if (j == NULL || !run->lasting || run->stalled || r->now - run->started_at < STARTUP
      || g->draining || j->cancelled
      || (g->drained_at != 0 && r->now - g->drained_at < DRAIN_FORGOTTEN)
      || count_runs_of (r, run->task) > 1)
    return;
  g_hash_table_iter_init (&it, r->stopped);
  while (g_hash_table_iter_next (&it, &task, NULL))
    away += is_of_step (task, run->task) && strcmp (task, run->task) != 0;
  g_hash_table_add (r->stopped, strdup (run->task));
  if (j->spec.steps[step].max_unavailable >= 0
      && away >= j->spec.steps[step].max_unavailable)
    kq_sched_rig_breach (r, rule, run->task);
}
