#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define WIDTH 4

/* The starts of the gang's present run, by member. */
typedef struct
{
  KqSchedFixtureStart starts[WIDTH];
} Gang;

static KqStep
gang_step (void)
{
  KqStep p = kq_sched_fixture_step ();
  p.width = WIDTH;
  p.estimate_ms = 8000;
  p.gang = p.checkpoints = true;
  return p;
}

/* Takes the outstanding starts, which must be those of one run, all with the checkpoint.
 */
static void
take_starts (KqSchedFixture *d, Gang *g, const char *checkpoint)
{
  assert_int_equal (d->starts_pending->len, WIDTH);
  for (int i = 0; i < WIDTH; i++)
    {
      KqSchedFixtureStart s = g_array_index (d->starts_pending, KqSchedFixtureStart, i);
      int index = s.task[strlen (s.task) - 1] - '0';
      assert_int_equal (s.run,
                        g_array_index (d->starts_pending, KqSchedFixtureStart, 0).run);
      assert_string_equal (s.checkpoint, checkpoint);
      g->starts[index] = s;
    }
  kq_sched_fixture_accept_starts (d);
}

/* Lists the members with these percents, each with a checkpoint of its own. */
static void
list_members (KqSchedFixture *d, const Gang *g, const int *percents)
{
  char saved[WIDTH][16];
  for (int k = 0; k < 2; k++)
    {
      const char *runner = k == 0 ? "r0" : "r1";
      KqRunRow rows[WIDTH];
      size_t n = 0;
      for (int i = 0; i < WIDTH; i++)
        if (strcmp (g->starts[i].runner, runner) == 0)
          {
            snprintf (saved[i], sizeof saved[i], "%u-%d", g->starts[i].run, i);
            rows[n++] = (KqRunRow){ .task = kq_str (g->starts[i].task),
                                    .run = g->starts[i].run,
                                    .checkpoint = kq_str (saved[i]),
                                    .percent = percents[i],
                                    .load = -1 };
          }
      kq_sched_fixture_list_runs (d, runner, rows, n);
    }
}

/* The runners list no member any more. */
static void
lose_members (KqSchedFixture *d)
{
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_fixture_run (d, 400 * KQ_MS);
}

