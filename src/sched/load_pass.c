#include "sched/load_pass.h"
#include "sched/place.h"

#include <limits.h>
#include <math.h>
#include <stdlib.h>

/* Time constant of the efficiency's mean. */
#define EFFICIENCY_DECAY (10.0 * KQ_SEC)
/* This much work counts as done with an efficiency of 1, so that the first few ends don't
 * decide: 5 s of a core. */
#define EFFICIENCY_PRIOR (1000.0 * 5000)
/* Bounds of the efficiency. A burst of failures would make the rate 0, which means
 * unknown. */
#define EFFICIENCY_MIN 0.05
#define EFFICIENCY_MAX 20.0
/* Jobs of no use get a turn while they have less than this share of what runs. */
#define TURN_PERCENT 5
/* A turn in which no task could be started for this time goes to the next job: one that
 * fits on no runner would keep it, and the others would wait as long as an overload
 * lasts. Most tasks run for less than this, so room for a usual task becomes free
 * earlier. */
#define TURN_MAX (2 * KQ_SEC)
/* The size of pieces of free cpu follows the mean of waiting tasks when it is off by more
 * than this share of it. */
#define PIECE_OFF_PERCENT 20

static KqLoadKind
step_kind (const KqStep *p)
{
  if (p->lasting)
    return KQ_LOAD_LASTING;
  return p->filling ? KQ_LOAD_FILLING : KQ_LOAD_RESERVED;
}

static KqLoadSums *
pool_sums (KqSched *s, guint pool, int kind)
{
  KqPool *p = g_ptr_array_index (s->pools, pool);
  return &p->load[kind];
}

/* Efficiency */

static void
decay (KqLoadSums *l, KqTime now)
{
  double left = exp (-(double)(now - l->at) / EFFICIENCY_DECAY);
  l->done *= left;
  l->spent *= left;
  l->at = now;
}

static double
efficiency (const KqLoadSums *l, KqTime now)
{
  double left = exp (-(double)(now - l->at) / EFFICIENCY_DECAY);
  double e = (l->done * left + EFFICIENCY_PRIOR) / (l->spent * left + EFFICIENCY_PRIOR);
  return fmin (fmax (e, EFFICIENCY_MIN), EFFICIENCY_MAX);
}

/* Whether the run's time can be compared with its task's estimate: not that of an adopted
 * run, which began at an unknown time, or of a resumed one. */
static bool
is_measurable (const KqRun *run)
{
  return run != NULL && !kq_run_step (run)->lasting && !run->untimed
         && run->running_at != 0;
}

void
kq_load_note_done (const KqRun *run, KqTime now)
{
  const KqStep *p;
  KqLoadSums *l;
  if (!is_measurable (run))
    return;
  p = kq_run_step (run);
  l = &run->job->pool->load[step_kind (p)];
  decay (l, now);
  l->done += (double)p->cpu_milli * p->estimate_ms;
}

void
kq_load_note_run_end (const KqRun *run, KqTime now)
{
  const KqStep *p = kq_run_step (run);
  KqTime end = run->runner->silent ? run->runner->heard_at : now;
  KqLoadSums *l = &run->job->pool->load[step_kind (p)];
  if (!is_measurable (run) || end <= run->placed_at)
    return;
  decay (l, now);
  l->spent += (double)p->cpu_milli * (double)(end - run->placed_at) / KQ_MS;
}

/* What runs, and free room */

static void
clear_row (KqLoadSums *l, const KqPool *p, int kind)
{
  l->row = (KqLoadRow){ .service = kq_str (p->service), .kind = (KqLoadKind)kind };
  l->no_use_milli = l->waiting_milli = l->waiting_tasks = 0;
  l->turn = NULL;
}

static int64_t
in_pieces (int64_t milli, int64_t piece)
{
  if (milli <= 0)
    return 0;
  return piece > 0 ? milli / piece * piece : milli;
}

