#include "base/listen.h"
#include "base/log.h"
#include "bench/guard.h"
#include "fleet/link.h"
#include "wire/msg.h"

#include <ev.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define EPOCH 7

/* A leader and a node, each on its own loop. A loop that isn't run stands for a process
 * that hangs: messages from the other one wait at its socket. */
typedef struct
{
  KqLoop *leader_loop;
  KqLoop *node_loop;
  KqLink *leader;
  KqLink *node;
  int pings;              /* seen by the node */
  KqTime acknowledged_at; /* latest heartbeat that a ping acknowledged */
  int until_pings;        /* the loops run until the node has seen so many pings */
  int joined;
  int left;
  int left_planned;
  int lists;
  int listed; /* runs in the last list */
  int cancels;
  bool loses_leadership; /* the leader does, when it receives a cancellation */
  int n_welcomes;        /* seen by the node */
  uint64_t known;        /* epoch of the leader that the links know of; 0: none */
  uint64_t heard;        /* epoch of the leader that one was told of; 0: none */
  int end_lease;         /* the lease that the node was asked to end; 0: none */
} Fixture;

static void
on_joined (void *arg, KqPeer *p, const KqAgentInfo *info, KqTime now)
{
  Fixture *t = arg;
  (void)p;
  (void)info;
  (void)now;
  t->joined++;
}

static void
on_left (void *arg, KqPeer *p, bool planned, KqTime now)
{
  Fixture *t = arg;
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
on_from_node (void *arg, KqPeer *p, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  Fixture *t = arg;
  (void)p;
  (void)epoch;
  t->cancels += i->kind == KQ_AGENT_ITEM_CANCEL;
  if (i->kind == KQ_AGENT_ITEM_CANCEL && t->loses_leadership)
    kq_link_set_own_epoch (t->leader, 0, now);
  if (i->kind != KQ_AGENT_ITEM_LIST)
    return;
  t->lists++;
  t->listed = (int)i->u.list.n_running;
}

static void
on_from_leader (void *arg, uint64_t epoch, const KqAgentItem *i, KqTime now)
{
  Fixture *t = arg;
  (void)epoch;
  (void)now;
  t->n_welcomes += i->kind == KQ_AGENT_ITEM_WELCOME;
  if (i->kind == KQ_AGENT_ITEM_END_LEASE)
    t->end_lease = (int)i->u.end_lease.lease;
  if (i->kind != KQ_AGENT_ITEM_PING)
    return;
  t->pings++;
  if (i->u.ping.heartbeat_sent_at > t->acknowledged_at)
    t->acknowledged_at = i->u.ping.heartbeat_sent_at;
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

static void
on_heard_leader (void *arg, const KqAgentItem *i, KqTime now)
{
  Fixture *t = arg;
  (void)now;
  t->heard = i->u.leader.epoch;
}

static bool
fill_leader (void *arg, KqAgentItem *i)
{
  const Fixture *t = arg;
  i->u.leader.epoch = t->known;
  return t->known != 0;
}

static KqLink *
new_link (Fixture *t, KqLoop *loop)
{
  KqLinkConfig c = { .loop = loop, .ip = "127.0.0.1" };
  c.owner = (KqLinkOwner){ .arg = t,
                           .joined = on_joined,
                           .left = on_left,
                           .from_node = on_from_node,
                           .connected = on_connected,
                           .from_leader = on_from_leader,
                           .store_age_ms = store_age_ms,
                           .heard_leader = on_heard_leader,
                           .leader = fill_leader };
  return kq_link_new (&c);
}

static int
set_up (void **state)
{
  Fixture *t = kq_alloc (sizeof *t);
  char address[32];
  kq_log_set_level (KQ_LOG_ERROR);
  t->leader_loop = kq_loop_new ();
  t->node_loop = kq_loop_new ();
  t->leader = new_link (t, t->leader_loop);
  t->node = new_link (t, t->node_loop);
  kq_link_set_own_epoch (t->leader, EPOCH, kq_time_now ());
  kq_link_set_exclusive_until (t->leader, KQ_TIME_NEVER, false);
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_link_port (t->leader));
  kq_link_set_leader (t->node, kq_str (address), EPOCH, kq_time_now ());
  *state = t;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *t = *state;
  kq_link_free (t->node);
  kq_link_free (t->leader);
  kq_loop_free (t->node_loop);
  kq_loop_free (t->leader_loop);
  free (t);
  return 0;
}

/* Guards against a task that runs twice: a node that has hung must not count old pings as
 * current and go on renewing leases. */
static void
test_pings_acknowledge_the_last_heartbeat (void **state)
{
  Fixture *t = *state;
  KqTime hung_at;
  t->until_pings = 1;
  for (int i = 0; i < 100 && t->acknowledged_at == 0; i++)
    {
      loop_run_with_timeout (t->node_loop, 0.02);
      loop_run_with_timeout (t->leader_loop, 0.02);
    }
  assert_true (t->acknowledged_at > 0);
  hung_at = kq_time_now ();
  loop_run_with_timeout (t->leader_loop, 0.7); /* pings go out */
  t->until_pings = t->pings + 1;
  loop_run_with_timeout (t->node_loop, 20);
  assert_true (t->pings >= t->until_pings);
  assert_true (t->acknowledged_at < hung_at);
}

static void
run_until_pings (Fixture *t, int pings)
{
  t->until_pings = pings;
  for (int i = 0; i < 400 && t->pings < pings; i++)
    {
      loop_run_with_timeout (t->node_loop, 0.02);
      loop_run_with_timeout (t->leader_loop, 0.02);
    }
  assert_true (t->pings >= pings);
}

/* Guards against a task that runs twice: a leader that has lost a node must not extend
 * leases, as that node may have become leader. */
static void
test_pings_of_a_leader_that_has_lost_nodes (void **state)
{
  Fixture *t = *state;
  KqTime lost_nodes_at;
  run_until_pings (t, 2);
  assert_true (t->acknowledged_at > 0);
  lost_nodes_at = kq_time_now ();
  kq_link_set_exclusive_until (t->leader, 0, true);
  run_until_pings (t, t->pings + 3);
  assert_true (t->acknowledged_at <= lost_nodes_at);
  kq_link_set_exclusive_until (t->leader, KQ_TIME_NEVER, true);
  run_until_pings (t, t->pings + 3);
  assert_true (t->acknowledged_at > lost_nodes_at);
}

/* Guards against a task that runs twice: a leader that has been cut off must not extend
 * leases until it notices. */
static void
test_pings_of_a_leader_that_may_be_replaced (void **state)
{
  Fixture *t = *state;
  kq_link_set_exclusive_until (t->leader, 0, false);
  run_until_pings (t, 3);
  assert_true (t->acknowledged_at > 0);
  assert_true (t->acknowledged_at <= kq_time_now () - 2 * KQ_SEC);
}

/* Runs both loops until *n has reached wanted. */
static void
run_until (Fixture *t, const int *n, int wanted)
{
  for (int i = 0; i < 400 && *n < wanted; i++)
    {
      loop_run_with_timeout (t->node_loop, 0.01);
      loop_run_with_timeout (t->leader_loop, 0.01);
    }
  assert_true (*n >= wanted);
}

static KqAgentItem
changes (uint64_t serial, const KqRunDeltaRow *rows, size_t n)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_CHANGES, .runner = KQ_STR ("r") };
  i.u.changes.list.assignment = 1;
  i.u.changes.running = (KqRunDelta){ .serial = serial, .rows = rows, .n_rows = n };
  return i;
}

