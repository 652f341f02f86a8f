#ifndef KQ_SHARD_JOURNAL_STATE_H
#define KQ_SHARD_JOURNAL_STATE_H

/* journal_state: declarations shared by the files of the journal. Internal to it.
 *
 * Two independent sequences of store calls ("lanes") run at the same time, each with at
 * most one call in flight: the log lane (reads at recovery, then the fence and commits)
 * and the snapshot lane. A lane's step says which call is next or in flight; tick sends
 * it once `wait_until` has passed. */

#include "base/rand.h"
#include "shard/backoff.h"
#include "shard/journal.h"
#include "shard/journal_block.h"

/* Slots of the ring, read by one LIST at recovery. At 4 commits per second it fills in
 * 64 s. A snapshot is due when three quarters are used, which leaves 16 s to write it. */
#define KQ_JOURNAL_SLOTS 256
#define KQ_JOURNAL_SNAPSHOT_SLOTS (KQ_JOURNAL_SLOTS * 3 / 4)
/* Slots that commits leave free for the fences of later owners. If the ring were full, no
 * new owner could write its fence and the journal could never be opened again. */
#define KQ_JOURNAL_FENCE_SLOTS 32
/* A snapshot is also due once the log has this many bytes and at least as many as the
 * last snapshot. So recovery reads at most about twice the size of the state, and
 * snapshots write at most as many bytes as the log. */
#define KQ_JOURNAL_SNAPSHOT_BYTES ((size_t)256 * 1024)
/* Limit for the records of one block; the rest of the store's value limit is for the
 * block's fields. */
#define KQ_JOURNAL_BLOCK_BYTES ((size_t)900 * 1000)
/* Burst of the commit rate limit, in commits, and the burst added to it while urgent
 * records are pending. Eight commits cover the start and the end of a job. The urgent
 * burst equals 2 s of the rate at 4 per second, longer than the 1.6 s within which urgent
 * work must start. */
#define KQ_JOURNAL_BURST 8
#define KQ_JOURNAL_URGENT_BURST 8
/* A call without a reply counts as KQ_ERR_STORE_UNREACHABLE after this time. The store
 * client answers every call, so a missing reply is a fault inside this process. */
#define KQ_JOURNAL_REPLY_TIMEOUT (30 * KQ_SEC)
/* How many times recovery reads again if the snapshot is newer than the log. A late write
 * of the previous owner can cause that state; if it lasts longer, the journal counts as
 * damaged. */
#define KQ_JOURNAL_REREADS_MAX 5
#define KQ_JOURNAL_KEY_MAX 96

/* Type of an empty record that replaces a withdrawn one, so that sequence numbers have no
 * gap. */
#define KQ_RECORD_VOID 1

typedef enum
{
  KQ_STEP_IDLE,
  KQ_STEP_READ_LOG,
  KQ_STEP_READ_SNAPSHOT,
  KQ_STEP_WRITE,      /* log lane: the prepared block; snapshot lane: the head */
  KQ_STEP_READ_BACK,  /* read the key after a write without an answer */
  KQ_STEP_WRITE_PART, /* snapshot lane: write the next part */
  KQ_STEP_DELETE_PART /* snapshot lane: delete a part that no head refers to */
} KqStep;

typedef struct
{
  KqStep step;
  uint32_t call_number; /* of the call in flight; 0: none */
  KqTime sent_at;       /* when the call in flight was sent */
  KqTime wait_until;    /* the next call isn't sent before this time */
  KqTime backoff;       /* last delay after a failure; see kq_backoff_next */
} KqStoreLane;

typedef struct
{
  KqRecord record; /* owns its body */
  KqTime appended_at;
  KqCommitClass commit_class;
} KqPendingRecord;

/* The block being written to the next slot. Its bytes never change once it is prepared,
 * so a delayed first write and a retry have the same effect; its records can't be
 * withdrawn. */
typedef struct
{
  KqBuf value;
  uint64_t index;
  uint64_t write_id;
  uint64_t expect;  /* present revision of the slot's key, expected by the write */
  KqSeq last_seq;   /* the block's last record */
  KqTime oldest_at; /* when the block's oldest record was appended */
  KqCommitClass commit_class;
} KqSlotWrite;

typedef struct
{
  char key[KQ_JOURNAL_KEY_MAX];
  uint64_t revision;
} KqPartKey;

typedef struct
{
  KqPartKey *items;
  size_t n;
} KqPartKeys;

/* A snapshot being made, from _begin until its head is in the store. */
typedef struct
{
  bool building;
  bool ready;   /* _end was called */
  KqSeq covers; /* the last record whose effect is in it */
  uint64_t write_id;
  KqBlock open_part; /* the part being filled; owns the bodies of its records */
  size_t open_capacity;
  size_t open_bytes;
  KqBuf *parts; /* encoded parts */
  size_t n_parts;
  size_t next_part;   /* index of the next part to be written */
  KqBuf digests;      /* of the parts, 8 bytes each */
  KqBuf head;         /* encoded head */
  size_t bytes;       /* size of the parts and the head */
  KqPartKeys written; /* keys of the parts that are in the store */
} KqSnapshot;

