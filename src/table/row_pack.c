#include "table/row_pack.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DIGEST_SIZE 8

static bool
is_text (const KqRowField *f)
{
  return f->type == KQ_FIELD_NAME || f->type == KQ_FIELD_TOKEN;
}

void
kq_row_pack (KqPacker *p, const KqRow *row)
{
  int n;
  const KqRowField *f = kq_row_fields (row->kind, &n);
  kq_pack_array (p, (size_t)n + 3);
  kq_pack_u64 (p, row->kind);
  kq_pack_name (p, &row->name);
  kq_pack_u64 (p, row->revision);
  for (int i = 0; i < n; i++)
    {
      if (is_text (&f[i]))
        kq_pack_name (p, kq_row_name_field ((KqRow *)row, &f[i]));
      else
        kq_pack_i64 (p, kq_row_get (row, &f[i]));
    }
}

bool
kq_row_unpack (KqReader *r, KqRow *row)
{
  KqReader a;
  KqRowFault fault;
  int n;
  kq_read_array (r, &a);
  uint64_t kind = kq_read_u64 (&a);
  KqName name = kq_read_name (&a);
  uint64_t revision = kq_read_u64 (&a);
  if (r->bad || a.bad || kind >= KQ_ROW_KINDS)
    return false;
  const KqRowField *f = kq_row_fields ((KqRowKind)kind, &n);
  *row = kq_row_default ((KqRowKind)kind, kq_name_str (&name));
  row->revision = revision;
  if (a.left > (uint32_t)n)
    return false;
  for (int i = 0; a.left > 0; i++)
    {
      if (is_text (&f[i]))
        *kq_row_name_field (row, &f[i]) = kq_read_name (&a);
      else
        {
          int64_t v = kq_read_i64 (&a);
          if (!kq_row_field_valid (&f[i], v))
            return false;
          kq_row_put (row, &f[i], v);
        }
      if (a.bad)
        return false;
    }
  return kq_row_check (row, &fault);
}

void
kq_changes_pack (KqPacker *p, const KqRowChange *c, size_t n)
{
  kq_pack_array (p, n);
  for (size_t i = 0; i < n; i++)
    {
      kq_pack_array (p, 2);
      kq_pack_bool (p, c[i].remove);
      if (c[i].remove)
        {
          KqRow empty_row = kq_row_default (c[i].row.kind, kq_name_str (&c[i].row.name));
          kq_row_pack (p, &empty_row);
        }
      else
        kq_row_pack (p, &c[i].row);
    }
}

bool
kq_changes_unpack (KqReader *r, KqRowChange **c, size_t *n)
{
  KqReader a;
  *c = NULL;
  *n = 0;
  kq_read_array (r, &a);
  if (r->bad || a.left > KQ_TABLE_ROWS_MAX)
    return false;
  size_t count = a.left;
  KqRowChange *list = kq_alloc (count * sizeof *list);
  for (size_t i = 0; i < count; i++)
    {
      KqReader one;
      kq_read_array (&a, &one);
      list[i].remove = kq_read_bool (&one);
      list[i].expect = UINT64_MAX;
      if (a.bad || one.bad || !kq_row_unpack (&one, &list[i].row))
        {
          free (list);
          return false;
        }
    }
  *c = list;
  *n = count;
  return true;
}

size_t
kq_digest_begin (KqBuf *b)
{
  static const char placeholder[DIGEST_SIZE];
  size_t at = b->len;
  kq_buf_add (b, placeholder, sizeof placeholder);
  return at;
}

static uint64_t
digest_of (const char *ptr, size_t len)
{
  return XXH3_64bits (ptr, len);
}

void
kq_digest_end (KqBuf *b, size_t at)
{
  uint64_t d = digest_of (b->ptr + at + DIGEST_SIZE, b->len - at - DIGEST_SIZE);
  for (int i = 0; i < DIGEST_SIZE; i++)
    b->ptr[at + (size_t)i] = (char)(d >> (56 - 8 * i));
}

bool
kq_digest_check (KqStr *bytes)
{
  uint64_t d = 0;
  if (bytes->len < DIGEST_SIZE)
    return false;
  for (int i = 0; i < DIGEST_SIZE; i++)
    d = d << 8 | (unsigned char)bytes->ptr[i];
  bytes->ptr += DIGEST_SIZE;
  bytes->len -= DIGEST_SIZE;
  return d == digest_of (bytes->ptr, bytes->len);
}
