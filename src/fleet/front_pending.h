#ifndef KQ_FLEET_FRONT_PENDING_H
#define KQ_FLEET_FRONT_PENDING_H

/* front_pending: a request of a client account without a reply, and what the files of the
 * front share: front.c (queries and cancellations), front_submit.c (submissions). Only
 * they include it. */

#include "fleet/front.h"
#include "fleet/front_admit.h"
#include "fleet/front_counts.h"

#include <ev.h>
#include <glib.h>

/* Part of the client's deadline that is reserved for sending the reply. */
#define KQ_FRONT_DEADLINE_SLACK_MS 250
/* Retry-After of refusals, by their reason. Earlier retries of many clients would only
 * add load. */
#define KQ_FRONT_RETRY_STORE_MS                                                          \
  1000 /* store unreachable or refused; outages last seconds */
#define KQ_FRONT_RETRY_LEADER_MS                                                         \
  1000 /* there is no leader, or it didn't answer the query */
#define KQ_FRONT_RETRY_ROOM_MS 5000  /* the leader's memory is taken until jobs end */
#define KQ_FRONT_RETRY_START_MS 1000 /* this node has no configuration yet */

typedef enum
{
  KQ_FRONT_SUBMIT_WRITE,
  KQ_FRONT_SUBMIT_CHECK,  /* reads the job's key after a write without an answer */
  KQ_FRONT_ROOM_READ,     /* reads the job's key: one that is there isn't refused for the
                             leader's memory */
  KQ_FRONT_SUBMIT_PROBE,  /* reads the job's key to see whether the store answers */
  KQ_FRONT_ADMIT_ASK,     /* waits for the leader's answer whether to refuse the job */
  KQ_FRONT_ADMIT_READ,    /* reads the job's key: one that is there isn't refused */
  KQ_FRONT_SUBMIT_LEADER, /* the leader writes the job */
  KQ_FRONT_STATE_LEADER,  /* waits for the state from the leader */
  KQ_FRONT_READ_PROGRESS, /* the READ_ steps find a job's state in the store */
  KQ_FRONT_READ_JOB,
  KQ_FRONT_READ_CANCEL, /* of a stored job */
  KQ_FRONT_CANCEL_READ,
  KQ_FRONT_CANCEL_WRITE,
  KQ_FRONT_COUNT_LEADER /* waits for the number of waiting jobs from the leader */
} KqFrontStep;

typedef struct
{
  KqFrontHandler *handler;
  KqFrontExchange *exchange;
  KqFrontStep step;
  uint64_t call; /* of the outstanding query to the leader; 0: none */
  KqStr id;      /* owned */
  KqBuf stored;  /* of a submission: the job as it is stored */
  KqTime received_at;
  KqTime deadline;
  KqTime leader_deadline;
  KqTime retry_at; /* set while in `retries` */
  KqTime retry_delay;
  uint64_t revision;        /* of the job's key; 0: the job isn't stored */
  uint64_t cancel_revision; /* of a submission: of the cancellation stored before it; 0:
                               none is known */
  size_t room;              /* of a submission: what the job will take at the leader */
  bool write_unknown;       /* a write of this request got no answer */
  KqFrontDoubt doubt;       /* in the ADMIT_ steps: why the leader is asked */
  int64_t refused_ms;       /* in ADMIT_READ: the Retry-After by the leader's answer */
} KqFrontPending;

struct KqFrontHandler
{
  KqFrontHandlerConfig config;
  GHashTable *queries; /* call -> KqFrontPending, for outstanding queries to the leader */
  GPtrArray *retries;  /* KqFrontPending, to be retried at its retry_at */
  /* What submissions will take that are under way here, and what those have taken that
   * were accepted here since the leader's word on its memory. */
  size_t room_open;
  size_t room_accepted;
  KqTime room_as_of;
  uint64_t last_call; /* number of the last query */
  ev_timer sweep;
  KqFrontCounts counts;
  KqFrontAdmit *admit;
};

/* front.c; replies free the request. */
void kq_front_pending_reply (KqFrontPending *q, const KqFrontReply *r, KqTime now);
void kq_front_pending_reply_kind (KqFrontPending *q, KqReplyKind kind, KqTime now);
void kq_front_pending_refuse (KqFrontPending *q, const char *why, int64_t retry_ms,
                              uint64_t *counter, KqTime now);
/* Timeout of a store call that is sent now. */
int kq_front_pending_timeout_ms (const KqFrontPending *q, KqTime now);
/* Reports the call's result to the owner, which judges the store by it. */
void kq_front_pending_report_call (KqFrontPending *q, const KqKvReply *r, KqTime now);
void kq_front_pending_schedule_retry (KqFrontPending *q, KqFrontStep step, KqTime now);
/* Whether there is time for another call to the store. */
bool kq_front_pending_may_retry (const KqFrontPending *q, KqTime now);
/* Reads the key that the step is about. */
void kq_front_pending_read (KqFrontPending *q, KqFrontStep step);
/* Sends a query to the leader; the step gets its answer, or -1 after `wait`. */
void kq_front_pending_query (KqFrontPending *q, KqAskKind what, KqStr about, KqTime wait,
                             KqTime now);

/* front_submit.c */
void kq_front_submit_begin (KqFrontPending *q, const KqFrontRequest *r,
                            const KqQueue *queue, KqTime now);
/* Writes the job, or repeats the write. */
void kq_front_submit_write (KqFrontPending *q);
/* Repeats a write without an answer: through the leader if the store answers it. The key
 * must not exist, so the job is written once, whichever write is carried out. */
void kq_front_submit_again (KqFrontPending *q, KqTime now);
/* The leader's answer in step SUBMIT_LEADER: a KqAcceptResult; any other value: the
 * leader hasn't tried to write the job. The job isn't refused if a write of this node may
 * still be carried out. */
void kq_front_submit_written_by_leader (KqFrontPending *q, int64_t result, KqTime now);
/* The leader's answer in step ADMIT_ASK; below 1: the job is accepted. */
void kq_front_submit_judged (KqFrontPending *q, int64_t retry_ms, KqTime now);
/* The result of the read in step ROOM_READ. */
void kq_front_submit_room_read (KqFrontPending *q, KqKvResult result, KqTime now);
/* The result of the read in step ADMIT_READ. */
void kq_front_submit_read (KqFrontPending *q, KqKvResult result, KqTime now);

#endif
