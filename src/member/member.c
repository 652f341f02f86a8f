#include "member/member.h"

#include "base/log.h"
#include "base/rand.h"
#include "member/lease.h"
#include "member/nodes.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* How long a watch waits in the store: one call per node every 15 s. A watch without an
 * answer counts as lost after this plus WATCH_GRACE. */
#define WATCH_WAIT (15 * KQ_SEC)
#define WATCH_GRACE (3 * KQ_SEC)
/* Time between two lists of the keys: after a failure (see list_retry), and at least this
 * long when a heartbeat of an unknown node calls for a new list. */
#define LIST_WAIT (1 * KQ_SEC)
#define LIST_DOUBLINGS 3   /* times LIST_WAIT doubles after failures: 1, 2, 4, 8 s */
#define BUNDLE_INTERVALS 4 /* heartbeat intervals between bundles to another region */
/* Digests are sent with a heartbeat when this rate to all peers of the region together
 * allows it, and at the latest after DIGEST_AGE_MAX. With few nodes that is every
 * heartbeat; at the target size (12 nodes per region, 2.4 KB per shard) every few
 * seconds. */
#define DIGEST_BYTES_PER_S 6000 /* per sending node */
#define DIGEST_AGE_MAX (4 * KQ_SEC)
/* The same limits for the digests in bundles, per pair of regions and including the
 * forwarding. The receiver forwards a bundle to its whole region, which costs more than
 * the link between the regions: 18 KB to 11 nodes from each of 7 regions. */
#define BUNDLE_DIGEST_BYTES_PER_S 6000
#define BUNDLE_DIGEST_AGE_MAX (60 * KQ_SEC)
#define REMOTE_REGIONS_MAX 32
/* A gap between ticks of more than this many heartbeat intervals counts as a pause of
 * this process, in which the other nodes weren't silent. */
#define PAUSE_INTERVALS 2

/* When digests were last sent to another region. */
typedef struct
{
  KqName region;
  KqTime digests_sent_at;
  uint64_t version; /* of our list at that time */
} RemoteRegion;

struct KqMember
{
  KqMemberConfig config;
  KqRand rand;
  uint64_t token; /* of the last store call */
  KqNodeLease lease;
  KqNodeList list;
  KqNodeTimes times;
  KqNodeEntry *self;
  /* The watch on the prefix node/, or the list of its keys that is read at the start and
   * after a failure. */
  uint64_t watch_token; /* of the call in flight; 0: none */
  KqTime watch_timeout_at;
  KqTime next_watch_at;
  uint64_t watch_revision; /* the next watch continues from here; 0: list first */
  bool list_wanted;        /* list again: a heartbeat of an unknown node arrived */
  KqTime listed_at;
  int list_failures;
  /* Heartbeats. */
  uint64_t heartbeat_number;
  KqTime next_heartbeat_at;
  KqTime digests_sent_at;   /* when digests were last sent */
  uint64_t digests_version; /* of the list at that time: new nodes need the digests */
  bool digests_changed;     /* shards or services have changed since */
  RemoteRegion remote[REMOTE_REGIONS_MAX];
  size_t n_remote;
  KqTime last_tick;
  KqTime store_answered_at;
  bool store_answered;
  bool draining;
};

/* Whether the shards, their epochs and their numbers of services are unchanged since the
 * last digests; other values of the digests may differ. A new service must be reported at
 * once, as no node sends requests for it to the owner before its digest lists the
 * service. */
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
  assert (c->heartbeat_interval > 0 && c->suspect_after >= 2 * c->heartbeat_interval
          && c->lease >= 2 * c->suspect_after);
  m->config = *c;
  m->rand = kq_rand (seed);
  kq_node_info_pack (&c->self, &value);
  kq_node_lease_init (&m->lease, kq_name_str (&c->self.name), kq_buf_str (&value),
                      c->lease, &m->rand);
  kq_buf_free (&value);
  m->list.self = c->self.id;
  m->list.region = c->self.region;
  m->times.lease = c->lease;
  m->times.heartbeat_interval = c->heartbeat_interval;
  m->times.suspect_after = c->suspect_after;
  m->times.remote_suspect_after
      = c->suspect_after + 2 * BUNDLE_INTERVALS * c->heartbeat_interval;
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
    m->digests_changed = true;
  h.incarnation = m->config.self.incarnation;
  h.sequence = m->heartbeat_number << 1;
  h.table_revision = table_revision;
  h.draining = draining;
  h.shards = (KqShardDigest *)s;
  h.n_shards = n;
  kq_node_list_apply_heartbeat (&m->list, m->self, &h,
                                m->last_tick > 0 ? m->last_tick : 0);
}

