#ifndef KQ_ELECTION_LEASE_EXPIRY_H
#define KQ_ELECTION_LEASE_EXPIRY_H

/* lease_expiry: decides what a leader does once its lease in the store may have expired,
 * or can't be renewed.
 *
 * A leader that the store refuses while it answers other nodes resigns before its lease
 * ends, and has another node end the lease: the next leader needn't wait for it.
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
  KqTime valid_until; /* the lease is certainly good until then */
  KqTime length;      /* of a whole lease */
  KqTime
      peer_reached_store_at; /* when the store last answered another node; 0: not known */
  int peers;                 /* number of other nodes that are connected */
  KqTime refused_since; /* since when the store has refused all renewals; 0: it hasn't */
  KqTime renewal_sent_at; /* when a renewal was requested because a peer had reached the
                      store; 0: none since the lease was last good */
} KqLeaseExpiry;

typedef enum
{
  KQ_LEASE_EXPIRY_NONE,     /* the lease is good */
  KQ_LEASE_EXPIRY_CONTINUE, /* keep working */
  KQ_LEASE_EXPIRY_RENEW,    /* keep working, and renew the lease now */
  KQ_LEASE_EXPIRY_RESIGN,   /* resign */
} KqLeaseExpiryAction;

/* Returns what the leader has to do now. Call it often; it changes renewal_sent_at. With
 * KQ_LEASE_EXPIRY_RESIGN, *why is set to the reason, a constant string. */
KqLeaseExpiryAction kq_lease_expiry_action (KqLeaseExpiry *e, KqTime now,
                                            const char **why);

#endif
