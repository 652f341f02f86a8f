#include "../bench/procs.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define LIMIT (60 * KQ_SEC)
#define SHARDS 4

/* The shards that a node reports as active: the epoch of each, 0 if it isn't active. */
typedef struct
{
  json_int_t epoch[SHARDS];
} View;

typedef struct
{
  Procs procs;
  int nodes[2];
  View before; /* of the node that is paused, before the pause */
} Rig;

static View
view_of (Rig *r, int node)
{
  View v = { 0 };
  json_t *a = procs_json (&r->procs, r->nodes[node], "/v1/shards");
  for (size_t i = 0; i < json_array_size (a); i++)
    {
      json_t *o = json_array_get (a, i);
      json_int_t shard = json_integer_value (json_object_get (o, "shard"));
      const char *state = json_string_value (json_object_get (o, "state"));
      if (state != NULL && strcmp (state, "active") == 0 && shard < SHARDS)
        v.epoch[shard] = json_integer_value (json_object_get (o, "epoch"));
    }
  json_decref (a);
  return v;
}

static bool
both_own_some (Procs *p, void *arg)
{
  View a = view_of (arg, 0);
  View b = view_of (arg, 1);
  int owned[2] = { 0 };
  (void)p;
  for (int s = 0; s < SHARDS; s++)
    {
      owned[0] += a.epoch[s] > 0;
      owned[1] += b.epoch[s] > 0;
    }
  return owned[0] > 0 && owned[1] > 0 && owned[0] + owned[1] == SHARDS;
}

static bool
other_took_all (Procs *p, void *arg)
{
  Rig *r = arg;
  View b = view_of (r, 1);
  (void)p;
  for (int s = 0; s < SHARDS; s++)
    if (b.epoch[s] <= r->before.epoch[s])
      return false;
  return true;
}

static bool
resumed_left_old_epochs (Procs *p, void *arg)
{
  Rig *r = arg;
  View a = view_of (r, 0);
  (void)p;
  for (int s = 0; s < SHARDS; s++)
    if (a.epoch[s] > 0 && a.epoch[s] <= r->before.epoch[s])
      return false;
  return true;
}

/* A node is paused by SIGSTOP for longer than its lease, and the other node takes over
 * its shards under higher epochs. When the paused node continues, it must give up its old
 * epochs; at the end each shard is active at one node, under a higher epoch than before.
 * Guards against a node that continues under an old epoch after a pause. */
static void
test_paused_node_leaves_old_epochs (void **state)
{
  Rig r = { 0 };
  Procs *p = &r.procs;
  (void)state;
  assert_true (procs_init (p, KQ_BUILD_DIR));
  p->regions = "[[region]]\nname = \"r\"\nshards = 4\n";
  p->node_lease_ms = 2000;
  assert_true (procs_start_store (p, "") >= 0);
  for (int i = 0; i < 2; i++)
    {
      r.nodes[i] = procs_start_node (p, i == 0 ? "n0" : "n1", "r", "d");
      assert_true (r.nodes[i] >= 0);
    }
  assert_true (procs_wait (p, LIMIT, both_own_some, &r));
  r.before = view_of (&r, 0);
  procs_signal (p, r.nodes[0], SIGSTOP);
  assert_true (procs_wait (p, LIMIT, other_took_all, &r));
  procs_signal (p, r.nodes[0], SIGCONT);
  assert_true (procs_wait (p, LIMIT, resumed_left_old_epochs, &r));
  assert_true (procs_wait (p, LIMIT, both_own_some, &r));
  assert_true (resumed_left_old_epochs (p, &r));
  procs_free (p, false);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_paused_node_leaves_old_epochs),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
