#ifndef KQ_FLEET_REACH_H
#define KQ_FLEET_REACH_H

/* reach: whether this node reaches the store, by the signs of life that come from it and
 * by the calls that fail. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  KqTime alive_at; /* the last sign of life; 0: none yet */
  int failures;    /* of calls that began after it */
} KqReach;

/* An answer has come, or part of one. */
void kq_reach_alive (KqReach *r, KqTime now);
/* A call of that time had no answer or was turned away. */
void kq_reach_failed (KqReach *r, KqTime sent_at);
bool kq_reach_up (const KqReach *r, KqTime now);

#endif
