#include "request/flight.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

KqFlight *
kq_flight_new (KqNodeId node, uint64_t incarnation, uint64_t number, KqTime now)
{
  KqFlight *f = kq_alloc (sizeof *f);
  f->id = (KqFlightId){ node, incarnation, number };
  snprintf (f->id_text, sizeof f->id_text, "%08x-%08x-%llx", (unsigned)(node >> 32),
            (unsigned)(incarnation >> 32), (unsigned long long)number);
  f->accepted_at = now;
  f->body_kept = true;
  f->answer_kept = true;
  return f;
}

KqFlightId
kq_flight_try_id (const KqFlight *f)
{
  KqFlightId id = f->id;
  assert (f->tries < KQ_TRY_IDS);
  id.number += (uint64_t)f->tries;
  return id;
}

void
kq_flight_free (KqFlight *f)
{
  if (f == NULL)
    return;
  kq_client_limits_end_work (f->limits, f->work);
  kq_buf_free (&f->text);
  kq_buf_free (&f->body);
  kq_buf_free (&f->answer);
  kq_buf_free (&f->answer_text);
  free (f->headers);
  free (f->answer_headers);
  free (f);
}

bool
kq_flight_begin_work (KqFlight *f, KqClientLimits *limits, KqTime now)
{
  size_t work = sizeof *f + f->text.capacity + f->body.capacity;
  if (!kq_client_limits_begin_work (limits, work, now))
    return false;
  f->limits = limits;
  f->work = work;
  return true;
}

void
kq_flight_hold_body (KqFlight *f)
{
  if (f->body.len == 0)
    kq_buf_free (&f->body);
  if (f->exchange != NULL)
    kq_http_hold (f->exchange, f->work > 0 ? 0 : f->body.capacity + f->text.capacity);
}

bool
kq_header_is_hop_by_hop (KqStr name)
{
  static const char *const names[]
      = { "Connection",          "Keep-Alive", "Proxy-Authenticate",
          "Proxy-Authorization", "TE",         "Trailer",
          "Transfer-Encoding",   "Upgrade",    "Host",
          "Content-Length",      "Expect",     "X-Kq-Caller-Token",
          "X-Kq-Deadline-Ms",    "X-Kq-Ran" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      if (name.len == strlen (names[i])
          && strncasecmp (name.ptr, names[i], name.len) == 0)
        return true;
    }
  return false;
}

/* Copies the headers that are forwarded: their strings to `text`, and to *out a new array
 * that points into it. reserve: bytes that the caller will add to `text`. */
static void
copy_headers (const KqHeader *h, size_t n, size_t reserve, KqBuf *text, KqHeader **out,
              size_t *n_out)
{
  size_t total = reserve;
  for (size_t i = 0; i < n; i++)
    total += h[i].name.len + h[i].value.len;
  /* The array points into the text, which must not be reallocated later. */
  kq_buf_reserve (text, total);
  *out = kq_alloc (n * sizeof **out);
  *n_out = 0;
  for (size_t i = 0; i < n; i++)
    {
      KqHeader *c = &(*out)[*n_out];
      if (kq_header_is_hop_by_hop (h[i].name))
        continue;
      c->name = kq_str_n (text->ptr + text->len, h[i].name.len);
      kq_buf_add_str (text, h[i].name);
      c->value = kq_str_n (text->ptr + text->len, h[i].value.len);
      kq_buf_add_str (text, h[i].value);
      ++*n_out;
    }
}

void
kq_flight_set_request (KqFlight *f, KqStr path, KqStr key, const KqHeader *h, size_t n)
{
  copy_headers (h, n, path.len + key.len, &f->text, &f->headers, &f->n_headers);
  f->path = kq_str_n (f->text.ptr + f->text.len, path.len);
  kq_buf_add_str (&f->text, path);
  f->key = kq_str_n (f->text.ptr + f->text.len, key.len);
  kq_buf_add_str (&f->text, key);
}

bool
kq_flight_can_resend (const KqFlight *f)
{
  return f->body_kept && f->body_base == 0;
}

void
kq_flight_rewind (KqFlight *f)
{
  assert (kq_flight_can_resend (f));
  f->body_sent = 0;
  f->body_end_sent = f->body_length == 0;
  f->body_credit = KQ_CREDIT_WINDOW_BYTES;
  f->answer_offset = 0;
  f->answer_consumed = 0;
  f->answer_credit = KQ_CREDIT_WINDOW_BYTES;
}

bool
kq_flight_next_chunk (const KqFlight *f, KqMsgBody *out)
{
  uint64_t available = f->body_base + f->body.len;
  uint64_t n = available - f->body_sent;
  bool last;
  if (n > KQ_CHUNK_MAX)
    n = KQ_CHUNK_MAX;
  if (f->body_sent + n > f->body_credit)
    n = f->body_credit > f->body_sent ? f->body_credit - f->body_sent : 0;
  last = f->body_end && f->body_sent + n == available;
  if (f->body_end_sent || (n == 0 && !last))
    return false;
  out->flight = kq_flight_try_id (f);
  out->offset = f->body_sent;
  out->end = last;
  out->bytes = kq_str_n (f->body.ptr + (f->body_sent - f->body_base), (size_t)n);
  return true;
}

void
kq_flight_chunk_sent (KqFlight *f, const KqMsgBody *chunk)
{
  f->body_sent = chunk->offset + chunk->bytes.len;
  f->body_end_sent = chunk->end;
  if (f->body_kept)
    return;
  kq_buf_drop (&f->body, (size_t)(f->body_sent - f->body_base));
  f->body_base = f->body_sent;
}

uint64_t
kq_flight_request_hash (const KqFlight *f)
{
  uint64_t h = kq_hash2 (kq_str_hash (kq_name_str (&f->method)), kq_str_hash (f->path));
  assert (f->body_kept);
  return kq_hash2 (h, kq_str_hash (kq_buf_str (&f->body)));
}

void
kq_flight_store_answer_headers (KqFlight *f, const KqHeader *h, size_t n)
{
  kq_buf_clear (&f->answer_text);
  free (f->answer_headers);
  copy_headers (h, n, 0, &f->answer_text, &f->answer_headers, &f->n_answer_headers);
}

void
kq_flight_store_answer_bytes (KqFlight *f, KqStr bytes)
{
  if (f->answer.len + bytes.len > KQ_CLAIM_ANSWER_MAX_BYTES)
    f->answer_kept = false;
  if (f->answer_kept)
    kq_buf_add_str (&f->answer, bytes);
  else
    kq_buf_free (&f->answer);
}
