#include "table/table.h"

#include "table/row_pack.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Version of the packed table: a digest, then [version, revision, [row...]]. */
#define PACK_VERSION 1

/* The rows are unique and sorted by kind and name, and their revisions are at most the
 * table's. A table isn't changed once it has been returned to a caller. */
struct KqTable
{
  int refs;
  uint64_t revision;
  KqRow *rows;
  size_t n_rows;
  KqPolicyRow default_policy;
};

static KqTable *
alloc_table (uint64_t revision, size_t n)
{
  KqTable *t = kq_alloc (sizeof *t);
  t->refs = 1;
  t->revision = revision;
  t->rows = kq_alloc (n * sizeof *t->rows);
  t->default_policy = kq_row_default (KQ_ROW_POLICY, KQ_STR ("default")).u.policy;
  return t;
}

KqTable *
kq_table_new (uint64_t revision)
{
  return alloc_table (revision, 0);
}

KqTable *
kq_table_ref (KqTable *t)
{
  assert (t->refs > 0);
  t->refs++;
  return t;
}

void
kq_table_unref (KqTable *t)
{
  if (t == NULL)
    return;
  assert (t->refs > 0);
  if (--t->refs > 0)
    return;
  free (t->rows);
  free (t);
}

uint64_t
kq_table_revision (const KqTable *t)
{
  return t->revision;
}

size_t
kq_table_size (const KqTable *t)
{
  return t->n_rows;
}

const KqRow *
kq_table_row (const KqTable *t, size_t i)
{
  assert (i < t->n_rows);
  return &t->rows[i];
}

static int
compare_to_row (KqRowKind kind, KqStr name, const KqRow *row)
{
  if (kind != row->kind)
    return kind < row->kind ? -1 : 1;
  return kq_str_cmp (name, kq_name_str (&row->name));
}

/* Returns the index of the row, or the index at which it would be inserted (*found is
 * false). */
static size_t
find_index (const KqTable *t, KqRowKind kind, KqStr name, bool *found)
{
  size_t low = 0;
  size_t high = t->n_rows;
  *found = false;
  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      int c = compare_to_row (kind, name, &t->rows[mid]);
      if (c == 0)
        {
          *found = true;
          return mid;
        }
      if (c < 0)
        high = mid;
      else
        low = mid + 1;
    }
  return low;
}

const KqRow *
kq_table_find (const KqTable *t, KqRowKind kind, KqStr name)
{
  bool found;
  size_t i = find_index (t, kind, name, &found);
  return found ? &t->rows[i] : NULL;
}

const KqPolicyRow *
kq_table_policy (const KqTable *t)
{
  const KqRow *row = kq_table_find (t, KQ_ROW_POLICY, KQ_STR ("default"));
  return row != NULL ? &row->u.policy : &t->default_policy;
}

static void
put_row (KqTable *t, const KqRow *row, size_t at, bool found)
{
  if (!found)
    {
      memmove (&t->rows[at + 1], &t->rows[at], (t->n_rows - at) * sizeof *t->rows);
      t->n_rows++;
    }
  t->rows[at] = *row;
  t->rows[at].revision = t->revision;
}

static void
remove_row (KqTable *t, size_t at)
{
  t->n_rows--;
  memmove (&t->rows[at], &t->rows[at + 1], (t->n_rows - at) * sizeof *t->rows);
}

/* Checks that the row is still at the revision that the change expects. */
static KqResult
check_expected (const KqRowChange *c, const KqRow *current)
{
  if (c->derived && !c->remove
      && c->base_revision != (current != NULL ? current->revision : 0))
    return KQ_ERR_TABLE_CONFLICT;
  if (current == NULL)
    {
      bool may_be_new = c->expect == 0 || (c->expect == UINT64_MAX && !c->remove);
      return may_be_new && !c->remove ? KQ_OK : KQ_ERR_TABLE_NOT_FOUND;
    }
  if (c->expect != UINT64_MAX && c->expect != current->revision)
    return KQ_ERR_TABLE_CONFLICT;
  return KQ_OK;
}

static KqResult
apply_row_change (KqTable *t, const KqRowChange *c)
{
  bool found;
  size_t at = find_index (t, c->row.kind, kq_name_str (&c->row.name), &found);
  KqRowFault fault;
  KqResult r = check_expected (c, found ? &t->rows[at] : NULL);
  if (r != KQ_OK)
    return r;
  /* The row occurs twice in the change: it isn't known which of the two is meant. */
  if (found && t->rows[at].revision == t->revision)
    return KQ_ERR_TABLE_CONFLICT;
  if (c->remove)
    {
      remove_row (t, at);
      return KQ_OK;
    }
  if (!kq_row_check (&c->row, &fault))
    return fault.code;
  if (!found && t->n_rows == KQ_TABLE_ROWS_MAX)
    return KQ_ERR_TABLE_TOO_LARGE;
  put_row (t, &c->row, at, found);
  return KQ_OK;
}

KqTable *
kq_table_change (const KqTable *t, uint64_t revision, const KqRowChange *c, size_t n,
                 KqResult *why, size_t *which)
{
  assert (revision > t->revision);
  KqTable *next = alloc_table (revision, t->n_rows + n);
  memcpy (next->rows, t->rows, t->n_rows * sizeof *t->rows);
  next->n_rows = t->n_rows;
  for (size_t i = 0; i < n; i++)
    {
      *why = apply_row_change (next, &c[i]);
      *which = i;
      if (*why != KQ_OK)
        {
          kq_table_unref (next);
          return NULL;
        }
    }
  *why = KQ_OK;
  *which = 0;
  return next;
}

void
kq_table_pack (const KqTable *t, KqBuf *out)
{
  KqPacker p;
  size_t at = kq_digest_begin (out);
  kq_packer_init (&p, out);
  kq_pack_array (&p, 3);
  kq_pack_u64 (&p, PACK_VERSION);
  kq_pack_u64 (&p, t->revision);
  kq_pack_array (&p, t->n_rows);
  for (size_t i = 0; i < t->n_rows; i++)
    kq_row_pack (&p, &t->rows[i]);
  kq_digest_end (out, at);
}

static KqTable *
read_rows (KqReader *r, uint64_t revision)
{
  KqReader a;
  kq_read_array (r, &a);
  if (r->bad || a.left > KQ_TABLE_ROWS_MAX)
    return NULL;
  KqTable *t = alloc_table (revision, a.left);
  while (a.left > 0)
    {
      KqRow *row = &t->rows[t->n_rows];
      bool ok = kq_row_unpack (&a, row) && row->revision <= revision;
      if (ok && t->n_rows > 0)
        ok = compare_to_row (row->kind, kq_name_str (&row->name), row - 1) > 0;
      if (!ok)
        {
          kq_table_unref (t);
          return NULL;
        }
      t->n_rows++;
    }
  return t;
}

KqTable *
kq_table_unpack (KqStr bytes, KqResult *why)
{
  KqUnpacked u;
  KqReader r;
  KqTable *t = NULL;
  *why = KQ_ERR_TABLE_ROW;
  if (!kq_digest_check (&bytes) || !kq_unpacked_open (&u, bytes, &r))
    return NULL;
  uint64_t version = kq_read_u64 (&r);
  uint64_t revision = kq_read_u64 (&r);
  if (!r.bad && version == PACK_VERSION)
    t = read_rows (&r, revision);
  kq_unpacked_close (&u);
  if (t != NULL)
    *why = KQ_OK;
  return t;
}
