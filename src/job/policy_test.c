#include "base/rand.h"
#include "job/evict.h"
#include "job/health.h"
#include "job/history.h"
#include "job/learn_size.h"
#include "job/quota.h"
#include "job/remedy.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Tests of the decision modules by themselves, without KqJobs and network. */

static void
report_sizes (KqSizes *s, int n, int64_t cpu, int64_t memory, double slowdown)
{
  KqUsageReport u = { .slowdown = slowdown, .cpu_milli = cpu, .memory_mb = memory };
  for (int i = 0; i < n; i++)
    kq_sizes_record_report (s, 0, &u);
}

/* Declared sizes may be wrong by ten times: after enough reports the need follows what
 * was used. It grows with one report, shrinks over many, and stays within the largest
 * worker if the declared size does. */
static void
test_learned_sizes (void **state)
{
  static KqSizes s;
  KqSize declared = { 10000, 20000, 2 };
  KqSize largest = { 16000, 60000, 4 };
  KqSize need;
  (void)state;
  report_sizes (&s, 10, 1000, 2000, 1);
  need = kq_sizes_required_size (&s, 0, declared, largest);
  assert_int_equal (need.cpu_milli, 10000); /* too little evidence */
  report_sizes (&s, 300, 1000, 2000, 1);
  need = kq_sizes_required_size (&s, 0, declared, largest);
  assert_in_range (need.cpu_milli, 1000, 1250);
  assert_in_range (need.memory_mb, 2000, 2500);
  assert_int_equal (need.accelerators, 2);
  report_sizes (&s, 1, 1000, 30000, 1);
  need = kq_sizes_required_size (&s, 0, declared, largest);
  assert_int_equal (need.memory_mb, 30000);
  report_sizes (&s, 20, 1000, 2000, 1);
  need = kq_sizes_required_size (&s, 0, declared, largest);
  assert_in_range (need.memory_mb, 20000, 30000);
  report_sizes (&s, 500, 1000, 2000, 1);
  assert_in_range (kq_sizes_required_size (&s, 0, declared, largest).memory_mb, 2000,
                   2500);
  report_sizes (&s, 1, 1000, 90000, 1);
  assert_int_equal (kq_sizes_required_size (&s, 0, declared, largest).memory_mb, 60000);
}

/* Tasks that starve each other use less. If their use weren't scaled by their slowdown,
 * their size would shrink and they would be packed even closer. */
static void
test_starved_tasks_do_not_look_small (void **state)
{
  static KqSizes s;
  KqSize size = { 2000, 2000, 0 };
  (void)state;
  report_sizes (&s, 400, 1000, 2000, 2.0);
  assert_true (kq_sizes_required_size (&s, 0, size, size).cpu_milli >= 1900);
}

/* Two classes run beside the victim in random numbers, and each report gives the slowdown
 * and that mix. The class that disturbs must be told from the one that doesn't, also
 * after it has changed; a class without reports keeps the prior. */
static void
test_interference (void **state)
{
  KqInterference *f = calloc (1, sizeof *f);
  KqRand r = kq_rand (3);
  (void)state;
  for (int i = 0; i < 2000; i++)
    {
      KqMix mix = { 0 };
      double a = (double)kq_rand_below (&r, 4);
      double effect = i < 1000 ? 0.3 : 0.05;
      kq_mix_add (&mix, 1, a);
      kq_mix_add (&mix, 2, (double)kq_rand_below (&r, 4));
      kq_interference_learn (f, 0, &mix, 1,
                             1 + a * effect + 0.1 * (kq_rand_unit (&r) - 0.5),
                             i * 10 * KQ_SEC);
      if (i != 999)
        continue;
      assert_true (fabs (kq_interference_pair (f, 0, 1, 1) - 0.3) < 0.05);
      assert_true (kq_interference_pair (f, 0, 2, 1) < 0.05);
    }
  assert_true (fabs (kq_interference_pair (f, 0, 1, 1) - 0.05) < 0.04);
  assert_true (kq_interference_pair (f, 5, 6, 1) < 0.05);
  free (f);
}

