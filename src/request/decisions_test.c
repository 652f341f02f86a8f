#include "base/rand.h"
#include "base/str.h"
#include "request/admission.h"
#include "request/fair.h"
#include "request/flight.h"
#include "request/limit.h"
#include "request/link.h"
#include "request/outlier.h"
#include "request/retry.h"
#include "request/run_times.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

/* Adds, moves and removes at random, against the plain rule: the top is the least key,
 * and among equal ones the first by order. */
static void
test_heap (void **state)
{
  enum
  {
    N = 200
  };
  static KqHeapNode nodes[N];
  KqHeap h = { 0 };
  KqRand rand = kq_rand (31);
  (void)state;
  for (int turn = 0; turn < 20000; turn++)
    {
      KqHeapNode *n = &nodes[kq_rand_below (&rand, N)];
      int64_t key = (int64_t)kq_rand_below (&rand, 50);
      const KqHeapNode *least = NULL;
      if (n->place == 0)
        kq_heap_add (&h, n, key, (uint64_t)(n - nodes), n);
      else if (key < 25)
        kq_heap_move (&h, n, key);
      else
        kq_heap_remove (&h, n);
      for (int i = 0; i < N; i++)
        if (nodes[i].place > 0
            && (least == NULL || nodes[i].key < least->key
                || (nodes[i].key == least->key && nodes[i].order < least->order)))
          least = &nodes[i];
      assert_ptr_equal (kq_heap_top (&h), least);
    }
  kq_heap_free (&h);
}

/* Two keys of one hash stay two entries. */
static void
test_map (void **state)
{
  KqMap m = { 0 };
  KqMapNode nodes[100];
  (void)state;
  assert_null (kq_map_find (&m, 1));
  for (int i = 0; i < 100; i++)
    kq_map_add (&m, &nodes[i], (uint64_t)i / 2, &nodes[i]);
  for (int i = 0; i < 100; i += 2)
    {
      KqMapNode *n = kq_map_find (&m, (uint64_t)i / 2);
      assert_true (n == &nodes[i] || n == &nodes[i + 1]);
      n = kq_map_more (n);
      assert_true (n == &nodes[i] || n == &nodes[i + 1]);
      assert_null (kq_map_more (n));
      kq_map_remove (&m, &nodes[i]);
      assert_ptr_equal (kq_map_find (&m, (uint64_t)i / 2), &nodes[i + 1]);
    }
  assert_int_equal (m.n, 50);
  for (int i = 0; i < 50; i++)
    kq_map_remove (&m, kq_map_any (&m));
  assert_null (kq_map_any (&m));
  kq_map_add (&m, &nodes[0], 0, &nodes[0]);
  assert_ptr_equal (kq_map_any (&m), &nodes[0]);
  kq_map_free (&m);
}

typedef struct
{
  KqFair fair;
  KqFairItem items[1000];
  int n;
  int served[10];
} FairFixture;

static void
push (FairFixture *f, uint64_t caller, int64_t weight, uint64_t key, int64_t cost)
{
  KqFairItem *item = &f->items[f->n++];
  *item = (KqFairItem){ .cost = cost };
  kq_fair_push (&f->fair, item, caller, weight, key, f->n);
  item->owner = (void *)(uintptr_t)caller;
}

static uint64_t
take (FairFixture *f)
{
  KqFairItem *item = kq_fair_first (&f->fair);
  uint64_t caller = (uint64_t)(uintptr_t)item->owner;
  kq_fair_take (&f->fair, item);
  f->served[caller]++;
  return caller;
}

static void
empty (FairFixture *f)
{
  while (kq_fair_first (&f->fair) != NULL)
    take (f);
  kq_fair_free (&f->fair);
}

/* Callers 1 and 2 of weight 100 and 300 both have a backlog: they are served 1 to 3. */
static void
test_fair_weights (void **state)
{
  static FairFixture f;
  (void)state;
  f = (FairFixture){ 0 };
  kq_fair_init (&f.fair);
  for (int i = 0; i < 200; i++)
    {
      push (&f, 1, 100, 1, 1000);
      push (&f, 2, 300, 1, 1000);
    }
  for (int i = 0; i < 200; i++)
    take (&f);
  assert_in_range (f.served[1], 48, 52);
  assert_in_range (f.served[2], 148, 152);
  empty (&f);
}

