#include "table/head.h"

#include "table/row_pack.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_VERSION 1

void
kq_tail_clear (KqTableTail *t, uint64_t from)
{
  for (size_t i = 0; i < t->n; i++)
    kq_buf_free (&t->entries[i].changes);
  t->n = 0;
  t->bytes = 0;
  t->from = from;
}

void
kq_tail_free (KqTableTail *t)
{
  kq_tail_clear (t, 0);
  free (t->entries);
  *t = (KqTableTail){ 0 };
}

void
kq_tail_add (KqTableTail *t, uint64_t revision, KqStr changes)
{
  assert (revision == t->from + t->n + 1);
  if (t->n == t->capacity)
    {
      t->capacity = t->capacity > 0 ? 2 * t->capacity : 16;
      t->entries = kq_realloc (t->entries, t->capacity * sizeof *t->entries);
    }
  KqTailEntry *e = &t->entries[t->n++];
  *e = (KqTailEntry){ .revision = revision };
  kq_buf_add_str (&e->changes, changes);
  t->bytes += changes.len;
}

static void
copy_tail (KqTableTail *to, const KqTableTail *from)
{
  kq_tail_clear (to, from->from);
  for (size_t i = 0; i < from->n; i++)
    kq_tail_add (to, from->entries[i].revision, kq_buf_str (&from->entries[i].changes));
}

void
kq_tail_cut (KqTableTail *t, size_t bytes)
{
  size_t drop = 0;
  while (t->bytes > bytes)
    {
      t->bytes -= t->entries[drop].changes.len;
      kq_buf_free (&t->entries[drop].changes);
      drop++;
    }
  t->n -= drop;
  t->from += drop;
  memmove (t->entries, t->entries + drop, t->n * sizeof *t->entries);
}

static void
pack_entries (const KqTableTail *t, uint64_t above, KqPacker *p)
{
  size_t skip = above > t->from ? (size_t)(above - t->from) : 0;
  assert (skip <= t->n);
  kq_pack_u64 (p, t->from + skip);
  kq_pack_array (p, t->n - skip);
  for (size_t i = skip; i < t->n; i++)
    kq_pack_str (p, kq_buf_str (&t->entries[i].changes));
}

static bool
read_entries (KqReader *r, KqTableTail *out)
{
  KqReader a;
  uint64_t from = kq_read_u64 (r);
  kq_read_array (r, &a);
  kq_tail_clear (out, from);
  for (uint64_t rev = from + 1; a.left > 0 && !a.bad; rev++)
    {
      KqStr s = kq_read_str (&a);
      if (!a.bad)
        kq_tail_add (out, rev, s);
    }
  return !r->bad && !a.bad;
}

void
kq_tail_pack_above (const KqTableTail *t, uint64_t above, KqBuf *out)
{
  KqPacker p;
  size_t at = kq_digest_begin (out);
  kq_packer_init (&p, out);
  kq_pack_array (&p, 2);
  pack_entries (t, above, &p);
  kq_digest_end (out, at);
}

bool
kq_tail_unpack (KqStr bytes, KqTableTail *out)
{
  KqUnpacked u;
  KqReader r;
  *out = (KqTableTail){ 0 };
  if (!kq_digest_check (&bytes) || !kq_unpacked_open (&u, bytes, &r))
    return false;
  bool ok = read_entries (&r, out);
  kq_unpacked_close (&u);
  if (!ok)
    kq_tail_free (out);
  return ok;
}

static KqTable *
apply_entry (const KqTailEntry *e, KqTable *table)
{
  KqUnpacked u;
  KqReader r;
  KqRowChange *c;
  size_t n;
  size_t which;
  KqResult why;
  KqTable *next = NULL;
  if (!kq_unpacked_open (&u, kq_buf_str (&e->changes), &r))
    return NULL;
  if (kq_changes_unpack (&r, &c, &n))
    {
      next = kq_table_change (table, e->revision, c, n, &why, &which);
      free (c);
    }
  kq_unpacked_close (&u);
  return next;
}

