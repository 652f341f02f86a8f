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

/* Random additions, moves and removals, checked against a scan of all nodes: the top has
 * the lowest key, and among equal keys the lowest order. */
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
      if (n->index == 0)
        kq_heap_add (&h, n, key, (uint64_t)(n - nodes), n);
      else if (key < 25)
        kq_heap_set_key (&h, n, key);
      else
        kq_heap_remove (&h, n);
      for (int i = 0; i < N; i++)
        if (nodes[i].index > 0
            && (least == NULL || nodes[i].key < least->key
                || (nodes[i].key == least->key && nodes[i].order < least->order)))
          least = &nodes[i];
      assert_ptr_equal (kq_heap_top (&h), least);
    }
  kq_heap_free (&h);
}

/* Two entries with the same hash stay separate. */
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
      n = kq_map_next (n);
      assert_true (n == &nodes[i] || n == &nodes[i + 1]);
      assert_null (kq_map_next (n));
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
  KqFairQueue fair;
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
  item->user_data = (void *)(uintptr_t)caller;
}

static uint64_t
take (FairFixture *f)
{
  KqFairItem *item = kq_fair_first (&f->fair);
  uint64_t caller = (uint64_t)(uintptr_t)item->user_data;
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

/* Two callers with a backlog and weights 100 and 300 are served in a ratio of 1 to 3. */
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

/* A caller has 500 requests queued when another sends its first one. That one must be
 * served next or after one other request, not after the backlog, with any burst. */
static void
test_fair_new_caller (void **state)
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

/* Within the burst, requests leave in order of arrival, whatever their caller and key. */
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

/* A caller is charged for a request that took much longer than its forecast even if it
 * has been idle since: the others are served first, up to the difference. */
static void
test_fair_idle_caller_is_charged (void **state)
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

/* The totals stay right through random additions, takes and removals. */
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
        kq_fair_remove (&f.fair, item);
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

/* A service with short requests and one class that takes 100 times as long. */
static void
test_run_times (void **state)
{
  KqRunTimes r;
  KqRand rand = kq_rand (34);
  KqRunForecast quick;
  KqRunForecast slow;
  (void)state;
  kq_run_times_init (&r);
  assert_true (kq_run_times_long_after (&r) == KQ_TIME_NEVER);
  for (int i = 1; i <= 2000; i++)
    {
      kq_run_times_add (&r, 1000, (KqTime)kq_rand_exp (&rand, 10000), i * KQ_MS);
      if (i % 100 == 0)
        kq_run_times_add (&r, 2000, (KqTime)kq_rand_exp (&rand, 1000000), i * KQ_MS);
    }
  quick = kq_run_times_forecast (&r, 1000);
  slow = kq_run_times_forecast (&r, 2000);
  assert_in_range (quick.mean, 7000, 13000);
  assert_in_range (quick.baseline, 8500, 11500);
  assert_in_range (quick.high, 40000, 75000);
  assert_in_range (slow.mean, 500000, 1500000);
  assert_true (slow.is_long && !quick.is_long);
  assert_false (kq_run_times_forecast (&r, 4711).is_long);
  assert_in_range (kq_run_times_median (&r), 5000, 9500);
  for (uint64_t id = 1; id < 100000; id += 7)
    kq_run_times_add (&r, id << 7, 10000, 3 * KQ_SEC);
  assert_in_range (kq_run_times_forecast (&r, 0).mean, 9000, 11000);
}

/* A healthy runner's exponential run times rarely lower its limit. Run times that grow
 * with its load lower it to where they no longer grow, and it rises again afterwards. */
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
      kq_limit_add_answer (&l, kq_rand_exp (&rand, 1), l.limit);
      below += i % 32 == 31 && l.limit < 8;
    }
  assert_true (below < 300);
  for (int i = 0; i < 32 * 20; i++)
    kq_limit_add_answer (&l, kq_rand_exp (&rand, l.limit > 3 ? l.limit : 1), l.limit);
  assert_in_range (l.limit, 2, 5);
  for (int i = 0; i < 32 * 10; i++)
    kq_limit_add_answer (&l, kq_rand_exp (&rand, 1), l.limit);
  assert_in_range (l.limit, 7, 8);
  kq_limit_set_slots (&l, 4);
  assert_int_equal (l.limit, 4);
}

