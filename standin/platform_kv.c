#include "platform_kv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Changes kept for watches; a watch that starts before them gets 410. */
#define HISTORY_MAX 4000
#define RANGE_ITEMS_MAX 500
#define RANGE_BYTES_MAX (1024 * 1024)
#define LEASE_CHECK_INTERVAL_S 0.05

typedef struct
{
  char *value; /* base64, as received */
  uint64_t revision;
  uint64_t create_revision;
  uint64_t lease;
} Item;

typedef struct
{
  char *key;
  char *value; /* NULL: deleted */
  uint64_t revision;
  uint64_t create_revision;
  uint64_t lease;
} Change;

typedef struct
{
  uint64_t id;
  int64_t ttl_ms;
  KqTime expires_at;
} Lease;

struct KqPlatformKv
{
  KqLoop *loop;
  KqWeb *web;
  GTree *items;       /* key -> Item, in key order */
  GQueue *history;    /* Change, the oldest first */
  GHashTable *leases; /* id -> Lease */
  GPtrArray *watches; /* KqWebCall; its data is a Watch */
  uint64_t revision;
  uint64_t last_lease;
  ev_timer lease_check;
};

typedef struct
{
  KqPlatformKv *kv;
  KqBuf prefix;
  uint64_t after; /* changes above this revision are wanted */
} Watch;

static void
free_item (gpointer p)
{
  Item *i = p;
  free (i->value);
  free (i);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer arg)
{
  (void)arg;
  return strcmp (a, b);
}

static json_t *
item_json (const char *key, const Item *i)
{
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", key, "value", i->value, "rev",
                    (json_int_t)i->revision, "create_revision",
                    (json_int_t)i->create_revision, "lease", (json_int_t)i->lease);
}

static json_t *
change_json (const Change *c)
{
  if (c->value == NULL)
    return json_pack ("{s:s, s:I, s:b}", "key", c->key, "rev", (json_int_t)c->revision,
                      "deleted", 1);
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", c->key, "value", c->value, "rev",
                    (json_int_t)c->revision, "create_revision",
                    (json_int_t)c->create_revision, "lease", (json_int_t)c->lease);
}

static json_t *
events_for (KqPlatformKv *kv, const char *prefix, uint64_t after)
{
  json_t *list = json_array ();
  for (GList *l = kv->history->head; l != NULL; l = l->next)
    {
      const Change *c = l->data;
      if (c->revision > after && strncmp (c->key, prefix, strlen (prefix)) == 0)
        json_array_append_new (list, change_json (c));
    }
  return list;
}

static void
answer_watch (KqWebCall *c, json_t *events, uint64_t revision)
{
  kq_web_reply_json (
      c, 200, json_pack ("{s:o, s:I}", "events", events, "at", (json_int_t)revision));
}

static void
on_watch_timeout (KqWebCall *c)
{
  Watch *w = c->data;
  g_ptr_array_remove (w->kv->watches, c);
  /* A silent watch has withheld changes. With the revision that the caller asked from,
   * its next watch returns them; with the current one they would be lost, which the
   * platform's store never does. */
  answer_watch (c, json_array (), kq_web_watch_silent (c) ? w->after : w->kv->revision);
}

static void
answer_watches (KqPlatformKv *kv)
{
  for (guint i = 0; i < kv->watches->len; i++)
    {
      KqWebCall *c = g_ptr_array_index (kv->watches, i);
      Watch *w = c->data;
      json_t *events = events_for (kv, w->prefix.ptr, w->after);
      if (json_array_size (events) == 0 || kq_web_watch_silent (c))
        {
          json_decref (events);
          continue;
        }
      g_ptr_array_remove_index (kv->watches, i);
      i--;
      ev_timer_stop (kq_loop_ev (kv->loop), &c->timer);
      answer_watch (c, events, kv->revision);
    }
}

/* Adds the key's change to the history. i: its new value; NULL: deleted. */
static void
record_change (KqPlatformKv *kv, const char *key, const Item *i)
{
  Change *c = kq_alloc (sizeof *c);
  c->key = strdup (key);
  c->revision = kv->revision;
  if (i != NULL)
    {
      c->value = strdup (i->value);
      c->create_revision = i->create_revision;
      c->lease = i->lease;
    }
  g_queue_push_tail (kv->history, c);
  if (g_queue_get_length (kv->history) <= HISTORY_MAX)
    return;
  c = g_queue_pop_head (kv->history);
  free (c->key);
  free (c->value);
  free (c);
}

