#ifndef KQ_REQUEST_SERVICE_QUEUE_H
#define KQ_REQUEST_SERVICE_QUEUE_H

/* service_queue: the queued requests of one service, in two lanes: short and long.
 *
 * If one request in a hundred takes a hundred times as long (a report among status
 * calls), the long ones come to hold every slot of every runner. Short requests then wait
 * for a long one to end, and their p99 is the run time of the long ones.
 *
 * So requests of classes known to be long (run_times.h) wait in a lane of their own, and
 * some slots are kept free of them: short_percent of the slots, or the recent demand of
 * short requests (mean over a second, queued ones included) plus 15% if that is more, but
 * at most three quarters, so that long requests always make progress. The lanes share
 * the slots evenly by expected work; the long lane is skipped while it holds all slots
 * that it may hold.
 *
 * A class that is new counts as short. A request of such a class that has run for eight
 * times the service's median counts as long from then on, and its run time so far is
 * added to its class. So a wave of new long requests is recognized after a few of them,
 * before any of them has ended. */

#include "request/admission.h"
#include "request/fair.h"
#include "request/pool.h"
#include "request/run_times.h"
#include "table/table.h"

typedef enum
{
  KQ_LANE_SHORT,
  KQ_LANE_LONG,
  KQ_LANES
} KqLane;

typedef struct
{
  KqMapNode by_name;
  KqName name;
  KqServiceRow row;
  bool in_table; /* false: its row was removed */
  KqRunTimes run_times;
  KqFairQueue lanes[KQ_LANES];
  int64_t lane_tag[KQ_LANES]; /* finish tags of the lanes (see fair.h), microseconds */
  int64_t lane_virtual_time;  /* start tag of the lane served last */
  int64_t tag;                /* finish tag among the services, by weight */
  size_t active_index;        /* in the dispatcher's `active`, from 1; 0: not in it */
  int in_flight[KQ_LANES];    /* requests sent and not ended */
  double short_demand;        /* mean number of short requests, sent and queued */
  KqTime demand_at;           /* when short_demand was last updated */
  KqRetryAfter retry_after;
  KqGroup **groups; /* owned; the groups of runners that serve it */
  size_t n_groups;
} KqServiceQueue;

void kq_service_init (KqServiceQueue *s, const KqName *name);
/* Frees what s holds, but not s itself. s must have no items queued. */
void kq_service_clear (KqServiceQueue *s);
/* Finds the groups that serve it; to be called when the pool has a new group. */
void kq_service_set_groups (KqServiceQueue *s, const KqPool *p);
/* Adds the present demand of short requests to its mean. To be called before the demand
 * changes. */
void kq_service_update_demand (KqServiceQueue *s, KqTime now);
/* The set of checks (pool.h) that its row switches on. */
int kq_service_checks (const KqServiceQueue *s);
/* Number of requests in both lanes. */
size_t kq_service_queued (const KqServiceQueue *s);
/* Number of runners that are neither leaving nor refusing connections. */
int kq_service_live_runners (const KqServiceQueue *s);
/* Number of slots that its requests may use now. */
int kq_service_slots (const KqServiceQueue *s);
/* Returns the item to send next, and sets *lane to its lane; NULL: no lane may send. */
KqFairItem *kq_service_first (const KqServiceQueue *s, KqLane *lane);
/* kq_service_push queues an item (see kq_fair_push), kq_service_take removes the one that
 * kq_service_first returned, to send it, and kq_service_remove removes any item that is
 * not to be sent. */
void kq_service_push (KqServiceQueue *s, KqLane lane, KqFairItem *item, uint64_t caller,
                      int64_t weight, uint64_t key, KqTime deadline);
void kq_service_take (KqServiceQueue *s, KqLane lane, KqFairItem *item);
void kq_service_remove (KqServiceQueue *s, KqLane lane, KqFairItem *item);
/* The input of kq_admission_decide for a request; weight: of the caller. */
KqAdmissionInput kq_service_admission_input (const KqServiceQueue *s, KqLane lane,
                                             uint64_t caller, int64_t weight,
                                             uint64_t key);
/* The service's load, for heartbeats to the entry nodes. */
KqServiceDigest kq_service_digest (const KqServiceQueue *s);
json_t *kq_service_state (const KqServiceQueue *s); /* for operators; a new JSON object */

#endif
