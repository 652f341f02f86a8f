#include "steps/spec.h"

#include "wire/pack.h"

#include <stdlib.h>

/* Version of the stored form; the first field of a stored job. */
#define FORMAT_VERSION 1

static const char *
check_step (const KqSpec *s, int32_t n)
{
  const KqStep *p = &s->steps[n];
  if (p->width < 1)
    return "a step has no task";
  if (p->cpu_milli < 0 || p->mem_mb < 0 || p->gpus < 0 || p->estimate_ms < 0
      || p->per_runner_max < 0 || p->target_ms < 0)
    return "a step has a negative size";
  for (int32_t i = 0; i < p->n_after; i++)
    if (p->after[i] < 0 || p->after[i] >= n)
      return "a step depends on one that isn't before it";
  return NULL;
}

bool
kq_spec_id_is_valid (KqStr id)
{
  return id.len > 0 && id.len <= KQ_SPEC_ID_MAX;
}

KqResult
kq_spec_check (const KqSpec *s, const char **why)
{
  int64_t tasks = 0;
  *why = NULL;
  if (!kq_spec_id_is_valid (s->id))
    *why = "the id is empty or too long";
  else if (s->text.len > KQ_SPEC_TEXT_MAX)
    *why = "the text is too long";
  else if (s->n_steps < 1 || s->n_steps > KQ_SPEC_STEPS_MAX)
    *why = "no steps or too many";
  else if (s->n_occurrences < 0 || s->n_occurrences > KQ_SPEC_OCCURRENCES_MAX
           || s->interval_ms < 0)
    *why = "bad occurrences";
  for (int32_t i = 0; i < s->n_steps && *why == NULL; i++)
    {
      *why = check_step (s, i);
      tasks += s->steps[i].width;
    }
  if (*why == NULL && tasks > KQ_SPEC_TASKS_MAX)
    *why = "too many tasks";
  return *why == NULL ? KQ_OK : KQ_ERR_JOB_BAD;
}

int64_t
kq_spec_critical_path_ms (const KqSpec *s)
{
  int64_t *ends = kq_alloc ((size_t)s->n_steps * sizeof *ends);
  int64_t longest = 0;
  for (int32_t i = 0; i < s->n_steps; i++)
    {
      const KqStep *p = &s->steps[i];
      int64_t start = 0;
      for (int32_t k = 0; k < p->n_after; k++)
        if (ends[p->after[k]] > start)
          start = ends[p->after[k]];
      ends[i] = start + p->estimate_ms;
      if (ends[i] > longest)
        longest = ends[i];
    }
  free (ends);
  return longest;
}

int64_t
kq_spec_objective_ms (const KqSpec *s)
{
  return kq_spec_critical_path_ms (s) * s->stretch_percent / 100 + s->slo_ms;
}

int32_t
kq_spec_occurrences (const KqSpec *s)
{
  return s->n_occurrences > 0 ? s->n_occurrences : 1;
}

bool
kq_spec_lasting (const KqSpec *s)
{
  for (int32_t i = 0; i < s->n_steps; i++)
    if (s->steps[i].lasting)
      return true;
  return false;
}

static void
pack_step (KqPacker *p, const KqStep *s)
{
  kq_pack_array (p, 18);
  kq_pack_i64 (p, s->width);
  kq_pack_i64 (p, s->cpu_milli);
  kq_pack_i64 (p, s->mem_mb);
  kq_pack_i64 (p, s->gpus);
  kq_pack_i64 (p, s->estimate_ms);
  kq_pack_array (p, (size_t)s->n_after);
  for (int32_t i = 0; i < s->n_after; i++)
    kq_pack_i64 (p, s->after[i]);
  kq_pack_bool (p, s->checkpoints);
  kq_pack_bool (p, s->gang);
  kq_pack_bool (p, s->one_rack);
  kq_pack_bool (p, s->speculative);
  kq_pack_bool (p, s->lasting);
  kq_pack_bool (p, s->filling);
  kq_pack_i64 (p, s->per_runner_max);
  kq_pack_i64 (p, s->max_unavailable);
  kq_pack_i64 (p, s->target_ms);
  kq_pack_str (p, s->label);
  kq_pack_str (p, s->rack);
  kq_pack_str (p, s->image);
}