static void
join (KqOutlierPeers *p, KqOutlier *o, int n)
{
  *p = (KqOutlierPeers){ 0 };
  for (int i = 0; i < n; i++)
    {
      kq_outlier_init (&o[i]);
      kq_outlier_join (p, &o[i]);
    }
}

/* Three silent requests, or seven errors, eject one runner of ten. It is probed after one
 * second, then after twice the time; three good probes let it return in steps. */
static void
test_outlier_out_and_back (void **state)
{
  KqOutlierPeers p;
  KqOutlier o[10];
  KqTime now = KQ_SEC;
  (void)state;
  join (&p, o, 10);
  for (int i = 0; i < 3; i++)
    kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_LOST, 1, 8, now);
  assert_int_equal (o[0].state, KQ_OUTLIER_EJECTED);
  assert_int_equal (kq_outlier_allowed (&o[0], &p, 8), 0);
  assert_true (o[0].probe_at == now + KQ_SEC);
  kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_LOST, 1, 8, now);
  assert_true (o[0].probe_at == now + KQ_SEC);
  o[0].probing = true;
  now = o[0].probe_at;
  kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_LOST, 1, 8, now);
  assert_true (o[0].probe_at == now + 2 * KQ_SEC);
  for (int i = 0; i < 3; i++)
    kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_GOOD, 1, 8, now);
  for (int slots = 1; slots <= 8; slots *= 2)
    {
      assert_int_equal (kq_outlier_allowed (&o[0], &p, 8), slots);
      for (int i = 0; i < 8; i++)
        kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_GOOD, 1, 8, now);
    }
  assert_int_equal (o[0].state, KQ_OUTLIER_NORMAL);
  for (int i = 0; i < 7; i++)
    kq_outlier_add_sample (&o[1], &p, KQ_SAMPLE_ERROR, 1, 8, now);
  assert_int_equal (o[1].state, KQ_OUTLIER_EJECTED);
  assert_int_equal (p.ejected, 1);
}

/* Four of ten targets are killed: each refused connection ejects its runner at once,
 * beyond the bound for slow or failing ones. Good probes or a worker's report undo it. */
static void
test_refused_connections_go_beyond_the_bound (void **state)
{
  KqOutlierPeers p = { 0 };
  KqOutlier o[10];
  KqTime now = KQ_SEC;
  (void)state;
  join (&p, o, 10);
  for (int i = 0; i < 4; i++)
    {
      kq_outlier_add_sample (&o[i], &p, KQ_SAMPLE_REFUSED, 1, 8, now);
      assert_int_equal (kq_outlier_allowed (&o[i], &p, 8), 0);
    }
  assert_int_equal (p.ejected, 0);
  for (int i = 0; i < 3; i++)
    {
      now = o[0].probe_at;
      o[0].probing = true;
      kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_GOOD, 1, 8, now);
    }
  assert_int_equal (kq_outlier_allowed (&o[0], &p, 8), 1);
  assert_int_equal (p.unreachable, 3);
  kq_outlier_reported (&o[1], &p);
  assert_int_equal (kq_outlier_allowed (&o[1], &p, 8), 1);
  assert_int_equal (p.unreachable, 2);
}

/* At most a tenth is ejected: a second bad runner still gets one request at a time. None
 * is ejected if the service fails on all, nor the only runner of a group. */
