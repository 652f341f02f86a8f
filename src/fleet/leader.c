#include "fleet/leader.h"

#include "base/log.h"
#include "election/election.h"
#include "fleet/batch.h"
#include "fleet/early_cancels.h"
#include "fleet/leader_admit.h"
#include "fleet/leader_load.h"
#include "fleet/operator.h"
#include "fleet/waves.h"

#include <ev.h>
#include <glib.h>

#include <stdlib.h>

#define PART "leader"

struct KqLeader
{
  KqLeaderConfig config;
  KqSched *sched;
  KqBatch *batch;
  KqWaves *waves; /* NULL until loaded */
  KqLeaderAdmit *admit;
  KqLeaderLoad *load;
  GPtrArray *peers; /* KqPeer by agent number; NULL: disconnected */
  KqEarlyCancels *early_cancels;
  int own_agent; /* agent number of this node */
  KqFleetOperatorRate operator_rate;
  ev_timer timer; /* the next run of the scheduler or write of the batch */
  ev_prepare before_poll;
  KqTime next_at; /* when the scheduler's next run is due */
  bool dirty;     /* input has arrived since the last run */
  bool closing;   /* the owner's deposed callback is running */
};

static void
destroy (void *arg)
{
  KqLeader *l = arg;
  kq_leader_admit_free (l->admit);
  kq_sched_free (l->sched);
  g_ptr_array_free (l->peers, TRUE);
  free (l);
}

static void
on_order (void *arg, int agent, const KqOrder *o)
{
  KqLeader *l = arg;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_ORDER };
  KqPeer *p;
  if (agent == l->own_agent)
    {
      kq_agent_order (l->config.agent, l->config.epoch, o, kq_loop_now (l->config.loop));
      return;
    }
  p = (guint)agent < l->peers->len ? g_ptr_array_index (l->peers, agent) : NULL;
  if (p == NULL)
    return;
  i.u.order = *o;
  kq_link_send_peer (p, &i);
}

static void
on_sched_maintenance (void *arg, KqStr host, int64_t wave)
{
  KqLeader *l = arg;
  if (l->waves != NULL)
    kq_waves_start_maintenance (l->waves, host, wave);
}

static const KqQueue *
find_queue (void *arg, KqStr name)
{
  const KqLeader *l = arg;
  const KqQueueTable *t = l->config.queues (l->config.arg);
  return t != NULL ? kq_queue_by_name (t, name) : NULL;
}

static void
on_changed (void *arg)
{
  KqLeader *l = arg;
  l->dirty = true;
}

static void
on_deposed (void *arg, const char *why, KqTime now)
{
  KqLeader *l = arg;
  l->config.deposed (l->config.arg, why, now);
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  KqLeader *l = arg;
  l->config.answered (l->config.arg, sent_at, now);
}

static void
run_sched (KqLeader *l, KqTime now)
{
  l->dirty = false;
  l->next_at = kq_sched_run (l->sched, now, kq_time_wall_ms ());
}

static void
start_timer (KqLeader *l, KqTime now)
{
  struct ev_loop *ev = kq_loop_ev (l->config.loop);
  KqTime at = l->next_at;
  KqTime batch
      = kq_leader_load_is_done (l->load) ? kq_batch_due (l->batch) : KQ_TIME_NEVER;
  if (batch < at)
    at = batch;
  ev_timer_stop (ev, &l->timer);
  ev_timer_set (&l->timer, at > now ? (double)(at - now) / KQ_SEC : 0, 0);
  ev_timer_start (ev, &l->timer);
}

/* Sends the load to all nodes when that is due. Nodes use it for admission only. */
static void
send_load (KqLeader *l, KqTime now)
{
  KqLoadDigest load;
  const KqAgentItem *i;
  /* To ask for the load costs a walk over all runners. */
  if (!l->config.features.admission || !kq_leader_admit_may_send (l->admit, now))
    return;
  kq_sched_load (l->sched, now, &load);
  i = kq_leader_admit_send (l->admit, &load, (KqPeer **)l->peers->pdata, l->peers->len,
                            now);
  if (i != NULL && l->config.load != NULL)
    l->config.load (l->config.arg, i, now);
}

