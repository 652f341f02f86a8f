#include "../../bench/load_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

/* Ten runners with four slots each and 10 ms per request: 4,000 answers a second. */
#define RUNNERS 10
#define SLOTS 4
#define MEAN (10 * KQ_MS)
#define CAPACITY 4000.0
#define END (3 * KQ_SEC)
#define DEADLINE (300 * KQ_MS)

static SimConfig
config (void)
{
  return (SimConfig){ .seed = 7,
                      .runners = RUNNERS,
                      .slots = SLOTS,
                      .deadline = DEADLINE,
                      .end = END,
                      .row = sim_row (true) };
}

static SimArrivals
quick (KqRand *rand, double load, KqTime from, KqTime to)
{
  const SimArrival like = { .class_id = 1001, .key = 1 };
  SimArrivals a = { 0 };
  sim_add_arrivals (&a, rand, &like, load * CAPACITY, from, to, MEAN, 10, 20);
  sim_sort_arrivals (&a);
  return a;
}

static void
add (SimArrivals *a, KqRand *rand, SimArrival like, double load, KqTime mean)
{
  sim_add_arrivals (a, rand, &like, load * CAPACITY * MEAN / mean, KQ_SEC, END, mean, 1,
                    1);
  sim_sort_arrivals (a);
}

static double
p99 (const SimResult *r)
{
  return (double)sim_percentile (&r->groups[SIM_MEASURED], 0.99, 0, KQ_TIME_NEVER);
}

static double
good (const SimResult *r)
{
  return (double)r->groups[SIM_MEASURED].good / (double)r->groups[SIM_MEASURED].offered;
}

static double
late (const SimResult *r)
{
  return (double)r->groups[SIM_MEASURED].late / (double)r->groups[SIM_MEASURED].offered;
}

/* Six times the capacity arrives for 200 ms. Each request must be answered within its
 * deadline or refused at once. Without admission the queue holds more than can be
 * answered in time, and the answers are late. */
static void
test_burst (void **state)
{
  KqRand rand = kq_rand (11);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 0.5, 0, END);
  SimArrival like = { .class_id = 1001, .key = 1 };
  SimResult on;
  SimResult off;
  (void)state;
  sim_add_arrivals (&a, &rand, &like, 6 * CAPACITY, KQ_SEC, KQ_SEC + KQ_SEC / 5, MEAN, 10,
                    20);
  sim_sort_arrivals (&a);
  on = sim_run (&c, &a, 0);
  c.row = sim_row (false);
  off = sim_run (&c, &a, 0);
  assert_true (p99 (&on) <= DEADLINE);
  assert_true (late (&on) < 0.002);
  assert_true (late (&off) > 5 * late (&on));
  assert_true (good (&on) >= good (&off) - 0.02);
  sim_result_free (&on);
  sim_result_free (&off);
  free (a.items);
}

/* One caller, or one key of one caller, sends three times the capacity. The other callers
 * and keys must see hardly any difference: the excess waits behind its own backlog and is
 * refused. In a first-in-first-out queue half of the others' requests are lost. */
static void
check_hot (SimArrival like)
{
  KqRand rand = kq_rand (12);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 0.6, 0, END);
  SimResult alone = sim_run (&c, &a, 0);
  SimResult on;
  SimResult off;
  like.class_id = 1001;
  like.group = SIM_HOT;
  add (&a, &rand, like, 3, MEAN);
  on = sim_run (&c, &a, 0);
  c.row.fairness = false;
  off = sim_run (&c, &a, 0);
  assert_true (p99 (&on) <= 1.2 * p99 (&alone));
  assert_true (good (&on) > 0.99);
  assert_true (good (&off) < 0.8);
  sim_result_free (&alone);
  sim_result_free (&on);
  sim_result_free (&off);
  free (a.items);
}

static void
test_hot_caller (void **state)
{
  (void)state;
  check_hot ((SimArrival){ .caller = 40, .key = 1 });
}

static void
test_hot_key (void **state)
{
  (void)state;
  check_hot ((SimArrival){ .caller = 3, .key = 999 });
}

/* One of ten targets takes ten times as long from the first second on. It must get fewer
 * requests, then only probes, so that callers notice little. With the safeguards off its
 * slots are kept full, and its latency is the service's p99.9. */
static void
test_slow_target (void **state)
{
  const SimChange slow = { KQ_SEC, 0, 1, 0, 0.1, SLOTS, SIM_WORKS };
  KqRand rand = kq_rand (13);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 0.5, 0, END);
  SimResult alone = sim_run (&c, &a, 0);
  SimResult on;
  SimResult off;
  (void)state;
  c.changes = &slow;
  c.n_changes = 1;
  on = sim_run (&c, &a, 0);
  c.row = sim_row (false);
  off = sim_run (&c, &a, 0);
  assert_true (p99 (&on) <= 1.5 * p99 (&alone));
  assert_true (p99 (&on) < p99 (&off));
  assert_true (on.work_wasted < off.work_wasted);
  sim_result_free (&alone);
  sim_result_free (&on);
  sim_result_free (&off);
  free (a.items);
}

