#include "base/log.h"
#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* Age of a process that has run since long before the present leader. */
#define LONG_MS 60000

/* A new leader has a job of an earlier one, hears from r0, and not from r1. */
static void
take_over (KqSchedFixture *d)
{
  kq_sched_fixture_new_leader (d);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_unreached (d, d->agent, "r1", -1);
}

static void
report (KqSchedFixture *d, int agent, int64_t age_ms, int64_t left_ms)
{
  KqGrantRow row = { KQ_STR ("r1"), left_ms };
  KqGrantList l = { age_ms, &row, left_ms > 0 ? 1 : 0 };
  kq_sched_grants (d->sched, agent, &l, d->now);
}

/* Checks that the job isn't started before the span is over, and soon after. */
static void
expect_start_after (KqSchedFixture *d, KqTime span)
{
  kq_sched_fixture_run (d, span - 200 * KQ_MS);
  assert_int_equal (d->start_orders, 0);
  kq_sched_fixture_run (d, 700 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Guards against a fleet whose work waits for seconds beside free room: one runner
 * doesn't answer a new leader, though no lease is left there. */
static void
test_silent_runner_without_a_lease_holds_back_nothing (void **state)
{
  KqSchedFixture *d = *state;
  take_over (d);
  report (d, d->agent, LONG_MS, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Guards against a wait that begins anew with each change of leader. */
static void
test_next_leader_does_not_wait_again (void **state)
{
  KqSchedFixture *d = *state;
  for (int i = 0; i < 3; i++)
    {
      take_over (d);
      kq_sched_fixture_store_used_runners (d);
      report (d, d->agent, LONG_MS, i == 0 ? 4000 : 0);
      kq_sched_fixture_run (d, i < 2 ? 2 * KQ_SEC : 300 * KQ_MS);
      assert_int_equal (d->start_orders > 0, i > 0);
      kq_sched_fixture_list (d, "r0", NULL, 0);
    }
}

/* Guards against a task that runs twice: its lease on the silent runner lasts. */
static void
test_reported_lease_is_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  take_over (d);
  report (d, d->agent, LONG_MS, 3000);
  expect_start_after (d, 3300 * KQ_MS);
}

/* As above; the lease was granted by an earlier process of the agent's node. */
static void
test_leases_of_a_restarted_agent_are_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  take_over (d);
  report (d, d->agent, 1000, 0);
  expect_start_after (d, 5300 * KQ_MS);
}

/* As above; another agent hasn't reported. */
static void
test_agent_that_has_not_reported_is_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo other = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  int b;
  kq_sched_fixture_add_agent (d, &other);
  take_over (d);
  report (d, d->agent, LONG_MS, 0);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  assert_int_equal (d->start_orders, 0);
  b = kq_sched_agent_up (d->sched, &other, d->now);
  report (d, b, LONG_MS, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* As above; a leader that stores no list of agents has led in between, and may have had
 * others. */
static void
test_list_of_an_older_leader_is_not_trusted (void **state)
{
  KqSchedFixture *d = *state;
  d->term++;
  take_over (d);
  report (d, d->agent, LONG_MS, 0);
  expect_start_after (d, 9400 * KQ_MS);
}

static void
ignore_order (void *arg, int agent, const KqOrder *o)
{
  (void)arg;
  (void)agent;
  (void)o;
}

/* Guards against a wait for the node that leads: its own report comes before the stored
 * lists are read. */
static void
test_report_before_the_lists_are_read_counts (void **state)
{
  KqSchedFixture *d = *state;
  KqGrantList none = { .process_age_ms = LONG_MS };
  KqAgentInfo self = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  KqSchedConfig c = { .epoch = 20,
                      .term = 2,
                      .lease_ms = 5000,
                      .renew_without_leader_ms = 4000,
                      .order = ignore_order,
                      .counters = d->counters };
  KqSched *s;
  kq_sched_fixture_add_agent (d, &self);
  self.leader = true;
  s = kq_sched_new (&c, d->now);
  kq_sched_grants (s, kq_sched_agent_up (s, &self, d->now), &none, d->now);
  self = (KqAgentInfo){ .name = kq_name (KQ_STR ("a")), .share_milli = 1000 };
  kq_sched_grants (s, kq_sched_agent_up (s, &self, d->now), &none, d->now);
  kq_sched_used_runners (s, kq_buf_str (&d->used_runners), d->now);
  kq_sched_used_agents (s, kq_buf_str (&d->used_agents), d->now);
  kq_sched_loaded (s, d->now);
  kq_sched_run (s, d->now, d->now / KQ_MS);
  kq_sched_run (s, d->now + KQ_SEC, d->now / KQ_MS + 1000);
  assert_true (kq_sched_settled (s));
  kq_sched_free (s);
}

/* Guards against a new leader that doesn't know of an agent which has granted leases. */
static void
test_agent_gets_runners_only_once_it_is_stored (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo next = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  uint64_t before = d->assignment[0];
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  d->agent = kq_sched_agent_up (d->sched, &next, d->now);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_equal (d->assignment[0], before);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_not_equal (d->assignment[0], before);
}

/* Guards against a wait that begins anew when a runner changes its agent: one that has
 * listed nothing since it was assigned has granted no lease. */
static void
test_agent_that_has_granted_nothing_is_not_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo other = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  int b;
  kq_sched_fixture_add_agent (d, &other);
  take_over (d);
  report (d, d->agent, LONG_MS, 0);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  b = kq_sched_agent_up (d->sched, &other, d->now);
  report (d, b, LONG_MS, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  d->agent = b;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Packs the lists of runners and agents, as a write of them begins. */
static void
pack (KqSchedFixture *d)
{
  kq_buf_clear (&d->used_runners);
  kq_sched_used_runners_pack (d->sched, &d->used_runners);
  kq_buf_clear (&d->used_agents);
  kq_sched_used_agents_pack (d->sched, &d->used_agents);
}

static void
store (KqSchedFixture *d)
{
  pack (d);
  kq_sched_used_runners_stored (d->sched);
}

/* Guards against a task that runs twice: the next leader reads a list without an agent
 * that has granted leases. It came back while the write that leaves it out was under way.
 */
static void
test_agent_back_during_the_write_that_drops_it (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  int n = kq_sched_fixture_add_agent (d, &b);
  uint64_t before;
  kq_sched_agent_down (d->sched, n, false, d->now);
  kq_sched_fixture_run (d, 10 * KQ_SEC);
  assert_true (kq_sched_used_runners_pending (d->sched));
  pack (d); /* under way, without b */
  kq_sched_agent_up (d->sched, &b, d->now);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  before = d->assignment[1];
  kq_sched_fixture_run (d, 500 * KQ_MS);
  kq_sched_used_runners_stored (d->sched);
  assert_int_equal (d->assignment[1], before);
}

/* As above: the leader's own agent was used as none of the others was stored, though it
 * had left the list of those in use. */
static void
test_own_agent_is_not_used_while_a_new_one_is_stored (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo own
      = { .name = kq_name (KQ_STR ("own")), .share_milli = 1000, .leader = true };
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  KqAgentInfo b2 = { .name = kq_name (KQ_STR ("b2")), .share_milli = 1000 };
  KqAgentInfo c = { .name = kq_name (KQ_STR ("c")), .share_milli = 1000 };
  KqAgentInfo c2 = { .name = kq_name (KQ_STR ("c2")), .share_milli = 1000 };
  int o;
  int n;
  int n2;
  o = kq_sched_agent_up (d->sched, &own, d->now);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  store (d);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_equal (d->taken_by[1], o);
  d->agent = o;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  n = kq_sched_fixture_add_agent (d, &b);
  kq_sched_fixture_run (d, KQ_SEC); /* b takes both */
  assert_int_equal (d->taken_by[1], n);
  d->agent = n;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  n2 = kq_sched_fixture_add_agent (d, &b2); /* own isn't needed as a grantor now */
  kq_sched_fixture_run (d, KQ_SEC);
  store (d); /* any change of the lists */
  kq_sched_fixture_run (d, 6 * KQ_SEC);
  kq_sched_agent_down (d->sched, n, false, d->now);
  kq_sched_agent_down (d->sched, n2, false, d->now);
  kq_sched_agent_up (d->sched, &c, d->now); /* not stored yet, as the next one */
  kq_sched_agent_up (d->sched, &c2, d->now);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_not_equal (d->taken_by[1], o);
}

/* As above, for a new leader whose own node the last one used. */
static void
test_own_agent_of_an_earlier_list_is_not_used_either (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo own = { .name = kq_name (KQ_STR ("own")), .share_milli = 1000 };
  KqAgentInfo c = { .name = kq_name (KQ_STR ("c")), .share_milli = 1000 };
  KqAgentInfo c2 = { .name = kq_name (KQ_STR ("c2")), .share_milli = 1000 };
  int o;
  kq_sched_fixture_add_agent (d, &own);
  kq_sched_fixture_new_leader (d);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  own.leader = true;
  o = kq_sched_agent_up (d->sched, &own, d->now);
  kq_sched_agent_up (d->sched, &c, d->now); /* not stored yet, as the next one */
  kq_sched_agent_up (d->sched, &c2, d->now);
  kq_sched_used_agents (d->sched, kq_buf_str (&d->used_agents), d->now);
  kq_sched_loaded (d->sched, d->now);
  d->taken_by[1] = -1;
  kq_sched_fixture_run (d, 500 * KQ_MS);
  assert_int_not_equal (d->taken_by[1], o);
}

/* Guards against a wait for a lease that nobody renews: the agent that is lost had told
 * that the runner doesn't answer. */
static void
test_loss_of_an_agent_does_not_prolong_a_silent_runners_lease (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  char lost[64];
  const char *other;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_accept_starts (d);
  snprintf (lost, sizeof lost, "%s", d->runner);
  other = strcmp (lost, "r0") == 0 ? "r1" : "r0";
  kq_sched_fixture_run (d, 6 * KQ_SEC); /* the lease in the first list is over */
  kq_sched_fixture_unreached (d, d->agent, lost, 1000);
  kq_sched_fixture_run (d, 200 * KQ_MS);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  d->agent = kq_sched_fixture_add_agent (d, &b);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  kq_sched_fixture_list (d, other, NULL, 0);
  kq_sched_fixture_unreached (d, d->agent, lost, -1);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  assert_int_equal (d->start_orders, 2);
}

/* Guards against tasks that wait for leases which nobody grants any more: an agent that
 * stops as planned has released its runners, and the one after it doesn't reach them. */
static void
test_leases_of_an_agent_that_stops_as_planned (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_accept_starts (d);
  kq_sched_agent_down (d->sched, d->agent, true, d->now);
  d->agent = kq_sched_fixture_add_agent (d, &b);
  kq_sched_fixture_run (d, 500 * KQ_MS);
  kq_sched_fixture_unreached (d, d->agent, "r0", -1);
  kq_sched_fixture_run (d, 5 * KQ_SEC);
  kq_sched_gauges (d->sched);
  assert_int_equal (*kq_counter (d->counters, "kq_runs_alive", "", ""), 1);
  kq_sched_fixture_run (d, 1500 * KQ_MS);
  kq_sched_gauges (d->sched);
  assert_int_equal (*kq_counter (d->counters, "kq_runs_alive", "", ""), 0);
}

/* Guards against a wait that begins anew: the node that led in between, an agent before,
 * has told its leases to itself. */
static void
test_own_node_that_has_told_its_leases_is_not_waited_for (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo own = { .name = kq_name (KQ_STR ("own")), .share_milli = 1000 };
  KqAgentInfo b = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  int o;
  kq_sched_fixture_add_agent (d, &own);
  take_over (d);
  report (d, kq_sched_agent_up (d->sched, &b, d->now), LONG_MS, 0);
  own.leader = true;
  o = kq_sched_agent_up (d->sched, &own, d->now);
  report (d, d->agent, LONG_MS, 0);
  report (d, o, LONG_MS, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_true (kq_sched_settled (d->sched));
  for (int i = 0; i < 80; i++)
    {
      kq_sched_fixture_run (d, 100 * KQ_MS);
      if (kq_sched_used_runners_pending (d->sched))
        store (d);
    }
  take_over (d);
  report (d, d->agent, LONG_MS, 0);
  report (d, kq_sched_agent_up (d->sched, &b, d->now), LONG_MS, 0);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_true (kq_sched_settled (d->sched));
}

#define TEST(name)                                                                       \
  cmocka_unit_test_setup_teardown (name, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_silent_runner_without_a_lease_holds_back_nothing),
          TEST (test_next_leader_does_not_wait_again),
          TEST (test_reported_lease_is_waited_for),
          TEST (test_leases_of_a_restarted_agent_are_waited_for),
          TEST (test_agent_that_has_not_reported_is_waited_for),
          TEST (test_list_of_an_older_leader_is_not_trusted),
          TEST (test_report_before_the_lists_are_read_counts),
          TEST (test_agent_gets_runners_only_once_it_is_stored),
          TEST (test_agent_that_has_granted_nothing_is_not_waited_for),
          TEST (test_agent_back_during_the_write_that_drops_it),
          TEST (test_own_agent_is_not_used_while_a_new_one_is_stored),
          TEST (test_own_agent_of_an_earlier_list_is_not_used_either),
          TEST (test_loss_of_an_agent_does_not_prolong_a_silent_runners_lease),
          TEST (test_leases_of_an_agent_that_stops_as_planned),
          TEST (test_own_node_that_has_told_its_leases_is_not_waited_for) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