void
kq_load_count_running (const KqRunnerState *r, KqPoolSums *out)
{
  if (r->silent || r->gone)
    return;
  out->running_milli[KQ_LOAD_RESERVED] = r->used.cpu_milli - r->lasting_milli;
  out->running_milli[KQ_LOAD_FILLING] = r->filling_milli;
  out->running_milli[KQ_LOAD_LASTING] = r->lasting_milli;
}

void
kq_load_count_fitting (const KqRunnerState *r, KqPoolSums *out)
{
  const KqLoadSums *l = r->pool->load;
  out->fitting_milli[KQ_LOAD_RESERVED] = in_pieces (r->room.cpu_milli - r->used.cpu_milli,
                                                    l[KQ_LOAD_RESERVED].piece_milli);
  out->fitting_milli[KQ_LOAD_FILLING]
      = in_pieces (kq_place_left_to_filling (r), l[KQ_LOAD_FILLING].piece_milli);
}

/* Free room counts like running tasks: before a burst has filled it, and while jobs wait
 * for their own earlier steps only, little runs although much could. */
static void
set_rates (KqSched *s, KqTime now)
{
  for (guint i = 0; s->settled && i < s->pools->len; i++)
    for (int k = 0; k < KQ_LOAD_LASTING; k++)
      {
        KqLoadSums *l = pool_sums (s, i, k);
        l->row.rate = (int64_t)((double)(l->running_milli + l->fitting_milli)
                                * efficiency (l, now));
      }
}

void
kq_load_begin_pass (KqLoadPass *p, KqSched *s, KqTime now)
{
  p->jobs = g_array_new (FALSE, FALSE, sizeof (KqLoadJob));
  for (guint i = 0; i < s->pools->len; i++)
    for (int k = 0; k < KQ_LOAD_KINDS; k++)
      clear_row (pool_sums (s, i, k), g_ptr_array_index (s->pools, i), k);
  set_rates (s, now);
}

/* Waiting jobs */

/* A running task has half of its work to do on average. */
#define RUNNING_DONE_RATIO 2

/* The work of n tasks of the step; a lasting task has none, as it doesn't end. */
static int64_t
tasks_work (const KqStep *p, int32_t n)
{
  return p->lasting ? 0 : kq_load_work (p->cpu_milli, p->estimate_ms, n);
}

static int64_t
tasks_milli (const KqStep *p, int32_t n)
{
  return p->lasting ? 0 : (int64_t)p->cpu_milli * n;
}

/* Of the steps with a waiting task, the one with the lowest rank says for which room the
 * job waits; a lasting one only if there is no other. */
static int
step_rank (const KqStep *p, const KqStepState *st)
{
  return (p->lasting ? 2 : 0) + (st->open ? 0 : 1);
}

void
kq_load_add (KqLoadPass *p, KqOccurrence *o, KqAlone alone, KqTime due, KqTime use_end)
{
  KqLoadSums *sums = o->job->pool->load;
  KqLoadJob j = { .occurrence = o, .alone = alone };
  int lowest = INT_MAX;
  o->place = (KqWaitingPlace){ 0 };
  for (int32_t i = 0; i < o->job->spec.n_steps; i++)
    {
      const KqStep *step = &o->job->spec.steps[i];
      const KqStepState *st = &o->steps[i];
      KqLoadSums *l = &sums[step_kind (step)];
      int32_t n_waiting = step->width - st->done - st->active;
      j.job.begun = j.job.begun || st->done + st->active > 0;
      j.job.work += tasks_work (step, step->width - st->done);
      j.waiting_work += tasks_work (step, n_waiting);
      j.waiting_milli += tasks_milli (step, n_waiting);
      l->row.running_work += tasks_work (step, st->active) / RUNNING_DONE_RATIO;
      if (alone == KQ_ALONE_NO_USE)
        l->no_use_milli += tasks_milli (step, st->active);
      if (n_waiting > 0 && st->open)
        {
          l->waiting_milli += (int64_t)step->cpu_milli * n_waiting;
          l->waiting_tasks += n_waiting;
        }
      if (n_waiting <= 0 || step_rank (step, st) >= lowest)
        continue;
      lowest = step_rank (step, st);
      j.sums = l;
    }
  if (j.sums == NULL)
    return; /* nothing waits */
  j.job.chain_ms = o->critical_path_ms;
  j.job.due = due;
  j.job.use_end = use_end;
  j.job.accepted = o->due_at;
  j.job.returned = o->job->returned;
  g_array_append_val (p->jobs, j);
}

