#include "base/rand.h"
#include "base/str.h"
#include "sched/waiting_order.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define NOW (1000 * KQ_SEC)
#define RATE 1000 /* one core: a job with work 1000 * MS takes that time */

static KqWaitingLoad
load_of (int64_t rate, KqDeferRule rule)
{
  return (KqWaitingLoad){ .now = NOW, .rate = rate, .rule = rule };
}

/* A job that takes the whole rate for ms, and is in time until due_ms from now. */
static KqWaitingJob
job (int64_t ms, int64_t due_ms)
{
  return (KqWaitingJob){ .work = ms * RATE,
                         .chain_ms = ms,
                         .due = NOW + due_ms * KQ_MS,
                         .use_end = NOW + 3 * due_ms * KQ_MS,
                         .accepted = NOW };
}

/* The burst */

#define BURST_JOBS 100
#define CORES 100
#define TICK_MS 20
/* Work in a second is 1.7 times the rate. */
#define BURST 1.7
/* Tasks take so many times their estimate: a step ends with its longest task. */
#define LENGTH_RATIO 1.5

typedef struct
{
  KqTime at;
  KqWaitingJob job;
  int64_t width_milli; /* the cpu that its tasks can use at once */
  bool done;
} Arrival;

/* Sorts jobs as the pass does: first what is in time, then by the end of the objective.
 */
static int
compare_places (const void *a, const void *b)
{
  const KqWaitingJob *x = &(*(Arrival *const *)a)->job;
  const KqWaitingJob *y = &(*(Arrival *const *)b)->job;
  KqTime kx = kq_waiting_key (x, x->place.class);
  KqTime ky = kq_waiting_key (y, y->place.class);
  if (x->place.class != y->place.class)
    return x->place.class < y->place.class ? -1 : 1;
  return kx < ky ? -1 : kx > ky;
}

static void
judge_alone (KqWaitingJob *j, KqTime now)
{
  KqTime end = now + j->chain_ms * KQ_MS;
  j->place.class = end <= j->due       ? KQ_WAITING_IN_TIME
                   : end <= j->use_end ? KQ_WAITING_DEFERRED
                                       : KQ_WAITING_NO_USE;
}

static void
judge (Arrival **waiting, size_t n, KqTime now, bool forecast)
{
  KqWaitingJob *list = kq_alloc ((n + 1) * sizeof *list);
  KqWaitingLoad load = { .now = now, .rate = (int64_t)(CORES * 1000 / LENGTH_RATIO) };
  for (size_t i = 0; i < n; i++)
    list[i] = waiting[i]->job;
  if (forecast)
    kq_waiting_order (list, n, &load);
  for (size_t i = 0; i < n; i++)
    if (forecast)
      waiting[i]->job.place = list[i].place;
    else
      judge_alone (&waiting[i]->job, now);
  free (list);
}

/* Gives the cores to the jobs in their order, each as many as it can use. */
static void
serve (Arrival **waiting, size_t n)
{
  int64_t left = CORES * 1000;
  for (size_t i = 0; i < n && left > 0; i++)
    {
      KqWaitingJob *j = &waiting[i]->job;
      int64_t use = left < waiting[i]->width_milli ? left : waiting[i]->width_milli;
      left -= use;
      j->work -= (int64_t)((double)(use * TICK_MS) / LENGTH_RATIO);
      j->chain_ms = j->work > 0 ? j->work / waiting[i]->width_milli : 0;
    }
}

/* Draws jobs of 1 to 40 tasks of one core and 1 to 4 s that come in 0.1 s steps on
 * average, at 1.7 times the rate. */
