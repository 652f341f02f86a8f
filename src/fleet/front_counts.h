#ifndef KQ_FLEET_FRONT_COUNTS_H
#define KQ_FLEET_FRONT_COUNTS_H

/* front_counts: metrics of the handler of client accounts' requests. */

#include "base/histogram.h"
#include "port/front.h"

#define KQ_REPLY_KINDS 9

typedef struct
{
  uint64_t *replies[KQ_REPLY_KINDS]; /* by KqReplyKind */
  KqHistogram took;                  /* time to answer a request */
  uint64_t *refused_store;           /* refusals because of the store */
  uint64_t *refused_start;           /* refusals before the first configuration */
  uint64_t *refused_leader;          /* refusals because there was no leader */
  uint64_t *refused_room;            /* refusals for the leader's memory */
  uint64_t *refused_overload;        /* refusals for load */
  uint64_t *retried;                 /* calls to the store that were repeated */
  uint64_t *from_store;              /* reads of the store */
  uint64_t *via_leader;              /* jobs that the leader was asked to write */
} KqFrontCounts;

void kq_front_counts_init (KqFrontCounts *f, KqCounters *c);
/* Static; used in logs and metric labels. */
const char *kq_reply_kind_name (KqReplyKind k);

#endif
