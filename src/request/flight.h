#ifndef KQ_REQUEST_FLIGHT_H
#define KQ_REQUEST_FLIGHT_H

/* flight: one request on its way, as its entry node knows it.
 *
 * The entry node holds the caller's connection. It keeps the request's body from byte 0
 * as long as the request may have to be sent again (small bodies); of a larger one only
 * what the owner has given no credit for. */

#include "base/time.h"
#include "http/server.h"
#include "table/table.h"
#include "wire/msg.h"

/* A body up to this length is kept whole, so that a try that did not run can be
 * repeated at another owner. */
#define KQ_KEEP_MAX (64 * 1024)
/* Tries of one flight have numbers of their own: an owner that still holds the first try
 * would take the second for a repeated message, and a late answer to the first would pass
 * for one to the second. A flight's number is a multiple of this. */
#define KQ_TRY_IDS 16
/* A request with an idempotency key is hashed whole before it runs. */
#define KQ_KEYED_MAX (1024 * 1024)
/* Body bytes that may be on the way to the owner (or the answer's to the entry node)
 * without a credit for more: what one flight can hold in memory on each side. At 20 ms
 * between regions 256 KB fill a 30 Mbit/s link three times over. */
#define KQ_WINDOW (256 * 1024)
/* An answer is kept with its claim up to this length. */
#define KQ_CLAIM_ANSWER_MAX (64 * 1024)

typedef enum
{
  KQ_FLIGHT_COLLECTING, /* the body is being read before anything is sent */
  KQ_FLIGHT_CLAIMING,   /* waits for its idempotency key to be recorded */
  KQ_FLIGHT_BACKOFF,    /* waits before it is tried again */
  KQ_FLIGHT_SENT,       /* at an owner, no answer yet */
  KQ_FLIGHT_ANSWERING,  /* the answer's head has been handed on */
  KQ_FLIGHT_ENDED       /* answered or told why not; waits for the caller to take it */
} KqFlightState;

typedef struct KqFlight
{
  int tag; /* first: tells exchanges of requests from those of the job interface */
  KqFlightId id;
  char id_text[40];
  KqFlightState state;
  KqHttpExchange *exchange; /* NULL: the caller has left */
  KqTime taken_at;
  KqTime deadline;
  KqTime retry_at;
  KqTime handed_back_at; /* by an owner that stops as planned; 0: never */
  KqName service;
  KqName caller;
  KqName method;
  bool idempotent;
  bool counted; /* its end is in the account */
  KqServiceRow row;
  /* Text of path, key and headers lies in `text`; the offsets are into it. */
  KqBuf text;
  KqStr path;
  KqStr key;
  KqHeader *headers;
  size_t n_headers;
  /* The body: bytes from `body_base` on are in `body`. */
  KqBuf body;
  uint64_t body_base;
  uint64_t body_sent;
  uint64_t body_allowed; /* by the owner's credits */
  int64_t body_length;   /* announced; -1: unknown */
  bool body_whole;       /* kept from byte 0 */
  bool body_end;         /* all of it has come */
  bool body_end_sent;
  /* The owner it is at. */
  KqNodeId owner;
  bool far;
  int tries;
  bool may_have_run; /* by an earlier try: no later refusal makes that "not run" */
  /* The claim of its idempotency key. */
  uint32_t claim_shard;
  bool claimed;
  KqTime claim_deadline;
  /* The answer. */
  int status;
  uint64_t answer_offset;
  uint64_t answer_taken;  /* by the caller */
  uint64_t answer_credit; /* granted to the owner */
  KqBuf answer;           /* kept for the claim */
  bool answer_kept;
  KqHeader *answer_headers;
  size_t n_answer_headers;
  KqBuf answer_text;
} KqFlight;

KqFlight *kq_flight_new (KqNodeId node, uint64_t incarnation, uint64_t number,
                         KqTime now);
void kq_flight_free (KqFlight *f);
/* The id under which the present try is known to its owner. */
KqFlightId kq_flight_try_id (const KqFlight *f);
/* Copies path, key and those headers that go on to the runner. */
void kq_flight_set_request (KqFlight *f, KqStr path, KqStr key, const KqHeader *h,
                            size_t n);
/* Whether another try can still send everything. */
bool kq_flight_can_resend (const KqFlight *f);
/* Forgets what was sent, for another try. */
void kq_flight_rewind (KqFlight *f);
/* The next chunk the owner has credit for; false: none now. */
bool kq_flight_next_chunk (const KqFlight *f, KqMsgBody *out);
/* The chunk was sent: forgets bytes that aren't kept. */
void kq_flight_chunk_sent (KqFlight *f, const KqMsgBody *chunk);
/* Over method, path and body: the same key with another request is refused. */
uint64_t kq_flight_body_hash (const KqFlight *f);
/* Copies an answer's headers, for the claim. */
void kq_flight_keep_head (KqFlight *f, const KqHeader *h, size_t n);
void kq_flight_keep_bytes (KqFlight *f, KqStr bytes);
/* A header that belongs to one connection, or to us, and doesn't go on. */
bool kq_header_is_hop (KqStr name);

#endif