/* Guards against a leader's link that is full of unchanged lists: nodes send changes
 * only, and the leader gets complete lists. */
static void
test_changes_arrive_as_lists (void **state)
{
  Fixture *t = *state;
  KqRunDeltaRow rows[2]
      = { { .slot = 0, .is_new = true, .row = { .task = KQ_STR ("a") } },
          { .slot = 1, .is_new = true, .row = { .task = KQ_STR ("b") } } };
  KqAgentItem i = changes (0, rows, 2);
  run_until (t, &t->n_welcomes, 1);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->lists, 1);
  assert_int_equal (t->listed, 2);
  i = changes (1, NULL, 0);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->lists, 2);
  assert_int_equal (t->listed, 2);
}

/* Guards against a lost run: the leader must not apply changes to another list than the
 * one that they were made for. */
static void
test_changes_to_another_list_end_the_connection (void **state)
{
  Fixture *t = *state;
  KqAgentItem i = changes (5, NULL, 0);
  run_until (t, &t->n_welcomes, 1);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->left, 1);
  assert_int_equal (t->lists, 0);
  run_until (t, &t->joined, 2);
}

/* Guards against leases that expire during a roll-out because a node that stops as
 * planned counts as lost. */
static void
test_planned_leave_is_announced (void **state)
{
  Fixture *t = *state;
  run_until (t, &t->n_welcomes, 1);
  kq_link_leave (t->node);
  assert_false (kq_link_connected (t->node));
  run_until (t, &t->left, 1);
  assert_int_equal (t->left_planned, 1);
  loop_run_with_timeout (t->node_loop, 0.3);
  loop_run_with_timeout (t->leader_loop, 0.1);
  assert_int_equal (t->left, 1);
  assert_int_equal (t->joined, 1);
}

/* Guards against a crash of the leader: an item makes it lose leadership, which closes
 * the connection, while more items follow in the same message. */
static void
test_leadership_is_lost_within_a_message (void **state)
{
  Fixture *t = *state;
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_CANCEL };
  run_until (t, &t->n_welcomes, 1);
  t->loses_leadership = true;
  kq_link_send (t->node, EPOCH, &i);
  kq_link_send (t->node, EPOCH, &i);
  run_until (t, &t->cancels, 1);
  loop_run_with_timeout (t->leader_loop, 0.1);
  assert_int_equal (t->cancels, 1);
}

