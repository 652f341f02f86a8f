#ifndef KQ_REQUEST_DISPATCH_H
#define KQ_REQUEST_DISPATCH_H

/* dispatch: the owner's side of requests: one queue for the runners this node owns.
 *
 * One owner per runner makes its slots and connections exact without counters shared
 * between nodes. Admission, fairness, short slots, target choice, adaptive limits and
 * outliers are modules of their own, put together here. No socket, no clock. */

#include "port/hosts.h"
#include "request/dispatch_class.h"
#include "table/table.h"
#include "wire/msg.h"

/* Weight of a caller that has no row: the row's own default. */
#define KQ_CALLER_WEIGHT 100

typedef uint64_t KqRunnerId; /* hash of worker id and runner name */

typedef struct
{
  KqRunnerId id;
  KqWorkerId worker;
  uint32_t shard;
  KqName depot;
  int slots;
  int connections;
  const KqName *services; /* none: every service */
  size_t n_services;
} KqRunnerInfo;

typedef struct
{
  KqFlightId flight;
  KqStr service;
  KqStr caller;
  KqTime deadline; /* on this node's clock */
  bool idempotent;
  uint64_t class_id; /* kq_dispatch_class; its run times are learned. 0: unknown */
  uint64_t key;      /* kq_dispatch_key; within a caller no key waits for another */
} KqDispatchRequest;

typedef enum
{
  KQ_DISPATCH_SEND,  /* send the flight to the runner now; its slot is taken */
  KQ_DISPATCH_REFUSE /* the flight left the queue unsent: "not run" */
} KqDispatchKind;

typedef struct
{
  KqDispatchKind kind;
  KqFlightId flight;
  KqRunnerId runner;
  KqResult code;
  KqTime retry_after;
} KqDispatchEvent;

typedef enum
{
  KQ_OUTCOME_ANSWERED, /* whole answer, status below 500 */
  KQ_OUTCOME_ERROR,    /* whole answer, status 500 and above */
  KQ_OUTCOME_NOT_SENT, /* no connection: provably not run */
  KQ_OUTCOME_BROKEN,
  KQ_OUTCOME_SILENT,
  KQ_OUTCOME_CANCELLED /* the caller left; says nothing about the runner */
} KqOutcome;

typedef struct KqDispatch KqDispatch;

KqDispatch *kq_dispatch_new (uint64_t seed);
void kq_dispatch_free (KqDispatch *d);
/* Reads the service and caller rows; services without a row are refused. */
void kq_dispatch_set_table (KqDispatch *d, KqTable *t, KqTime now);
/* Adds or updates. `taken_over`: we don't know what runs there: every slot counts as
 * busy until the first report. */
void kq_dispatch_set_runner (KqDispatch *d, const KqRunnerInfo *r, bool taken_over,
                             KqTime now);
/* The runner or its shard is no longer ours. Flights open there stay until _done. */
void kq_dispatch_drop_runner (KqDispatch *d, KqRunnerId id, KqTime now);
void kq_dispatch_report (KqDispatch *d, KqRunnerId id, const KqRunnerReport *r,
                         KqTime now);
/* From the host list or an operator; the first word that says so counts. */
void kq_dispatch_set_leaving (KqDispatch *d, KqRunnerId id, bool leaving, KqTime now);

/* KQ_OK: queued, an event follows. Otherwise refused without being queued ("not
 * run") with advice when to come back. */
KqResult kq_dispatch_offer (KqDispatch *d, const KqDispatchRequest *r, KqTime now,
                            KqTime *retry_after);
/* Events that are due now, one a call; false: none. */
bool kq_dispatch_next (KqDispatch *d, KqTime now, KqDispatchEvent *e);
/* When _next may have something without any other call; KQ_TIME_NEVER: never. */
KqTime kq_dispatch_wake (const KqDispatch *d, KqTime now);
/* A sent flight ended at the runner: frees its slot and teaches the limits. */
void kq_dispatch_done (KqDispatch *d, KqFlightId flight, KqOutcome o, KqTime now);
/* The caller left. True: the flight was still queued and is forgotten (not run).
 * False: it has been sent; _done follows when its call ends. */
bool kq_dispatch_cancel (KqDispatch *d, KqFlightId flight, KqTime now);
/* One line per service, for heartbeats and answers. Returns how many. */
size_t kq_dispatch_digest (const KqDispatch *d, KqServiceDigest *out, size_t max);
/* Lines that the digest has at most. */
size_t kq_dispatch_services (const KqDispatch *d);
size_t kq_dispatch_queued (const KqDispatch *d);
size_t kq_dispatch_running (const KqDispatch *d);
/* Operators: queues, runners with limit, slots and state. A new JSON object. */
json_t *kq_dispatch_state (const KqDispatch *d, KqTime now);

#endif
