#include "fleet/key_log.h"

#include <zstd.h>

#include <glib.h>

#include <stdlib.h>

#define CHANGES_MAX 64
#define BYTES_MAX ((size_t)4 << 20)
#define COMPRESSION_LEVEL 1

typedef struct
{
  char *key;
  uint64_t revision;
  bool deleted;
  bool encoded; /* `base` and `data` are set */
  uint64_t base;
  KqBuf value;
  KqBuf data;
} Change;

struct KqKeyLog
{
  GQueue changes; /* Change, the oldest first */
  size_t bytes;   /* of their values */
  uint64_t begin; /* it holds all changes above this revision */
  bool begun;
};

static void
free_change (gpointer p)
{
  Change *c = p;
  free (c->key);
  kq_buf_free (&c->value);
  kq_buf_free (&c->data);
  free (c);
}

KqKeyLog *
kq_key_log_new (void)
{
  KqKeyLog *l = kq_alloc (sizeof *l);
  g_queue_init (&l->changes);
  return l;
}

void
kq_key_log_free (KqKeyLog *l)
{
  if (l == NULL)
    return;
  g_queue_clear_full (&l->changes, free_change);
  free (l);
}

void
kq_key_log_begin (KqKeyLog *l, uint64_t revision)
{
  if (l->begun)
    return;
  l->begin = revision;
  l->begun = true;
}

void
kq_key_log_add (KqKeyLog *l, const KqKvItem *i)
{
  Change *c = kq_alloc (sizeof *c);
  c->key = kq_str_dup (i->key);
  c->revision = i->revision;
  c->deleted = i->deleted;
  if (!i->deleted)
    kq_buf_add_str (&c->value, i->value);
  g_queue_push_tail (&l->changes, c);
  l->bytes += c->value.len;
  while (l->changes.length > CHANGES_MAX || l->bytes > BYTES_MAX)
    {
      Change *oldest = g_queue_pop_head (&l->changes);
      l->bytes -= oldest->value.len;
      if (oldest->revision > l->begin)
        l->begin = oldest->revision;
      free_change (oldest);
    }
}

static const Change *
find_value (const KqKeyLog *l, KqStr key, uint64_t revision)
{
  for (const GList *at = l->changes.tail; at != NULL; at = at->prev)
    {
      const Change *c = at->data;
      if (c->revision == revision && !c->deleted && kq_str_eq (kq_str (c->key), key))
        return c;
    }
  return NULL;
}

/* The last value of the change's key before it; NULL: none is held. */
static const Change *
find_base (const GList *change)
{
  const Change *c = change->data;
  for (const GList *at = change->prev; at != NULL; at = at->prev)
    {
      const Change *earlier = at->data;
      if (kq_str_eq (kq_str (earlier->key), kq_str (c->key)))
        return earlier->deleted ? NULL : earlier;
    }
  return NULL;
}

static void
encode (const GList *change)
{
  Change *c = change->data;
  const Change *base = find_base (change);
  ZSTD_CCtx *z = ZSTD_createCCtx ();
  size_t n;
  c->encoded = true;
  ZSTD_CCtx_setParameter (z, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter (z, ZSTD_c_checksumFlag, 1);
  if (base != NULL)
    {
      c->base = base->revision;
      ZSTD_CCtx_refPrefix (z, base->value.ptr, base->value.len);
    }
  kq_buf_reserve (&c->data, ZSTD_compressBound (c->value.len));
  n = ZSTD_compress2 (z, c->data.ptr, c->data.capacity, c->value.ptr, c->value.len);
  c->data.len = ZSTD_isError (n) ? 0 : n;
  ZSTD_freeCCtx (z);
}

bool
kq_key_log_since (KqKeyLog *l, uint64_t revision,
                  void (*send) (void *arg, const KqKeyChange *c), void *arg)
{
  if (!l->begun || revision < l->begin)
    return false;
  for (const GList *at = l->changes.head; at != NULL; at = at->next)
    {
      Change *c = at->data;
      KqKeyChange out;
      if (c->revision <= revision)
        continue;
      if (!c->encoded && !c->deleted)
        encode (at);
      out = (KqKeyChange){ kq_str (c->key), c->revision, c->deleted, c->base,
                           kq_buf_str (&c->data) };
      send (arg, &out);
    }
  return true;
}

KqResult
kq_key_log_decode (const KqKeyLog *l, const KqKeyChange *c, KqBuf *value)
{
  const Change *base = c->base != 0 ? find_value (l, c->key, c->base) : NULL;
  unsigned long long size = ZSTD_getFrameContentSize (c->data.ptr, c->data.len);
  KqResult result = KQ_ERR_FRAME_FORMAT;
  ZSTD_DCtx *z;
  size_t n;
  if (c->base != 0 && base == NULL)
    return KQ_ERR_PLATFORM_FORMAT;
  if (size > KQ_KV_VALUE_MAX) /* or not known */
    return KQ_ERR_FRAME_FORMAT;
  z = ZSTD_createDCtx ();
  if (base != NULL)
    ZSTD_DCtx_refPrefix (z, base->value.ptr, base->value.len);
  kq_buf_reserve (value, size);
  n = ZSTD_decompressDCtx (z, value->ptr + value->len, size, c->data.ptr, c->data.len);
  if (!ZSTD_isError (n) && n == size)
    {
      value->len += n;
      value->ptr[value->len] = '\0';
      result = KQ_OK;
    }
  ZSTD_freeDCtx (z);
  return result;
}
