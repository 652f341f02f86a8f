#include "node/core_state.h"

#include "node/shard_map.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Messages between nodes and what the digests say. */

#define SHARD_ANY UINT32_MAX

/* The digest of a shard as its present owner last told it, or NULL. owner: set if not
 * NULL. */
static const KqShardDigest *
find_told_by (const KqCore *c, uint32_t shard, const KqNode **owner)
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
  return find_told_by (c, shard, NULL);
}

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
  const KqShardDigest *d = find_told_by (c, shard, &owner);
  if (d == NULL || d->epoch <= kq_shard_host_epoch (c->hosts[shard - c->first]))
    return false;
  /* A new owner's shard is heard up to a beat before the lines of its runners. */
  return c->n_services == 0 || serves_requests (owner);
}

static bool
fits (const KqSize *room, const KqSize *size)
{
  return size->cpu_milli <= room->cpu_milli && size->memory_mb <= room->memory_mb
         && size->accelerators <= room->accelerators;
}

/* How good a shard is for a job; lower is better. A shard whose largest worker can't
 * ever hold it comes last, one without room now by its queue. */
static int64_t
shard_cost (const KqShardDigest *d, const KqSize *size)
{
  if (d == NULL || d->workers == 0 || !fits (&d->largest_whole, size))
    return INT64_MAX;
  if (fits (&d->largest_free, size))
    return d->queued_jobs;
  return 1000000 + (int64_t)d->queued_jobs * 1000 / d->workers;
}

/* Without a key: of two shards of our region drawn at random the cheaper one, or the
 * best of all when neither can ever hold the job. Two choices keep all entry nodes from
 * sending everything to the one shard that the last digests showed as the emptiest. */
static uint32_t
choose_shard (KqCore *c, const KqJobSpec *spec)
{
  uint32_t best = c->first + (uint32_t)kq_rand_below (&c->rand, c->n_shards);
  uint32_t other = c->first + (uint32_t)kq_rand_below (&c->rand, c->n_shards);
  int64_t cost = shard_cost (find_digest (c, best), &spec->size);
  int64_t cost2 = shard_cost (find_digest (c, other), &spec->size);
  if (cost2 < cost)
    {
      best = other;
      cost = cost2;
    }
  for (uint32_t i = 0; i < c->n_shards && cost == INT64_MAX; i++)
    {
      cost = shard_cost (find_digest (c, c->first + i), &spec->size);
      if (cost != INT64_MAX)
        best = c->first + i;
    }
  return best;
}

static void
fill_submit (KqCore *c, KqMsgJobSubmit *s)
{
  uint64_t low;
  if (s->shard != SHARD_ANY)
    return;
  if (s->spec.key.len > 0)
    {
      KqStr team = kq_name_str (&s->spec.team);
      KqStr key = kq_name_str (&s->spec.key);
      s->shard = kq_shard_of_key (c->config.settings, team, key);
      low = kq_hash2 (kq_str_hash (key), kq_str_hash (team));
    }
  else
    {
      s->shard = choose_shard (c, &s->spec);
      low = kq_rand_next (&c->rand);
    }
  s->job = (KqJobId)s->shard << 48 | (low & 0xffffffffffffULL);
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

/* Nobody owns the shard, or the one who does can't take it now: it did not run. */
static void
refuse (const KqMsg *m, KqResult code, KqOutbox *out)
{
  KqMsg r = { 0 };
  KqNodeId to = 0;
  switch (m->kind)
    {
    case KQ_MSG_JOB_SUBMIT:
    case KQ_MSG_JOB_CALL:
      r.kind = KQ_MSG_JOB_REPLY;
      to = m->kind == KQ_MSG_JOB_SUBMIT ? m->u.job_submit.asker : m->u.job_call.asker;
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
      return; /* the end of a claim: a later word or the grace time settles it; a move is
                 repeated */
    }
  kq_outbox_send (out, to, &r);
}

/* To the shard's owner: ourselves, or one hop further. A message that has come from
 * another node is not passed on again, so that two nodes with different views don't send
 * it to and fro. */
static void
to_shard (KqCore *c, KqNodeId from, const KqMsg *m, KqTime now, KqOutbox *out)
{
  uint32_t shard = shard_of_message (m);
  KqShardHost *h = kq_core_mine (c, shard, now);
  KqNodeId owner;
  if (h != NULL && kq_shard_host_state (h) == KQ_HOST_ACTIVE)
    {
      kq_shard_host_message (h, m, now, out);
      return;
    }
  owner = kq_owner_of (c->owner, c->member, shard);
  if (owner == 0 || owner == c->config.self.id || from != c->config.self.id)
    refuse (m, KQ_ERR_NO_OWNER, out);
  else
    kq_outbox_send (out, owner, m);
}

static bool
is_far (const KqCore *c, const KqNode *n)
{
  return !kq_name_eq (&n->info.region, &c->config.self.region);
}

static void
take_heartbeat (KqCore *c, const KqMsgHeartbeat *h, KqTime now, KqOutbox *out)
{
  const KqNode *n;
  kq_member_heartbeat (c->member, h, now, out);
  n = kq_member_find (c->member, h->node);
  if (n != NULL && h->node != c->config.self.id)
    kq_table_dist_peer (c->dist, h->node, h->table_revision, is_far (c, n), now, out);
}

void
kq_core_message (KqCore *c, KqNodeId from, const KqMsg *m, KqTime now, KqOutbox *out)
{
  KqMsg copy;
  switch (m->kind)
    {
    case KQ_MSG_HEARTBEAT:
      take_heartbeat (c, &m->u.heartbeat, now, out);
      break;
    case KQ_MSG_TABLE:
    case KQ_MSG_TABLE_WANT:
      kq_table_dist_message (c->dist, from, m, now, out);
      break;
    case KQ_MSG_JOB_SUBMIT:
      copy = *m;
      fill_submit (c, &copy.u.job_submit);
      to_shard (c, from, &copy, now, out);
      break;
    case KQ_MSG_JOB_CALL:
    case KQ_MSG_JOB_MOVE:
    case KQ_MSG_JOB_MOVED:
    case KQ_MSG_CLAIM_BEGIN:
    case KQ_MSG_CLAIM_DONE:
      to_shard (c, from, m, now, out);
      break;
    default:
      assert (!"a message the core doesn't take");
      break;
    }
}

/* Tells the shards what the others' digests say of teams and sizes. */
static void
tell_others (KqCore *c, KqTime now)
{
  uint32_t total = (uint32_t)kq_settings_total_shards (c->config.settings);
  KqShardDigest *all = kq_alloc (total * sizeof *all);
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      size_t n = 0;
      if (kq_shard_host_state (c->hosts[i]) != KQ_HOST_ACTIVE)
        continue;
      for (uint32_t s = 0; s < total; s++)
        {
          const KqShardDigest *d = s != c->first + i ? find_digest (c, s) : NULL;
          if (d != NULL)
            all[n++] = *d;
        }
      kq_shard_host_set_others (c->hosts[i], all, n, now);
    }
  free (all);
}

