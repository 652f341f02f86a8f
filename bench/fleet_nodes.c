#include "fleet_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK (50 * KQ_MS)
#define CLIENT_INTERVAL_MEAN (4 * KQ_MS)
#define OUTAGE_OVERLAP_MAX (2 * KQ_SEC) /* four heartbeat intervals */
#define WITHDRAW_ONE_IN 16
#define URGENT_ONE_IN 8
#define RECORD_NUMBER 150
#define RECORD_SET 151 /* in a snapshot: the whole set */

static void
set_bit (KqFleetSimSet *b, uint64_t n, bool on)
{
  b->words[n / 64] &= ~(1ULL << (n % 64));
  b->words[n / 64] |= (uint64_t)on << (n % 64);
}

static bool
has_bit (const KqFleetSimSet *b, uint64_t n)
{
  return (b->words[n / 64] >> (n % 64) & 1) != 0;
}

void
kq_fleet_sim_add_violation (KqFleetSim *f, const char *what, uint32_t shard, int node,
                            uint64_t number)
{
  if (f->violation[0] != '\0')
    return;
  snprintf (f->violation, sizeof f->violation,
            "%s: shard %u, node %d, number %llu, at %lld us", what, shard, node,
            (unsigned long long)number, (long long)f->now);
}

static void
add_to_trace (KqFleetSim *f, uint64_t what)
{
  f->trace = kq_hash2 (f->trace, kq_hash2 (what, (uint64_t)f->now));
}

static int
index_of (const KqFleetSim *f, KqNodeId id)
{
  for (int i = 0; i < KQ_FLEET_NODES; i++)
    if (f->nodes[i].info.id == id)
      return i;
  return -1;
}

static KqTime
link_latency (int a, int b)
{
  return (a < REGION_A_NODES) == (b < REGION_A_NODES) ? KQ_MS / 2 : 20 * KQ_MS;
}

static void
send_msg (KqFleetSim *f, int from, int to, KqMsg *msg)
{
  if (to < 0 || !f->nodes[to].up || (from != to && f->cut[from][to]))
    {
      kq_msg_free (msg);
      return;
    }
  if (f->n_in_flight == f->in_flight_capacity)
    {
      f->in_flight_capacity = f->in_flight_capacity > 0 ? f->in_flight_capacity * 2 : 64;
      f->in_flight
          = kq_realloc (f->in_flight, f->in_flight_capacity * sizeof *f->in_flight);
    }
  /* Jitter changes the order of messages. */
  KqTime at = f->now + link_latency (from, to) + (KqTime)kq_rand_below (&f->rand, KQ_MS);
  if (at < f->nodes[to].paused_until)
    at = f->nodes[to].paused_until;
  f->in_flight[f->n_in_flight++] = (KqFleetSimMsg){ at, from, to, msg };
}

static void
check_trigger (KqFleetSim *f, int i, const KqStoreOp *op)
{
  if (!f->trigger_on || op->kind != f->trigger_kind
      || !kq_str_has_prefix (op->key, kq_str (f->trigger_prefix)))
    return;
  f->trigger_on = false;
  f->triggered = true;
  if (f->trigger_fault == KQ_FAULT_LOST_AFTER)
    kq_store_fake_script (f->store, op->kind, f->trigger_prefix, 0,
                          KQ_STORE_FAULT_LOST_AFTER);
  else
    kq_fleet_sim_inject_fault (f, f->trigger_fault, i);
}

/* Executes the node's store calls and sends its messages. A triggered fault may stop the
 * node meanwhile. */
static void
run_outbox (KqFleetSim *f, int i, KqOutbox *out)
{
  KqOut item;
  while (kq_outbox_take (out, &item))
    {
      if (item.kind == KQ_OUT_STORE)
        {
          check_trigger (f, i, &item.u.store);
          if (f->nodes[i].up || f->trigger_fault == KQ_FAULT_DIES)
            kq_store_fake_call (f->store, i, &item.u.store, f->now);
        }
      else if (item.kind == KQ_OUT_SEND)
        {
          send_msg (f, i, index_of (f, item.u.send.to), item.u.send.msg);
          item.u.send.msg = NULL;
          continue;
        }
      kq_out_clear (&item);
    }
}

static void
drop_shard (KqFleetSimShard *s)
{
  kq_journal_close (s->journal);
  memset (&s->set, 0, sizeof s->set);
  s->checked = false;
  s->first = s->len = 0;
}

