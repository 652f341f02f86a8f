#ifndef KQ_PORT_RUNNER_H
#define KQ_PORT_RUNNER_H

/* runner: the port to the runners, which execute tasks and report on them.
 *
 * A runner stores the highest fencing token (epoch) it has seen and refuses lower ones.
 * All that runs on it ends when its lease expires. The lease's end is a time on the
 * runner's own monotonic clock, which may be 2% slow. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqRunnerClient KqRunnerClient;

/* An amount of resources. */
typedef struct
{
  int64_t cpu_milli; /* thousandths of a core */
  int64_t mem_mb;
  int64_t gpus;
} KqRoom;

/* A runner's description of itself in the store. */
typedef struct
{
  KqStr id;
  KqStr service;
  KqStr address; /* "ip:port" */
  KqStr failure_domain;
  KqStr kind;
  KqStr rack;
  KqStr host;           /* the host it runs on; "" if not given */
  bool draining;        /* will end soon; gets no new tasks */
  int64_t remaining_ms; /* while draining: minimum time until its end; 0: not given */
  int64_t started_ms;   /* start of the runner's process, Unix time; 0: not given */
  KqRoom room;          /* its capacity */
} KqRunnerEntry;

typedef enum
{
  KQ_END_DONE,
  KQ_END_FAILED,         /* an error of the task or of the runner */
  KQ_END_STOPPED,        /* a stop order ended the run */
  KQ_END_LAPSED,         /* the runner's lease expired */
  KQ_END_GANG_BROKEN,    /* another member of its gang (tasks that run together) ended */
  KQ_END_GANG_INCOMPLETE /* the other members of its gang didn't start */
} KqEndReason;

/* A run in progress, as its runner reports it. */
typedef struct
{
  KqStr task;
  uint32_t run;
  KqStr checkpoint; /* "": none */
  int percent;      /* progress; for a lasting task, 100 means that it serves requests */
  int load;         /* for a task that serves requests, its tail latency in ms; for any
                       other, its cpu in use in thousandths of a core; -1: not reported */
} KqRunRow;

/* The end of a run, as its runner reports it. */
typedef struct
{
  uint64_t number; /* of this end: 1, 2, ... in each process of the runner */
  KqStr task;
  uint32_t run;
  KqEndReason reason;
  KqStr checkpoint;
} KqEndRow;

typedef enum
{
  KQ_ORDER_OK,
  KQ_ORDER_FENCED,  /* the runner has seen a higher epoch */
  KQ_ORDER_OLD_RUN, /* that run of the task, or a later one, has been stopped or has ended
                       at the runner */
  KQ_ORDER_LATE,    /* the lease's end in the order has passed */
  KQ_ORDER_NO_ROOM,
  KQ_ORDER_NO_TICKET,
  KQ_ORDER_UNHEALTHY,    /* refused without doing anything */
  KQ_ORDER_OTHER_RUNNER, /* another runner answers at that address */
  KQ_ORDER_BAD,          /* the order is invalid */
  KQ_ORDER_UNKNOWN       /* no answer: the order was carried out, wasn't, or will be
                            some seconds later */
} KqOrderResult;

/* Names of the values in logs. */
const char *kq_order_result_name (KqOrderResult r);
const char *kq_end_reason_name (KqEndReason r);

typedef struct
{
  KqOrderResult result;
  int64_t clock_ms;   /* the runner's monotonic clock; -1: not given */
  int64_t started_ms; /* start of the runner's process, Unix time; 0: not given */
  const KqRunRow *running;
  size_t n_running;
  const KqEndRow *ended;
  size_t n_ended;
  bool more_ended;  /* there are more ends than those listed */
  bool unsent;      /* UNHEALTHY: true if the call was never sent, false if that is the
                       runner's answer */
  KqTime called_at; /* when the call was made; it may have waited for a connection */
  /* When the call's first byte was sent, on a connection that was open at that time; 0:
   * never sent. */
  KqTime send_started_at;
} KqRunnerReply;

typedef struct
{
  void (*done) (void *arg, const KqRunnerReply *r, KqTime now);
  void *arg;
} KqRunnerCallback;

/* The runner that is called, and the conditions of the call. */
typedef struct
{
  KqStr address;
  KqStr id;
  uint64_t epoch;
  int timeout_ms;
  /* Not 0: the call is sent only on a connection opened at or before this time; if there
   * is none, the result is UNHEALTHY with `unsent`. If this time is the send_started_at
   * of a reply of the runner, the order reaches the process that gave that reply or none
   * at all, because the connections of a process end with the process. */
  KqTime opened_before;
} KqRunnerDest;

/* Orders the runner to start a run of the task, or to stop it. spec: the task's text for
 * the runner; checkpoint: where to resume, "": at the beginning; ticket: that of the
 * advice service, "": none; lease_end_ms: end of the runner's lease on its monotonic
 * clock. The callback is called exactly once, unless the client is freed before. */
void kq_runner_start (KqRunnerClient *c, const KqRunnerDest *to, KqStr task, uint32_t run,
                      KqStr spec, KqStr checkpoint, KqStr ticket, int64_t lease_end_ms,
                      KqRunnerCallback cb);
void kq_runner_stop (KqRunnerClient *c, const KqRunnerDest *to, KqStr task, uint32_t run,
                     KqRunnerCallback cb);
/* Sets the task's pace: a percentage of its full speed, 0 to 100. */
void kq_runner_pace (KqRunnerClient *c, const KqRunnerDest *to, KqStr task, uint32_t run,
                     int percent, KqRunnerCallback cb);
/* Renews the lease (not if lease_end_ms < 0), drops the ends up to number ends_seen from
 * the runner's list, and returns its runs and ends. Without an end the runner answers
 * after wait_ms at the latest. */
void kq_runner_renew (KqRunnerClient *c, const KqRunnerDest *to, int64_t lease_end_ms,
                      uint64_t ends_seen, int wait_ms, KqRunnerCallback cb);

#endif
