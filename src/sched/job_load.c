#include "sched/job_load.h"

bool
kq_job_load (const KqSpec *spec, KqJobLoad *out)
{
  int64_t work[KQ_LOAD_KINDS] = { 0 };
  *out = (KqJobLoad){ .service = spec->service };
  for (int32_t i = 0; i < spec->n_steps; i++)
    {
      const KqStep *p = &spec->steps[i];
      int64_t step_work = kq_load_work (p->cpu_milli, p->estimate_ms, p->width);
      work[p->filling ? KQ_LOAD_FILLING : KQ_LOAD_RESERVED] += step_work;
      out->work += step_work;
      if (p->n_after == 0)
        out->start_milli += (int64_t)p->width * p->cpu_milli;
      if (p->cpu_milli > out->largest_milli)
        out->largest_milli = p->cpu_milli;
    }
  out->kind = work[KQ_LOAD_FILLING] > work[KQ_LOAD_RESERVED] ? KQ_LOAD_FILLING
                                                             : KQ_LOAD_RESERVED;
  out->chain_ms = kq_spec_critical_path_ms (spec);
  out->objective_ms = kq_spec_objective_ms (spec);
  return !kq_spec_lasting (spec) && spec->n_occurrences == 0 && out->objective_ms > 0;
}
