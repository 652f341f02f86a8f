#include "fleet/operator.h"

#include "base/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define START (10 * KQ_SEC)

/* Fake leader and client. */
static struct
{
  bool has_leader;
  bool answers_at_once; /* this node leads */
  int queries;
  KqAskKind what; /* of the last query */
  uint64_t call;
  char about[64];
  int replies;
  void *exchange; /* of the last reply */
  int status;
  char text[KQ_FLEET_OPERATOR_TEXT_MAX + 200];
  size_t text_len;
} fake;

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqFleetOperator *node;
} Test;

static Test t;

static bool
query_leader (void *arg, const KqAgentItem *query, KqTime now)
{
  (void)arg;
  fake.queries++;
  fake.what = query->u.ask.what;
  fake.call = query->u.ask.call;
  kq_str_copy (query->u.ask.about, fake.about, sizeof fake.about);
  if (fake.answers_at_once)
    kq_fleet_operator_answer (t.node, fake.call, KQ_FLEET_OPERATOR_ANSWERED,
                              KQ_STR ("own answer\n"), now);
  return fake.has_leader;
}

static void
take_reply (void *arg, void *exchange, int status, KqStr text)
{
  (void)arg;
  fake.replies++;
  fake.exchange = exchange;
  fake.status = status;
  fake.text_len = text.len;
  assert_true (kq_str_copy (text, fake.text, sizeof fake.text));
}

static int
set_up (void **state)
{
  KqFleetOperatorConfig c = { .query_leader = query_leader, .reply = take_reply };
  (void)state;
  memset (&fake, 0, sizeof fake);
  fake.has_leader = true;
  kq_log_set_level (KQ_LOG_ERROR);
  t.loop = c.loop = kq_loop_new ();
  t.counters = c.counters = kq_counters_new ();
  t.node = kq_fleet_operator_new (&c);
  kq_fleet_operator_leader_changed (t.node, 7, START);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  kq_fleet_operator_free (t.node);
  kq_counters_free (t.counters);
  kq_loop_free (t.loop);
  return 0;
}

static void
ask (const char *path)
{
  kq_fleet_operator_ask (t.node, &fake, KQ_STR ("GET"), kq_str (path), START);
}

static void
answer (int64_t value, const char *text)
{
  kq_fleet_operator_answer (t.node, fake.call, value, kq_str (text), START);
}

static void
assert_refused (int status, const char *text)
{
  assert_int_equal (fake.replies, 1);
  assert_ptr_equal (fake.exchange, &fake);
  assert_int_equal (fake.status, status);
  assert_non_null (strstr (fake.text, text));
}

/* Guards against nodes of two versions that read a question as another one, and against
 * an operator's question whose answer is taken for that to a client's query. */
static void
test_questions_have_their_numbers (void **state)
{
  (void)state;
  assert_int_equal (KQ_ASK_EXPLAIN, 2);
  assert_int_equal (KQ_ASK_ADMIT, 4);
  assert_int_equal (KQ_ASK_LOAD, 5);
  assert_int_equal (KQ_ASK_CORDONS, 6);
  ask ("/load");
  assert_int_equal (fake.what, KQ_ASK_LOAD);
  assert_true (kq_fleet_operator_is_call (fake.call));
  assert_false (kq_fleet_operator_is_call (1));
  ask ("/cordons");
  assert_int_equal (fake.what, KQ_ASK_CORDONS);
}

/* Guards against an answer that doesn't reach its client, or reaches it twice. */
static void
test_answer_of_the_leader_is_passed_on (void **state)
{
  (void)state;
  ask ("/explain/8617d2d3c50f7973");
  assert_int_equal (fake.what, KQ_ASK_EXPLAIN);
  assert_string_equal (fake.about, "8617d2d3c50f7973");
  assert_int_equal (fake.replies, 0);
  answer (KQ_FLEET_OPERATOR_ANSWERED, "it waits\n");
  answer (KQ_FLEET_OPERATOR_ANSWERED, "again\n");
  assert_int_equal (fake.replies, 1);
  assert_int_equal (fake.status, 200);
  assert_string_equal (fake.text, "it waits\n");
}

/* Guards against a leader that asks itself over a link that it doesn't have. */
static void
test_node_that_leads_answers_itself (void **state)
{
  (void)state;
  fake.answers_at_once = true;
  ask ("/cordons");
  assert_int_equal (fake.replies, 1);
  assert_string_equal (fake.text, "own answer\n");
}

