#include "load_patterns.h"

#include "load_sim.h"
#include "request/route.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

/* Requests measured for each figure; slots of a runner. */
#define REQUESTS 400000
#define SLOTS 8
#define CALLERS 40
#define KEYS 200
#define WORK_TIME (40 * KQ_MS)
#define NODES 100

typedef struct
{
  KqDispatch *dispatch;
  KqTable *table;
  KqRand rand;
  KqTime now;
  char callers[CALLERS][24];
  uint64_t next_flight;
  KqFlightId *running; /* ring buffer */
  size_t first;
  size_t n_running;
  size_t capacity;
} Load;

static KqTable *
one_service (const KqServiceRow *row)
{
  KqRowChange change = { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("quick")) };
  KqTable *empty = kq_table_new (1);
  KqResult why;
  size_t which;
  KqTable *t;
  change.row.u.service = *row;
  t = kq_table_change (empty, 2, &change, 1, &why, &which);
  kq_table_unref (empty);
  return t;
}

static Load
load_new (uint64_t seed, int runners)
{
  KqServiceRow row = sim_row (true);
  Load l = { .rand = kq_rand (seed), .now = KQ_SEC };
  for (int i = 0; i < CALLERS; i++)
    snprintf (l.callers[i], sizeof l.callers[i], "caller-%d", i);
  l.table = one_service (&row);
  l.dispatch = kq_dispatch_new (seed);
  kq_dispatch_set_table (l.dispatch, l.table, 0);
  for (int i = 0; i < runners; i++)
    {
      KqRunnerInfo info
          = { .id = (KqRunnerId)i + 1, .slots = SLOTS, .connections = SLOTS };
      kq_dispatch_set_runner (l.dispatch, &info, false, 0);
    }
  l.capacity = (size_t)runners * SLOTS + 1;
  l.running = kq_alloc (l.capacity * sizeof *l.running);
  return l;
}

static void
load_free (Load *l)
{
  kq_dispatch_free (l->dispatch);
  kq_table_unref (l->table);
  free (l->running);
}

static KqResult
offer_one (Load *l, KqTime deadline)
{
  KqTime retry_after;
  KqDispatchRequest r = { .flight = { 1, 1, l->next_flight++ },
                          .service = KQ_STR ("quick"),
                          .deadline = l->now + deadline,
                          .idempotent = true,
                          .class_id = 4711 };
  r.caller = kq_str (l->callers[kq_rand_below (&l->rand, CALLERS)]);
  r.key = 1 + kq_rand_below (&l->rand, KEYS);
  return kq_dispatch_offer (l->dispatch, &r, l->now, &retry_after);
}

static void
send_all (Load *l)
{
  KqDispatchEvent e;
  while (kq_dispatch_next (l->dispatch, l->now, &e))
    if (e.kind == KQ_DISPATCH_SEND)
      l->running[(l->first + l->n_running++) % l->capacity] = e.flight;
}

static void
end_one (Load *l)
{
  kq_dispatch_done (l->dispatch, l->running[l->first], KQ_OUTCOME_ANSWERED, l->now);
  l->first = (l->first + 1) % l->capacity;
  l->n_running--;
}

/* Nanoseconds to end one request and to offer and send another, with every slot taken and
 * `queue` requests queued. */
static double
request_cost (uint64_t seed, int runners, size_t queue)
{
  Load l = load_new (seed, runners);
  size_t slots = (size_t)runners * SLOTS;
  KqTime step = WORK_TIME / (KqTime)slots > 0 ? WORK_TIME / (KqTime)slots : 1;
  KqTime began;
  double ns;
  for (size_t i = 0; i < slots + queue; i++)
    offer_one (&l, 3600 * KQ_SEC);
  send_all (&l);
  began = kq_time_now ();
  for (int i = 0; i < REQUESTS; i++)
    {
      l.now += step;
      end_one (&l);
      offer_one (&l, 3600 * KQ_SEC);
      send_all (&l);
    }
  ns = (double)(kq_time_now () - began) * 1000 / REQUESTS;
  assert (l.n_running > 0);
  load_free (&l);
  return ns;
}

/* Nanoseconds to refuse a request on arrival because of its deadline. */
static double
refusal_cost (uint64_t seed, int runners)
{
  Load l = load_new (seed, runners);
  KqTime began;
  int refused = 0;
  double ns;
  for (int i = 0; i < runners * SLOTS * 4; i++)
    offer_one (&l, 3600 * KQ_SEC);
  send_all (&l);
  began = kq_time_now ();
  for (int i = 0; i < REQUESTS; i++)
    refused += offer_one (&l, KQ_MS) == KQ_ERR_DEADLINE_FORECAST;
  ns = (double)(kq_time_now () - began) * 1000 / REQUESTS;
  assert (refused == REQUESTS);
  load_free (&l);
  return ns;
}

/* Nanoseconds for an entry node to choose an owner among `nodes` nodes. */
static double
route_cost (uint64_t seed, int nodes)
{
  KqServiceRow row = sim_row (true);
  KqRouteNode self = { .node = 1, .usable = true };
  KqRoute *r = kq_route_new (&self, 1000000, seed);
  KqTable *t = one_service (&row);
  KqTime now = KQ_SEC;
  KqTime began;
  double ns;
  kq_route_set_table (r, t);
  for (int i = 0; i < nodes; i++)
    {
      KqRouteNode n = { .node = (KqNodeId)i + 1, .usable = true };
      KqServiceDigest d = { .slots = 328, .p50_us = WORK_TIME };
      d.service = kq_name (KQ_STR ("quick"));
      kq_route_set_node (r, &n, &d, 1, now);
    }
  began = kq_time_now ();
  for (int i = 0; i < REQUESTS; i++)
    {
      KqRouteChoice c = kq_route_choose (r, KQ_STR ("quick"), 100, 0, now);
      kq_route_first_try (r, KQ_STR ("quick"), now);
      kq_route_sent (r, c.node, KQ_STR ("quick"), now);
      now += 100;
    }
  ns = (double)(kq_time_now () - began) * 1000 / REQUESTS;
  kq_route_free (r);
  kq_table_unref (t);
  return ns;
}

void
load_run_costs (uint64_t seed)
{
  double small = request_cost (seed, 65, 1000);
  double large = request_cost (seed, 4100, 1000);
  double deep = request_cost (seed, 4100, 50000);
  double refused = refusal_cost (seed, 65);
  printf ("\ncosts: one request offered, sent and ended; %d turns\n", REQUESTS);
  printf ("  65 runners %.0f ns, 4100 runners %.0f ns (growth %.2f), with 50 times the "
          "queue %.0f ns, refused on arrival %.0f ns\n",
          small, large, large / small, deep, refused);
  load_result ("cost.65_runners", small, "ns", 2000, 0);
  load_result ("cost.4100_runners", large, "ns", 5000, 0);
  load_result ("cost.refusal_65_runners", refused, "ns", 2000, 0);
  load_result ("cost.route_100_nodes", route_cost (seed, NODES), "ns", 2000, 0);
}
