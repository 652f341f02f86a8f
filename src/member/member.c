#include "member/member.h"

#include "base/log.h"
#include "base/rand.h"
#include "member/lease.h"
#include "member/nodes.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* How long a watch waits: a call per node and quarter of a minute. A store whose
 * watches are silent is noticed by this plus WATCH_GRACE. */
#define WATCH_WAIT (15 * KQ_SEC)
#define WATCH_GRACE (3 * KQ_SEC)
/* Between lists that fail, or that an unknown node's heartbeat asks for. */
#define LIST_WAIT (1 * KQ_SEC)
#define LIST_DOUBLINGS 3 /* after failures: 1, 2, 4, 8 s */
#define FAR_BEATS 4      /* beats between bundles to another region */
/* Digests go with a heartbeat when this rate to all peers of the region allows it, and
 * at the latest after DIGEST_AGE. With few nodes that is every heartbeat; at the target
 * size (12 nodes a region, 2.4 KB a shard) every few seconds. */
#define NEAR_DIGEST_RATE 6000 /* bytes a second and node */
#define DIGEST_AGE (4 * KQ_SEC)
/* The same for a bundle. The node that gets it passes it on to its whole region, and
 * that costs more than the link: 18 KB to 11 nodes from each of 7 regions. */
#define FAR_DIGEST_RATE                                                                  \
  6000 /* bytes a second and pair of regions, passing on included                        \
        */
#define FAR_DIGEST_AGE (60 * KQ_SEC)
#define FAR_REGIONS_MAX 32
/* A gap between ticks beyond this was our own pause, not the others' silence. */
#define PAUSE_BEATS 2

/* Digests sent to another region. */
typedef struct
{
  KqName region;
  KqTime full_at;
  uint64_t version; /* of our list, then */
} FarRegion;

struct KqMember
{
  KqMemberConfig config;
  KqRand rand;
  uint64_t token; /* of the last store call */
  KqNodeLease lease;
  KqNodeList list;
  KqNodeTimes times;
  KqNodeEntry *self;
  /* The watch, or the list that comes first and after a failure. */
  uint64_t watch_call; /* 0: none in flight */
  KqTime watch_give_up;
  KqTime watch_next;
  uint64_t watch_revision; /* 0: list first */
  bool list_wanted;        /* an unknown node was heard */
  KqTime listed_at;
  int list_failures;
  /* Heartbeats. */
  uint64_t beat;
  KqTime next_beat;
  KqTime full_at;        /* digests were sent last */
  uint64_t full_version; /* of the list, then: whoever is new needs them */
  bool digest_moved;     /* other shards or services than then */
  FarRegion far[FAR_REGIONS_MAX];
  size_t n_far;
  KqTime last_tick;
  KqTime store_answered_at;
  bool store_answered;
  bool draining;
};

/* The same shards under the same epochs and as many services, whatever their numbers
 * say. Nobody sends requests to an owner before its lines are there. */
static bool
same_shards (const KqNodeEntry *e, const KqShardDigest *s, size_t n)
{
  if (e->node.n_shards != n)
    return false;
  for (size_t i = 0; i < n; i++)
    if (e->node.shards[i].shard != s[i].shard || e->node.shards[i].epoch != s[i].epoch
        || e->node.shards[i].n_services != s[i].n_services)
      return false;
  return true;
}

KqMember *
kq_member_new (const KqMemberConfig *c, uint64_t seed)
{
  KqMember *m = kq_alloc (sizeof *m);
  KqBuf value = { 0 };
  assert (c->self.id == kq_str_hash (kq_name_str (&c->self.name)));
  assert (c->beat > 0 && c->suspect >= 2 * c->beat && c->lease >= 2 * c->suspect);
  m->config = *c;
  m->rand = kq_rand (seed);
  kq_node_info_pack (&c->self, &value);
  kq_node_lease_init (&m->lease, kq_name_str (&c->self.name), kq_buf_str (&value),
                      c->lease, &m->rand);
  kq_buf_free (&value);
  m->list.self = c->self.id;
  m->list.region = c->self.region;
  m->times.lease = c->lease;
  m->times.beat = c->beat;
  m->times.suspect = c->suspect;
  m->times.far_suspect = c->suspect + 2 * FAR_BEATS * c->beat;
  m->self = kq_node_list_put (&m->list, &c->self, 0);
  m->last_tick = -1;
  kq_member_set_digest (m, NULL, 0, 0, false);
  return m;
}

