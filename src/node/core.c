#include "node/core_state.h"

#include "base/log.h"
#include "node/shard_map.h"

#include <stdlib.h>
#include <string.h>

#define PART "node"
/* How often a host list is read. The platform updates it with a delay of seconds, so
 * reading it more often would gain nothing. The interval is half the time
 * after which a worker whose lease isn't renewed is suspected. */
#define HOSTS_READ_INTERVAL (2 * KQ_SEC)
/* How long this node serves the runners of a shard that it no longer owns, as long as no
 * successor is known. After a loss: the time within which this node may own the shard
 * again after an outage. After a release: the longest time of a handover. */
#define LINGER_LOST (5 * KQ_SEC)
#define LINGER_RELEASED (2 * KQ_SEC)
/* Without an answer for this long the store counts as unreachable: two renewals of the
 * node's lease. */
#define STORE_SILENCE_MAX (3 * KQ_SEC)

KqNotice *
kq_core_add_notice (KqCore *c, KqNoticeKind kind)
{
  NoticeItem *i = kq_alloc (sizeof *i);
  i->notice.kind = kind;
  if (c->last_notice != NULL)
    c->last_notice->next = i;
  else
    c->first_notice = i;
  c->last_notice = i;
  return &i->notice;
}

bool
kq_core_notice (KqCore *c, KqNotice *n)
{
  NoticeItem *i = c->first_notice;
  if (i == NULL)
    return false;
  *n = i->notice;
  c->first_notice = i->next;
  if (c->first_notice == NULL)
    c->last_notice = NULL;
  free (i);
  return true;
}

KqCore *
kq_core_new (const KqCoreConfig *config)
{
  const KqSettings *s = config->settings;
  KqMemberConfig mc = { .self = config->self,
                        .lease = s->node_lease_ms * KQ_MS,
                        .heartbeat_interval = s->heartbeat_ms * KQ_MS,
                        .suspect_after = 4 * s->heartbeat_ms * KQ_MS };
  KqJobsConfig jc = { .self = config->self.id,
                      .lease = s->worker_lease_ms * KQ_MS,
                      .renew = s->worker_lease_ms * KQ_MS / 3,
                      .renew_without_store = s->blind_ms * KQ_MS,
                      .seed = config->seed,
                      .counters = config->counters };
  KqOwnerTimes ot = { .lease = mc.lease, .outage_max = s->blind_ms * KQ_MS };
  uint32_t total = (uint32_t)kq_settings_total_shards (s);
  KqCore *c = kq_alloc (sizeof *c);
  c->config = *config;
  c->rand = kq_rand (config->seed);
  c->first_shard = (uint32_t)kq_settings_first_shard (s, kq_name_str (&s->region));
  for (int i = 0; i < s->n_regions; i++)
    {
      if (kq_name_eq (&s->regions[i].name, &s->region))
        c->n_shards = (uint32_t)s->regions[i].shards;
    }
  jc.first_shard = c->first_shard;
  jc.n_shards = c->n_shards;
  c->member = kq_member_new (&mc, config->seed + 1);
  c->owner = kq_owner_new (&config->self, c->first_shard, c->n_shards, config->seed + 2);
  kq_owner_set_times (c->owner, &ot);
  c->dist = kq_table_dist_new (config->self.id, config->seed + 3);
  c->shards = kq_alloc (c->n_shards * sizeof (KqShard *));
  c->hosts_announced = kq_alloc (c->n_shards * sizeof *c->hosts_announced);
  c->gone_due_at = kq_alloc (c->n_shards * sizeof *c->gone_due_at);
  for (uint32_t i = 0; i < c->n_shards; i++)
    c->shards[i] = kq_shard_new (c->first_shard + i, total, config->self.id, &jc);
  return c;
}

void
kq_core_free (KqCore *c)
{
  KqNotice n;
  if (c == NULL)
    return;
  while (kq_core_notice (c, &n))
    kq_hosts_free (&n.hosts);
  for (uint32_t i = 0; i < c->n_shards; i++)
    kq_shard_free (c->shards[i]);
  for (int d = 0; d < KQ_DEPOTS_MAX; d++)
    kq_hosts_free (&c->host_lists[d]);
  kq_table_dist_free (c->dist);
  kq_owner_free (c->owner);
  kq_member_free (c->member);
  free (c->shards);
  free (c->hosts_announced);
  free (c->gone_due_at);
  free (c->services);
  free (c);
}

