/* book: the records of jobs with their occurrences, steps and tasks, and their changes
 * when runs end or fail. An occurrence is one execution of all steps of a job; a timed
 * job has several. */

#include "sched/job_bytes.h"
#include "sched/load_pass.h"
#include "sched/tickets.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

KqJob *
kq_book_find (const KqSched *s, KqStr id)
{
  char key[KQ_SPEC_ID_MAX + 1];
  if (!kq_str_copy (id, key, sizeof key))
    return NULL;
  return g_hash_table_lookup (s->jobs, key);
}

bool
kq_book_find_task (const KqSched *s, KqStr name, KqTaskRef *out)
{
  KqStr rest = name;
  KqStr id = kq_str_cut (&rest, '.');
  int64_t n[3] = { -1, -1, -1 };
  for (int i = 0; i < 3; i++)
    if (!kq_str_to_i64 (kq_str_cut (&rest, '.'), &n[i]) || n[i] < 0)
      return false;
  *out = (KqTaskRef){ 0 };
  out->job = kq_book_find (s, id);
  if (out->job == NULL || n[1] >= out->job->spec.n_steps
      || n[2] >= out->job->spec.steps[n[1]].width)
    return false;
  out->occurrence_number = (int32_t)n[0];
  out->step = (int32_t)n[1];
  out->index = (int32_t)n[2];
  for (KqOccurrence *o = out->job->occurrences; o != NULL; o = o->next)
    if (o->number == n[0])
      out->occurrence = o;
  return true;
}

void
kq_book_task_name (const KqRun *r, char out[96])
{
  snprintf (out, 96, "%.*s.%d.%d.%d", KQ_STR_ARG (r->job->spec.id), r->occurrence_number,
            r->step, r->index);
}

KqTaskState *
kq_book_task_state (const KqRun *r)
{
  return r->occurrence == NULL ? NULL : &r->occurrence->steps[r->step].tasks[r->index];
}

/* Time from the decision to start a step to the knowledge of its end, beyond the run time
 * of its tasks: the start order and its answer, the report of the end, and the write of
 * progress. It counts in forecasts by learned run times, which leave no margin for it:
 * jobs that were started as late as possible ended just after their objectives. */
#define STEP_OVERHEAD_MS 120

/* The expected time of the step. forecast: with what it takes beyond its tasks' run time.
 */
static int64_t
expected_step_ms (const KqJob *j, int32_t step, bool forecast)
{
  if (j->step_ms == NULL)
    return j->spec.steps[step].estimate_ms;
  return j->step_ms[step] + (forecast ? STEP_OVERHEAD_MS : 0);
}

/* The expected time of the job's longest chain of dependent steps, without those that are
 * done in the occurrence; NULL: of all, without overhead. */
static int64_t
longest_chain_ms (const KqJob *j, const KqOccurrence *o)
{
  const KqSpec *spec = &j->spec;
  int64_t ends[KQ_SPEC_STEPS_MAX];
  int64_t longest = 0;
  for (int32_t i = 0; i < spec->n_steps; i++)
    {
      const KqStep *p = &spec->steps[i];
      int64_t begin = 0;
      for (int32_t k = 0; k < p->n_after; k++)
        if (ends[p->after[k]] > begin)
          begin = ends[p->after[k]];
      ends[i] = o != NULL && o->steps[i].done == p->width
                    ? 0
                    : begin + expected_step_ms (j, i, o != NULL);
      if (ends[i] > longest)
        longest = ends[i];
    }
  return longest;
}

void
kq_book_open_steps (KqOccurrence *o)
{
  const KqSpec *spec = &o->job->spec;
  for (int32_t i = 0; i < spec->n_steps; i++)
    {
      const KqStep *p = &spec->steps[i];
      bool open = true;
      for (int32_t k = 0; k < p->n_after; k++)
        open = open && o->steps[p->after[k]].done == spec->steps[p->after[k]].width;
      o->steps[i].open = open;
    }
  o->critical_path_ms = longest_chain_ms (o->job, o);
}

int64_t
kq_book_objective_ms (const KqJob *j)
{
  return j->objective_ms;
}

/* Takes over what has been learned into the expected times of the job's steps and its
 * objective. The time of a step is that of the longest of its tasks; a lasting step keeps
 * its estimate.
 *
 * A step's time is never shortened, so that a job doesn't become late because a result
 * has changed: with a stretch of at least 100% a longer step lengthens the objective by
 * as much as the chain, or more. */
