/* explain: lines of text that tell operators what a job waits for. */

#include "sched/cordoning.h"
#include "sched/place.h"
#include "sched/tickets.h"
#include "sched/wait_places.h"

/* Steps of an explanation. Each may take a walk over all runners, which must
 * not delay the next pass. */
#define STEPS_MAX 16

static void
explain_step (const KqSched *s, const KqOccurrence *o, int32_t step,
              const KqLoadDigest *load, KqTime now, KqBuf *out)
{
  const KqStep *p = &o->job->spec.steps[step];
  const KqStepState *st = &o->steps[step];
  kq_buf_printf (out, "occurrence %d step %d: %d of %d done, %d running", o->number, step,
                 st->done, p->width, st->active);
  if (!st->open)
    kq_buf_printf (out, ", waits for earlier steps");
  else if (st->done + st->active < p->width && !s->settled
           && o->job->revision < s->config.epoch)
    kq_buf_printf (out, ", waits until all runners have told what runs");
  else if (st->done + st->active < p->width
           && !kq_place_any_fits (s, &o->job->spec, step))
    kq_buf_printf (out, ", no runner is large enough");
  else if (st->done + st->active < p->width && o->job->spec.advised && st->tickets != NULL
           && st->tickets->agent >= 0)
    kq_buf_printf (out, ", waits for advice since %lld ms",
                   (long long)((now - st->tickets->asked_at) / KQ_MS));
  else if (st->done + st->active < p->width)
    {
      kq_buf_printf (out, ", waits for room: %d milli cpu, %d MB", p->cpu_milli,
                     p->mem_mb);
      kq_wait_places_explain (s, o, step, load, out);
      kq_large_tasks_explain (s, o, step, now, out);
    }
  kq_buf_printf (out, "\n");
}

void
kq_sched_explain (const KqSched *s, KqStr id, KqTime now, KqBuf *out)
{
  const KqJob *j = kq_book_find (s, id);
  KqLoadDigest load;
  int n_steps = 0;
  if (j == NULL && kq_refusals_explain (s->refusals, id, now, out))
    return;
  if (j == NULL)
    {
      kq_buf_printf (out, "job %.*s: unknown\n", KQ_STR_ARG (id));
      return;
    }
  kq_buf_printf (out,
                 "job %.*s: %s, queue %.*s, age %lld ms, objective %lld ms, runs %d\n",
                 KQ_STR_ARG (id), kq_job_state_name (j->state),
                 KQ_STR_ARG (j->spec.queue), (long long)((now - j->accepted_at) / KQ_MS),
                 (long long)kq_book_objective_ms (j), j->n_runs);
  kq_buf_printf (out, "so far: ");
  kq_spent_print (&j->spent, out);
  kq_buf_printf (out, "\n");
  kq_cordoning_explain (s, now, out);
  kq_sched_load (s, now, &load);
  for (const KqOccurrence *o = j->occurrences; o != NULL; o = o->next)
    for (int32_t i = 0; i < j->spec.n_steps; i++)
      {
        if (o->steps[i].done == j->spec.steps[i].width && j->spec.n_steps > STEPS_MAX)
          continue; /* the lines are for those that aren't done */
        if (n_steps++ == STEPS_MAX || out->len > KQ_EXPLAIN_BYTES_MAX)
          {
            kq_buf_printf (out, "further steps are left out\n");
            return;
          }
        explain_step (s, o, i, &load, now, out);
      }
}

void
kq_sched_explain_cordons (const KqSched *s, KqTime now, KqBuf *out)
{
  const KqCordons *c = s->config.cordons;
  if (!kq_cordoning_is_known (s))
    kq_buf_printf (out, "the cordons have not been read yet: nothing starts anywhere\n");
  else if (c == NULL || c->n == 0)
    kq_buf_printf (out, "no failure domain is cordoned\n");
  kq_cordoning_explain (s, now, out);
}

KqTime
kq_sched_passed_at (const KqSched *s)
{
  return s->passed_at;
}
