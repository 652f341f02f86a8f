#include "table/dist.h"

#include "base/log.h"
#include "table/dist_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Duration of a watch, which makes one store call a minute per node. It isn't shorter
 * since each answer carries the head (a few KB) even if nothing has changed. If a watch
 * fails to report a change, peers do. */
#define WATCH_WAIT (60 * KQ_SEC)
/* Time limit of a list call, and of a watch's answer after the end of the watch. */
#define WATCH_GRACE (5 * KQ_SEC)
/* Wait after a failed list or watch; doubled at each failure, LIST_DOUBLINGS times at
 * most. */
#define LIST_WAIT (1 * KQ_SEC)
#define LIST_DOUBLINGS 3
/* How long a peer of this region may have a higher revision before this node requests the
 * changes from it: by then this node's own watch should have reported them. */
#define NEAR_LAG_WAIT (300 * KQ_MS)
/* The same time for a peer in another region: FAR_LAG_WAIT plus a random part of
 * FAR_LAG_SPREAD, so that one node requests the change across the region link and the
 * others get it from that node. */
#define FAR_LAG_WAIT (700 * KQ_MS)
#define FAR_LAG_SPREAD (1500 * KQ_MS)
/* Time between two requests for missing changes. */
#define REQUEST_INTERVAL (1 * KQ_SEC)
/* If a peer has sent no heartbeat for longer than this, its entry may be reused. */
#define PEER_REUSE_AFTER (60 * KQ_SEC)

KqTableDist *
kq_table_dist_new (KqNodeId self, uint64_t seed)
{
  KqTableDist *d = kq_alloc (sizeof *d);
  d->self = self;
  d->rand = kq_rand (seed ^ self);
  return d;
}

void
kq_table_dist_free (KqTableDist *d)
{
  if (d == NULL)
    return;
  kq_commit_free (d);
  kq_table_unref (d->table);
  kq_tail_free (&d->recent);
  kq_head_free (&d->head);
  kq_buf_free (&d->load_bytes);
  free (d->peers);
  free (d);
}

KqTable *
kq_table_dist_current (KqTableDist *d)
{
  return d->table;
}

uint64_t
kq_dist_revision (const KqTableDist *d)
{
  return d->table != NULL ? kq_table_revision (d->table) : 0;
}

uint64_t
kq_table_dist_revision (const KqTableDist *d)
{
  return kq_dist_revision (d);
}

bool
kq_table_dist_take_changed (KqTableDist *d)
{
  bool changed = d->changed;
  d->changed = false;
  return changed;
}

bool
kq_table_dist_from_peer (const KqTableDist *d)
{
  return d->from_peer;
}

void
kq_dist_set_table (KqTableDist *d, KqTable *table, bool from_peer)
{
  /* Invariant of this module: each new table in force has a higher revision. */
  assert (d->table == NULL || kq_table_revision (table) > kq_table_revision (d->table));
  kq_table_unref (d->table);
  d->table = table;
  d->changed = true;
  d->from_peer = from_peer;
  d->lag_since = 0;
}

/* Applies the changes of `t` that are newer than the table `onto`; false if there is a
 * gap between them or if they are damaged. */
static bool
apply_tail (KqTableDist *d, const KqTableTail *t, KqTable *onto, bool from_peer)
{
  KqTable *next = kq_tail_apply (t, onto);
  if (next == NULL)
    return false;
  if (d->table != NULL && kq_table_revision (next) <= kq_table_revision (d->table))
    {
      kq_table_unref (next);
      return true;
    }
  if (onto != d->table || d->recent.from + d->recent.n != kq_dist_revision (d))
    kq_tail_clear (&d->recent, t->from);
  for (size_t i = 0; i < t->n; i++)
    if (t->entries[i].revision == d->recent.from + d->recent.n + 1)
      kq_tail_add (&d->recent, t->entries[i].revision,
                   kq_buf_str (&t->entries[i].changes));
  kq_tail_cut (&d->recent, KQ_TABLE_RECENT_MAX_BYTES);
  kq_dist_set_table (d, next, from_peer);
  assert (d->recent.from + d->recent.n == kq_dist_revision (d));
  return true;
}

static void
read_part (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqStoreOp op = { .kind = KQ_STORE_GET, .part = KQ_PART_TABLE };
  KqBuf key = { 0 };
  kq_base_key (&d->load_base, d->load_part, &key);
  op.key = kq_buf_str (&key);
  op.token = ++d->token;
  d->load_call = op.token;
  d->load_deadline = now + KQ_TABLE_CALL_TIMEOUT;
  kq_outbox_store (out, &op);
  kq_buf_free (&key);
}

static void
start_loading_base (KqTableDist *d, KqTime now, KqOutbox *out)
{
  if (d->loading && d->load_base.id == d->head.base.id)
    return;
  d->loading = true;
  d->load_base = d->head.base;
  d->load_part = 0;
  kq_buf_clear (&d->load_bytes);
  read_part (d, now, out);
}

/* Brings the table up to the revision of the last head that was read: applies the head's
 * tail, or starts to read the base if the tail doesn't reach back to the table. */
