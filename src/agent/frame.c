#include "agent/frame.h"

#include "agent/frame_rows.h"
#include "agent/load_item.h"

#include <stdlib.h>
#include <string.h>

static void
pack_order (KqPacker *p, const KqOrder *o)
{
  kq_pack_i64 (p, o->kind);
  kq_pack_str (p, o->runner);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
      kq_pack_str (p, o->u.take.address);
      kq_pack_u64 (p, o->u.take.assignment);
      kq_pack_str (p, o->u.take.failure_domain);
      break;
    case KQ_ORDER_DROP:
      break;
    case KQ_ORDER_START:
      kq_pack_str (p, o->u.start.task);
      kq_pack_u64 (p, o->u.start.run);
      kq_pack_str (p, o->u.start.text);
      kq_pack_str (p, o->u.start.checkpoint);
      kq_pack_str (p, o->u.start.ticket);
      break;
    case KQ_ORDER_STOP:
      kq_pack_str (p, o->u.stop.task);
      kq_pack_u64 (p, o->u.stop.run);
      break;
    case KQ_ORDER_PACE:
      kq_pack_str (p, o->u.pace.task);
      kq_pack_u64 (p, o->u.pace.run);
      kq_pack_i64 (p, o->u.pace.percent);
      break;
    case KQ_ORDER_SEEN:
      kq_pack_u64 (p, o->u.seen.ends);
      kq_pack_i64 (p, o->u.seen.started_ms);
      kq_pack_bool (p, o->u.seen.watched);
      break;
    case KQ_ORDER_ADVISE:
      kq_pack_str (p, o->u.advise.step);
      kq_pack_array (p, o->u.advise.n_runners);
      for (size_t i = 0; i < o->u.advise.n_runners; i++)
        kq_pack_str (p, o->u.advise.runners[i]);
      kq_pack_i64 (p, o->u.advise.wait_ms);
      kq_pack_u64 (p, o->u.advise.request);
      break;
    case KQ_ORDER_RENEW:
      kq_pack_u64 (p, o->u.renew.halt);
      break;
    }
}

static void
read_advise (KqReader *r, KqOrder *o)
{
  KqReader rows;
  KqStr *list;
  size_t n;
  o->u.advise.step = kq_read_str (r);
  n = kq_agent_item_open_rows (r, &rows);
  if (n > KQ_ADVICE_RUNNERS_MAX)
    r->bad = true;
  n = r->bad ? 0 : n;
  list = kq_alloc ((n + 1) * sizeof *list);
  o->u.advise.runners = list;
  o->u.advise.n_runners = n;
  for (size_t i = 0; i < n; i++)
    list[i] = kq_read_str (&rows);
  kq_read_array_end (r, &rows);
  if (r->left >= 2) /* not in frames of earlier versions */
    {
      o->u.advise.wait_ms = kq_read_i64 (r);
      o->u.advise.request = kq_read_u64 (r);
    }
}

/* False: the kind of order is unknown. */
static bool
read_order (KqReader *r, KqOrder *o)
{
  o->kind = (KqOrderKind)kq_read_i64 (r);
  o->runner = kq_read_str (r);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
      o->u.take.address = kq_read_str (r);
      o->u.take.assignment = kq_read_u64 (r);
      if (r->left > 0) /* not in frames of earlier versions */
        o->u.take.failure_domain = kq_read_str (r);
      return true;
    case KQ_ORDER_DROP:
      return true;
    case KQ_ORDER_START:
      o->u.start.task = kq_read_str (r);
      o->u.start.run = (uint32_t)kq_read_u64 (r);
      o->u.start.text = kq_read_str (r);
      o->u.start.checkpoint = kq_read_str (r);
      o->u.start.ticket = kq_read_str (r);
      return true;
    case KQ_ORDER_STOP:
      o->u.stop.task = kq_read_str (r);
      o->u.stop.run = (uint32_t)kq_read_u64 (r);
      return true;
    case KQ_ORDER_PACE:
      o->u.pace.task = kq_read_str (r);
      o->u.pace.run = (uint32_t)kq_read_u64 (r);
      o->u.pace.percent = (int)kq_read_i64 (r);
      return true;
    case KQ_ORDER_SEEN:
      o->u.seen.ends = kq_read_u64 (r);
      o->u.seen.started_ms = kq_read_i64 (r);
      o->u.seen.watched = kq_read_bool (r);
      return true;
    case KQ_ORDER_ADVISE:
      read_advise (r, o);
      return true;
    case KQ_ORDER_RENEW:
      o->u.renew.halt = kq_read_u64 (r);
      return true;
    }
  return false;
}

