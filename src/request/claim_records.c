#include "request/claim_records.h"

#include <stdlib.h>

static void
put_opened (KqPacker *p, const KqClaimFields *f)
{
  kq_pack_u64 (p, f->flight.node);
  kq_pack_u64 (p, f->flight.incarnation);
  kq_pack_u64 (p, f->flight.number);
  kq_pack_str (p, f->service);
  kq_pack_str (p, f->caller);
  kq_pack_str (p, f->key);
  kq_pack_u64 (p, f->request_hash);
}

static void
put_answered (KqPacker *p, const KqClaimFields *f)
{
  kq_pack_bool (p, f->kept);
  kq_pack_i64 (p, f->status);
  kq_pack_array (p, f->n_headers * 2);
  for (size_t i = 0; i < f->n_headers; i++)
    {
      kq_pack_str (p, f->headers[i].name);
      kq_pack_str (p, f->headers[i].value);
    }
  kq_pack_str (p, f->body);
}

void
kq_claim_record_pack (KqClaimRecordType t, const KqClaimFields *f, KqBuf *out)
{
  size_t n_extra = t == KQ_CLAIM_RECORD_OPENED     ? 7
                   : t == KQ_CLAIM_RECORD_ANSWERED ? 4
                                                   : 0;
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 2 + n_extra);
  kq_pack_u64 (&p, f->number);
  kq_pack_i64 (&p, f->ttl);
  if (t == KQ_CLAIM_RECORD_OPENED)
    put_opened (&p, f);
  else if (t == KQ_CLAIM_RECORD_ANSWERED)
    put_answered (&p, f);
}

static void
get_opened (KqReader *r, KqClaimFields *f)
{
  f->flight.node = kq_read_u64 (r);
  f->flight.incarnation = kq_read_u64 (r);
  f->flight.number = kq_read_u64 (r);
  f->service = kq_read_str (r);
  f->caller = kq_read_str (r);
  f->key = kq_read_str (r);
  f->request_hash = kq_read_u64 (r);
}

static void
get_answered (KqReader *r, KqClaimFields *f)
{
  KqReader a;
  f->kept = kq_read_bool (r);
  f->status = (int32_t)kq_read_i64 (r);
  kq_read_array (r, &a);
  f->n_headers = a.left / 2;
  f->headers = kq_alloc (f->n_headers * sizeof *f->headers);
  for (size_t i = 0; i < f->n_headers; i++)
    {
      f->headers[i].name = kq_read_str (&a);
      f->headers[i].value = kq_read_str (&a);
    }
  kq_read_array_end (r, &a);
  f->body = kq_read_str (r);
}

bool
kq_claim_record_unpack (KqClaimRecordType t, KqStr body, KqUnpacked *u, KqClaimFields *f)
{
  KqReader r;
  *f = (KqClaimFields){ 0 };
  if (!kq_unpacked_open (u, body, &r))
    return false;
  f->number = kq_read_u64 (&r);
  f->ttl = kq_read_i64 (&r);
  if (t == KQ_CLAIM_RECORD_OPENED)
    get_opened (&r, f);
  else if (t == KQ_CLAIM_RECORD_ANSWERED)
    get_answered (&r, f);
  if (!r.bad)
    return true;
  kq_claim_record_clear (u, f);
  return false;
}

void
kq_claim_record_clear (KqUnpacked *u, KqClaimFields *f)
{
  free (f->headers);
  *f = (KqClaimFields){ 0 };
  kq_unpacked_close (u);
}
