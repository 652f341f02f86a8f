#include "request/entry.h"

#include "request/problem.h"

#include <assert.h>
#include <stdlib.h>

static void
send_msg (KqGateway *g, KqNodeId to, const KqMsg *m)
{
  kq_mail_send_msg (g->config.mesh, to, m);
}

static void
remove_flight (KqGateway *g, KqFlight *f)
{
  g_hash_table_remove (g->flights, &f->id.number);
}

static void
count_end (KqGateway *g, KqFlight *f, KqRequestEnd end)
{
  if (f->counted)
    return;
  f->counted = true;
  kq_request_counts_ended (g->request_counts, kq_name_str (&f->service), end);
}

/* Reports the end of a claimed request, from which repeats with the same key are
 * answered. This node's own task forwards it to the owner of the claim shard. */
static void
send_claim_done (KqGateway *g, KqFlight *f, KqRan ran)
{
  KqMsg m = { .kind = KQ_MSG_CLAIM_DONE };
  KqMsgClaimDone *d = &m.u.claim_done;
  d->flight = f->id;
  d->shard = f->claim_shard;
  d->ran = ran;
  d->kept = ran == KQ_RAN_YES && f->answer_kept;
  d->status = f->status;
  if (d->kept)
    {
      d->headers = f->answer_headers;
      d->n_headers = f->n_answer_headers;
      d->body = kq_buf_str (&f->answer);
    }
  send_msg (g, g->config.self, &m);
  kq_claim_ends_add (g->claim_ends, &m, kq_loop_now (g->loop));
}

static void
send_cancel (KqGateway *g, KqFlight *f, KqResult reason)
{
  KqMsg m = { .kind = KQ_MSG_REQ_CANCEL };
  m.u.req_cancel.flight = kq_flight_try_id (f);
  m.u.req_cancel.reason = reason;
  send_msg (g, f->owner, &m);
}

/* Tells the route module that the try at the owner, if there is one, has ended. */
static void
end_try_at_owner (KqGateway *g, KqFlight *f, KqTime now)
{
  if (f->state == KQ_FLIGHT_SENT || f->state == KQ_FLIGHT_ANSWERING)
    kq_route_ended (g->route, f->owner, kq_name_str (&f->service), now);
}

/* Ends the flight. It stays in the table while its caller reads the answer, or while a
 * reply on its claim is expected. */
static void
end_flight (KqGateway *g, KqFlight *f)
{
  f->state = KQ_FLIGHT_ENDED;
  kq_buf_free (&f->body);
  if (f->exchange == NULL && f->claim_deadline == 0)
    remove_flight (g, f);
}

void
kq_entry_fail (KqGateway *g, KqFlight *f, KqResult code, KqRan ran, KqTime retry_after,
               KqTime now)
{
  bool answering = f->state == KQ_FLIGHT_ANSWERING;
  KqRan reported = answering || f->may_have_run ? KQ_RAN_UNKNOWN : ran;
  end_try_at_owner (g, f, now);
  kq_counter_result (g->config.counters, code);
  kq_recent_add (&g->recent, f, code, reported, now);
  if (f->claimed)
    send_claim_done (g, f, reported);
  count_end (g, f, reported == KQ_RAN_NO ? KQ_END_REFUSED : KQ_END_UNKNOWN);
  if (f->exchange != NULL && answering)
    {
      /* The caller has the status already: only an aborted connection shows an error. */
      ++*g->cut_answers;
      kq_http_abort (f->exchange);
    }
  else if (f->exchange != NULL)
    kq_problem_reply (f->exchange, code, reported, retry_after, kq_str (f->id_text),
                      kq_str (""));
  end_flight (g, f);
}

