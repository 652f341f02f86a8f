#include "shard/journal_state.h"

#include "base/log.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PART "journal"
#define DEFAULT_SHARDS 64
/* Call numbers from here up belong to shard/owner.c. */
#define CALL_NUMBER_LIMIT 0x80000000U

KqJournal *
kq_journal_new (uint32_t shard, KqNodeId self, uint64_t seed)
{
  KqJournal *j = kq_alloc (sizeof *j);
  j->shard = shard;
  j->self = self;
  j->rand = kq_rand (seed);
  /* A random start, so that a late reply to an earlier journal of this shard doesn't
   * match one of our calls. */
  j->next_call_number = (uint32_t)(kq_rand_next (&j->rand) % CALL_NUMBER_LIMIT);
  kq_journal_set_share (j, DEFAULT_SHARDS);
  return j;
}

void
kq_journal_free (KqJournal *j)
{
  if (j == NULL)
    return;
  kq_journal_close (j);
  free (j->pending);
  kq_buf_free (&j->slot_write.value);
  free (j);
}

void
kq_journal_set_share (KqJournal *j, uint32_t n_shards)
{
  assert (n_shards > 0);
  j->commit_interval = KQ_SEC * n_shards / KQ_JOURNAL_FLEET_COMMITS_PER_S;
}

/* Discards all state of the present ownership and stops both lanes. */
static void
drop_state (KqJournal *j)
{
  j->log = (KqStoreLane){ 0 };
  j->snap = (KqStoreLane){ 0 };
  kq_journal_commit_drop (j);
  kq_journal_recover_drop (j);
  kq_journal_snapshot_drop (j);
  kq_part_keys_free (&j->parts);
  kq_part_keys_free (&j->obsolete_parts);
}

void
kq_journal_open (KqJournal *j, uint64_t epoch, KqTime now, KqOutbox *out)
{
  assert (epoch > 0);
  drop_state (j);
  j->epoch = epoch;
  j->rereads = 0;
  j->damage = (KqJournalDamage){ 0 };
  kq_journal_recover_start (j);
  kq_journal_tick (j, now, out);
}

void
kq_journal_close (KqJournal *j)
{
  drop_state (j);
  j->state = KQ_JOURNAL_CLOSED;
}

KqJournalState
kq_journal_state (const KqJournal *j)
{
  return j->state;
}

const KqJournalDamage *
kq_journal_damage (const KqJournal *j)
{
  return j->state == KQ_JOURNAL_DAMAGED ? &j->damage : NULL;
}

const KqJournalCount *
kq_journal_count (const KqJournal *j)
{
  return &j->count;
}

void
kq_journal_set_damaged (KqJournal *j, KqResult code, KqStr key, const char *what)
{
  j->damage.code = code;
  j->damage.what = what;
  snprintf (j->damage.key, sizeof j->damage.key, "%.*s", KQ_STR_ARG (key));
  kq_log (KQ_LOG_ERROR, PART, "Journal refused. shard=%u result=%s key=%s cause=\"%s\"",
          j->shard, kq_result_name (code), j->damage.key, what);
  drop_state (j);
  j->state = KQ_JOURNAL_DAMAGED;
}

void
kq_journal_refuse (KqJournal *j, const KqRecord *r, KqResult why)
{
  char what[64];
  snprintf (what, sizeof what, "type=%u version=%u", r->type, r->version);
  kq_journal_set_damaged (j, why, kq_str (what),
                          "The module that owns a record's type can't read it.");
}

void
kq_journal_set_fenced (KqJournal *j, uint64_t epoch)
{
  kq_log (KQ_LOG_WARN, PART, "Fenced by a successor. shard=%u epoch=%llu successor=%llu",
          j->shard, (unsigned long long)j->epoch, (unsigned long long)epoch);
  drop_state (j);
  j->state = KQ_JOURNAL_FENCED;
}

uint64_t
kq_journal_new_write_id (KqJournal *j)
{
  return kq_rand_next (&j->rand);
}

void
kq_journal_slot_key (const KqJournal *j, uint64_t index, char key[])
{
  snprintf (key, KQ_JOURNAL_KEY_MAX, "log/%u/%u", j->shard,
            (unsigned)(index % KQ_JOURNAL_SLOTS));
}

void
kq_part_keys_add (KqPartKeys *k, const char *key, uint64_t revision)
{
  k->items = kq_realloc (k->items, (k->n + 1) * sizeof *k->items);
  snprintf (k->items[k->n].key, sizeof k->items[k->n].key, "%s", key);
  k->items[k->n].revision = revision;
  k->n++;
}

