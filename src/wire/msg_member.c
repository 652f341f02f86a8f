#include "wire/msg_fields.h"

/* Longer arrays (shards, services, teams) are refused as malformed. */
#define DIGEST_ENTRIES_MAX 4096

void
kq_put_size (KqPacker *p, const KqSize *s)
{
  kq_pack_i64 (p, s->cpu_milli);
  kq_pack_i64 (p, s->memory_mb);
  kq_pack_i64 (p, s->accelerators);
}

KqSize
kq_get_size (KqReader *r)
{
  KqSize s;
  s.cpu_milli = kq_read_i64 (r);
  s.memory_mb = kq_read_i64 (r);
  s.accelerators = kq_read_i64 (r);
  return s;
}

static void
put_service (KqPacker *p, const KqServiceDigest *d)
{
  kq_pack_array (p, 6);
  kq_pack_name (p, &d->service);
  kq_pack_i64 (p, d->slots);
  kq_pack_i64 (p, d->busy);
  kq_pack_i64 (p, d->queued);
  kq_pack_i64 (p, d->work_us);
  kq_pack_i64 (p, d->p50_us);
}

static void
get_service (KqReader *r, KqServiceDigest *d)
{
  KqReader f;
  kq_read_array (r, &f);
  d->service = kq_read_name (&f);
  d->slots = (int32_t)kq_read_i64 (&f);
  d->busy = (int32_t)kq_read_i64 (&f);
  d->queued = (int32_t)kq_read_i64 (&f);
  d->work_us = kq_read_i64 (&f);
  d->p50_us = kq_read_i64 (&f);
  kq_read_array_end (r, &f);
}

static void
put_team (KqPacker *p, const KqTeamDigest *d)
{
  kq_pack_array (p, 7);
  kq_pack_name (p, &d->team);
  kq_put_size (p, &d->used);
  kq_put_size (p, &d->queued);
}

static void
get_team (KqReader *r, KqTeamDigest *d)
{
  KqReader f;
  kq_read_array (r, &f);
  d->team = kq_read_name (&f);
  d->used = kq_get_size (&f);
  d->queued = kq_get_size (&f);
  kq_read_array_end (r, &f);
}

static void
put_shard (KqPacker *p, const KqShardDigest *d)
{
  kq_pack_array (p, 17);
  kq_pack_u64 (p, d->shard);
  kq_pack_u64 (p, d->epoch);
  kq_pack_name (p, &d->depot);
  kq_put_size (p, &d->free);
  kq_put_size (p, &d->largest_free);
  kq_put_size (p, &d->largest_capacity);
  kq_pack_i64 (p, d->workers);
  kq_pack_i64 (p, d->queued_jobs);
  kq_pack_i64 (p, d->running_tasks);
  kq_pack_array (p, d->n_services);
  for (size_t i = 0; i < d->n_services; i++)
    put_service (p, &d->services[i]);
  kq_pack_array (p, d->n_teams);
  for (size_t i = 0; i < d->n_teams; i++)
    put_team (p, &d->teams[i]);
}

static void
get_services (KqReader *f, KqShardDigest *d)
{
  KqReader a;
  kq_read_array (f, &a);
  if (a.left > DIGEST_ENTRIES_MAX)
    a.bad = true;
  else if (a.left > 0)
    d->services = kq_alloc (a.left * sizeof *d->services);
  while (!a.bad && a.left > 0)
    get_service (&a, &d->services[d->n_services++]);
  kq_read_array_end (f, &a);
}

static void
get_teams (KqReader *f, KqShardDigest *d)
{
  KqReader a;
  kq_read_array (f, &a);
  if (a.left > DIGEST_ENTRIES_MAX)
    a.bad = true;
  else if (a.left > 0)
    d->teams = kq_alloc (a.left * sizeof *d->teams);
  while (!a.bad && a.left > 0)
    get_team (&a, &d->teams[d->n_teams++]);
  kq_read_array_end (f, &a);
}

