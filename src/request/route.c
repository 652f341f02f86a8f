#include "request/route.h"

#include "request/link.h"
#include "request/map.h"
#include "request/retry.h"

#include <stdlib.h>
#include <string.h>

/* Extra network time of a request and its answer if the owner is in another depot of the
 * region, or in another region. */
#define OTHER_DEPOT_RTT (2 * KQ_MS)
#define OTHER_REGION_RTT (40 * KQ_MS)
/* A request goes to the far region only if that saves this much wait for each 64 KB it
 * moves. The idle link carries 64 KB in 17 ms, but it is paid by the byte and shared with
 * all other traffic between regions. */
#define FAR_CHUNK_BYTES 65536
#define FAR_SAVING_PER_CHUNK (50 * KQ_MS)
/* Assumed size of an answer, which is unknown when the owner is chosen. */
#define EXPECTED_ANSWER_BYTES 16384
/* Up to this number of owners in a tier, all are weighed; a region has 12 at the target
 * size. */
#define OWNERS_WEIGHED_MAX 16
/* Typical age of a digest when it is used. */
#define DIGEST_AGE (500 * KQ_MS)
/* Run time assumed for a service whose owner has reported none yet. */
#define DEFAULT_RUN_TIME (10 * KQ_MS)
/* Retry time advised if there is no owner for the service, or no such service. */
#define RETRY_AFTER KQ_SEC

/* Owners by their distance from this node. */
typedef enum
{
  TIER_DEPOT,  /* in the own depot */
  TIER_REGION, /* in another depot of the own region */
  TIER_FAR,    /* in another region */
  TIERS
} Tier;

typedef struct Node Node;

/* One service at one owner. */
typedef struct
{
  Node *node;
  KqServiceDigest digest;
  int64_t n_open;           /* this node's requests there that have not ended */
  int64_t n_open_at_digest; /* the value of n_open when the digest arrived */
} Endpoint;

struct Node
{
  KqMapNode by_id;
  KqRouteNode info;
  Endpoint **endpoints; /* in the order in which the node reports them */
  size_t n_endpoints;
};

typedef struct
{
  KqMapNode by_name;
  KqName name;
  KqRetryBudget budget;
  const KqServiceRow *row; /* in the route's table; NULL: no such service */
  Endpoint **endpoints[TIERS];
  size_t n[TIERS];
  size_t capacity[TIERS];
} Service;

struct KqRoute
{
  KqRouteNode self;
  KqLinkBudget link;
  KqRand rand;
  KqTable *table;
  KqMap nodes;
  KqMap services;
};

KqRoute *
kq_route_new (const KqRouteNode *self, int64_t link_bytes_per_s, uint64_t seed)
{
  KqRoute *r = kq_alloc (sizeof *r);
  r->self = *self;
  r->rand = kq_rand (seed);
  kq_link_init (&r->link, link_bytes_per_s);
  return r;
}

static const KqServiceRow *
find_row (const KqRoute *r, KqStr name)
{
  const KqRow *row;
  if (r->table == NULL)
    return NULL;
  row = kq_table_find (r->table, KQ_ROW_SERVICE, name);
  return row != NULL ? &row->u.service : NULL;
}

static Service *
find_service (const KqRoute *r, KqStr name)
{
  KqMapNode *node = kq_map_find (&r->services, kq_str_hash (name));
  while (node != NULL
         && !kq_str_eq (kq_name_str (&((Service *)node->container)->name), name))
    node = kq_map_next (node);
  return node != NULL ? node->container : NULL;
}

static Service *
get_service (KqRoute *r, KqStr name)
{
  Service *s = find_service (r, name);
  if (s != NULL)
    return s;
  s = kq_alloc (sizeof *s);
  s->name = kq_name (name);
  s->row = find_row (r, name);
  kq_map_add (&r->services, &s->by_name, kq_str_hash (name), s);
  return s;
}

static Node *
find_node (const KqRoute *r, KqNodeId id)
{
  KqMapNode *node = kq_map_find (&r->nodes, id);
  return node != NULL ? node->container : NULL;
}

static Tier
tier_of (const KqRoute *r, const KqRouteNode *n)
{
  if (!kq_name_eq (&n->region, &r->self.region))
    return TIER_FAR;
  return kq_name_eq (&n->depot, &r->self.depot) ? TIER_DEPOT : TIER_REGION;
}