static void
send_open (KqGateway *g, KqFlight *f, KqTime now)
{
  KqMsg m = { .kind = KQ_MSG_REQ_OPEN };
  KqMsgReqOpen *o = &m.u.req_open;
  o->flight = kq_flight_try_id (f);
  o->service = kq_name_str (&f->service);
  o->caller = kq_name_str (&f->caller);
  o->method = kq_name_str (&f->method);
  o->path = f->path;
  o->deadline_us = f->deadline - now;
  o->idempotent = f->idempotent;
  o->may_forward = f->tries == 1;
  o->body_length = f->body_length;
  o->claim_key = f->key;
  o->headers = f->headers;
  o->n_headers = f->n_headers;
  send_msg (g, f->owner, &m);
}

/* When to look again for an owner, if the refusal means that a draining owner is handing
 * its runners over to a successor; 0: it isn't, or the deadline comes first. */
static KqTime
successor_retry_time (const KqFlight *f, KqResult code, KqRan ran, KqTime now)
{
  KqTime next = kq_retry_successor_time (f->handed_back_at, f->tries, now);
  bool no_owner = code == KQ_ERR_NO_TARGET || code == KQ_ERR_DRAINING;
  return no_owner && ran == KQ_RAN_NO && next < f->deadline ? next : 0;
}

static void
send_to_owner (KqGateway *g, KqFlight *f, KqNodeId avoid, KqTime now)
{
  KqStr service = kq_name_str (&f->service);
  int64_t bytes = f->body_length > 0 ? f->body_length : (int64_t)f->body.len;
  KqRouteChoice c = kq_route_choose (g->route, service, bytes, avoid, now);
  KqTime next = successor_retry_time (f, c.code, KQ_RAN_NO, now);
  if (c.node == 0 && next != 0)
    {
      f->state = KQ_FLIGHT_BACKOFF;
      f->retry_at = next;
      return;
    }
  if (c.node == 0)
    {
      kq_entry_fail (g, f, c.code, KQ_RAN_NO, c.retry_after, now);
      return;
    }
  if (f->tries > 0 && c.node != f->owner)
    kq_counter_result (g->config.counters, KQ_RETRY_OTHER_OWNER);
  f->owner = c.node;
  f->far = c.far;
  f->tries++;
  if (f->tries == 1)
    kq_route_first_try (g->route, service, now);
  kq_flight_rewind (f);
  f->state = KQ_FLIGHT_SENT;
  kq_route_sent (g->route, f->owner, service, now);
  send_open (g, f, now);
  kq_entry_send_body (g, f);
}

void
kq_entry_send_body (KqGateway *g, KqFlight *f)
{
  KqMsg m = { .kind = KQ_MSG_REQ_BODY };
  if (f->state != KQ_FLIGHT_SENT && f->state != KQ_FLIGHT_ANSWERING)
    return;
  while (kq_flight_next_chunk (f, &m.u.body))
    {
      send_msg (g, f->owner, &m);
      if (f->far)
        kq_route_link_used (g->route, (int64_t)m.u.body.bytes.len, kq_loop_now (g->loop));
      kq_flight_chunk_sent (f, &m.u.body);
    }
}

static uint32_t
shard_of_claim (const KqGateway *g, const KqFlight *f)
{
  const KqSettings *s = g->config.settings;
  KqStr home = kq_name_str (&f->row.home);
  uint64_t h = kq_hash2 (kq_str_hash (kq_name_str (&f->service)), kq_str_hash (f->key));
  int region = 0;
  int first = 0;
  /* Without a home region it is the first region of the settings: all entry nodes must
   * agree, so that a repeat that enters in another region finds the claim. */
  for (int i = 0; i < s->n_regions && home.len > 0; i++)
    {
      if (kq_str_eq (kq_name_str (&s->regions[i].name), home))
        region = i;
    }
  for (int i = 0; i < region; i++)
    first += s->regions[i].shards;
  return (uint32_t)first + (uint32_t)(h % (uint64_t)s->regions[region].shards);
}

