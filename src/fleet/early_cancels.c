#include "fleet/early_cancels.h"

#include "base/log.h"
#include "election/election.h"
#include "fleet/keys.h"
#include "settings/fleet_settings.h"
#include "steps/spec.h"

#include <glib.h>

#include <stdlib.h>

#define PART "cancels"
#define WRITE_TIMEOUT_MS 1200
/* Delay after a deletion that failed; none is urgent. */
#define RETRY_DELAY KQ_SEC
/* Each takes two checks and a remove; one more check is for the leader. */
#define DELETED_MAX ((KQ_KV_TXN_MAX - 1) / 3)

typedef struct
{
  char id[KQ_SPEC_ID_MAX + 1];
  uint64_t revision; /* of its key; 0: not known */
  KqTime since;      /* when this leader learned of that revision */
  bool queued;       /* in `order`: it is deleted when its time is over */
  GList link;
} Cancel;

struct KqEarlyCancels
{
  KqEarlyCancelsConfig config;
  GHashTable *by_id; /* id -> Cancel */
  GQueue order;      /* Cancel, the oldest first */
  bool write_pending;
  bool freed;
  KqTime retry_at;
  struct
  {
    char id[KQ_SPEC_ID_MAX + 1];
    uint64_t revision;
  } sent[DELETED_MAX]; /* those of the pending write */
  size_t n_sent;
  uint64_t *kept; /* a gauge: the number of cancellations */
  uint64_t *deleted;
};

static void
destroy (KqEarlyCancels *e)
{
  g_hash_table_destroy (e->by_id);
  free (e);
}

KqEarlyCancels *
kq_early_cancels_new (const KqEarlyCancelsConfig *c)
{
  KqEarlyCancels *e = kq_alloc (sizeof *e);
  e->config = *c;
  e->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free);
  g_queue_init (&e->order);
  e->kept = kq_counter (c->counters, "kq_early_cancels", "",
                        "Cancellations whose jobs this leader doesn't know.");
  *e->kept = 0;
  e->deleted = kq_counter (c->counters, "kq_early_cancels_deleted_total", "",
                           "Cancellations deleted from the store as no such job came.");
  return e;
}

void
kq_early_cancels_free (KqEarlyCancels *e)
{
  if (e == NULL)
    return;
  e->freed = true;
  *e->kept = 0;
  if (!e->write_pending)
    destroy (e);
}

static Cancel *
find (const KqEarlyCancels *e, KqStr id)
{
  char key[KQ_SPEC_ID_MAX + 1];
  return kq_str_copy (id, key, sizeof key) ? g_hash_table_lookup (e->by_id, key) : NULL;
}

static void
dequeue (KqEarlyCancels *e, Cancel *c)
{
  if (c->queued)
    g_queue_unlink (&e->order, &c->link);
  c->queued = false;
}

static void
remove_cancel (KqEarlyCancels *e, Cancel *c)
{
  dequeue (e, c);
  g_hash_table_remove (e->by_id, c->id);
  *e->kept = g_hash_table_size (e->by_id);
}

void
kq_early_cancels_add (KqEarlyCancels *e, KqStr id, uint64_t revision, KqTime now)
{
  Cancel *c = find (e, id);
  if (!kq_spec_id_is_valid (id))
    return;
  if (c == NULL)
    {
      c = kq_alloc (sizeof *c);
      c->link.data = c;
      kq_str_copy (id, c->id, sizeof c->id);
      g_hash_table_insert (e->by_id, c->id, c);
      *e->kept = g_hash_table_size (e->by_id);
    }
  if (revision <= c->revision)
    return;
  c->revision = revision;
  c->since = now;
  dequeue (e, c);
  c->queued = true;
  g_queue_push_tail_link (&e->order, &c->link);
}

bool
kq_early_cancels_take (KqEarlyCancels *e, KqStr id)
{
  Cancel *c = find (e, id);
  if (c == NULL)
    return false;
  remove_cancel (e, c);
  return true;
}

void
kq_early_cancels_filter (KqEarlyCancels *e, bool (*job) (void *arg, KqStr id), void *arg)
{
  GPtrArray *taken = g_ptr_array_new ();
  GHashTableIter it;
  gpointer c;
  g_hash_table_iter_init (&it, e->by_id);
  while (g_hash_table_iter_next (&it, NULL, &c))
    if (job (arg, kq_str (((Cancel *)c)->id)))
      g_ptr_array_add (taken, c);
  for (guint i = 0; i < taken->len; i++)
    remove_cancel (e, g_ptr_array_index (taken, i));
  g_ptr_array_free (taken, TRUE);
}

size_t
kq_early_cancels_count (const KqEarlyCancels *e)
{
  return g_hash_table_size (e->by_id);
}

