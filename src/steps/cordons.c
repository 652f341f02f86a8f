#include "steps/cordons.h"

#include <stdlib.h>

KqCordons *
kq_cordons_new (void)
{
  return kq_alloc (sizeof (KqCordons));
}

void
kq_cordons_free (KqCordons *c)
{
  if (c == NULL)
    return;
  free (c->list);
  free (c);
}

static KqCordon *
find (const KqCordons *c, KqStr domain)
{
  for (size_t i = 0; i < c->n; i++)
    if (kq_str_eq (kq_name_str (&c->list[i].domain), domain))
      return &c->list[i];
  return NULL;
}

bool
kq_cordons_add (KqCordons *c, KqStr domain, uint64_t revision, KqTime now)
{
  KqCordon *known = find (c, domain);
  if (known != NULL)
    {
      known->revision = revision;
      return false;
    }
  c->list = kq_realloc (c->list, (c->n + 1) * sizeof *c->list);
  c->list[c->n++] = (KqCordon){ kq_name (domain), revision, now };
  return true;
}

bool
kq_cordons_lift (KqCordons *c, KqStr domain)
{
  KqCordon *known = find (c, domain);
  if (known == NULL)
    return false;
  *known = c->list[--c->n];
  return true;
}

const KqCordon *
kq_cordons_find (const KqCordons *c, KqStr domain)
{
  return find (c, domain);
}
