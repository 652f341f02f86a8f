#include "node/core_state.h"

#include "node/shard_map.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Routing of messages between nodes, and the shards' digests in heartbeats. */

/* Stands for no particular shard: in a JOB_SUBMIT whose shard isn't chosen yet, and in
 * the digest of a node without active shards. */
#define SHARD_ANY UINT32_MAX

/* Returns the shard's digest with the highest epoch in the nodes' heartbeats, or NULL.
 * Sets *owner to the node that sent that digest, if owner isn't NULL. */
static const KqShardDigest *
find_owner_digest (const KqCore *c, uint32_t shard, const KqNode **owner)
{
  const KqShardDigest *best = NULL;
  for (size_t i = 0; i < kq_member_count (c->member); i++)
    {
      const KqNode *n = kq_member_at (c->member, i);
      for (size_t k = 0; k < n->n_shards && n->state != KQ_NODE_GONE; k++)
        {
          const KqShardDigest *d = &n->shards[k];
          if (d->shard != shard || (best != NULL && d->epoch <= best->epoch))
            continue;
          best = d;
          if (owner != NULL)
            *owner = n;
        }
    }
  return best;
}

static const KqShardDigest *
find_digest (const KqCore *c, uint32_t shard)
{
  return find_owner_digest (c, shard, NULL);
}

/* Whether the node's digests show services. */
static bool
serves_requests (const KqNode *n)
{
  for (size_t i = 0; i < n->n_shards; i++)
    {
      if (n->shards[i].n_services > 0)
        return true;
    }
  return false;
}

bool
kq_core_has_successor (const KqCore *c, uint32_t shard)
{
  const KqNode *owner = NULL;
  const KqShardDigest *d = find_owner_digest (c, shard, &owner);
  if (d == NULL || d->epoch <= kq_shard_epoch (c->shards[shard - c->first_shard]))
    return false;
  /* A new owner's heartbeat may show the shard up to one heartbeat before it shows the
   * services of the shard's runners. */
  return c->n_services == 0 || serves_requests (owner);
}

static bool
fits (const KqSize *room, const KqSize *size)
{
  return size->cpu_milli <= room->cpu_milli && size->memory_mb <= room->memory_mb
         && size->accelerators <= room->accelerators;
}

/* The cost of placing a job in a shard. If a worker has room for the job now, the cost is
 * the number of queued jobs; otherwise it is 1000000 or more, and grows with the queued
 * jobs per worker. INT64_MAX if the job doesn't fit even into the largest worker when
 * empty. */
static int64_t
shard_cost (const KqShardDigest *d, const KqSize *size)
{
  if (d == NULL || d->workers == 0 || !fits (&d->largest_capacity, size))
    return INT64_MAX;
  if (fits (&d->largest_free, size))
    return d->queued_jobs;
  return 1000000 + (int64_t)d->queued_jobs * 1000 / d->workers;
}

/* Chooses the shard of a job without an idempotency key: the cheaper of two random shards
 * of this region, or the first shard that can hold the job if neither of them can.
 * Choosing among all shards would make every entry node send to the one that the last
 * digests showed as the emptiest. */
static uint32_t
choose_shard (KqCore *c, const KqJobSpec *spec)
{
  uint32_t best = c->first_shard + (uint32_t)kq_rand_below (&c->rand, c->n_shards);
  uint32_t other = c->first_shard + (uint32_t)kq_rand_below (&c->rand, c->n_shards);
  int64_t cost = shard_cost (find_digest (c, best), &spec->size);
  int64_t other_cost = shard_cost (find_digest (c, other), &spec->size);
  if (other_cost < cost)
    {
      best = other;
      cost = other_cost;
    }
  for (uint32_t i = 0; i < c->n_shards && cost == INT64_MAX; i++)
    {
      cost = shard_cost (find_digest (c, c->first_shard + i), &spec->size);
      if (cost != INT64_MAX)
        best = c->first_shard + i;
    }
  return best;
}

/* Chooses the shard and the id of a job, unless the message has a shard already. */
static void
choose_shard_and_id (KqCore *c, KqMsgJobSubmit *s)
{
  uint64_t low_bits;
  if (s->shard != SHARD_ANY)
    return;
  if (s->spec.key.len > 0)
    {
      KqStr team = kq_name_str (&s->spec.team);
      KqStr key = kq_name_str (&s->spec.key);
      s->shard = kq_shard_of_key (c->config.settings, team, key);
      low_bits = kq_hash2 (kq_str_hash (key), kq_str_hash (team));
    }
  else
    {
      s->shard = choose_shard (c, &s->spec);
      low_bits = kq_rand_next (&c->rand);
    }
  s->job = (KqJobId)s->shard << 48 | (low_bits & 0xffffffffffffULL);
}