/* The sent cancellations with an unchanged revision have been deleted. */
static void
finish_deletion (KqEarlyCancels *e)
{
  for (size_t i = 0; i < e->n_sent; i++)
    {
      Cancel *c = find (e, kq_str (e->sent[i].id));
      if (c != NULL && c->revision == e->sent[i].revision)
        remove_cancel (e, c);
    }
  *e->deleted += e->n_sent;
  kq_log (KQ_LOG_INFO, PART, "Deleted cancellations without a job. n=%zu left=%u",
          e->n_sent, g_hash_table_size (e->by_id));
}

/* A job is in the store now, or a cancellation was written again or deleted. */
static void
update_cancel (KqEarlyCancels *e, Cancel *c, const KqKvReply *r, KqTime now)
{
  uint64_t revision = 0;
  bool has_job = false;
  for (size_t i = 0; i < r->n_items; i++)
    if (kq_str_eq (kq_key_id (r->items[i].key, KQ_KEY_CANCEL), kq_str (c->id)))
      revision = r->items[i].revision;
    else if (kq_str_eq (kq_key_id (r->items[i].key, KQ_KEY_JOB), kq_str (c->id)))
      has_job = r->items[i].revision != 0;
  if (has_job)
    dequeue (e, c); /* until the leader learns of the job; it is deleted with the job */
  else if (revision == 0)
    remove_cancel (e, c);
  else
    kq_early_cancels_add (e, kq_str (c->id), revision, now);
}

static void
handle_conflict (KqEarlyCancels *e, const KqKvReply *r, KqTime now)
{
  uint64_t leader_revision = 0;
  for (size_t i = 0; i < r->n_items; i++)
    if (kq_str_eq (r->items[i].key, kq_leader_key))
      leader_revision = r->items[i].revision;
  if (leader_revision != e->config.epoch)
    {
      e->config.deposed (e->config.arg, "the store has another leader", now);
      return;
    }
  for (size_t i = 0; i < e->n_sent; i++)
    {
      Cancel *c = find (e, kq_str (e->sent[i].id));
      if (c != NULL)
        update_cancel (e, c, r, now);
    }
}

static void
on_deleted (void *arg, const KqKvReply *r, KqTime now)
{
  KqEarlyCancels *e = arg;
  e->write_pending = false;
  if (e->freed)
    {
      destroy (e);
      return;
    }
  if (r->result == KQ_KV_OK || r->result == KQ_KV_CONFLICT)
    e->config.answered (e->config.arg, r->called_at, now);
  if (r->result == KQ_KV_OK)
    {
      finish_deletion (e);
      return;
    }
  e->retry_at = now + RETRY_DELAY;
  if (r->result == KQ_KV_CONFLICT)
    handle_conflict (e, r, now);
}

static bool
is_old (const KqEarlyCancels *e, const Cancel *c, KqTime now)
{
  bool crowded = g_hash_table_size (e->by_id) > KQ_EARLY_CANCELS_MAX;
  int64_t keep_ms = crowded ? MIN (e->config.keep_ms, KQ_KEEP_MIN_MS) : e->config.keep_ms;
  return now - c->since > keep_ms * KQ_MS;
}

void
kq_early_cancels_delete_old (KqEarlyCancels *e, KqTime now)
{
  KqKvCheck checks[KQ_KV_TXN_MAX] = { { kq_leader_key, e->config.epoch } };
  KqStr removes[DELETED_MAX];
  KqKvTxn t = { checks, 1, NULL, 0, removes, 0 };
  if (e->write_pending || now < e->retry_at)
    return;
  for (const GList *l = e->order.head; l != NULL && t.n_removes < DELETED_MAX;
       l = l->next)
    {
      const Cancel *c = l->data;
      if (!is_old (e, c, now))
        break;
      kq_str_copy (kq_str (c->id), e->sent[t.n_removes].id, sizeof c->id);
      e->sent[t.n_removes].revision = c->revision;
      removes[t.n_removes] = kq_key_of (KQ_KEY_CANCEL, kq_str (c->id));
      checks[t.n_checks++] = (KqKvCheck){ removes[t.n_removes++], c->revision };
      checks[t.n_checks++] = (KqKvCheck){ kq_key_of (KQ_KEY_JOB, kq_str (c->id)), 0 };
    }
  e->n_sent = t.n_removes;
  if (t.n_removes == 0)
    return;
  e->write_pending = true;
  kq_kv_txn (e->config.kv, &t, WRITE_TIMEOUT_MS, (KqKvCallback){ on_deleted, e });
  for (size_t i = 1; i < t.n_checks; i++)
    free ((char *)checks[i].key.ptr);
}
