#include "base/log.h"
#include "fleet/key_feed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#define EPOCH 7

/* A store with one node that watches it, or doesn't, and the node's link to its leader.
 */
static struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqCordons *cordons;
  KqQueueKeys *queues;
  KqKeyFeed *feed;
  KqKvCallback call; /* the one that is under way */
  uint64_t after;    /* the revision that it asks from */
  int calls;
  bool connected;
  int asked; /* FOLLOW items sent */
  KqTime now;
} t;

void
kq_kv_range (KqKv *kv, KqStr prefix, KqStr after, int timeout_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)after;
  (void)timeout_ms;
  t.calls++;
  t.call = cb;
}

void
kq_kv_watch (KqKv *kv, KqStr prefix, uint64_t after, int wait_ms, KqKvCallback cb)
{
  (void)kv;
  (void)prefix;
  (void)wait_ms;
  t.calls++;
  t.after = after;
  t.call = cb;
}

void
kq_link_send (KqLink *l, uint64_t epoch, const KqAgentItem *i)
{
  (void)l;
  assert_int_equal (epoch, EPOCH);
  t.asked += i->kind == KQ_AGENT_ITEM_FOLLOW;
}

bool
kq_link_connected (const KqLink *l)
{
  (void)l;
  return t.connected;
}

void
kq_link_send_peer (KqPeer *p, const KqAgentItem *i)
{
  (void)p;
  (void)i;
}

size_t
kq_link_send_followers (KqLink *l, const KqAgentItem *i)
{
  (void)l;
  (void)i;
  return 0;
}

void
kq_link_clear_followers (KqLink *l)
{
  (void)l;
}

void
kq_peer_set_follows (KqPeer *p, bool follows)
{
  (void)p;
  (void)follows;
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  (void)arg;
  (void)sent_at;
  (void)now;
}

static void
on_failed (void *arg, KqTime sent_at)
{
  (void)arg;
  (void)sent_at;
}

static void
on_key_changed (void *arg, uint64_t revision, KqTime now)
{
  (void)arg;
  (void)now;
  if (t.feed != NULL)
    kq_key_feed_changed (t.feed, revision);
}

static void
on_cordons_changed (void *arg, KqTime now)
{
  (void)arg;
  (void)now;
}

static void
answer (uint64_t revision, const char *cordon, uint64_t at, bool deleted)
{
  KqKvItem i = {
    .key = kq_str (cordon), .value = KQ_STR ("{}"), .revision = at, .deleted = deleted
  };
  KqKvReply r = {
    .result = KQ_KV_OK, .revision = revision, .items = &i, .n_items = cordon != NULL
  };
  KqKvCallback call = t.call;
  t.call = (KqKvCallback){ 0 };
  call.done (call.arg, &r, t.now);
}

static void
hear (const KqAgentItem *i)
{
  kq_key_feed_item (t.feed, EPOCH, i, t.now);
}

static void
hear_welcome (uint32_t version)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_WELCOME };
  i.u.welcome.version = version;
  kq_key_feed_disconnected (t.feed);
  hear (&i);
  kq_key_feed_check (t.feed, EPOCH, t.now);
}

static void
hear_ping (uint64_t revision, int64_t age_ms)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_PING };
  i.u.ping.keys_revision = revision;
  i.u.ping.keys_age_ms = age_ms;
  hear (&i);
}

static void
hear_cordon (const char *key, uint64_t revision, bool deleted, uint64_t base)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_KEY_CHANGE };
  i.u.key_change = (KqKeyChange){ kq_str (key), revision, deleted, base, KQ_STR ("") };
  hear (&i);
}

static bool
is_cordoned (const char *domain)
{
  return kq_cordons_find (t.cordons, kq_str (domain)) != NULL;
}

/* The store has a cordon of "north" of revision 3, and is at revision 5. */
static int
set_up (void **state)
{
  KqQueueKeysOwner owner
      = { NULL, on_answered, on_failed, on_key_changed, on_cordons_changed };
  (void)state;
  kq_log_set_level (KQ_LOG_ERROR);
  memset (&t, 0, sizeof t);
  t.now = 100 * KQ_SEC;
  t.loop = kq_loop_new ();
  t.counters = kq_counters_new ();
  t.cordons = kq_cordons_new ();
  t.queues = kq_queue_keys_new (t.loop, NULL, t.cordons, &owner);
  t.feed = kq_key_feed_new (NULL, t.queues, t.counters);
  answer (5, "op/evacuate/north", 3, false);
  t.connected = true;
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  kq_key_feed_free (t.feed);
  t.feed = NULL;
  kq_queue_keys_free (t.queues);
  if (t.call.done != NULL)
    answer (0, NULL, 0, false);
  kq_cordons_free (t.cordons);
  kq_counters_free (t.counters);
  kq_loop_free (t.loop);
  return 0;
}

