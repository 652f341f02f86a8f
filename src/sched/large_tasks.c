#include "sched/large_tasks.h"

#include "sched/place.h"
#include "sched/state.h"

#include <stdio.h>

/* A step counts as without room after placing none of its tasks for this time. Reserved
 * tasks run for a second or two, so room for usual tasks is free earlier than that. */
#define NO_ROOM_AFTER (300 * KQ_MS)
/* A reservation that hasn't been used for this time ends: what runs there takes longer
 * than usual. The same runner isn't reserved again for as long. */
#define RESERVED_MAX (3 * KQ_SEC)
/* At most this share of a service's runners is reserved, but one at least. What is free
 * on a reserved runner stays unused by other tasks that reserve cpu. */
#define RESERVED_SHARE_MAX 20
/* Runners are chosen at this interval, as each choice looks at all runners. */
#define CHOICE_INTERVAL (200 * KQ_MS)
/* A task counts as started lately for this time. */
#define STARTED_LATELY (3 * KQ_SEC)

static bool
is_reserving (const KqStep *p)
{
  return !p->filling && !p->lasting;
}

static int64_t
free_milli (const KqRunnerState *r)
{
  return r->room.cpu_milli - r->used.cpu_milli;
}

static const KqStep *
step_of (const KqLargeNeed *n)
{
  return &n->occurrence->job->spec.steps[n->step];
}

bool
kq_large_tasks_may_use (const KqRunnerState *r, const KqOccurrence *o, int32_t step,
                        bool lost, bool starved, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  const KqStepState *st = &o->steps[step];
  if (r->reservation.since == 0 || starved)
    return true;
  if (p->lasting)
    return lost && st->lost_since != 0 && now - st->lost_since >= KQ_PLACE_LOST_WAIT_MAX;
  if (p->filling)
    return p->gpus == 0
           && r->used.mem_mb + p->mem_mb + r->reservation.mem_mb <= r->room.mem_mb;
  return p->cpu_milli >= r->reservation.cpu_milli;
}

int32_t
kq_large_tasks_size_usable (const KqPool *pool, const KqStep *p)
{
  int32_t largest = 0;
  for (int i = 0; i < pool->large.n_sizes && is_reserving (p); i++)
    if (pool->large.sizes[i] <= p->cpu_milli && pool->large.sizes[i] > largest)
      largest = pool->large.sizes[i];
  return largest;
}

static void
end_reservation (KqSched *s, KqRunnerState *r, const char *why, KqTime now)
{
  kq_log (KQ_LOG_INFO, PART,
          "The reservation of a runner ends. runner=%s cpu_milli=%d free_milli=%lld "
          "held_ms=%lld heard_ms_ago=%lld why=%s",
          r->id, r->reservation.cpu_milli, (long long)free_milli (r),
          (long long)((now - r->reservation.since) / KQ_MS),
          (long long)((now - r->heard_at) / KQ_MS), why);
  r->reservation.since = 0;
  kq_runners_note_change (s, r);
}

void
kq_large_tasks_note_start (KqSched *s, const KqRun *run, KqTime now)
{
  const KqStep *p = kq_run_step (run);
  KqRunnerState *r = run->runner;
  KqLargeTasks *l = &r->pool->large;
  if (!s->config.features.large_task_room || p->filling)
    return;
  if (l->started_milli == 0 || p->cpu_milli <= l->started_milli
      || now - l->started_at > STARTED_LATELY)
    {
      l->started_milli = p->cpu_milli;
      l->started_at = now;
    }
  if (p->lasting)
    return;
  if (r->reservation.since == 0)
    run->occurrence->steps[run->step].no_room_since = 0;
  /* The step's other tasks may still be without room, so its wait goes on. */
  else if (p->cpu_milli >= r->reservation.cpu_milli)
    end_reservation (s, r, "used", now);
}

/* Whether tasks of the step may use what is reserved for the need, and need as much. */
static bool
has_same_need (const KqLargeNeed *n, const KqStep *p)
{
  const KqStep *q = step_of (n);
  return q->cpu_milli == p->cpu_milli && q->mem_mb == p->mem_mb && q->gpus == p->gpus
         && kq_str_eq (q->label, p->label);
}

static void
add_need (KqLargeTasks *l, const KqOccurrence *o, int32_t step)
{
  const KqStep *p = &o->job->spec.steps[step];
  const KqStepState *st = &o->steps[step];
  KqLargeNeed need = { o, step, st->no_room_since, p->width - st->done - st->active, 0 };
  int at = 0;
  for (int i = 0; i < l->n_needs; i++)
    if (has_same_need (&l->needs[i], p))
      {
        KqLargeNeed *n = &l->needs[i];
        n->tasks += need.tasks;
        if (need.since < n->since)
          {
            n->occurrence = o;
            n->step = step;
            n->since = need.since;
          }
        return;
      }
  while (at < l->n_needs && step_of (&l->needs[at])->cpu_milli >= p->cpu_milli)
    at++;
  if (at == KQ_LARGE_SIZES_MAX)
    return;
  if (l->n_needs < KQ_LARGE_SIZES_MAX)
    l->n_needs++;
  for (int i = l->n_needs - 1; i > at; i--)
    l->needs[i] = l->needs[i - 1];
  l->needs[at] = need;
}

