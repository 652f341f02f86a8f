#ifndef KQ_FLEET_FRONT_H
#define KQ_FLEET_FRONT_H

/* front: what becomes of client accounts' requests at the node that takes them in.
 *
 * Accepting and cancelling need the store only, so every node does both by itself and
 * without a leader. States are asked of the leader, which knows them without a call; when
 * it can't be reached, the store tells what is certain. A node that the store
 * turns away, and not the leader, hands jobs in through the leader. */

#include "base/counter.h"
#include "crew/frame.h"
#include "fleet/reach.h"
#include "port/front.h"
#include "port/kv.h"
#include "steps/queues.h"

typedef struct KqFrontDesk KqFrontDesk;

typedef struct
{
  KqLoop *loop;
  KqKv *kv;
  KqCounters *counters;
  void *arg;
  const KqQueueTable *(*table) (void *arg); /* NULL: none yet */
  /* How the store has answered lately: while it is away a write would only wait for a
   * timeout. */
  KqReachState (*store) (void *arg, KqTime now);
  bool (*by_leader) (void *arg, KqTime now); /* whether the leader reaches it */
  /* Passes a question on to the leader; false: there is none at hand. The answer comes by
   * kq_front_desk_answer. */
  bool (*ask) (void *arg, const KqCrewItem *question, KqTime now);
  /* Tells the leader of a job or a cancellation that is in the store now. */
  void (*tell) (void *arg, const KqCrewItem *i, KqTime now);
  void (*answered) (void *arg, KqTime sent_at, KqTime now);
  void (*failed) (void *arg, KqTime sent_at); /* a call to the store had no answer */
} KqFrontDeskConfig;

KqFrontDesk *kq_front_desk_new (const KqFrontDeskConfig *c);
void kq_front_desk_free (KqFrontDesk *d);
void kq_front_desk_request (KqFrontDesk *d, KqAsk *a, const KqFrontRequest *r,
                            KqTime now);
/* value < 0: the leader doesn't know. */
void kq_front_desk_answer (KqFrontDesk *d, uint64_t call, int64_t value, KqTime now);

#endif
