#include "fleet/fleet.h"

#include "base/log.h"
#include "base/task.h"
#include "crew/agent.h"
#include "fleet/accepts.h"
#include "fleet/front.h"
#include "fleet/leader.h"
#include "fleet/link.h"
#include "fleet/metrics.h"
#include "fleet/queue_keys.h"
#include "fleet/reach.h"
#include "lead/doubt.h"
#include "lead/lead.h"
#include "lead/yield.h"
#include "platform/platform.h"

#include <ev.h>
#include <glib.h>

#include <stdio.h>
#include <stdlib.h>

#define PART "fleet"
/* Length of the lead's lease: work stands still for about so long when a leader dies, and
 * a host that is slow or a renewal that is lost must not end it. */
#define LEAD_TTL_MS 1500
/* Leases of runners: a gap of leadership and a slow host must not end them; a dead
 * runner's tasks wait for their end. */
#define RUNNER_LEASE_MS 5000
/* Without a leader, leases of runners are renewed for as long as an election may take:
 * the old leader's lease, then this. */
#define ELECTION_MS 2500
#define LOOK_S 0.2
/* A planned stop: the platform sends no new connections after two missed probes, a second
 * apart. */
#define STOP_LINGER (3200 * KQ_MS)
/* The end comes so long before the platform would kill the process. */
#define STOP_MARGIN (500 * KQ_MS)
/* Nodes nearer to the store and with more processor try first to lead. */
#define RANK_BY_SHARE_MS 200

struct KqFleet
{
  KqFleetConfig config;
  KqKv *kv;
  KqRunnerCalls *calls;
  KqAdviceCalls *advice;           /* NULL: none in the settings */
  KqMaintenanceCalls *maintenance; /* NULL as well */
  KqCrewAgent *agent;
  KqLink *link;
  KqLead *lead;
  KqLeader *leader; /* while this node leads */
  KqAccepts *accepts;
  KqFrontDesk *desk;
  KqFront *front;
  KqMetrics *metrics;
  KqQueueKeys *queues;
  KqAgentInfo self;
  KqReach store;
  KqLeadDoubt doubt;
  KqYield yield; /* the strongest node heard of since the election */
  bool store_lost;
  bool leaving;
  bool stopped;
  KqTime leaving_at;
  ev_timer look;
};

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  KqFleet *f = arg;
  (void)sent_at;
  if (f->store_lost)
    kq_log (KQ_LOG_INFO, PART, "The store answers again. away_ms=%lld",
            (long long)((now - f->store.alive_at) / KQ_MS));
  f->store_lost = false;
  kq_reach_alive (&f->store, now);
}

static void
on_store_alive (void *arg, KqTime now)
{
  on_answered (arg, 0, now);
}

static void
on_store_failed (void *arg, KqTime sent_at)
{
  KqFleet *f = arg;
  kq_reach_failed (&f->store, sent_at);
}

static KqReachState
store_state (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return kq_reach_state (&f->store, now);
}

static bool
store_by_leader (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return kq_reach_by_leader (&f->store, now);
}

static int64_t
lead_ttl_ms (const KqFleet *f)
{
  int64_t least = f->config.settings->lease_min_ms;
  return least > LEAD_TTL_MS ? least : LEAD_TTL_MS;
}

static int64_t
runner_lease_ms (const KqFleet *f)
{
  int64_t most = f->config.settings->runner_lease_max_ms;
  return most < RUNNER_LEASE_MS ? most : RUNNER_LEASE_MS;
}

static const KqQueueTable *
table (void *arg)
{
  const KqFleet *f = arg;
  return kq_queue_keys_table (f->queues);
}

/* Leading. */

static void
on_deposed (void *arg, const char *why, KqTime now)
{
  KqFleet *f = arg;
  kq_lead_resign (f->lead, why, !f->leaving, now);
}

