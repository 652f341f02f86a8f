/* sched_rig_runner: what a runner of the rig does with orders, and what must never
 * happen. */

#include "sched_rig_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
kq_sched_rig_breach (KqSchedRig *r, const char *rule, const char *what)
{
  if (r->broken++ == 0)
    snprintf (r->why, sizeof r->why, "%s: %s at %lld ms", rule, what,
              (long long)(r->now / KQ_MS));
}

/* With KQ_RIG_TRACE=TASK in the environment: what happens to it, on standard error. */
void
kq_sched_rig_trace (const KqSchedRig *r, const char *task, const char *what,
                    const char *where, uint32_t run, int detail)
{
  static const char *wanted;
  if (wanted == NULL)
    {
      wanted = getenv ("KQ_RIG_TRACE");
      if (wanted == NULL)
        wanted = "";
    }
  if (wanted[0] != '\0' && strstr (task, wanted) != NULL)
    fprintf (stderr, "%lld epoch %llu %s %s run %u on %s (%d)\n",
             (long long)(r->now / KQ_MS), (unsigned long long)r->epoch, task, what, run,
             where, detail);
}

int64_t
kq_sched_rig_clock_of (const KqSchedRig *r, const KqSchedRigRunner *n)
{
  return 1000 + (int64_t)((double)(r->now - n->born_at) / KQ_MS * n->rate);
}

KqSchedRigJob *
kq_sched_rig_job_of (KqSchedRig *r, const char *task, int32_t *step, int32_t *index)
{
  KqStr rest = kq_str (task);
  KqStr id = kq_str_cut (&rest, '.');
  char *key = kq_str_dup (id);
  KqSchedRigJob *j = g_hash_table_lookup (r->jobs, key);
  int64_t v = 0;
  kq_str_cut (&rest, '.');
  kq_str_to_i64 (kq_str_cut (&rest, '.'), &v);
  *step = (int32_t)v;
  kq_str_to_i64 (rest, &v);
  *index = (int32_t)v;
  free (key);
  return j;
}

static int
running_elsewhere (KqSchedRig *r, const char *task)
{
  int n = 0;
  for (int i = 0; i < r->n_runners; i++)
    for (guint k = 0; r->runners[i].alive && k < r->runners[i].runs->len; k++)
      n += strcmp (((KqSchedRigRun *)g_ptr_array_index (r->runners[i].runs, k))->task,
                   task)
           == 0;
  return n;
}

static void
check_start (KqSchedRig *r, const KqSchedRigRunner *g, const KqSchedRigRun *run)
{
  int32_t step;
  int32_t index;
  KqSchedRigJob *j = kq_sched_rig_job_of (r, run->task, &step, &index);
  int64_t cpu = 0;
  if (j == NULL)
    {
      kq_sched_rig_breach (r, "unasked", run->task);
      return;
    }
  if (running_elsewhere (r, run->task) > 1)
    kq_sched_rig_breach (r, "twice at a time", run->task);
  if (g_hash_table_contains (r->done, run->task))
    kq_sched_rig_breach (r, "again after done", run->task);
  if (GPOINTER_TO_INT (g_hash_table_lookup (r->failed, run->task)) >= j->attempts
      && !j->spec.steps[step].lasting)
    kq_sched_rig_breach (r, "attempts", run->task);
  for (int32_t k = 0; k < j->spec.steps[step].n_after; k++)
    for (int32_t i = 0; i < j->spec.steps[j->spec.steps[step].after[k]].width; i++)
      {
        char name[96];
        char *ended;
        snprintf (name, sizeof name, "%.*s.0.%d.%d", KQ_STR_ARG (j->spec.id),
                  j->spec.steps[step].after[k], i);
        ended = g_strdup_printf ("ever %s", name);
        if (!g_hash_table_contains (r->done, ended))
          kq_sched_rig_breach (r, "before an earlier step", run->task);
        g_free (ended);
      }
  for (guint k = 0; k < g->runs->len; k++)
    {
      KqSchedRigRun *other = g_ptr_array_index (g->runs, k);
      KqSchedRigJob *o = kq_sched_rig_job_of (r, other->task, &step, &index);
      if (o != NULL && !o->spec.steps[step].filling)
        cpu += o->spec.steps[step].cpu_milli;
    }
  if (cpu > g->room.cpu_milli)
    kq_sched_rig_breach (r, "over the room", run->task);
}

void
kq_sched_rig_end_run (KqSchedRig *r, KqSchedRigRunner *g, guint at, KqEndHow how)
{
  KqSchedRigRun *run = g_ptr_array_index (g->runs, at);
  KqSchedRigEnd *e = kq_alloc (sizeof *e);
  uint32_t highest = GPOINTER_TO_UINT (g_hash_table_lookup (g->highest, run->task));
  e->number = ++g->next_end;
  kq_sched_rig_trace (r, run->task, "ends", g->id, run->run, how);
  e->task = strdup (run->task);
  e->run = run->run;
  e->how = how;
  g_ptr_array_add (g->ends, e);
  if (run->run > highest)
    g_hash_table_insert (g->highest, strdup (run->task), GUINT_TO_POINTER (run->run));
  if (how == KQ_END_DONE)
    g_hash_table_add (r->done, g_strdup_printf ("ever %s", run->task));
  g_ptr_array_remove_index (g->runs, at);
}

