#include "sched/estimates.h"

#include "base/log.h"
#include "base/rand.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define Q KQ_STR ("q")

/* Adds n samples spread evenly from `low` to `high`, in a mixed order. */
static void
add_spread (KqEstimates *e, KqStr queue, int n, double low, double high)
{
  for (int i = 0; i < n; i++)
    kq_estimates_add (e, queue, low + (high - low) * ((i * 617) % n + 0.5) / n);
}

static bool
near (double value, double wanted, double part)
{
  return value >= wanted * (1 - part) && value <= wanted * (1 + part);
}

/* Guards against objectives that follow a handful of tasks. */
static void
test_few_samples_change_nothing (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  (void)state;
  for (int i = 1; i < KQ_ESTIMATES_SAMPLES_MIN; i++)
    kq_estimates_add (e, Q, 3);
  assert_true (kq_estimates_mean (e, Q) == 1 && kq_estimates_longest (e, Q, 20) == 1);
  kq_estimates_add (e, Q, 3);
  assert_true (near (kq_estimates_mean (e, Q), 3, 0.1));
  assert_true (near (kq_estimates_longest (e, Q, 20), 3, 0.15));
  assert_true (kq_estimates_longest (e, KQ_STR ("other"), 20) == 1);
  kq_estimates_free (e);
}

/* Guards against a chain that is judged by the usual task: a step ends with its longest
 * one. */
static void
test_wide_steps_take_as_long_as_their_longest_task (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  (void)state;
  add_spread (e, Q, 1000, 0.5, 2);
  assert_true (near (kq_estimates_mean (e, Q), 1.25, 0.1));
  assert_true (near (kq_estimates_longest (e, Q, 1), 1.25, 0.1));
  assert_true (near (kq_estimates_longest (e, Q, 20), 0.5 + 1.5 * 20 / 21, 0.1));
  assert_true (near (kq_estimates_longest (e, Q, 20000), 2, 0.15));
  kq_estimates_add (e, Q, 0);
  kq_estimates_add (e, Q, -1);
  kq_estimates_add (e, Q, 0.0 / 0.0);
  kq_estimates_add (e, Q, 1e9);
  kq_estimates_add (e, Q, 1e-9);
  assert_true (near (kq_estimates_mean (e, Q), 1.25, 0.15));
  kq_estimates_free (e);
}

/* Guards against objectives that are too short after a start: the tasks that end first
 * are the shortest ones. */
static void
test_first_tasks_to_end_shorten_nothing (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  (void)state;
  add_spread (e, Q, KQ_ESTIMATES_SHORT_MIN - 1, 0.3, 0.5);
  assert_true (kq_estimates_longest (e, Q, 20) == 1);
  add_spread (e, Q, KQ_ESTIMATES_SHORT_MIN, 0.3, 0.5);
  assert_true (kq_estimates_longest (e, Q, 20) < 0.6);
  kq_estimates_free (e);
}

/* Guards against run times of an earlier program that count for ever. */
static void
test_old_samples_lose_their_weight (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  (void)state;
  add_spread (e, Q, 10000, 3.9, 4.1);
  add_spread (e, Q, 4 * KQ_ESTIMATES_SAMPLES_MAX, 0.99, 1.01);
  assert_true (near (kq_estimates_longest (e, Q, 20), 1, 0.15));
  kq_estimates_free (e);
}

/* Guards against objectives that change with every few tasks: samples that vary as ever
 * don't change the results. */
static void
test_noise_does_not_change_results (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  KqRand rand = kq_rand (7);
  double was;
  int changes = 0;
  (void)state;
  for (int i = 0; i < 1000; i++)
    kq_estimates_add (e, Q, 1.2 + kq_rand_unit (&rand));
  was = kq_estimates_longest (e, Q, 20);
  for (int i = 0; i < 5000; i++)
    {
      kq_estimates_add (e, Q, 1.2 + kq_rand_unit (&rand));
      changes += kq_estimates_longest (e, Q, 20) != was;
      was = kq_estimates_longest (e, Q, 20);
    }
  assert_in_range (changes, 0, 2);
  kq_estimates_free (e);
}

