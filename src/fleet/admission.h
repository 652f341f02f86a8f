#ifndef KQ_FLEET_ADMISSION_H
#define KQ_FLEET_ADMISSION_H

/* admission: decides whether a job is accepted or refused for load, and when the client
 * may come back.
 *
 * In a burst more work arrives than the runners can do. If all of it is accepted, jobs
 * that are of no use by the time they end take room from jobs that could still be in
 * time, and their clients learn it only when their deadline has passed. A node therefore
 * looks at the leader's last digest when a job comes. A job that seems to be of no use is
 * put to the leader, which alone refuses, by its own account of the present load. The
 * node can't refuse by itself: forty nodes read the same digest, and only the leader
 * knows which ids it has and which have been refused before.
 *
 * A job is refused only if all of these hold: jobs of its service and kind are placed
 * behind others already; no room is free for its largest task that smaller ones don't
 * wait for; it has at least as much
 * work as the least job that is placed behind; its forecast end is later than
 * KQ_ADMIT_USE_RATIO times its objective. Whatever isn't known or is out of reach leads
 * to acceptance. */

#include "sched/job_load.h"
#include "sched/refusals.h"

#include <stdbool.h>

/* A job that ends later than this many times its objective is of no use to its client. */
#define KQ_ADMIT_USE_RATIO 3

typedef enum
{
  KQ_ADMIT_NO_OVERLOAD, /* no job of its kind is placed behind others */
  KQ_ADMIT_UNKNOWN,     /* the rate isn't known */
  KQ_ADMIT_ROOM,        /* room is free for its largest task */
  KQ_ADMIT_SMALL,       /* jobs of its size are not placed behind others */
  KQ_ADMIT_OF_USE,      /* it would end early enough */
  KQ_ADMIT_TOO_LATE     /* it can't be of use */
} KqAdmitOutlook;

/* What is to be expected of a job that comes now; times in ms from now. */
typedef struct
{
  KqAdmitOutlook outlook;
  int64_t wait_ms; /* until it would begin */
  int64_t end_ms;
  int64_t limit_ms;    /* the end of its use */
  int64_t in_time_ms;  /* a job of this shape that comes then would be in time */
  int64_t interval_us; /* time in which the running tasks do as much work as it has */
} KqAdmitForecast;

/* Work that has been accepted since the row was made. */
typedef struct
{
  int64_t work;
  int64_t milli; /* cpu that it may take at once */
} KqAdmitAhead;

/* returned: the job has come back after a refusal, so it isn't placed behind the work
 * that is late. row NULL: there is none. */
KqAdmitForecast kq_admit_forecast (const KqLoadRow *row, const KqJobLoad *job,
                                   KqAdmitAhead ahead, bool returned);

/* The leader's decision. */

typedef enum
{
  KQ_ADMIT_ACCEPT_KNOWN,     /* the leader knows the job: it has been accepted */
  KQ_ADMIT_ACCEPT_WRITTEN,   /* a write of it may still be carried out */
  KQ_ADMIT_ACCEPT_UNSETTLED, /* the leader doesn't know the load yet */
  KQ_ADMIT_ACCEPT_OF_USE,
  KQ_ADMIT_ACCEPT_RETURNED, /* it has come back at its time */
  KQ_ADMIT_REFUSE,
  KQ_ADMIT_REFUSE_EARLY, /* it has come back before its time */
  KQ_ADMIT_ANSWERS
} KqAdmitAnswer;

/* For logs and metric labels. */
const char *kq_admit_answer_name (KqAdmitAnswer a);

/* What the leader knows of the job and of the load. */
typedef struct
{
  bool known;
  bool has_open_write;
  bool settled;
  const KqLoadDigest *load;
  const KqRefusal *refusal; /* its earlier one; NULL: none */
  KqTime newcomer_at;       /* when a job of its kind was last accepted that had not been
                               refused before; 0: never */
} KqAdmitCase;

KqAdmitAnswer kq_admit_decide (const KqAdmitCase *c, const KqJobLoad *job, KqTime now,
                               KqAdmitForecast *forecast);

/* A copy of a digest that holds its own strings. */
typedef struct
{
  KqLoadDigest digest;
  KqName services[KQ_LOAD_ROWS_MAX];
} KqAdmitDigest;

/* Rows with a longer service than a KqName holds are left out. The copy can't be moved.
 */
void kq_admit_digest_copy (KqAdmitDigest *to, const KqLoadDigest *from);

/* Whether enough time has passed since a digest was sent for another one; sent_at 0: none
 * was sent. */
bool kq_admit_digest_may_be_sent (KqTime sent_at, KqTime now);
/* Whether the leader is due to send the digest `next`. sent: the last one that it sent at
 * sent_at; 0: never. */
bool kq_admit_digest_is_due (const KqLoadDigest *sent, KqTime sent_at,
                             const KqLoadDigest *next, KqTime now);

/* A node's view of the load: the last digest, and what the node has accepted since.
 *
 * The other nodes have the same digest and accept jobs as well. What this node has
 * accepted counts as often as there are nodes, in proportion to the arrivals: the digest
 * says how many jobs the leader has learned of, the node knows how many of them it has
 * accepted. */
typedef struct
{
  KqAdmitDigest last;
  uint64_t epoch; /* of the leader that sent it; 0: none */
  KqTime at;      /* when it arrived */
  uint32_t nodes;
  KqAdmitAhead accepted[KQ_LOAD_ROWS_MAX]; /* by this node since, for each row */
  uint64_t jobs_added;                     /* as in the last digest */
  double own_since; /* number of jobs that this node has accepted since */
  double own_mean;  /* decaying number of jobs that it had accepted by then */
  double all_mean;  /* decaying number of jobs that the leader had learned of */
} KqAdmitView;

/* A digest of that age isn't used any more. */
#define KQ_ADMIT_DIGEST_AGE_MAX KQ_SEC

/* Takes a digest that has arrived. False: a later one, or one of a later leader, has
 * arrived before. */
bool kq_admit_view_take (KqAdmitView *v, uint64_t epoch, const KqLoadDigest *d,
                         uint32_t nodes, uint64_t jobs_added, KqTime now);
/* Whether the last digest may be used. epoch: of the present leader; 0: there is none. */
bool kq_admit_view_is_usable (const KqAdmitView *v, uint64_t epoch, KqTime now);
/* Whether the job seems to be of no use, so that the leader has to be asked. */
bool kq_admit_view_doubts (const KqAdmitView *v, const KqJobLoad *job, uint64_t epoch,
                           KqTime now, KqAdmitForecast *forecast);
/* Counts a job that this node has accepted. load NULL: of a kind that is never refused.
 */
void kq_admit_view_count (KqAdmitView *v, const KqJobLoad *load);

#endif