/* A caller has five hundred requests waiting when another sends one. The newcomer is
 * served next, or after what a flow may be ahead of its share; not after the backlog. */
static void
test_fair_newcomer (void **state)
{
  static FairFixture f;
  (void)state;
  for (int burst = 0; burst <= 8; burst += 4)
    {
      int before = 0;
      f = (FairFixture){ 0 };
      kq_fair_init (&f.fair);
      f.fair.burst = burst * 1000;
      for (int i = 0; i < 500; i++)
        push (&f, 1, 100, 1, 1000);
      for (int i = 0; i < 50; i++)
        take (&f);
      push (&f, 2, 100, 1, 1000);
      while (take (&f) != 2)
        before++;
      assert_true (before <= 1);
      empty (&f);
    }
}

/* Within the burst, requests leave in order of arrival, whoever sent them. */
static void
test_fair_order_of_arrival (void **state)
{
  static FairFixture f;
  KqRand rand = kq_rand (32);
  (void)state;
  f = (FairFixture){ 0 };
  kq_fair_init (&f.fair);
  f.fair.burst = 100 * 1000;
  for (int i = 0; i < 100; i++)
    push (&f, 1 + kq_rand_below (&rand, 5), 100, kq_rand_below (&rand, 5), 1000);
  for (int i = 0; i < 100; i++)
    {
      assert_ptr_equal (kq_fair_first (&f.fair), &f.items[i]);
      take (&f);
    }
  empty (&f);
}

/* A caller whose request took a hundred times its forecast pays for it also when it has
 * nothing waiting meanwhile: others that wait are served first, up to what it owes. */
static void
test_fair_debt_is_kept (void **state)
{
  static FairFixture f;
  (void)state;
  f = (FairFixture){ 0 };
  kq_fair_init (&f.fair);
  f.fair.burst = 1000;
  for (int i = 0; i < 50; i++)
    push (&f, 2, 100, 1, 1000);
  push (&f, 1, 100, 1, 1000);
  while (take (&f) != 1)
    continue;
  for (int i = 0; i < 20; i++)
    kq_fair_correct (&f.fair, 1, 1000);
  f.served[2] = 0;
  push (&f, 1, 100, 1, 1000);
  while (take (&f) != 1)
    continue;
  assert_in_range (f.served[2], 15, 25);
  empty (&f);
}

/* Random pushes, takes and drops keep the sums right. */
static void
test_fair_random (void **state)
{
  static FairFixture f;
  KqRand rand = kq_rand (33);
  (void)state;
  f = (FairFixture){ 0 };
  kq_fair_init (&f.fair);
  f.fair.burst = 3000;
  while (f.n < 1000)
    {
      KqFairItem *item = f.n > 0 ? &f.items[kq_rand_below (&rand, (uint64_t)f.n)] : NULL;
      size_t queued = 0;
      int64_t work = 0;
      if (kq_rand_below (&rand, 2) == 0)
        push (&f, 1 + kq_rand_below (&rand, 9), 1 + (int64_t)kq_rand_below (&rand, 999),
              kq_rand_below (&rand, 4), 1 + (int64_t)kq_rand_below (&rand, 5000));
      else if (kq_rand_below (&rand, 2) == 0 && kq_fair_first (&f.fair) != NULL)
        take (&f);
      else if (item != NULL && item->leaf != NULL)
        kq_fair_drop (&f.fair, item);
      for (int i = 0; i < f.n; i++)
        if (f.items[i].leaf != NULL)
          {
            queued++;
            work += f.items[i].cost;
          }
      assert_int_equal (f.fair.queued, queued);
      assert_int_equal (f.fair.work, work);
    }
  empty (&f);
}

