#ifndef KQ_FLEET_QUEUE_KEYS_H
#define KQ_FLEET_QUEUE_KEYS_H

/* queue_keys: follows the operators' configuration of queues, and their cordons, in the
 * store. */

#include "fleet/follow.h"
#include "fleet/key_log.h"
#include "steps/cordons.h"
#include "steps/queues.h"

typedef struct KqQueueKeys KqQueueKeys;

/* Longest wait of a watch. */
#define KQ_QUEUE_KEYS_WATCH_MS 1500

typedef struct
{
  void *arg;
  /* As in KqFollowOwner. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  void (*failed) (void *arg, KqTime sent_at);
  /* A key was written or deleted, and `log` holds the change. May be NULL. */
  void (*key_changed) (void *arg, uint64_t revision, KqTime now);
  /* The set of cordons has changed. */
  void (*cordons_changed) (void *arg, KqTime now);
} KqQueueKeysOwner;

/* cordons: updated as the operators' keys change; owned by the caller. */
KqQueueKeys *kq_queue_keys_new (KqLoop *loop, KqKv *kv, KqCordons *cordons,
                                const KqQueueKeysOwner *owner);
void kq_queue_keys_free (KqQueueKeys *k);
/* Returns the newest version that could be decoded; NULL: none yet. Valid until the next
 * iteration of the loop. */
const KqQueueTable *kq_queue_keys_table (const KqQueueKeys *k);

/* What it follows the keys by: another node may be asked for changes instead of the
 * store. */
KqFollow *kq_queue_keys_follow (const KqQueueKeys *k);
KqKeyLog *kq_queue_keys_log (const KqQueueKeys *k);

#endif
