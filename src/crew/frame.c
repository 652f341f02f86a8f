#include "crew/frame.h"

#include "wire/pack.h"

#include <stdlib.h>
#include <string.h>

/* Rows of one list at most; more is a damaged frame. */
#define ROWS_MAX 100000

static void
pack_order (KqPacker *p, const KqOrder *o)
{
  kq_pack_i64 (p, o->kind);
  kq_pack_str (p, o->runner);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
      kq_pack_str (p, o->u.take.address);
      kq_pack_u64 (p, o->u.take.taking);
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
      kq_pack_i64 (p, o->u.seen.born_ms);
      kq_pack_bool (p, o->u.seen.watched);
      break;
    case KQ_ORDER_ADVISE:
      kq_pack_str (p, o->u.advise.step);
      kq_pack_array (p, o->u.advise.n_runners);
      for (size_t i = 0; i < o->u.advise.n_runners; i++)
        kq_pack_str (p, o->u.advise.runners[i]);
      break;
    case KQ_ORDER_RENEW:
      kq_pack_u64 (p, o->u.renew.halt);
      break;
    }
}

static size_t open_rows (KqReader *r, KqReader *rows);

static void
read_advise (KqReader *r, KqOrder *o)
{
  KqReader rows;
  KqStr *list;
  size_t n;
  o->u.advise.step = kq_read_str (r);
  n = open_rows (r, &rows);
  if (n > KQ_ADVICE_RUNNERS_MAX)
    r->bad = true;
  n = r->bad ? 0 : n;
  list = kq_alloc ((n + 1) * sizeof *list);
  o->u.advise.runners = list;
  o->u.advise.n_runners = n;
  for (size_t i = 0; i < n; i++)
    list[i] = kq_read_str (&rows);
  kq_read_join (r, &rows);
}

static void
read_order (KqReader *r, KqOrder *o)
{
  o->kind = (KqOrderKind)kq_read_i64 (r);
  o->runner = kq_read_str (r);
  switch (o->kind)
    {
    case KQ_ORDER_TAKE:
      o->u.take.address = kq_read_str (r);
      o->u.take.taking = kq_read_u64 (r);
      return;
    case KQ_ORDER_DROP:
      return;
    case KQ_ORDER_START:
      o->u.start.task = kq_read_str (r);
      o->u.start.run = (uint32_t)kq_read_u64 (r);
      o->u.start.text = kq_read_str (r);
      o->u.start.checkpoint = kq_read_str (r);
      o->u.start.ticket = kq_read_str (r);
      return;
    case KQ_ORDER_STOP:
      o->u.stop.task = kq_read_str (r);
      o->u.stop.run = (uint32_t)kq_read_u64 (r);
      return;
    case KQ_ORDER_PACE:
      o->u.pace.task = kq_read_str (r);
      o->u.pace.run = (uint32_t)kq_read_u64 (r);
      o->u.pace.percent = (int)kq_read_i64 (r);
      return;
    case KQ_ORDER_SEEN:
      o->u.seen.ends = kq_read_u64 (r);
      o->u.seen.born_ms = kq_read_i64 (r);
      o->u.seen.watched = kq_read_bool (r);
      return;
    case KQ_ORDER_ADVISE:
      read_advise (r, o);
      return;
    case KQ_ORDER_RENEW:
      o->u.renew.halt = kq_read_u64 (r);
      return;
    }
  r->bad = true;
}

