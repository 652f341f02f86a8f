#include "table/dist_state.h"

#include "base/log.h"
#include "table/row_pack.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Time limit of a change. When it has passed, the result is "unknown", not "failed": the
 * compare-and-swap may still take effect. The limit is below the 5 s timeout of the
 * operators' interface, so that the operator gets "unknown" from the node that sent the
 * swap. */
#define CHANGE_TIMEOUT (4 * KQ_SEC)
#define RETRY_DELAY (200 * KQ_MS)
/* Peers without a heartbeat for longer than this aren't sent changes. */
#define PEER_SILENT_MAX (10 * KQ_SEC)
/* Changes up to this size are sent at once to peers in other regions. A larger one (an
 * import) is sent across a region link only to the few peers that request it first. */
#define FAR_PUSH_MAX_BYTES 4096

static void
add_result (KqTableDist *d, KqResult code, uint64_t revision, size_t which)
{
  if (d->n_results == d->results_capacity)
    {
      d->results_capacity = d->results_capacity > 0 ? 2 * d->results_capacity : 8;
      d->results = kq_realloc (d->results, d->results_capacity * sizeof *d->results);
    }
  d->results[d->n_results++] = (KqTableResult){ d->pending->call, code, revision, which };
}

static void
reset_commit (KqCommit *c)
{
  kq_head_free (&c->head);
  kq_table_unref (c->next);
  c->next = NULL;
  kq_buf_clear (&c->base_bytes);
  c->rebase = false;
  c->obsolete_base = (KqTableBase){ 0 };
  c->part = 0;
  c->id = 0;
}

static void
finish_change (KqTableDist *d, KqResult code, uint64_t revision, size_t which)
{
  KqPendingChange *p = d->pending;
  add_result (d, code, revision, which);
  d->pending = p->next;
  free (p->changes);
  free (p);
  reset_commit (&d->commit);
  d->commit.state = KQ_COMMIT_IDLE;
  d->commit.call = 0;
}

void
kq_commit_free (KqTableDist *d)
{
  while (d->pending != NULL)
    finish_change (d, KQ_ERR_STORE_UNREACHABLE, 0, 0);
  kq_buf_free (&d->commit.base_bytes);
  free (d->results);
}

void
kq_table_dist_change (KqTableDist *d, uint64_t call, const KqRowChange *c, size_t n,
                      KqTime now, KqOutbox *out)
{
  KqPendingChange *p = kq_alloc (sizeof *p);
  KqPendingChange **end = &d->pending;
  assert (n > 0);
  p->call = call;
  p->n = n;
  p->changes = kq_alloc (n * sizeof *c);
  memcpy (p->changes, c, n * sizeof *c);
  p->deadline = now + CHANGE_TIMEOUT;
  while (*end != NULL)
    end = &(*end)->next;
  *end = p;
  kq_commit_tick (d, now, out);
}

bool
kq_table_dist_take_result (KqTableDist *d, KqTableResult *r)
{
  if (d->n_results == 0)
    return false;
  *r = d->results[0];
  d->n_results--;
  memmove (d->results, d->results + 1, d->n_results * sizeof *d->results);
  return true;
}

static void
call_store (KqTableDist *d, KqStoreOp *op, KqTime now, KqOutbox *out)
{
  KqCommit *c = &d->commit;
  op->part = KQ_PART_TABLE;
  op->token = ++d->token;
  c->call = op->token;
  c->call_deadline = now + KQ_TABLE_CALL_TIMEOUT;
  kq_outbox_store (out, op);
}

static void
read_head (KqTableDist *d, KqCommitState state, KqTime now, KqOutbox *out)
{
  KqStoreOp op = { .kind = KQ_STORE_GET, .key = KQ_STR ("table/head") };
  d->commit.state = state;
  call_store (d, &op, now, out);
}

static void
put_head (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqStoreOp op = { .kind = KQ_STORE_PUT, .key = KQ_STR ("table/head") };
  KqBuf value = { 0 };
  kq_head_pack (&d->commit.head, &value);
  op.value = kq_buf_str (&value);
  op.expect = d->commit.expect;
  d->commit.state = KQ_COMMIT_PUT;
  call_store (d, &op, now, out);
  kq_buf_free (&value);
}

