#include "fuzz.h"

#include "shard/journal_block.h"

#include <string.h>

#define DIGEST_OFFSET (KQ_BLOCK_HEAD - 8)

static void
decode (KqStr value)
{
  KqBlock b;
  KqBlock again;
  KqBuf first = { 0 };
  KqBuf second = { 0 };
  if (kq_block_decode (value, &b) != KQ_OK)
    return;
  kq_block_encode (&b, &first);
  kq_fuzz_check (kq_block_decode (kq_buf_str (&first), &again) == KQ_OK,
                 "an encoded block can be decoded");
  kq_block_encode (&again, &second);
  kq_fuzz_check (kq_str_eq (kq_buf_str (&first), kq_buf_str (&second)),
                 "encoding a block again gives the same bytes");
  kq_block_free (&b);
  kq_block_free (&again);
  kq_buf_free (&first);
  kq_buf_free (&second);
}

/* Random bytes hardly ever have a valid digest. So they are also decoded as a payload
 * with the right digest, as a node with a fault could write it. */
void
kq_fuzz_block (KqStr data)
{
  KqBlock empty = { .kind = KQ_BLOCK_SLOT };
  KqBuf value = { 0 };
  uint64_t digest = kq_hash2 (KQ_BLOCK_VERSION, kq_str_hash (data));
  decode (data);
  kq_block_encode (&empty, &value);
  value.len = KQ_BLOCK_HEAD;
  for (int i = 0; i < 8; i++)
    value.ptr[DIGEST_OFFSET + i] = (char)(digest >> (56 - 8 * i));
  kq_buf_add_str (&value, data);
  decode (kq_buf_str (&value));
  kq_buf_free (&value);
}
