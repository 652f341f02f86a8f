#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static void
label_hosts (KqSchedFixture *d)
{
  for (int i = 0; i < 2; i++)
    {
      KqRunnerEntry e = { .id = kq_str (i == 0 ? "r0" : "r1"),
                          .service = KQ_STR ("desk"),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .host = kq_str (i == 0 ? "h0" : "h1"),
                          .kind = KQ_STR ("large"),
                          .room = { 4000, 16000, 0 } };
      kq_sched_entry (d->sched, &e, d->now);
    }
}

/* Guards against a step that waits as long as waves go on: all hosts with the label that
 * it needs are drained or down at the same time. */
static void
test_last_host_with_a_label_is_left_in_use (void **state)
{
  KqSchedFixture *d = *state;
  KqStep labelled = kq_sched_fixture_step ();
  labelled.label = KQ_STR ("large");
  labelled.cpu_milli = 3000;
  labelled.width = 4; /* there is room for two */
  label_hosts (d);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_submit (d, "aa", labelled, false);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_accept_starts (d);
  kq_sched_fixture_request_wave_of (d, 4, "h0");
  kq_sched_fixture_request_wave_of (d, 5, "h1");
  kq_sched_fixture_run (d, 10 * KQ_SEC);
  assert_int_equal (d->hosts_down, 1);
  kq_sched_maintenance_ended (d->sched, 4, KQ_STR ("h0"), KQ_MAINTENANCE_FOREIGN, d->now);
  kq_sched_fixture_run (d, 10 * KQ_SEC);
  assert_int_equal (d->hosts_down, 2);
}

/* Lists the two tasks of "aa" on r0, of which the first is at work. */
static void
list_protected (KqSchedFixture *d)
{
  KqRunRow rows[2] = { { .task = KQ_STR ("aa.0.0.0"), .run = 1, .percent = 100 },
                       { .task = KQ_STR ("aa.0.0.1"), .run = 1, .percent = 10 } };
  kq_sched_fixture_list_runs (d, "r0", rows, 2);
  kq_sched_fixture_list (d, "r1", NULL, 0);
}

/* Guards against a step that never gets the room of the only host with its label: as one
 * wave gives up the host's drain, the next one begins another. */
static void
test_host_passes_from_no_wave_to_the_next (void **state)
{
  KqSchedFixture *d = *state;
  KqStep serving = kq_sched_fixture_step ();
  KqStep labelled = kq_sched_fixture_step ();
  KqRunnerEntry other = { .id = KQ_STR ("r1"),
                          .service = KQ_STR ("desk"),
                          .address = KQ_STR ("127.0.0.1:1"),
                          .host = KQ_STR ("h1"),
                          .kind = KQ_STR ("small"),
                          .room = { 4000, 16000, 0 } };
  int drains = 0;
  int begun;
  label_hosts (d);
  kq_sched_entry (d->sched, &other, d->now);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  serving.lasting = true;
  serving.width = 2;
  serving.max_unavailable = 1;
  serving.label = labelled.label = KQ_STR ("large");
  kq_sched_fixture_submit (d, "aa", serving, false);
  kq_sched_fixture_run (d, 4 * KQ_SEC);
  assert_int_equal (d->starts_pending->len, 2);
  kq_sched_fixture_accept_starts (d);
  list_protected (d);
  for (int64_t wave = 4; wave < 8; wave++)
    kq_sched_fixture_request_wave_of (d, wave, "h0");
  kq_sched_fixture_run (d, 500 * KQ_MS);
  kq_sched_fixture_submit (d, "bb", labelled, false);
  begun = d->start_orders;
  for (int i = 0; i < 80 && d->start_orders == begun; i++, drains++)
    {
      list_protected (d);
      kq_sched_fixture_run (d, 100 * KQ_MS);
    }
  assert_int_equal (d->start_orders, begun + 1);
  assert_string_equal (d->runner, "r0");
  assert_true (drains <= 30);
  /* It has time to end before the next drain. */
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  kq_sched_fixture_submit (d, "cc", labelled, false);
  kq_sched_fixture_run (d, 300 * KQ_MS);
  assert_int_equal (d->start_orders, begun + 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_last_host_with_a_label_is_left_in_use,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_host_passes_from_no_wave_to_the_next,
                                     kq_sched_fixture_set_up, kq_sched_fixture_tear_down)
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
