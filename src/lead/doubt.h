#ifndef KQ_LEAD_DOUBT_H
#define KQ_LEAD_DOUBT_H

/* doubt: what a leader does whose lease isn't known to be good any more.
 *
 * While no node reaches the store nobody else can be elected, and work in hand goes on.
 * Once another node reaches it, the lease may have lapsed there.
 *
 * Load pattern: the store is away for seconds and comes back for all. Of a hundred nodes
 * some have an answer before the leader's next renewal; a leader that gave up then would
 * change with each outage that its lease has lived through. So it asks by itself first.
 * Pure. */

#include "base/time.h"

typedef struct
{
  KqTime valid_until;     /* the lease is known to be good until then */
  KqTime length;          /* of the whole lease */
  KqTime peer_reached_at; /* when the store last answered another node; 0: not known */
  int peers;              /* other nodes that are heard */
  KqTime asked_at; /* of the question that is out since a peer has reached the store;
                      0: none */
} KqLeadDoubt;

typedef enum
{
  KQ_DOUBT_NONE,    /* the lease is good */
  KQ_DOUBT_GO_ON,   /* with the work in hand */
  KQ_DOUBT_ASK,     /* and renew the lease now */
  KQ_DOUBT_GIVE_UP, /* the lead */
} KqDoubtNext;

/* why: set with KQ_DOUBT_GIVE_UP. */
KqDoubtNext kq_lead_doubt (KqLeadDoubt *d, KqTime now, const char **why);

#endif
