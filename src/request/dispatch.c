#include "request/dispatch.h"

#include "request/heap.h"
#include "request/map.h"
#include "request/pool.h"
#include "request/service_queue.h"

#include <assert.h>
#include <stdlib.h>

/* The unit of a service's tag: 1/TAG_SCALE microseconds of work / weight (see fair.h). */
#define TAG_SCALE 1000
/* Retry time advised when the service has no live runner, and so no queue from which the
 * wait could be forecast. */
#define NO_TARGET_RETRY_AFTER KQ_SEC

typedef struct
{
  KqMapNode by_flight;
  KqHeapNode by_latest_start; /* while queued: the last time at which it may be sent */
  KqFairItem item;            /* while queued */
  KqFlightId flight;
  KqServiceQueue *service;
  KqLane lane;
  uint64_t caller;
  uint64_t class_id;
  bool idempotent;
  int64_t cost;     /* forecast mean run time on arrival, microseconds */
  KqRunner *runner; /* NULL while queued */
  KqTime sent_at;
  KqHeapNode by_long_at; /* while sent, if its class isn't known to be short or long */
  int busy_at_send;      /* flights at the runner when it was sent, this one included */
} Flight;

struct KqDispatch
{
  KqTable *table;
  KqRand rand;
  KqPool pool;
  KqMap flights;
  KqMap services;
  KqServiceQueue **active; /* services that have something queued */
  size_t n_active;
  size_t capacity;
  int64_t virtual_time;   /* tag of the service served last */
  KqHeap by_latest_start; /* all queued flights */
  KqHeap by_long_at;      /* sent flights, by when they count as long */
  uint64_t order;         /* of the next heap node; breaks ties */
};

static uint64_t
flight_hash (KqFlightId id)
{
  return kq_hash2 (kq_hash2 (id.node, id.incarnation), id.number);
}

static Flight *
find_flight (const KqDispatch *d, KqFlightId id)
{
  KqMapNode *node = kq_map_find (&d->flights, flight_hash (id));
  while (node != NULL && !kq_flight_eq (((Flight *)node->container)->flight, id))
    node = kq_map_next (node);
  return node != NULL ? node->container : NULL;
}

static KqServiceQueue *
find_service (const KqDispatch *d, KqStr name)
{
  KqMapNode *node = kq_map_find (&d->services, kq_str_hash (name));
  for (; node != NULL; node = kq_map_next (node))
    {
      KqServiceQueue *s = node->container;
      if (kq_str_eq (kq_name_str (&s->name), name))
        return s;
    }
  return NULL;
}

KqDispatch *
kq_dispatch_new (uint64_t seed)
{
  KqDispatch *d = kq_alloc (sizeof *d);
  d->rand = kq_rand (seed);
  return d;
}

/* Adds the service to d->active if it has queued requests, else removes it. */
static void
update_active (KqDispatch *d, KqServiceQueue *s)
{
  bool has_queued = kq_service_queued (s) > 0;
  if (has_queued == (s->active_index > 0))
    return;
  if (!has_queued)
    {
      KqServiceQueue *last = d->active[--d->n_active];
      d->active[s->active_index - 1] = last;
      last->active_index = s->active_index;
      s->active_index = 0;
      return;
    }
  if (d->n_active == d->capacity)
    {
      d->capacity = d->capacity > 0 ? d->capacity * 2 : 16;
      d->active = kq_realloc (d->active, d->capacity * sizeof (KqServiceQueue *));
    }
  d->active[d->n_active++] = s;
  s->active_index = d->n_active;
  if (s->tag < d->virtual_time)
    s->tag = d->virtual_time;
}

/* Removes a flight from its queue without sending it. */
static void
dequeue (KqDispatch *d, Flight *f)
{
  kq_heap_remove (&d->by_latest_start, &f->by_latest_start);
  kq_service_remove (f->service, f->lane, &f->item);
  update_active (d, f->service);
}

static void
free_flight (KqDispatch *d, Flight *f)
{
  if (f->by_long_at.index > 0)
    kq_heap_remove (&d->by_long_at, &f->by_long_at);
  kq_map_remove (&d->flights, &f->by_flight);
  free (f);
}

