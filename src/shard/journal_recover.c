#include "shard/journal_state.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The log is read first, then the snapshot. If the previous owner still writes in
 * between, the snapshot can only be newer than the log that was read. In that case the
 * slot for our fence has been written too, so the fence fails and everything is read
 * again. */

static void
free_blocks (KqBlock **blocks, size_t *n)
{
  for (size_t i = 0; i < *n; i++)
    kq_block_free (&(*blocks)[i]);
  free (*blocks);
  *blocks = NULL;
  *n = 0;
}

void
kq_journal_recover_drop (KqJournal *j)
{
  free_blocks (&j->blocks, &j->n_blocks);
  free_blocks (&j->snapshot_blocks, &j->n_snapshot_blocks);
  kq_block_free (&j->head);
  j->replaying = false;
  j->replay_block = j->replay_record = 0;
}

void
kq_journal_recover_start (KqJournal *j)
{
  kq_journal_recover_drop (j);
  memset (j->slot_revision, 0, sizeof j->slot_revision);
  memset (j->slot_last, 0, sizeof j->slot_last);
  kq_part_keys_free (&j->parts);
  kq_part_keys_free (&j->obsolete_parts);
  j->head_revision = 0;
  j->covered_seq = j->covered_index = 0;
  j->log_bytes = j->snapshot_bytes = 0;
  j->state = KQ_JOURNAL_RECOVERING;
  kq_journal_set_step (&j->log, KQ_STEP_READ_LOG);
}

void
kq_journal_recover_send (KqJournal *j, KqTime now, KqOutbox *out)
{
  char prefix[KQ_JOURNAL_KEY_MAX];
  const char *kind = j->log.step == KQ_STEP_READ_LOG ? "log" : "snap";
  snprintf (prefix, sizeof prefix, "%s/%u/", kind, j->shard);
  KqStoreOp op = { .kind = KQ_STORE_LIST, .key = kq_str (prefix) };
  kq_journal_send (j, &j->log, &op, now, out);
}

static int
by_index (const void *a, const void *b)
{
  const KqBlock *x = a;
  const KqBlock *y = b;
  return x->index < y->index ? -1 : x->index > y->index;
}

/* Parses the slot number at the end of log/<shard>/<i>; false: not a valid slot. */
static bool
parse_slot (KqStr key, uint64_t *slot)
{
  KqStr rest = key;
  kq_str_cut (&rest, '/');
  kq_str_cut (&rest, '/');
  return kq_str_to_u64 (rest, slot) && *slot < KQ_JOURNAL_SLOTS;
}

/* Decodes one slot of the log. A slot that can't be read ends the recovery: it may hold
 * the newest records, which may have been acknowledged. */
static bool
load_slot (KqJournal *j, const KqStoreItem *item)
{
  uint64_t slot = 0;
  KqBlock *b = &j->blocks[j->n_blocks];
  KqResult result = kq_block_decode (item->value, b);
  if (result != KQ_OK)
    {
      kq_journal_set_damaged (j, result, item->key, "A log slot can't be read.");
      return false;
    }
  j->n_blocks++;
  if (!parse_slot (item->key, &slot) || b->kind != KQ_BLOCK_SLOT || b->shard != j->shard
      || b->index == 0 || b->index % KQ_JOURNAL_SLOTS != slot)
    {
      kq_journal_set_damaged (j, KQ_ERR_JOURNAL_DAMAGED, item->key,
                              "A log slot holds a block of another slot or shard.");
      return false;
    }
  j->slot_revision[slot] = item->revision;
  j->slot_last[slot] = b->seq + b->n_records - 1;
  return true;
}

static void
load_log (KqJournal *j, const KqStoreReply *r)
{
  j->blocks = kq_alloc ((r->n_items + 1) * sizeof *j->blocks);
  for (size_t i = 0; i < r->n_items; i++)
    if (!load_slot (j, &r->items[i]))
      return;
  if (j->n_blocks > 0)
    qsort (j->blocks, j->n_blocks, sizeof *j->blocks, by_index);
  kq_journal_set_step (&j->log, KQ_STEP_READ_SNAPSHOT);
}

