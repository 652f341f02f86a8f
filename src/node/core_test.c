#include "node/core.h"

#include "base/log.h"
#include "member/nodes.h"
#include "port/store_fake.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define TICK (20 * KQ_MS)
#define SHARDS 2

/* A core that is the only node of its region, and a fake store. */
typedef struct
{
  KqSettings settings;
  KqCore *core;
  KqStoreFake *store;
  KqOutbox out;
  KqTime now;
  int gone;       /* number of KQ_NOTICE_SHARD_GONE */
  KqTime gone_at; /* time of the last one */
  bool shards_released;
} Rig;

static int
set_up (void **state)
{
  Rig *r = kq_alloc (sizeof *r);
  KqSettings *s = &r->settings;
  KqCoreConfig c = { .settings = s, .seed = 7 };
  s->node = kq_name (KQ_STR ("n0"));
  s->region = kq_name (KQ_STR ("r"));
  s->depot = s->depots[0] = kq_name (KQ_STR ("d"));
  s->n_depots = 1;
  s->regions[0] = (KqRegionSetting){ s->region, SHARDS };
  s->n_regions = 1;
  s->node_lease_ms = s->worker_lease_ms = 6000;
  s->heartbeat_ms = 500;
  s->blind_ms = 60000;
  c.self.id = kq_str_hash (kq_name_str (&s->node));
  c.self.name = s->node;
  c.self.region = s->region;
  c.self.depot = s->depot;
  c.self.incarnation = 5;
  r->now = 100 * KQ_SEC;
  r->store = kq_store_fake_new (3);
  r->core = kq_core_new (&c);
  *state = r;
  return 0;
}

static int
tear_down (void **state)
{
  Rig *r = *state;
  kq_core_free (r->core);
  kq_outbox_free (&r->out);
  kq_store_fake_free (r->store);
  free (r);
  return 0;
}

static void
take_notices (Rig *r)
{
  KqNotice n;
  while (kq_core_notice (r->core, &n))
    {
      if (n.kind == KQ_NOTICE_SHARD_GONE)
        {
          r->gone++;
          r->gone_at = r->now;
        }
      r->shards_released = r->shards_released || n.kind == KQ_NOTICE_SHARDS_RELEASED;
      kq_hosts_free (&n.hosts);
    }
}

static void
run (Rig *r, KqTime span)
{
  for (KqTime until = r->now + span; r->now < until; r->now += TICK)
    {
      KqOut item;
      KqStoreReply reply;
      int client;
      while (kq_store_fake_next (r->store, r->now, &client, &reply))
        kq_core_store_reply (r->core, &reply, r->now, &r->out);
      kq_core_tick (r->core, r->now, &r->out);
      while (kq_outbox_take (&r->out, &item))
        {
          if (item.kind == KQ_OUT_STORE)
            kq_store_fake_call (r->store, 0, &item.u.store, r->now);
          kq_out_clear (&item);
        }
      take_notices (r);
    }
}

static int
active_shards (Rig *r)
{
  int n = 0;
  for (uint32_t i = 0; i < SHARDS; i++)
    n += kq_shard_state (kq_core_shard (r->core, i)) == KQ_SHARD_ACTIVE;
  return n;
}

/* Guards against a lone node that never acquires its shards. Wanted owners are computed
 * again when nodes join or leave; without other nodes, the write of this node's own key
 * to the store must cause it. */
static void
test_lone_node_takes_its_shards (void **state)
{
  Rig *r = *state;
  run (r, 5 * KQ_SEC);
  assert_int_equal (active_shards (r), SHARDS);
}

/* A planned stop without a successor: jobs and claims are released at once, requests are
 * sent to the runners for a while longer, and KQ_NOTICE_SHARDS_RELEASED comes last. */
static void
test_runners_outlive_a_released_shard (void **state)
{
  Rig *r = *state;
  KqTime released_at;
  run (r, 5 * KQ_SEC);
  kq_core_drain (r->core);
  while (active_shards (r) > 0 && r->now < 200 * KQ_SEC)
    run (r, TICK);
  released_at = r->now;
  assert_int_equal (active_shards (r), 0);
  assert_false (r->shards_released);
  run (r, 10 * KQ_SEC);
  assert_int_equal (r->gone, SHARDS);
  assert_true (r->gone_at - released_at >= KQ_SEC);
  assert_true (r->shards_released);
}

/* Adds another node of the region by writing its key to the store. */
static void
add_node (Rig *r, KqNodeInfo *n1)
{
  KqBuf value = { 0 };
  KqStoreOp op = { .kind = KQ_STORE_PUT, .key = KQ_STR ("node/n1") };
  n1->name = kq_name (KQ_STR ("n1"));
  n1->id = kq_str_hash (kq_name_str (&n1->name));
  n1->region = r->settings.region;
  n1->depot = r->settings.depot;
  n1->incarnation = 6;
  kq_node_info_pack (n1, &value);
  op.value = kq_buf_str (&value);
  kq_store_fake_call (r->store, 1, &op, r->now);
  kq_buf_free (&value);
}

/* Delivers a heartbeat of the other node: it owns every shard in a later epoch. */
static void
deliver_successor_heartbeat (Rig *r, const KqNodeInfo *n1, uint64_t sequence,
                             KqServiceDigest *lines, size_t n_lines)
{
  KqShardDigest shards[SHARDS] = { { .shard = 0 } };
  KqMsg m = { .kind = KQ_MSG_HEARTBEAT };
  for (uint32_t i = 0; i < SHARDS; i++)
    shards[i] = (KqShardDigest){ .shard = i, .epoch = 1000 };
  shards[0].services = lines;
  shards[0].n_services = n_lines;
  m.u.heartbeat.node = n1->id;
  m.u.heartbeat.incarnation = n1->incarnation;
  m.u.heartbeat.sequence = sequence << 1;
  m.u.heartbeat.shards = shards;
  m.u.heartbeat.n_shards = SHARDS;
  kq_core_message (r->core, n1->id, &m, r->now, &r->out);
}

/* Guards against a handover to a successor that doesn't serve its runners yet: its first
 * heartbeat shows the shards without any service. */
static void
test_runners_are_kept_until_the_successor_serves (void **state)
{
  Rig *r = *state;
  KqNodeInfo n1 = { 0 };
  KqServiceDigest line = { .service = kq_name (KQ_STR ("quick")), .slots = 4 };
  run (r, 5 * KQ_SEC);
  kq_core_set_services (r->core, &line, 1);
  add_node (r, &n1);
  kq_core_drain (r->core);
  while (active_shards (r) > 0 && r->now < 200 * KQ_SEC)
    run (r, TICK);
  assert_int_equal (active_shards (r), 0);
  deliver_successor_heartbeat (r, &n1, 1, NULL, 0);
  run (r, 500 * KQ_MS);
  assert_int_equal (r->gone, 0);
  deliver_successor_heartbeat (r, &n1, 2, &line, 1);
  run (r, 2 * TICK);
  assert_int_equal (r->gone, SHARDS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_lone_node_takes_its_shards, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_runners_outlive_a_released_shard, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_runners_are_kept_until_the_successor_serves,
                                     set_up, tear_down),
  };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
