#include "shard/owner_state.h"

#include "base/log.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define PART "owner"
#define CALL_NUMBER_BIT 0x80000000U /* set in our call numbers, not in the journal's */

KqOwner *
kq_owner_new (const KqNodeInfo *self, uint32_t first, uint32_t n, uint64_t seed)
{
  KqOwner *o = kq_alloc (sizeof *o);
  o->self = *self;
  o->first = first;
  o->n = n;
  o->entries = kq_alloc ((n > 0 ? n : 1) * sizeof *o->entries);
  o->rand = kq_rand (seed);
  /* A random start, so that a late reply to an earlier process of this node doesn't match
   * one of our calls. */
  o->next_call_number = (uint32_t)kq_rand_next (&o->rand);
  o->times = (KqOwnerTimes){ .lease = 10 * KQ_SEC, .outage_max = 600 * KQ_SEC };
  return o;
}

void
kq_owner_free (KqOwner *o)
{
  if (o == NULL)
    return;
  free (o->entries);
  free (o->events);
  free (o);
}

void
kq_owner_set_times (KqOwner *o, const KqOwnerTimes *t)
{
  o->times = *t;
}

static KqOwnEntry *
entry_of (const KqOwner *o, uint32_t shard)
{
  return shard >= o->first && shard - o->first < o->n ? &o->entries[shard - o->first]
                                                      : NULL;
}

void
kq_owner_add_event (KqOwner *o, KqOwnerEventKind kind, uint32_t i)
{
  if (o->n_events == o->events_capacity)
    {
      o->events_capacity = o->events_capacity > 0 ? o->events_capacity * 2 : 16;
      o->events = kq_realloc (o->events, o->events_capacity * sizeof *o->events);
    }
  o->events[o->n_events++]
      = (KqOwnerEvent){ kind, o->first + i, o->entries[i].mine.epoch };
}

bool
kq_owner_event (KqOwner *o, KqOwnerEvent *e)
{
  if (o->first_event == o->n_events)
    return false;
  *e = o->events[o->first_event++];
  if (o->first_event == o->n_events)
    o->first_event = o->n_events = 0;
  return true;
}

void
kq_owner_reset_entry (KqOwner *o, uint32_t i)
{
  KqOwnEntry *e = &o->entries[i];
  if (e->holding)
    {
      kq_log (KQ_LOG_WARN, PART, "Ownership lost. shard=%u epoch=%llu", o->first + i,
              (unsigned long long)e->mine.epoch);
      o->count.lost++;
      kq_owner_add_event (o, KQ_OWNER_LOST, i);
    }
  e->holding = e->handover_sent = false;
  e->state = KQ_OWN_NONE;
  e->step = KQ_OWNER_IDLE;
  e->call_number = 0;
  e->wait_until = e->backoff = 0;
}

void
kq_owner_step_down (KqOwner *o, uint32_t shard, KqTime now)
{
  KqOwnEntry *e = entry_of (o, shard);
  if (e == NULL || !e->holding)
    return;
  if (now - e->taken_at > KQ_OWNER_STABLE_TIME)
    e->step_downs = 0;
  kq_owner_reset_entry (o, (uint32_t)(e - o->entries));
  e->uncertain = true; /* own/<shard> may still name us */
  e->wait_until = now + (KQ_OWNER_RECHECK << e->step_downs);
  if (e->step_downs < KQ_OWNER_STEP_DOWN_DOUBLINGS)
    e->step_downs++;
}

void
kq_owner_drain (KqOwner *o)
{
  o->draining = true;
  o->picked = false;
}

KqOwnState
kq_owner_state (const KqOwner *o, uint32_t shard)
{
  const KqOwnEntry *e = entry_of (o, shard);
  return e != NULL ? e->state : KQ_OWN_NONE;
}

uint64_t
kq_owner_epoch (const KqOwner *o, uint32_t shard)
{
  const KqOwnEntry *e = entry_of (o, shard);
  return e != NULL && e->holding ? e->mine.epoch : 0;
}

KqNodeId
kq_owner_wanted (const KqOwner *o, uint32_t shard)
{
  const KqOwnEntry *e = entry_of (o, shard);
  return e != NULL ? e->wanted : 0;
}

const KqOwnerCount *
kq_owner_count (const KqOwner *o)
{
  return &o->count;
}

/* Whether no other node of the region had a key in the store when we last read it. A node
 * that is cut off from all others still knows their keys, so it isn't taken for the only
 * one. */
static bool
only_node_of_region (const KqOwner *o, const KqMember *m)
{
  for (size_t k = 0; k < kq_member_count (m); k++)
    {
      const KqNode *node = kq_member_at (m, k);
      if (node->info.id != o->self.id && node->in_store
          && kq_name_eq (&node->info.region, &o->self.region))
        return false;
    }
  return true;
}

/* Whether this process was suspended until recently. What it knows of its peers is then
 * outdated, and a successor may have taken its shards. It must receive new heartbeats
 * before it may treat a silent store as an outage; until then only a live lease makes it
 * owner. */
