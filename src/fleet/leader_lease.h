#ifndef KQ_FLEET_LEADER_LEASE_H
#define KQ_FLEET_LEADER_LEASE_H

/* leader_lease: what a leading node does about its lease in the store, and about a node
 * that is stronger. It collects what the other nodes' heartbeats tell, asks
 * election/lease_expiry.h and election/handover.h what follows, and logs it. The caller
 * renews the lease or resigns. */

#include "election/handover.h"
#include "election/lease_expiry.h"

#include <stdint.h>

typedef struct
{
  KqLeaseExpiry expiry;
  KqHandover handover; /* other_ fields: the strongest node since this one was elected */
} KqLeaderLease;

/* own_milli: this node's share of a cpu, in thousandths. */
void kq_leader_lease_init (KqLeaderLease *l, int own_milli);
/* This node has been elected: forgets what was collected before. length: of a whole
 * lease. */
void kq_leader_lease_elected (KqLeaderLease *l, KqTime length);
/* Takes a heartbeat of another node. share_milli: that node's share of a cpu.
 * store_age_ms: time since the store last answered it; below 0: it never has. */
void kq_leader_lease_heartbeat (KqLeaderLease *l, int share_milli, int64_t store_age_ms,
                                KqTime now);
/* Returns what to do now; to be called a few times a second while this node leads.
 * valid_until: the lease is certainly good until then. refused_since: since when the
 * store has refused all renewals, 0: it hasn't. peers: number of connected nodes.
 * With KQ_LEASE_EXPIRY_RESIGN, *why is set to the reason, a constant string: the lease
 * may have expired, or a stronger node can lead. */
KqLeaseExpiryAction kq_leader_lease_check (KqLeaderLease *l, KqTime valid_until,
                                           KqTime refused_since, int peers, KqTime now,
                                           const char **why);

#endif
