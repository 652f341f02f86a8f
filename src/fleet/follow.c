#include "fleet/follow.h"

#include "base/log.h"

#include <ev.h>
#include <glib.h>

#include <stdlib.h>

#define PART "follow"
#define LIST_TIMEOUT_MS 1500
/* Delay after a failed call; doubled with each failure up to the maximum, so that a store
 * in trouble isn't overloaded. */
#define RETRY_DELAY_MS 100
#define RETRY_DELAY_MAX_MS 400
/* The maximum delay if the answer was cut off. Such an answer uses link capacity for
 * nothing, so longer delays leave more of it to other calls. */
#define CUT_RETRY_DELAY_MAX_MS 3200

struct KqFollow
{
  KqLoop *loop;
  KqKv *kv;
  KqFollowOwner owner;
  char *prefix;
  int wait_ms;
  int pause_ms;
  int failures; /* consecutive */
  KqRand rand;
  ev_timer timer;
  GHashTable *revisions;  /* key -> revision, in the pointer */
  GHashTable *deleted;    /* key -> revision, of applied deletions: an own call that was
                             sent before may still report an older value */
  uint64_t deleted_to;    /* the highest of these revisions */
  GHashTable *listed;     /* while listing: keys seen so far */
  char *after;            /* last key of the previous page; NULL: first page */
  uint64_t seen_revision; /* the next watch starts after this revision */
  uint64_t known_to;      /* all changes up to it have been reported */
  KqTime answered_at;     /* when the last answer arrived */
  bool suspended;
  bool idle; /* suspended, and no call is outstanding or due */
  bool listing;
  bool call_pending; /* a call is outstanding */
  bool freed;        /* freed while a call was outstanding or a callback running */
  bool in_callback;  /* a callback of the owner is running */
};

static void call_store (KqFollow *f);

static void
destroy (KqFollow *f)
{
  g_hash_table_destroy (f->revisions);
  g_hash_table_destroy (f->deleted);
  if (f->listed != NULL)
    g_hash_table_destroy (f->listed);
  free (f->after);
  free (f->prefix);
  free (f);
}

void
kq_follow_free (KqFollow *f)
{
  if (f == NULL)
    return;
  f->freed = true;
  ev_timer_stop (kq_loop_ev (f->loop), &f->timer);
  if (!f->call_pending && !f->in_callback)
    destroy (f);
}

static void
call_later (KqFollow *f, int ms)
{
  struct ev_loop *ev = kq_loop_ev (f->loop);
  ev_timer_stop (ev, &f->timer);
  ev_timer_set (&f->timer, ms / 1000.0, 0);
  ev_timer_start (ev, &f->timer);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  call_store (w->data);
}

static void
handle_item (KqFollow *f, const KqKvItem *i, KqTime now)
{
  char *key = kq_str_dup (i->key);
  uint64_t known = (uint64_t)(uintptr_t)g_hash_table_lookup (f->revisions, key);
  uint64_t deleted = (uint64_t)(uintptr_t)g_hash_table_lookup (f->deleted, key);
  if (f->listed != NULL && !i->deleted)
    g_hash_table_add (f->listed, kq_str_dup (i->key));
  if (i->revision <= known || i->revision <= deleted)
    {
      free (key);
      return;
    }
  if (i->deleted)
    {
      bool had = g_hash_table_remove (f->revisions, key);
      free (key);
      if (had && f->owner.gone != NULL)
        f->owner.gone (f->owner.arg, i->key, i->revision, now);
      return;
    }
  g_hash_table_insert (f->revisions, key, (gpointer)(uintptr_t)i->revision);
  f->owner.item (f->owner.arg, i, now);
}

/* Reports the known keys that the listing didn't contain as gone. */
static void
drop_unlisted (KqFollow *f, KqTime now)
{
  GPtrArray *gone = g_ptr_array_new_with_free_func (free);
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, f->revisions);
  while (g_hash_table_iter_next (&it, &key, NULL))
    if (!g_hash_table_contains (f->listed, key))
      g_ptr_array_add (gone, kq_str_dup (kq_str (key)));
  for (guint i = 0; i < gone->len && !f->freed; i++)
    {
      g_hash_table_remove (f->revisions, g_ptr_array_index (gone, i));
      if (f->owner.gone != NULL)
        f->owner.gone (f->owner.arg, kq_str (g_ptr_array_index (gone, i)),
                       f->seen_revision, now);
    }
  g_ptr_array_free (gone, TRUE);
}

static void
handle_page (KqFollow *f, const KqKvReply *r, KqTime now)
{
  if (f->after == NULL)
    f->seen_revision = r->revision; /* changes during later pages are seen by the watch */
  for (size_t i = 0; i < r->n_items && !f->freed; i++)
    handle_item (f, &r->items[i], now);
  if (r->more && r->n_items > 0)
    {
      free (f->after);
      f->after = kq_str_dup (r->items[r->n_items - 1].key);
      return;
    }
  f->listing = false;
  f->known_to = f->seen_revision;
  drop_unlisted (f, now);
  g_hash_table_destroy (f->listed);
  f->listed = NULL;
  if (!f->freed && f->owner.synced != NULL)
    f->owner.synced (f->owner.arg, now);
}

static void
start_listing (KqFollow *f)
{
  f->listing = true;
  free (f->after);
  f->after = NULL;
  if (f->listed != NULL)
    g_hash_table_destroy (f->listed);
  f->listed = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
}

