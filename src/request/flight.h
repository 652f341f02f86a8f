#ifndef KQ_REQUEST_FLIGHT_H
#define KQ_REQUEST_FLIGHT_H

/* flight: the state of one request in flight at its entry node.
 *
 * The entry node holds the caller's connection and sends the request to an owner, which
 * runs it. Each time that the request is sent is a try. A small body is kept whole, so
 * that it can be sent again. Of a larger one only the bytes that were not yet sent are
 * kept. */

#include "base/time.h"
#include "http/server.h"
#include "table/table.h"
#include "wire/msg.h"

/* A body up to this length is kept whole, so that the request can be sent again. */
#define KQ_RESEND_BODY_MAX_BYTES (64 * 1024)
/* A flight's number is a multiple of this; the numbers up to the next flight identify its
 * tries. With one number for all tries, an owner that still has the first one would take
 * the second for a duplicate, and a late answer to the first would end the second. */
#define KQ_TRY_IDS 16
/* Limit for the body of a request with an idempotency key: it is hashed as a whole, and
 * so must be in memory, before the request runs. */
#define KQ_KEYED_BODY_MAX_BYTES (1024 * 1024)
/* Flow control: bytes of a request's body (or of an answer) that may be sent before the
 * receiver grants credit for more. This bounds the memory of a flight on each side. With
 * 20 ms between two regions, 256 KB are three times what fills a 30 Mbit/s link. */
#define KQ_CREDIT_WINDOW_BYTES (256 * 1024)
/* An answer up to this length is stored with its claim. */
#define KQ_CLAIM_ANSWER_MAX_BYTES (64 * 1024)

typedef enum
{
  KQ_FLIGHT_COLLECTING, /* the body is being read before anything is sent */
  KQ_FLIGHT_CLAIMING,   /* waits for its idempotency key to be recorded */
  KQ_FLIGHT_BACKOFF,    /* waits before the next try */
  KQ_FLIGHT_SENT,       /* sent to an owner, no answer yet */
  KQ_FLIGHT_ANSWERING,  /* the answer's status and headers were passed to the caller */
  KQ_FLIGHT_ENDED       /* answered or failed; the caller may still be reading */
} KqFlightState;

typedef struct KqFlight
{
  int tag; /* must be first: distinguishes a KqFlight from the data of a job request */
  KqFlightId id;
  char id_text[40];
  KqFlightState state;
  KqHttpExchange *exchange; /* NULL: the caller has disconnected */
  KqTime accepted_at;
  KqTime deadline;
  KqTime retry_at;
  KqTime handed_back_at; /* when a draining owner first handed it back; 0: never */
  KqName service;
  KqName caller;
  KqName method;
  bool idempotent;
  bool counted;     /* the flight's end was added to the gateway's request counts */
  KqServiceRow row; /* of the service, when the flight was accepted */
  /* `text` holds the strings of path, key and headers. */
  KqBuf text;
  KqStr path;
  KqStr key;
  KqHeader *headers;
  size_t n_headers;
  /* The request's body; `body` holds the bytes from offset `body_base` on. */
  KqBuf body;
  uint64_t body_base;
  uint64_t body_sent;
  uint64_t body_credit; /* offset up to which the owner has granted credit */
  int64_t body_length;  /* announced by the caller; -1: unknown */
  bool body_kept;       /* `body` keeps bytes that were sent, for another try */
  bool body_end;        /* the body was received completely */
  bool body_end_sent;
  /* The owner of the current or last try. */
  KqNodeId owner;
  bool far; /* the owner is in another region */
  int tries;
  bool may_have_run; /* in an earlier try: later refusals must not report "not run" */
  /* The claim of its idempotency key. */
  uint32_t claim_shard;
  bool claimed;          /* the claim was granted */
  KqTime claim_deadline; /* 0: no reply from the claim's owner is expected */
  /* The answer. */
  int status;
  uint64_t answer_offset;
  uint64_t answer_consumed; /* bytes that the caller has read */
  uint64_t answer_credit;   /* offset up to which the owner may send */
  KqBuf answer;             /* the body, stored for the claim */
  bool answer_kept;         /* false: the body was too long to store, and was dropped */
  KqHeader *answer_headers;
  size_t n_answer_headers;
  KqBuf answer_text;      /* holds the strings of answer_headers */
  KqClientLimits *limits; /* in which `work` bytes are counted; NULL: none are */
  size_t work;
} KqFlight;

KqFlight *kq_flight_new (KqNodeId node, uint64_t incarnation, uint64_t number,
                         KqTime now);
void kq_flight_free (KqFlight *f);
/* Counts what is kept for the request in the limits, until the flight is freed. False: it
 * has to be refused. */
bool kq_flight_begin_work (KqFlight *f, KqClientLimits *limits, KqTime now);
/* Tells the server how much of the body is in memory. */
void kq_flight_hold_body (KqFlight *f);
/* The id of the current try, by which its owner knows it. */
KqFlightId kq_flight_try_id (const KqFlight *f);
/* Copies path, key and the headers that are forwarded to the runner. */
void kq_flight_set_request (KqFlight *f, KqStr path, KqStr key, const KqHeader *h,
                            size_t n);
/* Whether the whole body is still there for another try. */
bool kq_flight_can_resend (const KqFlight *f);
/* Resets what was sent and received, so that the body is sent again from its start. */
void kq_flight_rewind (KqFlight *f);
/* Sets *out to the next chunk that the owner's credit allows; its bytes point into f.
 * Returns false if nothing can be sent now. */
bool kq_flight_next_chunk (const KqFlight *f, KqMsgBody *out);
/* Notes that the chunk was sent, and drops its bytes unless the body is kept. */
void kq_flight_chunk_sent (KqFlight *f, const KqMsgBody *chunk);
/* Hash of method, path and body, to refuse another request with the same key. */
uint64_t kq_flight_request_hash (const KqFlight *f);
/* Copy an answer's headers, and bytes of its body, to be stored with the claim. */
void kq_flight_store_answer_headers (KqFlight *f, const KqHeader *h, size_t n);
void kq_flight_store_answer_bytes (KqFlight *f, KqStr bytes);
/* Whether a header is not forwarded: it belongs to one connection or to this system. */
bool kq_header_is_hop_by_hop (KqStr name);

#endif