static void
draw_burst (Arrival *all, uint64_t seed)
{
  KqRand r = kq_rand (seed);
  KqTime at = NOW;
  for (int i = 0; i < BURST_JOBS; i++)
    {
      int64_t tasks = 1 + (int64_t)kq_rand_below (&r, 40);
      int64_t ms = 1000 + (int64_t)kq_rand_below (&r, 3000);
      int64_t work = tasks * ms * 1000;
      KqTime objective = (ms * 2 + 3000) * KQ_MS;
      all[i] = (Arrival){ .at = at, .width_milli = tasks * 1000 };
      all[i].job = (KqWaitingJob){ .work = work,
                                   .chain_ms = ms,
                                   .due = at + objective,
                                   .use_end = at + 3 * objective,
                                   .accepted = at };
      at += (KqTime)((double)work / (CORES * 1000) * LENGTH_RATIO / BURST * KQ_MS);
    }
}

typedef struct
{
  int in_time;
  int of_use;
  KqTime last; /* end of the last job */
} Result;

static Result
play (uint64_t seed, bool forecast)
{
  Arrival *all = kq_alloc (BURST_JOBS * sizeof *all);
  Arrival *waiting[BURST_JOBS];
  Result r = { 0 };
  int ended = 0;
  draw_burst (all, seed);
  for (KqTime now = NOW; ended < BURST_JOBS; now += TICK_MS * KQ_MS)
    {
      size_t n = 0;
      for (int i = 0; i < BURST_JOBS; i++)
        if (!all[i].done && all[i].at <= now)
          waiting[n++] = &all[i];
      judge (waiting, n, now, forecast);
      qsort (waiting, n, sizeof (void *), compare_places);
      serve (waiting, n);
      for (size_t i = 0; i < n; i++)
        if (waiting[i]->job.work <= 0)
          {
            KqTime end = now + TICK_MS * KQ_MS;
            waiting[i]->done = true;
            ended++;
            r.in_time += end <= waiting[i]->job.due;
            r.of_use += end <= waiting[i]->job.use_end;
            r.last = end;
          }
    }
  free (all);
  return r;
}

/* Guards against a burst in which all jobs end late together, each having waited for a
 * part of the others. */
static void
test_burst_leaves_many_jobs_in_time (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      Result alone = play (seed, false);
      Result forecast = play (seed, true);
      print_message (
          "seed %d: in time %d, was %d; of use %d, was %d; last %d s, was %d s\n",
          (int)seed, forecast.in_time, alone.in_time, forecast.of_use, alone.of_use,
          (int)((forecast.last - NOW) / KQ_SEC), (int)((alone.last - NOW) / KQ_SEC));
      assert_true (forecast.in_time > alone.in_time + BURST_JOBS / 10);
      assert_true (forecast.of_use >= alone.of_use - BURST_JOBS / 50);
    }
}

/* Guards against jobs deferred that could be in time as well. */
static void
test_no_job_is_deferred_without_overload (void **state)
{
  KqWaitingJob jobs[] = { job (500, 3000), job (500, 600), job (500, 1600) };
  KqWaitingLoad load = load_of (RATE, KQ_DEFER_LARGEST);
  (void)state;
  kq_waiting_order (jobs, 3, &load);
  for (int i = 0; i < 3; i++)
    assert_int_equal (jobs[i].place.class, KQ_WAITING_IN_TIME);
  assert_int_equal (jobs[0].place.jobs_ahead, 2);
  assert_int_equal (jobs[0].place.forecast_end, NOW + 1500 * KQ_MS);
  assert_int_equal (jobs[1].place.jobs_ahead, 0);
}

/* Guards against a deferral of more jobs than needed: the largest makes room for the
 * others, and by the other rule the newest does. */
static void
test_rule_says_which_job_is_deferred (void **state)
{
  KqWaitingLoad load = load_of (RATE, KQ_DEFER_LARGEST);
  (void)state;
  for (int rule = KQ_DEFER_LARGEST; rule <= KQ_DEFER_NEWEST; rule++)
    {
      KqWaitingJob jobs[] = { job (1500, 1900), job (300, 2000), job (300, 2050) };
      load.rule = (KqDeferRule)rule;
      kq_waiting_order (jobs, 3, &load);
      assert_int_equal (jobs[1].place.class, KQ_WAITING_IN_TIME);
      assert_int_equal (jobs[rule == KQ_DEFER_LARGEST ? 0 : 2].place.class,
                        KQ_WAITING_DEFERRED);
      assert_int_equal (jobs[rule == KQ_DEFER_LARGEST ? 2 : 0].place.class,
                        KQ_WAITING_IN_TIME);
    }
}

