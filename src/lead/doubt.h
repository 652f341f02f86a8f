#ifndef KQ_LEAD_DOUBT_H
#define KQ_LEAD_DOUBT_H

/* doubt: decides what a leader does once its lease in the store may have expired.
 *
 * While no node reaches the store nobody else can be elected, so the leader keeps
 * working. Once another node reaches the store, the lease may have expired there.
 *
 * After an outage of the store of a few seconds, some of a hundred nodes get an answer
 * before the leader's next renewal. If the leader resigned at once, each outage would
 * change the leader, even where the lease is still good. So it first tries to renew. No
 * I/O. */

#include "base/time.h"

typedef struct
{
  KqTime valid_until;     /* the lease is certainly good until then */
  KqTime length;          /* of a whole lease */
  KqTime peer_reached_at; /* when the store last answered another node; 0: not known */
  int peers;              /* other nodes that are connected */
  KqTime renewal_sent_at; /* when a renewal was requested as a peer has reached the store;
                      0: none since the lease was good */
} KqLeadDoubt;

typedef enum
{
  KQ_DOUBT_NONE,    /* the lease is good */
  KQ_DOUBT_GO_ON,   /* keep working */
  KQ_DOUBT_ASK,     /* keep working, and renew the lease now */
  KQ_DOUBT_GIVE_UP, /* resign */
} KqDoubtNext;

/* To be called often; changes renewal_sent_at. *why: set to the reason with
 * KQ_DOUBT_GIVE_UP, a constant string. */
KqDoubtNext kq_lead_doubt (KqLeadDoubt *d, KqTime now, const char **why);

#endif