void
kq_dispatch_free (KqDispatch *d)
{
  KqMapNode *node;
  while ((node = kq_map_any (&d->flights)) != NULL)
    {
      Flight *f = node->container;
      if (f->runner == NULL)
        dequeue (d, f);
      free_flight (d, f);
    }
  while ((node = kq_map_any (&d->services)) != NULL)
    {
      kq_map_remove (&d->services, node);
      kq_service_clear (node->container);
      free (node->container);
    }
  kq_pool_free (&d->pool);
  kq_map_free (&d->flights);
  kq_map_free (&d->services);
  kq_heap_free (&d->by_latest_start);
  kq_heap_free (&d->by_long_at);
  free (d->active);
  if (d->table != NULL)
    kq_table_unref (d->table);
  free (d);
}

static void
add_service (KqDispatch *d, const KqName *name)
{
  KqServiceQueue *s = kq_alloc (sizeof *s);
  kq_service_init (s, name);
  kq_service_set_groups (s, &d->pool);
  kq_map_add (&d->services, &s->by_name, kq_str_hash (kq_name_str (name)), s);
}

/* Copies the services' rows from the new table. A service that was removed from the table
 * keeps its learned run times; its queued requests are refused. */
static void
update_service_rows (KqDispatch *d)
{
  for (size_t b = 0; b < d->services.n_buckets; b++)
    for (KqMapNode *n = d->services.buckets[b]; n != NULL; n = n->next)
      {
        KqServiceQueue *s = n->container;
        const KqRow *row
            = kq_table_find (d->table, KQ_ROW_SERVICE, kq_name_str (&s->name));
        s->in_table = row != NULL;
        if (row != NULL)
          s->row = row->u.service;
      }
}

void
kq_dispatch_set_table (KqDispatch *d, KqTable *t, KqTime now)
{
  KqTable *former = d->table;
  (void)now;
  d->table = kq_table_ref (t);
  if (former != NULL)
    kq_table_unref (former);
  for (size_t i = 0; i < kq_table_size (t); i++)
    {
      const KqRow *row = kq_table_row (t, i);
      if (row->kind == KQ_ROW_SERVICE
          && find_service (d, kq_name_str (&row->name)) == NULL)
        add_service (d, &row->name);
    }
  update_service_rows (d);
}

void
kq_dispatch_set_runner (KqDispatch *d, const KqRunnerInfo *info, bool taken_over,
                        KqTime now)
{
  size_t n_groups = d->pool.n_groups;
  (void)now;
  kq_pool_set_runner (&d->pool, info, taken_over);
  if (d->pool.n_groups == n_groups)
    return;
  for (size_t b = 0; b < d->services.n_buckets; b++)
    for (KqMapNode *n = d->services.buckets[b]; n != NULL; n = n->next)
      kq_service_set_groups (n->container, &d->pool);
}

void
kq_dispatch_drop_runner (KqDispatch *d, KqRunnerId id, KqTime now)
{
  (void)now;
  kq_pool_drop_runner (&d->pool, id);
}

void
kq_dispatch_set_report (KqDispatch *d, KqRunnerId id, const KqRunnerReport *report,
                        KqTime now)
{
  KqRunner *r = kq_pool_find (&d->pool, id);
  (void)now;
  if (r != NULL)
    kq_pool_set_report (r, report);
}

void
kq_dispatch_set_leaving (KqDispatch *d, KqRunnerId id, bool leaving, KqTime now)
{
  KqRunner *r = kq_pool_find (&d->pool, id);
  (void)now;
  if (r != NULL)
    kq_pool_set_leaving (r, leaving);
}

static int64_t
caller_weight (const KqDispatch *d, KqStr caller)
{
  const KqRow *row = kq_table_find (d->table, KQ_ROW_CALLER, caller);
  return row != NULL ? row->u.caller.weight : KQ_CALLER_WEIGHT_DEFAULT;
}

/* Mean time between two starts when all of the service's slots are in use. */
static KqTime
start_interval (const KqServiceQueue *s, const KqRunForecast *run)
{
  int slots = kq_service_slots (s);
  return run->mean / (slots > 0 ? slots : 1);
}

static KqTime
next_retry_after (KqDispatch *d, KqServiceQueue *s, KqTime wait, const KqRunForecast *run,
                  KqTime now)
{
  return kq_retry_after_next (&s->retry_after, wait, start_interval (s, run), now,
                              &d->rand);
}