int
kq_follow_retry_ms (KqRand *rand, int failures, bool cut)
{
  int most = cut ? CUT_RETRY_DELAY_MAX_MS : RETRY_DELAY_MAX_MS;
  int ms = RETRY_DELAY_MS;
  for (int i = 1; i < failures && ms < most; i++)
    ms *= 2;
  ms = ms < most ? ms : most;
  return ms / 2 + (int)kq_rand_below (rand, (uint64_t)(ms / 2) + 1);
}

static void
on_reply (void *arg, const KqKvReply *r, KqTime now)
{
  KqFollow *f = arg;
  int pause = 0;
  f->call_pending = false;
  if (f->freed)
    {
      destroy (f);
      return;
    }
  f->in_callback = true;
  switch (r->result)
    {
    case KQ_KV_OK:
      f->failures = 0;
      f->answered_at = now;
      f->owner.answered (f->owner.arg, r->called_at, now);
      if (f->listing)
        handle_page (f, r, now);
      else
        {
          for (size_t i = 0; i < r->n_items && !f->freed; i++)
            handle_item (f, &r->items[i], now);
          if (r->revision > f->seen_revision)
            f->seen_revision = r->revision;
          f->known_to = f->seen_revision;
          pause = r->n_items > 0 ? f->pause_ms : 0;
        }
      break;
    case KQ_KV_COMPACTED:
      kq_log (
          KQ_LOG_INFO, PART,
          "The watch's revision has been compacted; listing again. prefix=%s from=%llu",
          f->prefix, (unsigned long long)f->seen_revision);
      start_listing (f);
      break;
    default:
      if (r->too_long && !f->listing)
        {
          kq_log (
              KQ_LOG_WARN, PART,
              "The changes don't fit into one answer; listing again. prefix=%s from=%llu",
              f->prefix, (unsigned long long)f->seen_revision);
          start_listing (f);
          break;
        }
      if (f->owner.failed != NULL)
        f->owner.failed (f->owner.arg, r->called_at);
      if (f->failures++ == 0 || r->partial)
        kq_log (KQ_LOG_WARN, PART,
                "The store doesn't answer. prefix=%s result=%d listing=%d cut=%d",
                f->prefix, r->result, f->listing, r->partial);
      pause = kq_follow_retry_ms (&f->rand, f->failures, r->partial);
    }
  f->in_callback = false;
  if (f->freed)
    destroy (f);
  else if (f->suspended && !f->listing)
    f->idle = true;
  else if (pause > 0)
    call_later (f, pause);
  else
    call_store (f);
}

/* Makes the next call: for a page of the listing, or a watch. The first watch after a
 * failure doesn't wait for a change. Otherwise the store's recovery is noticed only at
 * the end of the wait, 1.5 s late, and clients' jobs are refused until then (29 of 380
 * jobs in an outage of 4.2 s). */
static void
call_store (KqFollow *f)
{
  KqKvCallback cb = { on_reply, f };
  int wait_ms = f->failures == 0 ? f->wait_ms : 0;
  f->call_pending = true;
  if (f->listing)
    kq_kv_range (f->kv, kq_str (f->prefix), kq_str (f->after), LIST_TIMEOUT_MS, cb);
  else
    kq_kv_watch (f->kv, kq_str (f->prefix), f->seen_revision, wait_ms, cb);
}

void
kq_follow_suspend (KqFollow *f, bool suspended)
{
  bool idle = f->idle;
  f->suspended = suspended;
  if (suspended || !idle)
    return;
  f->idle = false;
  call_store (f);
}

void
kq_follow_apply (KqFollow *f, const KqKvItem *i, KqTime now)
{
  f->in_callback = true;
  handle_item (f, i, now);
  f->in_callback = false;
  if (i->deleted)
    {
      g_hash_table_insert (f->deleted, kq_str_dup (i->key),
                           (gpointer)(uintptr_t)i->revision);
      f->deleted_to = i->revision > f->deleted_to ? i->revision : f->deleted_to;
    }
  if (f->freed && !f->call_pending)
    destroy (f);
}

void
kq_follow_set_wait (KqFollow *f, int wait_ms)
{
  f->wait_ms = wait_ms;
}

void
kq_follow_applied_to (KqFollow *f, uint64_t revision)
{
  if (f->listing || revision <= f->known_to)
    return;
  f->known_to = f->seen_revision = revision;
  if (!f->call_pending && f->known_to >= f->deleted_to)
    g_hash_table_remove_all (f->deleted);
}

uint64_t
kq_follow_known_to (const KqFollow *f)
{
  return f->known_to;
}

bool
kq_follow_is_listing (const KqFollow *f)
{
  return f->listing;
}

KqTime
kq_follow_answered_at (const KqFollow *f)
{
  return f->answered_at;
}

KqFollow *
kq_follow_new (KqLoop *loop, KqKv *kv, KqStr prefix, int wait_ms, int pause_ms,
               const KqFollowOwner *owner)
{
  KqFollow *f = kq_alloc (sizeof *f);
  f->loop = loop;
  f->kv = kv;
  f->owner = *owner;
  f->prefix = kq_str_dup (prefix);
  f->wait_ms = wait_ms;
  f->pause_ms = pause_ms;
  f->rand = kq_rand (kq_rand_system ());
  f->revisions = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  f->deleted = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  ev_timer_init (&f->timer, on_timer, 0, 0);
  f->timer.data = f;
  start_listing (f);
  call_store (f);
  return f;
}
