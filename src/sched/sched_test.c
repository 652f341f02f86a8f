#include "bench/sched_rig.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const KqRoom room = { 4000, 16000, 0 };

static KqSchedRig *
new_rig (int runners, uint64_t seed)
{
  return kq_sched_rig_new (runners, room, seed);
}

static void
drop_rig (KqSchedRig *r)
{
  assert_int_equal (kq_sched_rig_free (r), 0);
}

static void
test_steps_run_in_order (void **state)
{
  KqSchedRig *r = new_rig (2, 1);
  int32_t after[] = { 0 };
  KqStep steps[2] = { kq_sched_rig_step (3, 500, 300), kq_sched_rig_step (2, 500, 300) };
  (void)state;
  steps[1].after = after;
  steps[1].n_after = 1;
  kq_sched_rig_submit (r, "aa", steps, 2, 2, 300 * KQ_MS, -1);
  kq_sched_rig_run (r, 100 * KQ_MS);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 3);
  kq_sched_rig_run (r, 2 * KQ_SEC);
  assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_COMPLETED);
  assert_int_equal (r->starts, 5);
  drop_rig (r);
}

static void
test_room_is_not_exceeded (void **state)
{
  KqSchedRig *r = new_rig (2, 1);
  KqStep s = kq_sched_rig_step (20, 1500, 300);
  (void)state;
  kq_sched_rig_submit (r, "aa", &s, 1, 2, 300 * KQ_MS, -1);
  kq_sched_rig_run (r, 100 * KQ_MS);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 4); /* two fit on each */
  kq_sched_rig_run (r, 6 * KQ_SEC);
  assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_COMPLETED);
  drop_rig (r);
}

static void
test_attempts_end_a_job (void **state)
{
  KqSchedRig *r = new_rig (4, 1);
  KqStep s = kq_sched_rig_step (3, 500, 300);
  (void)state;
  kq_sched_rig_submit (r, "aa", &s, 1, 3, 300 * KQ_MS, 1);
  kq_sched_rig_run (r, 6 * KQ_SEC);
  assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_FAILED);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 0);
  drop_rig (r);
}

static void
test_cancel_stops_at_once (void **state)
{
  KqSchedRig *r = new_rig (2, 1);
  KqStep s = kq_sched_rig_step (3, 500, 300);
  (void)state;
  s.lasting = true;
  kq_sched_rig_submit (r, "aa", &s, 1, 1, KQ_SEC, -1);
  kq_sched_rig_run (r, 2 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 3);
  kq_sched_rig_cancel (r, "aa");
  kq_sched_rig_run (r, 100 * KQ_MS);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 0);
  assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_CANCELLED);
  drop_rig (r);
}

/* Guards against a lasting task that runs twice, or not at all, after its runner becomes
 * unreachable. Only the end of the runner's lease proves that its tasks are over, so they
 * start elsewhere when it has expired, and not before. */
static void
test_lasting_task_moves_after_its_runners_lease (void **state)
{
  KqSchedRig *r = new_rig (2, 1);
  KqStep s = kq_sched_rig_step (2, 500, 300);
  int before;
  (void)state;
  s.lasting = true;
  kq_sched_rig_submit (r, "aa", &s, 1, 1, KQ_SEC, -1);
  kq_sched_rig_run (r, 2 * KQ_SEC);
  before = (int)r->runners[0].runs->len;
  assert_true (before > 0);
  r->runners[0].cut_until = r->now + 60 * KQ_SEC;
  kq_sched_rig_run (r, 4 * KQ_SEC);
  assert_int_equal (r->runners[1].runs->len, 2 - before);
  kq_sched_rig_run (r, 4 * KQ_SEC);
  assert_int_equal (r->runners[1].runs->len, 2);
  drop_rig (r);
}

/* Guards against one attempt too many for a task that fails everywhere. The leader dies
 * after two failures that aren't acknowledged. The new one gets the ends in the order in
 * which runners answer, possibly the later run's first; counting failures by the highest
 * run number missed the earlier one. */