/* Guards against a request of a resigning leader that is lost as it closes the
 * connection: the next leader would have to wait for the end of its lease. */
static void
test_request_to_end_the_lease_arrives (void **state)
{
  Fixture *t = *state;
  KqAgentItem cancel = { .kind = KQ_AGENT_ITEM_CANCEL };
  t->until_pings = 3; /* the leader knows by then that the store answers the node */
  run_until (t, &t->pings, 3);
  kq_link_send (t->node, EPOCH, &cancel); /* not read when the connection ends */
  loop_run_with_timeout (t->node_loop, 0.05);
  kq_link_end_lease (t->leader, 42);
  kq_link_set_own_epoch (t->leader, 0, kq_time_now ());
  assert_int_equal (t->left, 1);
  loop_run_with_timeout (t->node_loop, 0.1);
  assert_int_equal (t->end_lease, 42);
  run_until (t, &t->left, 1);
  loop_run_with_timeout (t->leader_loop, 0.8);
  assert_int_equal (t->cancels, 0);
}

/* Guards against nodes that stay without a leader for as long as the store refuses them:
 * they turn to the last leader, which knows the next one. */
static void
test_node_that_does_not_lead_tells_who_does (void **state)
{
  Fixture *t = *state;
  run_until (t, &t->n_welcomes, 1);
  kq_link_set_own_epoch (t->leader, 0, kq_time_now ());
  t->known = EPOCH + 2;
  for (int i = 0; i < 40 && t->heard == 0; i++)
    {
      loop_run_with_timeout (t->node_loop, 0.02);
      loop_run_with_timeout (t->leader_loop, 0.02);
    }
  assert_int_equal (t->heard, EPOCH + 2);
  assert_int_equal (t->joined, 1);
}

/* Guards against a last leader that doesn't learn of the next one, as the store refuses
 * it: the new leader tells it. */
static void
test_new_leader_tells_the_last_one (void **state)
{
  Fixture *t = *state;
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", kq_link_port (t->leader));
  kq_link_leave (t->node);
  t->known = EPOCH + 2;
  kq_link_announce (t->node, kq_str (address));
  for (int i = 0; i < 20 && t->heard == 0; i++)
    {
      loop_run_with_timeout (t->node_loop, 0.02);
      loop_run_with_timeout (t->leader_loop, 0.02);
    }
  assert_int_equal (t->heard, EPOCH + 2);
}

/* Accepts one connection, which it returns, and sends a message whose second item can't
 * be decoded. */
static int
send_damaged_orders (int listener)
{
  KqAgentItem ping = { .kind = KQ_AGENT_ITEM_PING };
  KqMsg m = { .kind = KQ_MSG_AGENT };
  KqBuf items = { 0 };
  KqBuf frame = { 0 };
  int fd = accept (listener, NULL, NULL);
  assert_true (fd >= 0);
  kq_agent_item_pack (&ping, &items);
  kq_buf_add (&items, "\xc1", 1); /* a byte that msgpack doesn't use */
  m.u.agent.epoch = EPOCH;
  m.u.agent.items = kq_buf_str (&items);
  kq_msg_pack (&m, &frame);
  assert_int_equal (write (fd, frame.ptr, frame.len), frame.len);
  kq_buf_free (&items);
  kq_buf_free (&frame);
  return fd;
}

/* Guards against tasks that never start: the rest of a leader's message can't be decoded,
 * and the leader goes on waiting for the outcome of the orders in it. The node has to
 * connect again, whereupon the leader gives its orders anew. */
static void
test_damaged_message_of_the_leader_ends_the_connection (void **state)
{
  Fixture *t = *state;
  char address[32];
  int port;
  int fd;
  int listener = kq_listen ("127.0.0.1", 0, &port);
  assert_true (listener >= 0);
  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  kq_link_set_leader (t->node, kq_str (address), EPOCH, kq_time_now ());
  t->until_pings = 1;
  loop_run_with_timeout (t->node_loop, 0.1);
  assert_true (kq_link_connected (t->node));
  fd = send_damaged_orders (listener);
  loop_run_with_timeout (t->node_loop, 0.1);
  loop_run_with_timeout (t->node_loop, 0.1);
  assert_int_equal (t->pings, 1);
  assert_false (kq_link_connected (t->node));
  close (fd);
  close (listener);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_pings_acknowledge_the_last_heartbeat, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_pings_of_a_leader_that_has_lost_nodes, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_pings_of_a_leader_that_may_be_replaced, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_changes_arrive_as_lists, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_changes_to_another_list_end_the_connection,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_damaged_message_of_the_leader_ends_the_connection, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_planned_leave_is_announced, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_request_to_end_the_lease_arrives, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_node_that_does_not_lead_tells_who_does, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_new_leader_tells_the_last_one, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_leadership_is_lost_within_a_message, set_up,
                                     tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
