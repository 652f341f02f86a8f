#ifndef KQ_JOB_REMEDY_H
#define KQ_JOB_REMEDY_H

/* remedy: chooses what to do when neighbours slow down a service on a worker.
 *
 * Disturbing tasks arrive in waves, and reports of their effect come 5 to 30 s late.
 * Acting on each report moves tasks back and forth; not acting leaves the service slow
 * for the whole wave.
 *
 * Placement prevents most disturbance (place.c). Of the remedies for the rest, the
 * cheaper one comes first: the batch task that does the most harm is throttled in steps.
 * Only when no task is left to throttle and the service is still slow, the most harmful
 * task is checkpointed and moved. After each remedy the worker is left alone until
 * reports are about the time after it. Once all services there have been below
 * SLOWDOWN_LOW for CALM_TIME, throttles are lifted step by step; between SLOWDOWN_LOW and
 * SLOWDOWN_HIGH nothing is done. */

#include "job/workers.h"

typedef enum
{
  KQ_REMEDY_NONE,
  KQ_REMEDY_THROTTLE, /* set the job's throttle to `percent`, to tighten or lift it */
  KQ_REMEDY_MOVE      /* evict the job, so that it restarts on another worker */
} KqRemedyKind;

typedef struct
{
  KqRemedyKind kind;
  KqJob *job;
  int percent;
} KqRemedy;

/* Records a service's reported slowdown (1.0: undisturbed) at the time `at`. A report
 * about the time before the worker's last remedy is ignored. */
void kq_remedy_record_slowdown (KqWorker *w, KqJob *service, double slowdown, KqTime at);
/* The next remedy on the worker, or KQ_REMEDY_NONE; the caller carries it out. */
KqRemedy kq_remedy_choose (KqWorker *w, const KqInterference *f,
                           const KqPolicyRow *policy, KqTime now);
/* To be called when the chosen remedy is being carried out. */
void kq_remedy_applied (KqWorker *w, KqTime now);

#endif
