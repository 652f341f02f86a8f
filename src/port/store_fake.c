#include "port/store_fake.h"

#include "base/rand.h"
#include "port/store_fake_keys.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

typedef enum
{
  EV_ARRIVE,    /* a call reaches the store */
  EV_ANSWER,    /* an answer reaches its client */
  EV_WATCH_END, /* a watch has waited for its wait_ms */
  EV_EXPIRE     /* a lease may have expired */
} EventKind;

/* An event of the simulation. Its op and reply own their strings. */
typedef struct
{
  EventKind kind;
  KqTime at;
  uint64_t serial;
  int client;
  uint64_t call;  /* number of the call: identifies the watch of a WATCH_END */
  KqTime one_way; /* half of the round trip drawn for the call */
  KqTime answer_delay;
  KqStoreCallFault fault;
  bool no_answer; /* the client gets UNREACHABLE from another event, or has gone */
  KqStoreOp op;
  KqStoreReply reply;
  uint64_t lease;
} Event;

struct KqStoreFake
{
  KqStoreFaults faults;
  KqStoreFakeCount count;
  KqRand rand;
  KqFakeKeys keys;
  uint64_t next_serial;
  uint64_t next_call;
  Event **heap; /* binary heap by (at, serial) */
  size_t n_heap, heap_capacity;
  Event **watches; /* watch calls that wait for a change */
  size_t n_watches, watches_capacity;
  Event *delivered; /* the answer returned last */
  bool script_on;
  KqStoreOpKind script_kind;
  char *script_prefix;
  int script_skip;
  KqStoreCallFault script_fault;
};

KqStoreFake *
kq_store_fake_new (uint64_t seed)
{
  KqStoreFake *s = kq_alloc (sizeof *s);
  s->rand = kq_rand (seed);
  s->faults.latency = 2 * KQ_MS;
  s->faults.timeout = KQ_SEC;
  return s;
}

static void
free_event (Event *e)
{
  free ((char *)e->op.key.ptr);
  free ((char *)e->op.value.ptr);
  free ((char *)e->reply.value.ptr);
  for (size_t i = 0; i < e->reply.n_items; i++)
    {
      free ((char *)e->reply.items[i].key.ptr);
      free ((char *)e->reply.items[i].value.ptr);
    }
  free (e->reply.items);
  free (e);
}

void
kq_store_fake_free (KqStoreFake *s)
{
  if (s == NULL)
    return;
  for (size_t i = 0; i < s->n_heap; i++)
    free_event (s->heap[i]);
  for (size_t i = 0; i < s->n_watches; i++)
    free_event (s->watches[i]);
  kq_fake_keys_free (&s->keys);
  if (s->delivered != NULL)
    free_event (s->delivered);
  free (s->heap);
  free (s->watches);
  free (s->script_prefix);
  free (s);
}

KqStoreFaults *
kq_store_fake_faults (KqStoreFake *s)
{
  return &s->faults;
}

void
kq_store_fake_script (KqStoreFake *s, KqStoreOpKind kind, const char *prefix, int skip,
                      KqStoreCallFault fault)
{
  free (s->script_prefix);
  s->script_on = true;
  s->script_kind = kind;
  s->script_prefix = kq_str_dup (kq_str (prefix));
  s->script_skip = skip;
  s->script_fault = fault;
}

bool
kq_store_fake_script_done (const KqStoreFake *s)
{
  return !s->script_on;
}

static bool
earlier (const Event *a, const Event *b)
{
  return a->at != b->at ? a->at < b->at : a->serial < b->serial;
}

static void
push (KqStoreFake *s, Event *e, KqTime at)
{
  size_t i = s->n_heap++;
  if (i == s->heap_capacity)
    {
      s->heap_capacity = s->heap_capacity > 0 ? s->heap_capacity * 2 : 64;
      s->heap = kq_realloc (s->heap, s->heap_capacity * sizeof (Event *));
    }
  e->at = at;
  e->serial = ++s->next_serial;
  for (; i > 0 && earlier (e, s->heap[(i - 1) / 2]); i = (i - 1) / 2)
    s->heap[i] = s->heap[(i - 1) / 2];
  s->heap[i] = e;
}

