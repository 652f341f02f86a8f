#include "base/rand.h"
#include "request/dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SECOND KQ_SEC

typedef struct
{
  KqDispatch *d;
  KqTable *table;
  KqTime now;
  uint64_t next;
} Fixture;

static KqServiceRow
default_row (void)
{
  return kq_row_default (KQ_ROW_SERVICE, KQ_STR ("tracker")).u.service;
}

/* One service "tracker" with that row, or none when row is NULL. */
static void
set_row (Fixture *f, const KqServiceRow *row)
{
  KqTable *t = kq_table_new (1);
  KqRowChange c = { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("tracker")) };
  KqResult why;
  size_t which;
  if (row != NULL)
    {
      KqTable *empty = t;
      c.row.u.service = *row;
      t = kq_table_change (empty, 2, &c, 1, &why, &which);
      kq_table_unref (empty);
    }
  kq_dispatch_set_table (f->d, t, f->now);
  if (f->table != NULL)
    kq_table_unref (f->table);
  f->table = t;
}

static void
start (Fixture *f)
{
  KqServiceRow row = default_row ();
  *f = (Fixture){ .d = kq_dispatch_new (5), .now = SECOND, .next = 1 };
  set_row (f, &row);
}

static void
stop (Fixture *f)
{
  kq_dispatch_free (f->d);
  kq_table_unref (f->table);
}

static void
runner (Fixture *f, KqRunnerId id, int slots, bool taken_over)
{
  KqRunnerInfo r = { .id = id, .slots = slots, .connections = 64 };
  kq_dispatch_set_runner (f->d, &r, taken_over, f->now);
}

static void
report (Fixture *f, KqRunnerId id, int busy, bool leaving)
{
  KqRunnerReport r = { .slots = 8, .slots_busy = busy, .leaving = leaving };
  kq_dispatch_set_report (f->d, id, &r, f->now);
}

static KqFlightId
flight (uint64_t number)
{
  return (KqFlightId){ 1, 1, number };
}

static KqResult
offer_for (Fixture *f, KqTime deadline)
{
  KqTime retry_after;
  KqResult why;
  KqDispatchRequest r = { .flight = flight (f->next++),
                          .service = KQ_STR ("tracker"),
                          .caller = KQ_STR ("office"),
                          .deadline = f->now + deadline,
                          .idempotent = true,
                          .class_id = 1000 };
  why = kq_dispatch_offer (f->d, &r, f->now, &retry_after);
  assert_true (why == KQ_OK || why == KQ_ERR_NO_SERVICE || why == KQ_ERR_DEADLINE_PASSED
               || retry_after > 0);
  return why;
}

static KqResult
offer (Fixture *f)
{
  return offer_for (f, 5 * SECOND);
}

/* Sends all requests that have a free slot; returns how many, and the runner of the last
 * one. */
static int
send_all (Fixture *f, KqRunnerId *last)
{
  KqDispatchEvent e;
  int n = 0;
  while (kq_dispatch_next (f->d, f->now, &e))
    {
      assert_int_equal (e.kind, KQ_DISPATCH_SEND);
      n++;
      if (last != NULL)
        *last = e.runner;
    }
  return n;
}

static void
expect_refusal (Fixture *f, uint64_t number, KqResult code)
{
  KqDispatchEvent e;
  assert_true (kq_dispatch_next (f->d, f->now, &e));
  assert_int_equal (e.kind, KQ_DISPATCH_REFUSE);
  assert_int_equal (e.code, code);
  assert_int_equal (e.flight.number, number);
  assert_true (e.retry_after > 0);
}

static void
end (Fixture *f, uint64_t number, KqOutcome o)
{
  kq_dispatch_done (f->d, flight (number), o, f->now);
}

/* The host list says eight slots, the runner's report four: the lower number counts. */
static void
test_fewer_slots_reported (void **state)
{
  Fixture f;
  KqRunnerReport r = { .slots = 4 };
  (void)state;
  start (&f);
  runner (&f, 1, 8, false);
  kq_dispatch_set_report (f.d, 1, &r, f.now);
  for (int i = 0; i < 10; i++)
    offer (&f);
  assert_int_equal (send_all (&f, NULL), 4);
  stop (&f);
}