static void
count_rows (void *arg, const KqEstimatesRow *row)
{
  (void)row;
  ++*(int *)arg;
}

static void
add_queues (KqEstimates *e, int from, int to)
{
  for (int i = from; i < to; i++)
    {
      char name[64];
      snprintf (name, sizeof name, "a queue with a long name, of number %d", i);
      add_spread (e, kq_str (name), 1999, 0.04, 60);
    }
}

/* Guards against memory and a stored value that grow with the number of queues. */
static void
test_many_queues_are_bounded (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  KqBuf stored = { 0 };
  int rows = 0;
  (void)state;
  add_queues (e, 0, 2 * KQ_ESTIMATES_QUEUES_MAX);
  kq_estimates_each (e, count_rows, &rows);
  assert_int_equal (rows, KQ_ESTIMATES_QUEUES_MAX);
  assert_true (
      kq_estimates_longest (e, KQ_STR ("a queue with a long name, of number 0"), 20)
      == 1);
  kq_estimates_pack (e, &stored);
  assert_in_range (stored.len, 1000, KQ_ESTIMATES_STORED_MAX);
  assert_true (kq_estimates_unpack (e, kq_buf_str (&stored)));
  assert_true (
      kq_estimates_longest (e, KQ_STR ("a queue with a long name, of number 63"), 20)
      > 1);
  kq_buf_free (&stored);
  kq_estimates_free (e);
}

/* Guards against a new leader that learns anew what its predecessor has stored. */
static void
test_stored_results_are_the_same (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  KqEstimates *other = kq_estimates_new ();
  KqBuf stored = { 0 };
  (void)state;
  add_spread (e, Q, 500, 1.2, 2);
  assert_true (kq_estimates_pending (e));
  kq_estimates_pack (e, &stored);
  assert_true (kq_estimates_pending (e));
  kq_estimates_stored (e);
  assert_false (kq_estimates_pending (e));
  assert_true (kq_estimates_unpack (other, kq_buf_str (&stored)));
  assert_false (kq_estimates_pending (other));
  assert_true (
      near (kq_estimates_longest (other, Q, 20), kq_estimates_longest (e, Q, 20), 0.06));
  kq_buf_free (&stored);
  kq_estimates_free (other);
  kq_estimates_free (e);
}

/* Guards against a damaged stored value that stops a new leader, or counts in part. */
static void
test_damaged_value_is_ignored (void **state)
{
  KqEstimates *e = kq_estimates_new ();
  KqBuf stored = { 0 };
  int refused = 0;
  (void)state;
  add_spread (e, Q, 500, 1.2, 2);
  kq_estimates_pack (e, &stored);
  for (size_t n = 0; n < stored.len; n++)
    {
      KqEstimates *other = kq_estimates_new ();
      char was = stored.ptr[n];
      assert_false (kq_estimates_unpack (other, kq_str_n (stored.ptr, n)));
      assert_true (kq_estimates_longest (other, Q, 20) == 1);
      for (int value = 0; value < 256; value++)
        {
          stored.ptr[n] = (char)value;
          refused += !kq_estimates_unpack (other, kq_buf_str (&stored));
          assert_in_range (kq_estimates_longest (other, Q, 20) * 1000, 31, 64000);
        }
      stored.ptr[n] = was;
      kq_estimates_free (other);
    }
  assert_true (refused > 1000);
  kq_buf_free (&stored);
  kq_estimates_free (e);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_few_samples_change_nothing),
          cmocka_unit_test (test_wide_steps_take_as_long_as_their_longest_task),
          cmocka_unit_test (test_first_tasks_to_end_shorten_nothing),
          cmocka_unit_test (test_old_samples_lose_their_weight),
          cmocka_unit_test (test_noise_does_not_change_results),
          cmocka_unit_test (test_many_queues_are_bounded),
          cmocka_unit_test (test_stored_results_are_the_same),
          cmocka_unit_test (test_damaged_value_is_ignored) };
  kq_log_set_level (KQ_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