static void
enqueue (KqDispatch *d, KqServiceQueue *s, const KqDispatchRequest *r,
         const KqRunForecast *run, KqLane lane, int64_t weight)
{
  Flight *f = kq_alloc (sizeof *f);
  KqTime latest_start = r->deadline;
  f->flight = r->flight;
  f->service = s;
  f->lane = lane;
  f->caller = s->row.fairness ? kq_str_hash (r->caller) : 0;
  f->class_id = r->class_id;
  f->idempotent = r->idempotent;
  f->cost = run->mean;
  f->item.cost = run->mean;
  f->item.user_data = f;
  /* A request sent any later would probably miss its deadline and waste the slot. */
  if (s->row.admission)
    latest_start -= run->high;
  kq_map_add (&d->flights, &f->by_flight, flight_hash (r->flight), f);
  kq_heap_add (&d->by_latest_start, &f->by_latest_start, latest_start, d->order++, f);
  kq_service_push (s, lane, &f->item, f->caller, s->row.fairness ? weight : 1,
                   s->row.fairness ? r->key : 0, r->deadline);
  update_active (d, s);
}

/* A flight that has run longer than kq_run_times_long_after counts as long from then on,
 * and its run time so far is added to its class before it ends. */
static void
mark_long_running (KqDispatch *d, KqTime now)
{
  KqHeapNode *top;
  while ((top = kq_heap_top (&d->by_long_at)) != NULL && top->key <= now)
    {
      Flight *f = top->container;
      KqServiceQueue *s = f->service;
      kq_heap_remove (&d->by_long_at, top);
      kq_run_times_add (&s->run_times, f->class_id, now - f->sent_at, now);
      if (!s->row.short_slots)
        continue;
      s->in_flight[KQ_LANE_SHORT]--;
      s->in_flight[KQ_LANE_LONG]++;
      kq_pool_mark_long (f->runner);
      f->lane = KQ_LANE_LONG;
    }
}

/* Adds a sent flight to by_long_at if its class is new, so not known to be short. */
static void
watch_run_time (KqDispatch *d, Flight *f, KqTime now)
{
  KqTime after = kq_run_times_long_after (&f->service->run_times);
  if (f->lane == KQ_LANE_LONG || f->class_id == 0 || after == KQ_TIME_NEVER
      || kq_run_times_forecast (&f->service->run_times, f->class_id).reliable)
    return;
  kq_heap_add (&d->by_long_at, &f->by_long_at, now + after, d->order++, f);
}

KqResult
kq_dispatch_offer (KqDispatch *d, const KqDispatchRequest *r, KqTime now,
                   KqTime *retry_after)
{
  KqServiceQueue *s = find_service (d, r->service);
  KqRunForecast run;
  KqAdmissionInput input;
  KqLane lane;
  KqResult why;
  int64_t weight;
  assert (find_flight (d, r->flight) == NULL);
  *retry_after = 0;
  if (s == NULL || !s->in_table)
    return KQ_ERR_NO_SERVICE;
  if (r->deadline <= now)
    return KQ_ERR_DEADLINE_PASSED;
  mark_long_running (d, now);
  kq_service_update_demand (s, now);
  run = kq_run_times_forecast (&s->run_times, r->class_id);
  if (kq_service_live_runners (s) == 0)
    {
      *retry_after = next_retry_after (d, s, NO_TARGET_RETRY_AFTER, &run, now);
      return KQ_ERR_NO_TARGET;
    }
  lane = run.is_long && s->row.short_slots ? KQ_LANE_LONG : KQ_LANE_SHORT;
  weight = caller_weight (d, r->caller);
  input = kq_service_admission_input (s, lane,
                                      s->row.fairness ? kq_str_hash (r->caller) : 0,
                                      weight, s->row.fairness ? r->key : 0);
  why = kq_admission_decide (&input, &run, r->deadline - now, s->row.admission);
  if (why == KQ_OK)
    enqueue (d, s, r, &run, lane, weight);
  else
    *retry_after = next_retry_after (d, s, kq_admission_wait (&input, &run), &run, now);
  return why;
}

static void
refuse (KqDispatch *d, Flight *f, KqResult code, KqTime now, KqDispatchEvent *event)
{
  KqServiceQueue *s = f->service;
  KqRunForecast run = kq_run_times_forecast (&s->run_times, f->class_id);
  KqTime wait = s->lanes[f->lane].work / (kq_service_slots (s) + 1);
  *event = (KqDispatchEvent){ .kind = KQ_DISPATCH_REFUSE,
                              .flight = f->flight,
                              .code = code,
                              .retry_after = next_retry_after (d, s, wait, &run, now) };
  dequeue (d, f);
  free_flight (d, f);
}