void
kq_large_tasks_add_waiting (KqOccurrence *o, int32_t step, bool tried, KqTime now)
{
  const KqStep *p = &o->job->spec.steps[step];
  KqStepState *st = &o->steps[step];
  KqLargeTasks *l = &o->job->pool->large;
  if (st->done + st->active >= p->width || p->filling)
    return;
  if (l->smallest_milli == 0 || p->cpu_milli < l->smallest_milli)
    l->smallest_milli = p->cpu_milli;
  if (p->lasting)
    return;
  if (st->no_room_since == 0 && tried)
    st->no_room_since = now;
  if (st->no_room_since == 0)
    return;
  if (now - st->no_room_since > l->longest_wait)
    l->longest_wait = now - st->no_room_since;
  if (now - st->no_room_since > NO_ROOM_AFTER)
    add_need (l, o, step);
}

/* The need with the smallest tasks that may use the reservation, unless enough runners
 * are reserved for it; NULL: there is none. */
static KqLargeNeed *
find_need (const KqRunnerState *r)
{
  KqLargeTasks *l = &r->pool->large;
  for (int i = l->n_needs - 1; i >= 0; i--)
    {
      KqLargeNeed *n = &l->needs[i];
      if (step_of (n)->cpu_milli >= r->reservation.cpu_milli && n->reserved < n->tasks
          && kq_place_fits_when_empty (r, step_of (n))
          && kq_place_has_label (r, step_of (n)->label))
        return n;
    }
  return NULL;
}

/* Reserves the runner for the need, or adapts its reservation to it. */
static void
assign (KqRunnerState *r, KqLargeNeed *n)
{
  KqLargeTasks *l = &r->pool->large;
  r->reservation.cpu_milli = step_of (n)->cpu_milli;
  r->reservation.mem_mb = step_of (n)->mem_mb;
  n->reserved++;
  l->n_reserved++;
  for (int i = 0; i < l->n_sizes; i++)
    if (l->sizes[i] == r->reservation.cpu_milli)
      return;
  l->sizes[l->n_sizes++] = r->reservation.cpu_milli;
}

static void
keep_or_end (KqSched *s, KqRunnerState *r, KqTime now)
{
  KqLargeNeed *n = find_need (r);
  if (!kq_place_is_usable (r, now))
    end_reservation (s, r, "the runner takes no tasks", now);
  else if (n == NULL)
    end_reservation (s, r, "not needed", now);
  else if (now - r->reservation.since >= RESERVED_MAX)
    {
      r->reservation.again_at = now + RESERVED_MAX;
      end_reservation (s, r, "not used in time", now);
    }
  else
    assign (r, n);
}

/* Whether the runner could be reserved for the need: its room is taken by tasks that end
 * by themselves. */
static bool
is_candidate (const KqRunnerState *r, const KqLargeNeed *n, KqTime now)
{
  const KqStep *p = step_of (n);
  return r->reservation.since == 0 && now >= r->reservation.again_at
         && kq_place_fits_when_empty (r, p) && kq_place_has_label (r, p->label)
         && r->room.cpu_milli - r->lasting_milli >= p->cpu_milli;
}

static int
compare_free (gconstpointer a, gconstpointer b)
{
  const KqRunnerState *x = *(KqRunnerState *const *)a;
  const KqRunnerState *y = *(KqRunnerState *const *)b;
  if (free_milli (x) != free_milli (y))
    return free_milli (x) > free_milli (y) ? -1 : 1;
  return x->number < y->number ? -1 : 1;
}

/* Collects the runners that may be reserved for the need. False: a task finds room, so
 * something else keeps it waiting. */
static bool
collect_candidates (KqSched *s, const KqLargeNeed *n, GPtrArray *out, KqTime now)
{
  g_ptr_array_set_size (out, 0);
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      KqPlaceAnswer a = kq_place_ask (s, r, n->occurrence, n->step, false, now);
      if (a == KQ_PLACE_TAKES)
        return false;
      if (a == KQ_PLACE_NO_ROOM && is_candidate (r, n, now))
        g_ptr_array_add (out, r);
    }
  return true;
}

static void
reserve (KqRunnerState *r, KqLargeNeed *n, KqTime now)
{
  r->reservation.since = now;
  assign (r, n);
  kq_log (KQ_LOG_INFO, PART,
          "Reserving a runner for large tasks. runner=%s step=%.*s.%d.%d cpu_milli=%d "
          "mem_mb=%d tasks=%d waited_ms=%lld free_milli=%lld heard_ms_ago=%lld "
          "reserved=%d runners=%d",
          r->id, KQ_STR_ARG (n->occurrence->job->spec.id), n->occurrence->number, n->step,
          r->reservation.cpu_milli, r->reservation.mem_mb, n->tasks,
          (long long)((now - n->since) / KQ_MS), (long long)free_milli (r),
          (long long)((now - r->heard_at) / KQ_MS), r->pool->large.n_reserved,
          r->pool->large.n_runners);
}

