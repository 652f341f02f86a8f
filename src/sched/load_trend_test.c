#include "base/rand.h"
#include "sched/load_trend.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define PERIOD_S 14.0

/* The slack at a load of 45% of the target that varies by half of itself. */
static double
true_slack (KqTime at)
{
  double load = 0.45 * (1 + 0.5 * sin (2 * M_PI * (double)at / KQ_SEC / PERIOD_S));
  return 1 / (load + 0.05);
}

static double
noise (KqRand *r)
{
  return (kq_rand_unit (r) - 0.5) * 0.7;
}

/* All tasks of a step report a common periodic load: six of them each half second, with
 * noise. The prediction for 0.4 s ahead, when an order takes effect, must have an error
 * smaller by a fifth than that of the last report, and smaller than that of the level
 * without a slope. */
static void
test_load_trend_predicts_the_slack (void **state)
{
  KqLoadTrend s = { 0 };
  KqRand r = kq_rand (11);
  double by_model = 0;
  double by_last = 0;
  double by_level = 0;
  (void)state;
  for (KqTime now = KQ_SEC; now < 60 * KQ_SEC; now += 83 * KQ_MS)
    {
      KqTime at = now - 250 * KQ_MS;
      KqTime ahead = now + 400 * KQ_MS;
      double report = true_slack (at) + noise (&r);
      kq_load_trend_learn (&s, report, 0.04, at);
      if (now < 5 * KQ_SEC)
        continue;
      by_model += fabs (kq_load_trend_at (&s, ahead) - true_slack (ahead));
      by_last += fabs (report - true_slack (ahead));
      by_level += fabs (kq_load_trend_at (&s, at) - true_slack (ahead));
    }
  assert_true (by_model < 0.8 * by_last);
  assert_true (by_model < by_level);
}

/* One report of a queue that has grown without bound must not be taken for the load of
 * the whole step: all filling tasks beside the step's tasks would be stopped for seconds.
 */
static void
test_one_outlier_has_a_bounded_effect (void **state)
{
  KqLoadTrend s = { 0 };
  KqTime now = KQ_SEC;
  (void)state;
  for (; now < 10 * KQ_SEC; now += 125 * KQ_MS)
    kq_load_trend_learn (&s, 2.0, 0.04, now);
  kq_load_trend_learn (&s, -20, 0.04, now);
  assert_true (kq_load_trend_at (&s, now) > 1.4);
}

static void
test_recorded_low_decays (void **state)
{
  KqLoadTrend s = { 0 };
  KqTime now = KQ_SEC;
  double low;
  (void)state;
  for (; now < 4 * KQ_SEC; now += 125 * KQ_MS)
    kq_load_trend_learn (&s, 1.2, 0.04, now);
  for (; now < 8 * KQ_SEC; now += 125 * KQ_MS)
    kq_load_trend_learn (&s, 2.4, 0.04, now);
  low = kq_load_trend_low (&s, now);
  assert_true (low < 1.9);
  assert_true (kq_load_trend_low (&s, now + 60 * KQ_SEC) > 2.2);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_load_trend_predicts_the_slack),
          cmocka_unit_test (test_one_outlier_has_a_bounded_effect),
          cmocka_unit_test (test_recorded_low_decays) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
