#include "request/map.h"

#include "base/str.h"

#include <assert.h>
#include <stdlib.h>

#define INITIAL_BUCKETS 16

static KqMapNode **
bucket (const KqMap *m, uint64_t hash)
{
  return &m->buckets[hash & (m->n_buckets - 1)];
}

static void
grow (KqMap *m)
{
  KqMap larger = { 0 };
  larger.n_buckets = m->n_buckets > 0 ? m->n_buckets * 2 : INITIAL_BUCKETS;
  larger.buckets = kq_alloc (larger.n_buckets * sizeof (KqMapNode *));
  for (size_t i = 0; i < m->n_buckets; i++)
    while (m->buckets[i] != NULL)
      {
        KqMapNode *node = m->buckets[i];
        KqMapNode **link = bucket (&larger, node->hash);
        m->buckets[i] = node->next;
        node->next = *link;
        *link = node;
      }
  free (m->buckets);
  m->buckets = larger.buckets;
  m->n_buckets = larger.n_buckets;
  m->first = 0;
}

void
kq_map_free (KqMap *m)
{
  free (m->buckets);
  *m = (KqMap){ 0 };
}

void
kq_map_add (KqMap *m, KqMapNode *node, uint64_t hash, void *container)
{
  KqMapNode **link;
  if (m->n >= m->n_buckets)
    grow (m);
  link = bucket (m, hash);
  *node = (KqMapNode){ *link, hash, container };
  *link = node;
  if ((size_t)(link - m->buckets) < m->first)
    m->first = (size_t)(link - m->buckets);
  m->n++;
}

void
kq_map_remove (KqMap *m, KqMapNode *node)
{
  KqMapNode **link = bucket (m, node->hash);
  while (*link != node)
    {
      assert (*link != NULL);
      link = &(*link)->next;
    }
  *link = node->next;
  node->next = NULL;
  m->n--;
}

KqMapNode *
kq_map_find (const KqMap *m, uint64_t hash)
{
  KqMapNode *node;
  if (m->n_buckets == 0)
    return NULL;
  node = *bucket (m, hash);
  while (node != NULL && node->hash != hash)
    node = node->next;
  return node;
}

KqMapNode *
kq_map_next (const KqMapNode *node)
{
  KqMapNode *next = node->next;
  while (next != NULL && next->hash != node->hash)
    next = next->next;
  return next;
}

KqMapNode *
kq_map_any (KqMap *m)
{
  while (m->first < m->n_buckets && m->buckets[m->first] == NULL)
    m->first++;
  return m->first < m->n_buckets ? m->buckets[m->first] : NULL;
}
