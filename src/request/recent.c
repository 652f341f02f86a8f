#include "request/recent.h"

#include <string.h>

void
kq_recent_add (KqRecent *r, const KqFlight *f, KqResult code, KqRan ran, KqTime now)
{
  KqRecentEntry *e = &r->entries[r->n_added++ % KQ_RECENT_MAX];
  memcpy (e->id_text, f->id_text, sizeof e->id_text);
  e->service = f->service;
  e->caller = f->caller;
  e->code = code;
  e->ran = ran;
  e->status = f->status;
  e->tries = f->tries;
  e->duration = now - f->accepted_at;
}

const KqRecentEntry *
kq_recent_find (const KqRecent *r, KqStr id_text)
{
  for (size_t i = 0; i < KQ_RECENT_MAX; i++)
    {
      if (id_text.len > 0 && kq_str_eq (kq_str (r->entries[i].id_text), id_text))
        return &r->entries[i];
    }
  return NULL;
}
