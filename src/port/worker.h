#ifndef KQ_PORT_WORKER_H
#define KQ_PORT_WORKER_H

/* worker: the port to the platform's workers (machines that run tasks under leases).
 *
 * A worker grants one lease to one shard owner. A LEASE call per period renews it and
 * acknowledges ended tasks; its answer lists the running and ended tasks, the usage
 * reports and the state of the worker's runners. Each call carries the owner's epoch. The
 * worker refuses an epoch below the highest it has seen, and a start whose attempt isn't
 * above the highest it has seen for that job. */

#include "base/result.h"
#include "base/str.h"
#include "base/time.h"

#include <stdbool.h>
#include <stdint.h>

typedef uint64_t KqWorkerId; /* kq_str_hash of the host's name */
typedef uint64_t KqJobId;    /* upper 16 bits: shard index; see job/job.h */

/* Processors in thousandths of a core, memory in MB, accelerators in whole devices. */
typedef struct
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
} KqSize;

typedef enum
{
  KQ_WORKER_LEASE,
  KQ_WORKER_START,
  KQ_WORKER_STOP,
  KQ_WORKER_CHECKPOINT, /* checkpoint and stop; the answer carries the checkpoint id */
  KQ_WORKER_THROTTLE
} KqWorkerCallKind;

typedef struct
{
  KqJobId job;
  uint32_t attempt;
} KqTaskKey;

typedef struct
{
  KqWorkerCallKind kind;
  KqWorkerId worker;
  uint32_t shard;
  uint64_t epoch;
  uint64_t token; /* chosen by the caller, echoed in the reply */
  /* Used by LEASE: */
  uint64_t echo_stamp; /* the stamp of the worker's last answer; 0: none yet */
  int lease_ms;
  KqTaskKey *acks; /* ended tasks whose end is committed; owned by the call */
  size_t n_acks;
  uint64_t list_stamp; /* set by the port (worker_list.h); decision modules leave it 0 */
  /* Used by START, STOP, CHECKPOINT and THROTTLE: */
  KqTaskKey task;
  KqSize size;
  KqName class_name;
  KqName checkpoint;     /* START: resume from here; "": from the beginning */
  bool latency_critical; /* START */
  int64_t run_ms;        /* START: declared run time, for information; 0: unknown */
  int throttle_percent;  /* THROTTLE: share of its processors the task may use */
} KqWorkerCall;

typedef enum
{
  KQ_TASK_RUNNING,
  KQ_TASK_FINISHED,
  KQ_TASK_FAILED,
  KQ_TASK_CHECKPOINTED,
  KQ_TASK_STOPPED
} KqTaskState;

/* A task in the answer to a LEASE call. Ended tasks are listed until acknowledged. */
typedef struct
{
  KqTaskKey task;
  KqTaskState state;
  KqName checkpoint;
  int64_t run_us; /* how long the task has run; while it runs, as of its last change of
                     state */
  KqSize size;    /* what the task was started with */
  KqName class_name;
  bool latency_critical;
} KqTaskReport;

/* A usage report: a task's resource use and slowdown in a past interval. */
typedef struct
{
  KqTaskKey task;
  int64_t age_us; /* how long ago the measured interval ended */
  int64_t cpu_milli;
  int64_t memory_mb;
  double slowdown; /* measured time over the time without other tasks; 1.0: undisturbed */
} KqUsageReport;

/* The state of one of the worker's runners (a back end that serves requests). */
typedef struct
{
  KqName runner;
  int slots;
  int slots_busy;
  int connections;
  bool leaving;
} KqRunnerReport;

/* A reply is valid only during the function call that delivers it. result: KQ_OK,
 * KQ_ERR_WORKER_UNREACHABLE (the command may have been carried out),
 * KQ_ERR_WORKER_REFUSED (it was not carried out), KQ_ERR_OLD_EPOCH, KQ_ERR_OLD_ATTEMPT,
 * KQ_ERR_NO_LEASE, KQ_ERR_NO_ROOM, KQ_ERR_PLATFORM_FORMAT. */
typedef struct
{
  KqWorkerCallKind kind;
  KqWorkerId worker;
  uint32_t shard;
  uint64_t epoch; /* of the call */
  uint64_t token;
  KqResult result;
  KqTime sent_at;
  KqTaskKey task;
  KqName checkpoint;     /* CHECKPOINT */
  uint64_t stamp;        /* LEASE: the worker's time, to be echoed in the next call */
  uint64_t worker_epoch; /* the highest epoch the worker has seen */
  bool lease_live; /* LEASE: the caller's lease is in force; needs a valid echo_stamp */
  bool leaving;
  KqSize capacity; /* the worker's capacity */
  /* LEASE: all tasks of the worker; the port completes partial lists. */
  KqTaskReport *tasks;
  size_t n_tasks;
  /* Used by the port only (worker_list.h). */
  uint64_t tasks_since; /* not 0: `tasks` has only those changed at this stamp or later */
  uint64_t list_tag;    /* hash over the full list; 0: not given */
  KqUsageReport *usage;
  size_t n_usage;
  KqRunnerReport *runners;
  size_t n_runners;
} KqWorkerReply;

#endif