void
kq_fleet_sim_start_node (KqFleetSim *f, int i)
{
  KqFleetSimNode *n = &f->nodes[i];
  bool a = i < REGION_A_NODES;
  char name[16];
  snprintf (name, sizeof name, "n%d", i);
  n->info = (KqNodeInfo){ .id = kq_str_hash (kq_str (name)),
                          .name = kq_name (kq_str (name)),
                          .region = kq_name (a ? KQ_STR ("a") : KQ_STR ("b")),
                          .incarnation = ++f->incarnations };
  snprintf (name, sizeof name, "d%d", i % 3);
  n->info.depot = kq_name (kq_str (name));
  n->info.mesh_address = kq_name (KQ_STR ("127.0.0.1:1"));
  n->info.operator_address = kq_name (KQ_STR ("127.0.0.1:2"));
  KqMemberConfig c = { .self = n->info,
                       .lease = 10 * KQ_SEC,
                       .heartbeat_interval = KQ_SEC / 2,
                       .suspect_after = 2 * KQ_SEC };
  n->member = kq_member_new (&c, kq_rand_next (&f->rand));
  n->owner = kq_owner_new (&n->info, a ? 0 : REGION_A_SHARDS,
                           a ? REGION_A_SHARDS : KQ_FLEET_SHARDS - REGION_A_SHARDS,
                           kq_rand_next (&f->rand));
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    {
      n->shards[s].journal = kq_journal_new (s, n->info.id, kq_rand_next (&f->rand));
      kq_journal_set_share (n->shards[s].journal, KQ_FLEET_SHARDS);
    }
  n->up = true;
  n->draining = false;
  n->paused_until = 0;
  n->next_tick = f->now + (KqTime)kq_rand_below (&f->rand, TICK);
  for (int k = 0; k < KQ_FLEET_NODES; k++)
    if (k != i && f->nodes[k].up)
      {
        kq_member_link (n->member, f->nodes[k].info.id, true, f->now);
        kq_member_link (f->nodes[k].member, n->info.id, true, f->now);
      }
}

void
kq_fleet_sim_stop_node (KqFleetSim *f, int i)
{
  KqFleetSimNode *n = &f->nodes[i];
  if (!n->up)
    return;
  n->up = false;
  kq_store_fake_drop_answers (f->store, i);
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    {
      drop_shard (&n->shards[s]);
      kq_journal_free (n->shards[s].journal);
      free (n->shards[s].pending);
      n->shards[s] = (KqFleetSimShard){ 0 };
    }
  kq_owner_free (n->owner);
  kq_member_free (n->member);
  n->restart_at = f->now + RESTART_WAIT;
  for (int k = 0; k < KQ_FLEET_NODES; k++)
    if (f->nodes[k].up)
      kq_member_link (f->nodes[k].member, n->info.id, false, f->now);
}

KqFleetSim *
kq_fleet_sim_new (uint64_t seed)
{
  KqFleetSim *f = kq_alloc (sizeof *f);
  f->rand = kq_rand (seed);
  f->store = kq_store_fake_new (kq_rand_next (&f->rand));
  kq_store_fake_faults (f->store)->jitter = KQ_MS;
  f->now = KQ_SEC;
  for (int i = 0; i < KQ_FLEET_NODES; i++)
    kq_fleet_sim_start_node (f, i);
  return f;
}

void
kq_fleet_sim_free (KqFleetSim *f)
{
  for (int i = 0; i < KQ_FLEET_NODES; i++)
    kq_fleet_sim_stop_node (f, i);
  for (size_t i = 0; i < f->n_in_flight; i++)
    kq_msg_free (f->in_flight[i].msg);
  free (f->in_flight);
  kq_store_fake_free (f->store);
  free (f);
}

bool
kq_fleet_sim_apply (KqFleetSimSet *set, const KqRecord *r)
{
  uint64_t number = 0;
  if (r->type == RECORD_SET)
    {
      memcpy (set->words, r->body.ptr, r->body.len);
      return true;
    }
  memcpy (&number, r->body.ptr, sizeof number);
  bool present = has_bit (set, number);
  set_bit (set, number, true);
  return !present;
}

/* The state that a new owner recovers must contain every acknowledged number and no
 * withdrawn one. */
static void
check_state (KqFleetSim *f, int i, uint32_t s)
{
  const KqFleetSimExpected *t = &f->expected[s];
  const KqFleetSimSet *set = &f->nodes[i].shards[s].set;
  for (size_t w = 0; w <= t->next_number / 64; w++)
    if ((t->acked.words[w] & ~set->words[w]) != 0)
      kq_fleet_sim_add_violation (f, "acknowledged record lost", s, i, w * 64);
    else if ((t->withdrawn.words[w] & set->words[w]) != 0)
      kq_fleet_sim_add_violation (f, "withdrawn record applied", s, i, w * 64);
}

