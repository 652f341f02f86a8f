#ifndef KQ_BENCH_WHOLE_STATE_H
#define KQ_BENCH_WHOLE_STATE_H

/* whole_state: internal types and functions of the simulation of whole.h: whole.c
 * (events, nodes, workers, store), whole_load.c (clients and their checks),
 * whole_faults.c (fault injection) and whole_setup.c. Also used by matrix_whole.c. */

#include "whole.h"

#include "base/rand.h"
#include "job_fake.h"
#include "matrix.h"
#include "node/core.h"
#include "port/store_fake.h"

#define FIRST_REGION_NODES 3 /* nodes in the first region, where the store is */
#define NODES 5              /* the other two are in the second region */
#define WORKERS 6
#define SHARDS 4
#define N_KEYS 400 /* idempotency keys in use */
/* Fewer than the ended jobs that a shard keeps: every job must be known at the end, and
 * each move of a job leaves another entry at the shard that it left. */
#define JOBS_MAX 900
#define TICK (20 * KQ_MS)
#define CLIENT_INTERVAL_MEAN (40 * KQ_MS)
#define REPLY_LIMIT (5 * KQ_SEC)
#define FAULT_INTERVAL_MEAN (6 * KQ_SEC)
#define FAULT_MAX (15 * KQ_SEC)
#define TIME_WITHOUT_FAULTS (150 * KQ_SEC)

typedef enum
{
  EVENT_TICK,  /* of a node */
  EVENT_MSG,   /* between nodes */
  EVENT_CALL,  /* to a worker */
  EVENT_REPLY, /* of a worker */
  EVENT_TASK_END,
  EVENT_CLIENT,
  EVENT_CLAIM_END,
  EVENT_RESTART,
  EVENT_FAULT,
  EVENT_HEAL
} KqWholeEventKind;

typedef struct
{
  KqTime at;
  uint64_t order;
  KqWholeEventKind kind;
  int node;          /* the receiver, or the node of the event */
  int from;          /* the sending node */
  uint64_t n_starts; /* n_starts of the node, or n_restarts of the worker, when sent */
  KqMsg *msg;
  KqWorkerCall call;
  KqWorkerReply reply;
  int worker;
  KqTaskKey task;
  int key;
  KqRan ran;
} KqWholeEvent;

typedef struct
{
  KqCore *core; /* NULL: down */
  KqOutbox out;
  KqSettings settings;
  KqNodeId id;
  uint64_t n_starts;
  KqTime paused_until;
  uint64_t revision;
  bool draining;
} KqWholeNode;

/* A job as seen by its client. */
typedef struct
{
  KqJobId id;
  bool acked;
  bool ended;
  char last[100]; /* summary of the last answer, for violations */
} KqWholeJob;

/* An idempotency key as seen by its callers. */
typedef struct
{
  int runs;  /* except those reported as not run */
  bool open; /* a granted request is running */
  KqTime ended_at;
  KqFlightId flight;
  int entry;
  uint64_t entry_starts;
} KqWholeKey;

/* The step of a node at which a fault of the matrix starts; see matrix_whole.c. */
typedef enum
{
  KQ_STEP_NONE,
  KQ_STEP_ACCEPT,    /* an owner has received a submission */
  KQ_STEP_START,     /* a START has reached its worker */
  KQ_STEP_RENEW,     /* a renewal has reached its worker */
  KQ_STEP_FINISH,    /* an owner has learned that a task finished */
  KQ_STEP_CANCEL,    /* an owner has received a cancellation */
  KQ_STEP_CLAIM,     /* an owner has received a claim */
  KQ_STEP_CLAIM_END, /* an owner has learned how a claim's request ended */
  KQ_STEP_MOVE,      /* a job has arrived at another shard's owner */
  KQ_STEP_TABLE      /* a node has sent its change to the store */
} KqWholeStep;

struct KqWhole
{
  KqRand rand;
  KqTime now;
  KqStoreFake *store;
  KqWholeNode nodes[NODES];
  KqFakeWorker workers[WORKERS];
  bool worker_cut[WORKERS];
  bool cut[NODES][NODES];       /* from, to */
  KqTime last_at[NODES][NODES]; /* from, to: arrival of the last message */
  KqWholeEvent *events;         /* a heap by time and order */
  size_t n_events;
  size_t capacity;
  uint64_t order;
  KqWholeJob *jobs;
  size_t n_jobs;
  KqWholeKey keys[N_KEYS];
  uint64_t flights;
  bool faults_on;
  KqWholeStep trigger_step;
  KqMatrixFault trigger_fault;
  bool triggered;
  int fault_node; /* gets the fault when the present event is over; -1: none */
  KqWholeResult result;
};

void kq_whole_add_violation (KqWhole *w, const char *fmt, ...);
KqWholeEvent *kq_whole_add_event (KqWhole *w, KqWholeEventKind kind, KqTime at);
KqWholeEvent kq_whole_take_event (KqWhole *w);
void kq_whole_send (KqWhole *w, int from, KqNodeId to, const KqMsg *msg);
void kq_whole_run_outbox (KqWhole *w, int i);
void kq_whole_start (KqWhole *w, int i);
void kq_whole_kill (KqWhole *w, int i, KqTime down);
int kq_whole_any_node (KqWhole *w);
void kq_whole_call_job (KqWhole *w, int entry, KqJobCallKind kind, size_t number);
void kq_whole_claim_granted (KqWhole *w, int entry, const KqMsgClaimReply *c);
void kq_whole_end_claim (KqWhole *w, const KqWholeEvent *e);
void kq_whole_handle_answer (KqWhole *w, const KqMsgAnswer *a);
void kq_whole_run_client (KqWhole *w);
void kq_whole_inject_random_fault (KqWhole *w);
/* Injects one of the matrix's faults; `node` matters for faults of one node. */
void kq_whole_inject_fault (KqWhole *w, KqMatrixFault fault, int node);
void kq_whole_stop_clients (KqWhole *w);
void kq_whole_final_checks (KqWhole *w);
void kq_whole_heal (KqWhole *w);
void kq_whole_advance (KqWhole *w, KqTime span);
KqWhole *kq_whole_new (uint64_t seed);
void kq_whole_free (KqWhole *w);
void kq_whole_set_table (KqWhole *w);
void kq_whole_query_jobs (KqWhole *w);

#endif
