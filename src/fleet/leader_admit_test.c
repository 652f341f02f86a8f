#include "agent/load_item.h"
#include "base/log.h"
#include "bench/sched_fixture.h"
#include "fleet/leader_admit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* The leader's answers with a real scheduler, and an account as in an overload. */

static int n_sent;

void
kq_link_send_peer (KqPeer *p, const KqAgentItem *i)
{
  (void)p;
  (void)i;
  n_sent++;
}

static KqLoadDigest
overload (void)
{
  KqLoadDigest d = { .number = 1, .known = true, .n_rows = 1 };
  d.rows[0] = (KqLoadRow){ .service = KQ_STR ("svc"),
                           .kind = KQ_LOAD_RESERVED,
                           .rate = 1000,
                           .in_time_work = 1000 * 30000,
                           .late_work = 1000 * 30000,
                           .cut_work = 1 };
  return d;
}

static int64_t
ask (KqLeaderAdmit *a, const KqLoadDigest *load, const char *id, KqTime now)
{
  KqAdmitQuery q = { .id = kq_str (id) };
  KqBuf about = { 0 };
  int64_t value;
  q.load = (KqJobLoad){ .service = KQ_STR ("svc"),
                        .kind = KQ_LOAD_RESERVED,
                        .work = 100000,
                        .chain_ms = 1000,
                        .objective_ms = 2000,
                        .largest_milli = 500 };
  kq_admit_query_pack (&q, &about);
  value = kq_leader_admit_answer (a, load, kq_buf_str (&about), now);
  kq_buf_free (&about);
  return value;
}

static void
settle (KqSchedFixture *d)
{
  for (int i = 0; i < 100 && !kq_sched_settled (d->sched); i++)
    {
      kq_sched_fixture_list (d, "r0", NULL, 0);
      kq_sched_fixture_list (d, "r1", NULL, 0);
      kq_sched_fixture_run (d, 100 * KQ_MS);
    }
  assert_true (kq_sched_settled (d->sched));
}

/* Guards against refusing an id that the leader has, or one whose write another node has
 * announced: the client's connection to that node broke, and the write is on its way. */
static void
test_known_and_announced_ids_are_accepted (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  KqLoadDigest load = overload ();
  settle (d);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  assert_int_equal (ask (a, &load, "aa", d->now), -1);
  kq_leader_admit_note_write (a, KQ_STR ("bb"), false, d->now);
  assert_int_equal (ask (a, &load, "bb", d->now), -1);
  assert_true (ask (a, &load, "cc", d->now) >= 1);
  kq_leader_admit_free (a);
}

/* Guards against a refusal at one node while another one still has the leader's answer on
 * its way, and accepts the job without it. */
static void
test_id_with_an_open_refusal_is_accepted_elsewhere (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  KqLoadDigest load = overload ();
  int64_t first;
  int64_t again;
  settle (d);
  first = ask (a, &load, "aa", d->now);
  assert_true (first >= 1);
  assert_int_equal (ask (a, &load, "aa", d->now + KQ_MS), -1);
  first = ask (a, &load, "bb", d->now);
  assert_true (first >= 1);
  kq_leader_admit_note_write (a, KQ_STR ("bb"), true, d->now);
  /* Refused for certain, and accepted nowhere: what is left of its time. */
  again = ask (a, &load, "bb", d->now + 100 * KQ_MS);
  assert_int_equal (again, first - 100);
  kq_leader_admit_free (a);
}

/* Guards against a refusal while another node's write of that id is on its way: a node
 * that is refused reports that late, after the client has repeated the job at a second
 * node, and the client then repeats it at a third one. */
static void
test_refusal_at_one_node_keeps_the_write_of_another (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  KqLoadDigest load = overload ();
  settle (d);
  assert_true (ask (a, &load, "aa", d->now) >= 1);
  assert_int_equal (ask (a, &load, "aa", d->now + KQ_MS), -1);
  kq_leader_admit_note_write (a, KQ_STR ("aa"), false, d->now + 2 * KQ_MS);
  kq_leader_admit_note_write (a, KQ_STR ("aa"), true, d->now + 3 * KQ_MS);
  assert_int_equal (ask (a, &load, "aa", d->now + 4 * KQ_MS), -1);
  /* The second node has its answer, but its announcement hasn't arrived. */
  assert_true (ask (a, &load, "bb", d->now) >= 1);
  assert_int_equal (ask (a, &load, "bb", d->now + KQ_MS), -1);
  kq_leader_admit_note_write (a, KQ_STR ("bb"), true, d->now + 2 * KQ_MS);
  assert_int_equal (ask (a, &load, "bb", d->now + 3 * KQ_MS), -1);
  kq_leader_admit_free (a);
}