static void
test_failures_count_in_any_order (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      KqSchedRig *r = new_rig (6, seed);
      KqStep s = kq_sched_rig_step (2, 500, 300);
      r->store_down_until = r->now + 60 * KQ_SEC;
      kq_sched_rig_submit (r, "aa", &s, 1, 3, 200 * KQ_MS, 0);
      kq_sched_rig_run (r, (KqTime)(300 + 20 * seed) * KQ_MS);
      r->store_down_until = r->now;
      for (int i = 0; i < 3; i++)
        r->runners[kq_rand_below (&r->rand, 6)].cut_until = r->now + 300 * KQ_MS;
      kq_sched_rig_new_leader (r);
      kq_sched_rig_run (r, 20 * KQ_SEC);
      assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_FAILED);
      drop_rig (r);
    }
}

/* Guards against a task that runs on two runners at once. A start is in flight when the
 * agent of its runner dies. The next agent doesn't know the runner's clock, so its orders
 * are refused; when that was treated as a refusal of the task, the task was started on
 * another runner while the first one ran it. */
static void
test_start_under_way_when_the_agent_changes (void **state)
{
  KqSchedRig *r = new_rig (3, 1);
  KqStep s = kq_sched_rig_step (4, 500, 2000);
  (void)state;
  for (int i = 0; i < 20; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "j%d", i);
      kq_sched_rig_submit (r, id, &s, 1, 2, 700 * KQ_MS, -1);
      kq_sched_rig_run (r, (KqTime)(10 + i % 4 * 10) * KQ_MS);
      kq_sched_rig_break_link (r, 0, true);
      kq_sched_rig_run (r, 500 * KQ_MS);
    }
  kq_sched_rig_run (r, 20 * KQ_SEC);
  for (int i = 0; i < 20; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "j%d", i);
      assert_int_equal (kq_sched_rig_state (r, id), KQ_JOB_COMPLETED);
    }
  drop_rig (r);
}

/* Guards against a lease treated as expired that an earlier agent has renewed without a
 * report to the leader. */
static void
test_moved_runner_that_its_next_agent_never_reaches (void **state)
{
  (void)state;
  for (int phase = 0; phase < 16; phase++)
    {
      KqSchedRig *r = new_rig (12, 1);
      KqStep s = kq_sched_rig_step (12, 1500, 60000);
      int next;
      kq_sched_rig_submit (r, "aa", &s, 1, 3, 60 * KQ_SEC, -1);
      kq_sched_rig_run (r, 10 * KQ_SEC + phase * 100 * KQ_MS);
      assert_int_equal (kq_sched_rig_running (r, "aa"), 12);
      next = kq_sched_rig_add_agent (r);
      for (int i = 0; i < 12; i++)
        r->agents[next].cut_until[i] = r->now + 60 * KQ_SEC;
      kq_sched_rig_run (r, 20 * KQ_SEC);
      assert_true (r->starts > 12);
      drop_rig (r);
    }
}

/* Guards against a task that runs twice after all nodes have died. The runner with the
 * task is cut off when the new leader asks for its list, and its lease hasn't expired.
 * The task may start elsewhere only when it has. */
static void
test_new_leader_waits_for_silent_runners (void **state)
{
  KqSchedRig *r = new_rig (3, 1);
  KqStep s = kq_sched_rig_step (3, 1000, 60000);
  (void)state;
  kq_sched_rig_submit (r, "aa", &s, 1, 2, 60 * KQ_SEC, -1);
  kq_sched_rig_run (r, 2 * KQ_SEC);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 3);
  r->runners[0].cut_until = r->now + 40 * KQ_SEC;
  kq_sched_rig_new_leader (r);
  kq_sched_rig_run (r, 15 * KQ_SEC);
  assert_int_equal (r->runners[1].runs->len + r->runners[2].runs->len, 3);
  drop_rig (r);
}

