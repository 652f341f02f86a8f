/* sched_rig_maintenance: the control plane of the rig, modelled on port/maintenance.h,
 * and its invariants. */

#include "sched_rig_impl.h"

#include <stdio.h>
#include <string.h>

#define ANSWER_DELAY (20 * KQ_MS)
#define NO_ANSWER_DELAY (900 * KQ_MS)
/* A host's entry is removed from the store this long after its runner's end. */
#define ENTRY_EXPIRES_AFTER KQ_SEC
/* How late a call may be carried out, of plays with such calls. */
#define LATE_MAX_MS 12000
#define DOWN_SOON (15 * KQ_SEC)
#define DOWN_TIME (KQ_SCHED_RIG_MAINTENANCE_MS * KQ_MS)

static KqSchedRigWave *
find_wave (KqSchedRig *r, int64_t number)
{
  for (int i = 0; i < r->n_waves; i++)
    if (r->waves[i].number == number)
      return &r->waves[i];
  return NULL;
}

static void
pass_wave (KqSchedRig *r, const KqSchedRigWave *w)
{
  char names[KQ_SCHED_RIG_RUNNERS_MAX][16];
  KqStr hosts[KQ_SCHED_RIG_RUNNERS_MAX];
  KqWaveInfo info = {
    .number = w->number, .hosts = hosts, .cap = w->cap, .duration_ms = w->duration / KQ_MS
  };
  for (int i = 0; i < r->n_hosts; i++)
    if ((w->hosts >> i & 1) != 0)
      {
        snprintf (names[i], sizeof names[i], "h%d", i);
        hosts[info.n_hosts++] = kq_str (names[i]);
      }
  kq_sched_wave (r->sched, &info, r->now);
}

bool
kq_sched_rig_request_wave (KqSchedRig *r, uint32_t hosts, int32_t cap, KqTime duration)
{
  KqSchedRigWave *w;
  if (r->n_waves == KQ_SCHED_RIG_WAVES_MAX)
    return false;
  w = &r->waves[r->n_waves++];
  *w = (KqSchedRigWave){ .number = r->n_waves,
                         .requested_at = r->now,
                         .duration = duration,
                         .cap = cap,
                         .hosts = hosts };
  pass_wave (r, w);
  return true;
}

void
kq_sched_rig_load_waves (KqSchedRig *r)
{
  if (r->waves_stored->len > 0)
    kq_sched_waves_stored (
        r->sched, kq_str_n ((const char *)r->waves_stored->data, r->waves_stored->len),
        r->now);
  for (int i = 0; i < r->n_waves; i++)
    pass_wave (r, &r->waves[i]);
}

static void
check_completed (void *arg, int64_t number, bool completed)
{
  KqSchedRig *r = arg;
  const KqSchedRigWave *w = find_wave (r, number);
  if (completed && w->begun != w->hosts)
    kq_sched_rig_breach (r, "a wave without one of its hosts", "completed");
}

void
kq_sched_rig_store_waves (KqSchedRig *r)
{
  KqBuf b = { 0 };
  if (!kq_sched_waves_pending (r->sched))
    return;
  kq_sched_waves_pack (r->sched, &b);
  g_byte_array_set_size (r->waves_stored, 0);
  g_byte_array_append (r->waves_stored, (const guint8 *)b.ptr, (guint)b.len);
  kq_buf_free (&b);
  r->revision++;
  kq_sched_waves_written (r->sched);
  kq_sched_waves_each (r->sched, check_completed, r);
}

void
kq_sched_rig_maintenance (void *arg, KqStr host, int64_t wave)
{
  KqSchedRig *r = arg;
  KqSchedRigHostCall c = { .wave = wave,
                           .epoch = r->waking ? r->suspended_epoch : r->epoch,
                           .leader_serial = r->waking ? 0 : r->leader_serial,
                           .arrives_at = r->now + KQ_SCHED_RIG_LATENCY,
                           .answered_at = r->now + ANSWER_DELAY };
  int64_t n = 0;
  KqStr digits = kq_str_n (host.ptr + 1, host.len - 1);
  kq_str_to_i64 (digits, &n);
  c.host = (int)n;
  if (r->now < r->control_away_until || kq_sched_rig_chance (r, r->control_lost_percent))
    {
      bool away = r->now < r->control_away_until;
      c.result = KQ_MAINTENANCE_UNKNOWN;
      c.answered_at = r->now + NO_ANSWER_DELAY;
      if (away || kq_sched_rig_chance (r, 50))
        c.arrives_at = KQ_TIME_NEVER;
      else if (kq_sched_rig_chance (r, 50))
        c.arrives_at += (KqTime)kq_rand_below (&r->rand, 3000) * KQ_MS;
      else if ((r->plays & KQ_SCHED_RIG_WAKES) != 0)
        c.arrives_at += (KqTime)kq_rand_below (&r->extra_rand, LATE_MAX_MS) * KQ_MS;
    }
  g_array_append_val (r->host_calls, c);
}

