#include "fleet/job_writes.h"

#include "fleet/keys.h"

#include <stdlib.h>

void
kq_job_write (KqKv *kv, KqStr id, KqStr stored, uint64_t cancel_revision, int timeout_ms,
              KqKvCallback cb)
{
  KqStr job = kq_key_of (KQ_KEY_JOB, id);
  KqStr cancel = kq_key_of (KQ_KEY_CANCEL, id);
  KqKvCheck checks[2] = { { job, 0 }, { cancel, cancel_revision } };
  KqKvPut put = { job, stored, 0 };
  KqKvTxn t = { checks, 2, &put, 1, NULL, 0 };
  kq_kv_txn (kv, &t, timeout_ms, cb);
  free ((char *)job.ptr);
  free ((char *)cancel.ptr);
}

bool
kq_job_write_found_job (const KqKvReply *r, uint64_t *cancel_revision)
{
  uint64_t expected = *cancel_revision;
  *cancel_revision = 0;
  for (size_t i = 0; i < r->n_items; i++)
    if (kq_key_id (r->items[i].key, KQ_KEY_CANCEL).len > 0)
      *cancel_revision = r->items[i].revision;
    else if (r->items[i].revision != 0)
      return true;
  return *cancel_revision == expected;
}

void
kq_cancel_write (KqKv *kv, KqStr id, uint64_t job_revision, int timeout_ms,
                 KqKvCallback cb)
{
  KqStr job = kq_key_of (KQ_KEY_JOB, id);
  KqStr cancel = kq_key_of (KQ_KEY_CANCEL, id);
  KqKvCheck check = { job, job_revision };
  KqKvPut put = { cancel, KQ_STR ("1"), 0 };
  KqKvTxn t = { &check, 1, &put, 1, NULL, 0 };
  kq_kv_txn (kv, &t, timeout_ms, cb);
  free ((char *)job.ptr);
  free ((char *)cancel.ptr);
}