static void
get_shard (KqReader *r, KqShardDigest *d)
{
  KqReader f;
  kq_read_array (r, &f);
  d->shard = (uint32_t)kq_read_u64 (&f);
  d->epoch = kq_read_u64 (&f);
  d->depot = kq_read_name (&f);
  d->free = kq_get_size (&f);
  d->largest_free = kq_get_size (&f);
  d->largest_capacity = kq_get_size (&f);
  d->workers = (int32_t)kq_read_i64 (&f);
  d->queued_jobs = (int32_t)kq_read_i64 (&f);
  d->running_tasks = (int32_t)kq_read_i64 (&f);
  get_services (&f, d);
  get_teams (&f, d);
  kq_read_array_end (r, &f);
}

static void
put_hello (KqPacker *p, const KqMsgHello *h)
{
  kq_pack_array (p, 9);
  kq_pack_str (p, h->cluster);
  kq_pack_u64 (p, h->version);
  kq_pack_str (p, h->node);
  kq_pack_u64 (p, h->node_id);
  kq_pack_u64 (p, h->incarnation);
  kq_pack_str (p, h->region);
  kq_pack_str (p, h->depot);
  kq_pack_u64 (p, h->nonce);
  kq_pack_str (p, h->digest);
}

static void
get_hello (KqReader *r, KqMsgHello *h)
{
  h->cluster = kq_read_str (r);
  h->version = (uint32_t)kq_read_u64 (r);
  h->node = kq_read_str (r);
  h->node_id = kq_read_u64 (r);
  h->incarnation = kq_read_u64 (r);
  h->region = kq_read_str (r);
  h->depot = kq_read_str (r);
  h->nonce = kq_read_u64 (r);
  h->digest = kq_read_str (r);
}

static void
put_heartbeat (KqPacker *p, const KqMsgHeartbeat *h)
{
  kq_pack_array (p, 8);
  kq_pack_u64 (p, h->node);
  kq_pack_u64 (p, h->incarnation);
  kq_pack_u64 (p, h->sequence);
  kq_pack_u64 (p, h->table_revision);
  kq_pack_i64 (p, h->store_age_us);
  kq_pack_bool (p, h->draining);
  kq_pack_u64 (p, h->forwarded_by);
  kq_pack_array (p, h->n_shards);
  for (size_t i = 0; i < h->n_shards; i++)
    put_shard (p, &h->shards[i]);
}

static void
get_heartbeat (KqReader *r, KqMsgHeartbeat *h)
{
  KqReader a;
  h->node = kq_read_u64 (r);
  h->incarnation = kq_read_u64 (r);
  h->sequence = kq_read_u64 (r);
  h->table_revision = kq_read_u64 (r);
  h->store_age_us = kq_read_i64 (r);
  h->draining = kq_read_bool (r);
  h->forwarded_by = kq_read_u64 (r);
  kq_read_array (r, &a);
  if (a.left > DIGEST_ENTRIES_MAX)
    a.bad = true;
  else if (a.left > 0)
    h->shards = kq_alloc (a.left * sizeof *h->shards);
  while (!a.bad && a.left > 0)
    get_shard (&a, &h->shards[h->n_shards++]);
  kq_read_array_end (r, &a);
}

void
kq_msg_put_member (KqPacker *p, const KqMsg *m)
{
  if (m->kind == KQ_MSG_HELLO)
    put_hello (p, &m->u.hello);
  else if (m->kind == KQ_MSG_HEARTBEAT)
    put_heartbeat (p, &m->u.heartbeat);
  else if (m->kind == KQ_MSG_TABLE)
    {
      kq_pack_array (p, 3);
      kq_pack_u64 (p, m->u.table.revision);
      kq_pack_u64 (p, m->u.table.base);
      kq_pack_str (p, m->u.table.bytes);
    }
  else
    {
      kq_pack_array (p, 1);
      kq_pack_u64 (p, m->u.table_request.above_revision);
    }
}

void
kq_msg_get_member (KqReader *r, KqMsg *m)
{
  if (m->kind == KQ_MSG_HELLO)
    get_hello (r, &m->u.hello);
  else if (m->kind == KQ_MSG_HEARTBEAT)
    get_heartbeat (r, &m->u.heartbeat);
  else if (m->kind == KQ_MSG_TABLE)
    {
      m->u.table.revision = kq_read_u64 (r);
      m->u.table.base = kq_read_u64 (r);
      m->u.table.bytes = kq_read_str (r);
    }
  else
    m->u.table_request.above_revision = kq_read_u64 (r);
}