/* Guards against several jobs deferred for one that has little time left. */
static void
test_no_several_are_deferred_for_one (void **state)
{
  KqWaitingJob jobs[]
      = { job (400, 500), job (400, 900), job (400, 1300), job (1000, 1400) };
  KqWaitingLoad load = load_of (RATE, KQ_DEFER_LARGEST);
  (void)state;
  jobs[3].work = 10;
  kq_waiting_order (jobs, 4, &load);
  for (int i = 0; i < 3; i++)
    assert_int_equal (jobs[i].place.class, KQ_WAITING_IN_TIME);
  assert_int_equal (jobs[3].place.class, KQ_WAITING_DEFERRED);
}

/* Guards against a client that was refused, came back when it was told to, and is put
 * behind newcomers. */
static void
test_returned_job_is_deferred_last (void **state)
{
  (void)state;
  for (int rule = KQ_DEFER_LARGEST; rule <= KQ_DEFER_NEWEST; rule++)
    {
      KqWaitingJob jobs[] = { job (400, 500), job (400, 900), job (900, 1300) };
      KqWaitingLoad load = load_of (RATE, (KqDeferRule)rule);
      jobs[2].returned = true;
      kq_waiting_order (jobs, 3, &load);
      assert_int_equal (jobs[2].place.class, KQ_WAITING_IN_TIME);
      assert_int_equal (jobs[0].place.class + jobs[1].place.class, KQ_WAITING_DEFERRED);
    }
}

/* Guards against jobs that no deferral can save and that yet push others behind. */
static void
test_job_that_returned_too_late_defers_no_other (void **state)
{
  KqWaitingJob jobs[] = { job (400, 500), job (400, 900), job (900, 800) };
  KqWaitingLoad load = load_of (RATE, KQ_DEFER_LARGEST);
  (void)state;
  jobs[2].returned = true;
  kq_waiting_order (jobs, 3, &load);
  assert_int_equal (jobs[0].place.class, KQ_WAITING_IN_TIME);
  assert_int_equal (jobs[1].place.class, KQ_WAITING_IN_TIME);
  assert_int_equal (jobs[2].place.class, KQ_WAITING_DEFERRED);
}

/* Guards against jobs of no use any more that go before those that can be of use, and
 * against younger ones among them that go before older ones. */
static void
test_jobs_of_no_use_come_last_oldest_first (void **state)
{
  KqWaitingJob jobs[]
      = { job (500, -100), job (500, -900), job (500, 200), job (500, 600) };
  KqWaitingLoad load = load_of (RATE, KQ_DEFER_LARGEST);
  (void)state;
  jobs[0].accepted = NOW - KQ_SEC;
  jobs[1].accepted = NOW - 2 * KQ_SEC;
  jobs[2].use_end = NOW + 1100 * KQ_MS;
  kq_waiting_order (jobs, 4, &load);
  assert_int_equal (jobs[3].place.class, KQ_WAITING_IN_TIME);
  assert_int_equal (jobs[2].place.class, KQ_WAITING_DEFERRED);
  assert_int_equal (jobs[0].place.class, KQ_WAITING_NO_USE);
  assert_int_equal (jobs[1].place.class, KQ_WAITING_NO_USE);
  assert_int_equal (jobs[1].place.jobs_ahead, 2);
  assert_int_equal (jobs[0].place.jobs_ahead, 3);
}

/* Guards against a new job that takes the place of one that is nearly done. */
static void
test_nearly_done_job_is_not_deferred_for_a_new_one (void **state)
{
  KqWaitingJob jobs[] = { job (200, 300), job (1000, 1100) };
  KqWaitingLoad load = load_of (RATE, KQ_DEFER_LARGEST);
  (void)state;
  kq_waiting_order (jobs, 2, &load);
  assert_int_equal (jobs[0].place.class, KQ_WAITING_IN_TIME);
  assert_int_equal (jobs[1].place.class, KQ_WAITING_DEFERRED);
}