static void
update_objective (KqJob *j)
{
  int64_t was = j->objective_ms;
  for (int32_t i = 0; j->step_ms != NULL && i < j->spec.n_steps; i++)
    {
      const KqStep *p = &j->spec.steps[i];
      double ratio
          = p->lasting ? 1 : kq_estimates_longest (j->estimates, j->spec.queue, p->width);
      int64_t ms = llround (p->estimate_ms * ratio);
      if (ms > j->step_ms[i])
        j->step_ms[i] = ms;
    }
  j->objective_ms
      = longest_chain_ms (j, NULL) * j->spec.stretch_percent / 100 + j->spec.slo_ms;
  if (was != 0 && j->objective_ms != was)
    kq_log (KQ_LOG_DEBUG, PART,
            "Objective lengthened by learned run times. job=%.*s queue=%.*s "
            "objective_ms=%lld was=%lld declared_ms=%lld",
            KQ_STR_ARG (j->spec.id), KQ_STR_ARG (j->spec.queue),
            (long long)j->objective_ms, (long long)was,
            (long long)kq_spec_objective_ms (&j->spec));
}

void
kq_book_start_objective (KqJob *j)
{
  if (j->estimates != NULL)
    {
      j->estimates_version = kq_estimates_version (j->estimates);
      free (j->step_ms);
      j->step_ms = kq_alloc ((size_t)j->spec.n_steps * sizeof *j->step_ms);
    }
  j->objective_ms = 0;
  update_objective (j);
}

