#ifndef KQ_FLEET_FRONT_COUNTS_H
#define KQ_FLEET_FRONT_COUNTS_H

/* front_counts: metrics of the handler of client accounts' requests. */

#include "base/histogram.h"
#include "port/front.h"

#define KQ_REPLY_KINDS 9

typedef struct
{
  uint64_t *replies[KQ_REPLY_KINDS]; /* by KqReplyKind */
  KqHistogram took;
  uint64_t *refused_store;
  uint64_t *refused_start;
  uint64_t *refused_leader;
  uint64_t *retried;
  uint64_t *from_store;
  uint64_t *via_leader;
} KqFrontCounts;

void kq_front_counts_init (KqFrontCounts *f, KqCounters *c);
/* Static; used in logs and metric labels. */
const char *kq_reply_kind_name (KqReplyKind k);

#endif