static void
begin_claim (KqGateway *g, KqFlight *f, KqTime now)
{
  KqMsg m = { .kind = KQ_MSG_CLAIM_BEGIN };
  KqMsgClaimBegin *b = &m.u.claim_begin;
  f->state = KQ_FLIGHT_CLAIMING;
  f->claim_shard = shard_of_claim (g, f);
  f->claim_deadline = now + KQ_CLAIM_TIMEOUT;
  b->flight = f->id;
  b->shard = f->claim_shard;
  b->service = kq_name_str (&f->service);
  b->caller = kq_name_str (&f->caller);
  b->key = f->key;
  b->request_hash = kq_flight_request_hash (f);
  send_msg (g, g->config.self, &m);
}

void
kq_entry_start (KqGateway *g, KqFlight *f, KqTime now)
{
  if (f->key.len > 0)
    begin_claim (g, f, now);
  else
    send_to_owner (g, f, 0, now);
}

/* Whether another try is safe and allowed. */
static bool
may_retry (KqGateway *g, KqFlight *f, KqResult code, KqRan ran, KqTime now)
{
  if (f->state != KQ_FLIGHT_SENT || !kq_flight_can_resend (f))
    return false;
  if (ran != KQ_RAN_NO && !f->idempotent)
    return false;
  if (f->tries >= KQ_TRIES_MAX || now >= f->deadline || f->exchange == NULL)
    return false;
  /* A draining owner hands back its queue once. If these retries were charged to the
   * budget, each roll-out would refuse the part of the queue that exceeds it. */
  if (code == KQ_ERR_DRAINING && ran == KQ_RAN_NO)
    return true;
  if (kq_route_take_retry (g->route, kq_name_str (&f->service), now))
    return true;
  kq_counter_result (g->config.counters, KQ_ERR_RETRY_BUDGET);
  return false;
}

/* Retries or fails a flight whose last try ended without an answer. */
static void
try_failed (KqGateway *g, KqFlight *f, KqResult code, KqRan ran, KqTime retry_after,
            KqTime now)
{
  KqTime next;
  if (code == KQ_ERR_DRAINING && ran == KQ_RAN_NO && f->handed_back_at == 0)
    f->handed_back_at = now;
  next = successor_retry_time (f, code, ran, now);
  if (f->tries > 1 && next != 0 && f->state == KQ_FLIGHT_SENT && kq_flight_can_resend (f)
      && f->exchange != NULL)
    {
      end_try_at_owner (g, f, now);
      kq_counter_result (g->config.counters, code);
      f->state = KQ_FLIGHT_BACKOFF;
      f->retry_at = next;
      return;
    }
  if (!may_retry (g, f, code, ran, now))
    {
      kq_entry_fail (g, f, code, ran, retry_after, now);
      return;
    }
  end_try_at_owner (g, f, now);
  f->may_have_run = f->may_have_run || ran != KQ_RAN_NO;
  kq_counter_result (g->config.counters, code);
  kq_counter_result (g->config.counters,
                     ran == KQ_RAN_NO ? KQ_RETRY_NOT_RUN : KQ_RETRY_IDEMPOTENT);
  f->state = KQ_FLIGHT_BACKOFF;
  f->retry_at = now + kq_route_backoff (g->route, f->tries);
}

static void
on_answer_head (KqFlight *f, const KqMsgRespHead *h)
{
  KqHeader *headers = kq_alloc ((h->n_headers + 1) * sizeof *headers);
  size_t n = 0;
  f->state = KQ_FLIGHT_ANSWERING;
  f->status = h->status;
  for (size_t i = 0; i < h->n_headers; i++)
    {
      if (!kq_header_is_hop_by_hop (h->headers[i].name))
        headers[n++] = h->headers[i];
    }
  headers[n++] = (KqHeader){ KQ_STR ("X-Kq-Request"), kq_str (f->id_text) };
  if (f->claimed)
    kq_flight_store_answer_headers (f, headers, n);
  if (f->exchange != NULL)
    kq_http_reply_begin (f->exchange, h->status, headers, n, h->body_length);
  free (headers);
}

