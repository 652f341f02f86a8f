#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define OTHER_ADDRESS "10.0.0.9:80"

/* Starts a task; returns its runner. */
static const char *
start_task (KqSchedFixture *d, char runner[16])
{
  kq_sched_fixture_submit (d, "aa", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 50 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_accept_starts (d);
  return memcpy (runner, d->runner, 16);
}

static KqRunnerEntry
entry_of (const char *runner)
{
  return (KqRunnerEntry){ .id = kq_str (runner),
                          .service = KQ_STR ("desk"),
                          .address = KQ_STR (OTHER_ADDRESS),
                          .failure_domain = KQ_STR ("north"),
                          .room = { 16000, 64000, 0 } };
}

static void
say_replaced (KqSchedFixture *d, const char *runner)
{
  kq_sched_runner_replaced (d->sched, d->agent, kq_str (runner),
                            d->assignment[runner[1] - '0'], -1, d->now);
}

/* Guards against a task that starts on a runner of the wrong kind: the runner has
 * restarted under its id as another kind, and its earlier entry is still there. */
static void
test_entry_of_the_process_before_a_restart_names_no_kind (void **state)
{
  KqSchedFixture *d = *state;
  KqRunnerEntry e = { .id = KQ_STR ("r0"),
                      .service = KQ_STR ("desk"),
                      .address = KQ_STR ("127.0.0.1:1"),
                      .kind = KQ_STR ("large"),
                      .started_ms = 1,
                      .room = { 4000, 16000, 0 } };
  KqStep step = kq_sched_fixture_step ();
  step.label = KQ_STR ("large");
  kq_sched_entry (d->sched, &e, d->now);
  d->started_ms = 2;
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_submit (d, "aa", step, false);
  kq_sched_fixture_run (d, KQ_SEC);
  assert_int_equal (d->start_orders, 0);
  e.started_ms = 2;
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 200 * KQ_MS);
  assert_int_equal (d->start_orders, 1);
}

/* Guards against a second run of a task whose first one goes on: an entry of another
 * writer gave its runner the address of another one, which answers that it isn't that
 * runner. */
static void
test_address_that_never_answered_proves_nothing (void **state)
{
  KqSchedFixture *d = *state;
  char runner[16];
  KqRunnerEntry e = entry_of (start_task (d, runner));
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 400 * KQ_MS); /* an agent gets the new address */
  say_replaced (d, runner);
  kq_sched_fixture_run (d, 4 * KQ_SEC);
  assert_int_equal (d->start_orders, 1);
  kq_sched_fixture_run (d, 8 * KQ_SEC); /* its lease is over */
  assert_int_equal (d->start_orders, 2);
}

/* Guards against a task that waits for the lease of a runner that is gone for certain:
 * another one answers where it did. */
static void
test_address_that_answered_proves_that_the_runner_is_gone (void **state)
{
  KqSchedFixture *d = *state;
  char runner[16];
  start_task (d, runner);
  say_replaced (d, runner);
  kq_sched_fixture_run (d, 400 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_not_equal (d->runner, runner);
}

/* Guards against a second run of a task, and against tasks on a runner of which no usable
 * entry is left: an entry of another writer stands under its key, then its own again. */
static void
test_unusable_entry_keeps_new_tasks_away_only (void **state)
{
  KqSchedFixture *d = *state;
  char runner[16];
  KqRunnerEntry e = entry_of (start_task (d, runner));
  int drops = d->drop_orders;
  e.address = KQ_STR ("127.0.0.1:1");
  kq_sched_entry_unusable (d->sched, kq_str ("r0"), d->now);
  kq_sched_entry_unusable (d->sched, kq_str ("r1"), d->now);
  kq_sched_entry_unusable (d->sched, kq_str ("r2"), d->now); /* unknown */
  kq_sched_fixture_submit (d, "bb", kq_sched_fixture_step (), false);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  assert_int_equal (d->start_orders, 1);
  assert_int_equal (d->stop_orders, 0);
  assert_int_equal (d->drop_orders, drops);
  kq_sched_entry (d->sched, &e, d->now);
  kq_sched_fixture_run (d, 400 * KQ_MS);
  assert_int_equal (d->start_orders, 2);
  assert_string_equal (d->runner, runner);
  assert_string_equal (d->task, "bb.0.0.0");
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { FIXTURE_TEST (test_address_that_never_answered_proves_nothing),
          FIXTURE_TEST (test_address_that_answered_proves_that_the_runner_is_gone),
          FIXTURE_TEST (test_unusable_entry_keeps_new_tasks_away_only),
          FIXTURE_TEST (test_entry_of_the_process_before_a_restart_names_no_kind) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
