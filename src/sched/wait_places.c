#include "sched/wait_places.h"

#define MILLI_MS_PER_CORE_S 1e6

KqLoadKind
kq_wait_places_kind (const KqStep *p)
{
  if (p->lasting)
    return KQ_LOAD_LASTING;
  return p->filling ? KQ_LOAD_FILLING : KQ_LOAD_RESERVED;
}

static int64_t
waiting_work (const KqOccurrence *o, int32_t step)
{
  const KqStep *p = &o->job->spec.steps[step];
  const KqStepState *st = &o->steps[step];
  return kq_load_work (p->cpu_milli, p->estimate_ms, p->width - st->done - st->active);
}

/* The counts of the present pass, cleared at the first use in it. */
static KqWaitCounts *
counts_of_pass (const KqSched *s, KqPool *pool, KqLoadKind kind)
{
  KqWaitCounts *c = &pool->waiting[kind];
  if (c->pass != s->passes)
    *c = (KqWaitCounts){ .pass = s->passes };
  return c;
}

void
kq_wait_places_note (KqSched *s, KqOccurrence *o, int32_t step, const char *rank)
{
  KqJob *j = o->job;
  KqStepState *st = &o->steps[step];
  KqLoadKind kind = kq_wait_places_kind (&j->spec.steps[step]);
  KqWaitCounts *c = counts_of_pass (s, j->pool, kind);
  unsigned bit = 1u << kind;
  if (st->place.pass == s->passes || st->done + st->active >= j->spec.steps[step].width)
    return;
  if (j->counted_pass != s->passes)
    j->counted_kinds = 0;
  j->counted_pass = s->passes;
  st->place = (KqWaitPlace){ .pass = s->passes,
                             .rank = rank,
                             .jobs_before = c->jobs - ((j->counted_kinds & bit) != 0),
                             .work_before = c->work };
  c->jobs += (j->counted_kinds & bit) == 0;
  j->counted_kinds |= bit;
  if (kind != KQ_LOAD_LASTING)
    c->work += waiting_work (o, step);
}

void
kq_wait_places_explain (const KqSched *s, const KqOccurrence *o, int32_t step,
                        const KqLoadDigest *load, KqBuf *out)
{
  const KqJob *j = o->job;
  const KqWaitPlace *w = &o->steps[step].place;
  KqLoadKind kind = kq_wait_places_kind (&j->spec.steps[step]);
  const KqLoadRow *row = kq_load_find (load, j->spec.service, kind);
  int64_t end_ms;
  if (s->passes == 0 || w->pass != s->passes)
    {
      kq_buf_printf (out, ", no place in the order yet");
      return;
    }
  kq_buf_printf (out, ", rank %s among %s tasks of %.*s", w->rank,
                 kq_load_kind_name (kind), KQ_STR_ARG (j->spec.service));
  if (s->config.features.forecast_order && o->place.forecast_end != 0)
    kq_buf_printf (out, " (%s)", kq_waiting_class_name (o->place.class));
  kq_buf_printf (out, ", before it %d jobs", w->jobs_before);
  if (kind == KQ_LOAD_LASTING)
    return;
  kq_buf_printf (out, " with %.1f core s", (double)w->work_before / MILLI_MS_PER_CORE_S);
  if (row == NULL || row->rate <= 0)
    {
      kq_buf_printf (out, ", forecast end not known");
      return;
    }
  end_ms = w->work_before / row->rate + o->critical_path_ms;
  kq_buf_printf (out, ", forecast end in %lld ms", (long long)end_ms);
}
