#include "job/fit_tree.h"

#include <stdlib.h>

static const KqSize no_room = { -1, -1, -1 };

void
kq_fit_tree_init (KqFitTree *t)
{
  *t = (KqFitTree){ 0 };
}

void
kq_fit_tree_free (KqFitTree *t)
{
  free (t->nodes);
  *t = (KqFitTree){ 0 };
}

static void
grow (KqFitTree *t, uint32_t n)
{
  KqFitTree old = *t;
  t->width = old.width > 0 ? old.width : 16;
  while (t->width < n)
    t->width *= 2;
  t->nodes = kq_alloc (2 * (size_t)t->width * sizeof *t->nodes);
  for (uint32_t i = 0; i < 2 * t->width; i++)
    t->nodes[i] = no_room;
  for (uint32_t i = 0; i < old.n; i++)
    t->nodes[t->width + i] = old.nodes[old.width + i];
  for (uint32_t i = t->width - 1; i > 0; i--)
    t->nodes[i] = kq_size_max (t->nodes[2 * i], t->nodes[2 * i + 1]);
  free (old.nodes);
}

void
kq_fit_tree_set (KqFitTree *t, uint32_t i, KqSize room)
{
  if (i >= t->width)
    grow (t, i + 1);
  if (i >= t->n)
    t->n = i + 1;
  i += t->width;
  t->nodes[i] = room;
  for (i /= 2; i > 0; i /= 2)
    t->nodes[i] = kq_size_max (t->nodes[2 * i], t->nodes[2 * i + 1]);
}

static uint32_t
find_in_subtree (const KqFitTree *t, uint32_t node, uint32_t low, uint32_t span,
                 uint32_t from, const KqSize *need)
{
  uint32_t found;
  if (low + span <= from || !kq_size_fits (need, &t->nodes[node]))
    return KQ_FIT_NONE;
  if (span == 1)
    return low;
  span /= 2;
  found = find_in_subtree (t, 2 * node, low, span, from, need);
  if (found != KQ_FIT_NONE)
    return found;
  return find_in_subtree (t, 2 * node + 1, low + span, span, from, need);
}

uint32_t
kq_fit_tree_find (const KqFitTree *t, uint32_t from, const KqSize *need)
{
  if (t->width == 0)
    return KQ_FIT_NONE;
  return find_in_subtree (t, 1, 0, t->width, from, need);
}

KqSize
kq_fit_tree_largest (const KqFitTree *t)
{
  return t->width > 0 ? t->nodes[1] : no_room;
}