static void
put_part (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqCommit *c = &d->commit;
  KqStoreOp op = { .kind = KQ_STORE_PUT };
  KqBuf key = { 0 };
  size_t at = c->part * KQ_BASE_PART_BYTES;
  size_t left = c->base_bytes.len - at;
  kq_base_key (&c->head.base, c->part, &key);
  op.key = kq_buf_str (&key);
  op.value = kq_str_n (c->base_bytes.ptr + at,
                       left < KQ_BASE_PART_BYTES ? left : KQ_BASE_PART_BYTES);
  c->state = KQ_COMMIT_PARTS;
  call_store (d, &op, now, out);
  kq_buf_free (&key);
}

/* Deletes a base that no head refers to any more. If a call is lost, the keys stay in the
 * store unused. */
static void
delete_base (KqTableDist *d, const KqTableBase *b, KqOutbox *out)
{
  for (size_t i = 0; i < b->n_parts; i++)
    {
      KqStoreOp op = { .kind = KQ_STORE_DELETE, .part = KQ_PART_TABLE };
      KqBuf key = { 0 };
      if (b->part_revisions[i] == 0)
        continue;
      kq_base_key (b, i, &key);
      op.key = kq_buf_str (&key);
      op.expect = b->part_revisions[i];
      op.token = ++d->token;
      kq_outbox_store (out, &op);
      kq_buf_free (&key);
    }
}

/* Prepares a new base under a new key. It holds the table before the change if the change
 * goes to the tail, otherwise the table after it. */
static void
prepare_base (KqTableDist *d, bool in_tail)
{
  KqCommit *c = &d->commit;
  const KqTable *t = in_tail ? d->table : c->next;
  c->rebase = true;
  c->obsolete_base = c->head.old;
  c->head.old = c->head.base;
  c->head.base = (KqTableBase){ .revision = kq_table_revision (t) };
  c->head.base.id = kq_rand_next (&d->rand) | 1;
  kq_buf_clear (&c->base_bytes);
  kq_table_pack (t, &c->base_bytes);
  c->head.base.n_parts
      = (c->base_bytes.len + KQ_BASE_PART_BYTES - 1) / KQ_BASE_PART_BYTES;
}

/* Prepares the new head. store_lost_writes: the store's head is older than the table in
 * force here, because the store has lost writes. Accepted changes must not be undone, so
 * in that case the new head refers to a base with the whole table of this node. */
static void
prepare_head (KqTableDist *d, bool store_lost_writes)
{
  KqCommit *c = &d->commit;
  KqBuf changes = { 0 };
  uint64_t revision = kq_table_revision (c->next);
  kq_changes_pack_entry (d->pending->changes, d->pending->n, &changes);
  bool in_tail = changes.len <= KQ_TAIL_CHANGE_MAX_BYTES;
  kq_head_copy (&c->head, &d->head);
  c->expect = d->head_store_revision;
  c->id = kq_rand_next (&d->rand) | 1;
  c->head.revision = revision;
  c->head.ids[revision % KQ_HEAD_IDS] = c->id;
  bool full = c->head.tail.bytes + changes.len > KQ_TAIL_MAX_BYTES && c->head.tail.n > 0;
  if (store_lost_writes)
    kq_tail_clear (&c->head.tail, revision - 1);
  if (full || store_lost_writes || !in_tail)
    prepare_base (d, in_tail);
  if (full)
    kq_tail_cut (&c->head.tail, KQ_TAIL_KEEP_BYTES);
  if (in_tail)
    kq_tail_add (&c->head.tail, revision, kq_buf_str (&changes));
  else
    kq_tail_clear (&c->head.tail, revision);
  kq_buf_free (&changes);
}

/* Computes the new table from the known head, and starts to write the new base, or the
 * head if no new base is needed. */
static void
prepare_commit (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqCommit *c = &d->commit;
  KqPendingChange *p = d->pending;
  uint64_t ours = kq_dist_revision (d);
  bool store_lost_writes = ours > d->head.revision;
  KqResult why;
  size_t which;
  if (d->table == NULL || ours < d->head.revision)
    {
      c->state = KQ_COMMIT_WAIT_TABLE;
      return;
    }
  reset_commit (c);
  c->next = kq_table_change (d->table, ours + 1, p->changes, p->n, &why, &which);
  /* The known head may be out of date, for example because another node has written the
   * row that the operator saw. So it is read again before the change is refused, or
   * before the store is taken to have lost writes. */
  if ((c->next == NULL || store_lost_writes) && !c->head_read)
    {
      read_head (d, KQ_COMMIT_READ, now, out);
      return;
    }
  if (c->next == NULL)
    {
      finish_change (d, why, ours, which);
      return;
    }
  if (store_lost_writes)
    kq_log (KQ_LOG_ERROR, "table",
            "The store's table is older than ours; writing ours. store=%llu ours=%llu",
            (unsigned long long)d->head.revision, (unsigned long long)ours);
  prepare_head (d, store_lost_writes);
  if (c->rebase)
    put_part (d, now, out);
  else
    put_head (d, now, out);
}

