#include "shard/journal_state.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A snapshot may include the effect of records that aren't committed yet. It is written
 * only after these are committed, and is discarded if one of them is withdrawn. The keys
 * of parts contain the snapshot's write id, so no writer ever changes a part that another
 * head refers to; only the head is replaced, by compare-and-swap. */

bool
kq_journal_snapshot_due (const KqJournal *j)
{
  if (j->state != KQ_JOURNAL_OPEN || j->replaying || j->snapshot.building
      || j->snapshot.ready || j->snap.step != KQ_STEP_IDLE)
    return false;
  size_t bytes = j->snapshot_bytes > KQ_JOURNAL_SNAPSHOT_BYTES
                     ? j->snapshot_bytes
                     : KQ_JOURNAL_SNAPSHOT_BYTES;
  uint64_t slots = j->next_index - 1 - j->covered_index;
  return slots >= KQ_JOURNAL_SNAPSHOT_SLOTS || j->log_bytes >= bytes;
}

static void
free_open_part (KqSnapshot *s)
{
  for (size_t i = 0; i < s->open_part.n_records; i++)
    free ((char *)s->open_part.records[i].body.ptr);
  s->open_part.n_records = 0;
  s->open_bytes = 0;
}

void
kq_journal_snapshot_drop (KqJournal *j)
{
  KqSnapshot *s = &j->snapshot;
  free_open_part (s);
  free (s->open_part.records);
  for (size_t i = 0; i < s->n_parts; i++)
    kq_buf_free (&s->parts[i]);
  free (s->parts);
  kq_buf_free (&s->digests);
  kq_buf_free (&s->head);
  kq_part_keys_free (&s->written);
  *s = (KqSnapshot){ 0 };
  j->snap = (KqStoreLane){ 0 };
}

void
kq_journal_snapshot_withdraw (KqJournal *j, KqSeq seq)
{
  KqSnapshot *s = &j->snapshot;
  if ((!s->building && !s->ready) || seq > s->covers)
    return;
  assert (j->snap.call_number == 0 && s->next_part == 0);
  kq_journal_snapshot_drop (j);
}

void
kq_journal_snapshot_begin (KqJournal *j)
{
  KqSnapshot *s = &j->snapshot;
  assert (j->state == KQ_JOURNAL_OPEN && !j->replaying && !s->building && !s->ready);
  assert (j->snap.step == KQ_STEP_IDLE);
  s->building = true;
  s->covers = j->last_appended;
  s->write_id = kq_journal_new_write_id (j);
}

/* Sets the fields that the head and the parts have in common. */
static void
set_origin (const KqJournal *j, KqBlock *b, KqBlockKind kind)
{
  b->kind = kind;
  b->shard = j->shard;
  b->epoch = j->epoch;
  b->writer = j->self;
  b->write_id = j->snapshot.write_id;
}

/* Encodes the part being filled and begins a new one. */
static void
finish_part (KqJournal *j)
{
  KqSnapshot *s = &j->snapshot;
  set_origin (j, &s->open_part, KQ_BLOCK_PART);
  s->open_part.index = s->n_parts;
  s->parts = kq_realloc (s->parts, (s->n_parts + 1) * sizeof *s->parts);
  kq_buf_init (&s->parts[s->n_parts]);
  kq_block_encode (&s->open_part, &s->parts[s->n_parts]);
  kq_buf_add (&s->digests, &s->open_part.digest, sizeof s->open_part.digest);
  s->bytes += s->parts[s->n_parts].len;
  s->n_parts++;
  free_open_part (s);
}

void
kq_journal_snapshot_add (KqJournal *j, const KqRecord *r)
{
  KqSnapshot *s = &j->snapshot;
  assert (s->building && r->type >= 100);
  assert (s->covers == j->last_appended); /* nothing may be appended in between */
  size_t size = r->body.len + 16;
  assert (size < KQ_JOURNAL_BLOCK_BYTES);
  if (s->open_bytes + size > KQ_JOURNAL_BLOCK_BYTES)
    finish_part (j);
  if (s->open_part.n_records == s->open_capacity)
    {
      s->open_capacity = s->open_capacity > 0 ? s->open_capacity * 2 : 64;
      s->open_part.records = kq_realloc (s->open_part.records,
                                         s->open_capacity * sizeof *s->open_part.records);
    }
  KqRecord *copy = &s->open_part.records[s->open_part.n_records++];
  *copy = *r;
  copy->body = kq_str_own (r->body);
  s->open_bytes += size;
}

