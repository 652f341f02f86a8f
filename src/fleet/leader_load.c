#include "fleet/leader_load.h"

#include "base/log.h"
#include "base/rand.h"
#include "fleet/follow.h"
#include "fleet/keys.h"
#include "port/source.h"
#include "sched/sched.h"

#include <ev.h>
#include <glib.h>

#include <stdlib.h>

#define PART "leader"
#define CALL_TIMEOUT_MS 1500
/* Longest wait of a watch, and pauses before the next one, so that changes are collected.
 * Jobs have a longer pause: nodes report them, and the watch only finds lost reports. */
#define WATCH_MS 2000
#define JOBS_PAUSE_MS 250
#define RUNNERS_PAUSE_MS 50

typedef enum
{
  LOAD_WAVES,   /* state of maintenance waves */
  LOAD_LEARNED, /* which tasks disturb which, learned by earlier leaders */
  /* Learned run times, if they are switched on. */
  LOAD_ESTIMATES,
  LOAD_RUNNERS, /* runners on which runs of earlier leaders may exist */
  LOAD_AGENTS,  /* nodes that may have granted leases to them */
  LOAD_JOBS,    /* accepted jobs and cancellations */
  LOAD_PROGRESS,
  LOAD_ENTRIES, /* the runners' own entries in the store */
  LOAD_DONE
} LoadPhase;

/* A listed job that isn't passed on yet. */
typedef struct
{
  KqBuf stored;
  uint64_t revision;
} HeldJob;

struct KqLeaderLoad
{
  KqLeaderLoadConfig config;
  KqFollow *jobs;
  GPtrArray *held; /* HeldJob: while jobs are listed again */
  KqFollow *entries;
  LoadPhase phase;
  char *page_after; /* last key of the previous page of progress */
  int failures;     /* consecutive failed calls */
  KqRand rand;
  ev_timer retry; /* repeats a failed call */
  uint64_t *entries_unusable;
  bool call_pending; /* a call with the callback on_loaded is outstanding */
  bool freed;        /* freed while that call was outstanding */
};

static void load (KqLeaderLoad *l);

static void
free_held (gpointer p)
{
  HeldJob *h = p;
  kq_buf_free (&h->stored);
  free (h);
}

static void
destroy (KqLeaderLoad *l)
{
  l->config.freed (l->config.arg);
  g_ptr_array_free (l->held, TRUE);
  free (l->page_after);
  free (l);
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  KqLeaderLoad *l = arg;
  l->config.answered (l->config.arg, sent_at, now);
}

static void
pass_job (KqLeaderLoad *l, KqStr stored, uint64_t revision, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_JOB };
  i.u.job.stored = stored;
  i.u.job.revision = revision;
  l->config.item (l->config.arg, &i, now);
}

/* A cancelled job stands in an earlier page than its cancellation. When the leader
 * already schedules, the job must not start in between. */
static void
hold_job (KqLeaderLoad *l, KqStr stored, uint64_t revision)
{
  HeldJob *h = kq_alloc (sizeof *h);
  kq_buf_add_str (&h->stored, stored);
  h->revision = revision;
  g_ptr_array_add (l->held, h);
}

static void
on_job_item (void *arg, const KqKvItem *i, KqTime now)
{
  KqLeaderLoad *l = arg;
  KqStr id = kq_key_id (i->key, KQ_KEY_JOB);
  KqStr cancelled = kq_key_id (i->key, KQ_KEY_CANCEL);
  KqAgentItem cancel = { .kind = KQ_AGENT_ITEM_CANCEL };
  if (id.len > 0 && l->phase > LOAD_JOBS && kq_follow_is_listing (l->jobs))
    hold_job (l, i->value, i->revision);
  else if (id.len > 0)
    pass_job (l, i->value, i->revision, now);
  else if (cancelled.len > 0)
    {
      cancel.u.cancel.id = cancelled;
      cancel.u.cancel.revision = i->revision;
      l->config.item (l->config.arg, &cancel, now);
    }
}

static void
on_jobs_synced (void *arg, KqTime now)
{
  KqLeaderLoad *l = arg;
  for (guint i = 0; i < l->held->len; i++)
    {
      const HeldJob *h = g_ptr_array_index (l->held, i);
      pass_job (l, kq_buf_str (&h->stored), h->revision, now);
    }
  g_ptr_array_set_size (l->held, 0);
  if (l->phase != LOAD_JOBS)
    return;
  l->phase = LOAD_PROGRESS;
  load (l);
}

static void
on_runner_entry (void *arg, const KqRunnerEntry *e)
{
  KqLeaderLoad *l = arg;
  kq_sched_entry (l->config.sched, e, kq_loop_now (l->config.loop));
}

static void
on_entry_item (void *arg, const KqKvItem *i, KqTime now)
{
  KqLeaderLoad *l = arg;
  KqStr id = kq_source_runner_id (i->key);
  const char *bad;
  if (!kq_source_runner (i->key, i->value, &bad, on_runner_entry, l))
    {
      ++*l->entries_unusable;
      kq_log (KQ_LOG_WARN, PART,
              "A runner's entry can't be used. runner=%.*s revision=%llu field=%s",
              KQ_STR_ARG (id), (unsigned long long)i->revision, bad);
      kq_sched_entry_unusable (l->config.sched, id, now);
    }
  l->config.changed (l->config.arg);
}

static void
on_entry_gone (void *arg, KqStr key, uint64_t revision, KqTime now)
{
  KqLeaderLoad *l = arg;
  (void)revision;
  kq_sched_entry_gone (l->config.sched, kq_source_runner_id (key), now);
  l->config.changed (l->config.arg);
}