/* Guards against clients that all come back at one time, and are refused again. */
static void
test_times_of_return_are_spread (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  KqLoadDigest load = overload ();
  int64_t before = 0;
  settle (d);
  load.rows[0].in_time_work = load.rows[0].late_work = 1000 * 3000;
  for (int i = 0; i < 10; i++)
    {
      char id[] = { 'a', (char)('a' + i), '\0' };
      int64_t ms = ask (a, &load, id, d->now);
      assert_true (ms > before); /* work of 100 ms: half of the rate is every 200 ms */
      assert_true (before == 0 || ms - before == 200);
      before = ms;
    }
  kq_leader_admit_free (a);
}

/* Guards against refusals by a new leader, which doesn't know the load yet. */
static void
test_leader_without_an_account_refuses_nothing (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  KqLoadDigest load = { 0 };
  settle (d);
  assert_int_equal (ask (a, &load, "aa", d->now), -1);
  assert_int_equal (kq_leader_admit_answer (a, &load, KQ_STR ("damaged"), d->now), -1);
  kq_leader_admit_free (a);
}

/* Guards against refusing an id of which another node's write is outstanding: that node
 * had announced it to the leader before, or was lost before it could. */
static void
test_nothing_is_refused_while_writes_may_be_unannounced (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  KqLoadDigest load = overload ();
  settle (d);
  kq_leader_admit_note_unheard (a, d->now);
  assert_int_equal (ask (a, &load, "aa", d->now + 9 * KQ_SEC), -1);
  assert_true (ask (a, &load, "bb", d->now + 10 * KQ_SEC) >= 1);
  kq_leader_admit_free (a);
}

/* Guards against a refused client that queues up behind all newcomers again, and against
 * operators who can't find out why an id was refused. */
static void
test_refused_id_is_explained_and_returns (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  uint64_t *returns = kq_counter (d->counters, "kq_admission_returns_total", "", "");
  KqLoadDigest load = overload ();
  KqBuf text = { 0 };
  settle (d);
  assert_true (ask (a, &load, "aa", d->now) >= 1);
  assert_true (ask (a, &load, "bb", d->now) >= 1);
  kq_leader_admit_note_write (a, KQ_STR ("aa"), true, d->now);
  kq_sched_explain (d->sched, KQ_STR ("aa"), d->now + KQ_SEC, &text);
  kq_buf_add (&text, "", 1);
  assert_non_null (strstr (text.ptr, "overloaded, refused 1 times, first 1000 ms ago"));
  assert_non_null (strstr (text.ptr, "wait 60000 ms"));
  kq_buf_free (&text);
  kq_sched_fixture_submit (d, "bb", kq_sched_fixture_step (), false); /* too early */
  assert_int_equal (*returns, 0);
  kq_sched_fixture_run (d, 11 * KQ_SEC);
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  assert_int_equal (*returns, 1);
  kq_leader_admit_free (a);
}

/* Guards against digests that cost the nodes' links more than they are worth. */
static void
test_digest_is_sent_at_most_twice_a_second (void **state)
{
  KqSchedFixture *d = *state;
  KqLeaderAdmit *a = kq_leader_admit_new (d->sched, d->counters);
  KqLoadDigest load = overload ();
  KqPeer *peers[] = { (KqPeer *)d, NULL, (KqPeer *)d };
  uint64_t number = 0;
  n_sent = 0;
  for (int i = 0; i < 100; i++)
    {
      const KqAgentItem *item;
      load.rows[0].late_work += load.rows[0].late_work / 5;
      item = kq_leader_admit_send (a, &load, peers, 3, d->now + i * 50 * KQ_MS);
      if (item == NULL)
        continue;
      assert_int_equal (item->u.load.nodes, 3);
      assert_true (item->u.load.digest->number > number);
      number = item->u.load.digest->number;
    }
  assert_int_equal (number, 10);
  assert_int_equal (n_sent, 20);
  kq_leader_admit_free (a);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { FIXTURE_TEST (test_known_and_announced_ids_are_accepted),
          FIXTURE_TEST (test_id_with_an_open_refusal_is_accepted_elsewhere),
          FIXTURE_TEST (test_refusal_at_one_node_keeps_the_write_of_another),
          FIXTURE_TEST (test_times_of_return_are_spread),
          FIXTURE_TEST (test_leader_without_an_account_refuses_nothing),
          FIXTURE_TEST (test_nothing_is_refused_while_writes_may_be_unannounced),
          FIXTURE_TEST (test_refused_id_is_explained_and_returns),
          FIXTURE_TEST (test_digest_is_sent_at_most_twice_a_second) };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