static void
add_endpoint (Service *s, Tier t, Endpoint *e)
{
  if (s->n[t] == s->capacity[t])
    {
      s->capacity[t] = s->capacity[t] > 0 ? s->capacity[t] * 2 : 8;
      s->endpoints[t]
          = kq_realloc (s->endpoints[t], s->capacity[t] * sizeof (Endpoint *));
    }
  s->endpoints[t][s->n[t]++] = e;
}

static void
remove_endpoint (Service *s, Tier t, const Endpoint *e)
{
  for (size_t i = 0; i < s->n[t]; i++)
    if (s->endpoints[t][i] == e)
      {
        s->endpoints[t][i] = s->endpoints[t][--s->n[t]];
        return;
      }
}

static void
free_endpoints (KqRoute *r, Node *n)
{
  Tier t = tier_of (r, &n->info);
  for (size_t i = 0; i < n->n_endpoints; i++)
    {
      Service *s = find_service (r, kq_name_str (&n->endpoints[i]->digest.service));
      if (s != NULL)
        remove_endpoint (s, t, n->endpoints[i]);
      free (n->endpoints[i]);
    }
  free (n->endpoints);
  n->endpoints = NULL;
  n->n_endpoints = 0;
}

void
kq_route_free (KqRoute *r)
{
  KqMapNode *node;
  while ((node = kq_map_any (&r->nodes)) != NULL)
    kq_route_drop_node (r, node->hash);
  while ((node = kq_map_any (&r->services)) != NULL)
    {
      Service *s = node->container;
      kq_map_remove (&r->services, node);
      for (int t = 0; t < TIERS; t++)
        free (s->endpoints[t]);
      free (s);
    }
  kq_map_free (&r->nodes);
  kq_map_free (&r->services);
  if (r->table != NULL)
    kq_table_unref (r->table);
  free (r);
}

void
kq_route_set_table (KqRoute *r, KqTable *t)
{
  KqTable *old = r->table;
  r->table = kq_table_ref (t);
  if (old != NULL)
    kq_table_unref (old);
  for (size_t b = 0; b < r->services.n_buckets; b++)
    for (KqMapNode *n = r->services.buckets[b]; n != NULL; n = n->next)
      {
        Service *s = n->container;
        s->row = find_row (r, kq_name_str (&s->name));
      }
}

static Endpoint *
find_endpoint (const Node *n, KqStr service)
{
  for (size_t i = 0; n != NULL && i < n->n_endpoints; i++)
    if (kq_str_eq (kq_name_str (&n->endpoints[i]->digest.service), service))
      return n->endpoints[i];
  return NULL;
}

/* Adds the endpoints of n, with the counts of open requests that `old`, the former state
 * of the node, has for the same services. */
static void
add_endpoints (KqRoute *r, Node *n, const Node *old, const KqServiceDigest *digests,
               size_t n_digests)
{
  n->endpoints = kq_alloc (n_digests * sizeof (Endpoint *));
  for (size_t i = 0; i < n_digests; i++)
    {
      KqStr name = kq_name_str (&digests[i].service);
      const Endpoint *old_endpoint = find_endpoint (old, name);
      Endpoint *e;
      if (digests[i].slots <= 0)
        continue;
      e = kq_alloc (sizeof *e);
      *e = (Endpoint){ .node = n, .digest = digests[i] };
      e->n_open = e->n_open_at_digest = old_endpoint != NULL ? old_endpoint->n_open : 0;
      n->endpoints[n->n_endpoints++] = e;
      add_endpoint (get_service (r, name), tier_of (r, &n->info), e);
    }
}

void
kq_route_set_node (KqRoute *r, const KqRouteNode *info, const KqServiceDigest *digests,
                   size_t n_digests, KqTime now)
{
  Node *n = find_node (r, info->node);
  Node old;
  (void)now;
  if (n == NULL)
    {
      n = kq_alloc (sizeof *n);
      kq_map_add (&r->nodes, &n->by_id, info->node, n);
    }
  old = *n;
  n->endpoints = NULL;
  n->n_endpoints = 0;
  n->info = *info;
  if (info->usable)
    add_endpoints (r, n, &old, digests, n_digests);
  free_endpoints (r, &old);
}

