#include "request/claims.h"

#include "request/claim_set.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>

/* Limits per shard. A node owns several shards and has 128 MB for the whole control
 * plane; a snapshot of 8 MB takes eight store values. Beyond these limits new keys are
 * refused as not run, since dropping an old claim could let its request run twice. */
#define CLAIMS_MAX 20000
#define CLAIMS_MAX_BYTES (8 << 20)
/* Larger answers aren't stored: one store value holds the records of many claims. */
#define ANSWER_MAX_BYTES 65536
/* Total of stored answers; beyond it no more are stored. */
#define ANSWERS_MAX_BYTES (4 << 20)
/* Repeats that wait for one claim; each occupies a caller's connection. */
#define WAITERS_MAX 64
/* Longest wait of a repeat; usually the deadline at its entry node comes earlier. */
#define WAIT_MAX (30 * KQ_SEC)
/* After a takeover an entry node must learn of the new owner (by a heartbeat every 0.5 s,
 * or the store's watch) and resend the ends of its claims. 10 s leave room for delays. */
#define TAKEOVER_GRACE (10 * KQ_SEC)
/* If a journal record has waited longer for its commit, the store is unreachable or slow.
 * New claims are refused then: their callers would only wait until their deadlines. */
#define JOURNAL_LAG_MAX (2 * KQ_SEC)

struct KqClaims
{
  uint32_t shard;
  KqLogPort log;
  bool recovered;
  KqClaimSet set;
};

KqClaims *
kq_claims_new (uint32_t shard, KqLogPort log)
{
  KqClaims *c = kq_alloc (sizeof *c);
  c->shard = shard;
  c->log = log;
  return c;
}

void
kq_claims_free (KqClaims *c)
{
  if (c == NULL)
    return;
  kq_claim_set_free (&c->set);
  free (c);
}

/* Applies one unpacked record. Numbers of claims increase; an OPENED record with a number
 * that was already seen is ignored, so that applying records twice changes nothing. */
static void
apply_fields (KqClaims *c, KqClaimRecordType t, const KqClaimFields *f, KqStr body,
              KqTime now)
{
  KqClaim *claim = kq_claim_set_find_number (&c->set, f->number);
  if (t == KQ_CLAIM_RECORD_OPENED && f->number > c->set.last_number)
    kq_claim_set_add (&c->set, f, now);
  else if (t == KQ_CLAIM_RECORD_NUMBER && f->number > c->set.last_number)
    c->set.last_number = f->number;
  if (claim == NULL || claim->state == KQ_CLAIM_STATE_ANSWERED)
    return;
  if (t == KQ_CLAIM_RECORD_FREED)
    kq_claim_set_remove (&c->set, claim);
  else if (t == KQ_CLAIM_RECORD_UNKNOWN)
    kq_claim_set_end (&c->set, claim, KQ_CLAIM_STATE_UNKNOWN, f->ttl, now);
  else if (t == KQ_CLAIM_RECORD_ANSWERED)
    {
      kq_claim_set_end (&c->set, claim, KQ_CLAIM_STATE_ANSWERED, f->ttl, now);
      if (f->kept)
        kq_claim_set_store_answer (&c->set, claim, body);
    }
}

KqResult
kq_claims_apply (KqClaims *c, const KqRecord *r, KqTime now)
{
  KqUnpacked u;
  KqClaimFields f;
  assert (!c->recovered);
  if (r->version != KQ_CLAIM_RECORD_VERSION)
    return KQ_ERR_JOURNAL_VERSION;
  if (!kq_claim_record_unpack ((KqClaimRecordType)r->type, r->body, &u, &f))
    return KQ_ERR_JOURNAL_DAMAGED;
  apply_fields (c, (KqClaimRecordType)r->type, &f, r->body, now);
  kq_claim_record_clear (&u, &f);
  return KQ_OK;
}

void
kq_claims_recovered (KqClaims *c, KqTime now)
{
  c->recovered = true;
  for (KqClaim *claim = c->set.first; claim != NULL; claim = claim->next)
    if (claim->state == KQ_CLAIM_STATE_OPEN)
      kq_claim_set_expire_at (&c->set, claim, now + TAKEOVER_GRACE);
}

static KqClaimFields
fields_of (const KqClaim *claim, KqTime ttl)
{
  return (KqClaimFields){ .number = claim->number,
                          .ttl = ttl,
                          .flight = claim->flight,
                          .service = kq_name_str (&claim->service),
                          .caller = kq_name_str (&claim->caller),
                          .key = claim->key,
                          .request_hash = claim->request_hash };
}

