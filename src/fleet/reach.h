#ifndef KQ_FLEET_REACH_H
#define KQ_FLEET_REACH_H

/* reach: whether this node reaches the store, by the signs of life that come from it, by
 * the calls that fail and by what the leader says of its own calls.
 *
 * Load pattern: of a hundred nodes each has a call to the store every few seconds. By its
 * own calls alone each would find out that the store is away at the price of a client's
 * request, whose write may or may not have been carried out. The leader calls many times
 * a second. */

#include "base/time.h"

#include <stdbool.h>

typedef enum
{
  KQ_REACH_AWAY,
  KQ_REACH_IN_DOUBT, /* no sign of life of late: a write may stay without an answer */
  KQ_REACH_UP
} KqReachState;

typedef struct
{
  KqTime alive_at;        /* the last sign of life; 0: none yet */
  KqTime leader_alive_at; /* the last one that the leader has told of; 0: none */
  int failures;           /* of calls that began after alive_at */
} KqReach;

/* An answer has come, or part of one. */
void kq_reach_alive (KqReach *r, KqTime now);
/* A call of that time had no answer or was turned away. */
void kq_reach_failed (KqReach *r, KqTime sent_at);
/* The leader had an answer at that time, by this node's clock. */
void kq_reach_leader_alive (KqReach *r, KqTime at);
KqReachState kq_reach_state (const KqReach *r, KqTime now);
/* Whether the leader reaches it. */
bool kq_reach_by_leader (const KqReach *r, KqTime now);
/* Whether it isn't known to be away. */
bool kq_reach_up (const KqReach *r, KqTime now);

#endif