static void
put_item (KqPlatformKv *kv, const char *key, const char *base64, uint64_t lease)
{
  Item *old = g_tree_lookup (kv->items, key);
  Item *i = kq_alloc (sizeof *i);
  i->value = strdup (base64);
  i->revision = kv->revision;
  i->create_revision = old != NULL ? old->create_revision : kv->revision;
  i->lease = lease;
  g_tree_replace (kv->items, strdup (key), i);
  record_change (kv, key, i);
}

static void
remove_item (KqPlatformKv *kv, const char *key)
{
  if (g_tree_lookup (kv->items, key) == NULL)
    return;
  record_change (kv, key, NULL);
  g_tree_remove (kv->items, key);
}

void
kq_platform_kv_put (KqPlatformKv *kv, const char *key, KqStr value)
{
  gchar *text = g_base64_encode ((const guchar *)value.ptr, value.len);
  kv->revision++;
  put_item (kv, key, text, 0);
  g_free (text);
  answer_watches (kv);
}

void
kq_platform_kv_remove (KqPlatformKv *kv, const char *key)
{
  kv->revision++;
  remove_item (kv, key);
  answer_watches (kv);
}

typedef struct
{
  uint64_t lease;
  GPtrArray *keys;
} LeaseKeys;

static gboolean
collect_lease_keys (gpointer key, gpointer value, gpointer arg)
{
  LeaseKeys *o = arg;
  if (((Item *)value)->lease == o->lease)
    g_ptr_array_add (o->keys, strdup (key));
  return FALSE;
}

static void
end_lease (KqPlatformKv *kv, uint64_t id)
{
  LeaseKeys o = { id, g_ptr_array_new_with_free_func (free) };
  g_tree_foreach (kv->items, collect_lease_keys, &o);
  if (o.keys->len > 0)
    kv->revision++;
  for (guint i = 0; i < o.keys->len; i++)
    remove_item (kv, g_ptr_array_index (o.keys, i));
  g_ptr_array_free (o.keys, TRUE);
  g_hash_table_remove (kv->leases, &id);
  answer_watches (kv);
}

static void
on_lease_check (struct ev_loop *ev, ev_timer *w, int events)
{
  KqPlatformKv *kv = w->data;
  GHashTableIter it;
  gpointer value;
  uint64_t ended = 0;
  (void)ev;
  (void)events;
  g_hash_table_iter_init (&it, kv->leases);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((Lease *)value)->expires_at < kq_time_now ())
      ended = ((Lease *)value)->id;
  if (ended != 0)
    end_lease (kv, ended);
}

static void
do_get (KqPlatformKv *kv, KqWebCall *c)
{
  KqBuf key = { 0 };
  const Item *i = NULL;
  json_t *j;
  if (kq_web_query (c, "key", &key))
    i = g_tree_lookup (kv->items, key.ptr);
  if (i == NULL)
    kq_web_error (c, 404, "no such key");
  else
    {
      j = item_json (key.ptr, i);
      json_object_set_new (j, "at", json_integer ((json_int_t)kv->revision));
      kq_web_reply_json (c, 200, j);
    }
  kq_buf_free (&key);
}

typedef struct
{
  const char *prefix;
  const char *after;
  json_t *items;
  size_t bytes; /* of the items' values */
  bool more;
} Range;

static gboolean
collect_range (gpointer key, gpointer value, gpointer arg)
{
  Range *r = arg;
  if (strncmp (key, r->prefix, strlen (r->prefix)) != 0 || strcmp (key, r->after) <= 0)
    return FALSE;
  if (json_array_size (r->items) == RANGE_ITEMS_MAX || r->bytes >= RANGE_BYTES_MAX)
    {
      r->more = true;
      return TRUE;
    }
  r->bytes += strlen (((const Item *)value)->value);
  json_array_append_new (r->items, item_json (key, value));
  return FALSE;
}

static void
do_range (KqPlatformKv *kv, KqWebCall *c)
{
  KqBuf prefix = { 0 };
  KqBuf after = { 0 };
  Range r = { .items = json_array () };
  kq_web_query (c, "prefix", &prefix);
  kq_web_query (c, "after", &after);
  r.prefix = prefix.ptr != NULL ? prefix.ptr : "";
  r.after = after.ptr != NULL ? after.ptr : "";
  g_tree_foreach (kv->items, collect_range, &r);
  kq_web_reply_json (c, 200,
                     json_pack ("{s:o, s:b, s:I}", "items", r.items, "truncated", r.more,
                                "at", (json_int_t)kv->revision));
  kq_buf_free (&prefix);
  kq_buf_free (&after);
}