void
kq_member_free (KqMember *m)
{
  if (m == NULL)
    return;
  kq_node_lease_clear (&m->lease);
  kq_node_list_clear (&m->list);
  free (m);
}

void
kq_member_set_digest (KqMember *m, const KqShardDigest *s, size_t n,
                      uint64_t table_revision, bool draining)
{
  KqMsgHeartbeat h = { .node = m->config.self.id };
  if (!same_shards (m->self, s, n))
    m->digest_moved = true;
  h.incarnation = m->config.self.incarnation;
  h.beat = m->beat << 1;
  h.table_revision = table_revision;
  h.draining = draining;
  h.shards = (KqShardDigest *)s;
  h.n_shards = n;
  kq_node_list_heard (&m->list, m->self, &h, m->last_tick > 0 ? m->last_tick : 0);
}

void
kq_member_store_answered (KqMember *m, KqTime now)
{
  /* After an outage of ours: see KqNodeTimes.calm_until. */
  if (m->store_answered && now - m->store_answered_at > m->config.lease / 2)
    m->times.calm_until = now + m->config.lease;
  m->store_answered = true;
  if (now > m->store_answered_at)
    m->store_answered_at = now;
}

KqTime
kq_member_store_silence (const KqMember *m, KqTime now)
{
  return now - m->store_answered_at;
}

static void
tick_watch (KqMember *m, KqTime now, KqOutbox *out)
{
  KqStoreOp op = { .part = KQ_PART_MEMBER, .key = KQ_STR ("node/") };
  bool silent = m->watch_call != 0 && now >= m->watch_give_up;
  bool list_now = m->list_wanted && now - m->listed_at >= LIST_WAIT;
  if (silent || list_now)
    {
      m->watch_call = 0;
      m->watch_revision = 0;
      m->watch_next = now;
    }
  if (m->watch_call != 0 || now < m->watch_next)
    return;
  op.kind = m->watch_revision == 0 ? KQ_STORE_LIST : KQ_STORE_WATCH;
  op.expect = m->watch_revision;
  op.wait_ms = (int)(WATCH_WAIT / KQ_MS);
  op.token = ++m->token;
  m->watch_call = op.token;
  m->watch_give_up = now + WATCH_GRACE;
  if (op.kind == KQ_STORE_WATCH)
    m->watch_give_up += WATCH_WAIT;
  else
    {
      m->listed_at = now;
      m->list_wanted = false;
    }
  kq_outbox_store (out, &op);
}

/* Jittered over its second half, so that the nodes don't list all at once when the
 * store is back. */
static KqTime
list_retry (KqMember *m)
{
  KqTime wait = LIST_WAIT << m->list_failures;
  if (m->list_failures < LIST_DOUBLINGS)
    m->list_failures++;
  return wait / 2 + (KqTime)kq_rand_below (&m->rand, (uint64_t)(wait / 2));
}

static void
watch_answered (KqMember *m, const KqStoreReply *r, KqTime now)
{
  m->watch_call = 0;
  if (r->result != KQ_OK)
    {
      m->watch_revision = 0;
      m->watch_next = now + list_retry (m);
      return;
    }
  m->watch_next = now;
  m->list_failures = 0;
  m->watch_revision = r->revision;
  uint64_t foreign = kq_node_list_store (&m->list, r->items, r->n_items, &m->times, now);
  kq_node_lease_replaced (&m->lease, foreign);
}

