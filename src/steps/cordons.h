#ifndef KQ_STEPS_CORDONS_H
#define KQ_STEPS_CORDONS_H

/* cordons: the failure domains in which operators want no task to start.
 *
 * Each node keeps such a set from the operators' keys in the store. What runs in a
 * cordoned domain goes on; nothing is started there until the cordon is lifted. */

#include "base/str.h"
#include "base/time.h"

typedef struct
{
  KqName domain;
  uint64_t revision; /* of its key in the store */
  KqTime since;      /* when this node learned of it */
} KqCordon;

typedef struct
{
  KqCordon *list;
  size_t n;
  bool complete; /* the operators' keys have been read once: none is missing */
} KqCordons;

KqCordons *kq_cordons_new (void);
void kq_cordons_free (KqCordons *c);
/* Adds a domain; one that is in the set keeps its time. Returns whether it is new. */
bool kq_cordons_add (KqCordons *c, KqStr domain, uint64_t revision, KqTime now);
/* Returns whether the domain was in the set. */
bool kq_cordons_lift (KqCordons *c, KqStr domain);
/* NULL: the domain isn't cordoned. Valid until the set changes. */
const KqCordon *kq_cordons_find (const KqCordons *c, KqStr domain);

#endif