static int
compare_groups (const void *a, const void *b)
{
  const KqLoadJob *x = a;
  const KqLoadJob *y = b;
  if (x->sums != y->sums)
    return (uintptr_t)x->sums < (uintptr_t)y->sums ? -1 : 1;
  if (x->alone != y->alone)
    return x->alone < y->alone ? -1 : 1;
  if (x->job.due != y->job.due)
    return x->job.due < y->job.due ? -1 : 1;
  if (x->occurrence->job->revision != y->occurrence->job->revision)
    return x->occurrence->job->revision < y->occurrence->job->revision ? -1 : 1;
  return 0;
}

static KqWaitingClass
class_alone (KqAlone a)
{
  switch (a)
    {
    case KQ_ALONE_IN_TIME:
      return KQ_WAITING_IN_TIME;
    case KQ_ALONE_LATE:
      return KQ_WAITING_DEFERRED;
    case KQ_ALONE_NO_USE:
      break;
    }
  return KQ_WAITING_NO_USE;
}

/* Decides on jobs of one service and kind that alone stand equally, which come after
 * those with the work `ahead`. */
static void
decide_group (KqLoadJob *jobs, size_t n, KqWaitingLoad *load)
{
  KqWaitingJob *list = kq_alloc (n * sizeof *list);
  for (size_t i = 0; i < n; i++)
    list[i] = jobs[i].job;
  if (load->rate > 0)
    kq_waiting_order (list, n, load);
  for (size_t i = 0; i < n; i++)
    {
      jobs[i].job.place = list[i].place;
      if (load->rate <= 0)
        jobs[i].job.place.class = class_alone (jobs[i].alone);
      jobs[i].occurrence->place = jobs[i].job.place;
      load->work_ahead += jobs[i].job.work;
    }
  load->jobs_ahead += (int64_t)n;
  free (list);
}

/* The least work of a job that was deferred while others are in time. */
static int64_t
least_deferred_work (const KqLoadJob *jobs, size_t n)
{
  int64_t least = 0;
  bool any_in_time = false;
  for (size_t i = 0; i < n; i++)
    if (jobs[i].job.place.class == KQ_WAITING_IN_TIME)
      any_in_time = true;
    else if (least == 0 || jobs[i].job.work < least)
      least = jobs[i].job.work;
  return any_in_time ? least : 0;
}

/* The oldest of the jobs, but those whose turns have passed come last. */
static KqOccurrence *
find_next_turn (const KqLoadJob *jobs, size_t n)
{
  KqOccurrence *next = NULL;
  for (size_t i = 0; i < n; i++)
    {
      KqOccurrence *o = jobs[i].occurrence;
      if (next == NULL || o->turn_passed_at < next->turn_passed_at
          || (o->turn_passed_at == next->turn_passed_at && o->due_at < next->due_at))
        next = o;
    }
  return next;
}

/* Whether the job has had the turn in each pass for TURN_MAX and started nothing. */
static bool
is_turn_unused (const KqSched *s, const KqOccurrence *o, KqTime now)
{
  return o->turn_since != 0 && o->turn_pass + 1 == s->passes
         && now - o->turn_since > TURN_MAX;
}

