/* place: which runner a task goes to.
 *
 * Load pattern: tasks that serve, tasks with room of their own and tasks that fill what
 * is left share the runners; reserved room is never exceeded (it is counted from the
 * start order to the runner's word that the run is over). Work is spread, as a filling
 * task takes what its neighbours leave, and the loss of a runner then costs every job a
 * little. */

#include "sched/harm.h"

#include <stdlib.h>
#include <string.h>

/* A filling task goes only where this share of its cpu is unused, in percent: with less
 * it would crawl beside others that crawl too, and hold memory. */
#define FILL_NEEDS_PERCENT 60
/* Serving tasks use less than they reserve: 42% on the mean in reports, swinging by half.
 */
#define SERVING_USE_PERCENT 60
/* Weights of a runner's score, in parts of its whole cpu. Where a figure of worth stands
 * beside one, days without it earned so much less, of what could be earned (8 simulated
 * days with faults each; 66 runners of 32 cores, then of 64). */
#define W_FAR 1.0    /* the step's data lies on another rack */
#define W_SLOW 0.6   /* for each doubling of the time that tasks take there */
#define W_FAILS 0.25 /* for each recent failure */
/* A runner counts as slow from this multiple of the mean on: estimates are off by half.
 */
#define SLOW_FROM 1.3
#define SLOWNESS_LEAST 0.1
/* Of the slack that a serving task would lose to what fills there; 0.011, 0.017. */
#define W_PRESSED 0.5
/* Serving tasks of one image go together: a filling image disturbs one or two serving
 * images out of several, so a runner with few of them is open to more filling tasks;
 * 0.035. */
#define W_IMAGE 0.6
/* So do serving tasks of one step: their load rises and falls at the same time, and in
 * between there is room for what disturbs them; 0.003, 0.009. */
#define W_STEP 1.5
/* What can fill beside serving tasks leaves the runners without any to what can't; 0.006,
 * 0.003. */
#define W_OPEN 0.4
/* Short tasks with room of their own don't disturb serving ones: they go beside them and
 * leave the other runners to what fills; 0.004 on the smaller ones. */
#define W_BESIDE 0.5
/* Lasting tasks fill runners up one after the other; 0.011 on the larger ones. */
#define W_SERVE_FREE 0.4
/* A filling task never starts at less than this share of its speed. */
#define SPEED_LEAST 0.2
/* It puts up with half of its speed after waiting for so many times its length: tasks
 * that start at once where they are slowed push tails over their targets until the first
 * report. Without waiting the same days earned 0.021 less. */
#define PATIENCE 30
/* While half of the room is free no job stands still for longer than this. */
#define IDLE_LONGEST (2 * KQ_SEC)

/* What is left of the runner's cpu when filling tasks have theirs. */
static int64_t
cpu_to_fill (const KqRunnerState *r)
{
  return r->room.cpu_milli - (r->used.cpu_milli - r->serving)
         - r->serving * SERVING_USE_PERCENT / 100 - r->filling;
}

/* Beside what fills already there is room for one more task, if its job has no other. */
static bool
room_for (const KqRunnerState *r, const KqStep *p, bool idles)
{
  if (r->used.mem_mb + p->mem_mb > r->room.mem_mb
      || r->used.gpus + p->gpus > r->room.gpus)
    return false;
  if (!p->filling)
    return r->used.cpu_milli + p->cpu_milli <= r->room.cpu_milli;
  return idles || cpu_to_fill (r) >= (int64_t)p->cpu_milli * FILL_NEEDS_PERCENT / 100;
}

/* Whether the runner could hold the task if nothing else ran there. */
static bool
ever_fits (const KqRunnerState *r, const KqStep *p)
{
  return p->mem_mb <= r->room.mem_mb && p->gpus <= r->room.gpus
         && (p->filling || p->cpu_milli <= r->room.cpu_milli);
}

static bool
has_label (const KqRunnerState *r, KqStr label)
{
  return label.len == 0 || kq_str_eq (label, kq_str (r->kind))
         || kq_str_eq (label, kq_str (r->rack));
}

static int
of_step (const KqRunnerState *r, const KqOccurrence *o, int32_t step)
{
  int n = 0;
  for (const KqRun *run = r->runs; run != NULL; run = run->next)
    n += run->job == o->job && run->step == step && run->occurrence_number == o->number;
  return n;
}

static bool
usable (const KqRunnerState *r, KqTime now)
{
  return r->in_store && r->known_stored && r->listed && !r->silent && !r->foreign
         && !r->draining && !r->leaving && r->agent >= 0 && now >= r->suspect_until;
}

/* Of the serving tasks on the runner, the part that have other images, less the part that
 * have the same. */
static double
strangers (const KqRunnerState *r, int image)
{
  double same = r->serving_images[image];
  return r->n_serving > 0 ? (r->n_serving - 2 * same) / r->n_serving : 0;
}

/* Of the serving tasks on the runner, the part that belong to the same step. */
static double
of_own_step (const KqRunnerState *r, const KqOccurrence *o, int32_t step)
{
  return r->n_serving > 0 ? (double)of_step (r, o, step) / r->n_serving : 0;
}