/* Guards against a client that waits in vain, or gets the answer of a leader that has
 * been replaced, when the leader changes while a question is open. */
static void
test_leader_changes_while_a_question_is_open (void **state)
{
  uint64_t call;
  (void)state;
  ask ("/load");
  call = fake.call;
  kq_fleet_operator_leader_changed (t.node, 7, START);
  assert_int_equal (fake.replies, 0); /* the same one */
  kq_fleet_operator_leader_changed (t.node, 8, START);
  assert_refused (503, "806 NO_LEADER");
  assert_non_null (strstr (fake.text, "leader has changed"));
  answer (KQ_FLEET_OPERATOR_ANSWERED, "of the earlier leader\n");
  assert_int_equal (fake.replies, 1);
  ask ("/load"); /* to the new one */
  assert_true (fake.call != call);
  answer (KQ_FLEET_OPERATOR_ANSWERED, "known\n");
  assert_int_equal (fake.status, 200);
}

/* Guards against an unknown id whose answer looks like that of a job that waits. */
static void
test_unknown_id (void **state)
{
  (void)state;
  ask ("/explain/none");
  answer (KQ_FLEET_OPERATOR_NO_JOB, "job none: unknown\n");
  assert_refused (404, "701 JOB_UNKNOWN");
  assert_non_null (strstr (fake.text, "job none: unknown\n"));
}

/* Guards against ids with bad characters that reach the leader, its log or a text. */
static void
test_ids_with_bad_characters (void **state)
{
  static const char *const bad[]
      = { "/explain/",    "/explain/a/b",      "/explain/a b",
          "/explain/a\n", "/explain/\x7f",     "/explain/a\"b",
          "/explain/<a>", "/explain/\xc3\xa9", "/explain/a\x1b[m" };
  char long_path[128];
  (void)state;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      fake.replies = 0;
      ask (bad[i]);
      assert_refused (400, "602 BAD_REQUEST");
    }
  fake.replies = 0;
  memset (long_path, 'a', sizeof long_path);
  memcpy (long_path, "/explain/", 9);
  long_path[9 + KQ_SPEC_ID_MAX + 1] = '\0';
  ask (long_path);
  assert_refused (400, "602 BAD_REQUEST");
  assert_int_equal (fake.queries, 0);
  long_path[9 + KQ_SPEC_ID_MAX] = '\0';
  ask (long_path);
  assert_int_equal (fake.queries, 1);
}

static void
test_other_paths_and_methods (void **state)
{
  (void)state;
  ask ("/loads");
  assert_refused (404, "802 NOT_FOUND");
  fake.replies = 0;
  kq_fleet_operator_ask (t.node, &fake, KQ_STR ("POST"), KQ_STR ("/load"), START);
  assert_refused (405, "803 METHOD");
  assert_int_equal (fake.queries, 0);
}

/* Guards against a client that waits for ever at a node that doesn't reach the leader. */
static void
test_node_that_does_not_reach_the_leader (void **state)
{
  (void)state;
  fake.has_leader = false;
  ask ("/load");
  assert_refused (503, "806 NO_LEADER");
}

/* As above: the connection is there, but nothing comes back. */
static void
test_leader_that_does_not_answer (void **state)
{
  (void)state;
  ask ("/load");
  kq_fleet_operator_expire (t.node, START + KQ_FLEET_OPERATOR_TIMEOUT - 1);
  assert_int_equal (fake.replies, 0);
  kq_fleet_operator_expire (t.node, START + KQ_FLEET_OPERATOR_TIMEOUT);
  assert_refused (503, "807 LEADER_SILENT");
  answer (KQ_FLEET_OPERATOR_ANSWERED, "late\n");
  assert_int_equal (fake.replies, 1);
}

/* Guards against a new leader, or one of an earlier version, whose "not known" is shown
 * as an empty answer. */
static void
test_leader_that_can_not_answer_yet (void **state)
{
  (void)state;
  ask ("/load");
  answer (-1, "");
  assert_refused (503, "805 NOT_READY");
}

