/* maintenance: takes the target hosts of a wave down, each once, before the wave's time
 * is over.
 *
 * A host is drained first: it gets no new tasks, its tasks are moved or save their
 * progress, and only then it goes down. Lasting tasks reserve most of the capacity, and
 * each host that is down reduces what they can move to. So only as many hosts are down at
 * once as are needed to finish in time, those with the fewest runs first. A wave of 20
 * out of 48 hosts in 20 s takes down 7 at a time, even if 12 are allowed. */

#include "sched/maintenance.h"

#include "sched/drain.h"
#include "sched/hosts.h"

#include <stdlib.h>
#include <string.h>

/* Time for which a host is expected to be unavailable, from the first stop of its runs to
 * its new runner's entry in the store: 4.1 s in a fleet of 48 hosts, of which the
 * maintenance takes 2 s; rounded up. */
#define HOST_DURATION (5 * KQ_SEC)
/* The wave should be completed this long before its time is over. */
#define WAVE_RESERVE (2 * KQ_SEC)
/* Delay before a host is drained again after its drain was given up. */
#define RETRY_BLOCKED (4 * KQ_SEC)
/* After this time a host counts as back, also without a new runner. */
#define DOWN_MAX (10 * KQ_SEC)
/* A runner that still lists its runs this long after the maintenance began wasn't ended
 * by the maintenance. */
#define STILL_ALIVE_AFTER KQ_SEC
/* A new leader waits this long before its first maintenance call, so that the calls of
 * two leaders for one host don't alternate. */
#define FIRST_CALL_DELAY (3200 * KQ_MS)
/* Delay before a maintenance call is repeated: after a call without an answer, after one
 * that was refused by the rate limit, and after one for a host that wasn't up. */
#define RETRY_UNANSWERED (600 * KQ_MS)
#define RETRY_LIMITED (300 * KQ_MS)
#define RETRY_BUSY KQ_SEC
/* How much the clocks of hosts may differ. */
#define CLOCK_SKEW_MS 5000

bool
kq_wave_host_may_be_called (const KqWaveHost *h)
{
  return h->to_call || h->outstanding || h->phase == KQ_HOST_CALLED;
}

bool
kq_wave_host_is_done (const KqWaveHost *h)
{
  return h->phase >= KQ_HOST_DOWN;
}

static void
free_wave (gpointer p)
{
  KqWave *w = p;
  for (size_t i = 0; i < w->n_hosts; i++)
    {
      free (w->hosts[i].host);
      free (w->hosts[i].kind);
      free (w->hosts[i].rack);
      free (w->hosts[i].old_runner);
    }
  free (w->hosts);
  free (w);
}

GPtrArray *
kq_maintenance_new_waves (void)
{
  return g_ptr_array_new_with_free_func (free_wave);
}

static KqWave *
find_wave (const KqSched *s, int64_t number)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      KqWave *w = g_ptr_array_index (s->waves, i);
      if (w->number == number)
        return w;
    }
  return NULL;
}

static KqWaveHost *
find_host (const KqWave *w, KqStr host)
{
  for (size_t i = 0; i < w->n_hosts; i++)
    if (kq_str_eq (kq_str (w->hosts[i].host), host))
      return &w->hosts[i];
  return NULL;
}

KqWaveHost *
kq_wave_add_host (KqWave *w, KqStr host)
{
  KqWaveHost *h = find_host (w, host);
  if (h != NULL)
    return h;
  w->hosts = kq_realloc (w->hosts, (w->n_hosts + 1) * sizeof *w->hosts);
  h = &w->hosts[w->n_hosts++];
  *h = (KqWaveHost){ .host = kq_str_dup (host) };
  return h;
}

KqWave *
kq_wave_get (KqSched *s, int64_t number)
{
  KqWave *w = find_wave (s, number);
  if (w != NULL)
    return w;
  w = kq_alloc (sizeof *w);
  w->number = number;
  g_ptr_array_add (s->waves, w);
  return w;
}

void
kq_sched_wave (KqSched *s, const KqWaveInfo *info, KqTime now)
{
  KqWave *w = kq_wave_get (s, info->number);
  if (w->requested)
    return;
  w->requested = true;
  w->cap = info->cap;
  w->duration_ms = info->duration_ms;
  if (w->ends_wall_ms == 0)
    w->ends_wall_ms = s->wall_minus_now_ms + now / KQ_MS + info->duration_ms;
  w->ends_at = (w->ends_wall_ms - s->wall_minus_now_ms) * KQ_MS;
  for (size_t i = 0; i < info->n_hosts; i++)
    kq_wave_add_host (w, info->hosts[i]);
  s->waves_dirty = s->waves_dirty || !w->completed;
  kq_log (KQ_LOG_INFO, PART,
          "Maintenance wave requested. wave=%lld hosts=%zu cap=%d duration_ms=%lld",
          (long long)w->number, w->n_hosts, w->cap, (long long)info->duration_ms);
}

