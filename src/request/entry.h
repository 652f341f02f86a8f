#ifndef KQ_REQUEST_ENTRY_H
#define KQ_REQUEST_ENTRY_H

/* entry: sends flights from the gateway to owners and returns the answers to callers.
 * Used by gateway.c only; the struct is here because both files implement one task. */

#include "api/calls.h"
#include "port/mail.h"
#include "request/claim_ends.h"
#include "request/flight.h"
#include "request/gateway.h"
#include "request/recent.h"
#include "request/request_counts.h"
#include "request/retry.h"
#include "request/route.h"

#include <ev.h>
#include <glib.h>

/* Tries of one request, including the first: enough if one owner has died and another
 * one refuses. More tries would add load; the retry budget bounds the sum. */
#define KQ_TRIES_MAX 3
/* Time limit for recording a claim: many store latencies, yet short enough that a caller
 * with a deadline of some seconds can try again. */
#define KQ_CLAIM_TIMEOUT (2 * KQ_SEC)
/* How long after the deadline the entry node waits for the owner to report it, before it
 * fails the flight itself. */
#define KQ_DEADLINE_GRACE (250 * KQ_MS)
/* How long the end of a claim is resent while the reply to its begin is missing. */
#define KQ_CLAIM_END_RESEND_TIME (30 * KQ_SEC)

struct KqGateway
{
  KqLoop *loop;
  KqTask task;
  KqGatewayConfig config;
  KqHttpServer *http;
  KqRoute *route;
  KqTable *table; /* NULL: none received yet */
  KqRequestCounts *request_counts;
  KqCalls *calls;
  KqClaimEnds *claim_ends;
  KqRecent recent;
  GHashTable *flights;  /* flight number -> KqFlight */
  GHashTable *nodes;    /* node id -> KnownNode of gateway.c */
  uint64_t next_number; /* of flights, in units of KQ_TRY_IDS */
  bool draining;
  bool drained_reported;
  ev_timer tick;
  uint64_t *late_messages; /* counter */
  uint64_t *cut_answers;   /* counter */
};

/* Asks for the claim of the flight's idempotency key or, without a key, sends the flight
 * to an owner. To be called when its body has been collected, or if it is streamed. */
void kq_entry_start (KqGateway *g, KqFlight *f, KqTime now);
/* Sends the body bytes for which the owner has granted credit. */
void kq_entry_send_body (KqGateway *g, KqFlight *f);
/* Ends the flight and reports the error to its caller. ran: of the last try; KQ_RAN_NO
 * releases the idempotency key, unless an earlier try may have run. */
void kq_entry_fail (KqGateway *g, KqFlight *f, KqResult code, KqRan ran,
                    KqTime retry_after, KqTime now);
/* Handles the messages RESP_*, REQ_CREDIT and CLAIM_REPLY. */
void kq_entry_message (KqGateway *g, KqNodeId from, const KqMsg *m, KqTime now);
/* Retries or fails the flights at a node whose connection is down, and starts to resend
 * the ends of claims. */
void kq_entry_peer_down (KqGateway *g, const KqMailPeer *p, KqTime now);
/* Checks the deadlines, backoffs and claims of all flights. */
void kq_entry_tick (KqGateway *g, KqTime now);
/* Detaches the flight from its caller's exchange, which has ended, and cancels a flight
 * that nobody waits for. whole: the answer was sent completely. */
void kq_entry_exchange_ended (KqGateway *g, KqFlight *f, bool whole, KqTime now);
/* Grants the owner credit for more, because the caller has read answer bytes. */
void kq_entry_answer_consumed (KqGateway *g, KqFlight *f);

#endif