static uint32_t
shard_of_message (const KqMsg *m)
{
  switch (m->kind)
    {
    case KQ_MSG_JOB_SUBMIT:
      return m->u.job_submit.shard;
    case KQ_MSG_JOB_CALL:
      return m->u.job_call.shard;
    case KQ_MSG_JOB_MOVE:
      return m->u.job_move.shard;
    case KQ_MSG_JOB_MOVED:
      return m->u.job_moved.shard;
    case KQ_MSG_CLAIM_BEGIN:
      return m->u.claim_begin.shard;
    default:
      assert (m->kind == KQ_MSG_CLAIM_DONE);
      return m->u.claim_done.shard;
    }
}

/* Answers that the message wasn't carried out: the shard has no owner, or its owner can't
 * accept it now. */
static void
send_refusal (const KqMsg *m, KqResult code, KqOutbox *out)
{
  KqMsg r = { 0 };
  KqNodeId to = 0;
  switch (m->kind)
    {
    case KQ_MSG_JOB_SUBMIT:
    case KQ_MSG_JOB_CALL:
      r.kind = KQ_MSG_JOB_REPLY;
      to = m->kind == KQ_MSG_JOB_SUBMIT ? m->u.job_submit.reply_to
                                        : m->u.job_call.reply_to;
      r.u.answer.call
          = m->kind == KQ_MSG_JOB_SUBMIT ? m->u.job_submit.call : m->u.job_call.call;
      r.u.answer.code = code;
      break;
    case KQ_MSG_CLAIM_BEGIN:
      r.kind = KQ_MSG_CLAIM_REPLY;
      to = m->u.claim_begin.flight.node;
      r.u.claim_reply.flight = m->u.claim_begin.flight;
      r.u.claim_reply.verdict = KQ_CLAIM_REFUSED;
      r.u.claim_reply.code = KQ_ERR_CLAIM_UNAVAILABLE;
      break;
    default:
      /* No answer is needed: the end of a claim is reported again or follows from the
       * grace time, and a job's move is repeated. */
      return;
    }
  kq_outbox_send (out, to, &r);
}

/* Delivers the message to the shard if this node owns it, otherwise sends it to the
 * owner. A message from another node isn't forwarded again: two nodes with different
 * views of the ownership would send it back and forth. */
static void
route_to_shard (KqCore *c, KqNodeId from, const KqMsg *m, KqTime now, KqOutbox *out)
{
  uint32_t shard = shard_of_message (m);
  KqShard *s = kq_core_owned_shard (c, shard, now);
  KqNodeId owner;
  if (s != NULL && kq_shard_state (s) == KQ_SHARD_ACTIVE)
    {
      kq_shard_message (s, m, now, out);
      return;
    }
  owner = kq_owner_of (c->owner, c->member, shard);
  if (owner == 0 || owner == c->config.self.id || from != c->config.self.id)
    send_refusal (m, KQ_ERR_NO_OWNER, out);
  else
    kq_outbox_send (out, owner, m);
}

static bool
in_other_region (const KqCore *c, const KqNode *n)
{
  return !kq_name_eq (&n->info.region, &c->config.self.region);
}

static void
handle_heartbeat (KqCore *c, const KqMsgHeartbeat *h, KqTime now, KqOutbox *out)
{
  const KqNode *n;
  kq_member_heartbeat (c->member, h, now, out);
  n = kq_member_find (c->member, h->node);
  if (n != NULL && h->node != c->config.self.id)
    kq_table_dist_peer_revision (c->dist, h->node, h->table_revision,
                                 in_other_region (c, n), now, out);
}

void
kq_core_message (KqCore *c, KqNodeId from, const KqMsg *m, KqTime now, KqOutbox *out)
{
  KqMsg copy;
  switch (m->kind)
    {
    case KQ_MSG_HEARTBEAT:
      handle_heartbeat (c, &m->u.heartbeat, now, out);
      break;
    case KQ_MSG_TABLE:
    case KQ_MSG_TABLE_REQUEST:
      kq_table_dist_message (c->dist, from, m, now, out);
      break;
    case KQ_MSG_JOB_SUBMIT:
      copy = *m;
      choose_shard_and_id (c, &copy.u.job_submit);
      route_to_shard (c, from, &copy, now, out);
      break;
    case KQ_MSG_JOB_CALL:
    case KQ_MSG_JOB_MOVE:
    case KQ_MSG_JOB_MOVED:
    case KQ_MSG_CLAIM_BEGIN:
    case KQ_MSG_CLAIM_DONE:
      route_to_shard (c, from, m, now, out);
      break;
    default:
      assert (!"message kind not handled by the core");
      break;
    }
}

