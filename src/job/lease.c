#include "job/lease.h"

#include <assert.h>

void
kq_lease_set_unknown (KqLease *l, const KqLeaseTimes *t, KqTime now)
{
  *l = (KqLease){ .state = KQ_LEASE_UNKNOWN, .next_call_at = now };
  l->expired_by = now + t->lease + t->renew_without_store + KQ_LEASE_MARGIN;
}

static KqTime
later (KqTime a, KqTime b)
{
  return a > b ? a : b;
}

void
kq_lease_prepare_call (KqLease *l, const KqLeaseTimes *t, uint64_t token, KqTime now,
                       KqWorkerCall *call)
{
  assert (token != 0);
  l->in_flight = true;
  l->token = token;
  l->next_call_at = now + t->renew;
  l->echoed_call_sent_at = l->stamp_call_sent_at;
  if (l->stamp != 0)
    l->expired_by
        = later (l->expired_by, l->stamp_received_at + t->lease + KQ_LEASE_MARGIN);
  call->kind = KQ_WORKER_LEASE;
  call->token = token;
  call->echo_stamp = l->stamp;
  call->lease_ms = (int)(t->lease / KQ_MS);
}

/* Handles an answer without an error. The worker's lease may be live or not. */
static void
handle_answer (KqLease *l, const KqLeaseTimes *t, const KqWorkerReply *r, KqTime now)
{
  /* From now on the worker refuses renewals by the previous owner, which last echoed an
   * older stamp: a lease granted by it ends within the lease time. */
  if (l->state == KQ_LEASE_UNKNOWN)
    l->expired_by = now + t->lease + KQ_LEASE_MARGIN;
  if (r->lease_live && l->stamp != 0)
    {
      l->state = KQ_LEASE_LIVE;
      l->live_until = later (l->live_until, l->echoed_call_sent_at + t->lease);
    }
  else
    {
      /* The worker's jobs were given up when the lease lapsed, so that no margin for
       * stopping their tasks is needed. */
      if (l->state == KQ_LEASE_LAPSED)
        l->expired_by = now + t->lease;
      l->state = KQ_LEASE_ASKED;
      l->live_until = 0;
      l->next_call_at = now;
    }
  l->stamp = r->stamp;
  l->stamp_call_sent_at = r->sent_at;
  l->stamp_received_at = now;
}

bool
kq_lease_handle_reply (KqLease *l, const KqLeaseTimes *t, const KqWorkerReply *r,
                       KqTime now)
{
  if (!l->in_flight || r->token != l->token)
    return false;
  l->in_flight = false;
  switch (r->result)
    {
    case KQ_OK:
      handle_answer (l, t, r, now);
      return true;
    case KQ_ERR_OLD_EPOCH:
      l->state = KQ_LEASE_SHUT_OUT;
      l->next_call_at = KQ_TIME_NEVER;
      return false;
    case KQ_ERR_NO_LEASE:
      l->stamp = 0; /* the handshake begins again */
      return false;
    default:
      return false;
    }
}

bool
kq_lease_check_expired (KqLease *l, KqTime now)
{
  if (l->state == KQ_LEASE_LAPSED || l->state == KQ_LEASE_SHUT_OUT || now < l->expired_by)
    return false;
  l->state = KQ_LEASE_LAPSED;
  l->stamp = 0;
  l->live_until = 0;
  return true;
}

bool
kq_lease_usable (const KqLease *l, const KqLeaseTimes *t, KqTime now)
{
  return l->state == KQ_LEASE_LIVE && now + t->renew / 3 < l->live_until;
}
