#ifndef KQ_REQUEST_ROUTE_H
#define KQ_REQUEST_ROUTE_H

/* route: selects the owner to which an entry node sends a request. The entry node holds
 * the caller's connection; an owner passes requests to the runners of its shards.
 *
 * Heartbeats carry a load digest of each service at each owner. Owners are drawn at
 * random, weighted by what they can serve: slots over run time, or less if there is a
 * queue. The own depot is preferred, then the own region. Another ("far") region is used
 * only if the saved wait justifies the bytes sent over the link, for which there is a
 * budget. Only the part of the requests that evens out the waits goes to the next tier.
 *
 * Always choosing the less loaded of two owners was worse than drawing at random
 * (bench-load, owners, seed 1: p50 61 ms against 28 ms): digests are half a second old,
 * so that all entry nodes overloaded the same owner. The module also holds the retry
 * budget of each service and computes the backoff. It uses no socket and no clock. */

#include "base/rand.h"
#include "table/table.h"
#include "wire/msg.h"

typedef struct KqRoute KqRoute;

typedef struct
{
  KqNodeId node;
  KqName region;
  KqName depot;
  bool usable; /* alive and not draining */
} KqRouteNode;

typedef struct
{
  KqNodeId node;      /* the owner; 0: none */
  bool far;           /* the owner is in another region */
  KqResult code;      /* without a node: NO_TARGET, LINK_BUDGET, NO_SERVICE */
  KqTime retry_after; /* without a node: how long the caller should wait */
} KqRouteChoice;

/* link_bytes_per_s: how much this node may send to and receive from other regions. */
KqRoute *kq_route_new (const KqRouteNode *self, int64_t link_bytes_per_s, uint64_t seed);
void kq_route_free (KqRoute *r);
/* Takes a reference to the table and uses its service rows. */
void kq_route_set_table (KqRoute *r, KqTable *t);
/* Replaces what is known of an owner and the digests of its services. */
void kq_route_set_node (KqRoute *r, const KqRouteNode *n, const KqServiceDigest *s,
                        size_t n_services, KqTime now);
/* Removes a node and its services. */
void kq_route_drop_node (KqRoute *r, KqNodeId node);
/* Chooses an owner for the next try of a request. bytes: length of the request's body as
 * far as known. avoid: the owner that was tried last, chosen again only if there is no
 * other (it may use another runner); 0: none. */
KqRouteChoice kq_route_choose (KqRoute *r, KqStr service, int64_t bytes, KqNodeId avoid,
                               KqTime now);
/* kq_route_sent counts a request sent to the node, kq_route_ended its end. Until the next
 * digest includes them, this node's own requests are added to the load that the owner has
 * reported. */
void kq_route_sent (KqRoute *r, KqNodeId node, KqStr service, KqTime now);
void kq_route_ended (KqRoute *r, KqNodeId node, KqStr service, KqTime now);
/* Charges bytes sent or received over the region link to its budget. */
void kq_route_link_used (KqRoute *r, int64_t bytes, KqTime now);

/* Counts the first try of a request, which adds to the retry budget. */
void kq_route_first_try (KqRoute *r, KqStr service, KqTime now);
/* Takes a retry from the budget. Returns false if none is left, so that a retry isn't
 * allowed; always true if the service row has no retry budget (`retry` false). */
bool kq_route_take_retry (KqRoute *r, KqStr service, KqTime now);
/* Returns the backoff with jitter before retry n, counted from 1. */
KqTime kq_route_backoff (KqRoute *r, int n);

#endif
