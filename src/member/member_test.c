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
seen (KqTableSim *f, int by, int whom)
{
  return kq_member_find (f->nodes[by].member, f->nodes[whom].info.id);
}

static int
state_of (KqTableSim *f, int by, int whom)
{
  const KqNode *n = seen (f, by, whom);
  return n != NULL ? (int)n->state : -1;
}

/* All that are up see each other alive, and nobody else. */
static bool
whole (KqTableSim *f)
{
  for (int a = 0; a < f->n; a++)
    for (int b = 0; b < f->n; b++)
      if (f->nodes[a].up && (state_of (f, a, b) == KQ_NODE_ALIVE) != f->nodes[b].up)
        return false;
  return true;
}

/* Until `whole`; returns how long, -1 after the limit. */
static KqTime
settle (KqTableSim *f, KqTime limit)
{
  KqTime start = f->now;
  while (f->now - start <= limit)
    {
      if (whole (f))
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
  assert_in_range (settle (f, 5 * KQ_SEC), 0, 2 * KQ_SEC);
  assert_true (leases_live (f));
  for (int i = 0; i < 60; i++)
    {
      kq_table_sim_run (f, KQ_SEC);
      assert_true (whole (f) && leases_live (f));
    }
  assert_true (seen (f, 0, 3)->heard_at > 0); /* in the far region, by bundles */
  assert_true (kq_member_peer_reaches_store (f->nodes[0].member, 10 * KQ_SEC, f->now));
  assert_true (kq_member_hears_region (f->nodes[0].member, 2 * KQ_SEC, f->now));
  /* A region's words cross the link once: node 0's heartbeats of 60 s to all of the far
   * region would be 4 x 120. */
  kq_table_sim_free (f);
}

/* A process dies without a word. Its peers suspect it within the suspicion time, before
 * its key lapses, and count it gone when the key does; started again, it is back. */
static void
test_kill_and_return (void **state)
{
  KqTableSim *f = kq_table_sim_new (2, 6, 2, true);
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
  kq_table_sim_kill (f, 2);
  kq_table_sim_run (f, 3 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 2), KQ_NODE_SUSPECT);
  kq_table_sim_run (f, 9 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 2), KQ_NODE_GONE);
  kq_table_sim_start (f, 2);
  assert_in_range (settle (f, 5 * KQ_SEC), 0, 3 * KQ_SEC);
  assert_int_equal (seen (f, 1, 2)->info.incarnation, 2);
  /* Killed and started at once: its former key is still there under the old lease. */
  kq_table_sim_kill (f, 4);
  kq_table_sim_start (f, 4);
  kq_table_sim_run (f, 2 * KQ_SEC);
  assert_true (leases_live (f) && whole (f));
  kq_table_sim_run (f, 30 * KQ_SEC);
  assert_true (leases_live (f) && whole (f));
  kq_table_sim_free (f);
}

/* The connection to a killed process breaks: that is told at once, and suspicion needs
 * not wait for the silence limit. A mere reconnection raises none. */
static void
test_broken_link (void **state)
{
  KqTableSim *f = kq_table_sim_new (3, 3, 1, true);
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
  kq_member_link (f->nodes[0].member, f->nodes[1].info.id, false, f->now);
  kq_table_sim_run (f, 2 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_ALIVE);
  kq_table_sim_kill (f, 1);
  kq_member_link (f->nodes[0].member, f->nodes[1].info.id, false, f->now);
  kq_table_sim_run (f, 1500 * KQ_MS);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_SUSPECT);
  kq_table_sim_free (f);
}

/* Messages between two nodes are lost one way, then both, while each reaches the store:
 * suspicion, but no removal; when they come again it ends. */
static void
test_cut_peer (void **state)
{
  KqTableSim *f = kq_table_sim_new (4, 3, 1, true);
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
  f->cut[0][1] = true;
  kq_table_sim_run (f, 20 * KQ_SEC);
  assert_int_equal (state_of (f, 1, 0), KQ_NODE_SUSPECT);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_ALIVE);
  f->cut[1][0] = true;
  kq_table_sim_run (f, 20 * KQ_SEC);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_SUSPECT);
  assert_true (leases_live (f));
  f->cut[0][1] = f->cut[1][0] = false;
  assert_in_range (settle (f, 5 * KQ_SEC), 0, 2 * KQ_SEC);
  kq_table_sim_free (f);
}

