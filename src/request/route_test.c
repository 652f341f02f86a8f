#include "request/route.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define SERVICE KQ_STR ("tracker")
#define RUN_TIME (10 * KQ_MS)

typedef struct
{
  KqRoute *r;
  KqTable *table;
  KqTime now;
} Fixture;

static void
set_row (Fixture *f, bool far, bool choice, bool retry)
{
  KqRowChange c = { .row = kq_row_default (KQ_ROW_SERVICE, SERVICE) };
  KqTable *empty = kq_table_new (1);
  KqResult why;
  size_t which;
  KqTable *old = f->table;
  c.row.u.service.far = far;
  c.row.u.service.choice = choice;
  c.row.u.service.retry = retry;
  f->table = kq_table_change (empty, 2, &c, 1, &why, &which);
  kq_table_unref (empty);
  kq_route_set_table (f->r, f->table);
  if (old != NULL)
    kq_table_unref (old);
}

static void
start (Fixture *f)
{
  KqRouteNode self = { .node = 1, .usable = true };
  self.region = kq_name (KQ_STR ("south"));
  self.depot = kq_name (KQ_STR ("s1"));
  *f = (Fixture){ .r = kq_route_new (&self, 100000, 3), .now = KQ_SEC };
  set_row (f, true, true, true);
}

static void
stop (Fixture *f)
{
  kq_route_free (f->r);
  kq_table_unref (f->table);
}

/* Sets the digest of an owner with 8 slots and so many queued requests, of the run time
 * `run` each, that a new request has to wait for `wait`. */
static void
set_owner_run_time (Fixture *f, KqNodeId id, const char *region, const char *depot,
                    KqTime wait, KqTime run, bool usable)
{
  KqRouteNode n = { .node = id, .usable = usable };
  KqServiceDigest d = { .slots = 8, .p50_us = run };
  n.region = kq_name (kq_str (region));
  n.depot = kq_name (kq_str (depot));
  d.service = kq_name (SERVICE);
  d.busy = wait > 0 ? 8 : 0;
  d.queued = (int32_t)(wait * 8 / run);
  d.work_us = (d.busy + d.queued) * run;
  kq_route_set_node (f->r, &n, &d, 1, f->now);
}

static void
set_owner (Fixture *f, KqNodeId id, const char *region, const char *depot, KqTime wait,
           bool usable)
{
  set_owner_run_time (f, id, region, depot, wait, RUN_TIME, usable);
}

static KqRouteChoice
choose (Fixture *f, int64_t bytes, KqNodeId avoid)
{
  return kq_route_choose (f->r, SERVICE, bytes, avoid, f->now);
}

/* How many of 1000 requests go to the node. */
static int
count_chosen (Fixture *f, int64_t bytes, KqNodeId node)
{
  int n = 0;
  for (int i = 0; i < 1000; i++)
    n += choose (f, bytes, 0).node == node;
  return n;
}

/* Requests go to the own depot. If another depot of the region would save wait, the part
 * that evens out the waits goes there. The far region is used only if the saved wait
 * justifies the bytes. Without an owner the error tells why. */
static void
test_tiers (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  assert_int_equal (choose (&f, 0, 0).code, KQ_ERR_NO_TARGET);
  assert_int_equal (kq_route_choose (f.r, KQ_STR ("none"), 0, 0, f.now).code,
                    KQ_ERR_NO_SERVICE);
  set_owner (&f, 30, "north", "n1", 0, true);
  assert_int_equal (choose (&f, 0, 0).node, 30);
  set_owner (&f, 20, "south", "s2", 0, true);
  set_owner (&f, 10, "south", "s1", 0, true);
  assert_int_equal (count_chosen (&f, 0, 10), 1000);
  set_owner (&f, 10, "south", "s1", 100 * KQ_MS, true);
  assert_in_range (count_chosen (&f, 0, 20), 120, 210);
  set_owner (&f, 10, "south", "s1", 500 * KQ_MS, true);
  set_owner (&f, 20, "south", "s2", 500 * KQ_MS, true);
  assert_in_range (count_chosen (&f, 0, 30), 390, 510);
  assert_int_equal (count_chosen (&f, 1 << 20, 30), 0);
  set_row (&f, false, true, true);
  assert_int_equal (count_chosen (&f, 0, 30), 0);
  set_owner (&f, 10, "south", "s1", 0, false);
  kq_route_drop_node (f.r, 20);
  assert_int_equal (choose (&f, 0, 0).code, KQ_ERR_NO_TARGET);
  stop (&f);
}

/* While the own region is full, no more than the budget goes over the link. The rest
 * stays in the own region or, without an owner there, fails with LINK_BUDGET. */
