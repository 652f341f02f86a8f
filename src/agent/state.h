#ifndef KQ_AGENT_STATE_H
#define KQ_AGENT_STATE_H

/* state: declarations shared by the agent's own files; no other file includes this. */

#include "agent/agent.h"
#include "agent/conns.h"
#include "agent/grants.h"
#include "agent/lease.h"
#include "base/histogram.h"

#include <ev.h>
#include <glib.h>

#define PART "agent"
/* Timeout of a call to a runner. It is longer than a round trip between regions while the
 * link has a queue. */
#define KQ_AGENT_CALL_MS 900

/* A start that the leader has ordered. */
typedef struct
{
  char *task;
  uint32_t run;
  KqStr text; /* the task's description; this and the next two are owned */
  KqStr checkpoint;
  KqStr ticket;
  KqTime ordered_at;
} KqStart;

/* A runner that is assigned to this agent. */
typedef struct
{
  KqAgent *agent;
  char *id;
  char *address;
  char *domain; /* its failure domain; "": not known */
  uint64_t epoch;
  uint64_t serial;     /* this agent's number of the assignment; replies to calls made
                          under an earlier assignment are dropped */
  uint64_t assignment; /* the leader's number of the assignment */
  ev_timer poll_timer;
  bool polling; /* a poll is in flight */
  bool watched; /* polled more often, because the runner runs filling tasks beside serving
                   ones */
  uint64_t ends_acked;  /* the highest KqEndRow.number that the leader has acknowledged */
  uint64_t ends_listed; /* the highest number in the runner's last list */
  uint64_t outcomes_sent; /* how many outcomes of orders were reported to the leader */
  KqRunDeltaState *run_delta; /* the last list sent, if the leader understands CHANGES */
  uint64_t ends_reported;     /* the highest KqEndRow.number sent to that leader */
  KqLease lease;
  KqConns conns;
  GQueue starts;  /* KqStart, waiting for a verified connection */
  bool verifying; /* a call that only verifies a connection is in flight */
  int failures;   /* polls without an answer, in a row */
  uint64_t halt;  /* if not 0, no lease is granted until an order RENEW has this number */
  KqTime silence_reported_at; /* when the runner was last reported as unreachable; 0: it
                                 has answered since */
} KqAgentRunner;

/* Requests to the advice service, which answers one at a time for each host. */
typedef struct
{
  GQueue waiting;     /* those of advise.c that aren't sent yet */
  int sent;           /* number of those without an answer */
  KqTime answer_by;   /* when the last one sent is given up */
  KqTime answered_at; /* when the service last became free of one of this host's */
} KqAdviceCalls;

struct KqAgent
{
  KqAgentConfig config;
  GHashTable *runners; /* id -> KqAgentRunner */
  KqGrants *grants;    /* leases granted to these runners and to earlier ones */
  KqTime created_at;
  uint64_t epoch;
  uint64_t serial;            /* the last number given as KqAgentRunner.serial or halt */
  KqTime heard_at;            /* when a leader's last message arrived */
  KqTime leader_confirmed_at; /* the leader knows that this node was alive then */
  bool sends_changes;         /* the leader understands KQ_AGENT_ITEM_CHANGES */
  KqAdviceCalls advice;
  uint64_t *renewals;
  uint64_t *renewals_failed;
  uint64_t *verifications;
  uint64_t *starts_cordoned;
  KqHistogram cordoned_answer;
};

/* A call to a runner. */
typedef struct
{
  KqAgent *agent;
  uint64_t serial;
  uint64_t outcomes_sent; /* the runner's outcomes_sent when the call was made */
  int in_use; /* calls to the runner in flight when this one was made, itself included */
  KqOrderKind kind;
  uint32_t run; /* the task's run; of a poll: how long it waits at the runner, in ms */
  char *runner;
  char *task;
  KqStart *start; /* of a start: the start, owned; otherwise NULL */
} KqAgentCall;

/* agent_runner.c */
void kq_start_free (gpointer start);
void kq_agent_runner_free (gpointer runner);
/* Returns a new call to the runner, and counts it as in flight from now on. */
KqAgentCall *kq_agent_call_new (KqAgentRunner *runner, KqOrderKind kind, KqStr task,
                                uint32_t run);
void kq_agent_call_free (KqAgentCall *c);
/* The runner with that id, if its assignment has that number (KqAgentRunner.serial);
 * NULL: that assignment has ended. */
KqAgentRunner *kq_agent_find_runner (const KqAgent *a, const char *id, uint64_t serial);
/* The runner that a call was made to; NULL: that assignment has ended. */
KqAgentRunner *kq_agent_call_runner (const KqAgentCall *c);
/* Counts the call as no longer in flight; returns the same as kq_agent_call_runner. */
KqAgentRunner *kq_agent_call_ended (const KqAgentCall *c, const KqRunnerReply *r);
/* Updates what is known of the runner's clock and process start from its reply. */
void kq_agent_runner_update_lease (KqAgentRunner *runner, const KqRunnerReply *r,
                                   KqTime now);
/* The destination of a call to the runner. */
KqRunnerDest kq_agent_runner_dest (const KqAgentRunner *runner, int timeout_ms);
/* Grants the runner a lease of full length from now on; returns the lease's end on the
 * runner's clock. -1: no lease may be granted now. */
int64_t kq_agent_runner_grant_lease (KqAgentRunner *runner, KqTime now);
/* Sends an item about the runner to the leader; sets i->runner. */
void kq_agent_runner_notify (KqAgentRunner *runner, KqAgentItem *i);
/* Reports the outcome of an order to the leader. */
void kq_agent_runner_report_outcome (KqAgentRunner *runner, const KqOrderOutcome *o,
                                     KqTime now);

/* renew.c */
/* Polls the runner, unless a poll is in flight. Releases the runner instead if no leader
 * has sent anything for renew_without_leader_ms. */
void kq_agent_runner_poll (KqAgentRunner *runner, KqTime now);
/* Sets the timer for the runner's next poll. */
void kq_agent_runner_poll_in (KqAgentRunner *runner, KqTime wait);
void kq_agent_runner_on_poll_timer (struct ev_loop *ev, ev_timer *w, int events);

/* starts.c */
/* Queues a start that the leader has ordered, and sends it if that is possible now. */
void kq_starts_add (KqAgentRunner *runner, const KqOrder *o, KqTime now);
/* Sends queued starts while there are free verified connections (agent/conns.h). */
void kq_starts_send (KqAgentRunner *runner, KqTime now);
/* Fetches the runner's list on a connection that isn't in use. The answer verifies the
 * connection for starts. */
void kq_starts_verify_connection (KqAgentRunner *runner);
/* The runner's reply to an order (KqRunnerCallback). */
void kq_agent_runner_on_outcome (void *arg, const KqRunnerReply *r, KqTime now);

/* advise.c */
/* Asks the advice service as the order ADVISE says, after requests ordered earlier;
 * reports the answer to the leader. The order's wait begins when the service has done
 * with those. */
void kq_agent_ask_advice (KqAgent *a, uint64_t epoch, const KqOrder *o, KqTime now);
void kq_agent_free_advice_requests (KqAgent *a);

#endif