static void
on_elected (void *arg, uint64_t epoch, uint32_t term, KqTime now)
{
  KqFleet *f = arg;
  const KqFleetSettings *s = f->config.settings;
  KqLeaderConfig c = { .loop = f->config.loop,
                       .kv = f->kv,
                       .epoch = epoch,
                       .term = term,
                       .lease_ms = runner_lease_ms (f),
                       .blind_ms = lead_ttl_ms (f) + ELECTION_MS,
                       .keep_ms = s->keep_ms,
                       .maintenance_ms = s->maintenance_ms,
                       .counters = f->config.counters,
                       .self = f->self,
                       .agent = f->agent,
                       .maintenance = f->maintenance,
                       .arg = f,
                       .deposed = on_deposed,
                       .answered = on_answered };
  kq_link_lead (f->link, epoch, now);
  kq_crew_agent_released (f->agent);
  kq_crew_agent_counted (f->agent, epoch, now);
  f->doubt = (KqLeadDoubt){ .length = lead_ttl_ms (f) * KQ_MS };
  f->yield.other_milli = 0;
  f->leader = kq_leader_new (&c, now);
  kq_sched_lead_until (kq_leader_sched (f->leader), kq_lead_valid_until (f->lead));
}

static void
on_lost (void *arg, const char *why, KqTime now)
{
  KqFleet *f = arg;
  (void)why;
  kq_link_lead (f->link, 0, now);
  kq_leader_free (f->leader);
  f->leader = NULL;
}

static void
on_changed (void *arg, const KqLeadRecord *r, KqTime now)
{
  KqFleet *f = arg;
  if (!f->leaving)
    kq_link_leader (f->link, kq_name_str (&r->address), r->epoch, now);
}

/* Between nodes. */

static void
on_joined (void *arg, KqPeer *p, const KqAgentInfo *info, KqTime now)
{
  KqFleet *f = arg;
  if (f->leader != NULL)
    kq_leader_joined (f->leader, p, info, now);
}

static void
on_left (void *arg, KqPeer *p, bool planned, KqTime now)
{
  KqFleet *f = arg;
  kq_accepts_left (f->accepts, p);
  if (f->leader != NULL)
    kq_leader_left (f->leader, p, planned, now);
}

static void
answer_peer (KqFleet *f, KqPeer *p, const KqCrewItem *question, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_ANSWER };
  KqBuf text = { 0 };
  i.u.answer.call = question->u.ask.call;
  i.u.answer.value = kq_leader_ask (f->leader, question->u.ask.what,
                                    question->u.ask.about, now, &text);
  i.u.answer.text = kq_buf_str (&text);
  kq_link_send_peer (p, &i);
  kq_buf_free (&text);
}

static void
take_beat (KqFleet *f, const KqPeer *p, int64_t store_age_ms, KqTime now)
{
  KqTime reached = now - store_age_ms * KQ_MS;
  int share = kq_leader_share (f->leader, p);
  if (store_age_ms < 0)
    return;
  if (reached > f->doubt.peer_reached_at)
    f->doubt.peer_reached_at = reached;
  if (share >= f->yield.other_milli)
    {
      f->yield.other_milli = share;
      f->yield.other_stored = reached;
    }
}

static void
on_from_node (void *arg, KqPeer *p, uint64_t epoch, const KqCrewItem *i, KqTime now)
{
  KqFleet *f = arg;
  if (f->leader == NULL)
    return;
  if (i->kind == KQ_CREW_BEAT)
    take_beat (f, p, i->u.beat.store_age_ms, now);
  else if (i->kind == KQ_CREW_ASK && i->u.ask.what == KQ_ASK_ACCEPT)
    kq_accepts_take (f->accepts, p, i->u.ask.call, i->u.ask.about, now);
  else if (i->kind == KQ_CREW_ASK)
    answer_peer (f, p, i, now);
  else if (i->kind == KQ_CREW_JOB || i->kind == KQ_CREW_CANCEL
           || epoch == kq_lead_record (f->lead)->epoch)
    kq_leader_item (f->leader, p, i, now);
}

static void
on_connected (void *arg, KqTime now)
{
  KqFleet *f = arg;
  kq_crew_agent_released (f->agent);
  kq_crew_agent_counted (f->agent, kq_lead_record (f->lead)->epoch, now);
}

