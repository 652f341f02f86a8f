#include "load_sim.h"

#include "request/heap.h"
#include "request/route.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE "quick"
#define SLOTS_MAX 64
#define ERROR_TIME KQ_MS
#define DIGEST_INTERVAL (500 * KQ_MS)

typedef struct
{
  KqHeapNode event; /* a retry by the entry node or the caller */
  const SimArrival *arrival;
  uint64_t flight;
  KqTime began; /* when the caller last sent it */
  KqTime sent_at;
  double left; /* work that the runner still has to do */
  double spent;
  int retries;
  int caller_retries;
  int entry;
  int owner; /* the last that it was sent to; -1: none */
} Request;

typedef struct
{
  KqHeapNode event; /* its next request to finish */
  Request *active[SLOTS_MAX];
  int n;
  KqTime updated;
  double speed;
  double cores;
  SimFailure failure;
} Runner;

typedef struct
{
  const SimConfig *config;
  const SimArrivals *arrivals;
  size_t next_arrival;
  size_t next_change;
  KqTime now;
  int n_owners;
  int n_entries;
  KqDispatch *owners[SIM_NODES_MAX];
  KqRoute *entries[SIM_NODES_MAX];
  KqTime digest_at; /* when the next digests are sent */
  Runner *runners;
  KqHeap finish;  /* runners */
  KqHeap waiting; /* requests that are sent again later */
  Request *requests;
  size_t n_requests;
  KqTable *table;
  KqRand rand;
  SimResult result;
} Sim;

KqServiceRow
sim_row (bool on)
{
  KqServiceRow row = kq_row_default (KQ_ROW_SERVICE, KQ_STR (SERVICE)).u.service;
  row.queue_max = 100000;
  row.admission = row.fairness = row.short_slots = row.choice = on;
  row.limit = row.outlier = row.retry = on;
  return row;
}

void
sim_add_arrivals (SimArrivals *a, KqRand *rand, const SimArrival *like, double rate,
                  KqTime from, KqTime to, KqTime mean, int callers, int keys)
{
  double at = (double)from;
  while ((at += kq_rand_exp (rand, KQ_SEC / rate)) < (double)to)
    {
      SimArrival *item;
      if (a->n == a->capacity)
        {
          a->capacity = a->capacity > 0 ? a->capacity * 2 : 1024;
          a->items = kq_realloc (a->items, a->capacity * sizeof *a->items);
        }
      item = &a->items[a->n++];
      *item = *like;
      item->at = (KqTime)at;
      item->work = 1 + (KqTime)kq_rand_exp (rand, (double)mean);
      item->caller += (int)kq_rand_below (rand, (uint64_t)callers);
      item->key += kq_rand_below (rand, (uint64_t)keys);
    }
}

static int
cmp_arrival (const void *a, const void *b)
{
  const SimArrival *x = a;
  const SimArrival *y = b;
  return (x->at > y->at) - (x->at < y->at);
}

void
sim_sort_arrivals (SimArrivals *a)
{
  qsort (a->items, a->n, sizeof *a->items, cmp_arrival);
}

static void
add_answer (SimStats *s, size_t n, KqTime at, KqTime took)
{
  if (n == s->capacity)
    {
      s->capacity = s->capacity > 0 ? s->capacity * 2 : 1024;
      s->answers = kq_realloc (s->answers, s->capacity * sizeof *s->answers);
    }
  s->answers[n] = (SimAnswer){ at, took };
}

static SimStats *
stats_of (Sim *s, const Request *r)
{
  return &s->result.groups[r->arrival->group];
}

static void
record_answer (Sim *s, Request *r)
{
  SimStats *st = stats_of (s, r);
  KqTime took = s->now - r->began;
  add_answer (st, st->good + st->late, s->now, took);
  if (took <= s->config->deadline)
    {
      st->good++;
      s->result.caller_good[r->arrival->caller]++;
    }
  else
    {
      st->late++;
      s->result.work_wasted += r->spent;
    }
}

static double
rate_of (const Sim *s, const Runner *r)
{
  double over = r->n > r->cores ? r->n - r->cores : 0;
  double share = r->n > r->cores ? r->cores / r->n : 1;
  return r->speed * share / (1 + s->config->thrash * over);
}

static void
advance (Sim *s, Runner *r)
{
  double done = (double)(s->now - r->updated) * rate_of (s, r);
  for (int i = 0; i < r->n; i++)
    r->active[i]->left -= done;
  r->updated = s->now;
}

