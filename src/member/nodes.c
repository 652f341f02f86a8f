#include "member/nodes.h"

#include "base/log.h"
#include "wire/pack.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define INFO_VERSION 1
/* How long a node that is gone and silent stays in the list, for operators to see. */
#define FORGET_AFTER (60 * KQ_SEC)

void
kq_node_info_pack (const KqNodeInfo *info, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 7);
  kq_pack_u64 (&p, INFO_VERSION);
  kq_pack_name (&p, &info->name);
  kq_pack_name (&p, &info->region);
  kq_pack_name (&p, &info->depot);
  kq_pack_name (&p, &info->mesh_address);
  kq_pack_name (&p, &info->operator_address);
  kq_pack_u64 (&p, info->incarnation);
}

static bool
unpack_info (KqStr value, KqNodeInfo *out)
{
  KqUnpacked u;
  KqReader r;
  if (!kq_unpacked_open (&u, value, &r))
    return false;
  uint64_t version = kq_read_u64 (&r);
  out->name = kq_read_name (&r);
  out->region = kq_read_name (&r);
  out->depot = kq_read_name (&r);
  out->mesh_address = kq_read_name (&r);
  out->operator_address = kq_read_name (&r);
  out->incarnation = kq_read_u64 (&r);
  out->id = kq_str_hash (kq_name_str (&out->name));
  bool ok = !r.bad && version == INFO_VERSION && out->name.len > 0;
  kq_unpacked_close (&u);
  return ok;
}

static void
free_entry (KqNodeEntry *e)
{
  kq_msg_free (e->last_heartbeat);
  free (e);
}

void
kq_node_list_clear (KqNodeList *l)
{
  for (size_t i = 0; i < l->n; i++)
    free_entry (l->entries[i]);
  l->n = 0;
}

static size_t
find_index (const KqNodeList *l, KqNodeId id)
{
  size_t i = 0;
  while (i < l->n && l->entries[i]->node.info.id < id)
    i++;
  return i;
}

KqNodeEntry *
kq_node_list_find (const KqNodeList *l, KqNodeId id)
{
  size_t i = find_index (l, id);
  return i < l->n && l->entries[i]->node.info.id == id ? l->entries[i] : NULL;
}

KqNodeEntry *
kq_node_list_put (KqNodeList *l, const KqNodeInfo *info, KqTime now)
{
  size_t i = find_index (l, info->id);
  KqNodeEntry *e;
  if (i < l->n && l->entries[i]->node.info.id == info->id)
    {
      e = l->entries[i];
      if (memcmp (&e->node.info, info, sizeof *info) != 0)
        {
          e->node.info = *info;
          l->version++;
        }
      return e;
    }
  if (l->n == KQ_NODES_MAX)
    return NULL;
  e = kq_alloc (sizeof *e);
  e->node.info = *info;
  e->listed_at = now;
  for (size_t k = l->n; k > i; k--)
    l->entries[k] = l->entries[k - 1];
  l->entries[i] = e;
  l->n++;
  l->version++;
  return e;
}

static void
set_state (KqNodeList *l, KqNodeEntry *e, KqNodeState state, KqTime now)
{
  static const char *const state_names[] = { "alive", "suspect", "gone" };
  if (e->node.state == state)
    return;
  kq_log (KQ_LOG_INFO, "member", "Node changed its state. node=%.*s from=%s to=%s",
          KQ_STR_ARG (kq_name_str (&e->node.info.name)), state_names[e->node.state],
          state_names[state]);
  e->node.state = state;
  e->state_since = now;
  l->version++;
}

static bool
in_other_region (const KqNodeList *l, const KqNodeEntry *e)
{
  return !kq_name_eq (&e->node.info.region, &l->region);
}

/* Time without a heartbeat during which this process could have received one. */
static KqTime
silence (const KqNodeEntry *e, const KqNodeTimes *t, KqTime now)
{
  KqTime from = e->node.heard_at > e->listed_at ? e->node.heard_at : e->listed_at;
  if (t->resumed_at > from)
    from = t->resumed_at;
  return now - from;
}

static bool
is_suspect (const KqNodeList *l, const KqNodeEntry *e, const KqNodeTimes *t, KqTime now)
{
  KqTime limit = in_other_region (l, e) ? t->remote_suspect_after : t->suspect_after;
  if (silence (e, t, now) > limit)
    return true;
  /* The connection was lost and no heartbeat has arrived since, as when the process was
   * killed: no need to wait for the limit. Two heartbeats' time allows a reconnection. */
  return !in_other_region (l, e) && e->link_lost_at > e->node.heard_at
         && now - e->link_lost_at > 2 * t->heartbeat_interval;
}

static void
add_stored_node (KqNodeList *l, const KqStoreItem *item, const KqNodeTimes *t, KqTime now)
{
  KqNodeInfo info;
  KqStr name = item->key;
  kq_str_cut (&name, '/');
  if (!unpack_info (item->value, &info) || !kq_str_eq (kq_name_str (&info.name), name))
    {
      kq_log (KQ_LOG_WARN, "member", "A node's value can't be read. key=%.*s",
              KQ_STR_ARG (item->key));
      return;
    }
  KqNodeEntry *e = kq_node_list_put (l, &info, now);
  if (e == NULL)
    return;
  e->node.in_store = true;
  if (e->node.state == KQ_NODE_GONE)
    {
      e->listed_at = now;
      set_state (l, e, KQ_NODE_ALIVE, now);
    }
  if (e->node.state == KQ_NODE_ALIVE && is_suspect (l, e, t, now))
    set_state (l, e, KQ_NODE_SUSPECT, now);
}

