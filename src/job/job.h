#ifndef KQ_JOB_JOB_H
#define KQ_JOB_JOB_H

/* job: the states of a job, and the journal records that change them.
 *
 * Every change of a job's recorded state is an event. The event is appended to the
 * journal as a record and applied to memory by kq_job_set_apply, the same function that
 * replays records after a takeover; nothing else writes the recorded fields. An event
 * that doesn't fit the current state is ignored. So replaying any prefix of the journal
 * twice gives the same state, and if a completion, an eviction and a cancellation race,
 * the first record wins:
 *
 *   ACCEPTED   (unknown)  -> QUEUED
 *   ASSIGNED n QUEUED     -> ASSIGNED, when n is the attempt after the last one
 *   REQUEUED n ASSIGNED   -> QUEUED, when n is the current attempt
 *   ENDED n    ASSIGNED   -> FINISHED, FAILED or CANCELLED, when n is the current attempt
 *              QUEUED     -> the same, when n is the last attempt (0: none)
 *   CANCEL     ASSIGNED   -> ASSIGNED, with cancel_wanted set; the job will be CANCELLED
 *   MOVING     QUEUED     -> MOVING, to another shard; the job is no longer started here
 *   MOVED      MOVING     -> MOVED: the other shard has it; calls are forwarded there
 *   ARRIVED    (unknown)  -> QUEUED, from another shard
 *              MOVED      -> QUEUED, when the job comes back
 *   FULL_STATE (unknown)  -> any; only in snapshots
 *
 * Whether an ASSIGNED job's task is running or being evicted is known for certain only
 * by its worker, so it isn't recorded; KqJobPhase holds what the owner last learned. */

#include "shard/journal.h"
#include "wire/msg.h"

#include <glib.h>

typedef enum
{
  KQ_JOB_STATE_QUEUED = 1,
  KQ_JOB_STATE_ASSIGNED,
  KQ_JOB_STATE_FINISHED,
  KQ_JOB_STATE_FAILED,
  KQ_JOB_STATE_CANCELLED,
  KQ_JOB_STATE_MOVING,
  KQ_JOB_STATE_MOVED
} KqJobState;

/* What the owner knows about an ASSIGNED job's task. */
typedef enum
{
  KQ_JOB_PHASE_NONE,
  KQ_JOB_PHASE_STARTING, /* START decided or sent, not answered yet */
  KQ_JOB_PHASE_UNKNOWN,  /* START's outcome is unknown; a STOP resolves it */
  /* Assigned under an older epoch, or START was unknown and a STOP has been answered: the
   * worker's next list shows whether the task runs. */
  KQ_JOB_PHASE_ADOPTING,
  KQ_JOB_PHASE_RUNNING,
  KQ_JOB_PHASE_EVICTING, /* CHECKPOINT sent */
  KQ_JOB_PHASE_STOPPING  /* STOP sent for a cancellation */
} KqJobPhase;

/* The values are the record types in the journal. */
typedef enum
{
  KQ_JOB_EVENT_ACCEPTED = 200,
  KQ_JOB_EVENT_ASSIGNED = 201,
  KQ_JOB_EVENT_REQUEUED = 202,
  KQ_JOB_EVENT_ENDED = 203,
  KQ_JOB_EVENT_CANCEL = 204,
  KQ_JOB_EVENT_FULL_STATE = 205,
  KQ_JOB_EVENT_MOVING = 206,
  KQ_JOB_EVENT_MOVED = 207,
  KQ_JOB_EVENT_ARRIVED = 208,
  KQ_JOB_EVENT_LAST = 208
} KqJobEventKind;

#define KQ_JOB_RECORD_VERSION 1
/* Ended jobs that a shard keeps, to answer queries and to recognise repeated idempotency
 * keys. At 21,000 jobs a day over 64 shards this covers three days. */
#define KQ_JOB_ENDED_MAX 1024

typedef struct KqJob KqJob;
struct KqWorker;

struct KqJob
{
  /* Recorded in the journal; written only by kq_job_set_apply. */
  KqJobId id;
  uint64_t number; /* order of acceptance; a smaller number is an older job */
  KqJobSpec spec;
  KqJobState state;
  uint32_t attempt; /* number of the last attempt assigned; 0: none */
  uint32_t failures;
  uint32_t evictions;
  uint32_t losses;  /* attempts ended by the loss of their worker */
  uint32_t excused; /* failures attributed to the worker, not to the job */
  bool cancel_wanted;
  KqWorkerId worker; /* worker of the current or last attempt */
  KqSize size;       /* size with which the current or last attempt was started */
  KqName checkpoint; /* name of the last checkpoint; "": none */
  KqResult why;      /* reason of the last requeue or end */
  int64_t run_us;    /* run time of the task that ended the job */
  uint32_t moves;    /* number of moves between shards so far */
  uint32_t to_shard; /* MOVING, MOVED: the destination */