/* Runs the scheduler once for all input of one loop iteration. */
static void
on_before_poll (struct ev_loop *ev, ev_prepare *w, int events)
{
  KqLeader *l = w->data;
  KqTime now;
  (void)ev;
  (void)events;
  if (!l->dirty)
    return;
  now = kq_loop_now (l->config.loop);
  run_sched (l, now);
  send_load (l, now);
  if (kq_leader_load_is_done (l->load) && kq_batch_due (l->batch) <= now)
    kq_batch_write (l->batch, now);
  if (l->waves != NULL && !l->closing)
    kq_waves_write (l->waves, now);
  if (kq_leader_load_is_done (l->load))
    kq_early_cancels_delete_old (l->early_cancels, now);
  start_timer (l, now);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqLeader *l = w->data;
  (void)ev;
  (void)events;
  l->dirty = true; /* handled by on_before_poll */
}

static void
on_stored_item (void *arg, const KqAgentItem *i, KqTime now)
{
  kq_leader_handle_item (arg, NULL, i, now);
}

static void
start_waves (KqLeader *l)
{
  KqWavesConfig c = { .loop = l->config.loop,
                      .kv = l->config.kv,
                      .calls = l->config.maintenance,
                      .sched = l->sched,
                      .holder = l->config.self.name,
                      .epoch = l->config.epoch,
                      .arg = l,
                      .changed = on_changed,
                      .deposed = on_deposed,
                      .answered = on_answered };
  l->waves = kq_waves_new (&c);
}

/* Cancels the job if it is known. */
static bool
cancel_known (void *arg, KqStr id)
{
  KqLeader *l = arg;
  if (kq_sched_state (l->sched, id) == KQ_JOB_UNKNOWN)
    return false;
  kq_sched_cancel (l->sched, id, kq_loop_now (l->config.loop));
  return true;
}

static void
on_state_loaded (void *arg, KqTime now)
{
  KqLeader *l = arg;
  kq_sched_loaded (l->sched, now);
  start_waves (l);
  kq_early_cancels_filter (l->early_cancels, cancel_known, l);
  l->dirty = true;
}

KqLeader *
kq_leader_new (const KqLeaderConfig *c, KqTime now)
{
  KqLeader *l = kq_alloc (sizeof *l);
  struct ev_loop *ev = kq_loop_ev (c->loop);
  KqSchedConfig sched
      = { .epoch = c->epoch,
          .term = c->term,
          .lease_ms = c->lease_ms,
          .renew_without_leader_ms = c->renew_without_leader_ms,
          .keep_ms = c->keep_ms,
          .maintenance_ms = c->maintenance_ms,
          .job_bytes_max = c->job_bytes_max,
          .features = c->features,
          .cordons = c->cordons,
          .counters = c->counters,
          .order = on_order,
          .queue = c->queues != NULL ? find_queue : NULL,
          .maintenance = c->maintenance != NULL ? on_sched_maintenance : NULL,
          .arg = l };
  KqBatchConfig batch = { .kv = c->kv,
                          .epoch = c->epoch,
                          .counters = c->counters,
                          .arg = l,
                          .deposed = on_deposed,
                          .answered = on_answered };
  KqEarlyCancelsConfig cancels = { .kv = c->kv,
                                   .epoch = c->epoch,
                                   .keep_ms = c->keep_ms,
                                   .counters = c->counters,
                                   .arg = l,
                                   .deposed = on_deposed,
                                   .answered = on_answered };
  KqLeaderLoadConfig load = { .loop = c->loop,
                              .kv = c->kv,
                              .learned_estimates = c->features.learned_estimates,
                              .counters = c->counters,
                              .arg = l,
                              .item = on_stored_item,
                              .changed = on_changed,
                              .loaded = on_state_loaded,
                              .answered = on_answered,
                              .freed = destroy };
  l->config = *c;
  l->config.self.leader = true;
  l->own_agent = -1;
  l->peers = g_ptr_array_new ();
  l->early_cancels = kq_early_cancels_new (&cancels);
  l->sched = kq_sched_new (&sched, now);
  l->admit = kq_leader_admit_new (l->sched, c->counters);
  kq_leader_admit_note_unheard (l->admit, now);
  batch.sched = l->sched;
  batch.loop = c->loop;
  l->batch = kq_batch_new (&batch);
  run_sched (l, now);
  l->own_agent = kq_sched_agent_up (l->sched, &l->config.self, now);
  ev_timer_init (&l->timer, on_timer, 0, 0);
  ev_prepare_init (&l->before_poll, on_before_poll);
  l->timer.data = l->before_poll.data = l;
  ev_prepare_start (ev, &l->before_poll);
  l->dirty = true;
  load.sched = l->sched;
  l->load = kq_leader_load_new (&load);
  kq_leader_load_start (l->load);
  return l;
}

