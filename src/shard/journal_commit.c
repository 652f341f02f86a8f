#include "shard/journal_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

KqSeq
kq_journal_append (KqJournal *j, const KqRecord *r, KqCommitClass c, KqTime now)
{
  assert (j->state == KQ_JOURNAL_OPEN && !j->replaying);
  assert (r->type >= 100 && r->body.len < KQ_JOURNAL_BLOCK_BYTES);
  if (j->len == j->capacity && j->first > j->capacity / 2)
    {
      memmove (j->pending, j->pending + j->first,
               (j->len - j->first) * sizeof *j->pending);
      j->len -= j->first;
      j->first = 0;
    }
  if (j->len == j->capacity)
    {
      j->capacity = j->capacity > 0 ? j->capacity * 2 : 64;
      j->pending = kq_realloc (j->pending, j->capacity * sizeof *j->pending);
    }
  KqPendingRecord *p = &j->pending[j->len++];
  *p = (KqPendingRecord){ *r, now, c };
  p->record.body = kq_str_own (r->body);
  j->n_urgent += c == KQ_COMMIT_URGENT;
  j->last_appended++;
  assert (j->last_in_block + (j->len - j->first) == j->last_appended);
  return j->last_appended;
}

KqSeq
kq_journal_committed (const KqJournal *j)
{
  return j->committed;
}

KqResult
kq_journal_withdraw (KqJournal *j, KqSeq seq)
{
  if (seq <= j->last_in_block)
    return KQ_ERR_COMMIT_UNKNOWN;
  /* The record isn't in a block yet. An empty record takes its place, so that sequence
   * numbers have no gaps. */
  size_t i = j->first + (size_t)(seq - j->last_in_block - 1);
  if (i < j->len)
    {
      KqRecord *r = &j->pending[i].record;
      free ((char *)r->body.ptr);
      *r = (KqRecord){ .type = KQ_RECORD_VOID, .version = 1 };
      j->n_urgent -= j->pending[i].commit_class == KQ_COMMIT_URGENT;
      j->pending[i].commit_class = KQ_COMMIT_NORMAL;
    }
  kq_journal_snapshot_withdraw (j, seq);
  return KQ_OK;
}

/* The age of a pending record, at least 1. A lag of 0 would mean that no record is
 * pending, and a handover would discard a record that was appended just now. */
static KqTime
record_age (KqTime appended_at, KqTime now)
{
  return now > appended_at ? now - appended_at : 1;
}

KqTime
kq_journal_lag (const KqJournal *j, KqTime now)
{
  if (j->write_pending && j->state == KQ_JOURNAL_OPEN)
    return record_age (j->slot_write.oldest_at, now);
  for (size_t i = j->first; i < j->len; i++)
    if (j->pending[i].record.type != KQ_RECORD_VOID)
      return record_age (j->pending[i].appended_at, now);
  return 0;
}

void
kq_journal_commit_drop (KqJournal *j)
{
  for (size_t i = j->first; i < j->len; i++)
    free ((char *)j->pending[i].record.body.ptr);
  j->first = j->len = 0;
  j->n_urgent = 0;
  j->write_pending = false;
}

/* Encodes the block for the next position of the log. The encoded bytes don't change
 * afterwards. */
static void
prepare_write (KqJournal *j, KqBlock *b)
{
  KqSlotWrite *w = &j->slot_write;
  assert (!j->write_pending);
  b->kind = KQ_BLOCK_SLOT;
  b->shard = j->shard;
  b->epoch = j->epoch;
  b->writer = j->self;
  b->write_id = kq_journal_new_write_id (j);
  b->index = j->next_index;
  b->seq = j->last_in_block + 1;
  kq_buf_clear (&w->value);
  kq_block_encode (b, &w->value);
  w->index = b->index;
  w->write_id = b->write_id;
  w->expect = j->slot_revision[b->index % KQ_JOURNAL_SLOTS];
  w->last_seq = j->last_in_block + b->n_records;
  j->last_in_block = w->last_seq;
  j->write_pending = true;
  kq_journal_set_step (&j->log, KQ_STEP_WRITE);
}