struct KqJournal
{
  uint32_t shard;
  KqNodeId self;
  KqRand rand;
  uint32_t next_call_number;
  KqJournalState state;
  uint64_t epoch;
  KqJournalDamage damage;
  KqJournalCount count;

  KqStoreLane log;
  uint64_t slot_revision[KQ_JOURNAL_SLOTS];
  KqSeq slot_last[KQ_JOURNAL_SLOTS]; /* last record in the slot or, if empty, before it */
  uint64_t next_index;               /* position of the next block, from 1 */
  size_t log_bytes;                  /* bytes written to the log since the snapshot */
  KqSeq last_appended;               /* last record appended */
  KqSeq last_in_block;               /* last record in a prepared or written block */
  KqSeq committed;
  /* Records that aren't in a block yet: items `first` to `len` - 1. The sequence number
   * of the item `first` is last_in_block + 1. */
  KqPendingRecord *pending;
  size_t first, len, capacity;
  size_t n_urgent;    /* number of pending records of class URGENT */
  bool write_pending; /* `slot_write` isn't acknowledged yet */
  KqSlotWrite slot_write;
  KqTime commit_interval; /* time between commits at the allowed rate */
  KqTime rate_used_until; /* state of the rate limit; see rate_allows_at */

  /* What recovery has read; kept until all records are replayed. */
  KqBlock *blocks; /* log slots after the snapshot, by index */
  size_t n_blocks;
  KqBlock *snapshot_blocks; /* parts in order, or a head without parts */
  size_t n_snapshot_blocks;
  KqBlock head;
  size_t replay_block;  /* block of the next record to be replayed: an index that runs
                           over snapshot_blocks, then over blocks */
  size_t replay_record; /* index of the next record in that block */
  bool replaying;       /* kq_journal_next_record hasn't returned all records yet */
  int rereads;          /* repeated reads so far; see KQ_JOURNAL_REREADS_MAX */

  KqStoreLane snap;
  KqSnapshot snapshot;
  KqSeq covered_seq;      /* last record covered by the snapshot in the store */
  uint64_t covered_index; /* slots up to this position may be overwritten */
  uint64_t head_revision;
  size_t snapshot_bytes; /* size of the snapshot in the store */
  KqPartKeys parts;      /* part keys in the store that the next head makes obsolete */
  KqPartKeys obsolete_parts; /* part keys to delete now */
};

/* journal.c */
/* Logs the damage, drops the state in memory and makes the journal DAMAGED. */
void kq_journal_set_damaged (KqJournal *j, KqResult code, KqStr key, const char *what);
/* Makes the journal FENCED: a block of a later owner with this epoch was found. */
void kq_journal_set_fenced (KqJournal *j, uint64_t epoch);
/* Sends a store call on the lane, which must have none in flight (asserted). Sets the
 * call's part and token. */
void kq_journal_send (KqJournal *j, KqStoreLane *lane, KqStoreOp *op, KqTime now,
                      KqOutbox *out);
/* Delays the lane's next call after a failure. */
void kq_journal_back_off (KqJournal *j, KqStoreLane *lane, KqTime now);
/* Sets the lane's next step, to be sent without delay. */
void kq_journal_set_step (KqStoreLane *lane, KqStep step);
/* Writes the key of the slot for position `index` to key (KQ_JOURNAL_KEY_MAX bytes). */
void kq_journal_slot_key (const KqJournal *j, uint64_t index, char key[]);
void kq_part_keys_add (KqPartKeys *k, const char *key, uint64_t revision);
void kq_part_keys_free (KqPartKeys *k);
/* Returns a new random id, by which a write is recognized when it is read back. */
uint64_t kq_journal_new_write_id (KqJournal *j);

/* journal_recover.c */
/* Recovery: _start begins to read from the store, _send sends the lane's next read,
 * _reply handles its reply, and _drop frees what was read. */
void kq_journal_recover_start (KqJournal *j);
void kq_journal_recover_send (KqJournal *j, KqTime now, KqOutbox *out);
void kq_journal_recover_reply (KqJournal *j, const KqStoreReply *r, KqTime now);
void kq_journal_recover_drop (KqJournal *j);

/* journal_commit.c */
/* Prepares the fence block for the next slot; DAMAGED if no slot is left. */
void kq_journal_fence (KqJournal *j, KqTime now);
void kq_journal_commit_send (KqJournal *j, KqTime now, KqOutbox *out);
void kq_journal_commit_reply (KqJournal *j, const KqStoreReply *r, KqTime now);
/* When the next commit may be sent; KQ_TIME_NEVER: no record is pending, or the journal
 * can't commit at present. */
KqTime kq_journal_commit_due (const KqJournal *j);
/* Discards the pending records and the prepared block. */
void kq_journal_commit_drop (KqJournal *j);

/* journal_snapshot.c */
void kq_journal_snapshot_send (KqJournal *j, KqTime now, KqOutbox *out);
void kq_journal_snapshot_reply (KqJournal *j, const KqStoreReply *r, KqTime now);
/* Discards a snapshot in progress and stops its lane. */
void kq_journal_snapshot_drop (KqJournal *j);
/* Called when the record `seq` was withdrawn: discards a snapshot in progress that
 * includes its effect. */
void kq_journal_snapshot_withdraw (KqJournal *j, KqSeq seq);

#endif
