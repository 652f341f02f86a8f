#ifndef KQ_BENCH_KV_MODEL_H
#define KQ_BENCH_KV_MODEL_H

/* kv_model: a model of the store for random tests, for one file of a test program: it
 * defines the functions of port/kv.h.
 *
 * It answers after some ms, loses answers, carries writes out late, refuses some, and
 * compacts the history of watches, unless `quiet`. Pages of a range aren't a snapshot.
 * There are no leases. To be included after cmocka.h. */

#include "base/rand.h"
#include "bench/kv_no_leases.h"
#include "port/kv.h"

#include <ev.h>
#include <glib.h>

#include <stdlib.h>
#include <string.h>

/* A write without an answer is carried out within this time, or never. */
#define KQ_KV_MODEL_LATE_MAX_MS 800

typedef struct
{
  char key[48];
  char value[600];
  size_t len;
  uint64_t revision;
  bool deleted;
} Change;

static struct
{
  KqLoop *loop;
  KqRand rand;
  GPtrArray *changes; /* Change, the oldest first */
  bool quiet;         /* no trouble any more */
  int late;           /* writes carried out late */
  int late_failed;    /* those whose condition didn't hold any more */
} kq_kv_model;

static bool
chance (int percent)
{
  return !kq_kv_model.quiet && kq_rand_below (&kq_kv_model.rand, 100) < (uint64_t)percent;
}

static const Change *
current (KqStr key)
{
  for (guint i = kq_kv_model.changes->len; i > 0; i--)
    {
      const Change *c = g_ptr_array_index (kq_kv_model.changes, i - 1);
      if (kq_str_eq (kq_str (c->key), key))
        return c->deleted ? NULL : c;
    }
  return NULL;
}

static uint64_t
revision_of (KqStr key)
{
  const Change *c = current (key);
  return c != NULL ? c->revision : 0;
}

static uint64_t
store_revision (void)
{
  const Change *last
      = kq_kv_model.changes->len > 0
            ? g_ptr_array_index (kq_kv_model.changes, kq_kv_model.changes->len - 1)
            : NULL;
  return last != NULL ? last->revision : 0;
}

static void
add_change (KqStr key, KqStr value, bool deleted, uint64_t revision)
{
  Change *c = kq_alloc (sizeof *c);
  assert_true (kq_str_copy (key, c->key, sizeof c->key));
  assert_true (value.len <= sizeof c->value);
  if (value.len > 0)
    memcpy (c->value, value.ptr, value.len);
  c->len = value.len;
  c->revision = revision;
  c->deleted = deleted;
  g_ptr_array_add (kq_kv_model.changes, c);
}

static KqKvItem
item_of (const Change *c)
{
  return (KqKvItem){ .key = kq_str (c->key),
                     .value = kq_str_n (c->value, c->len),
                     .revision = c->revision,
                     .deleted = c->deleted };
}

/* A call, kept until it is answered and carried out. */
typedef struct
{
  ev_timer timer;
  enum
  {
    GET,
    RANGE,
    WATCH,
    TXN
  } kind;
  KqKvCallback cb;
  KqTime called_at;
  char *key; /* or prefix */
  char *from;
  uint64_t after;
  KqKvCheck checks[KQ_KV_TXN_MAX];
  KqKvPut puts[KQ_KV_TXN_MAX];
  KqStr removes[KQ_KV_TXN_MAX];
  size_t n_checks;
  size_t n_puts;
  size_t n_removes;
  bool answered; /* or its answer is lost */
} Call;

static void
free_call (Call *c)
{
  for (size_t i = 0; i < c->n_checks; i++)
    free ((char *)c->checks[i].key.ptr);
  for (size_t i = 0; i < c->n_puts; i++)
    {
      free ((char *)c->puts[i].key.ptr);
      free ((char *)c->puts[i].value.ptr);
    }
  for (size_t i = 0; i < c->n_removes; i++)
    free ((char *)c->removes[i].ptr);
  free (c->key);
  free (c->from);
  free (c);
}

static bool
conditions_hold (const Call *c)
{
  for (size_t i = 0; i < c->n_checks; i++)
    if (revision_of (c->checks[i].key) != c->checks[i].revision)
      return false;
  return true;
}

static void
carry_out (const Call *c)
{
  uint64_t revision = store_revision () + 1;
  for (size_t i = 0; i < c->n_puts; i++)
    add_change (c->puts[i].key, c->puts[i].value, false, revision);
  for (size_t i = 0; i < c->n_removes; i++)
    if (current (c->removes[i]) != NULL)
      add_change (c->removes[i], KQ_STR (""), true, revision);
}

static void
answer (Call *c, KqKvResult result, const KqKvItem *items, size_t n)
{
  KqKvReply r = { .result = result,
                  .items = items,
                  .n_items = n,
                  .revision = store_revision (),
                  .called_at = c->called_at };
  c->answered = true;
  c->cb.done (c->cb.arg, &r, kq_time_now ());
}

static void
answer_txn (Call *c)
{
  KqKvItem items[KQ_KV_TXN_MAX];
  size_t n = 0;
  if (conditions_hold (c))
    {
      carry_out (c);
      answer (c, KQ_KV_OK, NULL, 0);
      return;
    }
  for (size_t i = 0; i < c->n_checks; i++)
    if (current (c->checks[i].key) != NULL)
      items[n++] = item_of (current (c->checks[i].key));
  answer (c, KQ_KV_CONFLICT, items, n);
}

static int
compare_items (const void *a, const void *b)
{
  return kq_str_cmp (((const KqKvItem *)a)->key, ((const KqKvItem *)b)->key);
}

