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
kq_pools_begin_pass (KqSched *s)
{
  for (guint i = 0; i < s->pools->len; i++)
    {
      KqPool *p = g_ptr_array_index (s->pools, i);
      p->whole_milli = p->reserved_milli = 0;
      p->usable_milli = p->used_milli = p->no_lasting_milli = p->demand_milli = 0;
      for (int k = 0; k < KQ_LOAD_KINDS; k++)
        p->load[k].running_milli = p->load[k].fitting_milli = 0;
    }
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      KqPool *p = r->pool;
      kq_load_count_running (r);
      p->demand_milli += r->used.cpu_milli - r->lasting_milli;
      if (r->n_lasting == 0)
        p->demand_milli += r->filling_milli;
      if (!r->in_store)
        continue;
      p->whole_milli += r->room.cpu_milli;
      p->reserved_milli += r->used.cpu_milli;
      if (r->draining || r->host_leaving || r->cordoned || r->silent)
        continue;
      kq_load_count_fitting (r);
      p->usable_milli += r->room.cpu_milli;
      p->used_milli += r->used.cpu_milli;
      if (r->n_lasting == 0)
        p->no_lasting_milli += r->room.cpu_milli;
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