void
kq_member_store_answered (KqMember *m, KqTime now)
{
  /* The store returns after an outage; see KqNodeTimes.removal_allowed_at. */
  if (m->store_answered && now - m->store_answered_at > m->config.lease / 2)
    m->times.removal_allowed_at = now + m->config.lease;
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
  bool silent = m->watch_token != 0 && now >= m->watch_timeout_at;
  bool list_now = m->list_wanted && now - m->listed_at >= LIST_WAIT;
  if (silent || list_now)
    {
      m->watch_token = 0;
      m->watch_revision = 0;
      m->next_watch_at = now;
    }
  if (m->watch_token != 0 || now < m->next_watch_at)
    return;
  op.kind = m->watch_revision == 0 ? KQ_STORE_LIST : KQ_STORE_WATCH;
  op.expect = m->watch_revision;
  op.wait_ms = (int)(WATCH_WAIT / KQ_MS);
  op.token = ++m->token;
  m->watch_token = op.token;
  m->watch_timeout_at = now + WATCH_GRACE;
  if (op.kind == KQ_STORE_WATCH)
    m->watch_timeout_at += WATCH_WAIT;
  else
    {
      m->listed_at = now;
      m->list_wanted = false;
    }
  kq_outbox_store (out, &op);
}

/* Delay of the next list after a failure. Its second half is random, so that the nodes
 * don't all call a recovered store at the same time. */
static KqTime
list_retry (KqMember *m)
{
  KqTime wait = LIST_WAIT << m->list_failures;
  if (m->list_failures < LIST_DOUBLINGS)
    m->list_failures++;
  return wait / 2 + (KqTime)kq_rand_below (&m->rand, (uint64_t)(wait / 2));
}

static void
watch_reply (KqMember *m, const KqStoreReply *r, KqTime now)
{
  m->watch_token = 0;
  if (r->result != KQ_OK)
    {
      m->watch_revision = 0;
      m->next_watch_at = now + list_retry (m);
      return;
    }
  m->next_watch_at = now;
  m->list_failures = 0;
  m->watch_revision = r->revision;
  uint64_t other_revision
      = kq_node_list_apply_store (&m->list, r->items, r->n_items, &m->times, now);
  kq_node_lease_check_replaced (&m->lease, other_revision);
}

void
kq_member_reply (KqMember *m, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  bool answered = r->result != KQ_ERR_STORE_UNREACHABLE && r->result != KQ_ERR_STORE_BUSY
                  && r->result != KQ_ERR_PLATFORM_FORMAT;
  if (answered)
    kq_member_store_answered (m, now);
  if (m->watch_token != 0 && r->token == m->watch_token)
    watch_reply (m, r, now);
  else
    kq_node_lease_reply (&m->lease, r, now);
  kq_node_lease_tick (&m->lease, &m->token, now, out);
  tick_watch (m, now, out);
}

static bool
same_region (const KqMember *m, const KqNodeEntry *e)
{
  return kq_name_eq (&e->node.info.region, &m->config.self.region);
}

/* Sends to every other node of our region, also to those that count as gone: if that is
 * wrong they learn of us, and their heartbeats correct it. */
static void
send_to_region (KqMember *m, const KqMsg *msg, KqOutbox *out)
{
  for (size_t i = 0; i < m->list.n; i++)
    {
      KqNodeEntry *e = m->list.entries[i];
      if (e != m->self && same_region (m, e))
        kq_outbox_send (out, e->node.info.id, msg);
    }
}

/* The last heartbeat of a node, with the store age as of now. Its arrays are borrowed
 * from the entry. */
static KqMsg
heartbeat_of (const KqMember *m, const KqNodeEntry *e, KqTime now)
{
  KqMsg msg = { .kind = KQ_MSG_HEARTBEAT, .u.heartbeat = e->last_heartbeat->u.heartbeat };
  KqMsgHeartbeat *h = &msg.u.heartbeat;
  if (e == m->self)
    {
      h->sequence = m->heartbeat_number << 1;
      h->store_age_us = kq_member_store_silence (m, now);
    }
  else
    h->store_age_us = e->node.store_age_us + (now - e->node.heard_at);
  return msg;
}

static void
omit_digests (KqMsg *msg)
{
  msg->u.heartbeat.sequence |= KQ_HEARTBEAT_NO_DIGESTS;
  msg->u.heartbeat.shards = NULL;
  msg->u.heartbeat.n_shards = 0;
}