/* A service of quick requests and one class that takes 100 times as long. */
static void
test_run_times (void **state)
{
  KqRunTimes r;
  KqRand rand = kq_rand (34);
  KqRunForecast quick;
  KqRunForecast slow;
  (void)state;
  kq_run_times_init (&r);
  assert_true (kq_run_times_overdue (&r) == KQ_TIME_NEVER);
  for (int i = 1; i <= 2000; i++)
    {
      kq_run_times_add (&r, 1000, (KqTime)kq_rand_exp (&rand, 10000), i * KQ_MS);
      if (i % 100 == 0)
        kq_run_times_add (&r, 2000, (KqTime)kq_rand_exp (&rand, 1000000), i * KQ_MS);
    }
  quick = kq_run_times_get (&r, 1000);
  slow = kq_run_times_get (&r, 2000);
  assert_in_range (quick.mean, 7000, 13000);
  assert_in_range (quick.base, 8500, 11500);
  assert_in_range (quick.high, 40000, 75000);
  assert_in_range (slow.mean, 500000, 1500000);
  assert_true (slow.is_long && !quick.is_long);
  assert_false (kq_run_times_get (&r, 4711).is_long);
  assert_in_range (kq_run_times_median (&r), 5000, 9500);
  for (uint64_t id = 1; id < 100000; id += 7)
    kq_run_times_add (&r, id << 7, 10000, 3 * KQ_SEC);
  assert_in_range (kq_run_times_get (&r, 0).mean, 9000, 11000);
}

/* Exponential times of a healthy runner seldom cut its limit; times that grow with the
 * number of requests bring it down to where they don't, and it comes back afterwards. */
static void
test_limit (void **state)
{
  KqLimit l;
  KqRand rand = kq_rand (35);
  int below = 0;
  (void)state;
  kq_limit_init (&l, 8);
  for (int i = 0; i < 32 * 10000; i++)
    {
      kq_limit_answer (&l, kq_rand_exp (&rand, 1), l.limit);
      below += i % 32 == 31 && l.limit < 8;
    }
  assert_true (below < 300);
  for (int i = 0; i < 32 * 20; i++)
    kq_limit_answer (&l, kq_rand_exp (&rand, l.limit > 3 ? l.limit : 1), l.limit);
  assert_in_range (l.limit, 2, 5);
  for (int i = 0; i < 32 * 10; i++)
    kq_limit_answer (&l, kq_rand_exp (&rand, 1), l.limit);
  assert_in_range (l.limit, 7, 8);
  kq_limit_set_most (&l, 4);
  assert_int_equal (l.limit, 4);
}

static void
join (KqOutlierFleet *f, KqOutlier *o, int n)
{
  *f = (KqOutlierFleet){ 0 };
  for (int i = 0; i < n; i++)
    {
      kq_outlier_init (&o[i]);
      kq_outlier_join (f, &o[i]);
    }
}

/* Three silent requests, or seven errors, take one runner of ten out; probes come after
 * one second and then after twice the time; three good ones bring it back in steps. */
static void
test_outlier_out_and_back (void **state)
{
  KqOutlierFleet f;
  KqOutlier o[10];
  KqTime now = KQ_SEC;
  (void)state;
  join (&f, o, 10);
  for (int i = 0; i < 3; i++)
    kq_outlier_trial (&o[0], &f, KQ_TRIAL_LOST, 1, 8, now);
  assert_int_equal (o[0].state, KQ_OUTLIER_OUT);
  assert_int_equal (kq_outlier_allowed (&o[0], &f, 8), 0);
  assert_true (o[0].probe_at == now + KQ_SEC);
  kq_outlier_trial (&o[0], &f, KQ_TRIAL_LOST, 1, 8, now);
  assert_true (o[0].probe_at == now + KQ_SEC);
  o[0].probing = true;
  now = o[0].probe_at;
  kq_outlier_trial (&o[0], &f, KQ_TRIAL_LOST, 1, 8, now);
  assert_true (o[0].probe_at == now + 2 * KQ_SEC);
  for (int i = 0; i < 3; i++)
    kq_outlier_trial (&o[0], &f, KQ_TRIAL_GOOD, 1, 8, now);
  for (int slots = 1; slots <= 8; slots *= 2)
    {
      assert_int_equal (kq_outlier_allowed (&o[0], &f, 8), slots);
      for (int i = 0; i < 8; i++)
        kq_outlier_trial (&o[0], &f, KQ_TRIAL_GOOD, 1, 8, now);
    }
  assert_int_equal (o[0].state, KQ_OUTLIER_NORMAL);
  for (int i = 0; i < 7; i++)
    kq_outlier_trial (&o[1], &f, KQ_TRIAL_ERROR, 1, 8, now);
  assert_int_equal (o[1].state, KQ_OUTLIER_OUT);
  assert_int_equal (f.out, 1);
}