static const KqStoreItem *
find_item (const KqStoreReply *r, const char *key)
{
  for (size_t i = 0; i < r->n_items; i++)
    if (kq_str_eq (r->items[i].key, kq_str (key)))
      return &r->items[i];
  return NULL;
}

static uint64_t
digest_at (KqStr digests, size_t k)
{
  uint64_t v = 0;
  memcpy (&v, digests.ptr + k * sizeof v, sizeof v);
  return v;
}

/* Loads part k of the snapshot that j->head describes. */
static bool
load_part (KqJournal *j, const KqStoreReply *r, size_t k)
{
  char key[KQ_JOURNAL_KEY_MAX];
  snprintf (key, sizeof key, "snap/%u/%016llx-%zu", j->shard,
            (unsigned long long)j->head.write_id, k);
  const KqStoreItem *item = find_item (r, key);
  KqBlock *b = &j->snapshot_blocks[j->n_snapshot_blocks];
  KqResult result
      = item != NULL ? kq_block_decode (item->value, b) : KQ_ERR_JOURNAL_DAMAGED;
  if (result != KQ_OK)
    {
      kq_journal_set_damaged (j, result, kq_str (key), "A snapshot part can't be read.");
      return false;
    }
  j->n_snapshot_blocks++;
  j->snapshot_bytes += item->value.len;
  if (b->kind != KQ_BLOCK_PART || b->shard != j->shard || b->index != k
      || b->digest != digest_at (j->head.parts, k))
    {
      kq_journal_set_damaged (j, KQ_ERR_JOURNAL_DAMAGED, kq_str (key),
                              "A snapshot part doesn't match the snapshot's head.");
      return false;
    }
  return true;
}

static bool
load_head (KqJournal *j, const KqStoreReply *r)
{
  char key[KQ_JOURNAL_KEY_MAX];
  snprintf (key, sizeof key, "snap/%u/head", j->shard);
  const KqStoreItem *item = find_item (r, key);
  if (item == NULL)
    return true;
  KqResult result = kq_block_decode (item->value, &j->head);
  bool valid = result == KQ_OK && j->head.kind == KQ_BLOCK_SNAPSHOT
               && j->head.shard == j->shard && j->head.parts.len % 8 == 0;
  if (!valid)
    {
      kq_journal_set_damaged (j, result != KQ_OK ? result : KQ_ERR_JOURNAL_DAMAGED,
                              item->key, "The snapshot's head can't be read.");
      return false;
    }
  j->head_revision = item->revision;
  j->covered_seq = j->head.seq;
  j->covered_index = j->head.index;
  j->snapshot_bytes = item->value.len;
  size_t n = j->head.parts.len / 8;
  j->snapshot_blocks = kq_alloc ((n + 1) * sizeof *j->snapshot_blocks);
  for (size_t k = 0; k < n; k++)
    if (!load_part (j, r, k))
      return false;
  if (n == 0)
    {
      j->snapshot_blocks[j->n_snapshot_blocks++] = j->head;
      j->head = (KqBlock){ 0 };
    }
  return true;
}

/* Remembers all part keys under snap/<shard>/. These parts may be deleted once we have
 * written a head of our own. */
static void
remember_part_keys (KqJournal *j, const KqStoreReply *r)
{
  for (size_t i = 0; i < r->n_items; i++)
    if (!kq_str_has_suffix (r->items[i].key, KQ_STR ("/head"))
        && r->items[i].key.len < KQ_JOURNAL_KEY_MAX)
      {
        char key[KQ_JOURNAL_KEY_MAX];
        snprintf (key, sizeof key, "%.*s", KQ_STR_ARG (r->items[i].key));
        kq_part_keys_add (&j->parts, key, r->items[i].revision);
      }
}

/* Discards the log blocks that the snapshot covers. */
static void
discard_covered (KqJournal *j)
{
  size_t n = 0;
  while (n < j->n_blocks && j->blocks[n].index <= j->covered_index)
    kq_block_free (&j->blocks[n++]);
  memmove (j->blocks, j->blocks + n, (j->n_blocks - n) * sizeof *j->blocks);
  j->n_blocks -= n;
}

/* Checks that positions and sequence numbers have no gaps and that epochs don't decrease,
 * and sets j->last_appended; false: the journal is DAMAGED. */