void
kq_book_update_estimates (KqJob *j)
{
  if (j->estimates == NULL || j->estimates_version == kq_estimates_version (j->estimates))
    return;
  j->estimates_version = kq_estimates_version (j->estimates);
  update_objective (j);
  for (KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
    o->critical_path_ms = longest_chain_ms (j, o);
}

KqOccurrence *
kq_book_add_occurrence (KqJob *j, int32_t number, KqTime due_at)
{
  KqOccurrence *o = kq_alloc (sizeof *o);
  /* A timed job lives for days: its steps' times would stay at the longest ever. */
  if (j->occurrences == NULL)
    kq_book_start_objective (j);
  o->job = j;
  o->number = number;
  o->due_at = due_at;
  o->steps = kq_alloc ((size_t)j->spec.n_steps * sizeof *o->steps);
  for (int32_t i = 0; i < j->spec.n_steps; i++)
    o->steps[i].tasks
        = kq_alloc ((size_t)j->spec.steps[i].width * sizeof *o->steps[i].tasks);
  o->next = j->occurrences;
  j->occurrences = o;
  kq_job_bytes_add_occurrence (j);
  kq_book_open_steps (o);
  return o;
}

static void
free_occurrence (KqOccurrence *o)
{
  kq_job_bytes_drop_occurrence (o->job);
  for (int32_t i = 0; i < o->job->spec.n_steps; i++)
    {
      for (int32_t k = 0; k < o->job->spec.steps[i].width; k++)
        {
          kq_str_drop (&o->steps[i].tasks[k].checkpoint);
          free (o->steps[i].tasks[k].failed_runs);
        }
      free (o->steps[i].tasks);
      kq_str_drop (&o->steps[i].resumes_from);
      kq_tickets_free (o->steps[i].tickets);
    }
  free (o->steps);
  free (o);
}

/* Detaches the occurrence's runs: they can outlive it, until their runner reports their
 * end. */
static void
detach_runs (const KqOccurrence *o)
{
  for (KqRun *run = o->job->run_list; run != NULL; run = run->job_next)
    if (run->occurrence == o)
      run->occurrence = NULL;
}

/* Frees an occurrence that has been removed from its job's list. */
static void
end_occurrence (KqOccurrence *o)
{
  detach_runs (o);
  free_occurrence (o);
}

void
kq_book_job_free (KqJob *j)
{
  while (j->occurrences != NULL)
    {
      KqOccurrence *o = j->occurrences;
      j->occurrences = o->next;
      free_occurrence (o);
    }
  kq_job_bytes_drop_job (j);
  kq_spec_clear (&j->spec);
  kq_buf_free (&j->stored);
  kq_buf_free (&j->batch);
  free (j->images);
  free (j->step_ms);
  free (j);
}

/* Time between batches of progress. Batches save writes, but until the progress is stored
 * runners list the same ends again. The end of a job, which is urgent, is stored sooner,
 * because its client account sees it only then. */
#define STORE_INTERVAL (70 * KQ_MS)
#define STORE_INTERVAL_URGENT (15 * KQ_MS)

static void
mark_dirty (KqSched *s, KqJob *j, KqTime now, bool urgent)
{
  KqTime due = s->stored_at + (urgent ? STORE_INTERVAL_URGENT : STORE_INTERVAL);
  if (!j->dirty)
    j->dirty_number = ++s->dirty_count;
  j->dirty = true;
  if (due < now)
    due = now;
  if (due < s->store_due)
    s->store_due = due;
}

void
kq_book_note_checkpoint (KqSched *s, KqJob *j, KqTime now)
{
  mark_dirty (s, j, now, false);
}

void
kq_book_mark_begun (KqJob *j)
{
  j->begun = true;
  if (j->state == KQ_JOB_WAITING)
    j->state = KQ_JOB_RUNNING;
}

void
kq_book_mark_has_run (KqSched *s, KqJob *j, KqTaskState *t, KqTime now)
{
  t->has_run = true;
  mark_dirty (s, j, now, false);
}

bool
kq_book_has_lost_waiting (const KqStepState *st, const KqStep *p)
{
  for (int32_t i = 0; p->lasting && i < p->width; i++)
    if (st->tasks[i].phase == KQ_TASK_WAITING && st->tasks[i].has_run)
      return true;
  return false;
}

static void
log_job_end (const KqJob *j, KqTime now)
{
  KqBuf spent = { 0 };
  kq_spent_print (&j->spent, &spent);
  kq_log (KQ_LOG_INFO, PART,
          "Job ended. job=%.*s state=%s age_ms=%lld objective_ms=%lld %.*s runs_left=%d",
          KQ_STR_ARG (j->spec.id), kq_job_state_name (j->state),
          (long long)((now - j->accepted_at) / KQ_MS),
          (long long)kq_book_objective_ms (j), KQ_STR_ARG (kq_buf_str (&spent)),
          j->n_runs);
  kq_buf_free (&spent);
}

void
kq_book_end_job (KqSched *s, KqJob *j, KqJobState state, KqTime now)
{
  if (j->state >= KQ_JOB_COMPLETED)
    return;
  j->state = state;
  j->ended_at = now;
  if (s->loaded)
    log_job_end (j, now);
  if (s->loaded && !kq_spec_lasting (&j->spec))
    kq_histogram_add (&s->job_time, now - j->accepted_at);
  if (j->n_runs > 0)
    kq_run_stop_all (s, j, now);
  while (j->occurrences != NULL)
    {
      KqOccurrence *o = j->occurrences;
      j->occurrences = o->next;
      end_occurrence (o);
    }
  mark_dirty (s, j, now, true);
}

static void
finish_occurrence (KqSched *s, KqOccurrence *o, KqTime now)
{
  KqJob *j = o->job;
  KqOccurrence **at = &j->occurrences;
  while (*at != o)
    at = &(*at)->next;
  *at = o->next;
  end_occurrence (o);
  j->finished++;
  mark_dirty (s, j, now, false);
  if (j->finished == kq_spec_occurrences (&j->spec))
    kq_book_end_job (s, j, KQ_JOB_COMPLETED, now);
}

void
kq_book_finish_task (KqSched *s, KqOccurrence *o, int32_t step, int32_t index, KqTime now)
{
  KqStepState *p = &o->steps[step];
  KqTaskState *t = &p->tasks[index];
  if (t->phase == KQ_TASK_DONE)
    return;
  if (t->phase == KQ_TASK_ACTIVE)
    {
      p->active--;
      kq_load_note_done (t->run, now);
    }
  t->phase = KQ_TASK_DONE;
  t->run = NULL;
  kq_str_drop (&t->checkpoint);
  p->done++;
  p->failed_on = NULL;
  p->fails_anywhere = false;
  mark_dirty (s, o->job, now, false);
  if (p->done < o->job->spec.steps[step].width)
    return;
  o->steps_done++;
  s->pass_needed = true;
  if (o->steps_done == o->job->spec.n_steps)
    finish_occurrence (s, o, now);
  else
    kq_book_open_steps (o);
}

/* A task that has run for this long has worked there: its failure has to do with no
 * earlier one. */
#define WORKED_FOR (5 * KQ_SEC)

/* A step whose tasks fail wherever they run would take one runner after the other out of
 * use: a lasting task is started again each time. */
bool
kq_book_failure_blames_runner (KqStepState *st, KqRunnerState *r, KqTime ran)
{
  if (ran >= WORKED_FOR)
    st->fails_anywhere = false;
  else if (st->failed_on != NULL && st->failed_on != r)
    st->fails_anywhere = true;
  st->failed_on = r;
  return !st->fails_anywhere;
}

bool
kq_book_run_has_failed (const KqTaskState *t, uint32_t run)
{
  for (int i = 0; i < t->failures; i++)
    if (t->failed_runs[i] == run)
      return true;
  return false;
}

void
kq_book_add_failure (KqTaskState *t, uint32_t run)
{
  size_t n = (size_t)t->failures + 1;
  if (t->failures == UINT8_MAX)
    return;
  t->failed_runs = kq_realloc (t->failed_runs, n * sizeof *t->failed_runs);
  t->failed_runs[t->failures++] = run;
  if (run > t->last_run)
    t->last_run = run;
}

void
kq_book_fail_task (KqSched *s, KqOccurrence *o, int32_t step, int32_t index, uint32_t run,
                   KqRunnerState *where, KqTime now)
{
  KqTaskState *t = &o->steps[step].tasks[index];
  const KqSpec *spec = &o->job->spec;
  if (t->phase == KQ_TASK_DONE || kq_book_run_has_failed (t, run))
    return;
  t->avoid = where;
  if (spec->steps[step].lasting)
    return;
  kq_book_add_failure (t, run);
  o->job->spent.failed++;
  mark_dirty (s, o->job, now, false);
  kq_log (KQ_LOG_INFO, PART,
          "Task failed. task=%.*s.%d.%d.%d run=%u runner=%s failures=%d attempts=%d",
          KQ_STR_ARG (spec->id), o->number, step, index, run,
          where != NULL ? where->id : "-", t->failures, spec->attempts);
  if (t->failures >= (spec->attempts > 0 ? spec->attempts : 1))
    kq_book_end_job (s, o->job, KQ_JOB_FAILED, now);
}

/* Time after its due time at which an occurrence is created. The leader's clock may be
 * ahead of the other hosts', and a task must not begin before its time; 0.1 s late is
 * harmless. */
#define OCCURRENCE_DELAY_MS 100

static void
create_occurrence (KqSched *s, KqJob *j, KqTime due_at)
{
  kq_book_add_occurrence (j, j->created, due_at);
  j->created++;
  s->pass_needed = true;
}

void
kq_book_create_due (KqSched *s, KqJob *j, KqTime now)
{
  int64_t wall = s->wall_minus_now_ms + now / KQ_MS;
  while (j->created < kq_spec_occurrences (&j->spec) && j->state < KQ_JOB_COMPLETED)
    {
      int64_t due = j->spec.first_ms + j->created * j->spec.interval_ms;
      KqTime at = j->accepted_at;
      if (j->spec.n_occurrences > 0)
        {
          if (wall < due + OCCURRENCE_DELAY_MS)
            return;
          at = now - (wall - due) * KQ_MS;
        }
      if (!kq_job_bytes_has_room (s, j))
        return;
      create_occurrence (s, j, at);
    }
}

void
kq_book_create_listed (KqSched *s, KqTaskRef *t, KqTime now)
{
  KqJob *j = t->job;
  if (t->occurrence != NULL || t->occurrence_number < j->created
      || t->occurrence_number >= kq_spec_occurrences (&j->spec)
      || j->state >= KQ_JOB_COMPLETED)
    return;
  kq_log (KQ_LOG_INFO, PART,
          "A runner lists an occurrence that isn't due here yet. job=%.*s occurrence=%d "
          "created=%d",
          KQ_STR_ARG (j->spec.id), t->occurrence_number, j->created);
  while (j->created <= t->occurrence_number)
    create_occurrence (s, j, now);
  t->occurrence = j->occurrences; /* the last one created */
}

void
kq_book_unlink (KqSched *s, KqJob *j)
{
  if (j->prev == NULL && s->open_jobs != j)
    return;
  if (j->prev != NULL)
    j->prev->next = j->next;
  else
    s->open_jobs = j->next;
  if (j->next != NULL)
    j->next->prev = j->prev;
  j->next = j->prev = NULL;
}

void
kq_book_forget (KqSched *s, KqJob *j)
{
  char id[KQ_SPEC_ID_MAX + 1];
  bool fits = kq_str_copy (j->spec.id, id, sizeof id);
  assert (fits); /* jobs with longer ids aren't accepted */
  (void)fits;
  kq_book_unlink (s, j);
  g_hash_table_remove (s->jobs, id);
}
