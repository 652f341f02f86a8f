#include "port/store_fake.h"
#include "shard/owner.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define N_NODES 3
#define N_SHARDS 24
#define TICK (50 * KQ_MS)
#define LEASE (10 * KQ_SEC)

/* Replaces the member module. The test sets its answers, so that the owner module can be
 * tested with any view of the region, including wrong ones. */
struct KqMember
{
  KqNode nodes[N_NODES];
  uint64_t version;
  uint64_t lease;
  KqTime lease_until;
  KqTime silence;
  bool peer_reaches;
  bool hears;
};

size_t
kq_member_count (const KqMember *m)
{
  (void)m;
  return N_NODES;
}

const KqNode *
kq_member_at (const KqMember *m, size_t i)
{
  return &m->nodes[i];
}

const KqNode *
kq_member_find (const KqMember *m, KqNodeId id)
{
  return id >= 1 && id <= N_NODES ? &m->nodes[id - 1] : NULL;
}

uint64_t
kq_member_version (const KqMember *m)
{
  return m->version;
}

bool
kq_member_lease_live (const KqMember *m, KqTime now)
{
  return m->lease != 0 && now < m->lease_until;
}

uint64_t
kq_member_lease (const KqMember *m)
{
  return m->lease;
}

KqTime
kq_member_store_silence (const KqMember *m, KqTime now)
{
  (void)now;
  return m->silence;
}

bool
kq_member_peer_reaches_store (const KqMember *m, KqTime age, KqTime now)
{
  return m->peer_reaches && age <= now;
}

bool
kq_member_hears_region (const KqMember *m, KqTime age, KqTime now)
{
  return m->hears && age <= now;
}

/* Three nodes of one region, each in a depot of its own. The id of node i is i + 1. */
typedef struct
{
  KqStoreFake *store;
  KqTime now;
  KqMember members[N_NODES];
  KqOwner *owners[N_NODES];
  KqShardDigest digests[N_NODES][N_SHARDS];
  bool up[N_NODES];
  uint64_t epochs[N_SHARDS]; /* highest epoch under which any node took the shard */
  int lost[N_NODES];
  int max_releasing;
} Rig;

static KqStr
node_key (int i, char key[])
{
  sprintf (key, "node/n%d", i + 1);
  return kq_str (key);
}

/* Gives every member module the true state of all nodes. */
static void
see_all (Rig *g)
{
  for (int i = 0; i < N_NODES; i++)
    {
      KqMember *m = &g->members[i];
      for (int k = 0; k < N_NODES; k++)
        {
          KqNode *node = &m->nodes[k];
          char name[16];
          sprintf (name, "n%d", k + 1);
          node->info.id = (KqNodeId)k + 1;
          node->info.name = kq_name (kq_str (name));
          node->info.region = kq_name (KQ_STR ("r"));
          name[0] = 'd';
          node->info.depot = kq_name (kq_str (name));
          node->info.incarnation = 1;
          node->in_store = g->up[k];
          node->state = g->up[k] ? KQ_NODE_ALIVE : KQ_NODE_GONE;
          node->heard_at = g->up[k] ? g->now : node->heard_at;
        }
      m->version++;
      m->hears = true;
    }
}

static Rig *
rig_new (void)
{
  Rig *g = kq_alloc (sizeof *g);
  char key[32];
  g->store = kq_store_fake_new (1);
  g->now = KQ_SEC;
  for (int i = 0; i < N_NODES; i++)
    g->up[i] = true;
  see_all (g);
  for (int i = 0; i < N_NODES; i++)
    {
      KqMember *m = &g->members[i];
      m->lease = (uint64_t)i + 1;
      m->lease_until = KQ_TIME_NEVER;
      g->owners[i] = kq_owner_new (&m->nodes[i].info, 0, N_SHARDS, 50 + (uint64_t)i);
      kq_store_fake_set (g->store, node_key (i, key), KQ_STR ("x"), g->now);
    }
  return g;
}

