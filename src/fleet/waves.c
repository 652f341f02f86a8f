#include "fleet/waves.h"

#include "base/log.h"
#include "election/election.h"
#include "fleet/follow.h"
#include "fleet/keys.h"
#include "port/source.h"

#include <stdlib.h>

#define PART "waves"
/* None of the calls below is urgent: requests for maintenance are rare, and may wait for
 * tens of seconds. */
#define WATCH_MS 2000 /* longest wait of one watch for requests */
#define WRITE_TIMEOUT_MS 1200
#define MAINTENANCE_TIMEOUT_MS 1500 /* of a call to the control plane */
#define RETRY_DELAY (300 * KQ_MS)   /* after a failed write of the waves' state */
/* Maximum number of waves whose status one transaction can write besides `record` and the
 * two checks. */
#define STATUS_MAX (KQ_KV_TXN_MAX - 3)

struct KqWaves
{
  KqWavesConfig config;
  KqFollow *requests;
  bool write_pending;
  bool freed;
  int calls_pending; /* outstanding calls to the control plane */
  KqTime retry_at;
  uint64_t revision;      /* of the waves' key, as far as known; 0: it doesn't exist */
  KqBuf record;           /* state of all waves, for the next leader */
  KqBuf keys[STATUS_MAX]; /* keys and values of the status of each wave, for operators */
  KqBuf values[STATUS_MAX];
  size_t n_statuses;
};

typedef struct
{
  KqWaves *waves;
  char *host;
  int64_t wave;
} MaintenanceCall;

static void
destroy_if_idle (KqWaves *w)
{
  if (w->write_pending || w->calls_pending > 0)
    return;
  kq_buf_free (&w->record);
  for (size_t i = 0; i < STATUS_MAX; i++)
    {
      kq_buf_free (&w->keys[i]);
      kq_buf_free (&w->values[i]);
    }
  free (w);
}

static void
on_wave (void *arg, const KqWaveInfo *info)
{
  KqWaves *w = arg;
  kq_sched_wave (w->config.sched, info, kq_loop_now (w->config.loop));
  w->config.changed (w->config.arg);
}

static void
on_request (void *arg, const KqKvItem *i, KqTime now)
{
  (void)now;
  if (!kq_source_wave (i->key, i->value, on_wave, arg))
    kq_log (KQ_LOG_ERROR, PART,
            "A wave's request cannot be decoded. key=%.*s revision=%llu",
            KQ_STR_ARG (i->key), (unsigned long long)i->revision);
}

static void
on_request_gone (void *arg, KqStr key, uint64_t revision, KqTime now)
{
  (void)arg;
  (void)revision;
  (void)now;
  kq_log (KQ_LOG_INFO, PART, "A wave's request was deleted; the wave continues. key=%.*s",
          KQ_STR_ARG (key));
}

static void
on_requests_synced (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  KqWaves *w = arg;
  w->config.answered (w->config.arg, sent_at, now);
}

KqWaves *
kq_waves_new (const KqWavesConfig *c)
{
  KqWaves *w = kq_alloc (sizeof *w);
  KqFollowOwner owner
      = { w, on_request, on_request_gone, on_requests_synced, on_answered, NULL };
  w->config = *c;
  w->requests
      = kq_follow_new (c->loop, c->kv, kq_source_waves_prefix (), WATCH_MS, 0, &owner);
  return w;
}

void
kq_waves_free (KqWaves *w)
{
  if (w == NULL)
    return;
  kq_follow_free (w->requests);
  w->freed = true;
  destroy_if_idle (w);
}

static void
on_maintenance (void *arg, KqMaintenanceResult r, KqTime now)
{
  MaintenanceCall *c = arg;
  KqWaves *w = c->waves;
  w->calls_pending--;
  if (w->freed)
    destroy_if_idle (w);
  else
    {
      kq_sched_maintenance_ended (w->config.sched, c->wave, kq_str (c->host), r, now);
      w->config.changed (w->config.arg);
      if (r == KQ_MAINTENANCE_FENCED)
        w->config.deposed (w->config.arg, "the control plane has seen a higher epoch",
                           now);
    }
  free (c->host);
  free (c);
}

