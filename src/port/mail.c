#include "port/mail.h"

#include <stdlib.h>
#include <string.h>

KqMail *
kq_mail_new (KqMailKind kind)
{
  KqMail *m = kq_alloc (sizeof *m);
  m->kind = kind;
  return m;
}

static void
free_store_reply (KqStoreReply *r)
{
  free ((char *)r->value.ptr);
  for (size_t i = 0; i < r->n_items; i++)
    {
      free ((char *)r->items[i].key.ptr);
      free ((char *)r->items[i].value.ptr);
    }
  free (r->items);
}

static void
free_worker_reply (KqWorkerReply *r)
{
  free (r->tasks);
  free (r->usage);
  free (r->runners);
}

void
kq_mail_free (KqMail *m)
{
  if (m == NULL)
    return;
  switch (m->kind)
    {
    case KQ_MAIL_OUT:
      kq_out_clear (&m->u.out);
      break;
    case KQ_MAIL_MSG:
      kq_msg_free (m->u.msg.msg);
      break;
    case KQ_MAIL_STORE_REPLY:
      free_store_reply (&m->u.store_reply);
      break;
    case KQ_MAIL_WORKER_REPLY:
      free_worker_reply (&m->u.worker_reply);
      break;
    case KQ_MAIL_HOSTS:
      kq_hosts_free (&m->u.hosts);
      break;
    case KQ_MAIL_SHARD_HOSTS:
      kq_hosts_free (&m->u.shard_hosts.hosts);
      break;
    case KQ_MAIL_TABLE:
      kq_table_unref (m->u.table);
      break;
    case KQ_MAIL_SERVICES:
      free (m->u.services.digests);
      break;
    case KQ_MAIL_PEER:
    case KQ_MAIL_NODE:
    case KQ_MAIL_SHARD_GONE:
    case KQ_MAIL_DRAIN:
    case KQ_MAIL_DRAINED:
      break;
    }
  free (m);
}

KqMail *
kq_mail_out (KqOut *item)
{
  KqMail *m = kq_mail_new (KQ_MAIL_OUT);
  m->u.out = *item;
  *item = (KqOut){ 0 };
  return m;
}

KqMail *
kq_mail_msg (KqNodeId peer, const KqMsg *msg)
{
  KqMail *m = kq_mail_new (KQ_MAIL_MSG);
  m->u.msg.peer = peer;
  m->u.msg.msg = kq_msg_copy (msg);
  return m;
}

void
kq_mail_send_msg (KqTask *mesh, KqNodeId to, const KqMsg *msg)
{
  KqOut out = { .kind = KQ_OUT_SEND };
  out.u.send.to = to;
  out.u.send.msg = kq_msg_copy (msg);
  kq_task_send (mesh, kq_mail_out (&out));
}

void
kq_mail_send_answer (KqTask *mesh, KqNodeId to, uint64_t call, KqResult code, KqStr text)
{
  KqMsg m = { .kind = KQ_MSG_ANSWER };
  m.u.answer.call = call;
  m.u.answer.code = code;
  m.u.answer.json = text;
  kq_mail_send_msg (mesh, to, &m);
}

KqMail *
kq_mail_store_reply (const KqStoreReply *r)
{
  KqMail *m = kq_mail_new (KQ_MAIL_STORE_REPLY);
  KqStoreReply *c = &m->u.store_reply;
  *c = *r;
  c->value = kq_str_own (r->value);
  c->items = NULL;
  if (r->n_items > 0)
    c->items = kq_alloc (r->n_items * sizeof *c->items);
  for (size_t i = 0; i < r->n_items; i++)
    {
      c->items[i] = r->items[i];
      c->items[i].key = kq_str_own (r->items[i].key);
      c->items[i].value = kq_str_own (r->items[i].value);
    }
  return m;
}

static void *
copy_array (const void *from, size_t n, size_t size)
{
  void *to = NULL;
  if (n > 0)
    {
      to = kq_alloc (n * size);
      memcpy (to, from, n * size);
    }
  return to;
}

KqMail *
kq_mail_worker_reply (const KqWorkerReply *r)
{
  KqMail *m = kq_mail_new (KQ_MAIL_WORKER_REPLY);
  KqWorkerReply *c = &m->u.worker_reply;
  *c = *r;
  c->tasks = copy_array (r->tasks, r->n_tasks, sizeof *r->tasks);
  c->usage = copy_array (r->usage, r->n_usage, sizeof *r->usage);
  c->runners = copy_array (r->runners, r->n_runners, sizeof *r->runners);
  return m;
}
