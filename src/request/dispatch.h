#ifndef KQ_REQUEST_DISPATCH_H
#define KQ_REQUEST_DISPATCH_H

/* dispatch: the queue of requests for the runners that this node owns.
 *
 * Each runner has one owner, and only the owner sends requests to it, so its slots and
 * connections are counted exactly without counters shared between nodes. A flight here
 * is one try of a request: it is queued, then sent to a runner or refused.
 *
 * This module combines admission, fair queueing, the lanes for short and long requests,
 * the choice of a runner, adaptive limits and outlier ejection; each is a module of its
 * own. It does no I/O and reads no clock: the caller passes the time. */

#include "port/hosts.h"
#include "request/dispatch_class.h"
#include "table/table.h"
#include "wire/msg.h"

/* Weight of a caller without a row in the table; the same as a row's default. */
#define KQ_CALLER_WEIGHT_DEFAULT 100

typedef uint64_t KqRunnerId; /* hash of worker id and runner name */

typedef struct
{
  KqRunnerId id;
  KqWorkerId worker;
  uint32_t shard;
  KqName depot;
  int slots;              /* requests that it may run at a time */
  int connections;        /* that it accepts; bounds its slots */
  const KqName *services; /* those that it serves; none: every service */
  size_t n_services;
} KqRunnerInfo;

typedef struct
{
  KqFlightId flight;
  KqStr service;
  KqStr caller;
  KqTime deadline; /* of the request, by this node's clock */
  bool idempotent;
  uint64_t class_id; /* from kq_dispatch_class; selects the run times. 0: unknown */
  uint64_t key;      /* from kq_dispatch_key; a caller's keys share evenly. 0: unknown */
} KqDispatchRequest;

typedef enum
{
  KQ_DISPATCH_SEND,  /* send the flight to the runner now; its slot is taken */
  KQ_DISPATCH_REFUSE /* the flight was removed from the queue unsent (not run) */
} KqDispatchKind;

typedef struct
{
  KqDispatchKind kind;
  KqFlightId flight;
  KqRunnerId runner;  /* SEND */
  KqResult code;      /* REFUSE: why */
  KqTime retry_after; /* REFUSE: how long the caller should wait; 0: no advice */
} KqDispatchEvent;

typedef enum
{
  KQ_OUTCOME_ANSWERED, /* complete answer, status below 500 */
  KQ_OUTCOME_ERROR,    /* complete answer, status 500 or above */
  KQ_OUTCOME_NOT_SENT, /* no connection: provably not run */
  KQ_OUTCOME_BROKEN,   /* the connection ended before the answer was complete */
  KQ_OUTCOME_SILENT,   /* no byte of an answer for silent_ms of the service's row */
  KQ_OUTCOME_CANCELLED /* the caller left; says nothing about the runner */
} KqOutcome;

typedef struct KqDispatch KqDispatch;

KqDispatch *kq_dispatch_new (uint64_t seed);
void kq_dispatch_free (KqDispatch *d);
/* Takes a reference to the table and uses its service and caller rows; requests for a
 * service without a row are refused. */
void kq_dispatch_set_table (KqDispatch *d, KqTable *t, KqTime now);
/* Adds or updates a runner; copies *r. taken_over: it isn't known which flights of the
 * former owner run there, so every slot counts as busy until the first report. */
void kq_dispatch_set_runner (KqDispatch *d, const KqRunnerInfo *r, bool taken_over,
                             KqTime now);
/* Removes a runner that this node no longer owns. It gets no more flights; those that it
 * has stay until kq_dispatch_done. */
void kq_dispatch_drop_runner (KqDispatch *d, KqRunnerId id, KqTime now);
/* Stores the runner's latest report about itself; ignored if the runner isn't known. */
void kq_dispatch_set_report (KqDispatch *d, KqRunnerId id, const KqRunnerReport *r,
                             KqTime now);
/* Sets whether the runner is leaving according to the host list or an operator. A runner
 * that is leaving by this or by its own last report gets no more flights. */
void kq_dispatch_set_leaving (KqDispatch *d, KqRunnerId id, bool leaving, KqTime now);

/* Queues the request or refuses it. Returns KQ_OK if it was queued: an event for its
 * flight follows. Otherwise returns why it was refused (not run), and sets *retry_after
 * to how long the caller should wait before a retry; 0: no advice. */
KqResult kq_dispatch_offer (KqDispatch *d, const KqDispatchRequest *r, KqTime now,
                            KqTime *retry_after);
/* Sends or refuses the next flight for which that is due: takes a slot for it or removes
 * it from the queue, and sets *e for the caller to carry out. One flight per call;
 * returns false if there is none. */
bool kq_dispatch_next (KqDispatch *d, KqTime now, KqDispatchEvent *e);
/* Returns the time at which kq_dispatch_next may have an event although no other function
 * was called; KQ_TIME_NEVER: no such time. */
KqTime kq_dispatch_wake_time (const KqDispatch *d, KqTime now);
/* Ends a flight that was sent: frees its slot, and updates run times, limit and outlier
 * state. Ignores flights that aren't known or not sent. */
void kq_dispatch_done (KqDispatch *d, KqFlightId flight, KqOutcome o, KqTime now);
/* Removes a flight that is still queued, because its caller left. Returns true if it was
 * removed (not run). Returns false if it isn't known, or has been sent: kq_dispatch_done
 * must be called when a sent one ends. */
bool kq_dispatch_cancel (KqDispatch *d, KqFlightId flight, KqTime now);
/* Writes at most max digests to `out`, one for each service that has a live runner, for
 * heartbeats and answers. Returns their number. */
size_t kq_dispatch_digest (const KqDispatch *d, KqServiceDigest *out, size_t max);
/* Number of services: an upper bound for the result of kq_dispatch_digest. */
size_t kq_dispatch_services (const KqDispatch *d);
/* Numbers of flights that are queued, and that were sent and have not ended. */
size_t kq_dispatch_queued (const KqDispatch *d);
size_t kq_dispatch_running (const KqDispatch *d);
/* For operators: the queues, and each runner's limit, slots and state. Returns a new JSON
 * object. */
json_t *kq_dispatch_state (const KqDispatch *d, KqTime now);

#endif