/* Refuses a queued flight that can't be served any more: its latest start has passed, or
 * its service has no live runner or no row left. */
static bool
refuse_next (KqDispatch *d, KqTime now, KqDispatchEvent *event)
{
  KqHeapNode *top = kq_heap_top (&d->by_latest_start);
  if (top != NULL && top->key <= now)
    {
      refuse (d, top->container, KQ_ERR_DEADLINE_PASSED, now, event);
      return true;
    }
  for (size_t i = 0; i < d->n_active; i++)
    {
      KqServiceQueue *s = d->active[i];
      const KqFairQueue *queue
          = &s->lanes[s->lanes[KQ_LANE_SHORT].queued > 0 ? KQ_LANE_SHORT : KQ_LANE_LONG];
      if (s->in_table && kq_service_live_runners (s) > 0)
        continue;
      refuse (d, kq_fair_first (queue)->user_data,
              s->in_table ? KQ_ERR_NO_TARGET : KQ_ERR_NO_SERVICE, now, event);
      return true;
    }
  return false;
}

/* Chooses the runner for the service's next flight. A due probe goes first: otherwise an
 * ejected runner would never return while the others have free slots. */
static KqRunner *
choose_runner (KqDispatch *d, const KqServiceQueue *s, const Flight *f, KqTime now)
{
  KqRunner *r = NULL;
  if (s->row.outlier)
    r = kq_pool_due_probe (s->groups, s->n_groups,
                           f->idempotent && f->lane == KQ_LANE_SHORT, now);
  if (r != NULL)
    return r;
  return kq_pool_choose (s->groups, s->n_groups, kq_service_checks (s), s->row.choice,
                         f->cost, &d->rand);
}

static void
send (KqDispatch *d, Flight *f, KqRunner *r, KqTime now, KqDispatchEvent *event)
{
  KqServiceQueue *s = f->service;
  kq_heap_remove (&d->by_latest_start, &f->by_latest_start);
  if (d->virtual_time < s->tag)
    d->virtual_time = s->tag;
  s->tag += f->cost * TAG_SCALE / (s->row.weight > 0 ? s->row.weight : 1);
  kq_service_take (s, f->lane, &f->item);
  update_active (d, s);
  s->in_flight[f->lane]++;
  kq_pool_take_slot (&d->pool, r, f->cost, f->lane == KQ_LANE_LONG);
  f->runner = r;
  f->sent_at = now;
  watch_run_time (d, f, now);
  f->busy_at_send = r->ours + r->foreign;
  *event = (KqDispatchEvent){ .kind = KQ_DISPATCH_SEND,
                              .flight = f->flight,
                              .runner = r->info.id };
}

/* Sends the next flight of the service with the lowest tag, which is the one furthest
 * behind its weighted share, among those that have a flight and a runner for it. */
static bool
send_next (KqDispatch *d, KqTime now, KqDispatchEvent *event)
{
  Flight *best = NULL;
  KqRunner *runner = NULL;
  for (size_t i = 0; i < d->n_active; i++)
    {
      KqServiceQueue *s = d->active[i];
      KqLane lane;
      KqFairItem *item;
      KqRunner *r;
      if (best != NULL && s->tag >= best->service->tag)
        continue;
      item = kq_service_first (s, &lane);
      r = item != NULL ? choose_runner (d, s, item->user_data, now) : NULL;
      if (r == NULL)
        continue;
      best = item->user_data;
      runner = r;
    }
  if (best != NULL)
    send (d, best, runner, now, event);
  return best != NULL;
}

bool
kq_dispatch_next (KqDispatch *d, KqTime now, KqDispatchEvent *event)
{
  if (d->n_active == 0)
    return false;
  return refuse_next (d, now, event) || send_next (d, now, event);
}

KqTime
kq_dispatch_wake_time (const KqDispatch *d, KqTime now)
{
  KqHeapNode *top = kq_heap_top (&d->by_latest_start);
  KqTime wake = top != NULL ? top->key : KQ_TIME_NEVER;
  (void)now;
  for (size_t i = 0; i < d->pool.n_groups && top != NULL; i++)
    {
      KqHeapNode *probe = kq_heap_top (&d->pool.groups[i]->probes);
      if (probe != NULL && probe->key < wake)
        wake = probe->key;
    }
  return wake;
}