void
kq_part_keys_free (KqPartKeys *k)
{
  free (k->items);
  *k = (KqPartKeys){ 0 };
}

void
kq_journal_send (KqJournal *j, KqStoreLane *lane, KqStoreOp *op, KqTime now,
                 KqOutbox *out)
{
  assert (lane->call_number == 0);
  j->next_call_number = (j->next_call_number + 1) % CALL_NUMBER_LIMIT;
  if (j->next_call_number == 0)
    j->next_call_number = 1;
  lane->call_number = j->next_call_number;
  lane->sent_at = now;
  op->part = KQ_PART_SHARD;
  op->token = (uint64_t)j->shard << 32 | lane->call_number;
  kq_outbox_store (out, op);
}

void
kq_journal_back_off (KqJournal *j, KqStoreLane *lane, KqTime now)
{
  lane->wait_until = kq_backoff_next (&lane->backoff, &j->rand, now);
}

void
kq_journal_set_step (KqStoreLane *lane, KqStep step)
{
  lane->step = step;
  lane->backoff = 0;
  lane->wait_until = 0;
}

static void
log_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  j->log.call_number = 0;
  switch (j->log.step)
    {
    case KQ_STEP_READ_LOG:
    case KQ_STEP_READ_SNAPSHOT:
      kq_journal_recover_reply (j, r, now);
      break;
    case KQ_STEP_WRITE:
    case KQ_STEP_READ_BACK:
      kq_journal_commit_reply (j, r, now);
      break;
    default:
      assert (false);
    }
}

static void
snap_reply (KqJournal *j, const KqStoreReply *r, KqTime now)
{
  j->snap.call_number = 0;
  kq_journal_snapshot_reply (j, r, now);
}

/* Ends calls that have had no reply for KQ_JOURNAL_REPLY_TIMEOUT, as if the store were
 * unreachable. */
static void
expire_calls (KqJournal *j, KqTime now)
{
  KqStoreReply lost = { .result = KQ_ERR_STORE_UNREACHABLE };
  if (j->log.call_number != 0 && now - j->log.sent_at > KQ_JOURNAL_REPLY_TIMEOUT)
    log_reply (j, &lost, now);
  if (j->snap.call_number != 0 && now - j->snap.sent_at > KQ_JOURNAL_REPLY_TIMEOUT)
    snap_reply (j, &lost, now);
}

void
kq_journal_tick (KqJournal *j, KqTime now, KqOutbox *out)
{
  expire_calls (j, now);
  if (j->log.call_number == 0 && now >= j->log.wait_until)
    {
      if (j->state == KQ_JOURNAL_RECOVERING)
        kq_journal_recover_send (j, now, out);
      else if (j->state == KQ_JOURNAL_FENCING || j->state == KQ_JOURNAL_OPEN)
        kq_journal_commit_send (j, now, out);
    }
  if (j->state == KQ_JOURNAL_OPEN && j->snap.call_number == 0
      && now >= j->snap.wait_until)
    kq_journal_snapshot_send (j, now, out);
}

KqTime
kq_journal_due (const KqJournal *j)
{
  KqTime due = KQ_TIME_NEVER;
  if (j->log.call_number == 0 && j->log.step != KQ_STEP_IDLE)
    due = j->log.wait_until;
  else if (j->log.call_number == 0 && j->state == KQ_JOURNAL_OPEN)
    due = kq_journal_commit_due (j);
  if (j->snap.call_number == 0 && j->snap.step != KQ_STEP_IDLE
      && j->snap.wait_until < due)
    due = j->snap.wait_until;
  return due;
}

bool
kq_journal_reply (KqJournal *j, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  uint32_t call_number = (uint32_t)r->token;
  if (r->part != KQ_PART_SHARD || r->token >> 32 != j->shard
      || call_number >= CALL_NUMBER_LIMIT)
    return false;
  /* A late or repeated reply matches neither lane and is ignored. Its call was already
   * handled: by its first reply, or as a call without an answer, whose outcome is read
   * from the store. */
  if (call_number != 0 && call_number == j->log.call_number)
    log_reply (j, r, now);
  else if (call_number != 0 && call_number == j->snap.call_number)
    snap_reply (j, r, now);
  else
    return true;
  kq_journal_tick (j, now, out);
  return true;
}