void
kq_journal_snapshot_end (KqJournal *j, KqTime now, KqOutbox *out)
{
  KqSnapshot *s = &j->snapshot;
  assert (s->building && s->covers == j->last_appended);
  if (s->n_parts > 0)
    finish_part (j);
  s->building = false;
  s->ready = true;
  kq_journal_tick (j, now, out);
}

/* The last position up to which the snapshot covers all records. */
static uint64_t
last_covered_index (const KqJournal *j)
{
  uint64_t index = j->next_index - 1;
  while (index > j->covered_index
         && j->slot_last[index % KQ_JOURNAL_SLOTS] > j->snapshot.covers)
    index--;
  return index;
}

/* Encodes the head. If the snapshot has no parts, the head holds the records itself. */
static void
make_head (KqJournal *j)
{
  KqSnapshot *s = &j->snapshot;
  KqBlock b = { .index = last_covered_index (j),
                .seq = s->covers,
                .parts = kq_buf_str (&s->digests) };
  set_origin (j, &b, KQ_BLOCK_SNAPSHOT);
  if (s->n_parts == 0)
    {
      b.records = s->open_part.records;
      b.n_records = s->open_part.n_records;
    }
  kq_block_encode (&b, &s->head);
  s->bytes += s->head.len;
  free_open_part (s);
}

static void
send_part (KqJournal *j, KqTime now, KqOutbox *out)
{
  KqSnapshot *s = &j->snapshot;
  char key[KQ_JOURNAL_KEY_MAX];
  snprintf (key, sizeof key, "snap/%u/%016llx-%zu", j->shard,
            (unsigned long long)s->write_id, s->next_part);
  KqStoreOp op = { .kind = KQ_STORE_PUT,
                   .key = kq_str (key),
                   .value = kq_buf_str (&s->parts[s->next_part]) };
  kq_journal_send (j, &j->snap, &op, now, out);
}

static void
send_head (KqJournal *j, KqTime now, KqOutbox *out)
{
  char key[KQ_JOURNAL_KEY_MAX];
  snprintf (key, sizeof key, "snap/%u/head", j->shard);
  bool read_back = j->snap.step == KQ_STEP_READ_BACK;
  KqStoreOp op = { .kind = read_back ? KQ_STORE_GET : KQ_STORE_PUT,
                   .key = kq_str (key),
                   .value = read_back ? (KqStr){ 0 } : kq_buf_str (&j->snapshot.head),
                   .expect = j->head_revision };
  kq_journal_send (j, &j->snap, &op, now, out);
}

static void
send_delete_part (KqJournal *j, KqTime now, KqOutbox *out)
{
  const KqPartKey *k = &j->obsolete_parts.items[j->obsolete_parts.n - 1];
  KqStoreOp op
      = { .kind = KQ_STORE_DELETE, .key = kq_str (k->key), .expect = k->revision };
  kq_journal_send (j, &j->snap, &op, now, out);
}

void
kq_journal_snapshot_send (KqJournal *j, KqTime now, KqOutbox *out)
{
  KqSnapshot *s = &j->snapshot;
  if (j->snap.step == KQ_STEP_IDLE)
    {
      if (!s->ready || j->committed < s->covers)
        return;
      make_head (j);
      kq_journal_set_step (&j->snap, s->n_parts > 0 ? KQ_STEP_WRITE_PART : KQ_STEP_WRITE);
    }
  switch (j->snap.step)
    {
    case KQ_STEP_WRITE_PART:
      send_part (j, now, out);
      break;
    case KQ_STEP_WRITE:
    case KQ_STEP_READ_BACK:
      send_head (j, now, out);
      break;
    case KQ_STEP_DELETE_PART:
      send_delete_part (j, now, out);
      break;
    default:
      assert (false);
    }
}

/* Records that the head is in the store at `revision`: the slots that it covers may be
 * overwritten, and the deletion of earlier snapshots' parts begins. */
