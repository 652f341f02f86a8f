#include "fuzz.h"

#include "wire/msg.h"

#define LENGTH_BYTES 4

static KqStr
body_of (const KqBuf *frame)
{
  return kq_str_n (frame->ptr + LENGTH_BYTES, frame->len - LENGTH_BYTES);
}

void
kq_fuzz_frame (KqStr data)
{
  KqMsg m;
  KqMsg again;
  KqBuf first = { 0 };
  KqBuf second = { 0 };
  if (kq_msg_unpack (data, &m) != KQ_OK)
    return;
  kq_msg_pack (&m, &first);
  kq_fuzz_check (kq_msg_unpack (body_of (&first), &again) == KQ_OK,
                 "an encoded message can be decoded");
  kq_msg_pack (&again, &second);
  kq_fuzz_check (kq_str_eq (kq_buf_str (&first), kq_buf_str (&second)),
                 "encoding a message again gives the same bytes");
  kq_msg_clear (&m);
  kq_msg_clear (&again);
  kq_buf_free (&first);
  kq_buf_free (&second);
}