static void
test_slots_are_exact (void **state)
{
  Fixture f;
  KqServiceDigest line;
  (void)state;
  start (&f);
  assert_int_equal (offer (&f), KQ_ERR_NO_TARGET);
  runner (&f, 1, 3, false);
  runner (&f, 2, 2, false);
  for (int i = 0; i < 10; i++)
    assert_int_equal (offer (&f), KQ_OK);
  assert_int_equal (send_all (&f, NULL), 5);
  assert_int_equal (kq_dispatch_queued (f.d), 5);
  assert_int_equal (kq_dispatch_running (f.d), 5);
  assert_int_equal (kq_dispatch_digest (f.d, &line, 1), 1);
  assert_int_equal (line.slots, 5);
  assert_int_equal (line.busy, 5);
  assert_int_equal (line.queued, 5);
  assert_true (line.work_us > 0);
  end (&f, 2, KQ_OUTCOME_ANSWERED);
  end (&f, 2, KQ_OUTCOME_ANSWERED);
  assert_int_equal (send_all (&f, NULL), 1);
  stop (&f);
}

/* The owner of a runner has died, and its successor doesn't know of the flights there. It
 * must use no slot before the runner's first report, and then only those that are free.
 * Its own flights in later reports don't count as the former owner's. */
static void
test_takeover (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  runner (&f, 1, 8, true);
  for (int i = 0; i < 20; i++)
    assert_int_equal (offer (&f), KQ_OK);
  assert_int_equal (send_all (&f, NULL), 0);
  report (&f, 1, 5, false);
  assert_int_equal (send_all (&f, NULL), 3);
  report (&f, 1, 8, false);
  assert_int_equal (send_all (&f, NULL), 0);
  report (&f, 1, 4, false);
  assert_int_equal (send_all (&f, NULL), 4);
  report (&f, 1, 8, false);
  assert_int_equal (send_all (&f, NULL), 0);
  report (&f, 1, 8, false);
  end (&f, 2, KQ_OUTCOME_ANSWERED);
  assert_int_equal (send_all (&f, NULL), 1);
  stop (&f);
}

/* The host list names the same runner again between two reports. The minimum of the
 * node's own flights since the last report must be kept: otherwise a report made while
 * two of them were ending would make two of the former owner's slots look free. */
static void
test_takeover_and_host_list (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  runner (&f, 1, 8, true);
  for (int i = 0; i < 20; i++)
    offer (&f);
  report (&f, 1, 5, false);
  assert_int_equal (send_all (&f, NULL), 3);
  report (&f, 1, 8, false);
  end (&f, 1, KQ_OUTCOME_ANSWERED);
  end (&f, 2, KQ_OUTCOME_ANSWERED);
  assert_int_equal (send_all (&f, NULL), 2);
  runner (&f, 1, 8, false);
  report (&f, 1, 6, false);
  assert_int_equal (send_all (&f, NULL), 0);
  stop (&f);
}

/* A runner gets no new requests as soon as either its report or the host list says that
 * it is leaving; those under way there go on. If it was the last runner, queued requests
 * are refused at once, not at their deadline. */
static void
test_leaving (void **state)
{
  Fixture f;
  KqRunnerId last = 0;
  (void)state;
  start (&f);
  runner (&f, 1, 1, false);
  runner (&f, 2, 1, false);
  for (int i = 0; i < 4; i++)
    offer (&f);
  assert_int_equal (send_all (&f, NULL), 2);
  report (&f, 1, 1, true);
  end (&f, 1, KQ_OUTCOME_ANSWERED);
  end (&f, 2, KQ_OUTCOME_ANSWERED);
  assert_int_equal (send_all (&f, &last), 1);
  assert_int_equal (last, 2);
  kq_dispatch_set_leaving (f.d, 2, true, f.now);
  expect_refusal (&f, 4, KQ_ERR_NO_TARGET);
  assert_int_equal (offer (&f), KQ_ERR_NO_TARGET);
  report (&f, 2, 1, false);
  assert_int_equal (offer (&f), KQ_ERR_NO_TARGET);
  kq_dispatch_set_leaving (f.d, 2, false, f.now);
  assert_int_equal (offer (&f), KQ_OK);
  stop (&f);
}

/* A shard moves to another node while requests run on its runner. The runner gets no new
 * ones, its flights end here, and when the shard comes back the count of slots in use is
 * right. */
