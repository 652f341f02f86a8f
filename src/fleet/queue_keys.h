#ifndef KQ_FLEET_QUEUE_KEYS_H
#define KQ_FLEET_QUEUE_KEYS_H

/* queue_keys: follows the operators' configuration of queues, and their cordons, in the
 * store. */

#include "port/kv.h"
#include "steps/cordons.h"
#include "steps/queues.h"

typedef struct KqQueueKeys KqQueueKeys;

typedef struct
{
  void *arg;
  /* As in KqFollowOwner. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  void (*failed) (void *arg, KqTime sent_at);
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

#endif