static void
take_ping (KqFleet *f, uint64_t epoch, const KqCrewItem *i, KqTime now)
{
  kq_crew_agent_counted (f->agent, epoch, i->u.ping.beat_sent_at);
  if (i->u.ping.store_age_ms >= 0)
    kq_reach_leader_alive (&f->store, now - i->u.ping.store_age_ms * KQ_MS);
}

static void
on_from_leader (void *arg, uint64_t epoch, const KqCrewItem *i, KqTime now)
{
  KqFleet *f = arg;
  kq_crew_agent_heard (f->agent, epoch, now);
  if (i->kind == KQ_CREW_PING)
    take_ping (f, epoch, i, now);
  else if (i->kind == KQ_CREW_WELCOME)
    kq_crew_agent_tell_changes (f->agent, i->u.welcome.version > 1);
  else if (i->kind == KQ_CREW_ORDER)
    kq_crew_agent_order (f->agent, epoch, &i->u.order, now);
  else if (i->kind == KQ_CREW_ANSWER)
    kq_front_desk_answer (f->desk, i->u.answer.call, i->u.answer.value, now);
}

static int64_t
store_age_ms (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return f->store.alive_at == 0 ? -1 : (now - f->store.alive_at) / KQ_MS;
}

static void
on_notice (void *arg, uint64_t epoch, const KqCrewItem *i)
{
  KqFleet *f = arg;
  if (f->leader == NULL)
    kq_link_send (f->link, epoch, i);
  else if (epoch == kq_lead_record (f->lead)->epoch)
    kq_leader_item (f->leader, NULL, i, kq_loop_now (f->config.loop));
}

static bool
ask (void *arg, const KqCrewItem *question, KqTime now)
{
  KqFleet *f = arg;
  KqBuf text = { 0 };
  int64_t value;
  if (f->leader != NULL)
    {
      value = kq_leader_ask (f->leader, question->u.ask.what, question->u.ask.about, now,
                             &text);
      kq_buf_free (&text);
      kq_front_desk_answer (f->desk, question->u.ask.call, value, now);
      return true;
    }
  if (!kq_link_up (f->link))
    return false;
  kq_link_send (f->link, kq_lead_record (f->lead)->epoch, question);
  return true;
}

static void
tell (void *arg, const KqCrewItem *i, KqTime now)
{
  KqFleet *f = arg;
  if (f->leader != NULL)
    kq_leader_item (f->leader, NULL, i, now);
  else
    kq_link_send (f->link, kq_lead_record (f->lead)->epoch, i);
}

static void
on_accepted (void *arg, KqStr stored, uint64_t revision, KqTime now)
{
  KqCrewItem i = { .kind = KQ_CREW_JOB };
  i.u.job.stored = stored;
  i.u.job.revision = revision;
  tell (arg, &i, now);
}

/* Client accounts. */

static void
on_request (void *arg, KqAsk *a, const KqFrontRequest *r, KqTime now)
{
  KqFleet *f = arg;
  kq_front_desk_request (f->desk, a, r, now);
}

static bool
ready (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return !f->leaving && table (arg) != NULL && kq_reach_up (&f->store, now);
}

static bool
leaving (void *arg)
{
  const KqFleet *f = arg;
  return f->leaving;
}

static int64_t
body_max (void *arg)
{
  const KqQueueTable *t = table (arg);
  return t != NULL ? t->body_max : 262144;
}

/* Looking after it all. */

static void
look_at_stronger (KqFleet *f, KqTime now)
{
  if (!kq_lead_yields (&f->yield, now))
    return;
  kq_log (KQ_LOG_INFO, PART, "Handing over to a stronger node. own_milli=%d its_milli=%d",
          f->yield.own_milli, f->yield.other_milli);
  f->yield.yielded_at = now;
  kq_lead_resign (f->lead, "a stronger node can lead", !f->leaving, now);
}

