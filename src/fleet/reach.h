#ifndef KQ_FLEET_REACH_H
#define KQ_FLEET_REACH_H

/* reach: a failure detector for the store. It decides from the store's answers, from
 * failed calls and from what the leader reports about its own calls.
 *
 * Most nodes call the store only every few seconds, so a node that relied on its own
 * calls would detect an outage by a client's write that times out with unknown outcome.
 * The leader calls many times a second, and detects it earlier. */

#include "base/time.h"

#include <stdbool.h>

typedef enum
{
  KQ_REACH_DOWN,
  KQ_REACH_SUSPECT, /* no recent answer: a write may time out with unknown outcome */
  KQ_REACH_UP
} KqReachState;

typedef struct
{
  KqTime answered_at;        /* the last answer to this node; 0: none yet */
  KqTime leader_answered_at; /* the last answer to the leader; 0: none reported */
  int failures;              /* failed calls that were sent after answered_at */
} KqReach;

/* Records that the store has sent this node an answer, or part of one. */
void kq_reach_answered (KqReach *r, KqTime now);
/* Records that a call sent at sent_at got no answer or was refused. */
void kq_reach_failed (KqReach *r, KqTime sent_at);
/* Records that the store answered the leader at that time of this node's clock. */
void kq_reach_leader_answered (KqReach *r, KqTime at);
/* The store's answers to the leader clear a suspicion, but not KQ_REACH_DOWN: only this
 * node may be cut off from the store. */
KqReachState kq_reach_state (const KqReach *r, KqTime now);
/* Whether the leader reaches the store: the store has answered it recently. */
bool kq_reach_up_at_leader (const KqReach *r, KqTime now);
/* Whether the state isn't KQ_REACH_DOWN. */
bool kq_reach_up (const KqReach *r, KqTime now);

#endif
