#include "wire/msg_fields.h"

/* More headers are refused as malformed; the HTTP libraries' limits are far lower. */
#define HEADERS_MAX 512

static void
put_flight (KqPacker *p, KqFlightId f)
{
  kq_pack_u64 (p, f.node);
  kq_pack_u64 (p, f.incarnation);
  kq_pack_u64 (p, f.number);
}

static KqFlightId
get_flight (KqReader *r)
{
  KqFlightId f;
  f.node = kq_read_u64 (r);
  f.incarnation = kq_read_u64 (r);
  f.number = kq_read_u64 (r);
  return f;
}

static void
put_headers (KqPacker *p, const KqHeader *h, size_t n)
{
  kq_pack_array (p, n * 2);
  for (size_t i = 0; i < n; i++)
    {
      kq_pack_str (p, h[i].name);
      kq_pack_str (p, h[i].value);
    }
}

static void
get_headers (KqReader *r, KqHeader **h, size_t *n)
{
  KqReader a;
  size_t count;
  kq_read_array (r, &a);
  count = a.left / 2;
  if (a.left % 2 != 0 || count > HEADERS_MAX)
    {
      r->bad = true;
      return;
    }
  if (count > 0)
    *h = kq_alloc (count * sizeof **h);
  for (size_t i = 0; i < count; i++)
    {
      (*h)[i].name = kq_read_str (&a);
      (*h)[i].value = kq_read_str (&a);
    }
  *n = count;
  kq_read_array_end (r, &a);
}

static void
put_req_open (KqPacker *p, const KqMsgReqOpen *o)
{
  kq_pack_array (p, 13);
  put_flight (p, o->flight);
  kq_pack_str (p, o->service);
  kq_pack_str (p, o->caller);
  kq_pack_str (p, o->method);
  kq_pack_str (p, o->path);
  kq_pack_i64 (p, o->deadline_us);
  kq_pack_bool (p, o->idempotent);
  kq_pack_bool (p, o->may_forward);
  kq_pack_i64 (p, o->body_length);
  kq_pack_str (p, o->claim_key);
  put_headers (p, o->headers, o->n_headers);
}

static void
get_req_open (KqReader *r, KqMsgReqOpen *o)
{
  o->flight = get_flight (r);
  o->service = kq_read_str (r);
  o->caller = kq_read_str (r);
  o->method = kq_read_str (r);
  o->path = kq_read_str (r);
  o->deadline_us = kq_read_i64 (r);
  o->idempotent = kq_read_bool (r);
  o->may_forward = kq_read_bool (r);
  o->body_length = kq_read_i64 (r);
  o->claim_key = kq_read_str (r);
  get_headers (r, &o->headers, &o->n_headers);
}

static void
put_body (KqPacker *p, const KqMsgBody *b)
{
  kq_pack_array (p, 6);
  put_flight (p, b->flight);
  kq_pack_u64 (p, b->offset);
  kq_pack_bool (p, b->end);
  kq_pack_str (p, b->bytes);
}

static void
get_body (KqReader *r, KqMsgBody *b)
{
  b->flight = get_flight (r);
  b->offset = kq_read_u64 (r);
  b->end = kq_read_bool (r);
  b->bytes = kq_read_str (r);
}

static void
put_resp_head (KqPacker *p, const KqMsgRespHead *h)
{
  kq_pack_array (p, 6);
  put_flight (p, h->flight);
  kq_pack_i64 (p, h->status);
  kq_pack_i64 (p, h->body_length);
  put_headers (p, h->headers, h->n_headers);
}

static void
get_resp_head (KqReader *r, KqMsgRespHead *h)
{
  h->flight = get_flight (r);
  h->status = (int32_t)kq_read_i64 (r);
  h->body_length = kq_read_i64 (r);
  get_headers (r, &h->headers, &h->n_headers);
}

static void
put_resp_fail (KqPacker *p, const KqMsgRespFail *f)
{
  kq_pack_array (p, 6);
  put_flight (p, f->flight);
  kq_pack_u64 (p, f->code);
  kq_pack_u64 (p, f->ran);
  kq_pack_i64 (p, f->retry_after_us);
}

static void
get_resp_fail (KqReader *r, KqMsgRespFail *f)
{
  uint64_t ran;
  f->flight = get_flight (r);
  f->code = (KqResult)kq_read_u64 (r);
  ran = kq_read_u64 (r);
  f->retry_after_us = kq_read_i64 (r);
  if (ran > KQ_RAN_UNKNOWN)
    r->bad = true;
  else
    f->ran = (KqRan)ran;
}

void
kq_msg_put_request (KqPacker *p, const KqMsg *m)
{
  if (m->kind == KQ_MSG_REQ_OPEN)
    put_req_open (p, &m->u.req_open);
  else if (m->kind == KQ_MSG_REQ_BODY || m->kind == KQ_MSG_RESP_BODY)
    put_body (p, &m->u.body);
  else if (m->kind == KQ_MSG_RESP_HEAD)
    put_resp_head (p, &m->u.resp_head);
  else if (m->kind == KQ_MSG_RESP_FAIL)
    put_resp_fail (p, &m->u.resp_fail);
  else if (m->kind == KQ_MSG_REQ_CANCEL)
    {
      kq_pack_array (p, 4);
      put_flight (p, m->u.req_cancel.flight);
      kq_pack_u64 (p, m->u.req_cancel.reason);
    }
  else
    {
      kq_pack_array (p, 4);
      put_flight (p, m->u.credit.flight);
      kq_pack_u64 (p, m->u.credit.bytes);
    }
}

