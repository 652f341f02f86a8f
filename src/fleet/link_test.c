#include "base/log.h"
#include "bench/guard.h"
#include "fleet/link.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define EPOCH 7

/* A leader and a node, each on its own loop: one that isn't run stands still while the
 * other's words wait at its socket. */
typedef struct
{
  KqLoop *leader_loop;
  KqLoop *node_loop;
  KqLink *leader;
  KqLink *node;
  int pings;         /* seen by the node */
  KqTime counted_at; /* the latest that a ping told */
  int until_pings;
  int joined;
  int left;
  int left_planned;
  int lists;
  int listed; /* runs in the last one */
  int cancels;
  bool loses_lead; /* with the first cancellation */
  int welcomes;    /* seen by the node */
} Pair;

static void
on_joined (void *arg, KqPeer *p, const KqAgentInfo *info, KqTime now)
{
  Pair *t = arg;
  (void)p;
  (void)info;
  (void)now;
  t->joined++;
}

static void
on_left (void *arg, KqPeer *p, bool planned, KqTime now)
{
  Pair *t = arg;
  (void)p;
  (void)now;
  t->left++;
  t->left_planned += planned;
}

static void
on_connected (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
}

static void
on_from_node (void *arg, KqPeer *p, uint64_t epoch, const KqCrewItem *i, KqTime now)
{
  Pair *t = arg;
  (void)p;
  (void)epoch;
  t->cancels += i->kind == KQ_CREW_CANCEL;
  if (i->kind == KQ_CREW_CANCEL && t->loses_lead)
    kq_link_lead (t->leader, 0, now);
  if (i->kind != KQ_CREW_LIST)
    return;
  t->lists++;
  t->listed = (int)i->u.list.n_running;
}

static void
on_from_leader (void *arg, uint64_t epoch, const KqCrewItem *i, KqTime now)
{
  Pair *t = arg;
  (void)epoch;
  (void)now;
  t->welcomes += i->kind == KQ_CREW_WELCOME;
  if (i->kind != KQ_CREW_PING)
    return;
  t->pings++;
  if (i->u.ping.beat_sent_at > t->counted_at)
    t->counted_at = i->u.ping.beat_sent_at;
  if (t->pings >= t->until_pings)
    kq_loop_stop (t->node_loop);
}

static int64_t
store_age_ms (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
  return 0;
}

static KqLink *
new_link (Pair *t, KqLoop *loop)
{
  KqLinkConfig c = { .loop = loop, .ip = "127.0.0.1" };
  c.owner = (KqLinkOwner){
    t, on_joined, on_left, on_from_node, on_connected, on_from_leader, store_age_ms
  };
  return kq_link_new (&c);
}

static int
set_up (void **state)
{
  Pair *t = kq_alloc (sizeof *t);
  char address[32];
  kq_log_set_level (KQ_LOG_ERROR);
  t->leader_loop = kq_loop_new ();
  t->node_loop = kq_loop_new ();
  t->leader = new_link (t, t->leader_loop);
  t->node = new_link (t, t->node_loop);
  kq_link_lead (t->leader, EPOCH, kq_time_now ());
  kq_link_lead_until (t->leader, KQ_TIME_NEVER, false);
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_link_port (t->leader));
  kq_link_leader (t->node, kq_str (address), EPOCH, kq_time_now ());
  *state = t;
  return 0;
}

static int
tear_down (void **state)
{
  Pair *t = *state;
  kq_link_free (t->node);
  kq_link_free (t->leader);
  kq_loop_free (t->node_loop);
  kq_loop_free (t->leader_loop);
  free (t);
  return 0;
}

/* One task runs twice: after standing still a node takes old pings for the word of now.
 */
static void
test_pings_tell_which_beat_was_heard (void **state)
{
  Pair *t = *state;
  KqTime stood_still_at;
  t->until_pings = 1;
  for (int i = 0; i < 100 && t->counted_at == 0; i++)
    {
      guard_run (t->node_loop, 0.02);
      guard_run (t->leader_loop, 0.02);
    }
  assert_true (t->counted_at > 0);
  stood_still_at = kq_time_now ();
  guard_run (t->leader_loop, 0.7); /* pings go out */
  t->until_pings = t->pings + 1;
  guard_run (t->node_loop, 20);
  assert_true (t->pings >= t->until_pings);
  assert_true (t->counted_at < stood_still_at);
}