/* The store is away for minutes, longer than any lease. Nodes go on seeing each other
 * by heartbeats, know that their leases are gone, and one that dies is counted gone
 * after the lease time. When the store is back nobody is taken for gone meanwhile,
 * though at first it lists no key at all. */
static void
test_store_outage (void **state)
{
  KqTableSim *f = kq_table_sim_new (5, 6, 2, true);
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
  kq_store_fake_faults (f->store)->down = true;
  kq_table_sim_run (f, 60 * KQ_SEC);
  assert_true (whole (f));
  for (int i = 0; i < 6; i++)
    {
      assert_false (kq_member_lease_live (f->nodes[i].member, f->now));
      assert_false (
          kq_member_peer_reaches_store (f->nodes[i].member, 10 * KQ_SEC, f->now));
      assert_true (kq_member_store_silence (f->nodes[i].member, f->now) > 55 * KQ_SEC);
    }
  kq_table_sim_kill (f, 5);
  kq_table_sim_run (f, 20 * KQ_SEC);
  assert_true (whole (f));
  assert_int_equal (state_of (f, 0, 5), KQ_NODE_GONE);
  kq_store_fake_faults (f->store)->down = false;
  uint64_t before = kq_store_fake_count (f->store)->calls;
  for (int i = 0; i < 400; i++)
    {
      kq_table_sim_run (f, 50 * KQ_MS);
      assert_true (whole (f));
    }
  assert_true (leases_live (f));
  /* A calm return: grant, put, list, watches and renewals, not a storm. */
  assert_in_range (kq_store_fake_count (f->store)->calls - before, 5 * 5, 5 * 60);
  kq_table_sim_free (f);
}

/* One node alone is cut off from the store. Its peers say that they reach it, so it
 * knows that the fault is its own; its lease ends by its own clock before the key goes
 * in the store. */
static void
test_one_cut_from_store (void **state)
{
  KqTableSim *f = kq_table_sim_new (6, 4, 1, true);
  KqMember *m = f->nodes[1].member;
  bool key_there = true;
  KqStr value;
  uint64_t rev;
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
  /* A slow store: a lease counted from the answer would outlive the key. */
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
  assert_true (settle (f, 10 * KQ_SEC) >= 0);
  kq_table_sim_free (f);
}

/* A process sleeps for a minute and wakes. It must know at once that its lease is gone,
 * must not take its own sleep for the others' silence, and must be back soon. */
static void
test_paused_process (void **state)
{
  KqTableSim *f = kq_table_sim_new (7, 4, 1, true);
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
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
  assert_true (settle (f, 15 * KQ_SEC) >= 0);
  assert_true (leases_live (f));
  kq_table_sim_free (f);
}

/* A host is replaced under the same name while the old process still runs. The newer
 * one has the key; the older holds nothing from the moment it sees that, for good, and
 * the two don't push each other out in turns. */
static void
test_same_name_twice (void **state)
{
  KqTableSim *f = kq_table_sim_new (8, 3, 1, true);
  KqMemberConfig c = { .lease = 10 * KQ_SEC, .beat = KQ_SEC / 2, .suspect = 2 * KQ_SEC };
  KqOutbox out = { 0 };
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
  KqMember *old = f->nodes[0].member;
  c.self = f->nodes[0].info;
  c.self.incarnation = 77;
  f->nodes[0].member = kq_member_new (&c, 99);
  kq_table_sim_run (f, 3 * KQ_SEC);
  assert_true (kq_member_lease_live (f->nodes[0].member, f->now));
  /* The old one's watch answers with the list. */
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
  assert_true (whole (f) && leases_live (f));
  kq_table_sim_free (f);
}

