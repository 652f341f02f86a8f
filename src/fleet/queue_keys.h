#ifndef KQ_FLEET_QUEUE_KEYS_H
#define KQ_FLEET_QUEUE_KEYS_H

/* queue_keys: follows the operators' configuration of queues in the store. */

#include "port/kv.h"
#include "steps/queues.h"

typedef struct KqQueueKeys KqQueueKeys;

typedef struct
{
  void *arg;
  /* As in KqFollowOwner. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  void (*failed) (void *arg, KqTime sent_at);
} KqQueueKeysOwner;

KqQueueKeys *kq_queue_keys_new (KqLoop *loop, KqKv *kv, const KqQueueKeysOwner *owner);
void kq_queue_keys_free (KqQueueKeys *k);
/* Returns the newest version that could be decoded; NULL: none yet. Valid until the next
 * iteration of the loop. */
const KqQueueTable *kq_queue_keys_table (const KqQueueKeys *k);

#endif