static void
recover (KqFleetSim *f, int i, uint32_t s)
{
  KqFleetSimShard *shard = &f->nodes[i].shards[s];
  KqRecord r;
  if (shard->checked || kq_journal_state (shard->journal) != KQ_JOURNAL_OPEN)
    return;
  while (kq_journal_next_record (shard->journal, &r))
    if (!kq_fleet_sim_apply (&shard->set, &r))
      kq_fleet_sim_add_violation (f, "applied twice", s, i, 0);
  shard->checked = true;
  check_state (f, i, s);
}

static void
acknowledge (KqFleetSim *f, int i, uint32_t s)
{
  KqFleetSimShard *shard = &f->nodes[i].shards[s];
  KqSeq committed = kq_journal_committed (shard->journal);
  for (; shard->first < shard->len && shard->pending[shard->first].seq <= committed;
       shard->first++)
    {
      uint64_t number = shard->pending[shard->first].number;
      set_bit (&f->expected[s].acked, number, true);
      f->acked++;
      add_to_trace (f, number << 8 | s);
      for (int k = 0; k < KQ_FLEET_NODES; k++)
        if (f->nodes[k].up
            && kq_owner_epoch (f->nodes[k].owner, s)
                   > kq_owner_epoch (f->nodes[i].owner, s)
            && kq_journal_state (f->nodes[k].shards[s].journal) == KQ_JOURNAL_OPEN
            && !has_bit (&f->nodes[k].shards[s].set, number))
          kq_fleet_sim_add_violation (f, "acknowledged beside a successor", s, k, number);
    }
  if (shard->first == shard->len)
    shard->first = shard->len = 0;
}

static void
handle_owner_events (KqFleetSim *f, int i, KqOutbox *out)
{
  KqFleetSimNode *n = &f->nodes[i];
  KqOwnerEvent e;
  while (kq_owner_event (n->owner, &e))
    {
      add_to_trace (f, (uint64_t)e.kind << 32 | e.shard << 8 | (uint64_t)i);
      switch (e.kind)
        {
        case KQ_OWNER_TAKEN:
          if (e.epoch <= f->expected[e.shard].epoch)
            kq_fleet_sim_add_violation (f, "epoch taken twice", e.shard, i, e.epoch);
          f->expected[e.shard].epoch = e.epoch;
          drop_shard (&n->shards[e.shard]);
          kq_journal_open (n->shards[e.shard].journal, e.epoch, f->now, out);
          break;
        case KQ_OWNER_LOST:
          drop_shard (&n->shards[e.shard]);
          break;
        case KQ_OWNER_HANDOVER: /* see run_shard */
          break;
        }
    }
}

static void
write_snapshot (KqFleetSim *f, KqFleetSimShard *shard, KqOutbox *out)
{
  KqRecord r
      = { RECORD_SET, 1, { (const char *)shard->set.words, sizeof shard->set.words } };
  kq_journal_snapshot_begin (shard->journal);
  kq_journal_snapshot_add (shard->journal, &r);
  kq_journal_snapshot_end (shard->journal, f->now, out);
}

/* Drives a shard's journal after a tick or a reply: acknowledgements, recovery,
 * snapshots, writes, and the release of the shard. */
static void
run_shard (KqFleetSim *f, int i, uint32_t s, KqOutbox *out)
{
  KqFleetSimNode *n = &f->nodes[i];
  KqFleetSimShard *shard = &n->shards[s];
  if (kq_journal_state (shard->journal) == KQ_JOURNAL_CLOSED)
    return;
  acknowledge (f, i, s);
  if (!kq_owner_is_mine (n->owner, s, n->member, f->now))
    return;
  recover (f, i, s);
  if (kq_journal_snapshot_due (shard->journal))
    write_snapshot (f, shard, out);
  kq_journal_tick (shard->journal, f->now, out);
  KqJournalState state = kq_journal_state (shard->journal);
  if (state == KQ_JOURNAL_DAMAGED)
    kq_fleet_sim_add_violation (f, kq_journal_damage (shard->journal)->what, s, i, 0);
  if (state == KQ_JOURNAL_FENCED)
    kq_owner_step_down (n->owner, s, f->now);
  else if (kq_owner_state (n->owner, s) == KQ_OWN_RELEASING
           && (state != KQ_JOURNAL_OPEN || kq_journal_lag (shard->journal, f->now) == 0))
    {
      drop_shard (shard);
      kq_owner_released (n->owner, s, f->now, out);
    }
}

