#include "fleet_state.h"

#include "base/log.h"

#include <stdio.h>
#include <string.h>

/* The lease expires 6.7 to 10 s after a pause begins, so that pauses of 4 to 16 s end
 * before or after that. */
#define PAUSE_MIN (4 * KQ_SEC)
#define PAUSE_SPREAD (12 * KQ_SEC)
#define SLOW_LATENCY (700 * KQ_MS) /* below the client's timeout, far above normal */
#define LEASE (10 * KQ_SEC)
#define LOST_PROBABILITY 0.2

KqTime
kq_fleet_sim_now (const KqFleetSim *f)
{
  return f->now;
}

KqRand *
kq_fleet_sim_rand (KqFleetSim *f)
{
  return &f->rand;
}

uint64_t
kq_fleet_sim_trace (const KqFleetSim *f)
{
  return f->trace;
}

const char *
kq_fleet_sim_violation (const KqFleetSim *f)
{
  return f->violation[0] != '\0' ? f->violation : NULL;
}

uint64_t
kq_fleet_sim_acked (const KqFleetSim *f)
{
  return f->acked;
}

KqStoreFake *
kq_fleet_sim_store (KqFleetSim *f)
{
  return f->store;
}

const char *
kq_fault_name (KqFault fault)
{
  static const char *const names[KQ_FAULT_COUNT]
      = { "none",         "store down",    "store slow", "lost after",   "lost before",
          "late effect",  "dies",          "pauses",     "watch silent", "store cut",
          "peer cut one", "peer cut both", "region cut", "lease lapses" };
  return names[fault];
}

static void
cut_peers (KqFleetSim *f, int node, bool both)
{
  f->any_cut = true;
  for (int k = 0; k < KQ_FLEET_NODES; k++)
    {
      f->cut[node][k] = true;
      f->cut[k][node] |= both;
    }
}

static void
cut_region (KqFleetSim *f)
{
  f->any_cut = true;
  KqStoreFaults *s = kq_store_fake_faults (f->store);
  for (int b = REGION_A_NODES; b < KQ_FLEET_NODES; b++)
    {
      s->cut_to[b] = true;
      for (int a = 0; a < REGION_A_NODES; a++)
        f->cut[a][b] = f->cut[b][a] = true;
    }
}

void
kq_fleet_sim_inject_fault (KqFleetSim *f, KqFault fault, int node)
{
  KqStoreFaults *s = kq_store_fake_faults (f->store);
  KqFleetSimNode *n = &f->nodes[node];
  kq_log (KQ_LOG_INFO, "fleet", "Fault. name=%s node=%d at_us=%lld",
          kq_fault_name (fault), node, (long long)f->now);
  switch (fault)
    {
    case KQ_FAULT_NONE:
    case KQ_FAULT_COUNT:
      break;
    case KQ_FAULT_STORE_DOWN:
      s->down = true;
      break;
    case KQ_FAULT_STORE_SLOW:
      s->latency = SLOW_LATENCY;
      break;
    case KQ_FAULT_LOST_AFTER:
      s->p[KQ_STORE_FAULT_LOST_AFTER] = LOST_PROBABILITY;
      break;
    case KQ_FAULT_LOST_BEFORE:
      s->p[KQ_STORE_FAULT_LOST_BEFORE] = LOST_PROBABILITY;
      break;
    case KQ_FAULT_LATE_EFFECT:
      s->p[KQ_STORE_FAULT_LATE_EFFECT] = LOST_PROBABILITY;
      break;
    case KQ_FAULT_DIES:
      kq_fleet_sim_stop_node (f, node);
      break;
    case KQ_FAULT_PAUSES:
      n->paused_until = s->paused_until[node] = n->next_tick
          = f->now + PAUSE_MIN + (KqTime)kq_rand_below (&f->rand, PAUSE_SPREAD);
      break;
    case KQ_FAULT_WATCH_SILENT:
      s->watches_silent = true;
      break;
    case KQ_FAULT_STORE_CUT:
      s->cut_to[node] = true;
      break;
    case KQ_FAULT_PEER_CUT_TO:
      cut_peers (f, node, false);
      break;
    case KQ_FAULT_PEER_CUT:
      cut_peers (f, node, true);
      break;
    case KQ_FAULT_REGION_CUT:
      cut_region (f);
      break;
    case KQ_FAULT_LEASE_LAPSES:
      f->lease_lapsed_until = f->now + LEASE;
      if (n->up)
        kq_store_fake_expire_lease (f->store, kq_member_lease (n->member), f->now);
      break;
    }
}

