#ifndef KQ_REQUEST_CLAIMS_H
#define KQ_REQUEST_CLAIMS_H

/* claims: the idempotency keys of one shard. A request with a key runs at most once.
 *
 * A claim records that a request with a key was granted to run. It is committed to the
 * journal before the request is sent to an owner of runners. A repeat with the same key
 * waits for the answer of the first request, gets the stored answer, or is told that the
 * outcome is unknown; it never causes a second run. Another request with the same key is
 * refused.
 *
 * The full key is (service, caller, Idempotency-Key). Another request is detected by a
 * hash of its method, path and body.
 *
 * An open claim ends in one of three ways: answered, unknown, or provably not run. "Not
 * run" releases the key and grants it to a waiting repeat, if any. An unknown claim is
 * corrected if its entry node reports the end later.
 *
 * Answers up to 64 KB each and 4 MB per shard are stored. Without a stored answer a
 * repeat is told UNKNOWN with KQ_ERR_CLAIM_NOT_KEPT (it ran, the answer is not available)
 * and the number of the claim. With 20,000 claims or 8 MB in a shard, new keys are
 * refused as not run: dropping an old claim could let its request run twice.
 *
 * A claim is kept for `ttl` after its end. An open claim whose entry node doesn't report
 * the end becomes unknown after `ttl`. A new owner of the shard starts
 * these times again.
 *
 * Records are never withdrawn from the journal: a grant is sent after its commit or not
 * at all. An entry node that stops waiting for the grant (deadline passed, store
 * unreachable) has not sent the request. It tells its caller "not run" and reports
 * KQ_RAN_NO with kq_claims_done, also if the grant arrives later. While commits lag more
 * than two seconds behind, new keys are refused with KQ_ERR_CLAIM_UNAVAILABLE, not run.
 *
 * Functions with an outbox append messages to `out` and return the number of the journal
 * record that must be committed before these messages may be sent (0: they may be sent at
 * once). */

#include "shard/log_port.h"
#include "wire/msg.h"

typedef struct KqClaims KqClaims;

KqClaims *kq_claims_new (uint32_t shard, KqLogPort log);
void kq_claims_free (KqClaims *c);
/* Applies a record of types 100-199 during recovery, in journal order. On an error (the
 * record can't be read) the shard must not be opened: a request could run twice. */
KqResult kq_claims_apply (KqClaims *c, const KqRecord *r, KqTime now);
/* Ends recovery: new keys are accepted from now on. Open claims become unknown unless the
 * process of the entry node that opened them reports their end within a grace time. */
void kq_claims_recovered (KqClaims *c, KqTime now);
/* Calls `add` for each record of a snapshot, from which kq_claims_apply can rebuild the
 * state. */
void kq_claims_snapshot (const KqClaims *c, KqTime now,
                         void (*add) (void *arg, const KqRecord *r), void *arg);
/* Handles an entry node's request for a claim: grants it, refuses it, replies with the
 * end of an earlier request, or lets it wait for that end. ttl: of a new claim. */
KqSeq kq_claims_begin (KqClaims *c, const KqMsgClaimBegin *m, KqTime ttl, KqTime now,
                       KqOutbox *out);
/* Handles an entry node's report on the end of its claimed request: records the end and
 * replies to the waiting repeats. Duplicates have no effect. */
KqSeq kq_claims_done (KqClaims *c, const KqMsgClaimDone *m, KqTime now, KqOutbox *out);
/* Marks the open claims of an entry node's process, which has ended, as unknown. */
KqSeq kq_claims_node_gone (KqClaims *c, KqNodeId node, uint64_t incarnation, KqTime now,
                           KqOutbox *out);
/* Expires claims and refuses repeats that have waited too long. */
KqSeq kq_claims_tick (KqClaims *c, KqTime now, KqOutbox *out);
/* The number of claims, and the bytes that they use. */
size_t kq_claims_count (const KqClaims *c);
size_t kq_claims_bytes (const KqClaims *c);

#endif
