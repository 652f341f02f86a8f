#ifndef KQ_SCHED_LOAD_ACCOUNT_H
#define KQ_SCHED_LOAD_ACCOUNT_H

/* load_account: how much work waits for each service, how fast it is being done, and when
 * a job that comes now would end.
 *
 * In a burst more work waits than the runners can hold. Judged alone, as if it had all
 * room to itself, each job still looks in time, so all are accepted and all end late.
 *
 * Work is cpu times estimated run time, in thousandths of a core times milliseconds. The
 * account is filled in each placing pass, which visits all waiting steps anyway. It is
 * rebuilt by a new leader from the jobs that it reads; until those are placed again it is
 * unknown. */

#include "base/str.h"
#include "base/time.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How a task uses its runner; tasks of different kinds don't wait for the same room. */
typedef enum
{
  KQ_LOAD_RESERVED, /* its cpu is reserved, and it ends by itself */
  KQ_LOAD_FILLING,  /* it uses cpu that others leave unused, and ends by itself */
  KQ_LOAD_LASTING,  /* it runs until it is cancelled */
  KQ_LOAD_KINDS
} KqLoadKind;

/* "reserved", "filling" or "lasting"; for logs, metrics and operators. */
const char *kq_load_kind_name (KqLoadKind k);

/* The load of one kind of task of one service. */
typedef struct
{
  KqStr service;
  KqLoadKind kind;
  int64_t rate;         /* work done per millisecond, in thousandths of a core; 0: not
                           known */
  int64_t in_time_work; /* waiting work of jobs that are forecast to be in time */
  int64_t late_work;    /* waiting work of jobs that are placed behind those */
  int64_t running_work; /* what running tasks have yet to do */
  int64_t cut_work;   /* jobs with at least this much work are being placed behind others;
                         0: none is */
  int64_t free_milli; /* cpu that a task of this kind could use now */
  int64_t largest_milli; /* the most of it on one runner */
  int32_t waiting_jobs;
  int32_t late_jobs;     /* those of them that are placed behind */
  int64_t waiting_milli; /* cpu of the smallest task that found no room and needs
                            neither label nor gpu; 0: none waits */
} KqLoadRow;

#define KQ_LOAD_ROWS_MAX 24
/* Most work of the tasks of one step, more than a thousand days of a core. Clients
 * declare cpu and estimate up to 2^31 - 1 each; sums over 20,000 waiting tasks don't
 * overflow. */
#define KQ_LOAD_WORK_MAX ((int64_t)100000000000000)

/* The work of n tasks, KQ_LOAD_WORK_MAX at most; 0 if n is below 1. */
int64_t kq_load_work (int32_t cpu_milli, int32_t estimate_ms, int32_t n);

/* The load of all services, as a leader sends it to the nodes. */
typedef struct
{
  uint64_t number; /* rises with each one of a leader */
  bool known;      /* false: the leader has yet to learn what waits; there are no rows */
  KqLoadRow rows[KQ_LOAD_ROWS_MAX];
  size_t n_rows;
} KqLoadDigest;

/* The row of that service and kind; NULL: there is none. */
const KqLoadRow *kq_load_find (const KqLoadDigest *d, KqStr service, KqLoadKind kind);
/* The forecast wait until work that is placed behind all that waits now would begin, in
 * ms; 0: it begins at once; -1: not known. */
int64_t kq_load_wait_ms (const KqLoadRow *row);

#endif
