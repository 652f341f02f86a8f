#ifndef KQ_WIRE_PACK_H
#define KQ_WIRE_PACK_H

/* pack: writes and reads sequences of msgpack values, for messages and stored records.
 *
 * Reading functions return no error: the first value that is missing or of the wrong type
 * sets the reader's `bad`, all later reads return zero or an empty string, and the caller
 * checks `bad` once at the end. */

#include "base/str.h"

#include <msgpack.h>

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  msgpack_packer packer;
} KqPacker;

typedef struct
{
  const msgpack_object *at; /* next element of the array */
  uint32_t left;            /* elements not yet read */
  bool bad;
} KqReader;

/* Unpacked msgpack data. The strings read from it point into the packed bytes, which the
 * caller keeps. */
typedef struct
{
  msgpack_unpacked object;
} KqUnpacked;

void kq_packer_init (KqPacker *p, KqBuf *out);
void kq_pack_array (KqPacker *p, size_t n);
void kq_pack_u64 (KqPacker *p, uint64_t v);
void kq_pack_i64 (KqPacker *p, int64_t v);
void kq_pack_bool (KqPacker *p, bool v);
void kq_pack_double (KqPacker *p, double v);
void kq_pack_str (KqPacker *p, KqStr s);
void kq_pack_name (KqPacker *p, const KqName *n);

/* Unpacks `data` and sets *r to the elements of its outer array. False if it isn't
 * exactly one complete array; otherwise the caller must call kq_unpacked_close. */
bool kq_unpacked_open (KqUnpacked *u, KqStr data, KqReader *r);
void kq_unpacked_close (KqUnpacked *u);
uint64_t kq_read_u64 (KqReader *r);
int64_t kq_read_i64 (KqReader *r);
bool kq_read_bool (KqReader *r);
double kq_read_double (KqReader *r);
KqStr kq_read_str (KqReader *r);
KqName kq_read_name (KqReader *r); /* longer than KQ_NAME_MAX sets `bad` */
/* Reads an array: sets *sub to its elements; their number is sub->left. */
void kq_read_array (KqReader *r, KqReader *sub);
/* Ends the reading of an inner array: sets `bad` of *r if that of *sub is set. */
void kq_read_array_end (KqReader *r, const KqReader *sub);

#endif
