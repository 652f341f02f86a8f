#include "fleet/key_feed.h"

#include "base/log.h"

#include <stdlib.h>

#define PART "keys"
#define ASK_INTERVAL (1000 * KQ_MS)
/* First version of the protocol with FOLLOW. */
#define FOLLOW_VERSION 3

struct KqKeyFeed
{
  KqLink *link;
  KqQueueKeys *queues;
  KqFollow *follow;
  KqKeyFeedState state;
  bool fed; /* this node's own watch is suspended */
  bool leading;
  uint64_t *relayed;
  uint64_t *applied;
  uint64_t *switches;
};

void
kq_key_feed_state_ping (KqKeyFeedState *f, int64_t age_ms, KqTime now)
{
  f->relayed = age_ms >= 0;
  if (f->relayed && now - age_ms * KQ_MS > f->confirmed_at)
    f->confirmed_at = now - age_ms * KQ_MS;
}

bool
kq_key_feed_state_suffices (const KqKeyFeedState *f, KqTime now)
{
  return f->connected && f->relayed && now - f->confirmed_at < KQ_KEY_FEED_AGE_MAX;
}

bool
kq_key_feed_state_asks (const KqKeyFeedState *f, KqTime now)
{
  return f->connected && !f->relayed
         && (f->asked_at == 0 || now - f->asked_at >= ASK_INTERVAL);
}

KqKeyFeed *
kq_key_feed_new (KqLink *link, KqQueueKeys *queues, KqCounters *counters)
{
  KqKeyFeed *f = kq_alloc (sizeof *f);
  f->link = link;
  f->queues = queues;
  f->follow = kq_queue_keys_follow (queues);
  f->relayed = kq_counter (counters, "kq_key_changes_relayed_total", "",
                           "Changes of operators' keys sent to nodes.");
  f->applied = kq_counter (counters, "kq_key_changes_applied_total", "",
                           "Changes of operators' keys received from the leader.");
  f->switches = kq_counter (counters, "kq_key_feed_lost_total", "",
                            "Returns to the own watch of operators' keys.");
  return f;
}

void
kq_key_feed_free (KqKeyFeed *f)
{
  free (f);
}

static void
set_fed (KqKeyFeed *f, bool fed, KqTime now)
{
  if (fed == f->fed)
    return;
  f->fed = fed;
  *f->switches += !fed;
  kq_log (KQ_LOG_INFO, PART,
          "Operators' keys are followed by another way. way=%s known_to=%llu "
          "connected=%d relayed=%d confirmed_ms_ago=%lld",
          fed ? "leader" : "store", (unsigned long long)kq_follow_known_to (f->follow),
          f->state.connected, f->state.relayed,
          (long long)((now - f->state.confirmed_at) / KQ_MS));
  kq_follow_suspend (f->follow, fed);
}

void
kq_key_feed_disconnected (KqKeyFeed *f)
{
  f->state = (KqKeyFeedState){ 0 };
}

static void
apply_change (KqKeyFeed *f, const KqKeyChange *c, KqTime now)
{
  KqBuf value = { 0 };
  KqKvItem i = { .key = c->key, .revision = c->revision, .deleted = c->deleted };
  KqResult result
      = c->deleted ? KQ_OK : kq_key_log_decode (kq_queue_keys_log (f->queues), c, &value);
  if (result == KQ_OK)
    {
      ++*f->applied;
      i.value = kq_buf_str (&value);
      kq_follow_apply (f->follow, &i, now);
    }
  else
    {
      kq_log (KQ_LOG_WARN, PART,
              "A relayed change can't be applied. error=%d key=%.*s revision=%llu "
              "base=%llu",
              result, KQ_STR_ARG (c->key), (unsigned long long)c->revision,
              (unsigned long long)c->base);
      f->state.connected = false; /* until the next connection the store is asked */
    }
  kq_buf_free (&value);
}

void
kq_key_feed_item (KqKeyFeed *f, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  if (i->kind == KQ_AGENT_ITEM_WELCOME)
    f->state = (KqKeyFeedState){ .connected = i->u.welcome.version >= FOLLOW_VERSION };
  if (!f->state.connected)
    return;
  if (i->kind == KQ_AGENT_ITEM_KEY_CHANGE)
    apply_change (f, &i->u.key_change, now);
  if (i->kind != KQ_AGENT_ITEM_PING)
    return;
  kq_key_feed_state_ping (&f->state, i->u.ping.keys_age_ms, now);
  if (f->state.relayed)
    kq_follow_applied_to (f->follow, i->u.ping.keys_revision);
  kq_key_feed_check (f, epoch, now);
}

void
kq_key_feed_check (KqKeyFeed *f, uint64_t epoch, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_FOLLOW };
  if (!kq_link_connected (f->link))
    f->state = (KqKeyFeedState){ 0 };
  i.u.follow.revision = kq_follow_known_to (f->follow);
  set_fed (f, !f->leading && kq_key_feed_state_suffices (&f->state, now), now);
  if (i.u.follow.revision == 0 || f->leading || !kq_key_feed_state_asks (&f->state, now))
    return;
  f->state.asked_at = now;
  kq_link_send (f->link, epoch, &i);
}

void
kq_key_feed_set_leading (KqKeyFeed *f, bool leading, KqTime now)
{
  f->leading = leading;
  f->state = (KqKeyFeedState){ 0 };
  set_fed (f, false, now);
  kq_follow_set_wait (f->follow, leading ? KQ_KEY_FEED_WATCH_MS : KQ_QUEUE_KEYS_WATCH_MS);
}

static void
send_change (void *peer, const KqKeyChange *c)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_KEY_CHANGE };
  i.u.key_change = *c;
  kq_link_send_peer (peer, &i);
}

void
kq_key_feed_follow (KqKeyFeed *f, KqPeer *p, uint64_t revision)
{
  bool relays
      = kq_key_log_since (kq_queue_keys_log (f->queues), revision, send_change, p);
  kq_peer_set_follows (p, relays);
}

static void
relay_change (void *arg, const KqKeyChange *c)
{
  KqKeyFeed *f = arg;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_KEY_CHANGE };
  i.u.key_change = *c;
  *f->relayed += kq_link_send_followers (f->link, &i);
}

void
kq_key_feed_changed (KqKeyFeed *f, uint64_t revision)
{
  if (!f->leading)
    return;
  if (!kq_key_log_since (kq_queue_keys_log (f->queues), revision - 1, relay_change, f))
    kq_link_clear_followers (f->link); /* too large to be relayed */
}

void
kq_key_feed_ping_values (const KqKeyFeed *f, uint64_t *revision, int64_t *age_ms,
                         KqTime now)
{
  KqTime answered_at = kq_follow_answered_at (f->follow);
  *revision = kq_follow_known_to (f->follow);
  *age_ms = f->leading && answered_at != 0 ? (now - answered_at) / KQ_MS : -1;
}