/* Has the leader relay changes, and the node's own watch end. */
static void
follow_leader (void)
{
  hear_welcome (3);
  assert_int_equal (t.asked, 1);
  hear_ping (6, 100);
  answer (6, NULL, 0, false);
  assert_null (t.call.done);
}

/* Guards against calls to the store that grow with the fleet while nothing changes. */
static void
test_no_watch_while_the_leader_relays (void **state)
{
  (void)state;
  follow_leader ();
  t.calls = 0;
  for (int i = 0; i < 100; i++)
    {
      t.now += 300 * KQ_MS;
      hear_ping (7 + (uint64_t)i, 400);
      kq_key_feed_check (t.feed, EPOCH, t.now);
    }
  assert_int_equal (t.calls, 0);
  hear_cordon ("op/evacuate/north", 120, true, 0);
  assert_false (is_cordoned ("north"));
}

/* Guards against a change that never arrives: the leader is silent, is cut off from the
 * store, or has been lost. The watch goes on after the last revision that was relayed. */
static void
test_store_is_watched_again_when_the_leader_is_in_doubt (void **state)
{
  (void)state;
  for (int way = 0; way < 3; way++)
    {
      KqTime doubt_at;
      follow_leader ();
      hear_ping (90, 0);
      doubt_at = t.now;
      for (; t.call.done == NULL && t.now - doubt_at < 10 * KQ_SEC; t.now += 100 * KQ_MS)
        {
          if (way == 0) /* its own watch isn't answered */
            hear_ping (90, (t.now - doubt_at) / KQ_MS);
          if (way == 1) /* it doesn't relay to this node any more */
            hear_ping (0, t.now - doubt_at > KQ_SEC ? -1 : 0);
          if (way == 2 && t.now - doubt_at > KQ_SEC)
            t.connected = false;
          kq_key_feed_check (t.feed, EPOCH, t.now);
        }
      assert_true (t.now - doubt_at <= KQ_KEY_FEED_AGE_MAX + 200 * KQ_MS);
      assert_int_equal (t.after, 90);
      tear_down (state);
      set_up (state);
    }
}

/* Guards against a leader of an earlier version, which doesn't relay changes. */
static void
test_leader_of_an_earlier_version_is_not_asked (void **state)
{
  (void)state;
  hear_welcome (2);
  hear_ping (0, -1);
  assert_int_equal (t.asked, 0);
  answer (6, NULL, 0, false);
  assert_non_null (t.call.done);
}

/* Guards against a change that is lost because its base isn't known: the node asks the
 * store for it. */
static void
test_change_without_its_base_is_read_from_the_store (void **state)
{
  (void)state;
  follow_leader ();
  hear_cordon ("op/evacuate/south", 8, false, 7);
  hear_ping (8, 0);
  kq_key_feed_check (t.feed, EPOCH, t.now);
  assert_non_null (t.call.done);
  assert_int_equal (t.after, 6);
  answer (8, "op/evacuate/south", 8, false);
  assert_true (is_cordoned ("south"));
}

/* Guards against a cordon that stays for ever: the node's last own watch is answered
 * after the leader has relayed that the cordon is lifted. */
static void
test_late_answer_does_not_undo_a_relayed_deletion (void **state)
{
  (void)state;
  hear_welcome (3);
  hear_cordon ("op/evacuate/north", 9, true, 0);
  assert_false (is_cordoned ("north"));
  answer (8, "op/evacuate/north", 7, false);
  assert_false (is_cordoned ("north"));
}

/* Guards against a leader that waits for another node's word of the keys. */
static void
test_leader_watches_the_store (void **state)
{
  uint64_t revision;
  int64_t age_ms;
  (void)state;
  follow_leader ();
  kq_key_feed_set_leading (t.feed, true, t.now);
  assert_non_null (t.call.done);
  answer (9, NULL, 0, false);
  kq_key_feed_ping_values (t.feed, &revision, &age_ms, t.now + 20 * KQ_MS);
  assert_int_equal (revision, 9);
  assert_int_equal (age_ms, 20);
  kq_key_feed_set_leading (t.feed, false, t.now);
  kq_key_feed_ping_values (t.feed, &revision, &age_ms, t.now);
  assert_int_equal (age_ms, -1);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_no_watch_while_the_leader_relays),
          TEST (test_store_is_watched_again_when_the_leader_is_in_doubt),
          TEST (test_leader_of_an_earlier_version_is_not_asked),
          TEST (test_change_without_its_base_is_read_from_the_store),
          TEST (test_late_answer_does_not_undo_a_relayed_deletion),
          TEST (test_leader_watches_the_store) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
