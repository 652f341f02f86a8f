#include "port/store_fake_keys.h"

#include <stdlib.h>
#include <string.h>

KqStr
kq_fake_copy (KqStr s)
{
  return s.len > 0 ? kq_str_own (s) : (KqStr){ 0 };
}

size_t
kq_fake_keys_lower_bound (const KqFakeKeys *k, KqStr key)
{
  size_t lo = 0;
  size_t hi = k->n_rows;
  while (lo < hi)
    {
      size_t mid = (lo + hi) / 2;
      if (kq_str_cmp (k->rows[mid].key, key) < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  return lo;
}

KqFakeRow *
kq_fake_keys_find (const KqFakeKeys *k, KqStr key)
{
  size_t i = kq_fake_keys_lower_bound (k, key);
  return i < k->n_rows && kq_str_eq (k->rows[i].key, key) ? &k->rows[i] : NULL;
}

KqFakeRow *
kq_fake_keys_add (KqFakeKeys *k, KqStr key)
{
  size_t i = kq_fake_keys_lower_bound (k, key);
  if (i < k->n_rows && kq_str_eq (k->rows[i].key, key))
    return &k->rows[i];
  if (k->n_rows == k->capacity)
    {
      k->capacity = k->capacity > 0 ? k->capacity * 2 : 64;
      k->rows = kq_realloc (k->rows, k->capacity * sizeof *k->rows);
    }
  memmove (k->rows + i + 1, k->rows + i, (k->n_rows - i) * sizeof *k->rows);
  k->n_rows++;
  k->rows[i] = (KqFakeRow){ .key = kq_fake_copy (key) };
  return &k->rows[i];
}

void
kq_fake_keys_set (KqFakeKeys *k, KqFakeRow *row, KqStr value, uint64_t lease,
                  bool present)
{
  free ((char *)row->value.ptr);
  row->value = kq_fake_copy (value);
  row->lease = lease;
  row->present = present;
  row->revision = ++k->revision;
}

KqStoreItem *
kq_fake_keys_list (const KqFakeKeys *k, KqStr prefix, size_t *n)
{
  KqStoreItem *items = NULL;
  size_t capacity = 0;
  *n = 0;
  for (size_t i = kq_fake_keys_lower_bound (k, prefix);
       i < k->n_rows && kq_str_has_prefix (k->rows[i].key, prefix); i++)
    {
      const KqFakeRow *row = &k->rows[i];
      if (!row->present)
        continue;
      if (*n == capacity)
        {
          capacity = capacity > 0 ? capacity * 2 : 8;
          items = kq_realloc (items, capacity * sizeof *items);
        }
      items[(*n)++] = (KqStoreItem){ kq_fake_copy (row->key), kq_fake_copy (row->value),
                                     row->revision };
    }
  return items;
}

KqFakeLease *
kq_fake_keys_find_lease (KqFakeKeys *k, uint64_t id)
{
  for (size_t i = 0; i < k->n_leases; i++)
    if (k->leases[i].id == id)
      return &k->leases[i];
  return NULL;
}

KqFakeLease *
kq_fake_keys_grant (KqFakeKeys *k)
{
  if (k->n_leases == k->leases_capacity)
    {
      k->leases_capacity = k->leases_capacity > 0 ? k->leases_capacity * 2 : 16;
      k->leases = kq_realloc (k->leases, k->leases_capacity * sizeof *k->leases);
    }
  KqFakeLease *l = &k->leases[k->n_leases++];
  *l = (KqFakeLease){ .id = ++k->last_lease };
  return l;
}

void
kq_fake_keys_free (KqFakeKeys *k)
{
  for (size_t i = 0; i < k->n_rows; i++)
    {
      free ((char *)k->rows[i].key.ptr);
      free ((char *)k->rows[i].value.ptr);
    }
  free (k->rows);
  free (k->leases);
  *k = (KqFakeKeys){ 0 };
}
