#include "../../bench/table_sim.h"

#include "base/rand.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const KqNode *
seen (KqTableSim *f, int by, int other)
{
  return kq_member_find (f->nodes[by].member, f->nodes[other].info.id);
}

static int
state_of (KqTableSim *f, int by, int other)
{
  const KqNode *n = seen (f, by, other);
  return n != NULL ? (int)n->state : -1;
}

/* Every node that is up sees exactly the nodes that are up as alive. */
static bool
all_see_live (KqTableSim *f)
{
  for (int a = 0; a < f->n; a++)
    for (int b = 0; b < f->n; b++)
      if (f->nodes[a].up && (state_of (f, a, b) == KQ_NODE_ALIVE) != f->nodes[b].up)
        return false;
  return true;
}

/* Runs until all_see_live; returns how long that took, -1 after the limit. */
static KqTime
wait_until_all_see_live (KqTableSim *f, KqTime limit)
{
  KqTime start = f->now;
  while (f->now - start <= limit)
    {
      if (all_see_live (f))
        return f->now - start;
      kq_table_sim_run (f, 50 * KQ_MS);
    }
  return -1;
}

static bool
leases_live (KqTableSim *f)
{
  for (int i = 0; i < f->n; i++)
    if (f->nodes[i].up && !kq_member_lease_live (f->nodes[i].member, f->now))
      return false;
  return true;
}

static void
test_start (void **state)
{
  KqTableSim *f = kq_table_sim_new (1, 9, 2, true);
  (void)state;
  assert_in_range (wait_until_all_see_live (f, 5 * KQ_SEC), 0, 2 * KQ_SEC);
  assert_true (leases_live (f));
  for (int i = 0; i < 60; i++)
    {
      kq_table_sim_run (f, KQ_SEC);
      assert_true (all_see_live (f) && leases_live (f));
    }
  assert_true (seen (f, 0, 3)->heard_at > 0); /* other region, by bundles */
  assert_true (kq_member_peer_reaches_store (f->nodes[0].member, 10 * KQ_SEC, f->now));
  assert_true (kq_member_hears_region (f->nodes[0].member, 2 * KQ_SEC, f->now));

  kq_table_sim_free (f);
}

/* A process is killed. Its peers must suspect it before its key expires, and count it as
 * gone when the key expires. After a restart it must be alive again. */
static void
test_kill_and_return (void **state)
{
  KqTableSim *f = kq_table_sim_new (2, 6, 2, true);
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  kq_table_sim_kill (f, 2);
  kq_table_sim_run (f, 3 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 2), KQ_NODE_SUSPECT);
  kq_table_sim_run (f, 9 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 2), KQ_NODE_GONE);
  kq_table_sim_start (f, 2);
  assert_in_range (wait_until_all_see_live (f, 5 * KQ_SEC), 0, 3 * KQ_SEC);
  assert_int_equal (seen (f, 1, 2)->info.incarnation, 2);
  /* Killed and restarted at once: its earlier key still exists under the old lease. */
  kq_table_sim_kill (f, 4);
  kq_table_sim_start (f, 4);
  kq_table_sim_run (f, 2 * KQ_SEC);
  assert_true (leases_live (f) && all_see_live (f));
  kq_table_sim_run (f, 30 * KQ_SEC);
  assert_true (leases_live (f) && all_see_live (f));
  kq_table_sim_free (f);
}

/* When the connection to a process is lost and its heartbeats stop, it must be suspected
 * before the silence limit. A reconnection alone must not raise suspicion. */
static void
test_broken_link (void **state)
{
  KqTableSim *f = kq_table_sim_new (3, 3, 1, true);
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  kq_member_link (f->nodes[0].member, f->nodes[1].info.id, false, f->now);
  kq_table_sim_run (f, 2 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_ALIVE);
  kq_table_sim_kill (f, 1);
  kq_member_link (f->nodes[0].member, f->nodes[1].info.id, false, f->now);
  kq_table_sim_run (f, 1500 * KQ_MS);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_SUSPECT);
  kq_table_sim_free (f);
}

/* Messages between two nodes are lost in one direction, then in both, while each node
 * reaches the store. They must suspect but not remove each other, until messages arrive
 * again. */
