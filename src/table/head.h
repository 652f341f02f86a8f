#ifndef KQ_TABLE_HEAD_H
#define KQ_TABLE_HEAD_H

/* head: the value in the store that defines the table.
 *
 * The key table/head holds the revision, a reference to the base (the whole table at some
 * revision, split over keys of its own) and the tail (the latest changes). A commit is
 * one compare-and-swap of this value, however many rows the commit changes. The value is
 * watched, so it is kept at a few KB: before the tail gets too large, a new base is
 * written under new keys. The tail may begin before the base's revision, so that a node
 * which is a few changes behind doesn't need to read the base. Used only within
 * src/table. */

#include "table/table.h"

/* The tail is cut to KQ_TAIL_KEEP_BYTES when it would exceed KQ_TAIL_MAX_BYTES. Every
 * answer to a watch carries the tail over the region link, while a base is written once
 * and read only by nodes that start. With limits of 4096 and 2048 bytes, 1,700 changes a
 * day cost 496 MB a day over the link (make bench-table); see docs/design/table.md. */
#define KQ_TAIL_MAX_BYTES 2048
#define KQ_TAIL_KEEP_BYTES 1024
/* A larger change isn't put into the tail but only into the base; 500 rows take about
 * 55 KB. */
#define KQ_TAIL_CHANGE_MAX_BYTES 65536
#define KQ_BASE_PARTS_MAX 8       /* keys over which a base is split */
#define KQ_BASE_PART_BYTES 900000 /* size of each part but the last */
/* Number of write ids of the last commits that the head keeps. A node that lost the
 * answer to its commit finds the commit by its id, also if others have committed after
 * it. */
#define KQ_HEAD_IDS 16

/* One change and the revision it made. */
typedef struct
{
  uint64_t revision;
  KqBuf changes; /* packed */
} KqTailEntry;

/* The latest changes: the entries have the revisions from + 1, from + 2 ... without a
 * gap. */
typedef struct
{
  uint64_t from;
  KqTailEntry *entries;
  size_t n;
  size_t capacity;
  size_t bytes; /* sum over the entries */
} KqTableTail;

typedef struct
{
  uint64_t id; /* random, part of the store's keys; 0: no keys, the base is the empty
                  table at revision 0 */
  uint64_t revision;
  size_t n_parts;
  uint64_t part_revisions[KQ_BASE_PARTS_MAX]; /* the store's revisions of the parts, which
                                                 their deletion expects */
} KqTableBase;

typedef struct
{
  uint64_t revision;
  uint64_t ids[KQ_HEAD_IDS]; /* write id of a revision: ids[revision % KQ_HEAD_IDS] */
  KqTableBase base;
  KqTableBase old; /* the previous base: deleted once the next one is in use */
  KqTableTail tail;
} KqTableHead;

/* Removes all entries; the next entry to be added must have revision from + 1. */
void kq_tail_clear (KqTableTail *t, uint64_t from);
void kq_tail_free (KqTableTail *t);
/* Appends an entry, whose revision must follow the last one; copies the changes. */
void kq_tail_add (KqTableTail *t, uint64_t revision, KqStr changes);
/* Drops the oldest entries until at most `bytes` are left. */
void kq_tail_cut (KqTableTail *t, size_t bytes);
/* Appends the packed form of the entries above a revision to `out`, with a digest. */
void kq_tail_pack_above (const KqTableTail *t, uint64_t above, KqBuf *out);
bool kq_tail_unpack (KqStr bytes, KqTableTail *out);
/* Returns the table with the entries above its revision applied, as a new reference; NULL
 * if the tail begins after the table's revision, or an entry is damaged. */
KqTable *kq_tail_apply (const KqTableTail *t, KqTable *table);

void kq_head_free (KqTableHead *h);
void kq_head_copy (KqTableHead *to, const KqTableHead *from);
void kq_head_pack (const KqTableHead *h, KqBuf *out);
bool kq_head_unpack (KqStr bytes, KqTableHead *out);
/* Whether the commit with that write id made that revision. */
bool kq_head_has_id (const KqTableHead *h, uint64_t revision, uint64_t id);
/* Whether the head still keeps the write id of that revision. */
bool kq_head_keeps_id (const KqTableHead *h, uint64_t revision);

/* Appends the changes to `out`, packed as one tail entry. */
void kq_changes_pack_entry (const KqRowChange *c, size_t n, KqBuf *out);
/* Appends the key in the store of one part of a base to `out`. */
void kq_base_key (const KqTableBase *b, size_t part, KqBuf *out);

#endif