typedef struct
{
  void (*add) (void *arg, const KqRecord *r);
  void *arg;
  KqBuf buf;
} Snapshot;

static void
snapshot_add (Snapshot *s, KqClaimRecordType t, const KqClaimFields *f)
{
  KqRecord r = { .type = (uint16_t)t, .version = KQ_CLAIM_RECORD_VERSION };
  kq_buf_clear (&s->buf);
  kq_claim_record_pack (t, f, &s->buf);
  r.body = kq_buf_str (&s->buf);
  s->add (s->arg, &r);
}

static void
snapshot_claim (Snapshot *s, const KqClaim *claim, KqTime now)
{
  KqTime left = claim->by_expiry.key > now ? claim->by_expiry.key - now : 0;
  KqClaimFields f = fields_of (claim, claim->ttl);
  KqUnpacked u;
  snapshot_add (s, KQ_CLAIM_RECORD_OPENED, &f);
  f.ttl = left;
  if (claim->state == KQ_CLAIM_STATE_UNKNOWN)
    snapshot_add (s, KQ_CLAIM_RECORD_UNKNOWN, &f);
  else if (claim->state == KQ_CLAIM_STATE_ANSWERED && claim->answer.len == 0)
    snapshot_add (s, KQ_CLAIM_RECORD_ANSWERED, &f);
  else if (claim->state == KQ_CLAIM_STATE_ANSWERED
           && kq_claim_record_unpack (KQ_CLAIM_RECORD_ANSWERED,
                                      kq_buf_str (&claim->answer), &u, &f))
    {
      f.ttl = left;
      snapshot_add (s, KQ_CLAIM_RECORD_ANSWERED, &f);
      kq_claim_record_clear (&u, &f);
    }
}

void
kq_claims_snapshot (const KqClaims *c, KqTime now,
                    void (*add) (void *arg, const KqRecord *r), void *arg)
{
  Snapshot s = { .add = add, .arg = arg };
  KqClaimFields last = { .number = c->set.last_number };
  kq_buf_init (&s.buf);
  for (const KqClaim *claim = c->set.first; claim != NULL; claim = claim->next)
    snapshot_claim (&s, claim, now);
  snapshot_add (&s, KQ_CLAIM_RECORD_NUMBER, &last);
  kq_buf_free (&s.buf);
}

static KqSeq
append_record (KqClaims *c, KqClaimRecordType t, const KqClaimFields *f, KqTime now)
{
  KqRecord r = { .type = (uint16_t)t, .version = KQ_CLAIM_RECORD_VERSION };
  KqBuf buf;
  KqSeq seq;
  kq_buf_init (&buf);
  kq_claim_record_pack (t, f, &buf);
  r.body = kq_buf_str (&buf);
  seq = kq_log_port_append (c->log, &r, KQ_COMMIT_URGENT, now);
  kq_buf_free (&buf);
  return seq;
}

static void
reply (KqOutbox *out, KqFlightId to, KqClaimVerdict v, KqResult code, uint64_t number)
{
  KqMsg m = { .kind = KQ_MSG_CLAIM_REPLY };
  m.u.claim_reply.flight = to;
  m.u.claim_reply.verdict = v;
  m.u.claim_reply.code = code;
  m.u.claim_reply.claim_number = number;
  kq_outbox_send (out, to.node, &m);
}

static void
reply_answer (KqOutbox *out, KqFlightId to, uint64_t number, KqStr record)
{
  KqMsg m = { .kind = KQ_MSG_CLAIM_REPLY };
  KqUnpacked u;
  KqClaimFields f;
  if (record.len == 0
      || !kq_claim_record_unpack (KQ_CLAIM_RECORD_ANSWERED, record, &u, &f))
    {
      reply (out, to, KQ_CLAIM_UNKNOWN, KQ_ERR_CLAIM_NOT_KEPT, number);
      return;
    }
  m.u.claim_reply.flight = to;
  m.u.claim_reply.verdict = KQ_CLAIM_ANSWERED;
  m.u.claim_reply.claim_number = number;
  m.u.claim_reply.status = f.status;
  m.u.claim_reply.headers = f.headers;
  m.u.claim_reply.n_headers = f.n_headers;
  m.u.claim_reply.body = f.body;
  kq_outbox_send (out, to.node, &m);
  kq_claim_record_clear (&u, &f);
}

