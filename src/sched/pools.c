/* pools: decides how much of a service's room is kept free of lasting tasks.
 *
 * Lasting tasks would take all free room one after the other, and hold it for longer than
 * any other task. What is left on each runner is then smaller than a lasting task, and
 * tasks that end by themselves but are larger than that remainder find no room: of tasks
 * of over 5 cores beside lasting ones of 6.4 cores, four out of five were never done. So
 * as many runners are kept without lasting tasks as the other tasks have needed at their
 * recent peak. Filling tasks use these runners meanwhile, and disturb no serving task
 * there. */

#include "sched/load_pass.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constant with which the recorded peak decays. */
#define PEAK_DECAY (30.0 * KQ_SEC)
/* After a leader's start KEEP_INITIAL_PERCENT of the room is kept free of lasting tasks,
 * also if no other tasks have been seen yet: lasting tasks that were placed first could
 * be moved only by ending them. This share decays with the time constant INITIAL_DECAY.
 */
#define KEEP_INITIAL_PERCENT 28
#define INITIAL_DECAY (30.0 * KQ_SEC)
/* At most this share of the room is kept free of lasting tasks. */
#define KEEP_MAX_PERCENT 28
/* The room counts as half free while less than this share of it is reserved: half, and a
 * little for ends that runners have yet to report. */
#define HALF_RESERVED_PERCENT 52

static void
free_pool (gpointer p)
{
  KqPool *pool = p;
  free (pool->service);
  free (pool);
}

GPtrArray *
kq_pools_new (void)
{
  return g_ptr_array_new_with_free_func (free_pool);
}

KqPool *
kq_pools_get (KqSched *s, KqStr service)
{
  KqPool *p;
  for (guint i = 0; i < s->pools->len; i++)
    {
      p = g_ptr_array_index (s->pools, i);
      if (kq_str_eq (kq_str (p->service), service))
        return p;
    }
  p = kq_alloc (sizeof *p);
  p->service = kq_str_dup (service);
  g_ptr_array_add (s->pools, p);
  return p;
}

void
kq_pools_note_change (KqSched *s, KqRunnerState *r)
{
  if (r->uncounted)
    return;
  r->uncounted = true;
  g_ptr_array_add (s->uncounted, r);
}

/* Adds the sums to others (sign 1), or subtracts them (sign -1). */
static void
add_sums (KqPoolSums *to, const KqPoolSums *c, int sign)
{
  to->whole_milli += sign * c->whole_milli;
  to->reserved_milli += sign * c->reserved_milli;
  to->usable_milli += sign * c->usable_milli;
  to->used_milli += sign * c->used_milli;
  to->no_lasting_milli += sign * c->no_lasting_milli;
  to->demand_milli += sign * c->demand_milli;
  for (int k = 0; k < KQ_LOAD_KINDS; k++)
    {
      to->running_milli[k] += sign * c->running_milli[k];
      to->fitting_milli[k] += sign * c->fitting_milli[k];
    }
}

static void
count_runner (const KqRunnerState *r, KqPoolSums *out)
{
  *out = (KqPoolSums){ 0 };
  kq_load_count_running (r, out);
  out->demand_milli = r->used.cpu_milli - r->lasting_milli;
  if (r->n_lasting == 0)
    out->demand_milli += r->filling_milli;
  if (!r->in_store)
    return;
  out->whole_milli = r->room.cpu_milli;
  out->reserved_milli = r->used.cpu_milli;
  if (r->draining || r->host_leaving || r->cordoned || r->silent || r->entry_unusable)
    return;
  kq_load_count_fitting (r, out);
  out->usable_milli = r->room.cpu_milli;
  out->used_milli = r->used.cpu_milli;
  if (r->n_lasting == 0)
    out->no_lasting_milli = r->room.cpu_milli;
}

void
kq_pools_remove_runner (KqSched *s, KqRunnerState *r)
{
  if (r->counted_pool != NULL)
    add_sums (&r->counted_pool->runners, &r->counted, -1);
  if (r->uncounted)
    g_ptr_array_remove_fast (s->uncounted, r);
}

/* Counts the runners that have changed since the last pass. */
static void
count_changed (KqSched *s)
{
  for (guint i = 0; i < s->uncounted->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->uncounted, i);
      r->uncounted = false;
      if (r->counted_pool != NULL)
        add_sums (&r->counted_pool->runners, &r->counted, -1);
      r->counted_pool = r->pool;
      count_runner (r, &r->counted);
      add_sums (&r->pool->runners, &r->counted, 1);
    }
  g_ptr_array_set_size (s->uncounted, 0);
}