void
kq_leader_free (KqLeader *l)
{
  struct ev_loop *ev;
  if (l == NULL)
    return;
  ev = kq_loop_ev (l->config.loop);
  ev_timer_stop (ev, &l->timer);
  ev_prepare_stop (ev, &l->before_poll);
  kq_waves_free (l->waves);
  kq_batch_free (l->batch);
  kq_early_cancels_free (l->early_cancels);
  kq_leader_load_free (l->load); /* calls destroy */
}

/* Ends the older connection of a node that has reconnected and released its runners. */
static void
end_earlier_connection (KqLeader *l, const KqAgentInfo *info, KqTime now)
{
  int agent = kq_sched_agent_find (l->sched, kq_name_str (&info->name));
  KqPeer *p = agent >= 0 && (guint)agent < l->peers->len
                  ? g_ptr_array_index (l->peers, agent)
                  : NULL;
  if (p == NULL)
    return;
  kq_leader_node_left (l, p, false, now);
}

void
kq_leader_node_joined (KqLeader *l, KqPeer *p, const KqAgentInfo *info, KqTime now)
{
  KqAgentInfo agent_info = *info;
  int agent;
  end_earlier_connection (l, info, now);
  agent_info.leader = false;
  agent = kq_sched_agent_up (l->sched, &agent_info, now);
  kq_peer_set_agent (p, agent);
  while (l->peers->len <= (guint)agent)
    g_ptr_array_add (l->peers, NULL);
  g_ptr_array_index (l->peers, agent) = p;
  kq_log (KQ_LOG_INFO, PART, "Node joined. node=%.*s agent=%d share_milli=%d",
          KQ_STR_ARG (kq_name_str (&info->name)), agent, info->share_milli);
  l->dirty = true;
}

void
kq_leader_cordons_changed (KqLeader *l, KqTime now)
{
  kq_sched_cordons_changed (l->sched, now);
  l->dirty = true;
}

int
kq_leader_node_share (const KqLeader *l, const KqPeer *p)
{
  int agent = kq_peer_agent (p);
  return agent >= 0 ? kq_sched_agent_share (l->sched, agent) : 0;
}

void
kq_leader_node_left (KqLeader *l, KqPeer *p, bool planned, KqTime now)
{
  int agent = kq_peer_agent (p);
  if (agent < 0)
    return;
  g_ptr_array_index (l->peers, agent) = NULL;
  kq_sched_agent_down (l->sched, agent, planned, now);
  if (!planned)
    kq_leader_admit_note_unheard (l->admit, now);
  kq_peer_set_agent (p, -1);
  l->dirty = true;
}

static void
handle_cancel (KqLeader *l, const KqAgentItem *i, KqTime now)
{
  KqStr id = i->u.cancel.id;
  if (!kq_leader_load_is_done (l->load) || !cancel_known (l, id))
    kq_early_cancels_add (l->early_cancels, id, i->u.cancel.revision, now);
}