static void
do_watch (KqPlatformKv *kv, KqWebCall *c)
{
  Watch *w = kq_alloc (sizeof *w);
  const Change *oldest = g_queue_peek_head (kv->history);
  json_t *events;
  w->kv = kv;
  w->after = kq_web_query_u64 (c, "after", 0);
  kq_web_query (c, "prefix", &w->prefix);
  c->data = w;
  if (oldest != NULL && g_queue_get_length (kv->history) == HISTORY_MAX
      && w->after + 1 < oldest->revision)
    {
      kq_web_error (c, 410, "history is gone");
      return;
    }
  events = events_for (kv, w->prefix.ptr, w->after);
  if (json_array_size (events) > 0 && !kq_web_watch_silent (c))
    {
      answer_watch (c, events, kv->revision);
      return;
    }
  json_decref (events);
  g_ptr_array_add (kv->watches, c);
  kq_web_after (c, (int64_t)kq_web_query_u64 (c, "wait_ms", 0), on_watch_timeout);
}

/* Compares the revision of each key (0: the key doesn't exist) and adds the current items
 * to `current`. */
static bool
preconditions_hold (KqPlatformKv *kv, const json_t *preconditions, json_t *current)
{
  bool hold = true;
  for (size_t i = 0; i < json_array_size (preconditions); i++)
    {
      const json_t *row = json_array_get (preconditions, i);
      const char *key = json_string_value (json_object_get (row, "key"));
      const Item *item = g_tree_lookup (kv->items, key);
      uint64_t rev = (uint64_t)json_integer_value (json_object_get (row, "rev"));
      if ((item != NULL ? item->revision : 0) != rev)
        hold = false;
      if (item != NULL)
        json_array_append_new (current, item_json (key, item));
    }
  return hold;
}

static bool
leases_exist (KqPlatformKv *kv, const json_t *puts)
{
  for (size_t i = 0; i < json_array_size (puts); i++)
    {
      uint64_t lease = (uint64_t)json_integer_value (
          json_object_get (json_array_get (puts, i), "lease"));
      if (lease != 0 && g_hash_table_lookup (kv->leases, &lease) == NULL)
        return false;
    }
  return true;
}

static void
carry_out (KqPlatformKv *kv, const json_t *t)
{
  const json_t *puts = json_object_get (t, "puts");
  const json_t *removes = json_object_get (t, "remove");
  kv->revision++;
  for (size_t i = 0; i < json_array_size (puts); i++)
    {
      const json_t *p = json_array_get (puts, i);
      put_item (kv, json_string_value (json_object_get (p, "key")),
                json_string_value (json_object_get (p, "value")),
                (uint64_t)json_integer_value (json_object_get (p, "lease")));
    }
  for (size_t i = 0; i < json_array_size (removes); i++)
    remove_item (kv, json_string_value (json_array_get (removes, i)));
}

/* A transaction whose answer has been lost and that takes effect later. */
typedef struct
{
  ev_timer timer;
  KqPlatformKv *kv;
  json_t *txn;
} DelayedTxn;

static void
on_delayed_txn (struct ev_loop *ev, ev_timer *w, int events)
{
  DelayedTxn *d = w->data;
  json_t *current = json_array ();
  (void)ev;
  (void)events;
  if (preconditions_hold (d->kv, json_object_get (d->txn, "precondition"), current)
      && leases_exist (d->kv, json_object_get (d->txn, "puts")))
    carry_out (d->kv, d->txn);
  answer_watches (d->kv);
  json_decref (current);
  json_decref (d->txn);
  free (d);
}

static void
delay_txn (KqPlatformKv *kv, json_t *t, int64_t ms)
{
  DelayedTxn *d = kq_alloc (sizeof *d);
  d->kv = kv;
  d->txn = json_incref (t);
  ev_timer_init (&d->timer, on_delayed_txn, (double)ms / 1000, 0);
  d->timer.data = d;
  ev_timer_start (kq_loop_ev (kv->loop), &d->timer);
}

static void
do_txn (KqPlatformKv *kv, KqWebCall *c)
{
  json_t *t = kq_json_parse (kq_buf_str (&c->body));
  json_t *current = json_array ();
  int64_t late_ms = kq_web_late_ms (c);
  if (late_ms > 0)
    {
      delay_txn (kv, t, late_ms);
      kq_web_reply (c, 200, NULL, NULL, KQ_STR ("{}")); /* it is lost */
    }
  else if (!preconditions_hold (kv, json_object_get (t, "precondition"), current))
    kq_web_reply_json (c, 412, json_pack ("{s:O}", "items", current));
  else if (!leases_exist (kv, json_object_get (t, "puts")))
    kq_web_error (c, 404, "no such lease");
  else
    {
      carry_out (kv, t);
      kq_web_reply_json (c, 200, json_pack ("{s:I}", "rev", (json_int_t)kv->revision));
      answer_watches (kv);
    }
  json_decref (current);
  json_decref (t);
}