static void
update_table_to_head (KqTableDist *d, KqTime now, KqOutbox *out)
{
  if (!d->head_known)
    return;
  if (d->table == NULL && d->head.base.id == 0)
    kq_dist_set_table (d, kq_table_new (0), false);
  if (d->table != NULL && d->head.revision <= kq_dist_revision (d))
    {
      if (d->head.revision == kq_dist_revision (d))
        d->from_peer = false;
      d->loading = false;
      return;
    }
  if (d->table != NULL && apply_tail (d, &d->head.tail, d->table, false))
    {
      d->loading = false;
      return;
    }
  if (d->head.base.id != 0)
    start_loading_base (d, now, out);
}

bool
kq_dist_apply_head (KqTableDist *d, KqStr value, uint64_t head_store_revision, KqTime now,
                    KqOutbox *out)
{
  KqTableHead head = { 0 };
  if (head_store_revision != 0 && !kq_head_unpack (value, &head))
    {
      kq_log (KQ_LOG_ERROR, "table", "The head in the store is damaged. at=%llu",
              (unsigned long long)head_store_revision);
      return false;
    }
  kq_head_free (&d->head);
  d->head = head;
  d->head_known = true;
  d->head_store_revision = head_store_revision;
  update_table_to_head (d, now, out);
  return true;
}

static void
handle_load_failure (KqTableDist *d, KqTime now)
{
  d->load_call = 0;
  d->loading = false;
  d->next_load_at = now + LIST_WAIT;
  d->watch_revision = 0; /* the base may have been deleted: read the head again */
}

static void
handle_part_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  KqResult why;
  d->load_call = 0;
  if (!d->loading)
    return;
  if (r->result != KQ_OK)
    {
      handle_load_failure (d, now);
      return;
    }
  kq_buf_add_str (&d->load_bytes, r->value);
  if (++d->load_part < d->load_base.n_parts)
    {
      read_part (d, now, out);
      return;
    }
  d->loading = false;
  KqTable *base = kq_table_unpack (kq_buf_str (&d->load_bytes), &why);
  kq_buf_free (&d->load_bytes);
  if (base == NULL || kq_table_revision (base) != d->load_base.revision)
    {
      kq_log (KQ_LOG_ERROR, "table", "The table in the store is damaged. base=%llu",
              (unsigned long long)d->load_base.revision);
      handle_load_failure (d, now);
    }
  else if (!apply_tail (d, &d->head.tail, base, false))
    handle_load_failure (d, now);
  kq_table_unref (base);
}

static void
tick_load (KqTableDist *d, KqTime now, KqOutbox *out)
{
  if (d->load_call != 0 && now >= d->load_deadline)
    handle_load_failure (d, now);
  if (d->loading || now < d->next_load_at || !d->head_known)
    return;
  if (d->table == NULL || kq_dist_revision (d) < d->head.revision)
    update_table_to_head (d, now, out);
}

static void
tick_watch (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqStoreOp op = { .part = KQ_PART_TABLE, .key = KQ_STR ("table/head") };
  if (d->watch_call != 0 && now >= d->watch_deadline)
    {
      d->watch_call = 0;
      d->watch_revision = 0;
    }
  if (d->watch_call != 0 || now < d->next_watch_at)
    return;
  op.kind = d->watch_revision == 0 ? KQ_STORE_LIST : KQ_STORE_WATCH;
  op.expect = d->watch_revision;
  op.wait_ms = (int)(WATCH_WAIT / KQ_MS);
  op.token = ++d->token;
  d->watch_call = op.token;
  d->watch_deadline = now + WATCH_GRACE;
  if (op.kind == KQ_STORE_WATCH)
    d->watch_deadline += WATCH_WAIT;
  kq_outbox_store (out, &op);
}

static void
handle_watch_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  d->watch_call = 0;
  if (r->result != KQ_OK)
    {
      KqTime wait = LIST_WAIT << d->watch_failures;
      if (d->watch_failures < LIST_DOUBLINGS)
        d->watch_failures++;
      d->watch_revision = 0;
      d->next_watch_at = now + wait / 2;
      d->next_watch_at += (KqTime)kq_rand_below (&d->rand, (uint64_t)(wait / 2));
      return;
    }
  d->watch_failures = 0;
  d->next_watch_at = now;
  d->watch_revision = r->revision > 0 ? r->revision : 1;
  uint64_t at = r->n_items > 0 ? r->items[0].revision : 0;
  KqStr value = r->n_items > 0 ? r->items[0].value : KQ_STR ("");
  /* The answer is out of date if this node has committed since the call was sent. */
  if (d->head_known && at <= d->head_store_revision)
    update_table_to_head (d, now, out);
  else
    kq_dist_apply_head (d, value, at, now, out);
}

static void request_changes (KqTableDist *d, KqTime now, KqOutbox *out);

void
kq_table_dist_tick (KqTableDist *d, KqTime now, KqOutbox *out)
{
  tick_load (d, now, out);
  tick_watch (d, now, out);
  request_changes (d, now, out);
  kq_commit_tick (d, now, out);
}