/* Reserves runners for the needs of the service, the largest tasks first. */
static void
choose_runners (KqSched *s, KqLargeTasks *l, KqTime now)
{
  GPtrArray *candidates;
  int32_t most = l->n_runners / RESERVED_SHARE_MAX;
  if (most < 1)
    most = 1;
  if (l->n_needs == 0 || l->n_reserved >= most || now - l->chosen_at < CHOICE_INTERVAL)
    return;
  l->chosen_at = now;
  candidates = g_ptr_array_new ();
  for (int i = 0; i < l->n_needs && l->n_reserved < most; i++)
    {
      KqLargeNeed *n = &l->needs[i];
      /* A gang is placed as a whole: part of the runners would be reserved for nothing.
       */
      if (n->reserved >= n->tasks || (step_of (n)->gang && n->tasks > most)
          || !collect_candidates (s, n, candidates, now))
        continue;
      g_ptr_array_sort (candidates, compare_free);
      for (guint k = 0;
           k < candidates->len && n->reserved < n->tasks && l->n_reserved < most; k++)
        reserve (g_ptr_array_index (candidates, k), n, now);
    }
  g_ptr_array_free (candidates, TRUE);
}

/* Drops the needs of tasks that no smaller ones compete with: these get the room that
 * becomes free without a reservation. */
static void
drop_smallest_needs (KqLargeTasks *l, KqTime now)
{
  int32_t least = l->smallest_milli;
  if (l->started_milli > 0 && now - l->started_at <= STARTED_LATELY
      && l->started_milli < least)
    least = l->started_milli;
  while (l->n_needs > 0 && step_of (&l->needs[l->n_needs - 1])->cpu_milli <= least)
    l->n_needs--;
}

void
kq_large_tasks_update (KqSched *s, KqTime now)
{
  for (guint i = 0; i < s->pools->len; i++)
    {
      KqLargeTasks *l = &((KqPool *)g_ptr_array_index (s->pools, i))->large;
      drop_smallest_needs (l, now);
      l->n_sizes = l->n_runners = l->n_reserved = 0;
      l->stranded_milli = 0;
    }
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      KqLargeTasks *l = &r->pool->large;
      l->n_runners += r->in_store;
      if (r->reservation.since != 0)
        keep_or_end (s, r, now);
      if (free_milli (r) > 0 && free_milli (r) < l->smallest_milli
          && kq_place_is_usable (r, now))
        l->stranded_milli += free_milli (r);
    }
  for (guint i = 0; i < s->pools->len; i++)
    choose_runners (s, &((KqPool *)g_ptr_array_index (s->pools, i))->large, now);
}

void
kq_large_tasks_begin_pass (KqSched *s)
{
  for (guint i = 0; i < s->pools->len; i++)
    {
      KqLargeTasks *l = &((KqPool *)g_ptr_array_index (s->pools, i))->large;
      l->n_needs = 0;
      l->smallest_milli = 0;
      l->longest_wait = 0;
    }
}

void
kq_large_tasks_explain (const KqSched *s, const KqOccurrence *o, int32_t step, KqTime now,
                        KqBuf *out)
{
  const KqStep *p = &o->job->spec.steps[step];
  int64_t most_free = 0;
  int reserved = 0;
  if (!s->config.features.large_task_room || !is_reserving (p))
    return;
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->pool != o->job->pool || !kq_place_has_label (r, p->label)
          || !kq_place_is_usable (r, now))
        continue;
      if (free_milli (r) > most_free)
        most_free = free_milli (r);
      reserved += r->reservation.since != 0 && r->reservation.cpu_milli <= p->cpu_milli;
    }
  if (most_free < p->cpu_milli)
    kq_buf_printf (out, ", no runner has %d free; %d are reserved for such tasks",
                   p->cpu_milli, reserved);
}

void
kq_large_tasks_gauges (KqSched *s)
{
  KqCounters *c = s->config.counters;
  uint64_t *gauge;
  uint64_t reserved = 0;
  KqTime longest = 0;
  for (guint i = 0; i < s->pools->len; i++)
    {
      const KqPool *p = g_ptr_array_index (s->pools, i);
      char labels[128];
      snprintf (labels, sizeof labels, "service=\"%s\"", p->service);
      gauge = kq_counter (c, "kq_cpu_stranded_milli", labels,
                          "Free cpu in pieces too small for the waiting tasks.");
      *gauge = (uint64_t)p->large.stranded_milli;
      reserved += (uint64_t)p->large.n_reserved;
      if (p->large.longest_wait > longest)
        longest = p->large.longest_wait;
    }
  gauge = kq_counter (c, "kq_runners_reserved", "", "Runners reserved for large tasks.");
  *gauge = reserved;
  gauge = kq_counter (c, "kq_reserved_wait_longest_ms", "",
                      "Longest time for which a step of reserved tasks found no room.");
  *gauge = (uint64_t)(longest / KQ_MS);
}
