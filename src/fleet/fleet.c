#include "fleet/fleet.h"

#include "agent/agent.h"
#include "base/log.h"
#include "base/task.h"
#include "fleet/fleet_impl.h"
#include "platform/platform.h"

#include <glib.h>

#include <stdio.h>
#include <stdlib.h>

#define PART "fleet"
/* Length of the leader's lease. When a leader dies, no decisions are made for about this
 * long. A slow host or one lost renewal must not end the lease. */
#define LEADER_LEASE_MS 1500
/* Length of a runner's lease. It must outlast a change of leader and a slow host; the
 * tasks of a dead runner start elsewhere only when it has expired. */
#define RUNNER_LEASE_MS 5000
/* Longest time that an election takes. Nodes without a leader renew runner leases for the
 * length of the old leader's lease plus this time. */
#define ELECTION_MS 2500
#define CHECK_PERIOD_S 0.2
/* The part of the memory that the jobs of a leader may take. */
#define JOB_MEMORY_PARTS 4
/* Shortest time between a planned stop and the end: the platform routes new connections
 * here until it has seen two failed probes, a second apart. */
#define STOP_MIN (3200 * KQ_MS)
/* The process ends this long before the platform would kill it. */
#define STOP_MARGIN (500 * KQ_MS)
/* The longest response of the store: a part of the memory, but for no more than this. */
#define RESPONSE_PARTS 16
#define RESPONSE_MAX ((size_t)8 << 20)
/* Delay before a node with a cpu share of 0 stands for election. A larger share shortens
 * the delay, so that stronger nodes win; nodes near the store have shorter calls. */
#define CANDIDACY_DELAY_MS 200

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  KqFleet *f = arg;
  (void)sent_at;
  if (f->store_down)
    kq_log (KQ_LOG_INFO, PART, "The store answers again. away_ms=%lld",
            (long long)((now - f->store.answered_at) / KQ_MS));
  f->store_down = false;
  kq_reach_answered (&f->store, now);
}

/* A response is in memory up to three times, as text, parsed and decoded. */
static size_t
store_response_max (const KqFleetSettings *s)
{
  size_t part = (size_t)s->limits.memory_mb * 1024 * 1024 / RESPONSE_PARTS;
  return part < RESPONSE_MAX ? part : RESPONSE_MAX;
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

static void
on_cordons_changed (void *arg, KqTime now)
{
  KqFleet *f = arg;
  if (f->leader != NULL)
    kq_leader_cordons_changed (f->leader, now);
}

static void
on_key_changed (void *arg, uint64_t revision, KqTime now)
{
  KqFleet *f = arg;
  (void)now;
  kq_key_feed_changed (f->keys, revision);
}

static KqReachState
store_state (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return kq_reach_state (&f->store, now);
}

static bool
store_reached_by_leader (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return kq_reach_up_at_leader (&f->store, now);
}

static int64_t
leader_lease_ms (const KqFleet *f)
{
  int64_t least = f->config.settings->lease_min_ms;
  return least > LEADER_LEASE_MS ? least : LEADER_LEASE_MS;
}

static int64_t
runner_lease_ms (const KqFleet *f)
{
  int64_t most = f->config.settings->runner_lease_max_ms;
  return most < RUNNER_LEASE_MS ? most : RUNNER_LEASE_MS;
}

size_t
kq_fleet_job_bytes_max (const KqFleet *f)
{
  return (size_t)f->config.settings->limits.memory_mb * 1024 * 1024 / JOB_MEMORY_PARTS;
}

static const KqQueueTable *
queue_table (void *arg)
{
  const KqFleet *f = arg;
  return kq_queue_keys_table (f->queues);
}

static uint64_t
leader_epoch (void *arg)
{
  const KqFleet *f = arg;
  return f->leader != NULL || kq_link_connected (f->link)
             ? kq_election_record (f->election)->epoch
             : 0;
}

static int64_t
jobs_free (void *arg, KqTime now, KqTime *as_of)
{
  return kq_fleet_jobs_free (arg, now, as_of);
}

/* Callbacks of the election. */

static void
on_load (void *arg, const KqAgentItem *i, KqTime now)
{
  KqFleet *f = arg;
  kq_front_handler_load (f->handler, kq_election_record (f->election)->epoch, i, now);
}

static void
on_deposed (void *arg, const char *why, KqTime now)
{
  KqFleet *f = arg;
  kq_election_resign (f->election, why, !f->stopping, now);
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
                       .renew_without_leader_ms = leader_lease_ms (f) + ELECTION_MS,
                       .keep_ms = s->keep_ms,
                       .maintenance_ms = s->maintenance_ms,
                       .job_bytes_max = kq_fleet_job_bytes_max (f),
                       .features = s->scheduling,
                       .cordons = f->cordons,
                       .queues = queue_table,
                       .counters = f->config.counters,
                       .self = f->self,
                       .agent = f->agent,
                       .maintenance = f->maintenance,
                       .arg = f,
                       .deposed = on_deposed,
                       .answered = on_answered,
                       .load = on_load };
  kq_link_set_own_epoch (f->link, epoch, now);
  kq_link_announce (f->link, kq_election_last_address (f->election));
  kq_operator_port_leader_changed (f->operators, epoch, now);
  kq_agent_release_all (f->agent);
  kq_agent_leader_confirmed (f->agent, epoch, now);
  kq_leader_lease_elected (&f->leader_lease, leader_lease_ms (f) * KQ_MS);
  kq_key_feed_set_leading (f->keys, true, now);
  f->leader = kq_leader_new (&c, now);
  kq_sched_set_exclusive_until (kq_leader_sched (f->leader),
                                kq_election_valid_until (f->election));
  kq_agent_report_grants (f->agent, epoch, now);
}