/* Gives each active shard the digests of all other shards, for team usage and sizes. */
static void
share_digests (KqCore *c, KqTime now)
{
  uint32_t total = (uint32_t)kq_settings_total_shards (c->config.settings);
  KqShardDigest *all = kq_alloc (total * sizeof *all);
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      size_t n = 0;
      if (kq_shard_state (c->shards[i]) != KQ_SHARD_ACTIVE)
        continue;
      for (uint32_t s = 0; s < total; s++)
        {
          const KqShardDigest *d = s != c->first_shard + i ? find_digest (c, s) : NULL;
          if (d != NULL)
            all[n++] = *d;
        }
      kq_shard_set_other_digests (c->shards[i], all, n, now);
    }
  free (all);
}

void
kq_core_update_digests (KqCore *c, KqTime now)
{
  KqShardDigest *own;
  size_t n = 0;
  if (now < c->digests_due_at)
    return;
  c->digests_due_at = now + c->config.settings->heartbeat_ms * KQ_MS / 2;
  own = kq_alloc ((c->n_shards + 1) * sizeof *own);
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      if (kq_core_owned_shard (c, c->first_shard + i, now) != NULL
          && kq_shard_digest (c->shards[i], now, &own[n]))
        n++;
    }
  /* The node has one dispatcher for all its shards: the service digests are sent with the
   * first shard, or with a placeholder while the node only serves the runners of shards
   * that it has just lost. */
  if (n == 0 && c->n_services > 0)
    own[n++] = (KqShardDigest){ .shard = SHARD_ANY };
  if (n > 0)
    {
      own[0].services = c->services;
      own[0].n_services = c->n_services;
    }
  kq_member_set_digest (c->member, own, n, kq_table_dist_revision (c->dist), c->draining);
  free (own);
  share_digests (c, now);
}

static AnnouncedNode *
find_announced (KqCore *c, KqNodeId id)
{
  for (size_t i = 0; i < c->n_announced; i++)
    {
      if (c->announced[i].id == id)
        return &c->announced[i];
    }
  return NULL;
}

static void
announce_node (KqCore *c, const KqNode *n)
{
  KqNotice *notice = kq_core_add_notice (c, KQ_NOTICE_NODE);
  notice->node = *n;
  notice->node.shards = NULL;
  notice->node.n_shards = 0;
}

/* Tells this node's shards that the process of a node has died or was restarted: nobody
 * will report the end of the claims that the former process opened. */
static void
notify_node_gone (KqCore *c, KqNodeId id, uint64_t incarnation, KqTime now, KqOutbox *out)
{
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      if (kq_core_owned_shard (c, c->first_shard + i, now) != NULL)
        kq_shard_node_gone (c->shards[i], id, incarnation, now, out);
    }
}

static void
announce_if_changed (KqCore *c, const KqNode *n, KqTime now, KqOutbox *out)
{
  AnnouncedNode *a = find_announced (c, n->info.id);
  if (a == NULL && c->n_announced < KQ_NODES_MAX)
    {
      a = &c->announced[c->n_announced++];
      *a = (AnnouncedNode){ n->info.id, KQ_NODE_GONE, false, n->info.incarnation };
    }
  if (a == NULL)
    return;
  if (a->incarnation != n->info.incarnation)
    notify_node_gone (c, a->id, a->incarnation, now, out);
  else if (a->state != KQ_NODE_GONE && n->state == KQ_NODE_GONE)
    notify_node_gone (c, a->id, a->incarnation, now, out);
  if (a->state != n->state || a->draining != n->draining
      || a->incarnation != n->info.incarnation)
    announce_node (c, n);
  *a = (AnnouncedNode){ n->info.id, n->state, n->draining, n->info.incarnation };
}

static void
announce_removed (KqCore *c, size_t i, KqTime now, KqOutbox *out)
{
  KqNode gone = { .state = KQ_NODE_GONE };
  gone.info.id = c->announced[i].id;
  notify_node_gone (c, c->announced[i].id, c->announced[i].incarnation, now, out);
  announce_node (c, &gone);
  c->announced[i] = c->announced[--c->n_announced];
}

void
kq_core_announce_nodes (KqCore *c, KqTime now, KqOutbox *out)
{
  uint64_t version = kq_member_version (c->member);
  if (version == c->announced_version)
    return;
  c->announced_version = version;
  for (size_t i = 0; i < kq_member_count (c->member); i++)
    announce_if_changed (c, kq_member_at (c->member, i), now, out);
  for (size_t i = c->n_announced; i > 0; i--)
    {
      if (kq_member_find (c->member, c->announced[i - 1].id) == NULL)
        announce_removed (c, i - 1, now, out);
    }
}