static void
test_outlier_bounds (void **state)
{
  KqOutlierPeers p;
  KqOutlier o[10];
  (void)state;
  join (&p, o, 10);
  for (int i = 0; i < 10; i++)
    {
      kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_ERROR, 1, 8, KQ_SEC);
      kq_outlier_add_sample (&o[1], &p, KQ_SAMPLE_ERROR, 1, 8, KQ_SEC);
    }
  assert_int_equal (p.ejected, 1);
  assert_int_equal (kq_outlier_allowed (&o[0], &p, 8) + kq_outlier_allowed (&o[1], &p, 8),
                    1);
  join (&p, o, 10);
  for (int i = 0; i < 1000; i++)
    kq_outlier_add_sample (&o[i % 10], &p, KQ_SAMPLE_ERROR, 1, 8, KQ_SEC);
  assert_int_equal (p.ejected, 0);
  assert_int_equal (kq_outlier_allowed (&o[3], &p, 8), 8);
  join (&p, o, 1);
  for (int i = 0; i < 100; i++)
    kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_LOST, 9, 8, KQ_SEC);
  assert_int_equal (kq_outlier_allowed (&o[0], &p, 8), 8);
}

/* A runner that is twice as slow gets half its slots; ten times as slow, it is ejected. A
 * healthy one with exponential run times nearly always gets all. */
static void
test_outlier_slow (void **state)
{
  KqOutlierPeers p;
  KqOutlier o[10];
  KqRand rand = kq_rand (36);
  int less = 0;
  (void)state;
  join (&p, o, 10);
  for (int i = 0; i < 500; i++)
    kq_outlier_add_sample (&o[0], &p, KQ_SAMPLE_GOOD, 2, 8, KQ_SEC);
  assert_int_equal (kq_outlier_allowed (&o[0], &p, 8), 4);
  for (int i = 0; i < 200; i++)
    kq_outlier_add_sample (&o[1], &p, KQ_SAMPLE_GOOD, 10, 8, KQ_SEC);
  assert_int_equal (o[1].state, KQ_OUTLIER_EJECTED);
  for (int i = 0; i < 100000; i++)
    {
      kq_outlier_add_sample (&o[2], &p, KQ_SAMPLE_GOOD, kq_rand_exp (&rand, 1), 8,
                             KQ_SEC);
      less += kq_outlier_allowed (&o[2], &p, 8) < 8;
    }
  assert_true (less < 100);
}

/* The forecast is the queued work over the slots; a caller's is at most its own backlog
 * over its share. Also the bounds for the queue, the caller and the key. */
