#ifndef KQ_FLEET_FRONT_ADMIT_H
#define KQ_FLEET_FRONT_ADMIT_H

/* front_admit: a node's part in the admission of jobs (admission.h): the leader's last
 * digest of the load, what the node has accepted since, and their metrics and logs. */

#include "agent/load_item.h"
#include "base/counter.h"
#include "fleet/admission.h"

typedef struct KqFrontAdmit KqFrontAdmit;

/* Why a job seems to be of no use. */
typedef struct
{
  KqAdmitForecast forecast;
  int64_t rate; /* this and cut_work: as in the digest's row */
  int64_t cut_work;
  int64_t digest_age_ms;
} KqFrontDoubt;

typedef enum
{
  KQ_FRONT_ADMIT_ACCEPTED, /* by the leader, or without its answer */
  KQ_FRONT_ADMIT_REFUSED,
  KQ_FRONT_ADMIT_STORED, /* the id had been accepted before */
  KQ_FRONT_ADMIT_UNREAD, /* the store didn't answer the read; the job is submitted */
  KQ_FRONT_ADMIT_RESULTS
} KqFrontAdmitResult;

KqFrontAdmit *kq_front_admit_new (KqCounters *counters);
void kq_front_admit_free (KqFrontAdmit *a);
/* Takes an item LOAD from the leader of that epoch. */
void kq_front_admit_load (KqFrontAdmit *a, uint64_t epoch, const KqAgentItem *i,
                          KqTime now);
/* Whether the leader has to be asked about the job; epoch: of the present leader, 0:
 * there is none. If so, sets *doubt and appends the query to `query`. */
bool kq_front_admit_doubts (KqFrontAdmit *a, const KqSpec *spec, uint64_t epoch,
                            KqTime now, KqFrontDoubt *doubt, KqBuf *query);
/* Counts a job, in its stored form, that the node accepts. */
void kq_front_admit_count (KqFrontAdmit *a, KqStr stored);
/* Counts and logs how a job ended about which the leader was asked. */
void kq_front_admit_ended (KqFrontAdmit *a, KqStr id, const KqFrontDoubt *doubt,
                           KqFrontAdmitResult result, int64_t retry_ms);

#endif