static void
on_leadership_lost (void *arg, const char *why, KqTime now)
{
  KqFleet *f = arg;
  (void)why;
  kq_link_set_own_epoch (f->link, 0, now);
  kq_key_feed_set_leading (f->keys, false, now);
  kq_leader_free (f->leader);
  f->leader = NULL;
}

static void
on_leader_changed (void *arg, const KqLeaderRecord *r, KqTime now)
{
  KqFleet *f = arg;
  kq_operator_port_leader_changed (f->operators, r->epoch, now);
  if (!f->stopping)
    kq_link_set_leader (f->link, kq_name_str (&r->address), r->epoch, now);
}

static void
on_agent_item (void *arg, uint64_t epoch, const KqAgentItem *i)
{
  KqFleet *f = arg;
  if (f->leader == NULL)
    kq_link_send (f->link, epoch, i);
  else if (epoch == kq_election_record (f->election)->epoch)
    kq_leader_handle_item (f->leader, NULL, i, kq_loop_now (f->config.loop));
}

static bool
query_leader (void *arg, const KqAgentItem *query, KqTime now)
{
  KqQueries q = kq_fleet_queries (arg);
  return kq_queries_ask (&q, query, now);
}

static void
send_to_leader (void *arg, const KqAgentItem *i, KqTime now)
{
  KqFleet *f = arg;
  if (f->leader != NULL)
    kq_leader_handle_item (f->leader, NULL, i, now);
  else
    kq_link_send (f->link, kq_election_record (f->election)->epoch, i);
}

static void
on_accepted (void *arg, KqStr stored, uint64_t revision, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_JOB };
  i.u.job.stored = stored;
  i.u.job.revision = revision;
  send_to_leader (arg, &i, now);
}

/* Callbacks of the front end for client accounts. */

static void
on_request (void *arg, KqFrontExchange *x, const KqFrontRequest *r, KqTime now)
{
  KqFleet *f = arg;
  kq_front_handler_request (f->handler, x, r, now);
}

static bool
ready (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return !f->stopping && queue_table (arg) != NULL && kq_reach_up (&f->store, now);
}

static bool
stopping (void *arg)
{
  const KqFleet *f = arg;
  return f->stopping;
}

static int64_t
body_max (void *arg)
{
  const KqQueueTable *t = queue_table (arg);
  return t != NULL ? t->body_max : 262144;
}

/* Periodic checks. */

