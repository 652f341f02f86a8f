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
  KQ_LEASE_ASKED,   /* the worker has answered and sent a stamp, but has no lease yet; the
                       call that echoes the stamp is due */
  KQ_LEASE_LIVE,
  KQ_LEASE_LAPSED,  /* the lease has certainly ended */
  KQ_LEASE_SHUT_OUT /* the worker has seen a higher epoch: this node isn't the shard's
                       owner any more */
} KqLeaseState;

typedef struct
{
  KqLeaseState state;
  uint64_t stamp;             /* from the worker's last answer; 0: none to echo */
  KqTime stamp_call_sent_at;  /* when the call was sent whose answer brought `stamp` */
  KqTime stamp_received_at;   /* when that answer arrived */
  KqTime echoed_call_sent_at; /* stamp_call_sent_at of the stamp that the call in flight
                                 echoes */
  KqTime live_until;          /* the lease certainly lives until this time */
  KqTime expired_by;          /* the lease has certainly ended by this time */
  bool in_flight;             /* a LEASE call hasn't been answered yet */
  uint64_t token;             /* token of the call in flight */
  KqTime next_call_at;        /* when the next call is due */
} KqLease;

/* Sets the lease to state UNKNOWN; its first call is due at once. */
void kq_lease_set_unknown (KqLease *l, const KqLeaseTimes *t, KqTime now);
/* Fills the kind, token (not 0), echo_stamp and lease_ms of the next LEASE call, and
 * records the call as in flight. The caller sends it. */
void kq_lease_prepare_call (KqLease *l, const KqLeaseTimes *t, uint64_t token, KqTime now,
                            KqWorkerCall *call);
/* Handles the answer to a LEASE call. False if the answer is late, a duplicate or an
 * error: its lists of tasks and usage must not be used. */
bool kq_lease_handle_reply (KqLease *l, const KqLeaseTimes *t, const KqWorkerReply *r,
                            KqTime now);
/* If the lease has certainly ended, sets its state to LAPSED and returns true; later
 * calls return false. */
bool kq_lease_check_expired (KqLease *l, KqTime now);
/* Whether the lease is certain to live for at least a third of the renewal period more,
 * so that a START sent now finds it alive. */
bool kq_lease_usable (const KqLease *l, const KqLeaseTimes *t, KqTime now);

#endif