bool
kq_sched_sums_are_exact (const KqSched *s)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      KqPoolSums now;
      count_runner (r, &now);
      if (!r->uncounted && !r->pool->pieces_changed
          && (r->counted_pool != r->pool || memcmp (&now, &r->counted, sizeof now) != 0))
        return false;
    }
  for (guint i = 0; i < s->pools->len; i++)
    {
      const KqPool *p = g_ptr_array_index (s->pools, i);
      KqPoolSums sum = { 0 };
      for (guint k = 0; k < s->runner_list->len; k++)
        {
          const KqRunnerState *r = g_ptr_array_index (s->runner_list, k);
          if (r->counted_pool == p)
            add_sums (&sum, &r->counted, 1);
        }
      if (memcmp (&sum, &p->runners, sizeof sum) != 0)
        return false;
    }
  return true;
}

/* Has the runners of pools counted whose size of pieces has changed. */
static void
recount_pieces (KqSched *s)
{
  bool any = false;
  for (guint i = 0; i < s->pools->len; i++)
    any = any || ((KqPool *)g_ptr_array_index (s->pools, i))->pieces_changed;
  for (guint i = 0; any && i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      if (r->pool->pieces_changed)
        kq_pools_note_change (s, r);
    }
  for (guint i = 0; i < s->pools->len; i++)
    ((KqPool *)g_ptr_array_index (s->pools, i))->pieces_changed = false;
}

void
kq_pools_begin_pass (KqSched *s)
{
  recount_pieces (s);
  count_changed (s);
  for (guint i = 0; i < s->pools->len; i++)
    {
      KqPool *p = g_ptr_array_index (s->pools, i);
      const KqPoolSums *sums = &p->runners;
      p->whole_milli = sums->whole_milli;
      p->reserved_milli = sums->reserved_milli;
      p->usable_milli = sums->usable_milli;
      p->used_milli = sums->used_milli;
      p->no_lasting_milli = sums->no_lasting_milli;
      p->demand_milli = sums->demand_milli;
      for (int k = 0; k < KQ_LOAD_KINDS; k++)
        {
          p->load[k].running_milli = sums->running_milli[k];
          p->load[k].fitting_milli = sums->fitting_milli[k];
        }
    }
}

void
kq_pools_add_waiting (KqPool *pool, const KqStep *p, int32_t n)
{
  if (!p->lasting)
    pool->demand_milli += (int64_t)p->cpu_milli * n;
}

void
kq_pools_update_kept_free (KqSched *s, KqTime now)
{
  double initial_percent
      = KEEP_INITIAL_PERCENT * exp (-(double)(now - s->started_at) / INITIAL_DECAY);
  for (guint i = 0; i < s->pools->len; i++)
    {
      KqPool *p = g_ptr_array_index (s->pools, i);
      double decayed
          = p->demand_peak_milli * exp (-(double)(now - p->updated_at) / PEAK_DECAY);
      p->demand_peak_milli = fmax (decayed, (double)p->demand_milli);
      p->kept_free_milli = fmin (
          fmax (p->demand_peak_milli, (double)p->usable_milli * initial_percent / 100),
          (double)p->usable_milli * KEEP_MAX_PERCENT / 100);
      p->updated_at = now;
    }
}

/* The room kept free is rounded to whole runners: a small fleet keeps no runner free
 * rather than a third of them. */
bool
kq_pools_may_place_lasting (const KqRunnerState *r)
{
  const KqPool *p = r->pool;
  return r->n_lasting > 0
         || (double)(p->no_lasting_milli - r->room.cpu_milli)
                >= p->kept_free_milli - (double)r->room.cpu_milli / 2;
}

void
kq_pools_count_lasting (const KqRunnerState *r, int32_t cpu_milli)
{
  r->pool->used_milli += cpu_milli;
  r->pool->reserved_milli += cpu_milli;
  if (r->n_lasting == 1)
    r->pool->no_lasting_milli -= r->room.cpu_milli;
}

bool
kq_pools_is_half_free (const KqPool *p)
{
  return p->used_milli * 100 < p->usable_milli * HALF_RESERVED_PERCENT
         || p->reserved_milli * 100 < p->whole_milli * HALF_RESERVED_PERCENT;
}
