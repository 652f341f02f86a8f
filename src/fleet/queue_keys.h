#ifndef KQ_FLEET_QUEUE_KEYS_H
#define KQ_FLEET_QUEUE_KEYS_H

/* queue_keys: the operators' configuration of queues, followed in the store. */

#include "port/kv.h"
#include "steps/queues.h"

typedef struct KqQueueKeys KqQueueKeys;

typedef struct
{
  void *arg;
  /* The store has answered, or has not; as of KqFollowOwner. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  void (*failed) (void *arg, KqTime sent_at);
} KqQueueKeysOwner;

KqQueueKeys *kq_queue_keys_new (KqLoop *loop, KqKv *kv, const KqQueueKeysOwner *owner);
void kq_queue_keys_free (KqQueueKeys *k);
/* The newest version that could be read; NULL: none yet. Valid until the loop's next
 * turn. */
const KqQueueTable *kq_queue_keys_table (const KqQueueKeys *k);

#endif
