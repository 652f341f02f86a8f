#include "shard/log_port.h"

#include <stdlib.h>

static KqSeq
fake_append (KqFakeLog *f, const KqRecord *r)
{
  if (f->n_records == f->capacity)
    {
      f->capacity = f->capacity > 0 ? f->capacity * 2 : 16;
      f->records = kq_realloc (f->records, f->capacity * sizeof *f->records);
    }
  f->records[f->n_records] = *r;
  f->records[f->n_records].body.ptr = kq_str_dup (r->body);
  return ++f->n_records;
}

KqSeq
kq_log_port_append (KqLogPort p, const KqRecord *r, KqCommitClass c, KqTime now)
{
  if (p.kind == KQ_LOG_PORT_FAKE)
    return fake_append (p.u.fake, r);
  return kq_journal_append (p.u.journal, r, c, now);
}

KqSeq
kq_log_port_committed (KqLogPort p)
{
  if (p.kind == KQ_LOG_PORT_FAKE)
    return p.u.fake->committed;
  return kq_journal_committed (p.u.journal);
}

KqTime
kq_log_port_lag (KqLogPort p, KqTime now)
{
  if (p.kind == KQ_LOG_PORT_FAKE)
    return p.u.fake->lag;
  return kq_journal_lag (p.u.journal, now);
}

void
kq_fake_log_free (KqFakeLog *f)
{
  for (size_t i = 0; i < f->n_records; i++)
    free ((char *)f->records[i].body.ptr);
  free (f->records);
  *f = (KqFakeLog){ 0 };
}