/* Four of ten targets are killed together. Each refused connection takes its runner out
 * at once, beyond the bound for slow or failing ones, and the probe that finds it back
 * brings it in again, or its worker's report. */
static void
test_refused_connections_go_beyond_the_bound (void **state)
{
  KqOutlierFleet f = { 0 };
  KqOutlier o[10];
  KqTime now = KQ_SEC;
  (void)state;
  join (&f, o, 10);
  for (int i = 0; i < 4; i++)
    {
      kq_outlier_trial (&o[i], &f, KQ_TRIAL_REFUSED, 1, 8, now);
      assert_int_equal (kq_outlier_allowed (&o[i], &f, 8), 0);
    }
  assert_int_equal (f.out, 0);
  for (int i = 0; i < 3; i++)
    {
      now = o[0].probe_at;
      o[0].probing = true;
      kq_outlier_trial (&o[0], &f, KQ_TRIAL_GOOD, 1, 8, now);
    }
  assert_int_equal (kq_outlier_allowed (&o[0], &f, 8), 1);
  assert_int_equal (f.unreachable, 3);
  kq_outlier_seen (&o[1], &f);
  assert_int_equal (kq_outlier_allowed (&o[1], &f, 8), 1);
  assert_int_equal (f.unreachable, 2);
}

/* Only a tenth may be out: the second bad one still gets one request at a time. A
 * service that fails everywhere loses no runner, and the only runner is never out. */
static void
test_outlier_bounds (void **state)
{
  KqOutlierFleet f;
  KqOutlier o[10];
  (void)state;
  join (&f, o, 10);
  for (int i = 0; i < 10; i++)
    {
      kq_outlier_trial (&o[0], &f, KQ_TRIAL_ERROR, 1, 8, KQ_SEC);
      kq_outlier_trial (&o[1], &f, KQ_TRIAL_ERROR, 1, 8, KQ_SEC);
    }
  assert_int_equal (f.out, 1);
  assert_int_equal (kq_outlier_allowed (&o[0], &f, 8) + kq_outlier_allowed (&o[1], &f, 8),
                    1);
  join (&f, o, 10);
  for (int i = 0; i < 1000; i++)
    kq_outlier_trial (&o[i % 10], &f, KQ_TRIAL_ERROR, 1, 8, KQ_SEC);
  assert_int_equal (f.out, 0);
  assert_int_equal (kq_outlier_allowed (&o[3], &f, 8), 8);
  join (&f, o, 1);
  for (int i = 0; i < 100; i++)
    kq_outlier_trial (&o[0], &f, KQ_TRIAL_LOST, 9, 8, KQ_SEC);
  assert_int_equal (kq_outlier_allowed (&o[0], &f, 8), 8);
}

/* Twice as slow: half the slots. Ten times as slow: out. Healthy exponential times: all
 * slots, nearly always. */