static void
rig_free (Rig *g)
{
  for (int i = 0; i < N_NODES; i++)
    kq_owner_free (g->owners[i]);
  kq_store_fake_free (g->store);
  free (g);
}

static void
pump (Rig *g, int i, KqOutbox *out)
{
  KqOut item;
  KqOwnerEvent e;
  while (kq_owner_event (g->owners[i], &e))
    {
      if (e.kind == KQ_OWNER_TAKEN)
        {
          assert_true (e.epoch > g->epochs[e.shard]); /* one owner per epoch */
          g->epochs[e.shard] = e.epoch;
        }
      g->lost[i] += e.kind == KQ_OWNER_LOST;
      if (e.kind == KQ_OWNER_HANDOVER)
        kq_owner_released (g->owners[i], e.shard, g->now, out);
    }
  while (kq_outbox_take (out, &item))
    {
      kq_store_fake_call (g->store, i, &item.u.store, g->now);
      kq_out_clear (&item);
    }
}

static void
share_digests (Rig *g)
{
  for (int k = 0; k < N_NODES; k++)
    {
      size_t n = 0;
      int releasing = 0;
      for (uint32_t s = 0; s < N_SHARDS; s++)
        {
          uint64_t epoch = kq_owner_epoch (g->owners[k], s);
          if (epoch > 0 && g->up[k])
            g->digests[k][n++] = (KqShardDigest){ .shard = s, .epoch = epoch };
          releasing += kq_owner_state (g->owners[k], s) == KQ_OWN_RELEASING;
        }
      if (releasing > g->max_releasing)
        g->max_releasing = releasing;
      for (int i = 0; i < N_NODES; i++)
        {
          g->members[i].nodes[k].shards = g->digests[k];
          g->members[i].nodes[k].n_shards = n;
        }
    }
}

static void
run (Rig *g, KqTime span)
{
  KqOutbox out;
  KqStoreReply r;
  int client;
  kq_outbox_init (&out);
  for (KqTime end = g->now + span; g->now < end; g->now += TICK)
    {
      for (int i = 0; i < N_NODES; i++)
        if (g->up[i])
          {
            kq_owner_tick (g->owners[i], &g->members[i], g->now, &out);
            pump (g, i, &out);
          }
      share_digests (g);
      while (kq_store_fake_next (g->store, g->now + TICK, &client, &r))
        if (client < N_NODES)
          {
            assert_true (kq_owner_reply (g->owners[client], &r, &g->members[client],
                                         g->now, &out));
            pump (g, client, &out);
          }
    }
  kq_outbox_free (&out);
}

/* Whether own/<shard> in the store names the node. */
static bool
store_names (Rig *g, uint32_t s, int k)
{
  char key[32];
  char name[16];
  KqStr value;
  uint64_t revision;
  sprintf (key, "own/%u", s);
  sprintf (name, "n%d", k + 1);
  return kq_store_fake_get (g->store, kq_str (key), &value, &revision)
         && memmem (value.ptr, value.len, name, strlen (name)) != NULL;
}

/* Checks that each shard has one owner, the wanted one. Returns node i's shard count. */
static int
expect_settled (Rig *g, int i)
{
  int n = 0;
  for (uint32_t s = 0; s < N_SHARDS; s++)
    {
      int owners = 0;
      for (int k = 0; k < N_NODES; k++)
        if (g->up[k] && kq_owner_is_mine (g->owners[k], s, &g->members[k], g->now))
          {
            owners++;
            n += k == i;
            assert_true (store_names (g, s, k));
            assert_int_equal (kq_owner_wanted (g->owners[k], s), k + 1);
            assert_int_equal (kq_owner_of (g->owners[0], &g->members[0], s), k + 1);
          }
      assert_int_equal (owners, 1);
    }
  return n;
}

static uint32_t
first_of_0 (const Rig *g)
{
  uint32_t s = 0;
  while (!kq_owner_is_mine (g->owners[0], s, &g->members[0], g->now))
    s++;
  return s;
}