static void
schedule (Sim *s, Runner *r)
{
  double least = INFINITY;
  if (r->event.index > 0)
    kq_heap_remove (&s->finish, &r->event);
  for (int i = 0; i < r->n; i++)
    least = fmin (least, r->active[i]->left);
  if (r->n == 0 || (r->speed <= 0 && least > 0))
    return;
  least = least > 0 ? least / rate_of (s, r) : 0;
  kq_heap_add (&s->finish, &r->event, s->now + (KqTime)ceil (least),
               (uint64_t)(r - s->runners), r);
}

static KqFlightId
flight_of (uint64_t number)
{
  return (KqFlightId){ 1, 1, number };
}

static void offer (Sim *s, Request *r);

static void
send_again_at (Sim *s, Request *r, KqTime at)
{
  kq_heap_add (&s->waiting, &r->event, at, r->flight, r);
}

/* An attempt failed or was refused: the entry node may retry it, then the caller. */
static void
attempt_failed (Sim *s, Request *r, bool refused, KqTime retry_after)
{
  SimStats *st = stats_of (s, r);
  KqRoute *route = s->entries[r->entry];
  KqTime wait = kq_route_backoff (route, r->retries + 1);
  bool in_time = s->now + wait < r->began + s->config->deadline;
  if (!s->config->row.retry)
    wait = 0;
  if (r->retries < s->config->retries && in_time
      && kq_route_take_retry (route, KQ_STR (SERVICE), s->now))
    {
      r->retries++;
      send_again_at (s, r, s->now + wait);
      return;
    }
  if (refused && r->caller_retries < s->config->caller_retries)
    {
      r->caller_retries++;
      r->retries = 0;
      r->began = s->now + retry_after;
      send_again_at (s, r, r->began);
      return;
    }
  if (refused)
    st->refused++;
  else
    st->failed++;
}

static KqNodeId
node_of (int owner)
{
  return (KqNodeId)owner + 1;
}

static void
offer (Sim *s, Request *r)
{
  char name[24];
  KqRoute *route = s->entries[r->entry];
  KqRouteChoice choice = kq_route_choose (
      route, KQ_STR (SERVICE), 0, r->retries > 0 ? node_of (r->owner) : 0, s->now);
  KqDispatchRequest q = { .flight = flight_of (r->flight),
                          .service = KQ_STR (SERVICE),
                          .deadline = r->began + s->config->deadline,
                          .idempotent = true,
                          .class_id = r->arrival->class_id,
                          .key = r->arrival->key };
  KqTime retry_after;
  snprintf (name, sizeof name, "caller-%d", r->arrival->caller);
  q.caller = kq_str (name);
  if (r->retries == 0)
    kq_route_first_try (route, KQ_STR (SERVICE), s->now);
  r->owner = (int)choice.node - 1;
  assert (r->owner >= 0);
  kq_route_sent (route, choice.node, KQ_STR (SERVICE), s->now);
  if (kq_dispatch_offer (s->owners[r->owner], &q, s->now, &retry_after) != KQ_OK)
    {
      kq_route_ended (route, choice.node, KQ_STR (SERVICE), s->now);
      attempt_failed (s, r, true, retry_after);
    }
}

static void
start (Sim *s, Request *r, Runner *runner)
{
  assert (runner->n < s->config->slots);
  advance (s, runner);
  r->sent_at = s->now;
  r->left = runner->failure == SIM_FAILS_AT_ONCE ? (double)ERROR_TIME
                                                 : (double)r->arrival->work;
  runner->active[runner->n++] = r;
  s->result.sent++;
  schedule (s, runner);
}

static void
finish (Sim *s, Runner *runner, int at)
{
  Request *r = runner->active[at];
  bool error = runner->failure != SIM_WORKS;
  if (runner->failure == SIM_FAILS_HALF)
    error = kq_rand_below (&s->rand, 2) == 0;
  runner->active[at] = runner->active[--runner->n];
  r->spent = (double)(s->now - r->sent_at);
  s->result.work_done += r->spent;
  kq_route_ended (s->entries[r->entry], node_of (r->owner), KQ_STR (SERVICE), s->now);
  kq_dispatch_done (s->owners[r->owner], flight_of (r->flight),
                    error ? KQ_OUTCOME_ERROR : KQ_OUTCOME_ANSWERED, s->now);
  if (error)
    {
      s->result.work_wasted += r->spent;
      attempt_failed (s, r, false, 0);
    }
  else
    record_answer (s, r);
}