static Event *
pop (KqStoreFake *s)
{
  Event *top = s->heap[0];
  Event *last = s->heap[--s->n_heap];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= s->n_heap)
        break;
      if (child + 1 < s->n_heap && earlier (s->heap[child + 1], s->heap[child]))
        child++;
      if (!earlier (s->heap[child], last))
        break;
      s->heap[i] = s->heap[child];
      i = child;
    }
  if (s->n_heap > 0)
    s->heap[i] = last;
  return top;
}

/* Fills in the answer of LIST: the rows under the prefix and the highest revision. */
static void
fill_list (KqStoreFake *s, KqStr prefix, KqStoreReply *r)
{
  r->result = KQ_OK;
  r->revision = s->keys.revision;
  r->items = kq_fake_keys_list (&s->keys, prefix, &r->n_items);
  for (size_t i = 0; i < r->n_items; i++)
    s->count.get_bytes += r->items[i].value.len;
}

static void
answer (KqStoreFake *s, Event *e)
{
  if (e->no_answer)
    {
      free_event (e);
      return;
    }
  if (e->fault == KQ_STORE_FAULT_DUPLICATE && e->op.kind != KQ_STORE_LIST
      && e->op.kind != KQ_STORE_WATCH)
    {
      Event *copy = kq_alloc (sizeof *copy);
      *copy = *e;
      copy->op.key = kq_fake_copy (e->op.key);
      copy->op.value = kq_fake_copy (e->op.value);
      copy->reply.value = kq_fake_copy (e->reply.value);
      copy->kind = EV_ANSWER;
      push (s, copy, e->at + e->one_way + e->answer_delay + s->faults.timeout / 2);
    }
  e->kind = EV_ANSWER;
  push (s, e, e->at + e->one_way + e->answer_delay);
}

/* Answers the watches on a key that has just changed. */
static void
wake_watches (KqStoreFake *s, KqStr key, KqTime at)
{
  size_t kept = 0;
  for (size_t i = 0; i < s->n_watches; i++)
    {
      Event *e = s->watches[i];
      if (!kq_str_has_prefix (key, e->op.key) || s->faults.down
          || s->faults.watches_silent)
        {
          s->watches[kept++] = e;
          continue;
        }
      fill_list (s, e->op.key, &e->reply);
      e->at = at;
      answer (s, e);
    }
  s->n_watches = kept;
}

static void
set_row (KqStoreFake *s, KqFakeRow *row, KqStr value, uint64_t lease, bool present,
         KqTime at)
{
  kq_fake_keys_set (&s->keys, row, value, lease, present);
  wake_watches (s, row->key, at);
}

/* Ends a lease and deletes its keys. */
static void
drop_lease (KqStoreFake *s, uint64_t id, KqTime at)
{
  KqFakeLease *l = kq_fake_keys_find_lease (&s->keys, id);
  if (l == NULL)
    return;
  *l = s->keys.leases[--s->keys.n_leases];
  for (size_t i = 0; i < s->keys.n_rows; i++)
    if (s->keys.rows[i].present && s->keys.rows[i].lease == id)
      set_row (s, &s->keys.rows[i], (KqStr){ 0 }, 0, false, at);
}

static void
extend_lease (KqStoreFake *s, KqFakeLease *l, int lease_ms, KqTime at)
{
  Event *e = kq_alloc (sizeof *e);
  l->expires = at + lease_ms * KQ_MS;
  e->kind = EV_EXPIRE;
  e->lease = l->id;
  push (s, e, l->expires);
}