static void
look_at_lead (KqFleet *f, KqTime now)
{
  KqTime until = kq_lead_valid_until (f->lead);
  const char *why;
  if (f->leader == NULL)
    return;
  kq_sched_lead_until (kq_leader_sched (f->leader), until);
  kq_link_lead_until (f->link, until, kq_sched_agents_lost (kq_leader_sched (f->leader)));
  kq_crew_agent_counted (f->agent, kq_lead_record (f->lead)->epoch, MIN (now, until));
  f->doubt.valid_until = until;
  f->doubt.peers = kq_link_peers (f->link);
  switch (kq_lead_doubt (&f->doubt, now, &why))
    {
    case KQ_DOUBT_NONE:
      look_at_stronger (f, now);
      break;
    case KQ_DOUBT_GO_ON:
      break;
    case KQ_DOUBT_ASK:
      kq_log (KQ_LOG_INFO, PART, "Another node reaches the store; renewing. late_ms=%lld",
              (long long)((now - until) / KQ_MS));
      kq_lead_renew (f->lead);
      break;
    case KQ_DOUBT_GIVE_UP:
      kq_lead_resign (f->lead, why, !f->leaving, now);
      break;
    }
}

static void
look_at_stop (KqFleet *f, KqTime now)
{
  KqTime since = now - f->leaving_at;
  KqTime most = f->config.settings->grace_ms * KQ_MS - STOP_MARGIN;
  bool idle = kq_front_open (f->front) == 0;
  if (f->stopped || (since < most && !(idle && since > STOP_LINGER)))
    return;
  f->stopped = true;
  f->config.stopped (f->config.arg, idle);
}

static void
on_look (struct ev_loop *ev, ev_timer *w, int events)
{
  KqFleet *f = w->data;
  KqTime now = kq_loop_now (f->config.loop);
  (void)ev;
  (void)events;
  if (!f->store_lost && f->store.alive_at != 0 && !kq_reach_up (&f->store, now))
    {
      f->store_lost = true;
      kq_log (KQ_LOG_WARN, PART, "The store is away. since_ms=%lld",
              (long long)((now - f->store.alive_at) / KQ_MS));
    }
  look_at_lead (f, now);
  if (f->leaving)
    look_at_stop (f, now);
  kq_log_flush ();
}

static void
print_metrics (void *arg, KqBuf *out)
{
  KqFleet *f = arg;
  KqCounters *c = f->config.counters;
  uint64_t *gauge = kq_counter (c, "kq_leading", "", "1 while this node leads.");
  *gauge = f->leader != NULL;
  gauge = kq_counter (c, "kq_agent_runners", "", "Runners that this node looks after.");
  *gauge = kq_crew_agent_runners (f->agent);
  if (f->leader != NULL)
    kq_sched_gauges (kq_leader_sched (f->leader));
  kq_counters_print (f->config.counters, out);
}

static bool
start_parts (KqFleet *f)
{
  const KqFleetSettings *s = f->config.settings;
  KqLoop *loop = f->config.loop;
  KqCrewAgentConfig agent = { .loop = loop,
                              .calls = f->calls,
                              .advice = f->advice,
                              .lease_ms = runner_lease_ms (f),
                              .blind_ms = lead_ttl_ms (f) + ELECTION_MS,
                              .counters = f->config.counters,
                              .notice = on_notice,
                              .arg = f };
  KqLinkConfig link = { .loop = loop,
                        .ip = s->ip,
                        .port = (int)s->peer_port,
                        .self = f->self,
                        .owner = { f, on_joined, on_left, on_from_node, on_connected,
                                   on_from_leader, store_age_ms } };
  KqFrontDeskConfig desk = { loop,  f->kv,       f->config.counters, f,
                             table, store_state, store_by_leader,    ask,
                             tell,  on_answered, on_store_failed };
  KqFrontOwner owner = { f, on_request, ready, leaving, body_max };
  KqAcceptsOwner accepts = { f, on_accepted, on_answered };
  f->accepts = kq_accepts_new (f->kv, &accepts);
  f->agent = kq_crew_agent_new (&agent);
  f->link = kq_link_new (&link);
  f->desk = kq_front_desk_new (&desk);
  f->front = kq_front_new (loop, kq_str (s->front), kq_str (s->ready), &owner);
  f->metrics = kq_metrics_new (loop, s->ip, (int)s->metrics_port, print_metrics, f);
  return f->link != NULL && f->front != NULL && f->metrics != NULL;
}

