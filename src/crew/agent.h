#ifndef KQ_CREW_AGENT_H
#define KQ_CREW_AGENT_H

/* agent: carries out a leader's orders at the runners given to this node.
 *
 * It decides nothing about tasks. It renews the leases of its runners, passes on what
 * they list, makes each call once and tells how it ended. When its leader falls silent it
 * goes on renewing for a while, so that work lives through a change of leader. */

#include "crew/frame.h"

typedef struct KqCrewAgent KqCrewAgent;

typedef struct
{
  KqLoop *loop;
  KqRunnerCalls *calls;
  KqAdviceCalls *advice; /* NULL: there is no such service */
  int64_t lease_ms;
  int64_t blind_ms; /* leases are renewed for so long without a word of a leader */
  KqCounters *counters;
  void (*notice) (void *arg, uint64_t epoch, const KqCrewItem *i);
  void *arg;
} KqCrewAgentConfig;

KqCrewAgent *kq_crew_agent_new (const KqCrewAgentConfig *c);
void kq_crew_agent_free (KqCrewAgent *a);
/* Of a leader with an older epoch than one heard before: ignored. */
void kq_crew_agent_order (KqCrewAgent *a, uint64_t epoch, const KqOrder *o, KqTime now);
/* A sign of life of the leader of that epoch. */
void kq_crew_agent_heard (KqCrewAgent *a, uint64_t epoch, KqTime now);
/* A leader of that epoch counts us as there at `at` or later: it has a beat that left
 * then, or a connection is new. What comes in may have been on its way for long, so only
 * this tells how long the leader waits for leases that we grant: blind_ms from then. Also
 * a sign of life. */
void kq_crew_agent_counted (KqCrewAgent *a, uint64_t epoch, KqTime at);
/* The connection to a leader is new, or this node leads from now on: whatever leader gave
 * the runners has given them to others by now, or will give them again. */
void kq_crew_agent_released (KqCrewAgent *a);
/* Whether the leader knows KQ_CREW_CHANGES; not at first, nor after a release. */
void kq_crew_agent_tell_changes (KqCrewAgent *a, bool known);
size_t kq_crew_agent_runners (const KqCrewAgent *a);

#endif