static void
do_write (KqStoreFake *s, Event *e)
{
  const KqStoreOp *op = &e->op;
  KqStoreReply *r = &e->reply;
  KqFakeRow *row = kq_fake_keys_find (&s->keys, op->key);
  uint64_t current = row != NULL && row->present ? row->revision : 0;
  if (op->value.len > KQ_STORE_VALUE_MAX)
    r->result = KQ_ERR_STORE_TOO_LARGE;
  else if (current != op->expect)
    {
      r->result = KQ_ERR_STORE_CONFLICT;
      r->revision = current;
      if (current != 0)
        r->value = kq_fake_copy (row->value);
      s->count.get_bytes += r->value.len;
    }
  else if (op->kind == KQ_STORE_DELETE && current == 0)
    r->result = KQ_ERR_STORE_NOT_FOUND;
  else if (op->lease != 0 && kq_fake_keys_find_lease (&s->keys, op->lease) == NULL)
    r->result = KQ_ERR_STORE_LEASE_LOST;
  else
    {
      bool put = op->kind == KQ_STORE_PUT;
      row = kq_fake_keys_add (&s->keys, op->key);
      set_row (s, row, put ? op->value : (KqStr){ 0 }, op->lease, put, e->at);
      r->result = KQ_OK;
      r->revision = s->keys.revision;
    }
}

static void
do_grant (KqStoreFake *s, Event *e)
{
  KqFakeLease *l = kq_fake_keys_grant (&s->keys);
  extend_lease (s, l, e->op.lease_ms, e->at);
  e->reply.lease = l->id;
  e->reply.result = KQ_OK;
}

static void
do_lease (KqStoreFake *s, Event *e)
{
  KqFakeLease *l = kq_fake_keys_find_lease (&s->keys, e->op.lease);
  e->reply.lease = e->op.lease;
  e->reply.result = l != NULL ? KQ_OK : KQ_ERR_STORE_LEASE_LOST;
  if (l != NULL && e->op.kind == KQ_STORE_LEASE_RENEW)
    extend_lease (s, l, e->op.lease_ms, e->at);
  else if (l != NULL)
    drop_lease (s, e->op.lease, e->at);
}

/* Carries out a watch. True: the reply is filled in; false: the watch waits. */
static bool
do_watch (KqStoreFake *s, Event *e)
{
  for (size_t i = kq_fake_keys_lower_bound (&s->keys, e->op.key);
       i < s->keys.n_rows && kq_str_has_prefix (s->keys.rows[i].key, e->op.key); i++)
    if (s->keys.rows[i].revision > e->op.expect && !s->faults.watches_silent)
      {
        fill_list (s, e->op.key, &e->reply);
        return true;
      }
  Event *end = kq_alloc (sizeof *end);
  end->kind = EV_WATCH_END;
  end->call = e->call;
  push (s, end, e->at + e->op.wait_ms * KQ_MS);
  if (s->n_watches == s->watches_capacity)
    {
      s->watches_capacity = s->watches_capacity > 0 ? s->watches_capacity * 2 : 16;
      s->watches = kq_realloc (s->watches, s->watches_capacity * sizeof (Event *));
    }
  s->watches[s->n_watches++] = e;
  return false;
}

static void
end_watch (KqStoreFake *s, uint64_t call, KqTime at)
{
  for (size_t i = 0; i < s->n_watches; i++)
    {
      Event *e = s->watches[i];
      if (e->call != call)
        continue;
      s->watches[i] = s->watches[--s->n_watches];
      e->at = at;
      if (s->faults.down || s->faults.watches_silent)
        {
          e->reply.result = KQ_ERR_STORE_UNREACHABLE;
          e->answer_delay = s->faults.timeout;
        }
      else
        fill_list (s, e->op.key, &e->reply);
      answer (s, e);
      return;
    }
}

static void
do_get (KqStoreFake *s, Event *e)
{
  const KqFakeRow *row = kq_fake_keys_find (&s->keys, e->op.key);
  e->reply.result = KQ_ERR_STORE_NOT_FOUND;
  if (row == NULL || !row->present)
    return;
  e->reply.result = KQ_OK;
  e->reply.value = kq_fake_copy (row->value);
  e->reply.revision = row->revision;
  s->count.get_bytes += row->value.len;
}

