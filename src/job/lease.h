#ifndef KQ_JOB_LEASE_H
#define KQ_JOB_LEASE_H

/* lease: the lease of one worker, as seen by the owner of its shard, which renews it.
 *
 * Each answer of the worker carries a stamp, its own time; the next renewal echoes it.
 * The worker extends its lease to the echoed stamp plus the lease time, by its own
 * clock. By the owner's clock this bounds the end of the lease, however long renewals
 * are delayed on the way: the lease lives at least until the lease time after the owner
 * sent the call whose answer brought the stamp (live_until), and it has ended once the
 * lease time and a margin have passed since that answer arrived (expired_by). Nobody
 * else renews, so after expired_by the worker's tasks have certainly stopped.
 *
 * After a takeover the previous owner's renewals count too; if it can't reach the store,
 * it goes on for renew_without_store. Until the lease, renew_without_store and the margin
 * have passed, a worker that doesn't answer may still run tasks. */

#include "port/worker.h"

/* Clock rates that differ by 1 in 1,000 make 9 ms over a lease; the rest is for a worker
 * that is slow to stop its tasks. */
#define KQ_LEASE_MARGIN KQ_SEC

typedef struct
{
  KqTime lease;               /* how long a renewal lasts */
  KqTime renew;               /* period of renewals */
  KqTime renew_without_store; /* how long renewals go on while the store is unreachable */
} KqLeaseTimes;

typedef enum
{
  KQ_LEASE_UNKNOWN, /* the worker hasn't answered under our epoch */
  KQ_LEASE_ASKED,   /* it has; the second call of the handshake is due */
  KQ_LEASE_LIVE,
  KQ_LEASE_LAPSED,  /* it has certainly ended */
  KQ_LEASE_SHUT_OUT /* it has seen a higher epoch: we aren't the owner any more */
} KqLeaseState;

typedef struct
{
  KqLeaseState state;
  uint64_t stamp;            /* of the worker's last answer; 0: none to echo */
  KqTime stamp_call_sent_at; /* when the call that brought it was sent */
  KqTime stamp_received_at;
  KqTime echoed_call_sent_at; /* stamp_call_sent_at of the stamp being echoed */
  KqTime live_until;          /* it certainly lives until then */
  KqTime expired_by;          /* it has certainly ended by then */
  bool in_flight;
  uint64_t token;      /* of the call in flight */
  KqTime next_call_at; /* when the next call is due */
} KqLease;

/* A lease of unknown state, whose first call is due at once. */
void kq_lease_init (KqLease *l, const KqLeaseTimes *t, KqTime now);
/* Fills the LEASE call's kind, echo_stamp, lease_ms and token, which isn't 0. */
void kq_lease_prepare_call (KqLease *l, const KqLeaseTimes *t, uint64_t token, KqTime now,
                            KqWorkerCall *call);
/* Handles the answer to a LEASE call. False when it is late, a duplicate or an error: its
 * lists must not be used. */
bool kq_lease_handle_reply (KqLease *l, const KqLeaseTimes *t, const KqWorkerReply *r,
                            KqTime now);
/* True once, when the lease has certainly ended; the state is LAPSED from then on. */
bool kq_lease_check_expired (KqLease *l, KqTime now);
/* Whether a START sent now is certain to find the lease alive: it lives for at least a
 * third of the renewal period more. */
bool kq_lease_usable (const KqLease *l, const KqLeaseTimes *t, KqTime now);

#endif