void
kq_fleet_sim_heal (KqFleetSim *f)
{
  KqStoreFaults *s = kq_store_fake_faults (f->store);
  kq_log (KQ_LOG_INFO, "fleet", "Healed. at_us=%lld", (long long)f->now);
  s->down = s->watches_silent = false;
  s->latency = 2 * KQ_MS;
  memset (s->p, 0, sizeof s->p);
  memset (s->cut_to, 0, sizeof s->cut_to);
  memset (f->cut, 0, sizeof f->cut);
  f->any_cut = false;
}

void
kq_fleet_sim_on_call (KqFleetSim *f, KqStoreOpKind kind, const char *prefix,
                      KqFault fault)
{
  f->trigger_on = true;
  f->triggered = false;
  f->trigger_kind = kind;
  f->trigger_fault = fault;
  snprintf (f->trigger_prefix, sizeof f->trigger_prefix, "%s", prefix);
}

bool
kq_fleet_sim_triggered (const KqFleetSim *f)
{
  return f->triggered;
}

void
kq_fleet_sim_kill (KqFleetSim *f, int node)
{
  kq_fleet_sim_stop_node (f, node);
  f->nodes[node].restart_at = KQ_TIME_NEVER;
}

void
kq_fleet_sim_drain (KqFleetSim *f, int node)
{
  f->nodes[node].draining = true;
  kq_owner_drain (f->nodes[node].owner);
}

bool
kq_fleet_sim_settled (const KqFleetSim *f)
{
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    {
      int i = kq_fleet_sim_owner (f, s);
      if (i < 0 || kq_owner_state (f->nodes[i].owner, s) != KQ_OWN_MINE
          || kq_journal_lag (f->nodes[i].shards[s].journal, f->now) > KQ_SEC)
        return false;
    }
  return true;
}

/* Recovers a shard from the store with the real journal, as a new owner would. */
static void
read_shard (KqFleetSim *f, uint32_t s, KqFleetSimSet *set)
{
  KqJournal *j = kq_journal_new (s, 1, kq_rand_next (&f->rand));
  KqOutbox out;
  KqOut item;
  KqRecord r;
  KqStoreReply reply;
  int client;
  int reader = KQ_FLEET_NODES; /* a store client that no node uses */
  kq_outbox_init (&out);
  kq_journal_open (j, f->expected[s].epoch + 1, f->now, &out);
  while (kq_journal_state (j) == KQ_JOURNAL_RECOVERING
         || kq_journal_state (j) == KQ_JOURNAL_FENCING)
    {
      while (kq_outbox_take (&out, &item))
        {
          kq_store_fake_call (f->store, reader, &item.u.store, f->now);
          kq_out_clear (&item);
        }
      f->now = kq_store_fake_next_time (f->store);
      while (kq_store_fake_next (f->store, f->now, &client, &reply))
        if (client == reader)
          kq_journal_reply (j, &reply, f->now, &out);
      kq_journal_tick (j, f->now, &out);
    }
  while (kq_journal_next_record (j, &r))
    kq_fleet_sim_apply (set, &r);
  kq_journal_free (j);
  kq_outbox_free (&out);
}

void
kq_fleet_sim_compare (KqFleetSim *f)
{
  static KqFleetSimSet sets[KQ_FLEET_SHARDS];
  memset (sets, 0, sizeof sets);
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    {
      int i = kq_fleet_sim_owner (f, s);
      if (i < 0)
        {
          kq_fleet_sim_add_violation (f, "no owner at the end", s, -1, 0);
          continue;
        }
      const KqFleetSimShard *shard = &f->nodes[i].shards[s];
      bool all = kq_journal_lag (shard->journal, f->now) == 0;
      KqFleetSimSet own = shard->set;
      read_shard (f, s, &sets[s]);
      if (all && memcmp (&own, &sets[s], sizeof own) != 0)
        kq_fleet_sim_add_violation (f, "state differs from the records", s, i, 0);
    }
}
