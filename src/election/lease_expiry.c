#include "election/lease_expiry.h"

#include <stdbool.h>

/* Longest time that a leader continues after its lease may have expired: about as long as
 * a new leader waits for runners that don't answer. */
#define MAX_UNRENEWED (9 * KQ_SEC)
/* For how long a peer's report that it reaches the store counts: a few heartbeats. */
#define PEER_REPORT_VALID (2700 * KQ_MS)
/* A renewal takes a handshake and a call, of 100 ms each between regions. */
#define RENEWAL_TIMEOUT (300 * KQ_MS)

/* Time of refused renewals after which the leader resigns; one is sent every 120 ms. */
#define REFUSED_MIN (300 * KQ_MS)
/* For how long a peer's report counts as current: a heartbeat interval and its delivery.
 */
#define PEER_REPORT_CURRENT (400 * KQ_MS)

/* Whether the store refuses this leader, and has answered a peer meanwhile. */
static bool
refused_alone (const KqLeaseExpiry *e, KqTime now)
{
  return e->refused_since != 0 && now - e->refused_since >= REFUSED_MIN
         && e->peer_reached_store_at > e->refused_since
         && now - e->peer_reached_store_at < PEER_REPORT_CURRENT;
}

static bool
peer_reaches_store (const KqLeaseExpiry *e, KqTime now)
{
  return e->peer_reached_store_at > e->valid_until - e->length / 2
         && now - e->peer_reached_store_at < PEER_REPORT_VALID;
}

KqLeaseExpiryAction
kq_lease_expiry_action (KqLeaseExpiry *e, KqTime now, const char **why)
{
  if (now < e->valid_until)
    {
      e->renewal_sent_at = 0;
      *why = "the store refuses this node and answers others";
      return refused_alone (e, now) ? KQ_LEASE_EXPIRY_RESIGN : KQ_LEASE_EXPIRY_NONE;
    }
  if (now - e->valid_until > MAX_UNRENEWED)
    *why = "not renewed for too long";
  else if (e->peers == 0)
    *why = "not renewed and no other node heard";
  else if (!peer_reaches_store (e, now))
    return KQ_LEASE_EXPIRY_CONTINUE;
  else if (e->renewal_sent_at == 0)
    {
      e->renewal_sent_at = now;
      return KQ_LEASE_EXPIRY_RENEW;
    }
  else if (now - e->renewal_sent_at < RENEWAL_TIMEOUT)
    return KQ_LEASE_EXPIRY_CONTINUE;
  else
    *why = "not renewed while other nodes reach the store";
  return KQ_LEASE_EXPIRY_RESIGN;
}