/* A report is about 20 s ago; since then a task has started and another has ended. */
static void
test_history (void **state)
{
  KqHistory h = { 0 };
  KqMix mix;
  int64_t cpu;
  (void)state;
  kq_history_record_change (&h, 1, 1, 1000, 10 * KQ_SEC);
  kq_history_record_change (&h, 2, 1, 500, 30 * KQ_SEC);
  kq_history_record_change (&h, 1, -1, -1000, 35 * KQ_SEC);
  assert_true (kq_history_at (&h, 20 * KQ_SEC, &mix, &cpu));
  assert_int_equal (cpu, 1000);
  assert_int_equal (mix.n, 1);
  assert_int_equal (mix.parts[0].class_index, 1);
  for (int i = 0; i < KQ_HISTORY_MAX; i++)
    kq_history_record_change (&h, 3, 1, 1, 40 * KQ_SEC);
  assert_false (kq_history_at (&h, 20 * KQ_SEC, &mix, &cpu)); /* older than the ring */
}

/* One worker fails every task, another runs the same class well: the first is held after
 * a few distinct jobs, probed after a pause, and gets more tasks step by step. */
static void
test_bad_worker (void **state)
{
  KqFleetHealth f = { 0 };
  KqHealth bad = { 0 };
  KqHealth good = { 0 };
  uint64_t job = 0;
  int allowed = 1;
  (void)state;
  while (bad.state == KQ_HEALTH_GOOD)
    {
      assert_true (++job <= 3);
      kq_health_record_outcome (&f, &bad, 0, job, true, 50, 10, 0);
      kq_health_record_outcome (&f, &good, 0, 100 + job, false, 50, 10, 0);
    }
  assert_int_equal (good.state, KQ_HEALTH_GOOD);
  assert_int_equal (kq_health_update_task_limit (&f, &bad, 10 * KQ_SEC), 0);
  assert_int_equal (kq_health_update_task_limit (&f, &bad, 31 * KQ_SEC), 1);
  kq_health_record_outcome (&f, &bad, 0, 9, true, 50, 10, 32 * KQ_SEC);
  assert_int_equal (kq_health_update_task_limit (&f, &bad, 90 * KQ_SEC),
                    0); /* pause doubled */
  assert_int_equal (kq_health_update_task_limit (&f, &bad, 93 * KQ_SEC), 1);
  while (bad.state != KQ_HEALTH_GOOD)
    {
      assert_int_equal (kq_health_update_task_limit (&f, &bad, 94 * KQ_SEC), allowed);
      kq_health_record_outcome (&f, &bad, 0, 10, false, 50, 10, 94 * KQ_SEC);
      allowed *= 2;
    }
  assert_int_equal (f.n_held, 0);
}

/* A job that fails wherever it runs must not get workers held, and when every job fails,
 * at most the set percentage of the fleet is. */
static void
test_bad_job (void **state)
{
  KqFleetHealth f = { 0 };
  KqHealth w[20] = { { 0 } };
  int held = 0;
  (void)state;
  for (int i = 0; i < 20; i++)
    for (int k = 0; k < 5; k++)
      {
        kq_health_record_outcome (&f, &w[i], 0, 1, true, 20, 10, 0);
        kq_health_record_outcome (&f, &w[i], 0, 50 + (uint64_t)k, false, 20, 10, 0);
      }
  for (int i = 0; i < 20; i++)
    assert_int_equal (w[i].state, KQ_HEALTH_GOOD);
  for (uint64_t job = 100; job < 120; job++)
    for (int i = 0; i < 20; i++)
      kq_health_record_outcome (&f, &w[i], 1, job, true, 20, 10, 0);
  for (int i = 0; i < 20; i++)
    held += w[i].state != KQ_HEALTH_GOOD;
  assert_in_range (held, 1, 2);
}

static KqJob
running_job (uint64_t number, int64_t cpu, KqTime since)
{
  KqJob job = { .id = number, .number = number, .state = KQ_JOB_STATE_ASSIGNED };
  job.phase = KQ_JOB_PHASE_RUNNING;
  job.movable = true;
  job.spec.priority = KQ_PRIORITY_NORMAL;
  job.size = job.charged = (KqSize){ cpu, 100, 0 };
  job.assigned_at = since;
  job.throttle_percent = 100;
  return job;
}

/* Room for an urgent job on a full worker: the victim is a task with little work since
 * its checkpoint and few evictions; never a service, never a task evicted too often. */
