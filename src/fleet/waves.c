#include "fleet/waves.h"

#include "base/log.h"
#include "fleet/follow.h"
#include "fleet/keys.h"
#include "lead/lead.h"
#include "port/source.h"

#include <stdlib.h>

#define PART "waves"
/* Requests for maintenance are rare and have tens of seconds. */
#define WATCH_MS 2000
#define WRITE_TIMEOUT_MS 1200
#define MAINTENANCE_TIMEOUT_MS 1500
#define RETRY (300 * KQ_MS)
/* Waves told in one transaction, besides our own record and the check. */
#define TOLD_MAX (KQ_KV_TXN_MAX - 2)

struct KqWaves
{
  KqWavesConfig config;
  KqFollow *requests;
  bool writing;
  bool dead;
  int calls_out;
  KqTime retry_at;
  KqBuf record;
  KqBuf keys[TOLD_MAX];
  KqBuf values[TOLD_MAX];
  size_t n_told;
};

typedef struct
{
  KqWaves *waves;
  char *host;
  int64_t wave;
} Call;

static void
destroy (KqWaves *w)
{
  if (w->writing || w->calls_out > 0)
    return;
  kq_buf_free (&w->record);
  for (size_t i = 0; i < TOLD_MAX; i++)
    {
      kq_buf_free (&w->keys[i]);
      kq_buf_free (&w->values[i]);
    }
  free (w);
}

static void
take_wave (void *arg, const KqWaveInfo *info)
{
  KqWaves *w = arg;
  kq_sched_wave (w->config.sched, info, kq_loop_now (w->config.loop));
  w->config.changed (w->config.arg);
}

static void
on_request (void *arg, const KqKvItem *i, KqTime now)
{
  (void)now;
  if (!kq_source_wave (i->key, i->value, take_wave, arg))
    kq_log (KQ_LOG_ERROR, PART, "A wave can't be read. key=%.*s revision=%llu",
            KQ_STR_ARG (i->key), (unsigned long long)i->revision);
}

static void
on_request_gone (void *arg, KqStr key, uint64_t revision, KqTime now)
{
  (void)arg;
  (void)revision;
  (void)now;
  kq_log (KQ_LOG_INFO, PART, "A wave's request is gone; it goes on. key=%.*s",
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
  w->dead = true;
  destroy (w);
}

static void
on_maintenance (void *arg, KqMaintenanceResult r, KqTime now)
{
  Call *c = arg;
  KqWaves *w = c->waves;
  w->calls_out--;
  if (w->dead)
    destroy (w);
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
kq_waves_maintenance (KqWaves *w, KqStr host, int64_t wave)
{
  Call *c;
  if (w->config.calls == NULL)
    return;
  c = kq_alloc (sizeof *c);
  c->waves = w;
  c->host = kq_str_dup (host);
  c->wave = wave;
  w->calls_out++;
  kq_maintenance_begin (w->config.calls, host, wave, kq_name_str (&w->config.holder),
                        w->config.epoch, MAINTENANCE_TIMEOUT_MS,
                        (KqMaintenanceCallback){ on_maintenance, c });
}

static void
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqWaves *w = arg;
  w->writing = false;
  if (w->dead)
    {
      destroy (w);
      return;
    }
  if (r->result == KQ_KV_OK)
    {
      w->config.answered (w->config.arg, r->sent_at, now);
      return;
    }
  kq_log (KQ_LOG_WARN, PART, "The state of waves is not written. result=%d", r->result);
  kq_sched_waves_failed (w->config.sched);
  w->retry_at = now + RETRY;
  if (r->result == KQ_KV_CONFLICT)
    w->config.deposed (w->config.arg, "the store has another leader", now);
}

static void
tell_wave (void *arg, int64_t number, bool completed)
{
  KqWaves *w = arg;
  if (w->n_told == TOLD_MAX)
    return; /* the eldest thirty; more at a time are not asked for */
  kq_buf_clear (&w->keys[w->n_told]);
  kq_buf_clear (&w->values[w->n_told]);
  kq_source_wave_state (number, completed, &w->keys[w->n_told], &w->values[w->n_told]);
  w->n_told++;
}

void
kq_waves_go (KqWaves *w, KqTime now)
{
  KqKvCheck check = { kq_lead_key, w->config.epoch };
  KqKvPut puts[1 + TOLD_MAX];
  KqKvTxn t = { .checks = &check, .n_checks = 1, .puts = puts };
  if (w->writing || now < w->retry_at || !kq_sched_waves_pending (w->config.sched))
    return;
  kq_buf_clear (&w->record);
  kq_sched_waves_pack (w->config.sched, &w->record);
  puts[t.n_puts++] = (KqKvPut){ KQ_STR (KQ_KEY_WAVES), kq_buf_str (&w->record), 0 };
  w->n_told = 0;
  kq_sched_waves_each (w->config.sched, tell_wave, w);
  for (size_t i = 0; i < w->n_told; i++)
    puts[t.n_puts++]
        = (KqKvPut){ kq_buf_str (&w->keys[i]), kq_buf_str (&w->values[i]), 0 };
  w->writing = true;
  kq_kv_txn (w->config.kv, &t, WRITE_TIMEOUT_MS, (KqKvCallback){ on_written, w });
}
