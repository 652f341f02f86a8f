#ifndef KQ_SHARD_JOURNAL_BLOCK_H
#define KQ_SHARD_JOURNAL_BLOCK_H

/* journal_block: encoding of the journal's values in the store. Internal to the journal.
 *
 * Layout: 'K' 'Q' 'J', one byte format version, eight bytes XXH3 (big-endian) over
 * version and payload, then the payload: one msgpack array of the fields of KqBlock from
 * `kind` to `n_records`, in that order and without `records`, followed by three entries
 * (type, version, body) for each record. */

#include "shard/journal.h"

#define KQ_BLOCK_VERSION 1
#define KQ_BLOCK_HEAD 12 /* bytes of magic, version and digest, before the payload */

typedef enum
{
  KQ_BLOCK_SLOT = 1, /* log/<shard>/<i> */
  KQ_BLOCK_SNAPSHOT, /* snap/<shard>/head */
  KQ_BLOCK_PART      /* snap/<shard>/<write id>-<k> */
} KqBlockKind;

typedef struct
{
  KqBlockKind kind;
  uint32_t shard;
  uint64_t epoch;
  KqNodeId writer;
  uint64_t write_id;
  uint64_t index; /* SLOT: position in the log; SNAPSHOT: last position that it covers;
                     PART: index of the part */
  KqSeq seq;      /* SLOT: of the first record; SNAPSHOT: of the last record covered */
  KqStr parts;    /* SNAPSHOT: the parts' digests, 8 bytes each */
  KqRecord *records;
  size_t n_records;
  char *bytes; /* of a decoded block: owned buffer that all its strings point into */
  size_t n_bytes;
  uint64_t digest; /* of version and payload */
} KqBlock;

/* Appends the encoded block to `out` and sets b->digest. */
void kq_block_encode (KqBlock *b, KqBuf *out);
/* KQ_ERR_JOURNAL_DAMAGED: too short, wrong digest or malformed payload.
 * KQ_ERR_JOURNAL_VERSION: unknown format version. After KQ_OK the caller frees `out` with
 * kq_block_free. */
KqResult kq_block_decode (KqStr value, KqBlock *out);
void kq_block_free (KqBlock *b);

#endif
