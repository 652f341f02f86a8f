#include "request/runner_flight.h"

#include "request/retry.h"

#include <assert.h>
#include <stdlib.h>
#include <strings.h>

/* A runner accepts a connection within a few round trips or not at all. */
#define CONNECT_MS 1000

void
kq_runner_flight_free (void *p)
{
  KqRunnerFlight *f = p;
  if (f->call != NULL)
    kq_http_call_cancel (f->call);
  kq_client_limits_end_work (f->task->config.limits, f->work);
  kq_buf_free (&f->text);
  kq_buf_free (&f->body);
  free (f->headers);
  free (f);
}

static void
send_to_entry_node (KqRunnerTask *t, KqNodeId to, const KqMsg *m)
{
  kq_mail_send_msg (t->config.mesh, to, m);
}

void
kq_runner_send_fail (KqRunnerTask *t, KqNodeId to, KqFlightId id, KqResult code,
                     KqRan ran, KqTime retry_after)
{
  KqMsg m = { .kind = KQ_MSG_RESP_FAIL };
  m.u.resp_fail.flight = id;
  m.u.resp_fail.code = code;
  m.u.resp_fail.ran = ran;
  m.u.resp_fail.retry_after_us = retry_after;
  kq_counter_result (t->config.counters, code);
  send_to_entry_node (t, to, &m);
}

/* Grants the entry node credit for as many more body bytes as the runner has taken. */
static void
grant_body (KqRunnerFlight *f)
{
  KqMsg m = { .kind = KQ_MSG_REQ_CREDIT };
  size_t held = f->call != NULL ? kq_http_call_unsent (f->call) : f->body.len;
  uint64_t wanted = f->body_received - held + KQ_CREDIT_WINDOW_BYTES;
  if (f->body_end || wanted < f->body_granted + KQ_CREDIT_WINDOW_BYTES / 4)
    return;
  m.u.credit.flight = f->id;
  m.u.credit.bytes = wanted - f->body_granted;
  f->body_granted = wanted;
  send_to_entry_node (f->task, f->entry, &m);
}

/* Whether the runner says that it refused the request before running it. */
static bool
says_not_run (const KqHeader *h, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      if (h[i].name.len == 8 && strncasecmp (h[i].name.ptr, "X-Kq-Ran", 8) == 0)
        return kq_str_eq (h[i].value, KQ_STR ("no"));
    }
  return false;
}

static void
on_head (void *arg, KqHttpCall *c, int status, const KqHeader *h, size_t n,
         int64_t length)
{
  KqRunnerFlight *f = arg;
  KqMsg m = { .kind = KQ_MSG_RESP_HEAD };
  (void)c;
  f->status = status;
  f->not_run = status >= 500 && says_not_run (h, n);
  if (f->not_run || f->entry_gone)
    return;
  f->head_sent = true;
  m.u.resp_head.flight = f->id;
  m.u.resp_head.status = status;
  m.u.resp_head.body_length = length;
  m.u.resp_head.headers = (KqHeader *)h;
  m.u.resp_head.n_headers = n;
  send_to_entry_node (f->task, f->entry, &m);
}

static void
on_data (void *arg, KqHttpCall *c, KqStr chunk)
{
  KqRunnerFlight *f = arg;
  KqMsg m = { .kind = KQ_MSG_RESP_BODY };
  if (f->not_run || f->entry_gone)
    return;
  m.u.body.flight = f->id;
  while (chunk.len > 0)
    {
      size_t k = chunk.len < KQ_CHUNK_MAX ? chunk.len : KQ_CHUNK_MAX;
      m.u.body.offset = f->answer_offset;
      m.u.body.bytes = kq_str_n (chunk.ptr, k);
      send_to_entry_node (f->task, f->entry, &m);
      f->answer_offset += k;
      chunk = kq_str_n (chunk.ptr + k, chunk.len - k);
    }
  if (f->answer_offset >= f->answer_allowed)
    kq_http_call_pause (c);
}

static void
on_want_body (void *arg, KqHttpCall *c)
{
  (void)c;
  grant_body (arg);
}

static KqOutcome
outcome_of (const KqRunnerFlight *f, KqHttpOutcome end)
{
  switch (end)
    {
    case KQ_HTTP_DONE:
      if (f->not_run)
        return KQ_OUTCOME_NOT_SENT;
      return f->status >= 500 ? KQ_OUTCOME_ERROR : KQ_OUTCOME_ANSWERED;
    case KQ_HTTP_NOT_SENT:
      return KQ_OUTCOME_NOT_SENT;
    case KQ_HTTP_BROKEN:
      return KQ_OUTCOME_BROKEN;
    case KQ_HTTP_TIMED_OUT:
      return KQ_OUTCOME_SILENT;
    }
  return KQ_OUTCOME_BROKEN;
}