static void
reply_state (KqOutbox *out, KqFlightId to, const KqClaim *claim)
{
  if (claim->state == KQ_CLAIM_STATE_ANSWERED)
    reply_answer (out, to, claim->number, kq_buf_str (&claim->answer));
  else if (claim->state == KQ_CLAIM_STATE_UNKNOWN)
    reply (out, to, KQ_CLAIM_UNKNOWN, KQ_ERR_OUTCOME_UNKNOWN, claim->number);
  else
    reply (out, to, KQ_CLAIM_GRANTED, KQ_OK, claim->number);
}

static void
add_waiter (KqClaims *c, KqClaim *claim, KqFlightId f, KqTime now, KqOutbox *out)
{
  KqClaimWaiter *w;
  for (w = claim->waiters; w != NULL; w = w->next)
    if (kq_flight_eq (w->flight, f))
      return;
  if (claim->n_waiters >= WAITERS_MAX)
    {
      reply (out, f, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_PENDING, claim->number);
      return;
    }
  w = kq_alloc (sizeof *w);
  *w = (KqClaimWaiter){ .next = claim->waiters, .claim = claim, .flight = f };
  claim->waiters = w;
  claim->n_waiters++;
  kq_heap_add (&c->set.waiters_by_timeout, &w->by_timeout, now + WAIT_MAX,
               c->set.next_order++, w);
}

static KqSeq
open_claim (KqClaims *c, KqClaimFields *f, KqTime now, KqOutbox *out)
{
  KqClaim *claim;
  f->number = c->set.last_number + 1;
  claim = kq_claim_set_add (&c->set, f, now);
  claim->seq = append_record (c, KQ_CLAIM_RECORD_OPENED, f, now);
  reply (out, f->flight, KQ_CLAIM_GRANTED, KQ_OK, claim->number);
  return claim->seq;
}

KqSeq
kq_claims_begin (KqClaims *c, const KqMsgClaimBegin *m, KqTime ttl, KqTime now,
                 KqOutbox *out)
{
  KqClaim *claim = kq_claim_set_find (&c->set, m->service, m->caller, m->key);
  KqClaimFields f = { .ttl = ttl,
                      .flight = m->flight,
                      .service = m->service,
                      .caller = m->caller,
                      .key = m->key,
                      .request_hash = m->request_hash };
  if (claim == NULL)
    {
      /* A new key is refused during recovery, without room, or if commits lag. */
      if (c->recovered && c->set.by_key.n < CLAIMS_MAX && c->set.bytes < CLAIMS_MAX_BYTES
          && kq_log_port_lag (c->log, now) <= JOURNAL_LAG_MAX)
        return open_claim (c, &f, now, out);
      reply (out, m->flight, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_UNAVAILABLE, 0);
      return 0;
    }
  if (claim->request_hash != m->request_hash)
    {
      reply (out, m->flight, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_MISMATCH, claim->number);
      return 0;
    }
  if (claim->state == KQ_CLAIM_STATE_OPEN && !kq_flight_eq (claim->flight, m->flight))
    {
      add_waiter (c, claim, m->flight, now, out);
      return 0;
    }
  reply_state (out, m->flight, claim);
  return claim->seq;
}

/* Removes the claim of a request that didn't run. If repeats wait for it, one of them is
 * granted a new claim and the others wait for the end of that one. */
static KqSeq
release_key (KqClaims *c, KqClaim *claim, KqTime now, KqOutbox *out)
{
  KqClaimFields f = fields_of (claim, claim->ttl);
  KqClaimWaiter *w = kq_claim_set_take_waiter (&c->set, claim);
  KqClaimWaiter *others = claim->waiters;
  size_t n_others = claim->n_waiters;
  char *key = kq_str_dup (claim->key);
  KqName service = claim->service;
  KqName caller = claim->caller;
  KqSeq seq = append_record (c, KQ_CLAIM_RECORD_FREED, &f, now);
  claim->waiters = NULL;
  claim->n_waiters = 0;
  f.key = kq_str_n (key, claim->key.len);
  f.service = kq_name_str (&service);
  f.caller = kq_name_str (&caller);
  kq_claim_set_remove (&c->set, claim);
  if (w != NULL)
    {
      f.flight = w->flight;
      seq = open_claim (c, &f, now, out);
      c->set.last->waiters = others;
      c->set.last->n_waiters = n_others;
      for (; others != NULL; others = others->next)
        others->claim = c->set.last;
    }
  free (w);
  free (key);
  return seq;
}

static KqSeq
mark_unknown (KqClaims *c, KqClaim *claim, KqTime now, KqOutbox *out)
{
  KqClaimFields f = fields_of (claim, claim->ttl);
  KqClaimWaiter *w;
  claim->seq = append_record (c, KQ_CLAIM_RECORD_UNKNOWN, &f, now);
  kq_claim_set_end (&c->set, claim, KQ_CLAIM_STATE_UNKNOWN, claim->ttl, now);
  while ((w = kq_claim_set_take_waiter (&c->set, claim)) != NULL)
    {
      reply_state (out, w->flight, claim);
      free (w);
    }
  return claim->seq;
}