static void
grant_credit (KqGateway *g, KqFlight *f)
{
  KqMsg m = { .kind = KQ_MSG_RESP_CREDIT };
  uint64_t wanted = f->answer_consumed + KQ_CREDIT_WINDOW_BYTES;
  if (f->state != KQ_FLIGHT_ANSWERING
      || wanted < f->answer_credit + KQ_CREDIT_WINDOW_BYTES / 4)
    return;
  m.u.credit.flight = kq_flight_try_id (f);
  m.u.credit.bytes = wanted - f->answer_credit;
  f->answer_credit = wanted;
  send_msg (g, f->owner, &m);
}

static void
finish_answer (KqGateway *g, KqFlight *f, KqTime now)
{
  end_try_at_owner (g, f, now);
  kq_recent_add (&g->recent, f, KQ_OK, KQ_RAN_YES, now);
  if (f->claimed)
    send_claim_done (g, f, KQ_RAN_YES);
  if (f->exchange != NULL)
    kq_http_reply_end (f->exchange);
  end_flight (g, f);
}

static void
on_answer_body (KqGateway *g, KqFlight *f, const KqMsgBody *b, KqTime now)
{
  /* Messages between two nodes arrive in order; a gap means that some were lost, and the
   * caller would get an incomplete body. */
  if (f->state != KQ_FLIGHT_ANSWERING || b->offset != f->answer_offset)
    {
      send_cancel (g, f, KQ_ERR_FRAME_FORMAT);
      kq_entry_fail (g, f, KQ_ERR_OUTCOME_UNKNOWN, KQ_RAN_UNKNOWN, 0, now);
      return;
    }
  f->answer_offset += b->bytes.len;
  if (f->claimed)
    kq_flight_store_answer_bytes (f, b->bytes);
  if (f->far)
    kq_route_link_used (g->route, (int64_t)b->bytes.len, now);
  if (f->exchange != NULL)
    kq_http_reply_data (f->exchange, b->bytes);
  if (b->end)
    {
      finish_answer (g, f, now);
      return;
    }
  if (f->exchange == NULL)
    f->answer_consumed = f->answer_offset;
  grant_credit (g, f);
}

void
kq_entry_answer_consumed (KqGateway *g, KqFlight *f)
{
  f->answer_consumed = f->answer_offset - kq_http_unsent (f->exchange);
  grant_credit (g, f);
}

/* Continues after a grant, or ends the flight by the state of an earlier claim. */
static void
on_claim_reply (KqGateway *g, KqFlight *f, const KqMsgClaimReply *c, KqTime now)
{
  /* A duplicate grant: reporting "not run" now would allow a second run. */
  if (f->claimed)
    return;
  f->claim_deadline = 0;
  if (f->state != KQ_FLIGHT_CLAIMING)
    {
      /* The caller was told "not run" or has disconnected: release the key. */
      if (c->verdict == KQ_CLAIM_GRANTED)
        send_claim_done (g, f, KQ_RAN_NO);
      end_flight (g, f);
      return;
    }
  switch (c->verdict)
    {
    case KQ_CLAIM_GRANTED:
      f->claimed = true;
      if (f->exchange == NULL)
        kq_entry_fail (g, f, KQ_ERR_CALLER_GONE, KQ_RAN_NO, 0, now);
      else
        send_to_owner (g, f, 0, now);
      break;
    case KQ_CLAIM_ANSWERED:
      f->status = c->status;
      kq_recent_add (&g->recent, f, KQ_OK, KQ_RAN_YES, now);
      if (f->exchange != NULL)
        kq_http_reply (f->exchange, c->status, c->headers, c->n_headers, c->body);
      end_flight (g, f);
      break;
    case KQ_CLAIM_UNKNOWN:
      kq_entry_fail (g, f, c->code,
                     c->code == KQ_ERR_CLAIM_NOT_KEPT ? KQ_RAN_YES : KQ_RAN_UNKNOWN, 0,
                     now);
      break;
    case KQ_CLAIM_REFUSED:
      kq_entry_fail (g, f, c->code, KQ_RAN_NO, KQ_SEC, now);
      break;
    }
}

