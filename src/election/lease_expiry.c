#include "election/lease_expiry.h"

#include <stdbool.h>

/* A new leader waits about as long for runners that don't answer. */
#define MAX_UNRENEWED (9 * KQ_SEC)
/* How long a peer's report of the store counts: a few of its heartbeats. */
#define PEER_REPORT_VALID (2700 * KQ_MS)
/* A renewal takes a handshake and a call, at 100 ms between regions. */
#define RENEWAL_TIMEOUT (300 * KQ_MS)

static bool
peer_reaches_store (const KqLeaseExpiry *d, KqTime now)
{
  return d->peer_reached_store_at > d->valid_until - d->length / 2
         && now - d->peer_reached_store_at < PEER_REPORT_VALID;
}

KqLeaseExpiryAction
kq_lease_expiry_action (KqLeaseExpiry *d, KqTime now, const char **why)
{
  if (now < d->valid_until)
    {
      d->renewal_sent_at = 0;
      return KQ_LEASE_EXPIRY_NONE;
    }
  if (now - d->valid_until > MAX_UNRENEWED)
    *why = "not renewed for too long";
  else if (d->peers == 0)
    *why = "not renewed and no other node heard";
  else if (!peer_reaches_store (d, now))
    return KQ_LEASE_EXPIRY_CONTINUE;
  else if (d->renewal_sent_at == 0)
    {
      d->renewal_sent_at = now;
      return KQ_LEASE_EXPIRY_RENEW;
    }
  else if (now - d->renewal_sent_at < RENEWAL_TIMEOUT)
    return KQ_LEASE_EXPIRY_CONTINUE;
  else
    *why = "not renewed while other nodes reach the store";
  return KQ_LEASE_EXPIRY_RESIGN;
}
