/* placing: finds runners for the tasks of a step, one after the other.
 *
 * A step may have tens of tasks to place at once, the fleet thousands of runners, and
 * hundreds of steps may wait for room. All tasks of a step have the same requirements, so
 * the runners are scored once per step and kept in a heap; placing a task changes
 * only the score of the runner that gets it. A step that found no runner looks only at
 * runners that have changed since. */

#include "sched/placing.h"

#include "sched/place.h"
#include "sched/tickets.h"

/* Interval at which a step that finds no runner searches all of them again: what it
 * accepts, and what is kept free, change with time without any change of a runner. */
#define FULL_SEARCH_INTERVAL (100 * KQ_MS)
/* In a large fleet with much room the search ends after CANDIDATES_BASE suitable runners,
 * plus CANDIDATES_PER_TASK for each waiting task: the best of these is hardly worse
 * than the best of all. For gangs, and for lasting tasks, which stay for long, all
 * runners are searched. */
#define CANDIDATES_BASE 128
/* A task whose next failure ends its job waits for a runner where tasks don't fail, up to
 * this long after the step began to wait, unless the step is starved. */
#define LAST_ATTEMPT_WAIT_MAX (15 * KQ_SEC)
#define CANDIDATES_PER_TASK 4

static KqPlacingCandidate *
candidate_at (const KqPlacing *p, guint i)
{
  return &g_array_index (p->heap, KqPlacingCandidate, i);
}

/* Whether `a` has the higher score, or the same score and the runner that was created
 * first. */
static bool
better (const KqPlacingCandidate *a, const KqPlacingCandidate *b)
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
      KqPlacingCandidate held;
      for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < p->heap->len; child++)
        if (better (candidate_at (p, child), candidate_at (p, best)))
          best = child;
      if (best == at)
        return;
      held = *candidate_at (p, at);
      *candidate_at (p, at) = *candidate_at (p, best);
      *candidate_at (p, best) = held;
      at = best;
    }
}

static void
sift_up (const KqPlacing *p, guint at)
{
  while (at > 0 && better (candidate_at (p, at), candidate_at (p, (at - 1) / 2)))
    {
      KqPlacingCandidate held = *candidate_at (p, at);
      *candidate_at (p, at) = *candidate_at (p, (at - 1) / 2);
      *candidate_at (p, (at - 1) / 2) = held;
      at = (at - 1) / 2;
    }
}

static KqPlacingCandidate
take_top (const KqPlacing *p)
{
  KqPlacingCandidate top = *candidate_at (p, 0);
  *candidate_at (p, 0) = *candidate_at (p, p->heap->len - 1);
  g_array_set_size (p->heap, p->heap->len - 1);
  sift_down (p, 0);
  return top;
}

static void
heap_insert (const KqPlacing *p, KqPlacingCandidate s)
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
add_if_suitable (const KqPlacing *p, KqRunnerState *r)
{
  KqPlacingCandidate n = { .runner = r };
  ++*p->sched->runners_examined;
  if (!may_take (p, r))
    return;
  n.score = kq_place_score (p->sched, r, p->occurrence, p->step);
  g_array_append_val (p->heap, n);
}

/* Whether all runners must be searched, rather than only those that have changed. Gangs
 * and one-rack steps need several runners at once, changed or not; for advised steps,
 * tickets come without a change of the runner. In a small fleet a full search costs
 * nothing. */
static bool
needs_full_search (const KqPlacing *p)
{
  const KqSpec *spec = &p->occurrence->job->spec;
  const KqStep *step = &spec->steps[p->step];
  const KqStepState *st = &p->occurrence->steps[p->step];
  return p->sched->runner_list->len <= CANDIDATES_BASE || step->gang || step->one_rack
         || spec->advised || st->searched_at == 0 || st->searched_lost != p->lost
         || p->now - st->searched_at >= FULL_SEARCH_INTERVAL;
}

/* Examines further runners until there are enough candidates. Begins where the previous
 * step's search ended, so that all runners get used. */
static void
search_further (KqPlacing *p)
{
  KqSched *s = p->sched;
  const KqStep *step = &p->occurrence->job->spec.steps[p->step];
  const KqStepState *st = &p->occurrence->steps[p->step];
  guint n = s->runner_list->len;
  guint waiting = (guint)(step->width - st->done - st->active);
  guint enough
      = step->lasting || step->gang ? n : CANDIDATES_BASE + CANDIDATES_PER_TASK * waiting;
  for (; p->n_unsearched > 0 && p->heap->len < enough; p->n_unsearched--)
    add_if_suitable (p, g_ptr_array_index (s->runner_list, s->scan_from++ % n));
}