void
kq_route_drop_node (KqRoute *r, KqNodeId id)
{
  Node *n = find_node (r, id);
  if (n == NULL)
    return;
  free_endpoints (r, n);
  kq_map_remove (&r->nodes, &n->by_id);
  free (n);
}

static KqTime
run_time (const Endpoint *e)
{
  return e->digest.p50_us > 0 ? e->digest.p50_us : DEFAULT_RUN_TIME;
}

/* How long a request sent now is expected to wait: the work of the requests that exceed
 * the slots, divided by the slots. */
static KqTime
expected_wait (const Endpoint *e)
{
  const KqServiceDigest *d = &e->digest;
  int64_t reported = (int64_t)d->busy + d->queued;
  int64_t excess = reported + e->n_open - e->n_open_at_digest - d->slots;
  KqTime run
      = reported > 0 && d->work_us / reported > 0 ? d->work_us / reported : run_time (e);
  return excess > 0 ? excess * run / d->slots : 0;
}

/* Decides at random whether a request goes to another owner to save the wait `saved`.
 * All entry nodes see the same digests, which are half a second old: if all requests went
 * to the owner that looks best, it would be overloaded and the others idle until the next
 * digest (six owners at 0.8 load: p99 259 ms instead of 185 ms). Moving a fraction of
 * saved / (saved + DIGEST_AGE) about evens out the waits by the next digest. */
static bool
should_move (KqRoute *r, KqTime saved)
{
  if (saved <= 0)
    return false;
  return kq_rand_unit (&r->rand) * (double)(saved + DIGEST_AGE) < (double)saved;
}

/* Draws an endpoint uniformly, but not at `avoid`; NULL: there is none. */
static Endpoint *
choose_uniform (KqRoute *r, const Service *s, Tier t, KqNodeId avoid)
{
  size_t i;
  if (s->n[t] == 0)
    return NULL;
  i = kq_rand_below (&r->rand, s->n[t]);
  if (s->endpoints[t][i]->node->info.node != avoid)
    return s->endpoints[t][i];
  return s->n[t] > 1 ? s->endpoints[t][(i + 1) % s->n[t]] : NULL;
}

/* The rate of requests that the endpoint can serve, reduced by the expected wait. */
static double
weight (const Endpoint *e)
{
  double rate = (double)e->digest.slots / (double)run_time (e);
  return rate / (1 + (double)expected_wait (e) / DIGEST_AGE);
}

/* Draws one of all owners of the tier by weight. Drawing two uniformly and choosing one
 * of these two by weight gives small owners too many requests: one of three that had a
 * tenth of the slots still got a fifth of the requests, and refused them at 0.6 load
 * (bench-load-live). */
static Endpoint *
choose_weighted (KqRoute *r, const Service *s, Tier t, KqNodeId avoid)
{
  double total = 0;
  double left;
  Endpoint *last = NULL;
  for (size_t i = 0; i < s->n[t]; i++)
    {
      if (s->endpoints[t][i]->node->info.node != avoid)
        total += weight (s->endpoints[t][i]);
    }
  left = kq_rand_unit (&r->rand) * total;
  for (size_t i = 0; i < s->n[t]; i++)
    {
      Endpoint *e = s->endpoints[t][i];
      if (e->node->info.node == avoid)
        continue;
      last = e;
      left -= weight (e);
      if (left < 0)
        break;
    }
  return last;
}

/* Draws two owners uniformly, then one of these by weight. With many owners, weighing all
 * of them would cost more than the request's other decisions together. */
static Endpoint *
choose_of_two (KqRoute *r, const Service *s, Tier t, KqNodeId avoid)
{
  Endpoint *a = choose_uniform (r, s, t, avoid);
  Endpoint *b = choose_uniform (r, s, t, avoid);
  if (a == NULL)
    return NULL;
  return kq_rand_unit (&r->rand) * (weight (a) + weight (b)) < weight (a) ? a : b;
}

static Endpoint *
choose_in_tier (KqRoute *r, const Service *s, Tier t, KqNodeId avoid)
{
  if (!s->row->choice)
    return choose_uniform (r, s, t, avoid);
  return s->n[t] <= OWNERS_WEIGHED_MAX ? choose_weighted (r, s, t, avoid)
                                       : choose_of_two (r, s, t, avoid);
}