static void
arrive (KqStoreFake *s, Event *e)
{
  if (s->faults.down)
    {
      e->reply.result = KQ_ERR_STORE_UNREACHABLE;
      e->answer_delay += s->faults.timeout;
      answer (s, e);
      return;
    }
  switch (e->op.kind)
    {
    case KQ_STORE_GET:
      do_get (s, e);
      break;
    case KQ_STORE_PUT:
    case KQ_STORE_DELETE:
      do_write (s, e);
      break;
    case KQ_STORE_LIST:
      fill_list (s, e->op.key, &e->reply);
      break;
    case KQ_STORE_LEASE_GRANT:
      do_grant (s, e);
      break;
    case KQ_STORE_LEASE_RENEW:
    case KQ_STORE_LEASE_REVOKE:
      do_lease (s, e);
      break;
    case KQ_STORE_WATCH:
      if (!do_watch (s, e))
        return;
      break;
    case KQ_STORE_HOSTS:
      do_get (s, e);
      break;
    }
  answer (s, e);
}

static KqStoreCallFault
choose_fault (KqStoreFake *s, int client, const KqStoreOp *op)
{
  if (s->faults.cut_to[client])
    return KQ_STORE_FAULT_LOST_BEFORE;
  if (s->faults.cut_from[client])
    return KQ_STORE_FAULT_LOST_AFTER;
  if (s->script_on && op->kind == s->script_kind
      && kq_str_has_prefix (op->key, kq_str (s->script_prefix)) && s->script_skip-- == 0)
    {
      s->script_on = false;
      return s->script_fault;
    }
  double x = kq_rand_unit (&s->rand);
  for (int f = KQ_STORE_FAULT_LOST_BEFORE; f < KQ_STORE_FAULT_COUNT; f++)
    {
      if (x < s->faults.p[f])
        return (KqStoreCallFault)f;
      x -= s->faults.p[f];
    }
  return KQ_STORE_FAULT_NONE;
}

static Event *
new_call (KqStoreFake *s, int client, const KqStoreOp *op, KqTime now)
{
  Event *e = kq_alloc (sizeof *e);
  e->client = client;
  e->op = *op;
  e->op.key = kq_fake_copy (op->key);
  e->op.value = kq_fake_copy (op->value);
  e->reply.kind = op->kind;
  e->reply.part = op->part;
  e->reply.token = op->token;
  e->reply.sent_at = now;
  e->call = s->next_call;
  return e;
}

static void
count_call (KqStoreFake *s, const KqStoreOp *op)
{
  s->count.calls++;
  if (op->kind == KQ_STORE_PUT)
    {
      s->count.puts++;
      s->count.put_bytes += op->value.len;
    }
  if (op->kind != KQ_STORE_GET && op->kind != KQ_STORE_LIST && op->kind != KQ_STORE_WATCH
      && op->kind != KQ_STORE_HOSTS)
    s->count.writes++;
}