static void
pack_outcome (KqPacker *p, const KqOrderOutcome *o)
{
  kq_pack_i64 (p, o->kind);
  kq_pack_str (p, o->task);
  kq_pack_u64 (p, o->run);
  kq_pack_i64 (p, o->result);
  kq_pack_u64 (p, o->order);
  kq_pack_u64 (p, o->assignment);
  kq_pack_i64 (p, o->lease_left_ms);
  kq_pack_bool (p, o->unsent);
  kq_pack_bool (p, o->cordoned);
}

static void
read_outcome (KqReader *r, KqOrderOutcome *o)
{
  int64_t kind = kq_read_i64 (r);
  int64_t result;
  o->task = kq_read_str (r);
  o->run = (uint32_t)kq_read_u64 (r);
  result = kq_read_i64 (r);
  if (kind < KQ_ORDER_TAKE || kind > KQ_ORDER_RENEW || result < KQ_ORDER_OK
      || result > KQ_ORDER_UNKNOWN)
    r->bad = true;
  o->kind = (KqOrderKind)kind;
  o->result = (KqOrderResult)result;
  o->order = kq_read_u64 (r);
  o->assignment = kq_read_u64 (r);
  o->lease_left_ms = kq_read_i64 (r);
  /* Earlier versions leave out the last one, or both. */
  o->unsent = r->left > 0 && kq_read_bool (r);
  o->cordoned = r->left > 0 && kq_read_bool (r);
}

static void
pack_ping (KqPacker *p, const KqAgentItem *i)
{
  kq_pack_i64 (p, i->u.ping.heartbeat_sent_at);
  kq_pack_i64 (p, i->u.ping.store_age_ms);
  kq_pack_u64 (p, i->u.ping.keys_revision);
  kq_pack_i64 (p, i->u.ping.keys_age_ms);
  kq_pack_i64 (p, i->u.ping.jobs_free);
}

static void
pack_fields (KqPacker *p, const KqAgentItem *i)
{
  switch (i->kind)
    {
    case KQ_AGENT_ITEM_ORDER:
      pack_order (p, &i->u.order);
      break;
    case KQ_AGENT_ITEM_ANSWER:
      kq_pack_u64 (p, i->u.answer.call);
      kq_pack_i64 (p, i->u.answer.value);
      kq_pack_str (p, i->u.answer.text);
      break;
    case KQ_AGENT_ITEM_HELLO:
      kq_pack_name (p, &i->u.hello.info.name);
      kq_pack_name (p, &i->u.hello.info.failure_domain);
      kq_pack_i64 (p, i->u.hello.info.share_milli);
      kq_pack_u64 (p, i->u.hello.version);
      break;
    case KQ_AGENT_ITEM_WELCOME:
      kq_pack_u64 (p, i->u.welcome.version);
      break;
    case KQ_AGENT_ITEM_HEARTBEAT:
      kq_pack_i64 (p, i->u.heartbeat.store_age_ms);
      kq_pack_i64 (p, i->u.heartbeat.sent_at);
      break;
    case KQ_AGENT_ITEM_LIST:
      kq_agent_item_pack_list_head (p, &i->u.list);
      kq_agent_item_pack_running (p, &i->u.list);
      kq_agent_item_pack_ended (p, &i->u.list);
      break;
    case KQ_AGENT_ITEM_CHANGES:
      kq_agent_item_pack_list_head (p, &i->u.changes.list);
      kq_agent_item_pack_changes (p, &i->u.changes.running);
      kq_agent_item_pack_ended (p, &i->u.changes.list);
      break;
    case KQ_AGENT_ITEM_OUTCOME:
      pack_outcome (p, &i->u.outcome);
      break;
    case KQ_AGENT_ITEM_UNREACHED:
      kq_pack_i64 (p, i->u.unreached.lease_left_ms);
      kq_pack_bool (p, i->u.unreached.other_runner);
      kq_pack_u64 (p, i->u.unreached.assignment);
      break;
    case KQ_AGENT_ITEM_ASK:
      kq_pack_u64 (p, i->u.ask.call);
      kq_pack_i64 (p, i->u.ask.what);
      kq_pack_str (p, i->u.ask.about);
      break;
    case KQ_AGENT_ITEM_JOB:
      kq_pack_str (p, i->u.job.stored);
      kq_pack_u64 (p, i->u.job.revision);
      break;
    case KQ_AGENT_ITEM_CANCEL:
      kq_pack_str (p, i->u.cancel.id);
      break;
    case KQ_AGENT_ITEM_ADVICE:
      kq_agent_item_pack_advice (p, &i->u.advice);
      break;
    case KQ_AGENT_ITEM_GRANTS:
      kq_agent_item_pack_grants (p, &i->u.grants);
      break;
    case KQ_AGENT_ITEM_LOAD:
      kq_agent_item_pack_load (p, i);
      break;
    case KQ_AGENT_ITEM_WRITING:
      kq_pack_str (p, i->u.writing.id);
      kq_pack_bool (p, i->u.writing.over);
      break;
    case KQ_AGENT_ITEM_PING:
      pack_ping (p, i);
      break;
    case KQ_AGENT_ITEM_FOLLOW:
      kq_pack_u64 (p, i->u.follow.revision);
      break;
    case KQ_AGENT_ITEM_END_LEASE:
      kq_pack_u64 (p, i->u.end_lease.lease);
      break;
    case KQ_AGENT_ITEM_LEADER:
      kq_agent_item_pack_leader (p, i);
      break;
    case KQ_AGENT_ITEM_KEY_CHANGE:
      kq_agent_item_pack_key_change (p, &i->u.key_change);
      break;
    case KQ_AGENT_ITEM_FENCED:
    case KQ_AGENT_ITEM_LEAVE:
    case KQ_AGENT_ITEM_UNKNOWN:
      break;
    }
}

