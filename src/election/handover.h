#ifndef KQ_ELECTION_HANDOVER_H
#define KQ_ELECTION_HANDOVER_H

/* handover: decides when a leader hands leadership over to a stronger node.
 *
 * When all nodes restart during an outage of the store, the first one to reach the store
 * afterwards becomes leader. That may be a node with a small share of a cpu and a slow
 * link. With 1,700 jobs to read, such a leader made no decisions for 5 s, and the leases
 * of 2,800 running tasks expired meanwhile. No I/O. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  int own_milli;                 /* share of a cpu that this node has, in thousandths */
  int other_milli;               /* the other node's share of a cpu, in thousandths */
  KqTime other_reached_store_at; /* when the store last answered the other node; 0: not
                                    known */
  KqTime handed_over_at; /* when this node last handed leadership over; 0: never */
} KqHandover;

/* Whether this node should hand leadership over to the other node now. */
bool kq_handover_due (const KqHandover *h, KqTime now);

#endif