static void
pack_list (KqPacker *p, const KqRunnerList *l)
{
  kq_pack_i64 (p, l->born_ms);
  kq_pack_i64 (p, l->lease_left_ms);
  kq_pack_u64 (p, l->order);
  kq_pack_u64 (p, l->taking);
  kq_pack_u64 (p, l->halt);
  kq_pack_bool (p, l->ended_cut);
  kq_pack_array (p, l->n_running);
  for (size_t i = 0; i < l->n_running; i++)
    {
      const KqRunRow *row = &l->running[i];
      kq_pack_array (p, 5);
      kq_pack_str (p, row->task);
      kq_pack_u64 (p, row->run);
      kq_pack_str (p, row->checkpoint);
      kq_pack_i64 (p, row->percent);
      kq_pack_i64 (p, row->load);
    }
  kq_pack_array (p, l->n_ended);
  for (size_t i = 0; i < l->n_ended; i++)
    {
      const KqEndRow *row = &l->ended[i];
      kq_pack_array (p, 5);
      kq_pack_u64 (p, row->number);
      kq_pack_str (p, row->task);
      kq_pack_u64 (p, row->run);
      kq_pack_i64 (p, row->how);
      kq_pack_str (p, row->checkpoint);
    }
}

static size_t
open_rows (KqReader *r, KqReader *rows)
{
  kq_read_array (r, rows);
  if (rows->bad || rows->left > ROWS_MAX)
    {
      r->bad = true;
      rows->bad = true;
      rows->left = 0;
    }
  return rows->left;
}

static void
read_running (KqReader *r, KqRunnerList *l)
{
  KqReader rows;
  size_t n = open_rows (r, &rows);
  KqRunRow *list = kq_alloc ((n + 1) * sizeof *list);
  l->running = list;
  l->n_running = n;
  for (size_t i = 0; i < n; i++)
    {
      KqReader row;
      kq_read_array (&rows, &row);
      list[i].task = kq_read_str (&row);
      list[i].run = (uint32_t)kq_read_u64 (&row);
      list[i].checkpoint = kq_read_str (&row);
      list[i].percent = (int)kq_read_i64 (&row);
      list[i].load = (int)kq_read_i64 (&row);
      kq_read_join (&rows, &row);
    }
  kq_read_join (r, &rows);
}

static void
read_ended (KqReader *r, KqRunnerList *l)
{
  KqReader rows;
  size_t n = open_rows (r, &rows);
  KqEndRow *list = kq_alloc ((n + 1) * sizeof *list);
  l->ended = list;
  l->n_ended = n;
  for (size_t i = 0; i < n; i++)
    {
      KqReader row;
      int64_t how;
      kq_read_array (&rows, &row);
      list[i].number = kq_read_u64 (&row);
      list[i].task = kq_read_str (&row);
      list[i].run = (uint32_t)kq_read_u64 (&row);
      how = kq_read_i64 (&row);
      if (how < KQ_END_DONE || how > KQ_END_ALONE)
        row.bad = true;
      list[i].how = (KqEndHow)how;
      list[i].checkpoint = kq_read_str (&row);
      kq_read_join (&rows, &row);
    }
  kq_read_join (r, &rows);
}

static void
pack_outcome (KqPacker *p, const KqOrderOutcome *o)
{
  kq_pack_i64 (p, o->kind);
  kq_pack_str (p, o->task);
  kq_pack_u64 (p, o->run);
  kq_pack_i64 (p, o->result);
  kq_pack_u64 (p, o->order);
  kq_pack_u64 (p, o->taking);
  kq_pack_i64 (p, o->lease_left_ms);
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
  o->taking = kq_read_u64 (r);
  o->lease_left_ms = kq_read_i64 (r);
}

static void
pack_advice (KqPacker *p, const KqStepAdvice *a)
{
  kq_pack_str (p, a->step);
  kq_pack_i64 (p, a->reply.result);
  kq_pack_i64 (p, a->reply.valid_ms);
  kq_pack_array (p, a->reply.n_rows);
  for (size_t i = 0; i < a->reply.n_rows; i++)
    {
      kq_pack_array (p, 2);
      kq_pack_str (p, a->reply.rows[i].runner);
      kq_pack_str (p, a->reply.rows[i].ticket);
    }
}