static void
test_job_after_the_election_starts_at_once (void **state)
{
  KqSchedRig *r = new_rig (3, 1);
  KqStep s = kq_sched_rig_step (2, 1000, 300);
  (void)state;
  r->runners[0].cut_until = r->now + 40 * KQ_SEC;
  kq_sched_rig_run (r, 3 * KQ_SEC);
  kq_sched_rig_new_leader (r);
  kq_sched_rig_run (r, 500 * KQ_MS);
  kq_sched_rig_submit (r, "aa", &s, 1, 2, 300 * KQ_MS, -1);
  kq_sched_rig_run (r, KQ_SEC);
  assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_COMPLETED);
  drop_rig (r);
}

static void
test_task_that_stands_still_goes_elsewhere (void **state)
{
  KqSchedRig *r = new_rig (2, 1);
  KqStep s = kq_sched_rig_step (1, 1000, 1000);
  int at;
  (void)state;
  kq_sched_rig_submit (r, "aa", &s, 1, 2, KQ_SEC, -1);
  kq_sched_rig_run (r, 100 * KQ_MS);
  at = r->runners[0].runs->len > 0 ? 0 : 1;
  ((KqSchedRigRun *)g_ptr_array_index (r->runners[at].runs, 0))->stalled = true;
  kq_sched_rig_run (r, 8 * KQ_SEC);
  assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_COMPLETED);
  drop_rig (r);
}

static void
test_runner_that_fails_all_is_avoided (void **state)
{
  KqSchedRig *r = new_rig (6, 1);
  KqStep s = kq_sched_rig_step (4, 500, 200);
  int failed = 0;
  (void)state;
  r->runners[2].fails_all = true;
  for (int i = 0; i < 40; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "j%d", i);
      kq_sched_rig_submit (r, id, &s, 1, 2, 200 * KQ_MS, -1);
      kq_sched_rig_run (r, 200 * KQ_MS);
    }
  kq_sched_rig_run (r, 5 * KQ_SEC);
  for (int i = 0; i < 40; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "j%d", i);
      failed += kq_sched_rig_state (r, id) != KQ_JOB_COMPLETED;
    }
  assert_int_equal (failed, 0);
  drop_rig (r);
}

/* Guards against waiting for the lease of a dead runner when the task may run twice. With
 * copies allowed the task starts elsewhere as soon as its runner can't be reached; when
 * the runner comes back, its run is stopped. */
static void
test_copy_instead_of_waiting_for_a_lease (void **state)
{
  KqSchedRig *r = new_rig (3, 1);
  KqStep s = kq_sched_rig_step (1, 1000, 6000);
  int at = 0;
  (void)state;
  s.speculative = true;
  kq_sched_rig_submit (r, "aa", &s, 1, 2, 6 * KQ_SEC, -1);
  kq_sched_rig_run (r, 500 * KQ_MS);
  while (r->runners[at].runs->len == 0)
    at++;
  r->runners[at].cut_until = r->now + 4 * KQ_SEC;
  kq_sched_rig_run (r, 3800 * KQ_MS);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 1 + 1);
  r->breaches = 0; /* two runs at once are intended here */
  kq_sched_rig_run (r, 8 * KQ_SEC);
  assert_int_equal (kq_sched_rig_state (r, "aa"), KQ_JOB_COMPLETED);
  assert_int_equal (kq_sched_rig_running (r, "aa"), 0);
  drop_rig (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steps_run_in_order),
    cmocka_unit_test (test_room_is_not_exceeded),
    cmocka_unit_test (test_attempts_end_a_job),
    cmocka_unit_test (test_cancel_stops_at_once),
    cmocka_unit_test (test_lasting_task_moves_after_its_runners_lease),
    cmocka_unit_test (test_failures_count_in_any_order),
    cmocka_unit_test (test_start_under_way_when_the_agent_changes),
    cmocka_unit_test (test_moved_runner_that_its_next_agent_never_reaches),
    cmocka_unit_test (test_new_leader_waits_for_silent_runners),
    cmocka_unit_test (test_job_after_the_election_starts_at_once),
    cmocka_unit_test (test_task_that_stands_still_goes_elsewhere),
    cmocka_unit_test (test_runner_that_fails_all_is_avoided),
    cmocka_unit_test (test_copy_instead_of_waiting_for_a_lease),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