static void
check_leadership (KqFleet *f, KqTime now)
{
  KqTime until = kq_election_valid_until (f->election);
  KqLeaseExpiryAction action;
  const char *why;
  if (f->leader == NULL)
    return;
  kq_sched_set_exclusive_until (kq_leader_sched (f->leader), until);
  kq_link_set_exclusive_until (f->link, until,
                               kq_sched_agents_lost (kq_leader_sched (f->leader)));
  kq_agent_leader_confirmed (f->agent, kq_election_record (f->election)->epoch,
                             MIN (now, until));
  action = kq_leader_lease_check (&f->leader_lease, until,
                                  kq_election_refused_since (f->election),
                                  kq_link_peer_count (f->link), now, &why);
  if (action == KQ_LEASE_EXPIRY_RENEW)
    kq_election_renew (f->election);
  else if (action == KQ_LEASE_EXPIRY_RESIGN)
    {
      kq_link_end_lease (f->link, kq_election_lease (f->election));
      kq_election_resign (f->election, why, !f->stopping, now);
    }
}

static void
check_stop (KqFleet *f, KqTime now)
{
  KqTime elapsed = now - f->stopping_at;
  KqTime most = f->config.settings->grace_ms * KQ_MS - STOP_MARGIN;
  bool idle = kq_front_open_requests (f->front) == 0;
  if (f->stopped || (elapsed < most && !(idle && elapsed > STOP_MIN)))
    return;
  f->stopped = true;
  f->config.stopped (f->config.arg, idle);
}

static void
on_check (struct ev_loop *ev, ev_timer *w, int events)
{
  KqFleet *f = w->data;
  KqTime now = kq_loop_now (f->config.loop);
  (void)ev;
  (void)events;
  if (!f->store_down && f->store.answered_at != 0 && !kq_reach_up (&f->store, now))
    {
      f->store_down = true;
      kq_log (KQ_LOG_WARN, PART, "The store is unreachable. since_ms=%lld",
              (long long)((now - f->store.answered_at) / KQ_MS));
    }
  kq_client_limits_expire (f->limits, now);
  check_leadership (f, now);
  kq_key_feed_check (f->keys, kq_election_record (f->election)->epoch, now);
  if (f->stopping)
    check_stop (f, now);
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
  *gauge = kq_agent_n_runners (f->agent);
  gauge = kq_counter (c, "kq_domains_cordoned", "", "Failure domains that are cordoned.");
  *gauge = f->cordons->n;
  if (f->leader != NULL)
    kq_sched_gauges (kq_leader_sched (f->leader));
  kq_counters_print (f->config.counters, out);
}

static bool
create_parts (KqFleet *f)
{
  const KqFleetSettings *s = f->config.settings;
  KqLoop *loop = f->config.loop;
  KqAgentConfig agent = { .loop = loop,
                          .calls = f->calls,
                          .advice = f->advice,
                          .lease_ms = runner_lease_ms (f),
                          .renew_without_leader_ms = leader_lease_ms (f) + ELECTION_MS,
                          .cordons = f->cordons,
                          .counters = f->config.counters,
                          .notice = on_agent_item,
                          .arg = f };
  KqLinkConfig link = { .loop = loop,
                        .ip = s->ip,
                        .port = (int)s->peer_port,
                        .self = f->self,
                        .owner = kq_fleet_link_owner (f),
                        .limits = f->limits };
  KqFrontHandlerConfig handler
      = { loop,           f->kv,       f->config.counters,      f,
          queue_table,    store_state, store_reached_by_leader, query_leader,
          send_to_leader, on_answered, on_store_failed,         s->scheduling.admission,
          leader_epoch,   jobs_free };
  KqFrontCallbacks owner = { f, on_request, ready, stopping, body_max, f->limits };
  KqAcceptsOwner accepts = { f, on_accepted, on_answered, f->limits };
  KqOperatorPortConfig operators = { .loop = loop,
                                     .ip = s->ip,
                                     .port = (int)s->metrics_port,
                                     .counters = f->config.counters,
                                     .limits = f->limits,
                                     .arg = f,
                                     .print_metrics = print_metrics,
                                     .query_leader = query_leader };
  f->accepts = kq_accepts_new (f->kv, &accepts);
  f->agent = kq_agent_new (&agent);
  f->link = kq_link_new (&link);
  f->handler = kq_front_handler_new (&handler);
  f->front = kq_front_new (loop, kq_str (s->front), kq_str (s->ready), &owner);
  f->operators = kq_operator_port_new (&operators);
  return f->link != NULL && f->front != NULL && f->operators != NULL;
}

