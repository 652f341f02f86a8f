/* placing: a runner for each of a step's equal tasks.
 *
 * Load pattern: wide steps, tens of tasks to be placed at once on a fleet of thousands of
 * runners, and hundreds of steps that wait for room. All tasks of a step want the same,
 * so the runners are scored once; a task that is placed changes its own runner only. A
 * step that found none looks only at runners that have changed since. */

#include "sched/state.h"

/* What a step puts up with, and what is kept free, change with time: so often it looks at
 * all runners again. */
#define LOOK_AT_ALL (100 * KQ_MS)
/* Of a large fleet with much room so many runners that would do are enough for a step,
 * and so many for each of its tasks: the best of them is hardly worse than the best of
 * all. Lasting tasks stay for long, and for them all are looked at. */
#define ENOUGH 128
#define ENOUGH_A_TASK 4

static KqSpot *
spot (const KqPlacing *p, guint i)
{
  return &g_array_index (p->heap, KqSpot, i);
}

/* The first of the list among equals. */
static bool
better (const KqSpot *a, const KqSpot *b)
{
  return a->score > b->score
         || (a->score == b->score && a->runner->number < b->runner->number);
}

static void
sift_down (const KqPlacing *p, guint at)
{
  for (;;)
    {
      guint best = at;
      KqSpot held;
      for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < p->heap->len; child++)
        if (better (spot (p, child), spot (p, best)))
          best = child;
      if (best == at)
        return;
      held = *spot (p, at);
      *spot (p, at) = *spot (p, best);
      *spot (p, best) = held;
      at = best;
    }
}

static void
sift_up (const KqPlacing *p, guint at)
{
  while (at > 0 && better (spot (p, at), spot (p, (at - 1) / 2)))
    {
      KqSpot held = *spot (p, at);
      *spot (p, at) = *spot (p, (at - 1) / 2);
      *spot (p, (at - 1) / 2) = held;
      at = (at - 1) / 2;
    }
}

static KqSpot
take_top (const KqPlacing *p)
{
  KqSpot top = *spot (p, 0);
  *spot (p, 0) = *spot (p, p->heap->len - 1);
  g_array_set_size (p->heap, p->heap->len - 1);
  sift_down (p, 0);
  return top;
}

static void
put (const KqPlacing *p, KqSpot s)
{
  g_array_append_val (p->heap, s);
  sift_up (p, p->heap->len - 1);
}

static void
heapify (const KqPlacing *p)
{
  for (guint i = p->heap->len / 2; i > 0; i--)
    sift_down (p, i - 1);
}

static bool
may_take (const KqPlacing *p, KqRunnerState *r)
{
  return kq_place_may_take (p->sched, r, p->occurrence, p->step, p->lost, p->now)
         && (!p->occurrence->job->spec.advised
             || kq_tickets_find (p->occurrence, p->step, r, p->now) != NULL);
}

static void
add (const KqPlacing *p, KqRunnerState *r)
{
  KqSpot n = { .runner = r };
  ++*p->sched->looks;
  if (!may_take (p, r))
    return;
  n.score = kq_place_score (p->sched, r, p->occurrence, p->step);
  g_array_append_val (p->heap, n);
}

/* Members of a gang and tasks of one rack need several runners at once, changed or not;
 * tickets come from elsewhere. In a small fleet looking costs nothing. */
static bool
must_look_at_all (const KqPlacing *p)
{
  const KqSpec *spec = &p->occurrence->job->spec;
  const KqStep *step = &spec->steps[p->step];
  const KqStepState *st = &p->occurrence->steps[p->step];
  return p->sched->runner_list->len <= ENOUGH || step->gang || step->one_rack
         || spec->advised || st->tried_at == 0 || st->tried_lost != p->lost
         || p->now - st->tried_at >= LOOK_AT_ALL;
}

/* Begins where the last step has ended, so that all runners get their turn. */
static void
look_further (KqPlacing *p)
{
  KqSched *s = p->sched;
  const KqStep *step = &p->occurrence->job->spec.steps[p->step];
  const KqStepState *st = &p->occurrence->steps[p->step];
  guint n = s->runner_list->len;
  guint waiting = (guint)(step->width - st->done - st->active);
  guint enough = step->lasting || step->gang ? n : ENOUGH + ENOUGH_A_TASK * waiting;
  for (; p->not_seen > 0 && p->heap->len < enough; p->not_seen--)
    add (p, g_ptr_array_index (s->runner_list, s->look_from++ % n));
}

static void
build (KqPlacing *p, bool lost)
{
  const KqSched *s = p->sched;
  const KqStepState *st = &p->occurrence->steps[p->step];
  p->built = true;
  p->lost = lost;
  p->all = must_look_at_all (p);
  g_array_set_size (p->heap, 0);
  p->not_seen = p->all ? s->runner_list->len : 0;
  if (p->all)
    look_further (p);
  else
    for (KqRunnerState *r = s->changed_last; r != NULL && r->changed > st->tried;
         r = r->changed_before)
      add (p, r);
  heapify (p);
}

static void
note_tried (const KqPlacing *p)
{
  KqStepState *st = &p->occurrence->steps[p->step];
  if (p->all)
    st->tried_at = p->now;
  st->tried = p->sched->changes;
  st->tried_lost = p->lost;
}

/* The best spot out of the heap; false: none. */
static bool
take_best (const KqPlacing *p, KqSpot *out)
{
  const KqStep *step = &p->occurrence->job->spec.steps[p->step];
  while (p->heap->len > 0)
    {
      *out = take_top (p);
      /* Room kept free of lasting tasks shrinks with each one that is placed. */
      if (!step->lasting || may_take (p, out->runner))
        return true;
    }
  return false;
}

/* A task that has failed somewhere goes elsewhere unless that is far worse. */
static void
avoid (const KqPlacing *p, KqSpot *best)
{
  KqSpot other;
  KqSpot lowered = *best;
  lowered.score -= KQ_PLACE_AVOID;
  if (!take_best (p, &other))
    return;
  if (better (&other, &lowered))
    {
      put (p, *best);
      *best = other;
    }
  else
    put (p, other);
}

void
kq_placing_begin (KqPlacing *p, KqSched *s, KqOccurrence *o, int32_t step, KqTime now)
{
  *p = (KqPlacing){ .sched = s, .occurrence = o, .step = step, .now = now };
  p->heap = g_array_new (FALSE, FALSE, sizeof (KqSpot));
}

KqRunnerState *
kq_placing_next (KqPlacing *p, int32_t index)
{
  const KqStepState *st = &p->occurrence->steps[p->step];
  const KqStep *step = &p->occurrence->job->spec.steps[p->step];
  const KqTaskState *t = &st->tasks[index];
  bool rack_chosen = step->one_rack && p->taken && !p->rack_known;
  KqSpot best;
  if (!p->built || rack_chosen || (step->lasting && t->has_run != p->lost))
    build (p, t->has_run);
  else if (p->taken && may_take (p, p->last.runner))
    {
      p->last.score = kq_place_score (p->sched, p->last.runner, p->occurrence, p->step);
      put (p, p->last);
    }
  p->rack_known = p->rack_known || rack_chosen;
  while (!(p->taken = take_best (p, &best)) && p->not_seen > 0)
    {
      look_further (p);
      heapify (p);
    }
  if (!p->taken)
    {
      note_tried (p);
      return NULL;
    }
  if (t->avoid == best.runner)
    avoid (p, &best);
  p->last = best;
  return best.runner;
}

void
kq_placing_end (KqPlacing *p)
{
  g_array_free (p->heap, TRUE);
}