static void
finish_due (Sim *s, Runner *runner)
{
  advance (s, runner);
  for (int i = 0; i < runner->n; i++)
    if (runner->active[i]->left <= 1e-6)
      finish (s, runner, i--);
  schedule (s, runner);
}

static size_t
queued (const Sim *s)
{
  size_t n = 0;
  for (int i = 0; i < s->n_owners; i++)
    n += kq_dispatch_queued (s->owners[i]);
  return n;
}

static void
refuse_queued (Sim *s, Request *r, KqTime retry_after)
{
  kq_route_ended (s->entries[r->entry], node_of (r->owner), KQ_STR (SERVICE), s->now);
  attempt_failed (s, r, true, retry_after);
}

static void
drain_events (Sim *s)
{
  KqDispatchEvent e;
  size_t n;
  for (int i = 0; i < s->n_owners; i++)
    while (kq_dispatch_next (s->owners[i], s->now, &e))
      {
        Request *r = &s->requests[e.flight.number];
        if (e.kind == KQ_DISPATCH_SEND)
          start (s, r, &s->runners[e.runner - 1]);
        else
          refuse_queued (s, r, e.retry_after);
      }
  n = queued (s);
  if (n > s->result.queue_peak)
    s->result.queue_peak = n;
}

static void
send_digests (Sim *s)
{
  for (int i = 0; i < s->n_owners; i++)
    {
      KqRouteNode node = { .node = node_of (i), .usable = true };
      KqServiceDigest line;
      size_t n = kq_dispatch_digest (s->owners[i], &line, 1);
      for (int e = 0; e < s->n_entries; e++)
        kq_route_set_node (s->entries[e], &node, &line, n, s->now);
    }
  s->digest_at = s->now + DIGEST_INTERVAL;
}

static void
apply_change (Sim *s, const SimChange *c)
{
  int step = c->step > 0 ? c->step : 1;
  for (int i = 0; i < c->n; i++)
    {
      Runner *r = &s->runners[c->first + i * step];
      advance (s, r);
      r->speed = c->speed;
      r->cores = c->cores;
      r->failure = c->failure;
      schedule (s, r);
    }
}

static KqTime
top_key (const KqHeap *h)
{
  return kq_heap_top (h) != NULL ? kq_heap_top (h)->key : KQ_TIME_NEVER;
}

static KqTime
least (KqTime a, KqTime b)
{
  return a < b ? a : b;
}

static KqTime
next_time (const Sim *s)
{
  KqTime t = least (top_key (&s->finish), top_key (&s->waiting));
  if (s->next_arrival < s->arrivals->n)
    t = least (t, s->arrivals->items[s->next_arrival].at);
  if (s->next_change < s->config->n_changes)
    t = least (t, s->config->changes[s->next_change].at);
  for (int i = 0; i < s->n_owners; i++)
    if (kq_dispatch_queued (s->owners[i]) > 0)
      t = least (t, kq_dispatch_wake_time (s->owners[i], s->now));
  return t > s->now ? t : s->now;
}

static void
arrive (Sim *s)
{
  const SimArrival *a = &s->arrivals->items[s->next_arrival++];
  Request *r = &s->requests[s->n_requests];
  r->arrival = a;
  r->flight = s->n_requests++;
  r->began = s->now;
  r->entry = (int)kq_rand_below (&s->rand, (uint64_t)s->n_entries);
  s->result.groups[a->group].offered++;
  s->result.caller_offered[a->caller]++;
  offer (s, r);
}

static void
step (Sim *s)
{
  if (s->now >= s->digest_at)
    send_digests (s);
  while (s->next_change < s->config->n_changes
         && s->config->changes[s->next_change].at <= s->now)
    apply_change (s, &s->config->changes[s->next_change++]);
  while (top_key (&s->finish) <= s->now)
    finish_due (s, kq_heap_top (&s->finish)->container);
  while (top_key (&s->waiting) <= s->now)
    {
      Request *r = kq_heap_top (&s->waiting)->container;
      kq_heap_remove (&s->waiting, &r->event);
      offer (s, r);
    }
  while (s->next_arrival < s->arrivals->n
         && s->arrivals->items[s->next_arrival].at <= s->now)
    arrive (s);
  drain_events (s);
}