static void
test_outlier_slow (void **state)
{
  KqOutlierFleet f;
  KqOutlier o[10];
  KqRand rand = kq_rand (36);
  int less = 0;
  (void)state;
  join (&f, o, 10);
  for (int i = 0; i < 500; i++)
    kq_outlier_trial (&o[0], &f, KQ_TRIAL_GOOD, 2, 8, KQ_SEC);
  assert_int_equal (kq_outlier_allowed (&o[0], &f, 8), 4);
  for (int i = 0; i < 200; i++)
    kq_outlier_trial (&o[1], &f, KQ_TRIAL_GOOD, 10, 8, KQ_SEC);
  assert_int_equal (o[1].state, KQ_OUTLIER_OUT);
  for (int i = 0; i < 100000; i++)
    {
      kq_outlier_trial (&o[2], &f, KQ_TRIAL_GOOD, kq_rand_exp (&rand, 1), 8, KQ_SEC);
      less += kq_outlier_allowed (&o[2], &f, 8) < 8;
    }
  assert_true (less < 100);
}

/* The forecast is what is queued over the slots; a caller's is at most its own backlog
 * over its share. */
static void
test_admission (void **state)
{
  KqRunForecast run = { .mean = 10 * KQ_MS, .high = 40 * KQ_MS };
  KqAdmissionView v = { .queued = 100,
                        .queue_max = 200,
                        .work = 100 * 10 * KQ_MS,
                        .slots = 10,
                        .fair = true,
                        .caller_queued = 10,
                        .caller_percent = 50,
                        .caller_work = 10 * 10 * KQ_MS,
                        .key_work = 10 * 10 * KQ_MS,
                        .active_keys = 1,
                        .caller_weight = 100,
                        .active_weight = 200 };
  (void)state;
  assert_true (kq_admission_wait (&v, &run) == 23 * KQ_MS);
  assert_int_equal (kq_admission_judge (&v, &run, 63 * KQ_MS, true), KQ_OK);
  assert_int_equal (kq_admission_judge (&v, &run, 62 * KQ_MS, true),
                    KQ_ERR_DEADLINE_FORECAST);
  assert_int_equal (kq_admission_judge (&v, &run, 1, false), KQ_OK);
  v.fair = false;
  assert_true (kq_admission_wait (&v, &run) == 101 * KQ_MS);
  v.fair = true;
  v.caller_queued = 100;
  assert_int_equal (kq_admission_judge (&v, &run, KQ_SEC, true), KQ_ERR_CALLER_SHARE);
  v.caller_queued = 60;
  v.key_queued = 50;
  assert_int_equal (kq_admission_judge (&v, &run, KQ_SEC, true), KQ_ERR_CALLER_SHARE);
  v.queued = 200;
  assert_int_equal (kq_admission_judge (&v, &run, KQ_SEC, true), KQ_ERR_QUEUE_FULL);
  v.room = true;
  assert_true (kq_admission_wait (&v, &run) == 0);
}

/* A thousand callers refused at one moment come back spread: in no tenth of a second more
 * than half of what the runners can take in it, until the bound; then evenly. */
static void
test_comeback_spreads (void **state)
{
  KqComeback c = { 0 };
  KqRand rand = kq_rand (37);
  int buckets[101] = { 0 };
  (void)state;
  for (int i = 0; i < 1000; i++)
    {
      KqTime at = kq_comeback_next (&c, 200 * KQ_MS, KQ_MS, KQ_SEC, &rand);
      assert_true (at >= 50 * KQ_MS && at <= 10 * KQ_SEC);
      buckets[at / (100 * KQ_MS)]++;
    }
  for (int i = 0; i < 101; i++)
    assert_true (buckets[i] <= 51);
  for (int i = 0; i < 10000; i++)
    kq_comeback_next (&c, 200 * KQ_MS, KQ_MS, KQ_SEC, &rand);
  for (int i = 0; i < 1000; i++)
    assert_in_range (kq_comeback_next (&c, 0, KQ_MS, KQ_SEC, &rand), 5 * KQ_SEC,
                     10 * KQ_SEC);
}

/* Everything fails for a minute: retries stay at a tenth of the first tries, plus one a
 * second, and a quiet hour before gives no licence for more. */
