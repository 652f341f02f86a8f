#include "port/kept.h"

#include <glib.h>

#include <stdlib.h>

typedef struct
{
  KqBuf tag;
  KqBuf text;
} Entry;

struct KqKept
{
  GHashTable *entries; /* key -> Entry */
};

static void
free_entry (gpointer p)
{
  Entry *e = p;
  kq_buf_free (&e->tag);
  kq_buf_free (&e->text);
  free (e);
}

KqKept *
kq_kept_new (void)
{
  KqKept *k = kq_alloc (sizeof *k);
  k->entries = g_hash_table_new_full (g_str_hash, g_str_equal, free, free_entry);
  return k;
}

void
kq_kept_free (KqKept *k)
{
  g_hash_table_destroy (k->entries);
  free (k);
}

static const Entry *
find (const KqKept *k, KqStr key)
{
  char *name = kq_str_dup (key);
  const Entry *e = g_hash_table_lookup (k->entries, name);
  free (name);
  return e;
}

KqStr
kq_kept_tag (const KqKept *k, KqStr key)
{
  const Entry *e = find (k, key);
  return e != NULL ? kq_buf_str (&e->tag) : kq_str ("");
}

KqStr
kq_kept_text (const KqKept *k, KqStr key)
{
  const Entry *e = find (k, key);
  return e != NULL ? kq_buf_str (&e->text) : kq_str ("");
}

void
kq_kept_put (KqKept *k, KqStr key, KqStr tag, KqStr text)
{
  char *name = kq_str_dup (key);
  Entry *e;
  if (tag.len == 0)
    {
      g_hash_table_remove (k->entries, name);
      free (name);
      return;
    }
  e = kq_alloc (sizeof *e);
  kq_buf_add_str (&e->tag, tag);
  kq_buf_add_str (&e->text, text);
  g_hash_table_replace (k->entries, name, e);
}