static void
give_turn (const KqSched *s, KqOccurrence *o, KqTime now)
{
  if (o->turn_since == 0 || o->turn_pass + 1 != s->passes)
    o->turn_since = now;
  o->turn_pass = s->passes;
}

/* Gives one of the jobs of no use a turn. */
static void
choose_turn (const KqSched *s, KqLoadSums *l, const KqLoadJob *jobs, size_t n, KqTime now)
{
  KqOccurrence *o = find_next_turn (jobs, n);
  if (o == NULL || l->row.rate <= 0
      || l->no_use_milli * 100 >= l->running_milli * TURN_PERCENT)
    return;
  if (is_turn_unused (s, o, now))
    {
      kq_log (s->config.features.forecast_order ? KQ_LOG_INFO : KQ_LOG_DEBUG, PART,
              "A job started nothing in its turn. job=%.*s.%d kind=%s turn_ms=%lld",
              KQ_STR_ARG (o->job->spec.id), o->number, kq_load_kind_name (l->row.kind),
              (long long)((now - o->turn_since) / KQ_MS));
      o->turn_passed_at = now;
      o->turn_since = 0;
      o = find_next_turn (jobs, n);
    }
  give_turn (s, o, now);
  l->turn = o;
  if (!s->config.features.forecast_order || o->had_turn)
    return;
  o->had_turn = true;
  kq_log (KQ_LOG_INFO, PART,
          "A job of no use any more gets its turn. job=%.*s.%d kind=%s age_ms=%lld "
          "running_milli=%lld of_no_use_milli=%lld",
          KQ_STR_ARG (o->job->spec.id), o->number, kq_load_kind_name (l->row.kind),
          (long long)((now - o->due_at) / KQ_MS), (long long)l->running_milli,
          (long long)l->no_use_milli);
}

/* Logs when the class of a waiting job has changed. */
static void
log_place (const KqLoadJob *j, KqTime now)
{
  KqOccurrence *o = j->occurrence;
  const KqWaitingPlace *p = &j->job.place;
  if (p->class == o->logged)
    return;
  kq_log (o->logged == KQ_WAITING_IN_TIME ? KQ_LOG_INFO : KQ_LOG_DEBUG, PART,
          "Place of a waiting job. job=%.*s.%d kind=%s class=%s age_ms=%lld due_ms=%lld "
          "forecast_ms=%lld work=%lld work_ahead=%lld jobs_ahead=%lld rate=%lld "
          "returned=%d",
          KQ_STR_ARG (o->job->spec.id), o->number, kq_load_kind_name (j->sums->row.kind),
          kq_waiting_class_name (p->class), (long long)((now - o->due_at) / KQ_MS),
          (long long)((j->job.due - now) / KQ_MS),
          (long long)((p->forecast_end - now) / KQ_MS), (long long)j->job.work,
          (long long)p->work_ahead, (long long)p->jobs_ahead,
          (long long)j->sums->row.rate, j->job.returned);
  o->logged = p->class;
}

void
kq_load_decide (KqLoadPass *p, KqSched *s, KqDeferRule rule, KqTime now)
{
  KqWaitingLoad load = { 0 };
  const KqLoadSums *last = NULL;
  if (p->jobs->len > 0)
    qsort (p->jobs->data, p->jobs->len, sizeof (KqLoadJob), compare_groups);
  for (guint i = 0, end; i < p->jobs->len; i = end)
    {
      KqLoadJob *first = &g_array_index (p->jobs, KqLoadJob, i);
      KqLoadSums *l = first->sums;
      for (end = i; end < p->jobs->len; end++)
        {
          const KqLoadJob *j = &g_array_index (p->jobs, KqLoadJob, end);
          if (j->sums != l || j->alone != first->alone)
            break;
        }
      if (l->row.kind == KQ_LOAD_LASTING)
        continue;
      if (l != last)
        load = (KqWaitingLoad){ .now = now, .rate = l->row.rate, .rule = rule };
      last = l;
      decide_group (first, end - i, &load);
      if (first->alone == KQ_ALONE_IN_TIME)
        l->row.cut_work = least_deferred_work (first, end - i);
      if (first->alone == KQ_ALONE_NO_USE)
        choose_turn (s, l, first, end - i, now);
      for (guint k = i; s->config.features.forecast_order && k < end; k++)
        log_place (&g_array_index (p->jobs, KqLoadJob, k), now);
    }
}

