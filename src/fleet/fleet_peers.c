/* fleet_peers: what a node does with the items of other nodes, as leader or not. */

#include "agent/agent.h"
#include "fleet/fleet_impl.h"

/* The leader's word on its memory counts for so long. */
#define JOBS_FREE_AGE_MAX (2 * KQ_SEC)

static void
on_joined (void *arg, KqPeer *p, const KqAgentInfo *info, KqTime now)
{
  KqFleet *f = arg;
  if (f->leader != NULL)
    kq_leader_node_joined (f->leader, p, info, now);
}

static void
on_left (void *arg, KqPeer *p, bool planned, KqTime now)
{
  KqFleet *f = arg;
  kq_accepts_peer_left (f->accepts, p);
  if (f->leader != NULL)
    kq_leader_node_left (f->leader, p, planned, now);
}

static void
on_from_node (void *arg, KqPeer *p, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  KqFleet *f = arg;
  if (f->leader == NULL)
    return;
  if (i->kind == KQ_AGENT_ITEM_HEARTBEAT)
    kq_leader_lease_heartbeat (&f->leader_lease, kq_leader_node_share (f->leader, p),
                               i->u.heartbeat.store_age_ms, now);
  else if (i->kind == KQ_AGENT_ITEM_ASK && i->u.ask.what == KQ_ASK_ACCEPT)
    kq_accepts_write (f->accepts, p, i->u.ask.call, i->u.ask.about, now);
  else if (i->kind == KQ_AGENT_ITEM_FOLLOW)
    kq_key_feed_follow (f->keys, p, i->u.follow.revision);
  else if (i->kind == KQ_AGENT_ITEM_ASK)
    kq_queries_answer_node (f->leader, p, i, now);
  else if (i->kind == KQ_AGENT_ITEM_JOB || i->kind == KQ_AGENT_ITEM_CANCEL
           || i->kind == KQ_AGENT_ITEM_WRITING
           || epoch == kq_election_record (f->election)->epoch)
    kq_leader_handle_item (f->leader, p, i, now);
}

static void
on_connected (void *arg, KqTime now)
{
  KqFleet *f = arg;
  kq_key_feed_disconnected (f->keys);
  kq_agent_release_all (f->agent);
  kq_agent_leader_confirmed (f->agent, kq_election_record (f->election)->epoch, now);
  kq_agent_report_grants (f->agent, kq_election_record (f->election)->epoch, now);
}

static void
handle_ping (KqFleet *f, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  kq_agent_leader_confirmed (f->agent, epoch, i->u.ping.heartbeat_sent_at);
  if (i->u.ping.store_age_ms >= 0)
    kq_reach_leader_answered (&f->store, now - i->u.ping.store_age_ms * KQ_MS);
  f->jobs_free = i->u.ping.jobs_free;
  f->jobs_free_at = now;
}

static int64_t
jobs_free_here (void *arg)
{
  const KqFleet *f = arg;
  return f->leader != NULL ? kq_sched_job_bytes_free (kq_leader_sched (f->leader)) : -1;
}

int64_t
kq_fleet_jobs_free (const KqFleet *f, KqTime now, KqTime *as_of)
{
  bool heard = f->jobs_free_at != 0 && now - f->jobs_free_at < JOBS_FREE_AGE_MAX;
  *as_of = f->leader != NULL ? now : f->jobs_free_at;
  if (f->leader != NULL)
    return kq_sched_job_bytes_free (kq_leader_sched (f->leader));
  return heard && f->jobs_free >= 0 ? f->jobs_free : (int64_t)kq_fleet_job_bytes_max (f);
}

KqQueries
kq_fleet_queries (const KqFleet *f)
{
  return (KqQueries){ .leader = f->leader,
                      .link = f->link,
                      .epoch = kq_election_record (f->election)->epoch,
                      .front = f->handler,
                      .operators = f->operators };
}

static void
handle_answer (KqFleet *f, const KqAgentItem *i, KqTime now)
{
  KqQueries q = kq_fleet_queries (f);
  kq_queries_answer (&q, i->u.answer.call, i->u.answer.value, i->u.answer.text, now);
}

static void
on_from_leader (void *arg, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  KqFleet *f = arg;
  kq_agent_leader_heard (f->agent, epoch, now);
  kq_key_feed_item (f->keys, epoch, i, now);
  if (i->kind == KQ_AGENT_ITEM_PING)
    handle_ping (f, epoch, i, now);
  else if (i->kind == KQ_AGENT_ITEM_WELCOME)
    kq_agent_use_changes (f->agent, i->u.welcome.version > 1);
  else if (i->kind == KQ_AGENT_ITEM_ORDER)
    kq_agent_order (f->agent, epoch, &i->u.order, now);
  else if (i->kind == KQ_AGENT_ITEM_ANSWER)
    handle_answer (f, i, now);
  else if (i->kind == KQ_AGENT_ITEM_END_LEASE)
    kq_election_end_lease (f->election, i->u.end_lease.lease);
  else if (i->kind == KQ_AGENT_ITEM_LOAD)
    kq_front_handler_load (f->handler, epoch, i, now);
}

static int64_t
store_age_ms (void *arg, KqTime now)
{
  const KqFleet *f = arg;
  return f->store.answered_at == 0 ? -1 : (now - f->store.answered_at) / KQ_MS;
}

static void
on_ping_keys (void *arg, uint64_t *revision, int64_t *age_ms, KqTime now)
{
  KqFleet *f = arg;
  kq_key_feed_ping_values (f->keys, revision, age_ms, now);
}

static void
on_heard_leader (void *arg, const KqAgentItem *i, KqTime now)
{
  KqFleet *f = arg;
  KqLeaderRecord r = { i->u.leader.node, i->u.leader.address, i->u.leader.epoch };
  if (f->election != NULL)
    kq_election_hear (f->election, &r, now);
}

static bool
fill_leader (void *arg, KqAgentItem *i)
{
  const KqFleet *f = arg;
  const KqLeaderRecord *r = f->election != NULL ? kq_election_record (f->election) : NULL;
  if (r == NULL || r->epoch == 0)
    return false;
  i->u.leader.node = r->node;
  i->u.leader.address = r->address;
  i->u.leader.epoch = r->epoch;
  return true;
}

KqLinkOwner
kq_fleet_link_owner (KqFleet *f)
{
  return (KqLinkOwner){ f,
                        on_joined,
                        on_left,
                        on_from_node,
                        on_connected,
                        on_from_leader,
                        store_age_ms,
                        on_ping_keys,
                        jobs_free_here,
                        on_heard_leader,
                        fill_leader };
}
