#ifndef KQ_FLEET_KEY_FEED_H
#define KQ_FLEET_KEY_FEED_H

/* key_feed: how a node hears of changes of the operators' keys.
 *
 * The leader watches these keys and relays their changes to the nodes connected to it. If
 * each node watched them itself, calls to the store and the bytes of each configuration
 * would grow with the fleet, and hundreds of nodes behind a link between regions would
 * receive successive configurations more slowly than operators write them.
 *
 * A node watches the keys itself until the leader relays them, and again when the way
 * through the leader is in doubt: the connection has ended, or the leader hasn't been
 * told for KQ_KEY_FEED_AGE_MAX that there are no other changes. So it learns of a change
 * at most that long, a check and a call after a failure on the way. */

#include "fleet/link.h"
#include "fleet/queue_keys.h"

/* The leader's watch is answered every half a second and its pings are 0.3 s apart, so
 * the age stays below 0.9 s while nothing fails. */
#define KQ_KEY_FEED_AGE_MAX (1500 * KQ_MS)
/* Longest wait of a leader's watch. */
#define KQ_KEY_FEED_WATCH_MS 500

/* A node's view of the feed; zeroed when a connection to a leader begins or ends. */
typedef struct
{
  bool connected;
  bool relayed;        /* by the leader's last ping */
  KqTime asked_at;     /* when it was last asked to relay changes; 0: never */
  KqTime confirmed_at; /* all changes before that time have been relayed */
} KqKeyFeedState;

/* Takes the age in a leader's ping; -1: changes aren't relayed. */
void kq_key_feed_state_ping (KqKeyFeedState *f, int64_t age_ms, KqTime now);
/* Whether the changes that are relayed suffice. */
bool kq_key_feed_state_suffices (const KqKeyFeedState *f, KqTime now);
/* Whether the leader is to be asked to relay changes. */
bool kq_key_feed_state_asks (const KqKeyFeedState *f, KqTime now);

typedef struct KqKeyFeed KqKeyFeed;

/* queues: its owner passes on key_changed. */
KqKeyFeed *kq_key_feed_new (KqLink *link, KqQueueKeys *queues, KqCounters *counters);
void kq_key_feed_free (KqKeyFeed *f);

/* On a node that isn't leader: a new connection to the leader has been opened. */
void kq_key_feed_disconnected (KqKeyFeed *f);
/* Takes a WELCOME, PING or KEY_CHANGE of the leader of that epoch; ignores other items.
 */
void kq_key_feed_item (KqKeyFeed *f, uint64_t epoch, const KqAgentItem *i, KqTime now);
/* Asks the leader or the store, as needed; call it every KQ_KEY_FEED_AGE_MAX / 5 or more
 * often. */
void kq_key_feed_check (KqKeyFeed *f, uint64_t epoch, KqTime now);

/* This node has begun or ceased to lead. */
void kq_key_feed_set_leading (KqKeyFeed *f, bool leading, KqTime now);
/* On the leader: a node asks for the changes above the revision. */
void kq_key_feed_follow (KqKeyFeed *f, KqPeer *p, uint64_t revision);
/* A key has changed at that revision: relays it if this node leads. */
void kq_key_feed_changed (KqKeyFeed *f, uint64_t revision);
/* The two values of a ping to nodes that follow; the age is -1 while it isn't known. */
void kq_key_feed_ping_values (const KqKeyFeed *f, uint64_t *revision, int64_t *age_ms,
                              KqTime now);

#endif
