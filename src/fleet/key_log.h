#ifndef KQ_FLEET_KEY_LOG_H
#define KQ_FLEET_KEY_LOG_H

/* key_log: the latest changes of the operators' keys, and their form between nodes. It is
 * for configurations that change in quick succession while hundreds of nodes need each.
 *
 * Every node keeps them, as each may become leader and relay changes to the other nodes
 * (fleet/key_feed.h). A value travels as its difference from an earlier value of its key
 * that the receiver has, compressed. A configuration of hundreds of queues is tens of
 * kilobytes, and its versions differ in a few bytes. */

#include "agent/frame.h"
#include "base/result.h"
#include "port/kv.h"

typedef struct KqKeyLog KqKeyLog;

KqKeyLog *kq_key_log_new (void);
void kq_key_log_free (KqKeyLog *l);
/* Notes that all keys have been listed as of that revision: from then on the log holds
 * all changes above it. Only the first call counts. */
void kq_key_log_begin (KqKeyLog *l, uint64_t revision);
/* Appends a change; the oldest ones are dropped beyond a number of changes or bytes. */
void kq_key_log_add (KqKeyLog *l, const KqKvItem *i);
/* Passes all changes above the revision to `send`, which must not keep them. False: the
 * log doesn't go back that far, and nothing was passed. */
bool kq_key_log_since (KqKeyLog *l, uint64_t revision,
                       void (*send) (void *arg, const KqKeyChange *c), void *arg);
/* Decodes the change's value, appended to *value. KQ_ERR_FRAME_FORMAT: it is damaged or
 * too large; KQ_ERR_PLATFORM_FORMAT: this log doesn't hold the base. */
KqResult kq_key_log_decode (const KqKeyLog *l, const KqKeyChange *c, KqBuf *value);

#endif