static bool
recently_suspended (const KqOwner *o, KqTime now)
{
  return now - o->ticked_at > KQ_OWNER_HEARD_AGE (o)
         || now - o->resumed_at < KQ_OWNER_HEARD_AGE (o);
}

bool
kq_owner_valid_in_outage (const KqOwner *o, const KqMember *m, KqTime now)
{
  KqTime silence = kq_member_store_silence (m, now);
  if (kq_member_lease_live (m, now) || kq_member_lease (m) == 0)
    return false;
  if (recently_suspended (o, now))
    return false;
  /* After a short silence the store isn't away: only our lease has expired. */
  if (silence < KQ_OWNER_STORE_REACH_AGE (o) || silence > o->times.outage_max)
    return false;
  if (kq_member_peer_reaches_store (m, KQ_OWNER_STORE_REACH_AGE (o), now))
    return false;
  return kq_member_hears_region (m, KQ_OWNER_HEARD_AGE (o), now)
         || only_node_of_region (o, m);
}

/* Whether ownership that was taken under the lease id `lease` is still valid. If our
 * present lease has another id, the lease named in own/<shard> expired in between,
 * and another node may have owned the shard since. */
static bool
ownership_valid (const KqOwner *o, const KqMember *m, uint64_t lease, KqTime now)
{
  return kq_member_lease (m) == lease
         && (kq_member_lease_live (m, now) || kq_owner_valid_in_outage (o, m, now));
}

bool
kq_owner_is_mine (const KqOwner *o, uint32_t shard, const KqMember *m, KqTime now)
{
  const KqOwnEntry *e = entry_of (o, shard);
  return e != NULL && e->holding && ownership_valid (o, m, e->mine.lease, now);
}

KqNodeId
kq_owner_find_reported (const KqMember *m, uint32_t shard, uint64_t *epoch)
{
  KqNodeId id = 0;
  for (size_t k = 0; k < kq_member_count (m); k++)
    {
      const KqNode *node = kq_member_at (m, k);
      if (node->state == KQ_NODE_GONE)
        continue;
      for (size_t s = 0; s < node->n_shards; s++)
        if (node->shards[s].shard == shard && node->shards[s].epoch > *epoch)
          {
            *epoch = node->shards[s].epoch;
            id = node->info.id;
          }
    }
  return id;
}

KqNodeId
kq_owner_of (const KqOwner *o, const KqMember *m, uint32_t shard)
{
  const KqOwnEntry *e = entry_of (o, shard);
  uint64_t epoch = e != NULL && e->holding ? e->mine.epoch : 0;
  KqNodeId id = epoch > 0 ? o->self.id : 0;
  KqNodeId reported = kq_owner_find_reported (m, shard, &epoch);
  return reported != 0 ? reported : id;
}

/* Requires that our lease is live and that the list of nodes read from the store has our
 * own key. The list then also has every node that registered before us. */
bool
kq_owner_may_take_shards (const KqOwner *o, const KqMember *m, KqTime now)
{
  const KqNode *self = kq_member_find (m, o->self.id);
  return self != NULL && self->in_store && kq_member_lease (m) != 0
         && kq_member_lease_live (m, now);
}

static int
count_state (const KqOwner *o, KqOwnState state)
{
  int n = 0;
  for (uint32_t i = 0; i < o->n; i++)
    n += o->entries[i].state == state;
  return n;
}

static int
count_watches (const KqOwner *o)
{
  int n = 0;
  for (uint32_t i = 0; i < o->n; i++)
    n += o->entries[i].step == KQ_OWNER_WATCH;
  return n;
}

static bool
reported_by_peer (const KqOwner *o, uint32_t i, const KqMember *m)
{
  uint64_t epoch = 0;
  KqNodeId by = kq_owner_find_reported (m, o->first + i, &epoch);
  return by != 0 && by != o->self.id;
}

/* Begins to take a shard by reading own/<shard>; its value decides the next step
 * (owner_swap.c). */
static void
start_take (KqOwner *o, uint32_t i, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  if (now < e->wait_until || count_state (o, KQ_OWN_TAKING) >= KQ_OWNER_TAKES_MAX)
    return;
  if (reported_by_peer (o, i, m) && count_watches (o) >= KQ_OWNER_WATCHES_MAX)
    return;
  e->state = KQ_OWN_TAKING;
  e->step = KQ_OWNER_READ;
}

/* Begins a planned move of a shard of ours: another node is its wanted owner, or we
 * drain. */
static void
start_move (KqOwner *o, uint32_t i, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  int limit = o->draining ? KQ_OWNER_DRAIN_MOVES_MAX : KQ_OWNER_MOVES_MAX;
  if (o->draining ? now < o->drain_at : e->wanted == 0 || now < o->moves_allowed_at)
    return;
  if (count_state (o, KQ_OWN_RELEASING) >= limit)
    return;
  e->state = KQ_OWN_RELEASING;
  e->handover_sent = true;
  kq_owner_add_event (o, KQ_OWNER_HANDOVER, i);
}