/* A planned stop: the key goes at once, and the others know within a watch's answer. */
static void
test_leave (void **state)
{
  KqTableSim *f = kq_table_sim_new (9, 3, 1, true);
  KqOutbox out = { 0 };
  KqOut item;
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
  kq_member_leave (f->nodes[1].member, f->now, &out);
  assert_true (kq_outbox_take (&out, &item));
  assert_int_equal (item.u.store.kind, KQ_STORE_LEASE_REVOKE);
  item.u.store.token = 0; /* its answer goes to the first asker, who ignores it */
  kq_store_fake_call (f->store, 1, &item.u.store, f->now);
  kq_out_clear (&item);
  kq_outbox_free (&out);
  assert_false (kq_member_lease_live (f->nodes[1].member, f->now));
  kq_table_sim_run (f, 500 * KQ_MS);
  assert_int_equal (state_of (f, 0, 1), KQ_NODE_GONE);
  kq_table_sim_free (f);
}

/* Calls to the store are lost before or after their effect, answered late or twice. No
 * node ever thinks its lease alive after its key went, and all are there in the end. */
static void
test_random_store_faults (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      KqTableSim *f = kq_table_sim_new (seed, 5, 2, true);
      KqStoreFaults *s = kq_store_fake_faults (f->store);
      KqRand r = kq_rand (seed);
      for (int fate = 1; fate < KQ_FATE_COUNT; fate++)
        s->p[fate] = 0.1;
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
      assert_true (settle (f, 30 * KQ_SEC) >= 0);
      kq_table_sim_run (f, 10 * KQ_SEC);
      assert_true (leases_live (f));
      kq_table_sim_free (f);
    }
}

/* Heartbeats over the region link grow with pairs of regions, not of nodes: with twice
 * the nodes a region there is still one sender a pair, and twice the
 * bytes; all pairs of nodes would be four times. */
static void
test_bundles (void **state)
{
  double bytes[2];
  (void)state;
  for (int k = 0; k < 2; k++)
    {
      KqTableSim *f = kq_table_sim_new (10, k == 0 ? 12 : 24, 4, true);
      int pairs = 0; /* sending nodes, by the region that they send to */
      bytes[k] = 0;
      assert_true (settle (f, 5 * KQ_SEC) >= 0);
      kq_table_sim_run (f, 10 * KQ_SEC);
      memset (f->crossed, 0, sizeof f->crossed);
      for (int i = 0; i < f->n; i++)
        f->nodes[i].far_bytes = 0;
      kq_table_sim_run (f, 60 * KQ_SEC);
      for (int i = 0; i < f->n; i++)
        {
          bytes[k] += (double)f->nodes[i].far_bytes;
          bool to[4] = { false };
          for (int j = 0; j < f->n; j++)
            to[f->nodes[j].region] = to[f->nodes[j].region] || f->crossed[i][j];
          pairs += to[0] + to[1] + to[2] + to[3];
        }
      assert_int_equal (pairs, 4 * 3);
      kq_table_sim_free (f);
    }
  assert_true (bytes[1] < 2.2 * bytes[0]);
}

/* A node takes a shard, its numbers change, it gives the shard away. Peers near and far
 * must know who owns it within a beat or a bundle; light heartbeats in between must not
 * read as "owns nothing". */
static void
test_digests_travel (void **state)
{
  KqTableSim *f = kq_table_sim_new (17, 8, 2, true);
  KqTeamDigest teams[60] = { { .wanted = { 0 } } };
  KqShardDigest d = { .shard = 5, .epoch = 1, .teams = teams, .n_teams = 60 };
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
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

/* Guards against an owner without requests: its runners' lines waited for their pace. */
static void
test_service_lines_travel (void **state)
{
  KqTableSim *f = kq_table_sim_new (18, 8, 1, true);
  KqTeamDigest teams[60] = { { .wanted = { 0 } } };
  KqServiceDigest line = { .service = kq_name (KQ_STR ("quick")), .slots = 4 };
  KqShardDigest d = { .shard = 5, .epoch = 1, .teams = teams, .n_teams = 60 };
  (void)state;
  assert_true (settle (f, 5 * KQ_SEC) >= 0);
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
    cmocka_unit_test (test_digests_travel),
    cmocka_unit_test (test_service_lines_travel),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
