#ifndef KQ_JOB_LEASE_H
#define KQ_JOB_LEASE_H

/* lease: the lease of one worker, seen from the owner that renews it.
 *
 * The worker extends its lease to the stamp that a renewal echoes plus the lease time,
 * by its own clock. So two bounds hold by ours: it lives at least until the stamp was
 * asked for plus the lease (live_until), and it has ended at the latest when the stamp
 * reached us plus the lease and a margin (dead_at), however long renewals were delayed
 * on the way. Nobody else renews: that the second bound has passed is proof that the
 * worker's tasks stopped. After a takeover the predecessor's renewals count too: until
 * the lease, the blind time and the margin have passed, silence proves nothing. */

#include "port/worker.h"

/* Clocks that run apart by 1 in 1,000 differ by 9 ms over a lease; the rest is for a
 * worker that is slow to stop its tasks. */
#define KQ_LEASE_MARGIN KQ_SEC

typedef struct
{
  KqTime lease;
  KqTime renew;
  KqTime blind;
} KqLeaseTimes;

typedef enum
{
  KQ_LEASE_UNKNOWN, /* the worker hasn't answered under our epoch */
  KQ_LEASE_ASKED,   /* it has; the second step of the handshake is due */
  KQ_LEASE_LIVE,
  KQ_LEASE_LAPSED,
  KQ_LEASE_SHUT_OUT /* it obeys a higher epoch: we aren't owner any more */
} KqLeaseState;

typedef struct
{
  KqLeaseState state;
  uint64_t stamp; /* of the worker's last answer; 0: none that may be echoed */
  KqTime stamp_asked;
  KqTime stamp_got;
  KqTime echoed_asked; /* of the stamp that the call in flight echoes */
  KqTime live_until;
  KqTime dead_at;
  bool in_flight;
  uint64_t token; /* of the call in flight */
  KqTime next;    /* when the next call is due */
} KqLease;

void kq_lease_open (KqLease *l, const KqLeaseTimes *t, KqTime now);
/* Fills the LEASE call's echo_stamp, lease_ms and token. */
void kq_lease_send (KqLease *l, const KqLeaseTimes *t, uint64_t token, KqTime now,
                    KqWorkerCall *call);
/* False: the answer is late or a duplicate, or brings no word of the worker; its lists
 * must not be used. */
bool kq_lease_reply (KqLease *l, const KqLeaseTimes *t, const KqWorkerReply *r,
                     KqTime now);
/* Whether the lease has certainly ended; said once, then the state is LAPSED. */
bool kq_lease_lapse (KqLease *l, KqTime now);
/* Whether a start sent now would certainly find the lease alive for a while. */
bool kq_lease_usable (const KqLease *l, const KqLeaseTimes *t, KqTime now);

#endif