static KqOutlierSample
sample_of (KqOutcome o)
{
  switch (o)
    {
    case KQ_OUTCOME_ANSWERED:
      return KQ_SAMPLE_GOOD;
    case KQ_OUTCOME_ERROR:
      return KQ_SAMPLE_ERROR;
    case KQ_OUTCOME_NOT_SENT:
      return KQ_SAMPLE_REFUSED;
    default:
      return KQ_SAMPLE_LOST;
    }
}

/* Updates the run times of the class, the caller's share, and the runner's limit and
 * outlier state. */
static void
record_outcome (KqDispatch *d, const Flight *f, KqOutcome o, KqTime now)
{
  KqServiceQueue *s = f->service;
  KqTime took = now - f->sent_at;
  KqRunForecast run = kq_run_times_forecast (&s->run_times, f->class_id);
  double ratio = (double)took / (double)run.mean;
  (void)d;
  /* The time until a cancellation is only a lower bound of the run time, so it counts if
   * it is above the mean. */
  if (o == KQ_OUTCOME_ANSWERED || (o == KQ_OUTCOME_CANCELLED && took > run.mean))
    kq_run_times_add (&s->run_times, f->class_id, took, now);
  kq_fair_correct (&s->lanes[f->lane], f->caller, took - f->cost);
  if (!run.reliable)
    ratio = 1;
  if (o == KQ_OUTCOME_ANSWERED && run.reliable && s->row.limit)
    kq_limit_add_answer (&f->runner->limit, (double)took / (double)run.baseline,
                         f->busy_at_send);
  if (o != KQ_OUTCOME_CANCELLED)
    kq_outlier_add_sample (&f->runner->outlier, &f->runner->group->peers, sample_of (o),
                           ratio, f->runner->info.slots, now);
}

void
kq_dispatch_done (KqDispatch *d, KqFlightId flight, KqOutcome o, KqTime now)
{
  Flight *f = find_flight (d, flight);
  if (f == NULL || f->runner == NULL)
    return;
  record_outcome (d, f, o, now);
  kq_service_update_demand (f->service, now);
  f->service->in_flight[f->lane]--;
  kq_pool_return_slot (&d->pool, f->runner, f->cost, f->lane == KQ_LANE_LONG);
  free_flight (d, f);
}

bool
kq_dispatch_cancel (KqDispatch *d, KqFlightId flight, KqTime now)
{
  Flight *f = find_flight (d, flight);
  (void)now;
  if (f == NULL || f->runner != NULL)
    return false;
  dequeue (d, f);
  free_flight (d, f);
  return true;
}

size_t
kq_dispatch_digest (const KqDispatch *d, KqServiceDigest *out, size_t max)
{
  size_t n = 0;
  for (size_t b = 0; b < d->services.n_buckets; b++)
    for (KqMapNode *node = d->services.buckets[b]; node != NULL; node = node->next)
      {
        const KqServiceQueue *s = node->container;
        if (n < max && s->in_table && kq_service_live_runners (s) > 0)
          out[n++] = kq_service_digest (s);
      }
  return n;
}

size_t
kq_dispatch_services (const KqDispatch *d)
{
  return d->services.n;
}

size_t
kq_dispatch_queued (const KqDispatch *d)
{
  return d->by_latest_start.n;
}

size_t
kq_dispatch_running (const KqDispatch *d)
{
  return d->pool.n_running;
}

json_t *
kq_dispatch_state (const KqDispatch *d, KqTime now)
{
  json_t *services = json_array ();
  json_t *runners = json_array ();
  (void)now;
  for (size_t b = 0; b < d->services.n_buckets; b++)
    for (KqMapNode *n = d->services.buckets[b]; n != NULL; n = n->next)
      json_array_append_new (services, kq_service_state (n->container));
  for (size_t b = 0; b < d->pool.runners.n_buckets; b++)
    for (KqMapNode *n = d->pool.runners.buckets[b]; n != NULL; n = n->next)
      json_array_append_new (runners, kq_runner_state (n->container));
  return json_pack ("{s:I,s:I,s:o,s:o}", "queued", (json_int_t)kq_dispatch_queued (d),
                    "running", (json_int_t)kq_dispatch_running (d), "services", services,
                    "runners", runners);
}