static void
test_drop_and_return (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  runner (&f, 1, 2, false);
  offer (&f);
  offer (&f);
  assert_int_equal (send_all (&f, NULL), 2);
  kq_dispatch_drop_runner (f.d, 1, f.now);
  assert_int_equal (offer (&f), KQ_ERR_NO_TARGET);
  end (&f, 1, KQ_OUTCOME_ANSWERED);
  runner (&f, 1, 2, true);
  assert_int_equal (offer (&f), KQ_OK);
  assert_int_equal (send_all (&f, NULL), 0);
  report (&f, 1, 1, false);
  assert_int_equal (send_all (&f, NULL), 1);
  end (&f, 2, KQ_OUTCOME_ANSWERED);
  kq_dispatch_drop_runner (f.d, 1, f.now);
  end (&f, 4, KQ_OUTCOME_BROKEN);
  assert_int_equal (kq_dispatch_running (f.d), 0);
  kq_dispatch_drop_runner (f.d, 1, f.now);
  stop (&f);
}

/* A request that can no longer be answered in time is removed from the queue unsent, and
 * the caller is told at once. */
static void
test_deadline (void **state)
{
  Fixture f;
  KqTime wake;
  KqServiceRow row = default_row ();
  (void)state;
  start (&f);
  row.admission = false;
  set_row (&f, &row);
  runner (&f, 1, 1, false);
  assert_int_equal (offer_for (&f, 0), KQ_ERR_DEADLINE_PASSED);
  assert_int_equal (offer_for (&f, SECOND), KQ_OK);
  assert_int_equal (offer_for (&f, SECOND), KQ_OK);
  assert_int_equal (send_all (&f, NULL), 1);
  wake = kq_dispatch_wake_time (f.d, f.now);
  assert_true (wake == f.now + SECOND);
  f.now = wake;
  expect_refusal (&f, 3, KQ_ERR_DEADLINE_PASSED);
  assert_true (kq_dispatch_wake_time (f.d, f.now) == KQ_TIME_NEVER);
  stop (&f);
}

static void
test_cancel (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  runner (&f, 1, 1, false);
  offer (&f);
  offer (&f);
  assert_int_equal (send_all (&f, NULL), 1);
  assert_false (kq_dispatch_cancel (f.d, flight (1), f.now));
  assert_true (kq_dispatch_cancel (f.d, flight (2), f.now));
  assert_false (kq_dispatch_cancel (f.d, flight (2), f.now));
  end (&f, 1, KQ_OUTCOME_CANCELLED);
  assert_int_equal (send_all (&f, NULL), 0);
  assert_int_equal (kq_dispatch_queued (f.d) + kq_dispatch_running (f.d), 0);
  stop (&f);
}

/* The bounds and switches of a new table apply from the moment it is set. */
static void
test_rows_apply_at_once (void **state)
{
  Fixture f;
  KqServiceRow row = default_row ();
  (void)state;
  start (&f);
  runner (&f, 1, 8, false);
  row.in_flight_max = 3;
  row.queue_max = 4;
  row.caller_percent = 100;
  set_row (&f, &row);
  for (int i = 0; i < 4; i++)
    assert_int_equal (offer (&f), KQ_OK);
  assert_int_equal (offer (&f), KQ_ERR_QUEUE_FULL);
  assert_int_equal (send_all (&f, NULL), 3);
  row.in_flight_max = 0;
  set_row (&f, &row);
  assert_int_equal (send_all (&f, NULL), 1);
  row.caller_percent = 50;
  set_row (&f, &row);
  for (int i = 0; i < 4; i++)
    {
      assert_int_equal (offer (&f), KQ_OK);
      assert_int_equal (send_all (&f, NULL), 1);
    }
  assert_int_equal (offer (&f), KQ_OK);
  assert_int_equal (offer (&f), KQ_OK);
  assert_int_equal (offer (&f), KQ_ERR_CALLER_SHARE);
  row.fairness = false;
  set_row (&f, &row);
  assert_int_equal (offer (&f), KQ_OK);
  set_row (&f, NULL);
  assert_int_equal (offer (&f), KQ_ERR_NO_SERVICE);
  for (int i = 0; i < 3; i++)
    {
      KqDispatchEvent e;
      assert_true (kq_dispatch_next (f.d, f.now, &e));
      assert_int_equal (e.kind, KQ_DISPATCH_REFUSE);
      assert_int_equal (e.code, KQ_ERR_NO_SERVICE);
    }
  stop (&f);
}

