#include "job/classes.h"

uint16_t
kq_classes_find_or_add (KqClasses *c, const KqName *name)
{
  for (uint16_t i = 0; i < c->n; i++)
    if (kq_name_eq (&c->names[i], name))
      return i;
  if (c->n == KQ_CLASSES_MAX)
    return KQ_CLASSES_MAX - 1;
  c->names[c->n] = *name;
  return c->n++;
}