/* Sends the end of the answer, or the failure, to the entry node. */
static void
send_end (KqRunnerFlight *f, KqOutcome o)
{
  KqMsg m = { .kind = KQ_MSG_RESP_BODY };
  switch (o)
    {
    case KQ_OUTCOME_ANSWERED:
    case KQ_OUTCOME_ERROR:
      m.u.body.flight = f->id;
      m.u.body.offset = f->answer_offset;
      m.u.body.end = true;
      send_to_entry_node (f->task, f->entry, &m);
      break;
    case KQ_OUTCOME_NOT_SENT:
      kq_runner_send_fail (f->task, f->entry, f->id, KQ_ERR_TARGET_FAILED, KQ_RAN_NO, 0);
      break;
    case KQ_OUTCOME_SILENT:
      kq_runner_send_fail (f->task, f->entry, f->id, KQ_ERR_TARGET_SILENT, KQ_RAN_UNKNOWN,
                           0);
      break;
    case KQ_OUTCOME_BROKEN:
    case KQ_OUTCOME_CANCELLED:
      kq_runner_send_fail (f->task, f->entry, f->id, KQ_ERR_OUTCOME_UNKNOWN,
                           KQ_RAN_UNKNOWN, 0);
      break;
    }
}

static void
on_done (void *arg, KqHttpCall *c, KqHttpOutcome end)
{
  KqRunnerFlight *f = arg;
  KqRunnerTask *t = f->task;
  KqOutcome o = outcome_of (f, end);
  KqTime now = kq_loop_now (t->loop);
  (void)c;
  f->call = NULL;
  /* A runner that answers "not run" is reachable: for the dispatcher this is an error,
   * not a refused connection. */
  kq_dispatch_done (t->dispatch, f->id, f->not_run ? KQ_OUTCOME_ERROR : o, now);
  if (!f->entry_gone)
    send_end (f, o);
  g_hash_table_remove (t->flights, &f->id);
  kq_runner_run_queue (t, now);
}

/* Writes the request's headers and X-Kq-Flight to `out`. extra: holds the new value. */
static void
fill_headers (const KqRunnerFlight *f, KqBuf *extra, KqHeader *out, size_t *n)
{
  /* The new header's value points into `extra`, which must not be reallocated later. */
  kq_buf_reserve (extra, 256);
  for (size_t i = 0; i < f->n_headers; i++)
    out[(*n)++] = f->headers[i];
  out[*n].name = KQ_STR ("X-Kq-Flight");
  out[*n].value = kq_str_n (extra->ptr, 0);
  kq_buf_printf (extra, "%llx-%llx-%llx", (unsigned long long)f->id.node,
                 (unsigned long long)f->id.incarnation, (unsigned long long)f->id.number);
  out[(*n)++].value.len = extra->len;
}

/* Sends a queued flight to the runner that the dispatcher chose. */
static void
start_call (KqRunnerTask *t, KqRunnerFlight *f, const KqRunnerRecord *r)
{
  KqHttpCallback cb = { f, on_head, on_data, on_want_body, on_done };
  KqHeader *headers = kq_alloc ((f->n_headers + 1) * sizeof *headers);
  KqBuf url = { 0 };
  KqBuf extra = { 0 };
  KqHttpRequest q = { 0 };
  size_t n = 0;

  kq_buf_printf (&url, "%s%.*s", r->address, KQ_STR_ARG (f->path));
  fill_headers (f, &extra, headers, &n);
  char *method = kq_str_dup (kq_name_str (&f->method));
  q.method = method;
  q.url = url.ptr;
  q.headers = headers;
  q.n_headers = n;
  q.streamed = f->body_length != 0 && !f->body_end;
  q.body = kq_buf_str (&f->body);
  q.body_length = f->body_length;
  q.connect_ms = CONNECT_MS;
  q.idle_timeout_ms = (int)f->silent_ms;
  q.fresh_connection = !f->idempotent;
  f->runner = r->id;
  f->call = kq_http_call (t->http, &q, &cb);
  if (q.streamed)
    {
      kq_http_call_feed (f->call, kq_buf_str (&f->body), f->body_end);
      grant_body (f);
    }
  kq_buf_free (&f->body);
  kq_buf_free (&url);
  kq_buf_free (&extra);
  free (headers);
  free (method);
}