static void
test_retry_budget (void **state)
{
  KqRetryBudget b = { 0 };
  int retries = 0;
  KqTime now = KQ_SEC;
  (void)state;
  for (int i = 0; i < 60 * 100; i++)
    {
      kq_retry_first (&b, 10, now);
      retries += kq_retry_take (&b, now);
      retries += kq_retry_take (&b, now);
      now += 10 * KQ_MS;
    }
  assert_in_range (retries, 570, 670);
  for (int i = 0; i < 100000; i++)
    kq_retry_first (&b, 10, now);
  now += 3600 * KQ_SEC;
  for (retries = 0; kq_retry_take (&b, now); retries++)
    continue;
  assert_in_range (retries, 1, 3);
}

static void
test_backoff (void **state)
{
  KqRand rand = kq_rand (38);
  bool differ = false;
  (void)state;
  for (int n = 1; n < 12; n++)
    {
      KqTime most = n < 7 ? (20 * KQ_MS) << (n - 1) : KQ_SEC;
      KqTime first = kq_retry_backoff (&rand, n);
      if (most > KQ_SEC)
        most = KQ_SEC;
      for (int i = 0; i < 100; i++)
        {
          KqTime t = kq_retry_backoff (&rand, n);
          assert_in_range (t, most / 2, most);
          differ = differ || t != first;
        }
    }
  assert_true (differ);
}

/* Whatever is asked for, no second carries more than the budget and the bucket. */
static void
test_link (void **state)
{
  KqLinkBudget b;
  KqRand rand = kq_rand (39);
  KqTime now = KQ_SEC;
  int64_t sent = 0;
  (void)state;
  kq_link_init (&b, 100000);
  for (int i = 0; i < 100000; i++)
    {
      int64_t bytes = 1 + (int64_t)kq_rand_below (&rand, 5000);
      if (kq_link_allows (&b, bytes, now))
        {
          kq_link_spend (&b, bytes, now);
          sent += bytes;
        }
      else
        assert_true (kq_link_wait (&b, bytes, now) > 0);
      now += 100;
    }
  assert_in_range (sent, 1050000, 1100000);
  assert_int_equal (b.spent, sent);
  kq_link_spend (&b, 500000, now);
  now += 4 * KQ_SEC;
  assert_false (kq_link_allows (&b, 1, now));
  now += kq_link_wait (&b, 1, now);
  assert_true (kq_link_allows (&b, 1, now));
  kq_link_init (&b, 0);
  assert_false (kq_link_allows (&b, 1, now));
}

/* Callers get 503 "no runner" for requests that a stopping owner has handed back.
 * The owner gives its queue back; its successor has yet to take the shard and to list the
 * runners, so the next try finds no owner, and would be refused for good. What was handed
 * back looks again, for two seconds; nothing else does. */
static void
test_handed_back_waits_for_successor (void **state)
{
  KqTime now = 100 * KQ_SEC;
  KqTime at = now;
  int tries = 1;
  (void)state;
  assert_int_equal (kq_retry_for_successor (0, 1, now), 0);
  for (KqTime next = now; next != 0; next = kq_retry_for_successor (now, tries, at))
    {
      assert_true (next - at <= 250 * KQ_MS);
      at = next;
      tries++;
    }
  assert_true (at - now >= 1800 * KQ_MS && at - now <= 2200 * KQ_MS);
  assert_true (tries < KQ_TRY_IDS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_heap),
    cmocka_unit_test (test_map),
    cmocka_unit_test (test_fair_weights),
    cmocka_unit_test (test_fair_newcomer),
    cmocka_unit_test (test_fair_order_of_arrival),
    cmocka_unit_test (test_fair_debt_is_kept),
    cmocka_unit_test (test_fair_random),
    cmocka_unit_test (test_run_times),
    cmocka_unit_test (test_limit),
    cmocka_unit_test (test_outlier_out_and_back),
    cmocka_unit_test (test_refused_connections_go_beyond_the_bound),
    cmocka_unit_test (test_outlier_bounds),
    cmocka_unit_test (test_outlier_slow),
    cmocka_unit_test (test_admission),
    cmocka_unit_test (test_comeback_spreads),
    cmocka_unit_test (test_retry_budget),
    cmocka_unit_test (test_handed_back_waits_for_successor),
    cmocka_unit_test (test_backoff),
    cmocka_unit_test (test_link),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