KqShard *
kq_core_shard (KqCore *c, uint32_t shard)
{
  if (shard < c->first_shard || shard >= c->first_shard + c->n_shards)
    return NULL;
  return c->shards[shard - c->first_shard];
}

KqShard *
kq_core_owned_shard (KqCore *c, uint32_t shard, KqTime now)
{
  KqShard *s = kq_core_shard (c, shard);
  if (s == NULL || kq_shard_state (s) == KQ_SHARD_IDLE
      || !kq_owner_is_mine (c->owner, shard, c->member, now))
    return NULL;
  return s;
}

/* Drops the shard: its jobs and claims stop at once. Requests are still sent to its
 * runners until the digests show a successor, for at most `linger`. That is safe because
 * requests aren't fenced by epochs and runners refuse requests beyond their slots. If
 * requests stopped at once too, even idempotent requests would fail between two owners:
 * in the case store-loses-answers of faults_live 69 of about 400 GETs were refused with
 * NO_TARGET. */
static void
drop_shard (KqCore *c, uint32_t shard, KqTime linger, KqTime now)
{
  KqShard *s = kq_core_shard (c, shard);
  if (kq_shard_state (s) == KQ_SHARD_IDLE)
    return;
  kq_shard_drop (s);
  c->hosts_announced[shard - c->first_shard] = false;
  c->gone_due_at[shard - c->first_shard] = now + linger;
}

/* Announces that a shard is gone, once a successor is known or its linger time is over.
 */
static void
announce_gone_shards (KqCore *c, KqTime now)
{
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      if (c->gone_due_at[i] == 0)
        continue;
      if (kq_shard_state (c->shards[i]) == KQ_SHARD_ACTIVE)
        c->gone_due_at[i] = 0; /* this node owns the shard again */
      else if (now >= c->gone_due_at[i] || kq_core_has_successor (c, c->first_shard + i))
        {
          c->gone_due_at[i] = 0;
          kq_core_add_notice (c, KQ_NOTICE_SHARD_GONE)->shard = c->first_shard + i;
        }
    }
}

static void
handle_owner_events (KqCore *c, KqTime now, KqOutbox *out)
{
  KqOwnerEvent e;
  while (kq_owner_event (c->owner, &e))
    {
      KqShard *s = kq_core_shard (c, e.shard);
      switch (e.kind)
        {
        case KQ_OWNER_TAKEN:
          kq_log (KQ_LOG_INFO, PART, "Shard acquired. shard=%u epoch=%llu", e.shard,
                  (unsigned long long)e.epoch);
          kq_shard_open (s, e.epoch, kq_table_dist_current (c->dist), now, out);
          break;
        case KQ_OWNER_LOST:
          kq_log (KQ_LOG_WARN, PART, "Shard ownership lost. shard=%u", e.shard);
          drop_shard (c, e.shard, LINGER_LOST, now);
          break;
        case KQ_OWNER_HANDOVER:
          kq_shard_release (s);
          break;
        }
    }
}

static void
tick_shard (KqCore *c, uint32_t shard, bool store_ok, KqTime now, KqOutbox *out)
{
  KqShard *s = kq_core_shard (c, shard);
  KqResult r;
  if (kq_shard_state (s) == KQ_SHARD_IDLE)
    return;
  if (!kq_owner_is_mine (c->owner, shard, c->member, now)
      && kq_shard_state (s) != KQ_SHARD_RELEASING)
    {
      kq_log (KQ_LOG_WARN, PART,
              "Ownership of the shard has expired; dropping it. shard=%u", shard);
      drop_shard (c, shard, LINGER_LOST, now);
      kq_owner_step_down (c->owner, shard, now);
      return;
    }
  r = kq_shard_tick (s, store_ok, now, out);
  if (r != KQ_OK)
    {
      kq_log (KQ_LOG_WARN, PART, "Shard dropped. shard=%u code=%d name=%s", shard, r,
              kq_result_name (r));
      drop_shard (c, shard, LINGER_LOST, now);
      kq_owner_step_down (c->owner, shard, now);
      return;
    }
  if (kq_shard_state (s) == KQ_SHARD_RELEASING && kq_shard_released (s, now))
    {
      drop_shard (c, shard, LINGER_RELEASED, now);
      kq_owner_released (c->owner, shard, now, out);
    }
}

