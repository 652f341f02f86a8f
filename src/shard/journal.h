#ifndef KQ_SHARD_JOURNAL_H
#define KQ_SHARD_JOURNAL_H

/* journal: the write-ahead log of one shard, in the store.
 *
 * Keys: log/<shard>/<i> for the slots of a ring buffer, snap/<shard>/... for the snapshot
 * (its head and its parts). A commit packs all pending records into one block and writes
 * it to the next slot by compare-and-swap against the revision last seen there. One write
 * is in flight at a time (group commit). A new owner, whose epoch is higher, reads the
 * log and the snapshot, then writes a fence (a block without records) to the next slot.
 * The old owner's next commit goes to the same slot, fails there, and the old owner steps
 * down.
 *
 * Records are applied to memory when they are appended. Output that must not be sent
 * before its record is committed waits in a KqHold (shard/hold.h). A node that loses
 * ownership drops the shard's whole state in memory. */

#include "base/result.h"
#include "port/outbox.h"

/* Sequence number of a record, never reused within a shard; 0: none. */
typedef uint64_t KqSeq;

/* Types 1-99 belong to the journal, 100-199 to claims, 200-299 to jobs. */
typedef struct
{
  uint16_t type;
  uint8_t version;
  KqStr body; /* msgpack; its fields are defined by the module that owns the type */
} KqRecord;

typedef enum
{
  KQ_COMMIT_NORMAL,
  KQ_COMMIT_URGENT /* may use the reserved part of the write rate */
} KqCommitClass;

typedef enum
{
  KQ_JOURNAL_CLOSED,     /* this node isn't the owner */
  KQ_JOURNAL_RECOVERING, /* reading log and snapshot */
  KQ_JOURNAL_FENCING,    /* the fence block is being written */
  KQ_JOURNAL_OPEN,
  KQ_JOURNAL_FENCED, /* a later owner has written to the log or the snapshot; the caller
                        must drop the shard's state */
  KQ_JOURNAL_DAMAGED /* can't be read or continued; see kq_journal_damage */
} KqJournalState;

/* Why the journal became DAMAGED. */
typedef struct
{
  KqResult code;    /* KQ_ERR_JOURNAL_DAMAGED, _VERSION or _FULL */
  char key[96];     /* the key in the store; "" if no single key is at fault */
  const char *what; /* description, a static string */
} KqJournalDamage;

/* Totals since kq_journal_new. */
typedef struct
{
  uint64_t commits;
  uint64_t committed_records;
  uint64_t commit_bytes;
  uint64_t read_backs; /* reads of a slot whose write got no answer */
  uint64_t snapshots;
  uint64_t snapshot_bytes;
} KqJournalCount;

/* Commits per second that all shards of the fleet may make together. The store is
 * specified for several hundred writes per second: with the lease renewals of 100 nodes
 * (one per 3 s each, 33/s) and the snapshots, 256 stays below 400. */
#define KQ_JOURNAL_FLEET_COMMITS_PER_S 256

typedef struct KqJournal KqJournal;

KqJournal *kq_journal_new (uint32_t shard, KqNodeId self, uint64_t seed);
void kq_journal_free (KqJournal *j);

/* Starts recovery. `epoch` is the one already written to own/<shard> (shard/owner.h). */
void kq_journal_open (KqJournal *j, uint64_t epoch, KqTime now, KqOutbox *out);
/* Discards the state in memory, including pending records, and writes nothing more. */
void kq_journal_close (KqJournal *j);
KqJournalState kq_journal_state (const KqJournal *j);

/* Replay: once the journal is OPEN, returns the recovered records in order, each exactly
 * once; false when there is none left (or the journal isn't OPEN). All must be taken
 * before the first append. The body is valid until the next call. */
bool kq_journal_next_record (KqJournal *j, KqRecord *out);

/* Appends a copy of a record and returns its sequence number. The journal must be OPEN
 * and replayed (asserted). */
KqSeq kq_journal_append (KqJournal *j, const KqRecord *r, KqCommitClass c, KqTime now);
/* The last record such that it and all records before it are in the store. */
KqSeq kq_journal_committed (const KqJournal *j);
/* Cancels a record that isn't in a write yet. KQ_OK: it will never be written.
 * KQ_ERR_COMMIT_UNKNOWN: its write has been prepared or sent, or it is committed. */
KqResult kq_journal_withdraw (KqJournal *j, KqSeq seq);
/* Age of the oldest record that isn't in the store yet, at least 1; 0: there is none. */
KqTime kq_journal_lag (const KqJournal *j, KqTime now);

/* True when a snapshot is due. The caller then calls kq_journal_snapshot_begin, adds the
 * records that rebuild its present state, and calls kq_journal_snapshot_end. It must not
 * append records between begin and end (asserted). */
bool kq_journal_snapshot_due (const KqJournal *j);
void kq_journal_snapshot_begin (KqJournal *j);
void kq_journal_snapshot_add (KqJournal *j, const KqRecord *r);
void kq_journal_snapshot_end (KqJournal *j, KqTime now, KqOutbox *out);

/* Sends the store calls that are due: reads, commits, retries, snapshot writes. Their
 * tokens are shard << 32 | call number. */
void kq_journal_tick (KqJournal *j, KqTime now, KqOutbox *out);
/* Handles the reply to a store call; false: not a call of this journal. Call numbers
 * below 2^31 belong to the journal, those from 2^31 up to the owner module. */
bool kq_journal_reply (KqJournal *j, const KqStoreReply *r, KqTime now, KqOutbox *out);
/* Time at which kq_journal_tick next has something to do; KQ_TIME_NEVER: nothing to do
 * until a reply or another call changes the state. */
KqTime kq_journal_due (const KqJournal *j);

/* Sets this journal's commit rate to KQ_JOURNAL_FLEET_COMMITS_PER_S / n_shards. The
 * default is 64 shards, 4 commits per second. */
void kq_journal_set_share (KqJournal *j, uint32_t n_shards);
/* Makes the journal DAMAGED with the code `why`. Called by the module that owns the
 * record's type when it can't read a replayed record (unknown type or version, malformed
 * body). */
void kq_journal_refuse (KqJournal *j, const KqRecord *r, KqResult why);
const KqJournalDamage *kq_journal_damage (const KqJournal *j); /* NULL: not damaged */
const KqJournalCount *kq_journal_count (const KqJournal *j);

#endif
