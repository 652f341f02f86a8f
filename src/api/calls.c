#include "api/calls.h"

#include "port/mail.h"
#include "request/problem.h"

#include <stdlib.h>

typedef struct Call
{
  struct Call *next;
  uint64_t number;
  bool changes; /* may have an effect even if its answer is lost */
  KqHttpExchange *exchange;
  KqTime deadline;
} Call;

struct KqCalls
{
  uint64_t tag;
  uint64_t number;
  KqNodeId self;
  KqTask *mesh;
  KqCounters *counters;
  Call *first;
};

KqCalls *
kq_calls_new (int tag, KqNodeId self, KqTask *mesh, KqCounters *counters)
{
  KqCalls *c = kq_alloc (sizeof *c);
  c->tag = (uint64_t)tag;
  c->self = self;
  c->mesh = mesh;
  c->counters = counters;
  return c;
}

void
kq_calls_free (KqCalls *c)
{
  if (c == NULL)
    return;
  for (Call *x = c->first, *next = NULL; x != NULL; x = next)
    {
      next = x->next;
      free (x);
    }
  free (c);
}

static void
set_number (KqMsg *msg, uint64_t number, KqNodeId self)
{
  switch (msg->kind)
    {
    case KQ_MSG_JOB_SUBMIT:
      msg->u.job_submit.call = number;
      msg->u.job_submit.reply_to = self;
      break;
    case KQ_MSG_JOB_CALL:
      msg->u.job_call.call = number;
      msg->u.job_call.reply_to = self;
      break;
    default:
      msg->u.query.call = number;
      break;
    }
}

static bool
may_have_effect (const KqMsg *msg)
{
  switch (msg->kind)
    {
    case KQ_MSG_JOB_SUBMIT:
      return true;
    case KQ_MSG_JOB_CALL:
      return msg->u.job_call.kind == KQ_JOB_CANCEL;
    default:
      return kq_str_eq (msg->u.query.what, KQ_STR ("table-change"));
    }
}

/* With some codes it is unknown whether the change is in the store. */
static KqRan
ran_of (const Call *call, KqResult code)
{
  bool uncertain = code == KQ_ERR_STORE_UNREACHABLE || code == KQ_ERR_COMMIT_UNKNOWN;
  return call->changes && uncertain ? KQ_RAN_UNKNOWN : KQ_RAN_NO;
}

void
kq_calls_ask (KqCalls *c, KqNodeId node, KqMsg *msg, KqHttpExchange *x, KqTime now)
{
  Call *call = kq_alloc (sizeof *call);
  call->number = c->tag << 56 | ++c->number;
  call->changes = may_have_effect (msg);
  call->exchange = x;
  call->deadline = now + KQ_CALL_TIMEOUT;
  call->next = c->first;
  c->first = call;
  set_number (msg, call->number, c->self);
  kq_mail_send_msg (c->mesh, node, msg);
}

static void
remove_call (KqCalls *c, Call *call)
{
  Call **at = &c->first;
  while (*at != call)
    at = &(*at)->next;
  *at = call->next;
  free (call);
}

static Call *
find_call (KqCalls *c, uint64_t number)
{
  Call *call = c->first;
  while (call != NULL && call->number != number)
    call = call->next;
  return call;
}

static void
reply_json (KqHttpExchange *x, int status, KqStr json)
{
  KqHeader h[1] = { { KQ_STR ("Content-Type"), KQ_STR ("application/json") } };
  kq_http_reply (x, status, h, 1, json);
}

static void
refuse (KqCalls *c, KqHttpExchange *x, KqResult code, KqRan ran, KqTime retry,
        KqStr detail)
{
  kq_counter_result (c->counters, code);
  kq_problem_reply (x, code, ran, retry, kq_str (""), detail);
}

void
kq_calls_refuse (KqCalls *c, KqHttpExchange *x, KqResult code, KqStr detail)
{
  refuse (c, x, code, KQ_RAN_NO, 0, detail);
}

void
kq_calls_answer (KqCalls *c, const KqMsg *msg)
{
  const KqMsgAnswer *a = &msg->u.answer;
  Call *call = find_call (c, a->call);
  if (call == NULL)
    return;
  if (call->exchange != NULL && a->code == KQ_OK)
    reply_json (call->exchange, 200, a->json);
  else if (call->exchange != NULL)
    refuse (c, call->exchange, a->code, ran_of (call, a->code), 0, a->json);
  remove_call (c, call);
}

void
kq_calls_detach (KqCalls *c, const KqHttpExchange *x)
{
  for (Call *call = c->first; call != NULL; call = call->next)
    {
      if (call->exchange == x)
        call->exchange = NULL;
    }
}

/* The call has timed out. A change may have been committed and only its answer lost. */
static void
time_out (KqCalls *c, const Call *call)
{
  KqResult code = call->changes ? KQ_ERR_COMMIT_UNKNOWN : KQ_ERR_NO_OWNER;
  if (call->exchange != NULL)
    refuse (c, call->exchange, code, ran_of (call, code), KQ_SEC, kq_str (""));
}

void
kq_calls_tick (KqCalls *c, KqTime now)
{
  for (Call *call = c->first, *next = NULL; call != NULL; call = next)
    {
      next = call->next;
      if (now < call->deadline)
        continue;
      time_out (c, call);
      remove_call (c, call);
    }
}

size_t
kq_calls_n_open (const KqCalls *c)
{
  size_t n = 0;
  for (const Call *call = c->first; call != NULL; call = call->next)
    n++;
  return n;
}
