#ifndef KQ_SCHED_LARGE_TASKS_H
#define KQ_SCHED_LARGE_TASKS_H

/* large_tasks: reserves runners for waiting tasks that are too large for the free room of
 * any runner.
 *
 * After 14% of the runners had vanished, short jobs whose tasks need 4.8 cores or more
 * never started again: smaller tasks and lasting tasks took each core that became free,
 * and no runner ever had 5 cores free at once.
 *
 * A reservation is for tasks that reserve their cpu, end by themselves and need at least
 * its size. It begins when a step has placed none of its tasks for some time while
 * smaller tasks wait or were started, and ends when a task is placed there, no step needs
 * it any more, the runner takes no tasks, or it has not been used for some seconds;
 * another runner is then chosen. Reservations are memory of the leader; a new one begins
 * without any.
 *
 * Used only while KqSchedFeatures.large_task_room is on. Only files of src/sched include
 * it. */

#include "base/str.h"
#include "base/time.h"
#include "sched/sched.h"

typedef struct KqOccurrence KqOccurrence;
typedef struct KqPool KqPool;
typedef struct KqRun KqRun;
typedef struct KqRunnerState KqRunnerState;

/* Sizes of tasks, per service, for which runners are reserved at a time: the largest. */
#define KQ_LARGE_SIZES_MAX 8

/* The reservation of a runner. */
typedef struct
{
  KqTime since;      /* 0: the runner isn't reserved */
  KqTime again_at;   /* the runner isn't reserved again before this time */
  int32_t cpu_milli; /* for tasks that need this much, or more */
  int32_t mem_mb;    /* memory that filling tasks leave free there */
} KqReservation;

/* Waiting tasks of one size that have found no room, during a placing pass. */
typedef struct
{
  const KqOccurrence *occurrence; /* this and `step`: the step that has waited longest */
  int32_t step;
  KqTime since;     /* since when that step has found no room */
  int32_t tasks;    /* number of waiting tasks */
  int32_t reserved; /* number of runners reserved for them */
} KqLargeNeed;

/* The large tasks of one service. */
typedef struct
{
  KqLargeNeed needs[KQ_LARGE_SIZES_MAX]; /* the largest tasks first */
  int n_needs;
  int32_t sizes[KQ_LARGE_SIZES_MAX]; /* distinct sizes of the reservations */
  int n_sizes;
  int32_t n_runners;      /* its runners with an entry */
  int32_t n_reserved;     /* those of them that are reserved */
  int32_t started_milli;  /* the least cpu that a task has reserved which was started
                             lately; 0: none was */
  KqTime started_at;      /* when the last such task was started */
  int32_t smallest_milli; /* the least cpu that a waiting task reserves; 0: none waits */
  int64_t stranded_milli; /* free cpu in pieces smaller than that */
  KqTime longest_wait;    /* the longest time for which a step has found no room */
  KqTime chosen_at;       /* when runners were last chosen */
} KqLargeTasks;

/* Whether a task of the step may be placed on the runner, as far as reservations go. A
 * lost lasting task may be placed on any runner after waiting for 2 s; so may a starved
 * step's task. `lost`: as for kq_place_ask. */
bool kq_large_tasks_may_use (const KqRunnerState *r, const KqOccurrence *o, int32_t step,
                             bool lost, bool starved, KqTime now);
/* The size of the largest reservations that a task of the step may use, in thousandths of
 * a core; 0: there are none. Steps of the same service and size may use the same runners.
 */
int32_t kq_large_tasks_size_usable (const KqPool *pool, const KqStep *p);
/* To be called at the begin of each placing pass. */
void kq_large_tasks_begin_pass (KqSched *s);
/* Notes that a run is being started in a placing pass: a reservation that it uses ends.
 */
void kq_large_tasks_note_start (KqSched *s, const KqRun *run, KqTime now);
/* Notes at the end of a placing pass that tasks of the step still wait. Sets
 * KqStepState.no_room_since, the time since which none of them has found room. tried: the
 * step's tasks have not waited only because too many starts were under way. */
void kq_large_tasks_add_waiting (KqOccurrence *o, int32_t step, bool tried, KqTime now);
/* Ends reservations and reserves runners. To be called once at the end of each placing
 * pass, after kq_large_tasks_add_waiting for each step with waiting tasks. */
void kq_large_tasks_update (KqSched *s, KqTime now);
/* Appends what a step that waits for room must know of reservations, if anything. */
void kq_large_tasks_explain (const KqSched *s, const KqOccurrence *o, int32_t step,
                             KqTime now, KqBuf *out);
/* Sets the gauges. */
void kq_large_tasks_gauges (KqSched *s);

#endif