/* One of ten targets answers every request at once with an error, so that it always has
 * free slots and attracts more than its part. It must be ejected after a few errors. */
static void
test_failing_target (void **state)
{
  const SimChange failing = { KQ_SEC, 0, 1, 0, 1, SLOTS, SIM_FAILS_AT_ONCE };
  KqRand rand = kq_rand (14);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 0.5, 0, END);
  SimResult on;
  SimResult off;
  (void)state;
  c.changes = &failing;
  c.n_changes = 1;
  on = sim_run (&c, &a, 0);
  c.row = sim_row (false);
  off = sim_run (&c, &a, 0);
  assert_true (on.groups[SIM_MEASURED].failed * 10 < off.groups[SIM_MEASURED].failed);
  assert_true (on.groups[SIM_MEASURED].failed < 50);
  sim_result_free (&on);
  sim_result_free (&off);
  free (a.items);
}

/* Requests that take 100 times as long arrive at twice the capacity. Short ones must be
 * served as before, because slots are kept free of long ones once their class is known;
 * long ones must still all be served. Without that, the long ones hold every slot and a
 * short request waits for one of them to end. */
static void
test_long_among_short (void **state)
{
  KqRand rand = kq_rand (15);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 0.45, 0, 2 * END);
  SimResult alone;
  SimResult on;
  SimResult off;
  (void)state;
  c.deadline = 60 * KQ_SEC;
  alone = sim_run (&c, &a, 0);
  add (&a, &rand, (SimArrival){ .class_id = 2002, .key = 1, .group = SIM_LONG }, 2,
       100 * MEAN);
  on = sim_run (&c, &a, 0);
  c.row.short_slots = false;
  off = sim_run (&c, &a, 0);
  print_message (
      "quick p99: alone %.0f, with long ones %.0f, without the safeguard %.0f us\n",
      p99 (&alone), p99 (&on), p99 (&off));
  assert_true (p99 (&on) <= 2 * p99 (&alone));
  assert_true (p99 (&off) > 5 * p99 (&alone));
  assert_int_equal (on.groups[SIM_LONG].good, on.groups[SIM_LONG].offered);
  sim_result_free (&alone);
  sim_result_free (&on);
  sim_result_free (&off);
  free (a.items);
}

/* Five times the capacity during the whole run. The runners must spend their time on
 * answers that are in time; the rest is refused. A first-in-first-out queue without
 * admission gives nearly every answer too late. */
static void
test_overload (void **state)
{
  KqRand rand = kq_rand (16);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 5, 0, END);
  SimResult on = sim_run (&c, &a, 0);
  SimResult off;
  (void)state;
  c.row = sim_row (false);
  off = sim_run (&c, &a, 0);
  assert_true ((double)sim_good_before (&on.groups[SIM_MEASURED], DEADLINE, END)
               >= 0.9 * CAPACITY * END / KQ_SEC);
  assert_true (p99 (&on) <= DEADLINE);
  assert_true (on.work_wasted < 0.05 * on.work_done);
  assert_true (off.groups[SIM_MEASURED].good < on.groups[SIM_MEASURED].good / 2);
  assert_true (sim_fairness (&on) > 0.98);
  sim_result_free (&on);
  sim_result_free (&off);
  free (a.items);
}

/* Batch work takes half of the cores of every machine, so that eight requests at once
 * make less progress than four. The adaptive limit must lower the number; without it more
 * requests fail. */
static void
test_batch_wave (void **state)
{
  const SimChange wave = { 6 * KQ_SEC, 0, RUNNERS, 0, 1, 4, SIM_WORKS };
  KqRand rand = kq_rand (17);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 0.8, 0, 10 * KQ_SEC);
  SimResult on;
  SimResult off;
  (void)state;
  c.slots = 8;
  c.thrash = 0.15;
  c.changes = &wave;
  c.n_changes = 1;
  on = sim_run (&c, &a, 0);
  c.row.limit = false;
  off = sim_run (&c, &a, 0);
  assert_true (good (&on) > good (&off) + 0.02);
  assert_true (good (&on) > 0.97);
  sim_result_free (&on);
  sim_result_free (&off);
  free (a.items);
}

/* The same seed gives the same run, so that a fault can be reproduced. */
static void
test_repeatable (void **state)
{
  KqRand rand = kq_rand (18);
  SimConfig c = config ();
  SimArrivals a = quick (&rand, 1.5, 0, KQ_SEC);
  SimResult x = sim_run (&c, &a, 0);
  SimResult y = sim_run (&c, &a, 0);
  (void)state;
  assert_int_equal (x.groups[SIM_MEASURED].good, y.groups[SIM_MEASURED].good);
  assert_int_equal (x.sent, y.sent);
  assert_true (p99 (&x) == p99 (&y));
  sim_result_free (&x);
  sim_result_free (&y);
  free (a.items);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst),          cmocka_unit_test (test_hot_caller),
    cmocka_unit_test (test_hot_key),        cmocka_unit_test (test_slow_target),
    cmocka_unit_test (test_failing_target), cmocka_unit_test (test_long_among_short),
    cmocka_unit_test (test_overload),       cmocka_unit_test (test_batch_wave),
    cmocka_unit_test (test_repeatable),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
