#ifndef KQ_PORT_STORE_FAKE_KEYS_H
#define KQ_PORT_STORE_FAKE_KEYS_H

/* store_fake_keys: the keys of the fake store, sorted. Internal to store_fake.c. */

#include "port/store.h"

#include <stdbool.h>

/* The row of a deleted key stays, with the revision of the deletion, so that watches
 * report it. */
typedef struct
{
  KqStr key;
  KqStr value;
  uint64_t revision; /* of the last write or deletion */
  uint64_t lease;
  bool present; /* false: the key is deleted */
} KqFakeRow;

typedef struct
{
  uint64_t id;
  KqTime expires;
} KqFakeLease;

typedef struct
{
  KqFakeRow *rows; /* by key */
  size_t n_rows;
  size_t capacity;
  uint64_t revision; /* of the last write to any key */
  KqFakeLease *leases;
  size_t n_leases;
  size_t leases_capacity;
  uint64_t last_lease;
} KqFakeKeys;

/* A copy of s, freed by free (); for "" nothing is allocated. */
KqStr kq_fake_copy (KqStr s);
/* Index of the first row whose key is not below `key`. */
size_t kq_fake_keys_lower_bound (const KqFakeKeys *k, KqStr key);
KqFakeRow *kq_fake_keys_find (const KqFakeKeys *k, KqStr key);
/* The key's row, created if there is none. */
KqFakeRow *kq_fake_keys_add (KqFakeKeys *k, KqStr key);
/* Writes or deletes (present: false) the row with the next revision. */
void kq_fake_keys_set (KqFakeKeys *k, KqFakeRow *row, KqStr value, uint64_t lease,
                       bool present);
/* Copies of the present rows under a prefix; NULL when there are none. */
KqStoreItem *kq_fake_keys_list (const KqFakeKeys *k, KqStr prefix, size_t *n);
KqFakeLease *kq_fake_keys_find_lease (KqFakeKeys *k, uint64_t id); /* NULL: none */
KqFakeLease *kq_fake_keys_grant (KqFakeKeys *k);                   /* with a new id */
void kq_fake_keys_free (KqFakeKeys *k);

#endif
