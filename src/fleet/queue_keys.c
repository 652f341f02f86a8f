#include "fleet/queue_keys.h"

#include "base/log.h"
#include "port/source.h"

#include <stdlib.h>

#define PART "queues"

struct KqQueueKeys
{
  KqQueueKeysOwner owner;
  KqFollow *follow;
  KqKeyLog *log;
  KqQueueTable *table;
  KqCordons *cordons;
};

static void
add_cordon (KqQueueKeys *k, KqStr domain, const KqKvItem *i, KqTime now)
{
  if (domain.len == 0)
    {
      kq_log (KQ_LOG_ERROR, PART,
              "A cordon names no failure domain. key=%.*s revision=%llu",
              KQ_STR_ARG (i->key), (unsigned long long)i->revision);
      return;
    }
  if (!kq_cordons_add (k->cordons, domain, i->revision, now))
    return;
  kq_log (KQ_LOG_INFO, PART, "A failure domain is cordoned. domain=%.*s revision=%llu",
          KQ_STR_ARG (domain), (unsigned long long)i->revision);
  k->owner.cordons_changed (k->owner.arg, now);
}

static void
lift_cordon (KqQueueKeys *k, KqStr domain, uint64_t revision, KqTime now)
{
  const KqCordon *c = kq_cordons_find (k->cordons, domain);
  KqTime since = c != NULL ? c->since : now;
  if (!kq_cordons_lift (k->cordons, domain))
    return;
  kq_log (KQ_LOG_INFO, PART,
          "The cordon of a failure domain is lifted. domain=%.*s revision=%llu "
          "lasted_ms=%lld",
          KQ_STR_ARG (domain), (unsigned long long)revision,
          (long long)((now - since) / KQ_MS));
  k->owner.cordons_changed (k->owner.arg, now);
}

static void
note_change (KqQueueKeys *k, const KqKvItem *i, KqTime now)
{
  kq_key_log_add (k->log, i);
  if (k->owner.key_changed != NULL)
    k->owner.key_changed (k->owner.arg, i->revision, now);
}

static void
on_item (void *arg, const KqKvItem *i, KqTime now)
{
  KqQueueKeys *k = arg;
  KqStr domain;
  bool bad;
  KqQueueTable *t = kq_source_config (i->key, i->value, &bad);
  note_change (k, i, now);
  if (kq_source_cordon (i->key, &domain))
    add_cordon (k, domain, i, now);
  if (bad)
    kq_log (KQ_LOG_ERROR, PART, "The configuration cannot be decoded. revision=%llu",
            (unsigned long long)i->revision);
  if (t == NULL)
    return;
  if (k->table != NULL && t->version <= k->table->version)
    {
      kq_log (KQ_LOG_WARN, PART,
              "Ignoring an older configuration. version=%lld have=%lld",
              (long long)t->version, (long long)k->table->version);
      kq_queue_table_free (t);
      return;
    }
  kq_log (KQ_LOG_INFO, PART, "New configuration. version=%lld queues=%zu revision=%llu",
          (long long)t->version, t->n_queues, (unsigned long long)i->revision);
  kq_queue_table_free (k->table);
  k->table = t;
}

static void
on_gone (void *arg, KqStr key, uint64_t revision, KqTime now)
{
  KqKvItem i = { .key = key, .revision = revision, .deleted = true };
  KqStr domain;
  note_change (arg, &i, now);
  if (kq_source_cordon (key, &domain))
    {
      lift_cordon (arg, domain, revision, now);
      return;
    }
  kq_log (
      KQ_LOG_WARN, PART,
      "A configuration key was deleted; keeping its last value. key=%.*s revision=%llu",
      KQ_STR_ARG (key), (unsigned long long)revision);
}

static void
on_synced (void *arg, KqTime now)
{
  KqQueueKeys *k = arg;
  kq_key_log_begin (k->log, kq_follow_known_to (k->follow));
  if (k->cordons->complete)
    return;
  k->cordons->complete = true;
  k->owner.cordons_changed (k->owner.arg, now);
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  const KqQueueKeys *k = arg;
  k->owner.answered (k->owner.arg, sent_at, now);
}

static void
on_failed (void *arg, KqTime sent_at)
{
  const KqQueueKeys *k = arg;
  k->owner.failed (k->owner.arg, sent_at);
}

KqQueueKeys *
kq_queue_keys_new (KqLoop *loop, KqKv *kv, KqCordons *cordons,
                   const KqQueueKeysOwner *owner)
{
  KqQueueKeys *k = kq_alloc (sizeof *k);
  KqFollowOwner follow = { k, on_item, on_gone, on_synced, on_answered, on_failed };
  k->owner = *owner;
  k->cordons = cordons;
  k->log = kq_key_log_new ();
  k->follow = kq_follow_new (loop, kv, kq_source_config_prefix (), KQ_QUEUE_KEYS_WATCH_MS,
                             0, &follow);
  return k;
}

void
kq_queue_keys_free (KqQueueKeys *k)
{
  if (k == NULL)
    return;
  kq_follow_free (k->follow);
  kq_key_log_free (k->log);
  kq_queue_table_free (k->table);
  free (k);
}

const KqQueueTable *
kq_queue_keys_table (const KqQueueKeys *k)
{
  return k->table;
}

KqFollow *
kq_queue_keys_follow (const KqQueueKeys *k)
{
  return k->follow;
}

KqKeyLog *
kq_queue_keys_log (const KqQueueKeys *k)
{
  return k->log;
}