static int
runner_on (const KqSchedRig *r, int host)
{
  char name[16];
  snprintf (name, sizeof name, "h%d", host);
  for (int i = r->n_runners - 1; i >= 0; i--)
    if (strcmp (r->runners[i].host, name) == 0)
      return i;
  return -1;
}

static void
take_down (KqSchedRig *r, KqSchedRigWave *w, int host)
{
  int down = 0;
  int n = runner_on (r, host);
  for (int i = 0; i < r->n_hosts; i++)
    down += r->host_down_for[i] == w->number && r->now < r->host_down_until[i];
  if (down >= w->cap)
    kq_sched_rig_breach (r, "more hosts down than allowed", r->runners[n].host);
  w->begun |= (uint32_t)1 << host;
  r->host_down_for[host] = w->number;
  for (guint i = 0; i < r->runners[n].runs->len; i++)
    kq_sched_rig_check_away (r, &r->runners[n], g_ptr_array_index (r->runners[n].runs, i),
                             "a maintenance while too many are away");
  kq_sched_rig_kill_runner (r, n);
  if (r->now - r->host_down_until[host] < DOWN_SOON)
    r->down_again_at = r->now;
  r->runners[n].up_again_at = r->host_down_until[host] = r->now + DOWN_TIME;
}

static KqMaintenanceResult
handle_call (KqSchedRig *r, const KqSchedRigHostCall *c)
{
  KqSchedRigWave *w = find_wave (r, c->wave);
  if (c->epoch < r->host_fence[c->host])
    return KQ_MAINTENANCE_FENCED;
  r->host_fence[c->host] = c->epoch;
  if ((w->hosts >> c->host & 1) == 0)
    return KQ_MAINTENANCE_FOREIGN;
  if ((w->begun >> c->host & 1) != 0)
    return KQ_MAINTENANCE_OK;
  if (r->now < r->host_down_until[c->host])
    return KQ_MAINTENANCE_BUSY;
  take_down (r, w, c->host);
  return KQ_MAINTENANCE_OK;
}

static void
bring_up (KqSchedRig *r, int n)
{
  KqSchedRigRunner *g = &r->runners[n];
  int64_t host = 0;
  g->up_again_at = 0;
  kq_str_to_i64 (kq_str (g->host + 1), &host);
  if (r->new_ids_after_upkeep && r->n_runners < KQ_SCHED_RIG_RUNNERS_MAX)
    {
      KqSchedRigRunner *next = &r->runners[r->n_runners];
      kq_sched_rig_init_runner (r, r->n_runners, g->room, (int)host);
      g_strlcpy (next->kind, g->kind, sizeof next->kind);
      g_strlcpy (next->rack, g->rack, sizeof next->rack);
      kq_sched_rig_entry (r, r->n_runners++);
      return;
    }
  kq_sched_rig_restart_runner (r, n);
  g->in_store = true;
  g->draining = false;
  kq_sched_rig_entry (r, n);
}

void
kq_sched_rig_maintenance_tick (KqSchedRig *r)
{
  for (guint i = 0; i < r->host_calls->len; i++)
    {
      KqSchedRigHostCall *c = &g_array_index (r->host_calls, KqSchedRigHostCall, i);
      if (r->now >= c->arrives_at)
        {
          KqMaintenanceResult result = handle_call (r, c);
          c->arrives_at = KQ_TIME_NEVER;
          if (c->result != KQ_MAINTENANCE_UNKNOWN)
            c->result = result;
        }
      if (r->now >= c->answered_at)
        {
          char host[16];
          KqSchedRigHostCall call = *c;
          snprintf (host, sizeof host, "h%d", c->host);
          c->answered_at = KQ_TIME_NEVER;
          if (call.leader_serial == r->leader_serial)
            kq_sched_maintenance_ended (r->sched, call.wave, kq_str (host), call.result,
                                        r->now);
        }
    }
  for (guint i = r->host_calls->len; i > 0; i--)
    {
      const KqSchedRigHostCall *c
          = &g_array_index (r->host_calls, KqSchedRigHostCall, i - 1);
      if (c->arrives_at == KQ_TIME_NEVER && c->answered_at == KQ_TIME_NEVER)
        g_array_remove_index_fast (r->host_calls, i - 1);
    }
  for (int i = 0; i < r->n_runners; i++)
    {
      KqSchedRigRunner *g = &r->runners[i];
      if (g->up_again_at == 0)
        continue;
      if (g->in_store && r->now >= g->up_again_at - DOWN_TIME + ENTRY_EXPIRES_AFTER)
        {
          g->in_store = false;
          kq_sched_rig_entry (r, i);
        }
      if (r->now >= g->up_again_at)
        bring_up (r, i);
    }
}
