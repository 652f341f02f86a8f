#include "wire/msg.h"

#include "wire/msg_fields.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

bool
kq_flight_eq (KqFlightId a, KqFlightId b)
{
  return a.number == b.number && a.node == b.node && a.incarnation == b.incarnation;
}

/* Groups of message kinds that share a pair of functions of msg_fields.h. */
typedef enum
{
  GROUP_NONE, /* unknown kind */
  GROUP_MEMBER,
  GROUP_REQUEST,
  GROUP_CLAIM,
  GROUP_JOB
} Group;

static Group
group_of (KqMsgKind kind)
{
  switch (kind)
    {
    case KQ_MSG_HELLO:
    case KQ_MSG_HEARTBEAT:
    case KQ_MSG_TABLE:
    case KQ_MSG_TABLE_REQUEST:
      return GROUP_MEMBER;
    case KQ_MSG_REQ_OPEN:
    case KQ_MSG_REQ_BODY:
    case KQ_MSG_REQ_CANCEL:
    case KQ_MSG_REQ_CREDIT:
    case KQ_MSG_RESP_HEAD:
    case KQ_MSG_RESP_BODY:
    case KQ_MSG_RESP_CREDIT:
    case KQ_MSG_RESP_FAIL:
      return GROUP_REQUEST;
    case KQ_MSG_CLAIM_BEGIN:
    case KQ_MSG_CLAIM_REPLY:
    case KQ_MSG_CLAIM_DONE:
      return GROUP_CLAIM;
    case KQ_MSG_JOB_SUBMIT:
    case KQ_MSG_JOB_CALL:
    case KQ_MSG_JOB_REPLY:
    case KQ_MSG_JOB_MOVE:
    case KQ_MSG_JOB_MOVED:
    case KQ_MSG_QUERY:
    case KQ_MSG_ANSWER:
    case KQ_MSG_AGENT:
      return GROUP_JOB;
    }
  return GROUP_NONE;
}

static void
put_fields (KqPacker *p, const KqMsg *m)
{
  switch (group_of (m->kind))
    {
    case GROUP_MEMBER:
      kq_msg_put_member (p, m);
      break;
    case GROUP_REQUEST:
      kq_msg_put_request (p, m);
      break;
    case GROUP_CLAIM:
      kq_msg_put_claim (p, m);
      break;
    case GROUP_JOB:
      kq_msg_put_job (p, m);
      break;
    case GROUP_NONE:
      break;
    }
}

static bool
get_fields (KqReader *r, KqMsg *m)
{
  switch (group_of (m->kind))
    {
    case GROUP_MEMBER:
      kq_msg_get_member (r, m);
      return true;
    case GROUP_REQUEST:
      kq_msg_get_request (r, m);
      return true;
    case GROUP_CLAIM:
      kq_msg_get_claim (r, m);
      return true;
    case GROUP_JOB:
      kq_msg_get_job (r, m);
      return true;
    case GROUP_NONE:
      break;
    }
  return false;
}

void
kq_msg_pack (const KqMsg *m, KqBuf *out)
{
  size_t start = out->len;
  KqPacker p;
  uint32_t n;

  kq_buf_add (out, "\0\0\0\0", 4);
  kq_packer_init (&p, out);
  kq_pack_array (&p, 2);
  kq_pack_u64 (&p, m->kind);
  put_fields (&p, m);
  n = (uint32_t)(out->len - start - 4);
  assert (n <= KQ_FRAME_MAX);
  for (int i = 0; i < 4; i++)
    out->ptr[start + (size_t)i] = (char)(n >> (24 - 8 * i));
}

KqResult
kq_msg_unpack (KqStr body, KqMsg *out)
{
  KqUnpacked u;
  KqReader r;
  KqReader fields;
  bool known;

  *out = (KqMsg){ 0 };
  if (!kq_unpacked_open (&u, body, &r))
    return KQ_ERR_FRAME_FORMAT;
  out->kind = (KqMsgKind)kq_read_u64 (&r);
  kq_read_array (&r, &fields);
  known = !r.bad && get_fields (&fields, out);
  kq_unpacked_close (&u);
  if (known && !fields.bad)
    return KQ_OK;
  if (known)
    kq_msg_clear (out);
  *out = (KqMsg){ 0 };
  return KQ_ERR_FRAME_FORMAT;
}

static void
clear_shards (KqMsgHeartbeat *h)
{
  for (size_t i = 0; i < h->n_shards; i++)
    {
      free (h->shards[i].services);
      free (h->shards[i].teams);
    }
  free (h->shards);
}

void
kq_msg_clear (KqMsg *m)
{
  switch (m->kind)
    {
    case KQ_MSG_HEARTBEAT:
      clear_shards (&m->u.heartbeat);
      break;
    case KQ_MSG_REQ_OPEN:
      free (m->u.req_open.headers);
      break;
    case KQ_MSG_RESP_HEAD:
      free (m->u.resp_head.headers);
      break;
    case KQ_MSG_CLAIM_REPLY:
      free (m->u.claim_reply.headers);
      break;
    case KQ_MSG_CLAIM_DONE:
      free (m->u.claim_done.headers);
      break;
    case KQ_MSG_HELLO:
    case KQ_MSG_TABLE:
    case KQ_MSG_TABLE_REQUEST:
    case KQ_MSG_REQ_BODY:
    case KQ_MSG_REQ_CANCEL:
    case KQ_MSG_REQ_CREDIT:
    case KQ_MSG_RESP_BODY:
    case KQ_MSG_RESP_CREDIT:
    case KQ_MSG_RESP_FAIL:
    case KQ_MSG_CLAIM_BEGIN:
    case KQ_MSG_JOB_SUBMIT:
    case KQ_MSG_JOB_CALL:
    case KQ_MSG_JOB_REPLY:
    case KQ_MSG_JOB_MOVE:
    case KQ_MSG_JOB_MOVED:
    case KQ_MSG_QUERY:
    case KQ_MSG_ANSWER:
    case KQ_MSG_AGENT:
      break;
    }
  *m = (KqMsg){ 0 };
}

/* A copied message, and the packed bytes that its strings point into. */
typedef struct
{
  KqMsg msg; /* first member: kq_msg_free casts a pointer to it to MsgCopy */
  KqBuf bytes;
} MsgCopy;

KqMsg *
kq_msg_copy (const KqMsg *m)
{
  MsgCopy *c = kq_alloc (sizeof *c);
  KqResult r;
  kq_msg_pack (m, &c->bytes);
  r = kq_msg_unpack (kq_str_n (c->bytes.ptr + 4, c->bytes.len - 4), &c->msg);
  assert (r == KQ_OK);
  (void)r;
  return &c->msg;
}

void
kq_msg_free (KqMsg *m)
{
  MsgCopy *c = (MsgCopy *)m;
  if (m == NULL)
    return;
  kq_msg_clear (&c->msg);
  kq_buf_free (&c->bytes);
  free (c);
}