/* A hash over the nodes whose keys are in the store. */
static uint64_t
stored_keys_hash (const KqNodeList *l)
{
  uint64_t hash = 0;
  for (size_t i = 0; i < l->n; i++)
    {
      if (l->entries[i]->node.in_store)
        hash = kq_hash2 (hash, l->entries[i]->node.info.id);
    }
  return hash;
}

uint64_t
kq_node_list_apply_store (KqNodeList *l, const KqStoreItem *items, size_t n,
                          const KqNodeTimes *t, KqTime now)
{
  uint64_t other_revision = 0;
  KqNodeEntry *self = kq_node_list_find (l, l->self);
  uint64_t before = stored_keys_hash (l);
  for (size_t i = 0; i < l->n; i++)
    l->entries[i]->node.in_store = false;
  for (size_t i = 0; i < n; i++)
    {
      KqNodeInfo info;
      if (unpack_info (items[i].value, &info) && info.id == l->self)
        {
          self->node.in_store = true;
          if (info.incarnation != self->node.info.incarnation)
            other_revision = items[i].revision;
          continue;
        }
      add_stored_node (l, &items[i], t, now);
    }
  for (size_t i = 0; i < l->n; i++)
    {
      KqNodeEntry *e = l->entries[i];
      /* After a store outage all leases have expired and all keys are missing for a short
       * time. If that counted at once, each node would take over the others' shards. A
       * node that is still heard writes its key again within seconds. */
      bool may_return = now < t->removal_allowed_at && e->node.state == KQ_NODE_ALIVE;
      if (e != self && !e->node.in_store && !may_return)
        set_state (l, e, KQ_NODE_GONE, now);
    }
  /* Which node may own a shard depends on the keys. Without a new version the only node
   * of a region wouldn't notice that its own key has appeared and would take no shard. */
  if (stored_keys_hash (l) != before)
    l->version++;
  return other_revision;
}

void
kq_node_list_update_states (KqNodeList *l, const KqNodeTimes *t, KqTime now)
{
  size_t kept = 0;
  for (size_t i = 0; i < l->n; i++)
    {
      KqNodeEntry *e = l->entries[i];
      if (e->node.info.id != l->self && e->node.state != KQ_NODE_GONE)
        {
          bool suspected = is_suspect (l, e, t, now);
          if (t->store_silent && silence (e, t, now) > t->lease)
            set_state (l, e, KQ_NODE_GONE, now);
          else if (!e->node.in_store && !t->store_silent && now >= t->removal_allowed_at)
            set_state (l, e, KQ_NODE_GONE, now);
          else
            set_state (l, e, suspected ? KQ_NODE_SUSPECT : KQ_NODE_ALIVE, now);
        }
      if (e->node.state == KQ_NODE_GONE && !t->store_silent && !e->node.in_store
          && now - e->state_since > FORGET_AFTER && now - e->node.heard_at > FORGET_AFTER)
        {
          free_entry (e);
          l->version++;
        }
      else
        l->entries[kept++] = e;
    }
  l->n = kept;
}

/* Packed sizes of a digest's parts, with names of about ten bytes. */
#define SHARD_BYTES 50
#define SERVICE_BYTES 27
#define TEAM_BYTES 36

size_t
kq_digest_size (const KqMsgHeartbeat *h)
{
  size_t size = h->n_shards * SHARD_BYTES;
  for (size_t i = 0; i < h->n_shards; i++)
    size += h->shards[i].n_services * SERVICE_BYTES + h->shards[i].n_teams * TEAM_BYTES;
  return size;
}

bool
kq_heartbeat_omits_digests (const KqMsgHeartbeat *h)
{
  return (h->sequence & KQ_HEARTBEAT_NO_DIGESTS) != 0;
}

/* Stores the heartbeat as the node's last one. If it is sent without digests, those that
 * the same process sent before are kept. */
static void
store_heartbeat (KqNodeEntry *e, const KqMsgHeartbeat *h)
{
  KqMsg m = { .kind = KQ_MSG_HEARTBEAT, .u.heartbeat = *h };
  KqMsgHeartbeat *stored
      = e->last_heartbeat != NULL ? &e->last_heartbeat->u.heartbeat : NULL;
  if (kq_heartbeat_omits_digests (h) && stored != NULL
      && stored->incarnation == h->incarnation)
    {
      KqShardDigest *shards = stored->shards;
      size_t n = stored->n_shards;
      *stored = *h;
      stored->shards = shards;
      stored->n_shards = n;
      return;
    }
  e->has_digests = !kq_heartbeat_omits_digests (h);
  kq_msg_free (e->last_heartbeat);
  e->last_heartbeat = kq_msg_copy (&m);
}

void
kq_node_list_apply_heartbeat (KqNodeList *l, KqNodeEntry *e, const KqMsgHeartbeat *h,
                              KqTime now)
{
  store_heartbeat (e, h);
  e->node.shards = e->last_heartbeat->u.heartbeat.shards;
  e->node.n_shards = e->last_heartbeat->u.heartbeat.n_shards;
  if (e->node.draining != h->draining)
    l->version++;
  e->node.draining = h->draining;
  e->node.table_revision = h->table_revision;
  e->node.store_age_us = h->store_age_us;
  if (e->node.info.incarnation != h->incarnation)
    {
      e->node.info.incarnation = h->incarnation;
      l->version++;
    }
  e->node.heard_at = now;
  e->link_lost_at = 0;
  /* A node that is gone for lack of heartbeats (the store was away) returns with a
   * heartbeat. One that is gone because its key is missing returns with its key. */
  if (e->node.state == KQ_NODE_SUSPECT
      || (e->node.state == KQ_NODE_GONE && e->node.in_store))
    set_state (l, e, KQ_NODE_ALIVE, now);
}
