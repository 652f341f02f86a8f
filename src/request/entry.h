#ifndef KQ_REQUEST_ENTRY_H
#define KQ_REQUEST_ENTRY_H

/* entry: a flight's way from the gateway to an owner and back. Used by gateway.c only;
 * the struct stands here because the two files are one task. */

#include "api/calls.h"
#include "port/mail.h"
#include "request/account.h"
#include "request/claim_ends.h"
#include "request/flight.h"
#include "request/gateway.h"
#include "request/recent.h"
#include "request/retry.h"
#include "request/route.h"

#include <ev.h>
#include <glib.h>

/* Tries of one request, the first included: enough to get past one owner that died and
 * one that refuses; more would be a load of its own (the retry budget bounds the sum). */
#define KQ_TRIES_MAX 3
/* How long a claim may take to be recorded: many store latencies, yet short enough that
 * a caller with a deadline of seconds can try again. */
#define KQ_CLAIM_WAIT (2 * KQ_SEC)
/* Behind the deadline, for the owner's own word to arrive over the mesh. */
#define KQ_DEADLINE_GRACE (250 * KQ_MS)
/* How long an end of a claim is repeated while its reply is missing. */
#define KQ_CLAIM_LATE (30 * KQ_SEC)

struct KqGateway
{
  KqLoop *loop;
  KqTask task;
  KqGatewayConfig config;
  KqHttpServer *http;
  KqRoute *route;
  KqTable *table; /* NULL before the first */
  KqAccount *account;
  KqCalls *calls;
  KqClaimEnds *ends;
  KqRecent recent;
  GHashTable *flights; /* number -> KqFlight */
  GHashTable *nodes;   /* id -> what is known of an owner, for the route module */
  uint64_t next_number;
  bool draining;
  bool drained_told;
  ev_timer tick;
  uint64_t *late;
  uint64_t *cut;
};

/* Everything that is to be sent first has been collected, or streaming starts. */
void kq_entry_start (KqGateway *g, KqFlight *f, KqTime now);
/* Sends body bytes the owner has credit for. */
void kq_entry_pump (KqGateway *g, KqFlight *f);
/* The flight's final word to its caller; "not run" frees its claim. */
void kq_entry_fail (KqGateway *g, KqFlight *f, KqResult code, KqRan ran,
                    KqTime retry_after, KqTime now);
/* RESP_*, REQ_CREDIT or CLAIM_REPLY. */
void kq_entry_message (KqGateway *g, KqNodeId from, const KqMsg *m, KqTime now);
void kq_entry_peer_down (KqGateway *g, const KqMailPeer *p, KqTime now);
void kq_entry_tick (KqGateway *g, KqTime now);
/* The caller's exchange is over. */
void kq_entry_gone (KqGateway *g, KqFlight *f, bool whole, KqTime now);
/* The caller took answer bytes. */
void kq_entry_drained (KqGateway *g, KqFlight *f);

#endif
