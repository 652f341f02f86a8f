#include "sched/refusals.h"

#include "steps/spec.h"

#include <glib.h>

#include <stdlib.h>

typedef struct
{
  char id[KQ_SPEC_ID_MAX + 1];
  KqTime added_at;
  KqRefusal refusal; /* unused in the table of writes */
  bool written;      /* in that table: a node writes the job, for all that is known */
  GList link;        /* in Table.order */
} Row;

typedef struct
{
  GHashTable *rows; /* id -> Row */
  GQueue order;     /* Row, the oldest first */
} Table;

typedef struct
{
  KqName service;
  KqTime at[KQ_LOAD_KINDS];
} Newcomers;

struct KqRefusals
{
  Table refused;
  Table writes;
  Newcomers newcomers[KQ_LOAD_ROWS_MAX];
  size_t n_newcomers;
};

static void
init_table (Table *t)
{
  t->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free);
  g_queue_init (&t->order);
}

static void
remove_row (Table *t, Row *row)
{
  g_queue_unlink (&t->order, &row->link);
  g_hash_table_remove (t->rows, row->id);
}

/* Removes the rows that have been kept for long enough. */
static void
expire (Table *t, KqTime now)
{
  Row *oldest;
  while ((oldest = g_queue_peek_head (&t->order)) != NULL
         && now - oldest->added_at > KQ_REFUSALS_KEEP)
    remove_row (t, oldest);
}

static Row *
find_row (Table *t, KqStr id, KqTime now)
{
  char key[KQ_SPEC_ID_MAX + 1];
  expire (t, now);
  return kq_str_copy (id, key, sizeof key) ? g_hash_table_lookup (t->rows, key) : NULL;
}

/* Returns the row of that id, added if there was none; NULL: the id is too long. */
static Row *
find_or_add_row (Table *t, KqStr id, KqTime now)
{
  Row *row = find_row (t, id, now);
  if (row != NULL)
    return row;
  row = kq_alloc (sizeof *row);
  if (!kq_str_copy (id, row->id, sizeof row->id))
    {
      free (row);
      return NULL;
    }
  if (t->order.length >= KQ_REFUSALS_MAX)
    remove_row (t, g_queue_peek_head (&t->order));
  row->added_at = now;
  row->link.data = row;
  g_queue_push_tail_link (&t->order, &row->link);
  g_hash_table_insert (t->rows, row->id, row);
  return row;
}

KqRefusals *
kq_refusals_new (void)
{
  KqRefusals *r = kq_alloc (sizeof *r);
  init_table (&r->refused);
  init_table (&r->writes);
  return r;
}

void
kq_refusals_free (KqRefusals *r)
{
  if (r == NULL)
    return;
  g_hash_table_destroy (r->refused.rows);
  g_hash_table_destroy (r->writes.rows);
  free (r);
}

void
kq_refusals_add (KqRefusals *r, KqStr id, const KqRefusal *refusal, KqTime now)
{
  Row *row = find_or_add_row (&r->refused, id, now);
  int32_t times;
  if (row == NULL)
    return;
  times = row->refusal.times;
  row->refusal = *refusal;
  row->refusal.first_at = row->added_at;
  row->refusal.times = times + 1;
}

const KqRefusal *
kq_refusals_find (KqRefusals *r, KqStr id, KqTime now)
{
  const Row *row = find_row (&r->refused, id, now);
  return row != NULL ? &row->refusal : NULL;
}

bool
kq_refusals_accepted (KqRefusals *r, KqStr id, KqTime now)
{
  Row *refused = find_row (&r->refused, id, now);
  Row *write = find_row (&r->writes, id, now);
  bool returned = refused != NULL && now >= refused->refusal.return_at;
  if (refused != NULL)
    remove_row (&r->refused, refused);
  if (write != NULL)
    remove_row (&r->writes, write);
  return returned;
}

void
kq_refusals_note_write (KqRefusals *r, KqStr id, KqTime now)
{
  Row *row = find_row (&r->writes, id, now);
  if (row != NULL)
    remove_row (&r->writes, row); /* its time begins anew */
  row = find_or_add_row (&r->writes, id, now);
  if (row != NULL)
    row->written = true;
}

void
kq_refusals_note_asked (KqRefusals *r, KqStr id, KqTime now)
{
  find_or_add_row (&r->writes, id, now);
}

void
kq_refusals_note_not_written (KqRefusals *r, KqStr id, KqTime now)
{
  Row *row = find_row (&r->writes, id, now);
  if (row != NULL && !row->written)
    remove_row (&r->writes, row);
}

bool
kq_refusals_has_open_write (KqRefusals *r, KqStr id, KqTime now)
{
  return find_row (&r->writes, id, now) != NULL;
}

void
kq_refusals_note_newcomer (KqRefusals *r, KqStr service, KqLoadKind kind, KqTime now)
{
  size_t i = 0;
  while (i < r->n_newcomers
         && !kq_str_eq (kq_name_str (&r->newcomers[i].service), service))
    i++;
  if (i == KQ_LOAD_ROWS_MAX)
    return;
  if (i == r->n_newcomers)
    r->newcomers[r->n_newcomers++].service = kq_name (service);
  r->newcomers[i].at[kind] = now;
}

KqTime
kq_refusals_newcomer_at (const KqRefusals *r, KqStr service, KqLoadKind kind)
{
  for (size_t i = 0; i < r->n_newcomers; i++)
    if (kq_str_eq (kq_name_str (&r->newcomers[i].service), service))
      return r->newcomers[i].at[kind];
  return 0;
}

bool
kq_refusals_explain (KqRefusals *r, KqStr id, KqTime now, KqBuf *out)
{
  const KqRefusal *f = kq_refusals_find (r, id, now);
  int64_t left;
  if (f == NULL)
    return false;
  left = f->return_at > now ? (f->return_at - now) / KQ_MS : 0;
  kq_buf_printf (out,
                 "job %.*s: not accepted: overloaded, refused %d times, first %lld ms "
                 "ago\n",
                 KQ_STR_ARG (id), f->times, (long long)((now - f->first_at) / KQ_MS));
  kq_buf_printf (
      out,
      "forecast: wait %lld ms, end after %lld ms, of use for %lld ms; may come "
      "back in %lld ms\n",
      (long long)f->wait_ms, (long long)f->end_ms, (long long)f->limit_ms,
      (long long)left);
  if (kq_refusals_has_open_write (r, id, now))
    kq_buf_printf (out, "a node may be writing it now\n");
  return true;
}