static void
test_admission (void **state)
{
  KqRunForecast run = { .mean = 10 * KQ_MS, .high = 40 * KQ_MS };
  KqAdmissionInput in = { .queued = 100,
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
  assert_true (kq_admission_wait (&in, &run) == 23 * KQ_MS);
  assert_int_equal (kq_admission_decide (&in, &run, 63 * KQ_MS, true), KQ_OK);
  assert_int_equal (kq_admission_decide (&in, &run, 62 * KQ_MS, true),
                    KQ_ERR_DEADLINE_FORECAST);
  assert_int_equal (kq_admission_decide (&in, &run, 1, false), KQ_OK);
  in.fair = false;
  assert_true (kq_admission_wait (&in, &run) == 101 * KQ_MS);
  in.fair = true;
  in.caller_queued = 100;
  assert_int_equal (kq_admission_decide (&in, &run, KQ_SEC, true), KQ_ERR_CALLER_SHARE);
  in.caller_queued = 60;
  in.key_queued = 50;
  assert_int_equal (kq_admission_decide (&in, &run, KQ_SEC, true), KQ_ERR_CALLER_SHARE);
  in.queued = 200;
  assert_int_equal (kq_admission_decide (&in, &run, KQ_SEC, true), KQ_ERR_QUEUE_FULL);
  in.slot_free = true;
  assert_true (kq_admission_wait (&in, &run) == 0);
}

/* A thousand callers are refused at the same time. Their advised retries are spread: in
 * no tenth of a second more than half of what the runners can serve in it, up to the
 * maximum wait; beyond that, evenly over its second half. */
static void
test_retry_after_spreads (void **state)
{
  KqRetryAfter r = { 0 };
  KqRand rand = kq_rand (37);
  int buckets[101] = { 0 };
  (void)state;
  for (int i = 0; i < 1000; i++)
    {
      KqTime at = kq_retry_after_next (&r, 200 * KQ_MS, KQ_MS, KQ_SEC, &rand);
      assert_true (at >= 50 * KQ_MS && at <= 10 * KQ_SEC);
      buckets[at / (100 * KQ_MS)]++;
    }
  for (int i = 0; i < 101; i++)
    assert_true (buckets[i] <= 51);
  for (int i = 0; i < 10000; i++)
    kq_retry_after_next (&r, 200 * KQ_MS, KQ_MS, KQ_SEC, &rand);
  for (int i = 0; i < 1000; i++)
    assert_in_range (kq_retry_after_next (&r, 0, KQ_MS, KQ_SEC, &rand), 5 * KQ_SEC,
                     10 * KQ_SEC);
}

/* All requests fail for a minute: retries stay at a tenth of the first tries, plus one
 * per second. An idle hour doesn't add to the budget. */
static void
test_retry_budget (void **state)
{
  KqRetryBudget b = { 0 };
  int retries = 0;
  KqTime now = KQ_SEC;
  (void)state;
  for (int i = 0; i < 60 * 100; i++)
    {
      kq_retry_count_first_try (&b, 10, now);
      retries += kq_retry_take (&b, now);
      retries += kq_retry_take (&b, now);
      now += 10 * KQ_MS;
    }
  assert_in_range (retries, 570, 670);
  for (int i = 0; i < 100000; i++)
    kq_retry_count_first_try (&b, 10, now);
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
      KqTime max_wait = n < 7 ? (20 * KQ_MS) << (n - 1) : KQ_SEC;
      KqTime first = kq_retry_backoff (&rand, n);
      if (max_wait > KQ_SEC)
        max_wait = KQ_SEC;
      for (int i = 0; i < 100; i++)
        {
          KqTime t = kq_retry_backoff (&rand, n);
          assert_in_range (t, max_wait / 2, max_wait);
          differ = differ || t != first;
        }
    }
  assert_true (differ);
}

/* Whatever the demand, no second carries more than the rate plus the bucket. */
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

/* Callers got 503 "no runner" for requests that a draining owner had handed back: its
 * successor had not yet taken over the shard and listed the runners. A request that was
 * handed back looks for an owner again for two seconds; others don't. */
static void
test_handed_back_waits_for_successor (void **state)
{
  KqTime now = 100 * KQ_SEC;
  KqTime at = now;
  int tries = 1;
  (void)state;
  assert_int_equal (kq_retry_successor_time (0, 1, now), 0);
  for (KqTime next = now; next != 0; next = kq_retry_successor_time (now, tries, at))
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
    cmocka_unit_test (test_fair_new_caller),
    cmocka_unit_test (test_fair_order_of_arrival),
    cmocka_unit_test (test_fair_idle_caller_is_charged),
    cmocka_unit_test (test_fair_random),
    cmocka_unit_test (test_run_times),
    cmocka_unit_test (test_limit),
    cmocka_unit_test (test_outlier_out_and_back),
    cmocka_unit_test (test_refused_connections_go_beyond_the_bound),
    cmocka_unit_test (test_outlier_bounds),
    cmocka_unit_test (test_outlier_slow),
    cmocka_unit_test (test_admission),
    cmocka_unit_test (test_retry_after_spreads),
    cmocka_unit_test (test_retry_budget),
    cmocka_unit_test (test_handed_back_waits_for_successor),
    cmocka_unit_test (test_backoff),
    cmocka_unit_test (test_link),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
