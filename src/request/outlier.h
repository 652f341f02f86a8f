#ifndef KQ_REQUEST_OUTLIER_H
#define KQ_REQUEST_OUTLIER_H

/* outlier: a runner that is much slower or fails more often than the others gets fewer
 * slots. A still worse one is ejected: it gets only probes, and returns in steps.
 *
 * If one target in fifty takes ten times as long, or has gone silent, the service's p99
 * is that target's latency. If one fails every request immediately, it looks idle,
 * attracts more requests, and fails a large part of all.
 *
 * A runner is compared with the mean of the other runners of its group. Each of them
 * counts once, however many requests it got, so that no runner is ejected if every answer
 * of the service is an error. At most a tenth of the runners, and at least one, may be
 * ejected at a time; beyond that a bad runner still gets one request at a time. The only
 * runner of a group isn't ejected.
 *
 * The share of failures is a moving average with weight 1/8 for an error answer, and 1/4
 * for requests that were not sent, broken or silent, which cost the caller more; three to
 * six in a row eject a runner. A runner that is 1.5 to 4 times as slow as others gets
 * slots in proportion; above 4 it is ejected. A probe is one idempotent request: the
 * first after a second, the next ones after twice the time each, up to 30 s. After three
 * good probes the runner gets 1, 2, 4... slots, a step for every eight good answers.
 *
 * A refused connection is treated differently, because no process listens there and load
 * isn't the cause. Such a runner is unreachable: it is ejected at once, beyond the bound,
 * and also if it is the only one. Any request may probe it, since a refused one provably
 * did not run, and it is tried again when its worker reports it. A service with no
 * reachable runner refuses at once, so that entry nodes turn to other owners. Without
 * this rule a third of the runners, killed together, kept getting requests until the host
 * list showed them as gone (faults_live, worker-killed: 146 of 585 refused with
 * TARGET_FAILED). */

#include "base/time.h"

#include <stdbool.h>

typedef enum
{
  KQ_OUTLIER_NORMAL,
  KQ_OUTLIER_EJECTED,
  KQ_OUTLIER_RETURNING
} KqOutlierState;

/* A group of runners that are compared with each other. */
typedef struct
{
  int n_peers;
  int ejected;        /* without the unreachable ones */
  int unreachable;    /* ejected because a connection was refused */
  double failure_sum; /* sum of the runners' failure_share */
} KqOutlierPeers;

typedef struct
{
  KqOutlierState state;
  double failure_share; /* of its requests, moving average */
  double latency_ratio; /* run time / mean of its class, moving average */
  int samples;          /* good answers that latency_ratio has averaged */
  int good_in_row;      /* good samples, while EJECTED or RETURNING */
  int slots_allowed;    /* while RETURNING */
  bool probing;         /* while EJECTED: the one flight under way is a probe */
  bool unreachable;     /* while EJECTED: its last connection was refused */
  KqTime probe_at;      /* time of the next probe, while EJECTED */
  KqTime probe_wait;    /* until the first probe; doubles with each failed one */
} KqOutlier;

typedef enum
{
  KQ_SAMPLE_GOOD,
  KQ_SAMPLE_ERROR,  /* a complete answer that says that the runner failed */
  KQ_SAMPLE_LOST,   /* broken or silent */
  KQ_SAMPLE_REFUSED /* not sent: no connection */
} KqOutlierSample;

void kq_outlier_init (KqOutlier *o);
/* kq_outlier_join adds the runner to the group's sums, kq_outlier_leave removes it. */
void kq_outlier_join (KqOutlierPeers *p, const KqOutlier *o);
void kq_outlier_leave (KqOutlierPeers *p, const KqOutlier *o);
/* Adds the outcome of a request, or of a probe if one is under way. ratio: the
 * request's run time over the mean of its class; used if the sample is good. slots: of
 * the runner. */
void kq_outlier_add_sample (KqOutlier *o, KqOutlierPeers *p, KqOutlierSample s,
                            double ratio, int slots, KqTime now);
/* Lets an unreachable runner start to return, because its worker has just reported it. */
void kq_outlier_reported (KqOutlier *o, KqOutlierPeers *p);
/* How many of its `slots` the runner may use. */
int kq_outlier_allowed (const KqOutlier *o, const KqOutlierPeers *p, int slots);

#endif