void
kq_journal_fence (KqJournal *j, KqTime now)
{
  KqBlock b = { 0 };
  if (j->next_index > j->covered_index + KQ_JOURNAL_SLOTS)
    {
      char key[KQ_JOURNAL_KEY_MAX];
      kq_journal_slot_key (j, j->next_index, key);
      kq_journal_set_damaged (j, KQ_ERR_JOURNAL_FULL, kq_str (key),
                              "No slot is left for a fence.");
      return;
    }
  j->state = KQ_JOURNAL_FENCING;
  prepare_write (j, &b);
  j->slot_write.oldest_at = now;
  j->slot_write.commit_class = KQ_COMMIT_URGENT;
}

static bool
ring_full (const KqJournal *j)
{
  return j->next_index > j->covered_index + KQ_JOURNAL_SLOTS - KQ_JOURNAL_FENCE_SLOTS;
}

/* When the rate limit allows the next commit. The limit is a token bucket kept as one
 * time: each commit moves rate_used_until forward by one interval, and it may be ahead of
 * `now` by the burst. */
static KqTime
rate_allows_at (const KqJournal *j)
{
  int burst = KQ_JOURNAL_BURST;
  if (j->n_urgent > 0)
    burst += KQ_JOURNAL_URGENT_BURST;
  return j->rate_used_until - (burst - 1) * j->commit_interval;
}

KqTime
kq_journal_commit_due (const KqJournal *j)
{
  if (j->replaying || ring_full (j) || j->first == j->len)
    return KQ_TIME_NEVER;
  return rate_allows_at (j);
}

/* Prepares the write of a block with as many pending records as fit. */
static void
pack_pending (KqJournal *j)
{
  KqCommitClass c = j->n_urgent > 0 ? KQ_COMMIT_URGENT : KQ_COMMIT_NORMAL;
  KqBlock b = { 0 };
  size_t bytes = 0;
  size_t n = 0;
  KqTime oldest_at = j->pending[j->first].appended_at;
  b.records = kq_alloc ((j->len - j->first) * sizeof *b.records);
  for (; j->first + n < j->len; n++)
    {
      const KqRecord *r = &j->pending[j->first + n].record;
      bytes += r->body.len + 16;
      if (n > 0 && bytes > KQ_JOURNAL_BLOCK_BYTES)
        break;
      b.records[n] = *r;
      j->n_urgent -= j->pending[j->first + n].commit_class == KQ_COMMIT_URGENT;
    }
  b.n_records = n;
  prepare_write (j, &b);
  j->slot_write.oldest_at = oldest_at;
  j->slot_write.commit_class = c;
  for (size_t i = 0; i < n; i++)
    free ((char *)b.records[i].body.ptr);
  free (b.records);
  j->first += n;
  if (j->first == j->len)
    j->first = j->len = 0;
}

static void
send_write (KqJournal *j, KqTime now, KqOutbox *out)
{
  char key[KQ_JOURNAL_KEY_MAX];
  const KqSlotWrite *w = &j->slot_write;
  kq_journal_slot_key (j, w->index, key);
  KqStoreOp op = { .kind = KQ_STORE_PUT,
                   .call_class = w->commit_class == KQ_COMMIT_URGENT ? KQ_STORE_URGENT
                                                                     : KQ_STORE_NORMAL,
                   .key = kq_str (key),
                   .value = kq_buf_str (&w->value),
                   .expect = w->expect };
  j->rate_used_until
      = (j->rate_used_until > now ? j->rate_used_until : now) + j->commit_interval;
  kq_journal_send (j, &j->log, &op, now, out);
}

static void
send_read_back (KqJournal *j, KqTime now, KqOutbox *out)
{
  char key[KQ_JOURNAL_KEY_MAX];
  kq_journal_slot_key (j, j->slot_write.index, key);
  KqStoreOp op
      = { .kind = KQ_STORE_GET,
          .call_class = j->slot_write.commit_class == KQ_COMMIT_URGENT ? KQ_STORE_URGENT
                                                                       : KQ_STORE_NORMAL,
          .key = kq_str (key) };
  j->count.read_backs++;
  kq_journal_send (j, &j->log, &op, now, out);
}

