#include "sched/waits.h"

#include "sched/place.h"

/* A step counts as idle after waiting for this time. */
#define IDLE_AFTER (2 * KQ_SEC)
#define LOG_INTERVAL KQ_SEC

void
kq_waits_add (KqWaits *w, const KqOccurrence *o, int32_t step, KqTime now)
{
  const KqStepState *st = &o->steps[step];
  const KqStepState *longest
      = w->occurrence != NULL ? &w->occurrence->steps[w->step] : NULL;
  if (st->done + st->active >= o->job->spec.steps[step].width || st->waits_since == 0
      || now - st->waits_since < IDLE_AFTER || (o->job->n_runs > 0 && st->lost_since == 0)
      || !kq_pools_is_half_free (o->job->pool))
    return;
  w->n_idle++;
  if (longest != NULL && longest->waits_since <= st->waits_since)
    return;
  w->occurrence = o;
  w->step = step;
}

static void
log_step (const KqWaits *w, KqSched *s, KqTime now)
{
  const KqOccurrence *o = w->occurrence;
  const KqStep *p = &o->job->spec.steps[w->step];
  const KqStepState *st = &o->steps[w->step];
  int32_t counts[KQ_PLACE_ANSWERS] = { 0 };
  KqBuf answers = { 0 };
  for (guint i = 0; i < s->runner_list->len; i++)
    counts[kq_place_ask (s, g_ptr_array_index (s->runner_list, i), o, w->step,
                         st->lost_since != 0, now)]++;
  for (int i = 0; i < KQ_PLACE_ANSWERS; i++)
    if (counts[i] > 0)
      kq_buf_printf (&answers, "%s%s:%d", answers.len > 0 ? "," : "",
                     kq_place_answer_name ((KqPlaceAnswer)i), counts[i]);
  kq_log (
      KQ_LOG_WARN, PART,
      "Tasks wait beside free room. step=%.*s.%d.%d waited_ms=%lld lost=%d cpu_milli=%d "
      "mem_mb=%d steps=%d starts_under_way=%d window=%d runners=%.*s",
      KQ_STR_ARG (o->job->spec.id), o->number, w->step,
      (long long)((now - st->waits_since) / KQ_MS), st->lost_since != 0, p->cpu_milli,
      p->mem_mb, w->n_idle, s->window.unanswered, s->window.size,
      KQ_STR_ARG (kq_buf_str (&answers)));
  kq_buf_free (&answers);
}

static void
log_held_back (const KqWaits *w, const KqSched *s, KqTime now)
{
  const KqRunnerState *r = s->settled ? NULL : kq_runners_first_unaccounted (s, now);
  kq_log (KQ_LOG_WARN, PART,
          "Jobs are held back. jobs=%d lead_uncertain=%d runner=%s agent=%d silent=%d "
          "lease_left_ms=%lld lease_from=%s",
          w->n_held_back, now >= s->exclusive_until, r != NULL ? r->id : "-",
          r != NULL ? r->agent : -1, r != NULL && r->silent,
          (long long)(r != NULL ? (kq_runners_lease_end (r) - now) / KQ_MS : 0),
          r != NULL ? kq_runners_lease_from (r) : "-");
}

void
kq_waits_log (const KqWaits *w, KqSched *s, KqTime now)
{
  s->steps_idle = (uint64_t)w->n_idle;
  if ((w->n_idle == 0 && w->n_held_back == 0) || now - s->waits_logged_at < LOG_INTERVAL)
    return;
  s->waits_logged_at = now;
  if (w->n_idle > 0)
    log_step (w, s, now);
  if (w->n_held_back > 0)
    log_held_back (w, s, now);
}