static void
test_cut_peer (void **state)
{
  KqTableSim *f = kq_table_sim_new (4, 3, 1, true);
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  f->cut[0][1] = true;
  kq_table_sim_run (f, 20 * KQ_SEC);
  assert_int_equal (state_of (f, 1, 0), KQ_NODE_SUSPECT);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_ALIVE);
  f->cut[1][0] = true;
  kq_table_sim_run (f, 20 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_SUSPECT);
  assert_true (leases_live (f));
  f->cut[0][1] = f->cut[1][0] = false;
  assert_in_range (wait_until_all_see_live (f, 5 * KQ_SEC), 0, 2 * KQ_SEC);
  kq_table_sim_free (f);
}

/* The store is away for longer than any lease. Nodes must still see each other by
 * heartbeats, know that their leases have expired, and count a killed node as gone after
 * the lease time. When the store returns it lists no key at first, but no live node may
 * count as gone. */
static void
test_store_outage (void **state)
{
  KqTableSim *f = kq_table_sim_new (5, 6, 2, true);
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  kq_store_fake_faults (f->store)->down = true;
  kq_table_sim_run (f, 60 * KQ_SEC);
  assert_true (all_see_live (f));
  for (int i = 0; i < 6; i++)
    {
      assert_false (kq_member_lease_live (f->nodes[i].member, f->now));
      assert_false (
          kq_member_peer_reaches_store (f->nodes[i].member, 10 * KQ_SEC, f->now));
      assert_true (kq_member_store_silence (f->nodes[i].member, f->now) > 55 * KQ_SEC);
    }
  kq_table_sim_kill (f, 5);
  kq_table_sim_run (f, 20 * KQ_SEC);
  assert_true (all_see_live (f));
  assert_int_equal (state_of (f, 0, 5), KQ_NODE_GONE);
  kq_store_fake_faults (f->store)->down = false;
  uint64_t before = kq_store_fake_count (f->store)->calls;
  for (int i = 0; i < 400; i++)
    {
      kq_table_sim_run (f, 50 * KQ_MS);
      assert_true (all_see_live (f));
    }
  assert_true (leases_live (f));
  /* Only grant, put, list, watches and renewals of five nodes, no repeated calls. */
  assert_in_range (kq_store_fake_count (f->store)->calls - before, 5 * 5, 5 * 60);
  kq_table_sim_free (f);
}

/* One node is cut off from the store. Its peers report that they reach the store, so it
 * knows that only it is cut off. Its lease must end by its own clock before its key
 * expires in the store. */
static void
test_one_cut_from_store (void **state)
{
  KqTableSim *f = kq_table_sim_new (6, 4, 1, true);
  KqMember *m = f->nodes[1].member;
  bool key_there = true;
  KqStr value;
  uint64_t rev;
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  /* A slow store: a lease counted from the answer would end after the key. */
  kq_store_fake_faults (f->store)->latency = 800 * KQ_MS;
  kq_table_sim_run (f, 12 * KQ_SEC);
  kq_store_fake_faults (f->store)->cut_from[1] = true;
  kq_store_fake_faults (f->store)->cut_to[1] = true;
  for (int i = 0; i < 300 && key_there; i++)
    {
      kq_table_sim_run (f, 50 * KQ_MS);
      key_there = kq_store_fake_get (f->store, KQ_STR ("node/n1"), &value, &rev);
      if (!key_there)
        assert_false (kq_member_lease_live (m, f->now));
    }
  assert_false (key_there);
  assert_true (kq_member_peer_reaches_store (m, 5 * KQ_SEC, f->now));
  kq_table_sim_run (f, KQ_SEC);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_GONE);
  kq_store_fake_faults (f->store)->cut_from[1] = false;
  kq_store_fake_faults (f->store)->cut_to[1] = false;
  assert_true (wait_until_all_see_live (f, 10 * KQ_SEC) >= 0);
  kq_table_sim_free (f);
}

/* A process is suspended for a minute. After it resumes it must know at once that its
 * lease has expired, must not suspect its peers because of its own pause, and must soon
 * have a lease again. */
static void
test_paused_process (void **state)
{
  KqTableSim *f = kq_table_sim_new (7, 4, 1, true);
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  f->nodes[2].paused = true;
  kq_table_sim_run (f, 60 * KQ_SEC);
  assert_false (kq_member_lease_live (f->nodes[2].member, f->now));
  f->nodes[2].paused = false;
  for (int k = 0; k < 100; k++)
    {
      kq_table_sim_run (f, 2 * KQ_MS);
      for (int i = 0; i < 4; i++)
        assert_int_equal (state_of (f, 2, i), KQ_NODE_ALIVE);
    }
  assert_true (wait_until_all_see_live (f, 15 * KQ_SEC) >= 0);
  assert_true (leases_live (f));
  kq_table_sim_free (f);
}

