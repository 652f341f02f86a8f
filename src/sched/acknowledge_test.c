#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static void
store_progress (KqSchedFixture *d)
{
  KqProgress rows[4];
  kq_sched_store_begin (d->sched, rows, 4, d->now);
  kq_sched_stored (d->sched, true, d->now);
}

/* Guards against ends that are never received. The acknowledgement of stored ends is lost
 * with an agent, so the runner goes on listing these, and its list is cut before the
 * newer ones. */
static void
test_next_agent_is_told_of_stored_ends (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo next = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  KqEndRow end = { 1, KQ_STR ("zz.0.0.0"), 1, KQ_END_DONE, KQ_STR ("") };
  kq_sched_fixture_list_partial (d, "r0", &end);
  store_progress (d);
  assert_int_equal (d->ends_acked, 1);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  d->agent = kq_sched_fixture_add_agent (d, &next);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  d->ends_acked = 0;
  kq_sched_fixture_list_partial (d, "r0", &end);
  assert_int_equal (d->ends_acked, 1);
}

/* Guards against ends that a runner lists for ever, and more calls to it: its agent
 * forgets the acknowledgement, as it believes that the runner has restarted, and reports
 * the ends again. */
static void
test_agent_that_reports_stored_ends_again_is_told (void **state)
{
  KqSchedFixture *d = *state;
  KqEndRow end = { 1, KQ_STR ("zz.0.0.0"), 1, KQ_END_DONE, KQ_STR ("") };
  kq_sched_fixture_list (d, "r0", &end, 1);
  store_progress (d);
  assert_int_equal (d->ends_acked, 1);
  d->ends_acked = 0;
  kq_sched_fixture_list (d, "r0", &end, 1);
  assert_int_equal (d->ends_acked, 1);
}

/* Guards against an acknowledgement before the end is stored: the runner would forget an
 * end that no later leader knows of. */
static void
test_next_agent_is_not_told_of_ends_before_they_are_stored (void **state)
{
  KqSchedFixture *d = *state;
  KqAgentInfo next = { .name = kq_name (KQ_STR ("b")), .share_milli = 1000 };
  KqEndRow end = { 1, KQ_STR ("zz.0.0.0"), 1, KQ_END_DONE, KQ_STR ("") };
  kq_sched_fixture_list_partial (d, "r0", &end);
  kq_sched_agent_down (d->sched, d->agent, false, d->now);
  d->agent = kq_sched_fixture_add_agent (d, &next);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  kq_sched_fixture_list_partial (d, "r0", &end);
  assert_int_equal (d->ends_acked, 0);
  store_progress (d);
  assert_int_equal (d->ends_acked, 1);
}

#define JOBS 3
#define ROUNDS 3

/* One end of each job's tasks, on the runner where the task was started. */
static void
end_a_task_of_each_job (KqSchedFixture *d, GArray *starts, int round, uint64_t numbers[2])
{
  for (guint i = 0; i < starts->len; i++)
    {
      const KqSchedFixtureStart *s = &g_array_index (starts, KqSchedFixtureStart, i);
      KqEndRow end = { 0, kq_str (s->task), s->run, KQ_END_DONE, KQ_STR ("") };
      if (s->task[strlen (s->task) - 1] != '0' + round)
        continue;
      end.number = ++numbers[s->runner[1] - '0'];
      kq_sched_list (d->sched, d->agent, kq_str (s->runner),
                     &(KqRunnerList){ .started_ms = d->started_ms,
                                      .order = 0,
                                      .assignment = d->assignment[s->runner[1] - '0'],
                                      .ended = &end,
                                      .n_ended = 1 },
                     d->now);
    }
  d->now += 10 * KQ_MS;
}

/* Guards against a job whose end is shown late, and ends that are never acknowledged:
 * more jobs than fit change from batch to batch, and each batch holds the same ones. */
static void
test_batches_take_turns_and_acknowledge (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  GArray *starts;
  uint64_t numbers[2] = { 0, 0 };
  bool stored[JOBS] = { false };
  step.width = ROUNDS + 1;
  for (int i = 0; i < JOBS; i++)
    kq_sched_fixture_submit (d, (const char *[]){ "a", "b", "c" }[i], step, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  starts = g_array_copy (d->starts_pending);
  assert_int_equal (starts->len, JOBS * (ROUNDS + 1));
  kq_sched_fixture_accept_starts (d);
  for (int round = 0; round < ROUNDS; round++)
    {
      KqProgress row;
      end_a_task_of_each_job (d, starts, round, numbers);
      assert_int_equal (kq_sched_store_begin (d->sched, &row, 1, d->now), 1);
      stored[row.id.ptr[0] - 'a'] = true;
      kq_sched_stored (d->sched, true, d->now);
    }
  for (int i = 0; i < JOBS; i++)
    assert_true (stored[i]);
  assert_true (d->ends_acked > 0);
  assert_true (d->ends_acked < ROUNDS * JOBS);
  g_array_free (starts, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_next_agent_is_told_of_stored_ends,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_batches_take_turns_and_acknowledge,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_agent_that_reports_stored_ends_again_is_told,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_next_agent_is_not_told_of_ends_before_they_are_stored,
        kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
