#include "sched/load_account.h"

const char *
kq_load_kind_name (KqLoadKind k)
{
  static const char *const names[] = { "reserved", "filling", "lasting" };
  return names[k];
}

int64_t
kq_load_work (int32_t cpu_milli, int32_t estimate_ms, int32_t n)
{
  int64_t one = (int64_t)cpu_milli * estimate_ms;
  if (n <= 0 || one <= 0)
    return 0;
  return one > KQ_LOAD_WORK_MAX / n ? KQ_LOAD_WORK_MAX : one * n;
}

const KqLoadRow *
kq_load_find (const KqLoadDigest *d, KqStr service, KqLoadKind kind)
{
  for (size_t i = 0; d->known && i < d->n_rows; i++)
    if (d->rows[i].kind == kind && kq_str_eq (d->rows[i].service, service))
      return &d->rows[i];
  return NULL;
}

int64_t
kq_load_wait_ms (const KqLoadRow *row)
{
  int64_t work = row->in_time_work + row->late_work;
  if (row->waiting_jobs == 0 && work == 0)
    return 0;
  return row->rate > 0 ? work / row->rate : -1;
}