static void
on_entries_synced (void *arg, KqTime now)
{
  KqLeaderLoad *l = arg;
  if (l->phase != LOAD_ENTRIES)
    return;
  l->phase = LOAD_DONE;
  l->config.loaded (l->config.arg, now);
}

static void
on_retry (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  load (w->data);
}

static void
retry_load (KqLeaderLoad *l, bool cut)
{
  int ms = kq_follow_retry_ms (&l->rand, ++l->failures, cut);
  ev_timer_set (&l->retry, ms / 1000.0, 0);
  ev_timer_start (kq_loop_ev (l->config.loop), &l->retry);
}

/* Keys of the phases that load a single value. */
static const char *const value_keys[] = { [LOAD_WAVES] = KQ_KEY_WAVES,
                                          [LOAD_LEARNED] = KQ_KEY_LEARNED,
                                          [LOAD_ESTIMATES] = KQ_KEY_ESTIMATES,
                                          [LOAD_RUNNERS] = KQ_KEY_RUNNERS,
                                          [LOAD_AGENTS] = KQ_KEY_AGENTS };

static bool
load_value (KqLeaderLoad *l, KqStr value, KqTime now)
{
  if (l->phase == LOAD_WAVES)
    return kq_sched_waves_stored (l->config.sched, value, now);
  if (l->phase == LOAD_LEARNED)
    return kq_sched_learned (l->config.sched, value);
  if (l->phase == LOAD_ESTIMATES)
    return kq_sched_estimates (l->config.sched, value);
  if (l->phase == LOAD_AGENTS)
    return kq_sched_used_agents (l->config.sched, value, now);
  return kq_sched_used_runners (l->config.sched, value, now);
}

static void
on_loaded (void *arg, const KqKvReply *r, KqTime now)
{
  KqLeaderLoad *l = arg;
  l->call_pending = false;
  if (l->freed)
    {
      destroy (l);
      return;
    }
  if (r->result != KQ_KV_OK && r->result != KQ_KV_NOT_FOUND)
    {
      kq_log (KQ_LOG_WARN, PART, "Loading failed; retrying. phase=%d result=%d", l->phase,
              r->result);
      retry_load (l, r->partial);
      return;
    }
  l->failures = 0;
  on_answered (l, r->called_at, now);
  if (l->phase < LOAD_JOBS)
    {
      if (r->n_items == 1 && !load_value (l, r->items[0].value, now))
        kq_log (KQ_LOG_ERROR, PART, "A stored value cannot be decoded. key=%s",
                value_keys[l->phase]);
      l->phase++;
      if (l->phase == LOAD_ESTIMATES && !l->config.learned_estimates)
        l->phase++;
    }
  else
    {
      for (size_t i = 0; i < r->n_items; i++)
        kq_sched_apply_progress (l->config.sched,
                                 kq_key_id (r->items[i].key, KQ_KEY_PROGRESS),
                                 r->items[i].value, now);
      if (r->more && r->n_items > 0)
        {
          free (l->page_after);
          l->page_after = kq_str_dup (r->items[r->n_items - 1].key);
        }
      else
        l->phase = LOAD_ENTRIES;
    }
  load (l);
}

/* Starts the present phase of loading. */
static void
load (KqLeaderLoad *l)
{
  KqFollowOwner jobs = { l, on_job_item, NULL, on_jobs_synced, on_answered, NULL };
  KqFollowOwner entries
      = { l, on_entry_item, on_entry_gone, on_entries_synced, on_answered, NULL };
  KqKvCallback cb = { on_loaded, l };
  switch (l->phase)
    {
    case LOAD_WAVES:
    case LOAD_LEARNED:
    case LOAD_ESTIMATES:
    case LOAD_RUNNERS:
    case LOAD_AGENTS:
      l->call_pending = true;
      kq_kv_get (l->config.kv, kq_str (value_keys[l->phase]), CALL_TIMEOUT_MS, cb);
      break;
    case LOAD_JOBS:
      l->jobs = kq_follow_new (l->config.loop, l->config.kv, KQ_STR (KQ_KEY_IN), WATCH_MS,
                               JOBS_PAUSE_MS, &jobs);
      break;
    case LOAD_PROGRESS:
      l->call_pending = true;
      kq_kv_range (l->config.kv, KQ_STR (KQ_KEY_PROGRESS), kq_str (l->page_after),
                   CALL_TIMEOUT_MS, cb);
      break;
    case LOAD_ENTRIES:
      l->entries
          = kq_follow_new (l->config.loop, l->config.kv, kq_source_runners_prefix (),
                           WATCH_MS, RUNNERS_PAUSE_MS, &entries);
      break;
    case LOAD_DONE:
      break;
    }
}

KqLeaderLoad *
kq_leader_load_new (const KqLeaderLoadConfig *c)
{
  KqLeaderLoad *l = kq_alloc (sizeof *l);
  l->config = *c;
  l->held = g_ptr_array_new_with_free_func (free_held);
  l->rand = kq_rand (kq_rand_system ());
  l->entries_unusable
      = kq_counter (c->counters, "kq_runner_entries_unusable_total", "",
                    "Entries of runners with a field missing or of another type.");
  ev_timer_init (&l->retry, on_retry, 0, 0);
  l->retry.data = l;
  return l;
}

void
kq_leader_load_start (KqLeaderLoad *l)
{
  load (l);
}

void
kq_leader_load_free (KqLeaderLoad *l)
{
  ev_timer_stop (kq_loop_ev (l->config.loop), &l->retry);
  kq_follow_free (l->jobs);
  kq_follow_free (l->entries);
  l->freed = true;
  if (!l->call_pending)
    destroy (l);
}

bool
kq_leader_load_is_done (const KqLeaderLoad *l)
{
  return l->phase == LOAD_DONE;
}