static void
run_node (KqFleetSim *f, int i, KqOutbox *out)
{
  handle_owner_events (f, i, out);
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    run_shard (f, i, s, out);
  handle_owner_events (f, i, out);
  run_outbox (f, i, out);
}

static void
tick_node (KqFleetSim *f, int i)
{
  KqFleetSimNode *n = &f->nodes[i];
  KqShardDigest digests[KQ_FLEET_SHARDS];
  KqOutbox out;
  size_t k = 0;
  memset (digests, 0, sizeof digests);
  for (uint32_t s = 0; s < KQ_FLEET_SHARDS; s++)
    if (kq_owner_is_mine (n->owner, s, n->member, f->now))
      {
        digests[k].shard = s;
        digests[k++].epoch = kq_owner_epoch (n->owner, s);
      }
  n->next_tick = f->now + TICK;
  kq_outbox_init (&out);
  kq_member_set_digest (n->member, digests, k, 0, n->draining);
  kq_member_tick (n->member, f->now, &out);
  kq_owner_tick (n->owner, n->member, f->now, &out);
  run_node (f, i, &out);
  kq_outbox_free (&out);
}

static void
handle_reply (KqFleetSim *f, int i, const KqStoreReply *r)
{
  KqFleetSimNode *n = &f->nodes[i];
  KqOutbox out;
  uint32_t s = (uint32_t)(r->token >> 32);
  kq_outbox_init (&out);
  if (r->result != KQ_ERR_STORE_UNREACHABLE)
    kq_member_store_answered (n->member, f->now);
  if (r->part == KQ_PART_MEMBER)
    kq_member_reply (n->member, r, f->now, &out);
  else if (!kq_owner_reply (n->owner, r, n->member, f->now, &out))
    {
      kq_journal_reply (n->shards[s].journal, r, f->now, &out);
      run_shard (f, i, s, &out);
    }
  handle_owner_events (f, i, &out);
  run_outbox (f, i, &out);
  kq_outbox_free (&out);
}

static void
handle_msg (KqFleetSim *f, int i, const KqMsg *msg)
{
  KqOutbox out;
  kq_outbox_init (&out);
  if (msg->kind == KQ_MSG_HEARTBEAT)
    kq_member_heartbeat (f->nodes[i].member, &msg->u.heartbeat, f->now, &out);
  run_outbox (f, i, &out);
  kq_outbox_free (&out);
}

static void
deliver (KqFleetSim *f, size_t k)
{
  KqFleetSimMsg m = f->in_flight[k];
  KqFleetSimNode *n = &f->nodes[m.to];
  f->in_flight[k] = f->in_flight[--f->n_in_flight];
  add_to_trace (f, (uint64_t)m.from << 8 | (uint64_t)m.to);
  if (n->up)
    handle_msg (f, m.to, m.msg);
  kq_msg_free (m.msg);
}

/* At most one node may own a shard under a lease that is live by the node's own clock.
 * When the store expires a lease early, its holder learns of it at its next renewal, or
 * never if it is cut off. For that long (lease_lapsed_until) only the fence keeps two
 * owners apart, which the other checks verify. */
static void
check_single_owner (KqFleetSim *f, uint32_t s)
{
  int by_lease = 0;
  int all = 0;
  for (int i = 0; i < KQ_FLEET_NODES; i++)
    {
      const KqFleetSimNode *n = &f->nodes[i];
      if (!n->up || !kq_owner_is_mine (n->owner, s, n->member, f->now))
        continue;
      all++;
      by_lease += !kq_owner_valid_in_outage (n->owner, n->member, f->now);
    }
  if (by_lease > 1 && f->now > f->lease_lapsed_until)
    kq_fleet_sim_add_violation (f, "two owners", s, by_lease, 0);
  /* two_owners_since counts owners without a live lease too: an owner that stayed valid
   * in a store outage must stop as soon as it receives a heartbeat of its successor. */
  if (all < 2 || f->any_cut)
    f->two_owners_since[s] = 0;
  else if (f->two_owners_since[s] == 0)
    f->two_owners_since[s] = f->now;
  else if (f->now - f->two_owners_since[s] > OUTAGE_OVERLAP_MAX
           && f->now > f->lease_lapsed_until)
    kq_fleet_sim_add_violation (f, "a blind owner beside its successor", s, all, 0);
}

