/* learn: learns from runners' reports how the run times of tasks compare to their
 * estimates (estimates.h).
 *
 * A task that reserves its cpu counts with the time from its start to its end. A filling
 * task is slowed by others and by its pace: it counts with the time that it would have
 * taken at full speed, the integral of its reported load divided by its cpu. */

#include "sched/state.h"

#include <math.h>
#include <stdio.h>

/* A filling task counts only if its reports cover this part of its run: the load of the
 * rest is taken to be that of the last report. */
#define REPORTED_MIN_PERCENT 50

/* The speed of a filling run by its last report, as a part of full speed. */
static double
reported_speed (const KqRun *run)
{
  return fmin ((double)run->load / kq_run_step (run)->cpu_milli, 1);
}

void
kq_learn_report (KqRun *run, KqTime now)
{
  const KqStep *p = kq_run_step (run);
  KqTime since = run->load_at != 0 ? run->load_at : run->running_at;
  if (!p->filling || run->load < 0 || p->cpu_milli <= 0 || run->running_at == 0)
    return;
  run->full_speed += reported_speed (run) * (double)(now - since);
  run->load_at = now;
}

void
kq_learn_skip (const KqRunnerState *r)
{
  for (KqRun *run = r->runs; run != NULL; run = run->next)
    run->untimed = true;
}

/* The run time at full speed of a run that ends now, in ms; 0: not known. */
static double
run_time_ms (const KqRun *run, KqTime now)
{
  KqTime ran = now - run->running_at;
  if (!kq_run_step (run)->filling)
    return (double)ran / KQ_MS;
  if (run->load_at == 0 || run->load < 0
      || (run->load_at - run->running_at) * 100 < ran * REPORTED_MIN_PERCENT)
    return 0;
  return (run->full_speed + reported_speed (run) * (double)(now - run->load_at)) / KQ_MS;
}

void
kq_learn_done (KqSched *s, const KqRun *run, KqTime now)
{
  const KqStep *p = kq_run_step (run);
  /* The start of a run whose start order was repeated may have been confirmed late. */
  if (s->estimates == NULL || p->lasting || p->estimate_ms <= 0 || run->running_at == 0
      || run->untimed || run->resent)
    return;
  kq_estimates_add (s->estimates, run->job->spec.queue,
                    run_time_ms (run, now) / p->estimate_ms);
}

/* Copies the name of a queue as the value of a label, in which some characters would need
 * to be quoted. */
static void
copy_label (KqStr name, char *to, size_t size)
{
  size_t n = name.len < size - 1 ? name.len : size - 1;
  for (size_t i = 0; i < n; i++)
    {
      char c = name.ptr[i];
      to[i] = c == '"' || c == '\\' || (unsigned char)c < ' ' ? '_' : c;
    }
  to[n] = '\0';
}

static void
set_gauge (KqCounters *c, KqStr queue, int percentile, double ratio)
{
  char name[KQ_NAME_MAX + 1];
  char labels[KQ_NAME_MAX + 40];
  uint64_t *gauge;
  copy_label (queue, name, sizeof name);
  snprintf (labels, sizeof labels, "queue=\"%s\",quantile=\"%d\"", name, percentile);
  gauge = kq_counter (c, "kq_estimate_ratio_percent", labels,
                      "Run time at full speed by the estimate, by queue and quantile.");
  *gauge = (uint64_t)lround (100 * ratio);
}

static void
set_gauges (void *arg, const KqEstimatesRow *row)
{
  set_gauge (arg, row->queue, 50, row->median);
  set_gauge (arg, row->queue, 95, row->p95);
}

void
kq_learn_gauges (KqSched *s)
{
  if (s->estimates != NULL)
    kq_estimates_each (s->estimates, set_gauges, s->config.counters);
}