/* What speaks for the runner by the kind of the task, in parts of its cpu. */
static double
score_by_kind (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o,
               int32_t step)
{
  const KqStep *p = &o->job->spec.steps[step];
  int image = o->job->images[step];
  double whole = r->room.cpu_milli > 0 ? (double)r->room.cpu_milli : 1;
  double unused = (double)(r->room.cpu_milli - r->used.cpu_milli) / whole;
  if (p->filling)
    return (double)cpu_to_fill (r) / whole - (r->n_lasting == 0 ? W_OPEN : 0);
  if (p->target_ms > 0)
    return -W_SERVE_FREE * unused - W_PRESSED * kq_harm_press_by (s, r, image)
           - W_IMAGE * strangers (r, image) + W_STEP * of_own_step (r, o, step);
  if (p->lasting)
    return -W_SERVE_FREE * unused;
  return unused + (r->n_serving > 0 ? W_BESIDE : 0);
}

/* What speaks against it, whatever the task is. */
static double
penalty (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o, int32_t step)
{
  const KqStep *p = &o->job->spec.steps[step];
  const KqStepState *st = &o->steps[step];
  double mean = s->slowness_mean > SLOWNESS_LEAST ? s->slowness_mean : SLOWNESS_LEAST;
  double slow = r->slowness / mean;
  double v = W_FAILS * r->fails;
  if (slow > SLOW_FROM)
    v += W_SLOW * (slow - 1);
  if (p->rack.len > 0 && !kq_str_eq (p->rack, kq_str (r->rack)))
    v += W_FAR;
  if (st->rack[0] != '\0' && strcmp (st->rack, r->rack) != 0)
    v += W_FAR;
  return v;
}

double
kq_place_score (const KqSched *s, const KqRunnerState *r, const KqOccurrence *o,
                int32_t step)
{
  return score_by_kind (s, r, o, step) - penalty (s, r, o, step);
}

bool
kq_place_idles (const KqOccurrence *o, int32_t step, KqTime now)
{
  KqTime since = o->steps[step].waits_since;
  return o->job->runs == 0 && since != 0 && now - since > IDLE_LONGEST
         && kq_pools_half_free (o->job->pool);
}

/* The share of its speed that a filling task must be able to work at to start: the less,
 * the longer it has waited for a better place. */
static double
speed_wanted (const KqOccurrence *o, int32_t step, KqTime now)
{
  const KqStepState *st = &o->steps[step];
  double length = PATIENCE * (double)o->job->spec.steps[step].estimate_ms * KQ_MS;
  double waited = st->waits_since != 0 ? (double)(now - st->waits_since) : 0;
  double wanted = length > 0 ? length / (length + waited) : 0;
  if (kq_place_idles (o, step, now))
    return 0;
  return wanted > SPEED_LEAST ? wanted : SPEED_LEAST;
}

bool
kq_place_may_take (const KqSched *s, KqRunnerState *r, const KqOccurrence *o,
                   int32_t step, bool lost, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  int image = o->job->images[step];
  bool idles = kq_place_idles (o, step, now);
  if (r->pool != o->job->pool || !usable (r, now) || !room_for (r, p, idles)
      || !has_label (r, p->label))
    return false;
  if (p->per_runner_max > 0 && of_step (r, o, step) >= p->per_runner_max)
    return false;
  if (p->lasting && !p->filling && !lost && !idles && !kq_pools_may_last (r))
    return false;
  if (p->filling && r->n_serving > 0 && kq_harm_closed (s, r, now))
    return false;
  return !p->filling
         || kq_harm_speed (s, r, image, p->cpu_milli, now) >= speed_wanted (o, step, now);
}

typedef struct
{
  KqRunnerState *runner;
  double score;
} Candidate;

static int
by_score (const void *a, const void *b)
{
  double x = ((const Candidate *)a)->score;
  double y = ((const Candidate *)b)->score;
  return x > y ? -1 : x < y;
}

int32_t
kq_place_candidates (KqSched *s, const KqOccurrence *o, int32_t step, KqTime now,
                     KqRunnerState **out, int32_t max)
{
  Candidate *list = kq_alloc (((size_t)s->runner_list->len + 1) * sizeof *list);
  int32_t n = 0;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (kq_place_may_take (s, r, o, step, o->steps[step].lost_at != 0, now))
        list[n++] = (Candidate){ r, kq_place_score (s, r, o, step) };
    }
  qsort (list, (size_t)n, sizeof *list, by_score);
  n = n < max ? n : max;
  for (int32_t i = 0; i < n; i++)
    out[i] = list[i].runner;
  free (list);
  return n;
}

bool
kq_place_ever (const KqSched *s, const KqSpec *spec, int32_t step)
{
  const KqStep *p = &spec->steps[step];
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (kq_str_eq (kq_str (r->service), spec->service) && ever_fits (r, p)
          && has_label (r, p->label))
        return true;
    }
  return false;
}