/* The live node of a region for which the hash of its id and `salt` is highest. All nodes
 * with the same list choose the same one, and different salts spread the choice over the
 * nodes. If no node is alive, all that aren't gone are chosen in turn, so that a restored
 * link is found. */
static KqNodeEntry *
choose_node (const KqMember *m, const KqName *region, uint64_t salt)
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
  return others[m->heartbeat_number / BUNDLE_INTERVALS % n];
}

static RemoteRegion *
remote_region (KqMember *m, const KqName *region)
{
  size_t i = 0;
  while (i < m->n_remote && !kq_name_eq (&m->remote[i].region, region))
    i++;
  if (i == REMOTE_REGIONS_MAX)
    return NULL;
  if (i == m->n_remote)
    m->remote[m->n_remote++] = (RemoteRegion){ .region = *region };
  return &m->remote[i];
}

/* Whether digests of `bytes` bytes, sent `copies` times, may be sent again: the rate
 * allows it or `age` has passed since the last time. */
static bool
digests_due (KqTime since, size_t bytes, size_t copies, int64_t rate, KqTime age)
{
  KqTime interval = (KqTime)(bytes * copies) * KQ_SEC / rate;
  return since >= age || since >= interval;
}

/* Whether digests are due in the bundle to another region: when the rate allows it or
 * when our list changed, as a node that joined or returned there has none of them yet. */
static bool
remote_digests_due (KqMember *m, RemoteRegion *remote, KqTime now)
{
  size_t bytes = 0;
  size_t nodes = 0;
  for (size_t i = 0; i < m->list.n; i++)
    if (same_region (m, m->list.entries[i]) && m->list.entries[i]->last_heartbeat != NULL)
      {
        bytes += kq_digest_size (&m->list.entries[i]->last_heartbeat->u.heartbeat);
        nodes++;
      }
  bool list_changed = remote->version != m->list.version
                      && now - remote->digests_sent_at >= DIGEST_AGE_MAX;
  if (remote->digests_sent_at != 0 && !list_changed
      && !digests_due (now - remote->digests_sent_at, bytes, nodes,
                       BUNDLE_DIGEST_BYTES_PER_S, BUNDLE_DIGEST_AGE_MAX))
    return false;
  remote->digests_sent_at = now;
  remote->version = m->list.version;
  return true;
}

/* Sends our region's heartbeats to another region. The heartbeat of each node goes to the
 * receiver chosen by that node's id: forwarding is the most expensive part, and the
 * choice spreads it over the receiving region. */
static void
send_bundle (KqMember *m, const KqName *region, KqTime now, KqOutbox *out)
{
  RemoteRegion *remote = remote_region (m, region);
  bool with_digests = remote != NULL && remote_digests_due (m, remote, now);
  for (size_t i = 0; i < m->list.n; i++)
    {
      KqNodeEntry *e = m->list.entries[i];
      if (!same_region (m, e) || e->node.state != KQ_NODE_ALIVE
          || e->last_heartbeat == NULL)
        continue;
      KqNodeEntry *to = choose_node (m, region, e->node.info.id);
      KqMsg msg = heartbeat_of (m, e, now);
      msg.u.heartbeat.forwarded_by = m->config.self.id;
      msg.u.heartbeat.sequence &= ~(uint64_t)KQ_HEARTBEAT_NO_DIGESTS;
      if (!with_digests || !e->has_digests)
        omit_digests (&msg);
      if (to != NULL)
        kq_outbox_send (out, to->node.info.id, &msg);
    }
}

/* Sends a bundle to each other region for which this node is the chosen sender. */
static void
send_to_remote_regions (KqMember *m, KqTime now, KqOutbox *out)
{
  KqName done[REMOTE_REGIONS_MAX];
  size_t n = 0;
  for (size_t i = 0; i < m->list.n; i++)
    {
      const KqName *region = &m->list.entries[i]->node.info.region;
      size_t k = 0;
      while (k < n && !kq_name_eq (&done[k], region))
        k++;
      if (k < n || n == REMOTE_REGIONS_MAX || same_region (m, m->list.entries[i]))
        continue;
      done[n++] = *region;
      uint64_t salt = kq_str_hash (kq_name_str (region));
      if (choose_node (m, &m->config.self.region, salt) == m->self)
        send_bundle (m, region, now, out);
    }
}