void
kq_waves_start_maintenance (KqWaves *w, KqStr host, int64_t wave)
{
  MaintenanceCall *c;
  if (w->config.calls == NULL)
    return;
  c = kq_alloc (sizeof *c);
  c->waves = w;
  c->host = kq_str_dup (host);
  c->wave = wave;
  w->calls_pending++;
  kq_maintenance_begin (w->config.calls, host, wave, kq_name_str (&w->config.holder),
                        w->config.epoch, MAINTENANCE_TIMEOUT_MS,
                        (KqMaintenanceCallback){ on_maintenance, c });
}

/* A check failed. The waves' key may have another revision than expected: an earlier
 * leader has written it, or a write of this one was carried out without an answer. Then
 * the next write expects the present one. */
static void
handle_conflict (KqWaves *w, const KqKvReply *r, KqTime now)
{
  uint64_t leader_revision = 0;
  w->revision = 0;
  for (size_t i = 0; i < r->n_items; i++)
    if (kq_str_eq (r->items[i].key, kq_leader_key))
      leader_revision = r->items[i].revision;
    else if (kq_str_eq (r->items[i].key, KQ_STR (KQ_KEY_WAVES)))
      w->revision = r->items[i].revision;
  if (leader_revision != w->config.epoch)
    {
      w->config.deposed (w->config.arg, "the store has another leader", now);
      return;
    }
  w->retry_at = now;
  w->config.changed (w->config.arg);
}

static void
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqWaves *w = arg;
  w->write_pending = false;
  if (w->freed)
    {
      destroy_if_idle (w);
      return;
    }
  if (r->result == KQ_KV_OK)
    {
      w->revision = r->revision;
      w->config.answered (w->config.arg, r->called_at, now);
      kq_sched_waves_written (w->config.sched);
      w->config.changed (w->config.arg);
      return;
    }
  kq_log (KQ_LOG_WARN, PART, "The state of waves was not written. result=%d", r->result);
  kq_sched_waves_failed (w->config.sched);
  w->retry_at = now + RETRY_DELAY;
  if (r->result == KQ_KV_CONFLICT)
    handle_conflict (w, r, now);
}

static void
add_wave_status (void *arg, int64_t number, bool completed)
{
  KqWaves *w = arg;
  if (w->n_statuses == STATUS_MAX)
    return; /* only the oldest waves get a status; more at a time aren't expected */
  kq_buf_clear (&w->keys[w->n_statuses]);
  kq_buf_clear (&w->values[w->n_statuses]);
  kq_source_wave_state (number, completed, &w->keys[w->n_statuses],
                        &w->values[w->n_statuses]);
  w->n_statuses++;
}

void
kq_waves_write (KqWaves *w, KqTime now)
{
  KqKvCheck checks[2]
      = { { kq_leader_key, w->config.epoch }, { KQ_STR (KQ_KEY_WAVES), w->revision } };
  KqKvPut puts[1 + STATUS_MAX];
  KqKvTxn t = { .checks = checks, .n_checks = 2, .puts = puts };
  if (w->write_pending || now < w->retry_at || !kq_sched_waves_pending (w->config.sched))
    return;
  kq_buf_clear (&w->record);
  kq_sched_waves_pack (w->config.sched, &w->record);
  puts[t.n_puts++] = (KqKvPut){ KQ_STR (KQ_KEY_WAVES), kq_buf_str (&w->record), 0 };
  w->n_statuses = 0;
  kq_sched_waves_each (w->config.sched, add_wave_status, w);
  for (size_t i = 0; i < w->n_statuses; i++)
    puts[t.n_puts++]
        = (KqKvPut){ kq_buf_str (&w->keys[i]), kq_buf_str (&w->values[i]), 0 };
  w->write_pending = true;
  kq_kv_txn (w->config.kv, &t, WRITE_TIMEOUT_MS, (KqKvCallback){ on_written, w });
}