void
kq_member_reply (KqMember *m, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  bool answered = r->result != KQ_ERR_STORE_UNREACHABLE && r->result != KQ_ERR_STORE_BUSY
                  && r->result != KQ_ERR_PLATFORM_FORMAT;
  if (answered)
    kq_member_store_answered (m, now);
  if (m->watch_call != 0 && r->token == m->watch_call)
    watch_answered (m, r, now);
  else
    kq_node_lease_reply (&m->lease, r, now);
  kq_node_lease_tick (&m->lease, &m->token, now, out);
  tick_watch (m, now, out);
}

static bool
near (const KqMember *m, const KqNodeEntry *e)
{
  return kq_name_eq (&e->node.info.region, &m->config.self.region);
}

/* To every other node of our region, also to those thought gone: if they hear us and
 * answer, the thought was wrong. */
static void
send_near (KqMember *m, const KqMsg *msg, KqOutbox *out)
{
  for (size_t i = 0; i < m->list.n; i++)
    {
      KqNodeEntry *e = m->list.entries[i];
      if (e != m->self && near (m, e))
        kq_outbox_send (out, e->node.info.id, msg);
    }
}

/* The present words about a node, as a message whose arrays are borrowed from it. */
static KqMsg
heartbeat_of (const KqMember *m, const KqNodeEntry *e, KqTime now)
{
  KqMsg msg = { .kind = KQ_MSG_HEARTBEAT, .u.heartbeat = e->last->u.heartbeat };
  KqMsgHeartbeat *h = &msg.u.heartbeat;
  if (e == m->self)
    {
      h->beat = m->beat << 1;
      h->store_age_us = kq_member_store_silence (m, now);
    }
  else
    h->store_age_us = e->node.store_age_us + (now - e->node.heard_at);
  return msg;
}

static void
make_light (KqMsg *msg)
{
  msg->u.heartbeat.beat |= KQ_BEAT_LIGHT;
  msg->u.heartbeat.shards = NULL;
  msg->u.heartbeat.n_shards = 0;
}

/* The live node of a region that comes first by a hash with `salt`: a choice that each
 * node makes alike without asking, and that spreads over the nodes as the salt varies.
 * When none is thought alive one after the other is tried, so that a link that comes
 * back is found. */
static KqNodeEntry *
choose (const KqMember *m, const KqName *region, uint64_t salt)
{
  KqNodeEntry *others[KQ_NODES_MAX];
  KqNodeEntry *best = NULL;
  uint64_t best_hash = 0;
  size_t n = 0;
  for (size_t i = 0; i < m->list.n; i++)
    {
      KqNodeEntry *e = m->list.entries[i];
      uint64_t hash = kq_hash2 (e->node.info.id, salt);
      if (!kq_name_eq (&e->node.info.region, region) || e->node.state == KQ_NODE_GONE)
        continue;
      others[n++] = e;
      if (e->node.state == KQ_NODE_ALIVE && (best == NULL || hash > best_hash))
        {
          best = e;
          best_hash = hash;
        }
    }
  if (best != NULL || n == 0)
    return best;
  return others[m->beat / FAR_BEATS % n];
}

static FarRegion *
far_region (KqMember *m, const KqName *region)
{
  size_t i = 0;
  while (i < m->n_far && !kq_name_eq (&m->far[i].region, region))
    i++;
  if (i == FAR_REGIONS_MAX)
    return NULL;
  if (i == m->n_far)
    m->far[m->n_far++] = (FarRegion){ .region = *region };
  return &m->far[i];
}

/* Whether `bytes` of digests, sent `copies` times, are due again. */
static bool
digests_due (KqTime since, size_t bytes, size_t copies, int64_t rate, KqTime age)
{
  KqTime pace = (KqTime)(bytes * copies) * KQ_SEC / rate;
  return since >= age || since >= pace;
}

/* Digests go to a far region when the rate allows, or when our list changed: a node
 * that came or returned there has none of them yet. */
