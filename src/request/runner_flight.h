#ifndef KQ_REQUEST_RUNNER_FLIGHT_H
#define KQ_REQUEST_RUNNER_FLIGHT_H

/* runner_flight: a request at the owner of its runner, where it is first queued and then
 * sent in one HTTP call to the runner. Used by runner_task.c only; the two files
 * implement one task, whose struct is here. */

#include "http/client.h"
#include "port/mail.h"
#include "request/dispatch.h"
#include "request/flight.h"
#include "request/runner_task.h"

#include <ev.h>
#include <glib.h>

/* What the dispatcher doesn't need to know of a runner of this node's shards. */
typedef struct
{
  KqRunnerId id;
  uint32_t shard;
  bool listed; /* in the host list that is being processed */
  char *address;
  KqName name;
  KqWorkerId worker;
} KqRunnerRecord;

typedef struct
{
  KqRunnerTask *task;
  KqFlightId id;
  KqNodeId entry; /* the entry node */
  KqName service;
  KqName method;
  KqName caller;
  bool idempotent;
  int64_t silent_ms;
  KqTime deadline;
  KqBuf text; /* holds the strings of path and headers */
  KqStr path;
  KqHeader *headers;
  size_t n_headers;
  KqBuf body; /* the part that arrived before the runner was chosen */
  int64_t body_length;
  uint64_t body_received;
  uint64_t body_granted; /* credit: total bytes that the entry node may send */
  bool body_end;
  KqRunnerId runner;
  KqHttpCall *call; /* NULL while queued */
  bool head_sent;   /* the answer's head was sent to the entry node */
  bool not_run;     /* the runner's answer says that the request was not run */
  bool entry_gone;  /* the entry node waits for no answer */
  int status;
  uint64_t answer_offset;  /* bytes of the answer sent to the entry node */
  uint64_t answer_allowed; /* credit: total bytes that may be sent */
  size_t work;             /* counted in the limits */
} KqRunnerFlight;

struct KqRunnerTask
{
  KqLoop *loop;
  KqTask task;
  KqRunnerTaskConfig config;
  KqDispatch *dispatch;
  KqHttpClient *http;
  KqTable *table;
  GHashTable *flights; /* KqFlightId -> KqRunnerFlight */
  GHashTable *runners; /* KqRunnerId -> KqRunnerRecord */
  bool draining;
  KqTime handed_over_at; /* when a shard last went to another owner; 0: never */
  bool drained_sent;
  KqTime next_digest_at; /* when the next digest is sent to the node's task */
  ev_timer tick;
  uint64_t *uncancelled; /* counter: calls that go on although nobody waits for them */
};

/* Creates a flight from a REQ_OPEN message of the entry node `from`. The caller adds it
 * to t->flights. */
KqRunnerFlight *kq_runner_flight_new (KqRunnerTask *t, KqNodeId from,
                                      const KqMsgReqOpen *o, KqTime now);
/* What a flight from that message holds, at most. */
size_t kq_runner_flight_work (const KqMsgReqOpen *o);
/* Frees a flight and cancels its call; tells nothing to the entry node or dispatcher. */
void kq_runner_flight_free (void *flight);
/* Tells an entry node that a try failed (RESP_FAIL), and counts the code. */
void kq_runner_send_fail (KqRunnerTask *t, KqNodeId to, KqFlightId id, KqResult code,
                          KqRan ran, KqTime retry_after);
/* Returns the code to send to the entry node for a result of the dispatcher. */
KqResult kq_runner_refusal_code (const KqRunnerTask *t, KqResult code, KqTime now);
/* Sends and refuses queued flights as the dispatcher decides. */
void kq_runner_run_queue (KqRunnerTask *t, KqTime now);
/* Cancels the call of a sent flight and frees the flight; the runner may have run it. */
void kq_runner_cancel_call (KqRunnerTask *t, KqRunnerFlight *f, KqTime now);
/* Ends a flight for which nobody waits any more, as far as that is safe. May free it. */
void kq_runner_abandon (KqRunnerTask *t, KqRunnerFlight *f, KqTime now);

#endif