static void
do_lease_grant (KqPlatformKv *kv, KqWebCall *c)
{
  json_t *j = kq_json_parse (kq_buf_str (&c->body));
  Lease *l = kq_alloc (sizeof *l);
  l->id = ++kv->last_lease;
  l->ttl_ms = json_integer_value (json_object_get (j, "ttl_ms"));
  l->expires_at = kq_time_now () + l->ttl_ms * KQ_MS;
  g_hash_table_insert (kv->leases, &l->id, l);
  kq_web_reply_json (c, 200,
                     json_pack ("{s:I, s:I}", "lease", (json_int_t)l->id, "ttl_ms",
                                (json_int_t)l->ttl_ms));
  json_decref (j);
}

/* The number after the prefix in the call's path; 0: none. */
static uint64_t
id_after_prefix (const KqWebCall *c, const char *prefix)
{
  KqStr path = kq_http_path (c->x);
  uint64_t id = 0;
  size_t n = strlen (prefix);
  if (path.len > n)
    kq_str_to_u64 (kq_str_n (path.ptr + n, path.len - n), &id);
  return id;
}

static void
do_lease_renew (KqPlatformKv *kv, KqWebCall *c)
{
  uint64_t id = id_after_prefix (c, "/kv-keep/");
  Lease *l = g_hash_table_lookup (kv->leases, &id);
  if (l == NULL)
    {
      kq_web_error (c, 404, "the lease has ended");
      return;
    }
  l->expires_at = kq_time_now () + l->ttl_ms * KQ_MS;
  kq_web_reply_json (c, 200, json_pack ("{s:I}", "ttl_ms", (json_int_t)l->ttl_ms));
}

static void
do_lease_end (KqPlatformKv *kv, KqWebCall *c)
{
  uint64_t id = id_after_prefix (c, "/kv-lease-end/");
  if (g_hash_table_lookup (kv->leases, &id) == NULL)
    {
      kq_web_error (c, 404, "the lease has ended");
      return;
    }
  end_lease (kv, id);
  kq_web_reply_json (c, 200, json_object ());
}

static void
on_handle (void *arg, KqWebCall *c)
{
  KqPlatformKv *kv = arg;
  KqStr path = kq_http_path (c->x);
  if (kq_web_is (c, "GET", "/kv-key"))
    do_get (kv, c);
  else if (kq_web_is (c, "GET", "/kv-range"))
    do_range (kv, c);
  else if (kq_web_is (c, "GET", "/kv-watch"))
    do_watch (kv, c);
  else if (kq_web_is (c, "POST", "/kv-txn"))
    do_txn (kv, c);
  else if (kq_web_is (c, "POST", "/kv-lease"))
    do_lease_grant (kv, c);
  else if (kq_str_has_prefix (path, KQ_STR ("/kv-keep/")))
    do_lease_renew (kv, c);
  else if (kq_str_has_prefix (path, KQ_STR ("/kv-lease-end/")))
    do_lease_end (kv, c);
  else
    kq_web_error (c, 400, "no such call");
}

static void
on_finished (void *arg, KqWebCall *c)
{
  KqPlatformKv *kv = arg;
  Watch *w = c->data;
  if (w == NULL)
    return;
  g_ptr_array_remove (kv->watches, c);
  kq_buf_free (&w->prefix);
  free (w);
}

KqPlatformKv *
kq_platform_kv_new (KqLoop *loop)
{
  KqPlatformKv *kv = kq_alloc (sizeof *kv);
  KqWebApp app = { .arg = kv, .handle = on_handle, .finished = on_finished };
  kv->loop = loop;
  kv->items = g_tree_new_full (compare_keys, NULL, free, free_item);
  kv->history = g_queue_new ();
  kv->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  kv->watches = g_ptr_array_new ();
  kv->revision = 1;
  kv->web = kq_web_new (loop, 0, "store", &app);
  ev_timer_init (&kv->lease_check, on_lease_check, LEASE_CHECK_INTERVAL_S,
                 LEASE_CHECK_INTERVAL_S);
  kv->lease_check.data = kv;
  ev_timer_start (kq_loop_ev (loop), &kv->lease_check);
  return kv;
}
