#ifndef KQ_AGENT_AGENT_H
#define KQ_AGENT_AGENT_H

/* agent: carries out a leader's orders at the runners that the leader has assigned to
 * this node. Each node has one.
 *
 * An agent makes no scheduling decisions. It renews the leases of its runners, reports
 * their lists of runs and of ends (how each finished run ended), makes each call once and
 * reports its outcome. When the leader stops sending, the agent keeps renewing for
 * renew_without_leader_ms, so that tasks survive a change of leader. */

#include "agent/frame.h"
#include "steps/cordons.h"

typedef struct KqAgent KqAgent;

typedef struct
{
  KqLoop *loop;
  KqRunnerClient *calls;
  KqAdviceClient *advice; /* NULL: no advice service is configured */
  int64_t lease_ms;
  int64_t renew_without_leader_ms; /* how long leases are renewed without a message of a
                                      leader */
  const KqCordons *cordons; /* no start is sent into these domains; NULL: none are */
  KqCounters *counters;
  /* Sends an item to the leader of that epoch. */
  void (*notice) (void *arg, uint64_t epoch, const KqAgentItem *i);
  void *arg;
} KqAgentConfig;

KqAgent *kq_agent_new (const KqAgentConfig *c);
void kq_agent_free (KqAgent *a);
/* Carries out an order of the leader of that epoch. Ignored if a leader of a higher epoch
 * is known. */
void kq_agent_order (KqAgent *a, uint64_t epoch, const KqOrder *o, KqTime now);
/* Records that the leader of that epoch has sent something. */
void kq_agent_leader_heard (KqAgent *a, uint64_t epoch, KqTime now);
/* Records that the leader of that epoch knows that this node was alive at `at`: it has
 * answered a heartbeat sent then, or a connection was opened. The leader waits for leases
 * granted here until renew_without_leader_ms after `at`; other messages don't extend
 * that, as they may have been delayed. Also counts as a message of the leader. */
void kq_agent_leader_confirmed (KqAgent *a, uint64_t epoch, KqTime at);
/* Releases all runners: the connection to a leader is new, or this node leads from now
 * on. The leader that assigned them has assigned them to other agents, or will assign
 * them again. */
void kq_agent_release_all (KqAgent *a);
/* Reports to the leader of that epoch until when leases that were granted before may last
 * (KQ_AGENT_ITEM_GRANTS). Call after kq_agent_release_all, once the leader can take it.
 */
void kq_agent_report_grants (KqAgent *a, uint64_t epoch, KqTime now);
/* Sets whether the leader understands KQ_AGENT_ITEM_CHANGES; false at first and after
 * kq_agent_release_all. */
void kq_agent_use_changes (KqAgent *a, bool known);
/* Number of runners that are assigned to this agent. */
size_t kq_agent_n_runners (const KqAgent *a);

#endif