static void
test_link_budget (void **state)
{
  Fixture f;
  int64_t moved = 0;
  KqRouteChoice c = { 0 };
  (void)state;
  start (&f);
  set_owner (&f, 10, "south", "s1", 5 * KQ_SEC, true);
  set_owner (&f, 30, "north", "n1", 0, true);
  for (int i = 0; i < 10000; i++)
    {
      c = choose (&f, 4000, 0);
      if (c.far)
        {
          moved += 20000;
          kq_route_link_used (f.r, 20000, f.now);
        }
      else
        assert_int_equal (c.node, 10);
      f.now += KQ_MS;
    }
  assert_in_range (moved, 900000, 1150000);
  kq_route_drop_node (f.r, 10);
  kq_route_link_used (f.r, 1000000, f.now);
  c = choose (&f, 4000, 0);
  assert_int_equal (c.code, KQ_ERR_LINK_BUDGET);
  assert_true (c.retry_after > KQ_SEC);
  stop (&f);
}

/* Two owners with run times of ten seconds, one of which has 24 requests. Between two
 * digests the entry node must count the requests that it sends itself: 200 requests then
 * even out at 112 per owner, otherwise nearly all would go to the owner reported as idle.
 * A new digest that includes them must not make them count twice. */
static void
test_own_part_counts (void **state)
{
  Fixture f;
  int to[3] = { 0 };
  (void)state;
  start (&f);
  set_owner_run_time (&f, 1, "south", "s1", 20 * KQ_SEC, 10 * KQ_SEC, true);
  set_owner_run_time (&f, 2, "south", "s1", 0, 10 * KQ_SEC, true);
  for (int i = 0; i < 200; i++)
    {
      KqNodeId n = choose (&f, 0, 0).node;
      to[n]++;
      kq_route_sent (f.r, n, SERVICE, f.now);
    }
  assert_in_range (to[2], 100, 130);
  set_owner_run_time (&f, 1, "south", "s1", 0, 10 * KQ_SEC, true);
  set_owner_run_time (&f, 2, "south", "s1", 0, 10 * KQ_SEC, true);
  assert_in_range (count_chosen (&f, 0, 1), 440, 560);
  for (int i = 0; i < 300; i++)
    kq_route_ended (f.r, 1, SERVICE, f.now);
  assert_int_equal (choose (&f, 0, 2).node, 1);
  assert_int_equal (choose (&f, 0, 1).node, 2);
  kq_route_drop_node (f.r, 2);
  assert_int_equal (choose (&f, 0, 1).node, 1);
  stop (&f);
}

/* An owner of one runner among owners of three and six runners has a tenth of the slots
 * and must get a tenth of the requests; a fifth would overload it at 0.5 load. */
static void
test_owners_of_unlike_size (void **state)
{
  static const int slots[] = { 8, 24, 48 };
  Fixture f;
  (void)state;
  start (&f);
  for (KqNodeId id = 1; id <= 3; id++)
    {
      KqRouteNode n = { .node = id, .usable = true };
      KqServiceDigest d = { .slots = slots[id - 1], .p50_us = RUN_TIME };
      n.region = kq_name (KQ_STR ("south"));
      n.depot = kq_name (KQ_STR ("s1"));
      d.service = kq_name (SERVICE);
      kq_route_set_node (f.r, &n, &d, 1, f.now);
    }
  assert_in_range (count_chosen (&f, 0, 1), 70, 130);
  assert_in_range (count_chosen (&f, 0, 3), 550, 650);
  stop (&f);
}

/* Ten owners. One with four times the run time gets a 37th of the requests, one with a
 * queue of two seconds a 46th. With weighting off (`choice` false) each gets a tenth. */
static void
test_shares_by_pull (void **state)
{
  Fixture f;
  (void)state;
  start (&f);
  for (KqNodeId id = 1; id <= 10; id++)
    set_owner (&f, id, "south", "s1", 0, true);
  assert_in_range (count_chosen (&f, 0, 1), 70, 130);
  set_owner_run_time (&f, 1, "south", "s1", 0, 4 * RUN_TIME, true);
  assert_in_range (count_chosen (&f, 0, 1), 12, 43);
  set_owner (&f, 1, "south", "s1", 2 * KQ_SEC, true);
  assert_in_range (count_chosen (&f, 0, 1), 8, 37);
  set_row (&f, false, false, true);
  assert_in_range (count_chosen (&f, 0, 1), 70, 130);
  stop (&f);
}

/* Retries are limited by the budget, unless the service row switches it off. */
static void
test_retry_switch (void **state)
{
  Fixture f;
  int allowed = 0;
  (void)state;
  start (&f);
  for (int i = 0; i < 100; i++)
    kq_route_first_try (f.r, SERVICE, f.now);
  for (int i = 0; i < 100; i++)
    allowed += kq_route_take_retry (f.r, SERVICE, f.now);
  assert_in_range (allowed, 10, 13);
  assert_false (kq_route_take_retry (f.r, KQ_STR ("none"), f.now));
  set_row (&f, false, true, false);
  assert_true (kq_route_take_retry (f.r, SERVICE, f.now));
  stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tiers),
    cmocka_unit_test (test_link_budget),
    cmocka_unit_test (test_own_part_counts),
    cmocka_unit_test (test_owners_of_unlike_size),
    cmocka_unit_test (test_shares_by_pull),
    cmocka_unit_test (test_retry_switch),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
