#ifndef KQ_BENCH_WHOLE_STATE_H
#define KQ_BENCH_WHOLE_STATE_H

/* whole_state: what the files of the whole-node soak share: whole.c (events, nodes,
 * workers, store), whole_load.c (clients and what they must find), whole_faults.c,
 * whole_setup.c. */

#include "whole.h"

#include "base/rand.h"
#include "job_fake.h"
#include "matrix.h"
#include "node/core.h"
#include "port/store_fake.h"

#define FIRST_REGION 3 /* nodes of it; the store stands there */
#define NODES 5        /* three in the first region, two in the second */
#define WORKERS 6
#define SHARDS 4
#define KEYS 400 /* idempotency keys in use */
/* Fewer than the ended jobs that one shard remembers: any job must be known at the end,
 * though every move leaves one more entry behind. */
#define JOBS 900
#define TICK (20 * KQ_MS)
#define CLIENT_GAP (40 * KQ_MS)
#define REPLY_LIMIT (5 * KQ_SEC)
#define FAULT_GAP (6 * KQ_SEC)
#define FAULT_MAX (15 * KQ_SEC)
#define CALM (150 * KQ_SEC)

typedef enum
{
  EVENT_TICK, /* of a node */
  EVENT_MSG,
  EVENT_CALL, /* of a worker */
  EVENT_REPLY,
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
  int node;      /* receiver, or whose event it is */
  int from;      /* sender */
  uint64_t life; /* of the receiver or owner at sending */
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
  uint64_t life;
  KqTime paused_until;
  uint64_t revision;
  bool draining;
} KqWholeNode;

/* A job as its client sees it. */
typedef struct
{
  KqJobId id;
  bool acked;
  bool ended;
  char last[100]; /* what the last answer said, for the report of a violation */
} KqWholeJob;

/* An idempotency key as its callers see it. */
typedef struct
{
  int runs;  /* that weren't reported as not run */
  bool open; /* a granted request is under way */
  KqTime ended_at;
  KqFlightId flight;
  int entry;
  uint64_t entry_life;
} KqWholeKey;

/* At which event a fault of the matrix starts; see matrix_whole.c. */
typedef enum
{
  KQ_TRAP_NONE,
  KQ_TRAP_ACCEPT,    /* an owner has taken a submission in */
  KQ_TRAP_START,     /* a START has reached its worker */
  KQ_TRAP_RENEW,     /* a renewal has reached its worker */
  KQ_TRAP_FINISH,    /* an owner has heard of an end */
  KQ_TRAP_CANCEL,    /* an owner has taken a cancellation in */
  KQ_TRAP_CLAIM,     /* an owner has taken a claim in */
  KQ_TRAP_CLAIM_END, /* an owner has heard how it ended */
  KQ_TRAP_MOVE,      /* a job has arrived at another shard's owner */
  KQ_TRAP_TABLE      /* a node has sent its change to the store */
} KqWholeTrap;

struct KqWhole
{
  KqRand rand;
  KqTime now;
  KqStoreFake *store;
  KqWholeNode nodes[NODES];
  KqFakeWorker workers[WORKERS];
  bool worker_cut[WORKERS];
  bool cut[NODES][NODES]; /* from, to */
  KqTime last_at[NODES][NODES];
  KqWholeEvent *events; /* a heap by time and order */
  size_t n_events;
  size_t capacity;
  uint64_t order;
  KqWholeJob *jobs;
  size_t n_jobs;
  KqWholeKey keys[KEYS];
  uint64_t flights;
  bool faulty;
  KqWholeTrap trap;
  KqMatrixFault trap_fault;
  bool trap_hit;
  int trap_node; /* whom the fault meets once the event is over; -1: nobody */
  KqWholeResult result;
};

void kq_whole_violate (KqWhole *w, const char *fmt, ...);
KqWholeEvent *kq_whole_add (KqWhole *w, KqWholeEventKind kind, KqTime at);
KqWholeEvent kq_whole_take (KqWhole *w);
void kq_whole_send (KqWhole *w, int from, KqNodeId to, const KqMsg *msg);
void kq_whole_drain (KqWhole *w, int i);
void kq_whole_start (KqWhole *w, int i);
void kq_whole_kill (KqWhole *w, int i, KqTime down);
int kq_whole_any_node (KqWhole *w);
void kq_whole_call_job (KqWhole *w, int entry, KqJobCallKind kind, size_t number);
void kq_whole_claim_granted (KqWhole *w, int entry, const KqMsgClaimReply *c);
void kq_whole_end_claim (KqWhole *w, const KqWholeEvent *e);
void kq_whole_take_reply (KqWhole *w, const KqMsgAnswer *a);
void kq_whole_client (KqWhole *w);
void kq_whole_start_fault (KqWhole *w);
/* One of the matrix's faults, at this node where it is a node's. */
void kq_whole_fault (KqWhole *w, KqMatrixFault fault, int node);
void kq_whole_stop_clients (KqWhole *w);
void kq_whole_final_checks (KqWhole *w);
void kq_whole_heal (KqWhole *w);
void kq_whole_advance (KqWhole *w, KqTime span);
KqWhole *kq_whole_new (uint64_t seed);
void kq_whole_free (KqWhole *w);
void kq_whole_set_table (KqWhole *w);
void kq_whole_ask_after_jobs (KqWhole *w);

#endif