static void
test_eviction (void **state)
{
  KqWorker w = { .capacity = { 4000, 4000, 0 }, .task_limit = 99 };
  KqJob jobs[4] = { running_job (1, 1000, 0), running_job (2, 1000, 0),
                    running_job (3, 1000, 0), running_job (4, 1000, 0) };
  KqEvictRule rule = { .priority_below = KQ_PRIORITY_URGENT, .evictions_max = 3 };
  KqSize need = { 1000, 100, 0 };
  KqEviction e;
  (void)state;
  jobs[1].checkpoint_us = 60 * KQ_SEC;
  jobs[2].evictions = 3;
  jobs[3].service = true;
  for (int i = 0; i < 4; i++)
    kq_worker_add_job (&w, &jobs[i]);
  assert_true (kq_evict_plan (&w, &need, &rule, 610 * KQ_SEC, &e));
  assert_int_equal (e.n, 1);
  assert_ptr_equal (e.victims[0], &jobs[1]);
  need.cpu_milli = 2000;
  assert_true (kq_evict_plan (&w, &need, &rule, 610 * KQ_SEC, &e));
  assert_int_equal (e.n, 2);
  need.cpu_milli = 3000;
  assert_false (kq_evict_plan (&w, &need, &rule, 610 * KQ_SEC, &e));
  rule.priority_below = KQ_PRIORITY_NORMAL;
  need.cpu_milli = 1000;
  assert_false (kq_evict_plan (&w, &need, &rule, 610 * KQ_SEC, &e));
}

static KqRemedy
choose_after_reports (KqWorker *w, KqJob *service, double slowdown,
                      const KqInterference *f, const KqPolicyRow *p, KqTime now)
{
  KqRemedy r;
  for (int i = 0; i < 3; i++)
    kq_remedy_record_slowdown (w, service, slowdown, now - KQ_SEC);
  r = kq_remedy_choose (w, f, p, now);
  if (r.kind == KQ_REMEDY_THROTTLE)
    r.job->throttle_percent = r.percent;
  if (r.kind != KQ_REMEDY_NONE)
    kq_remedy_applied (w, now);
  return r;
}

/* One of two batch tasks slows down a service: it is throttled in steps, and moved only
 * when the last step didn't help. Late reports about the time before a step don't cause
 * another one. Between the two bounds nothing is done; after CALM_TIME the throttle is
 * lifted step by step. */
static void
test_remedies (void **state)
{
  KqInterference *f = calloc (1, sizeof *f);
  KqPolicyRow p = { .throttle = true, .eviction = true, .evictions_max = 3 };
  KqWorker w = { .capacity = { 4000, 4000, 0 } };
  KqJob jobs[3]
      = { running_job (1, 1000, 0), running_job (2, 1000, 0), running_job (3, 1000, 0) };
  KqRemedy r;
  (void)state;
  for (int i = 0; i < 3; i++)
    {
      jobs[i].class_index = (uint16_t)i;
      kq_worker_add_job (&w, &jobs[i]);
    }
  jobs[0].service = true;
  for (int band = 0; band < KQ_BANDS; band++)
    f->cells[0][2][band] = (KqCell){ 0.5, 50, 0 };
  r = choose_after_reports (&w, &jobs[0], 1.5, f, &p, 100 * KQ_SEC);
  assert_ptr_equal (r.job, &jobs[2]);
  assert_int_equal (r.percent, 50);
  kq_remedy_record_slowdown (&w, &jobs[0], 1.5, 90 * KQ_SEC);
  kq_remedy_record_slowdown (&w, &jobs[0], 1.5, 95 * KQ_SEC);
  assert_int_equal (kq_remedy_choose (&w, f, &p, 110 * KQ_SEC).kind, KQ_REMEDY_NONE);
  assert_int_equal (choose_after_reports (&w, &jobs[0], 1.15, f, &p, 150 * KQ_SEC).kind,
                    KQ_REMEDY_NONE);
  jobs[0].slow_reports = 0;
  assert_int_equal (choose_after_reports (&w, &jobs[0], 1.5, f, &p, 151 * KQ_SEC).percent,
                    25);
  jobs[1].service = true; /* leaves one that may be moved */
  assert_int_equal (choose_after_reports (&w, &jobs[0], 1.5, f, &p, 180 * KQ_SEC).kind,
                    KQ_REMEDY_MOVE);
  assert_int_equal (choose_after_reports (&w, &jobs[0], 1.0, f, &p, 190 * KQ_SEC).kind,
                    KQ_REMEDY_NONE);
  assert_int_equal (choose_after_reports (&w, &jobs[0], 1.0, f, &p, 215 * KQ_SEC).percent,
                    50);
  assert_int_equal (choose_after_reports (&w, &jobs[0], 1.0, f, &p, 246 * KQ_SEC).percent,
                    100);
  free (f);
}