static bool
far_due (KqMember *m, FarRegion *f, KqTime now)
{
  size_t bytes = 0;
  size_t nodes = 0;
  for (size_t i = 0; i < m->list.n; i++)
    if (near (m, m->list.entries[i]) && m->list.entries[i]->last != NULL)
      {
        bytes += kq_digest_size (&m->list.entries[i]->last->u.heartbeat);
        nodes++;
      }
  bool news = f->version != m->list.version && now - f->full_at >= DIGEST_AGE;
  if (f->full_at != 0 && !news
      && !digests_due (now - f->full_at, bytes, nodes, FAR_DIGEST_RATE, FAR_DIGEST_AGE))
    return false;
  f->full_at = now;
  f->version = m->list.version;
  return true;
}

/* Our region's heartbeats to a far one, each node's to another receiver: passing on is
 * the dearest part, and so it spreads over that region. */
static void
send_bundle (KqMember *m, const KqName *region, KqTime now, KqOutbox *out)
{
  FarRegion *f = far_region (m, region);
  bool full = f != NULL && far_due (m, f, now);
  for (size_t i = 0; i < m->list.n; i++)
    {
      KqNodeEntry *e = m->list.entries[i];
      if (!near (m, e) || e->node.state != KQ_NODE_ALIVE || e->last == NULL)
        continue;
      KqNodeEntry *to = choose (m, region, e->node.info.id);
      KqMsg msg = heartbeat_of (m, e, now);
      msg.u.heartbeat.via = m->config.self.id;
      msg.u.heartbeat.beat &= ~(uint64_t)KQ_BEAT_LIGHT;
      if (!full || !e->has_digests)
        make_light (&msg);
      if (to != NULL)
        kq_outbox_send (out, to->node.info.id, &msg);
    }
}

/* One bundle per pair of regions, from the node that is chosen for the pair. */
static void
send_far (KqMember *m, KqTime now, KqOutbox *out)
{
  KqName done[FAR_REGIONS_MAX];
  size_t n = 0;
  for (size_t i = 0; i < m->list.n; i++)
    {
      const KqName *region = &m->list.entries[i]->node.info.region;
      size_t k = 0;
      while (k < n && !kq_name_eq (&done[k], region))
        k++;
      if (k < n || n == FAR_REGIONS_MAX || near (m, m->list.entries[i]))
        continue;
      done[n++] = *region;
      uint64_t salt = kq_str_hash (kq_name_str (region));
      if (choose (m, &m->config.self.region, salt) == m->self)
        send_bundle (m, region, now, out);
    }
}

/* To the peers of the region, with digests when they are due. */
static void
send_beat (KqMember *m, KqTime now, KqOutbox *out)
{
  KqMsg msg = heartbeat_of (m, m->self, now);
  size_t peers = 0;
  for (size_t i = 0; i < m->list.n; i++)
    peers += m->list.entries[i] != m->self && near (m, m->list.entries[i]);
  size_t bytes = kq_digest_size (&msg.u.heartbeat);
  bool moved = m->digest_moved || m->full_version != m->list.version;
  if (moved || digests_due (now - m->full_at, bytes, peers, NEAR_DIGEST_RATE, DIGEST_AGE))
    {
      m->full_at = now;
      m->full_version = m->list.version;
      m->digest_moved = false;
    }
  else
    make_light (&msg);
  send_near (m, &msg, out);
}

static void
tick_beat (KqMember *m, KqTime now, KqOutbox *out)
{
  if (now < m->next_beat)
    return;
  m->beat++;
  m->next_beat = now + m->config.beat;
  m->self->node.heard_at = now;
  m->self->node.store_age_us = kq_member_store_silence (m, now);
  send_beat (m, now, out);
  if (m->beat % FAR_BEATS == 0)
    send_far (m, now, out);
}

static void
first_tick (KqMember *m, KqTime now)
{
  m->self->listed_at = now;
  m->store_answered_at = m->store_answered ? m->store_answered_at : now;
  m->listed_at = now - LIST_WAIT;
  m->times.awake_since = now;
}

