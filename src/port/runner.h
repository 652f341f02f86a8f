#ifndef KQ_PORT_RUNNER_H
#define KQ_PORT_RUNNER_H

/* runner: the port to the runners that execute tasks, and what they say of themselves.
 *
 * A runner keeps the highest fencing token (epoch) it has seen and refuses lower ones.
 * All that runs on it ends when its lease lapses; the lease's end is a time on the
 * runner's own steady clock, which may be 2% slow. */

#include "base/str.h"
#include "base/task.h"

typedef struct KqRunnerCalls KqRunnerCalls;

typedef struct
{
  int64_t cpu_milli; /* thousandths of a core */
  int64_t mem_mb;
  int64_t gpus;
} KqRoom;

/* What a runner has put into the store about itself. */
typedef struct
{
  KqStr id;
  KqStr service;
  KqStr address; /* "ip:port" */
  KqStr failure_domain;
  KqStr kind;
  KqStr rack;
  KqStr host;      /* the host it lives on; "" when not told */
  bool draining;   /* leaves soon; gets nothing new */
  int64_t left_ms; /* while draining: at least so long it stays; 0: not told */
  int64_t born_ms; /* start of this life, Unix time; 0: not told */
  KqRoom room;
} KqRunnerEntry;

typedef enum
{
  KQ_END_DONE,
  KQ_END_FAILED,  /* by its own fault or the runner's */
  KQ_END_STOPPED, /* by a stop order */
  KQ_END_LAPSED,  /* the runner's lease ran out */
  KQ_END_BROKEN,  /* another member of its gang ended */
  KQ_END_ALONE    /* the other members of its gang didn't come */
} KqEndHow;

typedef struct
{
  KqStr task;
  uint32_t run;
  KqStr checkpoint; /* "": none */
  int percent;      /* progress; of a lasting task 100 means that it serves */
  int load;         /* serving task: latency tail in ms; any other: cpu in use, in
                       thousandths of a core; -1: not told */
} KqRunRow;

typedef struct
{
  uint64_t number; /* counts from 1 in each life of the runner */
  KqStr task;
  uint32_t run;
  KqEndHow how;
  KqStr checkpoint;
} KqEndRow;

typedef enum
{
  KQ_ORDER_OK,
  KQ_ORDER_FENCED,  /* a higher epoch has been there */
  KQ_ORDER_OLD_RUN, /* that run, or a later one, has been stopped or has ended there */
  KQ_ORDER_LATE,    /* the lease's end that came along has passed */
  KQ_ORDER_NO_ROOM,
  KQ_ORDER_NO_TICKET,
  KQ_ORDER_UNHEALTHY,  /* refused without doing anything */
  KQ_ORDER_OTHER_LIFE, /* another runner answers at that address */
  KQ_ORDER_BAD,
  KQ_ORDER_UNKNOWN /* no answer: done, not done, or done seconds later */
} KqOrderResult;

/* For logs. */
const char *kq_order_result_name (KqOrderResult r);
const char *kq_end_how_name (KqEndHow h);

typedef struct
{
  KqOrderResult result;
  int64_t clock_ms; /* the runner's steady clock; -1: not told */
  int64_t born_ms;  /* 0: not told */
  const KqRunRow *running;
  size_t n_running;
  const KqEndRow *ended;
  size_t n_ended;
  bool ended_cut; /* more ends wait behind those listed */
  bool unsent;    /* UNHEALTHY as the call never left; else the runner said so */
  KqTime sent_at;
  KqTime left_at; /* when the call left, on a connection opened by then; 0: it hasn't */
} KqRunnerReply;

typedef struct
{
  void (*done) (void *arg, const KqRunnerReply *r, KqTime now);
  void *arg;
} KqRunnerCallback;

typedef struct
{
  KqStr address;
  KqStr id;
  uint64_t epoch;
  int timeout_ms;
  /* Not 0: only on a connection opened by then, otherwise UNHEALTHY without having left.
   * With the time at which an earlier call left that the runner has answered, the order
   * reaches the life that gave that answer, or nobody: connections end with a life. */
  KqTime opened_before;
} KqRunnerAim;

void kq_runner_start (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                      KqStr spec, KqStr checkpoint, KqStr ticket, int64_t lease_end_ms,
                      KqRunnerCallback cb);
void kq_runner_stop (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                     KqRunnerCallback cb);
/* Lets the task work at a share of its speed, 0 to 100. */
void kq_runner_pace (KqRunnerCalls *c, const KqRunnerAim *a, KqStr task, uint32_t run,
                     int percent, KqRunnerCallback cb);
/* Renews the lease (lease_end_ms < 0: only looks), forgets ends up to ends_seen, and
 * lists runs and ends. Waits up to wait_ms for an end. */
void kq_runner_renew (KqRunnerCalls *c, const KqRunnerAim *a, int64_t lease_end_ms,
                      uint64_t ends_seen, int wait_ms, KqRunnerCallback cb);

#endif