static void
read_advice (KqReader *r, KqStepAdvice *a)
{
  KqReader rows;
  KqAdviceRow *list;
  int64_t result;
  a->step = kq_read_str (r);
  result = kq_read_i64 (r);
  if (result < KQ_ADVICE_OK || result > KQ_ADVICE_UNKNOWN)
    r->bad = true;
  a->reply.result = (KqAdviceResult)result;
  a->reply.valid_ms = kq_read_i64 (r);
  a->reply.n_rows = open_rows (r, &rows);
  list = kq_alloc ((a->reply.n_rows + 1) * sizeof *list);
  a->reply.rows = list;
  for (size_t i = 0; i < a->reply.n_rows; i++)
    {
      KqReader row;
      kq_read_array (&rows, &row);
      list[i].runner = kq_read_str (&row);
      list[i].ticket = kq_read_str (&row);
      kq_read_join (&rows, &row);
    }
  kq_read_join (r, &rows);
}

static void
pack_fields (KqPacker *p, const KqCrewItem *i)
{
  switch (i->kind)
    {
    case KQ_CREW_ORDER:
      pack_order (p, &i->u.order);
      break;
    case KQ_CREW_ANSWER:
      kq_pack_u64 (p, i->u.answer.call);
      kq_pack_i64 (p, i->u.answer.value);
      kq_pack_str (p, i->u.answer.text);
      break;
    case KQ_CREW_HELLO:
      kq_pack_name (p, &i->u.hello.name);
      kq_pack_name (p, &i->u.hello.failure_domain);
      kq_pack_i64 (p, i->u.hello.share_milli);
      break;
    case KQ_CREW_BEAT:
      kq_pack_i64 (p, i->u.beat.store_age_ms);
      kq_pack_i64 (p, i->u.beat.sent_at);
      break;
    case KQ_CREW_LIST:
      pack_list (p, &i->u.list);
      break;
    case KQ_CREW_OUTCOME:
      pack_outcome (p, &i->u.outcome);
      break;
    case KQ_CREW_UNREACHED:
      kq_pack_i64 (p, i->u.unreached.lease_left_ms);
      kq_pack_bool (p, i->u.unreached.gone);
      kq_pack_u64 (p, i->u.unreached.taking);
      break;
    case KQ_CREW_ASK:
      kq_pack_u64 (p, i->u.ask.call);
      kq_pack_i64 (p, i->u.ask.what);
      kq_pack_str (p, i->u.ask.about);
      break;
    case KQ_CREW_JOB:
      kq_pack_str (p, i->u.job.stored);
      kq_pack_u64 (p, i->u.job.revision);
      break;
    case KQ_CREW_CANCEL:
      kq_pack_str (p, i->u.cancel.id);
      break;
    case KQ_CREW_ADVICE:
      pack_advice (p, &i->u.advice);
      break;
    case KQ_CREW_PING:
      kq_pack_i64 (p, i->u.ping.beat_sent_at);
      break;
    case KQ_CREW_FENCED:
      break;
    }
}