void
kq_store_fake_call (KqStoreFake *s, int client, const KqStoreOp *op, KqTime now)
{
  assert (client >= 0 && client < KQ_STORE_FAKE_CLIENTS);
  KqStoreCallFault fault = choose_fault (s, client, op);
  KqTime jitter = s->faults.jitter > 0
                      ? (KqTime)kq_rand_below (&s->rand, (uint64_t)s->faults.jitter + 1)
                      : 0;
  KqTime one_way = (s->faults.latency + jitter) / 2;
  KqTime limit = s->faults.timeout;
  if (op->kind == KQ_STORE_WATCH)
    limit += op->wait_ms * KQ_MS;
  if (fault == KQ_STORE_FAULT_NONE && 2 * one_way > limit)
    fault = KQ_STORE_FAULT_LOST_AFTER;
  count_call (s, op);
  s->next_call++;

  bool unreachable = fault != KQ_STORE_FAULT_NONE && fault != KQ_STORE_FAULT_DUPLICATE;
  if (unreachable)
    {
      Event *e = new_call (s, client, op, now);
      e->kind = EV_ANSWER;
      e->reply.result = KQ_ERR_STORE_UNREACHABLE;
      push (s, e, now + limit);
    }
  if (fault == KQ_STORE_FAULT_LOST_BEFORE)
    return;
  Event *e = new_call (s, client, op, now);
  e->kind = EV_ARRIVE;
  e->fault = fault;
  e->one_way = one_way;
  e->no_answer = unreachable && fault != KQ_STORE_FAULT_LATE_ANSWER;
  e->answer_delay = fault == KQ_STORE_FAULT_LATE_ANSWER ? limit + limit / 2 : 0;
  push (s, e,
        fault == KQ_STORE_FAULT_LATE_EFFECT ? now + limit + 3 * one_way : now + one_way);
}

static void
expire_lease (KqStoreFake *s, const Event *e)
{
  const KqFakeLease *l = kq_fake_keys_find_lease (&s->keys, e->lease);
  if (l != NULL && l->expires <= e->at)
    drop_lease (s, e->lease, e->at);
}

bool
kq_store_fake_next (KqStoreFake *s, KqTime now, int *client, KqStoreReply *out)
{
  if (s->delivered != NULL)
    free_event (s->delivered);
  s->delivered = NULL;
  while (s->n_heap > 0 && s->heap[0]->at <= now)
    {
      Event *e = pop (s);
      switch (e->kind)
        {
        case EV_ARRIVE:
          arrive (s, e);
          break;
        case EV_ANSWER:
          if (e->at < s->faults.paused_until[e->client])
            {
              push (s, e, s->faults.paused_until[e->client]);
              break;
            }
          s->delivered = e;
          *client = e->client;
          *out = e->reply;
          return true;
        case EV_WATCH_END:
          end_watch (s, e->call, e->at);
          free_event (e);
          break;
        case EV_EXPIRE:
          expire_lease (s, e);
          free_event (e);
          break;
        }
    }
  return false;
}

KqTime
kq_store_fake_next_time (const KqStoreFake *s)
{
  return s->n_heap > 0 ? s->heap[0]->at : KQ_TIME_NEVER;
}

void
kq_store_fake_drop_answers (KqStoreFake *s, int client)
{
  Event **old = s->heap;
  size_t n = s->n_heap;
  s->heap = NULL;
  s->n_heap = s->heap_capacity = 0;
  for (size_t i = 0; i < n; i++)
    {
      bool own = old[i]->kind != EV_EXPIRE && old[i]->kind != EV_WATCH_END
                 && old[i]->client == client;
      if (own && old[i]->kind == EV_ANSWER)
        {
          free_event (old[i]);
          continue;
        }
      uint64_t serial = old[i]->serial;
      old[i]->no_answer |= own;
      push (s, old[i], old[i]->at);
      old[i]->serial = serial;
    }
  free (old);
  for (size_t i = 0; i < s->n_watches; i++)
    s->watches[i]->no_answer |= s->watches[i]->client == client;
}

void
kq_store_fake_expire_lease (KqStoreFake *s, uint64_t lease, KqTime now)
{
  drop_lease (s, lease, now);
}

bool
kq_store_fake_get (const KqStoreFake *s, KqStr key, KqStr *value, uint64_t *revision)
{
  const KqFakeRow *row = kq_fake_keys_find (&s->keys, key);
  if (row == NULL || !row->present)
    return false;
  *value = row->value;
  *revision = row->revision;
  return true;
}

void
kq_store_fake_set (KqStoreFake *s, KqStr key, KqStr value, KqTime now)
{
  set_row (s, kq_fake_keys_add (&s->keys, key), value, 0, true, now);
}

const KqStoreFakeCount *
kq_store_fake_count (const KqStoreFake *s)
{
  return &s->count;
}
