#ifndef KQ_TABLE_ROW_PACK_H
#define KQ_TABLE_ROW_PACK_H

/* row_pack: serialization of rows and changes, and digests. Used only within src/table.
 *
 * A packed value is 8 bytes of digest and one msgpack array. The digest is checked before
 * anything is read, so that a truncated or altered value is rejected. */

#include "table/table.h"
#include "wire/pack.h"

/* Read and write the value of a field of type INT, BOOL or MODE. */
int64_t kq_row_get (const KqRow *row, const KqRowField *f);
void kq_row_put (KqRow *row, const KqRowField *f, int64_t v);
/* Returns a pointer to the value of a field of type NAME or TOKEN. */
KqName *kq_row_name_field (KqRow *row, const KqRowField *f);
/* Whether the value is within the range of the field, of type INT, BOOL or MODE. */
bool kq_row_field_valid (const KqRowField *f, int64_t v);

void kq_row_pack (KqPacker *p, const KqRow *row);
/* Reads and checks one row. A row with more fields than this version knows was written by
 * a newer version and is rejected, because the next change would drop them. A row with
 * fewer fields was written by an older version; the missing ones get their defaults. */
bool kq_row_unpack (KqReader *r, KqRow *row);

/* Packs the changes as one element, without `expect`, `derived` and base_revision. */
void kq_changes_pack (KqPacker *p, const KqRowChange *c, size_t n);
/* Reads the changes into a new array *c, which the caller frees. False, with *c NULL, if
 * a change is invalid. */
bool kq_changes_unpack (KqReader *r, KqRowChange **c, size_t *n);

/* Reserves space for the digest at the end of b; returns its offset. */
size_t kq_digest_begin (KqBuf *b);
/* Computes the digest of all bytes after the reserved space, and writes it there, at the
 * offset that kq_digest_begin returned. */
void kq_digest_end (KqBuf *b, size_t at);
/* Removes the digest from the front of *bytes; false if it doesn't match. */
bool kq_digest_check (KqStr *bytes);

#endif
