#include "fleet/leader_lease.h"

#include "base/log.h"

#define PART "fleet"

void
kq_leader_lease_init (KqLeaderLease *l, int own_milli)
{
  *l = (KqLeaderLease){ .handover.own_milli = own_milli };
}

void
kq_leader_lease_elected (KqLeaderLease *l, KqTime length)
{
  l->expiry = (KqLeaseExpiry){ .length = length };
  l->handover.other_milli = 0;
}

void
kq_leader_lease_heartbeat (KqLeaderLease *l, int share_milli, int64_t store_age_ms,
                           KqTime now)
{
  KqTime answered_at = now - store_age_ms * KQ_MS;
  if (store_age_ms < 0)
    return;
  if (answered_at > l->expiry.peer_reached_store_at)
    l->expiry.peer_reached_store_at = answered_at;
  if (share_milli >= l->handover.other_milli)
    {
      l->handover.other_milli = share_milli;
      l->handover.other_reached_store_at = answered_at;
    }
}

static KqLeaseExpiryAction
check_stronger_node (KqLeaderLease *l, KqTime now, const char **why)
{
  if (!kq_handover_due (&l->handover, now))
    return KQ_LEASE_EXPIRY_NONE;
  kq_log (KQ_LOG_INFO, PART,
          "Handing leadership over to a stronger node. own_milli=%d its_milli=%d",
          l->handover.own_milli, l->handover.other_milli);
  l->handover.handed_over_at = now;
  *why = "a stronger node can lead";
  return KQ_LEASE_EXPIRY_RESIGN;
}

KqLeaseExpiryAction
kq_leader_lease_check (KqLeaderLease *l, KqTime valid_until, KqTime refused_since,
                       int peers, KqTime now, const char **why)
{
  KqLeaseExpiryAction action;
  l->expiry.valid_until = valid_until;
  l->expiry.refused_since = refused_since;
  l->expiry.peers = peers;
  action = kq_lease_expiry_action (&l->expiry, now, why);
  if (action == KQ_LEASE_EXPIRY_NONE)
    return check_stronger_node (l, now, why);
  if (action == KQ_LEASE_EXPIRY_RENEW)
    kq_log (KQ_LOG_INFO, PART,
            "Another node reaches the store; renewing the leader lease. late_ms=%lld",
            (long long)((now - valid_until) / KQ_MS));
  return action;
}