/* Reads the host lists of all depots while this node has an active shard. */
static void
read_host_lists (KqCore *c, KqTime now, KqOutbox *out)
{
  const KqSettings *s = c->config.settings;
  bool any = false;
  for (uint32_t i = 0; i < c->n_shards; i++)
    any = any || kq_shard_state (c->shards[i]) == KQ_SHARD_ACTIVE;
  for (int d = 0; d < s->n_depots && any; d++)
    {
      KqStoreOp op = { .kind = KQ_STORE_HOSTS, .part = KQ_PART_HOSTS };
      if (now < c->next_read_at[d] || c->read_pending[d])
        continue;
      c->read_pending[d] = true;
      op.token = (uint64_t)d;
      op.key = kq_name_str (&s->depots[d]);
      kq_outbox_store (out, &op);
    }
}

/* Passes a shard's hosts to the shard, and to the tasks that call its workers and
 * runners. */
static void
announce_hosts (KqCore *c, uint32_t shard, KqTime now, KqOutbox *out)
{
  const KqSettings *settings = c->config.settings;
  KqShard *s = kq_core_owned_shard (c, shard, now);
  uint32_t i = shard - c->first_shard;
  KqNotice *n;
  if (s == NULL || kq_shard_state (s) != KQ_SHARD_ACTIVE)
    return;
  n = kq_core_add_notice (c, KQ_NOTICE_SHARD_HOSTS);
  n->shard = shard;
  kq_shard_copy_hosts (settings, c->host_lists, settings->n_depots, shard, &n->hosts);
  n->taken_over = !c->hosts_announced[i];
  c->hosts_announced[i] = true;
  kq_shard_set_hosts (s, &n->hosts, now, out);
}

/* Passes their hosts to shards that have become active, without waiting for the next read
 * of the host lists. */
static void
announce_first_hosts (KqCore *c, KqTime now, KqOutbox *out)
{
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      if (!c->hosts_announced[i] && c->all_lists_read)
        announce_hosts (c, c->first_shard + i, now, out);
    }
}

static bool
every_list_read (const KqCore *c)
{
  for (int d = 0; d < c->config.settings->n_depots; d++)
    {
      if (!c->list_read[d])
        return false;
    }
  return true;
}

static void
handle_host_list (KqCore *c, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  const KqSettings *s = c->config.settings;
  KqHostList list;
  KqResult read;
  uint64_t d = r->token;
  if (d >= (uint64_t)s->n_depots)
    return;
  c->read_pending[d] = false;
  c->next_read_at[d] = now + HOSTS_READ_INTERVAL
                       + (KqTime)kq_rand_below (&c->rand, HOSTS_READ_INTERVAL / 4);
  if (r->result != KQ_OK)
    return;
  read = kq_hosts_parse (r->value, &list);
  if (read != KQ_OK)
    {
      kq_log (KQ_LOG_ERROR, PART, "Host list not readable. code=%d", read);
      return;
    }
  kq_hosts_free (&c->host_lists[d]);
  c->host_lists[d] = list;
  c->list_read[d] = true;
  c->all_lists_read = every_list_read (c);
  for (uint32_t i = 0; i < c->n_shards && c->all_lists_read; i++)
    announce_hosts (c, c->first_shard + i, now, out);
}

void
kq_core_store_reply (KqCore *c, const KqStoreReply *r, KqTime now, KqOutbox *out)
{
  KqShard *s;
  if (r->result != KQ_ERR_STORE_UNREACHABLE && r->result != KQ_ERR_STORE_BUSY
      && r->result != KQ_ERR_PLATFORM_FORMAT)
    kq_member_store_answered (c->member, now);
  switch (r->part)
    {
    case KQ_PART_MEMBER:
      kq_member_reply (c->member, r, now, out);
      break;
    case KQ_PART_TABLE:
      kq_table_dist_reply (c->dist, r, now, out);
      break;
    case KQ_PART_SHARD:
      if (kq_owner_reply (c->owner, r, c->member, now, out))
        break;
      s = kq_core_shard (c, (uint32_t)(r->token >> 32));
      if (s != NULL)
        kq_shard_store_reply (s, r, now, out);
      break;
    case KQ_PART_HOSTS:
      handle_host_list (c, r, now, out);
      break;
    case KQ_PART_COUNT:
      break;
    }
}