static void
test_take_all (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  run (g, 5 * KQ_SEC);
  for (int i = 0; i < N_NODES; i++)
    assert_in_range (expect_settled (g, i), 2, 16);
  uint64_t calls = kq_store_fake_count (g->store)->calls;
  run (g, 20 * KQ_SEC);
  assert_int_equal (kq_store_fake_count (g->store)->calls, calls); /* steady state */
  rig_free (g);
}

/* The answer to a take or to a release is lost in each possible way. A node that assumed
 * an outcome would own the shard beside a successor, or leave it without an owner while
 * its peers believe that there is one. */
static void
test_lost_answers (void **state)
{
  (void)state;
  for (int fate = KQ_STORE_FAULT_LOST_BEFORE; fate < KQ_STORE_FAULT_COUNT; fate++)
    for (int skip = 0; skip <= N_SHARDS; skip += N_SHARDS)
      {
        Rig *g = rig_new ();
        kq_store_fake_script (g->store, KQ_STORE_PUT, "own/", skip,
                              (KqStoreCallFault)fate);
        run (g, 8 * KQ_SEC);
        kq_owner_drain (g->owners[2]);
        for (int i = 0; i < N_NODES; i++)
          {
            g->members[i].nodes[2].draining = true;
            g->members[i].version++;
          }
        run (g, 15 * KQ_SEC);
        assert_true (kq_store_fake_script_done (g->store));
        assert_int_equal (expect_settled (g, 2), 0);
        assert_int_equal (g->lost[0] + g->lost[1] + g->lost[2], 0);
        rig_free (g);
      }
}

static void
test_dead_owner_is_replaced (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  run (g, 5 * KQ_SEC);
  int had = expect_settled (g, 2);
  uint64_t taken = kq_owner_count (g->owners[0])->taken;
  char key[32];
  KqStr value;
  KqStoreOp op = { .kind = KQ_STORE_DELETE, .key = node_key (2, key) };
  assert_true (kq_store_fake_get (g->store, op.key, &value, &op.expect));
  kq_store_fake_call (g->store, 10, &op, g->now);
  g->up[2] = false;
  see_all (g);
  for (int i = 0; i < N_NODES; i++)
    g->members[i].nodes[2].heard_at = 1; /* last heard long ago */
  run (g, 3 * KQ_SEC);
  assert_int_equal (expect_settled (g, 2), 0);
  taken = kq_owner_count (g->owners[0])->taken - taken;
  assert_in_range (taken, 0, had); /* node 0 took no more than node 2 had */
  rig_free (g);
}

/* Node 0's list of nodes is outdated, as its watch is silent, and lacks node 2, which is
 * alive and owns shards. By that list node 0 is their wanted owner. It must read node 2's
 * key before it takes any of them. */
static void
test_stale_list_takes_nothing (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  run (g, 5 * KQ_SEC);
  int had = expect_settled (g, 2);
  KqNode *node = &g->members[0].nodes[2];
  node->in_store = false;
  node->state = KQ_NODE_GONE;
  node->heard_at = 1;
  g->members[0].version++;
  run (g, 10 * KQ_SEC);
  for (uint32_t s = 0; s < N_SHARDS; s++)
    had -= kq_owner_is_mine (g->owners[2], s, &g->members[2], g->now);
  assert_int_equal (had, 0);
  assert_int_equal (g->lost[2], 0);
  rig_free (g);
}

/* The nodes' own keys appear in the store's list only after the nodes count as alive, and
 * the members' version doesn't change then. The shards must be taken nevertheless. */
static void
test_key_seen_late (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  for (int i = 0; i < N_NODES; i++)
    for (int k = 0; k < N_NODES; k++)
      g->members[i].nodes[k].in_store = false;
  run (g, KQ_SEC);
  for (int i = 0; i < N_NODES; i++)
    for (int k = 0; k < N_NODES; k++)
      g->members[i].nodes[k].in_store = true;
  run (g, 5 * KQ_SEC);
  expect_settled (g, 0);
  rig_free (g);
}

