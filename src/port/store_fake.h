#ifndef KQ_PORT_STORE_FAKE_H
#define KQ_PORT_STORE_FAKE_H

/* store_fake: an in-memory store for tests and benches, in simulated time, with seeded
 * faults; it uses no sockets and no clock.
 *
 * Several clients share one store. A call takes effect half a latency after it was sent
 * and is answered another half later:
 *
 *   kq_store_fake_call (s, client, &op, now);
 *   while (kq_store_fake_next (s, now, &client, &reply)) ...
 *
 * The same seed and the same calls give the same run. Calls with equal times are
 * carried out in the order of sending. Leases expire during an outage too, which is the
 * worst case for their holders that a real store allows. */

#include "port/store.h"

#include <stdbool.h>

#define KQ_STORE_FAKE_CLIENTS 16

/* What happens to a call. */
typedef enum
{
  KQ_STORE_FAULT_NONE,        /* carried out and answered */
  KQ_STORE_FAULT_LOST_BEFORE, /* never reaches the store; UNREACHABLE after the timeout */
  KQ_STORE_FAULT_LOST_AFTER,  /* takes effect; UNREACHABLE after the timeout */
  KQ_STORE_FAULT_LATE_EFFECT, /* UNREACHABLE after the timeout; takes effect after that */
  KQ_STORE_FAULT_LATE_ANSWER, /* UNREACHABLE after the timeout, then the real answer */
  KQ_STORE_FAULT_DUPLICATE,   /* answered twice */
  KQ_STORE_FAULT_COUNT
} KqStoreCallFault;

typedef struct
{
  KqTime latency;                       /* round trip; 2 ms by default */
  KqTime jitter;                        /* largest random addition to the latency */
  KqTime timeout;                       /* of the client; 1 s by default */
  double p[KQ_STORE_FAULT_COUNT];       /* probability of each fault except NONE */
  bool down;                            /* outage: calls that arrive are lost */
  bool watches_silent;                  /* watches never answer before their timeout */
  bool cut_to[KQ_STORE_FAKE_CLIENTS];   /* the client's calls don't arrive */
  bool cut_from[KQ_STORE_FAKE_CLIENTS]; /* answers don't reach the client */
  KqTime paused_until[KQ_STORE_FAKE_CLIENTS]; /* no answer reaches the client before */
} KqStoreFaults;

typedef struct
{
  uint64_t calls;  /* of any kind; a watch counts once */
  uint64_t writes; /* PUT, DELETE and lease calls */
  uint64_t puts;
  uint64_t put_bytes;
  uint64_t get_bytes; /* of values in answers */
} KqStoreFakeCount;

typedef struct KqStoreFake KqStoreFake;

KqStoreFake *kq_store_fake_new (uint64_t seed);
void kq_store_fake_free (KqStoreFake *s);
/* The faults to inject. The caller may change them at any time. */
KqStoreFaults *kq_store_fake_faults (KqStoreFake *s);
/* Injects `fault` into one call: of the calls of this kind whose key starts with
 * `prefix`, the first `skip` are left alone and the next one gets the fault. Replaces an
 * earlier script; copies `prefix`. */
void kq_store_fake_script (KqStoreFake *s, KqStoreOpKind kind, const char *prefix,
                           int skip, KqStoreCallFault fault);
/* True after the script's call has been made. */
bool kq_store_fake_script_done (const KqStoreFake *s);

/* Sends a call of the client `client`. */
void kq_store_fake_call (KqStoreFake *s, int client, const KqStoreOp *op, KqTime now);
/* The next answer due by `now`; valid until the next call of any function here. */
bool kq_store_fake_next (KqStoreFake *s, KqTime now, int *client, KqStoreReply *out);
/* Time of the store's next event; KQ_TIME_NEVER: there is none. */
KqTime kq_store_fake_next_time (const KqStoreFake *s);
/* Drops the answers that have not reached the client yet, as if its process had died. The
 * calls still take effect. */
void kq_store_fake_drop_answers (KqStoreFake *s, int client);

/* Ends a lease before its time. */
void kq_store_fake_expire_lease (KqStoreFake *s, uint64_t lease, KqTime now);

/* Reads and writes without a call, latency or faults. */
bool kq_store_fake_get (const KqStoreFake *s, KqStr key, KqStr *value,
                        uint64_t *revision);
void kq_store_fake_set (KqStoreFake *s, KqStr key, KqStr value, KqTime now);
const KqStoreFakeCount *kq_store_fake_count (const KqStoreFake *s);

#endif
