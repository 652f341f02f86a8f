#ifndef KQ_AGENT_STATE_H
#define KQ_AGENT_STATE_H

/* state: declarations shared by the agent's own files; no other file includes this. */

#include "agent/agent.h"
#include "agent/conns.h"
#include "agent/lease.h"

#include <ev.h>
#include <glib.h>

#define PART "agent"
/* Timeout of a call; a round trip between regions with a queue on the link is shorter. */
#define KQ_AGENT_CALL_MS 900

/* A start that the leader has ordered. */
typedef struct
{
  char *task;
  uint32_t run;
  char *text; /* the task's description */
  char *checkpoint;
  char *ticket;
  KqTime ordered_at;
} KqStart;

/* A runner that is assigned to this agent. */
typedef struct
{
  KqAgent *agent;
  char *id;
  char *address;
  uint64_t epoch;
  uint64_t serial; /* of this assignment, unique in this agent; replies to earlier ones'
                      calls are dropped */
  uint64_t assignment; /* the leader's number of it */
  ev_timer poll_timer;
  bool polling;         /* a poll is in flight */
  bool watched;         /* polled more often, as filling tasks run beside serving ones */
  uint64_t ends_acked;  /* the highest KqEndRow.number that the leader has acknowledged */
  uint64_t ends_listed; /* the highest number in the runner's last list */
  uint64_t outcomes_sent;     /* outcomes of orders reported to the leader */
  KqRunDeltaState *run_delta; /* for a leader that understands KQ_AGENT_ITEM_CHANGES */
  uint64_t ends_reported;     /* the highest number reported to it */
  KqLease lease;
  KqConns conns;
  GQueue starts;  /* KqStart, waiting for a verified connection */
  bool verifying; /* a call that only verifies a connection is in flight */
  int failures;   /* polls without an answer, in a row */
  uint64_t halt;  /* not 0: no lease is granted until an order RENEW names this number */
  KqTime silence_reported_at; /* last reported as unreachable; 0: answered since */
} KqAgentRunner;

struct KqAgent
{
  KqAgentConfig config;
  GHashTable *runners; /* id -> KqAgentRunner */
  uint64_t epoch;
  uint64_t serial;            /* the last number given as KqAgentRunner.serial or halt */
  KqTime heard_at;            /* last message of a leader */
  KqTime leader_confirmed_at; /* the leader knows this node as alive then, or later */
  bool sends_changes;         /* the leader understands KQ_AGENT_ITEM_CHANGES */
  uint64_t *renewals;
  uint64_t *renewals_failed;
  uint64_t *verifications;
};

/* A call to a runner. */
typedef struct
{
  KqAgent *agent;
  uint64_t serial;
  uint64_t outcomes_sent; /* the runner's outcomes_sent when the call was made */
  int in_use;             /* calls to the runner in flight then, this one included */
  KqOrderKind kind;
  uint32_t run; /* polls: how long it waits at the runner, ms */
  char *runner;
  char *task;
  KqStart *start; /* of a start */
} KqAgentCall;

/* agent_runner.c */
void kq_start_free (gpointer start);
void kq_agent_runner_free (gpointer runner);
/* A new call to the runner; counted as in flight from now on. */
KqAgentCall *kq_agent_call_new (KqAgentRunner *runner, KqOrderKind kind, KqStr task,
                                uint32_t run);
void kq_agent_call_free (KqAgentCall *c);
/* The runner that a call was made to; NULL: that assignment has ended. */
KqAgentRunner *kq_agent_call_runner (const KqAgentCall *c);
/* Ends the call's time in flight; returns the same as kq_agent_call_runner. */
KqAgentRunner *kq_agent_call_ended (const KqAgentCall *c, const KqRunnerReply *r);
/* Takes in the runner's clock and start time from a reply. */
void kq_agent_runner_update_lease (KqAgentRunner *runner, const KqRunnerReply *r,
                                   KqTime now);
/* The destination of a call to the runner. */
KqRunnerDest kq_agent_runner_dest (const KqAgentRunner *runner, int timeout_ms);
/* Grants a whole lease; returns its end on the runner's clock. -1: nothing may be granted
 * now. */
int64_t kq_agent_runner_grant_lease (KqAgentRunner *runner, KqTime now);
/* Sends an item on the runner to the leader. */
void kq_agent_runner_notify (KqAgentRunner *runner, KqAgentItem *i);
/* Reports the outcome of an order to the leader. */
void kq_agent_runner_report_outcome (KqAgentRunner *runner, const KqOrderOutcome *o,
                                     KqTime now);

/* renew.c */
/* Polls the runner, unless a poll is in flight. Releases the runner instead if no leader
 * has sent anything for renew_without_leader_ms. */
void kq_agent_runner_poll (KqAgentRunner *runner, KqTime now);
void kq_agent_runner_poll_in (KqAgentRunner *runner, KqTime wait);
void kq_agent_runner_on_poll_timer (struct ev_loop *ev, ev_timer *w, int events);

/* starts.c */
/* Queues a start that the leader has ordered, and sends it if that is possible now. */
void kq_starts_add (KqAgentRunner *runner, const KqOrder *o, KqTime now);
/* Sends queued starts while there are free verified connections (agent/conns.h). */
void kq_starts_send (KqAgentRunner *runner, KqTime now);
/* Fetches a list on a connection that isn't in use, which verifies it for starts. */
void kq_starts_verify_connection (KqAgentRunner *runner);
void kq_agent_runner_on_outcome (void *arg, const KqRunnerReply *r, KqTime now);

/* advise.c */
void kq_agent_ask_advice (KqAgent *a, uint64_t epoch, const KqOrder *o);

#endif