void
kq_owner_released (KqOwner *o, uint32_t shard, KqTime now, KqOutbox *out)
{
  KqOwnEntry *e = entry_of (o, shard);
  if (e == NULL || !e->holding || e->state != KQ_OWN_RELEASING)
    return;
  e->holding = e->handover_sent = false;
  o->count.released++;
  kq_owner_start_release (o, (uint32_t)(e - o->entries));
  kq_owner_send (o, (uint32_t)(e - o->entries), now, out);
}

static void
tick_entry (KqOwner *o, uint32_t i, const KqMember *m, KqTime now)
{
  KqOwnEntry *e = &o->entries[i];
  bool wanted = e->wanted == o->self.id;
  if (e->holding && !ownership_valid (o, m, e->mine.lease, now))
    {
      kq_owner_reset_entry (o, i);
      e->uncertain = true; /* own/<shard> still names us */
    }
  /* Stop watching if we are no longer the shard's wanted owner. Also stop if no peer's
   * digest lists the shard any more: own/<shard> is then read now, as the watch may be
   * slower or silent. */
  if (e->step == KQ_OWNER_WATCH && (!wanted || !reported_by_peer (o, i, m)))
    kq_owner_reset_entry (o, i);
  if (e->step != KQ_OWNER_IDLE || !kq_owner_may_take_shards (o, m, now))
    return;
  if (e->state == KQ_OWN_NONE && wanted)
    start_take (o, i, m, now);
  else if (e->state == KQ_OWN_NONE && e->uncertain && now >= e->wait_until)
    {
      e->state = KQ_OWN_RELEASING;
      e->step = KQ_OWNER_RELEASE_READ_BACK;
    }
  else if (e->state == KQ_OWN_MINE && !wanted)
    start_move (o, i, now);
}

/* Drops shards of ours that a peer's digest lists with a higher epoch: the store ended
 * our lease early and we haven't learnt it. Without this there would be two owners for up
 * to the lease time. */
static void
step_down_superseded (KqOwner *o, const KqMember *m)
{
  for (uint32_t i = 0; i < o->n; i++)
    {
      uint64_t epoch = o->entries[i].mine.epoch;
      if (o->entries[i].holding && kq_owner_find_reported (m, o->first + i, &epoch) != 0)
        kq_owner_reset_entry (o, i);
    }
}

/* Chooses the wanted owners again when the members changed, and every KQ_OWNER_RECHECK in
 * any case, as whether a node's key is in the store may change without a new version. */
static void
update_wanted (KqOwner *o, const KqMember *m, KqTime now)
{
  if (o->draining && o->drain_at == 0)
    o->drain_at = now + KQ_OWNER_DRAIN_WAIT;
  bool changed = !o->picked || o->version != kq_member_version (m);
  if (!changed && now < o->next_pick_at)
    return;
  changed |= kq_owner_pick_all (o, m);
  step_down_superseded (o, m);
  o->picked = true;
  o->version = kq_member_version (m);
  o->next_pick_at = now + KQ_OWNER_RECHECK;
  if (!changed)
    return;
  o->moves_allowed_at = now + KQ_OWNER_SETTLE_TIME;
  for (uint32_t i = 0; i < o->n; i++)
    if (o->entries[i].state == KQ_OWN_NONE)
      o->entries[i].wait_until = o->entries[i].handover_backoff = 0;
}

void
kq_owner_tick (KqOwner *o, const KqMember *m, KqTime now, KqOutbox *out)
{
  KqStoreReply lost = { .result = KQ_ERR_STORE_UNREACHABLE };
  if (o->ticked_at == 0 || now - o->ticked_at > KQ_OWNER_HEARD_AGE (o))
    o->resumed_at = now;
  o->ticked_at = now;
  update_wanted (o, m, now);
  for (uint32_t i = 0; i < o->n; i++)
    {
      KqOwnEntry *e = &o->entries[i];
      if (e->call_number != 0 && now - e->sent_at > KQ_OWNER_REPLY_TIMEOUT)
        {
          e->call_number = 0;
          kq_owner_handle_reply (o, i, &lost, m, now);
        }
      tick_entry (o, i, m, now);
      if (e->step != KQ_OWNER_IDLE && e->call_number == 0 && now >= e->wait_until)
        kq_owner_send (o, i, now, out);
    }
}

bool
kq_owner_reply (KqOwner *o, const KqStoreReply *r, const KqMember *m, KqTime now,
                KqOutbox *out)
{
  uint32_t call_number = (uint32_t)r->token;
  KqOwnEntry *e = entry_of (o, (uint32_t)(r->token >> 32));
  if (r->part != KQ_PART_SHARD || (call_number & CALL_NUMBER_BIT) == 0 || e == NULL)
    return false;
  /* A late or repeated reply is ignored. Its call was already handled: by its first
   * reply, or as a call without an answer, whose outcome is read from the store. */
  if (e->call_number != call_number)
    return true;
  uint32_t i = (uint32_t)(e - o->entries);
  e->call_number = 0;
  kq_owner_handle_reply (o, i, r, m, now);
  if (e->step != KQ_OWNER_IDLE && e->call_number == 0 && now >= e->wait_until)
    kq_owner_send (o, i, now, out);
  return true;
}