void
kq_spec_pack (const KqSpec *s, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 15);
  kq_pack_i64 (&p, FORMAT_VERSION);
  kq_pack_str (&p, s->id);
  kq_pack_str (&p, s->queue);
  kq_pack_str (&p, s->service);
  kq_pack_str (&p, s->text);
  kq_pack_i64 (&p, s->priority);
  kq_pack_i64 (&p, s->attempts);
  kq_pack_i64 (&p, s->stretch_percent);
  kq_pack_i64 (&p, s->slo_ms);
  kq_pack_i64 (&p, s->accepted_ms);
  kq_pack_i64 (&p, s->first_ms);
  kq_pack_i64 (&p, s->interval_ms);
  kq_pack_i64 (&p, s->n_occurrences);
  kq_pack_array (&p, (size_t)s->n_steps);
  for (int32_t i = 0; i < s->n_steps; i++)
    pack_step (&p, &s->steps[i]);
  kq_pack_bool (&p, s->advised);
}

static void
read_after (KqReader *r, KqStep *s)
{
  KqReader list;
  kq_read_array (r, &list);
  if (list.bad || list.left > KQ_SPEC_STEPS_MAX)
    {
      r->bad = true;
      return;
    }
  s->n_after = (int32_t)list.left;
  if (s->n_after > 0)
    s->after = kq_alloc ((size_t)s->n_after * sizeof *s->after);
  for (int32_t i = 0; i < s->n_after; i++)
    s->after[i] = (int32_t)kq_read_i64 (&list);
  kq_read_array_end (r, &list);
}

static void
read_step (KqReader *r, KqStep *s)
{
  s->width = (int32_t)kq_read_i64 (r);
  s->cpu_milli = (int32_t)kq_read_i64 (r);
  s->mem_mb = (int32_t)kq_read_i64 (r);
  s->gpus = (int32_t)kq_read_i64 (r);
  s->estimate_ms = (int32_t)kq_read_i64 (r);
  read_after (r, s);
  s->checkpoints = kq_read_bool (r);
  s->gang = kq_read_bool (r);
  s->one_rack = kq_read_bool (r);
  s->speculative = kq_read_bool (r);
  s->lasting = kq_read_bool (r);
  s->filling = kq_read_bool (r);
  s->per_runner_max = (int32_t)kq_read_i64 (r);
  s->max_unavailable = (int32_t)kq_read_i64 (r);
  s->target_ms = (int32_t)kq_read_i64 (r);
  s->label = kq_read_str (r);
  s->rack = kq_read_str (r);
  s->image = kq_read_str (r);
}

static void
read_steps (KqReader *r, KqSpec *out)
{
  KqReader list;
  kq_read_array (r, &list);
  if (list.bad || list.left > KQ_SPEC_STEPS_MAX)
    {
      r->bad = true;
      return;
    }
  out->n_steps = (int32_t)list.left;
  out->steps = kq_alloc ((size_t)(out->n_steps + 1) * sizeof *out->steps);
  for (int32_t i = 0; i < out->n_steps; i++)
    {
      KqReader step;
      kq_read_array (&list, &step);
      read_step (&step, &out->steps[i]);
      kq_read_array_end (&list, &step);
    }
  kq_read_array_end (r, &list);
}

bool
kq_spec_unpack (KqStr bytes, KqSpec *out)
{
  KqUnpacked u;
  KqReader r;
  const char *why;
  bool valid;
  *out = (KqSpec){ 0 };
  if (!kq_unpacked_open (&u, bytes, &r))
    return false;
  valid = kq_read_i64 (&r) == FORMAT_VERSION;
  out->id = kq_read_str (&r);
  out->queue = kq_read_str (&r);
  out->service = kq_read_str (&r);
  out->text = kq_read_str (&r);
  out->priority = (int32_t)kq_read_i64 (&r);
  out->attempts = (int32_t)kq_read_i64 (&r);
  out->stretch_percent = (int32_t)kq_read_i64 (&r);
  out->slo_ms = (int32_t)kq_read_i64 (&r);
  out->accepted_ms = kq_read_i64 (&r);
  out->first_ms = kq_read_i64 (&r);
  out->interval_ms = kq_read_i64 (&r);
  out->n_occurrences = (int32_t)kq_read_i64 (&r);
  read_steps (&r, out);
  /* Jobs stored by a program version without the advice service lack this field. */
  out->advised = r.left > 0 && kq_read_bool (&r);
  valid = valid && !r.bad && kq_spec_check (out, &why) == KQ_OK;
  kq_unpacked_close (&u);
  if (!valid)
    kq_spec_clear (out);
  return valid;
}

void
kq_spec_clear (KqSpec *s)
{
  for (int32_t i = 0; i < s->n_steps && s->steps != NULL; i++)
    free (s->steps[i].after);
  free (s->steps);
  *s = (KqSpec){ 0 };
}