/* Sends the last change to the peers at once, for nodes whose watch doesn't report it. */
static void
send_change_to_peers (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqMsg m = { .kind = KQ_MSG_TABLE };
  KqBuf b = { 0 };
  uint64_t revision = kq_dist_revision (d);
  if (d->recent.n == 0 || d->recent.from >= revision)
    return;
  m.u.table.revision = revision;
  m.u.table.base = revision - 1;
  if (m.u.table.base == 0) /* 0 announces the whole table */
    kq_table_pack (d->table, &b);
  else
    kq_tail_pack_above (&d->recent, revision - 1, &b);
  m.u.table.bytes = kq_buf_str (&b);
  for (size_t i = 0; i < d->n_peers; i++)
    {
      const KqTablePeer *p = &d->peers[i];
      if (now - p->heard_at < PEER_SILENT_MAX && (!p->far || b.len <= FAR_PUSH_MAX_BYTES))
        kq_outbox_send (out, p->id, &m);
    }
  kq_buf_free (&b);
}

/* Finishes the change after its compare-and-swap took effect: puts the new table in
 * force, sends the change to peers and deletes the obsolete base. */
static void
commit_succeeded (KqTableDist *d, uint64_t head_store_revision, KqTime now, KqOutbox *out)
{
  KqCommit *c = &d->commit;
  uint64_t revision = c->head.revision;
  if (head_store_revision > d->head_store_revision)
    {
      kq_head_copy (&d->head, &c->head);
      d->head_store_revision = head_store_revision;
    }
  if (revision > kq_dist_revision (d))
    {
      const KqTableTail *t = &c->head.tail;
      if (t->n > 0 && d->recent.from + d->recent.n == revision - 1)
        kq_tail_add (&d->recent, revision, kq_buf_str (&t->entries[t->n - 1].changes));
      else
        kq_tail_clear (&d->recent, revision);
      kq_tail_cut (&d->recent, KQ_TABLE_RECENT_MAX_BYTES);
      kq_dist_set_table (d, kq_table_ref (c->next), false);
      send_change_to_peers (d, now, out);
    }
  delete_base (d, &c->obsolete_base, out);
  finish_change (d, KQ_OK, revision, 0);
}

/* Handles a head in the store that isn't the expected one: other nodes have committed,
 * either after this commit took effect or instead of it. */
static void
handle_other_head (KqTableDist *d, KqStr value, uint64_t head_store_revision, KqTime now,
                   KqOutbox *out)
{
  KqCommit *c = &d->commit;
  uint64_t revision = c->head.revision;
  KqTableBase base = c->rebase ? c->head.base : (KqTableBase){ 0 };
  if (!kq_dist_apply_head (d, value, head_store_revision, now, out))
    {
      finish_change (d, KQ_ERR_PLATFORM_FORMAT, 0, 0);
      return;
    }
  if (kq_head_has_id (&d->head, revision, c->id))
    {
      finish_change (d, KQ_OK, revision, 0);
      return;
    }
  if (d->head.revision >= revision && !kq_head_keeps_id (&d->head, revision))
    {
      finish_change (d, KQ_ERR_STORE_UNREACHABLE, 0, 0);
      return;
    }
  delete_base (d, &base, out);
  c->head_read = true;
  prepare_commit (d, now, out);
}

static void
wait_and_retry (KqCommit *c, KqTime now)
{
  c->call = 0;
  c->retry_at = now + RETRY_DELAY;
}

static void
handle_part_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  KqCommit *c = &d->commit;
  /* The key is random, so a CONFLICT means that an earlier write by this node took effect
   * and its answer was lost. */
  if (r->result != KQ_OK && r->result != KQ_ERR_STORE_CONFLICT)
    {
      wait_and_retry (c, now);
      return;
    }
  c->head.base.part_revisions[c->part++] = r->revision;
  if (c->part < c->head.base.n_parts)
    put_part (d, now, out);
  else
    put_head (d, now, out);
}