static void
read_fields (KqReader *r, KqCrewItem *i)
{
  switch (i->kind)
    {
    case KQ_CREW_ORDER:
      read_order (r, &i->u.order);
      return;
    case KQ_CREW_ANSWER:
      i->u.answer.call = kq_read_u64 (r);
      i->u.answer.value = kq_read_i64 (r);
      i->u.answer.text = kq_read_str (r);
      return;
    case KQ_CREW_HELLO:
      i->u.hello.name = kq_read_name (r);
      i->u.hello.failure_domain = kq_read_name (r);
      i->u.hello.share_milli = (int)kq_read_i64 (r);
      return;
    case KQ_CREW_BEAT:
      i->u.beat.store_age_ms = kq_read_i64 (r);
      i->u.beat.sent_at = kq_read_i64 (r);
      return;
    case KQ_CREW_LIST:
      i->u.list.born_ms = kq_read_i64 (r);
      i->u.list.lease_left_ms = kq_read_i64 (r);
      i->u.list.order = kq_read_u64 (r);
      i->u.list.taking = kq_read_u64 (r);
      i->u.list.halt = kq_read_u64 (r);
      i->u.list.ended_cut = kq_read_bool (r);
      read_running (r, &i->u.list);
      read_ended (r, &i->u.list);
      return;
    case KQ_CREW_OUTCOME:
      read_outcome (r, &i->u.outcome);
      return;
    case KQ_CREW_UNREACHED:
      i->u.unreached.lease_left_ms = kq_read_i64 (r);
      i->u.unreached.gone = kq_read_bool (r);
      i->u.unreached.taking = kq_read_u64 (r);
      return;
    case KQ_CREW_ASK:
      i->u.ask.call = kq_read_u64 (r);
      i->u.ask.what = (KqAskKind)kq_read_i64 (r);
      i->u.ask.about = kq_read_str (r);
      return;
    case KQ_CREW_JOB:
      i->u.job.stored = kq_read_str (r);
      i->u.job.revision = kq_read_u64 (r);
      return;
    case KQ_CREW_CANCEL:
      i->u.cancel.id = kq_read_str (r);
      return;
    case KQ_CREW_ADVICE:
      read_advice (r, &i->u.advice);
      return;
    case KQ_CREW_PING:
      i->u.ping.beat_sent_at = kq_read_i64 (r);
      return;
    case KQ_CREW_FENCED:
      return;
    }
  r->bad = true;
}

/* Numbers of fields behind kind and runner; an array must tell its length first. */
static size_t
n_fields (const KqCrewItem *i)
{
  static const uint8_t of_kind[] = { 0, 0, 3, 1, 3, 2, 8, 7, 3, 0, 3, 2, 1, 4 };
  static const uint8_t of_order[] = { 4, 2, 7, 4, 5, 5, 4, 3 };
  if (i->kind == KQ_CREW_ORDER)
    return of_order[i->u.order.kind];
  return of_kind[i->kind];
}

void
kq_crew_pack (const KqCrewItem *i, KqBuf *out)
{
  size_t start = out->len;
  KqPacker p;
  uint32_t n;
  kq_buf_add (out, "\0\0\0\0", 4);
  kq_packer_init (&p, out);
  kq_pack_array (&p, 2 + n_fields (i));
  kq_pack_i64 (&p, i->kind);
  kq_pack_str (&p, i->runner);
  pack_fields (&p, i);
  n = (uint32_t)(out->len - start - 4);
  memcpy (out->ptr + start, &n, sizeof n);
}

bool
kq_crew_unpack (KqStr *rest, KqCrewItem *out)
{
  KqUnpacked u;
  KqReader r;
  uint32_t n;
  bool good;
  *out = (KqCrewItem){ 0 };
  if (rest->len < sizeof n)
    return false;
  memcpy (&n, rest->ptr, sizeof n);
  if (rest->len - sizeof n < n
      || !kq_unpacked_open (&u, kq_str_n (rest->ptr + sizeof n, n), &r))
    return false;
  out->kind = (KqCrewKind)kq_read_i64 (&r);
  out->runner = kq_read_str (&r);
  read_fields (&r, out);
  good = !r.bad;
  kq_unpacked_close (&u);
  if (good)
    *rest = kq_str_n (rest->ptr + sizeof n + n, rest->len - sizeof n - n);
  else
    kq_crew_clear (out);
  return good;
}

void
kq_crew_clear (KqCrewItem *i)
{
  if (i->kind == KQ_CREW_LIST)
    {
      free ((void *)i->u.list.running);
      free ((void *)i->u.list.ended);
      i->u.list.running = NULL;
      i->u.list.ended = NULL;
    }
  else if (i->kind == KQ_CREW_ADVICE)
    {
      free ((void *)i->u.advice.reply.rows);
      i->u.advice.reply.rows = NULL;
    }
  else if (i->kind == KQ_CREW_ORDER && i->u.order.kind == KQ_ORDER_ADVISE)
    {
      free ((void *)i->u.order.u.advise.runners);
      i->u.order.u.advise.runners = NULL;
    }
}