/* How many hosts of the wave must be drained or down at once for it to end in time. */
static int32_t
needed_at_once (const KqWave *w, KqTime now)
{
  int64_t left = 0;
  KqTime time = w->ends_at - WAVE_RESERVE - now;
  int64_t wanted;
  for (size_t i = 0; i < w->n_hosts; i++)
    left += !kq_wave_host_is_done (&w->hosts[i]);
  if (time < HOST_DURATION)
    return w->cap;
  wanted = (left * HOST_DURATION + time - 1) / time;
  return wanted < w->cap ? (int32_t)wanted : w->cap;
}

/* Whether another wave is draining the host or has taken it down. */
static bool
in_other_wave (const KqSched *s, const KqWave *w, const char *host)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      const KqWave *other = g_ptr_array_index (s->waves, i);
      const KqWaveHost *h = other != w ? find_host (other, kq_str (host)) : NULL;
      if (h != NULL && h->phase > KQ_HOST_WAITING && h->phase < KQ_HOST_BACK)
        return true;
    }
  return false;
}

/* Hosts of the wave that are being drained or are down, by this wave or another one. */
static int32_t
count_unavailable (const KqSched *s, const KqWave *w)
{
  int32_t n = 0;
  for (size_t i = 0; i < w->n_hosts; i++)
    {
      KqHostPhase phase = w->hosts[i].phase;
      n += (phase > KQ_HOST_WAITING && phase < KQ_HOST_BACK)
           || in_other_wave (s, w, w->hosts[i].host);
    }
  return n;
}

/* The waiting host with the fewest runs; NULL: none. */
static KqWaveHost *
next_host (const KqSched *s, const KqWave *w, KqTime now)
{
  KqWaveHost *best = NULL;
  int least = 0;
  for (size_t i = 0; i < w->n_hosts; i++)
    {
      KqWaveHost *h = &w->hosts[i];
      KqRunnerState *r;
      int n;
      if (h->phase != KQ_HOST_WAITING || now < h->again_at
          || kq_hosts_runner (s, h->host, now, &r) == KQ_HOST_IS_UNKNOWN)
        continue;
      n = r != NULL ? r->n_runs : 0;
      if ((best != NULL && n >= least) || in_other_wave (s, w, h->host)
          || (r != NULL && kq_drain_takes_last_of_label (s, r)))
        continue;
      best = h;
      least = n;
    }
  return best;
}

static void
begin_drain (const KqSched *s, const KqWave *w, KqWaveHost *h, KqTime now)
{
  KqRunnerState *r;
  kq_hosts_runner (s, h->host, now, &r);
  h->phase = KQ_HOST_DRAINING;
  h->since = h->drained_since = now;
  if (r != NULL)
    {
      free (h->kind);
      free (h->rack);
      h->kind = kq_str_dup (kq_str (r->kind));
      h->rack = kq_str_dup (kq_str (r->rack));
    }
  kq_log (KQ_LOG_INFO, PART,
          "Draining a host for maintenance. wave=%lld host=%s runner=%s runs=%d",
          (long long)w->number, h->host, r != NULL ? r->id : "-",
          r != NULL ? r->n_runs : 0);
}

static void
call_maintenance (KqSched *s, const KqWave *w, KqWaveHost *h, KqTime now)
{
  KqRunnerState *r;
  kq_hosts_runner (s, h->host, now, &r);
  /* An unanswered call may have been carried out: the runner that is there when it is
   * repeated may be the new one. */
  h->repeated = h->outstanding || h->phase == KQ_HOST_CALLED;
  if (h->phase != KQ_HOST_CALLED || h->old_runner == NULL)
    {
      free (h->old_runner);
      h->old_runner = r != NULL ? kq_str_dup (kq_str (r->id)) : NULL;
    }
  h->phase = KQ_HOST_CALLED;
  h->to_call = false;
  h->since = now;
  h->again_at = KQ_TIME_NEVER; /* until the answer */
  kq_log (KQ_LOG_INFO, PART,
          "Calling for a host's maintenance. wave=%lld host=%s runner=%s runs=%d "
          "repeated=%d outstanding=%d",
          (long long)w->number, h->host, r != NULL ? r->id : "-",
          r != NULL ? r->n_runs : 0, h->repeated, h->outstanding);
  s->config.maintenance (s->config.arg, kq_str (h->host), w->number);
}

/* Whether the runner came to the host after the host was taken down. */
static bool
is_new_runner (const KqRunnerState *r, const KqWaveHost *h)
{
  return r != NULL && (h->old_runner == NULL || strcmp (r->id, h->old_runner) != 0);
}