void
kq_member_tick (KqMember *m, KqTime now, KqOutbox *out)
{
  if (m->last_tick < 0)
    first_tick (m, now);
  else if (now - m->last_tick > PAUSE_BEATS * m->config.beat)
    m->times.awake_since = now;
  m->last_tick = now;
  m->times.store_silent = kq_member_store_silence (m, now) > m->config.lease;
  kq_node_list_age (&m->list, &m->times, now);
  kq_node_lease_tick (&m->lease, &m->token, now, out);
  if (m->lease.state != KQ_LEASE_LEFT)
    tick_watch (m, now, out);
  tick_beat (m, now, out);
}

/* A far region's bundle came to us: pass it on within our region, in our own name, so
 * that nobody passes it on again. */
static void
pass_on (KqMember *m, const KqMsgHeartbeat *h, KqOutbox *out)
{
  KqNodeEntry *via = kq_node_list_find (&m->list, h->via);
  if (h->via == 0 || (via != NULL && near (m, via)))
    return;
  KqMsg msg = { .kind = KQ_MSG_HEARTBEAT, .u.heartbeat = *h };
  msg.u.heartbeat.via = m->config.self.id;
  send_near (m, &msg, out);
}

void
kq_member_heartbeat (KqMember *m, const KqMsgHeartbeat *h, KqTime now, KqOutbox *out)
{
  KqNodeEntry *e = kq_node_list_find (&m->list, h->node);
  if (e == NULL)
    {
      /* Without its key there is no address: ask the store now, not at the watch's end.
       */
      m->list_wanted = true;
      return;
    }
  if (e == m->self)
    return;
  /* Compared with the last heartbeat, not with the store's list: the list may name a
   * restarted process before its first beat, which then counts from 1 again. */
  if (e->last != NULL && h->incarnation == e->last->u.heartbeat.incarnation
      && KQ_BEAT_COUNT (h->beat) <= KQ_BEAT_COUNT (e->last->u.heartbeat.beat))
    return;
  kq_node_list_heard (&m->list, e, h, now);
  if (!near (m, e))
    pass_on (m, h, out);
}

void
kq_member_link (KqMember *m, KqNodeId node, bool up, KqTime now)
{
  KqNodeEntry *e = kq_node_list_find (&m->list, node);
  if (e != NULL)
    e->link_lost_at = up ? 0 : now;
}

size_t
kq_member_count (const KqMember *m)
{
  return m->list.n;
}

const KqNode *
kq_member_at (const KqMember *m, size_t i)
{
  assert (i < m->list.n);
  return &m->list.entries[i]->node;
}

const KqNode *
kq_member_find (const KqMember *m, KqNodeId id)
{
  KqNodeEntry *e = kq_node_list_find (&m->list, id);
  return e != NULL ? &e->node : NULL;
}

uint64_t
kq_member_version (const KqMember *m)
{
  return m->list.version;
}

bool
kq_member_lease_live (const KqMember *m, KqTime now)
{
  return kq_node_lease_live (&m->lease, now);
}

uint64_t
kq_member_lease (const KqMember *m)
{
  return m->lease.state == KQ_LEASE_HELD ? m->lease.id : 0;
}

bool
kq_member_replaced (const KqMember *m)
{
  return m->lease.state == KQ_LEASE_REPLACED;
}

bool
kq_member_peer_reaches_store (const KqMember *m, KqTime age, KqTime now)
{
  for (size_t i = 0; i < m->list.n; i++)
    {
      const KqNodeEntry *e = m->list.entries[i];
      if (e != m->self && near (m, e) && e->node.heard_at > 0
          && now - e->node.heard_at <= m->config.suspect
          && e->node.store_age_us + (now - e->node.heard_at) <= age)
        return true;
    }
  return false;
}

bool
kq_member_hears_region (const KqMember *m, KqTime age, KqTime now)
{
  for (size_t i = 0; i < m->list.n; i++)
    {
      const KqNodeEntry *e = m->list.entries[i];
      if (e != m->self && near (m, e) && e->node.heard_at > 0
          && now - e->node.heard_at <= age)
        return true;
    }
  return false;
}

void
kq_member_leave (KqMember *m, KqTime now, KqOutbox *out)
{
  (void)now;
  kq_node_lease_leave (&m->lease, &m->token, out);
}