static void
run_until_pings (Pair *t, int pings)
{
  t->until_pings = pings;
  for (int i = 0; i < 400 && t->pings < pings; i++)
    {
      guard_run (t->node_loop, 0.02);
      guard_run (t->leader_loop, 0.02);
    }
  assert_true (t->pings >= pings);
}

/* A task runs twice: a leader that has lost a node gives leases on while that node leads.
 */
static void
test_pings_of_a_leader_that_has_lost_nodes (void **state)
{
  Pair *t = *state;
  KqTime doubts_at;
  run_until_pings (t, 2);
  assert_true (t->counted_at > 0);
  doubts_at = kq_time_now ();
  kq_link_lead_until (t->leader, 0, true);
  run_until_pings (t, t->pings + 3);
  assert_true (t->counted_at <= doubts_at);
  kq_link_lead_until (t->leader, KQ_TIME_NEVER, true);
  run_until_pings (t, t->pings + 3);
  assert_true (t->counted_at > doubts_at);
}

/* One task runs twice: a leader that was cut off gives leases on until it notices. */
static void
test_pings_of_a_leader_in_doubt (void **state)
{
  Pair *t = *state;
  kq_link_lead_until (t->leader, 0, false);
  run_until_pings (t, 3);
  assert_true (t->counted_at > 0);
  assert_true (t->counted_at <= kq_time_now () - 2 * KQ_SEC);
}

/* Lets both sides work until *n has reached so many. */
static void
run_until (Pair *t, const int *n, int wanted)
{
  for (int i = 0; i < 400 && *n < wanted; i++)
    {
      guard_run (t->node_loop, 0.01);
      guard_run (t->leader_loop, 0.01);
    }
  assert_true (*n >= wanted);
}

static KqCrewItem
changes (uint64_t serial, const KqToldRow *rows, size_t n)
{
  KqCrewItem i = { .kind = KQ_CREW_CHANGES, .runner = KQ_STR ("r") };
  i.u.changes.list.taking = 1;
  i.u.changes.running = (KqToldChanges){ .serial = serial, .rows = rows, .n_rows = n };
  return i;
}

/* The leader's link is full of lists: they come as changes, and the leader has them
 * whole. */
static void
test_changes_arrive_as_lists (void **state)
{
  Pair *t = *state;
  KqToldRow rows[2] = { { .slot = 0, .whole = true, .row = { .task = KQ_STR ("a") } },
                        { .slot = 1, .whole = true, .row = { .task = KQ_STR ("b") } } };
  KqCrewItem i = changes (0, rows, 2);
  run_until (t, &t->welcomes, 1);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->lists, 1);
  assert_int_equal (t->listed, 2);
  i = changes (1, NULL, 0);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->lists, 2);
  assert_int_equal (t->listed, 2);
}

/* A run is dropped: the leader takes changes for those of another list. */
static void
test_changes_that_dont_follow_end_the_connection (void **state)
{
  Pair *t = *state;
  KqCrewItem i = changes (5, NULL, 0);
  run_until (t, &t->welcomes, 1);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->left, 1);
  assert_int_equal (t->lists, 0);
  run_until (t, &t->joined, 2);
}

/* Leases lapse in a roll-out: a node that stops as planned counts as lost. */
static void
test_planned_leaver_says_goodbye (void **state)
{
  Pair *t = *state;
  run_until (t, &t->welcomes, 1);
  kq_link_leave (t->node);
  assert_false (kq_link_up (t->node));
  run_until (t, &t->left, 1);
  assert_int_equal (t->left_planned, 1);
  guard_run (t->node_loop, 0.3);
  guard_run (t->leader_loop, 0.1);
  assert_int_equal (t->left, 1);
  assert_int_equal (t->joined, 1);
}

/* The leader crashes: a word makes it give up the lead, and others follow in the same
 * message. */
static void
test_lead_is_lost_within_a_message (void **state)
{
  Pair *t = *state;
  KqCrewItem i = { .kind = KQ_CREW_CANCEL };
  run_until (t, &t->welcomes, 1);
  t->loses_lead = true;
  kq_link_send (t->node, EPOCH, &i);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->cancels, 1);
  guard_run (t->leader_loop, 0.1);
  assert_int_equal (t->cancels, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_pings_tell_which_beat_was_heard, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_pings_of_a_leader_that_has_lost_nodes, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_pings_of_a_leader_in_doubt, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_changes_arrive_as_lists, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_changes_that_dont_follow_end_the_connection,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_planned_leaver_says_goodbye, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lead_is_lost_within_a_message, set_up,
                                     tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