  /* Not recorded. */
  KqSeq seq; /* the last record about this job */
  KqJobPhase phase;
  uint16_t team;        /* index in KqQuota */
  uint16_t class_index; /* index in KqClasses */
  bool in_queue;
  bool delayed;            /* in KqJobQueue.delayed, until not_before */
  KqResult blocked_reason; /* why the job wasn't started; KQ_OK: not tried yet */
  KqSize declared_size;    /* as declared; undeclared resources from the class's row */
  KqSize charged;    /* taken from the worker's room: `size`, with more memory if the task
                        uses more */
  KqTime queued_at;  /* time of acceptance here or of the last requeue */
  KqTime not_before; /* end of the backoff after a failure */
  KqTime assigned_at;
  KqTime command_at;        /* time of the last command or of its answer */
  int throttle_percent;     /* speed that the task is allowed; 100: not throttled */
  KqTime throttle_at;       /* time of the last change of throttle_percent */
  bool service;             /* latency-critical, as declared by the job or its class */
  bool movable;             /* may be evicted for others, from the class's row */
  int64_t checkpoint_us;    /* checkpoint period, from the class's row; 0: none */
  double smoothed_slowdown; /* smoothed slowdown since the last remedy on its worker */
  int slow_reports; /* number of slowdown reports since the last remedy on its worker */
  KqWorkerId avoid; /* the worker from which a remedy moved the job */
  KqTime avoid_until;
  struct KqWorker *reserved_worker; /* worker on which room is reserved for the job */
  uint64_t seen_in_list; /* KqWorker.list_number of the last list that had its task */
  struct KqWorker *assigned_worker; /* worker to which the job is assigned */
  KqJob *next_on_worker;            /* list of the jobs on that worker */
  KqJob *prev_on_worker;
  KqJob *next; /* list of the queue */
  KqJob *prev;
};

typedef struct
{
  KqJobEventKind kind;
  KqJobId job;
  uint32_t attempt;
  uint64_t number;   /* ACCEPTED, ARRIVED */
  uint32_t shard;    /* MOVING: the destination */
  KqJobSpec spec;    /* ACCEPTED */
  KqWorkerId worker; /* ASSIGNED */
  KqSize size;       /* ASSIGNED */
  KqJobState state;  /* ENDED */
  KqResult why;      /* REQUEUED, ENDED */
  KqName checkpoint; /* REQUEUED; "": no new one */
  bool blame;        /* REQUEUED: the attempt counts as a failure of the job */
  int64_t run_us;    /* ENDED */
  KqJob full_state;  /* FULL_STATE, ARRIVED: all recorded fields */
} KqJobEvent;

/* All jobs of a shard, by id and by idempotency key. */
typedef struct
{
  GHashTable *by_id;
  GHashTable *by_key;
  uint64_t last_number;
  KqJob *ended[KQ_JOB_ENDED_MAX]; /* ring of ended jobs, in order of their ends */
  uint64_t n_ended;               /* jobs put into `ended` so far */
  /* Numbers of jobs, since the first record of the shard's journal or its snapshot. */
  uint64_t accepted;
  uint64_t finished;
  uint64_t failed;
  uint64_t cancelled;
  uint64_t moving;
  uint64_t moved;
  uint64_t evicted; /* number of evictions */
  uint64_t resumed; /* number of starts after an eviction */
  uint64_t lost;    /* attempts ended by the loss of their worker */
} KqJobSet;

void kq_job_set_init (KqJobSet *s);
void kq_job_set_clear (KqJobSet *s);
KqJob *kq_job_find (const KqJobSet *s, KqJobId id);
KqJob *kq_job_find_key (const KqJobSet *s, const KqName *team, const KqName *key);
/* Whether the job is FINISHED, FAILED, CANCELLED or MOVED. */
bool kq_job_ended (const KqJob *job);
/* Whether a submission with `b` repeats one with `a`: all their fields are equal. */
bool kq_job_spec_eq (const KqJobSpec *a, const KqJobSpec *b);
/* Whether the event fits the job's current state. */
bool kq_job_event_fits (const KqJobSet *s, const KqJobEvent *e);
/* Applies an event, for which kq_job_event_fits must hold, and returns the changed job.
 * An ended job is freed once KQ_JOB_ENDED_MAX others have ended, so the caller must not
 * keep pointers to ended jobs. */
KqJob *kq_job_set_apply (KqJobSet *s, const KqJobEvent *e);

/* Packs the event as a record; its body points into `b`. */
KqRecord kq_job_event_pack (const KqJobEvent *e, KqBuf *b);
/* Reads a record back. Returns KQ_OK, KQ_ERR_JOURNAL_VERSION (a type or version that only
 * a newer program writes) or KQ_ERR_JOURNAL_DAMAGED. */
KqResult kq_job_event_unpack (const KqRecord *r, KqJobEvent *e);

/* Whether `need` is at most `room` in every resource. */
bool kq_size_fits (const KqSize *need, const KqSize *room);
bool kq_size_is_zero (const KqSize *s);
/* These work on each resource by itself. */
KqSize kq_size_add (KqSize a, KqSize b);
KqSize kq_size_sub (KqSize a, KqSize b);
KqSize kq_size_max (KqSize a, KqSize b);
KqSize kq_size_min (KqSize a, KqSize b);

#endif