/* A host is replaced under the same name while the old process still runs. The newer
 * process must have the key. The older one must never hold a lease again once it sees
 * that, or the two would replace each other's key in turns. */
static void
test_same_name_twice (void **state)
{
  KqTableSim *f = kq_table_sim_new (8, 3, 1, true);
  KqMemberConfig c = { .lease = 10 * KQ_SEC,
                       .heartbeat_interval = KQ_SEC / 2,
                       .suspect_after = 2 * KQ_SEC };
  KqOutbox out = { 0 };
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  KqMember *old = f->nodes[0].member;
  c.self = f->nodes[0].info;
  c.self.incarnation = 77;
  f->nodes[0].member = kq_member_new (&c, 99);
  kq_table_sim_run (f, 3 * KQ_SEC);
  assert_true (kq_member_lease_live (f->nodes[0].member, f->now));
  /* The watch of the old process is answered with the new key. */
  KqStr value;
  KqStoreReply r = { .kind = KQ_STORE_WATCH, .part = KQ_PART_MEMBER, .n_items = 1 };
  assert_true (kq_store_fake_get (f->store, KQ_STR ("node/n0"), &value, &r.revision));
  KqStoreItem item = { KQ_STR ("node/n0"), value, r.revision };
  r.items = &item;
  for (r.token = 1; r.token < 100; r.token++)
    kq_member_reply (old, &r, f->now, &out);
  assert_true (kq_member_replaced (old));
  assert_false (kq_member_lease_live (old, f->now));
  assert_int_equal (kq_member_lease (old), 0);
  kq_outbox_free (&out);
  kq_member_free (old);
  kq_table_sim_run (f, 30 * KQ_SEC);
  assert_true (all_see_live (f) && leases_live (f));
  kq_table_sim_free (f);
}

/* A planned stop: the key must be deleted at once, and the others learn it by their
 * watch. */
static void
test_leave (void **state)
{
  KqTableSim *f = kq_table_sim_new (9, 3, 1, true);
  KqOutbox out = { 0 };
  KqOut item;
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  kq_member_leave (f->nodes[1].member, f->now, &out);
  assert_true (kq_outbox_take (&out, &item));
  assert_int_equal (item.u.store.kind, KQ_STORE_LEASE_REVOKE);
  item.u.store.token = 0; /* a token that no call has, so the reply is ignored */
  kq_store_fake_call (f->store, 1, &item.u.store, f->now);
  kq_out_clear (&item);
  kq_outbox_free (&out);
  assert_false (kq_member_lease_live (f->nodes[1].member, f->now));
  kq_table_sim_run (f, 500 * KQ_MS);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_GONE);
  kq_table_sim_free (f);
}

/* Store calls are lost before or after their effect, or answered late or twice. No node
 * may count its lease as live after its key is gone, and all must be alive in the end. */
static void
test_random_store_faults (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      KqTableSim *f = kq_table_sim_new (seed, 5, 2, true);
      KqStoreFaults *s = kq_store_fake_faults (f->store);
      KqRand r = kq_rand (seed);
      for (int fault = 1; fault < KQ_STORE_FAULT_COUNT; fault++)
        s->p[fault] = 0.1;
      for (int i = 0; i < 2400; i++)
        {
          if (i % 100 == 0)
            s->down = kq_rand_below (&r, 4) == 0;
          kq_table_sim_run (f, 50 * KQ_MS);
          for (int n = 0; n < 5; n++)
            {
              char key[24];
              KqStr value;
              uint64_t rev;
              snprintf (key, sizeof key, "node/n%d", n);
              if (kq_member_lease_live (f->nodes[n].member, f->now)
                  && !kq_store_fake_get (f->store, kq_str (key), &value, &rev))
                fail_msg ("seed %d: node %d holds a lapsed lease", (int)seed, n);
            }
        }
      s->down = false;
      memset (s->p, 0, sizeof s->p);
      assert_true (wait_until_all_see_live (f, 30 * KQ_SEC) >= 0);
      kq_table_sim_run (f, 10 * KQ_SEC);
      assert_true (leases_live (f));
      kq_table_sim_free (f);
    }
}

/* Heartbeats between regions must grow with pairs of regions, not of nodes. With twice
 * the nodes per region there must still be one sender per pair of regions, and twice the
 * bytes; with heartbeats between all pairs of nodes it would be four times. */