/* A runner shortens a lease that is longer than the longest allowed. */
void
kq_sched_rig_extend_lease (const KqSchedRig *r, KqSchedRigRunner *g, int64_t end)
{
  int64_t most = kq_sched_rig_clock_of (r, g) + KQ_SCHED_RIG_LEASE_MS;
  end = end < most ? end : most;
  if (end > g->lease_end_ms)
    g->lease_end_ms = end;
}

KqOrderResult
kq_sched_rig_start_at (KqSchedRig *r, KqSchedRigRunner *g, const KqSchedRigEvent *e)
{
  const char *task = e->order.u.start.task.ptr;
  uint32_t number = e->order.u.start.run;
  int32_t step;
  int32_t index;
  KqSchedRigJob *j = kq_sched_rig_job_of (r, task, &step, &index);
  KqSchedRigRun *run;
  if (e->lease_end_ms < 0)
    return KQ_ORDER_BAD;
  if (e->epoch < g->fence)
    return KQ_ORDER_FENCED;
  g->fence = e->epoch;
  for (guint i = 0; i < g->runs->len; i++)
    {
      run = g_ptr_array_index (g->runs, i);
      if (strcmp (run->task, task) == 0 && run->run == number)
        return KQ_ORDER_OK;
    }
  if (number <= GPOINTER_TO_UINT (g_hash_table_lookup (g->highest, task)))
    return KQ_ORDER_OLD_RUN;
  if (e->lease_end_ms <= kq_sched_rig_clock_of (r, g))
    return KQ_ORDER_LATE;
  kq_sched_rig_extend_lease (r, g, e->lease_end_ms);
  run = kq_alloc (sizeof *run);
  run->task = strdup (task);
  run->run = number;
  run->started_at = r->now;
  run->length = j != NULL ? j->length : KQ_SEC;
  run->fails = g->fails_all || (j != NULL && index == j->fails_index);
  run->lasting = j != NULL && j->spec.steps[step].lasting;
  g_ptr_array_add (g->runs, run);
  r->starts++;
  kq_sched_rig_trace (r, task, "starts", g->id, number,
                      (int)(g->lease_end_ms - kq_sched_rig_clock_of (r, g)));
  check_start (r, g, run);
  return KQ_ORDER_OK;
}

KqOrderResult
kq_sched_rig_stop_at (KqSchedRig *r, KqSchedRigRunner *g, const KqSchedRigEvent *e)
{
  const char *task = e->order.u.start.task.ptr;
  uint32_t number = e->order.u.start.run;
  if (e->epoch < g->fence)
    return KQ_ORDER_FENCED;
  g->fence = e->epoch;
  if (number > GPOINTER_TO_UINT (g_hash_table_lookup (g->highest, task)))
    g_hash_table_insert (g->highest, strdup (task), GUINT_TO_POINTER (number));
  for (guint i = 0; i < g->runs->len; i++)
    {
      const KqSchedRigRun *run = g_ptr_array_index (g->runs, i);
      if (strcmp (run->task, task) == 0 && run->run <= number)
        {
          kq_sched_rig_end_run (r, g, i, KQ_END_STOPPED);
          break;
        }
    }
  return KQ_ORDER_OK;
}

void
kq_sched_rig_restart_runner (KqSchedRig *r, int n)
{
  KqSchedRigRunner *g = &r->runners[n];
  for (guint i = 0; i < g->runs->len; i++)
    {
      const KqSchedRigRun *run = g_ptr_array_index (g->runs, i);
      kq_sched_rig_trace (r, run->task, "dies with its runner", g->id, run->run, 0);
    }
  /* What is under way to a runner that is cut off waits in connections of its earlier
   * life and goes with them. */
  for (guint i = 0; i < r->events->len; i++)
    {
      KqSchedRigEvent *e = g_ptr_array_index (r->events, i);
      if (e->kind != KQ_SCHED_RIG_ORDER || e->runner != n
          || !(r->now < g->cut_until || e->late) || e->due == KQ_TIME_NEVER)
        continue;
      e->due = KQ_TIME_NEVER;
      if (e->answered)
        kq_sched_rig_no_answer (r, e);
    }
  g_ptr_array_set_size (g->runs, 0);
  g_ptr_array_set_size (g->ends, 0);
  g_hash_table_remove_all (g->highest);
  g->alive = true;
  g->fence = 0;
  g->next_end = 0;
  g->lease_end_ms = 0;
  g->born_at = r->now;
  g->born_ms += 100;
}

KqStep
kq_sched_rig_step (int32_t width, int32_t cpu_milli, int32_t estimate_ms)
{
  return (KqStep){ .width = width,
                   .cpu_milli = cpu_milli,
                   .mem_mb = 100,
                   .estimate_ms = estimate_ms,
                   .away_most = -1 };
}

int
kq_sched_rig_running (const KqSchedRig *r, const char *id)
{
  int n = 0;
  size_t len = strlen (id);
  for (int i = 0; i < r->n_runners; i++)
    for (guint k = 0; k < r->runners[i].runs->len; k++)
      {
        const KqSchedRigRun *run = g_ptr_array_index (r->runners[i].runs, k);
        n += strncmp (run->task, id, len) == 0 && run->task[len] == '.';
      }
  return n;
}

KqJobState
kq_sched_rig_state (KqSchedRig *r, const char *id)
{
  return kq_sched_state (r->sched, kq_str (id));
}
