#ifndef KQ_REQUEST_RUNNER_FLIGHT_H
#define KQ_REQUEST_RUNNER_FLIGHT_H

/* runner_flight: a request at the owner of its runner: queued, then one call to the
 * runner. Used by runner_task.c only; the structs stand here because the two files are
 * one task. */

#include "http/client.h"
#include "port/mail.h"
#include "request/dispatch.h"
#include "request/flight.h"
#include "request/runner_task.h"

#include <ev.h>
#include <glib.h>

/* What we know of a runner besides what the dispatcher decides by. */
typedef struct
{
  KqRunnerId id;
  uint32_t shard;
  bool seen; /* in the list being taken */
  char *address;
  KqName name;
  KqWorkerId worker;
} KqRunnerEntry;

typedef struct
{
  KqRunnerTask *task;
  KqFlightId id;
  KqNodeId entry;
  KqName service;
  KqName method;
  KqName caller;
  bool idempotent;
  int64_t silent_ms;
  KqTime deadline;
  KqBuf text; /* path and headers, see flight.c */
  KqStr path;
  KqHeader *headers;
  size_t n_headers;
  KqBuf body; /* what came before the runner was chosen */
  int64_t body_length;
  uint64_t body_received;
  uint64_t body_granted;
  bool body_end;
  KqRunnerId runner;
  KqHttpCall *call; /* NULL while queued */
  bool head_sent;
  bool not_run; /* the runner's own word */
  bool entry_gone;
  int status;
  uint64_t answer_offset;
  uint64_t answer_allowed;
} KqRunnerFlight;

struct KqRunnerTask
{
  KqLoop *loop;
  KqTask task;
  KqRunnerTaskConfig config;
  KqDispatch *dispatch;
  KqHttpClient *http;
  KqTable *table;
  GHashTable *flights; /* KqFlightId -> Flight */
  GHashTable *runners; /* KqRunnerId -> Runner */
  bool draining;
  KqTime handed_over_at; /* when a shard's runners last went to another owner */
  bool drained_told;
  KqTime digest_at;
  ev_timer tick;
  uint64_t *uncancelled;
};

KqRunnerFlight *kq_runner_flight_new (KqRunnerTask *t, KqNodeId from,
                                      const KqMsgReqOpen *o, KqTime now);
/* Ends its call without a word to anybody. */
void kq_runner_flight_free (void *flight);
void kq_runner_send_fail (KqRunnerTask *t, KqNodeId to, KqFlightId id, KqResult code,
                          KqRan ran, KqTime retry_after);
/* The dispatcher's refusal as the entry node should hear it. */
KqResult kq_runner_refusal (const KqRunnerTask *t, KqResult code, KqTime now);
/* Carries out what the dispatcher has decided. */
void kq_runner_run_queue (KqRunnerTask *t, KqTime now);
/* The flight's call is ended from our side; the runner may have run it. */
void kq_runner_drop_call (KqRunnerTask *t, KqRunnerFlight *f, KqTime now);
/* Nobody waits for the flight any more. */
void kq_runner_abandon (KqRunnerTask *t, KqRunnerFlight *f, KqTime now);

#endif
