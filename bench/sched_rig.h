#ifndef KQ_BENCH_SCHED_RIG_H
#define KQ_BENCH_SCHED_RIG_H

/* sched_rig: runners, agents and the store in memory, around a real scheduler.
 *
 * Runners keep to port/runner.h: fencing, run numbers, leases by their own clocks, ends
 * until acknowledged. Agents do what agent/agent.c does, and talk to the leader over a
 * connection as fleet/link.c keeps it: in order, with beats, closed by either side after
 * a silence. The rig loses and delays calls, slows and cuts connections, freezes and
 * stops agents, cuts and restarts runners, and replaces the leader; after each event it
 * checks what must always hold, and counts each breach in `broken` with the first one in
 * `why`.
 */

#include "agent/lease.h"
#include "base/rand.h"
#include "sched/sched.h"

#include <glib.h>

#define KQ_SCHED_RIG_RUNNERS_MAX 32
#define KQ_SCHED_RIG_AGENTS_MAX 8

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
  KqEndReason how;
  KqTime at;
  bool lapsed; /* its runner's lease has ended since */
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
  int64_t started_ms;
  int64_t lease_end_ms;
  uint64_t fence;
  uint64_t next_end;
  bool fails_all;
  GPtrArray *runs;     /* KqSchedRigRun */
  GPtrArray *ends;     /* KqSchedRigEnd, not yet acknowledged */
  GHashTable *highest; /* task -> highest run stopped or ended */
} KqSchedRigRunner;

/* What an agent knows of a runner given to it. */
typedef struct
{
  bool held;
  uint64_t epoch;
  uint64_t serial;     /* of this taking */
  uint64_t assignment; /* the leader's number of it */
  uint64_t halt;       /* nothing is granted before the leader names this; 0: no halt */
  bool asking;
  bool watched;
  KqTime ask_at; /* unless asking */
  uint64_t ends_seen;
  uint64_t ends_told;
  KqTime listed_at;
  uint64_t results;
  KqLease lease;
  int failures;
  KqTime told_at;
} KqSchedRigHeld;

typedef struct
{
  KqAgentInfo info;
  KqSchedRigHeld held[KQ_SCHED_RIG_RUNNERS_MAX];
  uint64_t serial;
  uint64_t epoch;    /* the highest heard */
  KqTime heard_at;   /* a word of the leader */
  KqTime counted_at; /* the leader counts on it then, or later */
  KqTime frozen_until;
  KqTime cut_until[KQ_SCHED_RIG_RUNNERS_MAX]; /* from this runner */
  KqTime call_slow; /* each way of its calls to runners, beyond the usual way */
  /* Its connection to the leader. */
  KqTime link_cut_until;
  KqTime up_slow; /* beyond the usual way, to the leader */
  KqTime down_slow;
  KqTime up_last; /* when what was sent last arrives */
  KqTime down_last;
  uint64_t conn;      /* number of the connection at the agent; 0: none */
  uint64_t conns;     /* opened so far */
  KqTime open_at;     /* it is being opened, and will be then; 0: it isn't */
  KqTime tried_at;    /* last opened */
  KqTime learns_at;   /* it knows no leader before that */
  KqTime heard_up_at; /* any message */
  KqTime beat_at;
  /* At the leader. */
  uint64_t peer; /* number of the connection that has joined; 0: none */
  int number;    /* at the scheduler; -1: none */
  KqTime peer_heard_at;
  KqTime peer_beat_sent_at; /* of its last beat */
  KqTime peer_beat_at;
} KqSchedRigAgent;

/* A call of an agent to a runner. */
typedef struct
{
  int agent;
  int runner;
  uint64_t serial; /* of the taking it belongs to */
  uint64_t epoch;
  KqOrderKind kind; /* TAKE: a question for the list */
  char *task;
  uint32_t run;
  int64_t lease_end_ms; /* -1: none */
  uint64_t seen;
  int64_t started_ms; /* not 0: only on a connection of that life */
  KqTime wait;
  uint64_t order; /* results told when the question left */
  KqTime way;
  KqTime sent_at;
  KqTime ends_at; /* no answer after that */
  bool late;      /* held up for seconds */
  bool answered;  /* its answer travels back */
} KqSchedRigCall;

typedef struct
{
  KqTime due;
  int kind; /* KQ_SCHED_RIG_CALL and following */
  KqSchedRigCall call;
  /* Of an answer to the call. */
  KqOrderResult result;
  int64_t clock_ms;
  /* Of a message between an agent and the leader. */
  int agent;
  uint64_t conn;
  uint64_t epoch;
  uint64_t life;     /* of the leader */
  GByteArray *bytes; /* packed KqAgentItem; NULL: the connection's end. Of an answer: the
                        runner's list */
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
  KqSchedRigAgent agents[KQ_SCHED_RIG_AGENTS_MAX];
  int n_agents;
  KqSchedRigRunner runners[KQ_SCHED_RIG_RUNNERS_MAX];
  int n_runners;
  GPtrArray *events;
  /* The store. */
  GHashTable *jobs;     /* id -> KqSchedRigJob */
  GHashTable *progress; /* id -> GByteArray */
  GByteArray *known;
  uint64_t revision;
  KqTime store_down_until;
  /* How calls go wrong, in percent. */
  int lost;
  int late;
  int unsent; /* orders that don't leave their agent, and are told as refused */
  /* What must hold. */
  int broken;
  char why[200];
  GHashTable *done;      /* tasks of which an end as done counts for good */
  GHashTable *begun;     /* task -> GINT: when its last run began, in ms */
  GHashTable *failed;    /* task -> number of failures that count for good */
  GHashTable *failed_at; /* task -> GINT: the latest of their times, in ms */
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

/* With one agent. */
void kq_sched_rig_init (KqSchedRig *r, int runners, KqRoom room, uint64_t seed);
/* One agent more; its number in `agents`. */
int kq_sched_rig_add_agent (KqSchedRig *r);
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
/* The agent's end of its connection closes; the leader hears of it by that, or by silence
 * only. */
void kq_sched_rig_break_link (KqSchedRig *r, int agent, bool heard);
/* Its process ends, and is back after the span. */
void kq_sched_rig_stop_agent (KqSchedRig *r, int agent, KqTime span, bool heard);
KqJobState kq_sched_rig_state (KqSchedRig *r, const char *id);
int kq_sched_rig_running (const KqSchedRig *r,
                          const char *id); /* runs alive at runners */
KqStep kq_sched_rig_step (int32_t width, int32_t cpu_milli, int32_t estimate_ms);

#endif
