#ifndef KQ_BENCH_SCHED_RIG_H
#define KQ_BENCH_SCHED_RIG_H

/* sched_rig: runners, their agent and the store in memory, around a real scheduler.
 *
 * Runners keep to port/runner.h: fencing, run numbers, leases by their own clocks, ends
 * until acknowledged. The rig loses and delays calls, cuts and restarts runners, and
 * replaces the leader; after each event it checks what must always hold, and counts each
 * breach in `broken` with the first one in `why`. */

#include "base/rand.h"
#include "sched/sched.h"

#include <glib.h>

#define KQ_SCHED_RIG_RUNNERS_MAX 32

typedef struct
{
  char *task;
  uint32_t run;
  KqTime started_at;
  KqTime length;
  bool fails;
  bool lasting;
  bool stands_still;
} KqSchedRigRun;

typedef struct
{
  uint64_t number;
  char *task;
  uint32_t run;
  KqEndHow how;
} KqSchedRigEnd;

typedef struct
{
  char id[16];
  KqRoom room;
  bool alive;
  KqTime cut_until;  /* no call passes either way */
  KqTime deaf_until; /* calls pass, answers don't */
  double rate;       /* of its clock, by true time */
  KqTime born_at;
  int64_t born_ms;
  int64_t lease_end_ms;
  uint64_t fence;
  uint64_t next_end;
  bool fails_all;
  GPtrArray *runs;     /* KqSchedRigRun */
  GPtrArray *ends;     /* KqSchedRigEnd, not yet acknowledged */
  GHashTable *highest; /* task -> highest run stopped or ended */
  /* The agent's side. */
  bool held;
  KqTime ask_at;
  uint64_t seen;
  uint64_t results;
  int64_t heard_born_ms; /* of the life that answered last */
  int64_t clock_ms;
  KqTime clock_at;
  int64_t granted_ms;
  int failures;
} KqSchedRigRunner;

typedef struct
{
  KqTime due;
  int kind; /* KQ_SCHED_RIG_ORDER and following */
  int runner;
  uint64_t epoch;
  uint64_t life; /* of the leader that hears it */
  KqOrder order;
  KqOrderOutcome outcome;
  GByteArray *list; /* packed KqCrewItem of what the agent tells the leader */
  bool late;        /* held up for seconds */
  bool answered;    /* the outcome of this order travels back */
  int64_t lease_end_ms;
} KqSchedRigEvent;

typedef struct
{
  KqTime now;
  KqRand rand;
  KqSched *sched;
  KqCounters *counters;
  uint64_t epoch;
  uint64_t life;
  uint32_t term;
  int agent;
  KqSchedRigRunner runners[KQ_SCHED_RIG_RUNNERS_MAX];
  int n_runners;
  GPtrArray *events;
  /* The store. */
  GHashTable *jobs;     /* id -> KqSchedRigJob */
  GHashTable *progress; /* id -> GByteArray */
  GByteArray *known;
  uint64_t revision;
  KqTime store_down_until;
  /* The agent's connection to the leader: what it tells arrives in order. */
  KqTime up_slow; /* beyond the usual way */
  KqTime up_last; /* when the last of it arrives */
  /* How calls go wrong, in percent. */
  int lost;
  int late;
  /* What must hold. */
  int broken;
  char why[200];
  GHashTable *done;   /* task -> GINT: an end as done has been acknowledged */
  GHashTable *failed; /* task -> number of failures acknowledged or told */
  uint64_t starts;
} KqSchedRig;

typedef struct
{
  GByteArray *stored;
  uint64_t revision;
  bool cancelled;
  KqTime cancelled_at;
  int attempts;
  KqSpec spec;         /* strings point into stored */
  int32_t fails_index; /* this task index always fails; -1: none */
  KqTime length;
} KqSchedRigJob;

void kq_sched_rig_init (KqSchedRig *r, int runners, KqRoom room, uint64_t seed);
void kq_sched_rig_clear (KqSchedRig *r);
/* A rig of its own, a second old: all runners have been heard. */
KqSchedRig *kq_sched_rig_new (int runners, KqRoom room, uint64_t seed);
/* Ends it; the number of breaches, the first of which is printed. */
int kq_sched_rig_free (KqSchedRig *r);
/* Stores a job as accepted and tells the leader. steps' `after` chains them. */
void kq_sched_rig_submit (KqSchedRig *r, const char *id, const KqStep *steps, int n,
                          int attempts, KqTime length, int32_t fails_index);
void kq_sched_rig_cancel (KqSchedRig *r, const char *id);
void kq_sched_rig_run (KqSchedRig *r, KqTime span);
/* The leader dies; a new one starts from the store. */
void kq_sched_rig_new_leader (KqSchedRig *r);
void kq_sched_rig_restart_runner (KqSchedRig *r, int n); /* same id, a new life */
KqJobState kq_sched_rig_state (KqSchedRig *r, const char *id);
int kq_sched_rig_running (const KqSchedRig *r,
                          const char *id); /* runs alive at runners */
KqStep kq_sched_rig_step (int32_t width, int32_t cpu_milli, int32_t estimate_ms);

#endif