/* Whether the maintenance of the host may still end the runner, which is on it. */
static bool
may_end_runner (const KqWaveHost *h, const KqRunnerState *r)
{
  switch (h->phase)
    {
    case KQ_HOST_WAITING:
    case KQ_HOST_BACK:
      return false;
    case KQ_HOST_DRAINING:
    case KQ_HOST_CALLED:
      return true;
    case KQ_HOST_DOWN:
      break;
    }
  return h->old_runner == NULL || !is_new_runner (r, h);
}

bool
kq_maintenance_may_end (const KqSched *s, const KqRunnerState *r)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      const KqWave *w = g_ptr_array_index (s->waves, i);
      for (size_t k = 0; k < w->n_hosts; k++)
        if (may_end_runner (&w->hosts[k], r) && strcmp (w->hosts[k].host, r->host) == 0)
          return true;
    }
  return false;
}

/* The runner's host, if a call to take it down may be carried out at any time; or NULL.
 */
static const KqWaveHost *
called_host (const KqSched *s, const KqRunnerState *r)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      const KqWaveHost *h = find_host (g_ptr_array_index (s->waves, i), kq_str (r->host));
      if (h != NULL && (h->phase == KQ_HOST_CALLED || h->outstanding))
        return h;
    }
  return NULL;
}

/* Sets host_leaving, host_called and host_waits of all runners by the phases of their
 * hosts. An entry may be missing or new at any change of phase, so no single change could
 * set and clear them. */
static void
update_leaving (KqSched *s)
{
  for (guint i = 0; i < s->runner_list->len; i++)
    {
      KqRunnerState *r = g_ptr_array_index (s->runner_list, i);
      bool before = r->host_leaving;
      const KqWaveHost *h;
      r->host_leaving = kq_maintenance_may_end (s, r);
      h = r->host_leaving ? called_host (s, r) : NULL;
      r->host_called = h != NULL;
      r->host_waits = h != NULL && h->phase == KQ_HOST_CALLED && h->repeated;
      if (before && !r->host_leaving)
        kq_runners_note_change (s, r);
      else if (before != r->host_leaving)
        kq_pools_note_change (s, r);
    }
}

/* Whether the host can be used again. During the time that a maintenance takes, a new
 * runner proves nothing: it may belong to an earlier maintenance and have registered just
 * before this one began. After that time either a new runner proves it, or the old one if
 * it still answers: the call also succeeds if an earlier leader has had the maintenance
 * done, and then the old runner isn't ended. Without the second proof such runners stay
 * unused while lasting tasks wait for room (5 of 66 runners). */
static bool
is_back (const KqSched *s, const KqWaveHost *h, const KqRunnerState *r, KqTime now)
{
  if (now - h->since < s->config.maintenance_ms * KQ_MS)
    return false;
  return now - h->since >= DOWN_MAX || is_new_runner (r, h)
         || (r != NULL && !r->silent && r->heard_at >= h->since + STILL_ALIVE_AFTER);
}

/* Has all waves wait until then before they drain the host. Its room would otherwise pass
 * from one wave to the next, and tasks that need it would never get it. */
static void
postpone_drains (const KqSched *s, const char *host, KqTime until)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      KqWaveHost *h = find_host (g_ptr_array_index (s->waves, i), kq_str (host));
      if (h != NULL && h->phase == KQ_HOST_WAITING && h->again_at < until)
        h->again_at = until;
    }
}

/* Has a drained host taken down, as soon as the stored record names it. */
static void
request_call (KqSched *s, const KqWave *w, KqWaveHost *h, KqTime now)
{
  if (h->recorded)
    call_maintenance (s, w, h, now);
  else if (!h->to_call)
    h->to_call = s->waves_dirty = true;
}

/* Has the host wait for its turn again. Not for a host with an unanswered call. */
static void
withdraw_host (KqSched *s, KqWaveHost *h, KqTime again_at)
{
  if (kq_wave_host_may_be_called (h))
    s->waves_dirty = true;
  h->phase = KQ_HOST_WAITING;
  h->to_call = false;
  h->again_at = again_at;
}

/* Has the host taken down if it is drained; gives the drain up if it can't be completed,
 * unless a call may be carried out all the same. */
static void
take_down (KqSched *s, const KqWave *w, KqWaveHost *h, const KqRunnerState *r,
           bool drained, KqTime now)
{
  if (drained)
    request_call (s, w, h, now);
  else if (!h->outstanding && kq_drain_is_blocked (s, r, h->drained_since, now))
    {
      kq_log (KQ_LOG_INFO, PART,
              "Giving up a drain, as a task waits for room. wave=%lld host=%s runs=%d",
              (long long)w->number, h->host, r->n_runs);
      withdraw_host (s, h, now);
      postpone_drains (s, h->host, now + RETRY_BLOCKED);
    }
}