/* Ends the claim with an answer. The waiters get it even if there is no room to store
 * it. */
static KqSeq
answer_claim (KqClaims *c, KqClaim *claim, const KqMsgClaimDone *m, KqTime now,
              KqOutbox *out)
{
  KqClaimFields f = { .number = claim->number,
                      .ttl = claim->ttl,
                      .kept = m->kept && m->body.len <= ANSWER_MAX_BYTES,
                      .status = m->status,
                      .headers = m->headers,
                      .n_headers = m->n_headers,
                      .body = m->body };
  KqClaimWaiter *w;
  KqBuf record;
  bool stored;
  kq_buf_init (&record);
  kq_claim_record_pack (KQ_CLAIM_RECORD_ANSWERED, &f, &record);
  if (!f.kept || record.len > ANSWER_MAX_BYTES + ANSWER_MAX_BYTES / 8)
    kq_buf_clear (&record);
  stored = record.len > 0 && c->set.answer_bytes + record.len <= ANSWERS_MAX_BYTES;
  if (stored)
    kq_claim_set_store_answer (&c->set, claim, kq_buf_str (&record));
  else
    f = (KqClaimFields){ .number = claim->number, .ttl = claim->ttl };
  claim->seq = append_record (c, KQ_CLAIM_RECORD_ANSWERED, &f, now);
  kq_claim_set_end (&c->set, claim, KQ_CLAIM_STATE_ANSWERED, claim->ttl, now);
  while ((w = kq_claim_set_take_waiter (&c->set, claim)) != NULL)
    {
      reply_answer (out, w->flight, claim->number, kq_buf_str (&record));
      free (w);
    }
  kq_buf_free (&record);
  return claim->seq;
}

KqSeq
kq_claims_done (KqClaims *c, const KqMsgClaimDone *m, KqTime now, KqOutbox *out)
{
  KqClaim *claim = kq_claim_set_find_flight (&c->set, m->flight);
  if (claim == NULL || claim->state == KQ_CLAIM_STATE_ANSWERED)
    return 0;
  if (m->ran == KQ_RAN_YES)
    return answer_claim (c, claim, m, now, out);
  if (m->ran == KQ_RAN_NO)
    return release_key (c, claim, now, out);
  return claim->state == KQ_CLAIM_STATE_OPEN ? mark_unknown (c, claim, now, out) : 0;
}

KqSeq
kq_claims_node_gone (KqClaims *c, KqNodeId node, uint64_t incarnation, KqTime now,
                     KqOutbox *out)
{
  KqSeq seq = 0;
  for (KqClaim *claim = c->set.first; claim != NULL; claim = claim->next)
    if (claim->state == KQ_CLAIM_STATE_OPEN && claim->flight.node == node
        && claim->flight.incarnation == incarnation)
      seq = mark_unknown (c, claim, now, out);
  return seq;
}

static void
time_out_waiters (KqClaims *c, KqTime now, KqOutbox *out)
{
  KqHeapNode *top;
  while ((top = kq_heap_top (&c->set.waiters_by_timeout)) != NULL && top->key <= now)
    {
      KqClaimWaiter *w = top->container;
      KqClaimWaiter **at = &w->claim->waiters;
      while (*at != w)
        at = &(*at)->next;
      *at = w->next;
      w->claim->n_waiters--;
      kq_heap_remove (&c->set.waiters_by_timeout, top);
      reply (out, w->flight, KQ_CLAIM_REFUSED, KQ_ERR_CLAIM_PENDING, w->claim->number);
      free (w);
    }
}

KqSeq
kq_claims_tick (KqClaims *c, KqTime now, KqOutbox *out)
{
  KqSeq seq = 0;
  KqHeapNode *top;
  if (!c->recovered)
    return 0;
  time_out_waiters (c, now, out);
  while ((top = kq_heap_top (&c->set.by_expiry)) != NULL && top->key <= now)
    {
      KqClaim *claim = top->container;
      if (claim->state == KQ_CLAIM_STATE_OPEN)
        seq = mark_unknown (c, claim, now, out);
      else
        kq_claim_set_remove (&c->set, claim);
    }
  return seq;
}

size_t
kq_claims_count (const KqClaims *c)
{
  return c->set.by_key.n;
}

size_t
kq_claims_bytes (const KqClaims *c)
{
  return c->set.bytes;
}