/* Fills the heap anew, for tasks that are lost or for others. */
static void
fill_heap (KqPlacing *p, bool lost)
{
  const KqSched *s = p->sched;
  const KqStepState *st = &p->occurrence->steps[p->step];
  p->built = true;
  p->lost = lost;
  p->full_search = needs_full_search (p);
  g_array_set_size (p->heap, 0);
  p->n_unsearched = p->full_search ? s->runner_list->len : 0;
  if (p->full_search)
    search_further (p);
  else
    for (KqRunnerState *r = s->changed_last;
         r != NULL && r->changed > st->searched_change; r = r->changed_before)
      add_if_suitable (p, r);
  heapify (p);
}

static void
record_failed_search (const KqPlacing *p)
{
  KqStepState *st = &p->occurrence->steps[p->step];
  if (p->full_search)
    st->searched_at = p->now;
  st->searched_change = p->sched->changes;
  st->searched_lost = p->lost;
}

/* Takes the best candidate that may still take the task out of the heap; false if there
 * is none. */
static bool
take_best (const KqPlacing *p, KqPlacingCandidate *out)
{
  const KqStep *step = &p->occurrence->job->spec.steps[p->step];
  while (p->heap->len > 0)
    {
      *out = take_top (p);
      /* The room that lasting tasks may use shrinks with each one that is placed. */
      if (!step->lasting || may_take (p, out->runner))
        return true;
    }
  return false;
}

/* Replaces the best candidate, on whose runner the task failed or stalled last, by the
 * next best one, unless the latter's score is lower by more than KQ_PLACE_AVOID. */
static void
avoid_last_failure (const KqPlacing *p, KqPlacingCandidate *best)
{
  KqPlacingCandidate other;
  KqPlacingCandidate lowered = *best;
  lowered.score -= KQ_PLACE_AVOID;
  if (!take_best (p, &other))
    return;
  if (better (&other, &lowered))
    {
      heap_insert (p, *best);
      *best = other;
    }
  else
    heap_insert (p, other);
}

void
kq_placing_begin (KqPlacing *p, KqSched *s, KqOccurrence *o, int32_t step, KqTime now)
{
  *p = (KqPlacing){ .sched = s, .occurrence = o, .step = step, .now = now };
  p->heap = g_array_new (FALSE, FALSE, sizeof (KqPlacingCandidate));
}

/* Whether one more failure of the task ends its job. */
static bool
is_last_attempt (const KqPlacing *p, const KqTaskState *t)
{
  const KqSpec *spec = &p->occurrence->job->spec;
  return !spec->steps[p->step].lasting && !spec->steps[p->step].gang && t->failures > 0
         && t->failures + 1 >= spec->attempts;
}

/* Takes the best candidate for a last attempt out of the heap: one where neither this
 * task nor many others have failed lately. False: there is none. */
static bool
take_reliable (const KqPlacing *p, const KqTaskState *t, KqPlacingCandidate *out)
{
  GArray *passed_over = g_array_new (FALSE, FALSE, sizeof (KqPlacingCandidate));
  bool found = false;
  while (!found && take_best (p, out))
    {
      found = out->runner != t->avoid && !kq_runners_is_unreliable (out->runner, p->now);
      if (!found)
        g_array_append_val (passed_over, *out);
    }
  for (guint i = 0; i < passed_over->len; i++)
    heap_insert (p, g_array_index (passed_over, KqPlacingCandidate, i));
  g_array_free (passed_over, TRUE);
  return found;
}

KqRunnerState *
kq_placing_next (KqPlacing *p, int32_t index)
{
  const KqStepState *st = &p->occurrence->steps[p->step];
  const KqStep *step = &p->occurrence->job->spec.steps[p->step];
  const KqTaskState *t = &st->tasks[index];
  bool rack_chosen = step->one_rack && p->has_last && !p->rack_known;
  KqPlacingCandidate best;
  if (!p->built || rack_chosen || (step->lasting && t->has_run != p->lost))
    fill_heap (p, t->has_run);
  else if (p->has_last && may_take (p, p->last.runner))
    {
      p->last.score = kq_place_score (p->sched, p->last.runner, p->occurrence, p->step);
      heap_insert (p, p->last);
    }
  p->rack_known = p->rack_known || rack_chosen;
  p->held_back = false;
  if (is_last_attempt (p, t) && p->now - st->waits_since < LAST_ATTEMPT_WAIT_MAX
      && !kq_place_is_starved (p->occurrence, p->step, false, p->now))
    {
      p->has_last = take_reliable (p, t, &p->last);
      p->held_back = !p->has_last && p->heap->len > 0;
      if (p->has_last || p->held_back)
        return p->has_last ? p->last.runner : NULL;
    }
  while (!(p->has_last = take_best (p, &best)) && p->n_unsearched > 0)
    {
      search_further (p);
      heapify (p);
    }
  if (!p->has_last)
    {
      record_failed_search (p);
      return NULL;
    }
  if (t->avoid == best.runner)
    avoid_last_failure (p, &best);
  p->last = best;
  return best.runner;
}

void
kq_placing_end (KqPlacing *p)
{
  g_array_free (p->heap, TRUE);
}