void
kq_core_worker_reply (KqCore *c, const KqWorkerReply *r, KqTime now, KqOutbox *out)
{
  KqShard *s = kq_core_owned_shard (c, r->shard, now);
  if (s != NULL)
    kq_shard_worker_reply (s, r, now, out);
}

void
kq_core_peer_changed (KqCore *c, KqNodeId peer, bool up, KqTime now)
{
  kq_member_link (c->member, peer, up, now);
}

void
kq_core_set_services (KqCore *c, const KqServiceDigest *s, size_t n)
{
  free (c->services);
  c->services = kq_alloc (n * sizeof *s);
  if (n > 0)
    memcpy (c->services, s, n * sizeof *s);
  c->n_services = n;
}

void
kq_core_change_table (KqCore *c, uint64_t call, const KqRowChange *ch, size_t n,
                      KqTime now, KqOutbox *out)
{
  kq_table_dist_change (c->dist, call, ch, n, now, out);
}

static void
announce_table_events (KqCore *c, KqTime now)
{
  KqTableResult r;
  if (kq_table_dist_take_changed (c->dist))
    {
      KqTable *t = kq_table_dist_current (c->dist);
      for (uint32_t i = 0; i < c->n_shards; i++)
        kq_shard_set_table (c->shards[i], t, now);
      kq_core_add_notice (c, KQ_NOTICE_TABLE);
    }
  while (kq_table_dist_take_result (c->dist, &r))
    kq_core_add_notice (c, KQ_NOTICE_TABLE_RESULT)->result = r;
}

static void
announce_shards_released (KqCore *c)
{
  if (!c->draining || c->release_announced)
    return;
  for (uint32_t i = 0; i < c->n_shards; i++)
    {
      if (kq_shard_state (c->shards[i]) != KQ_SHARD_IDLE
          || kq_owner_state (c->owner, c->first_shard + i) != KQ_OWN_NONE
          || c->gone_due_at[i] != 0)
        return;
    }
  c->release_announced = true;
  kq_core_add_notice (c, KQ_NOTICE_SHARDS_RELEASED);
}

void
kq_core_tick (KqCore *c, KqTime now, KqOutbox *out)
{
  bool store_ok = kq_member_store_silence (c->member, now) < STORE_SILENCE_MAX;
  kq_core_update_digests (c, now);
  kq_member_tick (c->member, now, out);
  kq_core_announce_nodes (c, now, out);
  kq_owner_tick (c->owner, c->member, now, out);
  handle_owner_events (c, now, out);
  announce_gone_shards (c, now);
  kq_table_dist_tick (c->dist, now, out);
  announce_table_events (c, now);
  for (uint32_t i = 0; i < c->n_shards; i++)
    tick_shard (c, c->first_shard + i, store_ok, now, out);
  announce_first_hosts (c, now, out);
  read_host_lists (c, now, out);
  announce_shards_released (c);
}

void
kq_core_drain (KqCore *c)
{
  if (c->draining)
    return;
  c->draining = true;
  kq_owner_drain (c->owner);
}

void
kq_core_leave (KqCore *c, KqTime now, KqOutbox *out)
{
  kq_member_leave (c->member, now, out);
}

bool
kq_core_may_call (const KqCore *c, const KqWorkerCall *call, KqTime now)
{
  return kq_owner_is_mine (c->owner, call->shard, c->member, now)
         && kq_owner_epoch (c->owner, call->shard) == call->epoch;
}

bool
kq_core_ready (KqCore *c, KqTime now, const char **why)
{
  *why = "";
  if (c->draining)
    *why = "draining";
  else if (kq_table_dist_current (c->dist) == NULL)
    *why = "no table yet";
  else if (!kq_member_lease_live (c->member, now)
           && !kq_owner_valid_in_outage (c->owner, c->member, now))
    *why = "the node's lease is not alive";
  return (*why)[0] == '\0';
}

KqTable *
kq_core_table (KqCore *c)
{
  return kq_table_dist_current (c->dist);
}

const KqMember *
kq_core_member (const KqCore *c)
{
  return c->member;
}

const KqOwner *
kq_core_owner (const KqCore *c)
{
  return c->owner;
}

bool
kq_core_draining (const KqCore *c)
{
  return c->draining;
}

uint32_t
kq_core_first_shard (const KqCore *c)
{
  return c->first_shard;
}

uint32_t
kq_core_shards (const KqCore *c)
{
  return c->n_shards;
}