static void
start_election (KqFleet *f)
{
  const KqFleetSettings *s = f->config.settings;
  KqElectionConfig c = { .loop = f->config.loop,
                         .kv = f->kv,
                         .node = s->node,
                         .ttl_ms = leader_lease_ms (f),
                         .counters = f->config.counters,
                         .arg = f,
                         .changed = on_leader_changed,
                         .elected = on_elected,
                         .lost = on_leadership_lost,
                         .answered = on_answered };
  char address[32];
  snprintf (address, sizeof address, "%s:%d", s->ip, kq_link_port (f->link));
  c.address = kq_name (kq_str (address));
  c.rank_ms = (int)(CANDIDACY_DELAY_MS * 100
                    / (100 + (s->cpu_share_milli < 1000 ? s->cpu_share_milli : 1000)));
  f->election = kq_election_new (&c);
}

KqFleet *
kq_fleet_new (const KqFleetConfig *c)
{
  KqFleet *f = kq_alloc (sizeof *f);
  KqQueueKeysOwner queues
      = { f, on_answered, on_store_failed, on_key_changed, on_cordons_changed };
  KqStoreCallbacks store = { f, on_store_alive, store_response_max (c->settings) };
  f->config = *c;
  f->cordons = kq_cordons_new ();
  f->limits = kq_client_limits_new (&c->settings->limits, c->counters);
  kq_leader_lease_init (&f->leader_lease, (int)c->settings->cpu_share_milli);
  f->self = (KqAgentInfo){ .name = c->settings->node,
                           .failure_domain = c->settings->failure_domain,
                           .share_milli = (int)c->settings->cpu_share_milli };
  f->kv = kq_store_new (c->loop, kq_str (c->settings->store), &store);
  f->calls = kq_runner_client_new (c->loop);
  if (c->settings->advice[0] != '\0')
    f->advice = kq_advice_new (c->loop, kq_str (c->settings->advice));
  if (c->settings->control_plane[0] != '\0')
    f->maintenance = kq_maintenance_new (c->loop, kq_str (c->settings->control_plane));
  ev_timer_init (&f->check_timer, on_check, CHECK_PERIOD_S, CHECK_PERIOD_S);
  f->check_timer.data = f;
  if (!create_parts (f))
    {
      kq_fleet_free (f);
      return NULL;
    }
  start_election (f);
  f->queues = kq_queue_keys_new (c->loop, f->kv, f->cordons, &queues);
  f->keys = kq_key_feed_new (f->link, f->queues, c->counters);
  ev_timer_start (kq_loop_ev (c->loop), &f->check_timer);
  return f;
}

void
kq_fleet_ports (const KqFleet *f, int *front, int *ready_port, int *peers, int *metrics)
{
  kq_front_ports (f->front, front, ready_port);
  *peers = kq_link_port (f->link);
  *metrics = kq_operator_port_number (f->operators);
}

void
kq_fleet_free (KqFleet *f)
{
  if (f == NULL)
    return;
  ev_timer_stop (kq_loop_ev (f->config.loop), &f->check_timer);
  kq_front_close (f->front);
  kq_operator_port_free (f->operators);
  f->operators = NULL;
  kq_leader_free (f->leader);
  f->leader = NULL;
  kq_election_free (f->election);
  kq_key_feed_free (f->keys);
  f->keys = NULL;
  kq_queue_keys_free (f->queues);
  kq_link_free (f->link);
  kq_agent_free (f->agent);
  kq_front_free (f->front);
  kq_front_handler_free (f->handler);
  kq_accepts_free (f->accepts);
  kq_runner_client_free (f->calls);
  kq_advice_free (f->advice);
  kq_maintenance_free (f->maintenance);
  kq_store_free (f->kv);
  kq_cordons_free (f->cordons);
  kq_client_limits_free (f->limits);
  free (f);
}

void
kq_fleet_stop (KqFleet *f, KqTime now)
{
  if (f->stopping)
    return;
  kq_log (KQ_LOG_INFO, PART, "Stopping. leading=%d open=%zu runners=%zu",
          f->leader != NULL, kq_front_open_requests (f->front),
          kq_agent_n_runners (f->agent));
  f->stopping = true;
  f->stopping_at = now;
  kq_election_resign (f->election, "planned stop", false, now);
  /* On the LEAVE of kq_link_leave the leader assigns our runners to other nodes. */
  kq_agent_release_all (f->agent);
  kq_link_leave (f->link);
}