/* Earlier versions leave out the last fields. */
static void
read_ping (KqReader *r, KqAgentItem *i)
{
  i->u.ping.heartbeat_sent_at = kq_read_i64 (r);
  i->u.ping.store_age_ms = r->left > 0 ? kq_read_i64 (r) : -1;
  i->u.ping.keys_revision = r->left > 0 ? kq_read_u64 (r) : 0;
  i->u.ping.keys_age_ms = r->left > 0 ? kq_read_i64 (r) : -1;
  i->u.ping.jobs_free = r->left > 0 ? kq_read_i64 (r) : -1;
}

static void
read_fields (KqReader *r, KqAgentItem *i)
{
  switch (i->kind)
    {
    case KQ_AGENT_ITEM_ORDER:
      if (!read_order (r, &i->u.order))
        *i = (KqAgentItem){ .u.unknown.kind = KQ_AGENT_ITEM_ORDER };
      return;
    case KQ_AGENT_ITEM_ANSWER:
      i->u.answer.call = kq_read_u64 (r);
      i->u.answer.value = kq_read_i64 (r);
      i->u.answer.text = kq_read_str (r);
      return;
    case KQ_AGENT_ITEM_HELLO:
      i->u.hello.info.name = kq_read_name (r);
      i->u.hello.info.failure_domain = kq_read_name (r);
      i->u.hello.info.share_milli = (int)kq_read_i64 (r);
      i->u.hello.version = r->left > 0 ? (uint32_t)kq_read_u64 (r) : 1;
      return;
    case KQ_AGENT_ITEM_WELCOME:
      i->u.welcome.version = (uint32_t)kq_read_u64 (r);
      return;
    case KQ_AGENT_ITEM_HEARTBEAT:
      i->u.heartbeat.store_age_ms = kq_read_i64 (r);
      i->u.heartbeat.sent_at = kq_read_i64 (r);
      return;
    case KQ_AGENT_ITEM_LIST:
      kq_agent_item_read_list_head (r, &i->u.list);
      kq_agent_item_read_running (r, &i->u.list);
      kq_agent_item_read_ended (r, &i->u.list);
      return;
    case KQ_AGENT_ITEM_CHANGES:
      kq_agent_item_read_list_head (r, &i->u.changes.list);
      kq_agent_item_read_changes (r, &i->u.changes.running);
      kq_agent_item_read_ended (r, &i->u.changes.list);
      return;
    case KQ_AGENT_ITEM_OUTCOME:
      read_outcome (r, &i->u.outcome);
      return;
    case KQ_AGENT_ITEM_UNREACHED:
      i->u.unreached.lease_left_ms = kq_read_i64 (r);
      i->u.unreached.other_runner = kq_read_bool (r);
      i->u.unreached.assignment = kq_read_u64 (r);
      return;
    case KQ_AGENT_ITEM_ASK:
      i->u.ask.call = kq_read_u64 (r);
      i->u.ask.what = (KqAskKind)kq_read_i64 (r);
      i->u.ask.about = kq_read_str (r);
      return;
    case KQ_AGENT_ITEM_JOB:
      i->u.job.stored = kq_read_str (r);
      i->u.job.revision = kq_read_u64 (r);
      return;
    case KQ_AGENT_ITEM_CANCEL:
      i->u.cancel.id = kq_read_str (r);
      return;
    case KQ_AGENT_ITEM_ADVICE:
      kq_agent_item_read_advice (r, &i->u.advice);
      return;
    case KQ_AGENT_ITEM_GRANTS:
      kq_agent_item_read_grants (r, &i->u.grants);
      return;
    case KQ_AGENT_ITEM_LOAD:
      kq_agent_item_read_load (r, i);
      return;
    case KQ_AGENT_ITEM_WRITING:
      i->u.writing.id = kq_read_str (r);
      i->u.writing.over = kq_read_bool (r);
      return;
    case KQ_AGENT_ITEM_PING:
      read_ping (r, i);
      return;
    case KQ_AGENT_ITEM_FOLLOW:
      i->u.follow.revision = kq_read_u64 (r);
      return;
    case KQ_AGENT_ITEM_END_LEASE:
      i->u.end_lease.lease = kq_read_u64 (r);
      return;
    case KQ_AGENT_ITEM_LEADER:
      kq_agent_item_read_leader (r, i);
      return;
    case KQ_AGENT_ITEM_KEY_CHANGE:
      kq_agent_item_read_key_change (r, &i->u.key_change);
      return;
    case KQ_AGENT_ITEM_FENCED:
    case KQ_AGENT_ITEM_LEAVE:
    case KQ_AGENT_ITEM_UNKNOWN:
      return;
    }
}