static void
head_committed (KqJournal *j, uint64_t revision)
{
  KqSnapshot *s = &j->snapshot;
  KqBlock head;
  KqResult result = kq_block_decode (kq_buf_str (&s->head), &head);
  assert (result == KQ_OK);
  (void)result;
  assert (head.seq >= j->covered_seq && head.index >= j->covered_index);
  j->covered_seq = head.seq;
  j->covered_index = head.index;
  kq_block_free (&head);
  j->head_revision = revision;
  j->snapshot_bytes = s->bytes;
  j->log_bytes = 0;
  j->count.snapshots++;
  j->count.snapshot_bytes += s->bytes;
  for (size_t i = 0; i < j->parts.n; i++)
    kq_part_keys_add (&j->obsolete_parts, j->parts.items[i].key,
                      j->parts.items[i].revision);
  kq_part_keys_free (&j->parts);
  j->parts = s->written;
  s->written = (KqPartKeys){ 0 };
  kq_journal_snapshot_drop (j);
  kq_journal_set_step (&j->snap,
                       j->obsolete_parts.n > 0 ? KQ_STEP_DELETE_PART : KQ_STEP_IDLE);
}

/* Handles a write of the head that failed because its revision isn't the expected one. If
 * the head in the store is a previous owner's, written late, it is an older snapshot of
 * the same log and is replaced. A successor's head means that we are fenced. */
static void
head_conflict (KqJournal *j, KqStr value, uint64_t revision)
{
  KqBlock b;
  char key[KQ_JOURNAL_KEY_MAX];
  KqResult result = revision != 0 ? kq_block_decode (value, &b) : KQ_ERR_JOURNAL_DAMAGED;
  if (result != KQ_OK)
    {
      snprintf (key, sizeof key, "snap/%u/head", j->shard);
      kq_journal_set_damaged (j, result, kq_str (key),
                              "The snapshot's head is missing or can't be read.");
      return;
    }
  uint64_t epoch = b.epoch;
  bool ours = epoch == j->epoch && b.write_id == j->snapshot.write_id;
  kq_block_free (&b);
  if (ours)
    head_committed (j, revision);
  else if (epoch > j->epoch)
    kq_journal_set_fenced (j, epoch);
  else
    {
      j->head_revision = revision;
      kq_journal_set_step (&j->snap, KQ_STEP_WRITE);
    }
}

static void
head_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  bool read_back = j->snap.step == KQ_STEP_READ_BACK;
  bool absent = read_back && r->result == KQ_ERR_STORE_NOT_FOUND;
  uint64_t revision = absent ? 0 : r->revision;
  if (r->result == KQ_OK && !read_back)
    head_committed (j, r->revision);
  else if (r->result == KQ_ERR_STORE_CONFLICT)
    head_conflict (j, r->value, r->revision);
  else if (absent || r->result == KQ_OK)
    {
      if (revision == j->head_revision)
        kq_journal_set_step (&j->snap, KQ_STEP_WRITE);
      else
        head_conflict (j, r->value, revision);
    }
  else
    {
      if (r->result != KQ_ERR_STORE_BUSY)
        j->snap.step = KQ_STEP_READ_BACK;
      kq_journal_back_off (j, &j->snap, now);
    }
}

/* Handles the reply to the write of a part. Nobody else writes to the part's key, so a
 * conflict means that an earlier try of the same write took effect. */
static void
part_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  KqSnapshot *s = &j->snapshot;
  char key[KQ_JOURNAL_KEY_MAX];
  bool conflict = r->result == KQ_ERR_STORE_CONFLICT;
  if (r->result != KQ_OK && !conflict)
    {
      kq_journal_back_off (j, &j->snap, now);
      return;
    }
  snprintf (key, sizeof key, "snap/%u/%016llx-%zu", j->shard,
            (unsigned long long)s->write_id, s->next_part);
  if (conflict && !kq_str_eq (r->value, kq_buf_str (&s->parts[s->next_part])))
    {
      kq_journal_set_damaged (j, KQ_ERR_JOURNAL_DAMAGED, kq_str (key),
                              "A snapshot part was overwritten.");
      return;
    }
  kq_part_keys_add (&s->written, key, r->revision);
  s->next_part++;
  kq_journal_set_step (&j->snap,
                       s->next_part < s->n_parts ? KQ_STEP_WRITE_PART : KQ_STEP_WRITE);
}

void
kq_journal_snapshot_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  switch (j->snap.step)
    {
    case KQ_STEP_WRITE_PART:
      part_reply (j, r, now);
      break;
    case KQ_STEP_WRITE:
    case KQ_STEP_READ_BACK:
      head_reply (j, r, now);
      break;
    case KQ_STEP_DELETE_PART:
      /* A failed deletion isn't repeated: the next owner lists the key and deletes it. */
      j->obsolete_parts.n--;
      kq_journal_set_step (&j->snap,
                           j->obsolete_parts.n > 0 ? KQ_STEP_DELETE_PART : KQ_STEP_IDLE);
      break;
    default:
      assert (false);
    }
}