static KqFlight *
find_flight (const KqGateway *g, KqFlightId id)
{
  uint64_t number = id.number - id.number % KQ_TRY_IDS;
  if (id.node != g->config.self || id.incarnation != g->config.incarnation)
    return NULL;
  return g_hash_table_lookup (g->flights, &number);
}

static KqFlightId
flight_id_of (const KqMsg *m)
{
  switch (m->kind)
    {
    case KQ_MSG_RESP_HEAD:
      return m->u.resp_head.flight;
    case KQ_MSG_RESP_BODY:
      return m->u.body.flight;
    case KQ_MSG_RESP_FAIL:
      return m->u.resp_fail.flight;
    case KQ_MSG_CLAIM_REPLY:
      return m->u.claim_reply.flight;
    default:
      assert (m->kind == KQ_MSG_REQ_CREDIT);
      return m->u.credit.flight;
    }
}

void
kq_entry_message (KqGateway *g, KqNodeId from, const KqMsg *m, KqTime now)
{
  KqFlightId id = flight_id_of (m);
  KqFlight *f = find_flight (g, id);
  bool at_owner = f != NULL && f->owner == from && kq_flight_eq (id, kq_flight_try_id (f))
                  && (f->state == KQ_FLIGHT_SENT || f->state == KQ_FLIGHT_ANSWERING);
  if (f != NULL && m->kind == KQ_MSG_CLAIM_REPLY)
    {
      on_claim_reply (g, f, &m->u.claim_reply, now);
      return;
    }
  /* The message is late, a duplicate, or from an owner that is no longer used. */
  if (!at_owner)
    {
      ++*g->late_messages;
      return;
    }
  switch (m->kind)
    {
    case KQ_MSG_RESP_HEAD:
      if (f->state == KQ_FLIGHT_SENT)
        on_answer_head (f, &m->u.resp_head);
      break;
    case KQ_MSG_RESP_BODY:
      on_answer_body (g, f, &m->u.body, now);
      break;
    case KQ_MSG_RESP_FAIL:
      try_failed (g, f, m->u.resp_fail.code, m->u.resp_fail.ran,
                  m->u.resp_fail.retry_after_us, now);
      break;
    default:
      f->body_credit += m->u.credit.bytes;
      kq_entry_send_body (g, f);
      if (f->exchange != NULL && f->body.len < KQ_CREDIT_WINDOW_BYTES)
        kq_http_resume_upload (f->exchange);
      break;
    }
}

/* Calls fn for every flight; fn may end and free the one it is given. */
static void
for_each_flight (KqGateway *g, void (*fn) (KqGateway *, KqFlight *, const void *, KqTime),
                 const void *arg, KqTime now)
{
  GList *all = g_hash_table_get_values (g->flights);
  for (GList *at = all; at != NULL; at = at->next)
    fn (g, at->data, arg, now);
  g_list_free (all);
}

static void
fail_try_at_peer (KqGateway *g, KqFlight *f, const void *arg, KqTime now)
{
  const KqMailPeer *p = arg;
  KqRan ran = p->was_up ? KQ_RAN_UNKNOWN : KQ_RAN_NO;
  KqResult code = ran == KQ_RAN_NO ? KQ_ERR_NO_OWNER : KQ_ERR_OUTCOME_UNKNOWN;
  if (f->owner != p->peer)
    return;
  if (f->state == KQ_FLIGHT_SENT || f->state == KQ_FLIGHT_ANSWERING)
    try_failed (g, f, code, ran, 0, now);
}

void
kq_entry_peer_down (KqGateway *g, const KqMailPeer *p, KqTime now)
{
  for_each_flight (g, fail_try_at_peer, p, now);
  kq_claim_ends_node_lost (g->claim_ends, now);
}