void
kq_journal_commit_send (KqJournal *j, KqTime now, KqOutbox *out)
{
  if (j->log.step == KQ_STEP_READ_BACK)
    {
      send_read_back (j, now, out);
      return;
    }
  if (!j->write_pending)
    {
      if (now < kq_journal_commit_due (j))
        return;
      pack_pending (j);
    }
  send_write (j, now, out);
}

/* Records that the prepared block is in the store at `revision`. */
static void
slot_committed (KqJournal *j, uint64_t revision)
{
  const KqSlotWrite *w = &j->slot_write;
  size_t slot = w->index % KQ_JOURNAL_SLOTS;
  assert (w->index == j->next_index && w->last_seq >= j->committed);
  j->slot_revision[slot] = revision;
  j->slot_last[slot] = w->last_seq;
  j->log_bytes += w->value.len;
  j->next_index++;
  j->count.committed_records += w->last_seq - j->committed;
  j->count.commits++;
  j->count.commit_bytes += w->value.len;
  j->committed = w->last_seq;
  j->write_pending = false;
  j->state = KQ_JOURNAL_OPEN;
  kq_journal_set_step (&j->log, KQ_STEP_IDLE);
}

/* Handles a write that failed because the slot's revision isn't the expected one.
 * `value`, the slot's present value (revision 0: none), is our own block from a write
 * whose answer was lost, a block of another owner, or damaged. */
static void
slot_conflict (KqJournal *j, KqStr value, uint64_t revision, KqTime now)
{
  KqBlock b;
  char key[KQ_JOURNAL_KEY_MAX];
  KqResult result = revision != 0 ? kq_block_decode (value, &b) : KQ_ERR_JOURNAL_DAMAGED;
  if (result != KQ_OK)
    {
      kq_journal_slot_key (j, j->slot_write.index, key);
      kq_journal_set_damaged (j, result, kq_str (key),
                              "The next log slot is missing or can't be read.");
      return;
    }
  uint64_t epoch = b.epoch;
  bool ours = b.write_id == j->slot_write.write_id && epoch == j->epoch
              && b.writer == j->self && b.index == j->slot_write.index;
  kq_block_free (&b);
  if (ours)
    slot_committed (j, revision);
  else if (j->state == KQ_JOURNAL_FENCING && epoch <= j->epoch)
    {
      /* The previous owner committed between our read and our fence: read again. */
      j->write_pending = false;
      kq_journal_recover_start (j);
      kq_journal_back_off (j, &j->log, now);
    }
  else
    kq_journal_set_fenced (j, epoch);
}

/* Handles the read of a slot whose write got no answer. If the revision is unchanged, the
 * write must be repeated. */
static void
read_back_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  bool absent = r->result == KQ_ERR_STORE_NOT_FOUND;
  if (r->result != KQ_OK && !absent)
    {
      kq_journal_back_off (j, &j->log, now);
      return;
    }
  uint64_t revision = absent ? 0 : r->revision;
  if (revision == j->slot_write.expect)
    kq_journal_set_step (&j->log, KQ_STEP_WRITE);
  else
    slot_conflict (j, r->value, revision, now);
}

void
kq_journal_commit_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  assert (j->write_pending);
  if (j->log.step == KQ_STEP_READ_BACK)
    {
      read_back_reply (j, r, now);
      return;
    }
  switch (r->result)
    {
    case KQ_OK:
      slot_committed (j, r->revision);
      break;
    case KQ_ERR_STORE_CONFLICT:
      slot_conflict (j, r->value, r->revision, now);
      break;
    case KQ_ERR_STORE_BUSY: /* over the rate of this node or the store; not written */
      kq_journal_back_off (j, &j->log, now);
      break;
    default:
      j->log.step = KQ_STEP_READ_BACK;
      kq_journal_back_off (j, &j->log, now);
    }
}