int
kq_fleet_sim_owner (const KqFleetSim *f, uint32_t s)
{
  for (int i = 0; i < KQ_FLEET_NODES; i++)
    {
      const KqFleetSimNode *n = &f->nodes[i];
      if (n->up && f->now >= n->paused_until
          && kq_owner_is_mine (n->owner, s, n->member, f->now)
          && kq_journal_state (n->shards[s].journal) == KQ_JOURNAL_OPEN)
        return i;
    }
  return -1;
}

/* Withdraws the shard's newest number if its record was certainly not written. */
static void
withdraw (KqFleetSim *f, KqFleetSimShard *shard, uint32_t s)
{
  if (shard->first == shard->len)
    return;
  const KqFleetSimPending *p = &shard->pending[shard->len - 1];
  if (kq_journal_withdraw (shard->journal, p->seq) != KQ_OK)
    return;
  set_bit (&shard->set, p->number, false);
  set_bit (&f->expected[s].withdrawn, p->number, true);
  shard->len--;
}

static void
add_number (KqFleetSim *f, KqFleetSimShard *shard, uint32_t s)
{
  uint64_t number = f->expected[s].next_number++;
  KqRecord r = { RECORD_NUMBER, 1, { (const char *)&number, sizeof number } };
  bool urgent = kq_rand_below (&f->rand, URGENT_ONE_IN) == 0;
  KqSeq seq = kq_journal_append (shard->journal, &r,
                                 urgent ? KQ_COMMIT_URGENT : KQ_COMMIT_NORMAL, f->now);
  set_bit (&shard->set, number, true);
  if (shard->len == shard->capacity)
    {
      shard->capacity = shard->capacity > 0 ? shard->capacity * 2 : 64;
      shard->pending
          = kq_realloc (shard->pending, shard->capacity * sizeof *shard->pending);
    }
  shard->pending[shard->len++] = (KqFleetSimPending){ seq, number };
}

/* A client adds the next number to a random shard, or withdraws the newest. */
static void
run_client (KqFleetSim *f)
{
  uint32_t s = (uint32_t)kq_rand_below (&f->rand, KQ_FLEET_SHARDS);
  int i = kq_fleet_sim_owner (f, s);
  KqOutbox out;
  check_single_owner (f, s);
  f->next_client = f->now + (KqTime)kq_rand_below (&f->rand, 2 * CLIENT_INTERVAL_MEAN);
  if (i < 0 || kq_owner_state (f->nodes[i].owner, s) != KQ_OWN_MINE
      || f->expected[s].next_number == KQ_FLEET_NUMBERS)
    return;
  KqFleetSimShard *shard = &f->nodes[i].shards[s];
  kq_outbox_init (&out);
  recover (f, i, s);
  if (kq_rand_below (&f->rand, WITHDRAW_ONE_IN) == 0)
    withdraw (f, shard, s);
  else
    add_number (f, shard, s);
  run_shard (f, i, s, &out);
  handle_owner_events (f, i, &out);
  run_outbox (f, i, &out);
  kq_outbox_free (&out);
}

void
kq_fleet_sim_step (KqFleetSim *f)
{
  KqTime at = kq_store_fake_next_time (f->store);
  int node = -1;
  int restart = -1;
  size_t msg_index = f->n_in_flight;
  KqStoreReply r;
  if (f->next_client < at)
    at = f->next_client;
  for (int i = 0; i < KQ_FLEET_NODES; i++)
    if (f->nodes[i].up && f->nodes[i].next_tick < at)
      {
        at = f->nodes[i].next_tick;
        node = i;
      }
    else if (!f->nodes[i].up && f->nodes[i].restart_at < at)
      {
        at = f->nodes[i].restart_at;
        node = -1;
        restart = i;
      }
  for (size_t k = 0; k < f->n_in_flight; k++)
    if (f->in_flight[k].at < at)
      {
        at = f->in_flight[k].at;
        msg_index = k;
      }
  f->now = at > f->now ? at : f->now;
  if (msg_index < f->n_in_flight)
    deliver (f, msg_index);
  else if (node >= 0)
    tick_node (f, node);
  else if (restart >= 0)
    kq_fleet_sim_start_node (f, restart);
  else if (kq_store_fake_next_time (f->store) <= f->now)
    {
      if (!kq_store_fake_next (f->store, f->now, &node, &r))
        return;
      add_to_trace (f, (uint64_t)r.kind << 40 | (uint64_t)r.result << 8 | (uint64_t)node);
      if (f->nodes[node].up)
        handle_reply (f, node, &r);
    }
  else
    run_client (f);
}

void
kq_fleet_sim_run (KqFleetSim *f, KqTime span)
{
  KqTime end = f->now + span;
  while (f->now < end && f->violation[0] == '\0')
    kq_fleet_sim_step (f);
}