void
kq_msg_get_request (KqReader *r, KqMsg *m)
{
  if (m->kind == KQ_MSG_REQ_OPEN)
    get_req_open (r, &m->u.req_open);
  else if (m->kind == KQ_MSG_REQ_BODY || m->kind == KQ_MSG_RESP_BODY)
    get_body (r, &m->u.body);
  else if (m->kind == KQ_MSG_RESP_HEAD)
    get_resp_head (r, &m->u.resp_head);
  else if (m->kind == KQ_MSG_RESP_FAIL)
    get_resp_fail (r, &m->u.resp_fail);
  else if (m->kind == KQ_MSG_REQ_CANCEL)
    {
      m->u.req_cancel.flight = get_flight (r);
      m->u.req_cancel.reason = (KqResult)kq_read_u64 (r);
    }
  else
    {
      m->u.credit.flight = get_flight (r);
      m->u.credit.bytes = kq_read_u64 (r);
    }
}

static void
put_claim_begin (KqPacker *p, const KqMsgClaimBegin *b)
{
  kq_pack_array (p, 8);
  put_flight (p, b->flight);
  kq_pack_u64 (p, b->shard);
  kq_pack_str (p, b->service);
  kq_pack_str (p, b->caller);
  kq_pack_str (p, b->key);
  kq_pack_u64 (p, b->request_hash);
}

static void
get_claim_begin (KqReader *r, KqMsgClaimBegin *b)
{
  b->flight = get_flight (r);
  b->shard = (uint32_t)kq_read_u64 (r);
  b->service = kq_read_str (r);
  b->caller = kq_read_str (r);
  b->key = kq_read_str (r);
  b->request_hash = kq_read_u64 (r);
}

static void
put_claim_reply (KqPacker *p, const KqMsgClaimReply *c)
{
  kq_pack_array (p, 9);
  put_flight (p, c->flight);
  kq_pack_u64 (p, c->verdict);
  kq_pack_u64 (p, c->code);
  kq_pack_u64 (p, c->claim_number);
  kq_pack_i64 (p, c->status);
  put_headers (p, c->headers, c->n_headers);
  kq_pack_str (p, c->body);
}

static void
get_claim_reply (KqReader *r, KqMsgClaimReply *c)
{
  uint64_t verdict;
  c->flight = get_flight (r);
  verdict = kq_read_u64 (r);
  c->code = (KqResult)kq_read_u64 (r);
  c->claim_number = kq_read_u64 (r);
  c->status = (int32_t)kq_read_i64 (r);
  get_headers (r, &c->headers, &c->n_headers);
  c->body = kq_read_str (r);
  if (verdict < KQ_CLAIM_GRANTED || verdict > KQ_CLAIM_REFUSED)
    r->bad = true;
  else
    c->verdict = (KqClaimVerdict)verdict;
}

static void
put_claim_done (KqPacker *p, const KqMsgClaimDone *c)
{
  kq_pack_array (p, 9);
  put_flight (p, c->flight);
  kq_pack_u64 (p, c->shard);
  kq_pack_u64 (p, c->ran);
  kq_pack_bool (p, c->kept);
  kq_pack_i64 (p, c->status);
  put_headers (p, c->headers, c->n_headers);
  kq_pack_str (p, c->body);
}

static void
get_claim_done (KqReader *r, KqMsgClaimDone *c)
{
  uint64_t ran;
  c->flight = get_flight (r);
  c->shard = (uint32_t)kq_read_u64 (r);
  ran = kq_read_u64 (r);
  c->kept = kq_read_bool (r);
  c->status = (int32_t)kq_read_i64 (r);
  get_headers (r, &c->headers, &c->n_headers);
  c->body = kq_read_str (r);
  if (ran > KQ_RAN_UNKNOWN)
    r->bad = true;
  else
    c->ran = (KqRan)ran;
}

void
kq_msg_put_claim (KqPacker *p, const KqMsg *m)
{
  if (m->kind == KQ_MSG_CLAIM_BEGIN)
    put_claim_begin (p, &m->u.claim_begin);
  else if (m->kind == KQ_MSG_CLAIM_REPLY)
    put_claim_reply (p, &m->u.claim_reply);
  else
    put_claim_done (p, &m->u.claim_done);
}

void
kq_msg_get_claim (KqReader *r, KqMsg *m)
{
  if (m->kind == KQ_MSG_CLAIM_BEGIN)
    get_claim_begin (r, &m->u.claim_begin);
  else if (m->kind == KQ_MSG_CLAIM_REPLY)
    get_claim_reply (r, &m->u.claim_reply);
  else
    get_claim_done (r, &m->u.claim_done);
}
