#include "fuzz.h"

#include "table/head.h"
#include "table/row_pack.h"

static void
read_table (KqStr bytes)
{
  KqResult why;
  KqBuf first = { 0 };
  KqBuf second = { 0 };
  KqTable *t = kq_table_unpack (bytes, &why);
  KqTable *again;
  if (t == NULL)
    return;
  kq_table_pack (t, &first);
  again = kq_table_unpack (kq_buf_str (&first), &why);
  kq_fuzz_check (again != NULL, "an encoded table can be decoded");
  kq_table_pack (again, &second);
  kq_fuzz_check (kq_str_eq (kq_buf_str (&first), kq_buf_str (&second)),
                 "encoding a table again gives the same bytes");
  kq_table_unref (t);
  kq_table_unref (again);
  kq_buf_free (&first);
  kq_buf_free (&second);
}

static void
read_tail (KqStr bytes)
{
  KqTableTail tail = { 0 };
  KqTable *empty = kq_table_new (0);
  KqTable *t;
  if (kq_tail_unpack (bytes, &tail))
    {
      t = kq_tail_apply (&tail, empty);
      if (t != NULL)
        kq_table_unref (t);
      kq_tail_free (&tail);
    }
  kq_table_unref (empty);
}

static void
read_head (KqStr bytes)
{
  KqTableHead h = { 0 };
  KqBuf out = { 0 };
  if (kq_head_unpack (bytes, &h))
    {
      kq_head_pack (&h, &out);
      kq_fuzz_check (out.len > 0, "a decoded head can be encoded");
      kq_head_free (&h);
    }
  kq_buf_free (&out);
}

/* The bytes as they are, and with a valid digest. */
void
kq_fuzz_table (KqStr data)
{
  KqBuf with_digest = { 0 };
  size_t at = kq_digest_begin (&with_digest);
  kq_buf_add_str (&with_digest, data);
  kq_digest_end (&with_digest, at);
  read_table (data);
  read_table (kq_buf_str (&with_digest));
  read_tail (kq_buf_str (&with_digest));
  read_head (kq_buf_str (&with_digest));
  kq_buf_free (&with_digest);
}