/* A node gets a new lease after its lease expired, or steps down from a damaged journal.
 * Meanwhile other nodes became the wanted owners. The store still names the node, which
 * is alive, so nobody else may take its shards: the node itself must release them. */
static void
test_named_but_not_holding (void **state)
{
  (void)state;
  for (int stepped_down = 0; stepped_down <= 1; stepped_down++)
    {
      Rig *g = rig_new ();
      g->up[1] = g->up[2] = false;
      see_all (g);
      run (g, 5 * KQ_SEC);
      assert_int_equal (kq_owner_count (g->owners[0])->taken, N_SHARDS);
      g->up[1] = g->up[2] = true;
      see_all (g);
      if (!stepped_down)
        g->members[0].lease = 99;
      for (uint32_t s = 0; s < N_SHARDS && stepped_down; s++)
        kq_owner_step_down (g->owners[0], s, g->now);
      run (g, 10 * KQ_SEC);
      assert_int_equal (g->lost[0], N_SHARDS);
      expect_settled (g, 0);
      rig_free (g);
    }
}

/* A damaged journal makes each owner step down as soon as it has read it. Without a
 * growing delay the shard would be taken and the journal read many times per second. */
static void
test_step_downs_are_paced (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  run (g, 5 * KQ_SEC);
  uint32_t s = first_of_0 (g);
  uint64_t epoch = g->epochs[s];
  for (int i = 0; i < 1200; i++)
    {
      kq_owner_step_down (g->owners[0], s, g->now);
      run (g, TICK);
    }
  assert_in_range (g->epochs[s] - epoch, 3, 7); /* 1 + 2 + 4 + 8 + 16 + 32 s */
  rig_free (g);
}

/* Two nodes that don't see each other try to take every shard at the same time. One write
 * succeeds; the other node must then read the winner's node key and find it alive. */
static void
test_two_owners_race (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  g->up[2] = false;
  for (int i = 0; i < 2; i++)
    for (int k = 0; k < N_NODES; k++)
      if (k != i)
        {
          g->members[i].nodes[k].in_store = false;
          g->members[i].nodes[k].state = KQ_NODE_GONE;
        }
  run (g, 10 * KQ_SEC);
  for (uint32_t s = 0; s < N_SHARDS; s++)
    {
      int owners = 0;
      for (int i = 0; i < 2; i++)
        owners += kq_owner_is_mine (g->owners[i], s, &g->members[i], g->now)
                  && store_names (g, s, i);
      assert_int_equal (owners, 1);
    }
  assert_int_equal (kq_owner_count (g->owners[0])->taken
                        + kq_owner_count (g->owners[1])->taken,
                    N_SHARDS);
  rig_free (g);
}

/* A process is suspended for longer than its lease. It must not count as owner even
 * before the next tick, must report LOST, and may take the shard again only with a new
 * epoch. */
static void
test_paused_owner (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  run (g, 5 * KQ_SEC);
  g->members[0].lease_until = g->now + LEASE;
  uint32_t s = first_of_0 (g);
  uint64_t epoch = kq_owner_epoch (g->owners[0], s);
  g->now += LEASE;
  assert_false (kq_owner_is_mine (g->owners[0], s, &g->members[0], g->now));
  run (g, KQ_SEC);
  assert_true (g->lost[0] > 0);
  g->members[0].lease_until = KQ_TIME_NEVER;
  run (g, 5 * KQ_SEC);
  expect_settled (g, 0);
  assert_true (g->epochs[s] > epoch);
  rig_free (g);
}

/* The store dropped our lease early and a peer took our shard. We don't reach the store
 * to learn that, but must step down by the higher epoch in the peer's digest. */