/* Chooses in the own depot, or in another one if that saves more wait than the network
 * round trip costs. */
static Endpoint *
choose_in_region (KqRoute *r, const Service *s, KqNodeId avoid)
{
  Endpoint *own = choose_in_tier (r, s, TIER_DEPOT, avoid);
  Endpoint *other = choose_in_tier (r, s, TIER_REGION, avoid);
  if (own == NULL || other == NULL)
    return own != NULL ? own : other;
  if (!s->row->choice)
    return kq_rand_below (&r->rand, s->n[TIER_DEPOT] + s->n[TIER_REGION])
                   < s->n[TIER_DEPOT]
               ? own
               : other;
  return should_move (r, expected_wait (own) - expected_wait (other) - OTHER_DEPOT_RTT)
             ? other
             : own;
}

/* The wait that must be saved for a request that moves so many bytes over the link. */
static KqTime
far_min_saving (int64_t bytes)
{
  return OTHER_REGION_RTT + FAR_SAVING_PER_CHUNK * (bytes / FAR_CHUNK_BYTES + 1);
}

KqRouteChoice
kq_route_choose (KqRoute *r, KqStr service, int64_t bytes, KqNodeId avoid, KqTime now)
{
  Service *s = find_service (r, service);
  int64_t link_bytes_needed = bytes + EXPECTED_ANSWER_BYTES;
  Endpoint *near;
  Endpoint *far;
  if (s == NULL || s->row == NULL)
    return (KqRouteChoice){ .code = find_row (r, service) != NULL ? KQ_ERR_NO_TARGET
                                                                  : KQ_ERR_NO_SERVICE,
                            .retry_after = RETRY_AFTER };
  near = choose_in_region (r, s, avoid);
  far = s->row->far ? choose_in_tier (r, s, TIER_FAR, avoid) : NULL;
  if (near != NULL && far != NULL
      && !should_move (r, expected_wait (near) - expected_wait (far)
                              - far_min_saving (link_bytes_needed)))
    far = NULL;
  if (far != NULL && kq_link_allows (&r->link, link_bytes_needed, now))
    return (KqRouteChoice){ .node = far->node->info.node, .far = true };
  if (near != NULL)
    return (KqRouteChoice){ .node = near->node->info.node };
  if (avoid != 0)
    return kq_route_choose (r, service, bytes, 0, now);
  if (far != NULL)
    return (KqRouteChoice){ .code = KQ_ERR_LINK_BUDGET,
                            .retry_after
                            = kq_link_wait (&r->link, link_bytes_needed, now) };
  return (KqRouteChoice){ .code = KQ_ERR_NO_TARGET, .retry_after = RETRY_AFTER };
}

void
kq_route_sent (KqRoute *r, KqNodeId node, KqStr service, KqTime now)
{
  Endpoint *e = find_endpoint (find_node (r, node), service);
  (void)now;
  if (e != NULL)
    e->n_open++;
}

void
kq_route_ended (KqRoute *r, KqNodeId node, KqStr service, KqTime now)
{
  Endpoint *e = find_endpoint (find_node (r, node), service);
  (void)now;
  if (e != NULL && e->n_open > 0)
    e->n_open--;
}

void
kq_route_link_used (KqRoute *r, int64_t bytes, KqTime now)
{
  kq_link_spend (&r->link, bytes, now);
}

/* Finds or adds a service that is in the table; NULL: it isn't. Other names are never
 * added, because callers could fill the memory with them. */
static Service *
get_table_service (KqRoute *r, KqStr name)
{
  Service *s = find_service (r, name);
  if (s == NULL && find_row (r, name) != NULL)
    s = get_service (r, name);
  return s != NULL && s->row != NULL ? s : NULL;
}

void
kq_route_first_try (KqRoute *r, KqStr service, KqTime now)
{
  Service *s = get_table_service (r, service);
  if (s != NULL)
    kq_retry_count_first_try (&s->budget, s->row->retry_percent, now);
}

bool
kq_route_take_retry (KqRoute *r, KqStr service, KqTime now)
{
  Service *s = get_table_service (r, service);
  if (s == NULL)
    return false;
  return !s->row->retry || kq_retry_take (&s->budget, now);
}

KqTime
kq_route_backoff (KqRoute *r, int n)
{
  return kq_retry_backoff (&r->rand, n);
}
