#include "shard/journal_block.h"

#include "wire/pack.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define MAGIC "KQJ"
#define MAGIC_LEN 3
#define N_FIELDS 9 /* entries of the payload's array before the records */
#define FIELDS_PER_RECORD 3

static void
put_u64 (char *at, uint64_t v)
{
  for (int i = 0; i < 8; i++)
    at[i] = (char)(v >> (56 - 8 * i));
}

static uint64_t
get_u64 (const char *at)
{
  uint64_t v = 0;
  for (int i = 0; i < 8; i++)
    v = v << 8 | (uint8_t)at[i];
  return v;
}

/* The digest covers version and payload, so that any corrupted byte after the magic is
 * detected. */
static uint64_t
digest_of (uint8_t version, KqStr payload)
{
  return kq_hash2 (version, kq_str_hash (payload));
}

void
kq_block_encode (KqBlock *b, KqBuf *out)
{
  size_t start = out->len;
  char head[KQ_BLOCK_HEAD] = MAGIC;
  KqPacker p;
  head[MAGIC_LEN] = KQ_BLOCK_VERSION;
  kq_buf_add (out, head, sizeof head);
  kq_packer_init (&p, out);
  kq_pack_array (&p, N_FIELDS + b->n_records * FIELDS_PER_RECORD);
  kq_pack_u64 (&p, b->kind);
  kq_pack_u64 (&p, b->shard);
  kq_pack_u64 (&p, b->epoch);
  kq_pack_u64 (&p, b->writer);
  kq_pack_u64 (&p, b->write_id);
  kq_pack_u64 (&p, b->index);
  kq_pack_u64 (&p, b->seq);
  kq_pack_str (&p, b->parts);
  kq_pack_u64 (&p, b->n_records);
  for (size_t i = 0; i < b->n_records; i++)
    {
      kq_pack_u64 (&p, b->records[i].type);
      kq_pack_u64 (&p, b->records[i].version);
      kq_pack_str (&p, b->records[i].body);
    }
  KqStr payload
      = kq_str_n (out->ptr + start + KQ_BLOCK_HEAD, out->len - start - KQ_BLOCK_HEAD);
  b->digest = digest_of (KQ_BLOCK_VERSION, payload);
  put_u64 (out->ptr + start + MAGIC_LEN + 1, b->digest);
}

static bool
read_records (KqReader *r, KqBlock *b)
{
  uint64_t n = kq_read_u64 (r);
  if (r->bad || n > r->left / FIELDS_PER_RECORD)
    return false;
  b->n_records = n;
  b->records = n > 0 ? kq_alloc (n * sizeof *b->records) : NULL;
  for (size_t i = 0; i < n; i++)
    {
      uint64_t type = kq_read_u64 (r);
      uint64_t version = kq_read_u64 (r);
      b->records[i].body = kq_read_str (r);
      b->records[i].type = (uint16_t)type;
      b->records[i].version = (uint8_t)version;
      r->bad |= type > UINT16_MAX || version > UINT8_MAX;
    }
  return !r->bad;
}

static bool
read_fields (KqReader *r, KqBlock *b)
{
  uint64_t kind = kq_read_u64 (r);
  uint64_t shard = kq_read_u64 (r);
  b->epoch = kq_read_u64 (r);
  b->writer = kq_read_u64 (r);
  b->write_id = kq_read_u64 (r);
  b->index = kq_read_u64 (r);
  b->seq = kq_read_u64 (r);
  b->parts = kq_read_str (r);
  if (r->bad || kind < KQ_BLOCK_SLOT || kind > KQ_BLOCK_PART || shard > UINT32_MAX)
    return false;
  b->kind = (KqBlockKind)kind;
  b->shard = (uint32_t)shard;
  return read_records (r, b);
}

KqResult
kq_block_decode (KqStr value, KqBlock *out)
{
  KqUnpacked u;
  KqReader r;
  *out = (KqBlock){ 0 };
  if (value.len < KQ_BLOCK_HEAD || memcmp (value.ptr, MAGIC, MAGIC_LEN) != 0)
    return KQ_ERR_JOURNAL_DAMAGED;
  uint8_t version = (uint8_t)value.ptr[MAGIC_LEN];
  if (version != KQ_BLOCK_VERSION)
    return KQ_ERR_JOURNAL_VERSION;
  KqStr payload = kq_str_n (value.ptr + KQ_BLOCK_HEAD, value.len - KQ_BLOCK_HEAD);
  out->digest = get_u64 (value.ptr + MAGIC_LEN + 1);
  if (digest_of (version, payload) != out->digest)
    return KQ_ERR_JOURNAL_DAMAGED;
  out->bytes = kq_str_dup (payload);
  out->n_bytes = payload.len;
  bool ok = kq_unpacked_open (&u, kq_str_n (out->bytes, out->n_bytes), &r);
  if (ok)
    {
      ok = read_fields (&r, out);
      kq_unpacked_close (&u);
    }
  if (!ok)
    kq_block_free (out);
  return ok ? KQ_OK : KQ_ERR_JOURNAL_DAMAGED;
}

void
kq_block_free (KqBlock *b)
{
  free (b->records);
  free (b->bytes);
  *b = (KqBlock){ 0 };
}
