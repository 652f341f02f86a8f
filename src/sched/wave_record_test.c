#include "bench/sched_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

/* Guards against a host taken down by a leader that has lost its lease: while its record
 * can't be written no host is called for. */
static void
test_host_is_recorded_before_its_call (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 2);
  d->store_down = true;
  kq_sched_fixture_run (d, 5 * KQ_SEC);
  assert_int_equal (d->hosts_down, 0);
  d->store_down = false;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 2);
}

/* Replaces the leader by the next one, which reads the waves' record. */
static void
change_leader (KqSchedFixture *d)
{
  kq_sched_fixture_new_leader (d);
  assert_true (kq_sched_waves_stored (d->sched, kq_buf_str (&d->waves), d->now));
  kq_sched_loaded (d->sched, d->now);
  d->hosts_down = 0;
}

/* Runs the scheduler while both runners list no runs. */
static void
run_listing (KqSchedFixture *d, KqTime span)
{
  for (KqTime end = d->now + span; d->now < end;)
    {
      kq_sched_fixture_list (d, "r0", NULL, 0);
      kq_sched_fixture_list (d, "r1", NULL, 0);
      kq_sched_fixture_run (d, 500 * KQ_MS);
    }
}

/* Guards against more hosts down than the wave allows: a call of an earlier leader is
 * carried out late. The next leader calls for the same host first, with its own token,
 * and counts the host as down until it has an answer. */
static void
test_next_leader_follows_up_open_calls (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_string_equal (d->last_host_down, "h0");
  change_leader (d);
  run_listing (d, KQ_SCHED_FIXTURE_FIRST_CALL); /* the request hasn't been read yet */
  assert_int_equal (d->hosts_down, 1);
  assert_string_equal (d->last_host_down, "h0");
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_maintenance_ended (d->sched, 4, KQ_STR ("h0"), KQ_MAINTENANCE_BUSY, d->now);
  run_listing (d, 3 * KQ_SEC);
  assert_string_equal (d->last_host_down, "h0");
  kq_sched_maintenance_ended (d->sched, 4, KQ_STR ("h0"), KQ_MAINTENANCE_OK, d->now);
  run_listing (d, 4 * KQ_SEC);
  assert_string_equal (d->last_host_down, "h1");
}

/* As above, under one leader: its call got no answer, and the host is busy when the call
 * is repeated. */
static void
test_busy_host_with_an_open_call_counts_as_down (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_UNKNOWN);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_BUSY);
  kq_sched_fixture_run (d, 5 * KQ_SEC);
  assert_string_equal (d->last_host_down, "h0");
}

/* Guards against tasks that are lost with a host: they are placed there by the next
 * leader before its first call, while a call of the earlier one may be carried out. */
static void
test_host_with_an_open_call_gets_no_tasks (void **state)
{
  KqSchedFixture *d = *state;
  KqStep lasting = kq_sched_fixture_step ();
  lasting.lasting = true;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  assert_string_equal (d->last_host_down, "h0");
  change_leader (d);
  kq_sched_entry_gone (d->sched, KQ_STR ("r1"), d->now);
  kq_sched_fixture_run (d, 100 * KQ_MS);
  kq_sched_fixture_store_used_runners (d);
  kq_sched_fixture_list (d, "r0", NULL, 0);
  kq_sched_fixture_list (d, "r1", NULL, 0); /* all earlier runs are known */
  kq_sched_fixture_submit (d, "aa", lasting, false);
  kq_sched_fixture_run (d, 2 * KQ_SEC);
  assert_int_equal (d->start_orders, 0);
}

/* Guards against more hosts down than the wave allows after a change of leader: the host
 * that the earlier one took down is still down when the next one may make its calls. */
static void
test_host_taken_down_by_an_earlier_leader_counts_as_down (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 1);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
  d->maintenance_ms = 8000;
  change_leader (d);
  kq_sched_fixture_request_wave (d, 2, 1);
  run_listing (d, 7 * KQ_SEC);
  assert_int_equal (d->hosts_down, 0);
  run_listing (d, 3 * KQ_SEC);
  assert_string_equal (d->last_host_down, "h1");
}

/* Guards against a record that outgrows the store, so that no host can be taken down any
 * more: of a completed wave its hosts are left out, and they aren't taken down again. */
static void
test_record_of_a_completed_wave_names_no_hosts (void **state)
{
  KqSchedFixture *d = *state;
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL);
  kq_sched_fixture_request_wave (d, 2, 2);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_SETTLE);
  kq_sched_fixture_answer_call (d, "h0", KQ_MAINTENANCE_OK);
  kq_sched_fixture_answer_call (d, "h1", KQ_MAINTENANCE_OK);
  assert_non_null (memmem (d->waves.ptr, d->waves.len, "h0", 2));
  kq_sched_fixture_run (d, 12 * KQ_SEC);
  assert_null (memmem (d->waves.ptr, d->waves.len, "h0", 2));
  assert_null (memmem (d->waves.ptr, d->waves.len, "h1", 2));
  change_leader (d);
  kq_sched_fixture_request_wave (d, 2, 2);
  run_listing (d, 6 * KQ_SEC);
  assert_int_equal (d->hosts_down, 0);
}

/* Guards against a record that is lost: a leader that can't read it doesn't replace it,
 * and makes no call that it might be needed for. */
static void
test_unreadable_record_is_kept (void **state)
{
  KqSchedFixture *d = *state;
  assert_false (kq_sched_waves_stored (d->sched, KQ_STR ("\x91\x63"), d->now));
  kq_sched_fixture_request_wave (d, 2, 2);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL + KQ_SCHED_FIXTURE_SETTLE);
  assert_false (kq_sched_waves_pending (d->sched));
  assert_int_equal (d->hosts_down, 0);
}

/* Guards against hosts taken down twice after an update of the program: the record of the
 * version before names the hosts that are done. */
static void
test_record_of_version_1_is_read (void **state)
{
  KqSchedFixture *d = *state;
  KqStr record = KQ_STR ("\x92\x01\x94\x04\x00\xc2\xa2h0");
  assert_true (kq_sched_waves_stored (d->sched, record, d->now));
  kq_sched_fixture_request_wave (d, 2, 2);
  kq_sched_fixture_run (d, KQ_SCHED_FIXTURE_FIRST_CALL + KQ_SCHED_FIXTURE_SETTLE);
  assert_int_equal (d->hosts_down, 1);
  assert_string_equal (d->last_host_down, "h1");
}

#define FIXTURE_TEST(test)                                                               \
  cmocka_unit_test_setup_teardown (test, kq_sched_fixture_set_up,                        \
                                   kq_sched_fixture_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_host_is_recorded_before_its_call),
    FIXTURE_TEST (test_next_leader_follows_up_open_calls),
    FIXTURE_TEST (test_busy_host_with_an_open_call_counts_as_down),
    FIXTURE_TEST (test_host_with_an_open_call_gets_no_tasks),
    FIXTURE_TEST (test_host_taken_down_by_an_earlier_leader_counts_as_down),
    FIXTURE_TEST (test_record_of_a_completed_wave_names_no_hosts),
    FIXTURE_TEST (test_unreadable_record_is_kept),
    FIXTURE_TEST (test_record_of_version_1_is_read),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