/* Starts a gang, whose members save when they are that far, and loses it. */
static void
run_and_lose_gang (KqSchedFixture *d, Gang *g, const int *percents)
{
  kq_sched_fixture_submit (d, "aa", gang_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  take_starts (d, g, "");
  list_members (d, g, percents);
  lose_members (d);
}

/* Guards against members of one run that resume from different checkpoints: each had
 * saved its own. */
static void
test_members_resume_from_the_same_checkpoint (void **state)
{
  static const int percents[] = { 20, 45, 45, 30 };
  KqSchedFixture *d = *state;
  char newest[16];
  Gang g;
  run_and_lose_gang (d, &g, percents);
  snprintf (newest, sizeof newest, "%u-1", g.starts[0].run);
  take_starts (d, &g, newest);
  /* A member of the next run has saved one, though it is less far. */
  list_members (d, &g, (const int[]){ 10, 5, 5, 5 });
  lose_members (d);
  snprintf (newest, sizeof newest, "%u-0", g.starts[0].run);
  take_starts (d, &g, newest);
}

/* Guards against a repeated start that differs from those of the other members: one of
 * them has ended meanwhile, with a newer checkpoint. */
static void
test_repeated_start_carries_the_same_checkpoint (void **state)
{
  static const int percents[] = { 40, 40, 40, 40 };
  KqSchedFixture *d = *state;
  KqEndRow end = { .number = 1, .run = 0, .reason = KQ_END_STOPPED };
  char first[16];
  Gang g;
  run_and_lose_gang (d, &g, percents);
  snprintf (first, sizeof first, "%u-0", g.starts[0].run);
  assert_int_equal (d->starts_pending->len, WIDTH);
  memcpy (g.starts, d->starts_pending->data, sizeof g.starts);
  g_array_set_size (d->starts_pending, 0);
  kq_sched_fixture_outcome (d, KQ_ORDER_START, g.starts[0].runner, g.starts[0].task,
                            g.starts[0].run, KQ_ORDER_UNKNOWN);
  end.task = kq_str (g.starts[1].task);
  end.run = g.starts[1].run;
  end.checkpoint = KQ_STR ("newer");
  kq_sched_fixture_outcome (d, KQ_ORDER_START, g.starts[1].runner, g.starts[1].task,
                            g.starts[1].run, KQ_ORDER_OK);
  kq_sched_fixture_list (d, g.starts[1].runner, &end, 1);
  kq_sched_fixture_run (d, 400 * KQ_MS);
  assert_true (d->starts_pending->len > 0);
  for (guint i = 0; i < d->starts_pending->len; i++)
    {
      const KqSchedFixtureStart *s
          = &g_array_index (d->starts_pending, KqSchedFixtureStart, i);
      if (s->run == g.starts[0].run)
        assert_string_equal (s->checkpoint, first);
    }
}

/* Stores the progress of the job aa and appends it to *out. */
static void
store_progress (KqSchedFixture *d, KqBuf *out)
{
  KqProgress rows[8];
  size_t n = kq_sched_store_begin (d->sched, rows, 8, d->now);
  assert_int_equal (n, 1);
  kq_buf_add_str (out, rows[0].value);
  kq_sched_stored (d->sched, true, d->now);
}

/* The next leader reads the job aa with that progress and hears both runners. */
static void
change_leader (KqSchedFixture *d, KqStep step, KqStr progress)
{
  kq_sched_fixture_new_leader (d);
  kq_sched_fixture_submit (d, "aa", step, false);
  assert_true (kq_sched_apply_progress (d->sched, KQ_STR ("aa"), progress, d->now));
  kq_sched_loaded (d->sched, d->now);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_run (d, 400 * KQ_MS);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0);
  kq_sched_fixture_run (d, 12 * KQ_SEC);
}

/* Guards against a gang that loses its work, or its agreement, with the leader. */
static void
test_next_leader_resumes_from_the_stored_checkpoint (void **state)
{
  static const int percents[] = { 20, 30, 45, 30 };
  KqSchedFixture *d = *state;
  KqBuf progress = { 0 };
  char newest[16];
  Gang g;
  run_and_lose_gang (d, &g, percents);
  snprintf (newest, sizeof newest, "%u-2", g.starts[0].run);
  store_progress (d, &progress);
  g_array_set_size (d->starts_pending, 0);
  change_leader (d, gang_step (), kq_buf_str (&progress));
  take_starts (d, &g, newest);
  kq_buf_free (&progress);
}

/* Guards against a task that resumes from another value than its runner saved: one that
 * is cut off at a NUL character, also by the next leader. */
static void
test_checkpoint_keeps_every_byte (void **state)
{
  KqSchedFixture *d = *state;
  KqStep step = kq_sched_fixture_step ();
  KqEndRow end = { .number = 1,
                   .run = 1,
                   .reason = KQ_END_FAILED,
                   .task = KQ_STR ("aa.0.0.0"),
                   .checkpoint = kq_str_n ("a\0b\0", 4) };
  KqBuf progress = { 0 };
  step.checkpoints = true;
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_accept_starts (d);
  kq_sched_fixture_list (d, d->runner, &end, 1);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_int_equal (d->checkpoint_len, 4);
  store_progress (d, &progress);
  change_leader (d, step, kq_buf_str (&progress));
  assert_int_equal (d->start_orders, 3);
  assert_int_equal (d->checkpoint_len, 4);
  kq_buf_free (&progress);
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { FIXTURE_TEST (test_members_resume_from_the_same_checkpoint),
          FIXTURE_TEST (test_repeated_start_carries_the_same_checkpoint),
          FIXTURE_TEST (test_next_leader_resumes_from_the_stored_checkpoint),
          FIXTURE_TEST (test_checkpoint_keeps_every_byte) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
