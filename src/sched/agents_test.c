#include "sched/agent_picker.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#define NO_BOUND 1000000

static KqAgentInfo
agent_info (const char *name, const char *domain, int share, bool leader)
{
  return (KqAgentInfo){ kq_name (kq_str (name)), kq_name (kq_str (domain)), share,
                        leader };
}

static void
add_agent (KqAgents *a, const char *name, const char *domain, int share, bool leader)
{
  KqAgentInfo info = agent_info (name, domain, share, leader);
  kq_agents_up (a, &info);
  kq_agents_set_stored (a, kq_name_str (&info.name));
}

/* Assigns n runners, in these domains in turn, which have listed their runs. */
static void
assign (KqAgents *a, int n, const char *const *domains, int n_domains)
{
  KqAgentPicker *p = kq_agent_picker_new (a, NO_BOUND);
  for (int i = 0; i < n; i++)
    {
      int agent = kq_agent_picker_pick (p, kq_str (domains[i % n_domains]));
      assert_true (agent >= 0);
      a->list[agent].runners++;
      kq_agent_picker_assigned (p, agent);
    }
  kq_agent_picker_free (p);
}

static void
test_runners_go_to_agents_by_share (void **state)
{
  static const char *const north[] = { "n" };
  KqAgents a;
  KqAgentPicker *p;
  (void)state;
  kq_agents_init (&a);
  add_agent (&a, "a", "n", 100, true);
  add_agent (&a, "b", "n", 100, false);
  add_agent (&a, "c", "s", 300, false);
  assign (&a, 40, north, 1);
  assert_int_equal (a.list[0].runners, 0);
  assert_in_range (a.list[1].runners, 9, 13);
  assert_in_range (a.list[2].runners, 27, 31);
  assert_false (kq_agents_overloaded (&a, 1, 40));
  a.list[1].runners = 30;
  assert_true (kq_agents_overloaded (&a, 1, 40));
  kq_agents_down (&a, 1, false);
  kq_agents_down (&a, 2, false);
  p = kq_agent_picker_new (&a, NO_BOUND);
  assert_int_equal (kq_agent_picker_pick (p, KQ_STR ("n")), 0);
  kq_agent_picker_free (p);
  assert_true (kq_agents_any_lost (&a));
  kq_agents_clear (&a);
}

/* Guards against nodes that join a large fleet and are never used. */
static void
test_every_node_of_a_large_fleet_gets_runners (void **state)
{
  enum
  {
    NODES = 1200
  };
  static const char *const domains[] = { "d0", "d1", "d2", "d3", "d4", "d5" };
  KqAgents a;
  (void)state;
  kq_agents_init (&a);
  for (int i = 0; i < NODES; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      add_agent (&a, name, domains[i % 6], 120, false);
    }
  assign (&a, 10 * NODES, domains, 6);
  for (int i = 0; i < NODES; i++)
    assert_int_equal (a.list[i].runners, 10);
  for (int i = 0; i < NODES; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "n%d", i);
      assert_int_equal (kq_agents_find (&a, kq_str (name)), i);
      a.list[i].runners = 0;
      kq_agents_down (&a, i, i % 2 == 0);
    }
  assert_false (kq_agents_any_usable (&a));
  assert_int_equal (g_hash_table_size (a.lost), NODES / 2);
  add_agent (&a, "n1", "d1", 120, false);
  assert_int_equal (a.n, NODES);
  assert_int_equal (g_hash_table_size (a.lost), NODES / 2 - 1);
  kq_agents_clear (&a);
}

/* Guards against the lists of a whole fleet at once, on the links of the first nodes that
 * come back and on the leader's. */
static void
test_unlisted_runners_are_bounded (void **state)
{
  KqAgents a;
  KqAgentPicker *p;
  int n = 0;
  (void)state;
  kq_agents_init (&a);
  add_agent (&a, "a", "n", 120, false);
  add_agent (&a, "b", "n", 120, false);
  p = kq_agent_picker_new (&a, 30);
  for (int agent; (agent = kq_agent_picker_pick (p, KQ_STR ("n"))) >= 0; n++)
    {
      a.list[agent].runners++;
      a.list[agent].unlisted++;
      kq_agent_picker_assigned (p, agent);
    }
  kq_agent_picker_free (p);
  assert_int_equal (n, 30);
  p = kq_agent_picker_new (&a, NO_BOUND);
  for (int agent; (agent = kq_agent_picker_pick (p, KQ_STR ("n"))) >= 0; n++)
    {
      a.list[agent].runners++;
      a.list[agent].unlisted++;
      kq_agent_picker_assigned (p, agent);
    }
  kq_agent_picker_free (p);
  assert_int_equal (n, 40); /* 20 for each of 0.12 cores */
  kq_agents_clear (&a);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_runners_go_to_agents_by_share),
          cmocka_unit_test (test_every_node_of_a_large_fleet_gets_runners),
          cmocka_unit_test (test_unlisted_runners_are_bounded) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