bool
kq_load_has_turn (const KqOccurrence *o)
{
  const KqLoadSums *l = o->job->pool->load;
  return l[KQ_LOAD_RESERVED].turn == o || l[KQ_LOAD_FILLING].turn == o;
}

/* The account after the pass */

/* Whether a waiting task of the step shows that others of its size find no room: one that
 * needs a label or a gpu may wait beside free cpu. */
static bool
needs_only_cpu (const KqStep *p)
{
  return p->label.len == 0 && p->gpus == 0;
}

/* What the job still has waiting after the starts of the pass. */
static void
sum_up_job (const KqLoadJob *j)
{
  KqOccurrence *o = j->occurrence;
  KqLoadRow *row = &j->sums->row;
  bool late = j->alone != KQ_ALONE_IN_TIME || j->job.place.class != KQ_WAITING_IN_TIME;
  int64_t waiting = 0;
  int64_t waiting_milli = 0;
  bool waits = false;
  for (int32_t i = 0; i < o->job->spec.n_steps; i++)
    {
      const KqStep *p = &o->job->spec.steps[i];
      int32_t n = p->width - o->steps[i].done - o->steps[i].active;
      waiting += tasks_work (p, n);
      waiting_milli += tasks_milli (p, n);
      waits = waits || n > 0;
      if (n > 0 && o->steps[i].open && step_kind (p) == row->kind && needs_only_cpu (p)
          && (row->waiting_milli == 0 || p->cpu_milli < row->waiting_milli))
        row->waiting_milli = p->cpu_milli;
    }
  if (waiting_milli < j->waiting_milli)
    o->turn_since = 0;
  j->sums->running_milli += j->waiting_milli - waiting_milli;
  j->sums->fitting_milli -= j->waiting_milli - waiting_milli;
  row->running_work += (j->waiting_work - waiting) / RUNNING_DONE_RATIO;
  row->waiting_jobs += waits;
  if (row->kind == KQ_LOAD_LASTING || !waits)
    return;
  row->late_jobs += late;
  if (late)
    row->late_work += waiting;
  else
    row->in_time_work += waiting;
}

/* Sets the size of pieces by the tasks that wait, if it is far off. Returns whether it
 * has changed. */
static bool
adapt_piece (KqLoadSums *l)
{
  int64_t mean = l->waiting_tasks > 0 ? l->waiting_milli / l->waiting_tasks : 0;
  if (mean == 0 || llabs (mean - l->piece_milli) * 100 <= mean * PIECE_OFF_PERCENT)
    return false;
  l->piece_milli = mean;
  return true;
}

void
kq_load_end_pass (KqLoadPass *p, KqSched *s, KqTime now)
{
  for (guint i = 0; i < p->jobs->len; i++)
    sum_up_job (&g_array_index (p->jobs, KqLoadJob, i));
  for (guint i = 0; i < s->pools->len; i++)
    for (int k = 0; k < KQ_LOAD_KINDS; k++)
      {
        KqLoadSums *l = pool_sums (s, i, k);
        l->fitting_milli = l->fitting_milli > 0 ? l->fitting_milli : 0;
        if (adapt_piece (l))
          ((KqPool *)g_ptr_array_index (s->pools, i))->pieces_changed = true;
      }
  set_rates (s, now);
  s->load_at = now;
  if (s->settled)
    s->load_number++;
  g_array_free (p->jobs, TRUE);
}