/* The number of the item's fields after kind and runner. It is needed before they are
 * packed, as an array is preceded by its length. */
static size_t
count_fields (const KqAgentItem *i)
{
  /* By KqAgentItemKind, and for orders by KqOrderKind. */
  static const uint8_t of_kind[]
      = { 0, 0, 3, 5, 4, 2, 8, 9, 3, 0, 3, 2, 1, 7, 1, 10, 0, 2, 5, 2, 1, 5, 1, 3 };
  static const uint8_t of_order[] = { 5, 2, 7, 4, 5, 5, 6, 3 };
  if (i->kind == KQ_AGENT_ITEM_ORDER)
    return of_order[i->u.order.kind];
  return of_kind[i->kind];
}

void
kq_agent_item_pack (const KqAgentItem *i, KqBuf *out)
{
  size_t start = out->len;
  KqPacker p;
  uint32_t n;
  kq_buf_add (out, "\0\0\0\0", 4);
  kq_packer_init (&p, out);
  kq_pack_array (&p, 2 + count_fields (i));
  kq_pack_i64 (&p, i->kind);
  kq_pack_str (&p, i->runner);
  pack_fields (&p, i);
  n = (uint32_t)(out->len - start - 4);
  memcpy (out->ptr + start, &n, sizeof n);
}

bool
kq_agent_item_unpack (KqStr *rest, KqAgentItem *out)
{
  KqUnpacked u;
  KqReader r;
  uint32_t n;
  int64_t kind;
  bool ok;
  *out = (KqAgentItem){ 0 };
  if (rest->len < sizeof n)
    return false;
  memcpy (&n, rest->ptr, sizeof n);
  if (rest->len - sizeof n < n
      || !kq_unpacked_open (&u, kq_str_n (rest->ptr + sizeof n, n), &r))
    return false;
  kind = kq_read_i64 (&r);
  if (kind >= KQ_AGENT_ITEM_ORDER && kind <= KQ_AGENT_ITEM_LEADER)
    {
      out->kind = (KqAgentItemKind)kind;
      out->runner = kq_read_str (&r);
      read_fields (&r, out);
    }
  else
    out->u.unknown.kind = kind;
  ok = !r.bad;
  kq_unpacked_close (&u);
  if (ok)
    *rest = kq_str_n (rest->ptr + sizeof n + n, rest->len - sizeof n - n);
  else
    kq_agent_item_clear (out);
  return ok;
}

void
kq_agent_item_clear (KqAgentItem *i)
{
  if (i->kind == KQ_AGENT_ITEM_LIST)
    {
      free ((void *)i->u.list.running);
      free ((void *)i->u.list.ended);
      i->u.list.running = NULL;
      i->u.list.ended = NULL;
    }
  else if (i->kind == KQ_AGENT_ITEM_CHANGES)
    {
      free ((void *)i->u.changes.list.ended);
      free ((void *)i->u.changes.running.rows);
      free ((void *)i->u.changes.running.gone);
      i->u.changes.list.ended = NULL;
      i->u.changes.running = (KqRunDelta){ 0 };
    }
  else if (i->kind == KQ_AGENT_ITEM_GRANTS)
    {
      free ((void *)i->u.grants.rows);
      i->u.grants.rows = NULL;
    }
  else if (i->kind == KQ_AGENT_ITEM_LOAD)
    {
      free ((void *)i->u.load.digest);
      i->u.load.digest = NULL;
    }
  else if (i->kind == KQ_AGENT_ITEM_ADVICE)
    {
      free ((void *)i->u.advice.reply.rows);
      i->u.advice.reply.rows = NULL;
    }
  else if (i->kind == KQ_AGENT_ITEM_ORDER && i->u.order.kind == KQ_ORDER_ADVISE)
    {
      free ((void *)i->u.order.u.advise.runners);
      i->u.order.u.advise.runners = NULL;
    }
}