void
kq_table_dist_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  if (d->watch_call != 0 && r->token == d->watch_call)
    handle_watch_reply (d, r, now, out);
  else if (d->load_call != 0 && r->token == d->load_call)
    handle_part_reply (d, r, now, out);
  else if (kq_commit_reply (d, r, now, out))
    return;
  kq_table_dist_tick (d, now, out);
}

/* Returns the entry of the peer; if there is none, an entry that may be reused, or else a
 * new one. */
static KqTablePeer *
find_peer_entry (KqTableDist *d, KqNodeId id, KqTime now)
{
  KqTablePeer *reusable = NULL;
  for (size_t i = 0; i < d->n_peers; i++)
    {
      if (d->peers[i].id == id)
        return &d->peers[i];
      if (now - d->peers[i].heard_at > PEER_REUSE_AFTER)
        reusable = &d->peers[i];
    }
  if (reusable != NULL)
    return reusable;
  if (d->n_peers == d->peers_capacity)
    {
      d->peers_capacity = d->peers_capacity > 0 ? 2 * d->peers_capacity : 16;
      d->peers = kq_realloc (d->peers, d->peers_capacity * sizeof *d->peers);
    }
  return &d->peers[d->n_peers++];
}

/* Requests the missing changes from a peer with a higher revision, once this node's own
 * watch has had time to report them. */
static void
request_changes (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqMsg m = { .kind = KQ_MSG_TABLE_REQUEST };
  KqTime wait = d->lag_peer_far ? d->far_lag_wait : NEAR_LAG_WAIT;
  if (d->lag_since == 0 || now < d->next_request_at || now - d->lag_since < wait)
    return;
  m.u.table_request.above_revision = kq_dist_revision (d);
  d->next_request_at = now + REQUEST_INTERVAL;
  kq_outbox_send (out, d->lag_peer, &m);
}

void
kq_table_dist_peer_revision (KqTableDist *d, KqNodeId peer, uint64_t revision, bool far,
                             KqTime now, KqOutbox *out)
{
  if (peer == d->self)
    return;
  *find_peer_entry (d, peer, now) = (KqTablePeer){ peer, far, now };
  if (revision <= kq_dist_revision (d))
    return;
  if (d->lag_since == 0)
    {
      d->lag_since = now;
      d->lag_peer_far = true;
      d->far_lag_wait = FAR_LAG_WAIT + (KqTime)kq_rand_below (&d->rand, FAR_LAG_SPREAD);
    }
  if (!far || d->lag_peer_far)
    {
      d->lag_peer = peer;
      d->lag_peer_far = far;
    }
  request_changes (d, now, out);
}

/* Sends a peer the changes that it lacks, or the whole table if they aren't kept any
 * more. */
static void
send_missing_changes (KqTableDist *d, KqNodeId peer, uint64_t above, KqOutbox *out)
{
  KqMsg m = { .kind = KQ_MSG_TABLE };
  KqBuf b = { 0 };
  uint64_t ours = kq_dist_revision (d);
  if (d->table == NULL || above >= ours)
    return;
  m.u.table.revision = ours;
  if (above > 0 && above >= d->recent.from)
    {
      m.u.table.base = above;
      kq_tail_pack_above (&d->recent, above, &b);
    }
  else
    kq_table_pack (d->table, &b);
  m.u.table.bytes = kq_buf_str (&b);
  kq_outbox_send (out, peer, &m);
  kq_buf_free (&b);
}

static void
apply_whole_table (KqTableDist *d, const KqMsgTable *m)
{
  KqResult why;
  KqTable *t = kq_table_unpack (m->bytes, &why);
  if (t == NULL)
    {
      kq_log (KQ_LOG_WARN, "table", "A peer's table is damaged; refused.");
      return;
    }
  if (d->table != NULL && kq_table_revision (t) <= kq_dist_revision (d))
    {
      kq_table_unref (t);
      return;
    }
  kq_tail_clear (&d->recent, kq_table_revision (t));
  kq_dist_set_table (d, t, true);
}

static void
apply_changes (KqTableDist *d, const KqMsgTable *m)
{
  KqTableTail tail;
  if (d->table == NULL || m->base > kq_dist_revision (d))
    return;
  if (!kq_tail_unpack (m->bytes, &tail))
    {
      kq_log (KQ_LOG_WARN, "table", "A peer's changes are damaged; refused.");
      return;
    }
  apply_tail (d, &tail, d->table, true);
  kq_tail_free (&tail);
}

void
kq_table_dist_message (KqTableDist *d, KqNodeId peer, const KqMsg *m, KqTime now,
                       KqOutbox *out)
{
  if (m->kind == KQ_MSG_TABLE_REQUEST)
    {
      send_missing_changes (d, peer, m->u.table_request.above_revision, out);
      return;
    }
  assert (m->kind == KQ_MSG_TABLE);
  if (m->u.table.revision <= kq_dist_revision (d) && d->table != NULL)
    return;
  if (m->u.table.base == 0)
    apply_whole_table (d, &m->u.table);
  else
    apply_changes (d, &m->u.table);
  kq_commit_tick (d, now, out);
}