/* Pages aren't a snapshot: further changes may come between them. */
static void
answer_range (Call *c)
{
  KqKvItem *items = kq_alloc ((kq_kv_model.changes->len + 1) * sizeof *items);
  KqKvReply r = { .result = KQ_KV_OK, .items = items, .called_at = c->called_at };
  for (guint i = 0; i < kq_kv_model.changes->len; i++)
    {
      const Change *one = g_ptr_array_index (kq_kv_model.changes, i);
      if (kq_str_has_prefix (kq_str (one->key), kq_str (c->key)) && !one->deleted
          && kq_str_cmp (kq_str (one->key), kq_str (c->from)) > 0
          && current (kq_str (one->key)) == one)
        items[r.n_items++] = item_of (one);
    }
  qsort (items, r.n_items, sizeof *items, compare_items);
  if (r.n_items > 20)
    {
      r.n_items = 20;
      r.more = true;
    }
  r.revision = store_revision ();
  c->cb.done (c->cb.arg, &r, kq_time_now ());
  free (items);
}

static void
answer_watch (Call *c)
{
  KqKvItem *items = kq_alloc ((kq_kv_model.changes->len + 1) * sizeof *items);
  size_t n = 0;
  for (guint i = 0; i < kq_kv_model.changes->len; i++)
    {
      const Change *one = g_ptr_array_index (kq_kv_model.changes, i);
      if (one->revision > c->after
          && kq_str_has_prefix (kq_str (one->key), kq_str (c->key)))
        items[n++] = item_of (one);
    }
  answer (c, KQ_KV_OK, items, n);
  free (items);
}

static void
on_call_due (struct ev_loop *ev, ev_timer *w, int events)
{
  Call *c = w->data;
  KqKvItem one;
  const Change *found;
  (void)events;
  if (c->answered)
    {
      kq_kv_model.late++;
      if (conditions_hold (c))
        carry_out (c);
      else
        kq_kv_model.late_failed++;
      free_call (c);
      return;
    }
  if (c->kind == TXN && chance (30))
    {
      bool done = chance (30);
      if (done && conditions_hold (c))
        carry_out (c);
      answer (c, chance (15) && !done ? KQ_KV_REFUSED : KQ_KV_UNKNOWN, NULL, 0);
      free_call (c);
      return;
    }
  if (c->kind == TXN && chance (45))
    {
      /* The answer is lost, and the write comes later. */
      ev_timer_init (
          &c->timer, on_call_due,
          (double)kq_rand_below (&kq_kv_model.rand, KQ_KV_MODEL_LATE_MAX_MS) / 1000, 0);
      ev_timer_start (ev, &c->timer);
      answer (c, KQ_KV_UNKNOWN, NULL, 0);
      return;
    }
  if (c->kind == GET && chance (10))
    answer (c, KQ_KV_UNKNOWN, NULL, 0);
  else if (c->kind == WATCH && chance (5))
    answer (c, KQ_KV_COMPACTED, NULL, 0);
  else if (c->kind == GET)
    {
      found = current (kq_str (c->key));
      if (found != NULL)
        one = item_of (found);
      answer (c, found != NULL ? KQ_KV_OK : KQ_KV_NOT_FOUND, &one, found != NULL);
    }
  else if (c->kind == RANGE)
    answer_range (c);
  else if (c->kind == WATCH)
    answer_watch (c);
  else
    answer_txn (c);
  free_call (c);
}

static Call *
new_call (int kind, KqStr key, int64_t most_ms, KqKvCallback cb)
{
  Call *c = kq_alloc (sizeof *c);
  double s = (double)kq_rand_below (&kq_kv_model.rand, (uint64_t)most_ms) / 1000;
  c->kind = kind;
  c->cb = cb;
  c->called_at = kq_time_now ();
  c->key = kq_str_dup (key);
  ev_timer_init (&c->timer, on_call_due, s, 0);
  c->timer.data = c;
  ev_timer_start (kq_loop_ev (kq_kv_model.loop), &c->timer);
  return c;
}

void
kq_kv_get (KqKv *kv, KqStr key, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)timeout_ms;
  new_call (GET, key, 15, cb);
}

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int answer_ms, KqKvCallback cb)
{
  Call *c = new_call (RANGE, prefix, 15, cb);
  (void)kv;
  (void)answer_ms;
  c->from = kq_str_dup (after);
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  Call *c = new_call (WATCH, prefix, 60, cb);
  (void)kv;
  (void)wait_ms;
  c->after = after;
}

void
kq_kv_txn (KqKv *kv, const KqKvTxn *t, int timeout_ms, KqKvCallback cb)
{
  Call *c = new_call (TXN, KQ_STR (""), 15, cb);
  (void)kv;
  (void)timeout_ms;
  for (; c->n_checks < t->n_checks; c->n_checks++)
    c->checks[c->n_checks] = (KqKvCheck){ kq_str_own (t->checks[c->n_checks].key),
                                          t->checks[c->n_checks].revision };
  for (; c->n_puts < t->n_puts; c->n_puts++)
    c->puts[c->n_puts] = (KqKvPut){ kq_str_own (t->puts[c->n_puts].key),
                                    kq_str_own (t->puts[c->n_puts].value), 0 };
  for (; c->n_removes < t->n_removes; c->n_removes++)
    c->removes[c->n_removes] = kq_str_own (t->removes[c->n_removes]);
}

static void
kq_kv_model_init (KqLoop *loop, uint64_t seed)
{
  memset (&kq_kv_model, 0, sizeof kq_kv_model);
  kq_kv_model.loop = loop;
  kq_kv_model.rand = kq_rand (seed);
  kq_kv_model.changes = g_ptr_array_new_with_free_func (free);
}

#endif