void
kq_core_update_digests (KqCore *c, KqTime now)
{
  KqShardDigest *own;
  size_t n = 0;
  if (now < c->digest_at)
    return;
  c->digest_at = now + c->config.settings->heartbeat_ms * KQ_MS / 2;
  own = kq_alloc ((c->n_shards + 1) * sizeof *own);
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      if (kq_core_mine (c, c->first + i, now) != NULL
          && kq_shard_host_digest (c->hosts[i], now, &own[n]))
        n++;
    }
  /* The dispatcher is one for all our shards; its lines ride on the first of them, or on
   * one that is none while it serves the runners of shards just lost. */
  if (n == 0 && c->n_services > 0)
    own[n++] = (KqShardDigest){ .shard = SHARD_ANY };
  if (n > 0)
    {
      own[0].services = c->services;
      own[0].n_services = c->n_services;
    }
  kq_member_set_digest (c->member, own, n, kq_table_dist_revision (c->dist), c->draining);
  free (own);
  tell_others (c, now);
}

static ToldNode *
find_told (KqCore *c, KqNodeId id)
{
  for (size_t i = 0; i < c->n_told; i++)
    {
      if (c->told[i].id == id)
        return &c->told[i];
    }
  return NULL;
}

static void
tell_node (KqCore *c, const KqNode *n)
{
  KqNotice *notice = kq_core_add_notice (c, KQ_NOTICE_NODE);
  notice->node = *n;
  notice->node.shards = NULL;
  notice->node.n_shards = 0;
}

/* A node whose process died, or was started anew: the claims that the former process
 * opened have no one left to report their end. */
static void
node_gone (KqCore *c, KqNodeId id, uint64_t incarnation, KqTime now, KqOutbox *out)
{
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      if (kq_core_mine (c, c->first + i, now) != NULL)
        kq_shard_host_node_gone (c->hosts[i], id, incarnation, now, out);
    }
}

static void
compare_node (KqCore *c, const KqNode *n, KqTime now, KqOutbox *out)
{
  ToldNode *t = find_told (c, n->info.id);
  if (t == NULL && c->n_told < KQ_NODES_MAX)
    {
      t = &c->told[c->n_told++];
      *t = (ToldNode){ n->info.id, KQ_NODE_GONE, false, n->info.incarnation };
    }
  if (t == NULL)
    return;
  if (t->incarnation != n->info.incarnation)
    node_gone (c, t->id, t->incarnation, now, out);
  else if (t->state != KQ_NODE_GONE && n->state == KQ_NODE_GONE)
    node_gone (c, t->id, t->incarnation, now, out);
  if (t->state != n->state || t->draining != n->draining
      || t->incarnation != n->info.incarnation)
    tell_node (c, n);
  *t = (ToldNode){ n->info.id, n->state, n->draining, n->info.incarnation };
}

static void
forget_told (KqCore *c, size_t i, KqTime now, KqOutbox *out)
{
  KqNode gone = { .state = KQ_NODE_GONE };
  gone.info.id = c->told[i].id;
  node_gone (c, c->told[i].id, c->told[i].incarnation, now, out);
  tell_node (c, &gone);
  c->told[i] = c->told[--c->n_told];
}

void
kq_core_tell_nodes (KqCore *c, KqTime now, KqOutbox *out)
{
  uint64_t version = kq_member_version (c->member);
  if (version == c->member_version)
    return;
  c->member_version = version;
  for (size_t i = 0; i < kq_member_count (c->member); i++)
    compare_node (c, kq_member_at (c->member, i), now, out);
  for (size_t i = c->n_told; i > 0; i--)
    {
      if (kq_member_find (c->member, c->told[i - 1].id) == NULL)
        forget_told (c, i - 1, now, out);
    }
}