/* A runner that fails every request gets only probes. With the outlier check switched off
 * it gets its part of the requests. */
static void
test_outlier_switch (void **state)
{
  Fixture f;
  KqRunnerId last = 0;
  KqServiceRow row = default_row ();
  int bad = 0;
  (void)state;
  start (&f);
  for (KqRunnerId id = 1; id <= 4; id++)
    runner (&f, id, 4, false);
  for (int turn = 0; turn < 400; turn++)
    {
      offer (&f);
      assert_int_equal (send_all (&f, &last), 1);
      bad += last == 1 && turn >= 200;
      end (&f, f.next - 1, last == 1 ? KQ_OUTCOME_SILENT : KQ_OUTCOME_ANSWERED);
      f.now += 10 * KQ_MS;
    }
  assert_in_range (bad, 0, 2);
  row.outlier = false;
  row.choice = false;
  set_row (&f, &row);
  for (int turn = 0; turn < 200; turn++)
    {
      offer (&f);
      assert_int_equal (send_all (&f, &last), 1);
      bad += last == 1;
      end (&f, f.next - 1, last == 1 ? KQ_OUTCOME_SILENT : KQ_OUTCOME_ANSWERED);
    }
  assert_true (bad > 25);
  stop (&f);
}

/* Two services with weights 100 and 300 share the same runner; both have a backlog. */
static void
test_services_share_by_weight (void **state)
{
  KqRowChange c[2] = { { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("a")) },
                       { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("b")) } };
  KqTable *empty = kq_table_new (1);
  KqTable *t;
  KqDispatch *d = kq_dispatch_new (1);
  KqRunnerInfo r = { .id = 1, .slots = 1, .connections = 64 };
  KqResult why;
  size_t which;
  int sent[2] = { 0 };
  KqTime now = SECOND;
  (void)state;
  c[0].row.u.service.caller_percent = c[1].row.u.service.caller_percent = 100;
  c[1].row.u.service.weight = 300;
  t = kq_table_change (empty, 2, c, 2, &why, &which);
  kq_dispatch_set_table (d, t, now);
  kq_dispatch_set_runner (d, &r, false, now);
  for (uint64_t i = 0; i < 800; i++)
    {
      KqDispatchRequest q
          = { .flight = flight (i), .service = KQ_STR ("a"), .deadline = 3600 * SECOND };
      KqTime retry_after;
      if (i % 2 == 1)
        q.service = KQ_STR ("b");
      assert_int_equal (kq_dispatch_offer (d, &q, now, &retry_after), KQ_OK);
    }
  for (int i = 0; i < 400; i++)
    {
      KqDispatchEvent e;
      assert_true (kq_dispatch_next (d, now, &e));
      sent[e.flight.number % 2]++;
      now += 10 * KQ_MS;
      kq_dispatch_done (d, e.flight, KQ_OUTCOME_ANSWERED, now);
    }
  assert_in_range (sent[0], 95, 105);
  kq_dispatch_free (d);
  kq_table_unref (t);
  kq_table_unref (empty);
}

/* Runners are added, report, leave and are dropped, flights end in every way, and rows
 * change, all at random: no slot is used twice (asserted by the pool), every flight gets
 * exactly one event, and nothing is left at the end. */