KqTable *
kq_tail_apply (const KqTableTail *t, KqTable *table)
{
  if (kq_table_revision (table) < t->from)
    return NULL;
  KqTable *at = kq_table_ref (table);
  for (size_t i = 0; i < t->n; i++)
    {
      if (t->entries[i].revision <= kq_table_revision (at))
        continue;
      KqTable *next = apply_entry (&t->entries[i], at);
      kq_table_unref (at);
      if (next == NULL)
        return NULL;
      at = next;
    }
  return at;
}

void
kq_head_free (KqTableHead *h)
{
  kq_tail_free (&h->tail);
  *h = (KqTableHead){ 0 };
}

void
kq_head_copy (KqTableHead *to, const KqTableHead *from)
{
  KqTableTail tail = to->tail;
  copy_tail (&tail, &from->tail);
  *to = *from;
  to->tail = tail;
}

static void
pack_base (KqPacker *p, const KqTableBase *b)
{
  kq_pack_array (p, b->n_parts + 2);
  kq_pack_u64 (p, b->id);
  kq_pack_u64 (p, b->revision);
  for (size_t i = 0; i < b->n_parts; i++)
    kq_pack_u64 (p, b->part_revisions[i]);
}

static void
read_base (KqReader *r, KqTableBase *b)
{
  KqReader a;
  kq_read_array (r, &a);
  b->id = kq_read_u64 (&a);
  b->revision = kq_read_u64 (&a);
  if (a.left > KQ_BASE_PARTS_MAX)
    a.bad = true;
  while (!a.bad && a.left > 0)
    b->part_revisions[b->n_parts++] = kq_read_u64 (&a);
  kq_read_array_end (r, &a);
}

void
kq_head_pack (const KqTableHead *h, KqBuf *out)
{
  KqPacker p;
  size_t at = kq_digest_begin (out);
  kq_packer_init (&p, out);
  kq_pack_array (&p, 7);
  kq_pack_u64 (&p, HEAD_VERSION);
  kq_pack_u64 (&p, h->revision);
  kq_pack_array (&p, KQ_HEAD_IDS);
  for (int i = 0; i < KQ_HEAD_IDS; i++)
    kq_pack_u64 (&p, h->ids[i]);
  pack_base (&p, &h->base);
  pack_base (&p, &h->old);
  pack_entries (&h->tail, 0, &p);
  kq_digest_end (out, at);
}

/* Whether the members of a head are consistent: the tail ends at the head's revision and
 * reaches back to the base. */
static bool
head_consistent (const KqTableHead *h)
{
  uint64_t end = h->tail.from + h->tail.n;
  bool base = h->base.id != 0 ? h->base.n_parts > 0 : h->base.revision == 0;
  return end == h->revision && base && h->base.revision >= h->tail.from
         && h->base.revision <= h->revision;
}

bool
kq_head_unpack (KqStr bytes, KqTableHead *out)
{
  KqUnpacked u;
  KqReader r;
  KqReader ids;
  *out = (KqTableHead){ 0 };
  if (!kq_digest_check (&bytes) || !kq_unpacked_open (&u, bytes, &r))
    return false;
  bool ok = kq_read_u64 (&r) == HEAD_VERSION;
  out->revision = kq_read_u64 (&r);
  kq_read_array (&r, &ids);
  for (int i = 0; i < KQ_HEAD_IDS; i++)
    out->ids[i] = kq_read_u64 (&ids);
  kq_read_array_end (&r, &ids);
  read_base (&r, &out->base);
  read_base (&r, &out->old);
  ok = read_entries (&r, &out->tail) && !r.bad && ok && head_consistent (out);
  kq_unpacked_close (&u);
  if (!ok)
    kq_head_free (out);
  return ok;
}

bool
kq_head_keeps_id (const KqTableHead *h, uint64_t revision)
{
  return revision + KQ_HEAD_IDS > h->revision;
}

bool
kq_head_has_id (const KqTableHead *h, uint64_t revision, uint64_t id)
{
  return revision <= h->revision && kq_head_keeps_id (h, revision)
         && h->ids[revision % KQ_HEAD_IDS] == id;
}

void
kq_changes_pack_entry (const KqRowChange *c, size_t n, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 1);
  kq_changes_pack (&p, c, n);
}

void
kq_base_key (const KqTableBase *b, size_t part, KqBuf *out)
{
  kq_buf_printf (out, "table/base/%016llx/%zu", (unsigned long long)b->id, part);
}
