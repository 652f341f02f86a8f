/* load_report: the load account as nodes and operators see it. */

#include "sched/load_pass.h"
#include "sched/place.h"

#include <stdio.h>

static bool
may_start_tasks (const KqRunnerState *r, KqTime now)
{
  return r->in_store && !r->entry_unusable && r->in_stored_list && r->agent >= 0
         && r->listed && !r->silent && !r->draining && !r->host_leaving && !r->cordoned
         && now >= r->cordon_told_until && now >= r->suspect_until
         && now >= r->unsent_until && r->used.mem_mb < r->room.mem_mb;
}

static void
add_free (KqLoadSums *l, int64_t milli, int64_t largest)
{
  if (milli <= 0)
    return;
  l->row.free_milli += milli;
  if (largest > l->row.largest_milli)
    l->row.largest_milli = largest;
}

/* Sets the free room in the rows. It is counted when asked for, not in each pass, as that
 * takes a walk over all runners. */
static void
count_free (const KqSched *s, KqTime now)
{
  for (guint i = 0; i < s->pools->len; i++)
    for (int k = 0; k < KQ_LOAD_KINDS; k++)
      {
        KqPool *p = g_ptr_array_index (s->pools, i);
        p->load[k].row.free_milli = p->load[k].row.largest_milli = 0;
      }
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      const KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      bool closed = r->closed_to_filling && r->closed_pass == s->passes;
      KqLoadSums *l = r->pool->load;
      int64_t unreserved = r->room.cpu_milli - r->used.cpu_milli;
      int64_t unused = kq_place_left_to_filling (r);
      if (!may_start_tasks (r, now))
        continue;
      add_free (&l[KQ_LOAD_RESERVED], unreserved, unreserved);
      if (kq_pools_may_place_lasting (r))
        add_free (&l[KQ_LOAD_LASTING], unreserved, unreserved);
      if (r->n_serving == 0 || !closed)
        add_free (&l[KQ_LOAD_FILLING], unused,
                  unused * 100 / KQ_PLACE_FILLING_UNUSED_MIN_PERCENT);
    }
}

/* Rows in which something waits come first, as the digest has room for some rows only. */
static void
add_rows (const KqSched *s, bool waiting, KqLoadDigest *out)
{
  for (guint i = 0; i < s->pools->len; i++)
    for (int k = 0; k < KQ_LOAD_KINDS && out->n_rows < KQ_LOAD_ROWS_MAX; k++)
      {
        const KqPool *p = g_ptr_array_index (s->pools, i);
        const KqLoadRow *r = &p->load[k].row;
        bool empty = r->rate == 0 && r->free_milli == 0 && r->running_work == 0;
        if ((r->waiting_jobs > 0) == waiting && (waiting || !empty))
          out->rows[out->n_rows++] = *r;
      }
}

void
kq_sched_load (const KqSched *s, KqTime now, KqLoadDigest *out)
{
  *out = (KqLoadDigest){ .number = s->load_number, .known = s->load_number > 0 };
  if (!out->known)
    return;
  count_free (s, now);
  add_rows (s, true, out);
  add_rows (s, false, out);
}

/* For operators */

void
kq_load_gauges (KqSched *s)
{
  KqCounters *c = s->config.counters;
  count_free (s, s->load_at);
  for (guint i = 0; i < s->pools->len && i < KQ_LOAD_ROWS_MAX / KQ_LOAD_KINDS; i++)
    for (int k = 0; k < KQ_LOAD_KINDS; k++)
      {
        const KqPool *p = g_ptr_array_index (s->pools, i);
        const KqLoadRow *r = &p->load[k].row;
        int64_t wait = s->load_number > 0 ? kq_load_wait_ms (r) : -1;
        char labels[128];
        uint64_t *gauge;
        snprintf (labels, sizeof labels, "service=\"%.64s\",kind=\"%s\"", p->service,
                  kq_load_kind_name ((KqLoadKind)k));
        gauge
            = kq_counter (c, "kq_load_waiting_jobs", labels, "Jobs with tasks to start.");
        *gauge = (uint64_t)r->waiting_jobs;
        gauge = kq_counter (c, "kq_load_late_jobs", labels,
                            "Waiting jobs that are forecast to be late.");
        *gauge = (uint64_t)r->late_jobs;
        gauge = kq_counter (c, "kq_load_waiting_core_ms", labels,
                            "Work that waits, in ms of one core.");
        *gauge = (uint64_t)((r->in_time_work + r->late_work) / 1000);
        gauge = kq_counter (c, "kq_load_rate_milli", labels,
                            "Rate of work in thousandths of a core. 0 if not known.");
        *gauge = (uint64_t)r->rate;
        gauge = kq_counter (c, "kq_load_wait_ms", labels,
                            "Forecast wait of a new job. 0 if not known.");
        *gauge = (uint64_t)(wait > 0 ? wait : 0);
        gauge = kq_counter (c, "kq_load_free_milli", labels,
                            "Cpu that tasks could use now, in thousandths.");
        *gauge = (uint64_t)r->free_milli;
      }
}