static void
test_bundles (void **state)
{
  double bytes[2];
  (void)state;
  for (int k = 0; k < 2; k++)
    {
      KqTableSim *f = kq_table_sim_new (10, k == 0 ? 12 : 24, 4, true);
      int pairs = 0; /* of a sending node and a receiving region */
      bytes[k] = 0;
      assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
      kq_table_sim_run (f, 10 * KQ_SEC);
      memset (f->sent_between_regions, 0, sizeof f->sent_between_regions);
      for (int i = 0; i < f->n; i++)
        f->nodes[i].far_bytes = 0;
      kq_table_sim_run (f, 60 * KQ_SEC);
      for (int i = 0; i < f->n; i++)
        {
          bytes[k] += (double)f->nodes[i].far_bytes;
          bool to[4] = { false };
          for (int j = 0; j < f->n; j++)
            to[f->nodes[j].region]
                = to[f->nodes[j].region] || f->sent_between_regions[i][j];
          pairs += to[0] + to[1] + to[2] + to[3];
        }
      assert_int_equal (pairs, 4 * 3);
      kq_table_sim_free (f);
    }
  assert_true (bytes[1] < 2.2 * bytes[0]);
}

/* A node takes a shard, the shard's values change, the node releases the shard. Peers in
 * both regions must know the owner within a heartbeat or a bundle; heartbeats without
 * digests in between must not be read as "owns nothing". */
static void
test_digests_arrive (void **state)
{
  KqTableSim *f = kq_table_sim_new (17, 8, 2, true);
  KqTeamDigest teams[60] = { { .queued = { 0 } } };
  KqShardDigest d = { .shard = 5, .epoch = 1, .teams = teams, .n_teams = 60 };
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  kq_table_sim_run (f, 10 * KQ_SEC);
  f->nodes[0].digest = &d;
  f->nodes[0].n_digest = 1;
  kq_table_sim_run (f, 700 * KQ_MS);
  assert_int_equal (seen (f, 2, 0)->n_shards, 1);
  for (int i = 0; i < 40; i++)
    {
      d.queued_jobs = i;
      kq_table_sim_run (f, 500 * KQ_MS);
      assert_int_equal (seen (f, 2, 0)->n_shards, 1);
      assert_true (seen (f, 2, 0)->shards[0].queued_jobs >= i - 9);
    }
  assert_int_equal (seen (f, 1, 0)->n_shards, 1);
  assert_int_equal (seen (f, 1, 0)->shards[0].n_teams, 60);
  f->nodes[0].n_digest = 0;
  kq_table_sim_run (f, 700 * KQ_MS);
  assert_int_equal (seen (f, 2, 0)->n_shards, 0);
  kq_table_sim_free (f);
}

/* A new service of a shard must be reported at once. If its entry in the digest waited
 * for the digest rate, the owner would get no requests for the service until then. */
static void
test_new_services_are_sent_at_once (void **state)
{
  KqTableSim *f = kq_table_sim_new (18, 8, 1, true);
  KqTeamDigest teams[60] = { { .queued = { 0 } } };
  KqServiceDigest line = { .service = kq_name (KQ_STR ("quick")), .slots = 4 };
  KqShardDigest d = { .shard = 5, .epoch = 1, .teams = teams, .n_teams = 60 };
  (void)state;
  assert_true (wait_until_all_see_live (f, 5 * KQ_SEC) >= 0);
  f->nodes[0].digest = &d;
  f->nodes[0].n_digest = 1;
  kq_table_sim_run (f, 700 * KQ_MS);
  assert_int_equal (seen (f, 2, 0)->n_shards, 1);
  d.services = &line;
  d.n_services = 1;
  kq_table_sim_run (f, 700 * KQ_MS);
  assert_int_equal (seen (f, 2, 0)->shards[0].n_services, 1);
  d.n_services = 0;
  kq_table_sim_run (f, 700 * KQ_MS);
  assert_int_equal (seen (f, 2, 0)->shards[0].n_services, 0);
  kq_table_sim_free (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_start),
    cmocka_unit_test (test_kill_and_return),
    cmocka_unit_test (test_broken_link),
    cmocka_unit_test (test_cut_peer),
    cmocka_unit_test (test_store_outage),
    cmocka_unit_test (test_one_cut_from_store),
    cmocka_unit_test (test_paused_process),
    cmocka_unit_test (test_same_name_twice),
    cmocka_unit_test (test_leave),
    cmocka_unit_test (test_random_store_faults),
    cmocka_unit_test (test_bundles),
    cmocka_unit_test (test_digests_arrive),
    cmocka_unit_test (test_new_services_are_sent_at_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
