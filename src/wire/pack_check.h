#ifndef KQ_WIRE_PACK_CHECK_H
#define KQ_WIRE_PACK_CHECK_H

/* pack_check: checks the element counts in msgpack data before it is unpacked.
 *
 * The five bytes of an array header can announce 2^32 elements, and msgpack-c allocates
 * memory for all of them before it reads the first: one damaged or hostile value makes a
 * node allocate 64 GB. Each object takes at least one byte, so a count above the number
 * of bytes that follow is invalid. Unpacking data that passes this check allocates at
 * most 24 times its length. */

#include "base/str.h"

/* Whether the data begins with one complete object, nested objects included. Checks
 * lengths only; bytes after that object are allowed. */
bool kq_pack_counts_fit (KqStr data);

#endif