static void
start_lead (KqFleet *f)
{
  const KqFleetSettings *s = f->config.settings;
  KqLeadConfig c = { .loop = f->config.loop,
                     .kv = f->kv,
                     .node = s->node,
                     .ttl_ms = lead_ttl_ms (f),
                     .counters = f->config.counters,
                     .arg = f,
                     .changed = on_changed,
                     .elected = on_elected,
                     .lost = on_lost,
                     .answered = on_answered };
  char address[32];
  snprintf (address, sizeof address, "%s:%d", s->ip, kq_link_port (f->link));
  c.address = kq_name (kq_str (address));
  c.rank_ms = (int)(RANK_BY_SHARE_MS * 100
                    / (100 + (s->cpu_share_milli < 1000 ? s->cpu_share_milli : 1000)));
  f->lead = kq_lead_new (&c);
}

KqFleet *
kq_fleet_new (const KqFleetConfig *c)
{
  KqFleet *f = kq_alloc (sizeof *f);
  KqQueueKeysOwner queues = { f, on_answered, on_store_failed };
  KqStoreOwner store = { f, on_store_alive };
  f->config = *c;
  f->yield.own_milli = (int)c->settings->cpu_share_milli;
  f->self = (KqAgentInfo){ .name = c->settings->node,
                           .failure_domain = c->settings->failure_domain,
                           .share_milli = (int)c->settings->cpu_share_milli };
  f->kv = kq_store_new (c->loop, kq_str (c->settings->store), &store);
  f->calls = kq_runners_new (c->loop);
  if (c->settings->advice[0] != '\0')
    f->advice = kq_advice_new (c->loop, kq_str (c->settings->advice));
  if (c->settings->control_plane[0] != '\0')
    f->maintenance = kq_maintenance_new (c->loop, kq_str (c->settings->control_plane));
  ev_timer_init (&f->look, on_look, LOOK_S, LOOK_S);
  f->look.data = f;
  if (!start_parts (f))
    {
      kq_fleet_free (f);
      return NULL;
    }
  start_lead (f);
  f->queues = kq_queue_keys_new (c->loop, f->kv, &queues);
  ev_timer_start (kq_loop_ev (c->loop), &f->look);
  return f;
}

void
kq_fleet_ports (const KqFleet *f, int *front, int *ready_port, int *peers, int *metrics)
{
  kq_front_ports (f->front, front, ready_port);
  *peers = kq_link_port (f->link);
  *metrics = kq_metrics_port (f->metrics);
}

void
kq_fleet_free (KqFleet *f)
{
  if (f == NULL)
    return;
  ev_timer_stop (kq_loop_ev (f->config.loop), &f->look);
  kq_leader_free (f->leader);
  f->leader = NULL;
  kq_lead_free (f->lead);
  kq_queue_keys_free (f->queues);
  kq_link_free (f->link);
  kq_crew_agent_free (f->agent);
  kq_front_free (f->front);
  kq_front_desk_free (f->desk);
  kq_accepts_free (f->accepts);
  kq_metrics_free (f->metrics);
  kq_runners_calls_free (f->calls);
  kq_advice_free (f->advice);
  kq_maintenance_free (f->maintenance);
  kq_store_free (f->kv);
  free (f);
}

void
kq_fleet_stop (KqFleet *f, KqTime now)
{
  if (f->leaving)
    return;
  kq_log (KQ_LOG_INFO, PART, "Stopping. leading=%d open=%zu runners=%zu",
          f->leader != NULL, kq_front_open (f->front), kq_crew_agent_runners (f->agent));
  f->leaving = true;
  f->leaving_at = now;
  kq_lead_resign (f->lead, "planned stop", false, now);
  /* The leader gives our runners to others as soon as it hears of it. */
  kq_crew_agent_released (f->agent);
  kq_link_leave (f->link);
}