static void
test_superseded_by_digest (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  run (g, 5 * KQ_SEC);
  uint32_t s = first_of_0 (g);
  KqShardDigest claim = { .shard = s, .epoch = 77 };
  KqOutbox out;
  kq_outbox_init (&out);
  g->members[0].nodes[1].shards = &claim;
  g->members[0].nodes[1].n_shards = 1;
  g->members[0].version++;
  kq_owner_tick (g->owners[0], &g->members[0], g->now, &out);
  assert_false (kq_owner_is_mine (g->owners[0], s, &g->members[0], g->now));
  kq_outbox_free (&out);
  rig_free (g);
}

/* Store outage: our lease has expired by our own clock. We remain owner if no peer of the
 * region reaches the store but one is heard. We must stop if a peer reaches the store, if
 * none is heard, after outage_max, with another lease id or if the store isn't silent. */
static void
test_ownership_in_outage (void **state)
{
  static const struct
  {
    bool reaches, hears;
    KqTime silence;
    uint64_t lease;
    bool blind;
  } cases[] = {
    { false, true, 12 * KQ_SEC, 1, true },   { true, true, 12 * KQ_SEC, 1, false },
    { false, false, 12 * KQ_SEC, 1, false }, { false, true, 601 * KQ_SEC, 1, false },
    { false, true, 12 * KQ_SEC, 77, false }, { false, true, KQ_SEC, 1, false },
  };
  (void)state;
  Rig *g = rig_new ();
  run (g, 5 * KQ_SEC);
  KqMember *m = &g->members[0];
  uint32_t s = first_of_0 (g);
  m->lease_until = g->now;
  for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
    {
      m->peer_reaches = cases[c].reaches;
      m->hears = cases[c].hears;
      m->silence = cases[c].silence;
      m->lease = cases[c].lease;
      assert_int_equal (kq_owner_is_mine (g->owners[0], s, m, g->now), cases[c].blind);
    }
  /* After a suspension the knowledge of the peers is outdated: not owner. */
  m->lease = 1;
  m->silence = 12 * KQ_SEC;
  m->hears = true;
  m->peer_reaches = false;
  assert_true (kq_owner_valid_in_outage (g->owners[0], m, g->now));
  assert_false (kq_owner_valid_in_outage (g->owners[0], m, g->now + 3 * KQ_SEC));
  /* The region's only node hears no peer and remains owner. */
  m->lease = 1;
  m->silence = 12 * KQ_SEC;
  m->hears = m->peer_reaches = false;
  m->nodes[1].in_store = m->nodes[2].in_store = false;
  assert_true (kq_owner_valid_in_outage (g->owners[0], m, g->now));
  rig_free (g);
}

/* A node joins: shards move to it a few at a time and only once the members are stable,
 * and no shard is lost in a move. */
static void
test_planned_moves_are_paced (void **state)
{
  Rig *g = rig_new ();
  (void)state;
  g->up[2] = false;
  see_all (g);
  run (g, 5 * KQ_SEC);
  assert_int_equal (expect_settled (g, 2), 0);
  g->up[2] = true;
  see_all (g);
  run (g, 2 * KQ_SEC);
  assert_int_equal (kq_owner_count (g->owners[2])->taken, 0); /* not settled yet */
  g->max_releasing = 0;
  run (g, 10 * KQ_SEC);
  assert_true (expect_settled (g, 2) > 0);
  assert_in_range (g->max_releasing, 1, 2); /* of one node at a time */
  assert_int_equal (g->lost[0] + g->lost[1] + g->lost[2], 0);
  rig_free (g);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_take_all),
    cmocka_unit_test (test_lost_answers),
    cmocka_unit_test (test_dead_owner_is_replaced),
    cmocka_unit_test (test_stale_list_takes_nothing),
    cmocka_unit_test (test_key_seen_late),
    cmocka_unit_test (test_named_but_not_holding),
    cmocka_unit_test (test_step_downs_are_paced),
    cmocka_unit_test (test_two_owners_race),
    cmocka_unit_test (test_paused_owner),
    cmocka_unit_test (test_superseded_by_digest),
    cmocka_unit_test (test_ownership_in_outage),
    cmocka_unit_test (test_planned_moves_are_paced),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