static void
test_random (void **state)
{
  enum
  {
    FLIGHTS = 20000
  };
  static char state_of[FLIGHTS + 1]; /* 1 queued, 2 sent, 3 ended */
  Fixture f;
  KqRand rand = kq_rand (41);
  KqServiceRow row = default_row ();
  KqDispatchEvent e;
  (void)state;
  start (&f);
  memset (state_of, 0, sizeof state_of);
  while (f.next < FLIGHTS)
    {
      KqRunnerId id = 1 + kq_rand_below (&rand, 6);
      uint64_t number = 1 + kq_rand_below (&rand, f.next);
      uint64_t offered = f.next;
      switch (kq_rand_below (&rand, 12))
        {
        case 0:
          runner (&f, id, 1 + (int)kq_rand_below (&rand, 8),
                  kq_rand_below (&rand, 2) == 0);
          break;
        case 1:
          if (kq_rand_below (&rand, 4) == 0)
            kq_dispatch_drop_runner (f.d, id, f.now);
          break;
        case 2:
          report (&f, id, (int)kq_rand_below (&rand, 9), kq_rand_below (&rand, 9) == 0);
          break;
        case 3:
          kq_dispatch_set_leaving (f.d, id, kq_rand_below (&rand, 3) == 0, f.now);
          break;
        case 4:
          if (kq_dispatch_cancel (f.d, flight (number), f.now))
            {
              assert_int_equal (state_of[number], 1);
              state_of[number] = 3;
            }
          break;
        case 5:
          row.outlier = kq_rand_below (&rand, 2) == 0;
          row.limit = kq_rand_below (&rand, 2) == 0;
          row.short_slots = kq_rand_below (&rand, 2) == 0;
          row.fairness = kq_rand_below (&rand, 2) == 0;
          row.admission = kq_rand_below (&rand, 2) == 0;
          set_row (&f, &row);
          break;
        default:
          if (offer_for (&f, (KqTime)kq_rand_below (&rand, SECOND)) == KQ_OK)
            state_of[offered] = 1;
        }
      while (kq_dispatch_next (f.d, f.now, &e))
        {
          assert_int_equal (state_of[e.flight.number], 1);
          state_of[e.flight.number] = e.kind == KQ_DISPATCH_SEND ? 2 : 3;
        }
      for (int i = 0; i < 20; i++)
        {
          number = 1 + kq_rand_below (&rand, f.next);
          if (state_of[number] != 2)
            continue;
          end (&f, number, (KqOutcome)kq_rand_below (&rand, 6));
          state_of[number] = 3;
          break;
        }
      f.now += (KqTime)kq_rand_below (&rand, 5 * KQ_MS);
    }
  for (uint64_t i = 1; i <= FLIGHTS; i++)
    if (state_of[i] == 2)
      end (&f, i, KQ_OUTCOME_ANSWERED);
  for (KqRunnerId id = 1; id <= 6; id++)
    kq_dispatch_drop_runner (f.d, id, f.now);
  f.now += 10 * SECOND;
  while (kq_dispatch_next (f.d, f.now, &e))
    assert_int_equal (e.kind, KQ_DISPATCH_REFUSE);
  assert_int_equal (kq_dispatch_queued (f.d) + kq_dispatch_running (f.d), 0);
  json_decref (kq_dispatch_state (f.d, f.now));
  stop (&f);
}

/* Paths that differ only in ids are one class; other methods and other paths aren't. */
static void
test_class (void **state)
{
  uint64_t a = kq_dispatch_class (KQ_STR ("GET"), KQ_STR ("/tags/123/state?x=1"));
  (void)state;
  assert_true (a == kq_dispatch_class (KQ_STR ("GET"), KQ_STR ("/tags/77b/state")));
  assert_true (a != kq_dispatch_class (KQ_STR ("POST"), KQ_STR ("/tags/123/state")));
  assert_true (a != kq_dispatch_class (KQ_STR ("GET"), KQ_STR ("/tags/123/report")));
  assert_true (kq_dispatch_class (KQ_STR ("GET"), KQ_STR ("/")) != 0);
  assert_true (kq_dispatch_key (KQ_STR ("/tags/1?a=2"))
               == kq_dispatch_key (KQ_STR ("/tags/1")));
  assert_true (kq_dispatch_key (KQ_STR ("/tags/1"))
               != kq_dispatch_key (KQ_STR ("/tags/2")));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slots_are_exact),
    cmocka_unit_test (test_fewer_slots_reported),
    cmocka_unit_test (test_takeover),
    cmocka_unit_test (test_takeover_and_host_list),
    cmocka_unit_test (test_leaving),
    cmocka_unit_test (test_drop_and_return),
    cmocka_unit_test (test_deadline),
    cmocka_unit_test (test_cancel),
    cmocka_unit_test (test_rows_apply_at_once),
    cmocka_unit_test (test_outlier_switch),
    cmocka_unit_test (test_services_share_by_weight),
    cmocka_unit_test (test_random),
    cmocka_unit_test (test_class),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