/* Sends our heartbeat to the peers of the region, with digests when they are due. */
static void
send_heartbeat (KqMember *m, KqTime now, KqOutbox *out)
{
  KqMsg msg = heartbeat_of (m, m->self, now);
  size_t peers = 0;
  for (size_t i = 0; i < m->list.n; i++)
    peers += m->list.entries[i] != m->self && same_region (m, m->list.entries[i]);
  size_t bytes = kq_digest_size (&msg.u.heartbeat);
  bool changed = m->digests_changed || m->digests_version != m->list.version;
  if (changed
      || digests_due (now - m->digests_sent_at, bytes, peers, DIGEST_BYTES_PER_S,
                      DIGEST_AGE_MAX))
    {
      m->digests_sent_at = now;
      m->digests_version = m->list.version;
      m->digests_changed = false;
    }
  else
    omit_digests (&msg);
  send_to_region (m, &msg, out);
}

static void
tick_heartbeat (KqMember *m, KqTime now, KqOutbox *out)
{
  if (now < m->next_heartbeat_at)
    return;
  m->heartbeat_number++;
  m->next_heartbeat_at = now + m->config.heartbeat_interval;
  m->self->node.heard_at = now;
  m->self->node.store_age_us = kq_member_store_silence (m, now);
  send_heartbeat (m, now, out);
  if (m->heartbeat_number % BUNDLE_INTERVALS == 0)
    send_to_remote_regions (m, now, out);
}

static void
first_tick (KqMember *m, KqTime now)
{
  m->self->listed_at = now;
  m->store_answered_at = m->store_answered ? m->store_answered_at : now;
  m->listed_at = now - LIST_WAIT;
  m->times.resumed_at = now;
}

void
kq_member_tick (KqMember *m, KqTime now, KqOutbox *out)
{
  if (m->last_tick < 0)
    first_tick (m, now);
  else if (now - m->last_tick > PAUSE_INTERVALS * m->config.heartbeat_interval)
    m->times.resumed_at = now;
  m->last_tick = now;
  m->times.store_silent = kq_member_store_silence (m, now) > m->config.lease;
  kq_node_list_update_states (&m->list, &m->times, now);
  kq_node_lease_tick (&m->lease, &m->token, now, out);
  if (m->lease.state != KQ_NODE_LEASE_REVOKED)
    tick_watch (m, now, out);
  tick_heartbeat (m, now, out);
}

/* Forwards a heartbeat from another region's bundle to our region. forwarded_by is
 * set to this node, so that nobody forwards it again. */
static void
forward_heartbeat (KqMember *m, const KqMsgHeartbeat *h, KqOutbox *out)
{
  KqNodeEntry *forwarder = kq_node_list_find (&m->list, h->forwarded_by);
  if (h->forwarded_by == 0 || (forwarder != NULL && same_region (m, forwarder)))
    return;
  KqMsg msg = { .kind = KQ_MSG_HEARTBEAT, .u.heartbeat = *h };
  msg.u.heartbeat.forwarded_by = m->config.self.id;
  send_to_region (m, &msg, out);
}

void
kq_member_heartbeat (KqMember *m, const KqMsgHeartbeat *h, KqTime now, KqOutbox *out)
{
  KqNodeEntry *e = kq_node_list_find (&m->list, h->node);
  if (e == NULL)
    {
      /* The node's address is in its key: list the keys now. */
      m->list_wanted = true;
      return;
    }
  if (e == m->self)
    return;
  /* The incarnation is compared with the last heartbeat, not with the store's list: the
   * list may name a restarted process before its first heartbeat, whose number starts at
   * 1 again. */
  if (e->last_heartbeat != NULL
      && h->incarnation == e->last_heartbeat->u.heartbeat.incarnation
      && KQ_HEARTBEAT_NUMBER (h->sequence)
             <= KQ_HEARTBEAT_NUMBER (e->last_heartbeat->u.heartbeat.sequence))
    return;
  kq_node_list_apply_heartbeat (&m->list, e, h, now);
  if (!same_region (m, e))
    forward_heartbeat (m, h, out);
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
  return m->lease.state == KQ_NODE_LEASE_HELD ? m->lease.id : 0;
}

bool
kq_member_replaced (const KqMember *m)
{
  return m->lease.state == KQ_NODE_LEASE_REPLACED;
}

bool
kq_member_peer_reaches_store (const KqMember *m, KqTime age, KqTime now)
{
  for (size_t i = 0; i < m->list.n; i++)
    {
      const KqNodeEntry *e = m->list.entries[i];
      if (e != m->self && same_region (m, e) && e->node.heard_at > 0
          && now - e->node.heard_at <= m->config.suspect_after
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
      if (e != m->self && same_region (m, e) && e->node.heard_at > 0
          && now - e->node.heard_at <= age)
        return true;
    }
  return false;
}

void
kq_member_leave (KqMember *m, KqTime now, KqOutbox *out)
{
  (void)now;
  kq_node_lease_revoke (&m->lease, &m->token, out);
}
