#include "sched/load_account.h"

const char *
kq_load_kind_name (KqLoadKind k)
{
  static const char *const names[] = { "reserved", "filling", "lasting" };
  return names[k];
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