static void
update_host (KqSched *s, const KqWave *w, KqWaveHost *h, KqTime now)
{
  KqRunnerState *r;
  bool known = kq_hosts_runner (s, h->host, now, &r) != KQ_HOST_IS_UNKNOWN;
  switch (h->phase)
    {
    case KQ_HOST_WAITING:
    case KQ_HOST_BACK:
      break;
    case KQ_HOST_DRAINING:
      if (known)
        take_down (s, w, h, r, r == NULL || kq_drain_host (s, r, h->drained_since, now),
                   now);
      break;
    case KQ_HOST_CALLED:
      if (known && now >= h->again_at)
        take_down (s, w, h, r, r == NULL || kq_drain_is_done (r, h->drained_since, now),
                   now);
      break;
    case KQ_HOST_DOWN:
      if (!is_back (s, h, r, now))
        break;
      h->phase = KQ_HOST_BACK;
      /* With the next write, but there may be none any more. */
      s->waves_dirty = s->waves_dirty || w->completed;
      break;
    }
}

static void
update_wave (KqSched *s, KqWave *w, KqTime now)
{
  int32_t wanted;
  for (size_t i = 0; i < w->n_hosts; i++)
    update_host (s, w, &w->hosts[i], now);
  /* Of a completed wave the last hosts have yet to come back. Of one whose request hasn't
   * been read only the calls of earlier leaders are followed up. */
  if (w->completed || !w->requested)
    return;
  wanted = needed_at_once (w, now);
  for (int32_t n = count_unavailable (s, w); n < wanted; n++)
    {
      KqWaveHost *h = next_host (s, w, now);
      if (h == NULL)
        break;
      begin_drain (s, w, h, now);
    }
  for (size_t i = 0; i < w->n_hosts; i++)
    if (!kq_wave_host_is_done (&w->hosts[i]))
      return;
  w->completed = true;
  s->waves_dirty = true;
  kq_log (KQ_LOG_INFO, PART, "Maintenance wave completed. wave=%lld left_ms=%lld",
          (long long)w->number, (long long)((w->ends_at - now) / KQ_MS));
}

void
kq_maintenance_update (KqSched *s, KqTime now)
{
  if (s->config.maintenance == NULL)
    return;
  if (now - s->started_at >= FIRST_CALL_DELAY && !s->waves_unreadable)
    for (guint i = 0; i < s->waves->len; i++)
      update_wave (s, g_ptr_array_index (s->waves, i), now);
  update_leaving (s);
}

/* Whether the runner that was on the host at the call started before the wave, so that
 * the maintenance has ended it. A runner that started later may have come up after an
 * earlier call whose answer was lost, and then it goes on. */
static bool
started_before_wave (const KqSched *s, const KqWave *w, const KqWaveHost *h)
{
  const KqRunnerState *r
      = h->old_runner != NULL ? kq_runners_find (s, kq_str (h->old_runner)) : NULL;
  int64_t begun_ms = w->ends_wall_ms - w->duration_ms;
  return r != NULL && r->started_ms != 0 && r->started_ms < begun_ms - CLOCK_SKEW_MS;
}

void
kq_sched_maintenance_ended (KqSched *s, int64_t wave, KqStr host,
                            KqMaintenanceResult result, KqTime now)
{
  KqWave *w = find_wave (s, wave);
  KqWaveHost *h = w != NULL ? find_host (w, host) : NULL;
  kq_log (KQ_LOG_INFO, PART, "Maintenance call answered. wave=%lld host=%.*s result=%s",
          (long long)wave, KQ_STR_ARG (host), kq_maintenance_result_name (result));
  if (h == NULL || h->phase != KQ_HOST_CALLED)
    return;
  switch (result)
    {
    case KQ_MAINTENANCE_OK:
      h->phase = KQ_HOST_DOWN;
      h->since = now;
      h->outstanding = false;
      s->waves_dirty = true;
      if (started_before_wave (s, w, h))
        kq_runners_note_taken_down (s, kq_str (h->old_runner), now);
      break;
    case KQ_MAINTENANCE_FOREIGN:
      h->phase = KQ_HOST_BACK; /* it has gone for good: nothing to wait for */
      h->outstanding = false;
      s->waves_dirty = true;
      break;
    case KQ_MAINTENANCE_BUSY:
      if (h->outstanding)
        h->again_at = now + RETRY_BUSY;
      else
        withdraw_host (s, h, now + RETRY_BUSY);
      break;
    case KQ_MAINTENANCE_LIMITED:
      h->again_at = now + RETRY_LIMITED;
      break;
    case KQ_MAINTENANCE_FENCED:
      h->again_at = now + RETRY_UNANSWERED;
      break;
    case KQ_MAINTENANCE_UNKNOWN:
      h->outstanding = true;
      h->again_at = now + RETRY_UNANSWERED;
      break;
    }
  update_leaving (s);
}