static void
tick_claiming (KqGateway *g, KqFlight *f, KqTime now)
{
  if (now < f->claim_deadline && now < f->deadline)
    return;
  /* The claim may still be recorded: its end is resent until the claim's owner has
   * replied, otherwise a repeat by the caller would find the key in use. */
  kq_entry_fail (g, f, KQ_ERR_CLAIM_UNAVAILABLE, KQ_RAN_NO, KQ_SEC, now);
  send_claim_done (g, f, KQ_RAN_NO);
  f->retry_at = now + KQ_SEC;
}

static void
resend_late_claim_end (KqGateway *g, KqFlight *f, KqTime now)
{
  if (now < f->retry_at)
    return;
  f->retry_at = now + KQ_SEC;
  if (now > f->claim_deadline + KQ_CLAIM_END_RESEND_TIME)
    {
      f->claim_deadline = 0;
      end_flight (g, f);
      return;
    }
  send_claim_done (g, f, KQ_RAN_NO);
}

static void
tick_flight (KqGateway *g, KqFlight *f, const void *arg, KqTime now)
{
  (void)arg;
  switch (f->state)
    {
    case KQ_FLIGHT_COLLECTING:
      if (now >= f->deadline)
        kq_entry_fail (g, f, KQ_ERR_DEADLINE_PASSED, KQ_RAN_NO, 0, now);
      break;
    case KQ_FLIGHT_CLAIMING:
      tick_claiming (g, f, now);
      break;
    case KQ_FLIGHT_BACKOFF:
      if (now >= f->deadline)
        kq_entry_fail (g, f, KQ_ERR_DEADLINE_PASSED, KQ_RAN_NO, 0, now);
      else if (now >= f->retry_at)
        send_to_owner (g, f, f->owner, now);
      break;
    case KQ_FLIGHT_SENT:
      if (now >= f->deadline + KQ_DEADLINE_GRACE)
        {
          send_cancel (g, f, KQ_ERR_DEADLINE_PASSED);
          kq_entry_fail (g, f, KQ_ERR_OUTCOME_UNKNOWN, KQ_RAN_UNKNOWN, 0, now);
        }
      break;
    case KQ_FLIGHT_ANSWERING: /* the deadline applies to the answer's head only */
      break;
    case KQ_FLIGHT_ENDED:
      if (f->claim_deadline != 0)
        resend_late_claim_end (g, f, now);
      break;
    }
}

static void
resend_claim_end (void *arg, const KqMsg *done)
{
  KqGateway *g = arg;
  send_msg (g, g->config.self, done);
}

void
kq_entry_tick (KqGateway *g, KqTime now)
{
  kq_claim_ends_tick (g->claim_ends, now, resend_claim_end, g);
  for_each_flight (g, tick_flight, NULL, now);
}

/* Cancels a flight whose caller left before it had the whole answer. A claimed request
 * continues: the caller is expected to repeat it with its key, to get the answer. */
static void
on_caller_gone (KqGateway *g, KqFlight *f, KqTime now)
{
  count_end (g, f, KQ_END_ABANDONED);
  kq_counter_result (g->config.counters, KQ_ERR_CALLER_GONE);
  if (f->claimed || f->state == KQ_FLIGHT_CLAIMING)
    {
      f->answer_consumed = f->answer_offset;
      grant_credit (g, f);
      return;
    }
  if (f->state == KQ_FLIGHT_SENT || f->state == KQ_FLIGHT_ANSWERING)
    send_cancel (g, f, KQ_ERR_CALLER_GONE);
  end_try_at_owner (g, f, now);
  end_flight (g, f);
}

void
kq_entry_exchange_ended (KqGateway *g, KqFlight *f, bool whole, KqTime now)
{
  f->exchange = NULL;
  if (whole)
    count_end (g, f, KQ_END_ANSWERED);
  if (f->state == KQ_FLIGHT_ENDED)
    {
      count_end (g, f, KQ_END_ABANDONED);
      end_flight (g, f);
    }
  else if (!whole)
    on_caller_gone (g, f, now);
}