/* Guards against questions that take memory or the leader's time without a bound. */
static void
test_open_questions_are_bounded (void **state)
{
  KqFleetOperatorRate rate = { 0 };
  int answered = 0;
  (void)state;
  for (int i = 0; i < KQ_FLEET_OPERATOR_OPEN_MAX; i++)
    ask ("/load");
  assert_int_equal (fake.replies, 0);
  ask ("/load");
  assert_refused (503, "808 QUESTIONS_MANY");
  assert_int_equal (fake.queries, KQ_FLEET_OPERATOR_OPEN_MAX);
  for (int i = 0; i < 3000; i++) /* in 3 s */
    answered += kq_fleet_operator_rate_take (&rate, START + i * KQ_MS);
  assert_int_equal (answered, 3 * KQ_FLEET_OPERATOR_ANSWERS_PER_SECOND);
  answer (KQ_FLEET_OPERATOR_BUSY, "");
  assert_int_equal (fake.status, 503);
}

/* Guards against a reply to an exchange that has been freed. */
static void
test_client_that_is_gone (void **state)
{
  (void)state;
  ask ("/load");
  kq_fleet_operator_gone (t.node, &fake);
  answer (KQ_FLEET_OPERATOR_ANSWERED, "text\n");
  kq_fleet_operator_expire (t.node, START + KQ_SEC);
  assert_int_equal (fake.replies, 0);
}

/* Guards against answers that grow with the fleet. */
static void
test_long_text_is_cut_behind_a_line (void **state)
{
  KqBuf b = { 0 };
  (void)state;
  while (b.len < KQ_FLEET_OPERATOR_TEXT_MAX - 9)
    kq_buf_printf (&b, "a line\n");
  kq_fleet_operator_bound (&b);
  assert_null (strstr (b.ptr, "cut"));
  while (b.len <= KQ_FLEET_OPERATOR_TEXT_MAX)
    kq_buf_printf (&b, "a line\n");
  kq_fleet_operator_bound (&b);
  assert_in_range (b.len, KQ_FLEET_OPERATOR_TEXT_MAX - 40, KQ_FLEET_OPERATOR_TEXT_MAX);
  assert_non_null (strstr (b.ptr, "a line\n(cut: the text is too long)\n"));
  kq_buf_free (&b);
}

/* Guards against a number of the load that is shown under another name or unit. */
static void
test_line_of_the_load (void **state)
{
  KqLoadDigest d = { .known = true, .n_rows = 1 };
  KqBuf b = { 0 };
  (void)state;
  d.rows[0] = (KqLoadRow){ .service = KQ_STR ("desk"),
                           .kind = KQ_LOAD_FILLING,
                           .rate = 2500,
                           .in_time_work = 5000000,
                           .late_work = 2500000,
                           .running_work = 1000000,
                           .cut_work = 1500000,
                           .free_milli = 900,
                           .largest_milli = 400,
                           .waiting_jobs = 4,
                           .late_jobs = 1 };
  kq_fleet_operator_print_load (&d, START, START + 40 * KQ_MS, &b);
  assert_non_null (strstr (b.ptr, "desk filling: waiting 4 jobs, late 1, work 5.0 core s "
                                  "in time, 2.5 late, 1.0 running, rate 2.5 cores, "
                                  "forecast wait "));
  assert_non_null (strstr (b.ptr, "deferred from 1.5 core s, free 0.9 cores, at most 0.4 "
                                  "on a runner, age 40 ms\n"));
  kq_buf_clear (&b);
  d.rows[0].rate = 0;
  kq_fleet_operator_print_load (&d, START, START, &b);
  assert_non_null (strstr (b.ptr, "rate unknown, forecast wait unknown, "));
  kq_buf_clear (&b);
  d.known = false;
  kq_fleet_operator_print_load (&d, START, START, &b);
  assert_string_equal (b.ptr, "the load is not known yet\n");
  kq_buf_free (&b);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = { TEST (test_questions_have_their_numbers),
                                      TEST (test_answer_of_the_leader_is_passed_on),
                                      TEST (test_node_that_leads_answers_itself),
                                      TEST (test_leader_changes_while_a_question_is_open),
                                      TEST (test_unknown_id),
                                      TEST (test_ids_with_bad_characters),
                                      TEST (test_other_paths_and_methods),
                                      TEST (test_node_that_does_not_reach_the_leader),
                                      TEST (test_leader_that_does_not_answer),
                                      TEST (test_leader_that_can_not_answer_yet),
                                      TEST (test_open_questions_are_bounded),
                                      TEST (test_client_that_is_gone),
                                      TEST (test_long_text_is_cut_behind_a_line),
                                      TEST (test_line_of_the_load) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