static void
handle_job (KqLeader *l, const KqAgentItem *i, KqTime now)
{
  KqSpec spec;
  if (!kq_sched_add_job (l->sched, i->u.job.stored, i->u.job.revision, now)
      || !kq_leader_load_is_done (l->load)
      || kq_early_cancels_count (l->early_cancels) == 0
      || !kq_spec_unpack (i->u.job.stored, &spec))
    return;
  if (kq_early_cancels_take (l->early_cancels, spec.id))
    kq_sched_cancel (l->sched, spec.id, now);
  kq_spec_clear (&spec);
}

void
kq_leader_handle_item (KqLeader *l, KqPeer *p, const KqAgentItem *i, KqTime now)
{
  int agent = p == NULL ? l->own_agent : kq_peer_agent (p);
  bool from_runner = i->kind == KQ_AGENT_ITEM_LIST || i->kind == KQ_AGENT_ITEM_OUTCOME
                     || i->kind == KQ_AGENT_ITEM_UNREACHED
                     || i->kind == KQ_AGENT_ITEM_ADVICE
                     || i->kind == KQ_AGENT_ITEM_GRANTS;
  /* The connection has been replaced by a newer one of the same node. Its agent number of
   * -1 must not reach the scheduler, where -1 marks runners without an agent. */
  if (from_runner && agent < 0)
    return;
  if (i->kind == KQ_AGENT_ITEM_WRITING)
    {
      kq_leader_admit_note_write (l->admit, i->u.writing.id, i->u.writing.over, now);
      return;
    }
  l->dirty = true;
  switch (i->kind)
    {
    case KQ_AGENT_ITEM_LIST:
      kq_sched_list (l->sched, agent, i->runner, &i->u.list, now);
      break;
    case KQ_AGENT_ITEM_OUTCOME:
      kq_sched_outcome (l->sched, agent, i->runner, &i->u.outcome, now);
      if (i->u.outcome.result == KQ_ORDER_FENCED)
        l->config.deposed (l->config.arg, "a runner has seen a higher epoch", now);
      break;
    case KQ_AGENT_ITEM_UNREACHED:
      if (i->u.unreached.other_runner)
        kq_sched_runner_replaced (l->sched, agent, i->runner, i->u.unreached.assignment,
                                  i->u.unreached.lease_left_ms, now);
      else
        kq_sched_unreached (l->sched, agent, i->runner, i->u.unreached.assignment,
                            i->u.unreached.lease_left_ms, now);
      break;
    case KQ_AGENT_ITEM_FENCED:
      l->config.deposed (l->config.arg, "a runner has seen a higher epoch", now);
      break;
    case KQ_AGENT_ITEM_GRANTS:
      kq_sched_grants (l->sched, agent, &i->u.grants, now);
      break;
    case KQ_AGENT_ITEM_ADVICE:
      kq_sched_advice (l->sched, agent, &i->u.advice, now);
      break;
    case KQ_AGENT_ITEM_JOB:
      handle_job (l, i, now);
      break;
    case KQ_AGENT_ITEM_CANCEL:
      handle_cancel (l, i, now);
      break;
    default: /* not from a node, or handled by fleet/fleet.c or fleet/link.c */
      break;
    }
}

int64_t
kq_leader_query (KqLeader *l, KqAskKind what, KqStr about, KqTime now, KqBuf *text)
{
  KqLoadDigest load;
  if (!kq_leader_load_is_done (l->load))
    return -1;
  switch (what)
    {
    case KQ_ASK_STATE:
      return kq_sched_state (l->sched, about);
    case KQ_ASK_WAITING:
      return kq_sched_waiting (l->sched, about);
    case KQ_ASK_ADMIT:
      kq_sched_load (l->sched, now, &load);
      return kq_leader_admit_answer (l->admit, &load, about, now);
    case KQ_ASK_EXPLAIN:
    case KQ_ASK_LOAD:
    case KQ_ASK_CORDONS:
      return kq_fleet_operator_explain (l->sched, &l->operator_rate, what, about, now,
                                        text);
    case KQ_ASK_ACCEPT: /* handled by fleet/accepts.c */
      break;
    }
  return -1;
}

KqSched *
kq_leader_sched (KqLeader *l)
{
  return l->sched;
}