/* A shard moves to another owner not only when this node drains, but also when another
 * node joins. The new owner can serve the requests that are queued here for the shard's
 * runners, so they are handed back as draining. With "no target" some were refused: 1 to
 * 4 of 8 requests in 18 of 120 runs of live_test (ten at a time). */
KqResult
kq_runner_refusal_code (const KqRunnerTask *t, KqResult code, KqTime now)
{
  bool handed_over
      = t->handed_over_at != 0 && now - t->handed_over_at < KQ_RETRY_SUCCESSOR_WAIT;
  return code == KQ_ERR_NO_TARGET && (t->draining || handed_over) ? KQ_ERR_DRAINING
                                                                  : code;
}

void
kq_runner_run_queue (KqRunnerTask *t, KqTime now)
{
  KqDispatchEvent e;
  while (kq_dispatch_next (t->dispatch, now, &e))
    {
      KqRunnerFlight *f = g_hash_table_lookup (t->flights, &e.flight);
      const KqRunnerRecord *r = g_hash_table_lookup (t->runners, &e.runner);
      assert (f != NULL);
      if (e.kind == KQ_DISPATCH_SEND && r != NULL)
        start_call (t, f, r);
      else
        {
          KqResult code = e.kind == KQ_DISPATCH_SEND ? KQ_ERR_NO_TARGET : e.code;
          code = kq_runner_refusal_code (t, code, now);
          if (e.kind == KQ_DISPATCH_SEND)
            kq_dispatch_done (t->dispatch, e.flight, KQ_OUTCOME_NOT_SENT, now);
          kq_runner_send_fail (t, f->entry, f->id, code, KQ_RAN_NO, e.retry_after);
          g_hash_table_remove (t->flights, &e.flight);
        }
    }
}

/* The entry node sends no more of the body than it has credit for. */
size_t
kq_runner_flight_work (const KqMsgReqOpen *o)
{
  size_t body = KQ_CREDIT_WINDOW_BYTES;
  if (o->body_length >= 0 && o->body_length < KQ_CREDIT_WINDOW_BYTES)
    body = (size_t)o->body_length;
  return sizeof (KqRunnerFlight) + o->path.len + body;
}

KqRunnerFlight *
kq_runner_flight_new (KqRunnerTask *t, KqNodeId from, const KqMsgReqOpen *o, KqTime now)
{
  KqRunnerFlight *f = kq_alloc (sizeof *f);
  KqFlight text = { 0 };
  f->task = t;
  f->id = o->flight;
  f->entry = from;
  f->service = kq_name (o->service);
  f->method = kq_name (o->method);
  f->caller = kq_name (o->caller);
  f->idempotent = o->idempotent;
  f->deadline = now + o->deadline_us;
  f->body_length = o->body_length;
  f->body_end = o->body_length == 0;
  f->body_granted = KQ_CREDIT_WINDOW_BYTES;
  f->answer_allowed = KQ_CREDIT_WINDOW_BYTES;
  /* Path and headers are copied by the same function as at the entry node. The copy then
   * belongs to f. */
  kq_flight_set_request (&text, o->path, o->claim_key, o->headers, o->n_headers);
  f->text = text.text;
  f->path = text.path;
  f->headers = text.headers;
  f->n_headers = text.n_headers;
  return f;
}

void
kq_runner_cancel_call (KqRunnerTask *t, KqRunnerFlight *f, KqTime now)
{
  kq_http_call_cancel (f->call);
  f->call = NULL;
  kq_dispatch_done (t->dispatch, f->id, KQ_OUTCOME_CANCELLED, now);
  g_hash_table_remove (t->flights, &f->id);
}

/* A queued flight, which did not run, is removed. The call of a sent one is cancelled if
 * the request is idempotent or its body is incomplete. Any other call goes on, because
 * cancelling it half-way would leave its effect undefined; such calls are counted. */
void
kq_runner_abandon (KqRunnerTask *t, KqRunnerFlight *f, KqTime now)
{
  f->entry_gone = true;
  if (f->call == NULL)
    {
      kq_dispatch_cancel (t->dispatch, f->id, now);
      g_hash_table_remove (t->flights, &f->id);
    }
  else if (f->idempotent || !f->body_end)
    kq_runner_cancel_call (t, f, now);
  else
    {
      ++*t->uncancelled;
      kq_http_call_resume (f->call);
    }
}
