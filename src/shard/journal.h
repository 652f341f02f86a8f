#ifndef KQ_SHARD_JOURNAL_H
#define KQ_SHARD_JOURNAL_H

/* journal: the records of one shard in the store, fenced by position.
 *
 * Keys: log/<shard>/<i> for the slots of a ring, snap/<shard>/<k> for the parts of the
 * snapshot. A commit packs all waiting records into ONE slot, swapped against the
 * revision last seen there. One write is in flight at a time (group commit). A new owner
 * raises the epoch, reads snapshot and slots, then writes a fence record into the next
 * slot; the old owner's next swap fails there, and it steps down.
 *
 * Records are applied to memory when they are appended; what must not leave the process
 * before they are in the store waits in a KqHold (shard/hold.h). Ownership lost means
 * that all of that memory is dropped. */

#include "base/result.h"
#include "port/outbox.h"

typedef uint64_t KqSeq; /* counts the shard's records over its whole life; 0: none */

/* Types 1-99 belong to the journal, 100-199 to claims, 200-299 to jobs. */
typedef struct
{
  uint16_t type;
  uint8_t version;
  KqStr body; /* msgpack; the owner of the type knows the fields */
} KqRecord;

typedef enum
{
  KQ_COMMIT_NORMAL,
  KQ_COMMIT_URGENT /* may spend the reserve of the write budget */
} KqCommitClass;

typedef enum
{
  KQ_JOURNAL_CLOSED,     /* not owner */
  KQ_JOURNAL_RECOVERING, /* reading; records come out by kq_journal_next_record */
  KQ_JOURNAL_FENCING,    /* fence record being written */
  KQ_JOURNAL_OPEN,
  KQ_JOURNAL_FENCED, /* a successor wrote; everything must be dropped */
  KQ_JOURNAL_DAMAGED /* a record doesn't match its digest; see the log */
} KqJournalState;

/* What was found when the journal became DAMAGED. */
typedef struct
{
  KqResult code;    /* KQ_ERR_JOURNAL_DAMAGED, _VERSION or _FULL */
  char key[96];     /* the store's key; "" when no single one */
  const char *what; /* one sentence */
} KqJournalDamage;

/* Work done since the journal was made; for counters and benches. */
typedef struct
{
  uint64_t commits;
  uint64_t committed_records;
  uint64_t commit_bytes;
  uint64_t checks; /* read-backs after a lost answer */
  uint64_t snapshots;
  uint64_t snapshot_bytes;
} KqJournalCount;

/* Writes a second that all shards of the fleet may spend on commits. The store takes
 * "several hundred": with one lease renewal every 3 s for each of 100 nodes (33/s) and
 * the snapshots, 256 stays below 400. */
#define KQ_JOURNAL_COMMITS_FLEET 256

typedef struct KqJournal KqJournal;

KqJournal *kq_journal_new (uint32_t shard, KqNodeId self, uint64_t seed);
void kq_journal_free (KqJournal *j);

/* Starts recovery under an epoch that `own/<shard>` already carries. */
void kq_journal_open (KqJournal *j, uint64_t epoch, KqTime now, KqOutbox *out);
/* Drops everything in memory; nothing is written any more. */
void kq_journal_close (KqJournal *j);
KqJournalState kq_journal_state (const KqJournal *j);

/* While RECOVERING and at the change to OPEN: the next record to apply, in order, each
 * exactly once; false when there is none at present. Valid until the next call. */
bool kq_journal_next_record (KqJournal *j, KqRecord *out);

/* Adds a record (OPEN only, asserted) and returns its sequence number. */
KqSeq kq_journal_append (KqJournal *j, const KqRecord *r, KqCommitClass c, KqTime now);
/* Every record up to here is in the store under our epoch. */
KqSeq kq_journal_committed (const KqJournal *j);
/* KQ_OK: the record was still waiting and now never will be written.
 * KQ_ERR_COMMIT_UNKNOWN: it has been sent. */
KqResult kq_journal_withdraw (KqJournal *j, KqSeq seq);
/* How long the oldest record not yet in the store has been waiting, at least 1;
 * 0: there is none. */
KqTime kq_journal_lag (const KqJournal *j, KqTime now);

/* True when a snapshot is due: the caller then gives the records that rebuild its state
 * as of now, between _begin and _end. */
bool kq_journal_snapshot_due (const KqJournal *j);
void kq_journal_snapshot_begin (KqJournal *j);
void kq_journal_snapshot_add (KqJournal *j, const KqRecord *r);
void kq_journal_snapshot_end (KqJournal *j, KqTime now, KqOutbox *out);

/* Sends what is due (commits, retries, read-backs). Tokens: shard << 32 | number. */
void kq_journal_tick (KqJournal *j, KqTime now, KqOutbox *out);
/* A reply to one of our calls; false: the token isn't ours. Numbers of tokens below
 * 2^31 are the journal's, those above belong to the owner module. */
bool kq_journal_reply (KqJournal *j, const KqStoreReply *r, KqTime now, KqOutbox *out);
/* When the next tick has something to do; KQ_TIME_NEVER: only after a reply. */
KqTime kq_journal_due (const KqJournal *j);

/* The shard's part of the fleet's commits: 4 a second with 64 shards, which is also
 * what a journal has that was told nothing. */
void kq_journal_set_share (KqJournal *j, uint32_t n_shards);
/* The module that owns the record's type can't read it (unknown type or version, bad
 * body): the journal becomes DAMAGED. */
void kq_journal_refuse (KqJournal *j, const KqRecord *r, KqResult why);
const KqJournalDamage *kq_journal_damage (const KqJournal *j); /* NULL: not damaged */
const KqJournalCount *kq_journal_count (const KqJournal *j);

#endif