static void
set_up (Sim *s)
{
  KqRowChange change = { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR (SERVICE)) };
  KqRouteNode self = { .node = 1, .usable = true };
  KqTable *empty = kq_table_new (1);
  KqResult why;
  size_t which;
  change.row.u.service = s->config->row;
  s->table = kq_table_change (empty, 2, &change, 1, &why, &which);
  kq_table_unref (empty);
  s->n_owners = s->config->owners > 0 ? s->config->owners : 1;
  s->n_entries = s->config->entries > 0 ? s->config->entries : 1;
  for (int i = 0; i < s->n_owners; i++)
    {
      s->owners[i] = kq_dispatch_new (s->config->seed + (uint64_t)i);
      kq_dispatch_set_table (s->owners[i], s->table, 0);
    }
  for (int i = 0; i < s->n_entries; i++)
    {
      s->entries[i] = kq_route_new (&self, 0, s->config->seed + (uint64_t)i);
      kq_route_set_table (s->entries[i], s->table);
    }
  s->runners = kq_alloc ((size_t)s->config->runners * sizeof (Runner));
  for (int i = 0; i < s->config->runners; i++)
    {
      KqRunnerInfo info = { .id = (KqRunnerId)i + 1,
                            .slots = s->config->slots,
                            .connections = SLOTS_MAX };
      s->runners[i].speed = 1;
      s->runners[i].cores = s->config->slots;
      kq_dispatch_set_runner (s->owners[i % s->n_owners], &info, false, 0);
    }
  send_digests (s);
}

SimResult
sim_run (const SimConfig *c, const SimArrivals *a, KqTime mark)
{
  Sim s = { .config = c, .arrivals = a, .rand = kq_rand (c->seed) };
  s.requests = kq_alloc ((a->n + 1) * sizeof (Request));
  set_up (&s);
  for (KqTime t = next_time (&s); t < KQ_TIME_NEVER; t = next_time (&s))
    {
      if (mark > 0 && s.now < mark && t >= mark)
        {
          KqServiceDigest d;
          for (int i = 0; i < s.n_owners; i++)
            if (kq_dispatch_digest (s.owners[i], &d, 1) == 1)
              s.result.queue_work_at_mark += (double)d.work_us;
        }
      s.now = t;
      step (&s);
    }
  assert (queued (&s) == 0);
  for (int i = 0; i < s.n_owners; i++)
    kq_dispatch_free (s.owners[i]);
  for (int i = 0; i < s.n_entries; i++)
    kq_route_free (s.entries[i]);
  kq_table_unref (s.table);
  kq_heap_free (&s.finish);
  kq_heap_free (&s.waiting);
  free (s.runners);
  free (s.requests);
  return s.result;
}

void
sim_result_free (SimResult *r)
{
  for (int g = 0; g < SIM_GROUPS; g++)
    free (r->groups[g].answers);
  *r = (SimResult){ 0 };
}

static int
cmp_time (const void *a, const void *b)
{
  KqTime x = *(const KqTime *)a;
  KqTime y = *(const KqTime *)b;
  return (x > y) - (x < y);
}

KqTime
sim_percentile (const SimStats *s, double p, KqTime from, KqTime to)
{
  size_t n = 0;
  KqTime *took = kq_alloc ((s->good + s->late) * sizeof *took);
  KqTime value = 0;
  for (size_t i = 0; i < s->good + s->late; i++)
    if (s->answers[i].at >= from && s->answers[i].at < to)
      took[n++] = s->answers[i].took;
  if (n > 0)
    {
      qsort (took, n, sizeof *took, cmp_time);
      value = took[(size_t)(p * (double)(n - 1))];
    }
  free (took);
  return value;
}

size_t
sim_good_before (const SimStats *s, KqTime deadline, KqTime to)
{
  size_t n = 0;
  for (size_t i = 0; i < s->good + s->late; i++)
    n += s->answers[i].took <= deadline && s->answers[i].at < to;
  return n;
}

double
sim_fairness (const SimResult *r)
{
  double sum = 0;
  double squares = 0;
  int n = 0;
  for (int i = 0; i < SIM_CALLERS; i++)
    if (r->caller_offered[i] > 0)
      {
        double share = (double)r->caller_good[i] / (double)r->caller_offered[i];
        sum += share;
        squares += share * share;
        n++;
      }
  return squares > 0 ? sum * sum / (n * squares) : 0;
}
