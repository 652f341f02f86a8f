#ifndef KQ_REQUEST_FAIR_H
#define KQ_REQUEST_FAIR_H

/* fair: the order in which queued requests are sent. Callers share by weight, and the
 * keys of a caller share evenly.
 *
 * In a first-in-first-out queue, one caller that sends many times what all others send,
 * or one key of a caller (such as a page that every browser polls), makes all others wait
 * behind its backlog.
 *
 * The queue uses weighted fair queueing by virtual start time. A flow is a caller or a
 * key of a caller. The virtual time is the start tag of the item served last. Each flow
 * has a finish tag, which grows by expected run time / weight with each item served. An
 * item's start tag is the virtual time at its arrival, or its flow's finish tag minus
 * `burst` if that is later. The item with the lowest start tag is served. So items leave
 * in order of arrival as long as no flow is more than `burst` ahead of its share; items
 * beyond that wait behind those of other flows. The burst is one service time of all
 * slots: a busy flow can add that much to the wait of another, not more. With a burst of
 * 0, a thousand keys with little traffic are served nearly last in, first out during a
 * mild overload: p99 was 820 ms with a backlog of 290 ms (bench-load, retry storm, seed
 * 1).
 *
 * Deficit round robin gives the same shares, but a new flow waits for a whole round of
 * all others' quanta, and a request that costs a hundred quanta needs as many rounds. A
 * tag costs one heap operation. A caller that got more than its share keeps its tag while
 * it is idle, until the virtual time has reached it; so it gains nothing by sending one
 * request at a time.
 *
 * Flows form two levels: the root's children are callers, and their children are keys.
 * The items of a key leave in order of deadline. */

#include "base/time.h"
#include "request/heap.h"
#include "request/map.h"

#include <stdbool.h>

typedef struct KqFlow KqFlow;

/* Embedded in the queued request. */
typedef struct
{
  KqHeapNode by_deadline;
  KqFlow *leaf;           /* the flow of the item's key; NULL: not queued */
  int64_t cost;           /* expected run time, microseconds; at least 1 */
  int64_t caller_arrival; /* virtual time among callers when the item arrived */
  int64_t key_arrival;    /* virtual time among the caller's keys, likewise */
  void *user_data;        /* for the user of the queue; not read here */
} KqFairItem;

typedef struct
{
  KqFlow *root;
  KqMap flows;         /* by hash of parent and id */
  KqHeap idle_callers; /* idle callers whose tag is ahead of the virtual time, by tag */
  uint64_t order;      /* of the next item; breaks ties */
  size_t queued;
  int64_t work;          /* expected work of all items, microseconds */
  int64_t active_weight; /* of callers that have something queued */
  int64_t burst;         /* work that a flow may be ahead of its share, microseconds */
} KqFairQueue;

/* What one caller and one of its keys have queued, for admission's forecast. */
typedef struct
{
  size_t queued;
  int64_t work;
  int64_t active_keys; /* keys of the caller that have something queued */
  size_t key_queued;
  int64_t key_work;
} KqFairShare;

void kq_fair_init (KqFairQueue *f);
void kq_fair_free (KqFairQueue *f); /* must hold no items */
/* Returns what the caller and the key have queued; all zero: nothing. */
KqFairShare kq_fair_share (const KqFairQueue *f, uint64_t caller, uint64_t key);
/* Queues an item whose cost is set. weight: of the caller; a changed weight applies once
 * the caller's queue has been empty. deadline: orders the items of a key. */
void kq_fair_push (KqFairQueue *f, KqFairItem *item, uint64_t caller, int64_t weight,
                   uint64_t key, KqTime deadline);
/* Returns the next item without removing it; NULL: none. */
KqFairItem *kq_fair_first (const KqFairQueue *f);
/* Removes the item that kq_fair_first returned, and charges its cost to its flows. */
void kq_fair_take (KqFairQueue *f, KqFairItem *item);
/* Removes any item without charging its flows. */
void kq_fair_remove (KqFairQueue *f, KqFairItem *item);
/* Charges the caller for `extra` microseconds, by which an item served took longer than
 * its cost (shorter, if negative). At most one burst is charged. */
void kq_fair_correct (KqFairQueue *f, uint64_t caller, int64_t extra);

#endif
