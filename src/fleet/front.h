#ifndef KQ_FLEET_FRONT_H
#define KQ_FLEET_FRONT_H

/* front: handles client accounts' requests on the node that receives them.
 *
 * Accepting and cancelling need only the store, so every node does both without a leader.
 * Job states are queried from the leader, which has them in memory; without a leader they
 * are derived from the store. A node that cannot reach the store, while the leader can,
 * has the leader write its jobs. With `admission`, a job that can't be of use any more is
 * refused (admission.h). */

#include "agent/frame.h"
#include "base/counter.h"
#include "fleet/reach.h"
#include "port/front.h"
#include "port/kv.h"
#include "steps/queues.h"

typedef struct KqFrontHandler KqFrontHandler;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqCounters *counters;
  void *arg;
  /* The configuration of queues; NULL: none yet. */
  const KqQueueTable *(*table) (void *arg);
  /* The store's state as seen by this node; no calls are made while KQ_REACH_DOWN. */
  KqReachState (*store_state) (void *arg, KqTime now);
  /* Whether the leader reaches the store, so that it can write this node's jobs. */
  bool (*store_reached_by_leader) (void *arg, KqTime now);
  /* Sends a query to the leader; the reply is passed to kq_front_handler_answer, possibly
   * before this returns. False: there is no leader, and no reply will come. */
  bool (*query_leader) (void *arg, const KqAgentItem *query, KqTime now);
  /* Tells the leader about a job or a cancellation that has been written to the store. */
  void (*notify_leader) (void *arg, const KqAgentItem *i, KqTime now);
  /* The store has answered a call that was sent at sent_at. */
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  /* A call sent at sent_at got no answer or was refused. */
  void (*failed) (void *arg, KqTime sent_at);
  /* Whether jobs that can't be of use any more are refused (KqSchedFeatures). */
  bool admission;
  /* The epoch of the leader that can be reached now; 0: none. Only with `admission`. */
  uint64_t (*leader_epoch) (void *arg);
  /* Memory that further jobs may take at the leader, as it was at *as_of; -1: not
   * limited. NULL: never limited. */
  int64_t (*jobs_free) (void *arg, KqTime now, KqTime *as_of);
} KqFrontHandlerConfig;

KqFrontHandler *kq_front_handler_new (const KqFrontHandlerConfig *c);
void kq_front_handler_free (KqFrontHandler *h);
/* Handles one request; replies by kq_front_exchange_reply exactly once. */
void kq_front_handler_request (KqFrontHandler *h, KqFrontExchange *x,
                               const KqFrontRequest *r, KqTime now);
/* The leader's reply to query `call`: a KqJobState, a KqAcceptResult, a number of jobs or
 * of ms; below 0: unknown. Ignored when the request has already been replied to. */
void kq_front_handler_answer (KqFrontHandler *h, uint64_t call, int64_t value,
                              KqTime now);
/* Takes an item LOAD from the leader of that epoch. */
void kq_front_handler_load (KqFrontHandler *h, uint64_t epoch, const KqAgentItem *i,
                            KqTime now);

#endif
