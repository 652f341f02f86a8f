#include "port/etag_cache.h"

#include <glib.h>

#include <stdlib.h>

typedef struct
{
  KqBuf tag;
  KqBuf body;
} Entry;

struct KqEtagCache
{
  GHashTable *entries; /* key -> Entry */
};

static void
free_entry (gpointer p)
{
  Entry *e = p;
  kq_buf_free (&e->tag);
  kq_buf_free (&e->body);
  free (e);
}

KqEtagCache *
kq_etag_cache_new (void)
{
  KqEtagCache *c = kq_alloc (sizeof *c);
  c->entries = g_hash_table_new_full (g_str_hash, g_str_equal, free, free_entry);
  return c;
}

void
kq_etag_cache_free (KqEtagCache *c)
{
  g_hash_table_destroy (c->entries);
  free (c);
}

static const Entry *
find (const KqEtagCache *c, KqStr key)
{
  char *name = kq_str_dup (key);
  const Entry *e = g_hash_table_lookup (c->entries, name);
  free (name);
  return e;
}

KqStr
kq_etag_cache_tag (const KqEtagCache *c, KqStr key)
{
  const Entry *e = find (c, key);
  return e != NULL ? kq_buf_str (&e->tag) : kq_str ("");
}

KqStr
kq_etag_cache_body (const KqEtagCache *c, KqStr key)
{
  const Entry *e = find (c, key);
  return e != NULL ? kq_buf_str (&e->body) : kq_str ("");
}

void
kq_etag_cache_put (KqEtagCache *c, KqStr key, KqStr tag, KqStr body)
{
  char *name = kq_str_dup (key);
  Entry *e;
  if (tag.len == 0)
    {
      g_hash_table_remove (c->entries, name);
      free (name);
      return;
    }
  e = kq_alloc (sizeof *e);
  kq_buf_add_str (&e->tag, tag);
  kq_buf_add_str (&e->body, body);
  g_hash_table_replace (c->entries, name, e);
}