static void
handle_put_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  switch (r->result)
    {
    case KQ_OK:
      commit_succeeded (d, r->revision, now, out);
      break;
    case KQ_ERR_STORE_CONFLICT:
      handle_other_head (d, r->value, r->revision, now, out);
      break;
    case KQ_ERR_STORE_TOO_LARGE:
      finish_change (d, KQ_ERR_TABLE_TOO_LARGE, 0, 0);
      break;
    case KQ_ERR_STORE_BUSY: /* the call wasn't sent */
      wait_and_retry (&d->commit, now);
      break;
    default:
      d->commit.state = KQ_COMMIT_VERIFY;
      wait_and_retry (&d->commit, now);
      break;
    }
}

/* Handles the head that was read back after a lost answer. If the head is unchanged, the
 * swap may still take effect later: the same value is sent again with the same expected
 * revision, so at most one of the two takes effect. If the head has changed, its write
 * ids show whether the swap took effect; if not, it never will. */
static void
handle_verify_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  uint64_t at = r->result == KQ_OK ? r->revision : 0;
  if (r->result != KQ_OK && r->result != KQ_ERR_STORE_NOT_FOUND)
    wait_and_retry (&d->commit, now);
  else if (at == d->commit.expect)
    put_head (d, now, out);
  else
    handle_other_head (d, r->value, at, now, out);
}

static void
handle_read_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  if (r->result != KQ_OK && r->result != KQ_ERR_STORE_NOT_FOUND)
    {
      wait_and_retry (&d->commit, now);
      return;
    }
  d->commit.head_read = true;
  if (kq_dist_apply_head (d, r->value, r->result == KQ_OK ? r->revision : 0, now, out))
    prepare_commit (d, now, out);
  else
    finish_change (d, KQ_ERR_PLATFORM_FORMAT, 0, 0);
}

bool
kq_commit_reply (KqTableDist *d, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  KqCommit *c = &d->commit;
  if (c->call == 0 || r->token != c->call)
    return false;
  c->call = 0;
  switch (c->state)
    {
    case KQ_COMMIT_READ:
      handle_read_reply (d, r, now, out);
      break;
    case KQ_COMMIT_PARTS:
      handle_part_reply (d, r, now, out);
      break;
    case KQ_COMMIT_PUT:
      handle_put_reply (d, r, now, out);
      break;
    case KQ_COMMIT_VERIFY:
      handle_verify_reply (d, r, now, out);
      break;
    case KQ_COMMIT_IDLE:
    case KQ_COMMIT_WAIT_TABLE:
    case KQ_COMMIT_STATES:
      assert (!"store reply in a state without a call");
    }
  kq_commit_tick (d, now, out);
  return true;
}

static void
begin_change (KqTableDist *d, KqTime now, KqOutbox *out)
{
  d->commit.head_read = false;
  if (d->head_known)
    prepare_commit (d, now, out);
  else
    read_head (d, KQ_COMMIT_READ, now, out);
}

/* Repeats the store call that failed; in state WAIT_TABLE, checks for the table again. */
static void
retry_call (KqTableDist *d, KqTime now, KqOutbox *out)
{
  switch (d->commit.state)
    {
    case KQ_COMMIT_READ:
    case KQ_COMMIT_VERIFY:
      read_head (d, d->commit.state, now, out);
      break;
    case KQ_COMMIT_PARTS:
      put_part (d, now, out);
      break;
    case KQ_COMMIT_PUT:
      put_head (d, now, out);
      break;
    case KQ_COMMIT_WAIT_TABLE:
      prepare_commit (d, now, out);
      break;
    case KQ_COMMIT_IDLE:
    case KQ_COMMIT_STATES:
      break;
    }
}

void
kq_commit_tick (KqTableDist *d, KqTime now, KqOutbox *out)
{
  KqCommit *c = &d->commit;
  if (c->call != 0 && now >= c->call_deadline)
    {
      /* A call without an answer in time is treated like a lost answer. */
      c->call = 0;
      c->retry_at = now;
      if (c->state == KQ_COMMIT_PUT)
        c->state = KQ_COMMIT_VERIFY;
    }
  if (d->pending != NULL && now >= d->pending->deadline)
    c->call = 0; /* an answer would be too late */
  while (d->pending != NULL && c->call == 0)
    {
      if (now >= d->pending->deadline)
        {
          if (c->state == KQ_COMMIT_PARTS)
            delete_base (d, &c->head.base, out);
          finish_change (d, KQ_ERR_STORE_UNREACHABLE, 0, 0);
        }
      else if (c->state == KQ_COMMIT_IDLE)
        begin_change (d, now, out);
      else if (now >= c->retry_at)
        {
          retry_call (d, now, out);
          if (c->state == KQ_COMMIT_WAIT_TABLE)
            return;
        }
      else
        return;
    }
}