static bool
check_continuity (KqJournal *j, uint64_t last_index)
{
  uint64_t index = j->covered_index;
  KqSeq last = j->covered_seq;
  uint64_t epoch = 0;
  for (size_t i = 0; i < j->n_blocks; i++)
    {
      const KqBlock *b = &j->blocks[i];
      bool follows = i == 0 ? b->seq <= last + 1 : b->seq == last + 1;
      if (b->index != index + 1 || !follows || b->epoch < epoch)
        {
          char key[KQ_JOURNAL_KEY_MAX];
          kq_journal_slot_key (j, index + 1, key);
          kq_journal_set_damaged (j, KQ_ERR_JOURNAL_DAMAGED, kq_str (key),
                                  "A log slot is missing or out of order.");
          return false;
        }
      index = b->index;
      last = b->seq + b->n_records - 1;
      epoch = b->epoch;
      j->log_bytes += b->n_bytes;
    }
  assert (index == last_index);
  j->last_appended = last > j->covered_seq ? last : j->covered_seq;
  return true;
}

/* Called when log and snapshot are read: checks that they are consistent, then prepares
 * the fence. */
static void
finish_read (KqJournal *j, KqTime now)
{
  uint64_t last_index = j->n_blocks > 0 ? j->blocks[j->n_blocks - 1].index : 0;
  uint64_t epoch = j->n_blocks > 0 ? j->blocks[j->n_blocks - 1].epoch : 0;
  if (epoch > j->epoch)
    {
      kq_journal_set_fenced (j, epoch);
      return;
    }
  if (last_index < j->covered_index)
    {
      if (++j->rereads > KQ_JOURNAL_REREADS_MAX)
        kq_journal_set_damaged (j, KQ_ERR_JOURNAL_DAMAGED, KQ_STR (""),
                                "The snapshot covers more positions than the log has.");
      else
        {
          kq_journal_recover_start (j);
          kq_journal_back_off (j, &j->log, now);
        }
      return;
    }
  discard_covered (j);
  if (!check_continuity (j, last_index))
    return;
  j->next_index = last_index + 1;
  j->committed = j->last_in_block = j->last_appended;
  j->replaying = true;
  kq_journal_fence (j, now);
}

void
kq_journal_recover_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  if (r->result != KQ_OK)
    {
      kq_journal_back_off (j, &j->log, now);
      return;
    }
  if (j->log.step == KQ_STEP_READ_LOG)
    load_log (j, r);
  else if (load_head (j, r))
    {
      remember_part_keys (j, r);
      finish_read (j, now);
    }
}

/* The block at the replay position; NULL: all were replayed. */
static const KqBlock *
replayed_block (const KqJournal *j)
{
  if (j->replay_block < j->n_snapshot_blocks)
    return &j->snapshot_blocks[j->replay_block];
  size_t i = j->replay_block - j->n_snapshot_blocks;
  return i < j->n_blocks ? &j->blocks[i] : NULL;
}

/* Whether the record at the replay position has to be applied, because the snapshot
 * doesn't cover it and it wasn't withdrawn. */
static bool
must_apply (const KqJournal *j, const KqBlock *b)
{
  const KqRecord *r = &b->records[j->replay_record];
  bool covered = b->kind == KQ_BLOCK_SLOT && b->seq + j->replay_record <= j->covered_seq;
  return !covered && r->type != KQ_RECORD_VOID;
}

bool
kq_journal_next_record (KqJournal *j, KqRecord *out)
{
  if (j->state != KQ_JOURNAL_OPEN || !j->replaying)
    return false;
  const KqBlock *b;
  while ((b = replayed_block (j)) != NULL)
    {
      if (j->replay_record == b->n_records)
        {
          j->replay_block++;
          j->replay_record = 0;
          continue;
        }
      if (!must_apply (j, b))
        {
          j->replay_record++;
          continue;
        }
      *out = b->records[j->replay_record++];
      if (out->type >= 100)
        return true;
      kq_journal_refuse (j, out, KQ_ERR_JOURNAL_VERSION);
      return false;
    }
  kq_journal_recover_drop (j);
  return false;
}