static size_t
add_team (KqQuota *q, const char *name, KqTeamRow row)
{
  KqName n = kq_name (kq_str (name));
  size_t i = kq_quota_find_or_add_team (q, &n);
  q->teams[i].row = row;
  return i;
}

/* The team furthest below its guarantee comes first, then teams by share over weight. The
 * share is the dominant one, so a team that uses much memory but few processors doesn't
 * look small. */
static void
test_quota_order (void **state)
{
  KqQuota q = { .fleet = { 100000, 100000, 10 } };
  size_t a = add_team (&q, "a", (KqTeamRow){ .weight = 1 });
  size_t b = add_team (&q, "b", (KqTeamRow){ .weight = 2 });
  size_t c
      = add_team (&q, "c", (KqTeamRow){ .weight = 1, .guaranteed = { 20000, 20000, 0 } });
  (void)state;
  kq_quota_charge (&q, a, (KqSize){ 10000, 1000, 0 });
  kq_quota_charge (&q, b, (KqSize){ 1000, 15000, 0 });
  kq_quota_charge (&q, c, (KqSize){ 10000, 10000, 0 });
  assert_true (kq_quota_rank (&q, c) < kq_quota_rank (&q, b));
  assert_true (kq_quota_rank (&q, b) < kq_quota_rank (&q, a));
  assert_true (kq_quota_within_guarantee (&q, c, (KqSize){ 10000, 0, 0 }));
  assert_false (kq_quota_within_guarantee (&q, c, (KqSize){ 11000, 0, 0 }));
  assert_true (kq_quota_borrows (&q, a));
  kq_quota_clear (&q);
}

#define SHARDS 8

/* Eight shards start a team's tasks under one limit and know each other's use only from
 * digests. If each took all the room that the same digests leave, their sum would exceed
 * the limit. */
static void
test_quota_over_shards (void **state)
{
  KqQuota q[SHARDS] = { { 0 } };
  KqTeamDigest t[SHARDS];
  KqShardDigest d[SHARDS] = { { 0 } };
  KqSize one = { 1000, 1000, 0 };
  int64_t most = 0;
  (void)state;
  for (uint32_t i = 0; i < SHARDS; i++)
    {
      size_t k
          = add_team (&q[i], "a", (KqTeamRow){ .weight = 1, .limit = { 100000, 0, 0 } });
      q[i].teams[k].own_wanted = (KqSize){ 1000000, 1000000, 0 };
      d[i] = (KqShardDigest){ .shard = i, .teams = &t[i], .n_teams = 1 };
    }
  for (int round = 0; round < 20; round++)
    {
      int64_t used = 0;
      for (int i = 0; i < SHARDS; i++)
        t[i] = (KqTeamDigest){ kq_name (KQ_STR ("a")), q[i].teams[0].used,
                               q[i].teams[0].own_wanted };
      for (uint32_t i = 0; i < SHARDS; i++)
        {
          kq_quota_set_others (&q[i], d, SHARDS, i);
          while (kq_quota_allows (&q[i], 0, one))
            kq_quota_charge (&q[i], 0, one);
          used += q[i].teams[0].used.cpu_milli;
        }
      most = MAX (most, used);
    }
  assert_true (most <= 100000);
  assert_true (most >= 90000); /* and the limit can be used */
  for (int i = 0; i < SHARDS; i++)
    kq_quota_clear (&q[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_learned_sizes),
    cmocka_unit_test (test_starved_tasks_do_not_look_small),
    cmocka_unit_test (test_interference),
    cmocka_unit_test (test_history),
    cmocka_unit_test (test_bad_worker),
    cmocka_unit_test (test_bad_job),
    cmocka_unit_test (test_eviction),
    cmocka_unit_test (test_remedies),
    cmocka_unit_test (test_quota_order),
    cmocka_unit_test (test_quota_over_shards),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