/* Guards against jobs that get their tasks in turns and then all end late: one that has
 * begun comes first, and is put behind only after those that haven't, whatever the rule.
 */
static void
test_begun_job_comes_first (void **state)
{
  (void)state;
  for (int rule = KQ_DEFER_LARGEST; rule <= KQ_DEFER_NEWEST; rule++)
    {
      KqWaitingJob jobs[] = { job (300, 600), job (400, 2000), job (900, 1000) };
      KqWaitingLoad load = load_of (RATE, (KqDeferRule)rule);
      jobs[2].begun = true;
      kq_waiting_order (jobs, 3, &load);
      assert_int_equal (jobs[2].place.jobs_ahead, 0);
      assert_true (jobs[2].place.ahead_of_class);
      assert_int_equal (jobs[2].place.class, KQ_WAITING_IN_TIME);
      assert_int_equal (jobs[1].place.class, KQ_WAITING_IN_TIME);
      assert_int_equal (jobs[0].place.class, KQ_WAITING_DEFERRED);
      jobs[2].begun = false;
      kq_waiting_order (jobs, 3, &load);
      assert_int_equal (jobs[0].place.jobs_ahead, 0);
    }
}

/* Guards against places that the forecast doesn't bear out, whatever the jobs. */
static void
test_places_agree_with_the_forecast (void **state)
{
  KqRand r = kq_rand (1);
  (void)state;
  for (int round = 0; round < 2000; round++)
    {
      KqWaitingJob jobs[30];
      size_t n = (size_t)kq_rand_below (&r, 30);
      KqWaitingLoad load = load_of (RATE, (KqDeferRule)kq_rand_below (&r, 2));
      uint32_t places = 0;
      load.work_ahead = (int64_t)kq_rand_below (&r, 500) * RATE;
      for (size_t i = 0; i < n; i++)
        {
          jobs[i] = job (1 + (int64_t)kq_rand_below (&r, 300),
                         (int64_t)kq_rand_below (&r, 3000) - 200);
          jobs[i].returned = kq_rand_below (&r, 8) == 0;
          jobs[i].begun = kq_rand_below (&r, 4) == 0;
          jobs[i].accepted = NOW - (KqTime)kq_rand_below (&r, KQ_SEC);
        }
      kq_waiting_order (jobs, n, &load);
      for (size_t i = 0; i < n; i++)
        {
          const KqWaitingPlace *p = &jobs[i].place;
          int64_t ahead = load.work_ahead;
          for (size_t k = 0; k < n; k++)
            if (jobs[k].place.jobs_ahead < p->jobs_ahead)
              {
                ahead += jobs[k].work;
                assert_true (jobs[k].place.class <= p->class);
              }
          assert_int_equal (p->work_ahead, ahead);
          assert_int_equal (p->forecast_end,
                            NOW + (ahead / RATE + jobs[i].chain_ms) * KQ_MS);
          if (p->class != KQ_WAITING_NO_USE)
            assert_true (p->forecast_end <= kq_waiting_key (&jobs[i], p->class));
          places |= (uint32_t)1 << p->jobs_ahead;
        }
      assert_int_equal (places, ((uint32_t)1 << n) - 1);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst_leaves_many_jobs_in_time),
    cmocka_unit_test (test_no_job_is_deferred_without_overload),
    cmocka_unit_test (test_rule_says_which_job_is_deferred),
    cmocka_unit_test (test_no_several_are_deferred_for_one),
    cmocka_unit_test (test_returned_job_is_deferred_last),
    cmocka_unit_test (test_job_that_returned_too_late_defers_no_other),
    cmocka_unit_test (test_jobs_of_no_use_come_last_oldest_first),
    cmocka_unit_test (test_nearly_done_job_is_not_deferred_for_a_new_one),
    cmocka_unit_test (test_begun_job_comes_first),
    cmocka_unit_test (test_places_agree_with_the_forecast),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
